// Package virtualtime simulates time: events that run in order of their moments, and resources that jobs share. One
// seed gives one course of events.
package virtualtime

import "math/rand"

// Simulator holds the virtual clock and the events that are scheduled.
type Simulator struct {
	Now       int64 // ns
	Rand      *rand.Rand
	events    eventQueue
	scheduled uint64
}

type event struct {
	at       int64
	sequence uint64 // orders events of one moment
	action   func()
}

// eventQueue is a binary heap. It is not container/heap's, which allocates for each event.
type eventQueue []event

func (e *eventQueue) push(added event) {
	q := append(*e, added)
	*e = q
	i := len(q) - 1
	for parent := (i - 1) / 2; i > 0 && added.before(&q[parent]); parent = (i - 1) / 2 {
		q[i] = q[parent]
		i = parent
	}
	q[i] = added
}

func (e *eventQueue) pop() event {
	q := *e
	first := q[0]
	last := q[len(q)-1]
	q[len(q)-1] = event{}
	q = q[:len(q)-1]
	*e = q
	if len(q) == 0 {
		return first
	}
	i := 0
	for {
		child := 2*i + 1
		if child >= len(q) {
			break
		}
		if child+1 < len(q) && q[child+1].before(&q[child]) {
			child++
		}
		if !q[child].before(&last) {
			break
		}
		q[i] = q[child]
		i = child
	}
	q[i] = last
	return first
}

func (e *event) before(other *event) bool {
	return e.at < other.at || e.at == other.at && e.sequence < other.sequence
}

// New returns a simulator whose clock starts at now.
func New(seed, now int64) *Simulator {
	return &Simulator{Now: now, Rand: rand.New(rand.NewSource(seed))}
}

// At schedules an action for a moment, or for now where that is past. Actions of one moment run in the order of the calls.
func (s *Simulator) At(at int64, action func()) {
	s.scheduled++
	s.events.push(event{max(at, s.Now), s.scheduled, action})
}

// After schedules an action for so many ns from now.
func (s *Simulator) After(ns int64, action func()) { s.At(s.Now+ns, action) }

// Run runs events up to and including a moment, which is Now at its end.
func (s *Simulator) Run(until int64) {
	for len(s.events) > 0 && s.events[0].at <= until {
		next := s.events.pop()
		s.Now = next.at
		next.action()
	}
	s.Now = until
}
