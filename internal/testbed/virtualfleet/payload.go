package virtualfleet

import "topazpost/internal/fleet/membership"

// Payload is a further state machine of a node, carried over the same links as its membership: with the same loss,
// cuts and delays. It belongs to one incarnation of the node, and is called only while that runs: what arrives in a
// pause waits, as datagrams do.
type Payload interface {
	// DatagramReceived takes a datagram.
	DatagramReceived(from *Node, body any)
	// ExchangeOpened takes the request of an exchange, and replies once or never.
	ExchangeOpened(from *Node, body any, reply func(body any, size int))
	// ViewChanged takes a change of the node's view, within the step that made it.
	ViewChanged(c membership.Change)
}

// SendDatagram sends a datagram of the payload to a node; size is its bytes as they would be on the wire. What is sent must
// not be changed any more.
func (n *Node) SendDatagram(to *Node, body any, size int) {
	n.PayloadSent++
	n.PayloadBytes += size
	if n.fleet.delivers(n, to, size, true) {
		n.fleet.scheduleDatagram(n, to, func() {
			to.whenRunning(func() { to.payload.DatagramReceived(n, body) })()
		})
	}
}

// OpenExchange opens an exchange of the payload. Done is called with its reply, or with ok false where none came within the time
// that an exchange may take; it is not called once this incarnation has ended.
func (n *Node) OpenExchange(to *Node, body any, size int, done func(body any, ok bool)) {
	n.PayloadSent++
	n.PayloadBytes += size
	f := n.fleet
	ended := false
	end := n.inThisIncarnation(func(body any, ok bool) {
		if !ended {
			ended = true
			done(body, ok)
		}
	})
	f.After(exchangeTimeout, func() { end(nil, false) })
	if !to.Up || !f.delivers(n, to, 0, false) || !f.delivers(to, n, 0, false) {
		return
	}
	f.After(3*(minLatency+f.regionLatency(n, to)), to.whenRunning(func() {
		to.payload.ExchangeOpened(n, body, func(body any, size int) {
			to.PayloadSent++
			to.PayloadBytes += size
			if f.delivers(to, n, 0, false) {
				f.After(minLatency+f.regionLatency(to, n), func() { end(body, true) })
			}
		})
	}))
}

// Later runs an action on a node in this incarnation, after a pause that lasts then.
func (n *Node) Later(ns int64, action func()) { n.fleet.After(ns, n.whenRunning(action)) }

// whenRunning returns an action that runs only if the node is still in its present incarnation, after a pause if it is in
// one. A node without a payload does nothing.
func (n *Node) whenRunning(action func()) func() {
	incarnation := n.incarnations
	return func() {
		switch {
		case !n.Up || n.incarnations != incarnation || n.payload == nil:
		case !n.Paused:
			action()
		case len(n.waiting) < maxWaiting:
			n.waiting = append(n.waiting, action)
		}
	}
}

// inThisIncarnation returns a callback that is dropped once the node's present incarnation has ended.
func (n *Node) inThisIncarnation(end func(body any, ok bool)) func(body any, ok bool) {
	incarnation := n.incarnations
	return func(body any, ok bool) {
		if n.incarnations == incarnation {
			n.whenRunning(func() { end(body, ok) })()
		}
	}
}
