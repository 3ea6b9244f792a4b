package membership

import (
	"cmp"
	"slices"

	"topazpost/internal/invariant"
)

// openLink takes up a link to a member. Where all are taken, the one that is unwanted longest makes room.
func (m *Members) openLink(i int32) *link {
	oldest := -1
	for k := range m.links {
		if l := &m.links[k]; l.member >= 0 && !l.wanted && (oldest < 0 || l.keepUntil < m.links[oldest].keepUntil) {
			oldest = k
		} else if l.member < 0 {
			oldest = -1
			break
		}
	}
	if oldest >= 0 {
		m.closeLink(int8(oldest))
	}
	for k := range m.links {
		l := &m.links[k]
		if l.member >= 0 {
			continue
		}
		m.clearQueue(int8(k))
		*l = link{member: i, openedAt: m.ownTime, lastProofAt: -m.config.LinkTimeout, watchedAt: -m.config.LinkTimeout, lastSyncAt: m.ownTime, nextPingAt: m.ownTime}
		m.members[i].linkIndex = int8(k)
		m.queueOnLink(int8(k), 0)
		return l
	}
	return nil
}

func (m *Members) closeLink(k int8) {
	l := &m.links[k]
	if l.up && !m.linksDirty { // told together with others that end, and before its silence would have told it
		m.linksDirty, m.publishAt = true, max(m.publishAt, min(m.ownTime+closedPublishInterval, l.lastProofAt+m.config.LinkTimeout))
	}
	m.members[l.member].linkIndex = -1
	l.member, l.up, l.owedRecords = -1, false, 0
}

// linksUp is how many links work.
func (m *Members) linksUp() (n int) {
	for k := range m.links {
		if m.links[k].member >= 0 && m.links[k].up {
			n++
		}
	}
	return n
}

func (l *link) silence(t int64) int64 { return t - max(l.lastProofAt, l.openedAt) }

