package node

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"topazpost/internal/fleet/configsync"
	"topazpost/internal/fleet/envelope"
	"topazpost/internal/nodeconfig"
)

// queryNode sends a node an operator's query and steps the node until it answers. It returns the answer and all effects so far.
func queryNode(t *testing.T, sm *StateMachine, q *configsync.Query) (a *configsync.Answer, all []Effect) {
	text, err := envelope.Seal(nil, envelope.FleetIDOf("mobilier"), ConfigQueryBody(q))
	require.NoError(t, err)
	in := []Input{{Kind: PeerRequestReceived, Link: 3, From: "10.0.0.9:9", Bytes: text}}
	for range 3_000 {
		sm.executor.lastLineAt, sm.connections.byLink[7].lastUsedAt = sm.now, sm.now
		effects := step(sm, in...)
		in = nil
		all = append(all, effects...)
		for _, e := range effects {
			if e.Kind == ReplyToExchange && e.Link == 3 {
				a, err = DecodeConfigAnswer(e.Bytes, envelope.FleetIDOf("mobilier"))
				require.NoError(t, err)
				return a, all
			}
		}
	}
	t.Fatal("no answer")
	return nil, nil
}

// proposePut proposes changes to a base version, and steps until the node applied or refused the new version. It returns the verdict and
// all effects.
func proposePut(t *testing.T, sm *StateMachine, from string, base uint64, items ...nodeconfig.Item) (v *configsync.Verdict, all []Effect) {
	c := &configsync.Command{Kind: configsync.CommandPut, Caller: from, Seq: 1, Base: base}
	for _, i := range items {
		if len(i.Value) > 0 {
			var err error
			i.Value, err = configsync.Canonical(i.Value)
			require.NoError(t, err)
		}
		c.Changes = append(c.Changes, configsync.Item(i))
	}
	a, all := queryNode(t, sm, &configsync.Query{Kind: configsync.QueryPropose, Command: c})
	require.NotNil(t, a.Verdict, a.Why)
	for range 50 {
		if !a.Verdict.Done || sm.ConfigSyncStatus().Version >= a.Verdict.Version || sm.ConfigSyncStatus().Refused >= a.Verdict.Version {
			break
		}
		all = append(all, step(sm)...)
	}
	return a.Verdict, append(all, step(sm)...)
}

// Guards against an invalid change that gets into the consensus group's log. Each case has a sender of its own, since a repeated sequence
// number of a sender gets the earlier verdict.
func TestPutIsValidatedBeforeItIsProposed(t *testing.T) {
	sm, err := configuredNode(t, Addresses{"executor:1", "catalogue:1", "control:1"}, initialStateFromFile)
	require.NoError(t, err)
	startServing(sm)
	for _, c := range []struct {
		item nodeconfig.Item
		want string
	}{
		{operation("new", `,"effect":"whenever"`), "operations.new"},
		{nodeconfig.Item{Part: nodeconfig.Limits, Name: "family_info.n_cores", Value: []byte("4")}, "takes a new start"},
		{nodeconfig.Item{Part: "levels", Name: "x", Value: []byte("4")}, "no such part"},
		{tenant("x", 3), "no operation would be left"}, // nothing is agreed on yet
	} {
		v, _ := proposePut(t, sm, c.item.Part+c.item.Name, 0, c.item)
		assert.False(t, v.Done)
		assert.Contains(t, v.Refused, c.want)
	}
}

// Guards against a version that a node can't apply coming into force in part, or its rollout going on to other nodes.
func TestNodeReportsAVersionItCannotApply(t *testing.T) {
	sm, err := configuredNode(t, Addresses{"executor:1", "", "control:1"}, initialStateFromFile)
	require.NoError(t, err)
	startServing(sm)
	v, _ := proposePut(t, sm, "a", 0, activeItems(sm)...)
	require.True(t, v.Done, v.Refused)
	awaitRollout(t, sm)
	before := sm.config.Clone()
	v, effects := proposePut(t, sm, "b", 1, operation("new", `,"class_calls":true`), tenant("x", 3))
	require.True(t, v.Done, "a command that this node can't apply is valid for the fleet: %s", v.Refused)
	assert.Empty(t, effectsOfKind(effects, ReportVersionInForce))
	assert.Equal(t, before, sm.config.Clone())
	s := sm.ConfigSyncStatus()
	assert.Equal(t, []uint64{1, 2}, []uint64{s.Version, s.Refused})
	assert.Contains(t, s.Why, "operations.new: class_calls: the operation makes calls, but this node's own file names no catalogue")
	for range 10 {
		step(sm)
	}
	a, _ := queryNode(t, sm, &configsync.Query{Kind: configsync.QueryStatus})
	assert.True(t, a.ReplicaStatus.Head.Stopped, "the rollout is stopped")
	assert.Equal(t, []any{"n1", uint64(1)}, []any{a.ReplicaStatus.Head.StoppedBy, a.ReplicaStatus.Head.All.Version})
}
