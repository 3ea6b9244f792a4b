package integration

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"os"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"topazpost/internal/protocol/frame"
)

func TestMalformedFramesOfDispatchers(t *testing.T) {
	node := startNode(t, nil)
	for field, malformed := range map[string][]byte{
		"length": binary.LittleEndian.AppendUint32(nil, 300_000),
		"type":   frame.Append(nil, 99, 2, nil),
		"stream": frame.Append(nil, frame.Invocation, 1, []byte{0}),
	} {
		t.Run(field, func(t *testing.T) {
			d := node.dial()
			d.t = t
			call := d.invoke(1, "hold")
			await(t, node.executor.commands)
			d.write(malformed)
			assert.Contains(t, d.answer(), "51 on 0 ")
			assert.Equal(t, noMore, d.answer())
			node.executor.notify("EXIT %d " + call + " good 3 2\r\nok\r\n")
			assert.Equal(t, "20 on 1 ok", d.answer())
			_, ok := d.next()
			assert.False(t, ok, "closed once all is answered")
		})
	}
	d := node.dial()
	d.write(frame.Append(nil, frame.Invocation, 1, []byte{9}))
	assert.Equal(t, "51 on 1 ", d.answer())
	d.invoke(2, string(make([]byte, 3_000)))
	assert.Equal(t, "51 on 2 ", d.answer())
	d.write(frame.Append(nil, frame.Invocation, 3, make([]byte, 100_000)))
	assert.Equal(t, "51 on 3 ", d.answer())
	d.invoke(4, "fine")
	assert.Equal(t, "20 on 4 fine", d.answer())
}

func TestConnectionFloodLeavesCapacityForActiveClients(t *testing.T) {
	node := startNode(t, func(config nodeConfig) { config.limits()["sockets"] = 32 })
	for range 150 {
		conn, err := net.Dial("tcp", node.address)
		require.NoError(t, err)
		t.Cleanup(func() { conn.Close() })
	}
	d := node.dial()
	d.invoke(1, "fine")
	assert.Equal(t, "20 on 1 fine", d.answer())
}

func TestDispatcherThatDoesNotReadIsDisconnected(t *testing.T) {
	node := startNode(t, nil)
	silent := node.dial()
	checks := bytes.Repeat(healthCheck(), 10_000)
	disconnected := false
	for i := 0; i < 300 && !disconnected; i++ {
		_, err := silent.conn.Write(checks)
		disconnected = err != nil
		assert.NotErrorIs(t, err, os.ErrDeadlineExceeded)
	}
	assert.True(t, disconnected)
	d := node.dial()
	d.invoke(1, "fine")
	assert.Equal(t, "20 on 1 fine", d.answer())
}

func TestHostileDispatchersAreDisconnectedWhileAHealthyOneIsServed(t *testing.T) {
	node := startNode(t, nil)
	invalid := frame.Append(nil, frame.Invocation, 1, []byte{9})
	var large, truncated []byte
	for stream := range uint32(100) {
		large = append(large, frame.Append(nil, frame.Invocation, stream+1, make([]byte, 200_000))...)
		truncated = append(truncated, frame.Append(nil, frame.Invocation, stream+1, []byte{200})...)
	}
	hostile := map[string][]byte{
		"silent":            nil,
		"half a frame":      frame.Append(nil, frame.Invocation, 1, make([]byte, 500))[:300],
		"another protocol":  []byte("GET / HTTP/1.1\r\n\r\n"),
		"huge length":       binary.LittleEndian.AppendUint32(nil, 1<<31),
		"negative length":   {255, 255, 255, 255, 16},
		"large frames":      large,
		"reused stream":     append(bytes.Clone(invalid), invalid...),
		"truncated headers": truncated,
	}
	ended := make(chan string, len(hostile))
	for name, payload := range hostile {
		conn, err := net.Dial("tcp", node.address)
		require.NoError(t, err)
		t.Cleanup(func() { conn.Close() })
		go func() { _, _ = conn.Write(payload) }() // the node may close the connection first
		go func() {
			_, _ = io.Copy(io.Discard, conn) // a reset is an end as well
			ended <- name
		}()
	}
	healthy := node.dial()
	for stream := range uint32(50) {
		healthy.invoke(stream+1, "fine")
		assert.Equal(t, fmt.Sprintf("20 on %d fine", stream+1), healthy.answer())
	}
	for range hostile {
		await(t, ended)
	}
}
