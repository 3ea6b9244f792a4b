package node_test

import (
	"bytes"
	"maps"
	"slices"

	"github.com/stretchr/testify/require"

	"topazpost/internal/fleet/configsync"
	"topazpost/internal/fleet/envelope"
	"topazpost/internal/fleet/membership"
	"topazpost/internal/node"
)

// reachable is the node at an address, nil if it is down or the message is lost.
func (n *simNode) reachable(address string, lost bool) *simNode {
	for _, to := range n.simNodes {
		if to.address == address && to.machine != nil && !lost {
			return to
		}
	}
	return nil
}

// peerEffect carries out an effect on other nodes.
func (n *simNode) peerEffect(e *node.Effect) {
	text, link, incarnation := bytes.Clone(e.Bytes), e.Link, n.incarnation
	lost := n.loss > 0 && n.Rand.Float64() < n.loss
	switch e.Kind {
	case node.SendDatagram:
		if to := n.reachable(e.Address, lost); to != nil {
			to.schedule(n.randomDuration(300, 1_500), func() { to.deliver(node.Input{Kind: node.PeerDatagramReceived, From: n.address, Bytes: text}) })
		}
	case node.OpenExchange:
		to := n.reachable(e.Address, lost)
		missed := func() { n.deliver(node.Input{Kind: node.PeerExchangeFailed, Link: link, Err: errSimulated}) }
		if to == nil {
			n.schedule(500*millisecond, missed)
			return
		}
		n.lastExchange++
		number := n.lastExchange
		to.schedule(n.randomDuration(900, 2_000), func() {
			to.exchanges[number] = pendingExchange{n, incarnation, link}
			to.deliver(node.Input{Kind: node.PeerRequestReceived, Link: number, From: n.address, Bytes: text})
		})
		n.schedule(2_000*millisecond, func() {
			if q, open := to.exchanges[number]; open && q.from == n {
				delete(to.exchanges, number)
				missed()
			}
		})
	case node.ReplyToExchange:
		q, known := n.exchanges[link]
		delete(n.exchanges, link)
		if !known || q.from == nil || q.from.incarnation != q.incarnation {
			return
		}
		in := node.Input{Kind: node.PeerResponseReceived, Link: q.link, From: n.address, Bytes: text}
		if len(text) == 0 {
			in = node.Input{Kind: node.PeerExchangeFailed, Link: q.link, Err: errSimulated}
		}
		q.from.schedule(n.randomDuration(300, 1_500), func() { q.from.deliver(in) })
	case node.SendOnStream:
		n.sendMessage(e.Address, link, text)
	case node.CloseStream:
		n.closeStream(link)
	}
}

// sendMessage writes to a stream, or to a new one if that is closed.
func (n *simNode) sendMessage(address string, link int, text []byte) {
	there, known := n.streams[link]
	if !known || there.to.incarnation != there.incarnation {
		for _, number := range slices.Sorted(maps.Keys(n.streams)) { // the one that is open to that address
			if s := n.streams[number]; s.to.address == address && s.to.incarnation == s.incarnation {
				there, known, link = s, true, number
			}
		}
	}
	if !known || there.to.incarnation != there.incarnation {
		to := n.reachable(address, false)
		if to == nil || to == n {
			return
		}
		n.lastLink++
		to.lastLink++
		there = peerStream{to, to.incarnation, to.lastLink}
		n.streams[n.lastLink], to.streams[to.lastLink] = there, peerStream{n, n.incarnation, n.lastLink}
		link = n.lastLink
	}
	if n.loss > 0 && n.Rand.Float64() < n.loss {
		n.closeStream(link)
		return
	}
	to, at := there.to, there.link
	to.schedule(800_000, func() { // all take the same time, so that they keep their order
		if _, open := to.streams[at]; open {
			to.deliver(node.Input{Kind: node.PeerMessageReceived, Link: at, From: n.address, Bytes: text})
		}
	})
}

// closeStream closes a stream at both ends.
func (n *simNode) closeStream(link int) {
	there, known := n.streams[link]
	delete(n.streams, link)
	if known && there.to.incarnation == there.incarnation {
		delete(there.to.streams, there.link)
		there.to.schedule(800_000, func() { there.to.deliver(node.Input{Kind: node.PeerStreamClosed, Link: there.link}) })
	}
	n.schedule(0, func() { n.deliver(node.Input{Kind: node.PeerStreamClosed, Link: link}) })
}

// outsideMessage delivers a message from outside the fleet: an operator's, or an invalid one.
func (n *simNode) outsideMessage() {
	if n.machine == nil {
		return
	}
	of := fleetName
	if n.oneIn(8) {
		of = "another"
	}
	kind := []node.InputKind{node.PeerDatagramReceived, node.PeerRequestReceived, node.PeerRequestReceived, node.PeerRequestReceived}[n.Rand.Intn(4)]
	var body any
	switch n.Rand.Intn(6) {
	case 0:
		body = &membership.Message{Kind: membership.MessageViewRequest}
	case 1:
		body = &membership.Message{Kind: membership.MessageViewRequest, Why: membership.ViewRequestClaims}
	case 2:
		body = &membership.Message{Kind: []membership.MessageKind{membership.MessageSyncRequest, membership.MessageGossip, 0}[n.Rand.Intn(3)]}
	case 3:
		body = node.ConfigQueryBody(&configsync.Query{Kind: configsync.QueryStatus})
	case 4:
		body = node.ConfigQueryBody(&configsync.Query{Kind: configsync.QueryBlocks,
			Which: n.Rand.Intn(3)})
	default:
		body = node.ConfigQueryBody(&configsync.Query{Kind: 77})
	}
	text, err := envelope.Seal(nil, envelope.FleetOf(of), body)
	require.NoError(n.t, err)
	if n.oneIn(8) {
		text[n.Rand.Intn(len(text))]++
	}
	n.lastExchange++
	n.deliver(node.Input{Kind: kind, Link: n.lastExchange, From: "10.0.9.9:9", Bytes: text})
	if n.oneIn(20) {
		n.deliver(node.Input{Kind: node.PeerMessageReceived, Link: 1_000_000 + n.lastExchange, From: "10.0.9.9:9", Bytes: text})
	}
}
