package node

import (
	"slices"
	"strconv"

	"topazpost/internal/admission"
	"topazpost/internal/protocol/lineprotocol"
)

// supply is a link to the catalogue. It carries one call at a time: what a spoilt or missing reply takes with it
// is that call, and the link goes with it. Does harm, as each call in hand needs a descriptor, where there are few.
type supply struct {
	link    int
	address string
	up      bool
	inv     int32 // whose call it carries, -1 for none
	strange bool  // it brought what was not asked for
	since   int64 // when it came to stand idle
}

// call makes the call that a run stands at.
func (r *StateMachine) call(i int32, until int64) {
	v := &r.invs[i]
	if !r.Invariants.Check(v.live && !v.calling && v.wanted != nil, "a call is made where a run stands at one") {
		return
	}
	r.Invariants.Check(r.leasing.holder == nil || r.leasing.holder.Allowed(r.now) > 0, "a call is made while a lease goes on")
	v.calling, v.until = true, until
	r.waiting = append(r.waiting, i)
	r.supplyWaiting()
}

// supplyWaiting gives calls a link each while there may be more links. The first call of a run takes the link that
// stood idle for the shortest time; any later one a new link, on which no second copy of an earlier reply can come.
func (r *StateMachine) supplyWaiting() {
	for len(r.waiting) > 0 {
		i := r.waiting[0]
		best := -1
		for k := range r.supplies {
			s := &r.supplies[k]
			if s.up && s.inv < 0 && r.now-s.since < idleTrust && (best < 0 || s.since > r.supplies[best].since) {
				best = k
			}
		}
		switch {
		case best >= 0 && !r.invs[i].called:
			r.supplies[best].inv = i
			r.fetch(&r.supplies[best])
		case len(r.supplies) < r.linkMost:
			s := supply{link: r.newLink(), address: r.to.Catalogue, inv: i}
			r.supplies = append(r.supplies, s)
			r.do(Effect{Kind: DialCatalogue, Link: s.link, Address: s.address})
		case best >= 0:
			r.leave(best)
			continue
		default:
			return
		}
		r.waiting = slices.Delete(r.waiting, 0, 1)
	}
}

func (r *StateMachine) fetch(s *supply) {
	v := &r.invs[s.inv]
	v.called = true
	wait := strconv.FormatInt(max(1, (v.until-r.now)/ms), 10)
	by := int64(0)
	if r.leasing.holder != nil { // what is written late, after a pause, would be one call too many
		by = v.until
	}
	r.do(Effect{Kind: SendToCatalogue, Link: s.link, At: by, Bytes: lineprotocol.AppendBody(nil, v.wanted, "FETCH", v.call, wait)})
}

// leave closes a link, which gives up the call on it.
func (r *StateMachine) leave(k int) {
	r.linger(&r.supplies[k])
	r.do(Effect{Kind: CloseCatalogue, Link: r.supplies[k].link})
	r.supplies = slices.Delete(r.supplies, k, k+1)
}

// rest lets a link stand idle for a next call, or closes one that is not sound, known or wanted any more.
func (r *StateMachine) rest(k int) {
	s := &r.supplies[k]
	idle := 0
	for _, other := range r.supplies {
		if other.up && other.inv < 0 {
			idle++
		}
	}
	s.inv, s.since = -1, r.now
	if s.strange || s.address != r.to.Catalogue || idle >= idleMost {
		r.leave(k)
	}
}

// quitCall gives up the call that an invocation has in hand, if any.
func (r *StateMachine) quitCall(i int32) {
	if !r.invs[i].calling {
		return
	}
	r.invs[i].calling = false
	if k := slices.Index(r.waiting, i); k >= 0 {
		r.waiting = slices.Delete(r.waiting, k, k+1)
	} else if k := r.supplying(i); r.Invariants.Check(k >= 0, "a call in hand has a link or waits for one") {
		r.leave(k)
	}
}

// supplying is the link that carries an invocation's call, or -1.
func (r *StateMachine) supplying(i int32) int {
	return slices.IndexFunc(r.supplies, func(s supply) bool { return s.inv == i })
}

