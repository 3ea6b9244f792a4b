package membership

// findPeers contacts seeds and lost members, and starts a table exchange with a peer whose table differs.
func (m *Members) findPeers() {
	if m.members[0].record.Left {
		return
	}
	up := m.linksUp()
	if up == 0 && m.unpausedTime >= m.nextJoinAt {
		m.nextJoinAt = m.unpausedTime + m.jitter(m.joinBackoff)
		if m.joinAttempts++; m.joinAttempts%max(1, len(m.config.Seeds)) == 0 { // every seed was contacted
			m.joinBackoff = min(2*m.joinBackoff, maxJoinBackoff)
		}
		m.syncWithSeed(false)
	} else if up > 0 {
		m.joinBackoff = joinInterval
		m.nextJoinAt = max(m.nextJoinAt, m.unpausedTime+joinInterval/2)
		if m.unpausedTime >= m.nextSeedAt { // finds a part of the fleet that formed separately from another seed
			m.nextSeedAt = m.unpausedTime + m.jitter(2*maxJoinBackoff)
			m.syncWithSeed(true)
		}
	}
	if m.unpausedTime >= m.nextReconnectAt {
		m.nextReconnectAt = m.unpausedTime + reconnectInterval
		m.reconnect()
	}
	m.syncWithPeer()
}

// syncWithPeer starts a table exchange with a peer on a link that is up whose digest has differed for syncDelay. It waits until gossip is
// quiet, since a table received earlier would be outdated at once, but for maxSyncDeferral at most.
func (m *Members) syncWithPeer() {
	if m.syncExchangeID != 0 && m.unpausedTime >= m.lastSyncStart+syncInterval {
		m.syncExchangeID = 0
	}
	if m.unpausedTime-m.lastNewRecordAt >= syncQuietTime {
		m.deferralStartedAt = m.unpausedTime
	}
	quiet := m.deferralStartedAt == m.unpausedTime || m.unpausedTime-m.deferralStartedAt >= maxSyncDeferral
	if m.syncExchangeID != 0 || m.unpausedTime < m.lastSyncStart || !quiet {
		return
	}
	for k := range m.links {
		l := &m.links[k]
		differs := l.digestDiffersSince > 0 && m.unpausedTime-l.digestDiffersSince >= syncDelay
		if l.member >= 0 && l.up && differs && m.unpausedTime-l.lastSyncAt >= syncInterval {
			l.lastSyncAt = m.unpausedTime
			l.digestDiffersSince = 0
			m.deferralStartedAt = m.unpausedTime
			m.startSync(m.members[l.member].record.Address)
			return
		}
	}
}

// syncWithSeed starts a table exchange with the next seed; if outsideView is set, with the next one whose address no member of
// the view has.
func (m *Members) syncWithSeed(outsideView bool) {
	seeds := m.config.Seeds
	for range seeds {
		m.seedIndex = (m.seedIndex + 1) % len(seeds)
		address := seeds[m.seedIndex]
		known := address == m.config.Address
		for i := range m.members {
			known = known || outsideView && m.members[i].inView && m.members[i].record.Address == address
		}
		if !known {
			m.startSync(address)
			return
		}
	}
}

// reconnect pings the next lost member in turn. A settled member is in the view or its entry is unused.
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
		m.reconnectSeq = (m.reconnectSeq + 1) | reconnectSeqBit
		m.reconnects[m.reconnectSeq%maxReconnects].id, m.reconnects[m.reconnectSeq%maxReconnects].seq = peer.id, m.reconnectSeq
		m.send(peer.record.Address, &Message{Kind: MessagePing, Seq: m.reconnectSeq, Records: m.ownRecord()})
		return
	}
}

// startSync opens a table exchange with the node at an address.
func (m *Members) startSync(to string) {
	m.lastExchangeID++
	m.syncExchangeID, m.lastSyncStart = m.lastExchangeID, m.unpausedTime
	m.Counters.Exchanges++
	summaries := make([]RecordSummary, 0, len(m.byID))
	for i := range m.members {
		if peer := &m.members[i]; peer.inDigest {
			summaries = append(summaries, RecordSummary{peer.id, peer.record.Incarnation, peer.record.RecordVersion})
		}
	}
	m.emit(Effect{Kind: Exchange, ExchangeID: m.lastExchangeID, To: to, Message: Message{Kind: MessageSyncRequest, From: m.members[0].id,
		Records: m.ownRecord(), Summaries: summaries}})
}

// answerSync answers an exchange that a peer opened.
func (m *Members) answerSync(exchangeID int, msg *Message) {
	answer := Message{Kind: MessageSyncAnswer, From: m.members[0].id}
	switch msg.Kind {
	case MessageSyncRequest:
		if reason := m.rejectReason(msg); reason != "" {
			m.Counters.NameConflicts++
			m.log(true, "%s", reason)
			m.emit(Effect{Kind: Reply, ExchangeID: exchangeID, Message: Message{Kind: MessageReject, From: m.members[0].id, Detail: reason}})
			return
		}
		m.syncRequestNumber++
		for _, summary := range msg.Summaries {
			i, known := m.byID[summary.ID]
			if !known {
				answer.Wanted = append(answer.Wanted, summary.ID)
				continue
			}
			r := &m.members[i].record
			m.lastSummarizedIn[i] = m.syncRequestNumber
			if theirs := (Record{Incarnation: summary.Incarnation, RecordVersion: summary.RecordVersion}); theirs.newer(r) {
				answer.Wanted = append(answer.Wanted, summary.ID)
			} else if r.newer(&theirs) {
				answer.Records = append(answer.Records, *r)
			}
		}
		for i := range m.members {
			if peer := &m.members[i]; peer.inDigest && m.lastSummarizedIn[i] != m.syncRequestNumber {
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
	m.emit(Effect{Kind: Reply, ExchangeID: exchangeID, Message: answer})
}

// rejectReason returns why the sender of a sync request is rejected, or "" if it is not. It is rejected if a reachable member
// of the view has its name at another address and did not start after it.
func (m *Members) rejectReason(msg *Message) string {
	if len(msg.Records) == 0 || !msg.Records[0].valid() {
		return ""
	}
	r := &msg.Records[0]
	i, known := m.byID[IDOf(r.Name)]
	if !known {
		return ""
	}
	holder := &m.members[i]
	if holder.record.Address == r.Address || !holder.inView || holder.record.Left || !holder.reachable && i != 0 || r.StartedAt < holder.record.StartedAt {
		return ""
	}
	return "sync request rejected: the name " + r.Name + " is used by the node at " + holder.record.Address + ", so the node at " + r.Address + " needs another name"
}

// applySyncAnswer handles the answer to an exchange and pushes the records that the peer requested.
func (m *Members) applySyncAnswer(msg *Message) {
	switch msg.Kind {
	case MessageReject:
		m.Counters.NameConflicts++
		m.log(true, "a peer rejected the sync request of this node, which retries: %s", msg.Detail)
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
		m.lastExchangeID++
		m.emit(Effect{Kind: Exchange, ExchangeID: m.lastExchangeID, To: m.members[from].record.Address, Message: push})
	}
}
