package node

import (
	"slices"

	"topazpost/internal/protocol/frame"
	"topazpost/internal/timerwheel"
)

const (
	maxFaults        = 16          // invocations that can't be used on one connection, past which it is not heard any more
	sweepInterval    = 250 * ms    // ns between looks for connections that stand idle
	maxChecksPerStep = 2_048       // connections looked at in one step, some 0.1 us each
	maxClosesPerStep = 32          // of them told or ended: 20 to 40 us each with the system calls, so that requests wait some 1 ms
	overdueInterval  = 2_500_000   // ns to the next of them, where more are due: half of one core, 14,000 told and ended in 2.2 s
	firstUseTimeout  = 2_000 * ms  // ns in which a connection must bring something usable: it is told of its end within 3 s, where no more than some 6,000 are due together
	idleTimeout      = 15_000 * ms // ns of standing idle past which a connection is told to bring no more: callers close sooner
	goAwayGrace      = 200 * ms    // ns after that in which an invocation may cross, then it is closed
	evictionGrace    = 60 * ms     // ns of the same where its place is wanted: the 50 ms of the protocol, and a round trip
)

// connection is a dispatcher's connection.
type connection struct {
	lastStream     uint32 // highest stream seen
	openStreams    map[uint32]int32
	pendingChecks  int   // deep checks that wait for the executor
	usable         bool  // it brought something that could be used
	faults         int   // invocations on it that could not be
	lastUsedAt     int64 // when it was opened, last brought something usable or had its last answer
	goAwayAt       int64 // when it was told that nothing new may come, where noMore
	goAwaySent     bool
	evicted        bool             // its place is wanted
	closing        bool             // it ends as soon as nothing is open on it
	closeRequested bool             // the server was asked to close it
	broken         bool             // it can't be understood
	evictRequested bool             // without time for what it may still send, as its place is wanted
	checkTimer     timerwheel.Timer // in resting, or in crossing where noMore
}

func (c *connection) isIdle() bool { return len(c.openStreams)+c.pendingChecks == 0 }

// goAwayGrace is how long an invocation may cross the notice that no more may come, in ns.
func (c *connection) goAwayGrace() int64 {
	if c.evicted {
		return evictionGrace
	}
	return goAwayGrace
}

// connectionOpened takes a connection on. At the most that are kept an idle one makes room: one that brought nothing usable
// before any other, then the one that has stood idle longest. Those that end already do not count, as far as Spare goes.
func (sm *StateMachine) connectionOpened(link int) {
	if len(sm.connections) >= sm.maxConnections {
		oldest, found, told, slow := 0, false, 0, 0
		for id, c := range sm.connections {
			if c.evicted || c.closeRequested {
				told++
				if c.closeRequested && !c.evictRequested && (slow == 0 || c.goAwayAt < sm.connections[slow].goAwayAt || c.goAwayAt == sm.connections[slow].goAwayAt && id < slow) {
					slow = id
				}
				continue
			}
			if !c.isIdle() || c.closing {
				continue
			}
			if found {
				o := sm.connections[oldest]
				sound, before := c.usable && c.faults == 0, o.usable && o.faults == 0
				if sound && !before || sound == before && (c.lastUsedAt > o.lastUsedAt || c.lastUsedAt == o.lastUsedAt && id > oldest) {
					continue
				}
			}
			oldest, found = id, true
		}
		if found && len(sm.connections)-told >= sm.maxConnections {
			sm.evictConnection(oldest, sm.connections[oldest], told < sm.SpareConnections)
		}
		if told >= sm.SpareConnections && slow != 0 { // one that takes its time over half a frame, or over its own end
			sm.connections[slow].evictRequested = true
			sm.emit(Effect{Kind: EvictConnection, Link: slow})
		}
	}
	c := &connection{openStreams: make(map[uint32]int32), lastUsedAt: sm.now}
	sm.connections[link] = c
	sm.scheduleCheck(link, c, sm.now+firstUseTimeout)
	sm.emit(Effect{Kind: ReadConnection, Link: link})
	if sm.acceptStopped {
		sm.sendGoAway(link, c)
	}
}

// evictConnection ends an idle connection whose place is wanted: once what crosses has had its time, or now if it never brought
// anything usable or there is no place beside. The latter guards against a crowd that connects faster than those who
// rest can be told; it does harm to an invocation that crosses the end, which its dispatcher sends again.
func (sm *StateMachine) evictConnection(link int, c *connection, beside bool) {
	sm.Counters.Evicted++
	c.evicted = true
	if !c.usable || !beside {
		c.closing, c.closeRequested, c.evictRequested = true, true, true
		sm.emit(Effect{Kind: EvictConnection, Link: link})
		return
	}
	sm.sendGoAway(link, c)
	sm.scheduleCheck(link, c, c.goAwayAt+evictionGrace)
}

// scheduleCheck has a connection looked at, at a time or soon after it.
func (sm *StateMachine) scheduleCheck(link int, c *connection, at int64) {
	sm.cancelCheck(c)
	if c.goAwaySent {
		c.checkTimer = sm.closingWheel.Add((at+ms-1)/ms, int64(link))
	} else {
		c.checkTimer = sm.idleWheel.Add((at+ms-1)/ms, int64(link))
	}
}

