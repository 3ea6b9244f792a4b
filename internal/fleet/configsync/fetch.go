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
func (r *Replicator) changesBetween(from, to Revision) (list []Item) {
	if d := &r.spanDeltas; d.to.Version > 0 && d.from == from && d.to.Version <= to.Version {
		if list, from = d.all(), d.to; from == to {
			return list
		}
	}
	records := recordsBetween(r.availableRecords(), from, to.Version)
	if k := len(records); k == 0 || records[k-1].Version != to.Version || records[k-1].Digest != to.Digest {
		return nil
	}
	for _, record := range records {
		list = append(list, record.Changes...)
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
func (r *Replicator) choosePeer(now int64, goal Revision) *peer {
	var may, part []*peer
	at := max(r.ready.Version, r.run.revision.Version)
	for _, name := range r.view.Neighbours {
		if p := r.peers[name]; p != nil && p.backoffUntil <= now && p.retryAt <= now && p.ready.Version > at {
			if p.ready.Version >= goal.Version {
				may = append(may, p)
			} else if slices.Contains(r.confirmed, p.ready) {
				part = append(part, p)
			}
		}
	}
	if len(may) == 0 {
		may = part // some of the way
	}
	if r.fetch.partial = false; len(may) > 0 {
		return may[r.random.Intn(len(may))]
	}
	others := 0
	if r.run.content == nil && (r.blockIndex != nil || now >= r.goalSince+replicaFallbackDelay) { // those that are on the way there too may have blocks already
		for _, name := range r.view.Neighbours {
			if p := r.peers[name]; p != nil && p.backoffUntil <= now && p.ready.Version <= at && (p.head.All == goal || p.head.First == goal) {
				if others++; p.retryAt <= now {
					may = append(may, p)
				}
			}
		}
	}
	full := len(may)
	if now >= r.goalSince+replicaFallbackDelay && (others == 0 || now >= max(r.goalSince, r.fetch.progressAt)+thunderingHerdDelay) {
		if p := r.peerFor(now, r.reportTarget(r.fetch.failures)); p != nil && p.name != "" && p.backoffUntil <= now && p.retryAt <= now {
			may = append(may, p)
		}
	}
	if len(may) == 0 {
		return nil
	}
	k := r.random.Intn(len(may))
	r.fetch.partial = k < full
	return may[k]
}

// assemblyBase is what blocks are put into.
func (r *Replicator) assemblyBase() *Content {
	if r.assembled != nil {
		return r.assembled
	}
	return r.readyContent
}

// requestMissing asks for blocks that differ from the index.
func (r *Replicator) requestMissing(m *Message) {
	m.Missing = make([]byte, Blocks/8)
	begin := r.random.Intn(Blocks) // so that neighbours have different ones for each other
	for k := range Blocks {
		n := (begin + k) % Blocks
		want := digestAt(r.blockIndex, n)
		if _, sum := r.assemblyBase().Block(n); sum == want {
			continue
		}
		if m.Missing[n/8] |= 1 << (n % 8); len(m.Wanted) < maxWantedBlocks {
			m.Wanted, m.Sums = append(m.Wanted, uint16(n)), want.append(m.Sums)
		}
	}
	r.fetch.index, r.fetch.missing = r.blockIndex, m.Missing
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

// handleFetchAnswer takes the answer to a fetch.
func (r *Replicator) handleFetchAnswer(now int64, m *Message, effects []Effect) []Effect {
	p := r.peerFor(now, r.fetch.peer)
	if p == nil {
		return effects
	}
	if r.fetch.nextAt = now; m != nil && m.hasContent() {
		r.fetch.progressAt = now
	}
	switch {
	case m == nil || m.Kind != Piece || p.backoffUntil > now:
		r.backOff(now)
	case m.Busy > 0:
		p.retryAt = now + min(m.Busy, p.maxBusyWait()) + r.randomUpTo(minFetchBackoff)
	case r.fetch.partial && !m.hasContent():
		p.retryAt, r.fetch.nextAt = now+r.jitter(partialPeerBackoff), now+r.jitter(partialFetchBackoff)
	case len(m.Records) > 0:
		if r.fetch.from == r.ready && r.run.content == nil || r.run.content != nil && r.fetch.from == r.run.revision { // else it moved on meanwhile
			r.extendRun(now, p, m.Records)
		}
	case r.run.content != nil && r.run.from != p.name && r.run.misses < maxRunMisses: // others may know how it goes on
		r.run.misses++
		p.retryAt = now + r.jitter(maxFetchBackoff)
	case len(m.Index) > 0 && r.fetch.want.Version <= r.ready.Version: // it came by another way
	case len(m.Index) > 0:
		if r.run = (recordRun{}); r.fetch.base != r.assemblyBase() {
			break // it moved on meanwhile
		}
		if !r.applyIndex(m) {
			r.penalize(now, p)
			break
		}
		r.storeBlocks(now, p, nil)
	case len(m.Blocks) > 0 && r.fetch.base != r.assemblyBase(): // it moved on meanwhile
	case len(m.Blocks) > 0:
		r.storeBlocks(now, p, m.Blocks)
	case r.assemblyBase().Digest() == r.fetch.want.Digest: // no block differs: another version comes to what is here
		if goal, ok := r.goal(); ok && goal == r.fetch.want {
			r.setReady(goal, r.assemblyBase(), nil)
		}
	case r.blockIndex != nil && r.indexRevision != r.fetch.want: // what is missing changed since: the newer index is asked for
		r.blockIndex = nil
	default: // it has nothing of it
		p.ready = Revision{} // until it tells again
		p.retryAt = now + r.jitter(minFetchBackoff<<min(r.fetch.failures, 5))
		r.run = recordRun{}
		r.backOff(now)
	}
	return effects
}

// extendRun carries out records of a peer, false where they were of no use. They count once they come to a digest that a
// seat vouched for.
func (r *Replicator) extendRun(now int64, p *peer, records []Record) bool {
	goal, ok := r.goal()
	if !ok {
		return false
	}
	if r.run.content == nil {
		r.run = recordRun{from: p.name, revision: r.ready, content: r.readyContent}
	}
	run := &r.run
	run.from, run.misses = p.name, 0
	for k := range records {
		record := records[k]
		if record.Replaced, record.size = nil, 0; record.Version > goal.Version { // newer than is wanted: it isn't vouched for yet
			break
		}
		content, err := run.content.Apply(record.Changes)
		if record.Version != run.revision.Version+1 || err != nil || !r.skipDigests && (record.Base != run.revision.Digest || content.Digest() != record.Digest) {
			r.run = recordRun{}
			r.penalize(now, p)
			return false
		}
		run.content, run.revision, run.records, run.bytes = content, Revision{record.Version, record.Digest}, append(run.records, &record), run.bytes+record.bytes()
		if run.revision != goal && slices.Contains(r.confirmed, run.revision) { // sound so far, whoever goes on with it
			r.setReady(run.revision, run.content, run.records)
			r.run = recordRun{from: p.name, revision: r.ready, content: r.readyContent}
		}
	}
	switch {
	case run.revision == goal || r.skipDigests && run.revision.Version == goal.Version:
		p.invalidResponses = 0
		r.setReady(goal, run.content, run.records)
	case run.revision.Version == goal.Version:
		r.run = recordRun{}
		r.penalize(now, p)
		return false
	case run.revision == r.ready: // no further, or not begun
		r.run = recordRun{}
	case run.bytes > 2*maxRetainedBytes:
		r.run = recordRun{}
		return false
	}
	return true
}

// applyIndex takes the index of what is wanted: pages that differ, beside those that this node has.
func (r *Replicator) applyIndex(m *Message) bool {
	if len(m.Index) != len(m.Pages)*fanout*digestBytes {
		return false
	}
	index, sum := r.fetch.base.index(), Digest{}
	for k, page := range m.Pages {
		if int(page) >= fanout {
			return false
		}
		copy(index[int(page)*fanout*digestBytes:][:fanout*digestBytes], m.Index[k*fanout*digestBytes:])
	}
	for n := range Blocks {
		sum = sum.plus(digestAt(index, n))
	}
	if sum != r.fetch.want.Digest && !r.skipDigests {
		return false
	}
	r.blockIndex, r.indexRevision = index, r.fetch.want
	return true
}

// storeBlocks takes blocks towards the index. One of a version that was vouched for before the goal is of use too: most blocks are
// alike, and records lead on from it.
func (r *Replicator) storeBlocks(now int64, p *peer, blocks []Block) {
	if r.assembled = r.assemblyBase(); !r.mergeDeltas(blocks) {
		r.penalize(now, p)
		return
	}
	for _, block := range blocks {
		if len(block.Changes) > 0 {
			continue
		}
		want, asked := r.fetch.requested(block.N)
		if !asked {
			r.penalize(now, p)
			return
		}
		if sum, ok := checkBlock(int(block.N), block.Text); ok && r.skipDigests {
			want = sum
		}
		next := r.assembled.WithBlock(int(block.N), block.Text, want)
		if next == nil {
			r.penalize(now, p)
			return
		}
		r.assembled = next
		old, _ := r.readyContent.Block(int(block.N))
		text, _ := next.Block(int(block.N))
		r.assembledDeltas.put(int(block.N), (&Difference{next: Blocks, old: old, new: text}).Next(maxBlockBytes))
	}
	if r.assembled.Digest() == r.indexRevision.Digest || r.skipDigests && len(blocks) > 0 {
		if goal, ok := r.goal(); ok && (goal == r.indexRevision || r.indexRevision.Version > r.ready.Version && r.indexRevision.Version < goal.Version &&
			slices.Contains(r.confirmed, r.indexRevision)) {
			r.finishAssembly()
		}
	}
}

// mergeDeltas has blocks of which changes came in their place, false where one doesn't come to the index: who gave it is at fault. They
// are carried out on what this node asked them from, whatever came since.
func (r *Replicator) mergeDeltas(blocks []Block) bool {
	next, own, changes, seen := *r.assembled, [fanout]bool{}, []Item(nil), map[int][]Item{}
	for _, b := range blocks {
		if len(b.Changes) == 0 {
			continue
		}
		if _, asked := r.fetch.requested(b.N); !asked || seen[int(b.N)] != nil {
			return false
		}
		for k := range b.Changes {
			if i := &b.Changes[k]; i.validate() != nil || i.block() != int(b.N) {
				return false
			}
		}
		text, sum := r.readyContent.Block(int(b.N))
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
		if _, sum := merged.Block(n); sum != digestAt(r.fetch.index, n) && !r.skipDigests {
			return false
		}
	}
	r.assembled = merged
	for n, changes := range seen {
		r.assembledDeltas.put(n, changes)
	}
	return true
}

// finishAssembly has what came by blocks at hand. Others can have its changes of this node, unless they are too large.
func (r *Replicator) finishAssembly() {
	d := r.assembledDeltas
	switch d.from, d.to = r.ready, r.indexRevision; {
	case d.overflowed || len(d.blocks) == 0:
		r.setReady(d.to, r.assembled, nil)
	case d.to.Version == d.from.Version+1:
		r.setReady(d.to, r.assembled, []*Record{{Version: d.to.Version, Base: d.from.Digest, Digest: d.to.Digest, Changes: d.all()}})
	default:
		r.setReady(d.to, r.assembled, nil)
		r.spanDeltas = d
	}
}

// serveFetch answers a fetch within what the asker and all may have.
func (r *Replicator) serveFetch(now int64, from string, m, answer *Message) {
	p := r.peerFor(now, from)
	if p == nil {
		r.Counters.Busy++
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
	if r.tokens < floor || p.tokens <= 0 {
		r.Counters.Busy++
		answer.Busy = max((floor-r.tokens)*1_000_000_000/bytesPerSecond, -p.tokens*1_000_000_000/peerBytesPerSecond, 50*ms)
		if r.tokens < floor { // one after another: asks of all at once would cost more than what they ask for
			turn := &r.admissionSlots[0]
			if !p.neighbour {
				turn = &r.admissionSlots[1]
			}
			*turn = min(max(*turn, now), now+p.maxBusyWait())
			answer.Busy, *turn = max(answer.Busy, *turn-now), max(*turn, now+answer.Busy)+int64(maxPieceBytes)*1_000_000_000/bytesPerSecond
		}
		return
	}
	switch {
	case len(m.Wanted) > 0:
		r.serveBlocks(m, answer)
	default:
		if answer.Records = wireRecords(recordsBetween(r.availableRecords(), m.Has, m.Want.Version), maxPieceBytes, false); len(answer.Records) == 0 {
			for _, c := range r.contents() {
				if c.Digest() == m.Want.Digest {
					appendDifferingPages(c.index(), m.Sums, answer)
					break
				}
			}
			if !answer.hasContent() && r.blockIndex != nil && r.indexRevision == m.Want {
				appendDifferingPages(r.blockIndex, m.Sums, answer)
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
func (r *Replicator) contents() []*Content {
	list := []*Content{r.readyContent, r.appliedContent}
	if r.agreed != nil {
		list = append(list, r.agreed.All, r.agreed.First, r.agreed.Newest)
	}
	return list
}

// serveBlocks answers with those that have the digests that are asked for, or with what changes in those that are missing.
func (r *Replicator) serveBlocks(m, answer *Message) {
	if len(m.Missing) > 0 && len(m.Wanted) > 0 {
		if r.serveDeltas(m, answer); len(answer.Blocks) > 0 {
			return
		}
	}
	list, room := r.contents(), maxPieceBytes
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
func (r *Replicator) serveDeltas(m, answer *Message) {
	parted, room := groupByBlock(r.changesBetween(m.Has, m.Want)), maxPieceBytes
	if len(parted) == 0 && r.assembled != nil && r.blockIndex != nil && r.ready == m.Has && r.indexRevision == m.Want { // those that came so far
		for n, changes := range r.assembledDeltas.blocks {
			if _, sum := r.assembled.Block(n); sum == digestAt(r.blockIndex, n) { // else of a version before that one
				parted[n] = changes
			}
		}
	}
	var whole *Content
	for _, c := range r.contents() {
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
