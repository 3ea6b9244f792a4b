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
	op      *Operation
	kind    int
	asked   int64
	rank    float64
	work    float64
	calls   int
	subject int
	tries   int
	over    bool
}

// attempt is one try of it at one machine.
type attempt struct {
	inv      *invocation
	by       *dispatcher
	to       *machine
	conn     *conn
	id       string
	stream   uint32
	arrived  int64 // at the machine
	answered bool
	told     bool // the node was told that nobody waits
	lost     bool // with its machine

	ran, segments int
	started       int64
	left          float64
	waiting       bool
	reduced       bool
	call          *virtualtime.Job // at the ledger
}

// conn is a connection of a dispatcher to a node's present life.
type conn struct {
	to     *machine
	link   int
	born   int64
	open   map[uint32]*attempt
	last   uint32
	noMore bool
}

// heard is what a dispatcher bears in mind of a node.
type heard struct {
	level      float64
	levelUntil int64
	awayUntil  int64
	failing    int64 // until when it is passed by after a failed connection
	life       int   // of the node, in which it last answered
	said       int64 // when it did
}

type dispatcher struct {
	*fleet
	index int
	habit Dispatcher
	heard []heard
	conns [][]*conn
	turn  int
}

// send tries an invocation at a node that was not tried yet, if any is willing.
func (d *dispatcher) send(v *invocation, not []*machine) {
	if v.over {
		return
	}
	m := d.choose(v, not)
	if m == nil {
		d.fleet.second.Declined++
		d.end(v, outcomeThrottled, false)
		return
	}
	v.tries++
	d.total.Attempts++
	d.ids++
	a := &attempt{inv: v, by: d, to: m, id: fmt.Sprintf("%016x", d.ids)}
	life := m.life
	d.After(hop, func() {
		if life != m.life || m.brain == nil || m.shut {
			if !d.habit.Stubborn {
				d.heard[m.index].failing = d.Now + second
			}
			d.again(a, not)
			return
		}
		m.arrived(a)
	})
	if v.tries == 1 {
		d.At(v.asked+v.op.Timeout, func() {
			if !v.over {
				d.end(v, outcomeUnanswered, false)
			}
		})
	}
}

// choose is round among those known and willing, or by subject with the next ones as its substitutes.
func (d *dispatcher) choose(v *invocation, not []*machine) *machine {
	n := len(d.machines)
	from := d.turn
	if d.habit.BySubject {
		from = v.subject * 7919
	} else {
		d.turn++
	}
	for k := range n {
		m := d.machines[(from+k)%n]
		h := &d.heard[m.index]
		if !m.known || d.Now < h.failing || slices.Contains(not, m) {
			continue
		}
		if d.habit.Heeds && (d.Now < h.awayUntil || d.Now < h.levelUntil && v.rank < h.level) {
			continue
		}
		return m
	}
	return nil
}

// again tries once more elsewhere where the habit has it, else the invocation ends turned away.
func (d *dispatcher) again(a *attempt, not []*machine) {
	v := a.inv
	if v.over {
		return
	}
	if v.tries >= d.habit.Tries || d.Now+d.habit.Backoff >= v.asked+v.op.Timeout {
		d.end(v, outcomeThrottled, false)
		return
	}
	not = append(slices.Clone(not), a.to)
	d.After(d.habit.Backoff, func() { d.send(v, not) })
}

