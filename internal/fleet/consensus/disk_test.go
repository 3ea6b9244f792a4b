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

func (d *simDisk) apply(w *Write) {
	if w.DiscardEarlier {
		d.contents = DiskContents{}
		return
	}
	if w.Base != nil {
		d.contents = DiskContents{Base: w.Base, Parts: maps.Clone(w.Parts)}
	}
	d.contents.Records = append(d.contents.Records[:len(d.contents.Records):len(d.contents.Records)], w.Records...)
}

// crash leaves a part of what was on its way, and nothing of it was told.
func (d *simDisk) crash(chance *rand.Rand) {
	for _, w := range d.inFlight[:chance.Intn(len(d.inFlight)+1)] {
		d.apply(w)
	}
	d.inFlight, d.freeAt = nil, 0
}

func (w *simulation) recover(m *simNode) {
	if m.disk == nil {
		m.disk = &simDisk{}
	}
	if err := m.replica.Recover(w.now, m.disk.contents); err != nil {
		w.fail("%s can't take its disk up: %v", m.name, err)
	}
	if m.replica.Resumed() {
		w.resumed++
	}
}

// persist has writes reach the disk in their order, some time later: now and then much later.
func (w *simulation) persist(i int, x *Write) {
	m := w.machines[i]
	d := m.disk
	took := ms/10 + w.chance.Int63n(2*ms+w.maxExtraWrite)
	if w.chance.Intn(200) == 0 {
		took += w.chance.Int63n(300 * ms)
	}
	d.freeAt = max(d.freeAt, w.now) + took
	d.inFlight = append(d.inFlight, x)
	w.at(d.freeAt, i, func() {
		d.apply(d.inFlight[0])
		d.inFlight = d.inFlight[1:]
		m.replicaInputs = append(m.replicaInputs, Input{Persisted: x.Number})
		w.wakeNow(i)
	})
}

// newDiskSimulation is a calm world whose seats have disks.
func newDiskSimulation(t *testing.T, nodes, seats int) *simulation {
	w := newSimulation(1, nodes, seats)
	w.stable, w.disks = true, true
	for i := range nodes {
		w.start(i)
	}
	w.run(5_000 * ms)
	require.NotNil(t, w.leader(), "a council is founded and has a leader")
	return w
}

// killReplicas ends all seats at once.
func (w *simulation) killReplicas() {
	for i := range w.members {
		w.kill(i)
	}
}

func (w *simulation) startAll() {
	for i := range w.machines {
		w.start(i)
	}
}

// assertSameTables says where tables of seats that are up and equally far differ.
func (w *simulation) assertSameTables(t assert.TestingT) {
	by := map[uint64]string{}
	for _, m := range w.machines[:len(w.members)] {
		if !m.up || !m.replica.bootstrapped {
			continue
		}
		text := ""
		for i := range m.replica.tables {
			m.replica.cachedTexts[i] = nil
			part, err := m.replica.tables[i].Snapshot()
			assert.NoError(t, err)
			text += string(part)
		}
		if before, known := by[m.replica.appliedIndex]; known {
			assert.True(t, before == text, "tables at entry %d differ", m.replica.appliedIndex)
		}
		by[m.replica.appliedIndex] = text
	}
}

func TestCouncilsOnDisksComeBackWhole(t *testing.T) {
	for _, seats := range []int{1, 3, 5} {
		t.Run(fmt.Sprint(seats), func(t *testing.T) {
			w := newDiskSimulation(t, seats+1, seats)
			a := w.ask(1, 1, seats)
			w.run(w.now + 500*ms)
			require.Equal(t, "hold//t1 run 1", a.outcome)
			ids := map[string]uint64{}
			for _, m := range w.machines[:seats] {
				ids[m.name] = m.replica.raftID
			}
			w.killReplicas()
			w.kill(seats)
			w.run(w.now + 60_000*ms)
			w.startAll()
			w.run(w.now + 3_000*ms)
			for _, m := range w.machines[:seats] {
				assert.Equal(t, ids[m.name], m.replica.raftID, "it goes on under its number")
			}
			b := w.ask(2, 1, seats)
			w.run(w.now + 500*ms)
			assert.Equal(t, a.outcome, b.outcome)
			assert.Equal(t, 1, w.runs[1])
			w.assertSameTables(t)
		})
	}
}

