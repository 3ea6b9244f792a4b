package node

import (
	"slices"

	"topazpost/internal/admission"
	"topazpost/internal/fleet/claims"
	"topazpost/internal/protocol/frame"
	"topazpost/internal/resultcache"
)

const (
	settlementTime     = 100 * ms // before its answer is due, an invocation that waits for its claim is given up, for a round trip to the group
	lateSettleTime     = 50 * ms  // for that round trip where the invocation is given up later than that
	settlingInvocation = -1       // in place of the index of an open stream's invocation: it waits for its claim to be settled
)

// pendingRefusal is an invocation that won't run here. It is answered with a throttle once the group confirms that no claim holds it, since a
// throttle promises that it has never run and never will.
type pendingRefusal struct {
	link         int
	stream       uint32
	invocationID string
	fields       []frame.Field // of the throttle
	answerBy     int64         // when it is answered with an error if the group has not answered
}

// refusalState holds the invocations whose claims are being settled, in the order in which they were given up.
type refusalState struct {
	pending []pendingRefusal
}

// isPending reports whether an invocation with an id waits for its claim to be settled.
func (rs *refusalState) isPending(invocationID string) bool {
	return slices.ContainsFunc(rs.pending, func(p pendingRefusal) bool { return p.invocationID == invocationID })
}

// take removes the refusal that matches, and reports whether there is one.
func (rs *refusalState) take(match func(p *pendingRefusal) bool) (found pendingRefusal, ok bool) {
	at := slices.IndexFunc(rs.pending, func(p pendingRefusal) bool { return match(&p) })
	if at < 0 {
		return found, false
	}
	found = rs.pending[at]
	rs.pending = slices.Delete(rs.pending, at, at+1)
	return found, true
}

// withdrawClaim removes the claim of an invocation that was not handed to the claims client yet, so that it never leaves this node.
func (cs *groupState) withdrawClaim(invocationID string) {
	cs.clientInputs = slices.DeleteFunc(cs.clientInputs, func(in claims.Input) bool {
		return in.Kind == claims.RequestClaim && in.InvocationID == invocationID
	})
}

// mayRunElsewhere reports whether another node may run an invocation, now or later.
func (sm *StateMachine) mayRunElsewhere(v *invocation) bool {
	return sm.group.enabled() && v.tokenKey.Token != "" && sm.group.client.MayBeHeld(claims.Key(v.tokenKey), v.invocationID)
}

// deferRefusal holds back the throttle of an invocation that another node may run, until its claim is settled. It reports whether it does;
// its stream then stays open.
func (sm *StateMachine) deferRefusal(v *invocation, fields []frame.Field) bool {
	sm.group.withdrawClaim(v.invocationID)
	c := sm.connections.get(v.connectionLink)
	if c == nil || !sm.mayRunElsewhere(v) {
		return false
	}
	c.openStreams[v.stream] = settlingInvocation
	sm.refusals.pending = append(sm.refusals.pending, pendingRefusal{link: v.connectionLink, stream: v.stream, invocationID: v.invocationID, fields: fields,
		answerBy: max(v.deadline-answerMargin, sm.now+lateSettleTime)})
	sm.addClaimInput(claims.Input{Kind: claims.SettleInvocation, Key: claims.Key(v.tokenKey), InvocationID: v.invocationID})
	sm.group.requestSweep(sm.now)
	return true
}

// invocationSettled answers an invocation that was given up, by what the group says of its claim.
func (sm *StateMachine) invocationSettled(a *claims.Action) {
	p, waits := sm.refusals.take(func(p *pendingRefusal) bool { return p.invocationID == a.InvocationID })
	if !waits {
		return
	}
	switch {
	case a.Held == claims.HeldByNobody:
		sm.endRefusal(&p, frame.Throttled, p.fields, nil)
	case a.Held == claims.HeldCompleted && resultcache.Outcome(a.Outcome) == resultcache.Succeeded:
		sm.degradation.countAnswer(true, false, admission.ReasonNone)
		sm.endRefusal(&p, frame.Succeeded, []frame.Field{keptField}, a.Result)
	case a.Held == claims.HeldCompleted:
		sm.endRefusal(&p, frame.Errored, []frame.Field{keptField}, nil)
	default:
		sm.failUnsettled(&p)
	}
}

// failUnsettled answers an invocation that another node may run or have run.
func (sm *StateMachine) failUnsettled(p *pendingRefusal) {
	sm.Counters.RefusalsUnsettled++
	sm.endRefusal(p, frame.Errored, []frame.Field{{Name: "outcome", Value: outcomeUnknownText}}, nil)
}

// endRefusal sends the answer that was held back.
func (sm *StateMachine) endRefusal(p *pendingRefusal, code byte, fields []frame.Field, body []byte) {
	sm.unansweredCount--
	sm.Counters.countAnswer(code)
	sm.sendFrame(p.link, p.stream, code, fields, body)
	if c := sm.connections.get(p.link); c != nil {
		sm.connections.streamClosed(c, p.stream)
	}
}

// dropRefusal forgets an invocation that was given up and whose caller has disconnected.
func (sm *StateMachine) dropRefusal(link int, stream uint32) {
	_, waits := sm.refusals.take(func(p *pendingRefusal) bool { return p.link == link && p.stream == stream })
	if sm.Invariants.Check(waits, "an open stream without an invocation waits for its claim to be settled") {
		sm.Counters.CallersDisconnected++
		sm.unansweredCount--
	}
}

// answerOverdueRefusals answers the invocations whose claims the group has not settled in time, before the process ends.
func (sm *StateMachine) answerOverdueRefusals() {
	lastAnswerAt := int64(never)
	if sm.drain.isRequested() {
		lastAnswerAt = sm.drain.exitDeadline() - answerMargin
	}
	for {
		p, overdue := sm.refusals.take(func(p *pendingRefusal) bool { return sm.now >= min(p.answerBy, lastAnswerAt) })
		if !overdue {
			return
		}
		sm.failUnsettled(&p)
	}
}
