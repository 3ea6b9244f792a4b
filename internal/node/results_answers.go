package node

import (
	"fmt"
	"strconv"

	"topazpost/internal/admission"
	"topazpost/internal/fleet/claims"
	"topazpost/internal/protocol/frame"
	"topazpost/internal/resultcache"
)

const outcomeUnknownText = "unknown" // in the field outcome

// keptField marks the result of another invocation's run, or of a run at another node.
var keptField = frame.Field{Name: "kept", Value: "1"}

// submitToCache submits an invocation to the result cache, which runs it, joins it to the run of its token, or answers it.
func (sm *StateMachine) submitToCache(i int32) {
	v := &sm.invocations[i]
	v.submittedToCache = true
	until := v.tokenExpiresAt
	if until == 0 {
		until = sm.now + v.tokenLimits.tokenLifetime
	}
	sm.stepCache(resultcache.Input{Kind: resultcache.InvocationReceived, Invocation: i, Key: v.tokenKey, BodyHash: v.bodyHash, Remaining: until - sm.now})
}

// tokenRunEnded reports the outcome of a run to the result cache, which answers when the outcome is recorded. The cache holds the run
// until then.
func (sm *StateMachine) tokenRunEnded(i int32, outcome admission.Outcome, body []byte) {
	v := &sm.invocations[i]
	v.runHolder = heldByCache
	v.runOutcome = outcome
	ending := resultcache.Failed
	switch outcome {
	case admission.Succeeded:
		ending = resultcache.Succeeded
	case admission.NeverStarted:
		ending = resultcache.NeverStarted
	}
	sm.stepCache(resultcache.Input{Kind: resultcache.RunEnded, Key: v.tokenKey, Outcome: ending, Result: body})
	if sm.invocations[i].answered { // stepCache has answered it; v may be stale, as the table may have been reallocated
		sm.endCachedRun(i)
	}
}

// applyStoreInput handles an input of the store. Without a result cache it is ignored.
func (sm *StateMachine) applyStoreInput(in *Input) {
	rs := &sm.results
	if rs.cache == nil {
		return
	}
	switch in.Kind {
	case RecordsRecovered:
		sm.recoverRecords(in.Records)
	case RecoveryCompleted:
		rs.recovering = false
		sm.stepCache(resultcache.Input{Kind: resultcache.RecoveryCompleted})
		counters := &rs.cache.Counters
		sm.log(Info, fmt.Sprintf("result store read: %d records, %d tokens, %d of unknown outcome", rs.recoveredRecords, counters.Entries, counters.Unknown), "", nil)
		sm.logUnnamedRecords()
		sm.restrictAfterDamage(in.DamagedPlaces)
	case RecordWritten:
		sm.writesFinished(in, resultcache.WriteSucceeded)
	case RecordWriteFailed:
		sm.writesFinished(in, resultcache.WriteFailed)
	}
}

// writesFinished passes the end of writes to the result cache, and logs when the store starts or stops failing.
func (sm *StateMachine) writesFinished(in *Input, kind resultcache.InputKind) {
	rs := &sm.results
	before := rs.cache.StoreFailing()
	for _, r := range in.Records {
		rs.inputs = append(rs.inputs, resultcache.Input{Kind: kind, Key: r.Key})
	}
	sm.stepCache()
	after := rs.cache.StoreFailing()
	if after && !before {
		sm.log(Warn, "writing results to the store failed", "", in.Err)
	} else if before && !after {
		sm.log(Info, "results are written to the store again", "", nil)
	}
}

// stepCache steps the result cache with inputs and executes its actions. Inputs that the actions cause are queued for a next step
// of the loop, as steps must not nest.
func (sm *StateMachine) stepCache(inputs ...resultcache.Input) {
	rs := &sm.results
	rs.inputs = append(rs.inputs, inputs...)
	if rs.stepping {
		return
	}
	rs.stepping = true
	for len(rs.inputs) > 0 {
		batch := rs.inputs
		rs.inputs = nil
		for _, a := range rs.cache.Step(sm.now, batch) {
			sm.executeCacheAction(&a)
		}
	}
	rs.stepping = false
}

