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

// opened takes a connection on. At the most that are kept an idle one makes room: one that brought nothing usable
// before any other, then the one that has stood idle longest. Those that end already do not count, as far as Spare goes.
func (r *StateMachine) opened(link int) {
	if len(r.conns) >= r.connMost {
		oldest, found, told, slow := 0, false, 0, 0
		for id, c := range r.conns {
			if c.evicted || c.ending {
				told++
				if c.ending && !c.hastened && (slow == 0 || c.ended < r.conns[slow].ended || c.ended == r.conns[slow].ended && id < slow) {
					slow = id
				}
				continue
			}
			if !c.idle() || c.closing {
				continue
			}
			if found {
				o := r.conns[oldest]
				sound, before := c.usable && c.faults == 0, o.usable && o.faults == 0
				if sound && !before || sound == before && (c.used > o.used || c.used == o.used && id > oldest) {
					continue
				}
			}
			oldest, found = id, true
		}
		if found && len(r.conns)-told >= r.connMost {
			r.evict(oldest, r.conns[oldest], told < r.SpareConnections)
		}
		if told >= r.SpareConnections && slow != 0 { // one that takes its time over half a frame, or over its own end
			r.conns[slow].hastened = true
			r.do(Effect{Kind: EvictConnection, Link: slow})
		}
	}
	c := &connection{open: make(map[uint32]int32), used: r.now}
	r.conns[link] = c
	r.lookAt(link, c, r.now+firstWait)
	r.do(Effect{Kind: ReadConnection, Link: link})
	if r.shut {
		r.noMore(link, c)
	}
}

// evict ends an idle connection whose place is wanted: once what crosses has had its time, or now if it never brought
// anything usable or there is no place beside. The latter guards against a crowd that connects faster than those who
// rest can be told; it does harm to an invocation that crosses the end, which its dispatcher sends again.
func (r *StateMachine) evict(link int, c *connection, beside bool) {
	r.Counters.Evicted++
	c.evicted = true
	if !c.usable || !beside {
		c.closing, c.ending, c.hastened = true, true, true
		r.do(Effect{Kind: EvictConnection, Link: link})
		return
	}
	r.noMore(link, c)
	r.lookAt(link, c, c.ended+evictWait)
}

func (r *StateMachine) fromDispatcher(in *Input, c *connection) {
	switch in.Kind {
	case ConnectionClosed:
		delete(r.conns, in.Link)
		r.lookAway(c)
		for _, stream := range slices.Sorted(maps.Keys(c.open)) {
			r.gone(c.open[stream])
		}
		return
	case FrameMalformed:
		r.broken(in.Link, c, in.Err)
		return
	}
	switch f := &in.Frame; f.Type {
	case frame.Invocation:
		r.intake(in.Link, c, f)
	case frame.Gone:
		if i, open := c.open[f.Stream]; open {
			delete(c.open, f.Stream)
			r.gone(i)
			r.keepOpen(in.Link, c)
		}
	case frame.Check:
		r.check(in.Link, c, f)
	default:
		r.broken(in.Link, c, fmt.Errorf("%w: %d", errType, f.Type))
	}
}

// broken ends a connection that can't be understood, once what is open on it is answered.
func (r *StateMachine) broken(link int, c *connection, err error) {
	r.remark(Warn, "connection can't be understood", "", err)
	if c.broken {
		return
	}
	c.broken = true
	r.Counters.BrokenConnections++
	text := err.Error()
	r.do(Effect{Kind: SendToConnection, Link: link,
		Bytes: append(frame.Head(nil, frame.Answer, 0, frame.Errored, nil, len(text)), text...)})
	r.noMore(link, c)
	r.do(Effect{Kind: DiscardInput, Link: link})
	c.closing = true
	r.keepOpen(link, c)
}

// fault counts what can't be used against its connection. Guards against peers that make work of no use without
// end; does harm to a dispatcher of another version, which loses its connections again and again.
func (r *StateMachine) fault(link int, c *connection) {
	if c.faults++; c.faults >= faultsMost {
		r.broken(link, c, errFaults)
	}
}

// lookAt has a connection looked at, at a time or soon after it.
func (r *StateMachine) lookAt(link int, c *connection, at int64) {
	r.lookAway(c)
	if c.noMore {
		c.look = r.crossing.Add((at+ms-1)/ms, int64(link))
	} else {
		c.look = r.resting.Add((at+ms-1)/ms, int64(link))
	}
}

