package configsync

import "bytes"

// scanBytesPerCall is how many bytes of blocks one call of Difference.Next goes through, beside the last block.
const scanBytesPerCall = 128 << 10

// Difference iterates over the changes from one content to another, some items at a time; it costs what the blocks that differ cost.
type Difference struct {
	from, to *Content
	next     int // block
	old, new []byte
	scanned  int // bytes of blocks
}

// Diff returns the changes from one content to another.
func Diff(from, to *Content) *Difference { return &Difference{from: from, to: to} }

// Next returns up to so many further changes, none at the end. They are fewer where they lie apart, so that a call costs at most what
// they and some blocks cost. Removed items have no value; values must not be changed.
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

// nextItem goes on by one item, and returns it where it differs.
func (d *Difference) nextItem() (item Item, changed bool) {
	before, oldRest, _ := readEntry(d.old)
	if len(before.encoded) > 0 && bytes.HasPrefix(d.new, before.encoded) { // most of a block is the same
		d.old = oldRest
		d.new = d.new[len(before.encoded):]
		return Item{}, false
	}
	after, newRest, _ := readEntry(d.new)
	order := d.order(&before, &after)
	if order <= 0 {
		d.old = oldRest
	}
	if order >= 0 {
		d.new = newRest
	}
	switch {
	case order < 0:
		return Item{partNames[before.part], string(before.name), nil}, true
	case order == 0 && bytes.Equal(before.value, after.value):
		return Item{}, false
	}
	return after.item(), true
}

// order says which of the next two entries comes first: negative for the old one, positive for the new one.
func (d *Difference) order(before, after *entry) int {
	switch {
	case len(d.old) == 0:
		return 1
	case len(d.new) == 0:
		return -1
	}
	return before.compare(after.part, string(after.name))
}

// nextBlock goes on to the next block that differs.
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

func samePage(a, b *page) bool { return a == b || a != nil && b != nil && a.sum == b.sum }
