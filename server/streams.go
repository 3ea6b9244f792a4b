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
	st := s.streamFor(e.Link, e.Address)
	if st == nil || !st.enqueue(e.Bytes) {
		s.fleet.counters.Dropped.Add(1)
	}
}

// streamFor is the stream with a number, else the one to an address, else a new one; nil where none can be opened.
func (s *streams) streamFor(number int, address string) *stream {
	s.mu.Lock()
	defer s.mu.Unlock()
	if st := s.byNumber[number]; st != nil || address == "" {
		return st
	}
	if st := s.byAddress[address]; st != nil {
		return st
	}
	failure := s.failures[address]
	if time.Since(failure.at) < failure.backoff {
		return nil
	}
	s.evictIdle()
	st := s.add(address)
	if st != nil {
		s.fleet.server.group.Go(func() error { s.open(st); return nil })
	}
	return st
}

// close ends a stream.
func (s *streams) close(number int) {
	s.mu.Lock()
	st := s.byNumber[number]
	s.mu.Unlock()
	if st != nil {
		st.stop()
	}
}

// add adds a stream, or gives nil where too many are open. The caller holds mu.
func (s *streams) add(address string) *stream {
	if len(s.byNumber) >= s.maxOpen {
		return nil
	}
	s.lastNumber++
	st := newStream(s.lastNumber, address)
	s.byNumber[st.number] = st
	if address != "" {
		s.byAddress[address] = st
	}
	return st
}

// evictIdle ends the accepted stream that has been idle longest, where all are open and that one is idle enough. It keeps
// many idle nodes from taking all streams of a replica; an evicted node opens another when it has a message to send. The
// caller holds mu.
func (s *streams) evictIdle() {
	if len(s.byNumber) < s.maxOpen {
		return
	}
	var oldest *stream
	for _, st := range s.byNumber {
		if st.address == "" && (oldest == nil || st.lastActive.Load() < oldest.lastActive.Load()) {
			oldest = st
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
func (s *streams) remove(st *stream) {
	s.mu.Lock()
	delete(s.byNumber, st.number)
	if s.byAddress[st.address] == st {
		delete(s.byAddress, st.address)
	}
	s.mu.Unlock()
	st.stop()
	s.deliver(peerMessage{kind: node.PeerStreamClosed, link: st.number})
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
func (s *streams) open(st *stream) {
	defer s.remove(st)
	conn, err := s.dial(st.address)
	if err != nil {
		s.mu.Lock()
		s.recordFailure(st.address, false)
		s.mu.Unlock()
		s.fleet.server.limitedLog.Debug().Err(err).Str("to", st.address).Msg("stream to a peer could not be opened")
		return
	}
	s.run(st, conn)
	s.mu.Lock()
	defer s.mu.Unlock()
	if st.receivedAny.Load() {
		delete(s.failures, st.address)
	} else {
		s.recordFailure(st.address, true)
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
	st := s.add("")
	s.mu.Unlock()
	if st == nil {
		s.fleet.counters.Refused.Add(1)
		return
	}
	defer s.remove(st)
	s.run(st, conn)
}

// run writes queued messages and delivers received ones until either direction ends; it waits for both.
func (s *streams) run(st *stream, conn net.Conn) {
	defer conn.Close()
	done := make(chan struct{})
	s.fleet.server.group.Go(func() error {
		defer close(done)
		defer conn.Close()
		st.write(s.fleet.server.ctx, conn)
		return nil
	})
	if err := s.read(st, conn); err != nil && !errors.Is(err, io.EOF) && !errors.Is(err, net.ErrClosed) {
		s.fleet.server.limitedLog.Debug().Err(err).Stringer("peer", conn.RemoteAddr()).Msg("stream of a peer ended")
	}
	st.stop()
	<-done
}

// read delivers messages, at a bounded rate for each stream so that a peer that floods is slowed down. A replica of a very
// busy group may be slowed down by it as well.
func (s *streams) read(st *stream, conn net.Conn) error {
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
		st.lastActive.Store(time.Now().UnixNano())
		st.receivedAny.Store(true)
		if !s.deliver(peerMessage{kind: node.PeerMessageReceived, link: st.number, address: from, payload: payload}) {
			return net.ErrClosed
		}
	}
}
