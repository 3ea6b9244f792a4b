package configsync

// maxWantedBlocks is the number of blocks requested at once: usually more than fit one answer, so that answers are filled.
const maxWantedBlocks = 16

// blockAssembly is a revision that is being assembled from blocks.
type blockAssembly struct {
	index    []byte // digests of the blocks of revision; nil if the index must be fetched first
	revision Revision
	content  *Content    // ready's content with the blocks received so far; nil before the first
	deltas   blockDeltas // the changes from ready's content to content
}

// blockDeltas holds the changes from one version to another by block. Each block is verified against an index when it is received, so
// an invalid answer is attributed to the peer that sent it, and a node can serve the verified blocks before it has all of them.
type blockDeltas struct {
	from, to   Revision
	blocks     map[int][]Item
	bytes      int
	overflowed bool // the changes exceeded maxRetainedBytes and were dropped
}

// put stores the changes of a block, replacing those that lead to an earlier version.
func (d *blockDeltas) put(n int, changes []Item) {
	d.bytes += sizeOf(changes) - sizeOf(d.blocks[n])
	if d.overflowed || d.bytes > maxRetainedBytes {
		*d = blockDeltas{overflowed: true}
		return
	}
	if d.blocks == nil {
		d.blocks = map[int][]Item{}
	}
	d.blocks[n] = changes
}

// all returns the changes of all blocks, in order of block number.
func (d *blockDeltas) all() (list []Item) {
	for n := range Blocks {
		list = append(list, d.blocks[n]...)
	}
	return list
}

// assemblyBase returns the content into which received blocks are merged.
func (r *Replicator) assemblyBase() *Content {
	if r.assembly.content != nil {
		return r.assembly.content
	}
	return r.readyContent
}

// requestMissing adds to a fetch the blocks that differ from the index. It starts at a random block, so that neighbours fetch different
// blocks and can exchange them.
func (r *Replicator) requestMissing(m *Message) {
	m.Missing = make([]byte, Blocks/8)
	first := r.random.Intn(Blocks)
	for k := range Blocks {
		n := (first + k) % Blocks
		want := digestAt(r.assembly.index, n)
		_, digest := r.assemblyBase().Block(n)
		if digest == want {
			continue
		}
		m.Missing[n/8] |= 1 << (n % 8)
		if len(m.Wanted) < maxWantedBlocks {
			m.Wanted = append(m.Wanted, uint16(n))
			m.Sums = want.append(m.Sums)
		}
	}
	r.fetch.index = r.assembly.index
	r.fetch.missing = m.Missing
}

// applyIndex builds the index of the wanted revision from received pages and, for pages that were not sent, from the base of the fetch.
// It reports whether the index is valid: its digests must add up to the revision's.
func (r *Replicator) applyIndex(m *Message) bool {
	const pageBytes = fanout * digestBytes
	if len(m.Index) != len(m.Pages)*pageBytes {
		return false
	}
	index := r.fetch.base.index()
	for k, page := range m.Pages {
		if int(page) >= fanout {
			return false
		}
		copy(index[int(page)*pageBytes:][:pageBytes], m.Index[k*pageBytes:])
	}
	sum := Digest{}
	for n := range Blocks {
		sum = sum.plus(digestAt(index, n))
	}
	if sum != r.fetch.want.Digest && !r.skipDigests {
		return false
	}
	r.assembly.index = index
	r.assembly.revision = r.fetch.want
	return true
}

// storeBlocks merges received blocks into the assembly, penalizes the peer if one is invalid, and makes the assembled revision ready once
// it is complete. The index may be that of a confirmed version older than the goal: most blocks are the same, and records may lead on.
func (r *Replicator) storeBlocks(now int64, p *peer, blocks []Block) {
	r.assembly.content = r.assemblyBase()
	if !r.mergeDeltas(blocks) {
		r.penalize(now, p)
		return
	}
	for k := range blocks {
		if len(blocks[k].Changes) == 0 && !r.storeWholeBlock(&blocks[k]) {
			r.penalize(now, p)
			return
		}
	}
	complete := r.assembly.content.Digest() == r.assembly.revision.Digest || r.skipDigests && len(blocks) > 0
	if complete && r.assemblyLeadsToGoal() {
		r.finishAssembly()
	}
}

// assemblyLeadsToGoal reports whether the assembled revision is the goal, or a confirmed one between the ready one and the goal.
func (r *Replicator) assemblyLeadsToGoal() bool {
	goal, ok := r.goal()
	if !ok {
		return false
	}
	revision := r.assembly.revision
	return goal == revision || revision.Version > r.ready.Version && revision.Version < goal.Version && r.isConfirmed(revision)
}

// storeWholeBlock stores a block that was sent whole, and reports whether the block is valid.
func (r *Replicator) storeWholeBlock(block *Block) bool {
	n := int(block.Number)
	want, requested := r.fetch.requested(block.Number)
	if !requested {
		return false
	}
	if digest, ok := checkBlock(n, block.Text); ok && r.skipDigests {
		want = digest
	}
	next := r.assembly.content.WithBlock(n, block.Text, want)
	if next == nil {
		return false
	}
	r.assembly.content = next
	before, _ := r.readyContent.Block(n)
	after, _ := next.Block(n)
	r.assembly.deltas.put(n, (&Difference{next: Blocks, old: before, new: after}).Next(maxBlockBytes))
	return true
}

// mergeDeltas applies the blocks that were sent as changes, and reports whether all match the index; otherwise the sender is at fault.
// Changes are applied to the ready version's blocks, from which they were requested, even if such a block has been replaced since.
func (r *Replicator) mergeDeltas(blocks []Block) bool {
	next := *r.assembly.content
	owned := [fanout]bool{}
	var changes []Item
	merged := map[int][]Item{}
	for k := range blocks {
		block := &blocks[k]
		if len(block.Changes) == 0 {
			continue
		}
		n := int(block.Number)
		if _, requested := r.fetch.requested(block.Number); !requested || merged[n] != nil || !block.validChanges() {
			return false
		}
		text, before := r.readyContent.Block(n)
		if _, now := next.Block(n); now != before {
			next.setBlock(n, text, &owned)
		}
		merged[n] = block.Changes
		changes = append(changes, block.Changes...)
	}
	if len(changes) == 0 {
		return true
	}
	content, err := next.Apply(changes)
	if err != nil {
		return false
	}
	for n := range merged {
		if _, digest := content.Block(n); digest != digestAt(r.fetch.index, n) && !r.skipDigests {
			return false
		}
	}
	r.assembly.content = content
	for n, changes := range merged {
		r.assembly.deltas.put(n, changes)
	}
	return true
}

// validChanges reports whether all changes are valid and of this block.
func (b *Block) validChanges() bool {
	for k := range b.Changes {
		item := &b.Changes[k]
		if item.validate() != nil || item.block() != int(b.Number) {
			return false
		}
	}
	return true
}

// finishAssembly makes the assembled revision ready, and retains its changes to serve them to others, unless they were too large.
func (r *Replicator) finishAssembly() {
	content := r.assembly.content
	deltas := r.assembly.deltas
	deltas.from = r.ready
	deltas.to = r.assembly.revision
	known := !deltas.overflowed && len(deltas.blocks) > 0
	if known && deltas.to.Version == deltas.from.Version+1 {
		record := &Record{Version: deltas.to.Version, Base: deltas.from.Digest, Digest: deltas.to.Digest, Changes: deltas.all()}
		r.setReady(deltas.to, content, []*Record{record})
		return
	}
	r.setReady(deltas.to, content, nil)
	if known {
		r.spanDeltas = deltas
	}
}
