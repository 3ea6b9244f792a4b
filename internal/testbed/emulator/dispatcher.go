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

// invocation is what a client asks for, over all tries.
type invocation struct {
	operation      *Operation
	operationIndex int
	startedAt      int64
	rank           float64
	work           float64
	calls          int
	subject        int
	tries          int
	ended          bool
}

// attempt is one try of it at one machine.
type attempt struct {
	invocation *invocation
	dispatcher *dispatcher
	machine    *machine
	conn       *conn
	id         string
	stream     uint32
	arrived    int64 // at the machine
	answered   bool
	cancelled  bool // the node was told that nobody waits
	lost       bool // with its machine

	timesRun, segments int
	started            int64
	segmentWork        float64
	waitingForLedger   bool
	reduced            bool
	ledgerCall         *virtualtime.Job // at the ledger
}

// conn is a connection of a dispatcher to a node's present life.
type conn struct {
	machine    *machine
	link       int
	openedAt   int64
	open       map[uint32]*attempt
	lastStream uint32
	noMore     bool
}

// nodeSignals is what a dispatcher bears in mind of a node.
type nodeSignals struct {
	level        float64
	levelUntil   int64
	retryAfter   int64
	failingUntil int64 // until when it is passed by after a failed connection
	incarnation  int   // of the node, in which it last answered
	receivedAt   int64 // when it did
}

type dispatcher struct {
	*fleet
	index       int
	habit       Dispatcher
	signals     []nodeSignals
	conns       [][]*conn
	nextMachine int
}

// send tries an invocation at a node that was not tried yet, if any is willing.
func (d *dispatcher) send(v *invocation, not []*machine) {
	if v.ended {
		return
	}
	m := d.choose(v, not)
	if m == nil {
		d.fleet.second.Declined++
		d.endInvocation(v, outcomeThrottled, false)
		return
	}
	v.tries++
	d.total.Attempts++
	d.lastAttemptID++
	a := &attempt{invocation: v, dispatcher: d, machine: m, id: fmt.Sprintf("%016x", d.lastAttemptID)}
	life := m.incarnation
	d.After(networkDelay, func() {
		if life != m.incarnation || m.stateMachine == nil || m.closed {
			if !d.habit.Stubborn {
				d.signals[m.index].failingUntil = d.Now + second
			}
			d.retry(a, not)
			return
		}
		m.receive(a)
	})
	if v.tries == 1 {
		d.At(v.startedAt+v.operation.Timeout, func() {
			if !v.ended {
				d.endInvocation(v, outcomeUnanswered, false)
			}
		})
	}
}

// choose is round among those known and willing, or by subject with the next ones as its substitutes.
func (d *dispatcher) choose(v *invocation, not []*machine) *machine {
	n := len(d.machines)
	from := d.nextMachine
	if d.habit.BySubject {
		from = v.subject * 7919
	} else {
		d.nextMachine++
	}
	for k := range n {
		m := d.machines[(from+k)%n]
		h := &d.signals[m.index]
		if !m.listed || d.Now < h.failingUntil || slices.Contains(not, m) {
			continue
		}
		if d.habit.Heeds && (d.Now < h.retryAfter || d.Now < h.levelUntil && v.rank < h.level) {
			continue
		}
		return m
	}
	return nil
}

// retry tries once more elsewhere where the habit has it, else the invocation ends turned away.
func (d *dispatcher) retry(a *attempt, not []*machine) {
	v := a.invocation
	if v.ended {
		return
	}
	if v.tries >= d.habit.Tries || d.Now+d.habit.Backoff >= v.startedAt+v.operation.Timeout {
		d.endInvocation(v, outcomeThrottled, false)
		return
	}
	not = append(slices.Clone(not), a.machine)
	d.After(d.habit.Backoff, func() { d.send(v, not) })
}

