package server

import (
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"topazpost/internal/node"
	"topazpost/internal/protocol/frame"
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

// Why a connection is read no further.
var (
	errPartialFrame   = errors.New("a frame was not brought to its end")
	errInputDiscarded = errors.New("nothing on it can be used")
	errClosedLocally  = errors.New("closed by this node")
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

// accept takes connections while descriptors last; without one it waits a little, and so never spins. After stopAccepting it
// goes on until nothing waits to be accepted, for as long as that takes descriptors to come free.
func (c *connections) accept() error {
	timeouts := 0 // tries that found nothing since the end of intake
	accepted, since := 0, time.Time{}
	end := func() error {
		c.server.listener.Close()
		c.server.log.Info().Msg("no connection more is taken")
		c.server.enqueueDispatcherInput(node.Input{Kind: node.ListenerClosed})
		return nil
	}
	for next := 1; ; next++ {
		select {
		case c.slots <- struct{}{}:
		default:
			select {
			case c.slots <- struct{}{}:
			case <-c.server.ctx.Done():
				return nil
			}
			accepted, since = 0, time.Now()
		}
		conn, err := c.server.listener.Accept()
		for err != nil {
			switch {
			case errors.Is(err, os.ErrDeadlineExceeded) && timeouts < maxFinalAcceptTimeouts:
				if timeouts++; timeouts == 1 {
					accepted, since = 0, time.Now()
				}
				c.server.listener.SetDeadline(time.Now().Add(finalAcceptTimeout))
			case errors.Is(err, net.ErrClosed), errors.Is(err, os.ErrDeadlineExceeded):
				return end()
			default:
				c.server.limitedLog.Warn().Err(err).Msg("no connection could be accepted")
				time.Sleep(acceptBackoff)
			}
			conn, err = c.server.listener.Accept()
		}
		if timeouts > 0 {
			timeouts = 1
			c.server.listener.SetDeadline(time.Now().Add(finalAcceptTimeout))
		}
		k := &connection{link: next, conn: conn.(*net.TCPConn), queuedFrames: make(chan struct{}, maxQueuedFrames)}
		c.mu.Lock()
		c.open[next] = k
		c.mu.Unlock()
		if !c.server.enqueueDispatcherInput(node.Input{Kind: node.ConnectionOpened, Link: next}) {
			k.conn.Close()
			return nil
		}
		if accepted++; timeouts > 0 && accepted >= maxFinalAccepts && time.Since(since) >= finalAcceptWindow {
			return end()
		}
	}
}

// stopAccepting ends the listening socket once all that the system took is accepted: an invocation written to a connection
// that waits there would be lost with it.
func (c *connections) stopAccepting() { c.server.listener.SetDeadline(expiredDeadline) }

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

// read gives the reducer all that comes, until it can't be parsed or is of no use; then it only looks for the end. A
// close over bytes that lie unread would reset the connection, and take answers with it that are on their way.
func (c *connections) read(k *connection) {
	err := c.readFrames(k)
	if unusable := errors.Is(err, frame.ErrLength) || errors.Is(err, errPartialFrame); unusable || errors.Is(err, errInputDiscarded) {
		if unusable {
			c.server.enqueueDispatcherInput(node.Input{Kind: node.FrameMalformed, Link: k.link, Err: err})
		}
		k.mu.Lock()
		k.dead = true
		k.mu.Unlock()
		k.clearReadDeadline()
		err = c.discard(k)
	} else if errors.Is(err, errClosedLocally) {
		err = c.discard(k)
	}
	c.server.enqueueDispatcherInput(node.Input{Kind: node.ConnectionClosed, Link: k.link, Err: err})
	c.release(k)
}

// discard reads slowly on to the peer's end, or to lingerWait after this side was closed. Nothing of it is run: it
// could not be answered.
func (c *connections) discard(k *connection) error {
	space := make([]byte, discardReadSize)
	for {
		k.mu.Lock()
		ended, noLinger := k.writeClosed, k.noLinger
		k.mu.Unlock()
		if ended && noLinger {
			return errClosedLocally
		}
		_, err := k.conn.Read(space)
		switch {
		case err == nil:
			time.Sleep(discardInterval)
		case errors.Is(err, os.ErrDeadlineExceeded) && !ended:
			k.tryCloseWrite()
		default:
			return err
		}
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
