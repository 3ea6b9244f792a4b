package membership

import (
	"fmt"
	"math/rand"

	"topazpost/internal/invariant"
)

// member is what is kept of one; index 0 is this node.
type member struct {
	rec     Record
	id      ID
	link    int8 // its place in links, -1 without one
	in      bool // the view
	counted bool // its record is part of what tables are compared by
	reached bool // a path of links leads to it
	was     bool // in the view at some time
	word    ID   // whose link to it went last
	lost    int64
	grace   int64 // until which a new life need not be reached
	out     int64 // when it left the view or became known, whichever came last
	hope    int64 // until which one outside the view is watched all the same
	falls   int
	fell    int64
	status  Status
	since   int64 // of its status
}

// near is what following links needs of a member, in little room: all of them are gone over at each change.
type near struct {
	at   [linksMost]uint16 // those with whom it has a link of which both ends tell
	n    uint8
	left bool
}

// link is one to a member that this node watches, or that watches this node.
type link struct {
	member         int32
	wanted, doubt  bool
	up             bool // an answer came within the config's Silence
	lost           bool // it was up before
	asked          int64
	linger         int64 // until which it is kept although not wanted
	proof          int64 // when the last ping that was answered was sent
	heard          int64 // when it last pinged as one that watches
	next, probe    int64 // when the next ping is due at the earliest; when it is even if all were answered
	trip           int64 // ns of a round trip, smoothed: no ping is sent again before its answer can be there
	seq            uint32
	sent           [sentKept]int64
	differ, healed int64
	owing, from    int // records that are owed; the member after the one sent last
	newsAt         int64
}

// Members is one node's state. Its own time stands still while its process does: what it did not see in a pause
// accuses nobody.
type Members struct {
	Invariants invariant.Checker
	Counters   Counters

	config   Config
	chance   *rand.Rand
	t, slip  int64
	wake     int64 // as last told, by the caller's clock
	members  []member
	free     []int32
	byID     map[ID]int32
	links    [linksMost]link // member < 0 where free
	owed     []uint32        // by member: a bit for each link on which its record is still to be sent
	twice    []uint32        // by member: on which it is to be sent once more after that
	near     []near          // by member
	followed []uint32        // by member: the follow, by its number, that led to it last
	follows  uint32
	calm     []bool // by member: alive in the view or no member, and unchanged since it was looked at: nothing is due
	ringed   []bool // by member: in the orders of the rings
	order    [rings][]int32
	unringed bool // one of the orders was forgotten
	joined   []int32
	effects  []Effect
	mark     []uint32 // by member, stamp of the last look
	stamp    uint32
	stack    []int32
	digest   uint64
	hash     uint64 // of the view: of the names and lives in it
	number   uint64
	inView   int
	alone    bool
	refused  int64 // until which this node keeps away, for its name is held
	lastLink int

	dirtyRings, dirtyView, dirtySelf bool
	regained                         bool // a link that was lost, or one to a member to which no path leads, is not told of yet
	ringsAt, publishAt, published    int64
	followAt, viewAt                 int64
	knockAt, joinAt, seedAt, joinFor int64
	healing                          int // link of the exchange that is under way
	healAt                           int64
	learned                          int64 // when a record last was news
	rested                           int64 // when news last rested, or a table was asked for in spite of them
	knocks                           [knocksMost]struct {
		id  ID
		seq uint32
	}
	knockSeq uint32
	knockPos int
	seed     int // the last that was asked, from a drawn one on
	tried    int // seeds asked in a row in vain
}

// New starts a node. Wall is Unix time in nanoseconds, kept the incarnation of its last life where a disk kept it.
func New(config Config, now, wall int64, kept uint64, seed int64) *Members {
	m := &Members{config: config, chance: rand.New(rand.NewSource(seed)), byID: map[ID]int32{}, t: now, joinFor: joinEvery, follows: 1}
	m.config.MaxMembers = min(config.MaxMembers, tableMost)
	for k := range m.links {
		m.links[k].member = -1
	}
	self := Record{Name: config.Name, Address: config.Address, StartedAt: wall, Incarnation: max(uint64(max(wall, 1)), kept+1),
		Facts: Facts{Version: config.Version, Zone: config.Zone}}
	m.add(&self)
	m.members[0].in, m.members[0].was, m.inView, m.hash = true, true, 1, m.members[0].life()
	m.joinAt, m.seed = now+m.jitter(joinEvery/2), m.chance.Intn(len(config.Seeds)+1)
	m.knockAt, m.seedAt = now+m.jitter(knockEvery), now+m.jitter(joinEvery)
	return m
}

