package configsync

import (
	"flag"
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

var (
	schedules = flag.Int("schedules", 30, "drawn schedules to play")
	oneSeed   = flag.Int64("seed", 0, "play this one only")
)

// runSchedule draws a fleet and what happens to it, and checks all that must hold.
func runSchedule(seed int64, mutate func(*simulation)) *simulation {
	sim := newSimulation(seed, 5+int(seed%7), 3, 2)
	r := sim.random
	sim.loss, sim.duplication, sim.stragglers = 0.15*r.Float64(), 0.1*r.Float64(), 0.03*r.Float64()
	sim.callers = []*caller{{name: "a"}, {name: "b"}}
	if mutate != nil {
		mutate(sim)
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

// injectRandomEvent draws one thing that happens.
func (s *simulation) injectRandomEvent() {
	r := s.random
	i := r.Intn(len(s.nodes))
	n := s.nodes[i]
	item := func() Item {
		name := fmt.Sprintf("t%d", r.Intn(6))
		switch r.Intn(12) {
		case 0, 1, 2:
			return Item{Part: Tenants, Name: name} // removed, and added again by others
		case 3:
			return Item{Operations, name, []byte(`"new"`)}
		case 4:
			return Item{Limits, name, []byte("12")}
		}
		return Item{Tenants, name, []byte(fmt.Sprintf(`{"rate":%d}`, r.Intn(9)))}
	}
	kinds := 14
	if s.largeChanges {
		kinds = 17
	}
	switch r.Intn(kinds) {
	case 0, 1, 2, 3:
		s.put(s.callers[r.Intn(2)], item(), item())
	case 4: // on both sides at once
		s.put(s.callers[0], item())
		s.put(s.callers[1], item())
	case 5:
		if c := s.callers[r.Intn(2)]; c.command == nil {
			s.rollback(c, s.agreed.Head().All.Version)
		}
	case 6:
		if good := s.agreed.RollbackVersions(); len(good) > 0 && s.callers[0].command == nil {
			s.rollback(s.callers[0], good[r.Intn(len(good))])
		}
	case 7, 8: // a process is killed; seats keep what they agreed on
		if n.up {
			s.crash(i)
		}
	case 9: // back, with its disk, an older one, or none
		if !n.up {
			switch r.Intn(4) {
			case 0:
				n.disk = simDisk{}
			case 1:
				n.disk, n.maxVersion = n.olderDisk, n.olderDisk.revision.Version
			}
			s.restart(i)
		}
	case 10: // a cut, callers on both sides
		for _, m := range s.nodes {
			m.partition = r.Intn(2)
		}
		s.callers[0].side, s.callers[1].side = 0, 1
	case 11:
		s.heal()
	case 12: // a leader is killed after it had something agreed on, and before it told
		s.put(s.callers[0], item())
		s.at(s.now+30*ms, func() {
			if k := r.Intn(s.replicas); s.nodes[k].up {
				s.crash(k)
			}
		})
	case 13: // false words, many
		for _, m := range s.nodes {
			if m.faulty && m.up {
				for range 50 {
					lie := Message{Kind: Tell, Head: s.agreed.Head()}
					lie.Head.All.Version += uint64(r.Intn(1 << 20))
					lie.Head.All.Digest.A = r.Uint64()
					lie.Has = lie.Head.All
					s.deliver(i, Input{Kind: Came, From: m.name, Message: &lie})
				}
			}
		}
	case 14, 15, 16: // one whose record is more than one answer
		s.put(s.callers[r.Intn(2)], largeChange(r.Intn(3))...)
	}
}

// largeNames are names that fall into a few blocks, some for each.
var largeNames = func() (names [12][31]string) {
	for k, full := 0, 0; full < len(names); k++ {
		name := fmt.Sprint("large", k)
		if n := blockOf(byte(slices.Index(partNames[:], Tenants)), name); n%85 == 0 && n/85 < len(names) {
			if i := slices.Index(names[n/85][:], ""); i >= 0 {
				if names[n/85][i] = name; i == len(names[n/85])-1 {
					full++
				}
			}
		}
	}
	return names
}()

// largeChange has a wide item in each of some blocks, that never changes, and small ones beside it, of one of some kinds.
func largeChange(kind int) (list []Item) {
	for _, names := range largeNames {
		list = append(list, Item{Tenants, names[0], []byte(`"` + strings.Repeat("x", 3_000) + `"`)})
		for k, name := range names[1:] {
			list = append(list, Item{Tenants, name, []byte(fmt.Sprintf(`{"burst":%d,"of":"%030d","rate":%d}`, k, 0, kind))})
		}
	}
	return list
}

func (s *simulation) heal() {
	for _, m := range s.nodes {
		m.partition = 0
	}
	for _, c := range s.callers {
		c.side = 0
	}
}

// restart brings a process back. A seat's table is read from its snapshot and the log behind it, or learnt anew.
func (s *simulation) restart(i int) {
	n := s.nodes[i]
	if n.isReplica {
		text, err := n.table.Snapshot()
		if err != nil {
			s.fail("%s: %v", n.name, err)
			return
		}
		if n.table, err = Restore(text); err != nil {
			s.fail("%s: %v", n.name, err)
			return
		}
		if n.disk.content == nil && s.random.Intn(2) == 0 {
			n.table, n.appliedEntries = NewTable(), 0
		}
	}
	s.start(i, 2)
}

// finish heals everything, has operators take back what was stopped, and waits for one version at all.
func (s *simulation) finish() {
	if s.failure != "" {
		return
	}
	s.heal()
	for i, n := range s.nodes {
		if !n.up {
			s.restart(i)
		}
		n.olderBuild = false // the last of them are replaced by the new build
	}
	s.loss, s.stragglers = min(s.loss, 0.05), 0
	for end := s.now + 30_000*ms; s.now < end && s.failure == ""; s.run(s.now + 1_000*ms) {
		if c := s.callers[0]; s.agreed.Head().Stopped && c.command == nil {
			s.rollback(c, s.agreed.Head().All.Version)
		}
	}
	for _, c := range s.callers {
		if c.command != nil {
			s.fail("%s still waits for %+v", c.name, c.command)
		}
	}
	for i, n := range s.nodes { // what refused it under the old build takes it in a new life
		if n.replicator.refused.Version > n.replicator.applied.Version && n.up {
			s.crash(i)
			s.restart(i)
		}
	}
	healed := s.now
	for s.unsettled() != "" && s.now < healed+10_000*ms && s.failure == "" {
		s.run(s.now + 250*ms)
	}
	if why := s.unsettled(); why != "" {
		s.fail("10 s after the last healing %s", why)
	}
	s.check()
}

// TestDrawnSchedules plays a fleet through drawn faults. -schedules N plays more, -seed N plays one.
func TestDrawnSchedules(t *testing.T) {
	if *oneSeed != 0 {
		require.Empty(t, runSchedule(*oneSeed, nil).failure)
		return
	}
	for seed := int64(1); seed <= int64(*schedules); seed++ {
		require.Empty(t, runSchedule(seed, nil).failure, "go test ./configuration -run TestDrawnSchedules -seed %d", seed)
	}
}

// TestLiarsAreSetAside wants that schedules have nodes that lie, and that others find it out; that sound ones never are is checked at each step.
func TestLiarsAreSetAside(t *testing.T) {
	lying, found := 0, 0
	for seed := int64(1); seed <= 60; seed++ {
		sim, lies := runSchedule(seed, nil), 0
		if !slices.ContainsFunc(sim.nodes, func(n *simNode) bool { return n.faulty }) {
			continue
		}
		lying++
		for _, n := range sim.nodes {
			lies += n.replicator.Counters.InvalidResponses
		}
		if lies > 0 {
			found++
		}
	}
	t.Logf("%d of %d liars were found out", found, lying)
	require.Greater(t, lying, 10)
	require.GreaterOrEqual(t, 10*found, 9*lying)
}

// TestSchedulesHaveLargeChanges wants that blocks come as their changes in some schedules.
func TestSchedulesHaveLargeChanges(t *testing.T) {
	large, parted, answers := 0, 0, 0
	for seed := int64(1); seed <= 60; seed++ {
		sim := runSchedule(seed, nil)
		if sim.largeChanges {
			large++
		}
		if sim.deltaAnswers > 0 {
			parted++
		}
		answers += sim.deltaAnswers
	}
	t.Logf("%d schedules of 60 have large changes, %d such answers, in %d of them", large, answers, parted)
	require.Greater(t, parted, 5)
}

// TestMutationsAreFound wants that the schedules see faults that were put in.
func TestMutationsAreFound(t *testing.T) {
	for name, mutate := range map[string]func(*simulation){
		"digests are not compared": func(sim *simulation) {
			sim.skipDigests = true
			for _, n := range sim.nodes {
				n.replicator.skipDigests = true
			}
		},
		"acknowledged before agreed on": func(sim *simulation) { sim.acknowledgeEarly = true },
	} {
		found := int64(0)
		for seed := int64(1); seed <= 200 && found == 0; seed++ {
			if runSchedule(seed, mutate).failure != "" {
				found = seed
			}
		}
		require.NotZero(t, found, name)
		t.Logf("%s: found at seed %d", name, found)
	}
}
