package membership

import (
	"cmp"
	"slices"

	"topazpost/internal/invariant"
)

// follow finds whom a path of links leads to: links that both ends tell of, from this node on.
func (m *Members) follow() {
	last := m.follows
	m.follows++
	m.followed[0], m.members[0].reached = m.follows, true
	m.stack = append(m.stack[:0], 0)
	for len(m.stack) > 0 {
		i := m.stack[len(m.stack)-1]
		m.stack = m.stack[:len(m.stack)-1]
		for _, j := range m.linked(i) {
			if m.followed[j] == m.follows || m.near[j].left {
				continue
			}
			if m.followed[j] != last {
				b := &m.members[j]
				b.reached, b.lost, m.calm[j] = true, 0, false
			}
			m.followed[j] = m.follows
			m.stack = append(m.stack, int32(j))
		}
	}
	for i, at := range m.followed {
		if at != last {
			continue
		}
		b := &m.members[i]
		if b.reached, m.calm[i] = false, false; b.in && b.lost == 0 {
			b.lost = m.t
		}
	}
	if invariant.Debug {
		m.checkNear()
	}
}

// linked are those with whom a member has a link that both ends tell of.
func (m *Members) linked(i int32) []uint16 {
	n := &m.near[i]
	return n.at[:n.n]
}

// relink has the links that both ends tell of follow a member's record, whose links were others before, and notes
// whose word a loss rests on: of those that a member had a link to and has no more.
func (m *Members) relink(i int32, before, after []ID) {
	self := m.members[i].id
	for _, id := range before {
		if tells(after, id) {
			continue
		}
		if j, known := m.byID[id]; known {
			if i > 0 { // its own are lost by its own word, said where that is noticed
				m.members[j].word = self
			}
			if m.unlink(i, j) {
				m.unlink(j, i)
			}
		}
	}
	for _, id := range after {
		if tells(before, id) || !tells(after, id) {
			continue
		}
		if j, known := m.byID[id]; known && j != i && tells(m.members[j].rec.Links, self) && !slices.Contains(m.linked(i), uint16(j)) {
			m.near[i].link(j)
			m.near[j].link(i)
		}
	}
}

// link takes a member up among those that another is linked with: one for each id of its record at the most.
func (n *near) link(j int32) {
	n.at[n.n] = uint16(j)
	n.n++
}

// unlink takes a member out of them, and says whether it was one.
func (m *Members) unlink(i, j int32) bool {
	n := &m.near[i]
	at := slices.Index(m.linked(i), uint16(j))
	if at < 0 {
		return false
	}
	n.n--
	n.at[at] = n.at[n.n]
	return true
}

// tells says whether an id is among the links of a record.
func tells(links []ID, id ID) bool {
	_, found := slices.BinarySearch(links, id)
	return found
}

// checkNear holds the links that are kept against those of the records.
func (m *Members) checkNear() {
	for i := range m.members {
		b, n, kept := &m.members[i], 0, m.linked(int32(i))
		m.Invariants.Check(i == 0 || m.near[i].left == b.rec.Left && b.reached == (m.followed[i] == m.follows), "what is followed is as the records are")
		if b.rec.Name == "" {
			m.Invariants.Check(len(kept) == 0, "nobody is linked with the forgotten")
			continue
		}
		for j := range m.members {
			if o := &m.members[j]; i != j && o.rec.Name != "" && tells(b.rec.Links, o.id) && tells(o.rec.Links, b.id) {
				n++
				m.Invariants.Check(slices.Contains(kept, uint16(j)), "a link that both ends tell of is kept")
			}
		}
		m.Invariants.Check(n == len(kept), "a link is kept only where both ends tell of it")
	}
}

