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
	node := startNode(t, false, nil)
	for what, bad := range map[string][]byte{"length": binary.LittleEndian.AppendUint32(nil, 300_000),
		"type": frame.Append(nil, 99, 2, nil), "stream": frame.Append(nil, frame.Invocation, 1, []byte{0})} {
		d := node.dial()
		call := d.invoke(1, "hold")
		await(t, node.executor.commands)
		d.write(bad)
		assert.Contains(t, d.answer(), "51 on 0 ", what)
		assert.Equal(t, noMore, d.answer(), what)
		node.executor.notify("EXIT %d " + call + " good 3 2\r\nok\r\n")
		assert.Equal(t, "20 on 1 ok", d.answer(), what)
		_, ok := d.next()
		assert.False(t, ok, "closed once all is answered: "+what)
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
	node := startNode(t, false, func(config nodeConfig) { config.limits()["sockets"] = 32 })
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
	node := startNode(t, false, nil)
	deaf := node.dial()
	checks := []byte{}
	for range 10_000 {
		checks = frame.Append(checks, frame.Check, 1, []byte{0})
	}
	cut := false
	for i := 0; i < 300 && !cut; i++ {
		_, err := deaf.conn.Write(checks)
		cut = err != nil
		assert.NotErrorIs(t, err, os.ErrDeadlineExceeded)
	}
	assert.True(t, cut)
	d := node.dial()
	d.invoke(1, "fine")
	assert.Equal(t, "20 on 1 fine", d.answer())
}

func TestHostileDispatchersAreDisconnectedWhileAHealthyOneIsServed(t *testing.T) {
	node := startNode(t, false, nil)
	half := frame.Append(nil, frame.Invocation, 1, make([]byte, 500))[:300]
	broken := frame.Append(nil, frame.Invocation, 1, []byte{9})
	endless, many := []byte{}, []byte{}
	for stream := range uint32(100) {
		endless = append(endless, frame.Append(nil, frame.Invocation, stream+1, make([]byte, 200_000))...)
		many = append(many, frame.Append(nil, frame.Invocation, stream+1, []byte{200})...)
	}
	hostile := map[string][]byte{"silent": nil, "half": half, "noise": []byte("GET / HTTP/1.1\r\n\r\n"),
		"huge": binary.LittleEndian.AppendUint32(nil, 1<<31), "negative": {255, 255, 255, 255, 16}, "endless": endless,
		"twice": append(bytes.Clone(broken), broken...), "many": many}
	ended := make(chan string, len(hostile))
	for what, b := range hostile {
		conn, err := net.Dial("tcp", node.address)
		require.NoError(t, err)
		t.Cleanup(func() { conn.Close() })
		go func() { _, _ = conn.Write(b) }() // the node may close the connection first
		go func() {
			_, _ = io.Copy(io.Discard, conn) // a reset is an end as well
			ended <- what
		}()
	}
	sound := node.dial()
	for stream := range uint32(50) {
		sound.invoke(stream+1, "fine")
		assert.Equal(t, fmt.Sprintf("20 on %d fine", stream+1), sound.answer())
	}
	for range hostile {
		await(t, ended)
	}
}
