package configsync

import (
	"bytes"
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// maxEntryOverhead bounds the bytes of an encoded entry, without its name and value.
const maxEntryOverhead = 8

// sortedChange is a change with its sort key: block, part, name, position in the list of changes.
type sortedChange struct {
	block    int
	position int // position in the list of changes
	part     byte
	item     *Item
}

// Apply returns the content with the changes applied; of several changes to one item the last one counts. The cost is proportional to the
// size of the blocks that contain the changed items. It returns an error that names the first invalid item.
func (c *Content) Apply(changes []Item) (*Content, error) {
	sorted, err := sortChanges(changes)
	if err != nil {
		return nil, err
	}
	next := *c
	owned := [fanout]bool{}
	for len(sorted) > 0 {
		n := 1
		for n < len(sorted) && sorted[n].block == sorted[0].block {
			n++
		}
		old, _ := next.Block(sorted[0].block)
		block, digestDelta := next.mergeBlock(old, sorted[:n])
		if len(block) > maxBlockBytes {
			return nil, errBlockFull(sorted[0].item.Part, sorted[0].item.Name, len(block))
		}
		next.writablePage(sorted[0].block, &owned).replaceBlock(sorted[0].block, block, digestDelta)
		sorted = sorted[n:]
	}
	if next.bytes > maxContentBytes {
		return nil, errContentFull(next.bytes)
	}
	return &next, nil
}

func errBlockFull(part, name string, size int) error {
	return fmt.Errorf("configuration: no room for %s %q: names that fall together have %d bytes, %d at the most; make values smaller",
		part, name, size, maxBlockBytes)
}

func errContentFull(size int) error {
	return fmt.Errorf("configuration: %d bytes in all, %d at the most; make values smaller or remove some", size, maxContentBytes)
}

// sortChanges validates changes and sorts them by block, part and name. Changes to one item keep their order.
func sortChanges(changes []Item) ([]sortedChange, error) {
	sorted := make([]sortedChange, len(changes))
	for k := range changes {
		item := &changes[k]
		if err := item.validate(); err != nil {
			return nil, err
		}
		part := byte(slices.Index(partNames[:], item.Part))
		sorted[k] = sortedChange{blockOf(part, item.Name), k, part, item}
	}
	slices.SortFunc(sorted, func(a, b sortedChange) int {
		if a.block != b.block {
			return a.block - b.block
		}
		return cmp.Or(cmp.Compare(a.part, b.part), strings.Compare(a.item.Name, b.item.Name), a.position-b.position)
	})
	return sorted, nil
}

// mergeBlock returns a block with sorted changes applied, and the value to add to the digest of the block. It updates the totals of the
// content.
func (c *Content) mergeBlock(old []byte, changes []sortedChange) (block []byte, digestDelta Digest) {
	size := len(old)
	for k := range changes {
		size += len(changes[k].item.Name) + len(changes[k].item.Value) + maxEntryOverhead
	}
	to := make([]byte, 0, size)
	for k := range changes {
		change := &changes[k]
		for len(old) > 0 {
			e, rest, _ := readEntry(old)
			comparison := e.compare(change.part, change.item.Name)
			if comparison > 0 {
				break
			}
			if comparison < 0 {
				to = append(to, e.encoded...)
			} else {
				digestDelta = digestDelta.minus(c.countItem(&e, false))
			}
			old = rest
		}
		if len(change.item.Value) > 0 && !sameItemFollows(changes[k:]) {
			at := len(to)
			to = appendEntry(to, change.part, change.item.Name, change.item.Value)
			digestDelta = digestDelta.plus(c.countItem(&entry{part: change.part, encoded: to[at:]}, true))
		}
	}
	to = append(to, old...)
	if len(to) == 0 {
		return nil, digestDelta
	}
	return bytes.Clone(to), digestDelta // without spare capacity: blocks are long-lived
}

// sameItemFollows reports whether the first two of the sorted changes are to the same item.
func sameItemFollows(changes []sortedChange) bool {
	return len(changes) > 1 && changes[1].part == changes[0].part && changes[1].item.Name == changes[0].item.Name
}

// writablePage returns the page of block n, after a copy if other contents may share the page. owned marks the pages that were copied already.
func (c *Content) writablePage(n int, owned *[fanout]bool) *page {
	k := n / fanout
	if !owned[k] {
		p := &page{}
		if c.pages[k] != nil {
			*p = *c.pages[k]
		}
		c.pages[k] = p
		owned[k] = true
	}
	return c.pages[k]
}

// replaceBlock replaces block n. digestDelta is the digest of the new block minus that of the old one.
func (p *page) replaceBlock(n int, block []byte, digestDelta Digest) {
	k := n % fanout
	p.blocks[k] = block
	p.sums[k] = p.sums[k].plus(digestDelta)
	p.sum = p.sum.plus(digestDelta)
}

// setBlock replaces block n with a well-formed block, and updates the totals of the content.
func (c *Content) setBlock(n int, block []byte, owned *[fanout]bool) {
	p := c.writablePage(n, owned)
	before := c.countItems(p.blocks[n%fanout], false)
	p.replaceBlock(n, block, c.countItems(block, true).minus(before))
}

// countItems adds the items of a block to the totals of the content, or subtracts them, and returns the digest of the block.
func (c *Content) countItems(block []byte, added bool) (sum Digest) {
	for len(block) > 0 {
		e, rest, _ := readEntry(block)
		sum = sum.plus(c.countItem(&e, added))
		block = rest
	}
	return sum
}

// countItem adds an item to the totals of the content, or subtracts it, and returns the digest of the item.
func (c *Content) countItem(e *entry, added bool) Digest {
	digest := hashItem(e.encoded)
	if added {
		c.sums[e.part] = c.sums[e.part].plus(digest)
		c.items[e.part]++
		c.bytes += len(e.encoded)
	} else {
		c.sums[e.part] = c.sums[e.part].minus(digest)
		c.items[e.part]--
		c.bytes -= len(e.encoded)
	}
	return digest
}

// WithBlock returns the content with block n replaced. It returns nil if the block is malformed or its digest is not want, or if the content
// would become too large.
func (c *Content) WithBlock(n int, block []byte, want Digest) *Content {
	if n < 0 || n >= Blocks {
		return nil
	}
	if sum, ok := checkBlock(n, block); !ok || sum != want {
		return nil
	}
	if len(block) == 0 {
		block = nil
	}
	next := *c
	next.setBlock(n, bytes.Clone(block), &[fanout]bool{})
	if next.bytes > maxContentBytes {
		return nil
	}
	return &next
}
