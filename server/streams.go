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
	streamMark    = 0x72747374             // in the place of a length, at the start of a stream: larger than any exchange
	streamsSeat   = 1_500                  // streams of a node with a seat in the council at the most: all nodes may ask one seat
	streamsOther  = 12                     // of another node: the seats, and some that it talks to no more
	lettersMost   = 512                    // letters that may wait on a stream; more are dropped, and sent again
	toldWaiting   = 512                    // letters that may wait for the reducer; then their streams wait
	toldAStep     = 128                    // of them taken in one step
	streamIdle    = 60 * time.Second       // without a letter in either direction, then a stream is closed
	streamWrite   = 2 * time.Second        // for one letter to be written
	streamRest    = 2 * time.Second        // for the rest of a letter, once its length is read
	streamPace    = 100 * time.Nanosecond  // for each byte of it beside that: 10 MB/s
	streamDial    = time.Second            // for a stream to be opened
	streamAgain   = 100 * time.Millisecond // between tries at one address; doubled while streams to it end before a letter came
	streamAgainAt = 32                     // times it at the most: a seat that has no room is not asked by a herd all the time
	streamSpare   = 250 * time.Millisecond // without a letter, past which an accepted stream makes room for another; seats speak more often
	streamRate    = 4_000                  // letters a second that are taken from one stream: a seat that is busy says as many; the rest waits
	streamBurst   = 1_000                  // of them at once
	pendingLetter = 8 << 20                // bytes that may wait on a stream
)

var errStream = errors.New("the stream can't be read any further")

// streams are connections on which peers send letters without being asked: those that this node opened and those that
// it accepted, alike. Both directions of one are used.
type streams struct {
	p    *peering
	told chan letter
	most int

	mu        sync.Mutex
	last      int
	byNumber  map[int]*stream
	byAddress map[string]*stream
	failed    map[string]failure
}

// failure is that of an address to which a stream could not be opened, or ended before a letter came.
type failure struct {
	at   time.Time
	wait time.Duration // until the next try
}

type stream struct {
	number  int
	address string // where it was opened to, empty for one that was accepted
	out     chan []byte
	stop    chan struct{}
	once    sync.Once
	heard   atomic.Int64 // Unix ns of its last letter in either direction, of its start before one came
	letters atomic.Bool  // one came

	mu      sync.Mutex
	waiting int // bytes
}

func newStreams(p *peering, most int) *streams {
	return &streams{p: p, told: make(chan letter, toldWaiting), most: most, byNumber: map[int]*stream{}, byAddress: map[string]*stream{},
		failed: map[string]failure{}}
}

// add takes a stream on, if there is room.
func (s *streams) add(address string) *stream {
	if len(s.byNumber) >= s.most {
		return nil
	}
	s.last++
	x := &stream{number: s.last, address: address, out: make(chan []byte, lettersMost), stop: make(chan struct{})}
	x.heard.Store(time.Now().UnixNano())
	s.byNumber[x.number] = x
	if address != "" {
		s.byAddress[address] = x
	}
	return x
}

// makeRoom ends the accepted stream that was silent longest, where none is left and that one is spare. Guards against many idle
// nodes that hold all streams of a seat, so that other nodes, and other seats, find none; does harm to one that is idle: it
// opens another when it has something to say. mu is held.
func (s *streams) makeRoom() {
	if len(s.byNumber) < s.most {
		return
	}
	var oldest *stream
	for _, x := range s.byNumber {
		if x.address == "" && (oldest == nil || x.heard.Load() < oldest.heard.Load()) {
			oldest = x
		}
	}
	if oldest != nil && time.Now().UnixNano()-oldest.heard.Load() > int64(streamSpare) {
		delete(s.byNumber, oldest.number)
		oldest.end()
	}
}

// missed notes that a stream to an address came to nothing. With refused it was opened, and ended before a letter came: then
// the next tries are further and further apart. mu is held.
func (s *streams) missed(address string, refused bool) {
	if len(s.failed) > 4*s.most {
		clear(s.failed)
	}
	f := failure{time.Now(), streamAgain}
	if refused {
		f.wait = min(max(streamAgain, 2*s.failed[address].wait), streamAgainAt*streamAgain)
	}
	s.failed[address] = f
}

func (s *streams) drop(x *stream) {
	s.mu.Lock()
	delete(s.byNumber, x.number)
	if s.byAddress[x.address] == x {
		delete(s.byAddress, x.address)
	}
	s.mu.Unlock()
	x.end()
	s.hand(letter{kind: node.PeerStreamClosed, link: x.number})
}

func (x *stream) end() { x.once.Do(func() { close(x.stop) }) }

func (s *streams) hand(l letter) bool {
	select {
	case s.told <- l:
		return true
	case <-s.p.s.ctx.Done():
		return false
	}
}

