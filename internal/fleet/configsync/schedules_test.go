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

// play draws a fleet and what happens to it, and checks all that must hold.
func play(seed int64, mutate func(*world)) *world {
	w := newWorld(seed, 5+int(seed%7), 3, 2)
	r := w.chance
	w.loss, w.double, w.strays = 0.15*r.Float64(), 0.1*r.Float64(), 0.03*r.Float64()
	w.callers = []*caller{{name: "a"}, {name: "b"}}
	if mutate != nil {
		mutate(w)
	}
	if r.Intn(3) == 0 {
		w.nodes[w.seats+r.Intn(len(w.nodes)-w.seats)].old = true
	}
	if r.Intn(3) == 0 {
		w.nodes[w.seats+r.Intn(len(w.nodes)-w.seats)].liar = true
	}
	w.large = r.Intn(4) == 0
	if r.Intn(4) == 0 {
		w.file, _ = w.file.Apply([]Item{{Tenants, "of the file", []byte("1")}})
	}
	end := w.now + 40_000*ms
	for w.now < end && w.wrong == "" {
		w.event()
		w.run(w.now + r.Int63n(2_500*ms))
	}
	w.finish()
	return w
}

// event draws one thing that happens.
func (w *world) event() {
	r := w.chance
	i := r.Intn(len(w.nodes))
	n := w.nodes[i]
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
	if w.large {
		kinds = 17
	}
	switch r.Intn(kinds) {
	case 0, 1, 2, 3:
		w.put(w.callers[r.Intn(2)], item(), item())
	case 4: // on both sides at once
		w.put(w.callers[0], item())
		w.put(w.callers[1], item())
	case 5:
		if c := w.callers[r.Intn(2)]; c.command == nil {
			w.back(c, w.order.Head().All.Version)
		}
	case 6:
		if good := w.order.RollbackVersions(); len(good) > 0 && w.callers[0].command == nil {
			w.back(w.callers[0], good[r.Intn(len(good))])
		}
	case 7, 8: // a process is killed; seats keep what they agreed on
		if n.up {
			w.crash(i)
		}
	case 9: // back, with its disk, an older one, or none
		if !n.up {
			switch r.Intn(4) {
			case 0:
				n.disk = disk{}
			case 1:
				n.disk, n.most = n.before, n.before.mark.Version
			}
			w.restart(i)
		}
	case 10: // a cut, callers on both sides
		for _, m := range w.nodes {
			m.side = r.Intn(2)
		}
		w.callers[0].side, w.callers[1].side = 0, 1
	case 11:
		w.heal()
	case 12: // a leader is killed after it had something agreed on, and before it told
		w.put(w.callers[0], item())
		w.at(w.now+30*ms, func() {
			if k := r.Intn(w.seats); w.nodes[k].up {
				w.crash(k)
			}
		})
	case 13: // false words, many
		for _, m := range w.nodes {
			if m.liar && m.up {
				for range 50 {
					lie := Message{Kind: Tell, Head: w.order.Head()}
					lie.Head.All.Version += uint64(r.Intn(1 << 20))
					lie.Head.All.Digest.A = r.Uint64()
					lie.Has = lie.Head.All
					w.give(i, Input{Kind: Came, From: m.name, Message: &lie})
				}
			}
		}
	case 14, 15, 16: // one whose record is more than one answer
		w.put(w.callers[r.Intn(2)], largeChange(r.Intn(3))...)
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

func (w *world) heal() {
	for _, m := range w.nodes {
		m.side = 0
	}
	for _, c := range w.callers {
		c.side = 0
	}
}

// restart brings a process back. A seat's table is read from its snapshot and the log behind it, or learnt anew.
func (w *world) restart(i int) {
	n := w.nodes[i]
	if n.seat {
		text, err := n.table.Snapshot()
		if err != nil {
			w.fail("%s: %v", n.name, err)
			return
		}
		if n.table, err = Restore(text); err != nil {
			w.fail("%s: %v", n.name, err)
			return
		}
		if n.disk.content == nil && w.chance.Intn(2) == 0 {
			n.table, n.seen = NewTable(), 0
		}
	}
	w.start(i, 2)
}

// finish heals everything, has operators take back what was stopped, and waits for one version at all.
func (w *world) finish() {
	if w.wrong != "" {
		return
	}
	w.heal()
	for i, n := range w.nodes {
		if !n.up {
			w.restart(i)
		}
		n.old = false // the last of them are replaced by the new build
	}
	w.loss, w.strays = min(w.loss, 0.05), 0
	for end := w.now + 30_000*ms; w.now < end && w.wrong == ""; w.run(w.now + 1_000*ms) {
		if c := w.callers[0]; w.order.Head().Stopped && c.command == nil {
			w.back(c, w.order.Head().All.Version)
		}
	}
	for _, c := range w.callers {
		if c.command != nil {
			w.fail("%s still waits for %+v", c.name, c.command)
		}
	}
	for i, n := range w.nodes { // what refused it under the old build takes it in a new life
		if n.holder.refused.Version > n.holder.applied.Version && n.up {
			w.crash(i)
			w.restart(i)
		}
	}
	healed := w.now
	for w.settled() != "" && w.now < healed+10_000*ms && w.wrong == "" {
		w.run(w.now + 250*ms)
	}
	if why := w.settled(); why != "" {
		w.fail("10 s after the last healing %s", why)
	}
	w.check()
}

// TestDrawnSchedules plays a fleet through drawn faults. -schedules N plays more, -seed N plays one.
func TestDrawnSchedules(t *testing.T) {
	if *oneSeed != 0 {
		require.Empty(t, play(*oneSeed, nil).wrong)
		return
	}
	for seed := int64(1); seed <= int64(*schedules); seed++ {
		require.Empty(t, play(seed, nil).wrong, "go test ./configuration -run TestDrawnSchedules -seed %d", seed)
	}
}

// TestLiarsAreSetAside wants that schedules have nodes that lie, and that others find it out; that sound ones never are is checked at each step.
func TestLiarsAreSetAside(t *testing.T) {
	lying, found := 0, 0
	for seed := int64(1); seed <= 60; seed++ {
		w, lies := play(seed, nil), 0
		if !slices.ContainsFunc(w.nodes, func(n *node) bool { return n.liar }) {
			continue
		}
		lying++
		for _, n := range w.nodes {
			lies += n.holder.Counters.InvalidResponses
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
		w := play(seed, nil)
		if w.large {
			large++
		}
		if w.parted > 0 {
			parted++
		}
		answers += w.parted
	}
	t.Logf("%d schedules of 60 have large changes, %d such answers, in %d of them", large, answers, parted)
	require.Greater(t, parted, 5)
}

// TestMutationsAreFound wants that the schedules see faults that were put in.
func TestMutationsAreFound(t *testing.T) {
	for name, mutate := range map[string]func(*world){
		"digests are not compared": func(w *world) {
			w.mutant = true
			for _, n := range w.nodes {
				n.holder.skipDigests = true
			}
		},
		"acknowledged before agreed on": func(w *world) { w.hasty = true },
	} {
		found := int64(0)
		for seed := int64(1); seed <= 200 && found == 0; seed++ {
			if play(seed, mutate).wrong != "" {
				found = seed
			}
		}
		require.NotZero(t, found, name)
		t.Logf("%s: found at seed %d", name, found)
	}
}