func TestSeatThatLostItsDiskIsSeatedAnew(t *testing.T) {
	w := newDiskSimulation(t, 4, 3)
	w.ask(1, 1, 3)
	w.run(w.now + 500*ms)
	before := w.machines[0].replica.raftID
	w.kill(0)
	w.machines[0].disk = nil
	w.start(0)
	w.run(w.now + 3_000*ms)
	c := w.machines[0].replica
	assert.NotEqual(t, before, c.raftID)
	assert.NotNil(t, c.table.Find(key(1)))
	w.killReplicas() // and what it got is on its new disk
	w.startAll()
	w.run(w.now + 3_000*ms)
	assert.Equal(t, c.raftID, w.machines[0].replica.raftID)
	assert.NotNil(t, w.machines[0].replica.table.Find(key(1)))
}

func TestSeatWithAnOldDiskIsToldAndBeginsAnew(t *testing.T) {
	w := newDiskSimulation(t, 4, 3)
	i := (w.indexOf(w.leader()) + 1) % 3
	old, before := w.machines[i].disk.contents, w.machines[i].replica.raftID
	a := w.ask(1, 1, 3)
	w.run(w.now + 500*ms)
	w.killReplicas()
	w.machines[i].disk.contents = old
	w.startAll()
	w.run(w.now + 5_000*ms)
	c := w.machines[i].replica
	assert.NotEqual(t, before, c.raftID, "it does not vote by what it forgot")
	assert.True(t, c.bootstrapped)
	assert.NotNil(t, c.table.Find(key(1)))
	b := w.ask(2, 1, 3)
	w.run(w.now + 500*ms)
	assert.Equal(t, a.outcome, b.outcome)
	w.assertSameTables(t)
}

func TestNothingIsSaidBeforeItIsOnTheDisk(t *testing.T) {
	w := newDiskSimulation(t, 4, 3)
	m := w.leader()
	c := m.replica
	number := c.disk.lastWrite
	self := claims.Owner{Name: m.name, Incarnation: m.incarnation}
	effects, _ := c.Step(w.now, []Input{{Persisted: number}, {Claims: []claims.Command{{Kind: claims.CommandClaim, Sender: self, Seq: 99, Key: key(1), Duration: ms}}}})
	var write *Write
	for _, e := range effects {
		if e.Kind == Persist {
			write = e.Write
		}
		assert.NotEqual(t, Send, e.Kind, "the entry is on no disk")
	}
	require.NotNil(t, write)
	assert.Greater(t, write.Number, number)
	effects, _ = c.Step(w.now+1, []Input{{Persisted: write.Number}})
	assert.True(t, slices.ContainsFunc(effects, func(e Effect) bool { return e.Kind == Send }), "now it is")
}

func TestSeatWhoseDiskFailedSaysNothingMore(t *testing.T) {
	w := newDiskSimulation(t, 4, 3)
	i := w.indexOf(w.leader())
	m := w.machines[i]
	m.replicaInputs = append(m.replicaInputs, Input{Err: fmt.Errorf("no space left")})
	w.wakeNow(i)
	w.run(w.now + 4_000*ms)
	require.NotNil(t, w.leader())
	assert.NotEqual(t, i, w.indexOf(w.leader()), "another leads")
	w.kill(i)
	w.start(i)
	w.run(w.now + 2_000*ms)
	assert.Equal(t, w.leader().replica.appliedIndex, w.machines[i].replica.appliedIndex, "started anew it goes on")
}

