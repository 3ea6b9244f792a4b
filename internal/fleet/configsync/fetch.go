package configsync

import "slices"

const (
	fetchTimeout         = 2_500 * ms  // ns that a fetch may take: several times the duration of connecting to another region and transferring one answer
	minFetchBackoff      = 100 * ms    // ns before the next fetch after a failed one, doubled with each failure up to maxFetchBackoff
	maxFetchBackoff      = 4_000 * ms  // ns
	replicaFallbackDelay = 1_500 * ms  // ns without a neighbour that has the goal, after which a replica is asked
	thunderingHerdDelay  = 6_000 * ms  // ns without progress, after which a replica is asked even though neighbours are fetching the goal too
	maxNonNeighbourWait  = 16_000 * ms // ns for which a busy peer that isn't a neighbour is not asked again, at the most
	partialPeerBackoff   = 2_000 * ms  // ns before asking again a peer that is fetching the goal itself and had no blocks yet
	partialFetchBackoff  = 500 * ms    // ns before asking another peer that is fetching the goal itself
)

// fetchState describes the fetch in progress, and when the next one may start.
type fetchState struct {
	link       int // identifies the last fetch
	peer       string
	deadline   int64 // 0 while none is in progress
	nextAt     int64
	failures   int
	progressAt int64    // when content was last received
	from       Revision // Has of the request
	base       *Content // content into which received blocks are merged
	want       Revision // the goal at the start of the fetch
	partial    bool     // the peer is fetching want itself, and may have some of its blocks
	index      []byte   // digests by which blocks were requested
	missing    []byte   // a bit for each block that was missing when the fetch was sent
}

// awaits reports whether the fetch with this link is in progress.
func (f *fetchState) awaits(link int) bool { return f.deadline > 0 && f.link == link }

// requested returns the expected digest of a block, if the block was missing when the fetch was sent.
func (f *fetchState) requested(n uint16) (Digest, bool) {
	if int(n) >= Blocks || !bitSet(f.missing, int(n)) {
		return Digest{}, false
	}
	return digestAt(f.index, int(n)), true
}

func bitSet(bits []byte, n int) bool { return n/8 < len(bits) && bits[n/8]>>(n%8)&1 == 1 }

// sendFetch times out an overdue fetch, and starts the next one if there is a goal and the backoff and the rate limit allow it.
func (r *Replicator) sendFetch(now int64, effects []Effect) []Effect {
	if r.fetch.deadline > 0 && now >= r.fetch.deadline {
		r.handleFetchFailure(now)
	}
	goal, ok := r.goal()
	if !ok || r.fetch.deadline > 0 || now < r.fetch.nextAt || r.tokens <= 0 {
		return effects
	}
	p := r.choosePeer(now, goal)
	if p == nil {
		r.fetch.nextAt = now + r.jitter(minFetchBackoff)
		return effects
	}
	m := r.startFetch(now, p, goal)
	r.countSent(m)
	return append(effects, Effect{Kind: Exchange, To: p.name, Link: r.fetch.link, Message: m})
}

func (r *Replicator) startFetch(now int64, p *peer, goal Revision) *Message {
	r.fetch.link++
	r.fetch.peer = p.name
	r.fetch.deadline = now + fetchTimeout
	r.fetch.want = goal
	r.fetch.base = r.assemblyBase()
	r.fetch.index = nil
	r.fetch.missing = nil
	m := &Message{Kind: MessageFetch, Has: r.ready, Want: goal}
	if r.chain.content != nil {
		m.Has = r.chain.revision
	}
	if r.assembly.index != nil {
		r.requestMissing(m)
	}
	if len(m.Wanted) > 0 { // changes in answered blocks lead from ready to the index's revision
		m.Has = r.ready
		m.Want = r.assembly.revision
	} else {
		r.assembly.index = nil
		m.Sums = r.fetch.base.pageDigests()
	}
	r.fetch.from = m.Has
	return m
}

func (r *Replicator) fetchDeadline(now int64) int64 {
	if r.fetch.deadline > 0 {
		return r.fetch.deadline
	}
	if _, ok := r.goal(); !ok {
		return never
	}
	if r.tokens <= 0 {
		return max(r.fetch.nextAt, now+(1-r.tokens)*second/bytesPerSecond)
	}
	return r.fetch.nextAt
}

