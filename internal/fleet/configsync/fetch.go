package configsync

import "slices"

// fetch is the exchange that goes on.
type fetch struct {
	link    int // of the last one
	to      string
	until   int64 // 0 while none goes on
	next    int64
	fails   int
	gained  int64    // when something last came of one
	has     Revision // that it was asked from
	base    *Content
	want    Revision
	part    bool   // that peer has but some of it
	index   []byte // by which blocks were asked for
	missing []byte // a bit for each of them
}

// asked is the digest of a block that was asked for.
func (f *fetch) asked(n uint16) (Digest, bool) {
	if int(n) >= Blocks || !marked(f.missing, int(n)) {
		return Digest{}, false
	}
	return digestAt(f.index, int(n)), true
}

// marked says whether the bit of a block is set.
func marked(bits []byte, n int) bool { return n/8 < len(bits) && bits[n/8]>>(n%8)&1 == 1 }

// run is records that don't reach a version that was vouched for yet. Any peer may go on with it: it does so only where its own
// log has the mark that they came to, so what is false at their end is its own.
type run struct {
	from    string // who gave the last of them
	misses  int    // peers that could not go on with it
	mark    Revision
	content *Content
	records []*Record
	bytes   int
}

// deltas are changes from one version to another, block by block, each of which was compared with an index: so what is false is
// found with the answer that has it and only who gave it is at fault, and whoever has some of them can give them on.
type deltas struct {
	from, to Revision
	blocks   map[int][]Item
	bytes    int
	gaps     bool // there was no room for all of them
}

// put notes the changes of a block, in the place of those to an earlier version.
func (d *deltas) put(n int, changes []Item) {
	if d.bytes += sizeOf(changes) - sizeOf(d.blocks[n]); d.gaps || d.bytes > holdMost {
		*d = deltas{gaps: true}
		return
	}
	if d.blocks == nil {
		d.blocks = map[int][]Item{}
	}
	d.blocks[n] = changes
}

// all are the changes of all blocks.
func (d *deltas) all() (list []Item) {
	for n := range Blocks {
		list = append(list, d.blocks[n]...)
	}
	return list
}

// changes are those from one version to another, in order; none where this node doesn't know them.
func (h *Replicator) changes(from, to Revision) (list []Item) {
	if d := &h.span; d.to.Version > 0 && d.from == from && d.to.Version <= to.Version {
		if list, from = d.all(), d.to; from == to {
			return list
		}
	}
	records := between(h.records(), from, to.Version)
	if k := len(records); k == 0 || records[k-1].Version != to.Version || records[k-1].Digest != to.Digest {
		return nil
	}
	for _, r := range records {
		list = append(list, r.Changes...)
	}
	return list
}

// byBlock parts changes by the block that they are in. All are usable.
func byBlock(list []Item) map[int][]Item {
	parted := map[int][]Item{}
	for _, i := range list {
		n := i.block()
		parted[n] = append(parted[n], i)
	}
	return parted
}

// supplier is whom to ask for a version: a neighbour that has it, or a seat once none had it for a while.
func (h *Replicator) supplier(now int64, goal Revision) *peer {
	var may, part []*peer
	at := max(h.ready.Version, h.run.mark.Version)
	for _, name := range h.view.Neighbours {
		if p := h.peers[name]; p != nil && p.aside <= now && p.again <= now && p.has.Version > at {
			if p.has.Version >= goal.Version {
				may = append(may, p)
			} else if slices.Contains(h.marks, p.has) {
				part = append(part, p)
			}
		}
	}
	if len(may) == 0 {
		may = part // some of the way
	}
	if h.fetch.part = false; len(may) > 0 {
		return may[h.chance.Intn(len(may))]
	}
	others := 0
	if h.run.content == nil && (h.index != nil || now >= h.lacking+seatAfter) { // those that are on the way there too may have blocks already
		for _, name := range h.view.Neighbours {
			if p := h.peers[name]; p != nil && p.aside <= now && p.has.Version <= at && (p.head.All == goal || p.head.First == goal) {
				if others++; p.again <= now {
					may = append(may, p)
				}
			}
		}
	}
	full := len(may)
	if now >= h.lacking+seatAfter && (others == 0 || now >= max(h.lacking, h.fetch.gained)+herdAfter) {
		if p := h.known(now, h.seat(h.fetch.fails)); p != nil && p.name != "" && p.aside <= now && p.again <= now {
			may = append(may, p)
		}
	}
	if len(may) == 0 {
		return nil
	}
	k := h.chance.Intn(len(may))
	h.fetch.part = k < full
	return may[k]
}

