package node

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"topazpost/internal/fleet/configsync"
	"topazpost/internal/fleet/membership"
	"topazpost/internal/nodeconfig"
)

// contentOf is the part of a config that may change in service.
func contentOf(t *testing.T, p *nodeconfig.Config) *configsync.Content {
	found, _ := nodeconfig.Diff(nil, p)
	var items []configsync.Item
	for i := range found {
		items = append(items, configsync.Item(found[i]))
	}
	content, err := new(configsync.Content).Apply(items)
	require.NoError(t, err)
	return content
}

// configuredNode is a node with the only replica of its consensus group and a replicated configuration; start gives its initial state.
func configuredNode(t *testing.T, to Addresses, start func(file *configsync.Content) configsync.InitialState) (*StateMachine, error) {
	p, err := nodeconfig.FromJSON(1, []byte(settings))
	require.NoError(t, err)
	r := NewStateMachine(p, to, 5_000*ms, 4, 3)
	r.JoinFleet("mobilier", membership.New(membershipConfig, 0, 1, 0, 1))
	r.EnableConsensus([]string{"n1"}, 1<<20, 0, 1)
	file := contentOf(t, p)
	err = r.EnableConfigSync(0, 1, start(file), file)
	return r, err
}

// startServing brings a configured node up, and returns the effects of its first step.
func startServing(r *StateMachine) (effects []Effect) {
	effects = step(r, Input{Kind: ConnectionOpened, Link: 7})
	step(r, Input{Kind: ExecutorConnected, Link: r.executor.dialingLink})
	told(r, "WELCOME old 0")
	told(r, "METERS j1 0.1 1 0.1 3")
	for r.claiming.replica.Leader() == "" {
		step(r)
	}
	return effects
}

func initialStateFromFile(file *configsync.Content) configsync.InitialState {
	return configsync.InitialState{Mark: configsync.Revision{Digest: file.Digest()}, Content: file, Source: "file", Journal: -1}
}

// awaitRollout lets time pass until no version is at the canary stage.
func awaitRollout(t *testing.T, r *StateMachine) {
	for range 100 {
		if head := r.configSync.agreed.Head; head.All.Version == head.Newest {
			return
		}
		passTime(r, 50*ms)
	}
	t.Fatal("a version stays at the canary stage")
}

// activeItems is the content in force as items.
func activeItems(r *StateMachine) (items []nodeconfig.Item) {
	for i := range r.configSync.replicator.Content().All {
		items = append(items, nodeconfig.Item(i))
	}
	return items
}

func TestVersionComesIntoForceWithWorkInFlight(t *testing.T) {
	r, err := configuredNode(t, Addresses{"executor:1", "catalogue:1", "control:1"}, initialStateFromFile)
	require.NoError(t, err)
	first := effectsOfKind(startServing(r), ReportVersionInForce)
	require.Len(t, first, 1, "the initial version is reported")
	assert.Equal(t, "file", first[0].InForce.Source)
	v, _ := proposePut(t, r, "a", 0, activeItems(r)...)
	require.True(t, v.Done, v.Refused)

	awaitRollout(t, r)
	assert.Equal(t, 1, countRuns(step(r, arrival(r, 1, "op", "hold"))))
	v, effects := proposePut(t, r, "b", 1, removal(nodeconfig.Operations, "hold"), operation("new", ""))
	require.True(t, v.Done, v.Refused)
	in := effectsOfKind(effects, ReportVersionInForce)
	require.Len(t, in, 1)
	assert.Equal(t, VersionInForce{Revision: r.configSync.replicator.Revision(), PreviousVersion: 1, Source: "fleet", Canary: true, Added: 1, Removed: 1,
		TookNS: in[0].InForce.TookNS}, *in[0].InForce)
	kept := effectsOfKind(effects, PersistVersion)
	require.Len(t, kept, 1)
	assert.Equal(t, uint64(2), kept[0].Persisting.Revision.Version)
	assert.Equal(t, []string{"51 on 2"}, answers(t, step(r, arrival(r, 2, "op", "hold"))))
	assert.Equal(t, 1, countRuns(step(r, arrival(r, 3, "op", "new"))))
	assert.Equal(t, []string{"20 on 1"}, answers(t, endRun(r, 1)), "work in flight ends under the old version")

	v, _ = proposePut(t, r, "c", 1, tenant("x", 3))
	assert.True(t, v.Stale)
	assert.ElementsMatch(t, []configsync.Item{{Part: nodeconfig.Operations, Name: "hold"}, {Part: nodeconfig.Operations, Name: "new"}}, v.Differing)
	again, _ := proposePut(t, r, "b", 7, operation("other", ""))
	assert.Equal(t, uint64(2), again.Version, "the same request has the same verdict")
}