// lookAway takes back that a connection is to be looked at.
func (r *StateMachine) lookAway(c *connection) {
	if c.noMore {
		r.crossing.Remove(c.look)
	} else {
		r.resting.Remove(c.look)
	}
	c.look = timerwheel.Timer{} // in the other wheel it may name another's
}

// keepConnections closes those that hold a descriptor to no use: that never brought anything usable, or that stand
// idle long after it. Each is told before. It looks only at those whose time may have come, and at so many in one step:
// those that came together are due together, and invocations would wait behind all of them.
func (r *StateMachine) keepConnections() {
	due := func(link int64) { r.due = append(r.due, int(link)) }
	left := len(r.due)
	r.crossing.Advance(r.now/ms, due)
	if r.now >= r.sweepAt {
		r.sweepAt = r.now + sweepEvery
		r.resting.Advance(r.now/ms, due)
	}
	slices.Sort(r.due[left:])
	if r.now < r.dueAt || len(r.due) == 0 {
		return
	}
	looks, ends := 0, 0
	for looks < min(looksMost, len(r.due)) && ends < endsMost {
		link := r.due[looks]
		if c := r.conns[link]; c != nil && !c.closing && r.keepConnection(link, c) {
			ends++
		}
		looks++
	}
	r.lookedAt += looks
	r.due, r.dueAt = slices.Delete(r.due, 0, looks), r.now+sweepAgain
}

// connectionsDue is when the next of them is looked at.
func (r *StateMachine) connectionsDue() int64 {
	at := r.sweepAt
	if tick, some := r.crossing.Next(); some {
		at = min(at, tick*ms)
	}
	if len(r.due) > 0 {
		at = min(at, r.dueAt)
	}
	return at
}

// keepConnection tells or ends one that has had its time, and has any other looked at when that may have come.
func (r *StateMachine) keepConnection(link int, c *connection) (ends bool) {
	wait := int64(firstWait)
	if c.usable {
		wait = idleWait
	}
	switch {
	case !c.idle() && c.noMore:
		r.lookAt(link, c, r.now+sweepEvery)
	case !c.idle(): // it is idle from its last answer on, which is yet to come
		r.lookAt(link, c, r.now+wait)
	case c.noMore && r.now < c.ended+c.crossing():
		r.lookAt(link, c, c.ended+c.crossing())
	case c.noMore:
		r.Counters.Idle++
		r.closeAfterFlush(link, c)
		return true
	case r.now < c.used+wait:
		r.lookAt(link, c, c.used+wait)
	default:
		r.noMore(link, c)
		return true
	}
	return false
}

func (r *StateMachine) noMore(link int, c *connection) {
	if !c.noMore {
		r.lookAway(c)
		c.noMore, c.ended = true, r.now
		r.lookAt(link, c, r.now+c.crossing())
		r.do(Effect{Kind: SendToConnection, Link: link, Bytes: frame.Append(nil, frame.NoMore, 0, nil)})
	}
}

// crossing is how long an invocation may cross the notice that no more may come, in ns.
func (c *connection) crossing() int64 {
	if c.evicted {
		return evictWait
	}
	return crossWait
}

// keepOpen closes a connection that is to end, once nothing is open on it.
func (r *StateMachine) keepOpen(link int, c *connection) {
	if c.idle() {
		if c.used = r.now; c.closing {
			r.closeAfterFlush(link, c)
		}
	}
}

// closeAfterFlush has the server close a connection, which stays known until it is gone: what was read on it before is still
// answered.
func (r *StateMachine) closeAfterFlush(link int, c *connection) {
	c.closing = true
	if !c.ending {
		c.ending = true
		r.do(Effect{Kind: CloseAfterFlush, Link: link})
	}
}

// keepEnding takes that back for an invocation or a check that came on it meanwhile and is not answered yet.
func (r *StateMachine) keepEnding(link int, c *connection) {
	if c.ending {
		c.ending, c.hastened = false, false
		r.do(Effect{Kind: ResumeConnection, Link: link})
	}
}

func (r *StateMachine) gone(i int32) {
	v := &r.invs[i]
	if r.Invariants.Check(v.live && !v.answered, "an open stream is owed an answer") {
		r.Counters.CallersGone++
		v.answered = true
		r.open--
		if r.leaveToken(i) { // others wait for its run, which goes on
			return
		}
		r.quitCall(i)
		r.events = append(r.events, admission.Event{Kind: admission.CallerDisconnected, Invocation: i})
		r.runOver(i)
	}
}