// base is what blocks are put into.
func (h *Replicator) base() *Content {
	if h.staged != nil {
		return h.staged
	}
	return h.next
}

// missing asks for blocks that differ from the index.
func (h *Replicator) missing(m *Message) {
	m.Missing = make([]byte, Blocks/8)
	begin := h.chance.Intn(Blocks) // so that neighbours have different ones for each other
	for k := range Blocks {
		n := (begin + k) % Blocks
		want := digestAt(h.index, n)
		if _, sum := h.base().Block(n); sum == want {
			continue
		}
		if m.Missing[n/8] |= 1 << (n % 8); len(m.Wanted) < wantedMost {
			m.Wanted, m.Sums = append(m.Wanted, uint16(n)), want.append(m.Sums)
		}
	}
	h.fetch.index, h.fetch.missing = h.index, m.Missing
}

func (h *Replicator) missed(now int64) {
	h.Counters.Missed++
	h.fetch.until = 0
	if p := h.peers[h.fetch.to]; p != nil {
		p.again = now + h.about(fetchAgain<<min(h.fetch.fails, 5))
	}
	h.backoff(now)
}

func (h *Replicator) backoff(now int64) {
	h.fetch.next = now + h.draw(min(fetchAgain<<min(h.fetch.fails, 6), fetchMost))
	h.fetch.fails++
}

// came takes the answer to a fetch.
func (h *Replicator) came(now int64, m *Message, effects []Effect) []Effect {
	p := h.known(now, h.fetch.to)
	if p == nil {
		return effects
	}
	if h.fetch.next = now; m != nil && m.content() {
		h.fetch.gained = now
	}
	switch {
	case m == nil || m.Kind != Piece || p.aside > now:
		h.backoff(now)
	case m.Busy > 0:
		p.again = now + min(m.Busy, p.patience()) + h.draw(fetchAgain)
	case h.fetch.part && !m.content():
		p.again, h.fetch.next = now+h.about(partAgain), now+h.about(partNext)
	case len(m.Records) > 0:
		if h.fetch.has == h.ready && h.run.content == nil || h.run.content != nil && h.fetch.has == h.run.mark { // else it moved on meanwhile
			h.extend(now, p, m.Records)
		}
	case h.run.content != nil && h.run.from != p.name && h.run.misses < missesMost: // others may know how it goes on
		h.run.misses++
		p.again = now + h.about(fetchMost)
	case len(m.Index) > 0 && h.fetch.want.Version <= h.ready.Version: // it came by another way
	case len(m.Index) > 0:
		if h.run = (run{}); h.fetch.base != h.base() {
			break // it moved on meanwhile
		}
		if !h.indexWith(m) {
			h.lie(now, p)
			break
		}
		h.stock(now, p, nil)
	case len(m.Blocks) > 0 && h.fetch.base != h.base(): // it moved on meanwhile
	case len(m.Blocks) > 0:
		h.stock(now, p, m.Blocks)
	case h.base().Digest() == h.fetch.want.Digest: // no block differs: another version comes to what is here
		if goal, ok := h.goal(); ok && goal == h.fetch.want {
			h.readied(goal, h.base(), nil)
		}
	case h.index != nil && h.indexed != h.fetch.want: // what is missing changed since: the newer index is asked for
		h.index = nil
	default: // it has nothing of it
		p.has = Revision{} // until it tells again
		p.again = now + h.about(fetchAgain<<min(h.fetch.fails, 5))
		h.run = run{}
		h.backoff(now)
	}
	return effects
}

