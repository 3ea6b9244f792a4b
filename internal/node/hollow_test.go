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

// hollowNode has the only replica of its consensus group.
func hollowNode(t *testing.T) (*StateMachine, *HollowCounters) {
	p, err := nodeconfig.FromJSON(1, []byte(tokenSettings))
	require.NoError(t, err)
	r, c := NewStateMachine(p, Addresses{"executor:1", "catalogue:1", "control:1"}, 5_000*ms, 4, 3), new(HollowCounters)
	r.MakeHollow(c, false)
	r.JoinFleet("tests", membership.New(membershipConfig, 0, 1_000_000*ms, 0, 1))
	r.EnableConsensus([]string{membershipConfig.Name}, 4<<20, 0, 1)
	r.EnableQuota(quota.HolderConfig{Name: "calls", Units: 5, MaxUseTime: 500 * ms, LeaseTerm: 3_000 * ms}, 1)
	return r, c
}

// runUntil steps a node at each wake-up, up to a time, and counts the effects by kind.
func runUntil(t *testing.T, r *StateMachine, now *int64, until int64, inputs ...Input) map[EffectKind]int {
	came, steps := map[EffectKind]int{}, 0
	for wake := *now + 1; wake < until; steps++ {
		*now = wake
		for _, e := range r.Step(*now, *now, inputs) {
			if came[e.Kind]++; e.Kind == SetWakeup {
				wake = e.At
			}
		}
		inputs = nil
	}
	assert.Less(t, steps, int(until/ms), "it sleeps")
	require.Empty(t, r.Invariants.All())
	return came
}

func TestHollowNodeClaimsTokensAndLeasesCallsWithoutExecutorAndReports(t *testing.T) {
	r, c := hollowNode(t)
	now := int64(0)
	came := runUntil(t, r, &now, 4_000*ms)
	require.True(t, r.claiming.client.Connected())
	var tokens []Input
	for k := range 9 {
		tokens = append(tokens, Input{Kind: HollowClaimRequested, Bytes: fmt.Append(nil, "t", k)})
	}
	for kind, n := range runUntil(t, r, &now, 8_000*ms, append(tokens, Input{Kind: HollowCallsRequested, Link: 8})...) {
		came[kind] += n
	}
	for _, kind := range []EffectKind{DialExecutor, DialCatalogue, SendReport, ReadConnection, SendToConnection, StopAccepting, SampleState} {
		assert.Zero(t, came[kind], "effect %d is not of a hollow node", kind)
	}
	assert.Equal(t, []int64{9, 9, 9, 0, 0}, []int64{c.TokensRequested.Load(), c.RunsStarted.Load(), c.EndsRecorded.Load(), c.TokensRejected.Load(), c.TokensAbandoned.Load()})
	assert.Equal(t, []int64{8, 5, 5}, []int64{c.CallsWanted.Load(), c.CallsAllowed.Load(), c.CallsInFlight.Load()}, "the whole limit, and no more")
	assert.False(t, r.facts().NoExecutor, "it accepts claims of lost nodes")
}

func TestHollowNodeExitsAtOnceWhenDrained(t *testing.T) {
	r, _ := hollowNode(t)
	now := int64(0)
	runUntil(t, r, &now, 4_000*ms)
	var kinds []EffectKind
	for _, e := range r.Step(now+1, now+1, []Input{{Kind: DrainRequested}}) {
		kinds = append(kinds, e.Kind)
	}
	assert.Contains(t, kinds, Exit)
	assert.NotContains(t, kinds, StopAccepting)
}

func TestLoadInputsAreOnlyForHollowNodes(t *testing.T) {
	r := fresh(t)
	load := func() { step(r, Input{Kind: HollowClaimRequested, Bytes: []byte("t")}) }
	if invariant.Debug {
		assert.Panics(t, load)
		return
	}
	load()
	assert.NotEmpty(t, r.Invariants.All())
}
