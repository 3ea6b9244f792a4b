package server

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"

	"topazpost/internal/fleet/fleetconfig"
	"topazpost/internal/fleet/membership"
	"topazpost/internal/node"
)

const (
	fleetDescriptors = 2 + maxServedExchanges + maxOpenedExchanges
	membershipSeed   = 0x666c656574 // keeps this random sequence apart from the node's others
)

// PeerCounters count what the fleet's sockets dropped.
type PeerCounters struct {
	Dropped atomic.Int64 // inputs and messages for which a queue was full
	Flooded atomic.Int64 // datagrams above their sender's rate
	Refused atomic.Int64 // connections above the number served at once
}

// fleetSockets are a node's sockets for its fleet: one for datagrams, and a listener for exchanges and streams.
type fleetSockets struct {
	server         *Server
	config         *fleetconfig.Fleet
	udp            Datagrams
	tcp            net.Listener
	datagrams      chan peerMessage // received
	outgoing       chan peerMessage // datagrams to send
	exchangeInputs chan node.Input  // a queue of its own, so that datagrams can't fill it
	exchangeSlots  chan struct{}    // one for each exchange that this node has opened
	streams        *streams
	counters       PeerCounters

	mu               sync.Mutex
	pendingResponses map[int]chan []byte // by the exchange's number
	lastExchange     int
}

// joinFleet makes the node a member of its fleet; start opens the sockets.
func (s *Server) joinFleet(fleet *fleetconfig.Fleet) {
	s.fleet = &fleetSockets{
		server:           s,
		config:           fleet,
		datagrams:        make(chan peerMessage, maxQueuedDatagrams),
		outgoing:         make(chan peerMessage, maxQueuedSends),
		exchangeInputs:   make(chan node.Input, maxQueuedExchangeInputs),
		exchangeSlots:    make(chan struct{}, maxOpenedExchanges),
		pendingResponses: make(map[int]chan []byte),
	}
	s.fleet.streams = newStreams(s.fleet, s.config.maxStreams())
	s.clock = offsetClock{s.clock, fleet.ClockOffset}
	now, wall := s.clock.Now()
	s.state.JoinFleet(fleet.Name, membership.New(fleet.Membership, now, wall, fleet.PreviousIncarnation, s.config.Settings.Node.Seed^membershipSeed))
}

// start opens the fleet's sockets and starts their goroutines.
func (f *fleetSockets) start() error {
	s := f.server
	bind, err := net.ResolveUDPAddr("udp", f.config.Bind)
	if err != nil {
		return fmt.Errorf("fleet: bind: %w", err)
	}
	udp, err := net.ListenUDP("udp", bind)
	if err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	f.udp = udp
	if h := s.config.Hollow; h != nil && h.Wire != nil {
		f.udp = h.Wire.Datagrams(udp)
	}
	if f.tcp, err = net.Listen("tcp", f.config.Bind); err != nil {
		f.udp.Close()
		return fmt.Errorf("fleet: %w", err)
	}
	context.AfterFunc(s.ctx, f.close)
	s.log.Info().Str("fleet", f.config.Name).Str("bind", f.config.Bind).Str("advertise", f.config.Membership.Address).
		Strs("seeds", f.config.Membership.Seeds).Msg("peers are heard")
	s.group.Go(func() error { f.readDatagrams(); return nil })
	s.group.Go(func() error { f.writeDatagrams(); return nil })
	s.group.Go(func() error { f.acceptExchanges(); return nil })
	return nil
}

// close closes the sockets.
func (f *fleetSockets) close() {
	f.udp.Close()
	f.tcp.Close()
}

// appendQueued appends the inputs from peers that are queued, up to a bound for each queue.
func (f *fleetSockets) appendQueued(inputs []node.Input) []node.Input {
	inputs = appendQueued(inputs, f.exchangeInputs, maxQueuedExchangeInputs)
	inputs = appendQueuedMessages(inputs, f.datagrams, maxDatagramsPerStep)
	return appendQueuedMessages(inputs, f.streams.received, maxReceivedMessagesPerStep)
}

// appendQueuedMessages appends the messages that are queued, up to the limit.
func appendQueuedMessages(inputs []node.Input, queue chan peerMessage, limit int) []node.Input {
	for range limit {
		select {
		case m := <-queue:
			inputs = append(inputs, m.input())
		default:
			return inputs
		}
	}
	return inputs
}

// fleetCounters are the fleet's counters in the last log line of a node, nil outside a fleet.
func (s *Server) fleetCounters() map[string]any {
	if s.fleet == nil {
		return nil
	}
	c := &s.fleet.counters
	return map[string]any{
		"members": s.state.Members().Counters,
		"letters": s.state.PeerMessageCounters(),
		"dropped": c.Dropped.Load(),
		"flooded": c.Flooded.Load(),
		"refused": c.Refused.Load(),
	}
}
