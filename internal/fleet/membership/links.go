package membership

import (
	"cmp"
	"slices"

	"topazpost/internal/invariant"
)

// open takes up a link to a member. Where all are taken, the one that is unwanted longest makes room.
func (m *Members) open(i int32) *link {
	oldest := -1
	for k := range m.links {
		if l := &m.links[k]; l.member >= 0 && !l.wanted && (oldest < 0 || l.linger < m.links[oldest].linger) {
			oldest = k
		} else if l.member < 0 {
			oldest = -1
			break
		}
	}
	if oldest >= 0 {
		m.close(int8(oldest))
	}
	for k := range m.links {
		l := &m.links[k]
		if l.member >= 0 {
			continue
		}
		m.oweNothing(int8(k))
		*l = link{member: i, asked: m.t, proof: -m.config.LinkTimeout, heard: -m.config.LinkTimeout, healed: m.t, next: m.t}
		m.members[i].link = int8(k)
		m.oweTo(int8(k), 0)
		return l
	}
	return nil
}

func (m *Members) close(k int8) {
	l := &m.links[k]
	if l.up && !m.dirtySelf { // told together with others that end, and before its silence would have told it
		m.dirtySelf, m.publishAt = true, max(m.publishAt, min(m.t+closedEvery, l.proof+m.config.LinkTimeout))
	}
	m.members[l.member].link = -1
	l.member, l.up, l.owing = -1, false, 0
}

// up is how many links work.
func (m *Members) up() (n int) {
	for k := range m.links {
		if m.links[k].member >= 0 && m.links[k].up {
			n++
		}
	}
	return n
}

func (l *link) quiet(t int64) int64 { return t - max(l.proof, l.asked) }

// keepRings chooses whom to watch: on each side of this node in each ring the next that is not silent, and those
// passed over on the way, so that a link that works again is found.
func (m *Members) keepRings() {
	if !m.dirtyRings || m.t < m.ringsAt {
		return
	}
	m.dirtyRings, m.ringsAt = false, m.t+ringsEvery
	for k := range m.links {
		m.links[k].wanted = false
	}
	if m.members[0].rec.Left || m.t < m.refused {
		return
	}
	m.keepOrders()
	for _, order := range m.order {
		at := slices.Index(order, 0)
		for _, side := range [...]int{1, -1} {
			passed := 0
			for n := 1; n < len(order) && passed < passedMost; n++ {
				i := order[((at+n*side)%len(order)+len(order))%len(order)]
				l := m.want(i)
				if l == nil || l.quiet(m.t) <= m.config.LinkTimeout/2 {
					break
				}
				passed++
			}
		}
	}
	for k := range m.links {
		if l := &m.links[k]; l.member >= 0 && l.wanted {
			l.linger = m.t + lingerFor
		}
	}
}

// keepOrders has each order hold those that may be watched, sorted: who is there no more is taken out, and those who
// came are sorted among themselves and merged in, so that a look costs one pass and not a sort of all.
func (m *Members) keepOrders() {
	m.joined = m.joined[:0]
	for i := range m.members {
		if m.calm[i] && m.ringed[i] {
			continue
		}
		b := &m.members[i]
		may := i == 0 || b.rec.Name != "" && !b.rec.Left && (b.in || m.t < b.hope)
		if may && !m.ringed[i] {
			m.joined = append(m.joined, int32(i))
		} else if !may && m.ringed[i] {
			m.ringed[i], m.unringed = false, true
		}
	}
	for r := range m.order {
		if m.unringed { // a place in the table that was forgotten and taken again counts as new
			m.order[r] = slices.DeleteFunc(m.order[r], func(i int32) bool { return !m.ringed[i] })
		}
		m.order[r] = m.merge(r, m.order[r], m.joined)
	}
	m.unringed = false
	for _, i := range m.joined {
		m.ringed[i] = true
	}
	if invariant.Debug {
		for r, order := range m.order {
			n := 0
			for i := range m.members {
				b := &m.members[i]
				if may := i == 0 || b.rec.Name != "" && !b.rec.Left && (b.in || m.t < b.hope); may {
					n++
				}
			}
			m.Invariants.Check(n == len(order) && slices.IsSortedFunc(order, func(a, b int32) int { return m.along(r, a, b) }), "an order is whole and sorted")
		}
	}
}

