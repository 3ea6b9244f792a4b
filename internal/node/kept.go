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

var errTokenReused = errors.New("the token came with another body before")

// resultState is the door to what becomes of tokened invocations; without a keeper tokens mean nothing.
type resultState struct {
	keeper     *resultcache.Cache
	token      string // name of the field that carries it
	pending    map[resultcache.Key]*pendingRun
	recovering bool // the store of an earlier life is not read yet
	inputs     []resultcache.Input
	stepping   bool // the keeper steps
	recovered  int  // records that a start found
}

// pendingRun is a token whose invocation the module holds; repeats wait for it.
type pendingRun struct {
	original   int32
	bodyHash   uint64
	duplicates []int32
}

// EnableResultCache has the node keep results of tokened invocations, whose token comes in a field. With unread, tokened work is
// turned away until KeptRead tells that the store was read.
func (sm *StateMachine) EnableResultCache(rules resultcache.Config, field string, unread bool) {
	sm.config.Node.MaxDeduplicationEntries = rules.MaxTokens()
	sm.versions.pinIndices(unread)
	sm.results = resultState{keeper: resultcache.New(rules), token: field, pending: make(map[resultcache.Key]*pendingRun), recovering: unread}
}

// Results is what an operator may want to see of the tokens, nil where none are kept.
func (sm *StateMachine) Results() *resultcache.Counters {
	if sm.results.keeper == nil {
		return nil
	}
	return &sm.results.keeper.Counters
}

// awaitingRecovery says whether a tokened invocation must be turned away: what ran in an earlier life is not known yet.
func (sm *StateMachine) awaitingRecovery(v *invocation) bool {
	return sm.results.recovering && v.tokenKey.Token != ""
}

// findOriginal finds what an invocation findOriginal, and tells the module as the simulator's wire does.
func (sm *StateMachine) findOriginal(v *invocation, e *admission.Event) error {
	k := &sm.results
	if v.tokenKey.Token == "" {
		return nil
	}
	if k.keeper == nil || sm.config.Node.Operations[e.OperationIndex].Idempotency != admission.IdempotentWithKey {
		v.tokenKey.Token = ""
		return nil
	}
	v.tokenKey.Operation, v.tokenKey.Tenant, v.bodyHash = e.OperationIndex, e.Tenant, xxhash.Sum64(v.body)
	if h := k.pending[v.tokenKey]; h != nil {
		if h.bodyHash != v.bodyHash {
			return errTokenReused
		}
		e.Original = h.original
	} else if hash, known := k.keeper.BodyHash(v.tokenKey); known {
		if hash != v.bodyHash {
			return errTokenReused
		}
		e.Original = admission.OriginalEnded
	}
	return nil
}

// deferInvocation notes a token's first invocation, which the module may deferInvocation, run or turn away.
func (sm *StateMachine) deferInvocation(i, repeats int32) {
	if v := &sm.invocations[i]; v.tokenKey.Token != "" && repeats == admission.NoOriginal {
		sm.results.pending[v.tokenKey] = &pendingRun{original: i, bodyHash: v.bodyHash}
		sm.claimToken(i)
	}
}

// joinOriginal has a repeat wait for the run of its token, or gets it what was kept.
func (sm *StateMachine) joinOriginal(i int32) {
	v := &sm.invocations[i]
	if !sm.Invariants.Check(v.live && !v.answered && v.tokenKey.Token != "", "only a repeat of a token is reused") {
		return
	}
	if h := sm.results.pending[v.tokenKey]; h != nil {
		h.duplicates = append(h.duplicates, i)
		return
	}
	if _, known := sm.results.keeper.BodyHash(v.tokenKey); !known { // its first was turned away unrun in the same step
		sm.askCacheAgain(i)
		return
	}
	sm.queryCache(i)
}

// queryCache hands an invocation to the keeper, which decides whether it runs, joins or is answered.
func (sm *StateMachine) queryCache(i int32) {
	v := &sm.invocations[i]
	v.inCache = true
	until := v.tokenExpiresAt
	if until == 0 {
		until = sm.now + v.terms.tokenLifetime
	}
	sm.stepCache(resultcache.Input{Kind: resultcache.InvocationReceived, Invocation: i, Key: v.tokenKey, BodyHash: v.bodyHash, Remaining: until - sm.now})
}

