package node

import (
	"slices"
	"strconv"

	"topazpost/internal/admission"
	"topazpost/internal/protocol/lineprotocol"
)

const (
	catalogueIdleTimeout  = 100 * ms // ns; later the catalogue may have dropped an idle link
	maxIdleCatalogueLinks = 8        // pooled; further links, opened for a burst, are closed after use
	noInvocation          = int32(-1)
)

// catalogueLink is a link to the catalogue. It carries one call at a time, so that a malformed or missing reply fails only that
// call; the link is then closed.
type catalogueLink struct {
	id                int
	address           string
	connected         bool
	invocation        int32 // the invocation whose call it carries, or noInvocation
	gotUnmatchedReply bool  // it received a reply that no call in flight asked for
	idleSince         int64
}

func (l *catalogueLink) isBusy() bool { return l.invocation != noInvocation }

func (l *catalogueLink) isIdle() bool { return l.connected && !l.isBusy() }

// catalogueState manages the links to the catalogue and the calls that wait for one.
type catalogueState struct {
	sm       *StateMachine
	links    []catalogueLink
	waiting  []int32 // invocations whose call has no link yet
	maxLinks int
}

// startCall queues the call that a run waits for, and sends it if a link is available.
func (c *catalogueState) startCall(i int32, deadline int64) {
	sm := c.sm
	v := &sm.invocations[i]
	if !sm.Invariants.Check(v.live && !v.callInFlight && v.callRequest != nil, "a call starts only for a run that requested one") {
		return
	}
	sm.Invariants.Check(sm.leases.allowsCall(sm.now), "a call starts only under a valid lease")
	v.callInFlight = true
	v.callDeadline = deadline
	c.waiting = append(c.waiting, i)
	c.sendWaiting()
}

// sendWaiting assigns links to waiting calls in order, up to the limit on links. The first call of a run takes the link that
// became idle last. Replies carry only the id of the invocation, so a later call takes a new link, on which no duplicate of an
// earlier reply can arrive; at the limit an idle link is closed to make room for it.
func (c *catalogueState) sendWaiting() {
	for len(c.waiting) > 0 {
		i := c.waiting[0]
		idle := c.newestIdleLink()
		switch {
		case idle >= 0 && !c.sm.invocations[i].callWritten:
			c.links[idle].invocation = i
			c.sendCall(&c.links[idle])
		case len(c.links) < c.maxLinks:
			c.dial(i)
		case idle >= 0:
			c.closeLink(idle)
			continue
		default:
			return
		}
		c.waiting = slices.Delete(c.waiting, 0, 1)
	}
}

// newestIdleLink returns the index of the link that became idle last, or -1 if all idle links have timed out.
func (c *catalogueState) newestIdleLink() int {
	newest := -1
	for k := range c.links {
		l := &c.links[k]
		if !l.isIdle() || c.sm.now-l.idleSince >= catalogueIdleTimeout {
			continue
		}
		if newest < 0 || l.idleSince > c.links[newest].idleSince {
			newest = k
		}
	}
	return newest
}

// dial opens a link for the call of an invocation.
func (c *catalogueState) dial(i int32) {
	l := catalogueLink{id: c.sm.nextLink(), address: c.sm.addresses.Catalogue, invocation: i}
	c.links = append(c.links, l)
	c.sm.emit(Effect{Kind: DialCatalogue, Link: l.id, Address: l.address})
}

func (c *catalogueState) sendCall(l *catalogueLink) {
	sm := c.sm
	v := &sm.invocations[l.invocation]
	v.callWritten = true
	timeout := strconv.FormatInt(max(1, (v.callDeadline-sm.now)/ms), 10)
	writeBy := int64(0)
	if sm.leases.enabled() { // a call that the host writes late, after a pause, would outlive the lease
		writeBy = v.callDeadline
	}
	sm.emit(Effect{Kind: SendToCatalogue, Link: l.id, At: writeBy, Bytes: lineprotocol.AppendBody(nil, v.callRequest, "FETCH", v.invocationID, timeout)})
}

