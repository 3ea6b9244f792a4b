package nodeconfig

import (
	"encoding/binary"
	"maps"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	pageBits = 16            // of an offset within a page
	pageSize = 1 << pageBits // bytes; a longer name has a page of its own
	minPage  = 256           // bytes of the first page, small where names are few
	noIndex  = -1            // ends a chain
)

// Names maps names to indices and back in less memory than a map: names are stored in pages, and indices in the chains of
// a linear hash table, which splits one bucket at a time, so that the cost of Put doesn't depend on the number of names.
// Of two equal names the one that was put last is found. The zero value is ready.
type Names struct {
	pages       [][]byte         // names, each after its length
	offsets     []uint32         // by index: page and offset, 0 for an index without a name
	next        []int32          // by index: the next in its bucket, noIndex for none
	bucketHeads []int32          // by bucket: the first index in it, noIndex for none
	freeSlots   map[int][]uint32 // by length: offsets of removed names
	count       int

	retired     map[int32]struct{} // indices whose names are still known, but not in service
	freeIndices []int32            // indices without a name
}

// NewNames returns the given names with their indices in the list.
func NewNames(names ...string) *Names {
	n := new(Names)
	for i, name := range names {
		n.Put(int32(i), name)
	}
	return n
}

// Len returns the number of names in service.
func (n *Names) Len() int {
	if n == nil {
		return 0
	}
	return n.count - len(n.retired)
}

// Slots returns the number of indices, including those without a name.
func (n *Names) Slots() int {
	if n == nil {
		return 0
	}
	return len(n.offsets)
}

// Lookup returns the index of a name, in service or retired.
func (n *Names) Lookup(name string) (int32, bool) {
	if n == nil || len(n.bucketHeads) == 0 {
		return 0, false
	}
	for i := n.bucketHeads[n.bucket(xxhash.Sum64String(name))]; i >= 0; i = n.next[i] {
		if string(n.text(i)) == name {
			return i, true
		}
	}
	return 0, false
}

// Find returns the index of a name that is in service.
func (n *Names) Find(name string) (int32, bool) {
	i, known := n.Lookup(name)
	if known && len(n.retired) > 0 {
		_, retired := n.retired[i]
		known = !retired
	}
	return i, known
}

// Retire takes an index out of service; it keeps its name until Remove.
func (n *Names) Retire(i int32) {
	if n.retired == nil {
		n.retired = make(map[int32]struct{})
	}
	n.retired[i] = struct{}{}
}

// Retired reports whether an index is out of service and still has its name.
func (n *Names) Retired(i int32) bool {
	_, retired := n.retired[i]
	return retired
}

// Add puts a name in service: at the index that it still has, at a free one, or after the last.
func (n *Names) Add(name string) int32 {
	if i, known := n.Lookup(name); known {
		delete(n.retired, i)
		return i
	}
	i := int32(len(n.offsets))
	if last := len(n.freeIndices) - 1; last >= 0 {
		i = n.freeIndices[last]
		n.freeIndices = n.freeIndices[:last]
	}
	n.Put(i, name)
	return i
}

// Name returns the name of an index, empty where it has none.
func (n *Names) Name(i int32) string {
	if n == nil || int(i) >= len(n.offsets) || i < 0 || n.offsets[i] == 0 {
		return ""
	}
	return string(n.text(i))
}

// current reports whether an index has a name, is in service, and is the one that the name is found at.
func (n *Names) current(i int32) bool {
	if !n.Has(i) {
		return false
	}
	last, known := n.Find(n.Name(i))
	return known && last == i
}

// Has reports whether an index has a name.
func (n *Names) Has(i int32) bool { return i >= 0 && int(i) < len(n.offsets) && n.offsets[i] != 0 }

// All returns the names by index, empty where an index has none.
func (n *Names) All() []string {
	list := make([]string, n.Slots())
	for i := range list {
		list[i] = n.Name(int32(i))
	}
	return list
}

// Put sets the name of an index that has none; the index may be beyond the last.
func (n *Names) Put(i int32, name string) {
	for int(i) >= len(n.offsets) {
		n.offsets = append(n.offsets, 0)
		n.next = append(n.next, noIndex)
	}
	n.offsets[i] = n.store(name)
	n.count++
	if n.count > len(n.bucketHeads) {
		n.split()
	}
	n.link(i)
}

