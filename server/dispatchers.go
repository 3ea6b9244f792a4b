package server

import (
	"sync"
	"sync/atomic"
	"time"

	"topazpost/internal/node"
)

const (
	maxPendingBytes        = 256 << 10        // bytes that may wait for a peer; all answers to 32 streams are half of it
	pendingMemoryDivisor   = 8                // part of the memory limit that may wait for all peers; past it each may have but a few answers
	minPendingBytes        = 8 << 10          // bytes of a few answers
	writeTimeout           = 20 * time.Second // a peer that takes nothing for so long is cut off: no pause lasts as long
	acceptBackoff          = 20 * time.Millisecond
	maxFinalAcceptTimeouts = 2                      // that find nothing
	maxFinalAccepts        = 64                     // connections taken in a row without waiting for a place, and
	finalAcceptWindow      = 50 * time.Millisecond  // in such a time, past which those of before the end of intake are all taken, however many come
	finalAcceptTimeout     = 5 * time.Millisecond   // for what waits to be accepted when intake stops; tried twice, as the process may stand still
	lingerTimeout          = 300 * time.Millisecond // for the peer's end after ours, so that no answer is lost to a reset
	maxQueuedFrames        = 64                     // frames of one connection that may wait for the reducer: twice its streams
	flushTimeout           = 60 * time.Millisecond  // for the last answers to be written where the node may wait no longer: inside the time before the kill
	partialFrameTimeout    = 2 * time.Second        // without a byte more of a frame that has begun: it is written with one call
	discardInterval        = 20 * time.Millisecond  // between reads of what is of no use: never at the peer's full speed
	discardReadSize        = 4 << 10                // bytes of it taken with one read
)

// connections are all of the dispatchers'. Only the loop adds to and takes from open.
type connections struct {
	server           *Server
	mu               sync.Mutex
	open             map[int]*connection
	dirty            []*connection // with something to write since the last flush
	bytes            atomic.Int64  // pending on all
	maxBytes         int64         // that may be
	slots            chan struct{}
	writers          sync.WaitGroup
	maxClientTimeout atomic.Int64 // ns, the longest client timeout there was
}

func newConnections(s *Server) *connections {
	open, closing, _ := s.config.descriptorShares()
	c := &connections{server: s, open: make(map[int]*connection), maxBytes: int64(s.config.MemoryMB) << 20 / pendingMemoryDivisor,
		slots: make(chan struct{}, open+closing)}
	c.raiseClientTimeout(int64(partialFrameTimeout))
	for _, op := range s.config.Settings.Node.Operations {
		c.raiseClientTimeout(op.ClientTimeout)
	}
	return c
}

// raiseClientTimeout takes note of a client timeout; what was in hand may go by a longer one, so it never shrinks.
func (c *connections) raiseClientTimeout(timeout int64) {
	if timeout > c.maxClientTimeout.Load() {
		c.maxClientTimeout.Store(timeout)
	}
}

func (c *connections) get(link int) *connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open[link]
}

func (c *connections) startReader(link int) {
	if k := c.get(link); k != nil {
		c.server.group.Go(func() error { c.read(k); return nil })
	}
}

// releaseFrames gives a connection the turns back of its frames that the reducer took. Guards against one that floods and
// keeps those of others waiting behind its own; does harm to none that keeps to its streams.
func (c *connections) releaseFrames(inputs []node.Input) {
	for i := range inputs {
		if inputs[i].Kind != node.FrameReceived {
			continue
		}
		if k := c.get(inputs[i].Link); k != nil {
			<-k.queuedFrames
			k.mu.Lock()
			k.wakeReader()
			k.mu.Unlock()
		}
	}
}

// release frees what a connection held.
func (c *connections) release(k *connection) {
	k.mu.Lock()
	released := k.released
	c.bytes.Add(-int64(len(k.pending)))
	k.released, k.pending = true, nil
	k.mu.Unlock()
	if released {
		return
	}
	k.conn.Close()
	c.mu.Lock()
	delete(c.open, k.link)
	c.mu.Unlock()
	<-c.slots
}

func (c *connections) send(link int, b []byte) {
	k := c.get(link)
	if k == nil {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.released {
		return
	}
	limit := maxPendingBytes
	if c.bytes.Load() > c.maxBytes {
		limit = minPendingBytes
	}
	if len(k.pending)+len(b) > limit {
		c.server.limitedLog.Warn().Int("connection", link).Msg("peer reads too slowly, cut off")
		k.conn.Close() // the reader sees it and drops it
		return
	}
	if len(k.pending) == 0 {
		c.dirty = append(c.dirty, k)
	}
	k.pending = append(k.pending, b...)
	c.bytes.Add(int64(len(b)))
}

// closeAfterFlush closes a connection once all is written and nothing lies unread; with noLinger the peer gets no time for its own end.
func (c *connections) closeAfterFlush(link int, noLinger bool) {
	if k := c.get(link); k != nil {
		k.mu.Lock()
		k.closing, k.noLinger = true, noLinger
		if k.wakeReader(); noLinger && k.writeClosed {
			k.conn.SetReadDeadline(expiredDeadline)
		}
		k.mu.Unlock()
	}
}

// resume takes that back. It comes with the frame that is the reason, whose turn keeps this side open until now.
func (c *connections) resume(link int) {
	if k := c.get(link); k != nil {
		k.mu.Lock()
		k.closing = false
		k.mu.Unlock()
	}
}

// discardInput hands nothing more on of what comes.
func (c *connections) discardInput(link int) {
	if k := c.get(link); k != nil {
		k.discarding.Store(true)
	}
}

// flush starts a writer on each connection with something to write.
func (c *connections) flush() {
	for _, k := range c.dirty {
		k.mu.Lock()
		if !k.writing && !k.released {
			k.writing = true
			c.writers.Add(1)
			c.server.group.Go(func() error { defer c.writers.Done(); c.write(k); return nil })
		}
		k.mu.Unlock()
	}
	c.dirty = c.dirty[:0]
}

// flushAll gets out what is owed before the node ends, whoever does not read. It closes this side of each connection,
// so that one over unread bytes brings the peer its answers first.
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
		c.closeAll() // those who do not read; it ends their writers, and with them the wait
		<-written
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, k := range c.open {
		_ = k.conn.CloseWrite() // a connection that failed is seen by its reader
	}
}

func (c *connections) closeAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, k := range c.open {
		k.conn.Close()
	}
}