func (sm *StateMachine) executeCacheAction(a *resultcache.Action) {
	switch a.Kind {
	case resultcache.Run:
		sm.startRecordedRun(a.Invocation, a.Key)
	case resultcache.WriteStart:
		sm.recordRunStart(a)
	case resultcache.WriteEnd:
		sm.recordRunEnd(a)
	case resultcache.RemoveRecord:
		if sm.group.enabled() {
			sm.addClaimInput(claims.Input{Kind: claims.AbandonClaim, Key: claims.Key(a.Key)})
		}
	case resultcache.Join: // the invocation waits
	default:
		sm.answerFromCache(a)
	}
}

// recordRunStart records that a run starts: in the consensus group where there is one, otherwise in the store.
func (sm *StateMachine) recordRunStart(a *resultcache.Action) {
	remaining := a.Until - sm.now
	if sm.group.enabled() {
		sm.addClaimInput(claims.Input{Kind: claims.RequestStart, Key: claims.Key(a.Key), BodyHash: a.BodyHash, Remaining: remaining, Retention: remaining})
		return
	}
	indices, _ := sm.resultIndices(a.Key)
	sm.emit(Effect{Kind: WriteRecord, Record: &resultcache.Record{Key: a.Key, Indices: indices, BodyHash: a.BodyHash, Remaining: remaining}})
}

// recordRunEnd records the outcome of a run in the consensus group or the store. In the store it stays for the longest lifetime of
// the operation's tokens, counted from the end of the run.
func (sm *StateMachine) recordRunEnd(a *resultcache.Action) {
	if sm.group.enabled() {
		sm.addClaimInput(claims.Input{Kind: claims.ReportEnd, Key: claims.Key(a.Key), Outcome: uint8(a.Outcome), Result: a.Result})
		return
	}
	indices, _ := sm.resultIndices(a.Key)
	sm.emit(Effect{Kind: WriteRecord, Record: &resultcache.Record{Key: a.Key, Indices: indices, BodyHash: a.BodyHash, Completed: true, Outcome: a.Outcome,
		Result: a.Result, Remaining: sm.maxTokenLifetime(indices.Operation)}})
}

// answerFromCache answers an invocation as the result cache decided, and notifies the admission controller of its end.
func (sm *StateMachine) answerFromCache(a *resultcache.Action) {
	i := a.Invocation
	v := &sm.invocations[i]
	if !sm.Invariants.Check(v.live && !v.answered, "the result cache answers only unanswered invocations") {
		return
	}
	joined := v.runHolder == notHeld // answer ends the run of the invocation itself
	var fields []frame.Field
	if a.FromCache {
		fields = append(fields, keptField)
	}
	outcome := admission.Errored
	switch a.Kind {
	case resultcache.Serve:
		outcome = admission.Succeeded
		sm.succeed(i, a.Result, fields...)
	case resultcache.Reject:
		outcome = admission.NeverStarted
		if retryAfter := min(a.RetryAfter, sm.config.Node.MaxRetryAfter); retryAfter > 0 {
			fields = append(fields, frame.Field{Name: "pushback", Value: strconv.FormatInt((retryAfter+ms-1)/ms, 10)})
		}
		sm.answer(i, frame.Throttled, fields, nil)
	default:
		if text := outcomeText(a); text != "" {
			fields = append(fields, frame.Field{Name: "outcome", Value: text})
		}
		sm.answer(i, frame.Errored, fields, nil)
	}
	if joined {
		sm.endJoined(i, outcome)
	}
}

// outcomeText returns what the caller is told of a run whose result can't be sent, empty if nothing more than the error is
// known. The texts are part of the protocol.
func outcomeText(a *resultcache.Action) string {
	switch {
	case a.Kind == resultcache.OutcomeUnknown:
		return outcomeUnknownText
	case a.Kind == resultcache.Mismatch:
		return "token of another body"
	case a.ResultNotCached:
		return "succeeded, its result is not kept"
	default:
		return ""
	}
}

// expireTokens expires the tokens that are due. Any step of the cache does so, but stepCache needs an input: a disconnect with an
// empty key is ignored.
func (sm *StateMachine) expireTokens() {
	rs := &sm.results
	if rs.cache != nil && sm.now >= rs.cache.NextExpiry() {
		sm.stepCache(resultcache.Input{Kind: resultcache.CallerDisconnected})
	}
}

// resultsDue returns when the next token expires.
func (sm *StateMachine) resultsDue() int64 {
	if sm.results.cache == nil {
		return never
	}
	return max(sm.now+1, sm.results.cache.NextExpiry())
}
