// Package configsync decides which version of a fleet's settings is agreed on, which a node has, and whom it asks for
// what is missing. It does no I/O, reads no clock, and never looks into a value: items are names and canonical JSON.
package configsync

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// The parts of a configuration.
const (
	Operations = "operations"
	Tenants    = "tenants"
	Limits     = "limits"
)

const (
	fanout           = 32               // pages, and blocks of a page: a change copies one page and one block
	Blocks           = fanout * fanout  // ranges of hashes of names: some 9 kB each at 4,700 operations and 130,000 tenants
	blockBits        = 10               // of a hash that say the block
	maxNameBytes     = 256              // bytes of a name
	maxValueBytes    = 4 << 10          // bytes of a value: several times an operation with all its settings
	maxBlockBytes    = 40 << 10         // bytes of a block: it travels whole in one exchange, beside a head
	scanBytesPerCall = 128 << 10        // bytes of blocks that one look for changes goes through, beside the last one: some 0.1 ms
	maxContentBytes  = 16 << 20         // bytes of a content: what letter takes as a snapshot
	secondHashSeed   = 0x63_6f_6e_66_32 // of the second half of a digest
	digestBytes      = 16
)

var partNames = [...]string{Operations, Tenants, Limits}

const partCount = len(partNames)

// Item is one setting: a part, a name, and the canonical JSON of its value, nil where it is removed.
type Item struct {
	Part  string `cbor:"1,keyasint"`
	Name  string `cbor:"2,keyasint"`
	Value []byte `cbor:"3,keyasint,omitempty"`
}

// Digest is of a set of items: the sum of their hashes, so it doesn't depend on order and changes with one item at the
// cost of that item. It finds faults; it doesn't withstand somebody who computes forgeries.
type Digest struct {
	_    struct{} `cbor:",toarray"`
	A, B uint64
}

func (d Digest) String() string { return fmt.Sprintf("%016x%016x", d.A, d.B) }

func (d Digest) plus(e Digest) Digest  { return Digest{A: d.A + e.A, B: d.B + e.B} }
func (d Digest) minus(e Digest) Digest { return Digest{A: d.A - e.A, B: d.B - e.B} }

func (d Digest) append(to []byte) []byte {
	return binary.LittleEndian.AppendUint64(binary.LittleEndian.AppendUint64(to, d.A), d.B)
}

func digestAt(b []byte, k int) Digest {
	b = b[k*digestBytes:]
	return Digest{A: binary.LittleEndian.Uint64(b), B: binary.LittleEndian.Uint64(b[8:])}
}

// hashItem is of one encoded item.
func hashItem(text []byte) Digest {
	var second xxhash.Digest
	second.ResetWithSeed(secondHashSeed)
	_, _ = second.Write(text)
	return Digest{A: xxhash.Sum64(text), B: second.Sum64()}
}

// page is some blocks with their digests. A block is its items in order of part and name, each a byte of part and two
// strings with their lengths before them; it is never changed.
type page struct {
	blocks [fanout][]byte
	sums   [fanout]Digest
	sum    Digest
}

// Content is a whole configuration. It is never changed: one that differs in an item shares all but a page and a block.
// The zero value is empty.
type Content struct {
	pages [fanout]*page
	sums  [partCount]Digest
	items [partCount]int
	bytes int
}

// Digest is of the whole.
func (c *Content) Digest() (sum Digest) {
	for _, d := range c.sums {
		sum = sum.plus(d)
	}
	return sum
}

// PartDigest is of one part.
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

// Bytes is how much names and values take, encoded.
func (c *Content) Bytes() int { return c.bytes }

// Block is one range as it travels, and its digest. It must not be changed.
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

// blockOf is where an item is.
func blockOf(part byte, name string) int {
	var room [maxNameBytes + 1]byte
	return int(xxhash.Sum64(append(append(room[:0], part), name...)) >> (64 - blockBits))
}

// block is where a usable item is.
func (i *Item) block() int { return blockOf(byte(slices.Index(partNames[:], i.Part)), i.Name) }

// entry is an item as it stands in a block.
type entry struct {
	part    byte
	name    []byte
	value   []byte
	encoded []byte // all of it
}

func (e *entry) item() Item { return Item{partNames[e.part], string(e.name), e.value} }

func (e *entry) compare(part byte, name string) int {
	if n := cmp.Compare(e.part, part); n != 0 {
		return n
	}
	return strings.Compare(string(e.name), name) // no copy is made of it
}

// readEntry reads the first entry of a block, ok unless it is malformed.
func readEntry(block []byte) (e entry, rest []byte, ok bool) {
	if len(block) == 0 || int(block[0]) >= partCount {
		return e, nil, false
	}
	e.part, rest = block[0], block[1:]
	if e.name, rest, ok = readString(rest, maxNameBytes); !ok {
		return e, nil, false
	}
	e.value, rest, ok = readString(rest, maxValueBytes)
	e.encoded = block[:len(block)-len(rest)]
	return e, rest, ok && len(e.value) > 0
}

