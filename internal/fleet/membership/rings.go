package membership

import (
	"cmp"
	"slices"

	"topazpost/internal/invariant"
)

// updateRings chooses the wanted links: on both sides of this node on each ring, the one to the nearest member that answers.
// Links to silent members before it, up to maxSkippedSilent, are wanted too, so that this node notices when they work again.
func (m *Members) updateRings() {
	if !m.ringsDirty || m.unpausedTime < m.nextRingsAt {
		return
	}
	m.ringsDirty, m.nextRingsAt = false, m.unpausedTime+ringsInterval
	for k := range m.links {
		m.links[k].wanted = false
	}
	if m.members[0].record.Left || m.unpausedTime < m.yieldUntil {
		return
	}
	m.updateRingOrders()
	for _, order := range m.ringOrder {
		at := slices.Index(order, 0)
		for _, side := range [...]int{1, -1} {
			skipped := 0
			for n := 1; n < len(order) && skipped < maxSkippedSilent; n++ {
				i := order[((at+n*side)%len(order)+len(order))%len(order)]
				l := m.wantLink(i)
				if l == nil || l.silence(m.unpausedTime) <= m.config.LinkTimeout/2 {
					break
				}
				skipped++
			}
		}
	}
	for k := range m.links {
		if l := &m.links[k]; l.member >= 0 && l.wanted {
			l.keepUntil = m.unpausedTime + unwantedLinkTimeout
		}
	}
}

// updateRingOrders updates the sorted members of each ring. It removes members that no longer belong there and merges in new
// ones, which costs one pass over a ring instead of a full sort.
func (m *Members) updateRingOrders() {
	m.ringJoiners = m.ringJoiners[:0]
	for i := range m.members {
		if m.settled[i] && m.inRings[i] {
			continue
		}
		belongs := m.belongsOnRings(i)
		if belongs && !m.inRings[i] {
			m.ringJoiners = append(m.ringJoiners, int32(i))
		} else if !belongs && m.inRings[i] {
			m.inRings[i] = false
			m.ringsStale = true
		}
	}
	for r := range m.ringOrder {
		if m.ringsStale { // inRings is false for a reused index, whose new member joins below
			m.ringOrder[r] = slices.DeleteFunc(m.ringOrder[r], func(i int32) bool { return !m.inRings[i] })
		}
		m.ringOrder[r] = m.mergeIntoRing(r, m.ringOrder[r], m.ringJoiners)
	}
	m.ringsStale = false
	for _, i := range m.ringJoiners {
		m.inRings[i] = true
	}
	if invariant.Debug {
		m.checkRingOrders()
	}
}

// belongsOnRings reports whether a member belongs on the rings: this node, a member of the view, or one that can still enter it.
func (m *Members) belongsOnRings(i int) bool {
	peer := &m.members[i]
	return i == 0 || peer.record.Name != "" && !peer.record.Left && (peer.inView || m.unpausedTime < peer.onRingsUntil)
}

// checkRingOrders checks that each ring is sorted and has as many members as belong on it.
func (m *Members) checkRingOrders() {
	for r, order := range m.ringOrder {
		n := 0
		for i := range m.members {
			if m.belongsOnRings(i) {
				n++
			}
		}
		sorted := slices.IsSortedFunc(order, func(a, b int32) int { return m.compareInRing(r, a, b) })
		m.Invariants.Check(n == len(order) && sorted, "a ring holds all members that belong on it, in order")
	}
}

// compareInRing compares two members by their position on a ring.
func (m *Members) compareInRing(r int, i, j int32) int {
	a, b := &m.members[i], &m.members[j]
	return cmp.Or(cmp.Compare(a.ringKey(r), b.ringKey(r)), cmp.Compare(a.id, b.id))
}

// mergeIntoRing adds members to a sorted ring and returns it, still sorted.
func (m *Members) mergeIntoRing(r int, order, more []int32) []int32 {
	if len(more) == 0 {
		return order
	}
	slices.SortFunc(more, func(a, b int32) int { return m.compareInRing(r, a, b) })
	old := len(order)
	order = append(order, more...)
	for at, left, right := len(order)-1, old-1, len(more)-1; right >= 0; at-- { // from the end, since order grows in place
		if left >= 0 && m.compareInRing(r, order[left], more[right]) > 0 {
			order[at] = order[left]
			left--
		} else {
			order[at] = more[right]
			right--
		}
	}
	return order
}
