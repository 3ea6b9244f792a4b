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
	"topazpost/internal/resultcache"
)

// contentOf returns the part of a config that may change in service.
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

// configuredNode returns a node that replicates its configuration and has the only replica of its consensus group; start returns its
// initial state.
func configuredNode(t *testing.T, to Addresses, start func(file *configsync.Content) configsync.InitialState) (*StateMachine, error) {
	return configuredNodeOf(t, []string{"n1"}, to, start)
}

// configuredNodeOf does so with the given replicas.
func configuredNodeOf(t *testing.T, replicas []string, to Addresses, start func(file *configsync.Content) configsync.InitialState) (*StateMachine, error) {
	p, err := nodeconfig.FromJSON(1, []byte(testSettings))
	require.NoError(t, err)
	sm := NewStateMachine(p, to, 5_000*ms, 4, 3)
	sm.JoinFleet("mobilier", membership.New(membershipConfig, 0, 1, 0, 1))
	sm.PrepareResultCache(resultcache.Config{Durability: resultcache.OnDisk, MaxBytes: 1 << 20, MaxResultBytes: 1_000}, "dedupe")
	sm.EnableConsensus(replicas, 1<<20, 0, 1)
	file := contentOf(t, p)
	err = sm.EnableConfigSync(0, 1, start(file), file)
	return sm, err
}

// startServing connects a configured node to its executor and waits for a leader. It returns the effects of the node's first step.
func startServing(sm *StateMachine) (effects []Effect) {
	effects = step(sm, Input{Kind: ConnectionOpened, Link: 7})
	step(sm, Input{Kind: ExecutorConnected, Link: sm.executor.dialingLink})
	executorSends(sm, "WELCOME old 0")
	executorSends(sm, "METERS j1 0.1 1 0.1 3")
	for sm.group.replica.Leader() == "" {
		step(sm)
	}
	return effects
}

// initialStateFromFile returns the initial state of a node without a version on disk. Journal is -1 as all must be written anew.
func initialStateFromFile(file *configsync.Content) configsync.InitialState {
	return configsync.InitialState{ContentRevision: configsync.Revision{Digest: file.Digest()}, Content: file, Source: "file", Journal: -1}
}

// awaitRollout lets time pass until the newest version is in force for all nodes.
func awaitRollout(t *testing.T, sm *StateMachine) {
	for range 100 {
		if head := sm.configSync.agreed.Head; head.All.Version == head.Newest {
			return
		}
		passTime(sm, 50*ms)
	}
	t.Fatal("a version stays at the canary stage")
}

// activeItems returns the content in force as items.
func activeItems(sm *StateMachine) (items []nodeconfig.Item) {
	for i := range sm.configSync.replicator.Content().All {
		items = append(items, nodeconfig.Item(i))
	}
	return items
}

// Guards against a replicated version that disturbs invocations in flight or is not reported or persisted. It also checks that a change on an
// old base is refused as stale, and that a repeated command gets its first verdict.
func TestVersionComesIntoForceWithWorkInFlight(t *testing.T) {
	sm, err := configuredNode(t, Addresses{"executor:1", "catalogue:1", "control:1"}, initialStateFromFile)
	require.NoError(t, err)
	first := effectsOfKind(startServing(sm), ReportVersionInForce)
	require.Len(t, first, 1, "the initial version is reported")
	assert.Equal(t, "file", first[0].InForce.Source)
	v, _ := proposePut(t, sm, "a", 0, activeItems(sm)...)
	require.True(t, v.Done, v.Refused)

	awaitRollout(t, sm)
	assert.Equal(t, 1, countRuns(step(sm, arrival(sm, 1, "op", "hold"))))
	v, effects := proposePut(t, sm, "b", 1, removal(nodeconfig.Operations, "hold"), operation("new", ""))
	require.True(t, v.Done, v.Refused)
	inForce := effectsOfKind(effects, ReportVersionInForce)
	require.Len(t, inForce, 1)
	assert.Equal(t, VersionInForce{ContentRevision: sm.configSync.replicator.Revision(), PreviousVersion: 1, Source: "fleet", Canary: true, Added: 1, Removed: 1,
		TookNS: inForce[0].InForce.TookNS}, *inForce[0].InForce)
	persisted := effectsOfKind(effects, PersistVersion)
	require.Len(t, persisted, 1)
	assert.Equal(t, uint64(2), persisted[0].ConfigWrite.Revision.Version)
	assert.Equal(t, []string{"51 on 2"}, framesSent(t, step(sm, arrival(sm, 2, "op", "hold"))))
	assert.Equal(t, 1, countRuns(step(sm, arrival(sm, 3, "op", "new"))))
	assert.Equal(t, []string{"20 on 1"}, framesSent(t, endRun(sm, 1)), "an invocation in flight completes after its operation is removed")

	v, _ = proposePut(t, sm, "c", 1, tenant("x", 3))
	assert.True(t, v.Stale)
	assert.ElementsMatch(t, []configsync.Item{{Part: nodeconfig.Operations, Name: "hold"}, {Part: nodeconfig.Operations, Name: "new"}}, v.Differing)
	again, _ := proposePut(t, sm, "b", 7, operation("other", ""))
	assert.Equal(t, uint64(2), again.Version, "a command with the same sender and sequence number has the same verdict")
}