// closeLink closes a link. A call that was sent on it keeps counting against the node's lease for a while, as the catalogue may still
// work on it; see reserveAbandonedUnit.
func (c *catalogueState) closeLink(k int) {
	c.sm.reserveAbandonedUnit(&c.links[k])
	c.sm.emit(Effect{Kind: CloseCatalogue, Link: c.links[k].id})
	c.links = slices.Delete(c.links, k, k+1)
}

// releaseLink pools a link for a next call. It closes the link instead if that received an unmatched reply or leads to an earlier
// address, or if enough links are idle.
func (c *catalogueState) releaseLink(k int) {
	idle := c.idleLinkCount()
	l := &c.links[k]
	l.invocation = noInvocation
	l.idleSince = c.sm.now
	if l.gotUnmatchedReply || l.address != c.sm.addresses.Catalogue || idle >= maxIdleCatalogueLinks {
		c.closeLink(k)
	}
}

// linkCount returns the number of links that are open or being dialed.
func (c *catalogueState) linkCount() int { return len(c.links) }

// waitingCallCount returns the number of calls without a link.
func (c *catalogueState) waitingCallCount() int { return len(c.waiting) }

// idleLinkCount returns the number of open links without a call.
func (c *catalogueState) idleLinkCount() (count int) {
	for k := range c.links {
		if c.links[k].isIdle() {
			count++
		}
	}
	return count
}

// cancelCall cancels the call of an invocation, if it has one in flight.
func (c *catalogueState) cancelCall(i int32) {
	v := &c.sm.invocations[i]
	if !v.callInFlight {
		return
	}
	v.callInFlight = false
	if k := slices.Index(c.waiting, i); k >= 0 {
		c.waiting = slices.Delete(c.waiting, k, k+1)
		return
	}
	k := slices.IndexFunc(c.links, func(l catalogueLink) bool { return l.invocation == i })
	if c.sm.Invariants.Check(k >= 0, "a call in flight has a link or waits for one") {
		c.closeLink(k)
	}
}

// callEnded notifies the controller of the outcome of a call that no link carries any more.
func (c *catalogueState) callEnded(i int32, outcome admission.Outcome) {
	c.sm.invocations[i].callInFlight = false
	c.sm.events = append(c.sm.events, admission.Event{Kind: admission.CallEnded, Invocation: i, Outcome: outcome})
}

// apply handles an input of one of the catalogue's links. Inputs of links that this node has closed are ignored.
func (c *catalogueState) apply(in *Input) {
	k := slices.IndexFunc(c.links, func(l catalogueLink) bool { return l.id == in.Link })
	if k < 0 {
		if in.Kind == CatalogueConnected { // closeLink was called during the dial
			c.sm.emit(Effect{Kind: CloseCatalogue, Link: in.Link})
		}
		return
	}
	switch in.Kind {
	case CatalogueConnected:
		c.connected(&c.links[k])
	case CatalogueDialFailed: // the call was never written, so it has not run
		c.disconnected(k, admission.Unreachable, in.Err)
	case CatalogueDisconnected:
		c.disconnected(k, admission.ConnectionBroken, in.Err)
	case CatalogueLineReceived:
		c.replyReceived(k, in.Line)
	}
	c.sendWaiting()
}

func (c *catalogueState) connected(l *catalogueLink) {
	c.sm.Counters.CatalogueLinks++
	l.connected = true
	l.idleSince = c.sm.now
	if l.isBusy() {
		c.sendCall(l)
	}
}

// disconnected drops a link that ended, and ends the call on it with an outcome.
func (c *catalogueState) disconnected(k int, outcome admission.Outcome, err error) {
	i := c.links[k].invocation
	c.sm.log(Debug, "catalogue link ended", "", err)
	c.sm.reserveAbandonedUnit(&c.links[k])
	c.links = slices.Delete(c.links, k, k+1)
	if i != noInvocation {
		c.callEnded(i, outcome)
	}
}