// along compares members in an order.
func (m *Members) along(r int, i, j int32) int {
	a, b := &m.members[i], &m.members[j]
	return cmp.Or(cmp.Compare(a.key(r), b.key(r)), cmp.Compare(a.id, b.id))
}

// merge takes some more into an order.
func (m *Members) merge(r int, order, more []int32) []int32 {
	if len(more) == 0 {
		return order
	}
	slices.SortFunc(more, func(a, b int32) int { return m.along(r, a, b) })
	old := len(order)
	order = append(order, more...)
	for at, left, right := len(order)-1, old-1, len(more)-1; right >= 0; at-- { // from the end on
		if left >= 0 && m.along(r, order[left], more[right]) > 0 {
			order[at] = order[left]
			left--
		} else {
			order[at] = more[right]
			right--
		}
	}
	return order
}

func (m *Members) want(i int32) *link {
	var l *link
	if k := m.members[i].link; k >= 0 {
		l = &m.links[k]
	} else {
		l = m.open(i)
	}
	if l != nil {
		l.wanted = true
	}
	return l
}

// keepLinks pings, notices silence, and lets go of links that neither end wants.
func (m *Members) keepLinks() {
	for k := range m.links {
		l := &m.links[k]
		if l.member < 0 {
			continue
		}
		quiet := l.quiet(m.t)
		if l.up && m.t-l.proof > m.config.LinkTimeout {
			l.up, l.lost, m.dirtySelf, m.publishAt = false, true, true, min(m.publishAt, m.published+publishEvery)
			m.members[l.member].word = m.members[0].id
		}
		if !l.wanted && m.t > l.linger && m.t-max(l.heard, l.asked) > m.config.LinkTimeout {
			m.close(int8(k))
			continue
		}
		if doubt := quiet > m.config.LinkTimeout/2; doubt != l.doubt {
			l.doubt = doubt
			m.dirtyRings = true
		}
		if m.t < l.next || m.members[0].rec.Left {
			continue
		}
		every := m.config.ProbeInterval
		if quiet > m.config.LinkTimeout { // it is still asked now and then: a broken link may be mended
			every *= 4
		}
		if l.seq == 0 {
			l.probe = m.t + m.jitter(every) // from then on links are asked at moments of their own
		} else if m.t >= l.probe {
			l.probe = max(l.probe+every, m.t+every/2)
		}
		l.next = l.probe
		if l.up && quiet < m.config.LinkTimeout/2 { // a lost one costs no more than this, up to the next that is due anyway
			l.next = min(l.probe, m.t+max(m.config.ProbeInterval/retriesMost, 2*l.trip))
		}
		l.seq = (l.seq + 1) &^ (1 << 31)
		l.sent[l.seq%sentKept] = m.t
		ping := Message{Kind: MessagePing, Seq: l.seq, Neighbour: l.wanted}
		if !l.up { // it may not know this node
			ping.Records = m.own()
		}
		m.send(m.members[l.member].rec.Address, &ping)
	}
}

func (m *Members) own() []Record { return []Record{m.members[0].rec} }

// publish tells of this node's links once they changed. What is lost goes at once, unless it changes all the time; what
// was lost and is back has to be known to all before the view follows the loss.
func (m *Members) publish() {
	if !m.dirtySelf || m.t < m.publishAt || m.members[0].rec.Left {
		return
	}
	ids := make([]ID, 0, linksMost)
	for k := range m.links {
		if l := &m.links[k]; l.member >= 0 && l.up {
			ids = append(ids, m.members[l.member].id)
		}
	}
	slices.Sort(ids)
	if told := m.members[0].rec.Links; !m.regained && m.t < m.published+gainsEvery && len(told) >= rings && contains(ids, told) {
		m.publishAt = m.published + gainsEvery
		return
	}
	m.dirtySelf, m.regained, m.published, m.publishAt = false, false, m.t, m.t+publishEvery
	if !slices.Equal(ids, m.members[0].rec.Links) {
		m.relink(0, m.members[0].rec.Links, ids)
		m.members[0].rec.Links = ids
		m.renew()
	}
}