// deliver brings what was read to the node, on a connection with room.
func (a *attempt) deliver() {
	d, m := a.dispatcher, a.machine
	if a.invocation.ended {
		return // its client left while it lay unread; the bytes were read all the same
	}
	if m.closed {
		a.connectionRefused()
		return
	}
	var c *conn
	for _, have := range d.conns[m.index] {
		if m.conns[have.link] == have && !have.noMore && len(have.open) < maxStreams {
			c = have
			break
		}
	}
	if c == nil {
		m.lastLink++
		c = &conn{machine: m, link: m.lastLink, openedAt: m.Now, open: map[uint32]*attempt{}}
		m.conns[c.link] = c
		d.conns[m.index] = append(slices.DeleteFunc(d.conns[m.index], func(old *conn) bool {
			return m.conns[old.link] != old
		}), c)
		m.deliver(node.Input{Kind: node.ConnectionOpened, Link: c.link})
	}
	c.lastStream++
	a.conn, a.stream = c, c.lastStream
	c.open[a.stream] = a
	m.openAttempts[a.id] = a
	v := a.invocation
	fields := []frame.Field{{Name: "op", Value: v.operation.Name}, {Name: "call", Value: a.id},
		{Name: "recv", Value: strconv.FormatInt(a.arrived/ms, 10)}, {Name: "src", Value: strconv.Itoa(d.index)},
		{Name: "work", Value: fmt.Sprintf("%.2f", v.operation.Work*lognormalFactor(m.Rand)/1e6)}, {Name: "heap", Value: "24"},
		{Name: "crit", Value: fmt.Sprintf("%.4f", v.rank*0.9999)}, {Name: "row", Value: fmt.Sprintf("%016x", v.subject)}}
	if v.tries > 1 {
		fields = append(fields, frame.Field{Name: "rep", Value: "1"})
	}
	const head = 9 // bytes of a frame before its payload
	b := frame.AppendInvocation(nil, a.stream, fields, []byte(a.id))
	in := node.Input{Kind: node.FrameReceived, Link: c.link,
		Frame: frame.Frame{Type: frame.Invocation, Stream: a.stream, Payload: b[head:]}}
	if c.openedAt == m.Now { // nothing is read from a connection before the node has taken it on
		m.afterInIncarnation(0, func() { m.deliver(in) })
	} else {
		m.deliver(in)
	}
	m.fleet.second.Read++
	m.At(a.arrived+v.operation.Timeout+answerSlack, func() {
		if !a.answered && !a.cancelled && !a.lost {
			m.total.breach("an invocation that was read had no answer in time")
		}
	})
	if m.Rand.Float64() > cancelRate {
		return
	}
	m.At(v.startedAt+v.operation.Timeout, func() { // the client leaves
		if !a.answered && !a.lost && m.conns[c.link] == c {
			a.cancelled = true
			delete(c.open, a.stream)
			delete(m.openAttempts, a.id)
			m.deliver(node.Input{Kind: node.FrameReceived, Link: c.link, Frame: frame.Frame{Type: frame.Gone, Stream: a.stream}})
			m.endWaitingRun(a)
		}
	})
}

// answer takes the node's answer, and bears in mind what it says.
func (a *attempt) answer(code byte, fields []frame.Field) {
	if a.answered {
		a.machine.total.breach("two answers to one invocation")
		return
	}
	a.answered = true
	delete(a.conn.open, a.stream)
	delete(a.machine.openAttempts, a.id)
	a.machine.endWaitingRun(a)
	d, now := a.dispatcher, a.machine.Now
	stop, level := false, ""
	h := &d.signals[a.machine.index]
	for _, field := range fields {
		n, _ := strconv.ParseFloat(field.Value, 64)
		switch field.Name {
		case "load":
			h.level, h.levelUntil = n, now+signalLifetime
		case "pushback":
			h.retryAfter = now + int64(n)*ms
		case "stop":
			stop = true
		case "level":
			level = field.Value
		}
	}
	h.incarnation, h.receivedAt = a.machine.incarnation, now
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
		case code == frame.Throttled && !(stop && d.habit.Heeds):
			d.retry(a, nil)
		case code == frame.Throttled:
			d.endInvocation(a.invocation, outcomeThrottled, false)
		default:
			d.endInvocation(a.invocation, outcomeErrored, false)
		}
	})
}

// connectionRefused is a connection that could not be had: nothing was read.
func (a *attempt) connectionRefused() {
	if !a.dispatcher.habit.Stubborn {
		a.dispatcher.signals[a.machine.index].failingUntil = a.dispatcher.Now + second
	}
	a.dispatcher.retry(a, nil)
}

// lose ends a try whose machine died before it was read.
func (a *attempt) lose() {
	a.lost = true
	a.connectionRefused()
}

// breakOff ends a connection with its node.
func (c *conn) breakOff() {
	for _, stream := range slices.Sorted(maps.Keys(c.open)) {
		if a := c.open[stream]; !a.answered && !a.cancelled {
			a.lose()
		}
	}
	c.noMore = true
}