// cancelCheck takes back that a connection is to be looked at.
func (sm *StateMachine) cancelCheck(c *connection) {
	if c.goAwaySent {
		sm.closingWheel.Remove(c.checkTimer)
	} else {
		sm.idleWheel.Remove(c.checkTimer)
	}
	c.checkTimer = timerwheel.Timer{} // in the other wheel it may name another's
}

// checkConnections closes those that hold a descriptor to no use: that never brought anything usable, or that stand
// idle long after it. Each is told before. It looks only at those whose time may have come, and at so many in one step:
// those that came together are due together, and invocations would wait behind all of them.
func (sm *StateMachine) checkConnections() {
	due := func(link int64) { sm.overdueConnections = append(sm.overdueConnections, int(link)) }
	left := len(sm.overdueConnections)
	sm.closingWheel.Advance(sm.now/ms, due)
	if sm.now >= sm.sweepAt {
		sm.sweepAt = sm.now + sweepInterval
		sm.idleWheel.Advance(sm.now/ms, due)
	}
	slices.Sort(sm.overdueConnections[left:])
	if sm.now < sm.overdueAt || len(sm.overdueConnections) == 0 {
		return
	}
	looks, ends := 0, 0
	for looks < min(maxChecksPerStep, len(sm.overdueConnections)) && ends < maxClosesPerStep {
		link := sm.overdueConnections[looks]
		if c := sm.connections[link]; c != nil && !c.closing && sm.checkConnection(link, c) {
			ends++
		}
		looks++
	}
	sm.connectionsChecked += looks
	sm.overdueConnections, sm.overdueAt = slices.Delete(sm.overdueConnections, 0, looks), sm.now+overdueInterval
}

// connectionsDue is when the next of them is looked at.
func (sm *StateMachine) connectionsDue() int64 {
	at := sm.sweepAt
	if tick, some := sm.closingWheel.Next(); some {
		at = min(at, tick*ms)
	}
	if len(sm.overdueConnections) > 0 {
		at = min(at, sm.overdueAt)
	}
	return at
}

// checkConnection tells or ends one that has had its time, and has any other looked at when that may have come.
func (sm *StateMachine) checkConnection(link int, c *connection) (ends bool) {
	wait := int64(firstUseTimeout)
	if c.usable {
		wait = idleTimeout
	}
	switch {
	case !c.isIdle() && c.goAwaySent:
		sm.scheduleCheck(link, c, sm.now+sweepInterval)
	case !c.isIdle(): // it is idle from its last answer on, which is yet to come
		sm.scheduleCheck(link, c, sm.now+wait)
	case c.goAwaySent && sm.now < c.goAwayAt+c.goAwayGrace():
		sm.scheduleCheck(link, c, c.goAwayAt+c.goAwayGrace())
	case c.goAwaySent:
		sm.Counters.Idle++
		sm.closeAfterFlush(link, c)
		return true
	case sm.now < c.lastUsedAt+wait:
		sm.scheduleCheck(link, c, c.lastUsedAt+wait)
	default:
		sm.sendGoAway(link, c)
		return true
	}
	return false
}

func (sm *StateMachine) sendGoAway(link int, c *connection) {
	if !c.goAwaySent {
		sm.cancelCheck(c)
		c.goAwaySent, c.goAwayAt = true, sm.now
		sm.scheduleCheck(link, c, sm.now+c.goAwayGrace())
		sm.emit(Effect{Kind: SendToConnection, Link: link, Bytes: frame.Append(nil, frame.NoMore, 0, nil)})
	}
}

// releaseIfIdle closes a connection that is to end, once nothing is open on it.
func (sm *StateMachine) releaseIfIdle(link int, c *connection) {
	if c.isIdle() {
		if c.lastUsedAt = sm.now; c.closing {
			sm.closeAfterFlush(link, c)
		}
	}
}

// closeAfterFlush has the server close a connection, which stays known until it is gone: what was read on it before is still
// answered.
func (sm *StateMachine) closeAfterFlush(link int, c *connection) {
	c.closing = true
	if !c.closeRequested {
		c.closeRequested = true
		sm.emit(Effect{Kind: CloseAfterFlush, Link: link})
	}
}

// resumeConnection takes that back for an invocation or a check that came on it meanwhile and is not answered yet.
func (sm *StateMachine) resumeConnection(link int, c *connection) {
	if c.closeRequested {
		c.closeRequested, c.evictRequested = false, false
		sm.emit(Effect{Kind: ResumeConnection, Link: link})
	}
}

// connectionBroken ends a connection that can't be understood, once what is open on it is answered.
func (sm *StateMachine) connectionBroken(link int, c *connection, err error) {
	sm.log(Warn, "connection can't be understood", "", err)
	if c.broken {
		return
	}
	c.broken = true
	sm.Counters.BrokenConnections++
	text := err.Error()
	sm.emit(Effect{Kind: SendToConnection, Link: link,
		Bytes: append(frame.Head(nil, frame.Answer, 0, frame.Errored, nil, len(text)), text...)})
	sm.sendGoAway(link, c)
	sm.emit(Effect{Kind: DiscardInput, Link: link})
	c.closing = true
	sm.releaseIfIdle(link, c)
}

// countFault counts what can't be used against its connection. Guards against peers that make work of no use without
// end; does harm to a dispatcher of another version, which loses its connections again and again.
func (sm *StateMachine) countFault(link int, c *connection) {
	if c.faults++; c.faults >= maxFaults {
		sm.connectionBroken(link, c, errTooManyFaults)
	}
}
