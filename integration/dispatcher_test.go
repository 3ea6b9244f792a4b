package integration

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"topazpost/internal/protocol/frame"
)

// noMore is what answer returns for the notice that the node accepts no more invocations on the connection.
const noMore = "no more"

// dispatcher is a stand-in for a dispatcher: one connection to a node.
type dispatcher struct {
	t      testing.TB
	conn   net.Conn
	parser frame.Parser
}

// dial connects a dispatcher to the node, for the length of the test.
func (n *testNode) dial() *dispatcher {
	n.t.Helper()
	conn, err := net.Dial("tcp", n.address)
	require.NoError(n.t, err)
	n.t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(testTimeout))
	return &dispatcher{t: n.t, conn: conn}
}

// invoke sends an invocation and returns its id.
func (d *dispatcher) invoke(stream uint32, body string) string {
	d.t.Helper()
	call := newCallID(stream)
	d.write(invocation("catalogue", call, stream, body))
	return call
}

// invokeWithToken sends an invocation with an idempotency token.
func (d *dispatcher) invokeWithToken(stream uint32, token, body string) {
	d.t.Helper()
	d.invokeOperationWithToken("catalogue", stream, token, body)
}

// invokeOperationWithToken does so for an operation.
func (d *dispatcher) invokeOperationWithToken(operation string, stream uint32, token, body string) {
	d.t.Helper()
	d.write(frame.AppendInvocation(nil, stream, []frame.Field{
		{Name: "op", Value: operation},
		{Name: "call", Value: newCallID(stream)},
		{Name: "recv", Value: strconv.FormatInt(time.Now().UnixMilli(), 10)},
		{Name: "src", Value: "4"},
		{Name: "heap", Value: "24.5"},
		{Name: "dedupe", Value: token},
	}, []byte(body)))
}

// newCallID returns an id that ends in the number of the stream.
func newCallID(stream uint32) string {
	return fmt.Sprintf("%08x%08x", time.Now().UnixNano()&0xffffffff, stream)
}

// invocation returns the frame of an invocation.
func invocation(operation, call string, stream uint32, body string) []byte {
	return frame.AppendInvocation(nil, stream, []frame.Field{
		{Name: "op", Value: operation},
		{Name: "call", Value: call},
		{Name: "recv", Value: strconv.FormatInt(time.Now().UnixMilli(), 10)},
		{Name: "src", Value: "4"},
		{Name: "work", Value: "12.5"},
		{Name: "heap", Value: "24.5"},
		{Name: "crit", Value: "0.6"},
	}, []byte(body))
}

// healthCheck returns the frame of a health check.
func healthCheck() []byte { return frame.Append(nil, frame.HealthCheck, 1, []byte{0}) }

// write sends bytes.
func (d *dispatcher) write(b []byte) {
	d.t.Helper()
	_, err := d.conn.Write(b)
	require.NoError(d.t, err)
}

// next returns the next frame; ok is false at the end of the connection.
func (d *dispatcher) next() (f frame.Frame, ok bool) {
	d.t.Helper()
	for {
		f, ok, err := d.parser.Next()
		require.NoError(d.t, err)
		if ok {
			f.Payload = bytes.Clone(f.Payload)
			return f, true
		}
		n, err := d.conn.Read(d.parser.Space())
		if err != nil {
			return f, false
		}
		d.parser.Wrote(n)
	}
}

// answer returns the code, stream and body of the next answer.
func (d *dispatcher) answer() string {
	d.t.Helper()
	f, ok := d.next()
	require.True(d.t, ok, "the connection ended")
	if f.Type == frame.GoAway {
		return noMore
	}
	_, body, err := frame.Fields(f.Payload[1:])
	require.NoError(d.t, err)
	return fmt.Sprintf("%d on %d %s", f.Payload[0], f.Stream, body)
}

// awaitNoMore reads all answers up to the notice that the node accepts no more invocations.
func (d *dispatcher) awaitNoMore() {
	d.t.Helper()
	for d.answer() != noMore {
	}
}

// assertClosed checks that the node closes the connection without a reset and sends nothing more before.
func (d *dispatcher) assertClosed() {
	d.t.Helper()
	remaining, err := io.ReadAll(d.conn)
	assert.NoError(d.t, err, "a reset loses answers on their way")
	assert.Empty(d.t, remaining)
}

// answersHealthCheck reports whether a node at the address answers a health check as healthy.
func answersHealthCheck(address string) bool {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return false
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(time.Second))
	if _, err := conn.Write(healthCheck()); err != nil {
		return false
	}
	answer := make([]byte, 10)
	_, err = io.ReadFull(conn, answer)
	return err == nil && answer[4] == frame.HealthStatus && answer[9] == frame.Healthy
}
