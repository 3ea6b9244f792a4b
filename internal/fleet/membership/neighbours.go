package membership

import "slices"

// Neighbours are the members that a link of this node's works with, by name.
func (m *Members) Neighbours() (names []string) {
	for k := range m.links {
		if l := &m.links[k]; l.member >= 0 && l.up && m.members[l.member].record.Name != "" {
			names = append(names, m.members[l.member].record.Name)
		}
	}
	slices.Sort(names)
	return names
}

// InZone are the other live members of this node's zone, by name; those without a zone are of one.
func (m *Members) InZone() (names []string) {
	zone := m.members[0].record.Facts.Zone
	for i := range m.members {
		if peer := &m.members[i]; i > 0 && peer.inView && peer.record.Facts.Zone == zone {
			names = append(names, peer.record.Name)
		}
	}
	slices.Sort(names)
	return names
}

// InView are the members of this node's view, itself among them, by name.
func (m *Members) InView() (names []string) {
	for i := range m.members {
		if peer := &m.members[i]; peer.inView {
			names = append(names, peer.record.Name)
		}
	}
	slices.Sort(names)
	return names
}
