package consensus

import (
	"fmt"
	"math/rand"
	"os"
	"strconv"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// randomFaults injects random faults into a simulation. Of replicas without disks, at most one is lost at a time, since a group of which a
// majority loses its state guarantees nothing.
type randomFaults struct {
	*simulation
	random *rand.Rand
	down   int // index of the replica that is lost, -1 for none
}

// newRandomSimulation returns a simulation of random size whose group has started without faults.
func newRandomSimulation(seed int64, random *rand.Rand, prepare func(sim *simulation)) *simulation {
	replicas := []int{1, 3, 3, 3, 5}[random.Intn(5)]
	nodes := replicas + 1 + random.Intn(3)
	sim := newSimulation(seed, nodes, replicas)
	prepare(sim)
	sim.startAll()
	sim.stable = true
	sim.run(3_000 * ms)
	sim.stable = false
	sim.loss = []float64{0, 0, 0.05, 0.2}[random.Intn(4)]
	return sim
}

// runWithFaults alternates random requests and faults for a duration, or until a check fails.
func (s *simulation) runWithFaults(random *rand.Rand, duration int64, injectFault func(i int)) {
	end := s.now + duration
	for s.now < end && len(s.failures) == 0 {
		for range 1 + random.Intn(3) {
			s.ask(random.Intn(8), 1+random.Intn(12), random.Intn(len(s.nodes)))
		}
		injectFault(random.Intn(len(s.nodes)))
		s.run(s.now + random.Int63n(120*ms))
	}
}

// runSchedule injects random faults during random requests, then ends all faults and requires answers. The returned simulation has the
// failures of the checks.
func runSchedule(seed int64, prepare func(sim *simulation)) *simulation {
	random := rand.New(rand.NewSource(seed))
	sim := newRandomSimulation(seed, random, prepare)
	faults := &randomFaults{simulation: sim, random: random, down: -1}
	sim.runWithFaults(random, 4_000*ms, faults.inject)
	clear(sim.cutLinks)
	sim.loss = 0
	sim.stable = true
	for i := range sim.nodes {
		sim.pause(i, false)
		sim.start(i)
	}
	if !sim.checkAnswersAfterHealing(random) {
		return sim
	}
	for _, a := range sim.attempts {
		if !a.answered {
			sim.fail("request of t%d at %d ms was never answered", a.token, a.at/ms)
		}
	}
	sim.checkLinearizable()
	return sim
}

func (f *randomFaults) inject(i int) {
	switch f.random.Intn(24) {
	case 0, 1:
		f.killOne(i)
	case 2, 3, 4:
		f.restart(i)
	case 5, 6:
		f.pause(i, true)
	case 7, 8, 9:
		f.resume()
	case 10, 11:
		f.cutFrom(i, f.random)
	case 12:
		f.cutOff(i, f.random)
	case 13, 14, 15:
		clear(f.cutLinks)
	}
}

// killOne kills a node. It kills a replica only if no other is lost.
func (f *randomFaults) killOne(i int) {
	isReplica := i < len(f.members)
	if !isReplica {
		f.kill(i)
		return
	}
	if f.down < 0 && f.majorityWithout(i) {
		f.kill(i)
		f.down = i
	}
}

func (f *randomFaults) restart(i int) {
	if f.down >= 0 {
		f.start(f.down)
		f.down = -1
	}
	if i >= len(f.members) {
		f.start(i)
	}
}

// checkAnswersAfterHealing requires a result of each token after the faults have ended. It returns false, without
// requests, if the schedule had failures before.
func (s *simulation) checkAnswersAfterHealing(random *rand.Rand) bool {
	s.run(s.now + 8_000*ms)
	if len(s.failures) > 0 {
		return false
	}
	last := len(s.attempts)
	for token := 1; token <= 12; token++ {
		s.ask(9, token, random.Intn(len(s.nodes)))
	}
	s.run(s.now + 6_000*ms)
	for _, a := range s.attempts[last:] {
		if !a.answered || a.outcome == "throttled" || a.outcome == "lost" {
			s.fail("t%d is answered %q after all faults ended", a.token, a.outcome)
		}
	}
	return true
}

func (s *simulation) checkLinearizable() {
	if len(s.failures) == 0 && !s.linearizable() {
		s.fail("the answers to callers are not linearizable")
	}
}

// runDiskSchedule injects random crashes of any number of replicas with disks at once, cut links and pauses. It also loses one disk at a
// time, or restores one to an older state while the other members can be reached.
func runDiskSchedule(seed int64) *simulation {
	random := rand.New(rand.NewSource(seed))
	sim := newRandomSimulation(seed, random, func(sim *simulation) { sim.disks = true })
	sim.maxExtraWrite = []int64{0, 0, 60 * ms}[random.Intn(3)]
	faults := &randomFaults{simulation: sim, random: random, down: -1}
	sim.runWithFaults(random, 5_000*ms, faults.injectWithDisks)
	sim.heal()
	sim.loss = 0
	sim.stable = true
	if !sim.checkAnswersAfterHealing(random) {
		return sim
	}
	sim.checkLinearizable()
	var failures recordedErrors
	sim.assertReplicasAgree(&failures)
	sim.failures = append(sim.failures, failures...)
	return sim
}

func (f *randomFaults) injectWithDisks(i int) {
	switch f.random.Intn(28) {
	case 0, 1, 2:
		f.kill(i)
	case 3:
		f.forRandomHalf(f.kill)
	case 4:
		f.killReplicas()
	case 5, 6, 7, 8:
		f.forRandomHalf(f.start)
	case 9, 10:
		f.pause(i, true)
	case 11, 12, 13:
		f.resume()
	case 14, 15:
		f.cutFrom(i, f.random)
	case 16:
		f.cutOff(i, f.random)
	case 17, 18, 19:
		clear(f.cutLinks)
	case 20:
		f.loseDisk(i)
	case 21:
		f.setDiskBack(i)
	}
}

func (f *randomFaults) forRandomHalf(do func(i int)) {
	for k := range f.nodes {
		if f.random.Intn(2) == 0 {
			do(k)
		}
	}
}

// canLoseDisk reports whether the other replicas still have all acknowledged state if a replica's disk is lost.
func (f *randomFaults) canLoseDisk(i int) bool {
	return i < len(f.members) && f.majorityWithout(i) && f.settled(i)
}

func (f *randomFaults) loseDisk(i int) {
	if f.canLoseDisk(i) {
		f.kill(i)
		f.nodes[i].disk = nil
		f.start(i)
	}
}

// setDiskBack restores a replica's disk to its content of up to 300 ms ago.
func (f *randomFaults) setDiskBack(i int) {
	if !f.canLoseDisk(i) {
		return
	}
	old := f.nodes[i].disk.contents
	f.run(f.now + f.random.Int63n(300*ms))
	if !f.canLoseDisk(i) {
		return
	}
	f.kill(i)
	f.nodes[i].disk.contents = old
	f.heal()
	loss := f.loss
	f.loss = 0
	f.run(f.now + 500*ms)
	f.loss = loss
}

// heal restores all links, ends all pauses, and starts all nodes.
func (s *simulation) heal() {
	clear(s.cutLinks)
	for k := range s.nodes {
		s.pause(k, false)
	}
	s.startAll()
}

// majorityWithout reports whether a majority of replicas with state would be left without a replica, and no replica is being replaced.
// Otherwise the group guarantees nothing after the loss of that replica.
func (s *simulation) majorityWithout(i int) bool {
	left := 0
	for k, node := range s.nodes[:len(s.members)] {
		if !node.up {
			continue
		}
		if !node.replica.bootstrap.inGroup || len(node.replica.raft.confState.VotersOutgoing) > 0 || node.replica.replicas[node.name].RaftID != node.replica.raft.id {
			return false
		}
		if k != i {
			left++
		}
	}
	return 2*left > len(s.members)
}

// intFromEnvironment returns the value of an environment variable, or a default: SCHEDULES, the number of schedules, or SEED, the first of them.
func intFromEnvironment(t *testing.T, name string, defaultValue int64) int64 {
	if text := os.Getenv(name); text != "" {
		n, err := strconv.ParseInt(text, 10, 64)
		require.NoError(t, err)
		return n
	}
	return defaultValue
}

// Guards the guarantee of idempotency tokens: under random faults each token runs at most once, and answers are linearizable.
func TestNoTokenRunsTwiceInRandomSchedules(t *testing.T) {
	first := intFromEnvironment(t, "SEED", 1)
	count := intFromEnvironment(t, "SCHEDULES", 150)
	taken := 0
	ran := 0
	for seed := first; seed < first+count; seed++ {
		sim := runSchedule(seed, func(*simulation) {})
		for _, failure := range sim.failures {
			t.Errorf("seed %d: %s; replay: SEED=%d SCHEDULES=1 go test -run RandomSchedules ./internal/fleet/consensus", seed, failure, seed)
		}
		taken += sim.takeovers
		ran += len(sim.runs)
		if t.Failed() {
			return
		}
	}
	t.Logf("%d schedules: %d tokens ran, %d were taken over", count, ran, taken)
	assert.True(t, count < 100 || taken > 0, "schedules without a takeover don't test takeovers")
}

// Guards the checks of the schedules themselves: they must detect a defect that is injected on purpose.
func TestRandomSchedulesFindInjectedFaults(t *testing.T) {
	for name, alter := range map[string]func(sim *simulation){
		"run before the start is committed": func(sim *simulation) { sim.runBeforeStart = true },
		"fences are not checked":            func(sim *simulation) { sim.ignoreFences = true },
	} {
		t.Run(name, func(t *testing.T) {
			for seed := int64(380); seed <= 2_000; seed++ { // begins with a schedule that detects one of the defects
				if sim := runSchedule(seed, alter); len(sim.failures) > 0 {
					t.Logf("found at seed %d: %s", seed, sim.failures[0])
					return
				}
			}
			t.Error("no schedule detected the injected defect")
		})
	}
}

// settled reports whether a replica is up, and it and all others that are up belong to the group and are not rejoining.
func (s *simulation) settled(i int) bool {
	for k, node := range s.nodes[:len(s.members)] {
		if k != i && node.up && (node.replica.disk.rejoinAnswers != nil || !node.replica.bootstrap.inGroup) {
			return false
		}
	}
	return s.nodes[i].up && s.nodes[i].replica.disk.rejoinAnswers == nil && s.nodes[i].replica.bootstrap.inGroup
}

// recordedErrors records the failures of assertions.
type recordedErrors []string

func (d *recordedErrors) Errorf(format string, args ...any) {
	*d = append(*d, fmt.Sprintf(format, args...))
}

// Guards the durability of acknowledged state under random crashes of replicas with disks, of any number at once.
func TestNothingAcknowledgedIsLostInRandomDiskSchedules(t *testing.T) {
	first := intFromEnvironment(t, "SEED", 1)
	count := intFromEnvironment(t, "SCHEDULES", 50)
	resumed := 0
	ran := 0
	for seed := first; seed < first+count; seed++ {
		sim := runDiskSchedule(seed)
		for _, failure := range sim.failures {
			t.Errorf("seed %d: %s; replay: SEED=%d SCHEDULES=1 go test -run RandomDiskSchedules ./internal/fleet/consensus", seed, failure, seed)
		}
		resumed += sim.resumed
		ran += len(sim.runs)
		if t.Failed() {
			return
		}
	}
	t.Logf("%d schedules: %d tokens ran, %d replicas recovered from their disks", count, ran, resumed)
	assert.True(t, count < 50 || resumed > 0, "schedules without a recovery from a disk don't test recoveries")
}