func TestLargeReplicatedVersionIsAppliedInBoundedSteps(t *testing.T) {
	r, err := configuredNode(t, Addresses{"executor:1", "catalogue:1", "control:1"}, initialStateFromFile)
	require.NoError(t, err)
	startServing(r)
	content := r.configSync.replicator.Content()
	var items []configsync.Item
	for k := range 10 * maxChangesPerStep {
		items = append(items, configsync.Item(tenant(fmt.Sprint("t", k), 1)))
	}
	next, err := content.Apply(items)
	require.NoError(t, err)
	mark := configsync.Revision{Version: 9, Digest: next.Digest()}
	r.executeConfigEffect(&configsync.Effect{Kind: configsync.ApplyVersion, Revision: mark, Old: content, New: next})
	steps := 0
	for ; r.configSync.pending != nil; steps++ {
		was := r.config.Tenants.Slots()
		effects := r.Step(r.now+ms, r.now+ms+1_000_000*ms, nil)
		assert.LessOrEqual(t, r.config.Tenants.Slots()-was, maxChangesPerStep)
		if r.configSync.pending != nil {
			assert.Equal(t, r.now+1, effects[len(effects)-1].At, "it goes on at once")
		}
	}
	assert.GreaterOrEqual(t, steps, 20, "validated and applied a part at a time")
	assert.Equal(t, 10*maxChangesPerStep, r.config.Tenants.Len())
	assert.Equal(t, uint64(9), r.ActiveVersion())
}

// A version at the canary stage is validated at the other nodes, and nothing of it is in force there.
func TestCheckedVersionChangesNothing(t *testing.T) {
	for _, c := range []struct {
		name    string
		item    nodeconfig.Item
		refused int
		taken   bool // it becomes in force for all meanwhile
	}{
		{"sound", tenant("x", 3), 0, false},
		{"one that this node can't take", operation("new", `,"class_calls":true`), 1, false},
		{"sound, and its turn comes", tenant("x", 3), 0, true},
	} {
		r, err := configuredNode(t, Addresses{"executor:1", "", "control:1"}, initialStateFromFile)
		require.NoError(t, err)
		startServing(r)
		before, content := r.config.Clone(), r.configSync.replicator.Content()
		items := []configsync.Item{configsync.Item(c.item)}
		for k := range 3 * maxChangesPerStep {
			items = append(items, configsync.Item(tenant(fmt.Sprint("t", k), 1)))
		}
		next, err := content.Apply(items)
		require.NoError(t, err)
		e := &configsync.Effect{Kind: configsync.CheckVersion, Revision: configsync.Revision{Version: 9, Digest: next.Digest()}, Canary: true, Old: content, New: next}
		r.executeConfigEffect(e)
		require.NotNil(t, r.configSync.pending)
		if c.taken {
			step(r)
			again := *e
			again.Kind = configsync.ApplyVersion
			r.executeConfigEffect(&again)
		}
		var all []Effect
		for steps := 0; r.configSync.pending != nil; steps++ {
			all = append(all, step(r)...)
			require.Less(t, steps, 20, c.name)
		}
		assert.Equal(t, c.refused, r.Counters.VersionsRefused, c.name)
		assert.Len(t, effectsOfKind(all, ReportVersionInForce), map[bool]int{true: 1}[c.taken], c.name)
		if !c.taken {
			assert.Equal(t, before, r.config.Clone(), c.name)
			assert.Zero(t, r.ActiveVersion(), c.name)
		}
	}
}

