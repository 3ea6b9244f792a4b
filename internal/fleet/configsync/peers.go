package configsync

import (
	"cmp"
	"slices"
)

const (
	maxPeers               = 96           // links, replicas and some that ask
	maxConfirmedRevisions  = 16           // confirmed revisions with which records of a peer can end
	minPeerBackoff         = 4_000 * ms   // ns that a peer is left alone after an invalid response, doubled with each: it may have believed another
	maxPeerBackoff         = 900_000 * ms // ns
	unconfirmedGracePeriod = 5_000 * ms   // ns that a version may stay unconfirmed: replicas that come back learn meanwhile what was agreed on
	maxDenials             = 3            // answers of replicas that know all and not of a version, past which it is invalid
)

// peer is what is known of another node.
type peer struct {
	name             string
	neighbour        bool
	head             HeadRevision // that it announced
	ready            Revision
	offered          []Record // that came with its announcement
	announcedChange  uint64   // Replicator.changes at the last announcement to it
	announcedAt      int64
	announceAt       int64 // when to announce at the latest, 0 for no time
	backoffUntil     int64 // it is left alone until then
	invalidResponses int
	unconfirmed      HeadRevision // the first that it announced and no replica confirmed yet
	unconfirmedSince int64
	denials          int   // replicas' answers against unconfirmed
	retryAt          int64 // nothing is fetched from it before
	tokens           int64
	refilledAt       int64
	seenAt           int64
}

// peerFor is what is known of a peer; nil where there is no room for one more.
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

// evictPeer removes the peer that was silent longest, but for neighbours and those in backoff.
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

// penalize leaves a peer alone that sent something invalid. It may be at fault itself or have believed another.
func (r *Replicator) penalize(now int64, p *peer) {
	r.Counters.InvalidResponses++
	if p.backoffUntil > now {
		return
	}
	p.backoffUntil = now + min(minPeerBackoff<<min(p.invalidResponses, 10), maxPeerBackoff)
	p.invalidResponses++
	p.head = HeadRevision{}
	p.ready = Revision{}
	p.offered = nil
	p.unconfirmed = HeadRevision{}
}

// contradictsConfirmed reports whether a peer announced another content for a version that was confirmed, or is complete here.
func (r *Replicator) contradictsConfirmed(announced ...Revision) bool {
	for _, a := range announced {
		differs := func(b Revision) bool { return a.Version == b.Version && a.Version > 0 && a.Digest != b.Digest }
		if differs(r.ready) || differs(r.head.All) || differs(r.head.Canary) || slices.ContainsFunc(r.confirmed, differs) {
			return true
		}
	}
	return false
}

// trackUnconfirmed follows the first announced head of a peer that no replica confirmed yet, and reports whether there is one.
func (p *peer) trackUnconfirmed(now int64, confirmed *HeadRevision) bool {
	if !p.unconfirmed.newer(confirmed) {
		p.unconfirmed = p.head
		p.unconfirmedSince = now
		p.denials = 0
	}
	return p.unconfirmed.newer(confirmed)
}

// countDenials counts a replica's answer against the peers that announced more. Only an answer of a replica that knows all, to a report
// sent long after the announcement, counts: one that is back, or cut off from the group, proves nothing against a peer that knows more.
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

// hasUnconfirmed reports whether some peer announced something newer than was confirmed.
func (r *Replicator) hasUnconfirmed(now int64) bool {
	confirmed := r.announcedHead()
	for _, p := range r.peers {
		if p.backoffUntil <= now && p.head.newer(&confirmed) {
			return true
		}
	}
	return false
}

// maxBusyWait is how long a busy peer is left alone at the most: one that isn't a neighbour has neighbours of its own to give to first.
func (p *peer) maxBusyWait() int64 {
	if p.neighbour {
		return maxFetchBackoff
	}
	return maxNonNeighbourWait
}
