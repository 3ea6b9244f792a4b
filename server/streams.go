package server

import (
	"encoding/binary"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"topazpost/internal/node"
)

const (
	maxReplicaStreams          = 1_500 // of a node that runs a replica: every node may have one open to it
	maxNodeStreams             = 12    // of another node: to the replicas, and some that are no longer used
	maxQueuedReceivedMessages  = 512   // then the streams' readers wait
	maxReceivedMessagesPerStep = 128

	streamDialTimeout      = time.Second
	streamBackoff          = 100 * time.Millisecond // doubled while streams to an address end before a message is received
	maxStreamBackoffFactor = 32                     // bounds the load of many nodes on a replica without free streams
	minEvictionIdleTime    = 250 * time.Millisecond // replicas send more often than that
	failuresPerStream      = 4                      // failed addresses that are remembered, for each stream that may be open
)

// streams are the connections on which peers send messages unasked, in both directions: those that this node opened and
// those that it accepted.
type streams struct {
	fleet    *fleetSockets
	received chan peerMessage
	maxOpen  int

	mu         sync.Mutex
	lastNumber int
	byNumber   map[int]*stream
	byAddress  map[string]*stream // those that this node opened
	failures   map[string]dialFailure
}

// dialFailure is the last failure of an address: a stream to it could not be opened, or ended before a message was received.
type dialFailure struct {
	at      time.Time
	backoff time.Duration // until the next attempt
}

func newStreams(fleet *fleetSockets, maxOpen int) *streams {
	return &streams{
		fleet:     fleet,
		received:  make(chan peerMessage, maxQueuedReceivedMessages),
		maxOpen:   maxOpen,
		byNumber:  map[int]*stream{},
		byAddress: map[string]*stream{},
		failures:  map[string]dialFailure{},
	}
}

// send queues a message on a stream, which is opened where there is none to its address. It never waits: the message is
// dropped where there is no capacity.
func (s *streams) send(e *node.Effect) {
	x := s.streamFor(e.Link, e.Address)
	if x == nil || !x.enqueue(e.Bytes) {
		s.fleet.counters.Dropped.Add(1)
	}
}

// streamFor is the stream with a number, else the one to an address, else a new one; nil where none can be opened.
func (s *streams) streamFor(number int, address string) *stream {
	s.mu.Lock()
	defer s.mu.Unlock()
	if x := s.byNumber[number]; x != nil || address == "" {
		return x
	}
	if x := s.byAddress[address]; x != nil {
		return x
	}
	failure := s.failures[address]
	if time.Since(failure.at) < failure.backoff {
		return nil
	}
	s.evictIdle()
	x := s.add(address)
	if x != nil {
		s.fleet.server.group.Go(func() error { s.open(x); return nil })
	}
	return x
}

// close ends a stream.
func (s *streams) close(number int) {
	s.mu.Lock()
	x := s.byNumber[number]
	s.mu.Unlock()
	if x != nil {
		x.stop()
	}
}

// add adds a stream, or gives nil where too many are open. The caller holds mu.
func (s *streams) add(address string) *stream {
	if len(s.byNumber) >= s.maxOpen {
		return nil
	}
	s.lastNumber++
	x := newStream(s.lastNumber, address)
	s.byNumber[x.number] = x
	if address != "" {
		s.byAddress[address] = x
	}
	return x
}

// evictIdle ends the accepted stream that has been idle longest, where all are open and that one is idle enough. It keeps
// many idle nodes from taking all streams of a replica; an evicted node opens another when it has a message to send. The
// caller holds mu.
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
	if oldest == nil || time.Now().UnixNano()-oldest.lastActive.Load() <= int64(minEvictionIdleTime) {
		return
	}
	delete(s.byNumber, oldest.number)
	oldest.stop()
}

// recordFailure notes a failed attempt at an address. With closedEarly the stream was opened, but ended before a message was
// received; then the backoff grows. The caller holds mu.
func (s *streams) recordFailure(address string, closedEarly bool) {
	if len(s.failures) > failuresPerStream*s.maxOpen {
		clear(s.failures)
	}
	backoff := streamBackoff
	if closedEarly {
		backoff = min(max(streamBackoff, 2*s.failures[address].backoff), maxStreamBackoffFactor*streamBackoff)
	}
	s.failures[address] = dialFailure{at: time.Now(), backoff: backoff}
}

// remove removes a stream that has ended.
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

// deliver queues a message for the state machine; false means that the node has ended.
func (s *streams) deliver(m peerMessage) bool {
	select {
	case s.received <- m:
		return true
	case <-s.fleet.server.ctx.Done():
		return false
	}
}

// open dials a stream's address and runs the stream.
func (s *streams) open(x *stream) {
	defer s.remove(x)
	conn, err := s.dial(x.address)
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

// dial connects to a peer and announces a stream.
func (s *streams) dial(address string) (net.Conn, error) {
	dialer := peerDialer(s.fleet.config.Bind)
	dialer.Timeout = streamDialTimeout
	conn, err := dialer.DialContext(s.fleet.server.ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	conn = s.fleet.wrapConn(conn, address)
	if _, err = conn.Write(binary.LittleEndian.AppendUint32(nil, streamMagic)); err != nil {
		conn.Close()
		return nil, err
	}
	return conn, nil
}

// accept runs a stream on a connection that a peer opened.
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

// run writes queued messages and delivers received ones until either direction ends; it waits for both.
func (s *streams) run(x *stream, conn net.Conn) {
	defer conn.Close()
	done := make(chan struct{})
	s.fleet.server.group.Go(func() error {
		defer close(done)
		defer conn.Close()
		x.write(s.fleet.server.ctx, conn)
		return nil
	})
	if err := s.read(x, conn); err != nil && !errors.Is(err, io.EOF) && !errors.Is(err, net.ErrClosed) {
		s.fleet.server.limitedLog.Debug().Err(err).Stringer("peer", conn.RemoteAddr()).Msg("stream of a peer ended")
	}
	x.stop()
	<-done
}

// read delivers messages, at a bounded rate for each stream so that a peer that floods is slowed down. A replica of a very
// busy group may be slowed down by it as well.
func (s *streams) read(x *stream, conn net.Conn) error {
	limiter := newStreamLimiter()
	from := conn.RemoteAddr().String()
	for {
		if err := limiter.Wait(s.fleet.server.ctx); err != nil {
			return net.ErrClosed
		}
		payload, err := readStreamMessage(conn)
		if err != nil {
			return err
		}
		x.lastActive.Store(time.Now().UnixNano())
		x.receivedAny.Store(true)
		if !s.deliver(peerMessage{kind: node.PeerMessageReceived, link: x.number, address: from, payload: payload}) {
			return net.ErrClosed
		}
	}
}
