package node_test

import (
	"flag"
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"topazpost/internal/resultcache"
)

var runReleaseSeeds = flag.Int64("run-release-seeds", 8, "how many simulations of each kind TestRunsAreReleasedOnceFaultsEnd plays")

// Guards against whatever is held for an invocation and not given back, slots of runs above all: whatever callers, links, disks and drains did, once
// they are quiet the node and its executor are idle. In each step before, each run has a holder (StateMachine.CheckRuns).
func TestRunsAreReleasedOnceFaultsEnd(t *testing.T) {
	for name, options := range map[string]simulationOptions{
		"breaks of the executor's link": {nodes: 1, rate: 80, callers: 20, faultyLinks: true, reloads: true},
		"bad callers, results on disk":  {nodes: 1, rate: 80, callers: 20, misbehaving: true, caching: true, durability: resultcache.OnDisk, faultyDisks: true, faultyLinks: true},
		"results in memory, versions":   {nodes: 1, rate: 60, callers: 20, misbehaving: true, caching: true, versions: true, faultyLinks: true},
		"leases, drains":                {nodes: 3, replicas: 1, rate: 40, callers: 12, caching: true, durability: resultcache.OnDisk, leases: true, faultyLinks: true, drains: true, loss: 0.05},
		"a consensus group":             {nodes: 4, replicas: 3, rate: 30, callers: 12, caching: true, durability: resultcache.OnDisk, kills: true, faultyLinks: true, loss: 0.05},
	} {
		options.seconds, options.quietFrom = 32, 16
		if options.drains { // nine seconds before the end
			options.quietFrom = 24
		}
		for seed := range *runReleaseSeeds {
			t.Run(fmt.Sprint(name, ", seed ", seed), func(t *testing.T) {
				s := newSimulation(t, seed, options)
				s.runAll()
				for _, n := range s.simNodes {
					assertIdle(t, n)
				}
				if options.drains {
					last := s.simNodes[len(s.simNodes)-1]
					assert.Greater(t, last.processGeneration, 2, "the drained node has exited and started again")
				}
			})
		}
	}
}

// assertIdle checks that a node, which nobody has called for a while, has no run in progress and violated no invariant.
func assertIdle(t *testing.T, n *simNode) {
	t.Helper()
	require.NotNil(t, n.machine, "%s runs", n.name)
	state, serves := n.machine.ControllerState()
	require.True(t, serves, "%s serves", n.name)
	assert.Equal(t, []int{0, 0, 0, 0}, []int{state.OnCores, state.AwaitingCall, state.CallsInFlight, state.Queued}, "%s", n.name)
	assert.Zero(t, state.Memory, n.name)
	for what, count := range n.machine.HeldCounts() {
		assert.Zero(t, count, "%s: %s", n.name, what)
	}
	assert.Empty(t, n.runs, "the executor of %s is idle", n.name)
	if tokens := n.machine.ResultCacheCounters(); tokens != nil {
		assert.Zero(t, tokens.Running, "%s has a token in progress", n.name)
	}
	if group := n.machine.ConsensusSummary(); group != nil {
		assert.Zero(t, group.ClaimsInFlight, "%s has a claim in progress", n.name)
	}
	n.end()
	assert.Empty(t, n.violations, n.name)
}
