package configuration

import "slices"

// fetch is the exchange that goes on.
type fetch struct {
	link  int // of the last one
	to    string
	until int64 // 0 while none goes on
	next  int64
	fails int
	has   Mark // that it was asked from
	base  *Content
	want  Mark
	sums  map[uint16]Digest // of the blocks that were asked for
}

// run is records that don't reach a version that was vouched for yet. Any peer may go on with it: it does so only where its own
// log has the mark that they came to, so what is false at their end is its own.
type run struct {
	from    string // who gave the last of them
	misses  int    // peers that could not go on with it
	mark    Mark
	content *Content
	records []*Record
	bytes   int
}

// supplier is whom to ask for a version: a neighbour that has it, or a seat once none had it for a while.
func (h *Holder) supplier(now int64, goal Mark) *peer {
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
	if len(may) == 0 && now >= h.lacking+seatAfter {
		if p := h.known(now, h.seat(h.fetch.fails)); p != nil && p.name != "" && p.aside <= now && p.again <= now {
			may = append(may, p)
		}
	}
	if len(may) == 0 {
		return nil
	}
	return may[h.chance.Intn(len(may))]
}

// base is what blocks are put into.
func (h *Holder) base() *Content {
	if h.staged != nil {
		return h.staged
	}
	return h.next
}

// missing asks for blocks that differ from the index.
func (h *Holder) missing(m *Message) {
	h.fetch.sums = map[uint16]Digest{}
	begin := h.chance.Intn(Blocks) // so that neighbours have different ones for each other
	for k := 0; k < Blocks && len(m.Wanted) < wantedMost; k++ {
		n := (begin + k) % Blocks
		if _, sum := h.base().Block(n); sum != digestAt(h.index, n) {
			want := digestAt(h.index, n)
			m.Wanted, m.Sums = append(m.Wanted, uint16(n)), want.append(m.Sums)
			h.fetch.sums[uint16(n)] = want
		}
	}
}

func (h *Holder) missed(now int64) {
	h.Counters.Missed++
	h.fetch.until = 0
	if p := h.peers[h.fetch.to]; p != nil {
		p.again = now + h.about(fetchAgain<<min(h.fetch.fails, 5))
	}
	h.backoff(now)
}

func (h *Holder) backoff(now int64) {
	h.fetch.next = now + h.draw(min(fetchAgain<<min(h.fetch.fails, 6), fetchMost))
	h.fetch.fails++
}

// came takes the answer to a fetch.
func (h *Holder) came(now int64, m *Message, effects []Effect) []Effect {
	p := h.known(now, h.fetch.to)
	if p == nil {
		return effects
	}
	h.fetch.next = now
	switch {
	case m == nil || m.Kind != Piece || p.aside > now:
		h.backoff(now)
	case m.Busy > 0:
		p.again = now + min(m.Busy, fetchMost) + h.draw(fetchAgain)
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
		p.has = Mark{} // until it tells again
		p.again = now + h.about(fetchAgain<<min(h.fetch.fails, 5))
		h.run = run{}
		h.backoff(now)
	}
	return effects
}

// extend carries out records of a peer, false where they were of no use. They count once they come to a digest that a
// seat vouched for.
func (h *Holder) extend(now int64, p *peer, records []Record) bool {
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
		if r.Was, r.size = nil, 0; r.Version > goal.Version { // newer than is wanted: it isn't vouched for yet
			break
		}
		content, err := x.content.Apply(r.Changes)
		if r.Version != x.mark.Version+1 || err != nil || !h.trusting && (r.Base != x.mark.Digest || content.Digest() != r.Digest) {
			h.run = run{}
			h.lie(now, p)
			return false
		}
		x.content, x.mark, x.records, x.bytes = content, Mark{r.Version, r.Digest}, append(x.records, &r), x.bytes+r.bytes()
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
func (h *Holder) indexWith(m *Message) bool {
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
func (h *Holder) stock(now int64, p *peer, blocks []Block) {
	h.staged = h.base()
	for _, b := range blocks {
		want, asked := h.fetch.sums[b.N]
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
	}
	if h.staged.Digest() == h.indexed.Digest || h.trusting && len(blocks) > 0 {
		if goal, ok := h.goal(); ok && (goal == h.indexed || h.indexed.Version > h.ready.Version && h.indexed.Version < goal.Version &&
			slices.Contains(h.marks, h.indexed)) {
			h.readied(h.indexed, h.staged, nil)
		}
	}
}

// serve answers a fetch within what the asker and all may have.
func (h *Holder) serve(now int64, from string, m, answer *Message) {
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
		return
	}
	switch {
	case len(m.Wanted) > 0:
		h.blocks(m, answer)
	default:
		if answer.Records = wired(between(h.records(), m.Has, m.Want.Version), pieceMost, false); len(answer.Records) == 0 {
			for _, c := range h.contents() {
				if c.Digest() == m.Want.Digest {
					pages(c, m.Sums, answer)
					break
				}
			}
		}
	}
	if answer.content() {
		p.tokens -= int64(answer.size())
	}
}

// pages answers with the index of those that differ.
func pages(c *Content, sums []byte, answer *Message) {
	if len(sums) != fan*digestBytes {
		sums = make([]byte, fan*digestBytes)
	}
	mine := c.pageSums()
	for k := range fan {
		if digestAt(mine, k) != digestAt(sums, k) {
			answer.Pages, answer.Index = append(answer.Pages, uint8(k)), c.pageIndex(answer.Index, k)
		}
	}
}

// contents are all that this node has blocks of.
func (h *Holder) contents() []*Content {
	list := []*Content{h.next, h.content}
	if h.agreed != nil {
		list = append(list, h.agreed.All, h.agreed.First, h.agreed.Newest)
	}
	return list
}

// blocks answers with those that have the digests that are asked for.
func (h *Holder) blocks(m, answer *Message) {
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
