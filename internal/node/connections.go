package node

import (
	"maps"
	"slices"

	"topazpost/internal/protocol/frame"
	"topazpost/internal/timerwheel"
)

// Timeouts of dispatchers' connections, in nanoseconds.
const (
	firstUseTimeout = 2_000 * ms  // for a new connection to bring something usable
	idleTimeout     = 15_000 * ms // without an open stream; callers close sooner
	goAwayGrace     = 200 * ms    // for invocations that cross a go-away
	evictionGrace   = 60 * ms     // of an evicted connection: the 50 ms of the protocol and a round trip
	sweepInterval   = 250 * ms    // between checks for idle connections
	overdueInterval = 2_500_000   // between batches of overdue connections
)

// Limits of one batch of checks, so that invocations wait some milliseconds at most.
const (
	maxChecksPerStep = 2_048
	maxClosesPerStep = 32 // each takes system calls
)

// maxFaults is the unusable invocations after which a connection is not read any more.
const maxFaults = 16

// connection is a dispatcher's connection.
type connection struct {
	link           int
	lastStream     uint32           // highest stream seen
	openStreams    map[uint32]int32 // the invocation of each stream without an answer
	pendingChecks  int              // deep health checks without an answer
	usable         bool             // it brought a usable invocation or check
	faults         int              // unusable invocations on it
	lastUsedAt     int64            // when it was opened, last brought something usable or had its last answer
	goAwayAt       int64            // when the go-away was sent
	goAwaySent     bool
	evicted        bool             // its place is needed
	closing        bool             // it closes once it is idle
	closeRequested bool             // the host was asked to close it
	evictRequested bool             // the host was asked to close it without a grace period
	broken         bool             // its frames can't be parsed any more
	checkTimer     timerwheel.Timer // in closingWheel after the go-away, before it in idleWheel
}

func (c *connection) isIdle() bool { return len(c.openStreams)+c.pendingChecks == 0 }

func (c *connection) isSound() bool { return c.usable && c.faults == 0 }

// markUsed records that the connection brought something usable.
func (c *connection) markUsed(now int64) {
	c.usable = true
	c.lastUsedAt = now
}

// idleTimeout is how long the connection may be idle before its go-away.
func (c *connection) idleTimeout() int64 {
	if c.usable {
		return idleTimeout
	}
	return firstUseTimeout
}

// goAwayGrace is how long invocations may cross the connection's go-away.
func (c *connection) goAwayGrace() int64 {
	if c.evicted {
		return evictionGrace
	}
	return goAwayGrace
}

// isEvictedBefore orders idle connections for eviction: unsound ones first, then the longest idle.
func (c *connection) isEvictedBefore(other *connection) bool {
	if c.isSound() != other.isSound() {
		return other.isSound()
	}
	if c.lastUsedAt != other.lastUsedAt {
		return c.lastUsedAt < other.lastUsedAt
	}
	return c.link < other.link
}

// isClosingLongerThan orders connections that are being closed by their go-away.
func (c *connection) isClosingLongerThan(other *connection) bool {
	if c.goAwayAt != other.goAwayAt {
		return c.goAwayAt < other.goAwayAt
	}
	return c.link < other.link
}

// connectionTable is the dispatchers' connections with their timeouts.
type connectionTable struct {
	sm     *StateMachine
	byLink map[int]*connection
	max    int // connections kept, not counting those that are being closed, as far as SpareConnections goes

	idleWheel    *timerwheel.Wheel // links by the millisecond of their next check, before the go-away
	closingWheel *timerwheel.Wheel // the same after it
	overdue      []int             // links to be checked that exceeded one batch
	sweepAt      int64             // when idleWheel is advanced next
	overdueAt    int64             // when the next batch of overdue is checked
	checked      int               // checks so far
}

func newConnectionTable(sm *StateMachine, limit int) connectionTable {
	return connectionTable{sm: sm, byLink: map[int]*connection{}, max: limit}
}

// start sets the wheels to the time of the first step.
func (t *connectionTable) start(now int64) {
	t.idleWheel = timerwheel.New(now / ms)
	t.closingWheel = timerwheel.New(now / ms)
}