// intake takes an invocation in, or answers at once one that can't be used. Where its connection can't be understood
// any more it is errored unrun: it may be no invocation at all, and a throttle would say that it never ran before.
func (r *StateMachine) intake(link int, c *connection, f *frame.Frame) {
	if c.broken {
		if f.Stream > c.last {
			c.last = f.Stream
			r.Counters.Invocations++
			r.Counters.Errored++
			r.send(link, f.Stream, frame.Errored, nil, nil)
		}
		return
	}
	if f.Stream <= c.last {
		r.broken(link, c, fmt.Errorf("%w: %d after %d", errStream, f.Stream, c.last))
		return
	}
	c.last = f.Stream
	r.Counters.Invocations++
	v := invocation{live: true, conn: link, stream: f.Stream}
	e := admission.Event{Kind: admission.Arrived, Tenant: -1, Original: admission.NoOriginal}
	err := r.read(f, &v, &e)
	if err == nil {
		err = r.repeats(&v, &e)
	}
	if err == nil && r.retired(&e) {
		err = errRetired
	}
	if err == nil && len(c.open) >= streamsOpen {
		err = errors.New("too many streams are open")
	}
	if err != nil {
		r.Counters.BrokenInvocations++
		r.Counters.Errored++
		r.remark(Warn, "invocation can't be used", v.call, err)
		r.send(link, f.Stream, frame.Errored, nil, nil)
		if err != errRetired { // callers hear of a change as late as they do
			r.fault(link, c)
		}
		return
	}
	c.usable, c.used = true, r.now
	if r.unclaimed(&v) {
		r.turnAway(link, f.Stream)
		return
	}
	if r.post == nil || r.reading(&v) {
		r.turnAway(link, f.Stream)
		return
	}
	r.keepEnding(link, c)
	v.operation, v.tenant = e.OperationIndex, e.Tenant
	e.Invocation = r.admit(v)
	if v.key.Token != "" {
		r.invs[e.Invocation].arrival, r.invs[e.Invocation].taken = e, r.now
		r.invs[e.Invocation].due = cmp.Or(e.Deadline, r.now-e.Age+r.config.Node.Operations[e.OperationIndex].ClientTimeout)
		r.hold(e.Invocation, e.Original)
	}
	c.open[f.Stream] = e.Invocation
	r.events = append(r.events, e)
}

