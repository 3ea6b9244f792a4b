package membership

// ownRecord returns this node's record in a slice, for Message.Records.
func (m *Members) ownRecord() []Record { return []Record{m.members[0].record} }

// bumpRecord increments the version of this node's record and queues the record on all links.
func (m *Members) bumpRecord() {
	m.digest ^= m.members[0].recordHash()
	m.members[0].record.RecordVersion++
	m.digest ^= m.members[0].recordHash()
	m.viewDirty = true
	m.queueRecord(0, -1)
}

// applyRecord stores a record from a peer if it is newer than the known one, and queues it on the other links. From is the
// index of the link that delivered it, -1 for none.
func (m *Members) applyRecord(r *Record, from int8) {
	if !r.valid() {
		m.Counters.UnusableRecords++
		return
	}
	i, known := m.byID[IDOf(r.Name)]
	if known && i == 0 {
		m.applyRecordOfSelf(r)
		return
	}
	if !known {
		if i = m.addMember(r); i < 0 {
			m.Counters.UnusableRecords++
			return
		}
	}
	cause, changed := Joined, false // the cause counts only if changed
	if known {
		peer := &m.members[i]
		if from >= 0 && !peer.record.newer(r) { // the sender has this version or a newer one
			m.dequeueOnLink(from, i)
		}
		if !r.newer(&peer.record) {
			return
		}
		cause, changed = m.replaceRecord(i, r)
	}
	peer := &m.members[i]
	peer.inDigest = true
	m.lastNewRecordAt = m.unpausedTime
	if !peer.inView {
		peer.outOfViewSince = m.unpausedTime
	}
	m.digest ^= peer.recordHash()
	m.viewDirty = true
	m.ringsDirty = true
	if changed {
		m.emitChange(cause, peer, r.Incarnation, peer.record.Name, 0)
	}
	m.queueRecord(i, from)
}

// replaceRecord stores a newer record of a known member and removes the old one from the digest. It reports whether this
// changes the view, and the cause of the change.
func (m *Members) replaceRecord(i int32, r *Record) (cause Cause, changed bool) {
	peer := &m.members[i]
	m.updateAdjacency(i, peer.record.Links, r.Links)
	switch {
	case peer.inView && peer.record.StartedAt != r.StartedAt:
		peer.reachGraceUntil = m.unpausedTime + m.config.LinkTimeout + m.config.SuspicionTimeout
		peer.statusSince = m.unpausedTime
		cause, changed = Replaced, true
	case peer.inView && r.Facts.NoExecutor && !peer.record.Facts.NoExecutor:
		cause, changed = ExecutorLost, true
	case peer.inView && !r.Facts.NoExecutor && peer.record.Facts.NoExecutor:
		cause, changed = ExecutorRestored, true
	}
	if peer.inDigest {
		m.digest ^= peer.recordHash()
	}
	if !peer.inView && r.Incarnation > peer.record.Incarnation {
		peer.onRingsUntil = m.unpausedTime + m.config.LinkTimeout
	}
	if peer.inView {
		m.viewHash ^= peer.startHash()
	}
	peer.record = *r
	m.adjacency[i].left = r.Left
	m.settled[i] = false
	if peer.inView {
		m.viewHash ^= peer.startHash()
	}
	return cause, changed
}

// applyRecordOfSelf handles a record under this node's name. A newer one stems from an earlier incarnation whose clock was
// ahead, or from another node with the same name. If another node started earlier, this node yields the name; otherwise it
// takes a higher incarnation.
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

// yieldName closes all links and forgets all members, because another node uses this node's name. The node stays outside
// the fleet until it tries to join again.
func (m *Members) yieldName(holderAddress string) {
	m.Counters.NameConflicts++
	m.log(true, "the name %s is used by a node at %s that started earlier: this node leaves the fleet and retries; give it a unique name",
		m.config.Name, holderAddress)
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
	m.yieldUntil = m.unpausedTime + maxJoinBackoff
	m.nextJoinAt = m.yieldUntil
	m.isolated = false
	m.ringsDirty = true
	m.viewDirty = true
	m.linksDirty = false
}