// extend carries out records of a peer, false where they were of no use. They count once they come to a digest that a
// seat vouched for.
func (h *Replicator) extend(now int64, p *peer, records []Record) bool {
	goal, ok := h.goal()
	if !ok {
		return false
	}
	if h.run.content == nil {
		h.run = run{from: p.name, mark: h.ready, content: h.next}
	}
	x := &h.run
	x.from, x.misses = p.name, 0
	for k := range records {
		r := records[k]
		if r.Replaced, r.size = nil, 0; r.Version > goal.Version { // newer than is wanted: it isn't vouched for yet
			break
		}
		content, err := x.content.Apply(r.Changes)
		if r.Version != x.mark.Version+1 || err != nil || !h.trusting && (r.Base != x.mark.Digest || content.Digest() != r.Digest) {
			h.run = run{}
			h.lie(now, p)
			return false
		}
		x.content, x.mark, x.records, x.bytes = content, Revision{r.Version, r.Digest}, append(x.records, &r), x.bytes+r.bytes()
		if x.mark != goal && slices.Contains(h.marks, x.mark) { // sound so far, whoever goes on with it
			h.readied(x.mark, x.content, x.records)
			h.run = run{from: p.name, mark: h.ready, content: h.next}
		}
	}
	switch {
	case x.mark == goal || h.trusting && x.mark.Version == goal.Version:
		p.lies = 0
		h.readied(goal, x.content, x.records)
	case x.mark.Version == goal.Version:
		h.run = run{}
		h.lie(now, p)
		return false
	case x.mark == h.ready: // no further, or not begun
		h.run = run{}
	case x.bytes > 2*holdMost:
		h.run = run{}
		return false
	}
	return true
}

// indexWith takes the index of what is wanted: pages that differ, beside those that this node has.
func (h *Replicator) indexWith(m *Message) bool {
	if len(m.Index) != len(m.Pages)*fan*digestBytes {
		return false
	}
	index, sum := h.fetch.base.index(), Digest{}
	for k, page := range m.Pages {
		if int(page) >= fan {
			return false
		}
		copy(index[int(page)*fan*digestBytes:][:fan*digestBytes], m.Index[k*fan*digestBytes:])
	}
	for n := range Blocks {
		sum = sum.plus(digestAt(index, n))
	}
	if sum != h.fetch.want.Digest && !h.trusting {
		return false
	}
	h.index, h.indexed = index, h.fetch.want
	return true
}

// stock takes blocks towards the index. One of a version that was vouched for before the goal is of use too: most blocks are
// alike, and records lead on from it.
func (h *Replicator) stock(now int64, p *peer, blocks []Block) {
	if h.staged = h.base(); !h.merge(blocks) {
		h.lie(now, p)
		return
	}
	for _, b := range blocks {
		if len(b.Changes) > 0 {
			continue
		}
		want, asked := h.fetch.asked(b.N)
		if !asked {
			h.lie(now, p)
			return
		}
		if sum, ok := checked(int(b.N), b.Text); ok && h.trusting {
			want = sum
		}
		next := h.staged.WithBlock(int(b.N), b.Text, want)
		if next == nil {
			h.lie(now, p)
			return
		}
		h.staged = next
		old, _ := h.next.Block(int(b.N))
		text, _ := next.Block(int(b.N))
		h.deltas.put(int(b.N), (&Difference{next: Blocks, old: old, new: text}).Next(blockMost))
	}
	if h.staged.Digest() == h.indexed.Digest || h.trusting && len(blocks) > 0 {
		if goal, ok := h.goal(); ok && (goal == h.indexed || h.indexed.Version > h.ready.Version && h.indexed.Version < goal.Version &&
			slices.Contains(h.marks, h.indexed)) {
			h.arrived()
		}
	}
}

// merge has blocks of which changes came in their place, false where one doesn't come to the index: who gave it is at fault. They
// are carried out on what this node asked them from, whatever came since.
func (h *Replicator) merge(blocks []Block) bool {
	next, own, changes, seen := *h.staged, [fan]bool{}, []Item(nil), map[int][]Item{}
	for _, b := range blocks {
		if len(b.Changes) == 0 {
			continue
		}
		if _, asked := h.fetch.asked(b.N); !asked || seen[int(b.N)] != nil {
			return false
		}
		for k := range b.Changes {
			if i := &b.Changes[k]; i.usable() != nil || i.block() != int(b.N) {
				return false
			}
		}
		text, sum := h.next.Block(int(b.N))
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
		if _, sum := merged.Block(n); sum != digestAt(h.fetch.index, n) && !h.trusting {
			return false
		}
	}
	h.staged = merged
	for n, changes := range seen {
		h.deltas.put(n, changes)
	}
	return true
}

// arrived has what came by blocks at hand. Others can have its changes of this node, unless they are too large.
func (h *Replicator) arrived() {
	d := h.deltas
	switch d.from, d.to = h.ready, h.indexed; {
	case d.gaps || len(d.blocks) == 0:
		h.readied(d.to, h.staged, nil)
	case d.to.Version == d.from.Version+1:
		h.readied(d.to, h.staged, []*Record{{Version: d.to.Version, Base: d.from.Digest, Digest: d.to.Digest, Changes: d.all()}})
	default:
		h.readied(d.to, h.staged, nil)
		h.span = d
	}
}