func TestFolderOfAnotherCouncilIsRefused(t *testing.T) {
	w := newDiskSimulation(t, 4, 3)
	c := NewGroup([]string{"n0", "n7", "n8"}, "n0", 1, 1, 1)
	assert.ErrorContains(t, c.Recover(1, w.machines[0].disk.contents), "put the names back")
	c = NewGroup(w.members, "n0", 1, 1, 1)
	assert.ErrorContains(t, c.Recover(1, DiskContents{Base: []byte("no base")}), "can't be read by this build")
}

// What is on the disk is bounded: a base takes the place of the log before it.
func TestLogOnTheDiskIsCutBehindASnapshot(t *testing.T) {
	w := newDiskSimulation(t, 4, 3)
	m := w.leader()
	self := claims.Owner{Name: m.name, Incarnation: m.incarnation}
	for n := range 2_500 { // more entries than one snapshot holds
		m.replicaInputs = append(m.replicaInputs, Input{Claims: []claims.Command{{Kind: claims.CommandClaim, Sender: self, Seq: uint64(1_000 + n), Key: key(1), Duration: ms}}})
		w.wakeNow(w.indexOf(m))
		w.run(w.now + 8*ms)
	}
	for _, m := range w.machines[:3] {
		assert.Less(t, len(m.disk.contents.Records), 3*maxLogEntries, "an entry has two records, its own and that it is agreed on")
		assert.GreaterOrEqual(t, m.replica.Counters.Snapshots, 1)
	}
}

// runDiskSchedule plays drawn crashes of any number of seats at once, cuts and pauses; and one disk at a time that is lost, or
// set back while the others can be heard.
func runDiskSchedule(seed int64, alter func(w *simulation)) *simulation {
	chance := rand.New(rand.NewSource(seed))
	seats := []int{1, 3, 3, 3, 5}[chance.Intn(5)]
	nodes := seats + 1 + chance.Intn(3)
	w := newSimulation(seed, nodes, seats)
	w.disks = true
	if alter != nil {
		alter(w)
	}
	w.startAll()
	w.stable = true
	w.run(3_000 * ms)
	w.stable = false
	w.loss = []float64{0, 0, 0.05, 0.2}[chance.Intn(4)]
	loss := w.loss
	w.maxExtraWrite = []int64{0, 0, 60 * ms}[chance.Intn(3)]
	heal := func() {
		clear(w.cutLinks)
		for k := range w.machines {
			w.pause(k, false)
		}
		w.startAll()
	}
	end := w.now + 5_000*ms
	for w.now < end && len(w.failures) == 0 {
		for range 1 + chance.Intn(3) {
			w.ask(chance.Intn(8), 1+chance.Intn(12), chance.Intn(nodes))
		}
		i := chance.Intn(nodes)
		switch chance.Intn(28) {
		case 0, 1, 2:
			w.kill(i)
		case 3:
			for k := range w.machines {
				if chance.Intn(2) == 0 {
					w.kill(k)
				}
			}
		case 4:
			w.killReplicas()
		case 5, 6, 7, 8:
			for k := range w.machines {
				if chance.Intn(2) == 0 {
					w.start(k)
				}
			}
		case 9, 10:
			w.pause(i, true)
		case 11, 12, 13:
			w.resume()
		case 14, 15:
			w.cutFrom(i, chance)
		case 16:
			w.cutOff(i, chance)
		case 17, 18, 19:
			clear(w.cutLinks)
		case 20:
			if i < seats && w.majorityWithout(i) && w.settled(i) {
				w.kill(i)
				w.machines[i].disk = nil
				w.start(i)
			}
		case 21:
			if i < seats && w.majorityWithout(i) && w.settled(i) { // a volume that is set back to what it was a while ago
				m := w.machines[i]
				old := m.disk.contents
				w.run(w.now + chance.Int63n(300*ms))
				if w.majorityWithout(i) && w.settled(i) {
					w.kill(i)
					m.disk.contents = old
					heal()
					w.loss = 0
					w.run(w.now + 500*ms)
					w.loss = loss
				}
			}
		}
		w.run(w.now + chance.Int63n(120*ms))
	}
	heal()
	w.loss, w.stable = 0, true
	w.run(w.now + 8_000*ms)
	if len(w.failures) > 0 {
		return w
	}
	last := len(w.attempts)
	for token := 1; token <= 12; token++ {
		w.ask(9, token, chance.Intn(nodes))
	}
	w.run(w.now + 6_000*ms)
	for _, a := range w.attempts[last:] {
		if !a.answered || a.outcome == "throttled" || a.outcome == "lost" {
			w.fail("after the healing t%d is answered %q", a.token, a.outcome)
		}
	}
	if len(w.failures) == 0 && !w.linearizable() {
		w.fail("what callers saw is not linearizable")
	}
	var apart differences
	w.assertSameTables(&apart)
	w.failures = append(w.failures, apart...)
	return w
}

