package node

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"topazpost/internal/fleet/configsync"
	"topazpost/internal/fleet/envelope"
	"topazpost/internal/nodeconfig"
)

// queryNode is a node's answer to an operator's queryNode, with all effects up to it.
func queryNode(t *testing.T, r *StateMachine, q *configsync.Query) (a *configsync.Answer, all []Effect) {
	text, err := envelope.Seal(nil, envelope.FleetOf("mobilier"), ConfigQueryBody(q))
	require.NoError(t, err)
	in := []Input{{Kind: PeerRequestReceived, Link: 3, From: "10.0.0.9:9", Bytes: text}}
	for range 3_000 {
		r.executor.lastLineAt, r.connections.byLink[7].lastUsedAt = r.now, r.now
		effects := step(r, in...)
		in = nil
		all = append(all, effects...)
		for _, e := range effects {
			if e.Kind == ReplyToExchange && e.Link == 3 {
				a, err = DecodeConfigAnswer(e.Bytes, envelope.FleetOf("mobilier"))
				require.NoError(t, err)
				return a, all
			}
		}
	}
	t.Fatal("no answer")
	return nil, nil
}

// proposePut proposes changes of a version, and steps until the new version is in force or refused.
func proposePut(t *testing.T, r *StateMachine, from string, base uint64, items ...nodeconfig.Item) (v *configsync.Verdict, all []Effect) {
	c := &configsync.Command{Kind: configsync.CommandPut, From: from, Seq: 1, Base: base}
	for _, i := range items {
		if len(i.Value) > 0 {
			var err error
			i.Value, err = configsync.Canonical(i.Value)
			require.NoError(t, err)
		}
		c.Changes = append(c.Changes, configsync.Item(i))
	}
	a, all := queryNode(t, r, &configsync.Query{Kind: configsync.QueryPropose, Command: c})
	require.NotNil(t, a.Verdict, a.Why)
	for range 50 {
		if !a.Verdict.Done || r.ConfigSyncStatus().Version >= a.Verdict.Version || r.ConfigSyncStatus().RefusedVersion >= a.Verdict.Version {
			break
		}
		all = append(all, step(r)...)
	}
	return a.Verdict, append(all, step(r)...)
}

func TestPutIsValidatedBeforeItIsProposed(t *testing.T) {
	r, err := configuredNode(t, Addresses{"executor:1", "catalogue:1", "control:1"}, initialStateFromFile)
	require.NoError(t, err)
	startServing(r)
	for _, c := range []struct {
		item nodeconfig.Item
		want string
	}{
		{operation("new", `,"effect":"whenever"`), "operations.new"},
		{nodeconfig.Item{Part: nodeconfig.Limits, Name: "family_info.n_cores", Value: []byte("4")}, "takes a new start"},
		{nodeconfig.Item{Part: "levels", Name: "x", Value: []byte("4")}, "no such part"},
		{tenant("x", 3), "no operation would be left"},
	} {
		v, _ := proposePut(t, r, c.item.Part+c.item.Name, 0, c.item)
		assert.False(t, v.Done)
		assert.Contains(t, v.Refused, c.want)
	}
}

func TestNodeReportsAVersionItCannotApply(t *testing.T) {
	r, err := configuredNode(t, Addresses{"executor:1", "", "control:1"}, initialStateFromFile)
	require.NoError(t, err)
	startServing(r)
	v, _ := proposePut(t, r, "a", 0, activeItems(r)...)
	require.True(t, v.Done, v.Refused)
	awaitRollout(t, r)
	before := r.config.Clone()
	v, effects := proposePut(t, r, "b", 1, operation("new", `,"class_calls":true`), tenant("x", 3))
	require.True(t, v.Done, "by itself it is valid: %s", v.Refused)
	assert.Empty(t, effectsOfKind(effects, ReportVersionInForce))
	assert.Equal(t, before, r.config.Clone())
	s := r.ConfigSyncStatus()
	assert.Equal(t, []uint64{1, 2}, []uint64{s.Version, s.RefusedVersion})
	assert.Contains(t, s.RefusalReason, "operations.new: class_calls: it makes calls, and this node's own file names no catalogue")
	for range 10 {
		step(r)
	}
	a, _ := queryNode(t, r, &configsync.Query{Kind: configsync.QueryStatus})
	assert.True(t, a.ReplicaStatus.Head.Stopped, "the rollout stops")
	assert.Equal(t, []any{"n1", uint64(1)}, []any{a.ReplicaStatus.Head.Who, a.ReplicaStatus.Head.All.Version})
}
