package membership

import (
	"topazpost/internal/invariant"
)

// queueRecord queues a member's record on all links except from, which delivered it (-1 for none), and the member's own.
func (m *Members) queueRecord(i int32, from int8) {
	for k := range m.links {
		if l := &m.links[k]; l.member >= 0 && int8(k) != from && l.member != i {
			m.queueOnLink(int8(k), i)
		}
	}
}

// queueOnLink queues a record on one link. In a view of fewer than 2*ringCount members, it is sent twice.
func (m *Members) queueOnLink(k int8, i int32) {
	bit := uint32(1) << k
	if m.queuedOn[i]&bit == 0 {
		m.queuedOn[i] |= bit
		m.links[k].queuedRecords++
	}
	if m.resendOn[i] &^= bit; m.viewSize < 2*ringCount { // few links deliver each record, so a lost datagram matters more
		m.resendOn[i] |= bit
	}
}

// dequeueOnLink removes a record from the queue of a link.
func (m *Members) dequeueOnLink(k int8, i int32) {
	if bit := uint32(1) << k; m.queuedOn[i]&bit != 0 {
		m.queuedOn[i] &^= bit
		m.resendOn[i] &^= bit
		m.links[k].queuedRecords--
	}
}

// clearQueue empties the queue of a link.
func (m *Members) clearQueue(k int8) {
	m.links[k].queuedRecords = 0
	for i := range m.queuedOn {
		m.queuedOn[i] &^= 1 << k
		m.resendOn[i] &^= 1 << k
	}
}

// checkQueues compares the counts of queued records with the queues.
func (m *Members) checkQueues() {
	for k := range m.links {
		n := 0
		for _, bits := range m.queuedOn {
			n += int(bits >> k & 1)
		}
		m.Invariants.Check(m.links[k].member < 0 || n == m.links[k].queuedRecords, "the count of records queued on a link matches its queue")
	}
}

// sendGossip sends queued records, one datagram on each link.
func (m *Members) sendGossip() {
	if invariant.Debug {
		m.checkQueues()
	}
	for k := range m.links {
		l := &m.links[k]
		if l.member < 0 || l.queuedRecords == 0 || m.unpausedTime < l.nextGossipAt {
			continue
		}
		if l.silence(m.unpausedTime) > m.config.LinkTimeout { // once the link is up again, differing digests lead to a table exchange
			m.clearQueue(int8(k))
			continue
		}
		records := m.nextGossip(int8(k))
		l.nextGossipAt = m.unpausedTime + gossipInterval
		if len(records) == 0 { // only records of members that were forgotten since are queued
			m.clearQueue(int8(k))
			continue
		}
		if l.queuedRecords > maxRecordsPerDatagram {
			l.nextGossipAt = m.unpausedTime + gossipInterval/4
		}
		m.send(m.members[l.member].record.Address, &Message{Kind: MessageGossip, Records: records})
	}
}

// nextGossip removes the records of the next datagram from the queue of a link and returns them: this node's own record
// first, then the others in turn, from where the last datagram ended.
func (m *Members) nextGossip(k int8) (records []Record) {
	l, bit, size, found := &m.links[k], uint32(1)<<k, 0, 0
	queued := l.queuedRecords
	take := func(i int) bool {
		r := &m.members[i].record
		if size += r.size(); len(records) > 0 && (size > maxGossipBytes || len(records) == maxRecordsPerDatagram) {
			return false
		}
		records = append(records, *r)
		found++
		if m.resendOn[i]&bit != 0 {
			m.resendOn[i] &^= bit
		} else {
			m.queuedOn[i] &^= bit
			l.queuedRecords--
		}
		return true
	}
	if m.queuedOn[0]&bit != 0 {
		take(0)
	}
	at := l.nextQueued
	for range m.members {
		if found == queued { // all queued records are taken
			return records
		}
		if at > 0 && m.queuedOn[at]&bit != 0 && m.members[at].record.Name != "" && !take(at) {
			break
		}
		if at++; at == len(m.members) {
			at = 0
		}
	}
	l.nextQueued = at
	return records
}
