package configsync

import "slices"

// fetchState is the exchange that goes on.
type fetchState struct {
	link       int // of the last one
	peer       string
	deadline   int64 // 0 while none goes on
	nextAt     int64
	failures   int
	progressAt int64    // when something last came of one
	from       Revision // that it was asked from
	base       *Content
	want       Revision
	partial    bool   // that peer has but some of it
	index      []byte // by which blocks were asked for
	missing    []byte // a bit for each of them
}

// requested is the digest of a block that was requested for.
func (f *fetchState) requested(n uint16) (Digest, bool) {
	if int(n) >= Blocks || !bitSet(f.missing, int(n)) {
		return Digest{}, false
	}
	return digestAt(f.index, int(n)), true
}

// bitSet says whether the bit of a block is set.
func bitSet(bits []byte, n int) bool { return n/8 < len(bits) && bits[n/8]>>(n%8)&1 == 1 }

// recordRun is records that don't reach a version that was vouched for yet. Any peer may go on with it: it does so only where its own
// log has the mark that they came to, so what is false at their end is its own.
type recordRun struct {
	from     string // who gave the last of them
	misses   int    // peers that could not go on with it
	revision Revision
	content  *Content
	records  []*Record
	bytes    int
}

// blockDeltas are changes from one version to another, block by block, each of which was compared with an index: so what is false is
// found with the answer that has it and only who gave it is at fault, and whoever has some of them can give them on.
type blockDeltas struct {
	from, to   Revision
	blocks     map[int][]Item
	bytes      int
	overflowed bool // there was no room for all of them
}

// put notes the changes of a block, in the place of those to an earlier version.
func (d *blockDeltas) put(n int, changes []Item) {
	if d.bytes += sizeOf(changes) - sizeOf(d.blocks[n]); d.overflowed || d.bytes > maxRetainedBytes {
		*d = blockDeltas{overflowed: true}
		return
	}
	if d.blocks == nil {
		d.blocks = map[int][]Item{}
	}
	d.blocks[n] = changes
}

// all are the changes of all blocks.
func (d *blockDeltas) all() (list []Item) {
	for n := range Blocks {
		list = append(list, d.blocks[n]...)
	}
	return list
}

// changesBetween are those from one version to another, in order; none where this node doesn't know them.
func (h *Replicator) changesBetween(from, to Revision) (list []Item) {
	if d := &h.spanDeltas; d.to.Version > 0 && d.from == from && d.to.Version <= to.Version {
		if list, from = d.all(), d.to; from == to {
			return list
		}
	}
	records := recordsBetween(h.availableRecords(), from, to.Version)
	if k := len(records); k == 0 || records[k-1].Version != to.Version || records[k-1].Digest != to.Digest {
		return nil
	}
	for _, r := range records {
		list = append(list, r.Changes...)
	}
	return list
}

// groupByBlock parts changes by the block that they are in. All are usable.
func groupByBlock(list []Item) map[int][]Item {
	parted := map[int][]Item{}
	for _, i := range list {
		n := i.block()
		parted[n] = append(parted[n], i)
	}
	return parted
}

// choosePeer is whom to ask for a version: a neighbour that has it, or a seat once none had it for a while.
func (h *Replicator) choosePeer(now int64, goal Revision) *peer {
	var may, part []*peer
	at := max(h.ready.Version, h.run.revision.Version)
	for _, name := range h.view.Neighbours {
		if p := h.peers[name]; p != nil && p.backoffUntil <= now && p.retryAt <= now && p.ready.Version > at {
			if p.ready.Version >= goal.Version {
				may = append(may, p)
			} else if slices.Contains(h.confirmed, p.ready) {
				part = append(part, p)
			}
		}
	}
	if len(may) == 0 {
		may = part // some of the way
	}
	if h.fetch.partial = false; len(may) > 0 {
		return may[h.random.Intn(len(may))]
	}
	others := 0
	if h.run.content == nil && (h.blockIndex != nil || now >= h.goalSince+replicaFallbackDelay) { // those that are on the way there too may have blocks already
		for _, name := range h.view.Neighbours {
			if p := h.peers[name]; p != nil && p.backoffUntil <= now && p.ready.Version <= at && (p.head.All == goal || p.head.First == goal) {
				if others++; p.retryAt <= now {
					may = append(may, p)
				}
			}
		}
	}
	full := len(may)
	if now >= h.goalSince+replicaFallbackDelay && (others == 0 || now >= max(h.goalSince, h.fetch.progressAt)+thunderingHerdDelay) {
		if p := h.peerFor(now, h.reportTarget(h.fetch.failures)); p != nil && p.name != "" && p.backoffUntil <= now && p.retryAt <= now {
			may = append(may, p)
		}
	}
	if len(may) == 0 {
		return nil
	}
	k := h.random.Intn(len(may))
	h.fetch.partial = k < full
	return may[k]
}