// keepView lets the view follow what is reached: those that come at once, those that are lost once that has lasted.
// A node without any link doubts itself, and not all others.
func (m *Members) keepView() {
	alone := m.inView > 1 && m.up() == 0 && !m.members[0].rec.Left
	followed := m.dirtyView && m.t >= m.followAt
	if !followed && alone == m.alone && m.t < m.viewAt {
		return
	}
	if followed {
		m.dirtyView, m.followAt = false, m.t+followEvery
		m.follow()
	}
	if alone != m.alone {
		m.alone = alone
		m.changed(map[bool]Cause{true: Isolated, false: Reconnected}[alone], &m.members[0], m.members[0].rec.Incarnation, m.config.Name, 0)
	}
	m.viewAt = m.t + viewEvery
	for i := 1; i < len(m.members); i++ {
		if m.calm[i] {
			continue
		}
		b := &m.members[i]
		if b.rec.Name == "" {
			m.calm[i] = true
			continue
		}
		switch {
		case b.in && b.rec.Left:
			m.leave(b, Departed)
		case b.in && !b.reached && m.alone:
			b.lost = m.t // counted anew once this node hears again
			m.status(b, Suspect)
		case b.in && !b.reached && b.rec.Facts.Beat > 0:
			m.leave(b, Departed)
		case b.in && !b.reached && m.t >= max(b.lost+m.config.SuspicionTimeout, b.grace):
			b.falls = min(b.falls+1, fallsMost)
			b.fell = m.t
			m.leave(b, Lost)
		case b.in && !b.reached:
			m.status(b, Suspect)
			m.viewAt = min(m.viewAt, max(b.lost+m.config.SuspicionTimeout, b.grace))
		case b.in:
			if b.falls > 0 && m.t-b.fell > pardon {
				b.falls = 0
			}
			m.status(b, Alive)
			m.calm[i] = b.falls == 0
		case b.reached && !b.rec.Left && m.t >= m.backAt(b):
			m.enter(b)
		case b.reached && !b.rec.Left:
			m.viewAt = min(m.viewAt, m.backAt(b))
		case b.counted && m.t-b.out > coldAfter:
			m.digest ^= b.hash()
			b.counted = false
		case m.t-b.out > m.config.ForgetTimeout:
			m.forget(int32(i))
		}
	}
}

// backAt is when a member that is reached again may be in the view again. Guards against one that comes and goes
// with its links; does harm to one that is restarted again and again, which is seen later by some seconds.
func (m *Members) backAt(b *member) int64 {
	if b.falls <= 1 {
		return 0
	}
	return b.fell + knockEvery<<(b.falls-2)
}

func (m *Members) status(b *member, s Status) {
	if b.status != s {
		b.status, b.since = s, m.t
	}
}

func (m *Members) enter(b *member) {
	cause := Joined
	if b.was {
		cause = Returned
	}
	b.in, b.was = true, true
	m.inView++
	m.hash ^= b.life()
	if !b.counted {
		b.counted = true
		m.digest ^= b.hash()
	}
	b.status, b.since = Alive, m.t
	m.dirtyRings = true
	m.changed(cause, b, b.rec.Incarnation, "", 0)
}

func (m *Members) leave(b *member, cause Cause) {
	b.in, b.out, b.hope = false, m.t, 0
	m.inView--
	m.hash ^= b.life()
	m.status(b, map[bool]Status{true: Left, false: Dead}[cause == Departed])
	after := int64(0)
	if b.lost > 0 {
		after = m.t - b.lost + m.config.LinkTimeout
	}
	word := b.rec.Name
	if cause == Lost {
		word = ""
		if i, known := m.byID[b.word]; known {
			word = m.members[i].rec.Name
		}
	}
	m.dirtyRings = true
	m.changed(cause, b, b.rec.Incarnation, word, after)
}

func (m *Members) changed(cause Cause, b *member, inc uint64, word string, after int64) {
	m.number++
	m.Counters.Views++
	if invariant.Debug {
		m.Invariants.Check(m.hash == m.View().Hash, "the hash is that of the view")
	}
	m.do(Effect{Kind: ViewChanged, Change: Change{Number: m.number, Cause: cause, Who: b.rec.Name, Incarnation: inc, ReportedBy: word,
		After: after, Size: m.inView, Hash: m.hash}})
}

