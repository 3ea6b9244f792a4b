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
	idleTimeout     = 15_000 * ms // without an open stream; dispatchers close their idle connections sooner
	goAwayGrace     = 200 * ms    // from a go-away to the close, for invocations sent before it arrived
	evictionGrace   = 60 * ms     // the same for an evicted connection: the protocol's 50 ms and a round trip
	sweepInterval   = 250 * ms    // between advances of the wheel of idle connections
	overdueInterval = 2_500_000   // between batches of overdue connections
)

// Limits of one batch of timeouts, so that invocations wait for a few milliseconds at most.
const (
	maxTimeoutsPerStep = 2_048
	maxClosesPerStep   = 32 // each close or go-away costs system calls
)

// maxFaultsPerConnection is the number of invalid invocations at which the rest of a connection's input is discarded.
const maxFaultsPerConnection = 16

// connection is the state of a dispatcher's connection. A connection that ends by its timeout or by a drain has goAwaySent
// first, then closeWhenIdle and closeAfterFlushRequested. One that is evicted has evicted, and either the same steps or,
// without a go-away, closeWithoutLingerRequested. One that violates the protocol has broken, goAwaySent and closeWhenIdle.
type connection struct {
	link                        int              // the host's number of the connection
	lastStream                  uint32           // highest stream seen
	openStreams                 map[uint32]int32 // index of the invocation or settlingInvocation, by stream that is not answered
	pendingHealthChecks         int              // deep health checks that are not answered
	used                        bool             // a valid invocation or health check was received
	faultCount                  int              // invalid invocations received
	lastUsedAt                  int64            // time of the opening, the last valid request or the last answer
	goAwayAt                    int64            // time of the go-away
	goAwaySent                  bool
	evicted                     bool             // chosen to make room for a new connection
	closeWhenIdle               bool             // the host is asked to close it as soon as it is idle
	closeAfterFlushRequested    bool             // the host was asked to close it, and the request is not cancelled
	closeWithoutLingerRequested bool             // the host was asked to close it without lingering, and the request is not cancelled
	broken                      bool             // its further input is discarded
	timeoutTimer                timerwheel.Timer // in idleWheel until the go-away is sent, then in closingWheel
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

// hasEarlierGoAway reports whether the go-away of c was sent before that of other.
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
	maxConnections int // limit on connections, exceeded by up to ExtraClosingConnections that are being closed

	idleWheel       *timerwheel.Wheel // links by the millisecond at which their timeout is handled, until the go-away is sent
	goAwayWheel     *timerwheel.Wheel // the same, after the go-away
	overdue         []int             // links whose timeout is to be handled, in this order
	sweepAt         int64             // time of the next advance of idleWheel
	overdueAt       int64             // time of the next batch of overdue links
	handledTimeouts int               // total of timeouts handled, for tests
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
		t.sm.streamEnded(c.link, stream, c.openStreams[stream])
	}
}

// makeRoom evicts an idle connection if those that are not being closed fill the table. Connections count as being closed
// when they are evicted or the host was asked to close them. If ExtraClosingConnections or more are being closed, makeRoom
// also has the host close one of them without lingering: the one with the earliest go-away among those that the host was
// asked to close. Its dispatcher may never finish a frame or close its side.
func (t *connectionTable) makeRoom() {
	var victim, slowest *connection
	closing := 0
	for _, c := range t.byLink {
		switch {
		case c.evicted || c.closeAfterFlushRequested:
			closing++
			if c.closeAfterFlushRequested && !c.closeWithoutLingerRequested && (slowest == nil || c.hasEarlierGoAway(slowest)) {
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
		slowest.closeWithoutLingerRequested = true
		t.sm.emit(Effect{Kind: CloseWithoutLinger, Link: slowest.link})
	}
}

// evict closes an idle connection. It sends a go-away and waits for a grace period first, unless the connection was never used
// or hasSpare is false: with ExtraClosingConnections being closed, the wait would have new connections refused. An
// invocation that is sent before the dispatcher sees an immediate close is lost, and the dispatcher retries it.
func (t *connectionTable) evict(c *connection, hasSpare bool) {
	t.sm.Counters.ConnectionsEvicted++
	c.evicted = true
	if !c.used || !hasSpare {
		c.closeWhenIdle = true
		c.closeAfterFlushRequested = true
		c.closeWithoutLingerRequested = true
		t.sm.emit(Effect{Kind: CloseWithoutLinger, Link: c.link})
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

// scheduleTimeout has the timeout of a connection handled at a time, or in one of the batches after it.
func (t *connectionTable) scheduleTimeout(c *connection, at int64) {
	t.cancelTimeout(c)
	c.timeoutTimer = t.wheelOf(c).Add((at+ms-1)/ms, int64(c.link))
}

func (t *connectionTable) cancelTimeout(c *connection) {
	t.wheelOf(c).Remove(c.timeoutTimer)
	c.timeoutTimer = timerwheel.Timer{} // in the other wheel the same value may identify another timer
}

// handleDueTimeouts handles the timeouts that may have passed. It works in batches: connections that were opened together
// are due together, and handling all of them in one step would delay invocations.
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
	handled := 0
	closes := 0
	for handled < min(maxTimeoutsPerStep, len(t.overdue)) && closes < maxClosesPerStep {
		c := t.byLink[t.overdue[handled]]
		if c != nil && !c.closeWhenIdle && t.handleTimeout(c) {
			closes++
		}
		handled++
	}
	t.handledTimeouts += handled
	t.overdue = slices.Delete(t.overdue, 0, handled)
	t.overdueAt = now + overdueInterval
}

// dueAt returns when timeouts must be handled next.
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

// handleTimeout sends a go-away on a connection whose timeout has passed, or closes one whose grace period after the go-away
// has ended, and reports whether it did either. Otherwise it schedules the timeout again.
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
		c.closeWithoutLingerRequested = false
		t.sm.emit(Effect{Kind: ResumeConnection, Link: c.link})
	}
}

// markBroken discards the further input of a connection whose frames are malformed or out of order, or that brought too
// many invalid invocations. The connection is closed once its open streams are answered. Every violation is logged, also
// later ones on a broken connection; the host bounds the rate of log entries.
func (t *connectionTable) markBroken(c *connection, err error) {
	t.sm.log(Warn, "dispatcher violated the protocol: discarding the input of its connection, closing it once open streams are answered", "", err)
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

// countFault counts an invalid invocation of a connection. The limit on these bounds the work wasted on a faulty dispatcher.
func (t *connectionTable) countFault(c *connection) {
	c.faultCount++
	if c.faultCount >= maxFaultsPerConnection {
		t.markBroken(c, errTooManyFaults)
	}
}
