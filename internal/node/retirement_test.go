package node

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"topazpost/internal/nodeconfig"
	"topazpost/internal/resultcache"
)

// Invocations in flight keep their client timeout; later ones have the new one.
func TestChangedClientTimeoutAppliesToNewInvocations(t *testing.T) {
	r := up(t)
	from := r.now
	step(r, arrival(r, 1))
	short := nodeconfig.Item{Part: nodeconfig.Operations, Name: "catalogue", Value: []byte(`{"aim":200,"effect":"at_most_once","give_up":400}`)}
	require.NoError(t, applyVersion(t, r, short))
	step(r, arrival(r, 2))
	ends := map[string]int64{}
	for len(ends) < 2 && r.now < from+5_000*ms {
		r.executor.lastLineAt = r.now
		for _, a := range answers(t, step(r)) {
			ends[a] = (r.now - from) / ms
		}
	}
	assert.InDelta(t, 400, ends["51 on 2"], 120)
	assert.InDelta(t, 3_000, ends["51 on 1"], 120)
}

// Invocations in flight when their operation is retired run to their end, a duplicate of a token gets its answer, and new work is
// refused without harm to the connection. Once nothing refers to it the index is free for another.
func TestRetiredOperationKeepsInFlightWorkAndCachedTokens(t *testing.T) {
	r := cachingNode(t, resultcache.InMemory)
	assert.Equal(t, 1, countRuns(step(r, tokenArrival(r, 1, "a"))))
	require.NoError(t, applyVersion(t, r, operation("other", ""), removal(nodeconfig.Operations, "hold")))
	for stream := range maxFaults + 2 {
		assert.Equal(t, []string{fmt.Sprint("51 on ", stream+2)}, answers(t, step(r, tokenArrival(r, stream+2, "b"))))
	}
	assert.Zero(t, r.connections.byLink[7].faults)
	assert.Empty(t, answers(t, step(r, tokenArrival(r, 50, "a"))), "it joins the run")
	passTime(r, 2_000*ms)
	assert.ElementsMatch(t, []string{"20 on 1", "20 on 50"}, answers(t, endRun(r, 1)))
	passTime(r, 10_000*ms)
	assert.Equal(t, []string{"20 on 60"}, answers(t, step(r, tokenArrival(r, 60, "a"))), "its result is cached for its window")
	require.NoError(t, applyVersion(t, r, operation("next", "")))
	i, _ := r.config.Operations.Find("next")
	assert.Equal(t, int32(2), i, "the index is reserved while tokens refer to it")
	passTime(r, 40_000*ms)
	assert.Empty(t, r.versions.retiredIndices)
	assert.True(t, r.config.Node.Operations[0].Removed)
	require.NoError(t, applyVersion(t, r, operation("last", "")))
	i, _ = r.config.Operations.Find("last")
	assert.Zero(t, i, "it is free")
	assert.Equal(t, 1, countRuns(step(r, arrival(r, 99, "op", "last"))))
	assert.Empty(t, r.Invariants.All())
}

func TestReinstatedOperationKeepsItsTokens(t *testing.T) {
	r := cachingNode(t, resultcache.InMemory)
	step(r, tokenArrival(r, 1, "a"))
	endRun(r, 1)
	require.NoError(t, applyVersion(t, r, operation("other", ""), removal(nodeconfig.Operations, "hold")))
	back := nodeconfig.Item{Part: nodeconfig.Operations, Name: "hold", Value: []byte(`{"aim":1000,"effect":"deduplicated","give_up":3000,"window":20000}`)}
	require.NoError(t, applyVersion(t, r, back))
	assert.Equal(t, []string{"20 on 2"}, answers(t, step(r, tokenArrival(r, 2, "a"))))
	assert.Equal(t, 1, countRuns(step(r, tokenArrival(r, 3, "b"))))
	endRun(r, 3)
	passTime(r, 200_000*ms)
	i, known := r.config.Operations.Find("hold")
	assert.True(t, known && i == 0, "a reinstated operation is not released")
}

// A shorter window is that of later tokens: those accepted before are known for as long as was promised.
func TestShorterWindowAppliesToNewTokens(t *testing.T) {
	r := cachingNode(t, resultcache.OnDisk)
	completeWrites(r, step(r, tokenArrival(r, 1, "a")))
	short := nodeconfig.Item{Part: nodeconfig.Operations, Name: "hold", Value: []byte(`{"aim":1000,"effect":"deduplicated","give_up":3000,"window":1000}`)}
	require.NoError(t, applyVersion(t, r, short))
	completeWrites(r, step(r, tokenArrival(r, 2, "b")))
	kept := map[string]int64{}
	for k, token := range []string{"a", "b"} {
		effects := endRun(r, k+1)
		for _, e := range effectsOfKind(effects, WriteRecord) {
			kept[e.Record.Key.Token] = e.Record.Remaining
		}
		completeWrites(r, effects)
		_ = token
	}
	assert.Equal(t, 23_001*ms, kept["a"])
	assert.Equal(t, 4_001*ms, kept["b"])
	passTime(r, 10_000*ms)
	assert.Equal(t, []string{"20 on 3"}, answers(t, step(r, tokenArrival(r, 3, "a"))))
	assert.Equal(t, 1, len(effectsOfKind(step(r, tokenArrival(r, 4, "b")), WriteRecord)), "its window is over: it runs anew")
}

func TestReinstatedTenantKeepsItsCounts(t *testing.T) {
	r := up(t)
	require.NoError(t, applyVersion(t, r, tenant("x", 3), tenant("y", 1)))
	step(r, arrival(r, 1, "op", "hold", "org", "y"))
	endRun(r, 1)
	require.NoError(t, applyVersion(t, r, removal(nodeconfig.Tenants, "y")))
	assert.Equal(t, []string{"51 on 2"}, answers(t, step(r, arrival(r, 2, "org", "y"))))
	assert.Zero(t, r.connections.byLink[7].faults)
	require.NoError(t, applyVersion(t, r, tenant("z", 1), tenant("y", 5)))
	i, _ := r.config.Tenants.Find("y")
	assert.Equal(t, int32(1), i)
	assert.Equal(t, []float64{3, 5, 1}, r.config.Node.TenantRates)
	require.NoError(t, applyVersion(t, r, removal(nodeconfig.Tenants, "y")))
	passTime(r, tenantCountsRetention+1_000*ms)
	require.NoError(t, applyVersion(t, r, tenant("w", 9)))
	i, _ = r.config.Tenants.Find("w")
	assert.Equal(t, int32(1), i, "once nothing refers to it the index is reused")
}
