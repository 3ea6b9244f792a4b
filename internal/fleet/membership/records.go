package membership

func (m *Members) ownRecord() []Record { return []Record{m.members[0].record} }

// bumpRecord gives this node's record another version and sends it round.
func (m *Members) bumpRecord() {
	m.digest ^= m.members[0].recordHash()
	m.members[0].record.RecordVersion++
	m.digest ^= m.members[0].recordHash()
	m.viewDirty = true
	m.queueRecord(0, -1)
}

// applyRecord takes a record of a peer; from is the link that brought it, -1 for none.
func (m *Members) applyRecord(r *Record, from int8) {
	if !r.usable() {
		m.Counters.Unusable++
		return
	}
	id := IDOf(r.Name)
	i, known := m.byID[id]
	if known && i == 0 {
		m.applyRecordOfSelf(r)
		return
	}
	if !known {
		if i = m.addMember(r); i < 0 {
			m.Counters.Unusable++
			return
		}
	}
	cause, changed := Joined, false
	if known {
		peer := &m.members[i]
		if from >= 0 && !peer.record.newer(r) { // it has this one already
			m.dequeueOnLink(from, i)
		}
		if !r.newer(&peer.record) {
			return
		}
		m.updateAdjacency(i, peer.record.Links, r.Links)
		if peer.record.StartedAt != r.StartedAt && peer.inView {
			peer.reachGraceUntil = m.ownTime + m.config.LinkTimeout + m.config.SuspicionTimeout
			peer.statusSince = m.ownTime
			cause, changed = Replaced, true
		} else if peer.record.Facts.NoUse != r.Facts.NoUse && peer.inView {
			cause, changed = ExecutorRestored, true
			if r.Facts.NoUse {
				cause = ExecutorLost
			}
		}
		if peer.inDigest {
			m.digest ^= peer.recordHash()
		}
		if !peer.inView && r.Incarnation > peer.record.Incarnation {
			peer.watchUntil = m.ownTime + m.config.LinkTimeout
		}
		if peer.inView {
			m.viewHash ^= peer.incarnationHash()
		}
		peer.record = *r
		m.adjacency[i].left, m.settled[i] = r.Left, false
		if peer.inView {
			m.viewHash ^= peer.incarnationHash()
		}
	}
	peer := &m.members[i]
	peer.inDigest, m.lastNewsAt = true, m.ownTime
	if !peer.inView {
		peer.outOfViewSince = m.ownTime
	}
	m.digest ^= peer.recordHash()
	m.viewDirty, m.ringsDirty = true, true
	if changed {
		m.emitChange(cause, peer, r.Incarnation, peer.record.Name, 0)
	}
	m.queueRecord(i, from)
}

// applyRecordOfSelf answers for a record of this node's name that is newer than its own: of an earlier life whose clock was
// ahead, or of another node of that name. Of two that live the one that started later keeps away.
func (m *Members) applyRecordOfSelf(r *Record) {
	self := &m.members[0].record
	if !r.newer(self) {
		return
	}
	if r.Address != self.Address && r.StartedAt < self.StartedAt && m.linksUp() > 0 {
		m.yieldName(r.Address)
		return
	}
	m.digest ^= m.members[0].recordHash()
	self.Incarnation, self.RecordVersion = r.Incarnation+1, 0
	m.digest ^= m.members[0].recordHash()
	m.viewDirty = true
	m.queueRecord(0, -1)
}

// yieldName ends all ties of a node whose name is held by another, until its next try to join.
func (m *Members) yieldName(holder string) {
	m.Counters.Refused++
	m.log(true, "the name %s is held by a node at %s that started earlier: this one keeps away; give it another name",
		m.config.Name, holder)
	for k := range m.links {
		if m.links[k].member >= 0 {
			m.closeLink(int8(k))
		}
	}
	for i := 1; i < len(m.members); i++ {
		if m.members[i].record.Name != "" {
			m.forgetMember(int32(i))
		}
	}
	m.members[0].record.Links = nil
	m.refusedUntil = m.ownTime + maxJoinBackoff
	m.nextJoinAt, m.isolated = m.refusedUntil, false
	m.ringsDirty, m.viewDirty, m.linksDirty = true, true, false
}
