package server

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"topazpost/internal/node"
	"topazpost/internal/protocol/frame"
)

const config = `{"name":"n1","listen":"127.0.0.1:0","executor":"127.0.0.1:1","control":"127.0.0.1:1",
	"catalog":"127.0.0.1:1","seed":"8c1f30d27a5be964","stop_ms":3200,
	"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
	"settings":{"grades":[{"name":"hold","aim":1000,"give_up":2600,"effect":"idempotent"}],"family_info":{"memory_kb":9000},
	"guarantees":{"tip_multiple":8}}}`

func server(t *testing.T) *Server {
	n, err := ReadConfig([]byte(config))
	require.NoError(t, err)
	return New(n, zerolog.Nop(), SystemClock())
}

func TestNodeWithoutAnyPeerDrainsAndEnds(t *testing.T) {
	s := server(t)
	s.Drain()
	assert.NoError(t, s.Run(context.Background()))
}

func TestOneConnectionCannotFillTheQueue(t *testing.T) {
	s := server(t)
	s.ctx, s.conns = context.Background(), newConnections(s)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	peer, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	own, err := listener.Accept()
	require.NoError(t, err)
	k := &connection{link: 1, net: own.(*net.TCPConn), turns: make(chan struct{}, turnsMost)}
	s.conns.open[1] = k
	ended := make(chan error, 1)
	go func() { ended <- s.conns.frames(k) }()
	for range turnsMost + 1 {
		_, err = peer.Write(frame.Append(nil, frame.Check, 1, []byte{0}))
		require.NoError(t, err)
	}
	var inputs []node.Input
	for range turnsMost {
		inputs = append(inputs, <-s.inputs)
	}
	assert.Len(t, k.turns, turnsMost, "no turn is left for a further one")
	assert.Empty(t, s.inputs)
	s.conns.taken(inputs[:1])
	assert.Equal(t, node.FrameReceived, (<-s.inputs).Kind)
	require.NoError(t, peer.Close())
	assert.ErrorIs(t, <-ended, io.EOF)
}

func TestEndOfTheContextStopsAtOnce(t *testing.T) {
	ctx, stop := context.WithCancel(context.Background())
	stop()
	assert.ErrorIs(t, server(t).Run(ctx), context.Canceled)
}

func TestAddressOfTheLastLifeIsWaitedFor(t *testing.T) {
	last, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := server(t)
	s.config.Listen = last.Addr().String()
	heard := make(chan error, 1)
	go func() { heard <- s.Listen() }()
	last.Close()
	require.NoError(t, <-heard)
	s.listener.Close()
}

// A drain notice, or the end of the context, that comes while the address is still taken ends the node at once.
func TestNodeThatWaitsForItsAddressCanBeEnded(t *testing.T) {
	last, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer last.Close()
	s := server(t)
	s.config.Listen = last.Addr().String()
	s.Drain()
	assert.NoError(t, s.Run(context.Background()))
	ctx, stop := context.WithCancel(context.Background())
	stop()
	s = server(t)
	s.config.Listen = last.Addr().String()
	assert.ErrorIs(t, s.Run(ctx), context.Canceled)
}

func TestUnusableConfigurationsNameTheirField(t *testing.T) {
	for field, text := range map[string]string{"name": `{}`, "listen": `{"name":"n"}`,
		"seed":          `{"name":"n","listen":":1","executor":":1","control":":1","catalog":":1","seed":"x"}`,
		"stop_ms":       `{"name":"n","listen":":1","executor":":1","control":":1","catalog":":1","seed":"1"}`,
		"configuration": `[`} {
		_, err := ReadConfig([]byte(text))
		assert.ErrorContains(t, err, field)
	}
}

// A site with nothing below its nodes names no catalogue; one that has something must.
func TestCatalogueIsNeededOnlyWhereSomethingLiesBelow(t *testing.T) {
	without := strings.Replace(config, `"catalog":"127.0.0.1:1",`, "", 1)
	n, err := ReadConfig([]byte(without))
	require.NoError(t, err)
	s := New(n, zerolog.Nop(), SystemClock())
	s.Drain()
	assert.NoError(t, s.Run(context.Background()))
	_, err = ReadConfig([]byte(strings.Replace(without, `"memory_kb":9000`, `"memory_kb":9000,"below":"common"`, 1)))
	assert.ErrorContains(t, err, "catalog")
}