// read turns an invocation's fields into an event.
func (r *StateMachine) read(f *frame.Frame, v *invocation, e *admission.Event) error {
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
			e.OperationIndex, ok = r.config.Operations.Lookup(field.Value)
			v.op, op = field.Value, true
		case "call":
			v.call, call, ok = field.Value, true, hex16(field.Value)
		case "recv":
			var at int64
			at, ok = whole(field.Value)
			recv, ok = true, ok && r.plausible(at)
			e.Age = r.age(at)
		case "src":
			e.Caller, ok = whole(field.Value)
			src, ok = true, ok && e.Caller <= callerMost
		case "org":
			if r.config.Tenants.Len() > 0 {
				e.Tenant, ok = r.config.Tenants.Lookup(field.Value)
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
		case r.kept.token:
			v.key.Token, ok = field.Value, r.kept.keeper == nil || len(field.Value) <= tokenMost
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
	if e.Tenant < 0 && r.config.Tenants.Len() > 0 {
		return fmt.Errorf("field org: %w: the settings name tenants", errField)
	}
	if r.kept.keeper != nil && v.key.Token == "" && r.config.Node.Operations[e.OperationIndex].Idempotency == admission.IdempotentWithKey {
		return fmt.Errorf("field %s: %w: repeats of %s are known by it", r.kept.token, errField, v.op)
	}
	if left >= 0 {
		e.Deadline = max(1, r.now-e.Age+left*ms) // 0 would say that it is not known
	}
	if _, known := r.calls[v.call]; known {
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
func (r *StateMachine) plausible(stamp int64) bool {
	return stamp-r.wall/ms <= aheadMost && r.wall/ms-stamp <= ageMost
}

// age is how long ago an invocation came to the machine.
func (r *StateMachine) age(stamp int64) int64 { return max(0, r.wall-stamp*ms) }

// check answers a health check from store, or has the executor do its work where the module leaves that.
func (r *StateMachine) check(link int, c *connection, f *frame.Frame) {
	fields, _, err := frame.Fields(f.Payload)
	deep := false
	for _, field := range fields {
		deep = deep || field.Name == "e2e" && field.Value == "1"
	}
	if err != nil || f.Past {
		r.remark(Warn, "health check can't be read", "", err)
	} else {
		c.usable, c.used = true, r.now
	}
	if deep && r.good && !r.stored && r.config.Node.DeepHealthChecks && r.link != 0 && len(r.diags) < streamsOpen {
		r.diagged++
		tag := "d" + strconv.Itoa(r.diagged)
		r.diags[tag] = check{link, f.Stream, r.now + diagWait}
		c.checks++
		r.keepEnding(link, c)
		r.tell("DIAG", tag)
		return
	}
	r.checked(link, f.Stream, r.post != nil && r.good)
}

func (r *StateMachine) checked(link int, stream uint32, good bool) {
	code := byte(frame.Bad)
	if good {
		code = frame.Good
	}
	r.do(Effect{Kind: SendToConnection, Link: link,
		Bytes: frame.Head(nil, frame.Checked, stream, code, r.carried(nil), 0)})
}

// diagnosed answers the check that a deep one was for.
func (r *StateMachine) diagnosed(tag string, good bool) {
	d, ok := r.diags[tag]
	if !ok {
		return
	}
	delete(r.diags, tag)
	if c := r.conns[d.conn]; c != nil {
		c.checks--
		r.checked(d.conn, d.stream, good && r.good)
		r.keepOpen(d.conn, c)
	}
}

func (r *StateMachine) keepChecks() {
	for _, tag := range slices.Sorted(maps.Keys(r.diags)) {
		if r.now >= r.diags[tag].until {
			r.diagnosed(tag, false)
		}
	}
}

func (r *StateMachine) checksDue() int64 {
	at := int64(never)
	for _, d := range r.diags {
		at = min(at, d.until)
	}
	return at
}

// carried adds the free value to an answer's fields.
func (r *StateMachine) carried(fields []frame.Field) []frame.Field {
	if r.load != "" {
		fields = append(fields, frame.Field{Name: "load", Value: r.load})
	}
	return fields
}

func (r *StateMachine) throttle(a *admission.Action) {
	var fields []frame.Field
	if a.Duration > 0 {
		fields = append(fields, frame.Field{Name: "pushback", Value: strconv.FormatInt((a.Duration+ms-1)/ms, 10)})
	}
	if a.NoRetry {
		fields = append(fields, frame.Field{Name: "stop", Value: "1"})
	}
	r.answer(a.Invocation, frame.Throttled, fields, nil)
}

// succeed answers with a result; one of a reduced form says at which level, so that none takes it for a whole one.
func (r *StateMachine) succeed(i int32, result []byte, fields ...frame.Field) {
	if level := r.invs[i].form; level != "" {
		fields = append(fields, frame.Field{Name: "level", Value: level})
	}
	r.levels.count(true, r.invs[i].form != "", admission.ReasonNone)
	r.answer(i, frame.Succeeded, fields, result)
}

func (r *StateMachine) fail(i int32) { r.answer(i, frame.Errored, nil, nil) }

// answer gives the one answer of an invocation.
func (r *StateMachine) answer(i int32, code byte, fields []frame.Field, body []byte) {
	v := &r.invs[i]
	if v.orphan { // nobody waits for it
		r.quitCall(i)
		return
	}
	if !r.Invariants.Check(v.live && !v.answered, "one answer an invocation") {
		return
	}
	v.answered = true
	r.open--
	r.quitCall(i)
	r.leaveToken(i)
	r.runOver(i)
	if v.conn == heir {
		if code != frame.Succeeded {
			r.Counters.InheritedGivenUp++
			r.remark(Info, "work taken over from a lost node is given up here; who asks for it again may run it", v.call, nil)
		}
		return
	}
	switch code {
	case frame.Succeeded:
		r.Counters.Succeeded++
	case frame.Throttled:
		r.Counters.Throttled++
	default:
		r.Counters.Errored++
	}
	r.send(v.conn, v.stream, code, fields, body)
	if c := r.conns[v.conn]; c != nil {
		delete(c.open, v.stream)
		r.keepOpen(v.conn, c)
	}
}

func (r *StateMachine) send(link int, stream uint32, code byte, fields []frame.Field, body []byte) {
	head := frame.Head(nil, frame.Answer, stream, code, r.carried(fields), len(body))
	r.do(Effect{Kind: SendToConnection, Link: link, Bytes: append(head, body...)})
}