// choosePeer returns the peer to ask for the goal, nil if none may be asked now: a neighbour that is ahead of this node; else, after a
// while, a neighbour that is fetching the goal too, or a replica.
func (r *Replicator) choosePeer(now int64, goal Revision) *peer {
	r.fetch.partial = false
	at := max(r.ready.Version, r.chain.revision.Version)
	if ahead := r.neighboursAhead(now, goal, at); len(ahead) > 0 {
		return ahead[r.random.Intn(len(ahead))]
	}
	candidates, fetching := r.neighboursFetching(now, goal, at)
	partial := len(candidates)
	if now >= r.goalSince+replicaFallbackDelay && (fetching == 0 || now >= max(r.goalSince, r.fetch.progressAt)+thunderingHerdDelay) {
		replica := r.peerFor(now, r.reportTarget(r.fetch.failures))
		if replica != nil && replica.name != "" && replica.available(now) {
			candidates = append(candidates, replica)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	k := r.random.Intn(len(candidates))
	r.fetch.partial = k < partial
	return candidates[k]
}

// available reports whether a peer may be asked now: it is not penalized, and its retry delay is over.
func (p *peer) available(now int64) bool { return p.backoffUntil <= now && p.retryAt <= now }

// neighboursAhead returns the neighbours that have the goal, or else those that have a confirmed version between this node's and the goal.
func (r *Replicator) neighboursAhead(now int64, goal Revision, at uint64) []*peer {
	var complete, intermediate []*peer
	for _, name := range r.view.Neighbours {
		p := r.peers[name]
		if p == nil || !p.available(now) || p.ready.Version <= at {
			continue
		}
		if p.ready.Version >= goal.Version {
			complete = append(complete, p)
		} else if r.isConfirmed(p.ready) {
			intermediate = append(intermediate, p)
		}
	}
	if len(complete) > 0 {
		return complete
	}
	return intermediate
}

func (r *Replicator) isConfirmed(revision Revision) bool {
	return slices.Contains(r.confirmed, revision)
}

// neighboursFetching returns the neighbours that are fetching the goal too, and so may have some of its blocks: those that may be asked
// now, and the number of all.
func (r *Replicator) neighboursFetching(now int64, goal Revision, at uint64) (available []*peer, all int) {
	if r.chain.content != nil || r.assembly.index == nil && now < r.goalSince+replicaFallbackDelay {
		return nil, 0
	}
	for _, name := range r.view.Neighbours {
		p := r.peers[name]
		if p == nil || p.backoffUntil > now || p.ready.Version > at || p.head.All != goal && p.head.Canary != goal {
			continue
		}
		all++
		if p.retryAt <= now {
			available = append(available, p)
		}
	}
	return available, all
}

func (r *Replicator) handleFetchFailure(now int64) {
	r.Counters.Missed++
	r.fetch.deadline = 0
	if p := r.peers[r.fetch.peer]; p != nil {
		p.retryAt = now + r.jitter(minFetchBackoff<<min(r.fetch.failures, 5))
	}
	r.backOff(now)
}

func (r *Replicator) backOff(now int64) {
	r.fetch.nextAt = now + r.randomUpTo(min(minFetchBackoff<<min(r.fetch.failures, 6), maxFetchBackoff))
	r.fetch.failures++
}

// handleFetchAnswer handles the answer to the fetch in progress.
func (r *Replicator) handleFetchAnswer(now int64, m *Message) {
	p := r.peerFor(now, r.fetch.peer)
	if p == nil {
		return
	}
	r.fetch.nextAt = now
	if m != nil && m.hasContent() {
		r.fetch.progressAt = now
	}
	switch {
	case m == nil || m.Kind != MessageContent || p.backoffUntil > now:
		r.backOff(now)
	case m.Busy > 0:
		p.retryAt = now + min(m.Busy, p.maxBusyWait()) + r.randomUpTo(minFetchBackoff)
	case r.fetch.partial && !m.hasContent():
		p.retryAt = now + r.jitter(partialPeerBackoff)
		r.fetch.nextAt = now + r.jitter(partialFetchBackoff)
	case len(m.Records) > 0:
		r.handleRecords(now, p, m.Records)
	case r.chain.continuable(p):
		r.chain.misses++
		p.retryAt = now + r.jitter(maxFetchBackoff)
	case len(m.Index) > 0:
		r.handleIndex(now, p, m)
	case len(m.Blocks) > 0:
		r.handleBlocks(now, p, m.Blocks)
	default:
		r.handleEmptyAnswer(now, p)
	}
}

// handleRecords extends the record chain, unless this node has moved on from the revision at which the records begin.
func (r *Replicator) handleRecords(now int64, p *peer, records []Record) {
	at := r.ready
	if r.chain.content != nil {
		at = r.chain.revision
	}
	if r.fetch.from == at {
		r.extendChain(now, p, records)
	}
}

// handleIndex adopts the index of the wanted revision, unless that is ready by now or the base of the fetch has changed.
func (r *Replicator) handleIndex(now int64, p *peer, m *Message) {
	if r.fetch.want.Version <= r.ready.Version {
		return
	}
	r.chain = recordChain{}
	if r.fetch.base != r.assemblyBase() {
		return
	}
	if !r.applyIndex(m) {
		r.penalize(now, p)
		return
	}
	r.storeBlocks(now, p, nil)
}

// handleBlocks merges blocks, unless the base of the fetch has changed.
func (r *Replicator) handleBlocks(now int64, p *peer, blocks []Block) {
	if r.fetch.base == r.assemblyBase() {
		r.storeBlocks(now, p, blocks)
	}
}

// handleEmptyAnswer handles an answer without content: the wanted content is here already, the index is outdated, or the peer has nothing.
func (r *Replicator) handleEmptyAnswer(now int64, p *peer) {
	switch {
	case r.assemblyBase().Digest() == r.fetch.want.Digest: // no block differs: the wanted version has the content that is here already
		if goal, ok := r.goal(); ok && goal == r.fetch.want {
			r.setReady(goal, r.assemblyBase(), nil)
		}
	case r.assembly.index != nil && r.assembly.revision != r.fetch.want: // the goal changed meanwhile: fetch the newer index
		r.assembly.index = nil
	default: // the peer has no content for this node
		p.ready = Revision{} // not asked for versions until its next announcement
		p.retryAt = now + r.jitter(minFetchBackoff<<min(r.fetch.failures, 5))
		r.chain = recordChain{}
		r.backOff(now)
	}
}
