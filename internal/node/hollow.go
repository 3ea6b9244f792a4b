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
	hollowClaimTimeout  = 5_000 * ms  // ns that a token may wait for the fleet: a usual client timeout
	hollowTokenLifetime = 10_000 * ms // ns that a token is known once it ended
	hollowRunTime       = 40 * ms     // ns of a run
	hollowWorkBytes     = 256         // of what a new owner would need
	hollowResultBytes   = 64
	maxHollowTokens     = 4_096 // in flight at one node; more are rejected
)

// HollowCounters counts the load of a hollow node and what became of it. The counters are read while the node runs. Times are nanoseconds.
type HollowCounters struct {
	TokensRequested atomic.Int64 // tokens that the load asked for
	TokensRejected  atomic.Int64 // tokens rejected at once: the consensus group is unreachable, or the node is full
	RunsStarted     atomic.Int64 // runs whose start the consensus group committed
	EndsRecorded    atomic.Int64 // tokens whose end the consensus group committed
	TokensAbandoned atomic.Int64 // tokens given up: expired before their run, rejected by the consensus group, or ended elsewhere
	TokensTakenOver atomic.Int64 // tokens of lost nodes that were assigned to this node
	StartDelaySum   atomic.Int64 // total time from the requests of tokens to the starts of their runs
	MaxStartDelay   atomic.Int64 // longest time from a request to the start of its run
	CallsWanted     atomic.Int64 // concurrent calls that the load asks for
	CallsAllowed    atomic.Int64 // concurrent calls that the lease allows
	CallsInFlight   atomic.Int64 // calls in flight
}

// recordStart counts the start of a run.
func (c *HollowCounters) recordStart(took int64) {
	c.RunsStarted.Add(1)
	c.StartDelaySum.Add(took)
	if took > c.MaxStartDelay.Load() {
		c.MaxStartDelay.Store(took)
	}
}

// hollowState replaces dispatchers, executor, reports and the admission controller at a node that tests a fleet: inputs request
// tokens and calls, and runs take their time and nothing else.
type hollowState struct {
	on          bool
	replicaOnly bool // it has no load, takes nothing over and accepts no work
	counters    *HollowCounters
	tokens      map[claims.Key]*hollowToken
	wantedCalls int // at a time
}

type hollowToken struct {
	requestedAt int64
	deadline    int64
	endsAt      int64 // set while it runs
	running     bool
	ended       bool // its end is being recorded by the consensus group
}

// MakeHollow has the node do only what nodes do among themselves, before JoinFleet, EnableConsensus and EnableQuota.
// HollowClaimRequested and HollowCallsRequested are its load; with replicaOnly it has none.
func (sm *StateMachine) MakeHollow(counters *HollowCounters, replicaOnly bool) {
	sm.hollow = hollowState{on: true, replicaOnly: replicaOnly, counters: counters, tokens: map[claims.Key]*hollowToken{}}
	sm.drain.setListenerClosed() // there is none
}

// enabled says whether the node is hollow.
func (hs *hollowState) enabled() bool { return hs.on }

// isReplicaOnly says whether the node has no load and only serves the consensus group.
func (hs *hollowState) isReplicaOnly() bool { return hs.replicaOnly }

// takesClaims says whether the node is hollow and has tokens of its own.
func (hs *hollowState) takesClaims() bool { return hs.on && !hs.replicaOnly }

// applyLoadRequest applies a request for load of a hollow node.
func (sm *StateMachine) applyLoadRequest(in *Input) {
	if !sm.Invariants.Check(sm.hollow.on, "only a hollow node has its load from inputs") {
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

// requestHollowClaim claims a token, and requests its start.
func (sm *StateMachine) requestHollowClaim(token []byte) {
	hs := &sm.hollow
	hs.counters.TokensRequested.Add(1)
	if !sm.claiming.canClaim() || len(hs.tokens) >= maxHollowTokens {
		hs.counters.TokensRejected.Add(1)
		return
	}
	key := claims.Key{Operation: sm.hollowOperation(), Token: string(token)}
	if hs.tokens[key] != nil {
		return
	}
	hs.tokens[key] = &hollowToken{requestedAt: sm.now, deadline: sm.now + hollowClaimTimeout}
	hash := xxhash.Sum64(token)
	request := claims.Input{Kind: claims.RequestClaim, Key: key, BodyHash: hash, Remaining: hollowClaimTimeout, Window: hollowTokenLifetime,
		InvocationID: fmt.Sprintf("%016x", hash), Work: binary.LittleEndian.AppendUint64(make([]byte, hollowWorkBytes-8), hash)}
	sm.addClaimInput(request)
	request.Kind = claims.RequestStart
	sm.addClaimInput(request)
	sm.claiming.requestSweep(sm.now)
}

// hollowOperation is the first operation that is deduplicated.
func (sm *StateMachine) hollowOperation() string {
	for i := range sm.config.Node.Operations {
		if sm.config.Node.Operations[i].Idempotency == admission.IdempotentWithKey {
			return sm.config.Operations.Name(int32(i))
		}
	}
	return "hollow"
}

// executeHollowAction carries out an action of the claims client at a hollow node.
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
			sm.addClaimInput(claims.Input{Kind: claims.RequestStart, Key: a.Key, BodyHash: a.BodyHash, Remaining: a.Duration, Window: hollowTokenLifetime,
				Work: a.Work})
		}
	default: // it ended elsewhere, or there is no capacity for it
		if t != nil {
			hs.counters.TokensAbandoned.Add(1)
			delete(hs.tokens, a.Key)
		}
	}
}

// sweepHollowTokens ends runs, and abandons tokens that waited too long for the fleet.
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

// callDemand is how many of the wanted calls are in flight where the lease allows so many, and how many wait.
func (hs *hollowState) callDemand(allowed int64) (inFlight, waiting int) {
	inFlight = int(min(int64(hs.wantedCalls), allowed))
	hs.counters.CallsAllowed.Store(allowed)
	hs.counters.CallsInFlight.Store(int64(inFlight))
	return inFlight, hs.wantedCalls - inFlight
}

// hollowDue is when a hollow node is to step again.
func (sm *StateMachine) hollowDue() int64 {
	at := min(sm.membershipDue(), sm.claimsDue(), sm.leaseDue(), sm.configSyncDue())
	if at == math.MaxInt64 {
		return never
	}
	return max(at, sm.now+1)
}