func (m *Members) jitter(ns int64) int64 { return ns/2 + m.chance.Int63n(max(1, ns)) }

func mix(a, b uint64) uint64 {
	x := a*0x9e3779b97f4a7c15 + b
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// key is a member's place in an order of the fleet.
func (b *member) key(ring int) uint64 { return mix(uint64(b.id), uint64(ring)) }

// life is a member's part in the hash of views.
func (b *member) life() uint64 { return mix(uint64(b.id), uint64(b.rec.StartedAt)) }

func (b *member) hash() uint64 {
	return mix(mix(uint64(b.id), b.rec.Incarnation), uint64(b.rec.RecordVersion))
}

func (m *Members) do(e Effect) { m.effects = append(m.effects, e) }

func (m *Members) remark(warn bool, form string, args ...any) {
	m.do(Effect{Kind: WriteLog, Warn: warn, Text: fmt.Sprintf(form, args...)})
}

func (m *Members) send(to string, msg *Message) {
	msg.From, msg.Digest = m.members[0].id, m.digest
	m.Counters.Sent++
	m.do(Effect{Kind: Send, To: to, Message: *msg})
}

// Step takes what happened up to now, by a clock that only advances, with wall its Unix time in nanoseconds. The
// effects are valid until the next step; wake is when it is to step again at the latest.
func (m *Members) Step(now, wall int64, inputs []Input) (effects []Effect, wake int64) {
	clear(m.effects) // what the messages held
	if m.effects = m.effects[:0]; cap(m.effects) > effectsKept {
		m.effects = nil
	}
	stood := int64(0)
	if m.wake > 0 && now-m.wake > gapLeast {
		stood = now - m.wake
		m.slip += stood
		m.Counters.Pauses++
	}
	m.Invariants.Check(now-m.slip >= m.t, "its own time only advances")
	m.t = max(m.t, now-m.slip)
	if stood > m.config.LinkTimeout/4 {
		m.hurry()
	}
	for i := range inputs {
		m.take(&inputs[i])
	}
	m.keepRings()
	m.keepLinks()
	m.publish()
	m.keepView()
	m.keepNews()
	m.keepTies()
	m.wake = now + max(1, m.due()-m.t)
	return m.effects, m.wake
}

// hurry answers for a pause of this process: all whom it watches are asked at once, so that they hear of it.
func (m *Members) hurry() {
	for k := range m.links {
		if l := &m.links[k]; l.member >= 0 {
			l.next, l.probe = m.t, m.t
		}
	}
}

func (m *Members) take(in *Input) {
	switch in.Kind {
	case DatagramReceived:
		if in.Message.From != m.members[0].id && m.t >= m.refused {
			m.came(in.Message)
		}
	case ExchangeOpened:
		m.asked(in.Link, in.Message)
	case ExchangeAnswered:
		if in.Link == m.healing {
			m.healing = 0
		}
		m.answered(in.Message)
	case ExchangeFailed:
		if in.Link == m.healing {
			m.healing = 0
		}
	case FactsChanged:
		if self := &m.members[0].rec; self.Facts != in.Facts {
			self.Facts = in.Facts
			self.Facts.Zone, self.Facts.Version = m.config.Zone, m.config.Version
			m.renew()
		}
	case Leaving:
		if self := &m.members[0].rec; !self.Left {
			self.Left = true
			m.renew()
		} else {
			m.spread(0, -1)
		}
		for k := range m.links {
			m.links[k].newsAt = m.t
		}
	}
}

// renew gives this node's record another version and sends it round.
func (m *Members) renew() {
	m.digest ^= m.members[0].hash()
	m.members[0].rec.RecordVersion++
	m.digest ^= m.members[0].hash()
	m.dirtyView = true
	m.spread(0, -1)
}

func (m *Members) came(msg *Message) {
	i, known := m.byID[msg.From]
	for k := range msg.Records {
		from := int8(-1)
		if known {
			from = m.members[i].link
		}
		m.learn(&msg.Records[k], from)
	}
	if i, known = m.byID[msg.From]; !known {
		m.Counters.UnmatchedMessages++
		return
	}
	b := &m.members[i]
	switch msg.Kind {
	case MessagePing:
		if msg.Neighbour && !m.members[0].rec.Left {
			if b.link < 0 {
				m.open(i)
			}
			if b.link >= 0 {
				m.links[b.link].heard = m.t
			}
		}
		m.send(b.rec.Address, &Message{Kind: MessageAck, Seq: msg.Seq})
	case MessageAck:
		m.acked(i, msg.Seq)
	}
	if b := &m.members[i]; b.link >= 0 {
		if l := &m.links[b.link]; msg.Digest == m.digest {
			l.differ = 0
		} else if l.differ == 0 {
			l.differ = m.t
		}
	}
}

// acked takes an answer to a ping: of a link, or of a knock at one that was lost.
func (m *Members) acked(i int32, seq uint32) {
	b := &m.members[i]
	if b.link >= 0 {
		l := &m.links[b.link]
		if age := l.seq - seq; age < sentKept && l.sent[seq%sentKept] > 0 && seq>>31 == 0 {
			sent := l.sent[seq%sentKept]
			l.proof = max(l.proof, sent)
			if seq == l.seq { // an answer to an earlier one tells of a pause, and not of the way
				if trip := min(m.t-sent, m.config.ProbeInterval); l.trip == 0 {
					l.trip = trip
				} else {
					l.trip += (trip - l.trip) / 8
				}
				l.next = l.probe
			}
			if !l.up && m.t-l.proof <= m.config.LinkTimeout {
				l.up, m.dirtySelf, m.publishAt = true, true, min(m.publishAt, m.published+publishEvery)
				if l.lost || b.in && !b.reached {
					l.lost, m.regained, m.publishAt = false, true, min(m.publishAt, m.published+regainsEvery)
				}
			}
			return
		}
	}
	for k := range m.knocks {
		if m.knocks[k].id == b.id && m.knocks[k].seq == seq {
			m.knocks[k].id = 0
			b.hope = m.t + 2*m.config.LinkTimeout
			m.dirtyRings = true
			if m.healing == 0 {
				m.ask(b.rec.Address)
			}
			return
		}
	}
	m.Counters.UnmatchedMessages++
}

// learn takes a record of a peer; from is the link that brought it, -1 for none.
func (m *Members) learn(r *Record, from int8) {
	if !r.usable() {
		m.Counters.Unusable++
		return
	}
	id := IDOf(r.Name)
	i, known := m.byID[id]
	if known && i == 0 {
		m.ofSelf(r)
		return
	}
	if !known {
		if i = m.add(r); i < 0 {
			m.Counters.Unusable++
			return
		}
	}
	cause, changed := Joined, false
	if known {
		b := &m.members[i]
		if from >= 0 && !b.rec.newer(r) { // it has this one already
			m.settleOwed(from, i)
		}
		if !r.newer(&b.rec) {
			return
		}
		m.relink(i, b.rec.Links, r.Links)
		if b.rec.StartedAt != r.StartedAt && b.in {
			b.grace = m.t + m.config.LinkTimeout + m.config.SuspicionTimeout
			b.since = m.t
			cause, changed = Replaced, true
		} else if b.rec.Facts.NoUse != r.Facts.NoUse && b.in {
			cause, changed = ExecutorRestored, true
			if r.Facts.NoUse {
				cause = ExecutorLost
			}
		}
		if b.counted {
			m.digest ^= b.hash()
		}
		if !b.in && r.Incarnation > b.rec.Incarnation {
			b.hope = m.t + m.config.LinkTimeout
		}
		if b.in {
			m.hash ^= b.life()
		}
		b.rec = *r
		m.near[i].left, m.calm[i] = r.Left, false
		if b.in {
			m.hash ^= b.life()
		}
	}
	b := &m.members[i]
	b.counted, m.learned = true, m.t
	if !b.in {
		b.out = m.t
	}
	m.digest ^= b.hash()
	m.dirtyView, m.dirtyRings = true, true
	if changed {
		m.changed(cause, b, r.Incarnation, b.rec.Name, 0)
	}
	m.spread(i, from)
}

// ofSelf answers for a record of this node's name that is newer than its own: of an earlier life whose clock was
// ahead, or of another node of that name. Of two that live the one that started later keeps away.
func (m *Members) ofSelf(r *Record) {
	self := &m.members[0].rec
	if !r.newer(self) {
		return
	}
	if r.Address != self.Address && r.StartedAt < self.StartedAt && m.up() > 0 {
		m.keepAway(r.Address)
		return
	}
	m.digest ^= m.members[0].hash()
	self.Incarnation, self.RecordVersion = r.Incarnation+1, 0
	m.digest ^= m.members[0].hash()
	m.dirtyView = true
	m.spread(0, -1)
}

// keepAway ends all ties of a node whose name is held by another, until its next try to join.
func (m *Members) keepAway(holder string) {
	m.Counters.Refused++
	m.remark(true, "the name %s is held by a node at %s that started earlier: this one keeps away; give it another name",
		m.config.Name, holder)
	for k := range m.links {
		if m.links[k].member >= 0 {
			m.close(int8(k))
		}
	}
	for i := 1; i < len(m.members); i++ {
		if m.members[i].rec.Name != "" {
			m.forget(int32(i))
		}
	}
	m.members[0].rec.Links = nil
	m.refused = m.t + joinMost
	m.joinAt, m.alone = m.refused, false
	m.dirtyRings, m.dirtyView, m.dirtySelf = true, true, false
}

// add keeps a member that was not known; -1 where the table is full of such as are in the view.
func (m *Members) add(r *Record) int32 {
	if len(m.byID) >= m.config.MaxMembers && len(m.members) > 0 {
		oldest := int32(-1)
		for i := range m.members {
			if b := &m.members[i]; i > 0 && b.rec.Name != "" && !b.in && (oldest < 0 || b.out < m.members[oldest].out) {
				oldest = int32(i)
			}
		}
		if oldest < 0 {
			return -1
		}
		m.forget(oldest)
	}
	i := int32(len(m.members))
	if n := len(m.free); n > 0 {
		i, m.free = m.free[n-1], m.free[:n-1]
	} else {
		m.members = append(m.members, member{})
		m.mark = append(m.mark, 0)
		m.owed, m.twice = append(m.owed, 0), append(m.twice, 0)
		m.near, m.followed = append(m.near, near{}), append(m.followed, 0)
		m.calm, m.ringed = append(m.calm, false), append(m.ringed, false)
	}
	m.near[i].left, m.followed[i], m.calm[i] = r.Left, 0, false
	b := &m.members[i]
	*b = member{rec: *r, id: IDOf(r.Name), link: -1, out: m.t, hope: m.t + m.config.LinkTimeout, since: m.t}
	m.byID[b.id] = i
	m.relink(i, nil, r.Links)
	if i == 0 {
		b.counted = true
		m.digest ^= b.hash()
	}
	for k := range m.links {
		if m.links[k].member >= 0 {
			m.settleOwed(int8(k), i)
		}
	}
	return i
}

func (m *Members) forget(i int32) {
	b := &m.members[i]
	if b.link >= 0 {
		m.close(b.link)
	}
	if b.counted {
		m.digest ^= b.hash()
	}
	if b.in {
		m.inView--
		m.hash ^= b.life()
	}
	for _, j := range m.linked(i) {
		m.unlink(int32(j), i)
	}
	m.near[i], m.followed[i], m.calm[i] = near{}, 0, false
	m.unringed, m.ringed[i] = m.unringed || m.ringed[i], false
	delete(m.byID, b.id)
	*b = member{link: -1}
	m.free = append(m.free, i)
	m.dirtyRings, m.dirtyView = true, true
}