func TestNodeStartsFromValidVersionOnDisk(t *testing.T) {
	kept := func(items ...nodeconfig.Item) func(file *configsync.Content) configsync.InitialState {
		return func(file *configsync.Content) configsync.InitialState {
			var list []configsync.Item
			for _, i := range items {
				list = append(list, configsync.Item(i))
			}
			content, err := file.Apply(list)
			require.NoError(t, err)
			return configsync.InitialState{Mark: configsync.Revision{Version: 8, Digest: content.Digest()}, Content: content, Source: "disk"}
		}
	}
	r, err := configuredNode(t, Addresses{"executor:1", "catalogue:1", "control:1"}, kept(operation("new", ""), removal(nodeconfig.Operations, "hold")))
	require.NoError(t, err)
	in := effectsOfKind(startServing(r), ReportVersionInForce)
	require.Len(t, in, 1)
	assert.Equal(t, []any{"disk", uint64(8), 1, 1}, []any{in[0].InForce.Source, in[0].InForce.Revision.Version, in[0].InForce.Added, in[0].InForce.Removed})
	assert.Equal(t, 1, countRuns(step(r, arrival(r, 1, "op", "new"))))
	assert.Equal(t, []string{"51 on 2"}, answers(t, step(r, arrival(r, 2, "op", "hold"))))

	r, err = configuredNode(t, Addresses{"executor:1", "", "control:1"}, kept(operation("new", `,"class_calls":true`)))
	assert.ErrorContains(t, err, "names no catalogue")
	assert.Nil(t, r.ConfigSyncStatus())
	_, known := r.config.Operations.Find("new")
	assert.False(t, known, "nothing is changed")
}

// A version with scattered changes in a large content is applied as a whole, in steps that each search a bounded part of it.
func TestScatteredChangesAreAppliedInBoundedSteps(t *testing.T) {
	const tenants, changed, most = 40_000, 600, 128 // most a step: each lies in a block of 13 kB
	note := strings.Repeat("n", 280)
	var own, next *configsync.Content
	r, err := configuredNode(t, Addresses{}, func(file *configsync.Content) configsync.InitialState {
		var all, some []configsync.Item
		for k := range tenants {
			all = append(all, configsync.Item{Part: configsync.Tenants, Name: fmt.Sprint("tenant-", k), Value: fmt.Appendf(nil, `{"note":%q,"quota_rps":1}`, note)})
		}
		for k := range changed {
			some = append(some, configsync.Item{Part: configsync.Tenants, Name: fmt.Sprint("tenant-", 60*k), Value: fmt.Appendf(nil, `{"note":%q,"quota_rps":2}`, note)})
		}
		var err error
		own, err = file.Apply(all)
		require.NoError(t, err)
		next, err = own.Apply(some)
		require.NoError(t, err)
		return configsync.InitialState{Mark: configsync.Revision{Version: 1, Digest: own.Digest()}, Content: own, Source: "disk", Journal: -1}
	})
	require.NoError(t, err)
	startServing(r)
	r.executeConfigEffect(&configsync.Effect{Kind: configsync.ApplyVersion, Old: own, New: next, Revision: configsync.Revision{Version: 2, Digest: next.Digest()}})
	steps, last := 0, 0
	for ; r.configSync.pending != nil; steps++ {
		taking := r.configSync.pending
		require.Less(t, steps, 1_000)
		r.applyPendingConfig()
		if taken := taking.progress.counts.changed; taking.validation == nil {
			assert.LessOrEqual(t, taken-last, most)
			last = taken
		}
	}
	assert.GreaterOrEqual(t, steps, 2*changed/most, "validated, and applied")
	assert.Equal(t, changed, last)
	for _, k := range []int{0, 60, 61, 60 * (changed - 1)} {
		i, known := r.config.Tenants.Find(fmt.Sprint("tenant-", k))
		require.True(t, known)
		assert.Equal(t, float64(1+(60-k%60)/60), r.config.Node.TenantRates[i], k)
	}
}
