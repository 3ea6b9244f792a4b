package consensus

import (
	"fmt"
	"maps"
	"math/rand"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"topazpost/internal/fleet/claims"
)

// simDisk is what a seat's simDisk holds, and what is on its way there.
type simDisk struct {
	contents DiskContents
	inFlight []*Write
	freeAt   int64 // when what is on its way is written
}

func (d *simDisk) apply(write *Write) {
	if write.DiscardEarlier {
		d.contents = DiskContents{}
		return
	}
	if write.Base != nil {
		d.contents = DiskContents{Base: write.Base, Parts: maps.Clone(write.Parts)}
	}
	d.contents.Records = append(d.contents.Records[:len(d.contents.Records):len(d.contents.Records)], write.Records...)
}

// crash leaves a part of what was on its way, and nothing of it was told.
func (d *simDisk) crash(chance *rand.Rand) {
	for _, write := range d.inFlight[:chance.Intn(len(d.inFlight)+1)] {
		d.apply(write)
	}
	d.inFlight, d.freeAt = nil, 0
}

func (s *simulation) recover(m *simNode) {
	if m.disk == nil {
		m.disk = &simDisk{}
	}
	if err := m.replica.Recover(s.now, m.disk.contents); err != nil {
		s.fail("%s can't take its disk up: %v", m.name, err)
	}
	if m.replica.Resumed() {
		s.resumed++
	}
}

// persist has writes reach the disk in their order, some time later: now and then much later.
func (s *simulation) persist(i int, write *Write) {
	m := s.machines[i]
	d := m.disk
	took := ms/10 + s.chance.Int63n(2*ms+s.maxExtraWrite)
	if s.chance.Intn(200) == 0 {
		took += s.chance.Int63n(300 * ms)
	}
	d.freeAt = max(d.freeAt, s.now) + took
	d.inFlight = append(d.inFlight, write)
	s.at(d.freeAt, i, func() {
		d.apply(d.inFlight[0])
		d.inFlight = d.inFlight[1:]
		m.replicaInputs = append(m.replicaInputs, Input{Persisted: write.Number})
		s.wakeNow(i)
	})
}

// newDiskSimulation is a calm world whose seats have disks.
func newDiskSimulation(t *testing.T, nodes, seats int) *simulation {
	sim := newSimulation(1, nodes, seats)
	sim.stable, sim.disks = true, true
	for i := range nodes {
		sim.start(i)
	}
	sim.run(5_000 * ms)
	require.NotNil(t, sim.leader(), "a council is founded and has a leader")
	return sim
}

// killReplicas ends all seats at once.
func (s *simulation) killReplicas() {
	for i := range s.members {
		s.kill(i)
	}
}

func (s *simulation) startAll() {
	for i := range s.machines {
		s.start(i)
	}
}

// assertSameTables says where tables of seats that are up and equally far differ.
func (s *simulation) assertSameTables(t assert.TestingT) {
	by := map[uint64]string{}
	for _, m := range s.machines[:len(s.members)] {
		if !m.up || !m.replica.bootstrap.done {
			continue
		}
		text := ""
		for i := range m.replica.tables {
			m.replica.snapshots.cachedTexts[i] = nil
			part, err := m.replica.tables[i].Snapshot()
			assert.NoError(t, err)
			text += string(part)
		}
		if before, known := by[m.replica.raft.appliedIndex]; known {
			assert.True(t, before == text, "tables at entry %d differ", m.replica.raft.appliedIndex)
		}
		by[m.replica.raft.appliedIndex] = text
	}
}

func TestCouncilsOnDisksComeBackWhole(t *testing.T) {
	for _, seats := range []int{1, 3, 5} {
		t.Run(fmt.Sprint(seats), func(t *testing.T) {
			sim := newDiskSimulation(t, seats+1, seats)
			a := sim.ask(1, 1, seats)
			sim.run(sim.now + 500*ms)
			require.Equal(t, "hold//t1 run 1", a.outcome)
			ids := map[string]uint64{}
			for _, m := range sim.machines[:seats] {
				ids[m.name] = m.replica.raft.id
			}
			sim.killReplicas()
			sim.kill(seats)
			sim.run(sim.now + 60_000*ms)
			sim.startAll()
			sim.run(sim.now + 3_000*ms)
			for _, m := range sim.machines[:seats] {
				assert.Equal(t, ids[m.name], m.replica.raft.id, "it goes on under its number")
			}
			b := sim.ask(2, 1, seats)
			sim.run(sim.now + 500*ms)
			assert.Equal(t, a.outcome, b.outcome)
			assert.Equal(t, 1, sim.runs[1])
			sim.assertSameTables(t)
		})
	}
}

