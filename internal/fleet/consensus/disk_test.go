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

// disk is what a seat's disk holds, and what is on its way there.
type disk struct {
	there DiskContents
	queue []*Write
	free  int64 // when what is on its way is written
}

func (d *disk) carry(w *Write) {
	if w.DiscardEarlier {
		d.there = DiskContents{}
		return
	}
	if w.Base != nil {
		d.there = DiskContents{Base: w.Base, Parts: maps.Clone(w.Parts)}
	}
	d.there.Records = append(d.there.Records[:len(d.there.Records):len(d.there.Records)], w.Records...)
}

// crash leaves a part of what was on its way, and nothing of it was told.
func (d *disk) crash(chance *rand.Rand) {
	for _, w := range d.queue[:chance.Intn(len(d.queue)+1)] {
		d.carry(w)
	}
	d.queue, d.free = nil, 0
}

func (w *world) recover(m *machine) {
	if m.disk == nil {
		m.disk = &disk{}
	}
	if err := m.seat.Recover(w.now, m.disk.there); err != nil {
		w.fail("%s can't take its disk up: %v", m.name, err)
	}
	if m.seat.Resumed() {
		w.resumed++
	}
}

// persist has writes reach the disk in their order, some time later: now and then much later.
func (w *world) persist(i int, x *Write) {
	m := w.machines[i]
	d := m.disk
	took := ms/10 + w.chance.Int63n(2*ms+w.slow)
	if w.chance.Intn(200) == 0 {
		took += w.chance.Int63n(300 * ms)
	}
	d.free = max(d.free, w.now) + took
	d.queue = append(d.queue, x)
	w.at(d.free, i, func() {
		d.carry(d.queue[0])
		d.queue = d.queue[1:]
		m.toSeat = append(m.toSeat, Input{Persisted: x.Number})
		w.soon(i)
	})
}

// onDisks is a calm world whose seats have disks.
func onDisks(t *testing.T, nodes, seats int) *world {
	w := newWorld(1, nodes, seats)
	w.sane, w.disks = true, true
	for i := range nodes {
		w.start(i)
	}
	w.run(5_000 * ms)
	require.NotNil(t, w.leader(), "a council is founded and has a leader")
	return w
}

// down ends all seats at once.
func (w *world) down() {
	for i := range w.seats {
		w.kill(i)
	}
}

func (w *world) up() {
	for i := range w.machines {
		w.start(i)
	}
}

// alike says where tables of seats that are up and equally far differ.
func (w *world) alike(t assert.TestingT) {
	by := map[uint64]string{}
	for _, m := range w.machines[:len(w.seats)] {
		if !m.up || !m.seat.founded {
			continue
		}
		text := ""
		for i := range m.seat.tables {
			m.seat.held[i] = nil
			part, err := m.seat.tables[i].Snapshot()
			assert.NoError(t, err)
			text += string(part)
		}
		if before, known := by[m.seat.applied]; known {
			assert.True(t, before == text, "tables at entry %d differ", m.seat.applied)
		}
		by[m.seat.applied] = text
	}
}

func TestCouncilsOnDisksComeBackWhole(t *testing.T) {
	for _, seats := range []int{1, 3, 5} {
		t.Run(fmt.Sprint(seats), func(t *testing.T) {
			w := onDisks(t, seats+1, seats)
			a := w.ask(1, 1, seats)
			w.run(w.now + 500*ms)
			require.Equal(t, "hold//t1 run 1", a.got)
			ids := map[string]uint64{}
			for _, m := range w.machines[:seats] {
				ids[m.name] = m.seat.id
			}
			w.down()
			w.kill(seats)
			w.run(w.now + 60_000*ms)
			w.up()
			w.run(w.now + 3_000*ms)
			for _, m := range w.machines[:seats] {
				assert.Equal(t, ids[m.name], m.seat.id, "it goes on under its number")
			}
			b := w.ask(2, 1, seats)
			w.run(w.now + 500*ms)
			assert.Equal(t, a.got, b.got)
			assert.Equal(t, 1, w.runs[1])
			w.alike(t)
		})
	}
}

