package membership

// member is the state of one member of the table; index 0 is this node.
type member struct {
	record           Record
	id               ID
	linkIndex        int8 // its place in links, -1 without one
	inView           bool
	inDigest         bool // its record is part of the table's digest
	reachable        bool // a path of links leads to it
	everInView       bool
	lossReportedBy   ID // the member whose link to it went down last
	unreachableSince int64
	reachGraceUntil  int64 // until then a new incarnation need not be reachable
	outOfViewSince   int64 // when it left the view or became known
	watchUntil       int64 // until then it is probed although it is outside the view
	flaps            int
	lastFlapAt       int64
	status           Status
	statusSince      int64
}

// ringKey is a member's position on a ring.
func (m *member) ringKey(ring int) uint64 { return mixHash(uint64(m.id), uint64(ring)) }

// incarnationHash is a member's part in the hash of the view.
func (m *member) incarnationHash() uint64 { return mixHash(uint64(m.id), uint64(m.record.StartedAt)) }

// recordHash is a member's part in the digest of the table.
func (m *member) recordHash() uint64 {
	return mixHash(mixHash(uint64(m.id), m.record.Incarnation), uint64(m.record.RecordVersion))
}

// addMember adds a member to the table and returns its index, or -1 where the table is full of members of the view.
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
		m.upToDate, m.inRings = append(m.upToDate, false), append(m.inRings, false)
	}
	m.adjacency[i].left, m.lastTraversal[i], m.upToDate[i] = r.Left, 0, false
	peer := &m.members[i]
	*peer = member{record: *r, id: IDOf(r.Name), linkIndex: -1, outOfViewSince: m.ownTime, watchUntil: m.ownTime + m.config.LinkTimeout, statusSince: m.ownTime}
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
		m.viewHash ^= peer.incarnationHash()
	}
	for _, j := range m.neighboursOf(i) {
		m.removeAdjacency(int32(j), i)
	}
	m.adjacency[i], m.lastTraversal[i], m.upToDate[i] = adjacency{}, 0, false
	m.ringsStale, m.inRings[i] = m.ringsStale || m.inRings[i], false
	delete(m.byID, peer.id)
	*peer = member{linkIndex: -1}
	m.free = append(m.free, i)
	m.ringsDirty, m.viewDirty = true, true
}
