package quota

import (
	"math/rand"
	"os"
	"strconv"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// runSchedule plays drawn partitions, loss, pauses, restarts and loads.
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

func TestUseNeverExceedsTheLimitInDrawnSchedules(t *testing.T) {
	first := int64(1)
	many := int64(400)
	for name, to := range map[string]*int64{"SEED": &first, "SCHEDULES": &many} {
		if text := os.Getenv(name); text != "" {
			n, err := strconv.ParseInt(text, 10, 64)
			require.NoError(t, err)
			*to = n
		}
	}
	full := 0
	for seed := first; seed < first+many; seed++ {
		sim := runSchedule(seed, false)
		if sim.violation != "" {
			t.Fatalf("seed %d: %s; replay: SEED=%d SCHEDULES=1 go test -run DrawnSchedules ./internal/fleet/quota", seed, sim.violation, seed)
		}
		if int64(sim.peak) == sim.config.Units {
			full++
		}
	}
	t.Logf("%d schedules, the limit was wholly in use in %d", many, full)
	assert.True(t, many < 100 || full > 0)
}

// The search must find a holder that is broken on purpose.
func TestSchedulesFindUseOfExpiredLeases(t *testing.T) {
	for seed := int64(1); seed <= 200; seed++ {
		if sim := runSchedule(seed, true); sim.violation != "" {
			t.Logf("found at seed %d: %s", seed, sim.violation)
			return
		}
	}
	t.Error("not found")
}

// All load goes from one of eight nodes to another at once.
func TestLeasesFollowLoadThatMoves(t *testing.T) {
	sim := newSimulation(1, 8, 40)
	sim.nodes[0].demand = 60
	sim.run(8_000 * ms)
	node := sim.nodes[0]
	assert.GreaterOrEqual(t, node.holder.Allowed(node.clock(sim.now)), int64(38), "95 % of the limit is where it is wanted")
	sim.nodes[0].demand = 0
	sim.nodes[5].demand = 60
	moved := sim.now
	for sim.unitsInUse(sim.nodes[5]) < 36 && sim.now < moved+5_000*ms {
		sim.run(sim.now + 10*ms)
	}
	t.Logf("nine tenths of the limit were at the other node after %d ms", (sim.now-moved)/ms)
	assert.Less(t, sim.now-moved, 2_000*ms)
	assert.Empty(t, sim.violation)
}

// utilizationWhileDemanded plays load at all nodes and at two of them in turn, with restarts, and returns which part of the limit was
// in use while all of it was wanted, without the times in which the design allows unused units: as load moves, and after a restart.
func utilizationWhileDemanded(seed int64, change func(sim *simulation)) float64 {
	sim := newSimulation(seed, 7, 12)
	change(sim)
	reclaimed := testConfig.LeaseTerm + testConfig.LeaseTerm/driftDivisor + MaxTimeStep
	sim.run(reclaimed)
	for turn := range 20 {
		for i, node := range sim.nodes {
			node.demand = 0
			if turn%2 == 0 || i == 2*turn%7 || i == (2*turn+1)%7 {
				node.demand = 8
			}
		}
		sim.measuring = false
		if turn%5 == 4 {
			sim.restart(turn % 7)
			sim.run(sim.now + reclaimed)
		}
		sim.run(sim.now + 2*demandWindow + renewalInterval + renewalInterval/4 + 20*ms)
		sim.measuring = true
		sim.run(sim.now + 4_000*ms)
	}
	return sim.utilizationTime / sim.measuredTime
}

func TestLimitIsUsedWhileItIsWanted(t *testing.T) {
	for seed := int64(1); seed <= 4; seed++ {
		assert.Greater(t, utilizationWhileDemanded(seed, func(*simulation) {}), 0.9, "seed %d", seed)
		assert.Less(t, utilizationWhileDemanded(seed, func(sim *simulation) { sim.neverGiveBack = true }), 0.7, "seed %d: nothing is given back", seed)
		assert.Less(t, utilizationWhileDemanded(seed, func(sim *simulation) { sim.fixedShare = sim.config.Units / 7 }), 0.7, "seed %d: a fixed share each", seed)
	}
}