// replyReceived ends a call with the outcome that its reply states. A reply to no call in flight is ignored; a malformed reply
// closes the link and fails the call on it.
func (c *catalogueState) replyReceived(k int, line lineprotocol.Line) {
	outcome, valid := replyOutcome(line.Words)
	if !valid {
		i := c.links[k].invocation
		c.sm.log(Warn, "catalogue sent a malformed reply; closing its link", line.Words[0], nil)
		c.closeLink(k)
		if i != noInvocation {
			c.callEnded(i, admission.ConnectionBroken)
		}
		return
	}
	l := &c.links[k]
	if !l.isBusy() || c.sm.invocations[l.invocation].invocationID != line.Words[0] {
		c.sm.Counters.UnmatchedReplies++
		l.gotUnmatchedReply = true
		if !l.isBusy() {
			c.closeLink(k)
		}
		return
	}
	i := l.invocation
	if outcome == admission.Succeeded {
		v := &c.sm.invocations[i]
		v.callRequest = nil
		c.sm.executor.sendCommand(returnCommand, i, lineprotocol.AppendBody(nil, line.Body, "RETURN", v.invocationID))
	}
	c.releaseLink(k)
	c.callEnded(i, outcome)
}

// outcomeByReply maps the catalogue's replies without data to the outcomes of calls.
var outcomeByReply = map[string]admission.Outcome{
	"LATER": admission.Overloaded, "NOUSE": admission.Unreachable, "FAULT": admission.Errored, "TOOSLOW": admission.TimedOut,
}

// replyOutcome returns the outcome that a reply states, and whether the reply is well-formed.
func replyOutcome(words []string) (outcome admission.Outcome, valid bool) {
	if len(words) == 3 && words[1] == "DATA" {
		return admission.Succeeded, true
	}
	if len(words) != 2 {
		return 0, false
	}
	outcome, valid = outcomeByReply[words[1]]
	return outcome, valid
}

// expire ends calls that have reached their deadlines and closes links that have reached the idle timeout.
func (c *catalogueState) expire() {
	now := c.sm.now
	for k := len(c.links) - 1; k >= 0; k-- {
		l := &c.links[k]
		switch {
		case l.isBusy() && now >= c.sm.invocations[l.invocation].callDeadline:
			c.callTimedOut(k)
		case l.isIdle() && now-l.idleSince >= catalogueIdleTimeout:
			c.closeLink(k)
		}
	}
	c.waiting = slices.DeleteFunc(c.waiting, func(i int32) bool {
		expired := now >= c.sm.invocations[i].callDeadline
		if expired {
			c.callEnded(i, admission.Unreachable)
		}
		return expired
	})
	c.sendWaiting()
}

// callTimedOut ends the call on a link. A call whose link was still being dialed was never written: it is unreachable, not timed
// out.
func (c *catalogueState) callTimedOut(k int) {
	i := c.links[k].invocation
	outcome := admission.Unreachable
	if c.links[k].connected {
		outcome = admission.TimedOut
	}
	c.closeLink(k)
	c.callEnded(i, outcome)
}

// dueAt returns when the next call or idle link expires.
func (c *catalogueState) dueAt() int64 {
	at := int64(never)
	for k := range c.links {
		l := &c.links[k]
		switch {
		case l.isBusy():
			at = min(at, c.sm.invocations[l.invocation].callDeadline)
		case l.connected:
			at = min(at, l.idleSince+catalogueIdleTimeout)
		}
	}
	for _, i := range c.waiting {
		at = min(at, c.sm.invocations[i].callDeadline)
	}
	return at
}

// addressChanged closes the links to the earlier address, except open links with a call in flight. Calls of links that were
// still being dialed wait for a new link.
func (c *catalogueState) addressChanged() {
	for k := len(c.links) - 1; k >= 0; k-- {
		l := &c.links[k]
		if l.connected && l.isBusy() {
			continue
		}
		if l.isBusy() {
			c.waiting = append(c.waiting, l.invocation)
		}
		c.closeLink(k)
	}
	c.sendWaiting()
}
