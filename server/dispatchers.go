package server

import (
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"topazpost/frame"
	"topazpost/reducer"
)

const (
	pendingMost = 256 << 10        // bytes that may wait for a peer; all answers to 32 streams are half of it
	pendingPart = 8                // part of the memory limit that may wait for all peers; past it each may have but a few answers
	pendingFew  = 8 << 10          // bytes of a few answers
	writeWait   = 20 * time.Second // a peer that takes nothing for so long is cut off: no pause lasts as long
	acceptAgain = 20 * time.Millisecond
	acceptLast  = 5 * time.Millisecond   // for what waits to be accepted when intake stops
	lingerWait  = 300 * time.Millisecond // for the peer's end after ours, so that no answer is lost to a reset
	turnsMost   = 64                     // frames of one connection that may wait for the reducer: twice its streams
	halfWait    = 2 * time.Second        // for the rest of a frame that has begun: it is written with one call
	ignorePause = 20 * time.Millisecond  // between reads of what is of no use: never at the peer's full speed
	ignoredOnce = 4 << 10                // bytes of it taken with one read
	flushWait   = 150 * time.Millisecond // for the last answers to be taken before the node ends
)

// Why a connection is read no further.
var (
	errHalf    = errors.New("a frame was not brought to its end")
	errIgnored = errors.New("nothing on it can be used")
)

// connection is one from a dispatcher: a reader, and a writer that is started when there is something to
// write and sends all that waits with one call.
type connection struct {
	link int
	net  *net.TCPConn

	mu       sync.Mutex
	pending  []byte
	spare    []byte // the buffer that was last written
	writing  bool
	finished bool
	ending   bool // all is written, and the peer's end is waited for
	over     bool
	ignored  atomic.Bool
	turns    chan struct{} // one for each of its frames that wait for the reducer
}

// due is when the next read is to end at the latest; at its end a connection has a time of its own.
func (k *connection) due(at time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.ending {
		k.net.SetReadDeadline(at)
	}
}

// connections are all of the dispatchers'. Only the loop adds to and takes from open.
type connections struct {
	s     *Server
	mu    sync.Mutex
	open  map[int]*connection
	dirty []*connection // with something to write since the last flush
	bytes atomic.Int64  // pending on all
	most  int64         // that may be
	slots chan struct{}
}

func newConnections(s *Server) *connections {
	kept, closing, _ := s.plate.shares()
	return &connections{s: s, open: make(map[int]*connection), most: int64(s.plate.MemoryMB) << 20 / pendingPart,
		slots: make(chan struct{}, kept+closing)}
}

// accept takes connections while descriptors last; without one it waits a little, and so never spins.
func (c *connections) accept() error {
	for next := 1; ; next++ {
		select {
		case c.slots <- struct{}{}:
		case <-c.s.ctx.Done():
			return nil
		}
		conn, err := c.s.listener.Accept()
		for err != nil {
			if errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) {
				c.s.listener.Close()
				c.s.log.Info().Msg("no connection more is taken")
				return nil
			}
			c.s.loud.Warn().Err(err).Msg("no connection could be accepted")
			time.Sleep(acceptAgain)
			conn, err = c.s.listener.Accept()
		}
		k := &connection{link: next, net: conn.(*net.TCPConn), turns: make(chan struct{}, turnsMost)}
		c.mu.Lock()
		c.open[next] = k
		c.mu.Unlock()
		if !c.s.put(reducer.Input{Kind: reducer.Opened, Link: next}) {
			k.net.Close()
			return nil
		}
	}
}

// shut ends the listening socket once all that the system took is accepted: an invocation written to a connection
// that waits there would be lost with it.
func (c *connections) shut() { c.s.listener.SetDeadline(time.Now().Add(acceptLast)) }

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