func TestSeatThatLostItsDiskIsSeatedAnew(t *testing.T) {
	sim := newDiskSimulation(t, 4, 3)
	sim.ask(1, 1, 3)
	sim.run(sim.now + 500*ms)
	before := sim.machines[0].replica.raft.id
	sim.kill(0)
	sim.machines[0].disk = nil
	sim.start(0)
	sim.run(sim.now + 3_000*ms)
	c := sim.machines[0].replica
	assert.NotEqual(t, before, c.raft.id)
	assert.NotNil(t, c.table.Find(key(1)))
	sim.killReplicas() // and what it got is on its new disk
	sim.startAll()
	sim.run(sim.now + 3_000*ms)
	assert.Equal(t, c.raft.id, sim.machines[0].replica.raft.id)
	assert.NotNil(t, sim.machines[0].replica.table.Find(key(1)))
}

func TestSeatWithAnOldDiskIsToldAndBeginsAnew(t *testing.T) {
	sim := newDiskSimulation(t, 4, 3)
	i := (sim.indexOf(sim.leader()) + 1) % 3
	old, before := sim.machines[i].disk.contents, sim.machines[i].replica.raft.id
	a := sim.ask(1, 1, 3)
	sim.run(sim.now + 500*ms)
	sim.killReplicas()
	sim.machines[i].disk.contents = old
	sim.startAll()
	sim.run(sim.now + 5_000*ms)
	c := sim.machines[i].replica
	assert.NotEqual(t, before, c.raft.id, "it does not vote by what it forgot")
	assert.True(t, c.bootstrap.done)
	assert.NotNil(t, c.table.Find(key(1)))
	b := sim.ask(2, 1, 3)
	sim.run(sim.now + 500*ms)
	assert.Equal(t, a.outcome, b.outcome)
	sim.assertSameTables(t)
}

func TestNothingIsSaidBeforeItIsOnTheDisk(t *testing.T) {
	sim := newDiskSimulation(t, 4, 3)
	m := sim.leader()
	c := m.replica
	number := c.disk.lastWrite
	self := claims.Owner{Name: m.name, Incarnation: m.incarnation}
	effects, _ := c.Step(sim.now, []Input{{Persisted: number}, {Claims: []claims.Command{{Kind: claims.CommandClaim, Sender: self, Seq: 99, Key: key(1), Duration: ms}}}})
	var write *Write
	for _, e := range effects {
		if e.Kind == Persist {
			write = e.Write
		}
		assert.NotEqual(t, Send, e.Kind, "the entry is on no disk")
	}
	require.NotNil(t, write)
	assert.Greater(t, write.Number, number)
	effects, _ = c.Step(sim.now+1, []Input{{Persisted: write.Number}})
	assert.True(t, slices.ContainsFunc(effects, func(e Effect) bool { return e.Kind == Send }), "now it is")
}

func TestSeatWhoseDiskFailedSaysNothingMore(t *testing.T) {
	sim := newDiskSimulation(t, 4, 3)
	i := sim.indexOf(sim.leader())
	m := sim.machines[i]
	m.replicaInputs = append(m.replicaInputs, Input{Err: fmt.Errorf("no space left")})
	sim.wakeNow(i)
	sim.run(sim.now + 4_000*ms)
	require.NotNil(t, sim.leader())
	assert.NotEqual(t, i, sim.indexOf(sim.leader()), "another leads")
	sim.kill(i)
	sim.start(i)
	sim.run(sim.now + 2_000*ms)
	assert.Equal(t, sim.leader().replica.raft.appliedIndex, sim.machines[i].replica.raft.appliedIndex, "started anew it goes on")
}