// Guards against a step that applies an unbounded number of changes of a replicated version. Each of the two passes needs ten steps.
func TestLargeReplicatedVersionIsAppliedInBoundedSteps(t *testing.T) {
	sm, err := configuredNode(t, Addresses{"executor:1", "catalogue:1", "control:1"}, initialStateFromFile)
	require.NoError(t, err)
	startServing(sm)
	content := sm.configSync.replicator.Content()
	var items []configsync.Item
	for k := range 10 * maxChangesPerStep {
		items = append(items, configsync.Item(tenant(fmt.Sprint("t", k), 1)))
	}
	next, err := content.Apply(items)
	require.NoError(t, err)
	revision := configsync.Revision{Version: 9, Digest: next.Digest()}
	sm.executeConfigEffect(&configsync.Effect{Kind: configsync.ApplyVersion, Revision: revision, Old: content, New: next})
	steps := 0
	for ; sm.configSync.pending != nil; steps++ {
		slotsBefore := sm.config.Tenants.Slots()
		effects := sm.Step(sm.now+ms, sm.now+ms+1_000_000*ms, nil)
		assert.LessOrEqual(t, sm.config.Tenants.Slots()-slotsBefore, maxChangesPerStep)
		if sm.configSync.pending != nil {
			assert.Equal(t, sm.now+1, effects[len(effects)-1].At, "the next step is due at once")
		}
	}
	assert.GreaterOrEqual(t, steps, 20, "validated and applied in parts")
	assert.Equal(t, 10*maxChangesPerStep, sm.config.Tenants.Len())
	assert.Equal(t, uint64(9), sm.ActiveVersion())
}

// Guards against a version that comes into force, wholly or in part, at a node that is only to check it. Nodes outside the canary stage
// check a version that is in that stage.
func TestCheckedVersionChangesNothing(t *testing.T) {
	for _, c := range []struct {
		name         string
		item         nodeconfig.Item
		wantRefusals int
		applied      bool // it comes into force for all nodes during the check
	}{
		{"valid", tenant("x", 3), 0, false},
		{"this node can't apply it", operation("new", `,"class_calls":true`), 1, false},
		{"valid, and then applied", tenant("x", 3), 0, true},
	} {
		sm, err := configuredNode(t, Addresses{"executor:1", "", "control:1"}, initialStateFromFile)
		require.NoError(t, err)
		startServing(sm)
		before, content := sm.config.Clone(), sm.configSync.replicator.Content()
		items := []configsync.Item{configsync.Item(c.item)}
		for k := range 3 * maxChangesPerStep {
			items = append(items, configsync.Item(tenant(fmt.Sprint("t", k), 1)))
		}
		next, err := content.Apply(items)
		require.NoError(t, err)
		e := &configsync.Effect{Kind: configsync.CheckVersion, Revision: configsync.Revision{Version: 9, Digest: next.Digest()}, Canary: true, Old: content, New: next}
		sm.executeConfigEffect(e)
		require.NotNil(t, sm.configSync.pending)
		if c.applied {
			step(sm)
			again := *e
			again.Kind = configsync.ApplyVersion
			sm.executeConfigEffect(&again)
		}
		var all []Effect
		for steps := 0; sm.configSync.pending != nil; steps++ {
			all = append(all, step(sm)...)
			require.Less(t, steps, 20, c.name)
		}
		assert.Equal(t, c.wantRefusals, sm.Counters.VersionsRefused, c.name)
		// One report if the version was applied, else none.
		assert.Len(t, effectsOfKind(all, ReportVersionInForce), map[bool]int{true: 1}[c.applied], c.name)
		if !c.applied {
			assert.Equal(t, before, sm.config.Clone(), c.name)
			assert.Zero(t, sm.ActiveVersion(), c.name)
		}
	}
}

