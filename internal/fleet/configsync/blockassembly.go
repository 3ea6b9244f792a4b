package configsync

// maxWantedBlocks is how many blocks are requested at once: more than fit an answer.
const maxWantedBlocks = 16

// blockAssembly is a version that is assembled from blocks.
type blockAssembly struct {
	index    []byte // digests of revision's blocks, nil where it is to be fetched
	revision Revision
	content  *Content    // as far as blocks came, nil for none
	deltas   blockDeltas // what content differs in from ready
}

// blockDeltas are changes from one version to another, block by block. Each block was compared with an index, so an invalid one is
// found in the answer that has it, and whoever has some of them can give them to others.
type blockDeltas struct {
	from, to   Revision
	blocks     map[int][]Item
	bytes      int
	overflowed bool // there was no room for all of them
}

// put notes the changes of a block, in place of those to an earlier version.
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

// all are the changes of all blocks.
func (d *blockDeltas) all() (list []Item) {
	for n := range Blocks {
		list = append(list, d.blocks[n]...)
	}
	return list
}

// assemblyBase is what blocks are put into.
func (r *Replicator) assemblyBase() *Content {
	if r.assembly.content != nil {
		return r.assembly.content
	}
	return r.readyContent
}

// requestMissing requests blocks that differ from the index, from a random one on, so that neighbours get different ones to give to
// each other.
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

// applyIndex takes the index of what is fetched: pages that differ, beside those that this node has. It is false for an invalid one.
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

// storeBlocks takes blocks towards the index. One of a version that was confirmed before the goal is of use too: most blocks are alike,
// and records lead on from it.
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
	if complete && r.assemblyOfUse() {
		r.finishAssembly()
	}
}

// assemblyOfUse reports whether what is assembled is the goal, or confirmed and on the way there.
func (r *Replicator) assemblyOfUse() bool {
	goal, ok := r.goal()
	if !ok {
		return false
	}
	revision := r.assembly.revision
	return goal == revision || revision.Version > r.ready.Version && revision.Version < goal.Version && r.isConfirmed(revision)
}

// storeWholeBlock puts a block that came as a whole in its place, false for an invalid one.
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

// mergeDeltas applies the blocks that came as changes, false where one doesn't match the index: who gave it is at fault. They are
// applied to what they were requested from, whatever came since.
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

// finishAssembly makes what was assembled ready. Others can have its changes of this node, unless they are too large.
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