// keepTies looks for those with whom there is no link: seeds, the lost, and neighbours whose table stays different.
func (m *Members) keepTies() {
	if m.members[0].rec.Left {
		return
	}
	up := m.up()
	if up == 0 && m.t >= m.joinAt {
		m.joinAt = m.t + m.jitter(m.joinFor)
		if m.tried++; m.tried%max(1, len(m.config.Seeds)) == 0 { // all were asked in vain
			m.joinFor = min(2*m.joinFor, joinMost)
		}
		m.askSeed(false)
	} else if up > 0 {
		m.joinFor = joinEvery
		m.joinAt = max(m.joinAt, m.t+joinEvery/2)
		if m.t >= m.seedAt { // a part of the fleet that grew from another seed is found so
			m.seedAt = m.t + m.jitter(2*joinMost)
			m.askSeed(true)
		}
	}
	if m.t >= m.knockAt {
		m.knockAt = m.t + knockEvery
		m.knock()
	}
	if m.healing != 0 && m.t >= m.healAt+healAgain {
		m.healing = 0
	}
	if m.t-m.learned >= healRest {
		m.rested = m.t
	}
	if m.healing == 0 && m.t >= m.healAt && (m.rested == m.t || m.t-m.rested >= healMost) {
		for k := range m.links {
			l := &m.links[k]
			if l.member >= 0 && l.up && l.differ > 0 && m.t-l.differ >= healAfter && m.t-l.healed >= healAgain {
				l.healed, l.differ, m.rested = m.t, 0, m.t
				m.ask(m.members[l.member].rec.Address)
				break
			}
		}
	}
}

// askSeed asks the next seed in turn for all that it knows; with strange, one that is in nobody's place of the view.
func (m *Members) askSeed(strange bool) {
	seeds := m.config.Seeds
	for range seeds {
		m.seed = (m.seed + 1) % len(seeds)
		address := seeds[m.seed]
		known := address == m.config.Address
		for i := range m.members {
			known = known || strange && m.members[i].in && m.members[i].rec.Address == address
		}
		if !known {
			m.ask(address)
			return
		}
	}
}

// knock asks one of the lost whether it is there.
func (m *Members) knock() {
	for range m.members {
		m.knockPos = (m.knockPos + 1) % len(m.members)
		if m.calm[m.knockPos] {
			continue
		}
		b := &m.members[m.knockPos]
		if b.rec.Name == "" || b.in || b.rec.Left || b.link >= 0 || m.knockPos == 0 {
			continue
		}
		m.knockSeq = (m.knockSeq + 1) | 1<<31
		m.knocks[m.knockSeq%knocksMost].id, m.knocks[m.knockSeq%knocksMost].seq = b.id, m.knockSeq
		m.send(b.rec.Address, &Message{Kind: MessagePing, Seq: m.knockSeq, Records: m.own()})
		return
	}
}

// ask opens an exchange: all heads, and this node's own record.
func (m *Members) ask(to string) {
	m.lastLink++
	m.healing, m.healAt = m.lastLink, m.t
	m.Counters.Exchanges++
	heads := make([]RecordSummary, 0, len(m.byID))
	for i := range m.members {
		if b := &m.members[i]; b.counted {
			heads = append(heads, RecordSummary{b.id, b.rec.Incarnation, b.rec.RecordVersion})
		}
	}
	m.do(Effect{Kind: Exchange, Link: m.lastLink, To: to, Message: Message{Kind: MessageSyncRequest, From: m.members[0].id,
		Records: m.own(), Heads: heads}})
}

func (m *Members) asked(link int, msg *Message) {
	answer := Message{Kind: MessageSyncAnswer, From: m.members[0].id}
	switch msg.Kind {
	case MessageSyncRequest:
		if why := m.unwelcome(msg); why != "" {
			m.Counters.Refused++
			m.remark(true, "%s", why)
			m.do(Effect{Kind: Reply, Link: link, Message: Message{Kind: MessageReject, From: m.members[0].id, Why: why}})
			return
		}
		m.stamp++
		for _, h := range msg.Heads {
			i, known := m.byID[h.ID]
			if !known {
				answer.Wanted = append(answer.Wanted, h.ID)
				continue
			}
			r := &m.members[i].rec
			m.mark[i] = m.stamp
			if theirs := (Record{Incarnation: h.Incarnation, RecordVersion: h.RecordVersion}); theirs.newer(r) {
				answer.Wanted = append(answer.Wanted, h.ID)
			} else if r.newer(&theirs) {
				answer.Records = append(answer.Records, *r)
			}
		}
		for i := range m.members {
			if b := &m.members[i]; b.counted && m.mark[i] != m.stamp {
				answer.Records = append(answer.Records, b.rec)
			}
		}
		for k := range msg.Records {
			m.learn(&msg.Records[k], -1)
		}
	case MessageSyncPush:
		for k := range msg.Records {
			m.learn(&msg.Records[k], -1)
		}
	}
	m.do(Effect{Kind: Reply, Link: link, Message: answer})
}

