package configsync

import (
	"flag"
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

// spread is a fleet of regions, all sound, with seats parted over them.
func spread(seed int64, nodes, seats, zones, regions int, far int64) *world {
	w := newWorld(seed, nodes, seats, zones)
	for i, n := range w.nodes {
		n.region = i % zones % regions
	}
	w.late, w.far = 4*ms, far
	w.callers = []*caller{{name: "a"}}
	w.run(w.now + 3_000*ms)
	return w
}

// inForce is, for a version agreed on at a time, how long nodes took until they had it or a newer one, in order; and how many don't.
func (w *world) inForce(version uint64, since int64) (took []int64, missing int) {
	for _, n := range w.nodes {
		first := int64(-1)
		for v, at := range n.took {
			if v >= version && (first < 0 || at < first) {
				first = at
			}
		}
		if first < 0 {
			missing++
			continue
		}
		took = append(took, first-since)
	}
	slices.Sort(took)
	return took, missing
}

var fleet = flag.Int("fleet", 200, "nodes of the fleet that changes spread over")
var apartFleet = flag.Int("apart", 24, "nodes of the fleet that a change of 1,000 items that lie apart spreads over")
var apartSeed = flag.Int64("apart-seed", 6, "its seed")

// TestAChangeIsInForceWithinItsFormula puts changes, some while the stage of the one before goes on, and loses 5 % of all messages.
func TestAChangeIsInForceWithinItsFormula(t *testing.T) {
	nodes, changes := *fleet, 3
	w := spread(1, nodes, max(3, nodes/144), 15, 7, 80*ms) // some 140 nodes ask one seat
	w.loss = 0.05
	agreed := map[uint64]int64{}
	for k := range changes {
		newest := w.order.Head().Newest
		for w.order.Head().Newest == newest && w.wrong == "" {
			w.put(w.callers[0], tenant(k, "1"))
			w.run(w.now + 10*ms)
		}
		agreed[newest+1] = w.now
		w.run(w.now + int64(k%3)*1_500*ms)
	}
	w.run(w.now + 15_000*ms)
	require.Empty(t, w.wrong)
	require.Empty(t, w.settled())
	for version, at := range agreed {
		took, missing := w.inForce(version, at)
		require.Zero(t, missing)
		p99, last := took[len(took)*99/100], took[len(took)-1]
		t.Logf("version %d (simulated, %d nodes): 99 in 100 after %d ms, the last after %d ms", version, nodes, p99/ms, last/ms)
		require.LessOrEqual(t, p99, 10_000*ms)
	}
}

// TestAThousandChangesInAMinute has them all agreed on, in force in stages, and within the bytes.
func TestAThousandChangesInAMinute(t *testing.T) {
	w := spread(2, 24, 3, 5, 2, 30*ms)
	done, begin := 0, w.now
	for w.now < begin+60_000*ms && w.wrong == "" {
		if c := w.callers[0]; c.command == nil && int64(done) < (w.now-begin)/(58*ms) && done < 1_000 {
			done++
			w.put(c, tenant(done%300, fmt.Sprintf(`{"burst":10,"rate":%d}`, done)))
			w.call(c)
		}
		w.run(w.now + 5*ms)
	}
	for end := w.now + 15_000*ms; w.now < end && w.settled() != ""; {
		w.run(w.now + 250*ms)
	}
	require.Empty(t, w.wrong)
	require.Empty(t, w.settled())
	w.check()
	require.Empty(t, w.wrong)
	t.Logf("%d changes in %d s, %d versions at stages", len(w.callers[0].acked), (w.now-begin)/(1_000*ms), len(w.firstAt))
	var times []int64
	for version, at := range w.agreedAt {
		took, missing := w.inForce(version, at)
		require.Zero(t, missing)
		times = append(times, took...)
	}
	slices.Sort(times)
	t.Logf("in force after (simulated): half %d ms, 99 in 100 %d ms, the last %d ms", times[len(times)/2]/ms, times[len(times)*99/100]/ms, times[len(times)-1]/ms)
	require.LessOrEqual(t, times[len(times)*99/100], 10_000*ms)
	require.GreaterOrEqual(t, len(w.callers[0].acked), 1_000)
}

// refused is a fleet in which version 2 was stopped, since one node can't take it: one that is drawn for its first stage, or not.
func refused(t *testing.T, drawn bool) *world {
	w := spread(3, 60, 5, 5, 2, 80*ms)
	w.loss = 0.05
	w.put(w.callers[0], tenant(1, "1"))
	w.run(w.now + 10_000*ms)
	require.Empty(t, w.settled())
	for _, n := range w.nodes {
		if n.old = n.holder.isCanary(2) == drawn && !n.seat; n.old {
			break
		}
	}
	w.put(w.callers[0], Item{Operations, "new", []byte(`"new"`)})
	w.run(w.now + 15_000*ms)
	require.Empty(t, w.wrong)
	head := w.order.Head()
	require.True(t, head.Stopped)
	require.EqualValues(t, 1, head.All.Version)
	require.Contains(t, head.Why, "of a later build")
	return w
}

// TestARefusalStopsAVersionBeforeTheNextStage has one node of the first stage that can't take it, everything else sound.
func TestARefusalStopsAVersionBeforeTheNextStage(t *testing.T) {
	w := refused(t, true)
	first := 0
	for _, n := range w.nodes {
		if n.holder.Revision().Version == 2 {
			first++
		} else {
			require.EqualValues(t, 1, n.holder.Revision().Version)
		}
	}
	require.Positive(t, first)
	require.Less(t, first, 20)
	w.back(w.callers[0], 1)
	w.run(w.now + 6_000*ms)
	require.Empty(t, w.settled(), "a rollback goes to all at once")
	require.EqualValues(t, 3, w.order.Head().All.Version)
}

// TestARefusalByANodeThatIsntDrawnStopsAVersion has one node that can't take it and isn't of its first stage.
func TestARefusalByANodeThatIsntDrawnStopsAVersion(t *testing.T) {
	w := refused(t, false)
	w.put(w.callers[0], Item{Part: Operations, Name: "new"}) // taken away again, without a rollback
	w.run(w.now + 15_000*ms)
	require.Empty(t, w.wrong)
	require.Empty(t, w.settled())
	require.False(t, w.order.Head().Stopped)
}

// TestACutRegionGoesOnAndCatchesUp cuts off nodes without a seat, and counts from the healing.
func TestACutRegionGoesOnAndCatchesUp(t *testing.T) {
	w := spread(4, 60, 5, 5, 2, 80*ms)
	w.put(w.callers[0], tenant(1, "1"))
	w.run(w.now + 10_000*ms)
	for _, n := range w.nodes[20:] {
		n.side = 1
	}
	for k := range 10 {
		w.put(w.callers[0], tenant(k, "2"))
		w.run(w.now + 6_000*ms)
	}
	for _, n := range w.nodes[20:] {
		s := n.holder.Status(w.now)
		require.EqualValues(t, 1, s.Mark.Version)
		require.Greater(t, s.HeardNS, 55_000*ms, "it says how old what it has is")
	}
	w.heal()
	w.run(w.now + 10_000*ms)
	require.Empty(t, w.wrong)
	require.Empty(t, w.settled())
	w.check()
	require.Empty(t, w.wrong)
}

// putWhole has a whole content agreed on, in pieces, and says which version that is.
func (w *world) putWhole(t *testing.T, c *Content) Revision {
	var list []Item
	for i := range c.All {
		list = append(list, i)
	}
	seq := uint64(0)
	for len(list) > 0 {
		n := min(len(list), 600)
		w.agree(ordered{w.now, &Command{Kind: Put, From: "file", Seq: seq + 1, Piece: int(seq), More: n < len(list), Changes: list[:n]}})
		list, seq = list[n:], seq+1
	}
	mark := w.order.Head().First
	require.Equal(t, c.Digest(), mark.Digest)
	return mark
}

// TestAZoneThatComesBackKeepsToItsBytes has a zone start with empty disks beside a fleet that holds much, and compares the
// bytes of each node and second with the formula.
func TestAZoneThatComesBackKeepsToItsBytes(t *testing.T) {
	w := spread(5, 45, 5, 5, 2, 30*ms)
	c := full(t, 100, 3_000) // as much as a minute carries
	mark := w.putWhole(t, c)
	for i, n := range w.nodes { // all but one zone have it
		if i%5 != 4 {
			n.disk = disk{mark, c}
			w.crash(i)
			w.restart(i)
		}
	}
	w.run(w.now + 5_000*ms)
	for i := 4; i < len(w.nodes); i += 5 {
		w.crash(i)
		w.nodes[i].disk, w.nodes[i].most = disk{}, 0
		w.restart(i)
	}
	begin := w.now
	for w.settled() != "" && w.now < begin+180_000*ms && w.wrong == "" {
		w.run(w.now + 500*ms)
	}
	require.Empty(t, w.wrong)
	require.Empty(t, w.settled())
	w.check()
	require.Empty(t, w.wrong)
	seconds := (w.now - begin) / (1_000 * ms)
	worst := int64(0)
	for _, n := range w.nodes {
		sum := int64(0)
		for _, b := range n.spent[begin/(1_000*ms):] {
			sum += b
		}
		worst = max(worst, sum/seconds)
	}
	t.Logf("%d bytes to each of 9 nodes took %d s (simulated); a node's mean over it was %d bytes a second at the most", c.Bytes(), seconds, worst)
	require.Less(t, worst, int64(21_000-1_250), "beside membership's")
}
