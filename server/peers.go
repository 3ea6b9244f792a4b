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
	peeredWaiting = 256             // inputs of peers that may wait for the reducer; more are dropped, as lost datagrams are
	peeredAStep   = 64              // of them taken in one step: they never hold up invocations
	exchangesWait = 64              // parts of exchanges that may wait beside them: more than are under way at once, both ways
	sendsWaiting  = 512             // datagrams that may wait to be sent; more are dropped
	sourcesMost   = 4096            // senders whose pace is kept; when there are more all start anew
	sourceRate    = 200             // datagrams a second of one sender: ten times what a neighbour sends
	sourceBurst   = 400             // of them at once: a herd's news
	servedMost    = 16              // exchanges of peers served at once; more are closed unread
	openedMost    = 8               // of ours under way at once
	exchangeWait  = 2 * time.Second // for one exchange, from its start to its end
	peerFiles     = 2 + servedMost + openedMost
	fleetSeed     = 0x666c656574 // told apart from the node's other sources of chance
)

// errBusy says that an exchange was not opened.
var errBusy = errors.New("too many exchanges are under way")

// PeerCounters count what this side of the peers' sockets dropped.
type PeerCounters struct {
	Dropped atomic.Int64 // datagrams that nobody had time for
	Flooded atomic.Int64 // of senders past their pace
	Refused atomic.Int64 // exchanges past those served at once
}

// peering is the sockets of a fleet: one for datagrams, a listener for exchanges. A node without a fleet has none.
type peering struct {
	s        *Server
	fleet    *fleetconfig.Fleet
	udp      Datagrams
	tcp      net.Listener
	in       chan letter     // datagrams
	swapped  chan node.Input // parts of exchanges: bounded by those under way, so datagrams never take their place
	out      chan letter
	counters PeerCounters

	mu     sync.Mutex
	served map[int]chan []byte // by number, where the answer is waited for
	next   int
	opened chan struct{}

	streams *streams
}

// letter is what waits of a datagram or a stream; an input or an effect is several times as large, and there is room for hundreds.
type letter struct {
	kind    node.InputKind
	link    int    // of a stream
	address string // of the peer
	bytes   []byte
}

func (l *letter) input() node.Input {
	return node.Input{Kind: l.kind, Link: l.link, From: l.address, Bytes: l.bytes}
}

// join makes the node one of its fleet; run opens the sockets.
func (s *Server) join(fleet *fleetconfig.Fleet) {
	s.peers = &peering{s: s, fleet: fleet, in: make(chan letter, peeredWaiting),
		swapped: make(chan node.Input, exchangesWait), out: make(chan letter, sendsWaiting),
		served: make(map[int]chan []byte), opened: make(chan struct{}, openedMost)}
	s.peers.streams = newStreams(s.peers, s.config.streamsMost())
	s.clock = ahead{s.clock, fleet.WallAhead}
	now, wall := s.clock.Now()
	s.state.JoinFleet(fleet.Name, membership.New(fleet.Terms, now, wall, fleet.Kept, s.config.Settings.Node.Seed^fleetSeed))
}

// ahead sets the wall clock off, for tests of clocks that disagree.
type ahead struct {
	Clock
	by int64
}

func (a ahead) Now() (monotonic, unix int64) {
	monotonic, unix = a.Clock.Now()
	return monotonic, unix + a.by
}

// run opens the fleet's sockets and starts what they need.
func (p *peering) run() error {
	s := p.s
	bind, err := net.ResolveUDPAddr("udp", p.fleet.Bind)
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
	if p.tcp, err = net.Listen("tcp", p.fleet.Bind); err != nil {
		p.udp.Close()
		return fmt.Errorf("fleet: %w", err)
	}
	context.AfterFunc(s.ctx, func() { p.udp.Close(); p.tcp.Close() })
	s.log.Info().Str("fleet", p.fleet.Name).Str("bind", p.fleet.Bind).Str("advertise", p.fleet.Terms.Address).
		Strs("seeds", p.fleet.Terms.Seeds).Msg("peers are heard")
	s.group.Go(func() error { p.read(); return nil })
	s.group.Go(func() error { p.write(); return nil })
	s.group.Go(func() error { p.serve(); return nil })
	return nil
}

