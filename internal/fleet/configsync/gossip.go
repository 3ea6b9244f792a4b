package configsync

import "slices"

const (
	minAnnounceInterval = 50 * ms     // ns between announcements to one neighbour: changes in between go together
	reannounceDelay     = 300 * ms    // ns before a neighbour that lags gets another announcement: two may cross
	announceInterval    = 10_000 * ms // ns between announcements without a change, in place of lost ones
	maxEagerBytes       = 700         // of records in a datagram of 1,200
)

// handleView takes another membership view.
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

// handleAnnouncement takes a neighbour's announcement. It only says whom to fetch from: a version is unconfirmed until a replica
// confirms it.
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
	if confirmed.newer(&p.head) || r.ready.Version > p.ready.Version { // it lags
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

// announcedHead is what is announced of the confirmed head.
func (r *Replicator) announcedHead() HeadRevision { return r.head.announced() }

// announced is a head without what only replicas send.
func (h HeadRevision) announced() HeadRevision {
	return HeadRevision{All: h.All, Canary: h.Canary, Stopped: h.Stopped}
}

// announce announces to neighbours what is new, to each at its time.
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