func TestFolderOfAnotherCouncilIsRefused(t *testing.T) {
	sim := newDiskSimulation(t, 4, 3)
	c := NewGroup([]string{"n0", "n7", "n8"}, "n0", 1, 1, 1)
	assert.ErrorContains(t, c.Recover(1, sim.machines[0].disk.contents), "put the names back")
	c = NewGroup(sim.members, "n0", 1, 1, 1)
	assert.ErrorContains(t, c.Recover(1, DiskContents{Base: []byte("no base")}), "can't be read by this build")
}

// What is on the disk is bounded: a base takes the place of the log before it.
func TestLogOnTheDiskIsCutBehindASnapshot(t *testing.T) {
	sim := newDiskSimulation(t, 4, 3)
	m := sim.leader()
	self := claims.Owner{Name: m.name, Incarnation: m.incarnation}
	for n := range 2_500 { // more entries than one snapshot holds
		m.replicaInputs = append(m.replicaInputs, Input{Claims: []claims.Command{{Kind: claims.CommandClaim, Sender: self, Seq: uint64(1_000 + n), Key: key(1), Duration: ms}}})
		sim.wakeNow(sim.indexOf(m))
		sim.run(sim.now + 8*ms)
	}
	for _, m := range sim.machines[:3] {
		assert.Less(t, len(m.disk.contents.Records), 3*maxLogEntries, "an entry has two records, its own and that it is agreed on")
		assert.GreaterOrEqual(t, m.replica.Counters.Snapshots, 1)
	}
}

// runDiskSchedule plays drawn crashes of any number of seats at once, cuts and pauses; and one disk at a time that is lost, or
// set back while the others can be heard.
func runDiskSchedule(seed int64, alter func(sim *simulation)) *simulation {
	chance := rand.New(rand.NewSource(seed))
	seats := []int{1, 3, 3, 3, 5}[chance.Intn(5)]
	nodes := seats + 1 + chance.Intn(3)
	sim := newSimulation(seed, nodes, seats)
	sim.disks = true
	if alter != nil {
		alter(sim)
	}
	sim.startAll()
	sim.stable = true
	sim.run(3_000 * ms)
	sim.stable = false
	sim.loss = []float64{0, 0, 0.05, 0.2}[chance.Intn(4)]
	loss := sim.loss
	sim.maxExtraWrite = []int64{0, 0, 60 * ms}[chance.Intn(3)]
	heal := func() {
		clear(sim.cutLinks)
		for k := range sim.machines {
			sim.pause(k, false)
		}
		sim.startAll()
	}
	end := sim.now + 5_000*ms
	for sim.now < end && len(sim.failures) == 0 {
		for range 1 + chance.Intn(3) {
			sim.ask(chance.Intn(8), 1+chance.Intn(12), chance.Intn(nodes))
		}
		i := chance.Intn(nodes)
		switch chance.Intn(28) {
		case 0, 1, 2:
			sim.kill(i)
		case 3:
			for k := range sim.machines {
				if chance.Intn(2) == 0 {
					sim.kill(k)
				}
			}
		case 4:
			sim.killReplicas()
		case 5, 6, 7, 8:
			for k := range sim.machines {
				if chance.Intn(2) == 0 {
					sim.start(k)
				}
			}
		case 9, 10:
			sim.pause(i, true)
		case 11, 12, 13:
			sim.resume()
		case 14, 15:
			sim.cutFrom(i, chance)
		case 16:
			sim.cutOff(i, chance)
		case 17, 18, 19:
			clear(sim.cutLinks)
		case 20:
			if i < seats && sim.majorityWithout(i) && sim.settled(i) {
				sim.kill(i)
				sim.machines[i].disk = nil
				sim.start(i)
			}
		case 21:
			if i < seats && sim.majorityWithout(i) && sim.settled(i) { // a volume that is set back to what it was a while ago
				m := sim.machines[i]
				old := m.disk.contents
				sim.run(sim.now + chance.Int63n(300*ms))
				if sim.majorityWithout(i) && sim.settled(i) {
					sim.kill(i)
					m.disk.contents = old
					heal()
					sim.loss = 0
					sim.run(sim.now + 500*ms)
					sim.loss = loss
				}
			}
		}
		sim.run(sim.now + chance.Int63n(120*ms))
	}
	heal()
	sim.loss, sim.stable = 0, true
	sim.run(sim.now + 8_000*ms)
	if len(sim.failures) > 0 {
		return sim
	}
	last := len(sim.attempts)
	for token := 1; token <= 12; token++ {
		sim.ask(9, token, chance.Intn(nodes))
	}
	sim.run(sim.now + 6_000*ms)
	for _, a := range sim.attempts[last:] {
		if !a.answered || a.outcome == "throttled" || a.outcome == "lost" {
			sim.fail("after the healing t%d is answered %q", a.token, a.outcome)
		}
	}
	if len(sim.failures) == 0 && !sim.linearizable() {
		sim.fail("what callers saw is not linearizable")
	}
	var apart differences
	sim.assertSameTables(&apart)
	sim.failures = append(sim.failures, apart...)
	return sim
}

