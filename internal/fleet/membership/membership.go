package membership

import (
	"fmt"
	"math/rand"

	"topazpost/internal/invariant"
)

// Members is the membership state of one node. Its time does not advance while the process is paused, so that no link goes
// down because of the pause. Times of its fields and members are in unpausedTime unless stated otherwise.
type Members struct {
	Invariants invariant.Checker
	Counters   Counters

	config                   Config
	random                   *rand.Rand
	unpausedTime, pausedTime int64 // ns of the monotonic clock without pauses of this process; ns in such pauses
	wakeAt                   int64 // the wake that Step last returned, by the caller's clock
	members                  []member
	free                     []int32 // unused indices of members
	byID                     map[ID]int32
	links                    [maxLinks]link // unused where link.member < 0
	queuedOn                 []uint32       // by member: bits of the links on which its record is queued
	resendOn                 []uint32       // by member: bits of the links on which the record is sent once more after that
	adjacency                []adjacency    // by member
	lastTraversal            []uint32       // by member: number of the last traversal that reached it
	traversal                uint32         // number of the last traversal
	settled                  []bool         // by member: the last update found it alive and undamped, or the entry unused; until it changes, updates skip it
	inRings                  []bool         // by member: listed in ringOrder
	ringOrder                [ringCount][]int32
	ringsStale               bool    // ringOrder lists removed members
	ringJoiners              []int32 // members that updateRingOrders adds, reused
	effects                  []Effect
	lastSummarizedIn         []uint32 // by member: number of the last sync request that listed it
	syncRequestNumber        uint32
	stack                    []int32 // members that traverse has yet to visit, reused
	digest                   uint64  // hash over the records of members with inDigest set; equal for equal sets of them
	viewHash                 uint64  // hash over the names and start times of the members in the view
	viewNumber               uint64
	viewSize                 int
	isolated                 bool
	yieldUntil               int64 // until then this node stays outside the fleet, because another node uses its name
	lastExchangeID           int

	ringsDirty, viewDirty, linksDirty                    bool
	linkRegained                                         bool // a lost link, or one to an unreachable member of the view, came up and is not published yet
	nextRingsAt, publishAt, publishedAt                  int64
	nextTraversalAt, nextViewAt                          int64
	nextReconnectAt, nextJoinAt, nextSeedAt, joinBackoff int64
	syncExchangeID                                       int // the table exchange in progress, 0 for none
	lastSyncStart                                        int64
	lastNewRecordAt                                      int64 // when the last new record came
	deferralStartedAt                                    int64 // when gossip was last quiet, or an exchange with a peer whose table differs last started
	reconnects                                           [maxReconnects]struct {
		id  ID
		seq uint32
	}
	reconnectSeq      uint32
	reconnectPosition int
	seedIndex         int // the seed contacted last; the first is drawn at random
	joinAttempts      int // requests to seeds while no link is up
}

// New returns the state of a node that starts at now, in ns of a monotonic clock; wall is the Unix time in ns.
// StoredIncarnation is the last incarnation stored on disk, 0 for none. The seed determines the random choices.
func New(config Config, now, wall int64, storedIncarnation uint64, seed int64) *Members {
	m := &Members{config: config, random: rand.New(rand.NewSource(seed)), byID: map[ID]int32{}, unpausedTime: now, joinBackoff: joinInterval, traversal: 1}
	m.config.MaxMembers = min(config.MaxMembers, maxTableSize)
	for k := range m.links {
		m.links[k].member = -1
	}
	self := Record{Name: config.Name, Address: config.Address, StartedAt: wall, Incarnation: max(uint64(max(wall, 1)), storedIncarnation+1),
		Facts: Facts{Version: config.Version, Zone: config.Zone}}
	m.addMember(&self)
	m.members[0].inView, m.members[0].everInView, m.viewSize, m.viewHash = true, true, 1, m.members[0].startHash()
	m.nextJoinAt, m.seedIndex = now+m.jitter(joinInterval/2), m.random.Intn(len(config.Seeds)+1)
	m.nextReconnectAt, m.nextSeedAt = now+m.jitter(reconnectInterval), now+m.jitter(joinInterval)
	return m
}

