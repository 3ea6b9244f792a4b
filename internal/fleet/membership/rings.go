package membership

import (
	"cmp"
	"slices"

	"topazpost/internal/invariant"
)

// updateRings chooses the members to watch: on both sides of this node on each ring the next that answers, and the silent
// ones that were skipped on the way, so that a link that works again is noticed.
func (m *Members) updateRings() {
	if !m.ringsDirty || m.ownTime < m.nextRingsAt {
		return
	}
	m.ringsDirty, m.nextRingsAt = false, m.ownTime+ringsInterval
	for k := range m.links {
		m.links[k].wanted = false
	}
	if m.members[0].record.Left || m.ownTime < m.yieldUntil {
		return
	}
	m.updateRingOrders()
	for _, order := range m.ringOrder {
		at := slices.Index(order, 0)
		for _, side := range [...]int{1, -1} {
			passed := 0
			for n := 1; n < len(order) && passed < maxSkippedSilent; n++ {
				i := order[((at+n*side)%len(order)+len(order))%len(order)]
				l := m.watch(i)
				if l == nil || l.silence(m.ownTime) <= m.config.LinkTimeout/2 {
					break
				}
				passed++
			}
		}
	}
	for k := range m.links {
		if l := &m.links[k]; l.member >= 0 && l.wanted {
			l.keepUntil = m.ownTime + unwantedLinkTimeout
		}
	}
}

// updateRingOrders has each ring hold the members that may be watched, sorted. Members that are gone are taken out; new ones are
// sorted among themselves and merged in, so that an update costs one pass and not a sort of all.
func (m *Members) updateRingOrders() {
	m.ringJoiners = m.ringJoiners[:0]
	for i := range m.members {
		if m.upToDate[i] && m.inRings[i] {
			continue
		}
		watchable := m.isWatchable(i)
		if watchable && !m.inRings[i] {
			m.ringJoiners = append(m.ringJoiners, int32(i))
		} else if !watchable && m.inRings[i] {
			m.inRings[i] = false
			m.ringsStale = true
		}
	}
	for r := range m.ringOrder {
		if m.ringsStale { // an index that was freed and used again counts as new
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

// isWatchable reports whether a member belongs on the rings: it is this node, in the view, or may still come into it.
func (m *Members) isWatchable(i int) bool {
	peer := &m.members[i]
	return i == 0 || peer.record.Name != "" && !peer.record.Left && (peer.inView || m.ownTime < peer.watchUntil)
}

func (m *Members) checkRingOrders() {
	for r, order := range m.ringOrder {
		n := 0
		for i := range m.members {
			if m.isWatchable(i) {
				n++
			}
		}
		sorted := slices.IsSortedFunc(order, func(a, b int32) int { return m.compareInRing(r, a, b) })
		m.Invariants.Check(n == len(order) && sorted, "an order is whole and sorted")
	}
}

// compareInRing orders members on a ring.
func (m *Members) compareInRing(r int, i, j int32) int {
	a, peer := &m.members[i], &m.members[j]
	return cmp.Or(cmp.Compare(a.ringKey(r), peer.ringKey(r)), cmp.Compare(a.id, peer.id))
}

// mergeIntoRing merges more members into a sorted ring.
func (m *Members) mergeIntoRing(r int, order, more []int32) []int32 {
	if len(more) == 0 {
		return order
	}
	slices.SortFunc(more, func(a, b int32) int { return m.compareInRing(r, a, b) })
	old := len(order)
	order = append(order, more...)
	for at, left, right := len(order)-1, old-1, len(more)-1; right >= 0; at-- { // from the end on
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
