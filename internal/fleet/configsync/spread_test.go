package configsync

import (
	"flag"
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

// newFleetSimulation returns a simulated fleet over several regions without faulty nodes, after its first 3 s.
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

var fleet = flag.Int("fleet", 200, "number of nodes of the fleet over which changes spread")
var apartFleet = flag.Int("apart", 24, "number of nodes of the fleet over which a change of 1,000 scattered items spreads")
var apartSeed = flag.Int64("apart-seed", 6, "seed of the fleet over which a change of 1,000 scattered items spreads")

// Changes are put, some during the canary stage of the previous one, while 5 % of all messages are lost. 99 % of the nodes must have each
// in force within 10 s.
func TestChangeIsInForceInTime(t *testing.T) {
	nodes := *fleet
	changes := 3
	sim := newFleetSimulation(1, nodes, max(3, nodes/144), 15, 7, 80*ms) // some 140 nodes report to each replica
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

// 1,000 changes in a minute must all be agreed on and come into force in stages, while all nodes keep to their rate limit.
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

// newRefusedCanary returns a fleet in which version 2 was stopped because one node refused it: a canary, or a node that is none.
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

// A single canary refuses a version. The version must be stopped, and stay in force on the other canaries until a rollback.
func TestCanaryRefusalStopsVersion(t *testing.T) {
	sim := newRefusedCanary(t, true)
	canaries := 0
	for _, n := range sim.nodes {
		if n.replicator.Revision().Version == 2 {
			canaries++
		} else {
			require.EqualValues(t, 1, n.replicator.Revision().Version)
		}
	}
	require.Positive(t, canaries)
	require.Less(t, canaries, 20)
	sim.rollback(sim.callers[0], 1)
	sim.run(sim.now + 6_000*ms)
	require.Empty(t, sim.unsettled(), "a rollback comes into force for all nodes without a canary stage")
	require.EqualValues(t, 3, sim.agreed.Head().All.Version)
}

// A node that is no canary refuses a version during its check. The version must be stopped too, and a change that reverts it must come
// into force.
func TestRefusalOutsideTheCanaryStopsVersion(t *testing.T) {
	sim := newRefusedCanary(t, false)
	sim.put(sim.callers[0], Item{Part: Operations, Name: "new"}) // reverted without a rollback
	sim.run(sim.now + 15_000*ms)
	require.Empty(t, sim.failure)
	require.Empty(t, sim.unsettled())
	require.False(t, sim.agreed.Head().Stopped)
}

// Nodes without a replica on their side of a partition keep their version, and catch up after the partition.
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
		require.Greater(t, s.HeardNS, 55_000*ms, "the status shows the time since the last confirmation")
	}
	sim.heal()
	sim.run(sim.now + 10_000*ms)
	require.Empty(t, sim.failure)
	require.Empty(t, sim.unsettled())
	sim.check()
	require.Empty(t, sim.failure)
}

// A zone restarts with empty disks in a fleet with a large content. Each node's mean rate until all are up to date must stay below the
// limit.
func TestRestartedZoneKeepsToItsRate(t *testing.T) {
	sim := newFleetSimulation(5, 45, 5, 5, 2, 30*ms)
	c := fullContent(t, 100, 3_000) // about as much as a node can send in a minute
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
	t.Logf("%d bytes to each of 9 nodes took %d s (simulated); the highest mean rate of a node was %d bytes a second", c.Bytes(), seconds, worst)
	require.Less(t, worst, int64(21_000-1_250), "the rest of the rate is reserved for membership")
}