func TestSeatThatLostItsDiskIsSeatedAnew(t *testing.T) {
	w := onDisks(t, 4, 3)
	w.ask(1, 1, 3)
	w.run(w.now + 500*ms)
	before := w.machines[0].seat.id
	w.kill(0)
	w.machines[0].disk = nil
	w.start(0)
	w.run(w.now + 3_000*ms)
	c := w.machines[0].seat
	assert.NotEqual(t, before, c.id)
	assert.NotNil(t, c.table.Find(key(1)))
	w.down() // and what it got is on its new disk
	w.up()
	w.run(w.now + 3_000*ms)
	assert.Equal(t, c.id, w.machines[0].seat.id)
	assert.NotNil(t, w.machines[0].seat.table.Find(key(1)))
}

func TestSeatWithAnOldDiskIsToldAndBeginsAnew(t *testing.T) {
	w := onDisks(t, 4, 3)
	i := (w.index(w.leader()) + 1) % 3
	old, before := w.machines[i].disk.there, w.machines[i].seat.id
	a := w.ask(1, 1, 3)
	w.run(w.now + 500*ms)
	w.down()
	w.machines[i].disk.there = old
	w.up()
	w.run(w.now + 5_000*ms)
	c := w.machines[i].seat
	assert.NotEqual(t, before, c.id, "it does not vote by what it forgot")
	assert.True(t, c.founded)
	assert.NotNil(t, c.table.Find(key(1)))
	b := w.ask(2, 1, 3)
	w.run(w.now + 500*ms)
	assert.Equal(t, a.got, b.got)
	w.alike(t)
}

func TestNothingIsSaidBeforeItIsOnTheDisk(t *testing.T) {
	w := onDisks(t, 4, 3)
	m := w.leader()
	c := m.seat
	number := c.disk.number
	self := claims.Owner{Name: m.name, Incarnation: m.life}
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
	w := onDisks(t, 4, 3)
	i := w.index(w.leader())
	m := w.machines[i]
	m.toSeat = append(m.toSeat, Input{Err: fmt.Errorf("no space left")})
	w.soon(i)
	w.run(w.now + 4_000*ms)
	require.NotNil(t, w.leader())
	assert.NotEqual(t, i, w.index(w.leader()), "another leads")
	w.kill(i)
	w.start(i)
	w.run(w.now + 2_000*ms)
	assert.Equal(t, w.leader().seat.applied, w.machines[i].seat.applied, "started anew it goes on")
}

func TestFolderOfAnotherCouncilIsRefused(t *testing.T) {
	w := onDisks(t, 4, 3)
	c := NewGroup([]string{"n0", "n7", "n8"}, "n0", 1, 1, 1)
	assert.ErrorContains(t, c.Recover(1, w.machines[0].disk.there), "put the names back")
	c = NewGroup(w.seats, "n0", 1, 1, 1)
	assert.ErrorContains(t, c.Recover(1, DiskContents{Base: []byte("no base")}), "can't be read by this build")
}

// What is on the disk is bounded: a base takes the place of the log before it.
func TestLogOnTheDiskIsCutBehindASnapshot(t *testing.T) {
	w := onDisks(t, 4, 3)
	m := w.leader()
	self := claims.Owner{Name: m.name, Incarnation: m.life}
	for n := range 2_500 { // more entries than one snapshot holds
		m.toSeat = append(m.toSeat, Input{Claims: []claims.Command{{Kind: claims.CommandClaim, Sender: self, Seq: uint64(1_000 + n), Key: key(1), Duration: ms}}})
		w.soon(w.index(m))
		w.run(w.now + 8*ms)
	}
	for _, m := range w.machines[:3] {
		assert.Less(t, len(m.disk.there.Records), 3*entriesMost, "an entry has two records, its own and that it is agreed on")
		assert.GreaterOrEqual(t, m.seat.Counters.Snapshots, 1)
	}
}