// give hands a part of an exchange on if there is room; what peers send never waits, and so never holds up anybody.
func (p *peering) give(in node.Input) bool {
	select {
	case p.swapped <- in:
		return true
	default:
		p.counters.Dropped.Add(1)
		return false
	}
}

// came does so with a datagram.
func (p *peering) came(from string, text []byte) bool {
	select {
	case p.in <- letter{kind: node.PeerDatagramReceived, address: from, bytes: text}:
		return true
	default:
		p.counters.Dropped.Add(1)
		return false
	}
}

// take takes what peers sent and waits for the next step.
func (p *peering) take(inputs []node.Input) []node.Input {
	inputs = takeLetters(takeAll(inputs, p.swapped, exchangesWait), p.in, peeredAStep)
	return takeLetters(inputs, p.streams.told, toldAStep)
}

// takeLetters takes what waits, up to so many.
func takeLetters(inputs []node.Input, from chan letter, most int) []node.Input {
	for range most {
		select {
		case l := <-from:
			inputs = append(inputs, l.input())
		default:
			return inputs
		}
	}
	return inputs
}

// read takes datagrams, each sender at its pace. Guards against a peer that floods; does harm to senders behind one
// address, which share a pace.
func (p *peering) read() {
	paces := make(map[netip.Addr]*rate.Limiter)
	space := make([]byte, envelope.DatagramMost+1)
	for {
		n, from, err := p.udp.ReadFromUDPAddrPort(space)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			p.s.limited.Warn().Err(err).Msg("no datagram could be read")
			time.Sleep(acceptAgain)
			continue
		}
		pace := paces[from.Addr()]
		if pace == nil {
			if len(paces) >= sourcesMost {
				clear(paces)
			}
			pace = rate.NewLimiter(sourceRate, sourceBurst)
			paces[from.Addr()] = pace
		}
		if !pace.Allow() {
			p.counters.Flooded.Add(1)
			p.s.limited.Warn().Stringer("from", from).Msg("peer floods, its datagrams are dropped")
			continue
		}
		if n > envelope.DatagramMost {
			n = 0 // told as one that is too short
		}
		p.came(from.String(), append([]byte(nil), space[:n]...))
	}
}

// send takes a datagram that is to be sent, if there is room.
func (p *peering) send(e *node.Effect) {
	select {
	case p.out <- letter{address: e.Address, bytes: e.Bytes}:
	default:
		p.counters.Dropped.Add(1)
	}
}

func (p *peering) write() {
	for {
		select {
		case l := <-p.out:
			p.post(&l)
		case <-p.s.ctx.Done():
			return
		}
	}
}

func (p *peering) post(l *letter) {
	to, err := netip.ParseAddrPort(l.address)
	if err == nil {
		_, err = p.udp.WriteToUDPAddrPort(l.bytes, to)
	}
	if err != nil && !errors.Is(err, net.ErrClosed) {
		p.s.limited.Debug().Err(err).Msg("datagram could not be sent")
	}
}

// flush sends what waits; the node ends after it.
func (p *peering) flush() {
	for {
		select {
		case l := <-p.out:
			p.post(&l)
		default:
			return
		}
	}
}

// serve takes exchanges that peers open.
func (p *peering) serve() {
	places := make(chan struct{}, servedMost)
	for {
		conn, err := p.tcp.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			p.s.limited.Warn().Err(err).Msg("no exchange could be accepted")
			time.Sleep(acceptAgain)
			continue
		}
		select {
		case places <- struct{}{}:
			p.s.group.Go(func() error {
				free := sync.OnceFunc(func() { <-places })
				defer func() { conn.Close(); free() }()
				p.exchange(p.wired(conn, ""), free)
				return nil
			})
		default:
			p.counters.Refused.Add(1)
			conn.Close()
		}
	}
}

