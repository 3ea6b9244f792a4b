package membership

import (
	"cmp"
	"slices"
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
		owe := l.owe
		clear(owe)
		*l = link{member: i, asked: m.t, proof: -m.charter.Silence, heard: -m.charter.Silence, owe: owe, healed: m.t,
			next: m.t}
		m.members[i].link = int8(k)
		m.oweTo(l, 0)
		return l
	}
	return nil
}

func (m *Members) close(k int8) {
	l := &m.links[k]
	m.dirtySelf = m.dirtySelf || l.up
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
	for r := range m.order {
		order := m.order[r][:0]
		for i := range m.members {
			b := &m.members[i]
			if i == 0 || b.rec.Name != "" && !b.rec.Left && (b.in || m.t < b.hope) {
				order = append(order, int32(i))
			}
		}
		slices.SortFunc(order, func(a, b int32) int {
			return cmp.Or(cmp.Compare(m.members[a].keys[r], m.members[b].keys[r]), cmp.Compare(m.members[a].id, m.members[b].id))
		})
		m.order[r] = order
		at := slices.Index(order, 0)
		for _, side := range [...]int{1, -1} {
			passed := 0
			for n := 1; n < len(order) && passed < passedMost; n++ {
				i := order[((at+n*side)%len(order)+len(order))%len(order)]
				l := m.want(i)
				if l == nil || l.quiet(m.t) <= m.charter.Silence/2 {
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
		if l.up && m.t-l.proof > m.charter.Silence {
			l.up, m.dirtySelf, m.publishAt = false, true, m.published+publishEvery
			m.members[l.member].word = m.members[0].id
		}
		if !l.wanted && m.t > l.linger && m.t-max(l.heard, l.asked) > m.charter.Silence {
			m.close(int8(k))
			continue
		}
		if doubt := quiet > m.charter.Silence/2; doubt != l.doubt {
			l.doubt = doubt
			m.dirtyRings = true
		}
		if m.t < l.next || m.members[0].rec.Left {
			continue
		}
		every := m.charter.Probe
		if quiet > m.charter.Silence { // it is still asked now and then: a broken link may be mended
			every *= 4
		}
		if l.seq == 0 {
			l.next = m.t + m.jitter(every) // from then on links are asked at moments of their own
		} else {
			l.next = max(l.next+every, m.t+every/2)
		}
		l.seq = (l.seq + 1) &^ (1 << 31)
		l.sent[l.seq%sentKept] = m.t
		ping := Message{Kind: Ping, Seq: l.seq, Neighbour: l.wanted}
		if !l.up { // it may not know this node
			ping.Records = m.own()
		}
		m.send(m.members[l.member].rec.Address, &ping)
	}
}

func (m *Members) own() []Record { return []Record{m.members[0].rec} }

// publish tells of this node's links once they changed. What is lost goes at once, unless it changes all the time.
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
	if told := m.members[0].rec.Links; m.t < m.published+gainsEvery && len(told) >= rings && contains(ids, told) {
		m.publishAt = m.published + gainsEvery
		return
	}
	m.dirtySelf, m.published, m.publishAt = false, m.t, m.t+publishEvery
	if !slices.Equal(ids, m.members[0].rec.Links) {
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
			m.oweTo(l, i)
		}
	}
}

func (m *Members) oweTo(l *link, i int32) {
	if need := len(m.members) - len(l.owe); need > 0 {
		l.owe = append(l.owe, make([]uint8, need+16)...)
	}
	if l.owe[i] == 0 {
		l.owing++
	}
	l.owe[i] = 1
	if m.inView < 2*rings { // few links bring each record: twice on each
		l.owe[i] = 2
	}
}

func (m *Members) settleOwed(l *link, i int32) {
	if int(i) < len(l.owe) && l.owe[i] > 0 {
		l.owe[i] = 0
		l.owing--
	}
}

// keepNews sends what is owed, a datagram a link at a time.
func (m *Members) keepNews() {
	for k := range m.links {
		l := &m.links[k]
		if l.member < 0 || l.owing == 0 || m.t < l.newsAt {
			continue
		}
		if l.quiet(m.t) > m.charter.Silence { // it is healed once it is back
			clear(l.owe)
			l.owing = 0
			continue
		}
		var records []Record
		size := 0
		for k := range len(m.members) + 1 { // its own first, then in turn
			i := 0
			if k > 0 {
				if i = l.from; i == 0 {
					l.from = 1 % len(m.members)
					continue
				}
			}
			if i < len(l.owe) && l.owe[i] > 0 && m.members[i].rec.Name != "" {
				r := &m.members[i].rec
				if size += r.size(); len(records) > 0 && (size > roomOfNews || len(records) == recordsOnce) {
					break
				}
				records = append(records, *r)
				if l.owe[i]--; l.owe[i] == 0 {
					l.owing--
				}
			}
			if k > 0 {
				l.from = (l.from + 1) % len(m.members)
			}
		}
		l.newsAt = m.t + newsEvery
		if len(records) == 0 {
			clear(l.owe)
			l.owing = 0
			continue
		}
		if l.owing > recordsOnce {
			l.newsAt = m.t + newsEvery/4
		}
		m.send(m.members[l.member].rec.Address, &Message{Kind: News, Records: records})
	}
}
