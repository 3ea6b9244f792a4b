package server

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// expiredDeadline as a deadline wakes a reader at once.
var expiredDeadline = time.Unix(1, 0)

// socket is what is used of a TCP connection.
type socket interface {
	net.Conn
	CloseWrite() error
}

// connection is one from a dispatcher: a reader, and a writer that is started when there is something to
// write and sends all that waits with one call.
type connection struct {
	link int
	conn socket

	mu           sync.Mutex
	pending      []byte
	spare        []byte // the buffer that was last written
	writing      bool
	closing      bool // it is to end: once all is written, no frame waits and nothing lies unread
	noLinger     bool // without time for the peer's end
	dead         bool // nothing that comes on it is handed on any more
	writeClosed  bool // this side of it is closed
	released     bool
	discarding   atomic.Bool
	queuedFrames chan struct{} // one for each of its frames that wait for the reducer
}

// setReadDeadline is when the next read is to end at the latest.
func (k *connection) setReadDeadline(at time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.conn.SetReadDeadline(at)
}

// clearReadDeadline lets the reader wait without end, but for a connection that can end.
func (k *connection) clearReadDeadline() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.conn.SetReadDeadline(time.Time{})
	k.wakeReader()
}

// closable says whether this side can be closed as far as what was read and written goes. Frames that wait for the reducer
// count until it has taken them: what it wants to be done for them, Resume above all, is done by then. mu is held.
func (k *connection) closable() bool {
	return k.closing && !k.writeClosed && !k.released && !k.writing && len(k.pending) == 0 && len(k.queuedFrames) == 0
}

// wakeReader has the reader look whether something lies unread, once this side can be closed. mu is held.
func (k *connection) wakeReader() {
	if k.closable() {
		k.conn.SetReadDeadline(expiredDeadline)
	}
}

// evicting says whether the place of a connection is wanted more than the rest of a frame.
func (k *connection) evicting() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.closing && k.noLinger
}

// tryCloseWrite closes this side, if it still can be closed; the reader, which has just found nothing unread, asks for it.
func (k *connection) tryCloseWrite() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.closable() {
		k.conn.SetReadDeadline(time.Time{})
		return false
	}
	k.writeClosed = true
	if !k.noLinger {
		_ = k.conn.CloseWrite() // a connection that failed is seen by its reader
		k.conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	}
	return true
}

func (c *connections) write(k *connection) {
	for {
		k.mu.Lock()
		b := k.pending
		if len(b) == 0 || k.released {
			// a deadline that stays would be a timer of the runtime for each connection, and the runtime goes over all
			// timers whenever one that was set anew comes due, as the loop's is
			k.conn.SetWriteDeadline(time.Time{})
			k.writing = false
			k.wakeReader()
			k.mu.Unlock()
			return
		}
		k.pending, k.spare = k.spare[:0], nil
		k.mu.Unlock()
		k.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		_, err := k.conn.Write(b)
		k.mu.Lock()
		k.spare = b[:0]
		c.bytes.Add(-int64(len(b)))
		if err != nil {
			c.bytes.Add(-int64(len(k.pending)))
			k.pending, k.writing = nil, false
			k.mu.Unlock()
			k.conn.Close()
			return
		}
		k.mu.Unlock()
	}
}
