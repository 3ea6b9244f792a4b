package server

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"topazpost/internal/node"
)

const (
	maxPendingBytes      = 256 << 10             // for one connection: answers to 32 streams take half of it
	minPendingBytes      = 8 << 10               // for one connection, where all together reach their limit: a few answers
	pendingMemoryDivisor = 8                     // share of the memory limit that may be pending on all connections
	flushTimeout         = 60 * time.Millisecond // for the last answers, within the time before the process is killed
)

// connections are those of all dispatchers. Only the event loop looks up and writes to them.
type connections struct {
	server           *Server
	dirty            []*connection // with bytes to write since the last flush; used by the event loop only
	bytes            atomic.Int64  // pending on all connections
	maxBytes         int64
	slots            chan struct{} // one for each connection that holds a descriptor
	writers          sync.WaitGroup
	maxClientTimeout atomic.Int64 // ns

	mu   sync.Mutex
	open map[int]*connection // by link
}

func newConnections(s *Server) *connections {
	open, closing, _ := s.config.descriptorShares()
	c := &connections{
		server:   s,
		open:     make(map[int]*connection),
		maxBytes: int64(s.config.MemoryMB) << 20 / pendingMemoryDivisor,
		slots:    make(chan struct{}, open+closing),
	}
	c.raiseClientTimeout(int64(partialFrameTimeout))
	for _, op := range s.config.Settings.Node.Operations {
		c.raiseClientTimeout(op.ClientTimeout)
	}
	return c
}

// raiseClientTimeout notes a client timeout. The maximum never shrinks, as calls in flight may have a longer one.
func (c *connections) raiseClientTimeout(timeout int64) {
	if timeout > c.maxClientTimeout.Load() {
		c.maxClientTimeout.Store(timeout)
	}
}

// add takes an accepted connection on; false means that the node has ended.
func (c *connections) add(link int, accepted net.Conn) bool {
	conn := &connection{link: link, socket: accepted.(*net.TCPConn), queuedFrames: make(chan struct{}, maxQueuedFrames)}
	c.mu.Lock()
	c.open[link] = conn
	c.mu.Unlock()
	if !c.server.enqueueDispatcherInput(node.Input{Kind: node.ConnectionOpened, Link: link}) {
		conn.socket.Close()
		return false
	}
	return true
}

func (c *connections) get(link int) *connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open[link]
}

func (c *connections) startReader(link int) {
	if conn := c.get(link); conn != nil {
		c.server.group.Go(func() error { c.read(conn); return nil })
	}
}

// releaseFrames frees the queue places of frames that the state machine has taken. The bound for each connection keeps one
// that floods from delaying the others; a connection that keeps to its streams never reaches it.
func (c *connections) releaseFrames(inputs []node.Input) {
	for i := range inputs {
		if inputs[i].Kind != node.FrameReceived {
			continue
		}
		if conn := c.get(inputs[i].Link); conn != nil {
			<-conn.queuedFrames
			conn.mu.Lock()
			conn.wakeReader()
			conn.mu.Unlock()
		}
	}
}

// release closes a connection and frees its slot.
func (c *connections) release(conn *connection) {
	conn.mu.Lock()
	released := conn.released
	c.bytes.Add(-int64(len(conn.pending)))
	conn.released = true
	conn.pending = nil
	conn.mu.Unlock()
	if released {
		return
	}
	conn.socket.Close()
	c.mu.Lock()
	delete(c.open, conn.link)
	c.mu.Unlock()
	<-c.slots
}

// send adds bytes to what is pending on a connection; flush starts the writer. A peer that reads too slowly is disconnected.
func (c *connections) send(link int, b []byte) {
	conn := c.get(link)
	if conn == nil {
		return
	}
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if conn.released {
		return
	}
	limit := maxPendingBytes
	if c.bytes.Load() > c.maxBytes {
		limit = minPendingBytes
	}
	if len(conn.pending)+len(b) > limit {
		c.server.limitedLog.Warn().Int("connection", link).Msg("peer reads too slowly, cut off")
		conn.socket.Close() // the reader sees it and releases the connection
		return
	}
	if len(conn.pending) == 0 {
		c.dirty = append(c.dirty, conn)
	}
	conn.pending = append(conn.pending, b...)
	c.bytes.Add(int64(len(b)))
}

// closeAfterFlush closes a connection once all is written and nothing lies unread; with noLinger it doesn't wait for the peer
// to close.
func (c *connections) closeAfterFlush(link int, noLinger bool) {
	if conn := c.get(link); conn != nil {
		conn.closeAfterFlush(noLinger)
	}
}

// resume takes closeAfterFlush back. It comes with the frame that is its reason, whose queue place has kept this side open.
func (c *connections) resume(link int) {
	if conn := c.get(link); conn != nil {
		conn.resume()
	}
}

// discardInput passes on no more frames of a connection.
func (c *connections) discardInput(link int) {
	if conn := c.get(link); conn != nil {
		conn.discarding.Store(true)
	}
}

// flush starts the writers of connections that have bytes pending.
func (c *connections) flush() {
	for _, conn := range c.dirty {
		conn.mu.Lock()
		if !conn.writing && !conn.released {
			conn.writing = true
			c.writers.Add(1)
			c.server.group.Go(func() error { defer c.writers.Done(); c.write(conn); return nil })
		}
		conn.mu.Unlock()
	}
	c.dirty = c.dirty[:0]
}

// flushAll writes the last answers before the node ends, for a bounded time. It then closes this side of each connection, so
// that a close over unread bytes, which resets the connection, comes after the answers.
func (c *connections) flushAll() {
	c.flush()
	written := make(chan struct{})
	go func() {
		c.writers.Wait()
		close(written)
	}()
	select {
	case <-written:
	case <-time.After(flushTimeout):
		c.closeAll() // ends the writers to peers that don't read
		<-written
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.open {
		_ = conn.socket.CloseWrite() // the reader sees a failed connection
	}
}

// closeAll closes the connections; their readers release them.
func (c *connections) closeAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.open {
		conn.socket.Close()
	}
}
