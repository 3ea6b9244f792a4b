package membership

// member is the state of one member of the table; index 0 is this node.
type member struct {
	record           Record
	id               ID
	linkIndex        int8 // index in Members.links, -1 without a link
	inView           bool
	inDigest         bool // the record is part of the table's digest
	reachable        bool // over links that both ends publish
	everInView       bool
	lossReportedBy   ID // the member that last lost or closed its link to this one
	unreachableSince int64
	reachGraceUntil  int64 // until then a new incarnation stays in the view while unreachable
	outOfViewSince   int64 // when it left the view, or when its last new record came
	onRingsUntil     int64 // until then it belongs on the rings although it is outside the view
	flaps            int
	lastFlapAt       int64
	status           Status
	statusSince      int64
}

// ringKey returns the key by which members are ordered on a ring.
func (m *member) ringKey(ring int) uint64 { return mixHash(uint64(m.id), uint64(ring)) }

// startHash returns the value that the member contributes to the hash of the view. It depends on the name and the start time.
func (m *member) startHash() uint64 { return mixHash(uint64(m.id), uint64(m.record.StartedAt)) }

// recordHash returns the value that the member's record contributes to the digest of the table.
func (m *member) recordHash() uint64 {
	return mixHash(mixHash(uint64(m.id), m.record.Incarnation), uint64(m.record.RecordVersion))
}

// addMember adds a member to the table and returns its index. If the table is full, it replaces the member that has been
// out of the view for longest, or returns -1 if all are in the view.
func (m *Members) addMember(r *Record) int32 {
	if len(m.byID) >= m.config.MaxMembers && len(m.members) > 0 {
		oldest := int32(-1)
		for i := range m.members {
			if peer := &m.members[i]; i > 0 && peer.record.Name != "" && !peer.inView && (oldest < 0 || peer.outOfViewSince < m.members[oldest].outOfViewSince) {
				oldest = int32(i)
			}
		}
		if oldest < 0 {
			return -1
		}
		m.forgetMember(oldest)
	}
	i := int32(len(m.members))
	if n := len(m.free); n > 0 {
		i, m.free = m.free[n-1], m.free[:n-1]
	} else {
		m.members = append(m.members, member{})
		m.lastSummarizedIn = append(m.lastSummarizedIn, 0)
		m.queuedOn, m.resendOn = append(m.queuedOn, 0), append(m.resendOn, 0)
		m.adjacency, m.lastTraversal = append(m.adjacency, adjacency{}), append(m.lastTraversal, 0)
		m.settled, m.inRings = append(m.settled, false), append(m.inRings, false)
	}
	m.adjacency[i].left, m.lastTraversal[i], m.settled[i] = r.Left, 0, false
	peer := &m.members[i]
	*peer = member{record: *r, id: IDOf(r.Name), linkIndex: -1, outOfViewSince: m.unpausedTime, onRingsUntil: m.unpausedTime + m.config.LinkTimeout, statusSince: m.unpausedTime}
	m.byID[peer.id] = i
	m.updateAdjacency(i, nil, r.Links)
	if i == 0 {
		peer.inDigest = true
		m.digest ^= peer.recordHash()
	}
	for k := range m.links {
		if m.links[k].member >= 0 {
			m.dequeueOnLink(int8(k), i)
		}
	}
	return i
}

// forgetMember removes a member from the table.
func (m *Members) forgetMember(i int32) {
	peer := &m.members[i]
	if peer.linkIndex >= 0 {
		m.closeLink(peer.linkIndex)
	}
	if peer.inDigest {
		m.digest ^= peer.recordHash()
	}
	if peer.inView {
		m.viewSize--
		m.viewHash ^= peer.startHash()
	}
	for _, j := range m.mutualLinksOf(i) {
		m.removeAdjacency(int32(j), i)
	}
	m.adjacency[i], m.lastTraversal[i], m.settled[i] = adjacency{}, 0, false
	m.ringsStale, m.inRings[i] = m.ringsStale || m.inRings[i], false
	delete(m.byID, peer.id)
	*peer = member{linkIndex: -1}
	m.free = append(m.free, i)
	m.ringsDirty, m.viewDirty = true, true
}
