package node

import (
	"topazpost/internal/admission"
	"topazpost/internal/protocol/lineprotocol"
	"topazpost/internal/resultcache"
)

// runHolder is the part of the node that holds the run of an invocation. A run takes up a slot and memory at the admission controller
// until endRun reports its end, and the holder has to see to that, in whatever way the invocation ends.
type runHolder uint8

const (
	// notHeld means that no run was started, or that its end was reported.
	notHeld runHolder = iota
	// heldByCache means that the start or the end of the run is being recorded, and that the invocation waits for that. The run is over
	// once the invocation is answered or its caller has disconnected.
	heldByCache
	// heldByExecutor means that an EXEC was logged. The run is over once the executor has told its end, refused the EXEC, or could not
	// have read it.
	heldByExecutor
)

// startRun carries out the controller's decision to run an invocation. One with a token goes to the result cache first, which records
// the start.
func (sm *StateMachine) startRun(i int32, form admission.Form) {
	v := &sm.invocations[i]
	if !sm.Invariants.Check(v.live && !v.answered && v.runHolder == notHeld, "a run starts only for an unanswered invocation without a run") {
		sm.notifyController(admission.Event{Kind: admission.RunEnded, Invocation: i, Outcome: admission.NeverStarted})
		return
	}
	v.runForm = form
	if v.tokenKey.Token == "" {
		sm.sendRun(i)
		return
	}
	v.runHolder = heldByCache
	v.runOutcome = admission.NeverStarted // unless the executor tells another outcome
	sm.startTokenRun(i)
}

// startRecordedRun sends the executor the run of a token, whose start is recorded. The invocation is the one that the controller started,
// or a duplicate that takes its place and needs a slot of its own. A run that nobody waits for any more does not start.
func (sm *StateMachine) startRecordedRun(i int32, key resultcache.Key) {
	v := &sm.invocations[i]
	if !v.live || v.answered {
		sm.stepCache(resultcache.Input{Kind: resultcache.RunEnded, Key: key, Outcome: resultcache.NeverStarted})
		return
	}
	if v.runHolder == notHeld {
		sm.notifyController(admission.Event{Kind: admission.RunStarted, Invocation: i})
	}
	sm.sendRun(i)
}

// sendRun sends the executor the run of an invocation.
func (sm *StateMachine) sendRun(i int32) {
	v := &sm.invocations[i]
	v.runHolder = heldByExecutor
	v.executed = true
	executorName, level := sm.executorOperation(v.operationName, v.runForm)
	v.levelName = level
	sm.executor.sendCommand(execCommand, i, lineprotocol.AppendBody(nil, v.body, "EXEC", v.invocationID, executorName))
	v.body = nil
}

// executorRunEnded handles the end of a run that the executor held. The end of a run with a token is recorded before it is reported.
func (sm *StateMachine) executorRunEnded(i int32, outcome admission.Outcome, result []byte) {
	if sm.invocations[i].submittedToCache {
		sm.tokenRunEnded(i, outcome, result)
		return
	}
	sm.endRun(i, outcome)
}

// endCachedRun ends the run of an invocation that was answered, or whose caller has disconnected, if the cache holds it: what is being
// recorded is of no use to this invocation any more.
func (sm *StateMachine) endCachedRun(i int32) {
	if v := &sm.invocations[i]; v.runHolder == heldByCache {
		sm.endRun(i, v.runOutcome)
	}
}

// endRun reports the end of a run to the controller, which gets its slot and memory back. It is the only way in which they are given back.
func (sm *StateMachine) endRun(i int32, outcome admission.Outcome) {
	v := &sm.invocations[i]
	if !sm.Invariants.Check(v.live && v.runHolder != notHeld, "a run that ends is held") {
		return
	}
	v.runHolder = notHeld
	v.executed = v.executed && outcome != admission.NeverStarted
	sm.notifyController(admission.Event{Kind: admission.RunEnded, Invocation: i, Outcome: outcome})
}

// endJoined reports the end of a duplicate that waited for the run of another invocation.
func (sm *StateMachine) endJoined(i int32, outcome admission.Outcome) {
	sm.notifyController(admission.Event{Kind: admission.RunEnded, Invocation: i, Outcome: outcome})
}

// runCounter is implemented by controllers that tell how many runs hold a slot.
type runCounter interface{ RunsInProgress() int }

// CheckRuns checks that each run which the controller counts has a holder that will end it. It examines all invocations, so that a step
// calls it in debug builds only; simulations call it in others too.
func (sm *StateMachine) CheckRuns() {
	held := 0
	for i := range sm.invocations {
		v := &sm.invocations[i]
		if v.runHolder != notHeld {
			held++
		}
		if v.runHolder == heldByCache {
			waits := v.live && !v.answered && sm.results.cache.IsWaiting(v.tokenKey, int32(i))
			sm.Invariants.Check(waits, "the invocation of a run that the cache holds waits for its record")
		}
	}
	for k := range sm.executor.commands.unacknowledged {
		c := &sm.executor.commands.unacknowledged[k]
		v := &sm.invocations[c.invocationIndex]
		sm.Invariants.Check(v.runHolder == heldByExecutor && v.invocationID == c.invocationID, "a logged command belongs to a run that the executor holds")
	}
	controller, counts := sm.controller.(runCounter)
	if counts && len(sm.deferredEvents) == 0 {
		sm.Invariants.Check(controller.RunsInProgress() == held, "each run that the controller counts has a holder")
	}
}
