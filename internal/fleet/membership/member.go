package membership

// member is what is kept of one; index 0 is this node.
type member struct {
	record           Record
	id               ID
	linkIndex        int8 // its place in links, -1 without one
	inView           bool // the view
	inDigest         bool // its record is part of what tables are compared by
	reachable        bool // a path of links leads to it
	everInView       bool // in the view at some time
	lossReportedBy   ID   // whose link to it went last
	unreachableSince int64
	reachGraceUntil  int64 // until which a new life need not be reached
	outOfViewSince   int64 // when it left the view or became known, whichever came last
	watchUntil       int64 // until which one outside the view is watched all the same
	flaps            int
	lastFlapAt       int64
	status           Status
	statusSince      int64 // of its status
}

// ringKey is a member's place in an order of the fleet.
func (m *member) ringKey(ring int) uint64 { return mixHash(uint64(m.id), uint64(ring)) }

// incarnationHash is a member's part in the hash of views.
func (b *member) incarnationHash() uint64 { return mixHash(uint64(b.id), uint64(b.record.StartedAt)) }

func (b *member) recordHash() uint64 {
	return mixHash(mixHash(uint64(b.id), b.record.Incarnation), uint64(b.record.RecordVersion))
}

// addMember keeps a member that was not known; -1 where the table is full of such as are in the view.
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
		m.seenStamp = append(m.seenStamp, 0)
		m.owed, m.owedTwice = append(m.owed, 0), append(m.owedTwice, 0)
		m.adjacency, m.lastTraversal = append(m.adjacency, adjacency{}), append(m.lastTraversal, 0)
		m.settled, m.inRings = append(m.settled, false), append(m.inRings, false)
	}
	m.adjacency[i].left, m.lastTraversal[i], m.settled[i] = r.Left, 0, false
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
	m.adjacency[i], m.lastTraversal[i], m.settled[i] = adjacency{}, 0, false
	m.ringsStale, m.inRings[i] = m.ringsStale || m.inRings[i], false
	delete(m.byID, peer.id)
	*peer = member{linkIndex: -1}
	m.free = append(m.free, i)
	m.ringsDirty, m.viewDirty = true, true
}
