package quota

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestHolderGivesUpUnitsBeforeItsRequestAndEndsUseBeforeItsLeaseExpires(t *testing.T) {
	h := NewLeaseHolder(testConfig, nodeA)
	send, _ := h.Step(1_000*ms, 0, 4, nil)
	require.Len(t, send, 1)
	assert.Equal(t, int64(6), send[0].WantedUnits, "the demand of 4, a quarter of it, and one")
	assert.Zero(t, h.Allowed(1_000*ms))
	h.Step(1_100*ms, 0, 4, []Verdict{{Limit: "calls", Seq: 1, Units: 6, FairShare: 6, LimitDefined: true}})
	assert.Equal(t, int64(6), h.Allowed(1_100*ms))
	last := 1_000*ms + testConfig.LeaseTerm - testConfig.LeaseTerm/driftDivisor - testConfig.MaxUseTime // counted from the request
	assert.Equal(t, int64(6), h.Allowed(last-1))
	assert.Zero(t, h.Allowed(last))
	send, _ = h.Step(1_260*ms, 1, 0, nil)
	require.Len(t, send, 1)
	assert.Equal(t, int64(6), send[0].RetainedUnits)
	h.Step(1_270*ms, 1, 0, []Verdict{{Limit: "calls", Seq: 2, Units: 6, FairShare: 2, LimitDefined: true}})
	send, _ = h.Step(1_600*ms, 1, 0, nil)
	require.Len(t, send, 1)
	assert.Equal(t, int64(2), send[0].RetainedUnits, "the holder retains its fair share")
	assert.Equal(t, int64(2), h.Allowed(1_600*ms), "the holder stops using the other units before it returns them")
}

func TestUnitsInUseOfALapsedLeaseAreRetained(t *testing.T) {
	h := NewLeaseHolder(testConfig, nodeA)
	h.Step(1_000*ms, 0, 4, nil)
	h.Step(1_100*ms, 0, 4, []Verdict{{Limit: "calls", Seq: 1, Units: 6, FairShare: 6, LimitDefined: true}})
	send, _ := h.Step(1_000*ms+testConfig.LeaseTerm-testConfig.MaxUseTime, 3, 0, nil)
	require.Len(t, send, 1)
	assert.Equal(t, int64(3), send[0].RetainedUnits)
	assert.Zero(t, h.Allowed(1_000*ms+testConfig.LeaseTerm-testConfig.MaxUseTime))
}

func TestVerdictAfterTheEndOfItsLeaseAllowsNothing(t *testing.T) {
	h := NewLeaseHolder(testConfig, nodeA)
	h.Step(1_000*ms, 0, 4, nil)
	h.Step(9_000*ms, 0, 4, []Verdict{{Limit: "calls", Seq: 1, Units: 6, FairShare: 6, LimitDefined: true}})
	assert.Zero(t, h.Allowed(9_000*ms))
}

func BenchmarkHolderStep(b *testing.B) {
	h := NewLeaseHolder(testConfig, nodeA)
	now := int64(1)
	h.Step(now, 0, 4, nil)
	h.Step(now, 0, 4, []Verdict{{Limit: "calls", Seq: 1, Units: 6, FairShare: 6, LimitDefined: true}})
	b.ReportAllocs()
	for b.Loop() {
		now += 1_000
		h.Step(now, 3, 1, nil)
	}
}
