package virtualfleet

import (
	"slices"

	"topazpost/internal/fleet/membership"
)

const (
	numRings        = 4       // orders of the fleet, as membership's: a node has links to both sides in each
	viewUpdateDelay = 20 * ms // ns over which what changed in views is taken together
)

// staticView takes membership's place where that isn't what is tested: links as membership's rings have them, and a view given by
// the faults, each seen by all after silence and settle. A herd of joins and its traffic aren't played.
type staticView struct {
	rings           [numRings][]int
	position        [numRings][]int // of each node in a ring
	present         []bool          // nodes that views hold to be there
	isolated        []bool          // nodes on the other side of a cut, in truth
	isolatedInViews []bool          // and in views
	partition       int             // of cut
	links           [][]string
	zones           map[viewKey][]string
	updateScheduled bool
}

type viewKey struct {
	zone     string
	isolated bool
}

// UseStaticMembership has the fleet begin joined, without membership: before the first start.
func (m *Fleet) UseStaticMembership() {
	n := len(m.Nodes)
	s := &staticView{present: make([]bool, n), isolated: make([]bool, n), isolatedInViews: make([]bool, n), links: make([][]string, n)}
	for i := range s.present {
		s.present[i] = true
	}
	for r := range s.rings {
		s.rings[r], s.position[r] = m.Rand.Perm(n), make([]int, n)
		for k, i := range s.rings[r] {
			s.position[r][i] = k
		}
	}
	m.static = s
	m.updateViews()
}

// detectionDelay is when views hold what has changed.
func (m *Fleet) detectionDelay() int64 {
	return m.Membership.LinkTimeout + m.Membership.SuspicionTimeout
}

func (n *Node) startStatic() {
	m, s, life := n.fleet, n.fleet.static, n.incarnations
	if n.Members = nil; m.NewPayload != nil {
		n.payload = m.NewPayload(n)
	}
	if !s.present[n.index] {
		m.After(m.detectionDelay(), func() {
			if n.Up && n.incarnations == life {
				s.present[n.index] = true
				m.scheduleViewUpdate()
			}
		})
	}
}

func (n *Node) killStatic() {
	m, s, life := n.fleet, n.fleet.static, n.incarnations
	m.After(m.detectionDelay(), func() {
		if !n.Up && n.incarnations == life {
			s.present[n.index] = false
			m.scheduleViewUpdate()
		}
	})
}

// partitionStatic notes who is on the other side of a cut.
func (m *Fleet) partitionStatic(in []*Node) {
	s := m.static
	clear(s.isolated)
	for _, n := range in {
		s.isolated[n.index] = true
	}
	s.partition++
	turn := s.partition
	m.After(m.detectionDelay(), func() {
		if s.partition == turn {
			copy(s.isolatedInViews, s.isolated)
			m.scheduleViewUpdate()
		}
	})
}

func (m *Fleet) scheduleViewUpdate() {
	if s := m.static; !s.updateScheduled {
		s.updateScheduled = true
		m.After(viewUpdateDelay, m.updateViews)
	}
}

// updateViews makes all views anew, and tells those whose changed.
func (m *Fleet) updateViews() {
	s := m.static
	before, changed := s.zones, map[viewKey]bool{}
	s.updateScheduled, s.zones = false, map[viewKey][]string{}
	for i, n := range m.Nodes {
		if s.present[i] {
			z := viewKey{n.Zone, s.isolatedInViews[i]}
			s.zones[z] = append(s.zones[z], n.Name)
		}
	}
	for z, names := range s.zones {
		changed[z] = !slices.Equal(names, before[z])
	}
	for i, n := range m.Nodes {
		var links []string
		for r := range s.rings {
			for _, way := range [...]int{1, len(m.Nodes) - 1} {
				if k := s.nextInRing(r, i, way); k >= 0 && !slices.Contains(links, m.Nodes[k].Name) {
					links = append(links, m.Nodes[k].Name)
				}
			}
		}
		if !slices.Equal(links, s.links[i]) || changed[viewKey{n.Zone, s.isolatedInViews[i]}] {
			if s.links[i] = links; n.Up && n.payload != nil {
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
	return n.Members.Neighbours(), n.Members.InZone()
}
