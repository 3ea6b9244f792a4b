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
	pendingMost = 256 << 10        // bytes that may wait for a peer; all answers to 32 streams are half of it
	pendingPart = 8                // part of the memory limit that may wait for all peers; past it each may have but a few answers
	pendingFew  = 8 << 10          // bytes of a few answers
	writeWait   = 20 * time.Second // a peer that takes nothing for so long is cut off: no pause lasts as long
	acceptAgain = 20 * time.Millisecond
	acceptTries = 2                      // that find nothing
	acceptFree  = 64                     // connections taken in a row without waiting for a place, and
	acceptQueue = 50 * time.Millisecond  // in such a time, past which those of before the end of intake are all taken, however many come
	acceptLast  = 5 * time.Millisecond   // for what waits to be accepted when intake stops; tried twice, as the process may stand still
	lingerWait  = 300 * time.Millisecond // for the peer's end after ours, so that no answer is lost to a reset
	turnsMost   = 64                     // frames of one connection that may wait for the reducer: twice its streams
	flushWait   = 60 * time.Millisecond  // for the last answers to be written where the node may wait no longer: inside the time before the kill
	halfWait    = 2 * time.Second        // without a byte more of a frame that has begun: it is written with one call
	ignorePause = 20 * time.Millisecond  // between reads of what is of no use: never at the peer's full speed
	ignoredOnce = 4 << 10                // bytes of it taken with one read
)

// Why a connection is read no further.
var (
	errHalf    = errors.New("a frame was not brought to its end")
	errIgnored = errors.New("nothing on it can be used")
	errQuiet   = errors.New("closed by this node")
)

// longAgo as a deadline wakes a reader at once.
var longAgo = time.Unix(1, 0)

// socket is what is used of a TCP connection.
type socket interface {
	net.Conn
	CloseWrite() error
}

// connection is one from a dispatcher: a reader, and a writer that is started when there is something to
// write and sends all that waits with one call.
type connection struct {
	link int
	net  socket

	mu       sync.Mutex
	pending  []byte
	spare    []byte // the buffer that was last written
	writing  bool
	finished bool // it is to end: once all is written, no frame waits and nothing lies unread
	noLinger bool // without time for the peer's end
	dead     bool // nothing that comes on it is handed on any more
	ending   bool // this side of it is closed
	over     bool
	ignored  atomic.Bool
	turns    chan struct{} // one for each of its frames that wait for the reducer
}

// due is when the next read is to end at the latest.
func (k *connection) due(at time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.net.SetReadDeadline(at)
}

// clearDeadline lets the reader wait without end, but for a connection that can end.
func (k *connection) clearDeadline() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.net.SetReadDeadline(time.Time{})
	k.wake()
}

// closable says whether this side can be closed as far as what was read and written goes. Frames that wait for the reducer
// count until it has taken them: what it wants to be done for them, Resume above all, is done by then. mu is held.
func (k *connection) closable() bool {
	return k.finished && !k.ending && !k.over && !k.writing && len(k.pending) == 0 && len(k.turns) == 0
}

// wake has the reader look whether something lies unread, once this side can be closed. mu is held.
func (k *connection) wake() {
	if k.closable() {
		k.net.SetReadDeadline(longAgo)
	}
}

// evicting says whether the place of a connection is wanted more than the rest of a frame.
func (k *connection) evicting() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.finished && k.noLinger
}

// end closes this side, if it still can be closed; the reader, which has just found nothing unread, asks for it.
func (k *connection) end() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.closable() {
		k.net.SetReadDeadline(time.Time{})
		return false
	}
	k.ending = true
	if !k.noLinger {
		_ = k.net.CloseWrite() // a connection that failed is seen by its reader
		k.net.SetReadDeadline(time.Now().Add(lingerWait))
	}
	return true
}

// connections are all of the dispatchers'. Only the loop adds to and takes from open.
type connections struct {
	s       *Server
	mu      sync.Mutex
	open    map[int]*connection
	dirty   []*connection // with something to write since the last flush
	bytes   atomic.Int64  // pending on all
	most    int64         // that may be
	slots   chan struct{}
	writers sync.WaitGroup
	slowest atomic.Int64 // ns, the longest client timeout there was
}

