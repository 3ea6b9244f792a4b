package hollow

import (
	"math/rand"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"topazpost/server"
)

// Kind is a kind of traffic.
type Kind uint8

// The kinds of traffic.
const (
	Datagram Kind = iota
	Exchange
	Stream
	numKinds
)

// KindNames are the names of the kinds.
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
			time.AfterFunc(f.drawDelay(r.delay), func() {
				_, _ = d.Datagrams.WriteToUDPAddrPort(late, to) // a datagram that can't be sent is lost
			})
			return len(b), nil
		}
	}
	return d.Datagrams.WriteToUDPAddrPort(b, to)
}
