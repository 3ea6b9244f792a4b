package virtualfleet

import (
	"fmt"

	"topazpost/internal/fleet/membership"
)

// checkInvariants checks what holds at any moment: incarnations never go back, and nobody with links both ways to most is
// out of the view of another such one.
func (f *Fleet) checkInvariants(highest map[string]uint64) error {
	for _, n := range f.Nodes {
		if !n.Up {
			continue
		}
		for _, c := range n.Changes[n.checkedChanges:] {
			if c.Cause == membership.Isolated || c.Cause == membership.Reconnected {
				continue
			}
			key := fmt.Sprint(n.Name, " born ", n.Started, " of ", c.Member)
			if c.Incarnation < highest[key] {
				return fmt.Errorf("%s: incarnation of %s went back from %d to %d", n.Name, c.Member, highest[key], c.Incarnation)
			}
			highest[key] = c.Incarnation
		}
		n.checkedChanges = len(n.Changes)
	}
	return f.checkHealthyMembersAreInViews()
}

// healthyFor is how long a member must have been healthy to be missed in views.
const healthyFor = 20_000 * ms

// checkHealthyMembersAreInViews looks for members that have been healthy for some time and are out of the view of another
// such one.
func (f *Fleet) checkHealthyMembersAreInViews() error {
	healthy := f.healthyMembers()
	for _, n := range healthy {
		view := map[string]membership.Status{}
		for _, s := range n.View().Members {
			view[s.Name] = s.Status
		}
		for _, o := range healthy {
			if s, known := view[o.Name]; !known || s == membership.Dead || s == membership.Left {
				return fmt.Errorf("%s is out of the view of %s, though both hear and are heard by most", o.Name, n.Name)
			}
		}
	}
	return nil
}

// healthyMembers returns those that have been up for some time, not paused, with links both ways to more than half of the
// fleet.
func (f *Fleet) healthyMembers() (healthy []*Node) {
	if f.LossRate > 0.2 {
		f.lossySince = f.Now
	}
	for _, n := range f.Nodes {
		if !n.Up || n.Paused || 2*f.linkedBothWays(n) <= len(f.Nodes) {
			n.healthySince = f.Now
		} else if f.Now-max(n.healthySince, f.lossySince, n.Started, n.resumedAt) > healthyFor {
			healthy = append(healthy, n)
		}
	}
	return healthy
}

// linkedBothWays counts the running nodes to which a node's links carry both ways, itself included.
func (f *Fleet) linkedBothWays(n *Node) (count int) {
	for _, o := range f.Nodes {
		if o.Up && !o.Paused && !f.IsCut(n.index, o.index) && !f.IsCut(o.index, n.index) {
			count++
		}
	}
	return count
}