// unwelcome says why a node that asks is not taken: its name is held by one that lives at another address.
func (m *Members) unwelcome(msg *Message) string {
	if len(msg.Records) == 0 || !msg.Records[0].usable() {
		return ""
	}
	r := &msg.Records[0]
	i, known := m.byID[IDOf(r.Name)]
	if !known {
		return ""
	}
	held := &m.members[i]
	if held.rec.Address == r.Address || !held.in || held.rec.Left || !held.reached && i != 0 || r.StartedAt < held.rec.StartedAt {
		return ""
	}
	return "the name " + r.Name + " is held by a node at " + held.rec.Address + ", so the one at " + r.Address + " is refused"
}

func (m *Members) answered(msg *Message) {
	switch msg.Kind {
	case MessageReject:
		m.Counters.Refused++
		m.remark(true, "refused: %s", msg.Why)
		m.joinFor = joinMost
		return
	case MessageSyncAnswer:
	default:
		m.Counters.UnmatchedMessages++
		return
	}
	for k := range msg.Records {
		m.learn(&msg.Records[k], -1)
	}
	if len(msg.Wanted) == 0 {
		return
	}
	push := Message{Kind: MessageSyncPush, From: m.members[0].id}
	for _, id := range msg.Wanted {
		if i, known := m.byID[id]; known && m.members[i].counted {
			push.Records = append(push.Records, m.members[i].rec)
		}
	}
	if from, known := m.byID[msg.From]; known && len(push.Records) > 0 {
		m.lastLink++
		m.do(Effect{Kind: Exchange, Link: m.lastLink, To: m.members[from].rec.Address, Message: push})
	}
}

// due is when the next thing is to be done, by this node's own time.
func (m *Members) due() int64 {
	at := m.t + knockEvery
	if m.members[0].rec.Left {
		return m.t + newsEvery
	}
	if m.dirtyRings {
		at = min(at, m.ringsAt)
	}
	if m.dirtySelf {
		at = min(at, m.publishAt)
	}
	at = min(at, m.viewAt)
	if m.dirtyView {
		at = min(at, m.followAt)
	}
	for k := range m.links {
		l := &m.links[k]
		if l.member < 0 {
			continue
		}
		at = min(at, l.next)
		if l.up {
			at = min(at, l.proof+m.config.LinkTimeout+1)
		}
		if l.owing > 0 {
			at = min(at, l.newsAt)
		}
	}
	if m.up() == 0 && len(m.config.Seeds) > 0 {
		at = min(at, m.joinAt)
	}
	return max(at, m.t+1)
}

// View is who is there now. It is made anew at each call.
func (m *Members) View() View {
	v := View{Number: m.number, Alone: m.alone}
	known := 0
	for i := range m.members {
		b := &m.members[i]
		if b.rec.Name == "" || !b.was {
			continue
		}
		s := MemberStatus{Name: b.rec.Name, Address: b.rec.Address, Status: b.status, Reach: m.reach(int32(i)), Incarnation: b.rec.Incarnation,
			Facts: b.rec.Facts, Links: len(b.rec.Links), Since: m.t - b.since, StartedAt: b.rec.StartedAt}
		v.Members = append(v.Members, s)
		if b.in {
			v.Hash ^= b.life()
		}
		if !b.rec.Left {
			known++
		}
	}
	v.Majority = !m.alone && 2*m.inView > known
	slices.SortFunc(v.Members, func(a, b MemberStatus) int { return cmp.Compare(a.Name, b.Name) })
	return v
}

func (m *Members) reach(i int32) Reach {
	b := &m.members[i]
	switch {
	case i == 0 || b.link >= 0 && m.links[b.link].up:
		return Direct
	case b.in && b.reached && !m.alone:
		return Indirect
	}
	return Unreachable
}

// Hash tells views apart without making one: of names and lives.
func (m *Members) Hash() (hash uint64, size int) { return m.hash, m.inView }

// AddressOf is where a member hears its peers, false for one that is not known.
func (m *Members) AddressOf(name string) (string, bool) {
	if i, known := m.byID[IDOf(name)]; known {
		return m.members[i].rec.Address, true
	}
	return "", false
}

// Self is this node's own record.
func (m *Members) Self() Record { return m.members[0].rec }
