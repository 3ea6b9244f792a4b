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
	hollowFor    = 5_000 * ms  // ns that a hollow token may wait for the fleet: a usual client timeout
	hollowWindow = 10_000 * ms // ns that it is known once it ended
	hollowRun    = 40 * ms     // ns of its run
	hollowBody   = 256         // bytes of what an heir would need
	hollowResult = 64          // bytes of its result
	hollowMost   = 4_096       // tokens in hand at one node; more are turned away
)

// HollowCounters count what a hollow node was asked to do; they are read while it runs. Times are nanoseconds.
type HollowCounters struct {
	Wanted, TurnedAway, Begun, Kept, Late, Taken atomic.Int64 // tokens: asked for, refused at once, begun, ended and kept, given up, of lost nodes
	BeginSum, BeginMost                          atomic.Int64 // from asking to the agreed start
	Calls, Allowed, InHand                       atomic.Int64 // calls wanted, allowed by the lease, in hand
}

// hollow is what a node without dispatchers, executor, reports and module has in their place: tokens and calls that inputs
// ask for, and runs that take their time and nothing else.
type hollow struct {
	on       bool
	onlySeat bool // it has no load, inherits nothing and is of no use to callers
	counters *HollowCounters
	tokens   map[claims.Key]*hollowToken
	calls    int // wanted at a time
}

type hollowToken struct {
	came, due, ends int64 // ends is set while it runs
	running, over   bool  // over: its end is on its way to the council
}

// MakeHollow has the node do only what nodes do among themselves, before Peer, Convene and Lease. TokenWanted and CallsWanted
// are its load; with onlySeat it has none.
func (r *StateMachine) MakeHollow(counters *HollowCounters, onlySeat bool) {
	r.hollow = hollow{on: true, onlySeat: onlySeat, counters: counters, tokens: map[claims.Key]*hollowToken{}}
	r.listenerClosed = true // there is none
}

// fromLoad takes what a hollow node is asked to do.
func (r *StateMachine) fromLoad(in *Input) {
	h := &r.hollow
	if !r.Invariants.Check(h.on, "only a hollow node has its load from inputs") {
		return
	}
	if in.Kind == HollowCallsRequested {
		h.calls = in.Link
		h.counters.Calls.Store(int64(h.calls))
		r.leasing.at = r.now
		return
	}
	h.counters.Wanted.Add(1)
	c := &r.claimed
	if c.desk == nil || !c.desk.Connected() || !c.desk.HasCapacity() || len(h.tokens) >= hollowMost {
		h.counters.TurnedAway.Add(1)
		return
	}
	key := claims.Key{Operation: r.hollowOperation(), Token: string(in.Bytes)}
	if h.tokens[key] != nil {
		return
	}
	h.tokens[key] = &hollowToken{came: r.now, due: r.now + hollowFor}
	hash := xxhash.Sum64(in.Bytes)
	want := claims.Input{Kind: claims.RequestClaim, Key: key, BodyHash: hash, Remaining: hollowFor, Window: hollowWindow, InvocationID: fmt.Sprintf("%016x", hash),
		Work: binary.LittleEndian.AppendUint64(make([]byte, hollowBody-8), hash)}
	r.want(want)
	want.Kind = claims.RequestStart
	r.want(want)
	c.sweep = min(c.sweep, r.now+sweepClaims)
}

// hollowOperation is the first that is deduplicated.
func (r *StateMachine) hollowOperation() string {
	for i := range r.config.Node.Operations {
		if r.config.Node.Operations[i].Idempotency == admission.IdempotentWithKey {
			return r.config.Operations.Name(int32(i))
		}
	}
	return "hollow"
}

// carryHollow does what the desk asks a hollow node for.
func (r *StateMachine) carryHollow(a *claims.Action) {
	h := &r.hollow
	t := h.tokens[a.Key]
	switch a.Kind {
	case claims.StartRun:
		if t == nil {
			r.want(claims.Input{Kind: claims.AbandonClaim, Key: a.Key})
			return
		}
		t.running, t.ends = true, r.now+hollowRun
		took := r.now - t.came
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
			h.tokens[a.Key] = &hollowToken{came: r.now, due: r.now + a.Duration}
			r.want(claims.Input{Kind: claims.RequestStart, Key: a.Key, BodyHash: a.BodyHash, Remaining: a.Duration, Window: hollowWindow, Work: a.Work})
		}
	default: // it ended elsewhere, or there is no room for it
		if t != nil {
			h.counters.Late.Add(1)
			delete(h.tokens, a.Key)
		}
	}
}

// sweepHollow ends runs, and gives up what waited too long for the fleet.
func (r *StateMachine) sweepHollow() {
	for key, t := range r.hollow.tokens {
		switch {
		case t.running && !t.over && r.now >= t.ends:
			t.over = true
			r.want(claims.Input{Kind: claims.ReportEnd, Key: key, Outcome: uint8(resultcache.Succeeded), Result: make([]byte, hollowResult)})
		case !t.running && r.now >= t.due-dueLead:
			r.hollow.counters.Late.Add(1)
			delete(r.hollow.tokens, key)
			r.want(claims.Input{Kind: claims.AbandonClaim, Key: key})
		}
	}
}

// need is how many calls are in hand and how many are wanted beside them; a node without its module has none.
func (r *StateMachine) need() (inHand, standing int, decides bool) {
	if h := &r.hollow; h.on {
		allowed := r.leasing.holder.Allowed(r.now)
		inHand = int(min(int64(h.calls), allowed))
		h.counters.Allowed.Store(allowed)
		h.counters.InHand.Store(int64(inHand))
		return inHand, h.calls - inHand, true
	}
	if r.post == nil {
		return 0, 0, false
	}
	state := r.post.State()
	return state.CallsInFlight, state.AwaitingCall, true
}

// hollowWake is when a hollow node is to step again.
func (r *StateMachine) hollowWake() int64 {
	at := min(r.peersDue(), r.claimsDue(), r.leaseDue(), r.configurationDue())
	if at == math.MaxInt64 {
		return never
	}
	return max(at, r.now+1)
}
