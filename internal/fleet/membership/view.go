package membership

import (
	"cmp"
	"slices"

	"topazpost/internal/invariant"
)

// traverse finds whom a path of links leads to: links that both ends tell of, from this node on.
func (m *Members) traverse() {
	last := m.traversal
	m.traversal++
	m.lastTraversal[0], m.members[0].reachable = m.traversal, true
	m.stack = append(m.stack[:0], 0)
	for len(m.stack) > 0 {
		i := m.stack[len(m.stack)-1]
		m.stack = m.stack[:len(m.stack)-1]
		for _, j := range m.neighboursOf(i) {
			if m.lastTraversal[j] == m.traversal || m.adjacency[j].left {
				continue
			}
			if m.lastTraversal[j] != last {
				peer := &m.members[j]
				peer.reachable, peer.unreachableSince, m.settled[j] = true, 0, false
			}
			m.lastTraversal[j] = m.traversal
			m.stack = append(m.stack, int32(j))
		}
	}
	for i, at := range m.lastTraversal {
		if at != last {
			continue
		}
		peer := &m.members[i]
		if peer.reachable, m.settled[i] = false, false; peer.inView && peer.unreachableSince == 0 {
			peer.unreachableSince = m.ownTime
		}
	}
	if invariant.Debug {
		m.checkAdjacency()
	}
}

// neighboursOf are those with whom a member has a link that both ends tell of.
func (m *Members) neighboursOf(i int32) []uint16 {
	n := &m.adjacency[i]
	return n.neighbours[:n.count]
}

// updateAdjacency has the links that both ends tell of follow a member's record, whose links were others before, and notes
// whose word a loss rests on: of those that a member had a link to and has no more.
func (m *Members) updateAdjacency(i int32, before, after []ID) {
	self := m.members[i].id
	for _, id := range before {
		if containsID(after, id) {
			continue
		}
		if j, known := m.byID[id]; known {
			if i > 0 { // its own are lost by its own word, said where that is noticed
				m.members[j].lossReportedBy = self
			}
			if m.removeAdjacency(i, j) {
				m.removeAdjacency(j, i)
			}
		}
	}
	for _, id := range after {
		if containsID(before, id) || !containsID(after, id) {
			continue
		}
		if j, known := m.byID[id]; known && j != i && containsID(m.members[j].record.Links, self) && !slices.Contains(m.neighboursOf(i), uint16(j)) {
			m.adjacency[i].add(j)
			m.adjacency[j].add(i)
		}
	}
}

// add takes a member up among those that another is linked with: one for each id of its record at the most.
func (n *adjacency) add(j int32) {
	n.neighbours[n.count] = uint16(j)
	n.count++
}

// removeAdjacency takes a member out of them, and says whether it was one.
func (m *Members) removeAdjacency(i, j int32) bool {
	n := &m.adjacency[i]
	at := slices.Index(m.neighboursOf(i), uint16(j))
	if at < 0 {
		return false
	}
	n.count--
	n.neighbours[at] = n.neighbours[n.count]
	return true
}

// containsID says whether an id is among the links of a record.
func containsID(links []ID, id ID) bool {
	_, found := slices.BinarySearch(links, id)
	return found
}

// checkAdjacency holds the links that are kept against those of the records.
func (m *Members) checkAdjacency() {
	for i := range m.members {
		b, n, kept := &m.members[i], 0, m.neighboursOf(int32(i))
		m.Invariants.Check(i == 0 || m.adjacency[i].left == b.record.Left && b.reachable == (m.lastTraversal[i] == m.traversal), "what is followed is as the records are")
		if b.record.Name == "" {
			m.Invariants.Check(len(kept) == 0, "nobody is linked with the forgotten")
			continue
		}
		for j := range m.members {
			if o := &m.members[j]; i != j && o.record.Name != "" && containsID(b.record.Links, o.id) && containsID(o.record.Links, b.id) {
				n++
				m.Invariants.Check(slices.Contains(kept, uint16(j)), "a link that both ends tell of is kept")
			}
		}
		m.Invariants.Check(n == len(kept), "a link is kept only where both ends tell of it")
	}
}

