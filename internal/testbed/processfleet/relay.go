package processfleet

import (
	"errors"
	"io"
	"math/rand"
	"net"
	"net/netip"
	"sync"
	"time"
)

const (
	dialTimeout = time.Second
	maxSources  = 256     // senders in whose name a relay sends at a time: those used last, many more than a node has links
	largest     = 2 << 10 // bytes of a datagram, more than any peer sends
	maxDelayed  = 1_024   // datagrams on their way at once; more are lost
)

// cutLinks is all links in one direction between some nodes and others.
type cutLinks struct{ from, to []bool }

// pair is a link in one direction.
type pair struct{ from, to int }

// links is what all relays go by: which ordered pairs carry what.
type links struct {
	mu      sync.Mutex
	chance  *rand.Rand
	cut     map[pair]bool
	sides   []cutLinks
	loss    float64
	delay   time.Duration // at the most, drawn for each datagram, which reorders them
	doubled float64       // share of datagrams that come twice
	bytes   []int64       // by sender
	flight  chan struct{}
}

// isCut says whether a link is cut. mu is held.
func (w *links) isCut(p pair) bool {
	for k := range w.sides {
		if w.sides[k].from[p.from] && w.sides[k].to[p.to] {
			return true
		}
	}
	return w.cut[p]
}

func (w *links) cutAll(nodes int, from, to []int) {
	s := cutLinks{make([]bool, nodes), make([]bool, nodes)}
	for _, i := range from {
		s.from[i] = true
	}
	for _, i := range to {
		s.to[i] = true
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sides = append(w.sides, s)
}

// passes draws what becomes of a datagram, or of a step of an exchange.
func (w *links) passes(p pair, size int, datagram bool) (pass bool, copies int, delay time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.bytes[p.from] += int64(size)
	if w.isCut(p) || datagram && w.chance.Float64() < w.loss {
		return false, 0, 0
	}
	copies = 1
	if datagram && w.chance.Float64() < w.doubled {
		copies = 2
	}
	if datagram && w.delay > 0 {
		delay = time.Duration(w.chance.Int63n(int64(w.delay)))
	}
	return true, copies, delay
}

// relay stands at a node's advertised address. It tells the sender by its source address.
type relay struct {
	wire   *links
	to     int
	bind   string
	sender map[netip.Addr]int
	udp    *net.UDPConn
	tcp    net.Listener

	mu      sync.Mutex
	sources map[int]*source // by sender, at its address: a daemon bounds the pace of each
	turn    int64
}

// source is a socket at a sender's address, with the turn in which it was used last.
type source struct {
	*net.UDPConn
	used int64
}

func newRelay(w *links, to int, at, bind string, sender map[netip.Addr]int) (*relay, error) {
	address, err := net.ResolveUDPAddr("udp", at)
	if err != nil {
		return nil, err
	}
	r := &relay{wire: w, to: to, bind: bind, sender: sender, sources: map[int]*source{}}
	if r.udp, err = net.ListenUDP("udp", address); err != nil {
		return nil, err
	}
	if r.tcp, err = net.Listen("tcp", at); err != nil {
		r.udp.Close()
		return nil, err
	}
	go r.datagrams()
	go r.exchanges()
	return r, nil
}

func (r *relay) close() {
	r.udp.Close()
	r.tcp.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.sources {
		s.Close()
	}
	clear(r.sources)
}

// source is a socket at the address of a sender. The one unused longest makes room: what came from the relay's own address
// would share one pace at the daemon, and links of later neighbours would starve.
func (r *relay) source(from int, at netip.Addr) *net.UDPConn {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.turn++
	s := r.sources[from]
	if s == nil {
		if len(r.sources) >= maxSources {
			oldest := -1
			for i, o := range r.sources {
				if oldest < 0 || o.used < r.sources[oldest].used {
					oldest = i
				}
			}
			r.sources[oldest].Close()
			delete(r.sources, oldest)
		}
		conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(at, 0)))
		if err != nil {
			return r.udp
		}
		s = &source{UDPConn: conn}
		r.sources[from] = s
	}
	s.used = r.turn
	return s.UDPConn
}

func (r *relay) datagrams() {
	to := netip.MustParseAddrPort(r.bind)
	space := make([]byte, largest)
	for {
		n, source, err := r.udp.ReadFromUDPAddrPort(space)
		if err != nil {
			return
		}
		from, known := r.sender[source.Addr().Unmap()]
		pass, copies, delay := false, 0, time.Duration(0)
		if known {
			pass, copies, delay = r.wire.passes(pair{from, r.to}, n, true)
		}
		if !pass {
			continue
		}
		out := r.source(from, source.Addr().Unmap())
		if delay == 0 {
			for range copies {
				_, _ = out.WriteToUDPAddrPort(space[:n], to) // a datagram that can't be sent is lost
			}
			continue
		}
		select {
		case r.wire.flight <- struct{}{}:
			b := append([]byte(nil), space[:n]...)
			time.AfterFunc(delay, func() {
				for range copies {
					_, _ = out.WriteToUDPAddrPort(b, to)
				}
				<-r.wire.flight
			})
		default:
		}
	}
}

func (r *relay) exchanges() {
	for {
		conn, err := r.tcp.Accept()
		if err != nil {
			return
		}
		go r.exchange(conn)
	}
}

// exchange carries a connection on while both its directions are whole; what is cut is swallowed, as on a real one.
func (r *relay) exchange(conn net.Conn) {
	defer conn.Close()
	source, err := netip.ParseAddrPort(conn.RemoteAddr().String())
	if err != nil {
		return
	}
	from, known := r.sender[source.Addr().Unmap()]
	if !known {
		return
	}
	far, err := net.DialTimeout("tcp", r.bind, dialTimeout)
	if err != nil {
		return
	}
	defer far.Close()
	carry := func(to, of net.Conn, p pair) {
		space := make([]byte, 32<<10)
		for {
			n, err := of.Read(space)
			if err != nil {
				if errors.Is(err, io.EOF) {
					to.(*net.TCPConn).CloseWrite()
				}
				return
			}
			if pass, _, _ := r.wire.passes(p, n, false); pass {
				if _, err := to.Write(space[:n]); err != nil {
					return
				}
			}
		}
	}
	done := make(chan struct{})
	go func() { defer close(done); carry(far, conn, pair{from, r.to}) }()
	carry(conn, far, pair{r.to, from})
	conn.Close()
	<-done
}
