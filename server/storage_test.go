package server

import (
	"context"
	"net"
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"topazpost/internal/fleet/fleetconfig"
	"topazpost/internal/fleet/membership"
	"topazpost/internal/resultcache/cacheconfig"
	"topazpost/internal/resultcache/segmentstore"
)

// A node whose fleet sockets can't be opened leaves its sockets closed and its folders unlocked.
func TestRunReleasesStorageWhenFleetCannotStart(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer taken.Close()
	c, err := ReadConfig([]byte(strings.Replace(testConfig, `"effect":"idempotent"`, `"effect":"deduplicated","window":10000`, 1)))
	require.NoError(t, err)
	c.Fleet = &fleetconfig.Fleet{Name: "f", Bind: taken.Addr().String(), Membership: membership.Config{Name: "n1", Address: "127.0.0.1:1", MaxMembers: 8}}
	c.Keep = cacheconfig.Default(c.Settings.Node.Operations, c.MemoryMB)
	require.NotNil(t, c.Keep)
	c.Keep.Folder = t.TempDir()
	c.Keep.Limits = segmentstore.Limits{SegmentBytes: 64 << 20, MaxBytes: 256 << 20}
	s := New(c, zerolog.Nop(), SystemClock())
	require.NoError(t, s.Listen())

	assert.ErrorContains(t, s.Run(context.Background()), "fleet: listen")

	unlock, err := LockStore(c.Keep.Folder)
	require.NoError(t, err, "the folder is unlocked")
	unlock()
	_, err = net.Dial("tcp", s.Addr().String())
	assert.Error(t, err, "the listening socket is closed")
}