// diskSchedule plays drawn crashes of any number of seats at once, cuts and pauses; and one disk at a time that is lost, or
// set back while the others can be heard.
func diskSchedule(seed int64, alter func(w *world)) *world {
	chance := rand.New(rand.NewSource(seed))
	seats := []int{1, 3, 3, 3, 5}[chance.Intn(5)]
	nodes := seats + 1 + chance.Intn(3)
	w := newWorld(seed, nodes, seats)
	w.disks = true
	if alter != nil {
		alter(w)
	}
	w.up()
	w.sane = true
	w.run(3_000 * ms)
	w.sane = false
	w.loss = []float64{0, 0, 0.05, 0.2}[chance.Intn(4)]
	loss := w.loss
	w.slow = []int64{0, 0, 60 * ms}[chance.Intn(3)]
	heal := func() {
		clear(w.cut)
		for k := range w.machines {
			w.pause(k, false)
		}
		w.up()
	}
	end := w.now + 5_000*ms
	for w.now < end && len(w.wrong) == 0 {
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
			w.down()
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
			clear(w.cut)
		case 20:
			if i < seats && w.spare(i) && w.settled(i) {
				w.kill(i)
				w.machines[i].disk = nil
				w.start(i)
			}
		case 21:
			if i < seats && w.spare(i) && w.settled(i) { // a volume that is set back to what it was a while ago
				m := w.machines[i]
				old := m.disk.there
				w.run(w.now + chance.Int63n(300*ms))
				if w.spare(i) && w.settled(i) {
					w.kill(i)
					m.disk.there = old
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
	w.loss, w.sane = 0, true
	w.run(w.now + 8_000*ms)
	if len(w.wrong) > 0 {
		return w
	}
	last := len(w.asked)
	for token := 1; token <= 12; token++ {
		w.ask(9, token, chance.Intn(nodes))
	}
	w.run(w.now + 6_000*ms)
	for _, a := range w.asked[last:] {
		if !a.answered || a.got == "throttled" || a.got == "lost" {
			w.fail("after the healing t%d is answered %q", a.token, a.got)
		}
	}
	if len(w.wrong) == 0 && !w.linear() {
		w.fail("what callers saw is not linearizable")
	}
	var apart differences
	w.alike(&apart)
	w.wrong = append(w.wrong, apart...)
	return w
}

// settled says whether all other seats that are up stand on their disks and sit where the council has them.
func (w *world) settled(i int) bool {
	for k, m := range w.machines[:len(w.seats)] {
		if k != i && m.up && (m.seat.disk.returning != nil || !m.seat.founded) {
			return false
		}
	}
	return w.machines[i].up && w.machines[i].seat.disk.returning == nil && w.machines[i].seat.founded
}

type differences []string

func (d *differences) Errorf(form string, args ...any) { *d = append(*d, fmt.Sprintf(form, args...)) }

func TestNothingAcknowledgedIsForgottenInDrawnSchedulesOnDisks(t *testing.T) {
	first, many := fromEnvironment(t, "SEED", 1), fromEnvironment(t, "SCHEDULES", 50)
	resumed, ran := 0, 0
	for seed := first; seed < first+many; seed++ {
		w := diskSchedule(seed, nil)
		for _, wrong := range w.wrong {
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

// acknowledgedByTwo has a leader and one follower, whose disk stands still, agree on a claim as far as they may, and both crash. The
// follower comes back with what its disk holds, and with the third, which was cut off, it is most of the council.
func acknowledgedByTwo(t *testing.T, fault func(c *Group)) (agreed, known bool) {
	w := newWorld(1, 4, 3)
	w.sane, w.disks = true, true
	w.extra = func(_ int, c *Group) { fault(c) }
	w.up()
	w.run(5_000 * ms)
	leader := w.leader()
	require.NotNil(t, leader)
	i := w.index(leader)
	follower, third := (i+1)%3, (i+2)%3
	for k := range w.machines {
		w.cut[[2]int{third, k}], w.cut[[2]int{k, third}] = true, true
	}
	w.machines[follower].disk.free = w.now + 60_000*ms
	leader.toSeat = append(leader.toSeat, Input{Claims: []claims.Command{{Kind: claims.CommandClaim, Sender: claims.Owner{Name: "n3", Incarnation: w.machines[3].life},
		Seq: 1_000, Key: key(1), Duration: 600_000 * ms, Window: window}}})
	w.soon(i)
	w.run(w.now + 400*ms)
	agreed = leader.seat.table.Find(key(1)) != nil
	w.machines[follower].disk.queue = nil // nothing of it reached the disk
	w.kill(i)
	w.kill(follower)
	clear(w.cut)
	w.start(follower)
	w.run(w.now + 8_000*ms)
	require.NotNil(t, w.leader(), "two of three go on")
	return agreed, w.leader().seat.table.Find(key(1)) != nil
}

func TestWhatTwoAgreedOnIsOnTheDisksOfTwo(t *testing.T) {
	agreed, _ := acknowledgedByTwo(t, func(*Group) {})
	assert.False(t, agreed, "one disk is no majority")
	agreed, known := acknowledgedByTwo(t, func(c *Group) { c.disk.rash = true })
	assert.True(t, agreed && !known, "what is sent before what it stands on is on the disk is found: it is forgotten")
}