func readString(from []byte, most uint64) (text, rest []byte, ok bool) {
	n, used := binary.Uvarint(from)
	if used <= 0 || n > most || n > uint64(len(from)-used) {
		return nil, nil, false
	}
	from = from[used:]
	return from[:n:n], from[n:], true
}

func appendEntry(to []byte, part byte, name string, value []byte) []byte {
	to = binary.AppendUvarint(append(to, part), uint64(len(name)))
	to = binary.AppendUvarint(append(to, name...), uint64(len(value)))
	return append(to, value...)
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
		if n := e.compare(byte(k), name); n == 0 {
			return e.value
		} else if n > 0 {
			break
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

// Canonical writes a JSON value in the one form that digests are of: keys sorted, no white space, numbers as they were
// spelt.
func Canonical(value []byte) ([]byte, error) {
	d := json.NewDecoder(bytes.NewReader(value))
	d.UseNumber()
	var tree any
	if err := d.Decode(&tree); err != nil {
		return nil, err
	}
	if d.More() {
		return nil, fmt.Errorf("more than one value")
	}
	var to bytes.Buffer
	e := json.NewEncoder(&to)
	e.SetEscapeHTML(false)
	if err := e.Encode(tree); err != nil {
		return nil, err
	}
	return bytes.TrimSpace(to.Bytes()), nil
}

// validate says what is wrong with an item, or nothing.
func (i *Item) validate() error {
	switch {
	case !slices.Contains(partNames[:], i.Part):
		return fmt.Errorf("configuration: part %q is none of %s", i.Part, strings.Join(partNames[:], ", "))
	case i.Name == "" || len(i.Name) > maxNameBytes:
		return fmt.Errorf("configuration: a name in %s of %d bytes; it must have 1 to %d", i.Part, len(i.Name), maxNameBytes)
	case len(i.Value) > maxValueBytes:
		return fmt.Errorf("configuration: %s %q has %d bytes; %d at the most", i.Part, i.Name, len(i.Value), maxValueBytes)
	}
	return nil
}

// Apply is the content with some items changed, the later counting where one comes twice. It costs what the blocks of
// those items cost. An item that can't be held is told by name, and nothing changes then.
func (c *Content) Apply(changes []Item) (*Content, error) {
	order := make([]placedChange, len(changes))
	for k := range changes {
		i := &changes[k]
		if err := i.validate(); err != nil {
			return nil, err
		}
		part := byte(slices.Index(partNames[:], i.Part))
		order[k] = placedChange{blockOf(part, i.Name), k, part, i}
	}
	slices.SortFunc(order, func(a, b placedChange) int {
		if a.block != b.block {
			return a.block - b.block
		}
		return cmp.Or(cmp.Compare(a.part, b.part), strings.Compare(a.item.Name, b.item.Name), a.order-b.order)
	})
	next, own := *c, [fanout]bool{}
	for len(order) > 0 {
		n := 1
		for n < len(order) && order[n].block == order[0].block {
			n++
		}
		old, _ := next.Block(order[0].block)
		block, sum := next.merge(old, order[:n])
		i := order[0].item
		if len(block) > maxBlockBytes {
			return nil, fmt.Errorf("configuration: no room for %s %q: names that fall together have %d bytes, %d at the most; make values smaller",
				i.Part, i.Name, len(block), maxBlockBytes)
		}
		next.ownPage(order[0].block, &own).put(order[0].block, block, sum)
		order = order[n:]
	}
	if next.bytes > maxContentBytes {
		return nil, fmt.Errorf("configuration: %d bytes in all, %d at the most; make values smaller or remove some", next.bytes, maxContentBytes)
	}
	return &next, nil
}

// placedChange is a change with its place.
type placedChange struct {
	block int
	order int // among the changes
	part  byte
	item  *Item
}

// merge writes a block with changes in order carried out, and says what comes to its digest by them. They are counted in and out.
func (c *Content) merge(old []byte, changes []placedChange) (block []byte, sum Digest) {
	size := len(old)
	for _, p := range changes {
		size += len(p.item.Name) + len(p.item.Value) + 8
	}
	to := make([]byte, 0, size)
	for k, p := range changes {
		for len(old) > 0 {
			e, rest, _ := readEntry(old)
			n := e.compare(p.part, p.item.Name)
			if n > 0 {
				break
			}
			if n < 0 {
				to = append(to, e.encoded...)
			} else {
				sum = sum.minus(c.countOne(&e, false))
			}
			old = rest
		}
		again := k+1 < len(changes) && changes[k+1].part == p.part && changes[k+1].item.Name == p.item.Name
		if !again && len(p.item.Value) > 0 {
			at := len(to)
			to = appendEntry(to, p.part, p.item.Name, p.item.Value)
			sum = sum.plus(c.countOne(&entry{part: p.part, encoded: to[at:]}, true))
		}
	}
	if to = append(to, old...); len(to) == 0 {
		return nil, sum
	}
	return bytes.Clone(to), sum // without the room behind it: blocks are kept for long
}

// ownPage is the page of a block, which this content has alone: those are marked.
func (c *Content) ownPage(n int, ownPage *[fanout]bool) *page {
	k := n / fanout
	if !ownPage[k] {
		p := &page{}
		if c.pages[k] != nil {
			*p = *c.pages[k]
		}
		c.pages[k], ownPage[k] = p, true
	}
	return c.pages[k]
}

// put puts a block in its place; sum comes to its digest.
func (p *page) put(n int, block []byte, sum Digest) {
	p.blocks[n%fanout], p.sums[n%fanout], p.sum = block, p.sums[n%fanout].plus(sum), p.sum.plus(sum)
}

// set puts a block of sound form in its place, and counts all of it.
func (c *Content) set(n int, block []byte, own *[fanout]bool) {
	p := c.ownPage(n, own)
	out := c.count(p.blocks[n%fanout], false)
	p.put(n, block, c.count(block, true).minus(out))
}

// count has a block's items counted in or out, and says its digest.
func (c *Content) count(block []byte, in bool) (sum Digest) {
	for len(block) > 0 {
		e, rest, _ := readEntry(block)
		sum, block = sum.plus(c.countOne(&e, in)), rest
	}
	return sum
}

// countOne has an item counted in or out, and says its digest.
func (c *Content) countOne(e *entry, in bool) Digest {
	d, size := hashItem(e.encoded), len(e.encoded)
	if in {
		c.sums[e.part], c.items[e.part], c.bytes = c.sums[e.part].plus(d), c.items[e.part]+1, c.bytes+size
	} else {
		c.sums[e.part], c.items[e.part], c.bytes = c.sums[e.part].minus(d), c.items[e.part]-1, c.bytes-size
	}
	return d
}

// checkBlock is the digest of a block that came from elsewhere, ok where its form is sound and all of it belongs there.
func checkBlock(n int, block []byte) (sum Digest, ok bool) {
	if len(block) > maxBlockBytes {
		return sum, false
	}
	var last entry
	for first := true; len(block) > 0; first = false {
		e, rest, sound := readEntry(block)
		if !sound || len(e.name) == 0 || blockOf(e.part, string(e.name)) != n || !first && last.compare(e.part, string(e.name)) >= 0 {
			return sum, false
		}
		sum, last, block = sum.plus(hashItem(e.encoded)), e, rest
	}
	return sum, true
}

// WithBlock is the content with one range replaced, nil where the range isn't of sound form or has another digest.
func (c *Content) WithBlock(n int, block []byte, want Digest) *Content {
	if n < 0 || n >= Blocks {
		return nil
	}
	if sum, ok := checkBlock(n, block); !ok || sum != want {
		return nil
	}
	next := *c
	if len(block) == 0 {
		block = nil
	}
	next.set(n, bytes.Clone(block), &[fanout]bool{})
	if next.bytes > maxContentBytes {
		return nil
	}
	return &next
}

// Difference goes from one content to another, some items at a time; its cost is that of the blocks that differ.
type Difference struct {
	from, to *Content
	next     int
	old, new []byte
	scanned  int // bytes of blocks that were gone through
}

// Diff begins at the first item that differs.
func Diff(from, to *Content) *Difference { return &Difference{from: from, to: to} }

// Next is up to so many changes more, none at the end. It is fewer where they lie apart, so that a call costs at most what they
// and some blocks cost. Removed items have no value; values must not be changed.
func (d *Difference) Next(most int) (changes []Item) {
	for end := d.scanned + scanBytesPerCall; len(changes) < most; {
		if len(d.old) == 0 && len(d.new) == 0 && (len(changes) > 0 && d.scanned >= end || !d.advance()) {
			break
		}
		old, oldRest, _ := readEntry(d.old)
		if len(old.encoded) > 0 && bytes.HasPrefix(d.new, old.encoded) { // most of a block is the same
			d.old, d.new = oldRest, d.new[len(old.encoded):]
			continue
		}
		item, newRest, _ := readEntry(d.new)
		order := 0
		switch {
		case len(d.old) == 0:
			order = 1
		case len(d.new) == 0:
			order = -1
		default:
			order = old.compare(item.part, string(item.name))
		}
		switch {
		case order < 0:
			changes, d.old = append(changes, Item{partNames[old.part], string(old.name), nil}), oldRest
		case order > 0:
			changes, d.new = append(changes, item.item()), newRest
		default:
			if d.old, d.new = oldRest, newRest; !bytes.Equal(old.value, item.value) {
				changes = append(changes, item.item())
			}
		}
	}
	return changes
}

// advance goes on to the next block that differs.
func (d *Difference) advance() bool {
	for ; d.next < Blocks; d.next++ {
		if a, b := d.from.pages[d.next/fanout], d.to.pages[d.next/fanout]; d.next%fanout == 0 && (a == b || a != nil && b != nil && a.sum == b.sum) {
			d.next += fanout - 1
			continue
		}
		old, a := d.from.Block(d.next)
		item, b := d.to.Block(d.next)
		if a != b {
			d.old, d.new = old, item
			d.scanned += len(old) + len(item)
			d.next++
			return true
		}
	}
	return false
}
