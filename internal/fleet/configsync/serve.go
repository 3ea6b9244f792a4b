package configsync

const (
	maxPieceBytes      = 24 << 10   // bytes of records or blocks in one answer; a single larger block is sent alone
	unknownPeerBackoff = 1_000 * ms // ns for which a requester is deferred if there is no room to track it as a peer
	minBusyWait        = 50 * ms    // ns for which a request is deferred at the least
)

// replyToFetch answers another node's fetch.
func (r *Replicator) replyToFetch(now int64, in *Input, effects []Effect) []Effect {
	answer := &Message{Kind: MessageContent, Has: r.ready}
	if in.Message != nil && in.Message.Kind == MessageFetch {
		r.serveFetch(now, in.From, in.Message, answer)
	}
	r.countSent(answer)
	return append(effects, Effect{Kind: Reply, Link: in.Link, Message: answer})
}

// serveFetch fills in the answer to a fetch, within the rate limits of the requester and of this node.
func (r *Replicator) serveFetch(now int64, from string, m, answer *Message) {
	p := r.peerFor(now, from)
	if p == nil {
		r.Counters.Busy++
		answer.Busy = unknownPeerBackoff
		return
	}
	p.refillTokens(now)
	answer.Busy = r.busyFor(now, p)
	if answer.Busy > 0 {
		r.Counters.Busy++
		return
	}
	if len(m.Wanted) > 0 {
		r.serveBlocks(m, answer)
	} else {
		r.serveRecordsOrIndex(m, answer)
	}
	if answer.hasContent() {
		p.tokens -= int64(answer.size())
	}
}

// busyFor returns how long a requester is deferred, 0 if it is admitted. This node's own fetches come first, then its neighbours', as
// they pass the content on to others: each class is admitted only above its own floor of tokens.
func (r *Replicator) busyFor(now int64, p *peer) int64 {
	floor := int64(burstBytes / 2)
	slot := &r.admissionSlots[0]
	if !p.neighbour {
		floor = burstBytes * 3 / 4
		slot = &r.admissionSlots[1]
	}
	if r.tokens >= floor && p.tokens > 0 {
		return 0
	}
	wait := max((floor-r.tokens)*second/bytesPerSecond, -p.tokens*second/peerBytesPerSecond, minBusyWait)
	if r.tokens >= floor {
		return wait
	}
	// Space the retries out: simultaneous retries would cost more than the content they ask for.
	at := min(max(*slot, now), now+p.maxBusyWait())
	*slot = max(at, now+wait) + int64(maxPieceBytes)*second/bytesPerSecond
	return max(wait, at-now)
}

// serveRecordsOrIndex answers with records that lead towards the wanted revision, or else with the pages of its index that differ.
func (r *Replicator) serveRecordsOrIndex(m, answer *Message) {
	answer.Records = wireRecords(recordsBetween(r.availableRecords(), m.Has, m.Want.Version), maxPieceBytes, false)
	if len(answer.Records) > 0 {
		return
	}
	if content := r.contentOf(m.Want); content != nil {
		appendDifferingPages(content.index(), m.Sums, answer)
	}
	if !answer.hasContent() && r.assembly.index != nil && r.assembly.revision == m.Want {
		appendDifferingPages(r.assembly.index, m.Sums, answer)
	}
}

// appendDifferingPages adds to the answer the pages of an index whose sums differ from the requester's.
func appendDifferingPages(index, sums []byte, answer *Message) {
	if len(sums) != fanout*digestBytes {
		sums = make([]byte, fanout*digestBytes)
	}
	for k := range fanout {
		page := index[k*fanout*digestBytes:][:fanout*digestBytes]
		sum := Digest{}
		for n := range fanout {
			sum = sum.plus(digestAt(page, n))
		}
		if sum != digestAt(sums, k) {
			answer.Pages = append(answer.Pages, uint8(k))
			answer.Index = append(answer.Index, page...)
		}
	}
}

// contents returns all contents from which this node can serve blocks.
func (r *Replicator) contents() []*Content {
	list := []*Content{r.readyContent, r.appliedContent}
	if r.agreed != nil {
		list = append(list, r.agreed.All, r.agreed.Canary, r.agreed.Newest)
	}
	return list
}

