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
	config, err := ReadConfig([]byte(testConfig))
	require.NoError(t, err)
	config.Fleet = &fleetconfig.Fleet{Name: "f", Bind: "127.0.0.1:0", Membership: membership.Config{Name: "n1", Address: "127.0.0.1:1", MaxMembers: 8}}
	s := New(config, zerolog.Nop(), SystemClock())
	ctx, cancel := context.WithCancel(t.Context())
	s.ctx = ctx
	s.group = newTestGroup(t)
	defer cancel()
	fleet := s.fleet
	for fleet.offerDatagram("127.0.0.1:2", nil) {
	}
	peer, accepted := net.Pipe()
	defer peer.Close()
	ended := make(chan struct{})
	go func() { defer close(ended); defer accepted.Close(); fleet.serveConn(accepted, func() {}) }()
	require.NoError(t, writeMessage(peer, make([]byte, 64)))
	var number int
	require.Eventually(t, func() bool {
		inputs := fleet.appendQueued(nil)
		k := slices.IndexFunc(inputs, func(in node.Input) bool { return in.Kind == node.PeerRequestReceived })
		if k >= 0 {
			number = inputs[k].Link
		}
		for fleet.offerDatagram("127.0.0.1:2", nil) { // their queue is always full
		}
		return k >= 0
	}, 10*time.Second, time.Millisecond, "an exchange is served while datagrams fill their queue")
	fleet.reply(&node.Effect{Link: number, Bytes: make([]byte, 32)})
	response, err := readMessage(peer)
	require.NoError(t, err)
	assert.Len(t, response, 32)
	<-ended
}