// assemblyBase is what blocks are put into.
func (h *Replicator) assemblyBase() *Content {
	if h.assembled != nil {
		return h.assembled
	}
	return h.readyContent
}

// requestMissing asks for blocks that differ from the index.
func (h *Replicator) requestMissing(m *Message) {
	m.Missing = make([]byte, Blocks/8)
	begin := h.random.Intn(Blocks) // so that neighbours have different ones for each other
	for k := range Blocks {
		n := (begin + k) % Blocks
		want := digestAt(h.blockIndex, n)
		if _, sum := h.assemblyBase().Block(n); sum == want {
			continue
		}
		if m.Missing[n/8] |= 1 << (n % 8); len(m.Wanted) < maxWantedBlocks {
			m.Wanted, m.Sums = append(m.Wanted, uint16(n)), want.append(m.Sums)
		}
	}
	h.fetch.index, h.fetch.missing = h.blockIndex, m.Missing
}

func (h *Replicator) handleFetchFailure(now int64) {
	h.Counters.Missed++
	h.fetch.deadline = 0
	if p := h.peers[h.fetch.peer]; p != nil {
		p.retryAt = now + h.jitter(minFetchBackoff<<min(h.fetch.failures, 5))
	}
	h.backOff(now)
}

func (h *Replicator) backOff(now int64) {
	h.fetch.nextAt = now + h.randomUpTo(min(minFetchBackoff<<min(h.fetch.failures, 6), maxFetchBackoff))
	h.fetch.failures++
}

// handleFetchAnswer takes the answer to a fetch.
func (h *Replicator) handleFetchAnswer(now int64, m *Message, effects []Effect) []Effect {
	p := h.peerFor(now, h.fetch.peer)
	if p == nil {
		return effects
	}
	if h.fetch.nextAt = now; m != nil && m.hasContent() {
		h.fetch.progressAt = now
	}
	switch {
	case m == nil || m.Kind != Piece || p.backoffUntil > now:
		h.backOff(now)
	case m.Busy > 0:
		p.retryAt = now + min(m.Busy, p.maxBusyWait()) + h.randomUpTo(minFetchBackoff)
	case h.fetch.partial && !m.hasContent():
		p.retryAt, h.fetch.nextAt = now+h.jitter(partialPeerBackoff), now+h.jitter(partialFetchBackoff)
	case len(m.Records) > 0:
		if h.fetch.from == h.ready && h.run.content == nil || h.run.content != nil && h.fetch.from == h.run.revision { // else it moved on meanwhile
			h.extendRun(now, p, m.Records)
		}
	case h.run.content != nil && h.run.from != p.name && h.run.misses < maxRunMisses: // others may know how it goes on
		h.run.misses++
		p.retryAt = now + h.jitter(maxFetchBackoff)
	case len(m.Index) > 0 && h.fetch.want.Version <= h.ready.Version: // it came by another way
	case len(m.Index) > 0:
		if h.run = (recordRun{}); h.fetch.base != h.assemblyBase() {
			break // it moved on meanwhile
		}
		if !h.applyIndex(m) {
			h.penalize(now, p)
			break
		}
		h.storeBlocks(now, p, nil)
	case len(m.Blocks) > 0 && h.fetch.base != h.assemblyBase(): // it moved on meanwhile
	case len(m.Blocks) > 0:
		h.storeBlocks(now, p, m.Blocks)
	case h.assemblyBase().Digest() == h.fetch.want.Digest: // no block differs: another version comes to what is here
		if goal, ok := h.goal(); ok && goal == h.fetch.want {
			h.setReady(goal, h.assemblyBase(), nil)
		}
	case h.blockIndex != nil && h.indexRevision != h.fetch.want: // what is missing changed since: the newer index is asked for
		h.blockIndex = nil
	default: // it has nothing of it
		p.ready = Revision{} // until it tells again
		p.retryAt = now + h.jitter(minFetchBackoff<<min(h.fetch.failures, 5))
		h.run = recordRun{}
		h.backOff(now)
	}
	return effects
}