// callOver tells the module how a call ended that is on no link any more.
func (r *StateMachine) callOver(i int32, outcome admission.Outcome) {
	r.invs[i].calling = false
	r.events = append(r.events, admission.Event{Kind: admission.CallEnded, Invocation: i, Outcome: outcome})
}

func (r *StateMachine) fromCatalogue(in *Input) {
	k := slices.IndexFunc(r.supplies, func(s supply) bool { return s.link == in.Link })
	if k < 0 {
		if in.Kind == CatalogueConnected { // left while it was being opened
			r.do(Effect{Kind: CloseCatalogue, Link: in.Link})
		}
		return
	}
	s := &r.supplies[k]
	switch in.Kind {
	case CatalogueConnected:
		r.Counters.CatalogueLinks++
		s.up, s.since = true, r.now
		if s.inv >= 0 {
			r.fetch(s)
		}
	case CatalogueDialFailed, CatalogueDisconnected: // a call that was never written has not run; a break proves nothing
		i, outcome := s.inv, admission.Broken
		if in.Kind == CatalogueDialFailed {
			outcome = admission.Unreachable
		}
		r.remark(Debug, "catalogue link ended", "", in.Err)
		r.linger(s)
		r.supplies = slices.Delete(r.supplies, k, k+1)
		if i >= 0 {
			r.callOver(i, outcome)
		}
	case CatalogueLineReceived:
		if !r.replied(k, in.Line.Words, in.Line.Body) {
			i := s.inv
			r.remark(Warn, "catalogue can't be understood", in.Line.Words[0], nil)
			r.leave(k)
			if i >= 0 {
				r.callOver(i, admission.Broken)
			}
		}
	}
	r.supplyWaiting()
}

// replied maps a reply to the outcome that it proves. What is not asked for, or came before, is passed over.
func (r *StateMachine) replied(k int, words []string, body []byte) bool {
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
	s := &r.supplies[k]
	if s.inv < 0 || r.invs[s.inv].call != words[0] {
		r.Counters.UnmatchedReplies++
		if s.strange = true; s.inv < 0 {
			r.leave(k)
		}
		return true
	}
	i := s.inv
	v := &r.invs[i]
	if outcome == admission.Succeeded {
		v.wanted = nil
		r.order(i, lineprotocol.AppendBody(nil, body, "RETURN", v.call))
	}
	r.rest(k)
	r.callOver(i, outcome)
	return true
}

// keepCalls ends the waits that are over and drops links that stood idle too long to be trusted.
func (r *StateMachine) keepCalls() {
	for k := len(r.supplies) - 1; k >= 0; k-- {
		switch s := &r.supplies[k]; {
		case s.inv >= 0 && r.now >= r.invs[s.inv].until:
			i, outcome := s.inv, admission.Unreachable
			if s.up {
				outcome = admission.TimedOut
			}
			r.leave(k)
			r.callOver(i, outcome)
		case s.inv < 0 && s.up && r.now-s.since >= idleTrust:
			r.leave(k)
		}
	}
	r.waiting = slices.DeleteFunc(r.waiting, func(i int32) bool {
		over := r.now >= r.invs[i].until
		if over {
			r.callOver(i, admission.Unreachable)
		}
		return over
	})
	r.supplyWaiting()
}

func (r *StateMachine) callsDue() int64 {
	at := int64(never)
	for k := range r.supplies {
		if s := &r.supplies[k]; s.inv >= 0 {
			at = min(at, r.invs[s.inv].until)
		} else if s.up {
			at = min(at, s.since+idleTrust)
		}
	}
	for _, i := range r.waiting {
		at = min(at, r.invs[i].until)
	}
	return at
}

// moveCalls leaves the links to an address of before, but for those with a call in hand: it may end there.
func (r *StateMachine) moveCalls() {
	for k := len(r.supplies) - 1; k >= 0; k-- {
		s := &r.supplies[k]
		if s.up && s.inv >= 0 {
			continue
		}
		if s.inv >= 0 {
			r.waiting = append(r.waiting, s.inv)
		}
		r.leave(k)
	}
	r.supplyWaiting()
}
