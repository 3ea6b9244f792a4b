package processfleet

import (
	"math/rand"
	"net"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"topazpost/internal/testbed/hollow"
)

func TestRelaySendsInTheNameOfEachOfManySenders(t *testing.T) {
	t.Parallel()
	const senders = maxSources + 44
	block, held, err := hollow.Reserve()
	require.NoError(t, err)
	defer held.Close()
	addresses := map[netip.Addr]int{}
	for i := range senders {
		addresses[hollow.Bind(block, 1+i)] = 1 + i
	}
	bind, told := hollow.At(hollow.Bind(block, 0)), hollow.At(hollow.Relayed(block, 0))
	daemon, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort(bind)))
	require.NoError(t, err)
	defer daemon.Close()
	w := &links{chance: rand.New(rand.NewSource(1)), cut: map[pair]bool{}, bytes: make([]int64, senders+1), flight: make(chan struct{}, maxDelayed)}
	r, err := newRelay(w, 0, told, bind, addresses)
	require.NoError(t, err)
	defer r.close()
	space := make([]byte, largest)
	for i := range senders {
		at := hollow.Bind(block, 1+i)
		conn, err := net.DialUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(at, 0)), net.UDPAddrFromAddrPort(netip.MustParseAddrPort(told)))
		require.NoError(t, err)
		_, err = conn.Write([]byte("x"))
		require.NoError(t, err)
		_, from, err := daemon.ReadFromUDPAddrPort(space)
		require.NoError(t, err)
		require.Equal(t, at, from.Addr().Unmap(), "the daemon sees the sender, number %d", i)
		conn.Close()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	assert.LessOrEqual(t, len(r.sources), maxSources)
}