// settled says whether all other seats that are up stand on their disks and sit where the council has them.
func (w *simulation) settled(i int) bool {
	for k, m := range w.machines[:len(w.members)] {
		if k != i && m.up && (m.replica.disk.rejoinAnswers != nil || !m.replica.bootstrapped) {
			return false
		}
	}
	return w.machines[i].up && w.machines[i].replica.disk.rejoinAnswers == nil && w.machines[i].replica.bootstrapped
}

type differences []string

func (d *differences) Errorf(form string, args ...any) { *d = append(*d, fmt.Sprintf(form, args...)) }

func TestNothingAcknowledgedIsForgottenInDrawnSchedulesOnDisks(t *testing.T) {
	first, many := seedFromEnvironment(t, "SEED", 1), seedFromEnvironment(t, "SCHEDULES", 50)
	resumed, ran := 0, 0
	for seed := first; seed < first+many; seed++ {
		w := runDiskSchedule(seed, nil)
		for _, wrong := range w.failures {
			t.Errorf("seed %d: %s; replay: SEED=%d SCHEDULES=1 go test -run SchedulesOnDisks ./council", seed, wrong, seed)
		}
		resumed += w.resumed
		ran += len(w.runs)
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
	w := newSimulation(1, 4, 3)
	w.stable, w.disks = true, true
	w.configure = func(_ int, c *Group) { fault(c) }
	w.startAll()
	w.run(5_000 * ms)
	leader := w.leader()
	require.NotNil(t, leader)
	i := w.indexOf(leader)
	follower, third := (i+1)%3, (i+2)%3
	for k := range w.machines {
		w.cutLinks[[2]int{third, k}], w.cutLinks[[2]int{k, third}] = true, true
	}
	w.machines[follower].disk.freeAt = w.now + 60_000*ms
	leader.replicaInputs = append(leader.replicaInputs, Input{Claims: []claims.Command{{Kind: claims.CommandClaim, Sender: claims.Owner{Name: "n3", Incarnation: w.machines[3].incarnation},
		Seq: 1_000, Key: key(1), Duration: 600_000 * ms, Window: window}}})
	w.wakeNow(i)
	w.run(w.now + 400*ms)
	agreed = leader.replica.table.Find(key(1)) != nil
	w.machines[follower].disk.inFlight = nil // nothing of it reached the disk
	w.kill(i)
	w.kill(follower)
	clear(w.cutLinks)
	w.start(follower)
	w.run(w.now + 8_000*ms)
	require.NotNil(t, w.leader(), "two of three go on")
	return agreed, w.leader().replica.table.Find(key(1)) != nil
}

func TestWhatTwoAgreedOnIsOnTheDisksOfTwo(t *testing.T) {
	agreed, _ := agreeOnTwoDisks(t, func(*Group) {})
	assert.False(t, agreed, "one disk is no majority")
	agreed, known := agreeOnTwoDisks(t, func(c *Group) { c.disk.unsafeNoWait = true })
	assert.True(t, agreed && !known, "what is sent before what it stands on is on the disk is found: it is forgotten")
}
