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

// peerMessage is what waits of a datagram or a stream; an input or an effect is several times as large, and there is room for hundreds.
type peerMessage struct {
	kind    node.InputKind
	link    int    // of a stream
	address string // of the peer
	payload []byte
}

func (l *peerMessage) input() node.Input {
	return node.Input{Kind: l.kind, Link: l.link, From: l.address, Bytes: l.payload}
}

// offerDatagram does so with a datagram.
func (p *fleetSockets) offerDatagram(from string, payload []byte) bool {
	select {
	case p.datagrams <- peerMessage{kind: node.PeerDatagramReceived, address: from, payload: payload}:
		return true
	default:
		p.counters.Dropped.Add(1)
		return false
	}
}

// readDatagrams takes datagrams, each sender at its pace. Guards against a peer that floods; does harm to senders behind one
// address, which share a pace.
func (p *fleetSockets) readDatagrams() {
	limiters := make(map[netip.Addr]*rate.Limiter)
	space := make([]byte, envelope.DatagramMost+1)
	for {
		n, from, err := p.udp.ReadFromUDPAddrPort(space)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			p.server.limitedLog.Warn().Err(err).Msg("no datagram could be read")
			time.Sleep(acceptBackoff)
			continue
		}
		limiter := limiters[from.Addr()]
		if limiter == nil {
			if len(limiters) >= maxRateLimitedSenders {
				clear(limiters)
			}
			limiter = rate.NewLimiter(maxDatagramsPerSecond, maxDatagramBurst)
			limiters[from.Addr()] = limiter
		}
		if !limiter.Allow() {
			p.counters.Flooded.Add(1)
			p.server.limitedLog.Warn().Stringer("from", from).Msg("peer floods, its datagrams are dropped")
			continue
		}
		if n > envelope.DatagramMost {
			n = 0 // told as one that is too short
		}
		p.offerDatagram(from.String(), append([]byte(nil), space[:n]...))
	}
}

// sendDatagram takes a datagram that is to be sent, if there is room.
func (p *fleetSockets) sendDatagram(e *node.Effect) {
	select {
	case p.outgoing <- peerMessage{address: e.Address, payload: e.Bytes}:
	default:
		p.counters.Dropped.Add(1)
	}
}

func (p *fleetSockets) writeDatagrams() {
	for {
		select {
		case l := <-p.outgoing:
			p.writeDatagram(&l)
		case <-p.server.ctx.Done():
			return
		}
	}
}

func (p *fleetSockets) writeDatagram(l *peerMessage) {
	to, err := netip.ParseAddrPort(l.address)
	if err == nil {
		_, err = p.udp.WriteToUDPAddrPort(l.payload, to)
	}
	if err != nil && !errors.Is(err, net.ErrClosed) {
		p.server.limitedLog.Debug().Err(err).Msg("datagram could not be sent")
	}
}

// flush sends what waits; the node ends after it.
func (p *fleetSockets) flush() {
	for {
		select {
		case l := <-p.outgoing:
			p.writeDatagram(&l)
		default:
			return
		}
	}
}

// Datagrams are the socket of a node for its peers' datagrams.
type Datagrams interface {
	ReadFromUDPAddrPort(b []byte) (n int, from netip.AddrPort, err error)
	WriteToUDPAddrPort(b []byte, to netip.AddrPort) (int, error)
	Close() error
}
