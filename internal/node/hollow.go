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
	hollowClaimTimeout  = 5_000 * ms  // ns that a hollow token may wait for the fleet: a usual client timeout
	hollowTokenLifetime = 10_000 * ms // ns that it is known once it ended
	hollowRunTime       = 40 * ms     // ns of its run
	hollowWorkBytes     = 256         // bytes of what an heir would need
	hollowResultBytes   = 64          // bytes of its result
	maxHollowTokens     = 4_096       // tokens in hand at one node; more are turned away
)

// HollowCounters count what a hollow node was asked to do; they are read while it runs. Times are nanoseconds.
type HollowCounters struct {
	Wanted, TurnedAway, Begun, Kept, Late, Taken atomic.Int64 // tokens: asked for, refused at once, begun, ended and kept, given up, of lost nodes
	BeginSum, BeginMost                          atomic.Int64 // from asking to the agreed start
	Calls, Allowed, InHand                       atomic.Int64 // calls wanted, allowed by the lease, in hand
}

// hollowState is what a node without dispatchers, executor, reports and module has in their place: tokens and calls that inputs
// ask for, and runs that take their time and nothing else.
type hollowState struct {
	on          bool
	replicaOnly bool // it has no load, inherits nothing and is of no use to callers
	counters    *HollowCounters
	tokens      map[claims.Key]*hollowToken
	wantedCalls int // wanted at a time
}

type hollowToken struct {
	requestedAt, deadline, endsAt int64 // ends is set while it runs
	running, ended                bool  // over: its end is on its way to the council
}

// MakeHollow has the node do only what nodes do among themselves, before Peer, Convene and Lease. TokenWanted and CallsWanted
// are its load; with onlySeat it has none.
func (sm *StateMachine) MakeHollow(counters *HollowCounters, onlySeat bool) {
	sm.hollow = hollowState{on: true, replicaOnly: onlySeat, counters: counters, tokens: map[claims.Key]*hollowToken{}}
	sm.listenerClosed = true // there is none
}

// applyLoadRequest takes what a hollow node is asked to do.
func (sm *StateMachine) applyLoadRequest(in *Input) {
	h := &sm.hollow
	if !sm.Invariants.Check(h.on, "only a hollow node has its load from inputs") {
		return
	}
	if in.Kind == HollowCallsRequested {
		h.wantedCalls = in.Link
		h.counters.Calls.Store(int64(h.wantedCalls))
		sm.leases.at = sm.now
		return
	}
	h.counters.Wanted.Add(1)
	c := &sm.claiming
	if c.client == nil || !c.client.Connected() || !c.client.HasCapacity() || len(h.tokens) >= maxHollowTokens {
		h.counters.TurnedAway.Add(1)
		return
	}
	key := claims.Key{Operation: sm.hollowOperation(), Token: string(in.Bytes)}
	if h.tokens[key] != nil {
		return
	}
	h.tokens[key] = &hollowToken{requestedAt: sm.now, deadline: sm.now + hollowClaimTimeout}
	hash := xxhash.Sum64(in.Bytes)
	want := claims.Input{Kind: claims.RequestClaim, Key: key, BodyHash: hash, Remaining: hollowClaimTimeout, Window: hollowTokenLifetime, InvocationID: fmt.Sprintf("%016x", hash),
		Work: binary.LittleEndian.AppendUint64(make([]byte, hollowWorkBytes-8), hash)}
	sm.addClaimInput(want)
	want.Kind = claims.RequestStart
	sm.addClaimInput(want)
	c.sweepAt = min(c.sweepAt, sm.now+claimSweepInterval)
}

// hollowOperation is the first that is deduplicated.
func (sm *StateMachine) hollowOperation() string {
	for i := range sm.config.Node.Operations {
		if sm.config.Node.Operations[i].Idempotency == admission.IdempotentWithKey {
			return sm.config.Operations.Name(int32(i))
		}
	}
	return "hollow"
}

// executeHollowAction does what the desk asks a hollow node for.
func (sm *StateMachine) executeHollowAction(a *claims.Action) {
	h := &sm.hollow
	t := h.tokens[a.Key]
	switch a.Kind {
	case claims.StartRun:
		if t == nil {
			sm.addClaimInput(claims.Input{Kind: claims.AbandonClaim, Key: a.Key})
			return
		}
		t.running, t.endsAt = true, sm.now+hollowRunTime
		took := sm.now - t.requestedAt
		h.counters.Begun.Add(1)
		h.counters.BeginSum.Add(took)
		if took > h.counters.BeginMost.Load() {
			h.counters.BeginMost.Store(took)
		}
	case claims.EndRecorded:
		if t != nil {
			h.counters.Kept.Add(1)
			delete(h.tokens, a.Key)
		}
	case claims.TakeOver:
		h.counters.Taken.Add(1)
		if t == nil {
			h.tokens[a.Key] = &hollowToken{requestedAt: sm.now, deadline: sm.now + a.Duration}
			sm.addClaimInput(claims.Input{Kind: claims.RequestStart, Key: a.Key, BodyHash: a.BodyHash, Remaining: a.Duration, Window: hollowTokenLifetime, Work: a.Work})
		}
	default: // it ended elsewhere, or there is no room for it
		if t != nil {
			h.counters.Late.Add(1)
			delete(h.tokens, a.Key)
		}
	}
}

// expireHollowTokens ends runs, and gives up what waited too long for the fleet.
func (sm *StateMachine) expireHollowTokens() {
	for key, t := range sm.hollow.tokens {
		switch {
		case t.running && !t.ended && sm.now >= t.endsAt:
			t.ended = true
			sm.addClaimInput(claims.Input{Kind: claims.ReportEnd, Key: key, Outcome: uint8(resultcache.Succeeded), Result: make([]byte, hollowResultBytes)})
		case !t.running && sm.now >= t.deadline-answerMargin:
			sm.hollow.counters.Late.Add(1)
			delete(sm.hollow.tokens, key)
			sm.addClaimInput(claims.Input{Kind: claims.AbandonClaim, Key: key})
		}
	}
}

// callDemand is how many calls are in hand and how many are wanted beside them; a node without its module has none.
func (sm *StateMachine) callDemand() (inHand, standing int, decides bool) {
	if h := &sm.hollow; h.on {
		allowed := sm.leases.holder.Allowed(sm.now)
		inHand = int(min(int64(h.wantedCalls), allowed))
		h.counters.Allowed.Store(allowed)
		h.counters.InHand.Store(int64(inHand))
		return inHand, h.wantedCalls - inHand, true
	}
	if sm.controller == nil {
		return 0, 0, false
	}
	state := sm.controller.State()
	return state.CallsInFlight, state.AwaitingCall, true
}

// hollowDue is when a hollow node is to step again.
func (sm *StateMachine) hollowDue() int64 {
	at := min(sm.membershipDue(), sm.claimsDue(), sm.leaseDue(), sm.configSyncDue())
	if at == math.MaxInt64 {
		return never
	}
	return max(at, sm.now+1)
}
