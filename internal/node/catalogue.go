package node

import (
	"slices"
	"strconv"

	"topazpost/internal/admission"
	"topazpost/internal/protocol/lineprotocol"
)

const (
	catalogueIdleTimeout  = 100 * ms // ns of standing idle past which a link to the catalogue is left: it may be forgotten there
	maxIdleCatalogueLinks = 8        // links to the catalogue that may stand idle: those of a burst are not kept
)

// catalogueLink is a link to the catalogue. It carries one call at a time: what a spoilt or missing reply takes with it
// is that call, and the link goes with it. Does harm, as each call in hand needs a descriptor, where there are few.
type catalogueLink struct {
	id         int
	address    string
	up         bool
	invocation int32 // whose call it carries, -1 for none
	unmatched  bool  // it brought what was not asked for
	idleSince  int64 // when it came to stand idle
}

// callDependency makes the callDependency that a run stands at.
func (sm *StateMachine) callDependency(i int32, until int64) {
	v := &sm.invocations[i]
	if !sm.Invariants.Check(v.live && !v.calling && v.callRequest != nil, "a call is made where a run stands at one") {
		return
	}
	sm.Invariants.Check(sm.leases.holder == nil || sm.leases.holder.Allowed(sm.now) > 0, "a call is made while a lease goes on")
	v.calling, v.callDeadline = true, until
	sm.waitingCalls = append(sm.waitingCalls, i)
	sm.sendWaitingCalls()
}

// sendWaitingCalls gives calls a link each while there may be more links. The first call of a run takes the link that
// stood idle for the shortest time; any later one a new link, on which no second copy of an earlier reply can come.
func (sm *StateMachine) sendWaitingCalls() {
	for len(sm.waitingCalls) > 0 {
		i := sm.waitingCalls[0]
		best := -1
		for k := range sm.catalogueLinks {
			s := &sm.catalogueLinks[k]
			if s.up && s.invocation < 0 && sm.now-s.idleSince < catalogueIdleTimeout && (best < 0 || s.idleSince > sm.catalogueLinks[best].idleSince) {
				best = k
			}
		}
		switch {
		case best >= 0 && !sm.invocations[i].called:
			sm.catalogueLinks[best].invocation = i
			sm.sendCall(&sm.catalogueLinks[best])
		case len(sm.catalogueLinks) < sm.maxCatalogueLinks:
			s := catalogueLink{id: sm.nextLink(), address: sm.addresses.Catalogue, invocation: i}
			sm.catalogueLinks = append(sm.catalogueLinks, s)
			sm.emit(Effect{Kind: DialCatalogue, Link: s.id, Address: s.address})
		case best >= 0:
			sm.closeCatalogueLink(best)
			continue
		default:
			return
		}
		sm.waitingCalls = slices.Delete(sm.waitingCalls, 0, 1)
	}
}

func (sm *StateMachine) sendCall(s *catalogueLink) {
	v := &sm.invocations[s.invocation]
	v.called = true
	wait := strconv.FormatInt(max(1, (v.callDeadline-sm.now)/ms), 10)
	by := int64(0)
	if sm.leases.holder != nil { // what is written late, after a pause, would be one call too many
		by = v.callDeadline
	}
	sm.emit(Effect{Kind: SendToCatalogue, Link: s.id, At: by, Bytes: lineprotocol.AppendBody(nil, v.callRequest, "FETCH", v.call, wait)})
}

// closeCatalogueLink closes a link, which gives up the call on it.
func (sm *StateMachine) closeCatalogueLink(k int) {
	sm.countAbandonedCall(&sm.catalogueLinks[k])
	sm.emit(Effect{Kind: CloseCatalogue, Link: sm.catalogueLinks[k].id})
	sm.catalogueLinks = slices.Delete(sm.catalogueLinks, k, k+1)
}

// idleCatalogueLink lets a link stand idle for a next call, or closes one that is not sound, known or wanted any more.
func (sm *StateMachine) idleCatalogueLink(k int) {
	s := &sm.catalogueLinks[k]
	idle := 0
	for _, other := range sm.catalogueLinks {
		if other.up && other.invocation < 0 {
			idle++
		}
	}
	s.invocation, s.idleSince = -1, sm.now
	if s.unmatched || s.address != sm.addresses.Catalogue || idle >= maxIdleCatalogueLinks {
		sm.closeCatalogueLink(k)
	}
}

// cancelCall gives up the call that an invocation has in hand, if any.
func (sm *StateMachine) cancelCall(i int32) {
	if !sm.invocations[i].calling {
		return
	}
	sm.invocations[i].calling = false
	if k := slices.Index(sm.waitingCalls, i); k >= 0 {
		sm.waitingCalls = slices.Delete(sm.waitingCalls, k, k+1)
	} else if k := sm.linkOfCall(i); sm.Invariants.Check(k >= 0, "a call in hand has a link or waits for one") {
		sm.closeCatalogueLink(k)
	}
}

// linkOfCall is the link that carries an invocation's call, or -1.
func (sm *StateMachine) linkOfCall(i int32) int {
	return slices.IndexFunc(sm.catalogueLinks, func(s catalogueLink) bool { return s.invocation == i })
}

