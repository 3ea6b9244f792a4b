package membership

import (
	"fmt"
	"math/rand"

	"topazpost/internal/invariant"
)

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

// adjacency is what following links needs of a member, in little room: all of them are gone over at each change.
type adjacency struct {
	neighbours [maxLinks]uint16 // those with whom it has a link of which both ends tell
	count      uint8
	left       bool
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

// Members is one node's state. Its own time stands still while its process does: what it did not see in a pause
// accuses nobody.
type Members struct {
	Invariants invariant.Checker
	Counters   Counters

	config              Config
	chance              *rand.Rand
	ownTime, pausedTime int64
	wakeAt              int64 // as last told, by the caller's clock
	members             []member
	free                []int32
	byID                map[ID]int32
	links               [maxLinks]link // member < 0 where free
	owed                []uint32       // by member: a bit for each link on which its record is still to be sent
	owedTwice           []uint32       // by member: on which it is to be sent once more after that
	adjacency           []adjacency    // by member
	lastTraversal       []uint32       // by member: the follow, by its number, that led to it last
	traversal           uint32
	settled             []bool // by member: alive in the view or no member, and unchanged since it was looked at: nothing is due
	inRings             []bool // by member: in the orders of the rings
	ringOrder           [ringCount][]int32
	ringsStale          bool // one of the orders was forgotten
	ringJoiners         []int32
	effects             []Effect
	seenStamp           []uint32 // by member, stamp of the last look
	stamp               uint32
	stack               []int32
	digest              uint64
	viewHash            uint64 // of the view: of the names and lives in it
	viewNumber          uint64
	viewSize            int
	isolated            bool
	refusedUntil        int64 // until which this node keeps away, for its name is held
	lastLink            int

	ringsDirty, viewDirty, linksDirty                    bool
	linkRegained                                         bool // a link that was lost, or one to a member to which no path leads, is not told of yet
	nextRingsAt, publishAt, publishedAt                  int64
	nextTraversalAt, nextViewAt                          int64
	nextReconnectAt, nextJoinAt, nextSeedAt, joinBackoff int64
	syncLink                                             int // link of the exchange that is under way
	lastSyncStart                                        int64
	lastNewsAt                                           int64 // when a record last was news
	newsQuietAt                                          int64 // when news last rested, or a table was asked for in spite of them
	reconnects                                           [maxReconnects]struct {
		id  ID
		seq uint32
	}
	reconnectSeq      uint32
	reconnectPosition int
	seedIndex         int // the last that was asked, from a drawn one on
	seedsTried        int // seeds asked in a row in vain
}

// New starts a node. Wall is Unix time in nanoseconds, kept the incarnation of its last life where a disk kept it.
func New(config Config, now, wall int64, kept uint64, seed int64) *Members {
	m := &Members{config: config, chance: rand.New(rand.NewSource(seed)), byID: map[ID]int32{}, ownTime: now, joinBackoff: joinInterval, traversal: 1}
	m.config.MaxMembers = min(config.MaxMembers, maxTableSize)
	for k := range m.links {
		m.links[k].member = -1
	}
	self := Record{Name: config.Name, Address: config.Address, StartedAt: wall, Incarnation: max(uint64(max(wall, 1)), kept+1),
		Facts: Facts{Version: config.Version, Zone: config.Zone}}
	m.addMember(&self)
	m.members[0].inView, m.members[0].everInView, m.viewSize, m.viewHash = true, true, 1, m.members[0].incarnationHash()
	m.nextJoinAt, m.seedIndex = now+m.jitter(joinInterval/2), m.chance.Intn(len(config.Seeds)+1)
	m.nextReconnectAt, m.nextSeedAt = now+m.jitter(reconnectInterval), now+m.jitter(joinInterval)
	return m
}

func (m *Members) jitter(ns int64) int64 { return ns/2 + m.chance.Int63n(max(1, ns)) }

func mixHash(a, b uint64) uint64 {
	x := a*0x9e3779b97f4a7c15 + b
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// ringKey is a member's place in an order of the fleet.
func (m *member) ringKey(ring int) uint64 { return mixHash(uint64(m.id), uint64(ring)) }

// incarnationHash is a member's part in the hash of views.
func (b *member) incarnationHash() uint64 { return mixHash(uint64(b.id), uint64(b.record.StartedAt)) }

func (b *member) recordHash() uint64 {
	return mixHash(mixHash(uint64(b.id), b.record.Incarnation), uint64(b.record.RecordVersion))
}

func (m *Members) emit(e Effect) { m.effects = append(m.effects, e) }

func (m *Members) log(warn bool, form string, args ...any) {
	m.emit(Effect{Kind: WriteLog, Warn: warn, Text: fmt.Sprintf(form, args...)})
}

func (m *Members) send(to string, msg *Message) {
	msg.From, msg.Digest = m.members[0].id, m.digest
	m.Counters.Sent++
	m.emit(Effect{Kind: Send, To: to, Message: *msg})
}

// Step takes what happened up to now, by a clock that only advances, with wall its Unix time in nanoseconds. The
// effects are valid until the next step; wake is when it is to step again at the latest.
func (m *Members) Step(now, wall int64, inputs []Input) (effects []Effect, wake int64) {
	clear(m.effects) // what the messages held
	if m.effects = m.effects[:0]; cap(m.effects) > retainedEffects {
		m.effects = nil
	}
	stood := int64(0)
	if m.wakeAt > 0 && now-m.wakeAt > minPause {
		stood = now - m.wakeAt
		m.pausedTime += stood
		m.Counters.Pauses++
	}
	m.Invariants.Check(now-m.pausedTime >= m.ownTime, "its own time only advances")
	m.ownTime = max(m.ownTime, now-m.pausedTime)
	if stood > m.config.LinkTimeout/4 {
		m.probeAllLinks()
	}
	for i := range inputs {
		m.apply(&inputs[i])
	}
	m.updateRings()
	m.probeLinks()
	m.publishLinks()
	m.updateView()
	m.sendGossip()
	m.findPeers()
	m.wakeAt = now + max(1, m.nextDue()-m.ownTime)
	return m.effects, m.wakeAt
}

// probeAllLinks answers for a pause of this process: all whom it watches are asked at once, so that they hear of it.
func (m *Members) probeAllLinks() {
	for k := range m.links {
		if l := &m.links[k]; l.member >= 0 {
			l.nextPingAt, l.nextProbeAt = m.ownTime, m.ownTime
		}
	}
}

func (m *Members) apply(in *Input) {
	switch in.Kind {
	case DatagramReceived:
		if in.Message.From != m.members[0].id && m.ownTime >= m.refusedUntil {
			m.applyDatagram(in.Message)
		}
	case ExchangeOpened:
		m.answerSync(in.Link, in.Message)
	case ExchangeAnswered:
		if in.Link == m.syncLink {
			m.syncLink = 0
		}
		m.applySyncAnswer(in.Message)
	case ExchangeFailed:
		if in.Link == m.syncLink {
			m.syncLink = 0
		}
	case FactsChanged:
		if self := &m.members[0].record; self.Facts != in.Facts {
			self.Facts = in.Facts
			self.Facts.Zone, self.Facts.Version = m.config.Zone, m.config.Version
			m.bumpRecord()
		}
	case Leaving:
		if self := &m.members[0].record; !self.Left {
			self.Left = true
			m.bumpRecord()
		} else {
			m.queueRecord(0, -1)
		}
		for k := range m.links {
			m.links[k].nextGossipAt = m.ownTime
		}
	}
}

// bumpRecord gives this node's record another version and sends it round.
func (m *Members) bumpRecord() {
	m.digest ^= m.members[0].recordHash()
	m.members[0].record.RecordVersion++
	m.digest ^= m.members[0].recordHash()
	m.viewDirty = true
	m.queueRecord(0, -1)
}

func (m *Members) applyDatagram(msg *Message) {
	i, known := m.byID[msg.From]
	for k := range msg.Records {
		from := int8(-1)
		if known {
			from = m.members[i].linkIndex
		}
		m.applyRecord(&msg.Records[k], from)
	}
	if i, known = m.byID[msg.From]; !known {
		m.Counters.UnmatchedMessages++
		return
	}
	peer := &m.members[i]
	switch msg.Kind {
	case MessagePing:
		if msg.Neighbour && !m.members[0].record.Left {
			if peer.linkIndex < 0 {
				m.openLink(i)
			}
			if peer.linkIndex >= 0 {
				m.links[peer.linkIndex].watchedAt = m.ownTime
			}
		}
		m.send(peer.record.Address, &Message{Kind: MessageAck, Seq: msg.Seq})
	case MessageAck:
		m.applyAck(i, msg.Seq)
	}
	if peer := &m.members[i]; peer.linkIndex >= 0 {
		if l := &m.links[peer.linkIndex]; msg.Digest == m.digest {
			l.digestDiffersSince = 0
		} else if l.digestDiffersSince == 0 {
			l.digestDiffersSince = m.ownTime
		}
	}
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