func newConnections(s *Server) *connections {
	kept, closing, _ := s.config.shares()
	c := &connections{s: s, open: make(map[int]*connection), most: int64(s.config.MemoryMB) << 20 / pendingPart,
		slots: make(chan struct{}, kept+closing)}
	c.slower(int64(halfWait))
	for _, op := range s.config.Settings.Node.Operations {
		c.slower(op.ClientTimeout)
	}
	return c
}

// slower takes note of a client timeout; what was in hand may go by a longer one, so it never shrinks.
func (c *connections) slower(timeout int64) {
	if timeout > c.slowest.Load() {
		c.slowest.Store(timeout)
	}
}

// accept takes connections while descriptors last; without one it waits a little, and so never spins. After stopAccepting it
// goes on until nothing waits to be accepted, for as long as that takes descriptors to come free.
func (c *connections) accept() error {
	last := 0 // tries that found nothing since the end of intake
	free, since := 0, time.Time{}
	end := func() error {
		c.s.listener.Close()
		c.s.log.Info().Msg("no connection more is taken")
		c.s.put(node.Input{Kind: node.ListenerClosed})
		return nil
	}
	for next := 1; ; next++ {
		select {
		case c.slots <- struct{}{}:
		default:
			select {
			case c.slots <- struct{}{}:
			case <-c.s.ctx.Done():
				return nil
			}
			free, since = 0, time.Now()
		}
		conn, err := c.s.listener.Accept()
		for err != nil {
			switch {
			case errors.Is(err, os.ErrDeadlineExceeded) && last < acceptTries:
				if last++; last == 1 {
					free, since = 0, time.Now()
				}
				c.s.listener.SetDeadline(time.Now().Add(acceptLast))
			case errors.Is(err, net.ErrClosed), errors.Is(err, os.ErrDeadlineExceeded):
				return end()
			default:
				c.s.limited.Warn().Err(err).Msg("no connection could be accepted")
				time.Sleep(acceptAgain)
			}
			conn, err = c.s.listener.Accept()
		}
		if last > 0 {
			last = 1
			c.s.listener.SetDeadline(time.Now().Add(acceptLast))
		}
		k := &connection{link: next, net: conn.(*net.TCPConn), turns: make(chan struct{}, turnsMost)}
		c.mu.Lock()
		c.open[next] = k
		c.mu.Unlock()
		if !c.s.put(node.Input{Kind: node.ConnectionOpened, Link: next}) {
			k.net.Close()
			return nil
		}
		if free++; last > 0 && free >= acceptFree && time.Since(since) >= acceptQueue {
			return end()
		}
	}
}

// stopAccepting ends the listening socket once all that the system took is accepted: an invocation written to a connection
// that waits there would be lost with it.
func (c *connections) stopAccepting() { c.s.listener.SetDeadline(longAgo) }

func (c *connections) get(link int) *connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open[link]
}

func (c *connections) receive(link int) {
	if k := c.get(link); k != nil {
		c.s.group.Go(func() error { c.read(k); return nil })
	}
}

// read gives the reducer all that comes, until it can't be parsed or is of no use; then it only looks for the end. A
// close over bytes that lie unread would reset the connection, and take answers with it that are on their way.
func (c *connections) read(k *connection) {
	err := c.frames(k)
	if unusable := errors.Is(err, frame.ErrLength) || errors.Is(err, errHalf); unusable || errors.Is(err, errIgnored) {
		if unusable {
			c.s.put(node.Input{Kind: node.FrameMalformed, Link: k.link, Err: err})
		}
		k.mu.Lock()
		k.dead = true
		k.mu.Unlock()
		k.clearDeadline()
		err = c.discard(k)
	} else if errors.Is(err, errQuiet) {
		err = c.discard(k)
	}
	c.s.put(node.Input{Kind: node.ConnectionClosed, Link: k.link, Err: err})
	c.drop(k)
}

