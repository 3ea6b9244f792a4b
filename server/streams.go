package server

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"topazpost/internal/fleet/envelope"
	"topazpost/internal/node"
)

const (
	streamMagic                = 0x72747374             // in the place of a length, at the start of a stream: larger than any exchange
	maxReplicaStreams          = 1_500                  // streams of a node with a seat in the council at the most: all nodes may ask one seat
	maxNodeStreams             = 12                     // of another node: the seats, and some that it talks to no more
	maxQueuedStreamMessages    = 512                    // letters that may wait on a stream; more are dropped, and sent again
	maxQueuedReceivedMessages  = 512                    // letters that may wait for the reducer; then their streams wait
	maxReceivedMessagesPerStep = 128                    // of them taken in one step
	streamIdleTimeout          = 60 * time.Second       // without a letter in either direction, then a stream is closed
	streamWriteTimeout         = 2 * time.Second        // for one letter to be written
	streamReadTimeout          = 2 * time.Second        // for the rest of a letter, once its length is read
	streamTimePerByte          = 100 * time.Nanosecond  // for each byte of it beside that: 10 MB/s
	streamDialTimeout          = time.Second            // for a stream to be opened
	streamBackoff              = 100 * time.Millisecond // between tries at one address; doubled while streams to it end before a letter came
	maxStreamBackoffFactor     = 32                     // times it at the most: a seat that has no room is not asked by a herd all the time
	minEvictionIdleTime        = 250 * time.Millisecond // without a letter, past which an accepted stream makes room for another; seats speak more often
	maxStreamMessagesPerSecond = 4_000                  // letters a second that are taken from one stream: a seat that is busy says as many; the rest waits
	maxStreamMessageBurst      = 1_000                  // of them at once
	maxStreamPendingBytes      = 8 << 20                // bytes that may wait on a stream
)

var errInvalidStream = errors.New("the stream can't be read any further")

// streams are connections on which peers send letters without being asked: those that this node opened and those that
// it accepted, alike. Both directions of one are used.
type streams struct {
	fleet    *fleetSockets
	received chan peerMessage
	maxOpen  int

	mu         sync.Mutex
	lastNumber int
	byNumber   map[int]*stream
	byAddress  map[string]*stream
	failures   map[string]dialFailure
}

// dialFailure is that of an address to which a stream could not be opened, or ended before a letter came.
type dialFailure struct {
	at      time.Time
	backoff time.Duration // until the next try
}

type stream struct {
	number      int
	address     string // where it was opened to, empty for one that was accepted
	outgoing    chan []byte
	stopped     chan struct{}
	stopOnce    sync.Once
	lastActive  atomic.Int64 // Unix ns of its last letter in either direction, of its start before one came
	receivedAny atomic.Bool  // one came

	mu          sync.Mutex
	queuedBytes int // bytes
}

func newStreams(fleet *fleetSockets, maxOpen int) *streams {
	return &streams{fleet: fleet, received: make(chan peerMessage, maxQueuedReceivedMessages), maxOpen: maxOpen, byNumber: map[int]*stream{}, byAddress: map[string]*stream{},
		failures: map[string]dialFailure{}}
}

// add takes a stream on, if there is room.
func (s *streams) add(address string) *stream {
	if len(s.byNumber) >= s.maxOpen {
		return nil
	}
	s.lastNumber++
	x := &stream{number: s.lastNumber, address: address, outgoing: make(chan []byte, maxQueuedStreamMessages), stopped: make(chan struct{})}
	x.lastActive.Store(time.Now().UnixNano())
	s.byNumber[x.number] = x
	if address != "" {
		s.byAddress[address] = x
	}
	return x
}

// evictIdle ends the accepted stream that was silent longest, where none is left and that one is spare. Guards against many idle
// nodes that hold all streams of a seat, so that other nodes, and other seats, find none; does harm to one that is idle: it
// opens another when it has something to say. mu is held.
func (s *streams) evictIdle() {
	if len(s.byNumber) < s.maxOpen {
		return
	}
	var oldest *stream
	for _, x := range s.byNumber {
		if x.address == "" && (oldest == nil || x.lastActive.Load() < oldest.lastActive.Load()) {
			oldest = x
		}
	}
	if oldest != nil && time.Now().UnixNano()-oldest.lastActive.Load() > int64(minEvictionIdleTime) {
		delete(s.byNumber, oldest.number)
		oldest.stop()
	}
}

// recordFailure notes that a stream to an address came to nothing. With refused it was opened, and ended before a letter came: then
// the next tries are further and further apart. mu is held.
func (s *streams) recordFailure(address string, closedEarly bool) {
	if len(s.failures) > 4*s.maxOpen {
		clear(s.failures)
	}
	f := dialFailure{time.Now(), streamBackoff}
	if closedEarly {
		f.backoff = min(max(streamBackoff, 2*s.failures[address].backoff), maxStreamBackoffFactor*streamBackoff)
	}
	s.failures[address] = f
}

func (s *streams) remove(x *stream) {
	s.mu.Lock()
	delete(s.byNumber, x.number)
	if s.byAddress[x.address] == x {
		delete(s.byAddress, x.address)
	}
	s.mu.Unlock()
	x.stop()
	s.deliver(peerMessage{kind: node.PeerStreamClosed, link: x.number})
}

func (x *stream) stop() { x.stopOnce.Do(func() { close(x.stopped) }) }

func (s *streams) deliver(l peerMessage) bool {
	select {
	case s.received <- l:
		return true
	case <-s.fleet.server.ctx.Done():
		return false
	}
}

