package hollow

import (
	"encoding/binary"
	"errors"
	"net"
	"net/netip"
	"sync/atomic"

	"topazpost/server"
)

// errPartialStream ends a connection of which a cut swallowed a part: what follows could not be understood.
var errPartialStream = errors.New("hollow: a cut swallowed a part of this connection")

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
