package consensus

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"topazpost/internal/fleet/claims"
	"topazpost/internal/fleet/configsync"
)

func tenantItem(name string) configsync.Item {
	return configsync.Item{Part: configsync.Tenants, Name: name, Value: []byte(`{"quota_rps":1}`)}
}

// propose sends a command from n3, a node without a replica, to a replica, and returns the verdict.
func (s *simulation) propose(t *testing.T, replica int, c configsync.Command) configsync.Verdict {
	node := s.nodes[3]
	node.configVerdicts = nil
	s.send(3, s.nodes[replica].name, Message{Kind: MessagePropose, From: node.name, Owner: node.owner(), ConfigCommands: []configsync.Command{c}})
	s.run(s.now + 500*ms)
	require.Len(t, node.configVerdicts, 1, "one verdict on one command")
	assert.Equal(t, []any{c.Caller, c.Seq}, []any{node.configVerdicts[0].Caller, node.configVerdicts[0].Seq})
	return node.configVerdicts[0]
}

func (s *simulation) heads() (list []configsync.RolloutState) {
	for _, node := range s.nodes[:len(s.members)] {
		list = append(list, node.replica.configs.table.Head())
	}
	return list
}

// Committed versions, the stopped canary and the verdicts are the same at all replicas, also after a restart at which one disk is lost.
func TestConfigVersionsSurviveRestarts(t *testing.T) {
	sim := newDiskSimulation(t, 4, 3)
	for _, node := range sim.nodes[:3] {
		encoded, err := node.replica.configs.Snapshot()
		require.NoError(t, err)
		assert.Empty(t, encoded, "the snapshots of a group without a configuration have an empty part for it")
		assert.False(t, node.replica.configs.storedSeparately())
	}
	put := configsync.Command{Kind: configsync.CommandPut, Caller: "a", Seq: 1, Changes: []configsync.Item{tenantItem("x")}}
	v := sim.propose(t, 0, put)
	assert.Equal(t, configsync.Verdict{Caller: "a", Seq: 1, Done: true, Version: 1}, v)
	assert.Equal(t, v, sim.propose(t, 1, put), "a repeated command at another replica gets the same verdict")
	v = sim.propose(t, 2, configsync.Command{Kind: configsync.CommandPut, Caller: "b", Seq: 1, Changes: []configsync.Item{tenantItem("y")}})
	assert.True(t, v.Stale)
	assert.Equal(t, []configsync.Item{{Part: configsync.Tenants, Name: "x"}}, v.Differing)

	sim.run(sim.now + 4_000*ms)
	for _, h := range sim.heads() {
		assert.Equal(t, uint64(1), h.All.Version, "the leader rolls the version out to all after the canary stage")
	}
	for k := range 3 { // one change in several commands
		v = sim.propose(t, k, configsync.Command{Kind: configsync.CommandPut, Caller: "c", Seq: uint64(k + 1), Base: 1, Piece: k, MorePieces: k < 2,
			Changes: []configsync.Item{tenantItem(fmt.Sprint("z", k))}})
		assert.True(t, v.Done, v.Refused)
	}
	assert.Equal(t, uint64(2), v.Version)
	sim.nodes[3].configVerdicts = nil
	sim.send(3, "n1", Message{Kind: MessagePropose, From: "n3", Owner: claims.Owner{Name: "n3", Incarnation: sim.nodes[3].incarnation},
		ConfigCommands: []configsync.Command{{Kind: configsync.CommandStop, Version: 2, StoppedBy: "n3"}}})
	sim.run(sim.now + 500*ms)
	assert.False(t, sim.heads()[0].Stopped, "only a replica may stop a version")
	sim.nodes[1].replicaInputs = append(sim.nodes[1].replicaInputs, Input{ConfigCommands: []configsync.Command{{Kind: configsync.CommandStop, Version: 2, StoppedBy: "n7", StopReason: "no"}}})
	sim.wakeNow(1)
	sim.run(sim.now + 6_000*ms)
	want := sim.heads()[0]
	assert.Equal(t, []any{uint64(1), uint64(2), true, "n7"}, []any{want.All.Version, want.Canary.Version, want.Stopped, want.StoppedBy})

	for i := range 3 {
		sim.kill(i)
	}
	sim.nodes[2].disk = &simDisk{} // one disk is lost
	sim.run(sim.now + 1_000*ms)
	for i := range 3 {
		sim.start(i)
	}
	sim.run(sim.now + 8_000*ms)
	for i, h := range sim.heads() {
		assert.Equal(t, want, h, "replica %d", i)
		agreed, changed := sim.nodes[i].replica.AgreedConfig()
		assert.True(t, changed)
		require.NotNil(t, agreed)
		assert.Equal(t, 4, agreed.Newest.Len(configsync.Tenants))
		_, changed = sim.nodes[i].replica.AgreedConfig()
		assert.False(t, changed, "a change is reported once")
	}
	v = sim.propose(t, 2, configsync.Command{Kind: configsync.CommandRollback, Caller: "d", Seq: 1, Version: 1})
	assert.Equal(t, configsync.Verdict{Caller: "d", Seq: 1, Done: true, Version: 3}, v)
	assert.Equal(t, uint64(3), sim.heads()[0].All.Version)
}

func TestInvalidConfigChangeIsNotProposed(t *testing.T) {
	sim := newDiskSimulation(t, 4, 3)
	for _, node := range sim.nodes[:3] {
		node.replica.SetConfigValidator(func(c *configsync.Command) string { return "invalid: " + c.Changes[0].Name })
	}
	v := sim.propose(t, 0, configsync.Command{Kind: configsync.CommandPut, Caller: "a", Seq: 1, Changes: []configsync.Item{tenantItem("x")}})
	assert.Equal(t, "invalid: x", v.Refused)
	assert.Zero(t, sim.heads()[0].Newest)
	assert.False(t, sim.nodes[0].replica.configs.inUse)
}
