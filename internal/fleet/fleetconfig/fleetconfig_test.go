package fleetconfig

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"topazpost/internal/fleet/quota"
)

func writeFleetFile(t *testing.T, text string) string {
	path := filepath.Join(t.TempDir(), "fleet.jsonnet")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

func TestReadAppliesDefaults(t *testing.T) {
	f, err := Read(writeFleetFile(t, `{ fleet: 'x', bind: '127.0.0.1:7946', seeds: ['127.0.0.2:7946'], silence: '6 s', clock_behind: '10 s' }`), "n1")
	require.NoError(t, err)
	assert.Equal(t, "127.0.0.1:7946", f.Membership.Address)
	assert.Equal(t, []int64{6_000_000_000, defaultProbeInterval, defaultSuspicionTimeout, -10_000_000_000}, []int64{f.Membership.LinkTimeout, f.Membership.ProbeInterval, f.Membership.SuspicionTimeout, f.ClockOffset})
	assert.Contains(t, f.Describe(), "pauses of a node's process of up to 5.5 s are tolerated")
}

func TestReadReportsAllProblems(t *testing.T) {
	_, err := Read(writeFleetFile(t, "{\n fleet: 'x',\n bind: 'here',\n probe: '10 ms',\n settle: '9 s',\n forget: '1 s',\n any_address: true,\n}"), "n1")
	require.Error(t, err)
	for _, want := range []string{":3: bind: \"here\" is not an address", ":4: probe: is shorter", ":5: settle: is longer", ":6: forget: is shorter", ":7: any_address: requires"} {
		assert.Contains(t, err.Error(), want)
	}
}

func TestReadAcceptsDeployedFleet(t *testing.T) {
	_, err := Read("../../../deploy/fleet.jsonnet", "n1")
	assert.NoError(t, err)
}

func TestReadAcceptsDeployedFleetWithConsensusGroup(t *testing.T) {
	f, err := Read("../../../deploy/fleet-council.jsonnet", "n1")
	require.NoError(t, err)
	assert.Equal(t, &ConsensusGroup{Replicas: []string{"n1", "n2", "n3"}, MaxTableBytes: 4 << 20, CallQuotaVersion: 1,
		CallQuota: &quota.HolderConfig{Name: "calls", Units: 90, MaxUseTime: 1_000_000_000, LeaseTerm: 4_000_000_000}}, f.ConsensusGroup)
	assert.Contains(t, f.Describe(), "at most 90 calls in use fleet-wide")
	assert.Equal(t, int64(1_300_000_000), f.DetectionTime())
	assert.Contains(t, f.Describe(), "which tolerates the loss of 1 at a time")
}

func TestReadRejectsInvalidConsensusGroups(t *testing.T) {
	for seats, want := range map[string]string{"['a', 'b']": "lists 2 nodes, expected 1, 3 or 5", "['a', 'b', 'a']": "lists a node twice"} {
		_, err := Read(writeFleetFile(t, "{\n fleet: 'x',\n bind: '127.0.0.1:7946',\n council: { seats: "+seats+" },\n}"), "n1")
		assert.ErrorContains(t, err, "council.seats: "+want)
	}
	_, err := Read(writeFleetFile(t, "{\n fleet: 'x',\n bind: '127.0.0.1:7946',\n council: { seats: ['a'], table: '64 MiB' },\n}"), "n1")
	assert.ErrorContains(t, err, "choose 64 KiB to 12 MiB")
}