// serve answers a fetch within what the asker and all may have.
func (h *Replicator) serve(now int64, from string, m, answer *Message) {
	p := h.known(now, from)
	if p == nil {
		h.Counters.Busy++
		answer.Busy = 1_000 * ms
		return
	}
	if ns := now - p.filled; ns*askerRate >= 1_000_000_000 {
		p.tokens, p.filled = min(burst, p.tokens+min(ns, 10_000*ms)*askerRate/1_000_000_000), now
	}
	floor := int64(burst / 2) // what this node needs for itself comes first, then its neighbours, who give it to others
	if !p.neighbour {
		floor = burst * 3 / 4
	}
	if h.tokens < floor || p.tokens <= 0 {
		h.Counters.Busy++
		answer.Busy = max((floor-h.tokens)*1_000_000_000/rate, -p.tokens*1_000_000_000/askerRate, 50*ms)
		if h.tokens < floor { // one after another: asks of all at once would cost more than what they ask for
			turn := &h.turns[0]
			if !p.neighbour {
				turn = &h.turns[1]
			}
			*turn = min(max(*turn, now), now+p.patience())
			answer.Busy, *turn = max(answer.Busy, *turn-now), max(*turn, now+answer.Busy)+int64(pieceMost)*1_000_000_000/rate
		}
		return
	}
	switch {
	case len(m.Wanted) > 0:
		h.blocks(m, answer)
	default:
		if answer.Records = wired(between(h.records(), m.Has, m.Want.Version), pieceMost, false); len(answer.Records) == 0 {
			for _, c := range h.contents() {
				if c.Digest() == m.Want.Digest {
					pages(c.index(), m.Sums, answer)
					break
				}
			}
			if !answer.content() && h.index != nil && h.indexed == m.Want {
				pages(h.index, m.Sums, answer)
			}
		}
	}
	if answer.content() {
		p.tokens -= int64(answer.size())
	}
}

// patience is how long a busy peer is left alone at the most: one that isn't a neighbour has its own neighbours first.
func (p *peer) patience() int64 {
	if p.neighbour {
		return fetchMost
	}
	return strangerMost
}

// pages answers with the index of those that differ.
func pages(index, sums []byte, answer *Message) {
	if len(sums) != fan*digestBytes {
		sums = make([]byte, fan*digestBytes)
	}
	for k := range fan {
		page, sum := index[k*fan*digestBytes:][:fan*digestBytes], Digest{}
		for n := range fan {
			sum = sum.plus(digestAt(page, n))
		}
		if sum != digestAt(sums, k) {
			answer.Pages, answer.Index = append(answer.Pages, uint8(k)), append(answer.Index, page...)
		}
	}
}

// contents are all that this node has blocks of.
func (h *Replicator) contents() []*Content {
	list := []*Content{h.next, h.content}
	if h.agreed != nil {
		list = append(list, h.agreed.All, h.agreed.First, h.agreed.Newest)
	}
	return list
}

// blocks answers with those that have the digests that are asked for, or with what changes in those that are missing.
func (h *Replicator) blocks(m, answer *Message) {
	if len(m.Missing) > 0 && len(m.Wanted) > 0 {
		if h.deltasOf(m, answer); len(answer.Blocks) > 0 {
			return
		}
	}
	list, room := h.contents(), pieceMost
	for k, n := range m.Wanted[:min(len(m.Wanted), wantedMost, len(m.Sums)/digestBytes)] {
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

// deltasOf answers with missing blocks, the first that is wanted and those behind it, each as its changes, or whole where that is
// less; with none where this node doesn't know what changed.
func (h *Replicator) deltasOf(m, answer *Message) {
	parted, room := byBlock(h.changes(m.Has, m.Want)), pieceMost
	if len(parted) == 0 && h.staged != nil && h.index != nil && h.ready == m.Has && h.indexed == m.Want { // those that came so far
		for n, changes := range h.deltas.blocks {
			if _, sum := h.staged.Block(n); sum == digestAt(h.index, n) { // else of a version before that one
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
		if len(b.Changes) == 0 || !marked(m.Missing, n) {
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