// get is an open connection, or nil.
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

// opened accepts a connection. A full table makes room first.
func (t *connectionTable) opened(link int) {
	if len(t.byLink) >= t.max {
		t.makeRoom()
	}
	c := &connection{link: link, openStreams: make(map[uint32]int32), lastUsedAt: t.sm.now}
	t.byLink[link] = c
	t.scheduleCheck(c, t.sm.now+firstUseTimeout)
	t.sm.emit(Effect{Kind: ReadConnection, Link: link})
	if t.sm.drain.isAcceptStopped() {
		t.sendGoAway(c)
	}
}

func (t *connectionTable) closed(c *connection) {
	delete(t.byLink, c.link)
	t.cancelCheck(c)
	for _, stream := range slices.Sorted(maps.Keys(c.openStreams)) {
		t.sm.callerDisconnected(c.openStreams[stream])
	}
}

// makeRoom evicts an idle connection. Where too many are being closed it also closes the slowest of those at once: its
// peer may never finish a frame or close its side.
func (t *connectionTable) makeRoom() {
	var victim, slowest *connection
	closing := 0
	for _, c := range t.byLink {
		switch {
		case c.evicted || c.closeRequested:
			closing++
			if c.closeRequested && !c.evictRequested && (slowest == nil || c.isClosingLongerThan(slowest)) {
				slowest = c
			}
		case c.isIdle() && !c.closing && (victim == nil || c.isEvictedBefore(victim)):
			victim = c
		}
	}
	hasSpare := closing < t.sm.SpareConnections
	if victim != nil && len(t.byLink)-closing >= t.max {
		t.evict(victim, hasSpare)
	}
	if !hasSpare && slowest != nil {
		slowest.evictRequested = true
		t.sm.emit(Effect{Kind: EvictConnection, Link: slowest.link})
	}
}

// evict closes an idle connection after a grace period, or at once if it was never used or there is no spare place. The
// latter keeps many new connections from being refused while old ones close; an invocation that crosses the close is
// lost, and its dispatcher retries it.
func (t *connectionTable) evict(c *connection, hasSpare bool) {
	t.sm.Counters.Evicted++
	c.evicted = true
	if !c.usable || !hasSpare {
		c.closing = true
		c.closeRequested = true
		c.evictRequested = true
		t.sm.emit(Effect{Kind: EvictConnection, Link: c.link})
		return
	}
	t.sendGoAway(c)
	t.scheduleCheck(c, c.goAwayAt+evictionGrace)
}

// wheelOf is the wheel that holds the connection's timer.
func (t *connectionTable) wheelOf(c *connection) *timerwheel.Wheel {
	if c.goAwaySent {
		return t.closingWheel
	}
	return t.idleWheel
}

// scheduleCheck has a connection checked at a time or soon after it.
func (t *connectionTable) scheduleCheck(c *connection, at int64) {
	t.cancelCheck(c)
	c.checkTimer = t.wheelOf(c).Add((at+ms-1)/ms, int64(c.link))
}

func (t *connectionTable) cancelCheck(c *connection) {
	t.wheelOf(c).Remove(c.checkTimer)
	c.checkTimer = timerwheel.Timer{} // in the other wheel it may be another's
}

// checkDue checks the connections whose timeout may have passed, in batches: those that were opened together are due
// together, and invocations would wait behind all of them.
func (t *connectionTable) checkDue() {
	now := t.sm.now
	isDue := func(link int64) { t.overdue = append(t.overdue, int(link)) }
	earlier := len(t.overdue)
	t.closingWheel.Advance(now/ms, isDue)
	if now >= t.sweepAt {
		t.sweepAt = now + sweepInterval
		t.idleWheel.Advance(now/ms, isDue)
	}
	slices.Sort(t.overdue[earlier:])
	if now < t.overdueAt || len(t.overdue) == 0 {
		return
	}
	checks := 0
	closes := 0
	for checks < min(maxChecksPerStep, len(t.overdue)) && closes < maxClosesPerStep {
		c := t.byLink[t.overdue[checks]]
		if c != nil && !c.closing && t.check(c) {
			closes++
		}
		checks++
	}
	t.checked += checks
	t.overdue = slices.Delete(t.overdue, 0, checks)
	t.overdueAt = now + overdueInterval
}

