package hollow

import (
	"encoding/binary"
	"errors"
	"math/rand"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"topazpost/server"
)

// errPartialStream ends a connection of which a cut swallowed a part: what follows could not be understood.
var errPartialStream = errors.New("hollow: a cut swallowed a part of this connection")

// Kind tells traffic apart.
type Kind uint8

// The numKinds.
const (
	Datagram Kind = iota
	Exchange
	Stream
	numKinds
)

// KindNames name them.
var KindNames = [numKinds]string{"datagrams", "exchanges", "streams"}

const (
	sentToPeer = iota
	receivedFromPeer
	numDirections
)

// trafficCounters are a node's traffic since it was made.
type trafficCounters struct {
	bytes, messages [numDirections][numKinds]atomic.Int64
	fromWhole       atomic.Int64 // bytes that came from whole daemons: they don't count those themselves
	lost            atomic.Int64 // datagrams and pieces that the filter dropped
}

// cut is links in one direction that carry nothing.
type cut struct{ from, to []bool }

// rules are what all filters of a process go by. They are replaced, never changed.
type rules struct {
	cuts  []cut
	loss  float64
	delay time.Duration // at the most, drawn for each datagram
}

// filters stand between the nodes of a process and their sockets. Each drops what a cut forbids, as sender and as receiver.
type filters struct {
	block, all int
	whole      []bool // by node: behind a relay, which loses and delays what goes to it
	rules      atomic.Pointer[rules]
}

func (f *filters) node(a netip.Addr) (i int, known bool) {
	b := a.Unmap().As4()
	if b[0] != 127 || int(b[1]) != f.block {
		return 0, false
	}
	i = (int(b[2])-1)*nodesPerColumn + (int(b[3])-1)/addressesPerNode
	return i, b[2] > 0 && b[3] > 0 && i < f.all
}

func (r *rules) cut(from, to int) bool {
	for k := range r.cuts {
		if r.cuts[k].from[from] && r.cuts[k].to[to] {
			return true
		}
	}
	return false
}

// filter is that of one life of one node.
type filter struct {
	all    *filters
	self   int
	counts *trafficCounters
	random *rand.Rand // only of the goroutine that sends datagrams, or receives them
	mu     sync.Mutex
	conns  map[*conn]bool
	ended  bool
}

func newFilter(all *filters, self int, c *trafficCounters, seed int64) *filter {
	return &filter{all: all, self: self, counts: c, random: rand.New(rand.NewSource(seed)), conns: map[*conn]bool{}}
}

// close ends all connections of a life that was killed.
func (f *filter) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ended = true
	for c := range f.conns {
		c.Conn.Close()
	}
}

