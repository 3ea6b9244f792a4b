package node

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"topazpost/internal/fleet/membership"
	"topazpost/internal/fleet/quota"
	"topazpost/internal/invariant"
	"topazpost/internal/nodeconfig"
)

// hollowNode returns a hollow node, with its counters, that has the only replica of its consensus group.
func hollowNode(t *testing.T) (*StateMachine, *HollowCounters) {
	p, err := nodeconfig.FromJSON(1, []byte(tokenSettings))
	require.NoError(t, err)
	sm, counters := NewStateMachine(p, Addresses{"executor:1", "catalogue:1", "control:1"}, 5_000*ms, 4, 3), new(HollowCounters)
	sm.MakeHollow(counters, false)
	sm.JoinFleet("tests", membership.New(membershipConfig, 0, 1_000_000*ms, 0, 1))
	sm.EnableConsensus([]string{membershipConfig.Name}, 4<<20, 0, 1)
	sm.EnableQuota(quota.HolderConfig{Name: "calls", Units: 5, MaxUseTime: 500 * ms, LeaseTerm: 3_000 * ms}, 1)
	return sm, counters
}

// runUntil steps a node at each of its wake-ups until a time, the first with inputs, and returns the number of effects by kind. It
// asserts that the node takes fewer steps than there are milliseconds from time 0 to that time, and that no invariant is violated.
func runUntil(t *testing.T, sm *StateMachine, now *int64, until int64, inputs ...Input) map[EffectKind]int {
	counts, steps := map[EffectKind]int{}, 0
	for wake := *now + 1; wake < until; steps++ {
		*now = wake
		for _, e := range sm.Step(*now, *now, inputs) {
			if counts[e.Kind]++; e.Kind == SetWakeup {
				wake = e.At
			}
		}
		inputs = nil
	}
	assert.Less(t, steps, int(until/ms), "the node must sleep between its wake-ups")
	require.Empty(t, sm.Invariants.All())
	return counts
}

func TestHollowNodeClaimsTokensAndLeasesCallsWithoutExecutorAndReports(t *testing.T) {
	sm, counters := hollowNode(t)
	now := int64(0)
	counts := runUntil(t, sm, &now, 4_000*ms)
	require.True(t, sm.group.client.Connected())
	var tokens []Input
	for k := range 9 {
		tokens = append(tokens, Input{Kind: HollowClaimRequested, Bytes: fmt.Append(nil, "t", k)})
	}
	for kind, n := range runUntil(t, sm, &now, 8_000*ms, append(tokens, Input{Kind: HollowCallsRequested, Link: 8})...) {
		counts[kind] += n
	}
	for _, kind := range []EffectKind{DialExecutor, DialCatalogue, SendReport, ReadConnection, SendToConnection, StopAccepting, PublishState} {
		assert.Zero(t, counts[kind], "a hollow node must have no effect of kind %d", kind)
	}
	assert.Equal(t, []int64{9, 9, 9, 0, 0}, []int64{counters.TokensRequested.Load(), counters.RunsStarted.Load(), counters.EndsRecorded.Load(), counters.TokensRejected.Load(), counters.TokensAbandoned.Load()})
	assert.Equal(t, []int64{8, 5, 5}, []int64{counters.CallsWanted.Load(), counters.CallsAllowed.Load(), counters.CallsInFlight.Load()}, "the whole limit of 5 units is allowed and in use, and no more")
	assert.False(t, sm.updateFacts().NoExecutor, "a hollow node with load accepts claims of lost nodes")
}

func TestHollowNodeExitsAtOnceWhenDrained(t *testing.T) {
	sm, _ := hollowNode(t)
	now := int64(0)
	runUntil(t, sm, &now, 4_000*ms)
	var kinds []EffectKind
	for _, e := range sm.Step(now+1, now+1, []Input{{Kind: DrainRequested}}) {
		kinds = append(kinds, e.Kind)
	}
	assert.Contains(t, kinds, Exit)
	assert.NotContains(t, kinds, StopAccepting)
}

func TestLoadInputsAreOnlyForHollowNodes(t *testing.T) {
	sm := newConnectedNode(t)
	load := func() { step(sm, Input{Kind: HollowClaimRequested, Bytes: []byte("t")}) }
	if invariant.Debug {
		assert.Panics(t, load)
		return
	}
	load()
	assert.NotEmpty(t, sm.Invariants.All())
}
