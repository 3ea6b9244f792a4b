package node

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"topazpost/internal/nodeconfig"
	"topazpost/internal/resultcache"
)

// Guards against a changed client timeout that applies to invocations accepted before.
func TestChangedClientTimeoutAppliesToNewInvocations(t *testing.T) {
	sm := newServingNode(t)
	from := sm.now
	step(sm, arrival(sm, 1))
	short := nodeconfig.Item{Part: nodeconfig.Operations, Name: "catalogue", Value: []byte(`{"aim":200,"effect":"at_most_once","give_up":400}`)}
	require.NoError(t, applyVersion(t, sm, short))
	step(sm, arrival(sm, 2))
	ends := map[string]int64{}
	for len(ends) < 2 && sm.now < from+5_000*ms {
		sm.executor.lastLineAt = sm.now
		for _, a := range framesSent(t, step(sm)) {
			ends[a] = (sm.now - from) / ms
		}
	}
	assert.InDelta(t, 400, ends["51 on 2"], 120)
	assert.InDelta(t, 3_000, ends["51 on 1"], 120)
}

// Guards against a removed operation that loses runs in flight or cached results, counts refused invocations as faults of the connection, or
// has its index reused while tokens refer to it.
func TestRetiredOperationKeepsInFlightWorkAndCachedTokens(t *testing.T) {
	sm := cachingNode(t, resultcache.InMemory)
	assert.Equal(t, 1, countRuns(step(sm, tokenArrival(sm, 1, "a"))))
	require.NoError(t, applyVersion(t, sm, operation("other", ""), removal(nodeconfig.Operations, "hold")))
	for stream := range maxFaultsPerConnection + 2 {
		assert.Equal(t, []string{fmt.Sprint("51 on ", stream+2)}, framesSent(t, step(sm, tokenArrival(sm, stream+2, "b"))))
	}
	assert.Zero(t, sm.connections.byLink[7].faultCount)
	assert.Empty(t, framesSent(t, step(sm, tokenArrival(sm, 50, "a"))), "the duplicate joins the run")
	passTime(sm, 2_000*ms)
	assert.ElementsMatch(t, []string{"20 on 1", "20 on 50"}, framesSent(t, endRun(sm, 1)))
	passTime(sm, 10_000*ms)
	assert.Equal(t, []string{"20 on 60"}, framesSent(t, step(sm, tokenArrival(sm, 60, "a"))), "the result is cached for the deduplication window")
	require.NoError(t, applyVersion(t, sm, operation("next", "")))
	i, _ := sm.config.Operations.Find("next")
	assert.Equal(t, int32(2), i, "the index is reserved while tokens refer to it")
	passTime(sm, 40_000*ms)
	assert.Empty(t, sm.versions.retiredIndices)
	assert.True(t, sm.config.Node.Operations[0].Removed) // the index is released
	require.NoError(t, applyVersion(t, sm, operation("last", "")))
	i, _ = sm.config.Operations.Find("last")
	assert.Zero(t, i, "the index is free")
	assert.Equal(t, 1, countRuns(step(sm, arrival(sm, 99, "op", "last"))))
	assert.Empty(t, sm.Invariants.All())
}

// Guards against a reinstated operation that runs a token again, or whose index is released as if it were still retired.
func TestReinstatedOperationKeepsItsTokens(t *testing.T) {
	sm := cachingNode(t, resultcache.InMemory)
	step(sm, tokenArrival(sm, 1, "a"))
	endRun(sm, 1)
	require.NoError(t, applyVersion(t, sm, operation("other", ""), removal(nodeconfig.Operations, "hold")))
	back := nodeconfig.Item{Part: nodeconfig.Operations, Name: "hold", Value: []byte(`{"aim":1000,"effect":"deduplicated","give_up":3000,"window":20000}`)}
	require.NoError(t, applyVersion(t, sm, back))
	assert.Equal(t, []string{"20 on 2"}, framesSent(t, step(sm, tokenArrival(sm, 2, "a"))))
	assert.Equal(t, 1, countRuns(step(sm, tokenArrival(sm, 3, "b"))))
	endRun(sm, 3)
	passTime(sm, 200_000*ms)
	i, known := sm.config.Operations.Find("hold")
	assert.True(t, known && i == 0, "a reinstated operation is not released")
}

// Guards against a shortened deduplication window that applies to tokens accepted before.
func TestShorterWindowAppliesToNewTokens(t *testing.T) {
	sm := cachingNode(t, resultcache.OnDisk)
	completeWrites(sm, step(sm, tokenArrival(sm, 1, "a")))
	short := nodeconfig.Item{Part: nodeconfig.Operations, Name: "hold", Value: []byte(`{"aim":1000,"effect":"deduplicated","give_up":3000,"window":1000}`)}
	require.NoError(t, applyVersion(t, sm, short))
	completeWrites(sm, step(sm, tokenArrival(sm, 2, "b")))
	remaining := map[string]int64{}
	for k, token := range []string{"a", "b"} {
		effects := endRun(sm, k+1)
		for _, e := range effectsOfKind(effects, WriteRecord) {
			remaining[e.Record.Key.Token] = e.Record.Remaining
		}
		completeWrites(sm, effects)
		_ = token
	}
	// The window of 20 s, later of 1 s, the client timeout of 3 s, and 1 ms of rounding.
	assert.Equal(t, 23_001*ms, remaining["a"])
	assert.Equal(t, 4_001*ms, remaining["b"])
	passTime(sm, 10_000*ms)
	assert.Equal(t, []string{"20 on 3"}, framesSent(t, step(sm, tokenArrival(sm, 3, "a"))))
	assert.Equal(t, 1, len(effectsOfKind(step(sm, tokenArrival(sm, 4, "b")), WriteRecord)), "the shorter window has ended, so the token runs again")
}

// Guards against a retired tenant whose index, and with it the counts in the admission controller, goes to another tenant too early or never.
func TestReinstatedTenantKeepsItsCounts(t *testing.T) {
	sm := newServingNode(t)
	require.NoError(t, applyVersion(t, sm, tenant("x", 3), tenant("y", 1)))
	step(sm, arrival(sm, 1, "op", "hold", "org", "y"))
	endRun(sm, 1)
	require.NoError(t, applyVersion(t, sm, removal(nodeconfig.Tenants, "y")))
	assert.Equal(t, []string{"51 on 2"}, framesSent(t, step(sm, arrival(sm, 2, "org", "y"))))
	assert.Zero(t, sm.connections.byLink[7].faultCount)
	require.NoError(t, applyVersion(t, sm, tenant("z", 1), tenant("y", 5)))
	i, _ := sm.config.Tenants.Find("y")
	assert.Equal(t, int32(1), i)
	assert.Equal(t, []float64{3, 5, 1}, sm.config.Node.TenantRates)
	require.NoError(t, applyVersion(t, sm, removal(nodeconfig.Tenants, "y")))
	passTime(sm, tenantCountsRetention+1_000*ms)
	require.NoError(t, applyVersion(t, sm, tenant("w", 9)))
	i, _ = sm.config.Tenants.Find("w")
	assert.Equal(t, int32(1), i, "an index without references is reused")
}
