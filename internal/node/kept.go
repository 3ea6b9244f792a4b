package node

import (
	"errors"
	"fmt"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"topazpost/internal/admission"
	"topazpost/internal/fleet/claims"
	"topazpost/internal/protocol/frame"
	"topazpost/internal/resultcache"
)

const tokenMost = 128 // bytes of a token

var errToken = errors.New("the token came with another body before")

// kept is the door to what becomes of tokened invocations; without a keeper tokens mean nothing.
type kept struct {
	keeper  *resultcache.Cache
	token   string // name of the field that carries it
	held    map[resultcache.Key]*unrun
	unread  bool // the store of an earlier life is not read yet
	inputs  []resultcache.Input
	running bool // the keeper steps
	stored  int  // records that a start found
}

// unrun is a token whose invocation the module holds; repeats wait for it.
type unrun struct {
	first   int32
	hash    uint64
	waiting []int32
}

// EnableResultCache has the node keep results of tokened invocations, whose token comes in a field. With unread, tokened work is
// turned away until KeptRead tells that the store was read.
func (r *StateMachine) EnableResultCache(rules resultcache.Config, field string, unread bool) {
	r.config.Node.MaxDeduplicationEntries = rules.MaxTokens()
	r.amended.numbers = unread
	r.kept = kept{keeper: resultcache.New(rules), token: field, held: make(map[resultcache.Key]*unrun), unread: unread}
}

// Results is what an operator may want to see of the tokens, nil where none are kept.
func (r *StateMachine) Results() *resultcache.Counters {
	if r.kept.keeper == nil {
		return nil
	}
	return &r.kept.keeper.Counters
}

// reading says whether a tokened invocation must be turned away: what ran in an earlier life is not known yet.
func (r *StateMachine) reading(v *invocation) bool { return r.kept.unread && v.key.Token != "" }

// repeats finds what an invocation repeats, and tells the module as the simulator's wire does.
func (r *StateMachine) repeats(v *invocation, e *admission.Event) error {
	k := &r.kept
	if v.key.Token == "" {
		return nil
	}
	if k.keeper == nil || r.config.Node.Operations[e.OperationIndex].Idempotency != admission.IdempotentWithKey {
		v.key.Token = ""
		return nil
	}
	v.key.Operation, v.key.Tenant, v.hash = e.OperationIndex, e.Tenant, xxhash.Sum64(v.body)
	if h := k.held[v.key]; h != nil {
		if h.hash != v.hash {
			return errToken
		}
		e.Original = h.first
	} else if hash, known := k.keeper.BodyHash(v.key); known {
		if hash != v.hash {
			return errToken
		}
		e.Original = admission.OriginalEnded
	}
	return nil
}

// hold notes a token's first invocation, which the module may hold, run or turn away.
func (r *StateMachine) hold(i, repeats int32) {
	if v := &r.invs[i]; v.key.Token != "" && repeats == admission.NoOriginal {
		r.kept.held[v.key] = &unrun{first: i, hash: v.hash}
		r.claim(i)
	}
}

// reuse has a repeat wait for the run of its token, or gets it what was kept.
func (r *StateMachine) reuse(i int32) {
	v := &r.invs[i]
	if !r.Invariants.Check(v.live && !v.answered && v.key.Token != "", "only a repeat of a token is reused") {
		return
	}
	if h := r.kept.held[v.key]; h != nil {
		h.waiting = append(h.waiting, i)
		return
	}
	if _, known := r.kept.keeper.BodyHash(v.key); !known { // its first was turned away unrun in the same step
		r.again(i)
		return
	}
	r.ask(i)
}

// ask hands an invocation to the keeper, which decides whether it runs, joins or is answered.
func (r *StateMachine) ask(i int32) {
	v := &r.invs[i]
	v.asked = true
	until := v.window
	if until == 0 {
		until = r.now + v.terms.known
	}
	r.keeper(resultcache.Input{Kind: resultcache.InvocationReceived, Invocation: i, Key: v.key, BodyHash: v.hash, Remaining: until - r.now})
}

// runToken lets a token's first run, and those that waited for it join.
func (r *StateMachine) runToken(i int32) {
	v := &r.invs[i]
	h := r.kept.held[v.key]
	if r.Invariants.Check(h != nil && h.first == i, "a token's first invocation runs") {
		delete(r.kept.held, v.key)
	} else {
		h = &unrun{}
	}
	r.ask(i)
	for _, j := range h.waiting {
		r.ask(j)
	}
}

