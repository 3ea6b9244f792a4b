package virtualfleet

import (
	"fmt"
)

// Schedule plays faults drawn from a seed on a fleet for so long, heals all and lets it settle. The error says what
// did not hold; the same seed plays the same course.
func Schedule(seed int64, nodes int, length, settle int64) error {
	f := New(seed, nodes, min(3, nodes))
	f.Membership.ForgetTimeout = 1_000_000 * ms
	for _, n := range f.Nodes {
		f.After(f.Rand.Int63n(2_000*ms), func() {
			if !n.Up {
				n.Start()
			}
		})
	}
	end := f.Now + length
	var draw func()
	draw = func() {
		if f.Now >= end {
			return
		}
		f.drawFault()
		f.After(200*ms+f.Rand.Int63n(8_000*ms), draw)
	}
	f.After(3_000*ms, draw)
	highest := map[string]uint64{}
	for f.Now < end {
		f.Run(f.Now + 500*ms)
		if err := f.checkInvariants(highest); err != nil {
			return fmt.Errorf("seed %d at %.1f s: %w", seed, float64(f.Now)/1e9, err)
		}
	}
	f.Heal()
	for _, n := range f.Nodes {
		if !n.Up {
			n.Start()
		}
	}
	if f.RunUntil(settle, f.Agreed) < 0 {
		return fmt.Errorf("seed %d: views differ %.0f s after the last healing", seed, float64(settle)/1e9)
	}
	return f.checkInvariants(highest)
}

// drawNodes draws nodes: one, a third, or half of them.
func (f *Fleet) drawNodes() []*Node {
	k := [...]int{1, 1, 1, len(f.Nodes) / 3, len(f.Nodes) / 2}[f.Rand.Intn(5)]
	var list []*Node
	for _, i := range f.Rand.Perm(len(f.Nodes))[:max(1, k)] {
		list = append(list, f.Nodes[i])
	}
	return list
}

func (f *Fleet) except(than []*Node) (list []*Node) {
	for _, n := range f.Nodes {
		found := false
		for _, t := range than {
			found = found || t == n
		}
		if !found {
			list = append(list, n)
		}
	}
	return list
}

// drawFault draws one trouble and when it ends.
func (f *Fleet) drawFault() {
	some := f.drawNodes()
	lasting := [...]int64{200, 500, 3_000, 5_000, 10_000, 30_000}[f.Rand.Intn(6)] * ms
	switch f.Rand.Intn(9) {
	case 0, 1:
		for _, n := range some {
			if n.Up {
				n.Kill()
				f.After(lasting, func() {
					if !n.Up {
						n.Start()
					}
				})
			}
		}
	case 2, 3:
		for _, n := range some {
			n.Pause(lasting)
		}
	case 4:
		f.CutBetween(some, f.except(some), f.Rand.Intn(2) == 0)
		f.After(lasting, f.RemoveCuts)
	case 5:
		f.CutBetween(f.except(some), some, false)
		f.After(lasting, f.RemoveCuts)
	case 6:
		f.LossRate = [...]float64{0.05, 0.2, 0.4}[f.Rand.Intn(3)]
		f.After(lasting, func() { f.LossRate = 0 })
	case 7:
		for _, n := range some { // a clock that jumps counts at the next start
			n.Skew([...]int64{-10, 10, -3_600}[f.Rand.Intn(3)] * 1_000 * ms)
		}
	case 8:
		a, b := f.Nodes[f.Rand.Intn(len(f.Nodes))], f.Nodes[f.Rand.Intn(len(f.Nodes))]
		f.MaxDatagram[[2]int{a.index, b.index}] = 200
	}
}
