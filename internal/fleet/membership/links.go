package membership

import (
	"slices"
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

// link is one to a member that this node watches, or that watches this node.
type link struct {
	member                         int32
	wanted, suspect                bool
	up                             bool // an answer came within the config's Silence
	lostBefore                     bool // it was up before
	openedAt                       int64
	keepUntil                      int64 // until which it is kept although not wanted
	lastProofAt                    int64 // when the last ping that was answered was sent
	watchedAt                      int64 // when it last pinged as one that watches
	nextPingAt, nextProbeAt        int64 // when the next ping is due at the earliest; when it is even if all were answered
	roundTrip                      int64 // ns of a round trip, smoothed: no ping is sent again before its answer can be there
	pingSeq                        uint32
	pingsSent                      [pingHistory]int64
	digestDiffersSince, lastSyncAt int64
	owedRecords, nextOwed          int // records that are owed; the member after the one sent last
	nextGossipAt                   int64
}

// applyAck takes an answer to a ping: of a link, or of a knock at one that was lost.
func (m *Members) applyAck(i int32, seq uint32) {
	peer := &m.members[i]
	if peer.linkIndex >= 0 {
		l := &m.links[peer.linkIndex]
		if age := l.pingSeq - seq; age < pingHistory && l.pingsSent[seq%pingHistory] > 0 && seq>>31 == 0 {
			sent := l.pingsSent[seq%pingHistory]
			l.lastProofAt = max(l.lastProofAt, sent)
			if seq == l.pingSeq { // an answer to an earlier one tells of a pause, and not of the way
				if trip := min(m.ownTime-sent, m.config.ProbeInterval); l.roundTrip == 0 {
					l.roundTrip = trip
				} else {
					l.roundTrip += (trip - l.roundTrip) / 8
				}
				l.nextPingAt = l.nextProbeAt
			}
			if !l.up && m.ownTime-l.lastProofAt <= m.config.LinkTimeout {
				l.up, m.linksDirty, m.publishAt = true, true, min(m.publishAt, m.publishedAt+publishInterval)
				if l.lostBefore || peer.inView && !peer.reachable {
					l.lostBefore, m.linkRegained, m.publishAt = false, true, min(m.publishAt, m.publishedAt+regainedPublishInterval)
				}
			}
			return
		}
	}
	for k := range m.reconnects {
		if m.reconnects[k].id == peer.id && m.reconnects[k].seq == seq {
			m.reconnects[k].id = 0
			peer.watchUntil = m.ownTime + 2*m.config.LinkTimeout
			m.ringsDirty = true
			if m.syncLink == 0 {
				m.startSync(peer.record.Address)
			}
			return
		}
	}
	m.Counters.UnmatchedMessages++
}