// again takes a repeat in anew, as its token's first: what it repeated was turned away unrun, or its caller left.
func (r *StateMachine) again(i int32) {
	v := r.invs[i]
	c := r.conns[v.conn]
	if c == nil { // its connection ends in this step, and it with it
		return
	}
	if !r.Invariants.Check(v.live && !v.answered, "one that is taken in anew still waits") {
		return
	}
	r.invs[i].answered = true
	r.open--
	r.tellModule(admission.Event{Kind: admission.RunEnded, Invocation: i, Outcome: admission.NeverStarted})
	e := v.arrival
	v.asked, v.window = false, 0
	j := r.admit(v)
	c.open[v.stream] = j
	e.Invocation, e.Age, e.Original = j, r.now-v.taken+e.Age, admission.NoOriginal
	if v.terms != r.termsNow(v.operation) {
		e.Deadline = v.due // its client timeout is that of its terms
	}
	if h := r.kept.held[v.key]; h != nil {
		e.Original = h.first
	}
	r.invs[j].arrival, r.invs[j].taken = e, r.now
	r.hold(j, e.Original)
	r.tellModule(e)
}

// leaveToken takes an invocation that is answered, or whose caller left, out of what its token waits for. It says
// whether it must run on all the same, as others wait for it.
func (r *StateMachine) leaveToken(i int32) bool {
	k, v := &r.kept, &r.invs[i]
	if v.key.Token == "" {
		return false
	}
	if h := k.held[v.key]; h != nil && !v.asked {
		if h.first != i {
			h.waiting = slices.DeleteFunc(h.waiting, func(j int32) bool { return j == i })
			return false
		}
		delete(k.held, v.key)
		for _, j := range h.waiting {
			r.again(j)
		}
		return false
	}
	if !v.asked {
		return false
	}
	r.keeper(resultcache.Input{Kind: resultcache.CallerDisconnected, Invocation: i, Key: v.key})
	v.orphan = v.runs && !v.exited && k.keeper.JoinedCount(v.key) > 0
	return v.orphan
}

// runOver tells the module that a run is over whose answer waited for the disk.
func (r *StateMachine) runOver(i int32) {
	if v := &r.invs[i]; v.exited {
		v.exited = false
		r.tellModule(admission.Event{Kind: admission.RunEnded, Invocation: i, Outcome: v.ending})
	}
}

// tokenEnded tells the keeper how a run ended. The answer follows once that is kept.
func (r *StateMachine) tokenEnded(i int32, outcome admission.Outcome, body []byte) {
	v := &r.invs[i]
	v.exited, v.ending, v.runs = true, outcome, false
	ending := resultcache.Failed
	switch outcome {
	case admission.Succeeded:
		ending = resultcache.Succeeded
	case admission.NeverStarted:
		ending = resultcache.NeverStarted
	}
	r.keeper(resultcache.Input{Kind: resultcache.RunEnded, Key: v.key, Outcome: ending, Result: body})
	if v := &r.invs[i]; v.answered {
		r.runOver(i)
	}
}

// fromStore takes what the store says.
func (r *StateMachine) fromStore(in *Input) {
	k := &r.kept
	if k.keeper == nil {
		return
	}
	switch in.Kind {
	case RecordsRecovered:
		for _, s := range in.Records {
			k.stored++
			k.inputs = append(k.inputs, resultcache.Input{Kind: resultcache.RecordRecovered, Key: s.Key, BodyHash: s.BodyHash, Completed: s.Completed, Outcome: s.Outcome,
				Result: s.Result})
		}
		r.keeper()
	case RecoveryCompleted:
		k.unread = false
		r.keeper(resultcache.Input{Kind: resultcache.RecoveryCompleted})
		r.remark(Info, fmt.Sprintf("kept results are read: %d records, %d tokens, %d of unknown outcome", k.stored,
			k.keeper.Counters.Entries, k.keeper.Counters.Unknown), "", nil)
	case RecordWritten, RecordWriteFailed:
		failing := k.keeper.StoreFailing()
		kind := resultcache.WriteSucceeded
		if in.Kind == RecordWriteFailed {
			kind = resultcache.WriteFailed
		}
		for _, s := range in.Records {
			k.inputs = append(k.inputs, resultcache.Input{Kind: kind, Key: s.Key})
		}
		r.keeper()
		if now := k.keeper.StoreFailing(); now && !failing {
			r.remark(Warn, "results can't be kept", "", in.Err)
		} else if failing && !now {
			r.remark(Info, "results are kept again", "", nil)
		}
	}
}