// contentOf returns the content of a revision, nil if this node doesn't have it.
func (r *Replicator) contentOf(revision Revision) *Content {
	for _, content := range r.contents() {
		if content.Digest() == revision.Digest {
			return content
		}
	}
	return nil
}

// serveBlocks answers with the changes of the requester's missing blocks, or else with whole blocks that have the requested digests.
func (r *Replicator) serveBlocks(m, answer *Message) {
	if len(m.Missing) > 0 && len(m.Wanted) > 0 {
		r.serveDeltas(m, answer)
	}
	if len(answer.Blocks) > 0 {
		return
	}
	contents := r.contents()
	room := maxPieceBytes
	for k, n := range m.Wanted[:min(len(m.Wanted), maxWantedBlocks, len(m.Sums)/digestBytes)] {
		text, found := blockWith(contents, int(n), digestAt(m.Sums, k))
		if !found {
			continue
		}
		room -= len(text)
		if room < 0 && len(answer.Blocks) > 0 {
			return
		}
		answer.Blocks = append(answer.Blocks, Block{Number: n, Text: text})
	}
}

// blockWith returns block n with the wanted digest, from whichever content has it.
func blockWith(contents []*Content, n int, want Digest) (text []byte, found bool) {
	if n >= Blocks {
		return nil, false
	}
	for _, content := range contents {
		text, digest := content.Block(n)
		if digest == want {
			return text, true
		}
	}
	return nil, false
}

// serveDeltas answers with missing blocks, in order from the first wanted one: each as its changes, or whole if that is smaller. It adds
// none if this node doesn't know the changes.
func (r *Replicator) serveDeltas(m, answer *Message) {
	changes := r.knownDeltas(m.Has, m.Want)
	whole := r.contentOf(m.Want)
	room := maxPieceBytes
	for k := range Blocks {
		n := (int(m.Wanted[0]) + k) % Blocks
		if len(changes[n]) == 0 || !bitSet(m.Missing, n) {
			continue
		}
		block := Block{Number: uint16(n), Changes: changes[n]}
		if whole != nil {
			if text, _ := whole.Block(n); len(text) <= sizeOf(block.Changes) {
				block.Text = text
				block.Changes = nil
			}
		}
		room -= block.bytes()
		if room < 0 && len(answer.Blocks) > 0 {
			return
		}
		answer.Blocks = append(answer.Blocks, block)
	}
}

// knownDeltas returns the changes by block from one version to another, as far as they are known: all, or those of blocks that are
// assembled already.
func (r *Replicator) knownDeltas(from, to Revision) map[int][]Item {
	known := groupByBlock(r.changesBetween(from, to))
	if len(known) > 0 || r.assembly.content == nil || r.assembly.index == nil || r.ready != from || r.assembly.revision != to {
		return known
	}
	for n, changes := range r.assembly.deltas.blocks {
		_, digest := r.assembly.content.Block(n)
		if digest == digestAt(r.assembly.index, n) { // else the changes lead to an earlier version
			known[n] = changes
		}
	}
	return known
}

// changesBetween returns the changes from one version to another, in order; none if this node doesn't know all of them.
func (r *Replicator) changesBetween(from, to Revision) (list []Item) {
	span := &r.spanDeltas
	if span.to.Version > 0 && span.from == from && span.to.Version <= to.Version {
		list = span.all()
		from = span.to
		if from == to {
			return list
		}
	}
	records := recordsBetween(r.availableRecords(), from, to.Version)
	last := len(records) - 1
	if last < 0 || records[last].Version != to.Version || records[last].Digest != to.Digest {
		return nil
	}
	for _, record := range records {
		list = append(list, record.Changes...)
	}
	return list
}

// groupByBlock groups changes, which must be valid, by block number.
func groupByBlock(list []Item) map[int][]Item {
	groups := map[int][]Item{}
	for k := range list {
		n := list[k].block()
		groups[n] = append(groups[n], list[k])
	}
	return groups
}