// Guards against a node that starts from its file although its disk has a version, or that applies part of one that it can't apply.
func TestNodeStartsFromValidVersionOnDisk(t *testing.T) {
	onDisk := func(items ...nodeconfig.Item) func(file *configsync.Content) configsync.InitialState {
		return func(file *configsync.Content) configsync.InitialState {
			var list []configsync.Item
			for _, i := range items {
				list = append(list, configsync.Item(i))
			}
			content, err := file.Apply(list)
			require.NoError(t, err)
			return configsync.InitialState{ContentRevision: configsync.Revision{Version: 8, Digest: content.Digest()}, Content: content, Source: "disk"}
		}
	}
	sm, err := configuredNode(t, Addresses{"executor:1", "catalogue:1", "control:1"}, onDisk(operation("new", ""), removal(nodeconfig.Operations, "hold")))
	require.NoError(t, err)
	inForce := effectsOfKind(startServing(sm), ReportVersionInForce)
	require.Len(t, inForce, 1)
	assert.Equal(t, []any{"disk", uint64(8), 1, 1}, []any{inForce[0].InForce.Source, inForce[0].InForce.ContentRevision.Version, inForce[0].InForce.Added, inForce[0].InForce.Removed})
	assert.Equal(t, 1, countRuns(step(sm, arrival(sm, 1, "op", "new"))))
	assert.Equal(t, []string{"51 on 2"}, framesSent(t, step(sm, arrival(sm, 2, "op", "hold"))))

	sm, err = configuredNode(t, Addresses{"executor:1", "", "control:1"}, onDisk(operation("new", `,"class_calls":true`)))
	assert.ErrorContains(t, err, "names no catalogue")
	assert.Nil(t, sm.ConfigSyncStatus())
	_, known := sm.config.Operations.Find("new")
	assert.False(t, known, "the configuration is unchanged")
}

// Guards against a step that searches an unbounded part of a large content: a version with few changes, far apart, is applied completely in
// steps that each find a bounded number of them.
func TestScatteredChangesAreAppliedInBoundedSteps(t *testing.T) {
	const tenants, changed, maxPerStep = 40_000, 600, 128 // changes lie in blocks of 13 kB, and a step makes 8 searches of 128 kB
	note := strings.Repeat("n", 280)
	var own, next *configsync.Content
	sm, err := configuredNode(t, Addresses{}, func(file *configsync.Content) configsync.InitialState {
		var all, changes []configsync.Item
		for k := range tenants {
			all = append(all, configsync.Item{Part: configsync.Tenants, Name: fmt.Sprint("tenant-", k), Value: fmt.Appendf(nil, `{"note":%q,"quota_rps":1}`, note)})
		}
		for k := range changed {
			changes = append(changes, configsync.Item{Part: configsync.Tenants, Name: fmt.Sprint("tenant-", 60*k), Value: fmt.Appendf(nil, `{"note":%q,"quota_rps":2}`, note)})
		}
		var err error
		own, err = file.Apply(all)
		require.NoError(t, err)
		next, err = own.Apply(changes)
		require.NoError(t, err)
		return configsync.InitialState{ContentRevision: configsync.Revision{Version: 1, Digest: own.Digest()}, Content: own, Source: "disk", Journal: -1}
	})
	require.NoError(t, err)
	startServing(sm)
	sm.executeConfigEffect(&configsync.Effect{Kind: configsync.ApplyVersion, Old: own, New: next, Revision: configsync.Revision{Version: 2, Digest: next.Digest()}})
	steps, lastApplied := 0, 0
	for ; sm.configSync.pending != nil; steps++ {
		pending := sm.configSync.pending
		require.Less(t, steps, 1_000)
		sm.applyPendingConfig()
		if applied := pending.versionProgress.counts.changed; pending.validation == nil {
			assert.LessOrEqual(t, applied-lastApplied, maxPerStep)
			lastApplied = applied
		}
	}
	assert.GreaterOrEqual(t, steps, 2*changed/maxPerStep, "validated and applied")
	assert.Equal(t, changed, lastApplied)
	for _, k := range []int{0, 60, 61, 60 * (changed - 1)} {
		i, known := sm.config.Tenants.Find(fmt.Sprint("tenant-", k))
		require.True(t, known)
		// The quota is 2 for every 60th tenant, which changed, and 1 for others.
		assert.Equal(t, float64(1+(60-k%60)/60), sm.config.Node.TenantRates[i], k)
	}
}
