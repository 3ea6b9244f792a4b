package server

import (
	"errors"
	"net"
	"net/netip"
	"time"

	"golang.org/x/time/rate"

	"topazpost/internal/fleet/envelope"
	"topazpost/internal/node"
)

const (
	maxQueuedDatagrams    = 256 // more are dropped, as lost datagrams are
	maxDatagramsPerStep   = 64
	maxQueuedSends        = 512  // more are dropped
	maxDatagramsPerSecond = 200  // of one sender: ten times what a neighbour sends
	maxDatagramBurst      = 400  // of one sender
	maxRateLimitedSenders = 4096 // with a limiter; past it all limiters are reset
)

// Datagrams is a node's socket for datagrams to and from its peers.
type Datagrams interface {
	ReadFromUDPAddrPort(b []byte) (n int, from netip.AddrPort, err error)
	WriteToUDPAddrPort(b []byte, to netip.AddrPort) (int, error)
	Close() error
}

// peerMessage is a queued datagram or a message on a stream. It is several times smaller than a node.Input, and hundreds may
// be queued.
type peerMessage struct {
	kind    node.InputKind
	link    int    // number of the stream
	address string // of the peer
	payload []byte
}

func (m *peerMessage) input() node.Input {
	return node.Input{Kind: m.kind, Link: m.link, From: m.address, Bytes: m.payload}
}

// offerDatagram queues a received datagram, or drops it.
func (f *fleetSockets) offerDatagram(from string, payload []byte) bool {
	select {
	case f.datagrams <- peerMessage{kind: node.PeerDatagramReceived, address: from, payload: payload}:
		return true
	default:
		f.counters.Dropped.Add(1)
		return false
	}
}

// readDatagrams reads datagrams at a bounded rate for each sender, so that a peer that floods delays no others. Senders behind
// one address share its rate.
func (f *fleetSockets) readDatagrams() {
	limiters := senderLimiters{}
	buffer := make([]byte, envelope.MaxDatagramBytes+1)
	for {
		n, from, err := f.udp.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			f.server.limitedLog.Warn().Err(err).Msg("no datagram could be read")
			time.Sleep(acceptBackoff)
			continue
		}
		if !limiters.allow(from.Addr()) {
			f.counters.Flooded.Add(1)
			f.server.limitedLog.Warn().Stringer("from", from).Msg("peer floods, its datagrams are dropped")
			continue
		}
		if n > envelope.MaxDatagramBytes {
			n = 0 // counted as one that is too short
		}
		f.offerDatagram(from.String(), append([]byte(nil), buffer[:n]...))
	}
}

// senderLimiters bound the rate of datagrams by sender.
type senderLimiters map[netip.Addr]*rate.Limiter

func (l senderLimiters) allow(from netip.Addr) bool {
	limiter := l[from]
	if limiter == nil {
		if len(l) >= maxRateLimitedSenders {
			clear(l)
		}
		limiter = rate.NewLimiter(maxDatagramsPerSecond, maxDatagramBurst)
		l[from] = limiter
	}
	return limiter.Allow()
}

// sendDatagram queues a datagram to send, or drops it.
func (f *fleetSockets) sendDatagram(e *node.Effect) {
	select {
	case f.outgoing <- peerMessage{address: e.Address, payload: e.Bytes}:
	default:
		f.counters.Dropped.Add(1)
	}
}

// writeDatagrams sends queued datagrams until the node ends.
func (f *fleetSockets) writeDatagrams() {
	for {
		select {
		case m := <-f.outgoing:
			f.writeDatagram(&m)
		case <-f.server.ctx.Done():
			return
		}
	}
}

func (f *fleetSockets) writeDatagram(m *peerMessage) {
	to, err := netip.ParseAddrPort(m.address)
	if err == nil {
		_, err = f.udp.WriteToUDPAddrPort(m.payload, to)
	}
	if err != nil && !errors.Is(err, net.ErrClosed) {
		f.server.limitedLog.Debug().Err(err).Msg("datagram could not be sent")
	}
}

// flush sends the queued datagrams before the node ends.
func (f *fleetSockets) flush() {
	for {
		select {
		case m := <-f.outgoing:
			f.writeDatagram(&m)
		default:
			return
		}
	}
}
