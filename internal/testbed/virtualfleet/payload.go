package virtualfleet

import "topazpost/internal/fleet/membership"

// Payload is a further state machine of a node, carried over the same links as its membership: with the same loss,
// cuts and delays. It belongs to one life of the node, and is called only while that runs: what comes in a pause
// waits, as datagrams do.
type Payload interface {
	// Came takes a datagram.
	Came(from *Node, body any)
	// Asked takes the question of an exchange, and answers it once or never.
	Asked(from *Node, body any, reply func(body any, size int))
	// Viewed is told of a change of the node's view, within the step that made it.
	Viewed(c membership.Change)
}

// Tell sends a datagram of the payload to a node; size is its bytes as they would be on the wire. What is sent must
// not be changed any more.
func (n *Node) Tell(to *Node, body any, size int) {
	n.PayloadSent++
	n.PayloadBytes += size
	if n.m.passes(n, to, size, true) {
		n.m.deliver(n, to, func() { to.payload.Came(n, body) })
	}
}

// Ask opens an exchange of the payload. Done is told of its answer, or of none within the time that an exchange may
// take; of neither once this life has ended.
func (n *Node) Ask(to *Node, body any, size int, done func(body any, ok bool)) {
	n.PayloadSent++
	n.PayloadBytes += size
	m, ended := n.m, false
	end := n.living(func(body any, ok bool) {
		if !ended {
			ended = true
			done(body, ok)
		}
	})
	m.After(exchanged, func() { end(nil, false) })
	if !to.Up || !m.passes(n, to, 0, false) || !m.passes(to, n, 0, false) {
		return
	}
	m.After(3*(travel+m.far(n, to)), to.running(func() {
		to.payload.Asked(n, body, func(body any, size int) {
			to.PayloadSent++
			to.PayloadBytes += size
			if m.passes(to, n, 0, false) {
				m.After(travel+m.far(to, n), func() { end(body, true) })
			}
		})
	}))
}

// Later has something done by a node in this life; once a pause that lasts then is over.
func (n *Node) Later(ns int64, do func()) { n.m.After(ns, n.running(do)) }

// running is what a node does if it is still in the life that it has now, after a pause if it stands in one. A node
// without a payload does nothing.
func (n *Node) running(do func()) func() {
	life := n.lives
	return func() {
		switch {
		case !n.Up || n.lives != life || n.payload == nil:
		case !n.Paused:
			do()
		case len(n.waiting) < waitingMost:
			n.waiting = append(n.waiting, do)
		}
	}
}

func (n *Node) living(end func(body any, ok bool)) func(body any, ok bool) {
	life := n.lives
	return func(body any, ok bool) {
		if n.lives == life {
			n.running(func() { end(body, ok) })()
		}
	}
}

// deliver brings a datagram to whatever life a node is in then: late or twice, where the mesh has such links.
func (m *Mesh) deliver(from, to *Node, do func()) {
	arrive, far := func() { to.running(do)() }, m.far(from, to)
	m.After(far+m.travels(), arrive)
	if m.Double > 0 && m.Rand.Float64() < m.Double {
		m.After(far+m.travels(), arrive)
	}
}

// travels draws how long a datagram takes.
func (m *Mesh) travels() int64 {
	ns := travel + m.Rand.Int63n(spread)
	if m.Late > 0 && m.Rand.Float64() < m.Late {
		ns += m.Rand.Int63n(m.LateMost + 1)
	}
	return ns
}
