package virtualfleet

import (
	"slices"

	"topazpost/internal/fleet/membership"
)

const (
	numRings        = 4       // as in membership: a node has links to both sides in each
	viewUpdateDelay = 20 * ms // ns over which changes of views are batched
)

// staticView replaces membership where that isn't what is tested: links as membership's rings have them, and a view given by
// the faults, each seen by all after the detection delay. The traffic of membership isn't simulated.
type staticView struct {
	rings           [numRings][]int
	position        [numRings][]int // of each node in a ring
	present         []bool          // nodes that views contain
	isolated        []bool          // nodes on the other side of a cut, in truth
	isolatedInViews []bool          // the same in views
	partition       int             // version of isolated
	links           [][]string
	zones           map[viewKey][]string
	updateScheduled bool
}

// viewKey names the members that nodes of a zone see, on one side of a cut.
type viewKey struct {
	zone     string
	isolated bool
}

// UseStaticMembership has the fleet begin joined, without membership. It must be called before the first start.
func (f *Fleet) UseStaticMembership() {
	n := len(f.Nodes)
	s := &staticView{present: make([]bool, n), isolated: make([]bool, n), isolatedInViews: make([]bool, n), links: make([][]string, n)}
	for i := range s.present {
		s.present[i] = true
	}
	for r := range s.rings {
		s.rings[r] = f.Rand.Perm(n)
		s.position[r] = make([]int, n)
		for k, i := range s.rings[r] {
			s.position[r][i] = k
		}
	}
	f.static = s
	f.updateViews()
}

// detectionDelay is the time from a fault until views show it.
func (f *Fleet) detectionDelay() int64 {
	return f.Membership.LinkTimeout + f.Membership.SuspicionTimeout
}

func (n *Node) startStatic() {
	f := n.fleet
	s := f.static
	incarnation := n.incarnations
	n.Members = nil
	if f.NewPayload != nil {
		n.payload = f.NewPayload(n)
	}
	if !s.present[n.index] {
		f.After(f.detectionDelay(), func() {
			if n.Up && n.incarnations == incarnation {
				s.present[n.index] = true
				f.scheduleViewUpdate()
			}
		})
	}
}

func (n *Node) killStatic() {
	f := n.fleet
	s := f.static
	incarnation := n.incarnations
	f.After(f.detectionDelay(), func() {
		if !n.Up && n.incarnations == incarnation {
			s.present[n.index] = false
			f.scheduleViewUpdate()
		}
	})
}

// partitionStatic notes who is on the other side of a cut.
func (f *Fleet) partitionStatic(in []*Node) {
	s := f.static
	clear(s.isolated)
	for _, n := range in {
		s.isolated[n.index] = true
	}
	s.partition++
	turn := s.partition
	f.After(f.detectionDelay(), func() {
		if s.partition == turn {
			copy(s.isolatedInViews, s.isolated)
			f.scheduleViewUpdate()
		}
	})
}

func (f *Fleet) scheduleViewUpdate() {
	if s := f.static; !s.updateScheduled {
		s.updateScheduled = true
		f.After(viewUpdateDelay, f.updateViews)
	}
}

// updateViews makes all views anew, and notifies nodes whose view changed.
func (f *Fleet) updateViews() {
	s := f.static
	before := s.zones
	changed := map[viewKey]bool{}
	s.updateScheduled = false
	s.zones = map[viewKey][]string{}
	for i, n := range f.Nodes {
		if s.present[i] {
			z := viewKey{n.Zone, s.isolatedInViews[i]}
			s.zones[z] = append(s.zones[z], n.Name)
		}
	}
	for z, names := range s.zones {
		changed[z] = !slices.Equal(names, before[z])
	}
	for i, n := range f.Nodes {
		var links []string
		for r := range s.rings {
			for _, way := range [...]int{1, len(f.Nodes) - 1} {
				if k := s.nextInRing(r, i, way); k >= 0 && !slices.Contains(links, f.Nodes[k].Name) {
					links = append(links, f.Nodes[k].Name)
				}
			}
		}
		if !slices.Equal(links, s.links[i]) || changed[viewKey{n.Zone, s.isolatedInViews[i]}] {
			s.links[i] = links
			if n.Up && n.payload != nil {
				n.whenRunning(func() { n.payload.ViewChanged(membership.Change{}) })()
			}
		}
	}
}

// nextInRing is the nextInRing node in a ring, one way round, that a node's view holds; -1 where there is none.
func (s *staticView) nextInRing(r, i, way int) int {
	if !s.present[i] {
		return -1
	}
	ring := s.rings[r]
	for k := (s.position[r][i] + way) % len(ring); ring[k] != i; k = (k + way) % len(ring) {
		if j := ring[k]; s.present[j] && s.isolatedInViews[j] == s.isolatedInViews[i] {
			return j
		}
	}
	return -1
}

// NeighboursAndZone are those that a node has links to, and the members of its zone that its view holds, by name.
func (n *Node) NeighboursAndZone() (links, zone []string) {
	if s := n.fleet.static; s != nil {
		if !s.present[n.index] {
			return nil, nil
		}
		return s.links[n.index], s.zones[viewKey{n.Zone, s.isolatedInViews[n.index]}]
	}
	return n.LinkedMembers(), n.InZone()
}
