package virtualfleet

import (
	"slices"

	"topazpost/internal/fleet/membership"
)

const (
	ringsMost = 4       // orders of the fleet, as membership's: a node has links to both sides in each
	lookAfter = 20 * ms // ns over which what changed in views is taken together
)

// standing takes membership's place where that isn't what is tested: links as membership's rings have them, and a view given by
// the faults, each seen by all after silence and settle. A herd of joins and its traffic aren't played.
type standing struct {
	rings [ringsMost][]int
	at    [ringsMost][]int // of each node in a ring
	in    []bool           // nodes that views hold to be there
	cut   []bool           // nodes on the other side of a cut, in truth
	side  []bool           // and in views
	turn  int              // of cut
	links [][]string
	zones map[zoneSide][]string
	dirty bool
}

type zoneSide struct {
	zone  string
	other bool
}

// Stand has the fleet begin joined, without membership: before the first start.
func (m *Mesh) Stand() {
	n := len(m.Nodes)
	s := &standing{in: make([]bool, n), cut: make([]bool, n), side: make([]bool, n), links: make([][]string, n)}
	for i := range s.in {
		s.in[i] = true
	}
	for r := range s.rings {
		s.rings[r], s.at[r] = m.Rand.Perm(n), make([]int, n)
		for k, i := range s.rings[r] {
			s.at[r][i] = k
		}
	}
	m.standing = s
	m.lookAround()
}

// seenAfter is when views hold what has changed.
func (m *Mesh) seenAfter() int64 { return m.Membership.LinkTimeout + m.Membership.SuspicionTimeout }

func (n *Node) stand() {
	m, s, life := n.m, n.m.standing, n.lives
	if n.Members = nil; m.Begin != nil {
		n.payload = m.Begin(n)
	}
	if !s.in[n.index] {
		m.After(m.seenAfter(), func() {
			if n.Up && n.lives == life {
				s.in[n.index] = true
				m.lookSoon()
			}
		})
	}
}

func (n *Node) fall() {
	m, s, life := n.m, n.m.standing, n.lives
	m.After(m.seenAfter(), func() {
		if !n.Up && n.lives == life {
			s.in[n.index] = false
			m.lookSoon()
		}
	})
}

// parted notes who is on the other side of a cut.
func (m *Mesh) parted(in []*Node) {
	s := m.standing
	clear(s.cut)
	for _, n := range in {
		s.cut[n.index] = true
	}
	s.turn++
	turn := s.turn
	m.After(m.seenAfter(), func() {
		if s.turn == turn {
			copy(s.side, s.cut)
			m.lookSoon()
		}
	})
}

func (m *Mesh) lookSoon() {
	if s := m.standing; !s.dirty {
		s.dirty = true
		m.After(lookAfter, m.lookAround)
	}
}

// lookAround makes all views anew, and tells those whose changed.
func (m *Mesh) lookAround() {
	s := m.standing
	before, changed := s.zones, map[zoneSide]bool{}
	s.dirty, s.zones = false, map[zoneSide][]string{}
	for i, n := range m.Nodes {
		if s.in[i] {
			z := zoneSide{n.Zone, s.side[i]}
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
				if k := s.next(r, i, way); k >= 0 && !slices.Contains(links, m.Nodes[k].Name) {
					links = append(links, m.Nodes[k].Name)
				}
			}
		}
		if !slices.Equal(links, s.links[i]) || changed[zoneSide{n.Zone, s.side[i]}] {
			if s.links[i] = links; n.Up && n.payload != nil {
				n.running(func() { n.payload.Viewed(membership.Change{}) })()
			}
		}
	}
}

// next is the next node in a ring, one way round, that a node's view holds; -1 where there is none.
func (s *standing) next(r, i, way int) int {
	if !s.in[i] {
		return -1
	}
	ring := s.rings[r]
	for k := (s.at[r][i] + way) % len(ring); ring[k] != i; k = (k + way) % len(ring) {
		if j := ring[k]; s.in[j] && s.side[j] == s.side[i] {
			return j
		}
	}
	return -1
}

// Around are those that a node has links to, and the members of its zone that its view holds, by name.
func (n *Node) Around() (links, zone []string) {
	if s := n.m.standing; s != nil {
		if !s.in[n.index] {
			return nil, nil
		}
		return s.links[n.index], s.zones[zoneSide{n.Zone, s.side[n.index]}]
	}
	return n.Members.Neighbours(), n.Members.InZone()
}
