package configsync

import "slices"

// The parts of a configuration.
const (
	Operations = "operations"
	Tenants    = "tenants"
	Limits     = "limits"
)

// Blocks is the number of blocks of a content. An item belongs to the block that is selected by the hash of its part and name.
const Blocks = fanout * fanout

const (
	fanout          = 32       // pages of a content, and blocks of a page: a change copies one page and one block
	blockBits       = 10       // leading bits of a hash that select the block
	maxNameBytes    = 256      // length of a name
	maxValueBytes   = 4 << 10  // length of a value
	maxBlockBytes   = 40 << 10 // size of a block: it is sent whole in one answer
	maxContentBytes = 16 << 20 // size of a content: a snapshot holds all of it
)

var partNames = [...]string{Operations, Tenants, Limits}

const partCount = len(partNames)

// page is a group of consecutive blocks with their digests. A block holds the encoded items in order of part and name: for each a byte for
// the part, then name and value as length-prefixed strings. Blocks are immutable.
type page struct {
	blocks [fanout][]byte
	sums   [fanout]Digest
	sum    Digest // sum of sums
}

// Content is a complete configuration. It is immutable. A content that is derived from another by a change of one item shares all pages
// but one, and all blocks but one, with it. The zero value is empty.
type Content struct {
	pages [fanout]*page     // nil for a page without items
	sums  [partCount]Digest // digests of the parts
	items [partCount]int    // number of items in each part
	bytes int               // total size of the blocks
}

// Digest returns the digest of all items.
func (c *Content) Digest() (sum Digest) {
	for _, d := range c.sums {
		sum = sum.plus(d)
	}
	return sum
}

// PartDigest returns the digest of the items of one part.
func (c *Content) PartDigest(part string) (sum Digest) {
	if k := slices.Index(partNames[:], part); k >= 0 {
		sum = c.sums[k]
	}
	return sum
}

// Len returns the number of items in a part.
func (c *Content) Len(part string) int {
	if k := slices.Index(partNames[:], part); k >= 0 {
		return c.items[k]
	}
	return 0
}

// Bytes returns the encoded size of all items.
func (c *Content) Bytes() int { return c.bytes }

// Block returns block n, encoded, and its digest. The caller must not modify the block.
func (c *Content) Block(n int) ([]byte, Digest) {
	if p := c.pages[n/fanout]; p != nil {
		return p.blocks[n%fanout], p.sums[n%fanout]
	}
	return nil, Digest{}
}

// pageDigests returns the digests of all pages, concatenated.
func (c *Content) pageDigests() []byte {
	to := make([]byte, 0, fanout*digestBytes)
	for _, p := range c.pages {
		if p == nil {
			p = &page{}
		}
		to = p.sum.append(to)
	}
	return to
}

// index returns the digests of all blocks, concatenated. Their sum is the digest of the content. Message.Index carries the parts of it that
// differ between two nodes.
func (c *Content) index() []byte {
	to := make([]byte, 0, Blocks*digestBytes)
	for k := range fanout {
		to = c.appendBlockDigests(to, k)
	}
	return to
}

// appendBlockDigests appends the digests of the blocks of page k.
func (c *Content) appendBlockDigests(to []byte, k int) []byte {
	for n := range fanout {
		_, sum := c.Block(k*fanout + n)
		to = sum.append(to)
	}
	return to
}

// Get returns the value of an item, or nil if there is no such item. The caller must not modify the value.
func (c *Content) Get(part, name string) []byte {
	k := slices.Index(partNames[:], part)
	if k < 0 || len(name) > maxNameBytes {
		return nil
	}
	block, _ := c.Block(blockOf(byte(k), name))
	for len(block) > 0 {
		e, rest, _ := readEntry(block)
		comparison := e.compare(byte(k), name)
		if comparison == 0 {
			return e.value
		}
		if comparison > 0 {
			return nil
		}
		block = rest
	}
	return nil
}

// All yields all items. yield must not modify the values.
func (c *Content) All(yield func(Item) bool) {
	for n := range Blocks {
		for block, _ := c.Block(n); len(block) > 0; {
			e, rest, _ := readEntry(block)
			if !yield(e.item()) {
				return
			}
			block = rest
		}
	}
}