func (f *filter) drawLoss(loss float64) bool {
	if loss <= 0 {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.Float64() < loss
}

func (f *filter) drawDelay(most time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Duration(f.random.Int63n(int64(most)))
}

// Datagrams is of server.Wire.
func (f *filter) Datagrams(inner server.Datagrams) server.Datagrams { return &datagrams{inner, f} }

type datagrams struct {
	server.Datagrams
	f *filter
}

func (d *datagrams) ReadFromUDPAddrPort(b []byte) (int, netip.AddrPort, error) {
	for {
		n, from, err := d.Datagrams.ReadFromUDPAddrPort(b)
		if err != nil {
			return n, from, err
		}
		f := d.f
		r := f.all.rules.Load()
		i, known := f.all.node(from.Addr())
		if known && (r.cut(i, f.self) || f.all.whole[i] && f.drawLoss(r.loss)) {
			f.counts.lost.Add(1)
			continue
		}
		f.counts.bytes[receivedFromPeer][Datagram].Add(int64(n))
		f.counts.messages[receivedFromPeer][Datagram].Add(1)
		if known && f.all.whole[i] {
			f.counts.fromWhole.Add(int64(n))
		}
		return n, from, nil
	}
}

func (d *datagrams) WriteToUDPAddrPort(b []byte, to netip.AddrPort) (int, error) {
	f := d.f
	r := f.all.rules.Load()
	f.counts.bytes[sentToPeer][Datagram].Add(int64(len(b)))
	f.counts.messages[sentToPeer][Datagram].Add(1)
	i, known := f.all.node(to.Addr())
	if known && !f.all.whole[i] {
		if r.cut(f.self, i) || f.drawLoss(r.loss) {
			f.counts.lost.Add(1)
			return len(b), nil
		}
		if r.delay > 0 {
			late := append([]byte(nil), b...)
			time.AfterFunc(f.drawDelay(r.delay), func() { d.Datagrams.WriteToUDPAddrPort(late, to) })
			return len(b), nil
		}
	}
	return d.Datagrams.WriteToUDPAddrPort(b, to)
}

// Conn is of server.Wire.
func (f *filter) Conn(inner net.Conn, to string) net.Conn {
	c := &conn{Conn: inner, f: f, peer: -1}
	c.out.direction, c.in.direction = sentToPeer, receivedFromPeer
	if to == "" {
		to = inner.RemoteAddr().String()
	}
	if a, err := netip.ParseAddrPort(to); err == nil {
		if i, known := f.all.node(a.Addr()); known {
			c.peer = i
		}
	}
	c.dialled = inner.LocalAddr().(*net.TCPAddr).Port != Port
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.ended {
		inner.Close()
	}
	f.conns[c] = true
	return c
}

// conn is a connection to a peer. What is cut is swallowed; once it carries again it ends, as its middle is missing.
type conn struct {
	net.Conn
	f         *filter
	peer      int // -1 where that is not known
	dialled   bool
	in, out   framing
	swallowed atomic.Bool
	stream    atomic.Bool
}

func (c *conn) Close() error {
	c.f.mu.Lock()
	delete(c.f.conns, c)
	c.f.mu.Unlock()
	return c.Conn.Close()
}

func (c *conn) cut(from, to int) bool { return c.peer >= 0 && c.f.all.rules.Load().cut(from, to) }

func (c *conn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if n > 0 && c.cut(c.peer, c.f.self) {
			c.swallowed.Store(true)
			c.f.counts.lost.Add(1)
			if err != nil {
				return 0, err
			}
			continue
		}
		if n > 0 && c.swallowed.Load() {
			c.Conn.Close()
			return 0, errPartialStream
		}
		if n > 0 && c.peer >= 0 && c.f.all.whole[c.peer] && !c.dialled {
			c.f.counts.fromWhole.Add(int64(n)) // a relay counts what it carries of connections to whole ones
		}
		c.in.count(c, b[:n])
		return n, err
	}
}

func (c *conn) Write(b []byte) (int, error) {
	c.out.count(c, b)
	if c.cut(c.f.self, c.peer) {
		c.swallowed.Store(true)
		c.f.counts.lost.Add(1)
		return len(b), nil
	}
	if c.swallowed.Load() {
		c.Conn.Close()
		return 0, errPartialStream
	}
	return c.Conn.Write(b)
}

// framing follows letters in one direction of a connection: a length, then so many bytes; a stream begins with its mark.
type framing struct {
	direction int
	head      [4]byte
	headBytes int
	remaining uint32
}

func (x *framing) count(c *conn, b []byte) {
	messages := int64(0)
	size := len(b)
	for len(b) > 0 {
		if x.remaining > 0 {
			n := min(uint32(len(b)), x.remaining)
			b, x.remaining = b[n:], x.remaining-n
			continue
		}
		n := copy(x.head[x.headBytes:], b)
		if b, x.headBytes = b[n:], x.headBytes+n; x.headBytes < len(x.head) {
			break
		}
		x.headBytes = 0
		if length := binary.LittleEndian.Uint32(x.head[:]); length == server.StreamMark {
			c.stream.Store(true)
		} else {
			x.remaining = length
			messages++
		}
	}
	kind := Exchange
	if c.stream.Load() {
		kind = Stream
	}
	c.f.counts.bytes[x.direction][kind].Add(int64(size))
	c.f.counts.messages[x.direction][kind].Add(messages)
}
