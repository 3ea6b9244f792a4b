package node

import (
	"maps"
	"slices"

	"topazpost/internal/protocol/frame"
	"topazpost/internal/timerwheel"
)

// Timeouts of dispatchers' connections, in nanoseconds.
const (
	firstUseTimeout = 2_000 * ms  // from the opening of a connection to its first valid request
	idleTimeout     = 15_000 * ms // without an open stream; callers close their idle connections sooner
	goAwayGrace     = 200 * ms    // from a go-away to the close, for invocations sent before it arrived
	evictionGrace   = 60 * ms     // the same for an evicted connection: the protocol's 50 ms and a round trip
	sweepInterval   = 250 * ms    // between checks for idle connections
	overdueInterval = 2_500_000   // between batches of overdue connections
)

// Limits of one batch of checks, so that invocations wait for a few milliseconds at most.
const (
	maxTimeoutsPerStep = 2_048
	maxClosesPerStep   = 32 // each close or go-away costs system calls
)

// maxFaultsPerConnection is the number of invalid invocations at which the rest of a connection's input is discarded.
const maxFaultsPerConnection = 16

// connection is the state of a dispatcher's connection.
type connection struct {
	link                      int              // the host's number of the connection
	lastStream                uint32           // highest stream seen
	openStreams               map[uint32]int32 // index of the invocation, by stream that is not answered
	pendingHealthChecks       int              // deep health checks that are not answered
	used                      bool             // a valid invocation or health check was received
	faultCount                int              // invalid invocations received
	lastUsedAt                int64            // time of the opening, the last valid request or the last answer
	goAwayAt                  int64            // time of the go-away
	goAwaySent                bool
	evicted                   bool             // chosen to make room for a new connection
	closeWhenIdle             bool             // to be closed as soon as it is idle
	closeAfterFlushRequested  bool             // the host was asked to close it
	closeImmediatelyRequested bool             // the host was asked to close it without waiting for the peer
	broken                    bool             // its further input is discarded
	timeoutTimer              timerwheel.Timer // in idleWheel until the go-away is sent, then in closingWheel
}

// isIdle reports whether every stream and health check is answered.
func (c *connection) isIdle() bool { return len(c.openStreams)+c.pendingHealthChecks == 0 }

// isHealthy reports whether the connection has brought valid requests and no invalid invocation.
func (c *connection) isHealthy() bool { return c.used && c.faultCount == 0 }

// markUsed records that a valid request was received.
func (c *connection) markUsed(now int64) {
	c.used = true
	c.lastUsedAt = now
}

// timeout returns how long the connection may be idle before its go-away.
func (c *connection) timeout() int64 {
	if c.used {
		return idleTimeout
	}
	return firstUseTimeout
}

// closeDelay returns the time from the connection's go-away to its close.
func (c *connection) closeDelay() int64 {
	if c.evicted {
		return evictionGrace
	}
	return goAwayGrace
}

// isEvictedBefore reports whether c is evicted before other: first come connections that were never used or had faults, then
// those that have been idle longest.
func (c *connection) isEvictedBefore(other *connection) bool {
	if c.isHealthy() != other.isHealthy() {
		return other.isHealthy()
	}
	if c.lastUsedAt != other.lastUsedAt {
		return c.lastUsedAt < other.lastUsedAt
	}
	return c.link < other.link
}

// hasEarlierGoAway reports whether c has been closing longer than other, by the times of their go-aways.
func (c *connection) hasEarlierGoAway(other *connection) bool {
	if c.goAwayAt != other.goAwayAt {
		return c.goAwayAt < other.goAwayAt
	}
	return c.link < other.link
}

// connectionTable holds the dispatchers' connections and their timeouts.
type connectionTable struct {
	sm             *StateMachine
	byLink         map[int]*connection
	maxConnections int // limit on connections; up to ExtraClosingConnections that are being closed do not count

	idleWheel       *timerwheel.Wheel // links by the millisecond of their next check, until the go-away is sent
	goAwayWheel     *timerwheel.Wheel // the same, after the go-away
	overdue         []int             // links whose check is due, in the order of the checks
	sweepAt         int64             // time of the next advance of idleWheel
	overdueAt       int64             // time of the next batch of overdue links
	handledTimeouts int               // total of checks, for tests
}

func newConnectionTable(sm *StateMachine, limit int) connectionTable {
	return connectionTable{sm: sm, byLink: map[int]*connection{}, maxConnections: limit}
}

// start sets the timer wheels to the time of the first step.
func (t *connectionTable) start(now int64) {
	t.idleWheel = timerwheel.New(now / ms)
	t.goAwayWheel = timerwheel.New(now / ms)
}

// get returns an open connection, or nil.
func (t *connectionTable) get(link int) *connection { return t.byLink[link] }

func (t *connectionTable) count() int { return len(t.byLink) }