// send carries out PeerStream: never waits, drops what there is no room for.
func (s *streams) send(e *node.Effect) {
	s.mu.Lock()
	x := s.byNumber[e.Link]
	if x == nil && e.Address != "" {
		if x = s.byAddress[e.Address]; x == nil && time.Since(s.failed[e.Address].at) >= s.failed[e.Address].wait {
			s.makeRoom()
			if x = s.add(e.Address); x != nil {
				s.p.s.group.Go(func() error { s.open(x); return nil })
			}
		}
	}
	s.mu.Unlock()
	if x == nil || !x.take(e.Bytes) {
		s.p.counters.Dropped.Add(1)
	}
}

func (x *stream) take(b []byte) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.waiting+len(b) > pendingLetter && x.waiting > 0 {
		return false
	}
	select {
	case x.out <- b:
		x.waiting += len(b)
		return true
	default:
		return false
	}
}

// disconnect carries out PeerHangUp.
func (s *streams) disconnect(number int) {
	s.mu.Lock()
	x := s.byNumber[number]
	s.mu.Unlock()
	if x != nil {
		x.end()
	}
}

func (s *streams) open(x *stream) {
	defer s.drop(x)
	dialer := net.Dialer{Timeout: streamDial}
	if host, _, err := net.SplitHostPort(s.p.fleet.Bind); err == nil {
		if ip := net.ParseIP(host); ip != nil && !ip.IsUnspecified() {
			dialer.LocalAddr = &net.TCPAddr{IP: ip} // so that peers can tell who it is
		}
	}
	conn, err := dialer.DialContext(s.p.s.ctx, "tcp", x.address)
	if err == nil {
		conn = s.p.wired(conn, x.address)
		_, err = conn.Write(binary.LittleEndian.AppendUint32(nil, streamMark))
	}
	if err != nil {
		s.mu.Lock()
		s.missed(x.address, false)
		s.mu.Unlock()
		s.p.s.limited.Debug().Err(err).Str("to", x.address).Msg("stream to a peer could not be opened")
		return
	}
	s.carry(x, conn)
	s.mu.Lock()
	defer s.mu.Unlock()
	if x.letters.Load() {
		delete(s.failed, x.address)
	} else {
		s.missed(x.address, true)
	}
}

// accept goes on with a connection that a peer opened as a stream.
func (s *streams) accept(conn net.Conn) {
	s.mu.Lock()
	s.makeRoom()
	x := s.add("")
	s.mu.Unlock()
	if x == nil {
		s.p.counters.Refused.Add(1)
		return
	}
	defer s.drop(x)
	s.carry(x, conn)
}

// carry writes what waits and hands on what comes, until one of them ends.
func (s *streams) carry(x *stream, conn net.Conn) {
	defer conn.Close()
	done := make(chan struct{})
	s.p.s.group.Go(func() error {
		defer close(done)
		defer conn.Close()
		s.write(x, conn)
		return nil
	})
	if err := s.read(x, conn); err != nil && !errors.Is(err, io.EOF) && !errors.Is(err, net.ErrClosed) {
		s.p.s.limited.Debug().Err(err).Stringer("peer", conn.RemoteAddr()).Msg("stream of a peer ended")
	}
	x.end()
	<-done
}

func (s *streams) write(x *stream, conn net.Conn) {
	idle := time.NewTimer(streamIdle)
	defer idle.Stop()
	var space []byte
	for {
		select {
		case b := <-x.out:
			x.mu.Lock()
			x.waiting -= len(b)
			x.mu.Unlock()
			idle.Reset(streamIdle)
			x.heard.Store(time.Now().UnixNano())
			conn.SetWriteDeadline(time.Now().Add(streamWrite + time.Duration(len(b))*streamPace))
			space = append(binary.LittleEndian.AppendUint32(space[:0], uint32(len(b))), b...)
			if _, err := conn.Write(space); err != nil {
				return
			}
			if cap(space) > envelope.ExchangeMost {
				space = nil
			}
		case <-idle.C:
			return
		case <-x.stop:
			return
		case <-s.p.s.ctx.Done():
			return
		}
	}
}

// read hands letters on, each stream at its pace. Guards against a peer that floods; does harm where a seat of a very busy
// council is slowed by it.
func (s *streams) read(x *stream, conn net.Conn) error {
	var head [4]byte
	pace := rate.NewLimiter(streamRate, streamBurst)
	for {
		if err := pace.Wait(s.p.s.ctx); err != nil {
			return net.ErrClosed
		}
		conn.SetReadDeadline(time.Now().Add(2 * streamIdle))
		if _, err := io.ReadFull(conn, head[:]); err != nil {
			return err
		}
		length := binary.LittleEndian.Uint32(head[:])
		if length < envelope.Head || length > envelope.StreamMost {
			return fmt.Errorf("%w: a length of %d, %d to %d may be", errStream, length, envelope.Head, envelope.StreamMost)
		}
		conn.SetReadDeadline(time.Now().Add(streamRest + time.Duration(length)*streamPace))
		text, err := io.ReadAll(io.LimitReader(conn, int64(length))) // memory grows with what really comes
		if err == nil && len(text) < int(length) {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return err
		}
		x.heard.Store(time.Now().UnixNano())
		x.letters.Store(true)
		if !s.hand(letter{kind: node.PeerMessageReceived, link: x.number, address: conn.RemoteAddr().String(), bytes: text}) {
			return net.ErrClosed
		}
	}
}
