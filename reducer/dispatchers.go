package reducer

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"

	"topazpost/frame"
	"topazpost/node"
)

// What makes an invocation's fields unusable.
var (
	errField  = errors.New("missing or malformed")
	errBody   = errors.New("the body is too large")
	errStream = errors.New("stream out of order")
	errType   = errors.New("unknown type of frame")
)

func number(v float64) string { return strconv.FormatFloat(v, 'f', -1, 64) }

// opened takes a connection on. At the most that are kept, the one that has stood idle longest makes room.
func (r *Reducer) opened(link int) {
	if len(r.conns) >= r.connMost {
		oldest, found := 0, false
		for id, c := range r.conns {
			if len(c.open)+c.checks == 0 && !c.closing && (!found || c.used < r.conns[oldest].used ||
				c.used == r.conns[oldest].used && id < oldest) {
				oldest, found = id, true
			}
		}
		if found {
			r.Counters.Evicted++
			delete(r.conns, oldest)
			r.do(Effect{Kind: Evict, Link: oldest})
		}
	}
	c := &connection{open: make(map[uint32]int32), used: r.now}
	r.conns[link] = c
	r.do(Effect{Kind: Receive, Link: link})
	if r.shut {
		r.noMore(link, c)
	}
}

func (r *Reducer) fromDispatcher(in *Input, c *connection) {
	c.used = r.now
	switch in.Kind {
	case Closed:
		delete(r.conns, in.Link)
		for _, stream := range slices.Sorted(maps.Keys(c.open)) {
			r.gone(c.open[stream])
		}
		return
	case Malformed:
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
func (r *Reducer) broken(link int, c *connection, err error) {
	r.remark(Warn, "connection can't be understood", "", err)
	if c.noMore && c.closing {
		return
	}
	r.Counters.BrokenConnections++
	text := err.Error()
	r.do(Effect{Kind: Send, Link: link,
		Bytes: append(frame.Head(nil, frame.Answer, 0, frame.Errored, nil, len(text)), text...)})
	r.noMore(link, c)
	c.closing = true
	r.keepOpen(link, c)
}

func (r *Reducer) noMore(link int, c *connection) {
	if !c.noMore {
		c.noMore = true
		r.do(Effect{Kind: Send, Link: link, Bytes: frame.Append(nil, frame.NoMore, 0, nil)})
	}
}

// keepOpen closes a connection that is to end, once nothing is open on it.
func (r *Reducer) keepOpen(link int, c *connection) {
	if c.closing && len(c.open)+c.checks == 0 {
		r.finish(link, c)
	}
}

func (r *Reducer) finish(link int, c *connection) {
	c.closing = true
	delete(r.conns, link)
	r.do(Effect{Kind: Finish, Link: link})
}

func (r *Reducer) gone(i int32) {
	v := &r.invs[i]
	if r.Guard.Hold(v.live && !v.answered, "an open stream is owed an answer") {
		r.Counters.Gone++
		v.answered = true
		r.open--
		r.quitCall(i)
		r.events = append(r.events, node.Event{Kind: node.CallerGone, Inv: i})
	}
}

// intake takes an invocation in, or answers at once one that can't be used.
func (r *Reducer) intake(link int, c *connection, f *frame.Frame) {
	if c.closing {
		return
	}
	if f.Stream <= c.last {
		r.broken(link, c, fmt.Errorf("%w: %d after %d", errStream, f.Stream, c.last))
		return
	}
	c.last = f.Stream
	r.Counters.Invocations++
	v := invocation{live: true, conn: link, stream: f.Stream}
	e := node.Event{Kind: node.Arrived, Tenant: -1, Repeats: node.NoRepeat}
	err := r.read(f, &v, &e)
	if err == nil && len(c.open) >= streamsOpen {
		err = errors.New("too many streams are open")
	}
	if err != nil {
		r.Counters.BrokenInvocations++
		r.Counters.Errored++
		r.remark(Warn, "invocation can't be used", v.call, err)
		r.send(link, f.Stream, frame.Errored, nil, nil)
		return
	}
	if r.post == nil {
		r.Counters.Throttled++
		r.send(link, f.Stream, frame.Throttled, nil, nil)
		return
	}
	e.Inv = r.admit(v)
	c.open[f.Stream] = e.Inv
	r.events = append(r.events, e)
}

// read turns an invocation's fields into an event.
func (r *Reducer) read(f *frame.Frame, v *invocation, e *node.Event) error {
	if f.Past {
		return errBody
	}
	fields, body, err := frame.Fields(f.Payload)
	if err != nil {
		return err
	}
	var op, call, recv, src, heap bool
	for _, field := range fields {
		ok, n := true, 0.0
		switch field.Name {
		case "op":
			e.Operation, ok = r.plate.Operations[field.Value]
			v.op, op = field.Value, true
		case "call":
			ok = len(field.Value) == 16
			for _, d := range []byte(field.Value) {
				ok = ok && (d >= '0' && d <= '9' || d >= 'a' && d <= 'f')
			}
			v.call, call = field.Value, true
		case "recv":
			var at int64
			at, err = strconv.ParseInt(field.Value, 10, 64)
			e.Age, recv, ok = r.age(at), true, err == nil && at >= 0
		case "src":
			e.Caller, err = strconv.ParseInt(field.Value, 10, 64)
			src, ok = true, err == nil && e.Caller >= 0
		case "rep":
			e.Further, ok = field.Value == "1", field.Value == "1" || field.Value == "0"
		case "work":
			n, ok = decimal(field.Value)
			e.Hint, ok = int64(n*float64(ms)), ok && n < 1e9
		case "heap":
			e.HeldKB, ok = decimal(field.Value)
			heap, ok = true, ok && e.HeldKB > 0 && e.HeldKB < heapMost
		case "crit":
			n, ok = decimal(field.Value)
			ok = ok && n < 1
		case "row":
			e.Subject = true
		}
		if !ok {
			return fmt.Errorf("field %s: %w", field.Name, errField)
		}
	}
	if !(op && call && recv && src && heap) {
		return fmt.Errorf("op, call, recv, src or heap: %w", errField)
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

func decimal(s string) (float64, bool) {
	n, err := strconv.ParseFloat(s, 64)
	return n, err == nil && n >= 0 && !math.IsInf(n, 0)
}

// age is how long ago an invocation came to the machine; a stamp that can't be is a jump of the clock.
func (r *Reducer) age(stamp int64) int64 {
	age := r.wall/ms - stamp
	if age < 0 || age > ageMost {
		return 0
	}
	return r.wall - stamp*ms
}

// check answers a health check from store, or has the executor do its work where the module leaves that.
func (r *Reducer) check(link int, c *connection, f *frame.Frame) {
	fields, _, err := frame.Fields(f.Payload)
	deep := false
	for _, field := range fields {
		deep = deep || field.Name == "e2e" && field.Value == "1"
	}
	if err != nil || f.Past {
		r.remark(Warn, "health check can't be read", "", err)
	}
	if deep && r.good && !r.stored && r.plate.Nameplate.FullChecks && r.link != 0 && len(r.diags) < streamsOpen {
		r.diagged++
		tag := "d" + strconv.Itoa(r.diagged)
		r.diags[tag] = check{link, f.Stream, r.now + diagWait}
		c.checks++
		r.tell("DIAG", tag)
		return
	}
	r.checked(link, f.Stream, r.post != nil && r.good)
}

func (r *Reducer) checked(link int, stream uint32, good bool) {
	code := byte(frame.Bad)
	if good {
		code = frame.Good
	}
	r.do(Effect{Kind: Send, Link: link,
		Bytes: frame.Head(nil, frame.Checked, stream, code, r.carried(nil), 0)})
}

// diagnosed answers the check that a deep one was for.
func (r *Reducer) diagnosed(tag string, good bool) {
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

func (r *Reducer) keepChecks() {
	for _, tag := range slices.Sorted(maps.Keys(r.diags)) {
		if r.now >= r.diags[tag].until {
			r.diagnosed(tag, false)
		}
	}
}

func (r *Reducer) checksDue() int64 {
	at := int64(never)
	for _, d := range r.diags {
		at = min(at, d.until)
	}
	return at
}

// carried adds the free value to an answer's fields.
func (r *Reducer) carried(fields []frame.Field) []frame.Field {
	if r.load != "" {
		fields = append(fields, frame.Field{Name: "load", Value: r.load})
	}
	return fields
}

func (r *Reducer) throttle(a *node.Action) {
	var fields []frame.Field
	if a.For > 0 {
		fields = append(fields, frame.Field{Name: "pushback", Value: strconv.FormatInt((a.For+ms-1)/ms, 10)})
	}
	if a.NoRetry {
		fields = append(fields, frame.Field{Name: "stop", Value: "1"})
	}
	r.answer(a.Inv, frame.Throttled, fields, nil)
}

func (r *Reducer) succeed(i int32, result []byte) { r.answer(i, frame.Succeeded, nil, result) }

func (r *Reducer) fail(i int32) { r.answer(i, frame.Errored, nil, nil) }

// answer gives the one answer of an invocation.
func (r *Reducer) answer(i int32, code byte, fields []frame.Field, body []byte) {
	v := &r.invs[i]
	if !r.Guard.Hold(v.live && !v.answered, "one answer an invocation") {
		return
	}
	v.answered = true
	r.open--
	r.quitCall(i)
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

func (r *Reducer) send(link int, stream uint32, code byte, fields []frame.Field, body []byte) {
	head := frame.Head(nil, frame.Answer, stream, code, r.carried(fields), len(body))
	r.do(Effect{Kind: Send, Link: link, Bytes: append(head, body...)})
}