// updateView lets the view follow what is reached: those that come at once, those that are lost once that has lasted.
// A node without any link doubts itself, and not all others.
func (m *Members) updateView() {
	alone := m.viewSize > 1 && m.linksUp() == 0 && !m.members[0].record.Left
	followed := m.viewDirty && m.ownTime >= m.nextTraversalAt
	if !followed && alone == m.isolated && m.ownTime < m.nextViewAt {
		return
	}
	if followed {
		m.viewDirty, m.nextTraversalAt = false, m.ownTime+traversalInterval
		m.traverse()
	}
	if alone != m.isolated {
		m.isolated = alone
		m.emitChange(map[bool]Cause{true: Isolated, false: Reconnected}[alone], &m.members[0], m.members[0].record.Incarnation, m.config.Name, 0)
	}
	m.nextViewAt = m.ownTime + viewInterval
	for i := 1; i < len(m.members); i++ {
		if m.settled[i] {
			continue
		}
		peer := &m.members[i]
		if peer.record.Name == "" {
			m.settled[i] = true
			continue
		}
		switch {
		case peer.inView && peer.record.Left:
			m.leaveView(peer, Departed)
		case peer.inView && !peer.reachable && m.isolated:
			peer.unreachableSince = m.ownTime // counted anew once this node hears again
			m.setStatus(peer, Suspect)
		case peer.inView && !peer.reachable && peer.record.Facts.Beat > 0:
			m.leaveView(peer, Departed)
		case peer.inView && !peer.reachable && m.ownTime >= max(peer.unreachableSince+m.config.SuspicionTimeout, peer.reachGraceUntil):
			peer.flaps = min(peer.flaps+1, maxFlaps)
			peer.lastFlapAt = m.ownTime
			m.leaveView(peer, Lost)
		case peer.inView && !peer.reachable:
			m.setStatus(peer, Suspect)
			m.nextViewAt = min(m.nextViewAt, max(peer.unreachableSince+m.config.SuspicionTimeout, peer.reachGraceUntil))
		case peer.inView:
			if peer.flaps > 0 && m.ownTime-peer.lastFlapAt > flapDecayTime {
				peer.flaps = 0
			}
			m.setStatus(peer, Alive)
			m.settled[i] = peer.flaps == 0
		case peer.reachable && !peer.record.Left && m.ownTime >= m.flapDampedUntil(peer):
			m.enterView(peer)
		case peer.reachable && !peer.record.Left:
			m.nextViewAt = min(m.nextViewAt, m.flapDampedUntil(peer))
		case peer.inDigest && m.ownTime-peer.outOfViewSince > digestRetention:
			m.digest ^= peer.recordHash()
			peer.inDigest = false
		case m.ownTime-peer.outOfViewSince > m.config.ForgetTimeout:
			m.forgetMember(int32(i))
		}
	}
}

// flapDampedUntil is when a member that is reached again may be in the view again. Guards against one that comes and goes
// with its links; does harm to one that is restarted again and again, which is seen later by some seconds.
func (m *Members) flapDampedUntil(peer *member) int64 {
	if peer.flaps <= 1 {
		return 0
	}
	return peer.lastFlapAt + reconnectInterval<<(peer.flaps-2)
}

func (m *Members) setStatus(peer *member, s Status) {
	if peer.status != s {
		peer.status, peer.statusSince = s, m.ownTime
	}
}

func (m *Members) enterView(peer *member) {
	cause := Joined
	if peer.everInView {
		cause = Returned
	}
	peer.inView, peer.everInView = true, true
	m.viewSize++
	m.viewHash ^= peer.incarnationHash()
	if !peer.inDigest {
		peer.inDigest = true
		m.digest ^= peer.recordHash()
	}
	peer.status, peer.statusSince = Alive, m.ownTime
	m.ringsDirty = true
	m.emitChange(cause, peer, peer.record.Incarnation, "", 0)
}