// settled says whether all other seats that are up stand on their disks and sit where the council has them.
func (s *simulation) settled(i int) bool {
	for k, m := range s.machines[:len(s.members)] {
		if k != i && m.up && (m.replica.disk.rejoinAnswers != nil || !m.replica.bootstrap.done) {
			return false
		}
	}
	return s.machines[i].up && s.machines[i].replica.disk.rejoinAnswers == nil && s.machines[i].replica.bootstrap.done
}

type differences []string

func (d *differences) Errorf(form string, args ...any) { *d = append(*d, fmt.Sprintf(form, args...)) }

func TestNothingAcknowledgedIsForgottenInDrawnSchedulesOnDisks(t *testing.T) {
	first, many := seedFromEnvironment(t, "SEED", 1), seedFromEnvironment(t, "SCHEDULES", 50)
	resumed, ran := 0, 0
	for seed := first; seed < first+many; seed++ {
		sim := runDiskSchedule(seed, nil)
		for _, wrong := range sim.failures {
			t.Errorf("seed %d: %s; replay: SEED=%d SCHEDULES=1 go test -run SchedulesOnDisks ./council", seed, wrong, seed)
		}
		resumed += sim.resumed
		ran += len(sim.runs)
		if t.Failed() {
			return
		}
	}
	t.Logf("%d schedules: %d tokens ran, %d seats went on from their disks", many, ran, resumed)
	assert.True(t, many < 50 || resumed > 0, "a seat went on from its disk")
}

// agreeOnTwoDisks has a leader and one follower, whose disk stands still, agree on a claim as far as they may, and both crash. The
// follower comes back with what its disk holds, and with the third, which was cut off, it is most of the council.
func agreeOnTwoDisks(t *testing.T, fault func(c *Group)) (agreed, known bool) {
	sim := newSimulation(1, 4, 3)
	sim.stable, sim.disks = true, true
	sim.configure = func(_ int, c *Group) { fault(c) }
	sim.startAll()
	sim.run(5_000 * ms)
	leader := sim.leader()
	require.NotNil(t, leader)
	i := sim.indexOf(leader)
	follower, third := (i+1)%3, (i+2)%3
	for k := range sim.machines {
		sim.cutLinks[[2]int{third, k}], sim.cutLinks[[2]int{k, third}] = true, true
	}
	sim.machines[follower].disk.freeAt = sim.now + 60_000*ms
	leader.replicaInputs = append(leader.replicaInputs, Input{Claims: []claims.Command{{Kind: claims.CommandClaim, Sender: claims.Owner{Name: "n3", Incarnation: sim.machines[3].incarnation},
		Seq: 1_000, Key: key(1), Duration: 600_000 * ms, Window: window}}})
	sim.wakeNow(i)
	sim.run(sim.now + 400*ms)
	agreed = leader.replica.table.Find(key(1)) != nil
	sim.machines[follower].disk.inFlight = nil // nothing of it reached the disk
	sim.kill(i)
	sim.kill(follower)
	clear(sim.cutLinks)
	sim.start(follower)
	sim.run(sim.now + 8_000*ms)
	require.NotNil(t, sim.leader(), "two of three go on")
	return agreed, sim.leader().replica.table.Find(key(1)) != nil
}

func TestWhatTwoAgreedOnIsOnTheDisksOfTwo(t *testing.T) {
	agreed, _ := agreeOnTwoDisks(t, func(*Group) {})
	assert.False(t, agreed, "one disk is no majority")
	agreed, known := agreeOnTwoDisks(t, func(c *Group) { c.disk.unsafeNoWait = true })
	assert.True(t, agreed && !known, "what is sent before what it stands on is on the disk is found: it is forgotten")
}
