package configsync

import "slices"

const (
	minAnnounceInterval = 50 * ms     // ns between announcements to one neighbour at the least: changes in between are announced together
	reannounceDelay     = 300 * ms    // ns before a lagging neighbour gets another announcement: announcements of both sides may cross
	announceInterval    = 10_000 * ms // ns between announcements without a change: makes up for lost ones
	maxEagerBytes       = 700         // bytes of records in an announcement, which must fit a datagram of 1,200 bytes
)

// handleView adopts a new membership view.
func (r *Replicator) handleView(now int64, view *View) {
	if view == nil {
		return
	}
	if r.reports.answerDeadline == 0 && !slices.Equal(r.view.Replicas, view.Replicas) {
		r.reports.dueAt = min(r.reports.dueAt, now+r.randomUpTo(appliedReportSpread))
	}
	r.view = *view
	r.canary.version = 0
	for _, p := range r.peers {
		p.neighbour = false
	}
	for _, name := range view.Neighbours {
		p := r.peerFor(now, name)
		if p == nil {
			continue
		}
		p.neighbour = true
		if p.announcedChange == 0 && p.announceAt == 0 {
			p.announceAt = now + r.randomUpTo(minAnnounceInterval)
		}
	}
}

// handleAnnouncement handles a peer's announcement. It tells only which versions can be fetched from the peer: a version is not applied
// until a replica confirms it.
func (r *Replicator) handleAnnouncement(now int64, p *peer, m *Message) {
	if p.backoffUntil > now {
		return
	}
	if r.contradictsConfirmed(m.Head.All, m.Head.Canary, m.Has) {
		r.penalize(now, p)
		return
	}
	p.head = m.Head.announced()
	p.ready = m.Has
	confirmed := r.announcedHead()
	p.trackUnconfirmed(now, &confirmed)
	if confirmed.newer(&p.head) || r.ready.Version > p.ready.Version { // the peer lags
		p.announceAt = min(p.announceAt, max(now, p.announcedAt)+reannounceDelay)
	}
	if r.hasUnconfirmed(now) {
		r.hastenReport(now)
	}
	p.offered = nil
	if p.neighbour && len(m.Records) > 0 && m.Records[0].Version > r.ready.Version && bytesOf(m.Records) <= maxEagerBytes {
		p.offered = m.Records
	}
}

func bytesOf(records []Record) (size int) {
	for k := range records {
		size += records[k].bytes()
	}
	return size
}

// announcedHead returns the confirmed head as it is announced to neighbours.
func (r *Replicator) announcedHead() RolloutState { return r.head.announced() }

// announced returns a head without the fields that only replicas send.
func (h RolloutState) announced() RolloutState {
	return RolloutState{All: h.All, Canary: h.Canary, Stopped: h.Stopped}
}

// announce sends announcements to the neighbours that are due for one.
func (r *Replicator) announce(now int64, effects []Effect) []Effect {
	for _, name := range r.view.Neighbours {
		p := r.peers[name]
		if p == nil || !r.mustAnnounce(now, p) {
			continue
		}
		m := &Message{Kind: MessageAnnounce, Head: r.announcedHead(), Has: r.ready}
		if r.tokens > burstBytes/2 {
			m.Records = wireRecords(recordsBetween(r.availableRecords(), p.ready, r.ready.Version), maxEagerBytes, true)
		}
		p.announcedChange = r.changes
		p.announcedAt = now
		p.announceAt = now + r.jitter(announceInterval)
		r.countSent(m)
		effects = append(effects, Effect{Kind: Send, To: name, Message: m})
	}
	return effects
}

func (r *Replicator) mustAnnounce(now int64, p *peer) bool {
	changed := p.announcedChange < r.changes && now >= p.announcedAt+minAnnounceInterval
	return changed || p.announceAt > 0 && now >= p.announceAt
}

func (r *Replicator) announceDeadline(now int64) int64 {
	at := int64(never)
	for _, name := range r.view.Neighbours {
		p := r.peers[name]
		if p == nil {
			continue
		}
		at = min(at, max(p.announceAt, now))
		if p.announcedChange < r.changes {
			at = min(at, p.announcedAt+minAnnounceInterval)
		}
	}
	return at
}
