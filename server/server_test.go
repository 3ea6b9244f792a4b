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

const testConfig = `{"name":"n1","listen":"127.0.0.1:0","executor":"127.0.0.1:1","control":"127.0.0.1:1",
	"catalog":"127.0.0.1:1","seed":"8c1f30d27a5be964","stop_ms":3200,
	"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
	"settings":{"grades":[{"name":"hold","aim":1000,"give_up":2600,"effect":"idempotent"}],"family_info":{"memory_kb":9000},
	"guarantees":{"tip_multiple":8}}}`

func newTestServer(t *testing.T) *Server {
	config, err := ReadConfig([]byte(testConfig))
	require.NoError(t, err)
	return New(config, zerolog.Nop(), SystemClock())
}

func TestRunWithoutPeersDrains(t *testing.T) {
	s := newTestServer(t)
	s.Drain()
	assert.NoError(t, s.Run(context.Background()))
}

func TestConnectionCannotFillInputQueue(t *testing.T) {
	s := newTestServer(t)
	s.ctx = context.Background()
	s.conns = newConnections(s)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	peer, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	accepted, err := listener.Accept()
	require.NoError(t, err)
	conn := &connection{link: 1, socket: accepted.(*net.TCPConn), queuedFrames: make(chan struct{}, maxQueuedFrames)}
	s.conns.open[1] = conn
	ended := make(chan error, 1)
	go func() { ended <- s.conns.readFrames(conn) }()
	for range maxQueuedFrames + 1 {
		_, err = peer.Write(frame.Append(nil, frame.HealthCheck, 1, []byte{0}))
		require.NoError(t, err)
	}
	var inputs []node.Input
	for range maxQueuedFrames {
		inputs = append(inputs, <-s.dispatcherInputs)
	}
	assert.Len(t, conn.queuedFrames, maxQueuedFrames, "the connection's queue is full")
	assert.Empty(t, s.dispatcherInputs)
	s.conns.releaseFrames(inputs[:1])
	assert.Equal(t, node.FrameReceived, (<-s.dispatcherInputs).Kind)
	require.NoError(t, peer.Close())
	assert.ErrorIs(t, <-ended, io.EOF)
}

func TestRunEndsWithContext(t *testing.T) {
	ctx, stop := context.WithCancel(context.Background())
	stop()
	assert.ErrorIs(t, newTestServer(t).Run(ctx), context.Canceled)
}

func TestListenRetriesAddressInUse(t *testing.T) {
	other, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := newTestServer(t)
	s.config.Listen = other.Addr().String()
	listened := make(chan error, 1)
	go func() { listened <- s.Listen() }()
	other.Close()
	require.NoError(t, <-listened)
	s.listener.Close()
}

// A drain request, or the end of the context, ends a node that still waits for its address.
func TestRunWaitingForAddressCanBeStopped(t *testing.T) {
	other, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer other.Close()
	s := newTestServer(t)
	s.config.Listen = other.Addr().String()
	s.Drain()
	assert.NoError(t, s.Run(context.Background()))
	ctx, stop := context.WithCancel(context.Background())
	stop()
	s = newTestServer(t)
	s.config.Listen = other.Addr().String()
	assert.ErrorIs(t, s.Run(ctx), context.Canceled)
}

func TestReadConfigErrorNamesField(t *testing.T) {
	for field, text := range map[string]string{"name": `{}`, "listen": `{"name":"n"}`,
		"seed":          `{"name":"n","listen":":1","executor":":1","control":":1","catalog":":1","seed":"x"}`,
		"stop_ms":       `{"name":"n","listen":":1","executor":":1","control":":1","catalog":":1","seed":"1"}`,
		"configuration": `[`} {
		_, err := ReadConfig([]byte(text))
		assert.ErrorContains(t, err, field)
	}
}

// A configuration without a dependency needs no catalogue; one with a dependency does.
func TestCatalogueIsRequiredOnlyWithDependency(t *testing.T) {
	text := strings.Replace(testConfig, `"catalog":"127.0.0.1:1",`, "", 1)
	c, err := ReadConfig([]byte(text))
	require.NoError(t, err)
	s := New(c, zerolog.Nop(), SystemClock())
	s.Drain()
	assert.NoError(t, s.Run(context.Background()))
	_, err = ReadConfig([]byte(strings.Replace(text, `"memory_kb":9000`, `"memory_kb":9000,"below":"common"`, 1)))
	assert.ErrorContains(t, err, "catalog")
}
