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
	socket       socket
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
func (c *connection) setReadDeadline(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.socket.SetReadDeadline(at)
}

// clearReadDeadline lets the reader wait without limit, unless the connection can be closed.
func (c *connection) clearReadDeadline() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.socket.SetReadDeadline(time.Time{})
	c.wakeReader()
}

// closable reports whether this side can be closed, apart from bytes that may lie unread. Queued frames prevent it until the
// state machine has taken them and its effects, ResumeConnection above all, are carried out. The caller holds mu.
func (c *connection) closable() bool {
	return c.closing && !c.writeClosed && !c.released && !c.writing && len(c.pending) == 0 && len(c.queuedFrames) == 0
}

// wakeReader makes the reader check for unread bytes once this side can be closed. The caller holds mu.
func (c *connection) wakeReader() {
	if c.closable() {
		c.socket.SetReadDeadline(expiredDeadline)
	}
}

// evicting reports whether the connection's slot is needed more than the rest of a frame.
func (c *connection) evicting() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing && c.noLinger
}

// tryCloseWrite closes this side if it can still be closed. The reader calls it when it has found no unread bytes.
func (c *connection) tryCloseWrite() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closable() {
		c.socket.SetReadDeadline(time.Time{})
		return false
	}
	c.writeClosed = true
	if !c.noLinger {
		_ = c.socket.CloseWrite() // the reader sees a failed connection
		c.socket.SetReadDeadline(time.Now().Add(lingerTimeout))
	}
	return true
}

// closeAfterFlush marks the connection for closing.
func (c *connection) closeAfterFlush(noLinger bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
	c.noLinger = noLinger
	c.wakeReader()
	if noLinger && c.writeClosed {
		c.socket.SetReadDeadline(expiredDeadline)
	}
}

// resume takes closeAfterFlush back.
func (c *connection) resume() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = false
}

// takePending gives the writer the pending bytes, or ends it where there are none.
func (c *connection) takePending() (b []byte, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	b = c.pending
	if len(b) == 0 || c.released {
		// A deadline left set is a runtime timer for each connection, and the runtime scans all of them whenever one that
		// was reset comes due, as that of the event loop does.
		c.socket.SetWriteDeadline(time.Time{})
		c.writing = false
		c.wakeReader()
		return nil, false
	}
	c.pending = c.spare[:0]
	c.spare = nil
	return b, true
}

// write is the connection's writer: it writes until nothing is pending.
func (c *connections) write(conn *connection) {
	for {
		b, ok := conn.takePending()
		if !ok {
			return
		}
		conn.socket.SetWriteDeadline(time.Now().Add(writeTimeout))
		_, err := conn.socket.Write(b)
		if !c.wrote(conn, b, err) {
			return
		}
	}
}

// wrote accounts for a write; after a failed one it drops what is pending and closes the connection.
func (c *connections) wrote(conn *connection, b []byte, err error) bool {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	conn.spare = b[:0]
	c.bytes.Add(-int64(len(b)))
	if err == nil {
		return true
	}
	c.bytes.Add(-int64(len(conn.pending)))
	conn.pending = nil
	conn.writing = false
	conn.socket.Close()
	return false
}
