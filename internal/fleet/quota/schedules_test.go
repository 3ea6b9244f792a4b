package quota

import (
	"math/rand"
	"os"
	"strconv"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// runSchedule simulates 30 s of random partitions, message loss, pauses, restarts and loads.
func runSchedule(seed int64, useExpiredLeases bool) *simulation {
	rng := rand.New(rand.NewSource(seed))
	nodes := 2 + rng.Intn(6)
	sim := newSimulation(seed, nodes, int64(1+rng.Intn(20)))
	sim.useExpiredLeases = useExpiredLeases
	sim.maxDelay = []int64{2 * ms, 20 * ms, 500 * ms}[rng.Intn(3)]
	sim.lossRate = []float64{0, 0.1, 0.4}[rng.Intn(3)]
	for sim.now < 30_000*ms && sim.violation == "" {
		i := rng.Intn(nodes)
		node := sim.nodes[i]
		switch rng.Intn(10) {
		case 0, 1, 2:
			node.demand = rng.Intn(30)
		case 3:
			sim.restart(i)
		case 4:
			node.pausedUntil = sim.now + rng.Int63n(10_000*ms)
		case 5, 6:
			sim.partitioned[i] = !sim.partitioned[i]
		case 7:
			clear(sim.partitioned)
		}
		sim.run(sim.now + rng.Int63n(800*ms))
	}
	return sim
}

func TestUseNeverExceedsTheLimitInRandomSchedules(t *testing.T) {
	firstSeed := int64(1)
	schedules := int64(400)
	for name, to := range map[string]*int64{"SEED": &firstSeed, "SCHEDULES": &schedules} {
		if text := os.Getenv(name); text != "" {
			n, err := strconv.ParseInt(text, 10, 64)
			require.NoError(t, err)
			*to = n
		}
	}
	fullUses := 0
	for seed := firstSeed; seed < firstSeed+schedules; seed++ {
		sim := runSchedule(seed, false)
		if sim.violation != "" {
			t.Fatalf("seed %d: %s; replay: SEED=%d SCHEDULES=1 go test -run RandomSchedules ./internal/fleet/quota", seed, sim.violation, seed)
		}
		if int64(sim.peak) == sim.config.Units {
			fullUses++
		}
	}
	t.Logf("%d schedules, all units were in use at some time in %d", schedules, fullUses)
	assert.True(t, schedules < 100 || fullUses > 0) // many schedules must use the whole limit at some time
}

// Guards against schedules that cannot detect a violation: a holder that uses expired leases must be found.
func TestSimulationDetectsUseOfExpiredLeases(t *testing.T) {
	for seed := int64(1); seed <= 200; seed++ {
		if sim := runSchedule(seed, true); sim.violation != "" {
			t.Logf("detected with seed %d: %s", seed, sim.violation)
			return
		}
	}
	t.Error("no schedule detected the use of expired leases")
}

// Guards against leases that stay where they are no longer wanted: all load moves from one of eight nodes to another at once.
func TestLeasesFollowLoadThatMoves(t *testing.T) {
	sim := newSimulation(1, 8, 40)
	sim.nodes[0].demand = 60
	sim.run(8_000 * ms)
	node := sim.nodes[0]
	assert.GreaterOrEqual(t, node.holder.Allowed(node.clock(sim.now)), int64(38), "95 % of the limit is leased to the node that wants it")
	sim.nodes[0].demand = 0
	sim.nodes[5].demand = 60
	moved := sim.now
	for sim.unitsInUse(sim.nodes[5]) < 36 && sim.now < moved+5_000*ms {
		sim.run(sim.now + 10*ms)
	}
	t.Logf("the other node used nine tenths of the limit after %d ms", (sim.now-moved)/ms)
	assert.Less(t, sim.now-moved, 2_000*ms)
	assert.Empty(t, sim.violation)
}

// utilizationWhileDemanded simulates load that alternates between all nodes and two of them, with restarts. It returns the mean part
// of the limit that was in use while all of it was wanted. It leaves out the times when units may be unused by design: after load has
// moved, and after a restart.
func utilizationWhileDemanded(seed int64, change func(sim *simulation)) float64 {
	sim := newSimulation(seed, 7, 12)
	change(sim)
	reclaimed := testConfig.LeaseTerm + testConfig.LeaseTerm/driftDivisor + MaxTimeStep
	sim.run(reclaimed)
	for phase := range 20 {
		for i, node := range sim.nodes {
			node.demand = 0
			if phase%2 == 0 || i == 2*phase%7 || i == (2*phase+1)%7 {
				node.demand = 8
			}
		}
		sim.measuring = false
		if phase%5 == 4 {
			sim.restart(phase % 7)
			sim.run(sim.now + reclaimed)
		}
		sim.run(sim.now + 2*demandWindow + renewalInterval + renewalInterval/4 + 20*ms)
		sim.measuring = true
		sim.run(sim.now + 4_000*ms)
	}
	return sim.utilizedTime / sim.measuredTime
}

// Guards against leases that leave wanted units unused, and checks that the measure detects holders that return nothing and fixed
// shares.
func TestLimitIsUsedWhileItIsWanted(t *testing.T) {
	for seed := int64(1); seed <= 4; seed++ {
		assert.Greater(t, utilizationWhileDemanded(seed, func(*simulation) {}), 0.9, "seed %d", seed)
		assert.Less(t, utilizationWhileDemanded(seed, func(sim *simulation) { sim.neverReturnUnits = true }), 0.7, "seed %d: holders that return no units", seed)
		assert.Less(t, utilizationWhileDemanded(seed, func(sim *simulation) { sim.fixedShare = sim.config.Units / 7 }), 0.7, "seed %d: a fixed share per node", seed)
	}
}
