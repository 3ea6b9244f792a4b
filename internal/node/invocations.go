package node

import (
	"strconv"

	"topazpost/internal/admission"
	"topazpost/internal/protocol/frame"
	"topazpost/internal/protocol/lineprotocol"
	"topazpost/internal/resultcache"
)

// invocation is a dispatcher's invocation, from its arrival until the controller releases its index.
type invocation struct {
	live             bool
	answered         bool
	connectionLink   int // link of its connection
	stream           uint32
	invocationID     string // the dispatcher's id of it
	operationName    string // name of its operation
	body             []byte
	callRequest      []byte // body of the dependency call that its run waits for
	callInFlight     bool   // that call is in flight
	callWritten      bool   // a call of it was written to the catalogue, this one or an earlier one
	callDeadline     int64
	tokenKey         resultcache.Key // its Token is empty without an idempotency key
	bodyHash         uint64
	tokenExpiresAt   int64 // when its token is forgotten
	arrivalEvent     admission.Event
	arrivedAt        int64
	deadline         int64 // when its client timeout ends
	atExecutor       bool  // its run for its token is at the executor
	inCache          bool  // the result cache knows it
	runEndUnreported bool  // its run has ended, and its answer waits for the disk
	runOutcome       admission.Outcome
	abandoned        bool // its caller left, and others wait for its run
	runForm          admission.Form
	levelName        string // name of the level whose reduced form runs, empty for the full operation
	operationIndex   int32
	tenant           int32 // -1 without one
	terms            *terms
}

// addInvocation gives an invocation an index.
func (sm *StateMachine) addInvocation(v invocation) int32 {
	sm.versions.acquireReferences(&v, sm.currentTerms(v.operationIndex))
	index := sm.allocateIndex()
	sm.invocations[index] = v
	sm.indexByID[v.invocationID] = index
	sm.owedAnswers++
	return index
}

// allocateIndex is a free index of invocations.
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

// findInvocation is the live invocation of a call, or nil.
func (sm *StateMachine) findInvocation(invocationID string) (int32, *invocation) {
	if i, ok := sm.indexByID[invocationID]; ok {
		return i, &sm.invocations[i]
	}
	return -1, nil
}

// releaseInvocation frees an index. Should the controller release an invocation without an answer, it is failed.
func (sm *StateMachine) releaseInvocation(i int32) {
	v := &sm.invocations[i]
	if !sm.Invariants.Check(v.live, "an index released is live") {
		return
	}
	if !sm.Invariants.Check(v.answered, "what is released was answered") {
		sm.fail(i)
	}
	sm.catalogue.cancelCall(i)
	if sm.indexByID[v.invocationID] == i {
		delete(sm.indexByID, v.invocationID)
	}
	sm.versions.releaseReferences(v)
	*v = invocation{}
	sm.freeIndices = append(sm.freeIndices, i)
}

// startRun sends an invocation to the executor, by way of its token where it has one.
func (sm *StateMachine) startRun(i int32, form admission.Form) {
	v := &sm.invocations[i]
	if !sm.Invariants.Check(v.live && !v.answered, "no run after an answer") {
		return
	}
	if v.tokenKey.Token != "" && !v.inCache {
		v.runForm = form
		sm.startTokenRun(i)
		return
	}
	class, level := sm.executorOperation(v.operationName, form)
	v.levelName = level
	sm.sendCommand(i, lineprotocol.AppendBody(nil, v.body, "EXEC", v.invocationID, class))
	v.body = nil
}

// callerDisconnected ends an invocation whose caller left, unless others wait for its run.
func (sm *StateMachine) callerDisconnected(i int32) {
	v := &sm.invocations[i]
	if !sm.Invariants.Check(v.live && !v.answered, "an open stream is owed an answer") {
		return
	}
	sm.Counters.CallersGone++
	v.answered = true
	sm.owedAnswers--
	if sm.removeTokenWaiter(i) {
		return
	}
	sm.catalogue.cancelCall(i)
	sm.events = append(sm.events, admission.Event{Kind: admission.CallerDisconnected, Invocation: i})
	sm.reportRunEnd(i)
}

// reject answers with a throttle, which promises that the invocation has never run.
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

// succeed answers with a result. That of a reduced form names its level.
func (sm *StateMachine) succeed(i int32, result []byte, fields ...frame.Field) {
	if level := sm.invocations[i].levelName; level != "" {
		fields = append(fields, frame.Field{Name: "level", Value: level})
	}
	sm.degradation.countAnswer(true, sm.invocations[i].levelName != "", admission.ReasonNone)
	sm.answer(i, frame.Succeeded, fields, result)
}

// fail answers with an error.
func (sm *StateMachine) fail(i int32) { sm.answer(i, frame.Errored, nil, nil) }

// answer gives the one answer of an invocation.
func (sm *StateMachine) answer(i int32, code byte, fields []frame.Field, body []byte) {
	v := &sm.invocations[i]
	if v.abandoned {
		sm.catalogue.cancelCall(i)
		return
	}
	if !sm.Invariants.Check(v.live && !v.answered, "one answer an invocation") {
		return
	}
	v.answered = true
	sm.owedAnswers--
	sm.catalogue.cancelCall(i)
	sm.removeTokenWaiter(i)
	sm.reportRunEnd(i)
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

// endTakenOver ends an invocation that was taken over from a lost node: there is no caller to answer.
func (sm *StateMachine) endTakenOver(v *invocation, code byte) {
	if code != frame.Succeeded {
		sm.Counters.InheritedGivenUp++
		sm.log(Info, "work taken over from a lost node is given up here; who asks for it again may run it", v.invocationID, nil)
	}
}

// sendCommand sends the executor a command of an invocation.
func (sm *StateMachine) sendCommand(i int32, bytes []byte) { sm.executor.sendCommand(i, bytes) }
