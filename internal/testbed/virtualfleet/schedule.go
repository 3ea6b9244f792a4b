package virtualfleet

import (
	"fmt"

	"topazpost/internal/fleet/membership"
)

// Schedule plays faults drawn from a seed on a fleet for so long, heals all and lets it settle. The error says what
// did not hold; the same seed plays the same course.
func Schedule(seed int64, nodes int, length, settle int64) error {
	m := New(seed, nodes, min(3, nodes))
	m.Membership.ForgetTimeout = 1_000_000 * ms
	for _, n := range m.Nodes {
		m.After(m.Rand.Int63n(2_000*ms), func() {
			if !n.Up {
				n.Start()
			}
		})
	}
	end := m.Now + length
	var draw func()
	draw = func() {
		if m.Now >= end {
			return
		}
		m.drawFault()
		m.After(200*ms+m.Rand.Int63n(8_000*ms), draw)
	}
	m.After(3_000*ms, draw)
	highest := map[string]uint64{}
	for m.Now < end {
		m.Run(m.Now + 500*ms)
		if err := m.checkInvariants(highest); err != nil {
			return fmt.Errorf("seed %d at %.1f s: %w", seed, float64(m.Now)/1e9, err)
		}
	}
	m.Heal()
	for _, n := range m.Nodes {
		if !n.Up {
			n.Start()
		}
	}
	if m.RunUntil(settle, m.Agreed) < 0 {
		return fmt.Errorf("seed %d: views differ %.0f s after the last healing", seed, float64(settle)/1e9)
	}
	return m.checkInvariants(highest)
}

// drawNodes draws nodes: one, a third, or half of them.
func (m *Fleet) drawNodes() []*Node {
	k := [...]int{1, 1, 1, len(m.Nodes) / 3, len(m.Nodes) / 2}[m.Rand.Intn(5)]
	var list []*Node
	for _, i := range m.Rand.Perm(len(m.Nodes))[:max(1, k)] {
		list = append(list, m.Nodes[i])
	}
	return list
}

func (m *Fleet) except(than []*Node) (list []*Node) {
	for _, n := range m.Nodes {
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
func (m *Fleet) drawFault() {
	some := m.drawNodes()
	lasting := [...]int64{200, 500, 3_000, 5_000, 10_000, 30_000}[m.Rand.Intn(6)] * ms
	switch m.Rand.Intn(9) {
	case 0, 1:
		for _, n := range some {
			if n.Up {
				n.Kill()
				m.After(lasting, func() {
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
		m.CutBetween(some, m.except(some), m.Rand.Intn(2) == 0)
		m.After(lasting, m.RemoveCuts)
	case 5:
		m.CutBetween(m.except(some), some, false)
		m.After(lasting, m.RemoveCuts)
	case 6:
		m.LossRate = [...]float64{0.05, 0.2, 0.4}[m.Rand.Intn(3)]
		m.After(lasting, func() { m.LossRate = 0 })
	case 7:
		for _, n := range some { // a clock that jumps counts at the next start
			n.Skew([...]int64{-10, 10, -3_600}[m.Rand.Intn(3)] * 1_000 * ms)
		}
	case 8:
		a, b := m.Nodes[m.Rand.Intn(len(m.Nodes))], m.Nodes[m.Rand.Intn(len(m.Nodes))]
		m.MaxDatagram[[2]int{a.index, b.index}] = 200
	}
}

// checkInvariants checks what holds at any moment: incarnations never go back, and nobody who hears and is heard by most is
// out of the view of another such one.
func (m *Fleet) checkInvariants(highest map[string]uint64) error {
	for _, n := range m.Nodes {
		if !n.Up {
			continue
		}
		for _, c := range n.Changes[n.checkedChanges:] {
			if key := fmt.Sprint(n.Name, " born ", n.Started, " of ", c.Who); c.Cause != membership.Isolated && c.Cause != membership.Reconnected {
				if c.Incarnation < highest[key] {
					return fmt.Errorf("%s: incarnation of %s went back from %d to %d", n.Name, c.Who, highest[key], c.Incarnation)
				}
				highest[key] = c.Incarnation
			}
		}
		n.checkedChanges = len(n.Changes)
	}
	return m.checkHealthyMembersAreInViews()
}

// checkHealthyMembersAreInViews looks for members that have been well for some time and are out of a view: up, not paused, with links that
// carry both ways to more than half of those that are up, all of them that long.
func (m *Fleet) checkHealthyMembersAreInViews() error {
	const long = 20_000 * ms
	if m.LossRate > 0.2 {
		m.lossySince = m.Now
	}
	up := 0
	for _, n := range m.Nodes {
		if n.Up {
			up++
		}
	}
	var well []*Node
	for _, n := range m.Nodes {
		good := 0
		for _, o := range m.Nodes {
			if o.Up && !o.Paused && !m.IsCut(n.index, o.index) && !m.IsCut(o.index, n.index) {
				good++
			}
		}
		if !n.Up || n.Paused || 2*good <= len(m.Nodes) {
			n.healthySince = m.Now
		} else if m.Now-max(n.healthySince, m.lossySince, n.Started, n.resumedAt) > long {
			well = append(well, n)
		}
	}
	for _, n := range well {
		view := map[string]membership.Status{}
		for _, s := range n.View().Members {
			view[s.Name] = s.Status
		}
		for _, o := range well {
			if s, known := view[o.Name]; !known || s == membership.Dead || s == membership.Left {
				return fmt.Errorf("%s is out of the view of %s, though both hear and are heard by most", o.Name, n.Name)
			}
		}
	}
	return nil
}
