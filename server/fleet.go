package server

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"topazpost/internal/fleet/envelope"
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

// errTooManyExchanges says that an exchange was not opened.
var errTooManyExchanges = errors.New("too many exchanges are under way")

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

// offsetClock sets the wall clock off, for tests of clocks that disagree.
type offsetClock struct {
	Clock
	offset int64
}

func (a offsetClock) Now() (monotonic, unix int64) {
	monotonic, unix = a.Clock.Now()
	return monotonic, unix + a.offset
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

// offerExchangeInput hands a part of an exchange on if there is room; what peers send never waits, and so never holds up anybody.
func (p *fleetSockets) offerExchangeInput(in node.Input) bool {
	select {
	case p.exchangeInputs <- in:
		return true
	default:
		p.counters.Dropped.Add(1)
		return false
	}
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

// acceptExchanges takes exchanges that peers open.
func (p *fleetSockets) acceptExchanges() {
	slots := make(chan struct{}, maxServedExchanges)
	for {
		conn, err := p.tcp.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			p.server.limitedLog.Warn().Err(err).Msg("no exchange could be accepted")
			time.Sleep(acceptBackoff)
			continue
		}
		select {
		case slots <- struct{}{}:
			p.server.group.Go(func() error {
				free := sync.OnceFunc(func() { <-slots })
				defer func() { conn.Close(); free() }()
				p.serveConn(p.wrapConn(conn, ""), free)
				return nil
			})
		default:
			p.counters.Refused.Add(1)
			conn.Close()
		}
	}
}

func (p *fleetSockets) serveConn(conn net.Conn, releaseSlot func()) {
	conn.SetDeadline(time.Now().Add(exchangeTimeout))
	var header [4]byte
	_, err := io.ReadFull(conn, header[:])
	if err == nil && binary.LittleEndian.Uint32(header[:]) == streamMagic {
		conn.SetDeadline(time.Time{})
		releaseSlot()
		if p.config.Council != nil {
			p.streams.accept(conn)
		}
		return
	}
	var payload []byte
	if err == nil {
		payload, err = readMessage(io.MultiReader(bytes.NewReader(header[:]), conn))
	}
	if err != nil {
		p.server.limitedLog.Debug().Err(err).Msg("exchange of a peer ended early")
		return
	}
	response := make(chan []byte, 1)
	p.mu.Lock()
	p.lastExchange++
	number := p.lastExchange
	p.pendingResponses[number] = response
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		delete(p.pendingResponses, number)
		p.mu.Unlock()
	}()
	if !p.offerExchangeInput(node.Input{Kind: node.PeerRequestReceived, Link: number, From: conn.RemoteAddr().String(), Bytes: payload}) {
		return
	}
	select {
	case b := <-response:
		if len(b) > 0 {
			_ = writeMessage(conn, b) // the peer sees that no response came
		}
	case <-time.After(exchangeTimeout):
	case <-p.server.ctx.Done():
	}
}

func (p *fleetSockets) reply(e *node.Effect) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if response := p.pendingResponses[e.Link]; response != nil {
		delete(p.pendingResponses, e.Link)
		response <- e.Bytes
	}
}

// openExchange carries an exchange of ours out. It is dialled from the address that peers know, so that they can tell who
// asks.
func (p *fleetSockets) openExchange(e *node.Effect) {
	link, address, payload := e.Link, e.Address, e.Bytes
	select {
	case p.exchangeSlots <- struct{}{}:
	default:
		p.offerExchangeInput(node.Input{Kind: node.PeerExchangeFailed, Link: link, Err: errTooManyExchanges})
		return
	}
	p.server.group.Go(func() error {
		defer func() { <-p.exchangeSlots }()
		response, err := exchange(p.server.ctx, p.config.Bind, address, payload, p.wrapConn)
		if err != nil {
			p.offerExchangeInput(node.Input{Kind: node.PeerExchangeFailed, Link: link, Err: err})
		} else {
			p.offerExchangeInput(node.Input{Kind: node.PeerResponseReceived, Link: link, From: address, Bytes: response})
		}
		return nil
	})
}

// Swap opens an exchange with a node: one letter there, one back. From is the local address it is dialled from, empty
// for any.
func Swap(ctx context.Context, from, to string, payload []byte) ([]byte, error) {
	return exchange(ctx, from, to, payload, func(conn net.Conn, _ string) net.Conn { return conn })
}

func exchange(ctx context.Context, from, to string, payload []byte, wrapConn func(conn net.Conn, to string) net.Conn) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	dialer := net.Dialer{}
	if host, _, err := net.SplitHostPort(from); err == nil {
		if ip := net.ParseIP(host); ip != nil && !ip.IsUnspecified() {
			dialer.LocalAddr = &net.TCPAddr{IP: ip}
		}
	}
	conn, err := dialer.DialContext(ctx, "tcp", to)
	if err != nil {
		return nil, err
	}
	conn = wrapConn(conn, to)
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	if err := writeMessage(conn, payload); err != nil {
		return nil, err
	}
	return readMessage(conn)
}

func writeMessage(to io.Writer, payload []byte) error {
	_, err := to.Write(append(binary.LittleEndian.AppendUint32(nil, uint32(len(payload))), payload...))
	return err
}

// readMessage reads a length and so many bytes; memory grows with what really comes, not with what is said.
func readMessage(from io.Reader) ([]byte, error) {
	var header [4]byte
	if _, err := io.ReadFull(from, header[:]); err != nil {
		return nil, err
	}
	length := binary.LittleEndian.Uint32(header[:])
	if length < envelope.Head || length > envelope.ExchangeMost {
		return nil, fmt.Errorf("a length of %d, %d to %d may be", length, envelope.Head, envelope.ExchangeMost)
	}
	payload, err := io.ReadAll(io.LimitReader(from, int64(length)))
	if err == nil && len(payload) < int(length) {
		err = io.ErrUnexpectedEOF
	}
	return payload, err
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

// logViewChange logs a change of the view; membership bounds how often it can come.
func (s *Server) logViewChange(c *membership.Change) {
	if h := s.config.Hollow; h != nil && h.Changed != nil {
		h.Changed(c)
		return
	}
	line := s.log.Info().Uint64("number", c.Number).Str("cause", membership.CauseNames[c.Cause]).Str("who", c.Who).
		Uint64("incarnation", c.Incarnation).Int("size", c.Size).Str("view", fmt.Sprintf("%016x", c.Hash))
	if c.ReportedBy != "" && c.ReportedBy != c.Who {
		line = line.Str("word", c.ReportedBy)
	}
	if c.After > 0 {
		line = line.Float64("after_s", seconds(c.After))
	}
	line.Msg("view changed")
}
