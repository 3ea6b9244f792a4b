package node

import (
	"encoding/binary"
	"fmt"
	"math"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"topazpost/internal/admission"
	"topazpost/internal/fleet/claims"
	"topazpost/internal/resultcache"
)

const (
	hollowClaimTimeout  = 5_000 * ms  // ns that a token may wait for its claim: a usual client timeout
	hollowTokenLifetime = 10_000 * ms // ns for which a token stays known after its end
	hollowRunTime       = 40 * ms     // ns that a run takes
	hollowWorkBytes     = 256         // size of the takeover data that a claim carries
	hollowResultBytes   = 64          // size of the result of a run
	maxHollowTokens     = 4_096       // tokens in flight at one node; more are rejected
)

// HollowCounters counts the load of a hollow node and what became of it. The counters are read while the node runs. Times are nanoseconds.
type HollowCounters struct {
	TokensRequested atomic.Int64 // tokens that the load asked for, including repeated ones
	TokensRejected  atomic.Int64 // tokens rejected at once: the consensus group is unreachable, or the node is full
	RunsStarted     atomic.Int64 // runs whose start the consensus group committed
	EndsRecorded    atomic.Int64 // tokens whose end the consensus group committed
	TokensAbandoned atomic.Int64 // tokens given up: expired before their run, rejected by the consensus group, or ended elsewhere
	TokensTakenOver atomic.Int64 // tokens of lost nodes that were assigned to this node
	StartDelaySum   atomic.Int64 // total time from the requests of tokens, or their takeover, to the starts of their runs
	MaxStartDelay   atomic.Int64 // longest time from a request or takeover to the start of its run
	CallsWanted     atomic.Int64 // concurrent calls that the load asks for
	CallsAllowed    atomic.Int64 // concurrent calls that the lease allows
	CallsInFlight   atomic.Int64 // calls in flight
}

// recordStart counts the start of a run, and its delay since the token was requested.
func (c *HollowCounters) recordStart(delay int64) {
	c.RunsStarted.Add(1)
	c.StartDelaySum.Add(delay)
	if delay > c.MaxStartDelay.Load() {
		c.MaxStartDelay.Store(delay)
	}
}

// hollowState takes the place of dispatchers, executor, reports and the admission controller in a hollow node, a simulated peer that
// puts load on a fleet in tests. Inputs request tokens and concurrent calls; a run takes a fixed time and no resources.
type hollowState struct {
	on          bool
	replicaOnly bool // the node only serves its replica: it has no load and takes over no claims
	counters    *HollowCounters
	tokens      map[claims.Key]*hollowToken
	wantedCalls int // concurrent calls that the load asks for
}

// hollowToken is a token that a hollow node has requested or is taking over.
type hollowToken struct {
	requestedAt int64
	deadline    int64
	endsAt      int64 // when its run ends, 0 before it starts
	running     bool
	ended       bool // its end was reported, and the consensus group has yet to commit it
}

// MakeHollow makes the node a hollow one, which only takes part in its fleet. It must be called before JoinFleet, EnableConsensus and
// EnableQuota. The node's load comes as inputs HollowClaimRequested and HollowCallsRequested; with replicaOnly it has no load.
func (sm *StateMachine) MakeHollow(counters *HollowCounters, replicaOnly bool) {
	sm.hollow = hollowState{on: true, replicaOnly: replicaOnly, counters: counters, tokens: map[claims.Key]*hollowToken{}}
	sm.drain.setListenerClosed() // a hollow node has no listener, so a drain need not wait for its end
}

// enabled reports whether the node is hollow.
func (hs *hollowState) enabled() bool { return hs.on }

// isReplicaOnly reports whether the node has no load and only serves the consensus group.
func (hs *hollowState) isReplicaOnly() bool { return hs.replicaOnly }

// takesClaims reports whether the node is hollow and claims tokens.
func (hs *hollowState) takesClaims() bool { return hs.on && !hs.replicaOnly }

// applyLoadRequest handles an input that gives a hollow node load.
func (sm *StateMachine) applyLoadRequest(in *Input) {
	if !sm.Invariants.Check(sm.hollow.on, "only a hollow node receives load as inputs") {
		return
	}
	if in.Kind == HollowCallsRequested {
		sm.hollow.wantedCalls = in.Link
		sm.hollow.counters.CallsWanted.Store(int64(in.Link))
		sm.leases.requestStep(sm.now)
		return
	}
	sm.requestHollowClaim(in.Bytes)
}

