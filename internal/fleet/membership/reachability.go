package membership

import (
	"slices"

	"topazpost/internal/invariant"
)

// adjacency is what following links needs of a member, in little room: all of them are gone over at each change.
type adjacency struct {
	neighbours [maxLinks]uint16 // members with which it has a link that both ends publish
	count      uint8
	left       bool
}

// traverse finds the members that are reachable from this node over links that both ends publish.
func (m *Members) traverse() {
	last := m.traversal
	m.traversal++
	m.lastTraversal[0], m.members[0].reachable = m.traversal, true
	m.stack = append(m.stack[:0], 0)
	for len(m.stack) > 0 {
		i := m.stack[len(m.stack)-1]
		m.stack = m.stack[:len(m.stack)-1]
		for _, j := range m.neighboursOf(i) {
			if m.lastTraversal[j] == m.traversal || m.adjacency[j].left {
				continue
			}
			if m.lastTraversal[j] != last {
				peer := &m.members[j]
				peer.reachable, peer.unreachableSince, m.upToDate[j] = true, 0, false
			}
			m.lastTraversal[j] = m.traversal
			m.stack = append(m.stack, int32(j))
		}
	}
	for i, at := range m.lastTraversal {
		if at != last {
			continue
		}
		peer := &m.members[i]
		if peer.reachable, m.upToDate[i] = false, false; peer.inView && peer.unreachableSince == 0 {
			peer.unreachableSince = m.ownTime
		}
	}
	if invariant.Debug {
		m.checkAdjacency()
	}
}

// neighboursOf returns the members with which a member has a link that both ends publish.
func (m *Members) neighboursOf(i int32) []uint16 {
	n := &m.adjacency[i]
	return n.neighbours[:n.count]
}

// updateAdjacency has the links that both ends publish follow a member's record, whose links were others before, and notes
// whose word a loss rests on: of those that a member had a link to and has no more.
func (m *Members) updateAdjacency(i int32, before, after []ID) {
	self := m.members[i].id
	for _, id := range before {
		if containsID(after, id) {
			continue
		}
		if j, known := m.byID[id]; known {
			if i > 0 { // its own are lost by its own word, said where that is noticed
				m.members[j].lossReportedBy = self
			}
			if m.removeAdjacency(i, j) {
				m.removeAdjacency(j, i)
			}
		}
	}
	for _, id := range after {
		if containsID(before, id) || !containsID(after, id) {
			continue
		}
		if j, known := m.byID[id]; known && j != i && containsID(m.members[j].record.Links, self) && !slices.Contains(m.neighboursOf(i), uint16(j)) {
			m.adjacency[i].add(j)
			m.adjacency[j].add(i)
		}
	}
}

// add takes a member up among those that another is linked with: one for each id of its record at the most.
func (n *adjacency) add(j int32) {
	n.neighbours[n.count] = uint16(j)
	n.count++
}

// removeAdjacency removes a neighbour and reports whether it was one.
func (m *Members) removeAdjacency(i, j int32) bool {
	n := &m.adjacency[i]
	at := slices.Index(m.neighboursOf(i), uint16(j))
	if at < 0 {
		return false
	}
	n.count--
	n.neighbours[at] = n.neighbours[n.count]
	return true
}

// containsID reports whether an id is among the sorted links of a record.
func containsID(links []ID, id ID) bool {
	_, found := slices.BinarySearch(links, id)
	return found
}

// checkAdjacency compares the adjacency lists with the links of the records.
func (m *Members) checkAdjacency() {
	for i := range m.members {
		b, n, kept := &m.members[i], 0, m.neighboursOf(int32(i))
		m.Invariants.Check(i == 0 || m.adjacency[i].left == b.record.Left && b.reachable == (m.lastTraversal[i] == m.traversal), "what is followed is as the records are")
		if b.record.Name == "" {
			m.Invariants.Check(len(kept) == 0, "nobody is linked with the forgotten")
			continue
		}
		for j := range m.members {
			if o := &m.members[j]; i != j && o.record.Name != "" && containsID(b.record.Links, o.id) && containsID(o.record.Links, b.id) {
				n++
				m.Invariants.Check(slices.Contains(kept, uint16(j)), "a link that both ends tell of is kept")
			}
		}
		m.Invariants.Check(n == len(kept), "a link is kept only where both ends tell of it")
	}
}
