package server

import (
	"context"
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
)

// streamMagic begins a stream in the place of the length that begins an exchange. It is larger than any such length.
const streamMagic = 0x72747374

const (
	maxQueuedStreamMessages    = 512     // more are dropped, and sent again
	maxStreamPendingBytes      = 8 << 20 // of the queued messages
	maxStreamMessagesPerSecond = 4_000   // received on one stream, as a busy replica sends; more wait
	maxStreamMessageBurst      = 1_000

	streamIdleTimeout  = 60 * time.Second
	streamReadTimeout  = 2 * time.Second       // for the rest of a message, once its length is read
	streamWriteTimeout = 2 * time.Second       // for a message
	streamTimePerByte  = 100 * time.Nanosecond // added to both: 10 MB/s
)

var errInvalidStream = errors.New("stream: it can't be read any further")

// stream is one connection of streams, with a queue of messages to send.
type stream struct {
	number      int
	address     string // that this node opened it to; empty for one that it accepted
	outgoing    chan []byte
	stopped     chan struct{}
	stopOnce    sync.Once
	lastActive  atomic.Int64 // Unix ns of the last message in either direction, at first of the start
	receivedAny atomic.Bool

	mu          sync.Mutex
	queuedBytes int
}

func newStream(number int, address string) *stream {
	s := &stream{
		number:   number,
		address:  address,
		outgoing: make(chan []byte, maxQueuedStreamMessages),
		stopped:  make(chan struct{}),
	}
	s.lastActive.Store(time.Now().UnixNano())
	return s
}

// stop makes the writer end, which closes the connection.
func (s *stream) stop() { s.stopOnce.Do(func() { close(s.stopped) }) }

// enqueue queues a message; false means that there is no capacity for it.
func (s *stream) enqueue(b []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.queuedBytes > 0 && s.queuedBytes+len(b) > maxStreamPendingBytes {
		return false
	}
	select {
	case s.outgoing <- b:
		s.queuedBytes += len(b)
		return true
	default:
		return false
	}
}

// write writes queued messages until the stream is stopped or idle.
func (s *stream) write(ctx context.Context, conn net.Conn) {
	idle := time.NewTimer(streamIdleTimeout)
	defer idle.Stop()
	var buffer []byte
	for {
		select {
		case b := <-s.outgoing:
			s.dequeued(len(b))
			idle.Reset(streamIdleTimeout)
			s.lastActive.Store(time.Now().UnixNano())
			buffer = binary.LittleEndian.AppendUint32(buffer[:0], uint32(len(b)))
			buffer = append(buffer, b...)
			conn.SetWriteDeadline(time.Now().Add(streamWriteTimeout + time.Duration(len(b))*streamTimePerByte))
			if _, err := conn.Write(buffer); err != nil {
				return
			}
			if cap(buffer) > envelope.MaxExchangeBytes {
				buffer = nil
			}
		case <-idle.C:
			return
		case <-s.stopped:
			return
		case <-ctx.Done():
			return
		}
	}
}

func (s *stream) dequeued(bytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queuedBytes -= bytes
}

// newStreamLimiter bounds the rate of messages received on a stream.
func newStreamLimiter() *rate.Limiter {
	return rate.NewLimiter(maxStreamMessagesPerSecond, maxStreamMessageBurst)
}

// readStreamMessage reads a length and a message; its buffer grows with what arrives, whatever the length says.
func readStreamMessage(conn net.Conn) ([]byte, error) {
	conn.SetReadDeadline(time.Now().Add(2 * streamIdleTimeout))
	var header [4]byte
	if _, err := io.ReadFull(conn, header[:]); err != nil {
		return nil, err
	}
	length := binary.LittleEndian.Uint32(header[:])
	if length < envelope.HeaderBytes || length > envelope.MaxStreamBytes {
		return nil, fmt.Errorf("%w: a length of %d, %d to %d may be", errInvalidStream, length, envelope.HeaderBytes, envelope.MaxStreamBytes)
	}
	conn.SetReadDeadline(time.Now().Add(streamReadTimeout + time.Duration(length)*streamTimePerByte))
	return readPayload(conn, length)
}