// startTokenRun lets a token's first run, and those that waited for it join.
func (sm *StateMachine) startTokenRun(i int32) {
	v := &sm.invocations[i]
	h := sm.results.pending[v.tokenKey]
	if sm.Invariants.Check(h != nil && h.original == i, "a token's first invocation runs") {
		delete(sm.results.pending, v.tokenKey)
	} else {
		h = &pendingRun{}
	}
	sm.queryCache(i)
	for _, j := range h.duplicates {
		sm.queryCache(j)
	}
}

// askCacheAgain takes a repeat in anew, as its token's first: what it repeated was turned away unrun, or its caller left.
func (sm *StateMachine) askCacheAgain(i int32) {
	v := sm.invocations[i]
	c := sm.connections[v.connection]
	if c == nil { // its connection ends in this step, and it with it
		return
	}
	if !sm.Invariants.Check(v.live && !v.answered, "one that is taken in anew still waits") {
		return
	}
	sm.invocations[i].answered = true
	sm.owedAnswers--
	sm.notifyController(admission.Event{Kind: admission.RunEnded, Invocation: i, Outcome: admission.NeverStarted})
	e := v.arrival
	v.inCache, v.tokenExpiresAt = false, 0
	j := sm.addInvocation(v)
	c.open[v.stream] = j
	e.Invocation, e.Age, e.Original = j, sm.now-v.arrivedAt+e.Age, admission.NoOriginal
	if v.terms != sm.currentTerms(v.operation) {
		e.Deadline = v.deadline // its client timeout is that of its terms
	}
	if h := sm.results.pending[v.tokenKey]; h != nil {
		e.Original = h.original
	}
	sm.invocations[j].arrival, sm.invocations[j].arrivedAt = e, sm.now
	sm.deferInvocation(j, e.Original)
	sm.notifyController(e)
}

// abandonToken takes an invocation that is answered, or whose caller left, out of what its token waits for. It says
// whether it must run on all the same, as others wait for it.
func (sm *StateMachine) abandonToken(i int32) bool {
	k, v := &sm.results, &sm.invocations[i]
	if v.tokenKey.Token == "" {
		return false
	}
	if h := k.pending[v.tokenKey]; h != nil && !v.inCache {
		if h.original != i {
			h.duplicates = slices.DeleteFunc(h.duplicates, func(j int32) bool { return j == i })
			return false
		}
		delete(k.pending, v.tokenKey)
		for _, j := range h.duplicates {
			sm.askCacheAgain(j)
		}
		return false
	}
	if !v.inCache {
		return false
	}
	sm.stepCache(resultcache.Input{Kind: resultcache.CallerDisconnected, Invocation: i, Key: v.tokenKey})
	v.abandoned = v.atExecutor && !v.exited && k.keeper.JoinedCount(v.tokenKey) > 0
	return v.abandoned
}

// runFinished tells the module that a run is over whose answer waited for the disk.
func (sm *StateMachine) runFinished(i int32) {
	if v := &sm.invocations[i]; v.exited {
		v.exited = false
		sm.notifyController(admission.Event{Kind: admission.RunEnded, Invocation: i, Outcome: v.outcome})
	}
}

// tokenRunEnded tells the keeper how a run ended. The answer follows once that is kept.
func (sm *StateMachine) tokenRunEnded(i int32, outcome admission.Outcome, body []byte) {
	v := &sm.invocations[i]
	v.exited, v.outcome, v.atExecutor = true, outcome, false
	ending := resultcache.Failed
	switch outcome {
	case admission.Succeeded:
		ending = resultcache.Succeeded
	case admission.NeverStarted:
		ending = resultcache.NeverStarted
	}
	sm.stepCache(resultcache.Input{Kind: resultcache.RunEnded, Key: v.tokenKey, Outcome: ending, Result: body})
	if v := &sm.invocations[i]; v.answered {
		sm.runFinished(i)
	}
}