// read gives the reducer all that comes, until it can't be parsed or is of no use; then it only looks for the end.
func (c *connections) read(k *connection) {
	err := c.frames(k)
	if unusable := errors.Is(err, frame.ErrLength) || errors.Is(err, errHalf); unusable || errors.Is(err, errIgnored) {
		if unusable {
			c.s.put(reducer.Input{Kind: reducer.Malformed, Link: k.link, Err: err})
		}
		k.due(time.Time{})
		space := make([]byte, ignoredOnce)
		for err = nil; err == nil; time.Sleep(ignorePause) {
			_, err = k.net.Read(space)
		}
	}
	c.s.put(reducer.Input{Kind: reducer.Closed, Link: k.link, Err: err})
	c.drop(k)
}

// frames hands on frames to the end, the first unreadable one, or the first that does not come to its end in time.
func (c *connections) frames(k *connection) error {
	var parser frame.Parser
	half, late := false, false
	for {
		n, err := k.net.Read(parser.Space())
		if half && !late && errors.Is(err, os.ErrDeadlineExceeded) { // or the process stood still: the rest may lie there
			late = true
			k.due(time.Now().Add(catchUp))
			continue
		}
		if half && errors.Is(err, os.ErrDeadlineExceeded) {
			return errHalf
		}
		if err != nil {
			return err
		}
		parser.Wrote(n)
		whole := false
		for {
			f, ok, err := parser.Next()
			if err != nil {
				return err
			}
			if !ok {
				break
			}
			whole = true
			if k.ignored.Load() {
				return errIgnored
			}
			f.Payload = append([]byte(nil), f.Payload...)
			select {
			case k.turns <- struct{}{}:
			case <-c.s.ctx.Done():
				return c.s.ctx.Err()
			}
			if !c.s.put(reducer.Input{Kind: reducer.Read, Link: k.link, Frame: f}) {
				return c.s.ctx.Err()
			}
		}
		was := half
		if half = parser.Half(); half && (whole || !was) {
			late = false
			k.due(time.Now().Add(halfWait))
		} else if !half && was {
			k.due(time.Time{})
		}
	}
}

// taken gives a connection the turns back of its frames that the reducer took. Guards against one that floods and
// keeps those of others waiting behind its own; does harm to none that keeps to its streams.
func (c *connections) taken(inputs []reducer.Input) {
	for i := range inputs {
		if inputs[i].Kind != reducer.Read {
			continue
		}
		if k := c.get(inputs[i].Link); k != nil {
			<-k.turns
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
		c.s.loud.Warn().Int("connection", link).Msg("peer reads too slowly, cut off")
		k.net.Close() // the reader sees it and drops it
		return
	}
	if len(k.pending) == 0 {
		c.dirty = append(c.dirty, k)
	}
	k.pending = append(k.pending, b...)
	c.bytes.Add(int64(len(b)))
}

// finish closes a connection once all is written.
func (c *connections) finish(link int) {
	if k := c.get(link); k != nil {
		k.mu.Lock()
		k.finished = true
		k.mu.Unlock()
		c.dirty = append(c.dirty, k)
	}
}

// evict closes a connection that is idle. What was written to it is still delivered.
func (c *connections) evict(link int) {
	if k := c.get(link); k != nil {
		k.net.Close()
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
			c.s.group.Go(func() error { c.write(k); return nil })
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
			k.writing = false
			if k.finished && !k.over { // the reader drops it at the peer's end, or when that does not come
				k.ending = true
				k.net.CloseWrite()
				k.net.SetReadDeadline(time.Now().Add(lingerWait))
			}
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

// flushAll finishes every connection and waits a little for the peers to take what is owed.
func (c *connections) flushAll() {
	c.mu.Lock()
	var links []int
	for link := range c.open {
		links = append(links, link)
	}
	c.mu.Unlock()
	for _, link := range links {
		c.finish(link)
	}
	c.flush()
	for end := time.Now().Add(flushWait); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		c.mu.Lock()
		left := len(c.open)
		c.mu.Unlock()
		if left == 0 {
			return
		}
	}
}

func (c *connections) closeAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, k := range c.open {
		k.net.Close()
	}
}
