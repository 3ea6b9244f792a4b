package membership

import (
	"cmp"
	"slices"
)

// LinkedMembers returns the names of the members to which this node has a link that is up, sorted.
func (m *Members) LinkedMembers() (names []string) {
	for k := range m.links {
		if l := &m.links[k]; l.member >= 0 && l.up && m.members[l.member].record.Name != "" {
			names = append(names, m.members[l.member].record.Name)
		}
	}
	slices.Sort(names)
	return names
}

// InZone returns the names of the other members of the view in this node's zone, sorted. Nodes without a zone share one.
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

// InView returns the names of the members of the view, this node included, sorted.
func (m *Members) InView() (names []string) {
	for i := range m.members {
		if peer := &m.members[i]; peer.inView {
			names = append(names, peer.record.Name)
		}
	}
	slices.Sort(names)
	return names
}

// View returns a new copy of the current view and of the members that left it and are not forgotten.
func (m *Members) View() View {
	v := View{Number: m.viewNumber, Isolated: m.isolated}
	known := 0
	for i := range m.members {
		peer := &m.members[i]
		if peer.record.Name == "" || !peer.everInView {
			continue
		}
		s := MemberStatus{Name: peer.record.Name, Address: peer.record.Address, Status: peer.status, Reach: m.reachOf(int32(i)), Incarnation: peer.record.Incarnation,
			Facts: peer.record.Facts, Links: len(peer.record.Links), StatusAge: m.unpausedTime - peer.statusSince, StartedAt: peer.record.StartedAt}
		v.Members = append(v.Members, s)
		if peer.inView {
			v.Hash ^= peer.startHash()
		}
		if !peer.record.Left {
			known++
		}
	}
	v.Majority = !m.isolated && 2*m.viewSize > known
	slices.SortFunc(v.Members, func(a, b MemberStatus) int { return cmp.Compare(a.Name, b.Name) })
	return v
}

// reachOf returns how this node reaches a member.
func (m *Members) reachOf(i int32) Reach {
	peer := &m.members[i]
	switch {
	case i == 0 || peer.linkIndex >= 0 && m.links[peer.linkIndex].up:
		return Direct
	case peer.inView && peer.reachable && !m.isolated:
		return Indirect
	}
	return Unreachable
}

// ViewHash returns the hash of the view, as in View, and the number of members in it, without copying the view.
func (m *Members) ViewHash() (hash uint64, size int) { return m.viewHash, m.viewSize }

// AddressOf returns the address of a member, or false if the member is unknown.
func (m *Members) AddressOf(name string) (string, bool) {
	if i, known := m.byID[IDOf(name)]; known {
		return m.members[i].record.Address, true
	}
	return "", false
}

// Self returns this node's own record.
func (m *Members) Self() Record { return m.members[0].record }
