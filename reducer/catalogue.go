package reducer

import (
	"strconv"

	"topazpost/lines"
	"topazpost/node"
)

// call makes the call that a run stands at, over a link that is trusted or a new one.
func (r *Reducer) call(i int32, until int64) {
	v := &r.invs[i]
	if !r.Guard.Hold(v.live && !v.calling && v.wanted != nil, "a call is made where a run stands at one") {
		return
	}
	v.calling, v.asked, v.until = true, false, until
	if r.below != 0 && r.now-r.belowUsed >= idleTrust {
		r.leaveCatalogue()
	}
	if r.below != 0 {
		r.fetch(v)
	} else if !r.reaching {
		r.reaching = true
		r.do(Effect{Kind: Reach})
	}
}

func (r *Reducer) fetch(v *invocation) {
	v.asked, r.belowUsed = true, r.now
	wait := strconv.FormatInt(max(1, (v.until-r.now)/ms), 10)
	r.do(Effect{Kind: Ask, Link: r.below, Bytes: lines.AppendBody(nil, v.wanted, "FETCH", v.call, wait)})
}

func (r *Reducer) leaveCatalogue() {
	r.do(Effect{Kind: Quit, Link: r.below})
	r.below = 0
}

// quitCall gives up the call that an invocation has in hand, if any.
func (r *Reducer) quitCall(v *invocation) {
	if v.calling && v.asked && r.below != 0 {
		r.belowUsed = r.now
		r.do(Effect{Kind: Ask, Link: r.below, Bytes: lines.Append(nil, "QUIT", v.call)})
	}
	v.calling = false
}

// callOver tells the module how a call ended.
func (r *Reducer) callOver(i int32, outcome node.Outcome) {
	r.invs[i].calling = false
	r.events = append(r.events, node.Event{Kind: node.CallEnded, Inv: i, Outcome: outcome})
}

// eachCall walks the calls in hand in the order of their indices.
func (r *Reducer) eachCall(f func(i int32, v *invocation)) {
	for i := range r.invs {
		if v := &r.invs[i]; v.live && v.calling {
			f(int32(i), v)
		}
	}
}

func (r *Reducer) fromCatalogue(in *Input) {
	switch in.Kind {
	case Reached:
		r.Counters.CatalogueLinks++
		r.reaching, r.below, r.belowUsed = false, in.Link, r.now
		r.eachCall(func(_ int32, v *invocation) { r.fetch(v) })
	case Unreached: // a call that was never written has not run
		r.reaching = false
		r.remark(Debug, "catalogue can't be reached", "", in.Err)
		r.eachCall(func(i int32, v *invocation) { r.callOver(i, node.Unreachable) })
	case Broke:
		if in.Link == r.below {
			r.below = 0
			r.remark(Info, "catalogue link ended", "", in.Err)
			r.eachCall(func(i int32, v *invocation) { r.callOver(i, node.Broken) })
		}
	case Replied:
		if in.Link != r.below {
			return
		}
		r.belowUsed = r.now
		if !r.replied(in.Line.Words, in.Line.Body) {
			r.remark(Warn, "catalogue can't be understood", in.Line.Words[0], nil)
			r.leaveCatalogue()
			r.eachCall(func(i int32, v *invocation) { r.callOver(i, node.Broken) })
		}
	}
}

// replied maps a reply to the outcome that it proves.
func (r *Reducer) replied(words []string, body []byte) bool {
	var outcome node.Outcome
	switch {
	case len(words) == 3 && words[1] == "DATA":
		outcome = node.Succeeded
	case len(words) != 2:
		return false
	case words[1] == "LATER":
		outcome = node.Overloaded
	case words[1] == "NOUSE":
		outcome = node.Unreachable
	case words[1] == "FAULT":
		outcome = node.Errored
	case words[1] == "TOOSLOW":
		outcome = node.TimedOut
	default:
		return false
	}
	i, v := r.lookup(words[0])
	if v == nil || !v.calling || !v.asked {
		r.Counters.StrayReplies++
		return true
	}
	if outcome == node.Succeeded {
		v.wanted = nil
		r.order(i, lines.AppendBody(nil, body, "RETURN", v.call))
	}
	r.callOver(i, outcome)
	return true
}

// keepCalls ends the waits that are over and drops a link that stood idle too long to be trusted.
func (r *Reducer) keepCalls() {
	r.eachCall(func(i int32, v *invocation) {
		switch {
		case r.now < v.until:
		case v.asked:
			r.quitCall(v)
			r.callOver(i, node.TimedOut)
		default:
			r.callOver(i, node.Unreachable)
		}
	})
	if r.below != 0 && r.now-r.belowUsed >= idleTrust {
		r.leaveCatalogue()
	}
}

func (r *Reducer) callsDue() int64 {
	at := int64(never)
	r.eachCall(func(_ int32, v *invocation) { at = min(at, v.until) })
	return at
}
