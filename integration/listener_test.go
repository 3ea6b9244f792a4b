package integration

import (
	"bytes"
	"net"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"topazpost/internal/protocol/lineprotocol"
)

// listen opens a listener on a free port, for the length of the test.
func listen(t testing.TB) net.Listener {
	t.Helper()
	return listenAt(t, "127.0.0.1:0")
}

// listenAt opens a listener at an address, for the length of the test.
func listenAt(t testing.TB, address string) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	return listener
}

// acceptConnections serves each connection in a goroutine of its own until the listener is closed.
func acceptConnections(listener net.Listener, serve func(conn net.Conn)) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go serve(conn)
	}
}

// readLines hands each line of a connection to handle until the connection ends. A line of one of the commands in
// withBody has a body.
func readLines(conn net.Conn, withBody []string, handle func(line lineprotocol.Line)) {
	parser := lineprotocol.Parser{HasBody: func(words []string) bool { return slices.Contains(withBody, words[0]) }}
	for {
		n, err := conn.Read(parser.Space())
		if err != nil {
			return
		}
		parser.Wrote(n)
		for {
			line, ok, err := parser.Next()
			if err != nil || !ok {
				break
			}
			line.Body = bytes.Clone(line.Body)
			handle(line)
		}
	}
}