// extendRun carries out records of a peer, false where they were of no use. They count once they come to a digest that a
// seat vouched for.
func (h *Replicator) extendRun(now int64, p *peer, records []Record) bool {
	goal, ok := h.goal()
	if !ok {
		return false
	}
	if h.run.content == nil {
		h.run = recordRun{from: p.name, revision: h.ready, content: h.readyContent}
	}
	x := &h.run
	x.from, x.misses = p.name, 0
	for k := range records {
		r := records[k]
		if r.Replaced, r.size = nil, 0; r.Version > goal.Version { // newer than is wanted: it isn't vouched for yet
			break
		}
		content, err := x.content.Apply(r.Changes)
		if r.Version != x.revision.Version+1 || err != nil || !h.skipDigests && (r.Base != x.revision.Digest || content.Digest() != r.Digest) {
			h.run = recordRun{}
			h.penalize(now, p)
			return false
		}
		x.content, x.revision, x.records, x.bytes = content, Revision{r.Version, r.Digest}, append(x.records, &r), x.bytes+r.bytes()
		if x.revision != goal && slices.Contains(h.confirmed, x.revision) { // sound so far, whoever goes on with it
			h.setReady(x.revision, x.content, x.records)
			h.run = recordRun{from: p.name, revision: h.ready, content: h.readyContent}
		}
	}
	switch {
	case x.revision == goal || h.skipDigests && x.revision.Version == goal.Version:
		p.invalidResponses = 0
		h.setReady(goal, x.content, x.records)
	case x.revision.Version == goal.Version:
		h.run = recordRun{}
		h.penalize(now, p)
		return false
	case x.revision == h.ready: // no further, or not begun
		h.run = recordRun{}
	case x.bytes > 2*maxRetainedBytes:
		h.run = recordRun{}
		return false
	}
	return true
}

// applyIndex takes the index of what is wanted: pages that differ, beside those that this node has.
func (h *Replicator) applyIndex(m *Message) bool {
	if len(m.Index) != len(m.Pages)*fanout*digestBytes {
		return false
	}
	index, sum := h.fetch.base.index(), Digest{}
	for k, page := range m.Pages {
		if int(page) >= fanout {
			return false
		}
		copy(index[int(page)*fanout*digestBytes:][:fanout*digestBytes], m.Index[k*fanout*digestBytes:])
	}
	for n := range Blocks {
		sum = sum.plus(digestAt(index, n))
	}
	if sum != h.fetch.want.Digest && !h.skipDigests {
		return false
	}
	h.blockIndex, h.indexRevision = index, h.fetch.want
	return true
}

// storeBlocks takes blocks towards the index. One of a version that was vouched for before the goal is of use too: most blocks are
// alike, and records lead on from it.
func (h *Replicator) storeBlocks(now int64, p *peer, blocks []Block) {
	if h.assembled = h.assemblyBase(); !h.mergeDeltas(blocks) {
		h.penalize(now, p)
		return
	}
	for _, b := range blocks {
		if len(b.Changes) > 0 {
			continue
		}
		want, asked := h.fetch.requested(b.N)
		if !asked {
			h.penalize(now, p)
			return
		}
		if sum, ok := checkBlock(int(b.N), b.Text); ok && h.skipDigests {
			want = sum
		}
		next := h.assembled.WithBlock(int(b.N), b.Text, want)
		if next == nil {
			h.penalize(now, p)
			return
		}
		h.assembled = next
		old, _ := h.readyContent.Block(int(b.N))
		text, _ := next.Block(int(b.N))
		h.assembledDeltas.put(int(b.N), (&Difference{next: Blocks, old: old, new: text}).Next(maxBlockBytes))
	}
	if h.assembled.Digest() == h.indexRevision.Digest || h.skipDigests && len(blocks) > 0 {
		if goal, ok := h.goal(); ok && (goal == h.indexRevision || h.indexRevision.Version > h.ready.Version && h.indexRevision.Version < goal.Version &&
			slices.Contains(h.confirmed, h.indexRevision)) {
			h.finishAssembly()
		}
	}
}