// jitter returns a random time between half of ns and one and a half of it.
func (m *Members) jitter(ns int64) int64 { return ns/2 + m.random.Int63n(max(1, ns)) }

// mixHash combines two hashes.
func mixHash(a, b uint64) uint64 {
	x := a*0x9e3779b97f4a7c15 + b
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

func (m *Members) emit(e Effect) { m.effects = append(m.effects, e) }

func (m *Members) log(warn bool, format string, args ...any) {
	m.emit(Effect{Kind: WriteLog, Warn: warn, Text: fmt.Sprintf(format, args...)})
}

func (m *Members) send(to string, msg *Message) {
	msg.From, msg.Digest = m.members[0].id, m.digest
	m.Counters.Sent++
	m.emit(Effect{Kind: Send, To: to, Message: *msg})
}

// Step applies inputs at now, in ns of a monotonic clock; wall is the Unix time in ns. The effects are valid until the next
// step. Step must be called again at wake at the latest.
func (m *Members) Step(now, wall int64, inputs []Input) (effects []Effect, wake int64) {
	clear(m.effects) // releases the slices of the messages
	if m.effects = m.effects[:0]; cap(m.effects) > retainedEffects {
		m.effects = nil
	}
	pausedFor := int64(0)
	if m.wakeAt > 0 && now-m.wakeAt > minPause {
		pausedFor = now - m.wakeAt
		m.pausedTime += pausedFor
		m.Counters.Pauses++
	}
	m.Invariants.Check(now-m.pausedTime >= m.unpausedTime, "the time without pauses does not go back")
	m.unpausedTime = max(m.unpausedTime, now-m.pausedTime)
	if pausedFor > m.config.LinkTimeout/4 {
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
	m.wakeAt = now + max(1, m.nextDue()-m.unpausedTime)
	return m.effects, m.wakeAt
}

// probeAllLinks makes pings due on all links. After a pause of this process, they tell the peers early that it runs again.
func (m *Members) probeAllLinks() {
	for k := range m.links {
		if l := &m.links[k]; l.member >= 0 {
			l.nextPingAt, l.nextProbeAt = m.unpausedTime, m.unpausedTime
		}
	}
}

// apply applies one input.
func (m *Members) apply(in *Input) {
	switch in.Kind {
	case DatagramReceived:
		if in.Message.From != m.members[0].id && m.unpausedTime >= m.yieldUntil {
			m.applyDatagram(in.Message)
		}
	case ExchangeOpened:
		m.answerSync(in.ExchangeID, in.Message)
	case ExchangeAnswered:
		if in.ExchangeID == m.syncExchangeID {
			m.syncExchangeID = 0
		}
		m.applySyncAnswer(in.Message)
	case ExchangeFailed:
		if in.ExchangeID == m.syncExchangeID {
			m.syncExchangeID = 0
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
			m.queueRecord(0, -1) // announced again, since datagrams can be lost
		}
		for k := range m.links {
			m.links[k].nextGossipAt = m.unpausedTime
		}
	}
}

// applyDatagram applies the records of a datagram, answers a ping or handles an ack, and compares the digests.
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
		if msg.LinkWanted && !m.members[0].record.Left {
			if peer.linkIndex < 0 {
				m.openLink(i)
			}
			if peer.linkIndex >= 0 {
				m.links[peer.linkIndex].peerWantedAt = m.unpausedTime
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
			l.digestDiffersSince = m.unpausedTime
		}
	}
}

// nextDue returns the time at which the next action is due, in the time of this node without pauses.
func (m *Members) nextDue() int64 {
	at := m.unpausedTime + reconnectInterval
	if m.members[0].record.Left {
		return m.unpausedTime + gossipInterval
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
			at = min(at, l.confirmedAt+m.config.LinkTimeout+1)
		}
		if l.queuedRecords > 0 {
			at = min(at, l.nextGossipAt)
		}
	}
	if m.linksUp() == 0 && len(m.config.Seeds) > 0 {
		at = min(at, m.nextJoinAt)
	}
	return max(at, m.unpausedTime+1)
}