func (m *Members) leaveView(peer *member, cause Cause) {
	peer.inView, peer.outOfViewSince, peer.watchUntil = false, m.ownTime, 0
	m.viewSize--
	m.viewHash ^= peer.incarnationHash()
	m.setStatus(peer, map[bool]Status{true: Left, false: Dead}[cause == Departed])
	after := int64(0)
	if peer.unreachableSince > 0 {
		after = m.ownTime - peer.unreachableSince + m.config.LinkTimeout
	}
	word := peer.record.Name
	if cause == Lost {
		word = ""
		if i, known := m.byID[peer.lossReportedBy]; known {
			word = m.members[i].record.Name
		}
	}
	m.ringsDirty = true
	m.emitChange(cause, peer, peer.record.Incarnation, word, after)
}

func (m *Members) emitChange(cause Cause, peer *member, inc uint64, word string, after int64) {
	m.viewNumber++
	m.Counters.Views++
	if invariant.Debug {
		m.Invariants.Check(m.viewHash == m.View().Hash, "the hash is that of the view")
	}
	m.emit(Effect{Kind: ViewChanged, Change: Change{Number: m.viewNumber, Cause: cause, Who: peer.record.Name, Incarnation: inc, ReportedBy: word,
		After: after, Size: m.viewSize, Hash: m.viewHash}})
}

// findPeers looks for those with whom there is no link: seeds, the lost, and neighbours whose table stays different.
func (m *Members) findPeers() {
	if m.members[0].record.Left {
		return
	}
	up := m.linksUp()
	if up == 0 && m.ownTime >= m.nextJoinAt {
		m.nextJoinAt = m.ownTime + m.jitter(m.joinBackoff)
		if m.seedsTried++; m.seedsTried%max(1, len(m.config.Seeds)) == 0 { // all were asked in vain
			m.joinBackoff = min(2*m.joinBackoff, maxJoinBackoff)
		}
		m.syncWithSeed(false)
	} else if up > 0 {
		m.joinBackoff = joinInterval
		m.nextJoinAt = max(m.nextJoinAt, m.ownTime+joinInterval/2)
		if m.ownTime >= m.nextSeedAt { // a part of the fleet that grew from another seed is found so
			m.nextSeedAt = m.ownTime + m.jitter(2*maxJoinBackoff)
			m.syncWithSeed(true)
		}
	}
	if m.ownTime >= m.nextReconnectAt {
		m.nextReconnectAt = m.ownTime + reconnectInterval
		m.reconnect()
	}
	if m.syncLink != 0 && m.ownTime >= m.lastSyncStart+syncInterval {
		m.syncLink = 0
	}
	if m.ownTime-m.lastNewsAt >= syncQuietTime {
		m.newsQuietAt = m.ownTime
	}
	if m.syncLink == 0 && m.ownTime >= m.lastSyncStart && (m.newsQuietAt == m.ownTime || m.ownTime-m.newsQuietAt >= maxSyncDeferral) {
		for k := range m.links {
			l := &m.links[k]
			if l.member >= 0 && l.up && l.digestDiffersSince > 0 && m.ownTime-l.digestDiffersSince >= syncDelay && m.ownTime-l.lastSyncAt >= syncInterval {
				l.lastSyncAt, l.digestDiffersSince, m.newsQuietAt = m.ownTime, 0, m.ownTime
				m.startSync(m.members[l.member].record.Address)
				break
			}
		}
	}
}

// syncWithSeed asks the next seed in turn for all that it knows; with strange, one that is in nobody's place of the view.
func (m *Members) syncWithSeed(strange bool) {
	seeds := m.config.Seeds
	for range seeds {
		m.seedIndex = (m.seedIndex + 1) % len(seeds)
		address := seeds[m.seedIndex]
		known := address == m.config.Address
		for i := range m.members {
			known = known || strange && m.members[i].inView && m.members[i].record.Address == address
		}
		if !known {
			m.startSync(address)
			return
		}
	}
}