func (p *peering) exchange(conn net.Conn, place func()) {
	conn.SetDeadline(time.Now().Add(exchangeWait))
	var head [4]byte
	_, err := io.ReadFull(conn, head[:])
	if err == nil && binary.LittleEndian.Uint32(head[:]) == streamMark {
		conn.SetDeadline(time.Time{})
		place()
		if p.fleet.Council != nil {
			p.streams.accept(conn)
		}
		return
	}
	var text []byte
	if err == nil {
		text, err = readLetter(io.MultiReader(bytes.NewReader(head[:]), conn))
	}
	if err != nil {
		p.s.limited.Debug().Err(err).Msg("exchange of a peer ended early")
		return
	}
	answer := make(chan []byte, 1)
	p.mu.Lock()
	p.next++
	number := p.next
	p.served[number] = answer
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		delete(p.served, number)
		p.mu.Unlock()
	}()
	if !p.give(node.Input{Kind: node.PeerRequestReceived, Link: number, From: conn.RemoteAddr().String(), Bytes: text}) {
		return
	}
	select {
	case b := <-answer:
		if len(b) > 0 {
			_ = writeLetter(conn, b) // the peer sees that no response came
		}
	case <-time.After(exchangeWait):
	case <-p.s.ctx.Done():
	}
}

func (p *peering) reply(e *node.Effect) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if answer := p.served[e.Link]; answer != nil {
		delete(p.served, e.Link)
		answer <- e.Bytes
	}
}

// open carries an exchange of ours out. It is dialled from the address that peers know, so that they can tell who
// asks.
func (p *peering) open(e *node.Effect) {
	link, address, text := e.Link, e.Address, e.Bytes
	select {
	case p.opened <- struct{}{}:
	default:
		p.give(node.Input{Kind: node.PeerExchangeFailed, Link: link, Err: errBusy})
		return
	}
	p.s.group.Go(func() error {
		defer func() { <-p.opened }()
		answer, err := swap(p.s.ctx, p.fleet.Bind, address, text, p.wired)
		if err != nil {
			p.give(node.Input{Kind: node.PeerExchangeFailed, Link: link, Err: err})
		} else {
			p.give(node.Input{Kind: node.PeerResponseReceived, Link: link, From: address, Bytes: answer})
		}
		return nil
	})
}

// Swap opens an exchange with a node: one letter there, one back. From is the local address it is dialled from, empty
// for any.
func Swap(ctx context.Context, from, to string, text []byte) ([]byte, error) {
	return swap(ctx, from, to, text, func(conn net.Conn, _ string) net.Conn { return conn })
}

func swap(ctx context.Context, from, to string, text []byte, wired func(conn net.Conn, to string) net.Conn) ([]byte, error) {
	ctx, end := context.WithTimeout(ctx, exchangeWait)
	defer end()
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
	conn = wired(conn, to)
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	if err := writeLetter(conn, text); err != nil {
		return nil, err
	}
	return readLetter(conn)
}

func writeLetter(to io.Writer, text []byte) error {
	_, err := to.Write(append(binary.LittleEndian.AppendUint32(nil, uint32(len(text))), text...))
	return err
}

// readLetter reads a length and so many bytes; memory grows with what really comes, not with what is said.
func readLetter(from io.Reader) ([]byte, error) {
	var head [4]byte
	if _, err := io.ReadFull(from, head[:]); err != nil {
		return nil, err
	}
	length := binary.LittleEndian.Uint32(head[:])
	if length < envelope.Head || length > envelope.ExchangeMost {
		return nil, fmt.Errorf("a length of %d, %d to %d may be", length, envelope.Head, envelope.ExchangeMost)
	}
	text, err := io.ReadAll(io.LimitReader(from, int64(length)))
	if err == nil && len(text) < int(length) {
		err = io.ErrUnexpectedEOF
	}
	return text, err
}

// peerCounts is what the last line of a node tells of its fleet, nil outside one.
func (s *Server) peerCounts() map[string]any {
	if s.peers == nil {
		return nil
	}
	c := &s.peers.counters
	return map[string]any{"members": s.state.Members().Counters, "letters": s.state.PeerMessageCounters(), "dropped": c.Dropped.Load(),
		"flooded": c.Flooded.Load(), "refused": c.Refused.Load()}
}

// viewChanged logs a change of the view; membership bounds how often it can come.
func (s *Server) viewChanged(c *membership.Change) {
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
