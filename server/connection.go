package server

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	maxQueuedFrames = 64                     // of one connection: twice its streams
	writeTimeout    = 20 * time.Second       // longer than any pause of a peer
	lingerTimeout   = 300 * time.Millisecond // for the peer to close after this side, so that a reset destroys no answer
)

// expiredDeadline is a deadline that wakes a reader at once.
var expiredDeadline = time.Unix(1, 0)

// socket is the part of a TCP connection that is used.
type socket interface {
	net.Conn
	CloseWrite() error
}

// connection is a dispatcher's connection. It has a reader, and a writer that is started when there is something to write
// and sends all that is pending with one call.
type connection struct {
	link         int
	conn         socket
	discarding   atomic.Bool   // frames are no longer passed on
	queuedFrames chan struct{} // one for each frame that the state machine has not taken yet

	mu          sync.Mutex
	pending     []byte
	spare       []byte // the buffer of the last write
	writing     bool
	closing     bool // to be closed once all is written and read and no frame is queued
	noLinger    bool // to be closed without waiting for the peer to close
	writeClosed bool
	released    bool
}

// setReadDeadline bounds the next read.
func (k *connection) setReadDeadline(at time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.conn.SetReadDeadline(at)
}

// clearReadDeadline lets the reader wait without limit, unless the connection can be closed.
func (k *connection) clearReadDeadline() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.conn.SetReadDeadline(time.Time{})
	k.wakeReader()
}

// closable reports whether this side can be closed, apart from bytes that may lie unread. Queued frames prevent it until the
// state machine has taken them and its effects, ResumeConnection above all, are carried out. The caller holds mu.
func (k *connection) closable() bool {
	return k.closing && !k.writeClosed && !k.released && !k.writing && len(k.pending) == 0 && len(k.queuedFrames) == 0
}

// wakeReader makes the reader check for unread bytes once this side can be closed. The caller holds mu.
func (k *connection) wakeReader() {
	if k.closable() {
		k.conn.SetReadDeadline(expiredDeadline)
	}
}

// evicting reports whether the connection's slot is needed more than the rest of a frame.
func (k *connection) evicting() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.closing && k.noLinger
}

// tryCloseWrite closes this side if it can still be closed. The reader calls it when it has found no unread bytes.
func (k *connection) tryCloseWrite() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.closable() {
		k.conn.SetReadDeadline(time.Time{})
		return false
	}
	k.writeClosed = true
	if !k.noLinger {
		_ = k.conn.CloseWrite() // the reader sees a failed connection
		k.conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	}
	return true
}

// closeAfterFlush marks the connection for closing.
func (k *connection) closeAfterFlush(noLinger bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.closing = true
	k.noLinger = noLinger
	k.wakeReader()
	if noLinger && k.writeClosed {
		k.conn.SetReadDeadline(expiredDeadline)
	}
}

// resume takes closeAfterFlush back.
func (k *connection) resume() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.closing = false
}

// takePending gives the writer the pending bytes, or ends it where there are none.
func (k *connection) takePending() (b []byte, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	b = k.pending
	if len(b) == 0 || k.released {
		// A deadline left set is a runtime timer for each connection, and the runtime scans all of them whenever one that
		// was reset comes due, as that of the event loop does.
		k.conn.SetWriteDeadline(time.Time{})
		k.writing = false
		k.wakeReader()
		return nil, false
	}
	k.pending = k.spare[:0]
	k.spare = nil
	return b, true
}

// write is the connection's writer: it writes until nothing is pending.
func (c *connections) write(k *connection) {
	for {
		b, ok := k.takePending()
		if !ok {
			return
		}
		k.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		_, err := k.conn.Write(b)
		if !c.wrote(k, b, err) {
			return
		}
	}
}

// wrote accounts for a write; after a failed one it drops what is pending and closes the connection.
func (c *connections) wrote(k *connection, b []byte, err error) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.spare = b[:0]
	c.bytes.Add(-int64(len(b)))
	if err == nil {
		return true
	}
	c.bytes.Add(-int64(len(k.pending)))
	k.pending = nil
	k.writing = false
	k.conn.Close()
	return false
}