// mergeDeltas has blocks of which changes came in their place, false where one doesn't come to the index: who gave it is at fault. They
// are carried out on what this node asked them from, whatever came since.
func (h *Replicator) mergeDeltas(blocks []Block) bool {
	next, own, changes, seen := *h.assembled, [fanout]bool{}, []Item(nil), map[int][]Item{}
	for _, b := range blocks {
		if len(b.Changes) == 0 {
			continue
		}
		if _, asked := h.fetch.requested(b.N); !asked || seen[int(b.N)] != nil {
			return false
		}
		for k := range b.Changes {
			if i := &b.Changes[k]; i.validate() != nil || i.block() != int(b.N) {
				return false
			}
		}
		text, sum := h.readyContent.Block(int(b.N))
		if _, other := next.Block(int(b.N)); other != sum {
			next.set(int(b.N), text, &own)
		}
		seen[int(b.N)], changes = b.Changes, append(changes, b.Changes...)
	}
	if len(changes) == 0 {
		return true
	}
	merged, err := next.Apply(changes)
	if err != nil {
		return false
	}
	for n := range seen {
		if _, sum := merged.Block(n); sum != digestAt(h.fetch.index, n) && !h.skipDigests {
			return false
		}
	}
	h.assembled = merged
	for n, changes := range seen {
		h.assembledDeltas.put(n, changes)
	}
	return true
}

// finishAssembly has what came by blocks at hand. Others can have its changes of this node, unless they are too large.
func (h *Replicator) finishAssembly() {
	d := h.assembledDeltas
	switch d.from, d.to = h.ready, h.indexRevision; {
	case d.overflowed || len(d.blocks) == 0:
		h.setReady(d.to, h.assembled, nil)
	case d.to.Version == d.from.Version+1:
		h.setReady(d.to, h.assembled, []*Record{{Version: d.to.Version, Base: d.from.Digest, Digest: d.to.Digest, Changes: d.all()}})
	default:
		h.setReady(d.to, h.assembled, nil)
		h.spanDeltas = d
	}
}

// serveFetch answers a fetch within what the asker and all may have.
func (h *Replicator) serveFetch(now int64, from string, m, answer *Message) {
	p := h.peerFor(now, from)
	if p == nil {
		h.Counters.Busy++
		answer.Busy = 1_000 * ms
		return
	}
	if ns := now - p.refilledAt; ns*peerBytesPerSecond >= 1_000_000_000 {
		p.tokens, p.refilledAt = min(burstBytes, p.tokens+min(ns, 10_000*ms)*peerBytesPerSecond/1_000_000_000), now
	}
	floor := int64(burstBytes / 2) // what this node needs for itself comes first, then its neighbours, who give it to others
	if !p.neighbour {
		floor = burstBytes * 3 / 4
	}
	if h.tokens < floor || p.tokens <= 0 {
		h.Counters.Busy++
		answer.Busy = max((floor-h.tokens)*1_000_000_000/bytesPerSecond, -p.tokens*1_000_000_000/peerBytesPerSecond, 50*ms)
		if h.tokens < floor { // one after another: asks of all at once would cost more than what they ask for
			turn := &h.admissionSlots[0]
			if !p.neighbour {
				turn = &h.admissionSlots[1]
			}
			*turn = min(max(*turn, now), now+p.maxBusyWait())
			answer.Busy, *turn = max(answer.Busy, *turn-now), max(*turn, now+answer.Busy)+int64(maxPieceBytes)*1_000_000_000/bytesPerSecond
		}
		return
	}
	switch {
	case len(m.Wanted) > 0:
		h.serveBlocks(m, answer)
	default:
		if answer.Records = wireRecords(recordsBetween(h.availableRecords(), m.Has, m.Want.Version), maxPieceBytes, false); len(answer.Records) == 0 {
			for _, c := range h.contents() {
				if c.Digest() == m.Want.Digest {
					appendDifferingPages(c.index(), m.Sums, answer)
					break
				}
			}
			if !answer.hasContent() && h.blockIndex != nil && h.indexRevision == m.Want {
				appendDifferingPages(h.blockIndex, m.Sums, answer)
			}
		}
	}
	if answer.hasContent() {
		p.tokens -= int64(answer.size())
	}
}

