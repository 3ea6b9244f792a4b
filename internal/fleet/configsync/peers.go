package configsync

import (
	"cmp"
	"slices"
)

const (
	maxPeers               = 96           // neighbours, replicas and some requesters
	maxConfirmedRevisions  = 16           // confirmed revisions that are remembered, to check those that peers announce and send
	minPeerBackoff         = 4_000 * ms   // ns for which a peer is ignored after an invalid message, doubled with each; short at first, as the peer may only have relayed it
	maxPeerBackoff         = 900_000 * ms // ns
	unconfirmedGracePeriod = 5_000 * ms   // ns for which a version may stay unconfirmed: restarted replicas need the time to catch up with the group
	maxDenials             = 3            // answers of current replicas without an announced version, after which it counts as invalid
)

// peer is this node's knowledge of another node.
type peer struct {
	name             string
	neighbour        bool
	head             RolloutState // last announced by the peer
	ready            Revision     // last announced by the peer: the newest revision that it has
	offered          []Record     // sent with its last announcement
	announcedChange  uint64       // Replicator.changes at the last announcement to it
	announcedAt      int64
	announceAt       int64 // when to announce to it at the latest, 0 for no time
	backoffUntil     int64 // the peer is ignored until then
	invalidResponses int
	unconfirmed      RolloutState // the first head that it announced and no replica has confirmed yet
	unconfirmedSince int64
	denials          int   // answers of current replicas that did not confirm it
	retryAt          int64 // nothing is fetched from it before then
	tokens           int64 // bytes that may be sent to it now
	refilledAt       int64
	seenAt           int64
}

// peerFor returns the state of a peer, which it adds if need be; nil if there is no room for one more.
func (r *Replicator) peerFor(now int64, name string) *peer {
	p := r.peers[name]
	if p == nil {
		if len(r.peers) >= maxPeers && !r.evictPeer(now) {
			return nil
		}
		p = &peer{name: name, tokens: burstBytes, refilledAt: now}
		r.peers[name] = p
	}
	p.seenAt = now
	return p
}

// evictPeer removes the peer that has been silent longest, sparing neighbours and peers in backoff. It reports whether it removed one.
func (r *Replicator) evictPeer(now int64) bool {
	var oldest *peer
	for _, p := range r.peers {
		if p.neighbour || p.backoffUntil > now {
			continue
		}
		if oldest == nil || cmp.Or(cmp.Compare(p.seenAt, oldest.seenAt), cmp.Compare(p.name, oldest.name)) < 0 {
			oldest = p
		}
	}
	if oldest == nil {
		return false
	}
	delete(r.peers, oldest.name)
	return true
}

// penalize ignores a peer for a time after it sent something invalid, whether the fault is its own or it relayed another's message.
func (r *Replicator) penalize(now int64, p *peer) {
	r.Counters.InvalidResponses++
	if p.backoffUntil > now {
		return
	}
	p.backoffUntil = now + min(minPeerBackoff<<min(p.invalidResponses, 10), maxPeerBackoff)
	p.invalidResponses++
	p.head = RolloutState{}
	p.ready = Revision{}
	p.offered = nil
	p.unconfirmed = RolloutState{}
}

// contradictsConfirmed reports whether an announced revision has another digest than the same version that was confirmed or is ready here.
func (r *Replicator) contradictsConfirmed(announced ...Revision) bool {
	for _, a := range announced {
		differs := func(b Revision) bool { return a.Version == b.Version && a.Version > 0 && a.Digest != b.Digest }
		if differs(r.ready) || differs(r.head.All) || differs(r.head.Canary) || slices.ContainsFunc(r.confirmed, differs) {
			return true
		}
	}
	return false
}

// trackUnconfirmed remembers the first head announced by a peer that no replica has confirmed, and reports whether there is one.
func (p *peer) trackUnconfirmed(now int64, confirmed *RolloutState) bool {
	if !p.unconfirmed.newer(confirmed) {
		p.unconfirmed = p.head
		p.unconfirmedSince = now
		p.denials = 0
	}
	return p.unconfirmed.newer(confirmed)
}

// countDenials counts a replica's answer against the peers that announced a newer head, and penalizes them after maxDenials. The caller
// ensures that the replica is in contact with the group. An answer counts only if the report was sent unconfirmedGracePeriod after the
// announcement: until then the replica may just not have caught up.
func (r *Replicator) countDenials(now int64) {
	if r.reports.deniedSeq == r.reports.seq {
		return // a duplicate
	}
	r.reports.deniedSeq = r.reports.seq
	confirmed := r.announcedHead()
	for _, p := range r.peers {
		if p.backoffUntil > now || !p.trackUnconfirmed(now, &confirmed) || r.reports.sentAt < p.unconfirmedSince+unconfirmedGracePeriod {
			continue
		}
		p.denials++
		if p.denials >= maxDenials {
			r.penalize(now, p)
		}
	}
}

// hasUnconfirmed reports whether a peer announced a newer head than the confirmed one.
func (r *Replicator) hasUnconfirmed(now int64) bool {
	confirmed := r.announcedHead()
	for _, p := range r.peers {
		if p.backoffUntil <= now && p.head.newer(&confirmed) {
			return true
		}
	}
	return false
}

// maxBusyWait returns how long a deferred peer waits at the most. It is longer for one that isn't a neighbour: those are served last.
func (p *peer) maxBusyWait() int64 {
	if p.neighbour {
		return maxFetchBackoff
	}
	return maxNonNeighbourWait
}