// requestHollowClaim claims a token and requests the start of its run, unless the node must reject the token.
func (sm *StateMachine) requestHollowClaim(token []byte) {
	hs := &sm.hollow
	hs.counters.TokensRequested.Add(1)
	if !sm.group.canClaim() || len(hs.tokens) >= maxHollowTokens {
		hs.counters.TokensRejected.Add(1)
		return
	}
	key := claims.Key{Operation: sm.hollowOperation(), Token: string(token)}
	if hs.tokens[key] != nil {
		return
	}
	hs.tokens[key] = &hollowToken{requestedAt: sm.now, deadline: sm.now + hollowClaimTimeout}
	hash := xxhash.Sum64(token)
	request := claims.Input{Kind: claims.RequestClaim, Key: key, BodyHash: hash, Remaining: hollowClaimTimeout, Retention: hollowTokenLifetime,
		InvocationID: fmt.Sprintf("%016x", hash), Work: binary.LittleEndian.AppendUint64(make([]byte, hollowWorkBytes-8), hash)}
	sm.addClaimInput(request)
	request.Kind = claims.RequestStart
	sm.addClaimInput(request)
	sm.group.requestSweep(sm.now)
}

// hollowOperation returns the operation that a hollow node claims all its tokens for: the first one with idempotency tokens, or if
// there is none, one that does not exist.
func (sm *StateMachine) hollowOperation() string {
	for i := range sm.config.Node.Operations {
		if sm.config.Node.Operations[i].Idempotency == admission.IdempotentWithKey {
			return sm.config.Operations.Name(int32(i))
		}
	}
	return "hollow"
}

// executeHollowAction carries out an action of the claims client in a hollow node.
func (sm *StateMachine) executeHollowAction(a *claims.Action) {
	hs := &sm.hollow
	t := hs.tokens[a.Key]
	switch a.Kind {
	case claims.StartRun:
		if t == nil {
			sm.addClaimInput(claims.Input{Kind: claims.AbandonClaim, Key: a.Key})
			return
		}
		t.running = true
		t.endsAt = sm.now + hollowRunTime
		hs.counters.recordStart(sm.now - t.requestedAt)
	case claims.EndRecorded:
		if t != nil {
			hs.counters.EndsRecorded.Add(1)
			delete(hs.tokens, a.Key)
		}
	case claims.TakeOver:
		hs.counters.TokensTakenOver.Add(1)
		if t == nil {
			hs.tokens[a.Key] = &hollowToken{requestedAt: sm.now, deadline: sm.now + a.Duration}
			sm.addClaimInput(claims.Input{Kind: claims.RequestStart, Key: a.Key, BodyHash: a.BodyHash, Remaining: a.Duration, Retention: hollowTokenLifetime,
				Work: a.Work})
		}
	default: // the token has ended elsewhere, or the consensus group rejected its claim
		if t != nil {
			hs.counters.TokensAbandoned.Add(1)
			delete(hs.tokens, a.Key)
		}
	}
}

// sweepHollowTokens reports the ends of runs whose time is over, and abandons tokens whose deadline is close before they run.
func (sm *StateMachine) sweepHollowTokens() {
	hs := &sm.hollow
	for key, t := range hs.tokens {
		switch {
		case t.running && !t.ended && sm.now >= t.endsAt:
			t.ended = true
			sm.addClaimInput(claims.Input{Kind: claims.ReportEnd, Key: key, Outcome: uint8(resultcache.Succeeded), Result: make([]byte, hollowResultBytes)})
		case !t.running && sm.now >= t.deadline-answerMargin:
			hs.counters.TokensAbandoned.Add(1)
			delete(hs.tokens, key)
			sm.addClaimInput(claims.Input{Kind: claims.AbandonClaim, Key: key})
		}
	}
}

// callDemand returns how many of the wanted calls the lease allows, which count as in flight, and how many wait. It updates the counters
// of calls.
func (hs *hollowState) callDemand(allowed int64) (inFlight, waiting int) {
	inFlight = int(min(int64(hs.wantedCalls), allowed))
	hs.counters.CallsAllowed.Store(allowed)
	hs.counters.CallsInFlight.Store(int64(inFlight))
	return inFlight, hs.wantedCalls - inFlight
}

// hollowDue returns when a hollow node must step again at the latest.
func (sm *StateMachine) hollowDue() int64 {
	at := min(sm.membershipDue(), sm.claimsDue(), sm.leaseDue(), sm.configSyncDue())
	if at == math.MaxInt64 {
		return never
	}
	return max(at, sm.now+1)
}
