package node

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"topazpost/internal/admission"
	"topazpost/internal/protocol/frame"
	"topazpost/internal/timerwheel"
)

// What makes an invocation's fields unusable.
var (
	errField  = errors.New("missing or malformed")
	errBody   = errors.New("the body is too large")
	errStream = errors.New("stream out of order")
	errType   = errors.New("unknown type of frame")
	errFaults = errors.New("too many invocations that can't be used")
)

func number(v float64) string { return strconv.FormatFloat(v, 'f', -1, 64) }

// connectionOpened takes a connection on. At the most that are kept an idle one makes room: one that brought nothing usable
// before any other, then the one that has stood idle longest. Those that end already do not count, as far as Spare goes.
func (sm *StateMachine) connectionOpened(link int) {
	if len(sm.connections) >= sm.maxConnections {
		oldest, found, told, slow := 0, false, 0, 0
		for id, c := range sm.connections {
			if c.evicted || c.ending {
				told++
				if c.ending && !c.hastened && (slow == 0 || c.ended < sm.connections[slow].ended || c.ended == sm.connections[slow].ended && id < slow) {
					slow = id
				}
				continue
			}
			if !c.idle() || c.closing {
				continue
			}
			if found {
				o := sm.connections[oldest]
				sound, before := c.usable && c.faults == 0, o.usable && o.faults == 0
				if sound && !before || sound == before && (c.used > o.used || c.used == o.used && id > oldest) {
					continue
				}
			}
			oldest, found = id, true
		}
		if found && len(sm.connections)-told >= sm.maxConnections {
			sm.evictConnection(oldest, sm.connections[oldest], told < sm.SpareConnections)
		}
		if told >= sm.SpareConnections && slow != 0 { // one that takes its time over half a frame, or over its own end
			sm.connections[slow].hastened = true
			sm.emit(Effect{Kind: EvictConnection, Link: slow})
		}
	}
	c := &connection{open: make(map[uint32]int32), used: sm.now}
	sm.connections[link] = c
	sm.scheduleCheck(link, c, sm.now+firstWait)
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
		c.closing, c.ending, c.hastened = true, true, true
		sm.emit(Effect{Kind: EvictConnection, Link: link})
		return
	}
	sm.sendGoAway(link, c)
	sm.scheduleCheck(link, c, c.ended+evictWait)
}

