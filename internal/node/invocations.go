package node

import (
	"strconv"

	"topazpost/internal/admission"
	"topazpost/internal/protocol/frame"
	"topazpost/internal/resultcache"
)

// invocation is the state of a dispatcher's invocation, from its arrival until the controller releases its index. Times are
// nanoseconds of the machine's clock.
type invocation struct {
	live             bool // the index is in use
	answered         bool // or it needs no answer any more: its caller disconnected, or it was resubmitted
	connectionLink   int  // link of the dispatcher's connection, noConnection if taken over from a lost node
	stream           uint32
	invocationID     string // given by the dispatcher, in the field call
	operationName    string
	body             []byte
	callRequest      []byte // body of the call to the catalogue that the run waits for
	callInFlight     bool   // the call of callRequest is in flight
	callWritten      bool   // at least one call of the run was written to the catalogue
	callDeadline     int64
	tokenKey         resultcache.Key // its Token is empty where the invocation has none
	bodyHash         uint64
	tokenExpiresAt   int64 // when the token expires
	arrivalEvent     admission.Event
	arrivedAt        int64
	deadline         int64 // when the client timeout ends
	submittedToCache bool  // it was submitted to the result cache
	runHolder        runHolder
	runOutcome       admission.Outcome // of a run that the cache holds
	executed         bool              // its run was sent to the executor, which has not told that it never started
	callerLeft       bool              // its caller disconnected before it was answered
	abandoned        bool              // its caller disconnected, but other invocations wait for its run
	resubmitted      bool              // another invocation of the same stream has replaced it
	runForm          admission.Form    // chosen by the controller
	levelName        string            // of the reduced form that runs, empty for the full operation
	operationIndex   int32
	tenant           int32 // -1 without one
	tokenLimits      *tokenLimits
}

// addInvocation stores an invocation and returns its index.
func (sm *StateMachine) addInvocation(v invocation) int32 {
	sm.versions.acquireReferences(&v, sm.currentTokenLimits(v.operationIndex))
	index := sm.allocateIndex()
	sm.invocations[index] = v
	sm.indexByID[v.invocationID] = index
	sm.unansweredCount++
	return index
}

// allocateIndex returns a free index of the table of invocations.
func (sm *StateMachine) allocateIndex() int32 {
	last := len(sm.freeIndices) - 1
	if last < 0 {
		sm.invocations = append(sm.invocations, invocation{})
		return int32(len(sm.invocations) - 1)
	}
	index := sm.freeIndices[last]
	sm.freeIndices = sm.freeIndices[:last]
	return index
}

// findInvocation returns the live invocation with an id and its index, or nil and -1.
func (sm *StateMachine) findInvocation(invocationID string) (int32, *invocation) {
	if i, ok := sm.indexByID[invocationID]; ok {
		return i, &sm.invocations[i]
	}
	return -1, nil
}

// releaseInvocation frees the index of an invocation. An invocation that the controller releases unanswered is answered
// with an error.
func (sm *StateMachine) releaseInvocation(i int32) {
	v := &sm.invocations[i]
	if !sm.Invariants.Check(v.live, "a released invocation index must be in use") {
		return
	}
	if !sm.Invariants.Check(v.answered, "a released invocation must have been answered") {
		sm.fail(i)
	}
	sm.Invariants.Check(v.runHolder == notHeld, "a released invocation has no run")
	sm.catalogue.cancelCall(i)
	if sm.indexByID[v.invocationID] == i {
		delete(sm.indexByID, v.invocationID)
	}
	sm.rememberRun(v)
	sm.versions.releaseReferences(v)
	*v = invocation{}
	sm.freeIndices = append(sm.freeIndices, i)
}

// callerDisconnected ends an invocation whose caller disconnected, unless other invocations wait for its run.
func (sm *StateMachine) callerDisconnected(i int32) {
	v := &sm.invocations[i]
	if !sm.Invariants.Check(v.live && !v.answered, "the invocation of an open stream must be unanswered") {
		return
	}
	sm.Counters.CallersDisconnected++
	v.answered = true
	v.callerLeft = true
	sm.unansweredCount--
	if sm.removeTokenWaiter(i) {
		return
	}
	sm.catalogue.cancelCall(i)
	sm.events = append(sm.events, admission.Event{Kind: admission.CallerDisconnected, Invocation: i})
	sm.endCachedRun(i)
}

// reject answers an invocation with a throttle, which promises that it has never run.
func (sm *StateMachine) reject(a *admission.Action) {
	var fields []frame.Field
	if a.Duration > 0 {
		fields = append(fields, frame.Field{Name: "pushback", Value: strconv.FormatInt((a.Duration+ms-1)/ms, 10)})
	}
	if a.NoRetry {
		fields = append(fields, frame.Field{Name: "stop", Value: "1"})
	}
	sm.answer(a.Invocation, frame.Throttled, fields, nil)
}

// succeed answers an invocation with a result, and names the level if a reduced form ran.
func (sm *StateMachine) succeed(i int32, result []byte, fields ...frame.Field) {
	if level := sm.invocations[i].levelName; level != "" {
		fields = append(fields, frame.Field{Name: "level", Value: level})
	}
	sm.degradation.countAnswer(true, sm.invocations[i].levelName != "", admission.ReasonNone)
	sm.answer(i, frame.Succeeded, fields, result)
}

// fail answers an invocation with an error.
func (sm *StateMachine) fail(i int32) { sm.answer(i, frame.Errored, nil, nil) }

// answer sends the only answer of an invocation. A throttle waits until the claim of the invocation is settled.
func (sm *StateMachine) answer(i int32, code byte, fields []frame.Field, body []byte) {
	v := &sm.invocations[i]
	if v.resubmitted { // the invocation that replaced it is answered
		return
	}
	if v.abandoned {
		sm.catalogue.cancelCall(i)
		return
	}
	if !sm.Invariants.Check(v.live && !v.answered, "an invocation is answered once") {
		return
	}
	v.answered = true
	deferred := code == frame.Throttled && sm.deferRefusal(v, fields)
	if !deferred {
		sm.unansweredCount--
	}
	sm.catalogue.cancelCall(i)
	sm.removeTokenWaiter(i)
	sm.endCachedRun(i)
	if deferred {
		return
	}
	if v.connectionLink == noConnection {
		sm.endTakenOver(v, code)
		return
	}
	sm.Counters.countAnswer(code)
	sm.sendFrame(v.connectionLink, v.stream, code, fields, body)
	if c := sm.connections.get(v.connectionLink); c != nil {
		sm.connections.streamClosed(c, v.stream)
	}
}

// endTakenOver records the end of an invocation that was taken over from a lost node. It has no caller to answer.
func (sm *StateMachine) endTakenOver(v *invocation, code byte) {
	if code != frame.Succeeded {
		sm.Counters.InvocationsTakenOverFailed++
		sm.log(Info, "invocation taken over from a lost node ended without a result; a repeat of it may run", v.invocationID, nil)
	}
}