// deliver brings what was read to the node, on a connection with room.
func (a *attempt) deliver() {
	d, m := a.by, a.to
	if a.inv.over {
		return // its client left while it lay unread; the bytes were read all the same
	}
	if m.shut {
		a.refusedBySystem()
		return
	}
	var c *conn
	for _, have := range d.conns[m.index] {
		if m.conns[have.link] == have && !have.noMore && len(have.open) < streams {
			c = have
			break
		}
	}
	if c == nil {
		m.lastID++
		c = &conn{to: m, link: m.lastID, born: m.Now, open: map[uint32]*attempt{}}
		m.conns[c.link] = c
		d.conns[m.index] = append(slices.DeleteFunc(d.conns[m.index], func(old *conn) bool {
			return m.conns[old.link] != old
		}), c)
		m.put(node.Input{Kind: node.ConnectionOpened, Link: c.link})
	}
	c.last++
	a.conn, a.stream = c, c.last
	c.open[a.stream] = a
	m.open[a.id] = a
	v := a.inv
	fields := []frame.Field{{Name: "op", Value: v.op.Name}, {Name: "call", Value: a.id},
		{Name: "recv", Value: strconv.FormatInt(a.arrived/ms, 10)}, {Name: "src", Value: strconv.Itoa(d.index)},
		{Name: "work", Value: fmt.Sprintf("%.2f", v.op.Work*skewed(m.Rand)/1e6)}, {Name: "heap", Value: "24"},
		{Name: "crit", Value: fmt.Sprintf("%.4f", v.rank*0.9999)}, {Name: "row", Value: fmt.Sprintf("%016x", v.subject)}}
	if v.tries > 1 {
		fields = append(fields, frame.Field{Name: "rep", Value: "1"})
	}
	const head = 9 // bytes of a frame before its payload
	b := frame.AppendInvocation(nil, a.stream, fields, []byte(a.id))
	in := node.Input{Kind: node.FrameReceived, Link: c.link,
		Frame: frame.Frame{Type: frame.Invocation, Stream: a.stream, Payload: b[head:]}}
	if c.born == m.Now { // nothing is read from a connection before the node has taken it on
		m.later(0, func() { m.put(in) })
	} else {
		m.put(in)
	}
	m.fleet.second.Read++
	m.At(a.arrived+v.op.Timeout+slack, func() {
		if !a.answered && !a.told && !a.lost {
			m.total.breach("an invocation that was read had no answer in time")
		}
	})
	if m.Rand.Float64() > toldPart {
		return
	}
	m.At(v.asked+v.op.Timeout, func() { // the client leaves
		if !a.answered && !a.lost && m.conns[c.link] == c {
			a.told = true
			delete(c.open, a.stream)
			delete(m.open, a.id)
			m.put(node.Input{Kind: node.FrameReceived, Link: c.link, Frame: frame.Frame{Type: frame.Gone, Stream: a.stream}})
			m.over(a)
		}
	})
}

// answer takes the node's answer, and bears in mind what it says.
func (a *attempt) answer(code byte, fields []frame.Field) {
	if a.answered {
		a.to.total.breach("two answers to one invocation")
		return
	}
	a.answered = true
	delete(a.conn.open, a.stream)
	delete(a.to.open, a.id)
	a.to.over(a)
	d, now := a.by, a.to.Now
	stop, level := false, ""
	h := &d.heard[a.to.index]
	for _, field := range fields {
		n, _ := strconv.ParseFloat(field.Value, 64)
		switch field.Name {
		case "load":
			h.level, h.levelUntil = n, now+heeded
		case "pushback":
			h.awayUntil = now + int64(n)*ms
		case "stop":
			stop = true
		case "level":
			level = field.Value
		}
	}
	h.life, h.said = a.to.life, now
	if (level != "") != a.reduced && code == frame.Succeeded {
		a.to.total.breach("a reduced answer and its mark do not agree")
	}
	d.After(hop, func() {
		switch {
		case a.inv.over:
		case code == frame.Succeeded:
			d.end(a.inv, outcomeServed, a.reduced)
		case code == frame.Throttled && a.ran > 0:
			d.total.breach("throttled though it has run")
		case code == frame.Throttled && !(stop && d.habit.Heeds):
			d.again(a, nil)
		case code == frame.Throttled:
			d.end(a.inv, outcomeThrottled, false)
		default:
			d.end(a.inv, outcomeErrored, false)
		}
	})
}

// refusedBySystem is a connection that could not be had: nothing was read.
func (a *attempt) refusedBySystem() {
	if !a.by.habit.Stubborn {
		a.by.heard[a.to.index].failing = a.by.Now + second
	}
	a.by.again(a, nil)
}

// lostWith ends a try whose machine died before it was read.
func (a *attempt) lostWith() {
	a.lost = true
	a.refusedBySystem()
}

// reset ends a connection with its node.
func (c *conn) reset() {
	for _, stream := range slices.Sorted(maps.Keys(c.open)) {
		if a := c.open[stream]; !a.answered && !a.told {
			a.lostWith()
		}
	}
	c.noMore = true
}