// reconnect asks one of the lost whether it is there.
func (m *Members) reconnect() {
	for range m.members {
		m.reconnectPosition = (m.reconnectPosition + 1) % len(m.members)
		if m.settled[m.reconnectPosition] {
			continue
		}
		peer := &m.members[m.reconnectPosition]
		if peer.record.Name == "" || peer.inView || peer.record.Left || peer.linkIndex >= 0 || m.reconnectPosition == 0 {
			continue
		}
		m.reconnectSeq = (m.reconnectSeq + 1) | 1<<31
		m.reconnects[m.reconnectSeq%maxReconnects].id, m.reconnects[m.reconnectSeq%maxReconnects].seq = peer.id, m.reconnectSeq
		m.send(peer.record.Address, &Message{Kind: MessagePing, Seq: m.reconnectSeq, Records: m.ownRecord()})
		return
	}
}

// startSync opens an exchange: all heads, and this node's own record.
func (m *Members) startSync(to string) {
	m.lastLink++
	m.syncLink, m.lastSyncStart = m.lastLink, m.ownTime
	m.Counters.Exchanges++
	heads := make([]RecordSummary, 0, len(m.byID))
	for i := range m.members {
		if peer := &m.members[i]; peer.inDigest {
			heads = append(heads, RecordSummary{peer.id, peer.record.Incarnation, peer.record.RecordVersion})
		}
	}
	m.emit(Effect{Kind: Exchange, Link: m.lastLink, To: to, Message: Message{Kind: MessageSyncRequest, From: m.members[0].id,
		Records: m.ownRecord(), Heads: heads}})
}

func (m *Members) answerSync(link int, msg *Message) {
	answer := Message{Kind: MessageSyncAnswer, From: m.members[0].id}
	switch msg.Kind {
	case MessageSyncRequest:
		if why := m.rejectReason(msg); why != "" {
			m.Counters.Refused++
			m.log(true, "%s", why)
			m.emit(Effect{Kind: Reply, Link: link, Message: Message{Kind: MessageReject, From: m.members[0].id, Why: why}})
			return
		}
		m.stamp++
		for _, h := range msg.Heads {
			i, known := m.byID[h.ID]
			if !known {
				answer.Wanted = append(answer.Wanted, h.ID)
				continue
			}
			r := &m.members[i].record
			m.seenStamp[i] = m.stamp
			if theirs := (Record{Incarnation: h.Incarnation, RecordVersion: h.RecordVersion}); theirs.newer(r) {
				answer.Wanted = append(answer.Wanted, h.ID)
			} else if r.newer(&theirs) {
				answer.Records = append(answer.Records, *r)
			}
		}
		for i := range m.members {
			if peer := &m.members[i]; peer.inDigest && m.seenStamp[i] != m.stamp {
				answer.Records = append(answer.Records, peer.record)
			}
		}
		for k := range msg.Records {
			m.applyRecord(&msg.Records[k], -1)
		}
	case MessageSyncPush:
		for k := range msg.Records {
			m.applyRecord(&msg.Records[k], -1)
		}
	}
	m.emit(Effect{Kind: Reply, Link: link, Message: answer})
}

// rejectReason says why a node that asks is not taken: its name is held by one that lives at another address.
func (m *Members) rejectReason(msg *Message) string {
	if len(msg.Records) == 0 || !msg.Records[0].usable() {
		return ""
	}
	r := &msg.Records[0]
	i, known := m.byID[IDOf(r.Name)]
	if !known {
		return ""
	}
	held := &m.members[i]
	if held.record.Address == r.Address || !held.inView || held.record.Left || !held.reachable && i != 0 || r.StartedAt < held.record.StartedAt {
		return ""
	}
	return "the name " + r.Name + " is held by a node at " + held.record.Address + ", so the one at " + r.Address + " is refused"
}