// keeper steps the keeper with inputs; what follows from its actions is stepped after them, never within.
func (r *StateMachine) keeper(inputs ...resultcache.Input) {
	k := &r.kept
	k.inputs = append(k.inputs, inputs...)
	if k.running {
		return
	}
	k.running = true
	for len(k.inputs) > 0 {
		batch := k.inputs
		k.inputs = nil
		for _, a := range k.keeper.Step(r.now, batch) {
			r.carryKept(&a)
		}
	}
	k.running = false
}

func (r *StateMachine) carryKept(a *resultcache.Action) {
	switch a.Kind {
	case resultcache.Run:
		v := &r.invs[a.Invocation]
		if v.live && !v.answered {
			v.runs = true
			r.run(a.Invocation, v.runForm)
		}
	case resultcache.WriteStart:
		if r.claimed.desk != nil {
			r.want(claims.Input{Kind: claims.RequestStart, Key: r.claimKey(a.Key), BodyHash: a.BodyHash, Remaining: a.Until - r.now, Window: a.Until - r.now})
			return
		}
		r.do(Effect{Kind: WriteRecord, Record: &resultcache.Record{Key: a.Key, BodyHash: a.BodyHash, Remaining: a.Until - r.now}})
	case resultcache.WriteEnd:
		if r.claimed.desk != nil {
			r.want(claims.Input{Kind: claims.ReportEnd, Key: r.claimKey(a.Key), Outcome: uint8(a.Outcome), Result: a.Result})
			return
		}
		r.do(Effect{Kind: WriteRecord, Record: &resultcache.Record{Key: a.Key, Completed: true, Outcome: a.Outcome, Result: a.Result,
			Remaining: r.knownMost(a.Key.Operation)}})
	case resultcache.RemoveRecord:
		if r.claimed.desk != nil {
			r.want(claims.Input{Kind: claims.AbandonClaim, Key: r.claimKey(a.Key)})
		}
	case resultcache.Join:
	default:
		r.answerKept(a)
	}
}

// answerKept gives an invocation the answer that the keeper has for it, and tells the module that it is over.
func (r *StateMachine) answerKept(a *resultcache.Action) {
	i := a.Invocation
	v := &r.invs[i]
	if !r.Invariants.Check(v.live && !v.answered, "the keeper answers only those that wait") {
		return
	}
	own := v.exited // a run of its own is over with its answer
	var fields []frame.Field
	note := func(name, value string) { fields = append(fields, frame.Field{Name: name, Value: value}) }
	if a.FromCache {
		note("kept", "1")
	}
	outcome := admission.Errored
	switch a.Kind {
	case resultcache.Serve:
		outcome = admission.Succeeded
		r.succeed(i, a.Result, fields...)
	case resultcache.Reject:
		outcome = admission.NeverStarted
		if back := min(a.RetryAfter, r.config.Node.MaxRetryAfter); back > 0 {
			note("pushback", strconv.FormatInt((back+ms-1)/ms, 10))
		}
		r.answer(i, frame.Throttled, fields, nil)
	default:
		switch {
		case a.Kind == resultcache.OutcomeUnknown:
			note("outcome", "unknown")
		case a.Kind == resultcache.Mismatch:
			note("outcome", "token of another body")
		case a.ResultNotCached:
			note("outcome", "succeeded, its result is not kept")
		}
		r.answer(i, frame.Errored, fields, nil)
	}
	if !own {
		r.tellModule(admission.Event{Kind: admission.RunEnded, Invocation: i, Outcome: outcome})
	}
}

// keepResults lets tokens expire that are due.
func (r *StateMachine) keepResults() {
	if k := &r.kept; k.keeper != nil && r.now >= k.keeper.NextExpiry() {
		k.inputs = append(k.inputs, resultcache.Input{Kind: resultcache.CallerDisconnected})
		r.keeper()
	}
}

func (r *StateMachine) resultsDue() int64 {
	if r.kept.keeper == nil {
		return never
	}
	return max(r.now+1, r.kept.keeper.NextExpiry())
}