// dueAt is when connections are to be checked next.
func (t *connectionTable) dueAt() int64 {
	if len(t.byLink) == 0 {
		return never
	}
	at := t.sweepAt
	if tick, ok := t.closingWheel.Next(); ok {
		at = min(at, tick*ms)
	}
	if len(t.overdue) > 0 {
		at = min(at, t.overdueAt)
	}
	return at
}

// check sends a go-away to a connection whose timeout has passed, or closes it after its grace period, and reports
// whether it did. Any other is scheduled for when that may be due.
func (t *connectionTable) check(c *connection) bool {
	now := t.sm.now
	switch {
	case !c.isIdle() && c.goAwaySent:
		t.scheduleCheck(c, now+sweepInterval)
	case !c.isIdle(): // its timeout starts with its last answer
		t.scheduleCheck(c, now+c.idleTimeout())
	case c.goAwaySent && now < c.goAwayAt+c.goAwayGrace():
		t.scheduleCheck(c, c.goAwayAt+c.goAwayGrace())
	case c.goAwaySent:
		t.sm.Counters.Idle++
		t.close(c)
		return true
	case now < c.lastUsedAt+c.idleTimeout():
		t.scheduleCheck(c, c.lastUsedAt+c.idleTimeout())
	default:
		t.sendGoAway(c)
		return true
	}
	return false
}

// sendGoAway asks the dispatcher to open no more streams on a connection.
func (t *connectionTable) sendGoAway(c *connection) {
	if c.goAwaySent {
		return
	}
	t.cancelCheck(c)
	c.goAwaySent = true
	c.goAwayAt = t.sm.now
	t.scheduleCheck(c, t.sm.now+c.goAwayGrace())
	t.sm.emit(Effect{Kind: SendToConnection, Link: c.link, Bytes: frame.Append(nil, frame.GoAway, 0, nil)})
}

// sendGoAwayToAll sends each connection its go-away.
func (t *connectionTable) sendGoAwayToAll() {
	for _, link := range slices.Sorted(maps.Keys(t.byLink)) {
		t.sendGoAway(t.byLink[link])
	}
}

// streamClosed removes a stream that was answered or whose caller left.
func (t *connectionTable) streamClosed(c *connection, stream uint32) {
	delete(c.openStreams, stream)
	t.released(c)
}

// released restarts the timeout of a connection that is idle now, and closes it if it was waiting for that.
func (t *connectionTable) released(c *connection) {
	if !c.isIdle() {
		return
	}
	c.lastUsedAt = t.sm.now
	if c.closing {
		t.close(c)
	}
}

// close has the host close a connection once all is written. It stays in the table until it is closed: what was read on
// it before is still answered.
func (t *connectionTable) close(c *connection) {
	c.closing = true
	if !c.closeRequested {
		c.closeRequested = true
		t.sm.emit(Effect{Kind: CloseAfterFlush, Link: c.link})
	}
}

// resume takes back a requested close for an invocation or a check that crossed it.
func (t *connectionTable) resume(c *connection) {
	if c.closeRequested {
		c.closeRequested = false
		c.evictRequested = false
		t.sm.emit(Effect{Kind: ResumeConnection, Link: c.link})
	}
}

// markBroken closes a connection whose frames can't be parsed any more, once its open streams are answered.
func (t *connectionTable) markBroken(c *connection, err error) {
	t.sm.log(Warn, "connection can't be understood", "", err)
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
	c.closing = true
	t.released(c)
}

// countFault counts an unusable invocation against its connection, which bounds the useless work of a faulty peer.
func (t *connectionTable) countFault(c *connection) {
	c.faults++
	if c.faults >= maxFaults {
		t.markBroken(c, errTooManyFaults)
	}
}