// apply handles an input of an open connection.
func (t *connectionTable) apply(in *Input) {
	c := t.byLink[in.Link]
	if c == nil {
		return
	}
	switch in.Kind {
	case ConnectionClosed:
		t.closed(c)
	case FrameMalformed:
		t.markBroken(c, in.Err)
	case FrameReceived:
		t.sm.frameReceived(c, &in.Frame)
	}
}

// opened adds a new connection. If the table is full, it makes room first.
func (t *connectionTable) opened(link int) {
	if len(t.byLink) >= t.maxConnections {
		t.makeRoom()
	}
	c := &connection{link: link, openStreams: make(map[uint32]int32), lastUsedAt: t.sm.now}
	t.byLink[link] = c
	t.scheduleTimeout(c, t.sm.now+firstUseTimeout)
	t.sm.emit(Effect{Kind: ReadConnection, Link: link})
	if t.sm.drain.isAcceptStopped() {
		t.sendGoAway(c)
	}
}

func (t *connectionTable) closed(c *connection) {
	delete(t.byLink, c.link)
	t.cancelTimeout(c)
	for _, stream := range slices.Sorted(maps.Keys(c.openStreams)) {
		t.sm.callerDisconnected(c.openStreams[stream])
	}
}

// makeRoom evicts an idle connection if those that are not being closed fill the table. If ExtraClosingConnections or more are
// being closed, it also closes the one whose go-away is oldest at once: its peer may never finish a frame or close its side.
func (t *connectionTable) makeRoom() {
	var victim, slowest *connection
	closing := 0
	for _, c := range t.byLink {
		switch {
		case c.evicted || c.closeAfterFlushRequested:
			closing++
			if c.closeAfterFlushRequested && !c.closeImmediatelyRequested && (slowest == nil || c.hasEarlierGoAway(slowest)) {
				slowest = c
			}
		case c.isIdle() && !c.closeWhenIdle && (victim == nil || c.isEvictedBefore(victim)):
			victim = c
		}
	}
	hasSpare := closing < t.sm.ExtraClosingConnections
	if victim != nil && len(t.byLink)-closing >= t.maxConnections {
		t.evict(victim, hasSpare)
	}
	if !hasSpare && slowest != nil {
		slowest.closeImmediatelyRequested = true
		t.sm.emit(Effect{Kind: CloseImmediately, Link: slowest.link})
	}
}

// evict closes an idle connection after a grace period, or at once if it was never used or the table has no spare place.
// Without spare places, a grace period would have new connections refused. An invocation that is sent before the
// dispatcher sees the close is lost, and the dispatcher retries it.
func (t *connectionTable) evict(c *connection, hasSpare bool) {
	t.sm.Counters.ConnectionsEvicted++
	c.evicted = true
	if !c.used || !hasSpare {
		c.closeWhenIdle = true
		c.closeAfterFlushRequested = true
		c.closeImmediatelyRequested = true
		t.sm.emit(Effect{Kind: CloseImmediately, Link: c.link})
		return
	}
	t.sendGoAway(c)
	t.scheduleTimeout(c, c.goAwayAt+evictionGrace)
}

// wheelOf returns the wheel that holds the connection's timer.
func (t *connectionTable) wheelOf(c *connection) *timerwheel.Wheel {
	if c.goAwaySent {
		return t.goAwayWheel
	}
	return t.idleWheel
}

// scheduleTimeout schedules the next check of a connection, which takes place at that time or in one of the next batches.
func (t *connectionTable) scheduleTimeout(c *connection, at int64) {
	t.cancelTimeout(c)
	c.timeoutTimer = t.wheelOf(c).Add((at+ms-1)/ms, int64(c.link))
}

func (t *connectionTable) cancelTimeout(c *connection) {
	t.wheelOf(c).Remove(c.timeoutTimer)
	c.timeoutTimer = timerwheel.Timer{} // in the other wheel the same value may identify another timer
}

// handleDueTimeouts checks the connections whose timeout may have passed. It works in batches: connections that were opened together
// are due together, and checking all of them in one step would delay invocations.
func (t *connectionTable) handleDueTimeouts() {
	now := t.sm.now
	addOverdue := func(link int64) { t.overdue = append(t.overdue, int(link)) }
	earlierCount := len(t.overdue)
	t.goAwayWheel.Advance(now/ms, addOverdue)
	if now >= t.sweepAt {
		t.sweepAt = now + sweepInterval
		t.idleWheel.Advance(now/ms, addOverdue)
	}
	slices.Sort(t.overdue[earlierCount:])
	if now < t.overdueAt || len(t.overdue) == 0 {
		return
	}
	checks := 0
	closes := 0
	for checks < min(maxTimeoutsPerStep, len(t.overdue)) && closes < maxClosesPerStep {
		c := t.byLink[t.overdue[checks]]
		if c != nil && !c.closeWhenIdle && t.handleTimeout(c) {
			closes++
		}
		checks++
	}
	t.handledTimeouts += checks
	t.overdue = slices.Delete(t.overdue, 0, checks)
	t.overdueAt = now + overdueInterval
}