// updateRings chooses whom to watch: on each side of this node in each ring the next that is not silent, and those
// passed over on the way, so that a link that works again is found.
func (m *Members) updateRings() {
	if !m.ringsDirty || m.ownTime < m.nextRingsAt {
		return
	}
	m.ringsDirty, m.nextRingsAt = false, m.ownTime+ringsInterval
	for k := range m.links {
		m.links[k].wanted = false
	}
	if m.members[0].record.Left || m.ownTime < m.refusedUntil {
		return
	}
	m.updateRingOrders()
	for _, order := range m.ringOrder {
		at := slices.Index(order, 0)
		for _, side := range [...]int{1, -1} {
			passed := 0
			for n := 1; n < len(order) && passed < maxPassedOver; n++ {
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

// updateRingOrders has each order hold those that may be watched, sorted: who is there no more is taken out, and those who
// came are sorted among themselves and merged in, so that a look costs one pass and not a sort of all.
func (m *Members) updateRingOrders() {
	m.ringJoiners = m.ringJoiners[:0]
	for i := range m.members {
		if m.settled[i] && m.inRings[i] {
			continue
		}
		peer := &m.members[i]
		may := i == 0 || peer.record.Name != "" && !peer.record.Left && (peer.inView || m.ownTime < peer.watchUntil)
		if may && !m.inRings[i] {
			m.ringJoiners = append(m.ringJoiners, int32(i))
		} else if !may && m.inRings[i] {
			m.inRings[i], m.ringsStale = false, true
		}
	}
	for r := range m.ringOrder {
		if m.ringsStale { // a place in the table that was forgotten and taken again counts as new
			m.ringOrder[r] = slices.DeleteFunc(m.ringOrder[r], func(i int32) bool { return !m.inRings[i] })
		}
		m.ringOrder[r] = m.mergeIntoRing(r, m.ringOrder[r], m.ringJoiners)
	}
	m.ringsStale = false
	for _, i := range m.ringJoiners {
		m.inRings[i] = true
	}
	if invariant.Debug {
		for r, order := range m.ringOrder {
			n := 0
			for i := range m.members {
				peer := &m.members[i]
				if may := i == 0 || peer.record.Name != "" && !peer.record.Left && (peer.inView || m.ownTime < peer.watchUntil); may {
					n++
				}
			}
			m.Invariants.Check(n == len(order) && slices.IsSortedFunc(order, func(a, peer int32) int { return m.compareInRing(r, a, peer) }), "an order is whole and sorted")
		}
	}
}

// compareInRing compares members in an order.
func (m *Members) compareInRing(r int, i, j int32) int {
	a, peer := &m.members[i], &m.members[j]
	return cmp.Or(cmp.Compare(a.ringKey(r), peer.ringKey(r)), cmp.Compare(a.id, peer.id))
}

// mergeIntoRing takes some more into an order.
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

func (m *Members) watch(i int32) *link {
	var l *link
	if k := m.members[i].linkIndex; k >= 0 {
		l = &m.links[k]
	} else {
		l = m.openLink(i)
	}
	if l != nil {
		l.wanted = true
	}
	return l
}

// probeLinks pings, notices silence, and lets go of links that neither end wants.
func (m *Members) probeLinks() {
	for k := range m.links {
		l := &m.links[k]
		if l.member < 0 {
			continue
		}
		quiet := l.silence(m.ownTime)
		if l.up && m.ownTime-l.lastProofAt > m.config.LinkTimeout {
			l.up, l.lostBefore, m.linksDirty, m.publishAt = false, true, true, min(m.publishAt, m.publishedAt+publishInterval)
			m.members[l.member].lossReportedBy = m.members[0].id
		}
		if !l.wanted && m.ownTime > l.keepUntil && m.ownTime-max(l.watchedAt, l.openedAt) > m.config.LinkTimeout {
			m.closeLink(int8(k))
			continue
		}
		if doubt := quiet > m.config.LinkTimeout/2; doubt != l.suspect {
			l.suspect = doubt
			m.ringsDirty = true
		}
		if m.ownTime < l.nextPingAt || m.members[0].record.Left {
			continue
		}
		every := m.config.ProbeInterval
		if quiet > m.config.LinkTimeout { // it is still asked now and then: a broken link may be mended
			every *= 4
		}
		if l.pingSeq == 0 {
			l.nextProbeAt = m.ownTime + m.jitter(every) // from then on links are asked at moments of their own
		} else if m.ownTime >= l.nextProbeAt {
			l.nextProbeAt = max(l.nextProbeAt+every, m.ownTime+every/2)
		}
		l.nextPingAt = l.nextProbeAt
		if l.up && quiet < m.config.LinkTimeout/2 { // a lost one costs no more than this, up to the next that is due anyway
			l.nextPingAt = min(l.nextProbeAt, m.ownTime+max(m.config.ProbeInterval/maxPingsPerProbe, 2*l.roundTrip))
		}
		l.pingSeq = (l.pingSeq + 1) &^ (1 << 31)
		l.pingsSent[l.pingSeq%pingHistory] = m.ownTime
		ping := Message{Kind: MessagePing, Seq: l.pingSeq, Neighbour: l.wanted}
		if !l.up { // it may not know this node
			ping.Records = m.ownRecord()
		}
		m.send(m.members[l.member].record.Address, &ping)
	}
}

func (m *Members) ownRecord() []Record { return []Record{m.members[0].record} }

// publishLinks tells of this node's links once they changed. What is lost goes at once, unless it changes all the time; what
// was lost and is back has to be known to all before the view follows the loss.
func (m *Members) publishLinks() {
	if !m.linksDirty || m.ownTime < m.publishAt || m.members[0].record.Left {
		return
	}
	ids := make([]ID, 0, maxLinks)
	for k := range m.links {
		if l := &m.links[k]; l.member >= 0 && l.up {
			ids = append(ids, m.members[l.member].id)
		}
	}
	slices.Sort(ids)
	if told := m.members[0].record.Links; !m.linkRegained && m.ownTime < m.publishedAt+gainedPublishInterval && len(told) >= ringCount && containsAll(ids, told) {
		m.publishAt = m.publishedAt + gainedPublishInterval
		return
	}
	m.linksDirty, m.linkRegained, m.publishedAt, m.publishAt = false, false, m.ownTime, m.ownTime+publishInterval
	if !slices.Equal(ids, m.members[0].record.Links) {
		m.updateAdjacency(0, m.members[0].record.Links, ids)
		m.members[0].record.Links = ids
		m.bumpRecord()
	}
}

// containsAll says whether all of some ascending ids are among others.
func containsAll(ids, all []ID) bool {
	for _, id := range all {
		if _, found := slices.BinarySearch(ids, id); !found {
			return false
		}
	}
	return true
}

// queueRecord owes a record to all links but the one that brought it.
func (m *Members) queueRecord(i int32, from int8) {
	for k := range m.links {
		if l := &m.links[k]; l.member >= 0 && int8(k) != from && l.member != i {
			m.queueOnLink(int8(k), i)
		}
	}
}

func (m *Members) queueOnLink(k int8, i int32) {
	bit := uint32(1) << k
	if m.owed[i]&bit == 0 {
		m.owed[i] |= bit
		m.links[k].owedRecords++
	}
	if m.owedTwice[i] &^= bit; m.viewSize < 2*ringCount { // few links bring each record: twice on each
		m.owedTwice[i] |= bit
	}
}

func (m *Members) dequeueOnLink(k int8, i int32) {
	if bit := uint32(1) << k; m.owed[i]&bit != 0 {
		m.owed[i] &^= bit
		m.owedTwice[i] &^= bit
		m.links[k].owedRecords--
	}
}

// clearQueue forgets all that is owed on a link.
func (m *Members) clearQueue(k int8) {
	m.links[k].owedRecords = 0
	for i := range m.owed {
		m.owed[i] &^= 1 << k
		m.owedTwice[i] &^= 1 << k
	}
}

// checkQueues holds the counts of what is owed against what is.
func (m *Members) checkQueues() {
	for k := range m.links {
		n := 0
		for _, bits := range m.owed {
			n += int(bits >> k & 1)
		}
		m.Invariants.Check(m.links[k].member < 0 || n == m.links[k].owedRecords, "what is owed on a link is counted")
	}
}

// sendGossip sends what is owed, a datagram a link at a time.
func (m *Members) sendGossip() {
	if invariant.Debug {
		m.checkQueues()
	}
	for k := range m.links {
		l := &m.links[k]
		if l.member < 0 || l.owedRecords == 0 || m.ownTime < l.nextGossipAt {
			continue
		}
		if l.silence(m.ownTime) > m.config.LinkTimeout { // it is healed once it is back
			m.clearQueue(int8(k))
			continue
		}
		records := m.nextGossip(int8(k))
		l.nextGossipAt = m.ownTime + gossipInterval
		if len(records) == 0 {
			m.clearQueue(int8(k))
			continue
		}
		if l.owedRecords > maxRecordsPerDatagram {
			l.nextGossipAt = m.ownTime + gossipInterval/4
		}
		m.send(m.members[l.member].record.Address, &Message{Kind: MessageGossip, Records: records})
	}
}

// nextGossip takes what is to be sent next on a link: this node's own record first, then what is owed, in turn from the
// member on at which the last datagram ended.
func (m *Members) nextGossip(k int8) (records []Record) {
	l, bit, size, found := &m.links[k], uint32(1)<<k, 0, 0
	owing := l.owedRecords
	take := func(i int) bool {
		r := &m.members[i].record
		if size += r.size(); len(records) > 0 && (size > maxGossipBytes || len(records) == maxRecordsPerDatagram) {
			return false
		}
		records = append(records, *r)
		found++
		if m.owedTwice[i]&bit != 0 {
			m.owedTwice[i] &^= bit
		} else {
			m.owed[i] &^= bit
			l.owedRecords--
		}
		return true
	}
	if m.owed[0]&bit != 0 {
		take(0)
	}
	at := l.nextOwed
	for range m.members {
		if found == owing { // no more can follow: the turn stays where it is
			return records
		}
		if at > 0 && m.owed[at]&bit != 0 && m.members[at].record.Name != "" && !take(at) {
			break
		}
		if at++; at == len(m.members) {
			at = 0
		}
	}
	l.nextOwed = at
	return records
}
