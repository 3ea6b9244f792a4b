package consensus

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"topazpost/internal/fleet/claims"
)

// Guards against a second run of a token that is requested at another node while it runs.
func TestRepeatedRequestAtAnotherNodeGetsSameResult(t *testing.T) {
	sim := newStableSimulation(t, 5, 3)
	a := sim.ask(1, 1, 3)
	sim.run(sim.now + 5*ms)
	b := sim.ask(2, 1, 4)
	sim.run(sim.now + 400*ms)
	assert.Equal(t, a.outcome, b.outcome)
	assert.Equal(t, 1, sim.runs[1])
}

// Guards against losing a claim that a lost node had not started.
func TestClaimOfLostNodeIsTakenOver(t *testing.T) {
	sim := newStableSimulation(t, 5, 3)
	node := sim.nodes[4]
	node.pending[key(1)] = true // queued at the node, and not started
	node.clientInputs = append(node.clientInputs, claims.Input{Kind: claims.RequestClaim, Key: key(1), BodyHash: 7, Remaining: 4_000 * ms, Retention: claimRetention, Work: []byte{1}})
	sim.wakeNow(4)
	sim.run(sim.now + 20*ms)
	sim.kill(4)
	a := sim.ask(2, 1, 3)
	sim.run(sim.now + 1_000*ms)
	assert.Equal(t, "hold//t1 run 1", a.outcome)
	assert.Equal(t, 1, sim.runs[1])
}

// Guards against running a token again whose run on a lost node may have had effects.
func TestStartedRunOfLostNodeHasUnknownOutcome(t *testing.T) {
	sim := newStableSimulation(t, 5, 3)
	sim.ask(1, 1, 4)
	for sim.runs[1] == 0 {
		sim.run(sim.now + ms)
	}
	sim.kill(4)
	b := sim.ask(2, 1, 3)
	sim.run(sim.now + 2_000*ms)
	assert.Equal(t, "unknown", b.outcome)
	assert.Equal(t, 1, sim.runs[1])
}

// Guards against a run by a paused owner whose claim was taken over meanwhile.
func TestPausedOwnerIsFenced(t *testing.T) {
	sim := newStableSimulation(t, 5, 3)
	node := sim.nodes[4]
	sim.ask(1, 1, 4)
	for node.client.Size() == 0 || sim.leaderTable().Find(key(1)) == nil {
		sim.run(sim.now + ms/10)
	}
	sim.pause(4, true)
	b := sim.ask(2, 1, 3)
	sim.run(sim.now + 1_000*ms)
	assert.Equal(t, "hold//t1 run 1", b.outcome, "taken over while its owner was paused")
	sim.pause(4, false)
	sim.run(sim.now + 2_000*ms)
	assert.Equal(t, 1, sim.runs[1])
	assert.Equal(t, b.outcome, sim.attempts[0].outcome, "the caller of the fenced owner gets the new owner's result")
}

// Guards against losing the result of a run whose outcome was recorded as unknown.
func TestLateResultReplacesUnknownOutcome(t *testing.T) {
	sim := newStableSimulation(t, 5, 3)
	a := sim.ask(1, 1, 4)
	for sim.runs[1] == 0 {
		sim.run(sim.now + ms/10)
	}
	sim.pause(4, true)
	b := sim.ask(2, 1, 3)
	sim.run(sim.now + 1_000*ms)
	assert.Equal(t, "unknown", b.outcome)
	sim.pause(4, false)
	sim.run(sim.now + 2_000*ms)
	c := sim.ask(3, 1, 2)
	sim.run(sim.now + 500*ms)
	assert.Equal(t, a.outcome, c.outcome)
	assert.Equal(t, "hold//t1 run 1", c.outcome)
}

// Guards against overloading the new owners: each has at most eight reassigned claims that it has not started, and starts
// each within 40 ms.
func TestThousandClaimsOfLostNodeAreTakenOverAtBoundedRate(t *testing.T) {
	sim := newStableSimulation(t, 8, 3)
	node := sim.nodes[7]
	for n := range 1_000 {
		k := key(n)
		node.pending[k] = true
		node.clientInputs = append(node.clientInputs, claims.Input{Kind: claims.RequestClaim, Key: k, BodyHash: 7, Remaining: 30_000 * ms, Retention: claimRetention, Work: []byte{1}})
	}
	sim.wakeNow(7)
	sim.run(sim.now + 200*ms)
	entries, bytes := sim.leaderTable().Size()
	require.Equal(t, 1_000, entries)
	sim.kill(7)
	lost := sim.now
	first := int64(0)
	maxWaiting := 0
	for len(sim.runs) < 1_000 && sim.now < lost+25_000*ms {
		sim.run(sim.now + 5*ms)
		if first == 0 && len(sim.runs) > 0 {
			first = sim.now - lost
		}
		waiting := map[claims.Owner]int{}
		for _, e := range sim.leaderTable().Reassigned() {
			waiting[e.Owner]++
			maxWaiting = max(maxWaiting, waiting[e.Owner])
		}
	}
	t.Logf("the first started %d ms after the loss was known, the last %d ms after; %d bytes a claim", first/ms, (sim.now-lost)/ms, bytes/1_000)
	assert.Len(t, sim.runs, 1_000)
	assert.Empty(t, sim.failures)
	assert.LessOrEqual(t, maxWaiting, 8, "a new owner is assigned no more claims than it can start")
}
