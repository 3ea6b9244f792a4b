package node

import (
	"strconv"

	"topazpost/internal/admission"
	"topazpost/internal/protocol/frame"
	"topazpost/internal/protocol/lineprotocol"
	"topazpost/internal/resultcache"
)

// invocation is what the door keeps of one.
type invocation struct {
	live, answered bool
	connection     int
	stream         uint32
	call, op       string
	body           []byte
	callRequest    []byte // body of the call that the run waits for
	calling        bool
	called         bool // a call of its was written to the catalogue, this one or an earlier one
	callDeadline   int64
	tokenKey       resultcache.Key // of a tokened one, its Token empty in others
	bodyHash       uint64          // of its body
	tokenExpiresAt int64           // until which its token is known, as the module asked
	arrival        admission.Event // as the module was told of it
	arrivedAt      int64           // when
	deadline       int64           // when its client timeout ends
	atExecutor     bool            // at the executor, for its token
	inCache        bool            // the keeper of results knows it
	exited         bool            // its run is over, and its answer waits for the disk
	outcome        admission.Outcome
	abandoned      bool // its caller left, others wait for its run
	runForm        admission.Form
	form           string // name of the level whose reduced form runs, empty for the whole operation
	operation      int32
	tenant         int32 // -1 where it has none
	terms          *terms
}

func (sm *StateMachine) addInvocation(v invocation) int32 {
	sm.versions.take(&v, sm.currentTerms(v.operation))
	index := int32(len(sm.invocations))
	if n := len(sm.freeIndices); n > 0 {
		index, sm.freeIndices = sm.freeIndices[n-1], sm.freeIndices[:n-1]
	} else {
		sm.invocations = append(sm.invocations, invocation{})
	}
	sm.invocations[index] = v
	sm.indexByCall[v.call] = index
	sm.owedAnswers++
	return index
}

// findInvocation finds the invocation that an id names, if it is live.
func (sm *StateMachine) findInvocation(call string) (int32, *invocation) {
	if i, ok := sm.indexByCall[call]; ok {
		return i, &sm.invocations[i]
	}
	return -1, nil
}

// releaseInvocation forgets an index; the module ends nothing unanswered, but should it, an error is the answer.
func (sm *StateMachine) releaseInvocation(i int32) {
	v := &sm.invocations[i]
	if !sm.Invariants.Check(v.live, "an index released is live") {
		return
	}
	if !sm.Invariants.Check(v.answered, "what is released was answered") {
		sm.fail(i)
	}
	sm.catalogue.cancelCall(i)
	if sm.indexByCall[v.call] == i {
		delete(sm.indexByCall, v.call)
	}
	sm.versions.over(v)
	*v = invocation{}
	sm.freeIndices = append(sm.freeIndices, i)
}

func (sm *StateMachine) startRun(i int32, form admission.Form) {
	v := &sm.invocations[i]
	if sm.Invariants.Check(v.live && !v.answered, "no run after an answer") {
		if v.tokenKey.Token != "" && !v.inCache {
			v.runForm = form
			sm.startTokenRun(i)
			return
		}
		class, level := sm.formFor(v.op, form)
		v.form = level
		sm.sendCommand(i, lineprotocol.AppendBody(nil, v.body, "EXEC", v.call, class))
		v.body = nil
	}
}

func (sm *StateMachine) callerDisconnected(i int32) {
	v := &sm.invocations[i]
	if sm.Invariants.Check(v.live && !v.answered, "an open stream is owed an answer") {
		sm.Counters.CallersGone++
		v.answered = true
		sm.owedAnswers--
		if sm.abandonToken(i) { // others wait for its run, which goes on
			return
		}
		sm.catalogue.cancelCall(i)
		sm.events = append(sm.events, admission.Event{Kind: admission.CallerDisconnected, Invocation: i})
		sm.runFinished(i)
	}
}

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

// succeed answers with a result; one of a reduced form says at which level, so that none takes it for a whole one.
func (sm *StateMachine) succeed(i int32, result []byte, fields ...frame.Field) {
	if level := sm.invocations[i].form; level != "" {
		fields = append(fields, frame.Field{Name: "level", Value: level})
	}
	sm.degradation.count(true, sm.invocations[i].form != "", admission.ReasonNone)
	sm.answer(i, frame.Succeeded, fields, result)
}

func (sm *StateMachine) fail(i int32) { sm.answer(i, frame.Errored, nil, nil) }

// answer gives the one answer of an invocation.
func (sm *StateMachine) answer(i int32, code byte, fields []frame.Field, body []byte) {
	v := &sm.invocations[i]
	if v.abandoned { // nobody waits for it
		sm.catalogue.cancelCall(i)
		return
	}
	if !sm.Invariants.Check(v.live && !v.answered, "one answer an invocation") {
		return
	}
	v.answered = true
	sm.owedAnswers--
	sm.catalogue.cancelCall(i)
	sm.abandonToken(i)
	sm.runFinished(i)
	if v.connection == heir {
		if code != frame.Succeeded {
			sm.Counters.InheritedGivenUp++
			sm.log(Info, "work taken over from a lost node is given up here; who asks for it again may run it", v.call, nil)
		}
		return
	}
	switch code {
	case frame.Succeeded:
		sm.Counters.Succeeded++
	case frame.Throttled:
		sm.Counters.Throttled++
	default:
		sm.Counters.Errored++
	}
	sm.sendFrame(v.connection, v.stream, code, fields, body)
	if c := sm.connections.get(v.connection); c != nil {
		sm.connections.streamClosed(c, v.stream)
	}
}

// sendCommand sends the executor a command of an invocation.
func (sm *StateMachine) sendCommand(i int32, bytes []byte) { sm.executor.sendCommand(i, bytes) }
