package server

import (
	"context"
	"errors"
	"net"

	"golang.org/x/sync/errgroup"

	"topazpost/internal/fleet/membership"
	"topazpost/internal/node"
)

// StreamMark begins a stream, little-endian, in the place of the length that begins an exchange.
const StreamMark = streamMagic

// Wire stands between a hollow node and its sockets, so that a test bed can inject partitions and loss, and count traffic.
type Wire interface {
	Datagrams(Datagrams) Datagrams
	Conn(conn net.Conn, to string) net.Conn // to is the address dialled, empty for an accepted connection
}

// Hollow makes a node that only takes part in its fleet: membership, claims and leases. It listens to no dispatcher, has no
// executor and sends no reports; its load comes from WantToken and WantCalls.
type Hollow struct {
	Wire     Wire                     // nil for none
	Changed  func(*membership.Change) // called at each change of the membership view; must not block
	Counters *node.HollowCounters
	OnlySeat bool // it only runs a replica of the consensus group: it has no load and takes over no claims
}

// runHollow is Run for a hollow node.
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
	s.group.Go(s.loop)
	err := s.group.Wait()
	if errors.Is(err, errDrained) {
		return nil
	}
	return err
}

// WantToken makes a hollow node claim a token; false means that its queue is full and the request is dropped.
func (s *Server) WantToken(token string) bool {
	return s.tryEnqueue(node.Input{Kind: node.HollowClaimRequested, Bytes: []byte(token)})
}

// WantCalls makes a hollow node want n concurrent calls; false means that its queue is full and the request is dropped.
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

// Peered returns the counters of the node's fleet sockets, nil outside a fleet.
func (s *Server) Peered() *PeerCounters {
	if s.fleet == nil {
		return nil
	}
	return &s.fleet.counters
}

// wrapConn passes a connection through the test bed's Wire, where there is one.
func (f *fleetSockets) wrapConn(conn net.Conn, to string) net.Conn {
	if h := f.server.config.Hollow; h != nil && h.Wire != nil {
		return h.Wire.Conn(conn, to)
	}
	return conn
}

// OnlySeat returns the Hollow of a node that serves nothing: a member of the fleet that runs a replica of the consensus group.
func OnlySeat() *Hollow {
	return &Hollow{Counters: new(node.HollowCounters), OnlySeat: true}
}