// contains says whether all of some ascending ids are among others.
func contains(ids, all []ID) bool {
	for _, id := range all {
		if _, found := slices.BinarySearch(ids, id); !found {
			return false
		}
	}
	return true
}

// spread owes a record to all links but the one that brought it.
func (m *Members) spread(i int32, from int8) {
	for k := range m.links {
		if l := &m.links[k]; l.member >= 0 && int8(k) != from && l.member != i {
			m.oweTo(int8(k), i)
		}
	}
}

func (m *Members) oweTo(k int8, i int32) {
	bit := uint32(1) << k
	if m.owed[i]&bit == 0 {
		m.owed[i] |= bit
		m.links[k].owing++
	}
	if m.twice[i] &^= bit; m.inView < 2*rings { // few links bring each record: twice on each
		m.twice[i] |= bit
	}
}

func (m *Members) settleOwed(k int8, i int32) {
	if bit := uint32(1) << k; m.owed[i]&bit != 0 {
		m.owed[i] &^= bit
		m.twice[i] &^= bit
		m.links[k].owing--
	}
}

// oweNothing forgets all that is owed on a link.
func (m *Members) oweNothing(k int8) {
	m.links[k].owing = 0
	for i := range m.owed {
		m.owed[i] &^= 1 << k
		m.twice[i] &^= 1 << k
	}
}

// checkOwed holds the counts of what is owed against what is.
func (m *Members) checkOwed() {
	for k := range m.links {
		n := 0
		for _, bits := range m.owed {
			n += int(bits >> k & 1)
		}
		m.Invariants.Check(m.links[k].member < 0 || n == m.links[k].owing, "what is owed on a link is counted")
	}
}

// keepNews sends what is owed, a datagram a link at a time.
func (m *Members) keepNews() {
	if invariant.Debug {
		m.checkOwed()
	}
	for k := range m.links {
		l := &m.links[k]
		if l.member < 0 || l.owing == 0 || m.t < l.newsAt {
			continue
		}
		if l.quiet(m.t) > m.config.LinkTimeout { // it is healed once it is back
			m.oweNothing(int8(k))
			continue
		}
		records := m.newsOn(int8(k))
		l.newsAt = m.t + newsEvery
		if len(records) == 0 {
			m.oweNothing(int8(k))
			continue
		}
		if l.owing > recordsOnce {
			l.newsAt = m.t + newsEvery/4
		}
		m.send(m.members[l.member].rec.Address, &Message{Kind: MessageGossip, Records: records})
	}
}

// newsOn takes what is to be sent next on a link: this node's own record first, then what is owed, in turn from the
// member on at which the last datagram ended.
func (m *Members) newsOn(k int8) (records []Record) {
	l, bit, size, found := &m.links[k], uint32(1)<<k, 0, 0
	owing := l.owing
	take := func(i int) bool {
		r := &m.members[i].rec
		if size += r.size(); len(records) > 0 && (size > roomOfNews || len(records) == recordsOnce) {
			return false
		}
		records = append(records, *r)
		found++
		if m.twice[i]&bit != 0 {
			m.twice[i] &^= bit
		} else {
			m.owed[i] &^= bit
			l.owing--
		}
		return true
	}
	if m.owed[0]&bit != 0 {
		take(0)
	}
	at := l.from
	for range m.members {
		if found == owing { // no more can follow: the turn stays where it is
			return records
		}
		if at > 0 && m.owed[at]&bit != 0 && m.members[at].rec.Name != "" && !take(at) {
			break
		}
		if at++; at == len(m.members) {
			at = 0
		}
	}
	l.from = at
	return records
}
