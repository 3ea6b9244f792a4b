package server

import (
	"context"
	"errors"
	"net"

	"golang.org/x/sync/errgroup"

	"topazpost/internal/fleet/membership"
	"topazpost/internal/node"
)

// StreamMark is what a stream begins with, in the place of the length that an exchange begins with, little-endian.
const StreamMark = streamMagic

// Wire stands between a hollow node and its sockets, for cuts, loss and counts of the laboratory.
type Wire interface {
	Datagrams(Datagrams) Datagrams
	Conn(conn net.Conn, to string) net.Conn // to is where it was dialled to, empty for one that was accepted
}

// Hollow makes a node that is only what nodes do among themselves: fleet, claims, leases. It listens to no dispatcher, has no
// executor and reports nothing; its load comes from WantToken and WantCalls.
type Hollow struct {
	Wire     Wire                     // nil for none
	Changed  func(*membership.Change) // called at each change of its view, and must not wait
	Counters *node.HollowCounters
	OnlySeat bool // it has no load, inherits nothing and is of no use to callers: a seat in the council and nothing else
}

// runHollow is Run of a hollow node.
func (s *Server) runHollow(ctx context.Context) error {
	s.group, s.ctx = errgroup.WithContext(ctx)
	s.conns = newConnections(s)
	if s.fleet == nil {
		return errors.New("server: a hollow node without a fleet has nothing to do")
	}
	if err := s.openStorage(); err != nil {
		return err
	}
	if err := s.fleet.start(); err != nil {
		s.closeStorage()
		return err
	}
	s.runStorage()
	s.group.Go(func() error { return s.loop() })
	if err := s.group.Wait(); !errors.Is(err, errDrained) {
		return err
	}
	return nil
}

// WantToken has a hollow node claim a token; what there is no room for is lost, and told so.
func (s *Server) WantToken(token string) bool {
	return s.tryEnqueue(node.Input{Kind: node.HollowClaimRequested, Bytes: []byte(token)})
}

// WantCalls has a hollow node want so many calls at a time.
func (s *Server) WantCalls(n int) bool {
	return s.tryEnqueue(node.Input{Kind: node.HollowCallsRequested, Link: n})
}

func (s *Server) tryEnqueue(in node.Input) bool {
	select {
	case s.inputs <- in:
		return true
	default:
		return false
	}
}

// Peered are the counts of the node's fleet sockets, nil outside a fleet.
func (s *Server) Peered() *PeerCounters {
	if s.fleet == nil {
		return nil
	}
	return &s.fleet.counters
}

func (p *fleetSockets) wrapConn(conn net.Conn, to string) net.Conn {
	if h := p.server.config.Hollow; h != nil && h.Wire != nil {
		return h.Wire.Conn(conn, to)
	}
	return conn
}

// OnlySeat makes a node that serves nothing: a member of the fleet that runs a replica of the consensus group.
func OnlySeat() *Hollow {
	return &Hollow{Counters: new(node.HollowCounters), OnlySeat: true}
}
