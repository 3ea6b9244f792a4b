package configsync

import (
	"flag"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

var (
	schedules = flag.Int("schedules", 30, "number of random schedules to run")
	oneSeed   = flag.Int64("seed", 0, "run only the schedule with this seed")
)

// runSchedule runs random events on a random fleet, and checks the invariants.
func runSchedule(seed int64, injectFault func(*simulation)) *simulation {
	sim := newSimulation(seed, 5+int(seed%7), 3, 2)
	r := sim.random
	sim.loss = 0.15 * r.Float64()
	sim.duplication = 0.1 * r.Float64()
	sim.stragglers = 0.03 * r.Float64()
	sim.callers = []*caller{{name: "a"}, {name: "b"}}
	if injectFault != nil {
		injectFault(sim)
	}
	if r.Intn(3) == 0 {
		sim.nodes[sim.replicas+r.Intn(len(sim.nodes)-sim.replicas)].olderBuild = true
	}
	if r.Intn(3) == 0 {
		sim.nodes[sim.replicas+r.Intn(len(sim.nodes)-sim.replicas)].faulty = true
	}
	sim.largeChanges = r.Intn(4) == 0
	if r.Intn(4) == 0 {
		sim.file, _ = sim.file.Apply([]Item{{Tenants, "of the file", []byte("1")}})
	}
	end := sim.now + 40_000*ms
	for sim.now < end && sim.failure == "" {
		sim.injectRandomEvent()
		sim.run(sim.now + r.Int63n(2_500*ms))
	}
	sim.finish()
	return sim
}

// Runs random schedules of faults. -schedules N sets their number, -seed N runs only one.
func TestRandomSchedules(t *testing.T) {
	if *oneSeed != 0 {
		require.Empty(t, runSchedule(*oneSeed, nil).failure)
		return
	}
	for seed := int64(1); seed <= int64(*schedules); seed++ {
		require.Empty(t, runSchedule(seed, nil).failure, "go test ./internal/fleet/configsync -run TestRandomSchedules -seed %d", seed)
	}
}

// Faulty nodes must be penalized in nearly all schedules that have one. Each step checks that no correct node is penalized.
func TestFaultyNodesArePenalized(t *testing.T) {
	faulty := 0
	found := 0
	for seed := int64(1); seed <= 60; seed++ {
		sim := runSchedule(seed, nil)
		invalid := 0
		if !slices.ContainsFunc(sim.nodes, func(n *simNode) bool { return n.faulty }) {
			continue
		}
		faulty++
		for _, n := range sim.nodes {
			invalid += n.replicator.Counters.InvalidResponses
		}
		if invalid > 0 {
			found++
		}
	}
	t.Logf("%d of %d faulty nodes were detected", found, faulty)
	require.Greater(t, faulty, 10)
	require.GreaterOrEqual(t, 10*found, 9*faulty)
}

// Guards the schedules' coverage: in some of them blocks must be sent as changes.
func TestSchedulesHaveLargeChanges(t *testing.T) {
	large := 0
	withDeltas := 0
	answers := 0
	for seed := int64(1); seed <= 60; seed++ {
		sim := runSchedule(seed, nil)
		if sim.largeChanges {
			large++
		}
		if sim.deltaAnswers > 0 {
			withDeltas++
		}
		answers += sim.deltaAnswers
	}
	t.Logf("%d schedules of 60 have large changes; %d answers with blocks as changes, in %d schedules", large, answers, withDeltas)
	require.Greater(t, withDeltas, 5)
}

// Guards the invariants: the schedules must find faults that are injected on purpose.
func TestInjectedFaultsAreFound(t *testing.T) {
	for name, injectFault := range map[string]func(*simulation){
		"digests are not compared": func(sim *simulation) {
			sim.skipDigests = true
			for _, n := range sim.nodes {
				n.replicator.skipDigests = true
			}
		},
		"acknowledged before the commit": func(sim *simulation) { sim.acknowledgeEarly = true },
	} {
		found := int64(0)
		for seed := int64(1); seed <= 200 && found == 0; seed++ {
			if runSchedule(seed, injectFault).failure != "" {
				found = seed
			}
		}
		require.NotZero(t, found, name)
		t.Logf("%s: found at seed %d", name, found)
	}
}
