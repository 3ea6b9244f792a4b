package membership

import (
	"slices"

	"topazpost/internal/invariant"
)

// adjacency holds the links of a member in compact form, since each traversal reads those of all members.
type adjacency struct {
	members [maxLinks]uint16 // indices of the members with which it has a link that both ends publish
	count   uint8
	left    bool
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
		for _, j := range m.mutualLinksOf(i) {
			if m.lastTraversal[j] == m.traversal || m.adjacency[j].left {
				continue
			}
			if m.lastTraversal[j] != last { // newly reachable
				peer := &m.members[j]
				peer.reachable, peer.unreachableSince, m.settled[j] = true, 0, false
			}
			m.lastTraversal[j] = m.traversal
			m.stack = append(m.stack, int32(j))
		}
	}
	for i, number := range m.lastTraversal {
		if number != last { // either reachable still, or not reachable before
			continue
		}
		peer := &m.members[i]
		if peer.reachable, m.settled[i] = false, false; peer.inView && peer.unreachableSince == 0 {
			peer.unreachableSince = m.unpausedTime
		}
	}
	if invariant.Debug {
		m.checkAdjacency()
	}
}

// mutualLinksOf returns the indices of the members with which a member has a link that both ends publish.
func (m *Members) mutualLinksOf(i int32) []uint16 {
	n := &m.adjacency[i]
	return n.members[:n.count]
}

// updateAdjacency updates the adjacency lists after the links in a member's record changed. It records that this member
// reported the loss of each link that its record no longer lists.
func (m *Members) updateAdjacency(i int32, before, after []ID) {
	self := m.members[i].id
	for _, id := range before {
		if containsID(after, id) {
			continue
		}
		if j, known := m.byID[id]; known {
			if i > 0 { // for a lost link of this node, markDownIfUnanswered sets it
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
		if j, known := m.byID[id]; known && j != i && containsID(m.members[j].record.Links, self) && !slices.Contains(m.mutualLinksOf(i), uint16(j)) {
			m.adjacency[i].add(j)
			m.adjacency[j].add(i)
		}
	}
}

// add adds a member. There is room, because a record lists at most maxLinks members.
func (n *adjacency) add(j int32) {
	n.members[n.count] = uint16(j)
	n.count++
}

// removeAdjacency removes j from the adjacency list of i and reports whether it was in it.
func (m *Members) removeAdjacency(i, j int32) bool {
	n := &m.adjacency[i]
	at := slices.Index(m.mutualLinksOf(i), uint16(j))
	if at < 0 {
		return false
	}
	n.count--
	n.members[at] = n.members[n.count]
	return true
}

// containsID reports whether links, in ascending order, contains id.
func containsID(links []ID, id ID) bool {
	_, found := slices.BinarySearch(links, id)
	return found
}

// checkAdjacency compares the adjacency lists and the last traversal with the records.
func (m *Members) checkAdjacency() {
	for i := range m.members {
		peer, mutual, linked := &m.members[i], 0, m.mutualLinksOf(int32(i))
		m.Invariants.Check(i == 0 || m.adjacency[i].left == peer.record.Left && peer.reachable == (m.lastTraversal[i] == m.traversal), "a member's traversal state matches its record")
		if peer.record.Name == "" {
			m.Invariants.Check(len(linked) == 0, "an unused entry has no links")
			continue
		}
		for j := range m.members {
			if other := &m.members[j]; i != j && other.record.Name != "" && containsID(peer.record.Links, other.id) && containsID(other.record.Links, peer.id) {
				mutual++
				m.Invariants.Check(slices.Contains(linked, uint16(j)), "a link that both ends publish is in the adjacency list")
			}
		}
		m.Invariants.Check(mutual == len(linked), "the adjacency list holds only links that both ends publish")
	}
}