// maxBusyWait is how long a busy peer is left alone at the most: one that isn't a neighbour has its own neighbours first.
func (p *peer) maxBusyWait() int64 {
	if p.neighbour {
		return maxFetchBackoff
	}
	return maxNonNeighbourWait
}

// appendDifferingPages answers with the index of those that differ.
func appendDifferingPages(index, sums []byte, answer *Message) {
	if len(sums) != fanout*digestBytes {
		sums = make([]byte, fanout*digestBytes)
	}
	for k := range fanout {
		page, sum := index[k*fanout*digestBytes:][:fanout*digestBytes], Digest{}
		for n := range fanout {
			sum = sum.plus(digestAt(page, n))
		}
		if sum != digestAt(sums, k) {
			answer.Pages, answer.Index = append(answer.Pages, uint8(k)), append(answer.Index, page...)
		}
	}
}

// contents are all that this node has blocks of.
func (h *Replicator) contents() []*Content {
	list := []*Content{h.readyContent, h.appliedContent}
	if h.agreed != nil {
		list = append(list, h.agreed.All, h.agreed.First, h.agreed.Newest)
	}
	return list
}

// serveBlocks answers with those that have the digests that are asked for, or with what changes in those that are missing.
func (h *Replicator) serveBlocks(m, answer *Message) {
	if len(m.Missing) > 0 && len(m.Wanted) > 0 {
		if h.serveDeltas(m, answer); len(answer.Blocks) > 0 {
			return
		}
	}
	list, room := h.contents(), maxPieceBytes
	for k, n := range m.Wanted[:min(len(m.Wanted), maxWantedBlocks, len(m.Sums)/digestBytes)] {
		for _, c := range list {
			if int(n) >= Blocks {
				break
			}
			if text, sum := c.Block(int(n)); sum == digestAt(m.Sums, k) {
				if room -= len(text); room < 0 && len(answer.Blocks) > 0 {
					return
				}
				answer.Blocks = append(answer.Blocks, Block{N: n, Text: text})
				break
			}
		}
	}
}

// serveDeltas answers with missing blocks, the first that is wanted and those behind it, each as its changes, or whole where that is
// less; with none where this node doesn't know what changed.
func (h *Replicator) serveDeltas(m, answer *Message) {
	parted, room := groupByBlock(h.changesBetween(m.Has, m.Want)), maxPieceBytes
	if len(parted) == 0 && h.assembled != nil && h.blockIndex != nil && h.ready == m.Has && h.indexRevision == m.Want { // those that came so far
		for n, changes := range h.assembledDeltas.blocks {
			if _, sum := h.assembled.Block(n); sum == digestAt(h.blockIndex, n) { // else of a version before that one
				parted[n] = changes
			}
		}
	}
	var whole *Content
	for _, c := range h.contents() {
		if c.Digest() == m.Want.Digest {
			whole = c
			break
		}
	}
	for k := range Blocks {
		n := (int(m.Wanted[0]) + k) % Blocks
		b := Block{N: uint16(n), Changes: parted[n]}
		if len(b.Changes) == 0 || !bitSet(m.Missing, n) {
			continue
		}
		if whole != nil {
			if text, _ := whole.Block(n); len(text) <= sizeOf(b.Changes) {
				b.Text, b.Changes = text, nil
			}
		}
		if room -= b.bytes(); room < 0 && len(answer.Blocks) > 0 {
			return
		}
		answer.Blocks = append(answer.Blocks, b)
	}
}
