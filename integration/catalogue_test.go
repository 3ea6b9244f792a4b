package integration

import (
	"fmt"
	"net"
	"sync"
	"testing"

	"topazpost/internal/protocol/lineprotocol"
)

// disconnectReply is a reply for which the catalogue closes the connection instead of sending it.
const disconnectReply = "disconnect"

// catalogue is a stand-in for the catalogue of one node.
type catalogue struct {
	t        testing.TB
	listener net.Listener
	opened   chan net.Conn
	closed   chan net.Conn
	requests chan []string // words and body of each line

	mu    sync.Mutex
	reply func(call string) string
}

// startCatalogue starts a catalogue that replies "reply" to each call.
func startCatalogue(t testing.TB) *catalogue {
	t.Helper()
	c := &catalogue{
		t:        t,
		opened:   make(chan net.Conn, 100),
		closed:   make(chan net.Conn, 100),
		requests: make(chan []string, 1_000),
		reply:    func(call string) string { return call + " DATA 5\r\nreply\r\n" },
	}
	c.listen()
	return c
}

// listen opens a new listener in place of the previous one, which stays open.
func (c *catalogue) listen() {
	c.t.Helper()
	c.listenAt("127.0.0.1:0")
}

// listenAt does so at an address.
func (c *catalogue) listenAt(address string) {
	c.t.Helper()
	c.listener = listenAt(c.t, address)
	go acceptConnections(c.listener, c.serve)
}

// serve replies to the calls of one connection.
func (c *catalogue) serve(conn net.Conn) {
	c.opened <- conn
	defer func() { c.closed <- conn }()
	readLines(conn, []string{"FETCH"}, func(line lineprotocol.Line) {
		c.requests <- append(line.Words, string(line.Body))
		if line.Words[0] != "FETCH" {
			return
		}
		reply := c.replyTo(line.Words[1])
		if reply == disconnectReply {
			conn.Close()
			return
		}
		fmt.Fprint(conn, reply)
	})
}

func (c *catalogue) replyTo(call string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reply(call)
}

// setReply changes what the catalogue replies to a call.
func (c *catalogue) setReply(reply func(call string) string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reply = reply
}
