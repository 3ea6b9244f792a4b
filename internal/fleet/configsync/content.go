package configsync

import "slices"

// The parts of a configuration.
const (
	Operations = "operations"
	Tenants    = "tenants"
	Limits     = "limits"
)

// Blocks is how many blocks a content has: ranges of the hashes of names.
const Blocks = fanout * fanout

const (
	fanout          = 32       // pages, and blocks of a page: a change copies one page and one block
	blockBits       = 10       // of a hash that select the block
	maxNameBytes    = 256      // of a name
	maxValueBytes   = 4 << 10  // of a value
	maxBlockBytes   = 40 << 10 // of a block, which is sent as a whole in one answer
	maxContentBytes = 16 << 20 // of a content, which a snapshot must hold
)

var partNames = [...]string{Operations, Tenants, Limits}

const partCount = len(partNames)

// page is some blocks with their digests. A block is its items in order of part and name, each a byte for the part and two
// length-prefixed strings; it is never changed.
type page struct {
	blocks [fanout][]byte
	sums   [fanout]Digest
	sum    Digest
}

// Content is a complete configuration. It is immutable: one that differs in an item shares all but a page and a block. The zero value is
// empty.
type Content struct {
	pages [fanout]*page
	sums  [partCount]Digest
	items [partCount]int
	bytes int
}

// Digest is the digest of all items.
func (c *Content) Digest() (sum Digest) {
	for _, d := range c.sums {
		sum = sum.plus(d)
	}
	return sum
}

// PartDigest is the digest of the items of one part.
func (c *Content) PartDigest(part string) (sum Digest) {
	if k := slices.Index(partNames[:], part); k >= 0 {
		sum = c.sums[k]
	}
	return sum
}

// Len is how many items a part has.
func (c *Content) Len(part string) int {
	if k := slices.Index(partNames[:], part); k >= 0 {
		return c.items[k]
	}
	return 0
}

// Bytes is the size of all names and values, encoded.
func (c *Content) Bytes() int { return c.bytes }

// Block is one block as it is sent, and its digest. It must not be changed.
func (c *Content) Block(n int) ([]byte, Digest) {
	if p := c.pages[n/fanout]; p != nil {
		return p.blocks[n%fanout], p.sums[n%fanout]
	}
	return nil, Digest{}
}

// pageSums are the digests of all pages in a row.
func (c *Content) pageSums() []byte {
	to := make([]byte, 0, fanout*digestBytes)
	for _, p := range c.pages {
		if p == nil {
			p = &page{}
		}
		to = p.sum.append(to)
	}
	return to
}

// index is the digests of all blocks in a row; their sum is the digest of the whole.
func (c *Content) index() []byte {
	to := make([]byte, 0, Blocks*digestBytes)
	for k := range fanout {
		to = c.pageIndex(to, k)
	}
	return to
}

func (c *Content) pageIndex(to []byte, k int) []byte {
	for n := range fanout {
		_, sum := c.Block(k*fanout + n)
		to = sum.append(to)
	}
	return to
}

// Get is an item's value, nil where there is none. It must not be changed.
func (c *Content) Get(part, name string) []byte {
	k := slices.Index(partNames[:], part)
	if k < 0 || len(name) > maxNameBytes {
		return nil
	}
	block, _ := c.Block(blockOf(byte(k), name))
	for len(block) > 0 {
		e, rest, _ := readEntry(block)
		order := e.compare(byte(k), name)
		if order == 0 {
			return e.value
		}
		if order > 0 {
			return nil
		}
		block = rest
	}
	return nil
}

// All yields each item; values must not be changed.
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
