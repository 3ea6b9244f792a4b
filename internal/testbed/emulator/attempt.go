package emulator

import (
	"fmt"
	"maps"
	"slices"
	"strconv"

	"topazpost/internal/node"
	"topazpost/internal/protocol/frame"
	"topazpost/internal/testbed/virtualtime"
)

// attempt is one attempt of an invocation at one machine.
type attempt struct {
	invocation *invocation
	dispatcher *dispatcher
	machine    *machine
	conn       *conn
	id         string
	stream     uint32
	arrived    int64 // at the machine
	answered   bool
	cancelled  bool // by its client, and the node notified
	lost       bool // with its machine

	timesRun, segments int
	started            int64
	segmentWork        float64
	waitingForLedger   bool
	reduced            bool
	ledgerCall         *virtualtime.Job // at the ledger
}

// conn is a connection of a dispatcher to a node's present incarnation.
type conn struct {
	machine    *machine
	link       int
	openedAt   int64
	open       map[uint32]*attempt
	lastStream uint32
	noMore     bool
}

// frameHeaderSize is the bytes of a frame before its payload.
const frameHeaderSize = 9

// deliver hands an invocation that was read to the node, on a connection with a free stream.
func (a *attempt) deliver() {
	m := a.machine
	if a.invocation.ended {
		return // its client left while it lay unread; the bytes were read all the same
	}
	if m.closed {
		a.connectionRefused()
		return
	}
	c := a.dispatcher.connection(m)
	c.lastStream++
	a.conn = c
	a.stream = c.lastStream
	c.open[a.stream] = a
	m.openAttempts[a.id] = a
	b := frame.AppendInvocation(nil, a.stream, a.fields(), []byte(a.id))
	in := node.Input{Kind: node.FrameReceived, Link: c.link,
		Frame: frame.Frame{Type: frame.Invocation, Stream: a.stream, Payload: b[frameHeaderSize:]}}
	if c.openedAt == m.Now { // a node accepts a connection in a step before it reads from it
		m.afterInIncarnation(0, func() { m.deliver(in) })
	} else {
		m.deliver(in)
	}
	m.second.Read++
	a.scheduleTimeouts()
}

// connection returns a dispatcher's connection to a machine that has a free stream, a new one where there is none.
func (d *dispatcher) connection(m *machine) *conn {
	for _, c := range d.conns[m.index] {
		if m.conns[c.link] == c && !c.noMore && len(c.open) < maxStreams {
			return c
		}
	}
	m.lastLink++
	c := &conn{machine: m, link: m.lastLink, openedAt: m.Now, open: map[uint32]*attempt{}}
	m.conns[c.link] = c
	d.conns[m.index] = append(slices.DeleteFunc(d.conns[m.index], func(old *conn) bool {
		return m.conns[old.link] != old
	}), c)
	m.deliver(node.Input{Kind: node.ConnectionOpened, Link: c.link})
	return c
}

// fields returns the header fields of an invocation.
func (a *attempt) fields() []frame.Field {
	v := a.invocation
	work := v.operation.Work * lognormalFactor(a.machine.Rand) / 1e6
	fields := []frame.Field{
		{Name: "op", Value: v.operation.Name},
		{Name: "call", Value: a.id},
		{Name: "recv", Value: strconv.FormatInt(a.arrived/ms, 10)},
		{Name: "src", Value: strconv.Itoa(a.dispatcher.index)},
		{Name: "work", Value: fmt.Sprintf("%.2f", work)},
		{Name: "heap", Value: "24"},
		{Name: "crit", Value: fmt.Sprintf("%.4f", v.rank*0.9999)},
		{Name: "row", Value: fmt.Sprintf("%016x", v.subject)},
	}
	if v.tries > 1 {
		fields = append(fields, frame.Field{Name: "rep", Value: "1"})
	}
	return fields
}

// scheduleTimeouts schedules the check that the invocation is answered in time, and draws whether the client cancels it.
func (a *attempt) scheduleTimeouts() {
	m := a.machine
	v := a.invocation
	m.At(a.arrived+v.operation.Timeout+answerSlack, func() {
		if !a.answered && !a.cancelled && !a.lost {
			m.total.breach("an invocation that was read had no answer in time")
		}
	})
	if m.Rand.Float64() > cancelRate {
		return
	}
	m.At(v.startedAt+v.operation.Timeout, a.cancel)
}

// cancel notifies the node that the client has left.
func (a *attempt) cancel() {
	m := a.machine
	c := a.conn
	if a.answered || a.lost || m.conns[c.link] != c {
		return
	}
	a.cancelled = true
	delete(c.open, a.stream)
	delete(m.openAttempts, a.id)
	m.deliver(node.Input{Kind: node.FrameReceived, Link: c.link, Frame: frame.Frame{Type: frame.Cancel, Stream: a.stream}})
	m.endWaitingRun(a)
}

// answer takes the node's answer, and remembers the signals in it.
func (a *attempt) answer(code byte, fields []frame.Field) {
	if a.answered {
		a.machine.total.breach("two answers to one invocation")
		return
	}
	a.answered = true
	delete(a.conn.open, a.stream)
	delete(a.machine.openAttempts, a.id)
	a.machine.endWaitingRun(a)
	d := a.dispatcher
	stop, level := a.readSignals(fields)
	if (level != "") != a.reduced && code == frame.Succeeded {
		a.machine.total.breach("a reduced answer and its mark do not agree")
	}
	d.After(networkDelay, func() {
		switch {
		case a.invocation.ended:
		case code == frame.Succeeded:
			d.endInvocation(a.invocation, outcomeServed, a.reduced)
		case code == frame.Throttled && a.timesRun > 0:
			d.total.breach("throttled though it has run")
		case code == frame.Throttled && stop && d.habit.Heeds:
			d.endInvocation(a.invocation, outcomeThrottled, false)
		case code == frame.Throttled:
			d.retry(a, nil)
		default:
			d.endInvocation(a.invocation, outcomeErrored, false)
		}
	})
}

// readSignals remembers what an answer says of its node, and returns whether it forbids retries and its level.
func (a *attempt) readSignals(fields []frame.Field) (stop bool, level string) {
	now := a.machine.Now
	s := &a.dispatcher.signals[a.machine.index]
	for _, field := range fields {
		n, _ := strconv.ParseFloat(field.Value, 64) // 0 for fields that hold no number
		switch field.Name {
		case "load":
			s.level = n
			s.levelUntil = now + signalLifetime
		case "pushback":
			s.retryAfter = now + int64(n)*ms
		case "stop":
			stop = true
		case "level":
			level = field.Value
		}
	}
	s.incarnation = a.machine.incarnation
	s.receivedAt = now
	return stop, level
}

// connectionRefused retries elsewhere: the machine took no connection, so nothing was read.
func (a *attempt) connectionRefused() {
	if !a.dispatcher.habit.Stubborn {
		a.dispatcher.signals[a.machine.index].failingUntil = a.dispatcher.Now + second
	}
	a.dispatcher.retry(a, nil)
}

// lose ends an attempt whose machine died before it was read.
func (a *attempt) lose() {
	a.lost = true
	a.connectionRefused()
}

// breakOff ends a connection as its node dies.
func (c *conn) breakOff() {
	for _, stream := range slices.Sorted(maps.Keys(c.open)) {
		if a := c.open[stream]; !a.answered && !a.cancelled {
			a.lose()
		}
	}
	c.noMore = true
}