// send carries out PeerStream: never waits, drops what there is no room for.
func (s *streams) send(e *node.Effect) {
	s.mu.Lock()
	x := s.byNumber[e.Link]
	if x == nil && e.Address != "" {
		if x = s.byAddress[e.Address]; x == nil && time.Since(s.failures[e.Address].at) >= s.failures[e.Address].backoff {
			s.evictIdle()
			if x = s.add(e.Address); x != nil {
				s.fleet.server.group.Go(func() error { s.open(x); return nil })
			}
		}
	}
	s.mu.Unlock()
	if x == nil || !x.enqueue(e.Bytes) {
		s.fleet.counters.Dropped.Add(1)
	}
}

func (x *stream) enqueue(b []byte) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.queuedBytes+len(b) > maxStreamPendingBytes && x.queuedBytes > 0 {
		return false
	}
	select {
	case x.outgoing <- b:
		x.queuedBytes += len(b)
		return true
	default:
		return false
	}
}

// close carries out PeerHangUp.
func (s *streams) close(number int) {
	s.mu.Lock()
	x := s.byNumber[number]
	s.mu.Unlock()
	if x != nil {
		x.stop()
	}
}

func (s *streams) open(x *stream) {
	defer s.remove(x)
	dialer := net.Dialer{Timeout: streamDialTimeout}
	if host, _, err := net.SplitHostPort(s.fleet.config.Bind); err == nil {
		if ip := net.ParseIP(host); ip != nil && !ip.IsUnspecified() {
			dialer.LocalAddr = &net.TCPAddr{IP: ip} // so that peers can tell who it is
		}
	}
	conn, err := dialer.DialContext(s.fleet.server.ctx, "tcp", x.address)
	if err == nil {
		conn = s.fleet.wrapConn(conn, x.address)
		_, err = conn.Write(binary.LittleEndian.AppendUint32(nil, streamMagic))
	}
	if err != nil {
		s.mu.Lock()
		s.recordFailure(x.address, false)
		s.mu.Unlock()
		s.fleet.server.limitedLog.Debug().Err(err).Str("to", x.address).Msg("stream to a peer could not be opened")
		return
	}
	s.run(x, conn)
	s.mu.Lock()
	defer s.mu.Unlock()
	if x.receivedAny.Load() {
		delete(s.failures, x.address)
	} else {
		s.recordFailure(x.address, true)
	}
}

// accept goes on with a connection that a peer opened as a stream.
func (s *streams) accept(conn net.Conn) {
	s.mu.Lock()
	s.evictIdle()
	x := s.add("")
	s.mu.Unlock()
	if x == nil {
		s.fleet.counters.Refused.Add(1)
		return
	}
	defer s.remove(x)
	s.run(x, conn)
}

// run writes what waits and hands on what comes, until one of them ends.
func (s *streams) run(x *stream, conn net.Conn) {
	defer conn.Close()
	done := make(chan struct{})
	s.fleet.server.group.Go(func() error {
		defer close(done)
		defer conn.Close()
		s.write(x, conn)
		return nil
	})
	if err := s.read(x, conn); err != nil && !errors.Is(err, io.EOF) && !errors.Is(err, net.ErrClosed) {
		s.fleet.server.limitedLog.Debug().Err(err).Stringer("peer", conn.RemoteAddr()).Msg("stream of a peer ended")
	}
	x.stop()
	<-done
}

func (s *streams) write(x *stream, conn net.Conn) {
	idle := time.NewTimer(streamIdleTimeout)
	defer idle.Stop()
	var buffer []byte
	for {
		select {
		case b := <-x.outgoing:
			x.mu.Lock()
			x.queuedBytes -= len(b)
			x.mu.Unlock()
			idle.Reset(streamIdleTimeout)
			x.lastActive.Store(time.Now().UnixNano())
			conn.SetWriteDeadline(time.Now().Add(streamWriteTimeout + time.Duration(len(b))*streamTimePerByte))
			buffer = append(binary.LittleEndian.AppendUint32(buffer[:0], uint32(len(b))), b...)
			if _, err := conn.Write(buffer); err != nil {
				return
			}
			if cap(buffer) > envelope.ExchangeMost {
				buffer = nil
			}
		case <-idle.C:
			return
		case <-x.stopped:
			return
		case <-s.fleet.server.ctx.Done():
			return
		}
	}
}

// read hands letters on, each stream at its pace. Guards against a peer that floods; does harm where a seat of a very busy
// council is slowed by it.
func (s *streams) read(x *stream, conn net.Conn) error {
	var header [4]byte
	limiter := rate.NewLimiter(maxStreamMessagesPerSecond, maxStreamMessageBurst)
	for {
		if err := limiter.Wait(s.fleet.server.ctx); err != nil {
			return net.ErrClosed
		}
		conn.SetReadDeadline(time.Now().Add(2 * streamIdleTimeout))
		if _, err := io.ReadFull(conn, header[:]); err != nil {
			return err
		}
		length := binary.LittleEndian.Uint32(header[:])
		if length < envelope.Head || length > envelope.StreamMost {
			return fmt.Errorf("%w: a length of %d, %d to %d may be", errInvalidStream, length, envelope.Head, envelope.StreamMost)
		}
		conn.SetReadDeadline(time.Now().Add(streamReadTimeout + time.Duration(length)*streamTimePerByte))
		payload, err := io.ReadAll(io.LimitReader(conn, int64(length))) // memory grows with what really comes
		if err == nil && len(payload) < int(length) {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return err
		}
		x.lastActive.Store(time.Now().UnixNano())
		x.receivedAny.Store(true)
		if !s.deliver(peerMessage{kind: node.PeerMessageReceived, link: x.number, address: conn.RemoteAddr().String(), payload: payload}) {
			return net.ErrClosed
		}
	}
}
