package membership

import (
	"slices"
)

// openLink opens a link to a member. If there are maxLinks already, it closes the unwanted one whose keepUntil is earliest, or
// returns nil if all are wanted.
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
		// The negative times are at least the link timeout ago: nothing has been confirmed.
		*l = link{member: i, openedAt: m.unpausedTime, confirmedAt: -m.config.LinkTimeout, peerWantedAt: -m.config.LinkTimeout, lastSyncAt: m.unpausedTime, nextPingAt: m.unpausedTime}
		m.members[i].linkIndex = int8(k)
		m.queueOnLink(int8(k), 0)
		return l
	}
	return nil
}

// closeLink closes a link and schedules the publication of the remaining ones.
func (m *Members) closeLink(k int8) {
	l := &m.links[k]
	if l.up && !m.linksDirty { // waits for other links to close, but not until the link would count as down
		m.linksDirty, m.publishAt = true, max(m.publishAt, min(m.unpausedTime+closedPublishDelay, l.confirmedAt+m.config.LinkTimeout))
	}
	m.members[l.member].linkIndex = -1
	l.member, l.up, l.queuedRecords = -1, false, 0
}

// linksUp returns the number of links that are up.
func (m *Members) linksUp() (n int) {
	for k := range m.links {
		if m.links[k].member >= 0 && m.links[k].up {
			n++
		}
	}
	return n
}

// silence returns the time since the last answered ping was sent, or since the link was opened.
func (l *link) silence(t int64) int64 { return t - max(l.confirmedAt, l.openedAt) }