// applyStoreInput takes what the store says.
func (sm *StateMachine) applyStoreInput(in *Input) {
	k := &sm.results
	if k.keeper == nil {
		return
	}
	switch in.Kind {
	case RecordsRecovered:
		for _, s := range in.Records {
			k.recovered++
			k.inputs = append(k.inputs, resultcache.Input{Kind: resultcache.RecordRecovered, Key: s.Key, BodyHash: s.BodyHash, Completed: s.Completed, Outcome: s.Outcome,
				Result: s.Result})
		}
		sm.stepCache()
	case RecoveryCompleted:
		k.recovering = false
		sm.stepCache(resultcache.Input{Kind: resultcache.RecoveryCompleted})
		sm.log(Info, fmt.Sprintf("kept results are read: %d records, %d tokens, %d of unknown outcome", k.recovered,
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
		sm.stepCache()
		if now := k.keeper.StoreFailing(); now && !failing {
			sm.log(Warn, "results can't be kept", "", in.Err)
		} else if failing && !now {
			sm.log(Info, "results are kept again", "", nil)
		}
	}
}

// stepCache steps the stepCache with inputs; what follows from its actions is stepped after them, never within.
func (sm *StateMachine) stepCache(inputs ...resultcache.Input) {
	k := &sm.results
	k.inputs = append(k.inputs, inputs...)
	if k.stepping {
		return
	}
	k.stepping = true
	for len(k.inputs) > 0 {
		batch := k.inputs
		k.inputs = nil
		for _, a := range k.keeper.Step(sm.now, batch) {
			sm.executeCacheAction(&a)
		}
	}
	k.stepping = false
}

func (sm *StateMachine) executeCacheAction(a *resultcache.Action) {
	switch a.Kind {
	case resultcache.Run:
		v := &sm.invocations[a.Invocation]
		if v.live && !v.answered {
			v.atExecutor = true
			sm.startRun(a.Invocation, v.runForm)
		}
	case resultcache.WriteStart:
		if sm.claiming.client != nil {
			sm.addClaimInput(claims.Input{Kind: claims.RequestStart, Key: sm.claimKey(a.Key), BodyHash: a.BodyHash, Remaining: a.Until - sm.now, Window: a.Until - sm.now})
			return
		}
		sm.emit(Effect{Kind: WriteRecord, Record: &resultcache.Record{Key: a.Key, BodyHash: a.BodyHash, Remaining: a.Until - sm.now}})
	case resultcache.WriteEnd:
		if sm.claiming.client != nil {
			sm.addClaimInput(claims.Input{Kind: claims.ReportEnd, Key: sm.claimKey(a.Key), Outcome: uint8(a.Outcome), Result: a.Result})
			return
		}
		sm.emit(Effect{Kind: WriteRecord, Record: &resultcache.Record{Key: a.Key, Completed: true, Outcome: a.Outcome, Result: a.Result,
			Remaining: sm.maxTokenLifetime(a.Key.Operation)}})
	case resultcache.RemoveRecord:
		if sm.claiming.client != nil {
			sm.addClaimInput(claims.Input{Kind: claims.AbandonClaim, Key: sm.claimKey(a.Key)})
		}
	case resultcache.Join:
	default:
		sm.answerFromCache(a)
	}
}

// answerFromCache gives an invocation the answer that the keeper has for it, and tells the module that it is over.
func (sm *StateMachine) answerFromCache(a *resultcache.Action) {
	i := a.Invocation
	v := &sm.invocations[i]
	if !sm.Invariants.Check(v.live && !v.answered, "the keeper answers only those that wait") {
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
		sm.succeed(i, a.Result, fields...)
	case resultcache.Reject:
		outcome = admission.NeverStarted
		if back := min(a.RetryAfter, sm.config.Node.MaxRetryAfter); back > 0 {
			note("pushback", strconv.FormatInt((back+ms-1)/ms, 10))
		}
		sm.answer(i, frame.Throttled, fields, nil)
	default:
		switch {
		case a.Kind == resultcache.OutcomeUnknown:
			note("outcome", "unknown")
		case a.Kind == resultcache.Mismatch:
			note("outcome", "token of another body")
		case a.ResultNotCached:
			note("outcome", "succeeded, its result is not kept")
		}
		sm.answer(i, frame.Errored, fields, nil)
	}
	if !own {
		sm.notifyController(admission.Event{Kind: admission.RunEnded, Invocation: i, Outcome: outcome})
	}
}

// expireResults lets tokens expire that are due.
func (sm *StateMachine) expireResults() {
	if k := &sm.results; k.keeper != nil && sm.now >= k.keeper.NextExpiry() {
		k.inputs = append(k.inputs, resultcache.Input{Kind: resultcache.CallerDisconnected})
		sm.stepCache()
	}
}

func (sm *StateMachine) resultsDue() int64 {
	if sm.results.keeper == nil {
		return never
	}
	return max(sm.now+1, sm.results.keeper.NextExpiry())
}
