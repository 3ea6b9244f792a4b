package virtualfleet

import "topazpost/internal/fleet/membership"

// Payload is a further state machine of a node, carried over the same links as its membership: with the same loss,
// cuts and delays. It belongs to one life of the node, and is called only while that runs: what comes in a pause
// waits, as datagrams do.
type Payload interface {
	// Came takes a datagram.
	DatagramReceived(from *Node, body any)
	// Asked takes the question of an exchange, and answers it once or never.
	ExchangeOpened(from *Node, body any, reply func(body any, size int))
	// Viewed is told of a change of the node's view, within the step that made it.
	ViewChanged(c membership.Change)
}

// SendDatagram sends a datagram of the payload to a node; size is its bytes as they would be on the wire. What is sent must
// not be changed any more.
func (n *Node) SendDatagram(to *Node, body any, size int) {
	n.PayloadSent++
	n.PayloadBytes += size
	if n.fleet.delivers(n, to, size, true) {
		n.fleet.sendDatagram(n, to, func() { to.payload.DatagramReceived(n, body) })
	}
}

// OpenExchange opens an exchange of the payload. Done is told of its answer, or of none within the time that an exchange may
// take; of neither once this life has ended.
func (n *Node) OpenExchange(to *Node, body any, size int, done func(body any, ok bool)) {
	n.PayloadSent++
	n.PayloadBytes += size
	m, ended := n.fleet, false
	end := n.inThisLife(func(body any, ok bool) {
		if !ended {
			ended = true
			done(body, ok)
		}
	})
	m.After(exchangeTimeout, func() { end(nil, false) })
	if !to.Up || !m.delivers(n, to, 0, false) || !m.delivers(to, n, 0, false) {
		return
	}
	m.After(3*(minLatency+m.regionLatency(n, to)), to.whenRunning(func() {
		to.payload.ExchangeOpened(n, body, func(body any, size int) {
			to.PayloadSent++
			to.PayloadBytes += size
			if m.delivers(to, n, 0, false) {
				m.After(minLatency+m.regionLatency(to, n), func() { end(body, true) })
			}
		})
	}))
}

// Later has something done by a node in this life; once a pause that lasts then is over.
func (n *Node) Later(ns int64, do func()) { n.fleet.After(ns, n.whenRunning(do)) }

// whenRunning is what a node does if it is still in the life that it has now, after a pause if it stands in one. A node
// without a payload does nothing.
func (n *Node) whenRunning(do func()) func() {
	life := n.incarnations
	return func() {
		switch {
		case !n.Up || n.incarnations != life || n.payload == nil:
		case !n.Paused:
			do()
		case len(n.waiting) < maxWaiting:
			n.waiting = append(n.waiting, do)
		}
	}
}

func (n *Node) inThisLife(end func(body any, ok bool)) func(body any, ok bool) {
	life := n.incarnations
	return func(body any, ok bool) {
		if n.incarnations == life {
			n.whenRunning(func() { end(body, ok) })()
		}
	}
}

// sendDatagram brings a datagram to whatever life a node is in then: late or twice, where the mesh has such links.
func (m *Fleet) sendDatagram(from, to *Node, do func()) {
	arrive, far := func() { to.whenRunning(do)() }, m.regionLatency(from, to)
	m.After(far+m.drawLatency(), arrive)
	if m.DuplicateRate > 0 && m.Rand.Float64() < m.DuplicateRate {
		m.After(far+m.drawLatency(), arrive)
	}
}

// drawLatency draws how long a datagram takes.
func (m *Fleet) drawLatency() int64 {
	ns := minLatency + m.Rand.Int63n(latencySpread)
	if m.LateRate > 0 && m.Rand.Float64() < m.LateRate {
		ns += m.Rand.Int63n(m.MaxLate + 1)
	}
	return ns
}