// callEnded tells the module how a call ended that is on no link any more.
func (sm *StateMachine) callEnded(i int32, outcome admission.Outcome) {
	sm.invocations[i].calling = false
	sm.events = append(sm.events, admission.Event{Kind: admission.CallEnded, Invocation: i, Outcome: outcome})
}

func (sm *StateMachine) applyCatalogueInput(in *Input) {
	k := slices.IndexFunc(sm.catalogueLinks, func(s catalogueLink) bool { return s.id == in.Link })
	if k < 0 {
		if in.Kind == CatalogueConnected { // left while it was being opened
			sm.emit(Effect{Kind: CloseCatalogue, Link: in.Link})
		}
		return
	}
	s := &sm.catalogueLinks[k]
	switch in.Kind {
	case CatalogueConnected:
		sm.Counters.CatalogueLinks++
		s.up, s.idleSince = true, sm.now
		if s.invocation >= 0 {
			sm.sendCall(s)
		}
	case CatalogueDialFailed, CatalogueDisconnected: // a call that was never written has not run; a break proves nothing
		i, outcome := s.invocation, admission.Broken
		if in.Kind == CatalogueDialFailed {
			outcome = admission.Unreachable
		}
		sm.log(Debug, "catalogue link ended", "", in.Err)
		sm.countAbandonedCall(s)
		sm.catalogueLinks = slices.Delete(sm.catalogueLinks, k, k+1)
		if i >= 0 {
			sm.callEnded(i, outcome)
		}
	case CatalogueLineReceived:
		if !sm.applyReply(k, in.Line.Words, in.Line.Body) {
			i := s.invocation
			sm.log(Warn, "catalogue can't be understood", in.Line.Words[0], nil)
			sm.closeCatalogueLink(k)
			if i >= 0 {
				sm.callEnded(i, admission.Broken)
			}
		}
	}
	sm.sendWaitingCalls()
}

// applyReply maps a reply to the outcome that it proves. What is not asked for, or came before, is passed over.
func (sm *StateMachine) applyReply(k int, words []string, body []byte) bool {
	var outcome admission.Outcome
	switch {
	case len(words) == 3 && words[1] == "DATA":
		outcome = admission.Succeeded
	case len(words) != 2:
		return false
	case words[1] == "LATER":
		outcome = admission.Overloaded
	case words[1] == "NOUSE":
		outcome = admission.Unreachable
	case words[1] == "FAULT":
		outcome = admission.Errored
	case words[1] == "TOOSLOW":
		outcome = admission.TimedOut
	default:
		return false
	}
	s := &sm.catalogueLinks[k]
	if s.invocation < 0 || sm.invocations[s.invocation].call != words[0] {
		sm.Counters.UnmatchedReplies++
		if s.unmatched = true; s.invocation < 0 {
			sm.closeCatalogueLink(k)
		}
		return true
	}
	i := s.invocation
	v := &sm.invocations[i]
	if outcome == admission.Succeeded {
		v.callRequest = nil
		sm.sendCommand(i, lineprotocol.AppendBody(nil, body, "RETURN", v.call))
	}
	sm.idleCatalogueLink(k)
	sm.callEnded(i, outcome)
	return true
}

// expireCalls ends the waits that are over and drops links that stood idle too long to be trusted.
func (sm *StateMachine) expireCalls() {
	for k := len(sm.catalogueLinks) - 1; k >= 0; k-- {
		switch s := &sm.catalogueLinks[k]; {
		case s.invocation >= 0 && sm.now >= sm.invocations[s.invocation].callDeadline:
			i, outcome := s.invocation, admission.Unreachable
			if s.up {
				outcome = admission.TimedOut
			}
			sm.closeCatalogueLink(k)
			sm.callEnded(i, outcome)
		case s.invocation < 0 && s.up && sm.now-s.idleSince >= catalogueIdleTimeout:
			sm.closeCatalogueLink(k)
		}
	}
	sm.waitingCalls = slices.DeleteFunc(sm.waitingCalls, func(i int32) bool {
		over := sm.now >= sm.invocations[i].callDeadline
		if over {
			sm.callEnded(i, admission.Unreachable)
		}
		return over
	})
	sm.sendWaitingCalls()
}

func (sm *StateMachine) callsDue() int64 {
	at := int64(never)
	for k := range sm.catalogueLinks {
		if s := &sm.catalogueLinks[k]; s.invocation >= 0 {
			at = min(at, sm.invocations[s.invocation].callDeadline)
		} else if s.up {
			at = min(at, s.idleSince+catalogueIdleTimeout)
		}
	}
	for _, i := range sm.waitingCalls {
		at = min(at, sm.invocations[i].callDeadline)
	}
	return at
}

// redialCatalogue leaves the links to an address of before, but for those with a call in hand: it may end there.
func (sm *StateMachine) redialCatalogue() {
	for k := len(sm.catalogueLinks) - 1; k >= 0; k-- {
		s := &sm.catalogueLinks[k]
		if s.up && s.invocation >= 0 {
			continue
		}
		if s.invocation >= 0 {
			sm.waitingCalls = append(sm.waitingCalls, s.invocation)
		}
		sm.closeCatalogueLink(k)
	}
	sm.sendWaitingCalls()
}