// discard reads slowly on to the peer's end, or to lingerWait after this side was closed. Nothing of it is run: it
// could not be answered.
func (c *connections) discard(k *connection) error {
	space := make([]byte, ignoredOnce)
	for {
		k.mu.Lock()
		ended, noLinger := k.ending, k.noLinger
		k.mu.Unlock()
		if ended && noLinger {
			return errQuiet
		}
		_, err := k.net.Read(space)
		switch {
		case err == nil:
			time.Sleep(ignorePause)
		case errors.Is(err, os.ErrDeadlineExceeded) && !ended:
			k.end()
		default:
			return err
		}
	}
}

// taken gives a connection the turns back of its frames that the reducer took. Guards against one that floods and
// keeps those of others waiting behind its own; does harm to none that keeps to its streams.
func (c *connections) taken(inputs []node.Input) {
	for i := range inputs {
		if inputs[i].Kind != node.FrameReceived {
			continue
		}
		if k := c.get(inputs[i].Link); k != nil {
			<-k.turns
			k.mu.Lock()
			k.wake()
			k.mu.Unlock()
		}
	}
}

// drop frees what a connection held.
func (c *connections) drop(k *connection) {
	k.mu.Lock()
	over := k.over
	c.bytes.Add(-int64(len(k.pending)))
	k.over, k.pending = true, nil
	k.mu.Unlock()
	if over {
		return
	}
	k.net.Close()
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
	if k.over {
		return
	}
	most := pendingMost
	if c.bytes.Load() > c.most {
		most = pendingFew
	}
	if len(k.pending)+len(b) > most {
		c.s.limited.Warn().Int("connection", link).Msg("peer reads too slowly, cut off")
		k.net.Close() // the reader sees it and drops it
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
		k.finished, k.noLinger = true, noLinger
		if k.wake(); noLinger && k.ending {
			k.net.SetReadDeadline(longAgo)
		}
		k.mu.Unlock()
	}
}

// resume takes that back. It comes with the frame that is the reason, whose turn keeps this side open until now.
func (c *connections) resume(link int) {
	if k := c.get(link); k != nil {
		k.mu.Lock()
		k.finished = false
		k.mu.Unlock()
	}
}

// ignore hands nothing more on of what comes.
func (c *connections) ignore(link int) {
	if k := c.get(link); k != nil {
		k.ignored.Store(true)
	}
}

// flush starts a writer on each connection with something to write.
func (c *connections) flush() {
	for _, k := range c.dirty {
		k.mu.Lock()
		if !k.writing && !k.over {
			k.writing = true
			c.writers.Add(1)
			c.s.group.Go(func() error { defer c.writers.Done(); c.write(k); return nil })
		}
		k.mu.Unlock()
	}
	c.dirty = c.dirty[:0]
}

func (c *connections) write(k *connection) {
	for {
		k.mu.Lock()
		b := k.pending
		if len(b) == 0 || k.over {
			// a deadline that stays would be a timer of the runtime for each connection, and the runtime goes over all
			// timers whenever one that was set anew comes due, as the loop's is
			k.net.SetWriteDeadline(time.Time{})
			k.writing = false
			k.wake()
			k.mu.Unlock()
			return
		}
		k.pending, k.spare = k.spare[:0], nil
		k.mu.Unlock()
		k.net.SetWriteDeadline(time.Now().Add(writeWait))
		_, err := k.net.Write(b)
		k.mu.Lock()
		k.spare = b[:0]
		c.bytes.Add(-int64(len(b)))
		if err != nil {
			c.bytes.Add(-int64(len(k.pending)))
			k.pending, k.writing = nil, false
			k.mu.Unlock()
			k.net.Close()
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
	case <-time.After(flushWait):
		c.closeAll() // those who do not read; it ends their writers, and with them the wait
		<-written
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, k := range c.open {
		_ = k.net.CloseWrite() // a connection that failed is seen by its reader
	}
}

func (c *connections) closeAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, k := range c.open {
		k.net.Close()
	}
}
