package standin

import (
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/netip"
	"sync"
	"time"
)

const (
	maxDatagramBytes = 2 << 10
	maxAddressTries  = 50
)

// Network is the network between the members of a fleet: each has a loopback address of its own, and a relay at the address that the others are told,
// which tells senders by their source addresses. A member can be cut off from all others: what passes a cut link is lost.
type Network struct {
	mu      sync.Mutex
	block   byte
	members map[netip.Addr]string // by the address that they bind
	cut     map[string]bool
	closers []io.Closer
}

// NewNetwork returns a network without members.
func NewNetwork() *Network {
	return &Network{block: byte(10 + rand.Intn(200)), members: map[netip.Addr]string{}, cut: map[string]bool{}}
}

// Join gives a member an address to bind, and one to tell the others.
func (w *Network) Join(name string) (bind, advertise string, err error) {
	for range maxAddressTries {
		at := fmt.Sprintf("127.%d.%d.%d", w.block, 1+rand.Intn(250), 1+rand.Intn(250))
		if bind, err = freeBoth(at); err != nil {
			continue
		}
		if advertise, err = w.relay(name, bind); err != nil {
			continue
		}
		w.mu.Lock()
		w.members[netip.MustParseAddr(at)] = name
		w.mu.Unlock()
		return bind, advertise, nil
	}
	return "", "", err
}

// freeBoth returns an address on an IP address whose port is free for datagrams and connections.
func freeBoth(ip string) (string, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	packets, err := net.ListenPacket("udp", l.Addr().String())
	if err != nil {
		return "", err
	}
	defer packets.Close()
	return l.Addr().String(), nil
}

// Cut cuts a member off from all others, or ends that.
func (w *Network) Cut(name string, cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut[name] = cut
}

// Close ends all relays.
func (w *Network) Close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, c := range w.closers {
		c.Close()
	}
}

// passes tells the sender by its address, and whether what it sends to another member arrives.
func (w *Network) passes(source netip.Addr, to string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	from, known := w.members[source.Unmap()]
	return known && !w.cut[from] && !w.cut[to]
}

// relay listens for a member in its place.
func (w *Network) relay(name, bind string) (advertise string, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	udp, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort(l.Addr().String())))
	if err != nil {
		l.Close()
		return "", err
	}
	w.mu.Lock()
	w.closers = append(w.closers, l, udp)
	w.mu.Unlock()
	go w.datagrams(udp, name, netip.MustParseAddrPort(bind))
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go w.carry(conn, name, bind)
		}
	}()
	return l.Addr().String(), nil
}

// datagrams passes datagrams on, each from a socket at its sender's address.
func (w *Network) datagrams(udp *net.UDPConn, name string, bind netip.AddrPort) {
	sources := map[netip.Addr]*net.UDPConn{}
	space := make([]byte, maxDatagramBytes)
	for {
		n, source, err := udp.ReadFromUDPAddrPort(space)
		if err != nil {
			for _, out := range sources {
				out.Close()
			}
			return
		}
		from := source.Addr().Unmap()
		if !w.passes(from, name) {
			continue
		}
		out := sources[from]
		if out == nil {
			if out, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(from, 0))); err != nil {
				continue
			}
			sources[from] = out
		}
		_, _ = out.WriteToUDPAddrPort(space[:n], bind) // a datagram that can't be sent is lost
	}
}

// carry carries a connection; what passes a cut link is swallowed, as on a real one.
func (w *Network) carry(conn net.Conn, name, bind string) {
	defer conn.Close()
	source, err := netip.ParseAddrPort(conn.RemoteAddr().String())
	if err != nil {
		return
	}
	far, err := net.DialTimeout("tcp", bind, time.Second)
	if err != nil {
		return
	}
	defer far.Close()
	one := func(to, of net.Conn) {
		space := make([]byte, 32<<10)
		for {
			n, err := of.Read(space)
			if err != nil {
				if errors.Is(err, io.EOF) && w.passes(source.Addr(), name) {
					to.(*net.TCPConn).CloseWrite()
				}
				return
			}
			if w.passes(source.Addr(), name) {
				if _, err := to.Write(space[:n]); err != nil {
					return
				}
			}
		}
	}
	done := make(chan struct{})
	go func() { defer close(done); one(far, conn) }()
	one(conn, far)
	conn.Close()
	<-done
}