// wantLink marks the link to a member as wanted by the rings and opens it if necessary. It returns nil if there is no room for another link.
func (m *Members) wantLink(i int32) *link {
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

// probeLinks sends the pings that are due, updates which links are silent or down, and closes links that neither end wants.
func (m *Members) probeLinks() {
	for k := range m.links {
		l := &m.links[k]
		if l.member < 0 {
			continue
		}
		silence := l.silence(m.unpausedTime)
		m.markDownIfUnanswered(l)
		if m.isUnwantedByBoth(l) {
			m.closeLink(int8(k))
			continue
		}
		if silent := silence > m.config.LinkTimeout/2; silent != l.silent {
			l.silent = silent
			m.ringsDirty = true
		}
		if m.unpausedTime < l.nextPingAt || m.members[0].record.Left {
			continue
		}
		m.schedulePing(l, silence)
		m.ping(l)
	}
}

// markDownIfUnanswered marks a link as down if no ping sent within the link timeout was answered.
func (m *Members) markDownIfUnanswered(l *link) {
	if !l.up || m.unpausedTime-l.confirmedAt <= m.config.LinkTimeout {
		return
	}
	l.up = false
	l.wasLost = true
	m.linksDirty = true
	m.publishAt = min(m.publishAt, m.publishedAt+publishInterval)
	m.members[l.member].lossReportedBy = m.members[0].id
}

// isUnwantedByBoth reports whether neither end has wanted a link lately: this end for unwantedLinkTimeout, the peer for the
// link timeout.
func (m *Members) isUnwantedByBoth(l *link) bool {
	unwantedByPeer := m.unpausedTime - max(l.peerWantedAt, l.openedAt)
	return !l.wanted && m.unpausedTime > l.keepUntil && unwantedByPeer > m.config.LinkTimeout
}

// schedulePing sets when the next probe and the next ping of a link are due. An unanswered probe is sent again before the next
// one, unless the link is down or silent.
func (m *Members) schedulePing(l *link, silence int64) {
	interval := m.config.ProbeInterval
	if silence > m.config.LinkTimeout {
		interval *= downProbeFactor
	}
	if l.pingSeq == 0 {
		l.nextProbeAt = m.unpausedTime + m.jitter(interval) // spreads the probes of links that were opened together
	} else if m.unpausedTime >= l.nextProbeAt {
		l.nextProbeAt = max(l.nextProbeAt+interval, m.unpausedTime+interval/2)
	}
	l.nextPingAt = l.nextProbeAt
	if l.up && silence < m.config.LinkTimeout/2 {
		resend := max(m.config.ProbeInterval/maxPingsPerProbe, 2*l.roundTrip)
		l.nextPingAt = min(l.nextProbeAt, m.unpausedTime+resend)
	}
}

// ping sends the next ping of a link.
func (m *Members) ping(l *link) {
	l.pingSeq = (l.pingSeq + 1) &^ reconnectSeqBit
	l.pingsSent[l.pingSeq%pingHistory] = m.unpausedTime
	ping := Message{Kind: MessagePing, Seq: l.pingSeq, LinkWanted: l.wanted}
	if !l.up { // the peer may not know this node
		ping.Records = m.ownRecord()
	}
	m.send(m.members[l.member].record.Address, &ping)
}

// publishLinks publishes this node's links in its record if they changed and publishAt has come. The time since the last
// publication is at least
//   - regainedPublishInterval after a lost link came up, since all nodes must learn of it before the suspicion timeout ends;
//   - gainedPublishInterval if links were only added and at least ringCount are published already;
//   - publishInterval otherwise, so that the loss of a link is published soon.
//
// For closed links, closeLink sets publishAt.
func (m *Members) publishLinks() {
	if !m.linksDirty || m.unpausedTime < m.publishAt || m.members[0].record.Left {
		return
	}
	ids := make([]ID, 0, maxLinks)
	for k := range m.links {
		if l := &m.links[k]; l.member >= 0 && l.up {
			ids = append(ids, m.members[l.member].id)
		}
	}
	slices.Sort(ids)
	if published := m.members[0].record.Links; !m.linkRegained && m.unpausedTime < m.publishedAt+gainedPublishInterval && len(published) >= ringCount && containsAll(ids, published) {
		m.publishAt = m.publishedAt + gainedPublishInterval
		return
	}
	m.linksDirty, m.linkRegained, m.publishedAt, m.publishAt = false, false, m.unpausedTime, m.unpausedTime+publishInterval
	if !slices.Equal(ids, m.members[0].record.Links) {
		m.updateAdjacency(0, m.members[0].record.Links, ids)
		m.members[0].record.Links = ids
		m.bumpRecord()
	}
}

// containsAll reports whether ids, in ascending order, contains all of others.
func containsAll(ids, others []ID) bool {
	for _, id := range others {
		if _, found := slices.BinarySearch(ids, id); !found {
			return false
		}
	}
	return true
}

// link is a link to a member, wanted by the rings of this node or of the member.
type link struct {
	member                         int32
	wanted, silent                 bool // the rings of this node need it; without an answer for half of the link timeout
	up                             bool // a ping sent within Config.LinkTimeout was answered
	wasLost                        bool // it went down and has not come up since
	openedAt                       int64
	keepUntil                      int64 // until then it stays open although the rings do not want it
	confirmedAt                    int64 // when the last answered ping was sent
	peerWantedAt                   int64 // when the member last sent a ping with LinkWanted set
	nextPingAt, nextProbeAt        int64 // when the next ping is due; when the next one is due if the last is answered
	roundTrip                      int64 // smoothed, in ns; a ping is resent only after twice this time
	pingSeq                        uint32
	pingsSent                      [pingHistory]int64
	digestDiffersSince, lastSyncAt int64
	queuedRecords, nextQueued      int // records queued; index of the member whose record is next in turn
	nextGossipAt                   int64
}

// applyAck handles the answer to a ping of a link or to a ping to a lost member.
func (m *Members) applyAck(i int32, seq uint32) {
	peer := &m.members[i]
	if peer.linkIndex >= 0 && m.links[peer.linkIndex].expects(seq) {
		m.confirmLink(&m.links[peer.linkIndex], peer, seq)
		return
	}
	for k := range m.reconnects {
		if m.reconnects[k].id == peer.id && m.reconnects[k].seq == seq {
			m.reconnects[k].id = 0
			peer.onRingsUntil = m.unpausedTime + 2*m.config.LinkTimeout
			m.ringsDirty = true
			if m.syncExchangeID == 0 {
				m.startSync(peer.record.Address)
			}
			return
		}
	}
	m.Counters.UnmatchedMessages++
}

// expects reports whether a sequence number belongs to one of the last pings of the link.
func (l *link) expects(seq uint32) bool {
	age := l.pingSeq - seq
	return age < pingHistory && l.pingsSent[seq%pingHistory] > 0 && seq&reconnectSeqBit == 0
}

// confirmLink records that the ping with a sequence number was answered, and marks the link as up if that ping is recent.
func (m *Members) confirmLink(l *link, peer *member, seq uint32) {
	sent := l.pingsSent[seq%pingHistory]
	l.confirmedAt = max(l.confirmedAt, sent)
	if seq == l.pingSeq { // the answer to an older ping can be late because of a pause, so it is not used as a round trip
		l.addRoundTrip(min(m.unpausedTime-sent, m.config.ProbeInterval))
		l.nextPingAt = l.nextProbeAt
	}
	if l.up || m.unpausedTime-l.confirmedAt > m.config.LinkTimeout {
		return
	}
	l.up = true
	m.linksDirty = true
	m.publishAt = min(m.publishAt, m.publishedAt+publishInterval)
	if l.wasLost || peer.inView && !peer.reachable {
		l.wasLost = false
		m.linkRegained = true
		m.publishAt = min(m.publishAt, m.publishedAt+regainedPublishInterval)
	}
}

// addRoundTrip adds a sample, in ns, to the smoothed round trip.
func (l *link) addRoundTrip(sample int64) {
	if l.roundTrip == 0 {
		l.roundTrip = sample
	} else {
		l.roundTrip += (sample - l.roundTrip) / roundTripSmoothing
	}
}