func (sm *StateMachine) applyDispatcherInput(in *Input, c *connection) {
	switch in.Kind {
	case ConnectionClosed:
		delete(sm.connections, in.Link)
		sm.cancelCheck(c)
		for _, stream := range slices.Sorted(maps.Keys(c.open)) {
			sm.callerDisconnected(c.open[stream])
		}
		return
	case FrameMalformed:
		sm.connectionBroken(in.Link, c, in.Err)
		return
	}
	switch f := &in.Frame; f.Type {
	case frame.Invocation:
		sm.invocationReceived(in.Link, c, f)
	case frame.Gone:
		if i, open := c.open[f.Stream]; open {
			delete(c.open, f.Stream)
			sm.callerDisconnected(i)
			sm.touchConnection(in.Link, c)
		}
	case frame.Check:
		sm.healthCheckReceived(in.Link, c, f)
	default:
		sm.connectionBroken(in.Link, c, fmt.Errorf("%w: %d", errType, f.Type))
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
	sm.touchConnection(link, c)
}

// countFault counts what can't be used against its connection. Guards against peers that make work of no use without
// end; does harm to a dispatcher of another version, which loses its connections again and again.
func (sm *StateMachine) countFault(link int, c *connection) {
	if c.faults++; c.faults >= faultsMost {
		sm.connectionBroken(link, c, errFaults)
	}
}

// scheduleCheck has a connection looked at, at a time or soon after it.
func (sm *StateMachine) scheduleCheck(link int, c *connection, at int64) {
	sm.cancelCheck(c)
	if c.noMore {
		c.look = sm.closingWheel.Add((at+ms-1)/ms, int64(link))
	} else {
		c.look = sm.idleWheel.Add((at+ms-1)/ms, int64(link))
	}
}

// cancelCheck takes back that a connection is to be looked at.
func (sm *StateMachine) cancelCheck(c *connection) {
	if c.noMore {
		sm.closingWheel.Remove(c.look)
	} else {
		sm.idleWheel.Remove(c.look)
	}
	c.look = timerwheel.Timer{} // in the other wheel it may name another's
}

// checkConnections closes those that hold a descriptor to no use: that never brought anything usable, or that stand
// idle long after it. Each is told before. It looks only at those whose time may have come, and at so many in one step:
// those that came together are due together, and invocations would wait behind all of them.
func (sm *StateMachine) checkConnections() {
	due := func(link int64) { sm.overdueConnections = append(sm.overdueConnections, int(link)) }
	left := len(sm.overdueConnections)
	sm.closingWheel.Advance(sm.now/ms, due)
	if sm.now >= sm.sweepAt {
		sm.sweepAt = sm.now + sweepEvery
		sm.idleWheel.Advance(sm.now/ms, due)
	}
	slices.Sort(sm.overdueConnections[left:])
	if sm.now < sm.overdueAt || len(sm.overdueConnections) == 0 {
		return
	}
	looks, ends := 0, 0
	for looks < min(looksMost, len(sm.overdueConnections)) && ends < endsMost {
		link := sm.overdueConnections[looks]
		if c := sm.connections[link]; c != nil && !c.closing && sm.checkConnection(link, c) {
			ends++
		}
		looks++
	}
	sm.connectionsChecked += looks
	sm.overdueConnections, sm.overdueAt = slices.Delete(sm.overdueConnections, 0, looks), sm.now+sweepAgain
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
	wait := int64(firstWait)
	if c.usable {
		wait = idleWait
	}
	switch {
	case !c.idle() && c.noMore:
		sm.scheduleCheck(link, c, sm.now+sweepEvery)
	case !c.idle(): // it is idle from its last answer on, which is yet to come
		sm.scheduleCheck(link, c, sm.now+wait)
	case c.noMore && sm.now < c.ended+c.crossing():
		sm.scheduleCheck(link, c, c.ended+c.crossing())
	case c.noMore:
		sm.Counters.Idle++
		sm.closeAfterFlush(link, c)
		return true
	case sm.now < c.used+wait:
		sm.scheduleCheck(link, c, c.used+wait)
	default:
		sm.sendGoAway(link, c)
		return true
	}
	return false
}

func (sm *StateMachine) sendGoAway(link int, c *connection) {
	if !c.noMore {
		sm.cancelCheck(c)
		c.noMore, c.ended = true, sm.now
		sm.scheduleCheck(link, c, sm.now+c.crossing())
		sm.emit(Effect{Kind: SendToConnection, Link: link, Bytes: frame.Append(nil, frame.NoMore, 0, nil)})
	}
}

// crossing is how long an invocation may cross the notice that no more may come, in ns.
func (c *connection) crossing() int64 {
	if c.evicted {
		return evictWait
	}
	return crossWait
}

// touchConnection closes a connection that is to end, once nothing is open on it.
func (sm *StateMachine) touchConnection(link int, c *connection) {
	if c.idle() {
		if c.used = sm.now; c.closing {
			sm.closeAfterFlush(link, c)
		}
	}
}

// closeAfterFlush has the server close a connection, which stays known until it is gone: what was read on it before is still
// answered.
func (sm *StateMachine) closeAfterFlush(link int, c *connection) {
	c.closing = true
	if !c.ending {
		c.ending = true
		sm.emit(Effect{Kind: CloseAfterFlush, Link: link})
	}
}

// closeIfIdle takes that back for an invocation or a check that came on it meanwhile and is not answered yet.
func (sm *StateMachine) closeIfIdle(link int, c *connection) {
	if c.ending {
		c.ending, c.hastened = false, false
		sm.emit(Effect{Kind: ResumeConnection, Link: link})
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
		sm.cancelCall(i)
		sm.events = append(sm.events, admission.Event{Kind: admission.CallerDisconnected, Invocation: i})
		sm.runFinished(i)
	}
}

// invocationReceived takes an invocation in, or answers at once one that can't be used. Where its connection can't be understood
// any more it is errored unrun: it may be no invocation at all, and a throttle would say that it never ran before.
func (sm *StateMachine) invocationReceived(link int, c *connection, f *frame.Frame) {
	if c.broken {
		if f.Stream > c.last {
			c.last = f.Stream
			sm.Counters.Invocations++
			sm.Counters.Errored++
			sm.sendFrame(link, f.Stream, frame.Errored, nil, nil)
		}
		return
	}
	if f.Stream <= c.last {
		sm.connectionBroken(link, c, fmt.Errorf("%w: %d after %d", errStream, f.Stream, c.last))
		return
	}
	c.last = f.Stream
	sm.Counters.Invocations++
	v := invocation{live: true, connection: link, stream: f.Stream}
	e := admission.Event{Kind: admission.Arrived, Tenant: -1, Original: admission.NoOriginal}
	err := sm.decodeInvocation(f, &v, &e)
	if err == nil {
		err = sm.findOriginal(&v, &e)
	}
	if err == nil && sm.isRetired(&e) {
		err = errRetired
	}
	if err == nil && len(c.open) >= streamsOpen {
		err = errors.New("too many streams are open")
	}
	if err != nil {
		sm.Counters.BrokenInvocations++
		sm.Counters.Errored++
		sm.log(Warn, "invocation can't be used", v.call, err)
		sm.sendFrame(link, f.Stream, frame.Errored, nil, nil)
		if err != errRetired { // callers hear of a change as late as they do
			sm.countFault(link, c)
		}
		return
	}
	c.usable, c.used = true, sm.now
	if sm.isUnclaimed(&v) {
		sm.rejectUnread(link, f.Stream)
		return
	}
	if sm.controller == nil || sm.awaitingRecovery(&v) {
		sm.rejectUnread(link, f.Stream)
		return
	}
	sm.closeIfIdle(link, c)
	v.operation, v.tenant = e.OperationIndex, e.Tenant
	e.Invocation = sm.addInvocation(v)
	if v.tokenKey.Token != "" {
		sm.invocations[e.Invocation].arrival, sm.invocations[e.Invocation].arrivedAt = e, sm.now
		sm.invocations[e.Invocation].deadline = cmp.Or(e.Deadline, sm.now-e.Age+sm.config.Node.Operations[e.OperationIndex].ClientTimeout)
		sm.deferInvocation(e.Invocation, e.Original)
	}
	c.open[f.Stream] = e.Invocation
	sm.events = append(sm.events, e)
}

// decodeInvocation turns an invocation's fields into an event.
func (sm *StateMachine) decodeInvocation(f *frame.Frame, v *invocation, e *admission.Event) error {
	if f.Past {
		return errBody
	}
	fields, body, err := frame.Fields(f.Payload)
	if err != nil {
		return err
	}
	var op, call, recv, src, heap bool
	left := int64(-1) // ms that the caller waits from the arrival on, where it says so
	for _, field := range fields {
		ok, n := true, 0.0
		switch field.Name {
		case "op":
			e.OperationIndex, ok = sm.config.Operations.Lookup(field.Value)
			v.op, op = field.Value, true
		case "call":
			v.call, call, ok = field.Value, true, hex16(field.Value)
		case "recv":
			var at int64
			at, ok = whole(field.Value)
			recv, ok = true, ok && sm.plausible(at)
			e.Age = sm.age(at)
		case "src":
			e.Caller, ok = whole(field.Value)
			src, ok = true, ok && e.Caller <= callerMost
		case "org":
			if sm.config.Tenants.Len() > 0 {
				e.Tenant, ok = sm.config.Tenants.Lookup(field.Value)
			}
		case "ttl":
			left, ok = whole(field.Value)
			ok = ok && left <= ttlMost
		case "rep":
			e.Retry, ok = true, field.Value == "1"
		case "work":
			n, ok = decimal(field.Value)
			e.ExpectedWork, ok = int64(n*float64(ms)), ok && n <= workMost
		case "heap":
			e.QueuedKB, ok = decimal(field.Value)
			heap, ok = true, ok && e.QueuedKB > 0 && e.QueuedKB < heapMost
		case "crit":
			n, ok = decimal(field.Value)
			ok = ok && n < 1
		case sm.results.token:
			v.tokenKey.Token, ok = field.Value, sm.results.keeper == nil || len(field.Value) <= tokenMost
		case "row":
			e.HasReadKey, ok = true, hex16(field.Value)
		}
		if !ok {
			return fmt.Errorf("field %s: %w", field.Name, errField)
		}
	}
	if !(op && call && recv && src && heap) {
		return fmt.Errorf("op, call, recv, src or heap: %w", errField)
	}
	if e.Tenant < 0 && sm.config.Tenants.Len() > 0 {
		return fmt.Errorf("field org: %w: the settings name tenants", errField)
	}
	if sm.results.keeper != nil && v.tokenKey.Token == "" && sm.config.Node.Operations[e.OperationIndex].Idempotency == admission.IdempotentWithKey {
		return fmt.Errorf("field %s: %w: repeats of %s are known by it", sm.results.token, errField, v.op)
	}
	if left >= 0 {
		e.Deadline = max(1, sm.now-e.Age+left*ms) // 0 would say that it is not known
	}
	if _, known := sm.indexByCall[v.call]; known {
		return fmt.Errorf("field call: %w: in use", errField)
	}
	if len(body) > bodyMost {
		return errBody
	}
	v.body = body
	return nil
}

// decimal reads digits with at most one point among them, and nothing else that a parser of numbers would take.
func decimal(s string) (float64, bool) {
	if len(s) > digitsMost || strings.Trim(s, "0123456789.") != "" {
		return 0, false
	}
	n, err := strconv.ParseFloat(s, 64)
	return n, err == nil
}

func whole(s string) (int64, bool) {
	n, err := strconv.ParseUint(s, 10, 63)
	return int64(n), err == nil
}

func hex16(s string) bool { return len(s) == 16 && strings.Trim(s, "0123456789abcdef") == "" }

// plausible says whether a stamp can be that of an arrival. It is of this machine's own clock, which jumps with it.
func (sm *StateMachine) plausible(stamp int64) bool {
	return stamp-sm.wall/ms <= aheadMost && sm.wall/ms-stamp <= ageMost
}

// age is how long ago an invocation came to the machine.
func (sm *StateMachine) age(stamp int64) int64 { return max(0, sm.wall-stamp*ms) }

// healthCheckReceived answers a health healthCheckReceived from store, or has the executor do its work where the module leaves that.
func (sm *StateMachine) healthCheckReceived(link int, c *connection, f *frame.Frame) {
	fields, _, err := frame.Fields(f.Payload)
	deep := false
	for _, field := range fields {
		deep = deep || field.Name == "e2e" && field.Value == "1"
	}
	if err != nil || f.Past {
		sm.log(Warn, "health check can't be read", "", err)
	} else {
		c.usable, c.used = true, sm.now
	}
	if deep && sm.healthy && !sm.healthCached && sm.config.Node.DeepHealthChecks && sm.executorLink != 0 && len(sm.deepChecks) < streamsOpen {
		sm.deepChecksStarted++
		tag := "d" + strconv.Itoa(sm.deepChecksStarted)
		sm.deepChecks[tag] = check{link, f.Stream, sm.now + diagWait}
		c.checks++
		sm.closeIfIdle(link, c)
		sm.sendToExecutor("DIAG", tag)
		return
	}
	sm.answerHealthCheck(link, f.Stream, sm.controller != nil && sm.healthy)
}

func (sm *StateMachine) answerHealthCheck(link int, stream uint32, good bool) {
	code := byte(frame.Bad)
	if good {
		code = frame.Good
	}
	sm.emit(Effect{Kind: SendToConnection, Link: link,
		Bytes: frame.Head(nil, frame.Checked, stream, code, sm.withBackpressure(nil), 0)})
}

// deepCheckFinished answers the check that a deep one was for.
func (sm *StateMachine) deepCheckFinished(tag string, good bool) {
	d, ok := sm.deepChecks[tag]
	if !ok {
		return
	}
	delete(sm.deepChecks, tag)
	if c := sm.connections[d.conn]; c != nil {
		c.checks--
		sm.answerHealthCheck(d.conn, d.stream, good && sm.healthy)
		sm.touchConnection(d.conn, c)
	}
}

func (sm *StateMachine) expireDeepChecks() {
	for _, tag := range slices.Sorted(maps.Keys(sm.deepChecks)) {
		if sm.now >= sm.deepChecks[tag].until {
			sm.deepCheckFinished(tag, false)
		}
	}
}

func (sm *StateMachine) deepChecksDue() int64 {
	at := int64(never)
	for _, d := range sm.deepChecks {
		at = min(at, d.until)
	}
	return at
}

// withBackpressure adds the free value to an answer's fields.
func (sm *StateMachine) withBackpressure(fields []frame.Field) []frame.Field {
	if sm.backpressure != "" {
		fields = append(fields, frame.Field{Name: "load", Value: sm.backpressure})
	}
	return fields
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
		sm.cancelCall(i)
		return
	}
	if !sm.Invariants.Check(v.live && !v.answered, "one answer an invocation") {
		return
	}
	v.answered = true
	sm.owedAnswers--
	sm.cancelCall(i)
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
	if c := sm.connections[v.connection]; c != nil {
		delete(c.open, v.stream)
		sm.touchConnection(v.connection, c)
	}
}

func (sm *StateMachine) sendFrame(link int, stream uint32, code byte, fields []frame.Field, body []byte) {
	head := frame.Head(nil, frame.Answer, stream, code, sm.withBackpressure(fields), len(body))
	sm.emit(Effect{Kind: SendToConnection, Link: link, Bytes: append(head, body...)})
}
