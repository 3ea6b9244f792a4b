package configsync

import "bytes"

// scanBytesPerCall bounds the cost of a call of Difference.Next: a call that has found changes stops before the next block after it has
// scanned so many bytes of blocks.
const scanBytesPerCall = 128 << 10

// Difference iterates over the changes from one content to another, in batches. Its cost is proportional to the size of the blocks that
// differ.
type Difference struct {
	from, to *Content
	next     int    // next block to compare
	old, new []byte // unread rest of the current block in from and in to
	scanned  int    // bytes of all blocks compared so far
}

// Diff returns an iterator over the changes from one content to another.
func Diff(from, to *Content) *Difference { return &Difference{from: from, to: to} }

// Next returns up to limit further changes, or none at the end. It returns fewer if the changes are scattered over many blocks, which bounds
// the cost of a call. Removed items have no value. The caller must not modify the values.
func (d *Difference) Next(limit int) (changes []Item) {
	end := d.scanned + scanBytesPerCall
	for len(changes) < limit {
		if len(d.old) == 0 && len(d.new) == 0 {
			enough := len(changes) > 0 && d.scanned >= end
			if enough || !d.nextBlock() {
				break
			}
		}
		if item, changed := d.nextItem(); changed {
			changes = append(changes, item)
		}
	}
	return changes
}

// nextItem advances by one item of the current block, and returns it if it differs.
func (d *Difference) nextItem() (item Item, changed bool) {
	before, oldRest, _ := readEntry(d.old)
	if len(before.encoded) > 0 && bytes.HasPrefix(d.new, before.encoded) { // the common case: most entries of a block are unchanged
		d.old = oldRest
		d.new = d.new[len(before.encoded):]
		return Item{}, false
	}
	after, newRest, _ := readEntry(d.new)
	comparison := d.compareNext(&before, &after)
	if comparison <= 0 {
		d.old = oldRest
	}
	if comparison >= 0 {
		d.new = newRest
	}
	switch {
	case comparison < 0:
		return Item{partNames[before.part], string(before.name), nil}, true
	case comparison == 0 && bytes.Equal(before.value, after.value):
		return Item{}, false
	}
	return after.item(), true
}

// compareNext compares the next entries of the two blocks: negative if the old entry comes first, positive if the new one does, 0 for the same
// item.
func (d *Difference) compareNext(before, after *entry) int {
	switch {
	case len(d.old) == 0:
		return 1
	case len(d.new) == 0:
		return -1
	}
	return before.compare(after.part, string(after.name))
}

// nextBlock advances to the next block that differs, and reports whether there is one.
func (d *Difference) nextBlock() bool {
	for ; d.next < Blocks; d.next++ {
		if d.next%fanout == 0 && samePage(d.from.pages[d.next/fanout], d.to.pages[d.next/fanout]) {
			d.next += fanout - 1
			continue
		}
		before, beforeDigest := d.from.Block(d.next)
		after, afterDigest := d.to.Block(d.next)
		if beforeDigest != afterDigest {
			d.old = before
			d.new = after
			d.scanned += len(before) + len(after)
			d.next++
			return true
		}
	}
	return false
}

// samePage reports whether two pages have the same blocks, by their digests.
func samePage(a, b *page) bool { return a == b || a != nil && b != nil && a.sum == b.sum }