// Remove removes the name of an index, which Add may use again.
func (n *Names) Remove(i int32) {
	text := n.text(i)
	for at := &n.bucketHeads[n.bucket(xxhash.Sum64(text))]; *at >= 0; at = &n.next[*at] {
		if *at == i {
			*at = n.next[i]
			break
		}
	}
	if n.freeSlots == nil {
		n.freeSlots = make(map[int][]uint32)
	}
	n.freeSlots[len(text)] = append(n.freeSlots[len(text)], n.offsets[i])
	n.offsets[i] = 0
	n.next[i] = noIndex
	n.count--
	delete(n.retired, i)
	n.freeIndices = append(n.freeIndices, i)
}

// text returns the bytes of a name in its page.
func (n *Names) text(i int32) []byte {
	page := n.pages[n.offsets[i]>>pageBits][n.offsets[i]&(pageSize-1):]
	length, k := binary.Uvarint(page)
	return page[k : k+int(length)]
}

// store copies a name to the place of a removed one of its length, or to the last page, and returns its offset, which is
// never 0.
func (n *Names) store(name string) uint32 {
	if rooms := n.freeSlots[len(name)]; len(rooms) > 0 {
		at := rooms[len(rooms)-1]
		n.freeSlots[len(name)] = rooms[:len(rooms)-1]
		page := n.pages[at>>pageBits][at&(pageSize-1):]
		_, k := binary.Uvarint(page)
		copy(page[k:], name)
		return at
	}
	need := binary.MaxVarintLen32 + len(name)
	last := len(n.pages) - 1
	if last < 0 || len(n.pages[last])+need > cap(n.pages[last]) {
		size := min(pageSize, max(minPage, 2*n.capacity()))
		n.pages = append(n.pages, make([]byte, 1, max(size, 1+need)))
		last++
	}
	at := uint32(last)<<pageBits | uint32(len(n.pages[last]))
	n.pages[last] = append(binary.AppendUvarint(n.pages[last], uint64(len(name))), name...)
	return at
}

// capacity returns the size of all pages, at most that of one full page.
func (n *Names) capacity() int {
	if len(n.pages) > 1 && cap(n.pages[len(n.pages)-1]) >= pageSize {
		return pageSize
	}
	sum := 0
	for _, page := range n.pages {
		sum += cap(page)
	}
	return sum
}

// bucket returns the bucket of a hash. Where b bits number all buckets, those not split yet go by b-1 bits.
func (n *Names) bucket(hash uint64) uint64 {
	b := bits.Len(uint(len(n.bucketHeads) - 1))
	at := hash & (1<<b - 1)
	if at >= uint64(len(n.bucketHeads)) {
		at &= 1<<(b-1) - 1
	}
	return at
}

// link puts an index at the head of its chain.
func (n *Names) link(i int32) {
	head := &n.bucketHeads[n.bucket(xxhash.Sum64(n.text(i)))]
	n.next[i] = *head
	*head = i
}

// split adds a bucket and distributes the chain of another one between both.
func (n *Names) split() {
	n.bucketHeads = append(n.bucketHeads, noIndex)
	last := len(n.bucketHeads) - 1
	if last == 0 {
		return
	}
	from := &n.bucketHeads[last&^(1<<(bits.Len(uint(last))-1))]
	var chain []int32
	for i := *from; i >= 0; i = n.next[i] {
		chain = append(chain, i)
	}
	*from = noIndex
	for k := len(chain) - 1; k >= 0; k-- { // backwards, so that the last one put stays first
		n.link(chain[k])
	}
}

// clone returns a copy that shares no memory.
func (n *Names) clone() *Names {
	c := *n
	c.offsets = slices.Clone(n.offsets)
	c.next = slices.Clone(n.next)
	c.bucketHeads = slices.Clone(n.bucketHeads)
	c.freeIndices = slices.Clone(n.freeIndices)
	c.pages = slices.Clone(n.pages)
	for i, page := range n.pages {
		c.pages[i] = append(make([]byte, 0, cap(page)), page...)
	}
	c.retired = maps.Clone(n.retired)
	c.freeSlots = maps.Clone(n.freeSlots)
	for length, rooms := range n.freeSlots {
		c.freeSlots[length] = slices.Clone(rooms)
	}
	return &c
}
