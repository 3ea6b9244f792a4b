package server

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"topazpost/internal/fleet/fleetconfig"
	"topazpost/internal/fleet/membership"
	"topazpost/internal/node"
)

const (
	maxQueuedDatagrams      = 256             // inputs of peers that may wait for the reducer; more are dropped, as lost datagrams are
	maxDatagramsPerStep     = 64              // of them taken in one step: they never hold up invocations
	maxQueuedExchangeInputs = 64              // parts of exchanges that may wait beside them: more than are under way at once, both ways
	maxQueuedSends          = 512             // datagrams that may wait to be sent; more are dropped
	maxRateLimitedSenders   = 4096            // senders whose pace is kept; when there are more all start anew
	maxDatagramsPerSecond   = 200             // datagrams a second of one sender: ten times what a neighbour sends
	maxDatagramBurst        = 400             // of them at once: a herd's news
	maxServedExchanges      = 16              // exchanges of peers served at once; more are closed unread
	maxOpenedExchanges      = 8               // of ours under way at once
	exchangeTimeout         = 2 * time.Second // for one exchange, from its start to its end
	fleetDescriptors        = 2 + maxServedExchanges + maxOpenedExchanges
	membershipSeed          = 0x666c656574 // told apart from the node's other sources of chance
)

// PeerCounters count what this side of the peers' sockets dropped.
type PeerCounters struct {
	Dropped atomic.Int64 // datagrams that nobody had time for
	Flooded atomic.Int64 // of senders past their pace
	Refused atomic.Int64 // exchanges past those served at once
}

// fleetSockets is the sockets of a fleet: one for datagrams, a listener for exchanges. A node without a fleet has none.
type fleetSockets struct {
	server         *Server
	config         *fleetconfig.Fleet
	udp            Datagrams
	tcp            net.Listener
	datagrams      chan peerMessage // datagrams
	exchangeInputs chan node.Input  // parts of exchanges: bounded by those under way, so datagrams never take their place
	outgoing       chan peerMessage
	counters       PeerCounters

	mu               sync.Mutex
	pendingResponses map[int]chan []byte // by number, where the answer is waited for
	lastExchange     int
	exchangeSlots    chan struct{}

	streams *streams
}

// joinFleet makes the node one of its fleet; run opens the sockets.
func (s *Server) joinFleet(fleet *fleetconfig.Fleet) {
	s.fleet = &fleetSockets{server: s, config: fleet, datagrams: make(chan peerMessage, maxQueuedDatagrams),
		exchangeInputs: make(chan node.Input, maxQueuedExchangeInputs), outgoing: make(chan peerMessage, maxQueuedSends),
		pendingResponses: make(map[int]chan []byte), exchangeSlots: make(chan struct{}, maxOpenedExchanges)}
	s.fleet.streams = newStreams(s.fleet, s.config.maxStreams())
	s.clock = offsetClock{s.clock, fleet.WallAhead}
	now, wall := s.clock.Now()
	s.state.JoinFleet(fleet.Name, membership.New(fleet.Terms, now, wall, fleet.Kept, s.config.Settings.Node.Seed^membershipSeed))
}

// start opens the fleet's sockets and starts what they need.
func (p *fleetSockets) start() error {
	s := p.server
	bind, err := net.ResolveUDPAddr("udp", p.config.Bind)
	if err != nil {
		return fmt.Errorf("fleet: bind: %w", err)
	}
	udp, err := net.ListenUDP("udp", bind)
	if err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	p.udp = udp
	if h := s.config.Hollow; h != nil && h.Wire != nil {
		p.udp = h.Wire.Datagrams(udp)
	}
	if p.tcp, err = net.Listen("tcp", p.config.Bind); err != nil {
		p.udp.Close()
		return fmt.Errorf("fleet: %w", err)
	}
	context.AfterFunc(s.ctx, func() { p.udp.Close(); p.tcp.Close() })
	s.log.Info().Str("fleet", p.config.Name).Str("bind", p.config.Bind).Str("advertise", p.config.Terms.Address).
		Strs("seeds", p.config.Terms.Seeds).Msg("peers are heard")
	s.group.Go(func() error { p.readDatagrams(); return nil })
	s.group.Go(func() error { p.writeDatagrams(); return nil })
	s.group.Go(func() error { p.acceptExchanges(); return nil })
	return nil
}

// appendQueued takes what peers sent and waits for the next step.
func (p *fleetSockets) appendQueued(inputs []node.Input) []node.Input {
	inputs = appendQueuedMessages(appendQueued(inputs, p.exchangeInputs, maxQueuedExchangeInputs), p.datagrams, maxDatagramsPerStep)
	return appendQueuedMessages(inputs, p.streams.received, maxReceivedMessagesPerStep)
}

// appendQueuedMessages takes what waits, up to so many.
func appendQueuedMessages(inputs []node.Input, queue chan peerMessage, limit int) []node.Input {
	for range limit {
		select {
		case l := <-queue:
			inputs = append(inputs, l.input())
		default:
			return inputs
		}
	}
	return inputs
}

// fleetCounters is what the last line of a node tells of its fleet, nil outside one.
func (s *Server) fleetCounters() map[string]any {
	if s.fleet == nil {
		return nil
	}
	c := &s.fleet.counters
	return map[string]any{"members": s.state.Members().Counters, "letters": s.state.PeerMessageCounters(), "dropped": c.Dropped.Load(),
		"flooded": c.Flooded.Load(), "refused": c.Refused.Load()}
}