func (m *Members) applySyncAnswer(msg *Message) {
	switch msg.Kind {
	case MessageReject:
		m.Counters.Refused++
		m.log(true, "refused: %s", msg.Why)
		m.joinBackoff = maxJoinBackoff
		return
	case MessageSyncAnswer:
	default:
		m.Counters.UnmatchedMessages++
		return
	}
	for k := range msg.Records {
		m.applyRecord(&msg.Records[k], -1)
	}
	if len(msg.Wanted) == 0 {
		return
	}
	push := Message{Kind: MessageSyncPush, From: m.members[0].id}
	for _, id := range msg.Wanted {
		if i, known := m.byID[id]; known && m.members[i].inDigest {
			push.Records = append(push.Records, m.members[i].record)
		}
	}
	if from, known := m.byID[msg.From]; known && len(push.Records) > 0 {
		m.lastLink++
		m.emit(Effect{Kind: Exchange, Link: m.lastLink, To: m.members[from].record.Address, Message: push})
	}
}

// nextDue is when the next thing is to be done, by this node's own time.
func (m *Members) nextDue() int64 {
	at := m.ownTime + reconnectInterval
	if m.members[0].record.Left {
		return m.ownTime + gossipInterval
	}
	if m.ringsDirty {
		at = min(at, m.nextRingsAt)
	}
	if m.linksDirty {
		at = min(at, m.publishAt)
	}
	at = min(at, m.nextViewAt)
	if m.viewDirty {
		at = min(at, m.nextTraversalAt)
	}
	for k := range m.links {
		l := &m.links[k]
		if l.member < 0 {
			continue
		}
		at = min(at, l.nextPingAt)
		if l.up {
			at = min(at, l.lastProofAt+m.config.LinkTimeout+1)
		}
		if l.owedRecords > 0 {
			at = min(at, l.nextGossipAt)
		}
	}
	if m.linksUp() == 0 && len(m.config.Seeds) > 0 {
		at = min(at, m.nextJoinAt)
	}
	return max(at, m.ownTime+1)
}

// View is who is there now. It is made anew at each call.
func (m *Members) View() View {
	v := View{Number: m.viewNumber, Alone: m.isolated}
	known := 0
	for i := range m.members {
		peer := &m.members[i]
		if peer.record.Name == "" || !peer.everInView {
			continue
		}
		s := MemberStatus{Name: peer.record.Name, Address: peer.record.Address, Status: peer.status, Reach: m.reachOf(int32(i)), Incarnation: peer.record.Incarnation,
			Facts: peer.record.Facts, Links: len(peer.record.Links), Since: m.ownTime - peer.statusSince, StartedAt: peer.record.StartedAt}
		v.Members = append(v.Members, s)
		if peer.inView {
			v.Hash ^= peer.incarnationHash()
		}
		if !peer.record.Left {
			known++
		}
	}
	v.Majority = !m.isolated && 2*m.viewSize > known
	slices.SortFunc(v.Members, func(a, peer MemberStatus) int { return cmp.Compare(a.Name, peer.Name) })
	return v
}

func (m *Members) reachOf(i int32) Reach {
	peer := &m.members[i]
	switch {
	case i == 0 || peer.linkIndex >= 0 && m.links[peer.linkIndex].up:
		return Direct
	case peer.inView && peer.reachable && !m.isolated:
		return Indirect
	}
	return Unreachable
}

// Hash tells views apart without making one: of names and lives.
func (m *Members) Hash() (hash uint64, size int) { return m.viewHash, m.viewSize }

// AddressOf is where a member hears its peers, false for one that is not known.
func (m *Members) AddressOf(name string) (string, bool) {
	if i, known := m.byID[IDOf(name)]; known {
		return m.members[i].record.Address, true
	}
	return "", false
}

// Self is this node's own record.
func (m *Members) Self() Record { return m.members[0].record }