// dueAt returns when connections must be checked next.
func (t *connectionTable) dueAt() int64 {
	if len(t.byLink) == 0 {
		return never
	}
	at := t.sweepAt
	if tick, ok := t.goAwayWheel.Next(); ok {
		at = min(at, tick*ms)
	}
	if len(t.overdue) > 0 {
		at = min(at, t.overdueAt)
	}
	return at
}

// handleTimeout sends a go-away to a connection whose timeout has passed, or closes one whose grace period has ended, and reports
// whether it did either. Otherwise it schedules the next handleTimeout.
func (t *connectionTable) handleTimeout(c *connection) bool {
	now := t.sm.now
	switch {
	case !c.isIdle() && c.goAwaySent:
		t.scheduleTimeout(c, now+sweepInterval)
	case !c.isIdle(): // the timeout starts with the last answer
		t.scheduleTimeout(c, now+c.timeout())
	case c.goAwaySent && now < c.goAwayAt+c.closeDelay():
		t.scheduleTimeout(c, c.goAwayAt+c.closeDelay())
	case c.goAwaySent:
		t.sm.Counters.ConnectionsClosedAfterGoAway++
		t.close(c)
		return true
	case now < c.lastUsedAt+c.timeout():
		t.scheduleTimeout(c, c.lastUsedAt+c.timeout())
	default:
		t.sendGoAway(c)
		return true
	}
	return false
}

// sendGoAway tells the dispatcher to open no more streams on a connection.
func (t *connectionTable) sendGoAway(c *connection) {
	if c.goAwaySent {
		return
	}
	t.cancelTimeout(c)
	c.goAwaySent = true
	c.goAwayAt = t.sm.now
	t.scheduleTimeout(c, t.sm.now+c.closeDelay())
	t.sm.emit(Effect{Kind: SendToConnection, Link: c.link, Bytes: frame.Append(nil, frame.GoAway, 0, nil)})
}

// sendGoAwayToAll sends a go-away on each connection.
func (t *connectionTable) sendGoAwayToAll() {
	for _, link := range slices.Sorted(maps.Keys(t.byLink)) {
		t.sendGoAway(t.byLink[link])
	}
}

// streamClosed removes a stream that was answered.
func (t *connectionTable) streamClosed(c *connection, stream uint32) {
	delete(c.openStreams, stream)
	t.released(c)
}

// released restarts the timeout of a connection if it has become idle, and closes it if a close was waiting for that.
func (t *connectionTable) released(c *connection) {
	if !c.isIdle() {
		return
	}
	c.lastUsedAt = t.sm.now
	if c.closeWhenIdle {
		t.close(c)
	}
}

// close has the host close a connection once everything is written. The connection stays in the table until the host has
// closed it: requests that were read before are still answered.
func (t *connectionTable) close(c *connection) {
	c.closeWhenIdle = true
	if !c.closeAfterFlushRequested {
		c.closeAfterFlushRequested = true
		t.sm.emit(Effect{Kind: CloseAfterFlush, Link: c.link})
	}
}

// resume cancels a requested close, for an invocation or a health check that the dispatcher sent before it saw the close.
// The host is asked again once that is answered.
func (t *connectionTable) resume(c *connection) {
	if c.closeAfterFlushRequested {
		c.closeAfterFlushRequested = false
		c.closeImmediatelyRequested = false
		t.sm.emit(Effect{Kind: ResumeConnection, Link: c.link})
	}
}

// markBroken discards the further input of a connection whose frames are malformed or out of order, or that brought too
// many invalid invocations. The connection is closed once its open streams are answered.
func (t *connectionTable) markBroken(c *connection, err error) {
	t.sm.log(Warn, "dispatcher violated the protocol; closing its connection once open streams are answered", "", err)
	if c.broken {
		return
	}
	c.broken = true
	t.sm.Counters.BrokenConnections++
	text := err.Error()
	head := frame.AppendHeader(nil, frame.Answer, 0, frame.Errored, nil, len(text))
	t.sm.emit(Effect{Kind: SendToConnection, Link: c.link, Bytes: append(head, text...)})
	t.sendGoAway(c)
	t.sm.emit(Effect{Kind: DiscardInput, Link: c.link})
	c.closeWhenIdle = true
	t.released(c)
}

// countFault counts an invalid invocation of a connection. The limit on these bounds the work wasted on a faulty peer.
func (t *connectionTable) countFault(c *connection) {
	c.faultCount++
	if c.faultCount >= maxFaultsPerConnection {
		t.markBroken(c, errTooManyFaults)
	}
}
