package emulator

import (
	"fmt"
	"slices"
)

// invocation is a request of a client, over all attempts.
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

// nodeSignals is what a dispatcher remembers of a node.
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

// send attempts an invocation at a node that was not tried yet, if any admits it.
func (d *dispatcher) send(v *invocation, not []*machine) {
	if v.ended {
		return
	}
	m := d.choose(v, not)
	if m == nil {
		d.second.Declined++
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

// choose returns the next of the listed nodes that admit an invocation, round robin, or from the one of its subject on.
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
