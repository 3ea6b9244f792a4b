package node

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"topazpost/internal/fleet/configsync"
	"topazpost/internal/nodeconfig"
)

// connectExecutor opens connection 7 and a link to the executor, which is synced.
func connectExecutor(sm *StateMachine) {
	step(sm, Input{Kind: ConnectionOpened, Link: 7})
	step(sm, Input{Kind: ExecutorConnected, Link: sm.executor.dialingLink})
	executorSends(sm, "WELCOME old 0")
	executorSends(sm, "METERS j1 0.1 1 0.1 3")
}

// Guards against repeats that run again at a node that joins or starts without a version on its disk: until it has heard from the fleet that
// the operation takes tokens, its own file has it run each of them.
func TestNodeWithoutAVersionOnItsDiskWaitsForThatOfTheFleet(t *testing.T) {
	var fleets *configsync.Content // in which hold takes tokens; the node's own file has it idempotent
	sm, err := configuredNodeOf(t, []string{"s1", "s2", "s3"}, Addresses{"executor:1", "catalogue:1", "control:1"}, func(file *configsync.Content) configsync.InitialState {
		var err error
		fleets, err = file.Apply([]configsync.Item{configsync.Item(tokenOperation("hold"))})
		require.NoError(t, err)
		return initialStateFromFile(file)
	})
	require.NoError(t, err)
	connectExecutor(sm)
	assert.Equal(t, []string{"50 on 1"}, framesSent(t, step(sm, arrival(sm, 1, "op", "hold", "dedupe", "a"))))
	assert.Equal(t, []string{"50 on 2"}, framesSent(t, step(sm, arrival(sm, 2, "op", "new", "dedupe", "a"))), "the fleet may have the operation")
	revision := configsync.Revision{Version: 1, Digest: fleets.Digest()}
	sm.configSync.inputs = append(sm.configSync.inputs, configsync.Input{Kind: configsync.AgreementChanged,
		Agreed: &configsync.Agreed{Head: configsync.RolloutState{All: revision, Canary: revision, Newest: 1}, All: fleets, Canary: fleets, Newest: fleets}})
	for stream := 3; sm.controller == nil; stream++ {
		require.Less(t, sm.now, maxConfigWait)
		assert.Equal(t, []string{fmt.Sprint("50 on ", stream)}, framesSent(t, step(sm, arrival(sm, stream, "op", "hold", "dedupe", "a"))))
	}
	assert.Equal(t, uint64(1), sm.ActiveVersion())
	assert.Equal(t, []string{"51 on 100"}, framesSent(t, step(sm, arrival(sm, 100, "op", "hold"))), "it needs a token, as if the file said so")
}

// Guards against a node that never serves because no replica answers, or that waits although its disk has a version.
func TestNodeServesThoughNoReplicaAnswers(t *testing.T) {
	fromDisk := func(file *configsync.Content) configsync.InitialState {
		content, err := file.Apply([]configsync.Item{configsync.Item(nodeconfig.Item{Part: nodeconfig.Tenants, Name: "x", Value: []byte(`{"quota_rps":1}`)})})
		require.NoError(t, err)
		return configsync.InitialState{ContentRevision: configsync.Revision{Version: 8, Digest: content.Digest()}, Content: content, Source: "disk"}
	}
	sm, err := configuredNodeOf(t, []string{"s1", "s2", "s3"}, Addresses{"executor:1", "catalogue:1", "control:1"}, fromDisk)
	require.NoError(t, err)
	connectExecutor(sm)
	assert.Equal(t, 1, countRuns(step(sm, arrival(sm, 1, "op", "hold", "org", "x"))))

	sm, err = configuredNodeOf(t, []string{"s1", "s2", "s3"}, Addresses{"executor:1", "catalogue:1", "control:1"}, initialStateFromFile)
	require.NoError(t, err)
	connectExecutor(sm)
	passTime(sm, maxConfigWait-sm.now-ms)
	assert.Equal(t, []string{"50 on 1"}, framesSent(t, step(sm, arrival(sm, 1, "op", "hold"))))
	step(sm)
	assert.Equal(t, 1, countRuns(step(sm, arrival(sm, 2, "op", "hold"))))
}
