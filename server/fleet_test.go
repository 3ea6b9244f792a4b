package server

import (
	"context"
	"net"
	"slices"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"topazpost/internal/fleet/fleetconfig"
	"topazpost/internal/fleet/membership"
	"topazpost/internal/node"
)

func TestDatagramsDoNotStarveExchanges(t *testing.T) {
	n, err := ReadConfig([]byte(testConfig))
	require.NoError(t, err)
	n.Fleet = &fleetconfig.Fleet{Name: "f", Bind: "127.0.0.1:0", Terms: membership.Config{Name: "n1", Address: "127.0.0.1:1", MaxMembers: 8}}
	s := New(n, zerolog.Nop(), SystemClock())
	ctx, end := context.WithCancel(t.Context())
	s.ctx, s.group = ctx, newTestGroup(t)
	defer end()
	p := s.fleet
	for p.offerDatagram("127.0.0.1:2", nil) {
	}
	peer, own := net.Pipe()
	defer peer.Close()
	ended := make(chan struct{})
	go func() { defer close(ended); defer own.Close(); p.serveConn(own, func() {}) }()
	require.NoError(t, writeMessage(peer, make([]byte, 64)))
	var asked int
	require.Eventually(t, func() bool {
		inputs := p.appendQueued(nil)
		k := slices.IndexFunc(inputs, func(in node.Input) bool { return in.Kind == node.PeerRequestReceived })
		if k >= 0 {
			asked = inputs[k].Link
		}
		for p.offerDatagram("127.0.0.1:2", nil) { // they come all the time
		}
		return k >= 0
	}, 10*time.Second, time.Millisecond, "an exchange comes through beside datagrams that fill their queue")
	p.reply(&node.Effect{Link: asked, Bytes: make([]byte, 32)})
	answer, err := readMessage(peer)
	require.NoError(t, err)
	assert.Len(t, answer, 32)
	<-ended
}
