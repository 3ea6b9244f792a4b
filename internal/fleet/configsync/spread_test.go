package configsync

import (
	"flag"
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

// newFleetSimulation is a fleet of regions without faulty nodes, with replicas spread over them.
func newFleetSimulation(seed int64, nodes, replicas, zones, regions int, regionDelay int64) *simulation {
	sim := newSimulation(seed, nodes, replicas, zones)
	for i, n := range sim.nodes {
		n.region = i % zones % regions
	}
	sim.maxDelay = 4 * ms
	sim.regionDelay = regionDelay
	sim.callers = []*caller{{name: "a"}}
	sim.run(sim.now + 3_000*ms)
	return sim
}

var fleet = flag.Int("fleet", 200, "nodes of the fleet that changes spread over")
var apartFleet = flag.Int("apart", 24, "nodes of the fleet that a change of 1,000 scattered items spreads over")
var apartSeed = flag.Int64("apart-seed", 6, "its seed")

// Changes are put, some during the canary stage of the one before, and 5 % of all messages are lost.
func TestChangeIsInForceInTime(t *testing.T) {
	nodes := *fleet
	changes := 3
	sim := newFleetSimulation(1, nodes, max(3, nodes/144), 15, 7, 80*ms) // some 140 nodes report to one replica
	sim.loss = 0.05
	agreed := map[uint64]int64{}
	for k := range changes {
		newest := sim.agreed.Head().Newest
		for sim.agreed.Head().Newest == newest && sim.failure == "" {
			sim.put(sim.callers[0], tenant(k, "1"))
			sim.run(sim.now + 10*ms)
		}
		agreed[newest+1] = sim.now
		sim.run(sim.now + int64(k%3)*1_500*ms)
	}
	sim.run(sim.now + 15_000*ms)
	require.Empty(t, sim.failure)
	require.Empty(t, sim.unsettled())
	for version, at := range agreed {
		took, missing := sim.inForce(version, at)
		require.Zero(t, missing)
		p99 := took[len(took)*99/100]
		last := took[len(took)-1]
		t.Logf("version %d (simulated, %d nodes): 99 in 100 after %d ms, the last after %d ms", version, nodes, p99/ms, last/ms)
		require.LessOrEqual(t, p99, 10_000*ms)
	}
}

// All are agreed on, in force in stages, and within the rate.
func TestThousandChangesInAMinute(t *testing.T) {
	sim := newFleetSimulation(2, 24, 3, 5, 2, 30*ms)
	done := 0
	begin := sim.now
	for sim.now < begin+60_000*ms && sim.failure == "" {
		if c := sim.callers[0]; c.command == nil && int64(done) < (sim.now-begin)/(58*ms) && done < 1_000 {
			done++
			sim.put(c, tenant(done%300, fmt.Sprintf(`{"burst":10,"rate":%d}`, done)))
			sim.sendCommand(c)
		}
		sim.run(sim.now + 5*ms)
	}
	for end := sim.now + 15_000*ms; sim.now < end && sim.unsettled() != ""; {
		sim.run(sim.now + 250*ms)
	}
	require.Empty(t, sim.failure)
	require.Empty(t, sim.unsettled())
	sim.check()
	require.Empty(t, sim.failure)
	t.Logf("%d changes in %d s, %d versions at canary stages", len(sim.callers[0].verdicts), (sim.now-begin)/(1_000*ms), len(sim.canaryAt))
	var times []int64
	for version, at := range sim.agreedAt {
		took, missing := sim.inForce(version, at)
		require.Zero(t, missing)
		times = append(times, took...)
	}
	slices.Sort(times)
	t.Logf("in force after (simulated): half %d ms, 99 in 100 %d ms, the last %d ms", times[len(times)/2]/ms, times[len(times)*99/100]/ms, times[len(times)-1]/ms)
	require.LessOrEqual(t, times[len(times)*99/100], 10_000*ms)
	require.GreaterOrEqual(t, len(sim.callers[0].verdicts), 1_000)
}

// newRefusedCanary is a fleet in which version 2 was stopped, since one node refused it: one at its canary stage, or not.
func newRefusedCanary(t *testing.T, canary bool) *simulation {
	sim := newFleetSimulation(3, 60, 5, 5, 2, 80*ms)
	sim.loss = 0.05
	sim.put(sim.callers[0], tenant(1, "1"))
	sim.run(sim.now + 10_000*ms)
	require.Empty(t, sim.unsettled())
	for _, n := range sim.nodes {
		n.olderBuild = n.replicator.isCanary(2) == canary && !n.isReplica
		if n.olderBuild {
			break
		}
	}
	sim.put(sim.callers[0], Item{Operations, "new", []byte(`"new"`)})
	sim.run(sim.now + 15_000*ms)
	require.Empty(t, sim.failure)
	head := sim.agreed.Head()
	require.True(t, head.Stopped)
	require.EqualValues(t, 1, head.All.Version)
	require.Contains(t, head.StopReason, "of a later build")
	return sim
}

// One node at the canary stage refuses a version, and nothing else fails.
func TestCanaryRefusalStopsVersion(t *testing.T) {
	sim := newRefusedCanary(t, true)
	first := 0
	for _, n := range sim.nodes {
		if n.replicator.Revision().Version == 2 {
			first++
		} else {
			require.EqualValues(t, 1, n.replicator.Revision().Version)
		}
	}
	require.Positive(t, first)
	require.Less(t, first, 20)
	sim.rollback(sim.callers[0], 1)
	sim.run(sim.now + 6_000*ms)
	require.Empty(t, sim.unsettled(), "a rollback is in force for all at once")
	require.EqualValues(t, 3, sim.agreed.Head().All.Version)
}

// One node refuses a version, and isn't at its canary stage.
func TestRefusalOutsideTheCanaryStopsVersion(t *testing.T) {
	sim := newRefusedCanary(t, false)
	sim.put(sim.callers[0], Item{Part: Operations, Name: "new"}) // reverted without a rollback
	sim.run(sim.now + 15_000*ms)
	require.Empty(t, sim.failure)
	require.Empty(t, sim.unsettled())
	require.False(t, sim.agreed.Head().Stopped)
}

// Nodes without a replica are cut off for a while.
func TestPartitionedRegionGoesOnAndCatchesUp(t *testing.T) {
	sim := newFleetSimulation(4, 60, 5, 5, 2, 80*ms)
	sim.put(sim.callers[0], tenant(1, "1"))
	sim.run(sim.now + 10_000*ms)
	for _, n := range sim.nodes[20:] {
		n.partition = 1
	}
	for k := range 10 {
		sim.put(sim.callers[0], tenant(k, "2"))
		sim.run(sim.now + 6_000*ms)
	}
	for _, n := range sim.nodes[20:] {
		s := n.replicator.Status(sim.now)
		require.EqualValues(t, 1, s.Revision.Version)
		require.Greater(t, s.HeardNS, 55_000*ms, "its status says how long it had no confirmation")
	}
	sim.heal()
	sim.run(sim.now + 10_000*ms)
	require.Empty(t, sim.failure)
	require.Empty(t, sim.unsettled())
	sim.check()
	require.Empty(t, sim.failure)
}

// A zone starts with empty disks beside a fleet with a large content, and the bytes of each node and second are compared with the
// limit.
func TestRestartedZoneKeepsToItsRate(t *testing.T) {
	sim := newFleetSimulation(5, 45, 5, 5, 2, 30*ms)
	c := fullContent(t, 100, 3_000) // as much as can be sent in a minute
	revision := sim.putWhole(t, c)
	for i, n := range sim.nodes { // in all zones but one
		if i%5 != 4 {
			n.disk = simDisk{revision, c}
			sim.crash(i)
			sim.restart(i)
		}
	}
	sim.run(sim.now + 5_000*ms)
	for i := 4; i < len(sim.nodes); i += 5 {
		sim.crash(i)
		sim.nodes[i].disk = simDisk{}
		sim.nodes[i].maxVersion = 0
		sim.restart(i)
	}
	begin := sim.now
	for sim.unsettled() != "" && sim.now < begin+180_000*ms && sim.failure == "" {
		sim.run(sim.now + 500*ms)
	}
	require.Empty(t, sim.failure)
	require.Empty(t, sim.unsettled())
	sim.check()
	require.Empty(t, sim.failure)
	seconds := (sim.now - begin) / (1_000 * ms)
	worst := int64(0)
	for _, n := range sim.nodes {
		sum := int64(0)
		for _, b := range n.bytesBySecond[begin/(1_000*ms):] {
			sum += b
		}
		worst = max(worst, sum/seconds)
	}
	t.Logf("%d bytes to each of 9 nodes took %d s (simulated); a node's mean over it was %d bytes a second at the most", c.Bytes(), seconds, worst)
	require.Less(t, worst, int64(21_000-1_250), "the rest is membership's")
}
