package configsync

import (
	"encoding/binary"
	"slices"

	"github.com/fxamacker/cbor/v2"
)

const (
	itemsOnce  = 64      // items that are written between two looks at what a call has done: some 10 µs
	itemCost   = 128     // bytes of a block that cost what it costs to encode one item: a microsecond
	itemRoom   = 32      // bytes of an item's head and keys, at the most
	recordRoom = 64      // bytes of keys and heads of a record or verdict, at the most
	headRoom   = 1 << 10 // bytes of a head, with a reason, and of a draft without its changes
	atOnce     = 1 << 20 // bytes a call of Next, where nobody waits
	cborBytes  = 2 << 5  // CBOR (RFC 8949): the major type of a byte string, in the first byte of its head
	cborArray  = 4 << 5  // of an array
	cborMap    = 5 << 5  // of a map
	cborNull   = 0xf6    // null, which an empty block is
	lengthOf8  = 24      // in a head: the length follows in one byte; below that it is the length itself
	lengthOf16 = 25      // in two bytes, big-endian
	lengthOf32 = 26      // in four
)

// saved is a table as a snapshot holds it: the newest content in blocks, the others as what differs from it.
type saved struct {
	Head   HeadRevision `cbor:"1,keyasint"`
	Since  int64        `cbor:"2,keyasint"`
	Blocks [][]byte     `cbor:"3,keyasint"`
	All    []Item       `cbor:"4,keyasint,omitempty"`
	First  []Item       `cbor:"5,keyasint,omitempty"`
	Log    []*Record    `cbor:"6,keyasint,omitempty"`
	Good   []uint64     `cbor:"7,keyasint,omitempty"`
	Askers []Verdict    `cbor:"8,keyasint,omitempty"`
	Draft  draft        `cbor:"9,keyasint"`
}

// SnapshotWriter is a snapshot of a table as it was when it was begun, written some at a time. The table may change meanwhile: its
// contents and records never do, and the rest is copied.
type SnapshotWriter struct {
	table Table
	left  []func() bool // what is to be done, each called until it is done
	cost  int           // of the call of Next in hand, in bytes
	size  int           // that the text will have at the most
	text  []byte
}

// BeginSnapshot begins a snapshot, at a cost that doesn't grow with the contents.
func (t *Table) BeginSnapshot() *SnapshotWriter {
	w := &SnapshotWriter{table: *t}
	w.table.log, w.table.good, w.table.askers = slices.Clone(t.log), slices.Clone(t.good), slices.Clone(t.askers)
	t = &w.table
	w.size = t.newest.bytes + (Blocks+len(t.good))*9 + t.logged + (len(t.log)+len(t.askers))*recordRoom + headRoom
	for k := range t.askers {
		v := &t.askers[k]
		w.size += len(v.From) + len(v.Refused) + sizeOf(v.Differ)
	}
	all, first, drafted := w.counted(t.all), w.counted(t.first), w.counted(t.draft.content)
	w.then(func() {
		w.text = make([]byte, 0, w.size)
		w.head(cborMap, 4+some(*all)+some(*first)+some(len(t.log))+some(len(t.good))+some(len(t.askers)))
		w.field(1, t.head)
		w.field(2, t.since)
		w.key(3, cborArray, Blocks)
	})
	block := 0
	w.do(func() bool {
		if text, _ := t.newest.Block(block); text == nil {
			w.text = append(w.text, cborNull)
		} else {
			w.head(cborBytes, len(text))
			w.text = append(w.text, text...)
		}
		block++
		return block == Blocks
	})
	w.difference(4, t.all, all)
	w.difference(5, t.first, first)
	if len(t.log) > 0 {
		w.then(func() { w.key(6, cborArray, len(t.log)) })
		for _, r := range t.log {
			w.record(r)
		}
	}
	w.then(func() {
		if len(t.good) > 0 {
			w.field(7, t.good)
		}
		if len(t.askers) > 0 {
			w.field(8, t.askers)
		}
		w.text = append(w.text, 9)
		w.body(t.draft, some(*drafted))
	})
	w.difference(5, t.draft.content, drafted)
	return w
}

// Next writes at least so many bytes more, or what costs as much, and says whether the snapshot is whole. It goes beyond them by
// what one block, or one look for what differs, takes at the most.
func (w *SnapshotWriter) Next(least int) (whole bool) {
	for w.cost = 0; len(w.left) > 0 && w.cost < least; {
		before := len(w.text)
		if w.left[0]() {
			w.left[0] = nil
			w.left = w.left[1:]
		}
		w.cost += max(1, len(w.text)-before)
	}
	return len(w.left) == 0
}

// Text is what is written so far. It must not be changed.
func (w *SnapshotWriter) Text() []byte { return w.text }

func (w *SnapshotWriter) do(part func() bool) { w.left = append(w.left, part) }

func (w *SnapshotWriter) then(part func()) { w.do(func() bool { part(); return true }) }

func some(n int) int { return min(n, 1) }

// counted is how many items a content differs in from the newest, once that is known. They are gone through before anything
// is written, so that the text has its room from the beginning.
func (w *SnapshotWriter) counted(content *Content) *int {
	n := new(int)
	if content == nil || content.Digest() == w.table.newest.Digest() {
		return n
	}
	d := Diff(w.table.newest, content)
	w.do(func() bool {
		list := w.look(d)
		*n += len(list)
		for k := range list {
			w.size += len(list[k].Name) + len(list[k].Value) + itemRoom
			w.cost += len(list[k].Name) + len(list[k].Value) + itemRoom
		}
		return len(list) == 0
	})
	return n
}

// look gives the next items that differ; what was gone through for them counts.
func (w *SnapshotWriter) look(d *Difference) []Item {
	before := d.scanned
	list := d.Next(itemsOnce)
	w.cost += d.scanned - before
	return list
}

// difference is a field with what a content differs in from the newest; none where that is nothing.
func (w *SnapshotWriter) difference(key byte, content *Content, n *int) {
	var d *Difference
	w.do(func() bool {
		if *n == 0 {
			return true
		}
		if d == nil {
			d = Diff(w.table.newest, content)
			w.key(key, cborArray, *n)
		}
		list := w.look(d)
		w.append(list)
		return len(list) == 0
	})
}

// record is one of the log: its fields in order, but for its changes, which come last.
func (w *SnapshotWriter) record(r *Record) {
	w.then(func() {
		light := *r
		light.Changes, light.Replaced = nil, nil
		w.body(&light, some(len(r.Changes))+some(len(r.Replaced)))
	})
	w.items(6, r.Changes)
	w.items(7, r.Replaced)
}

// items is a field with a list.
func (w *SnapshotWriter) items(key byte, list []Item) {
	if len(list) == 0 {
		return
	}
	w.then(func() { w.key(key, cborArray, len(list)) })
	w.do(func() bool {
		n := min(itemsOnce, len(list))
		w.append(list[:n])
		list = list[n:]
		return len(list) == 0
	})
}

func (w *SnapshotWriter) append(list []Item) {
	for k := range list {
		w.value(&list[k])
		w.cost += itemCost
	}
}

// body writes a value that is a map of less than 24 fields, with so many more to follow.
func (w *SnapshotWriter) body(value any, more int) {
	at := len(w.text)
	w.value(value)
	w.text[at] += byte(more)
}

func (w *SnapshotWriter) field(key byte, value any) {
	w.text = append(w.text, key)
	w.value(value)
}

func (w *SnapshotWriter) key(key, kind byte, n int) {
	w.text = append(w.text, key)
	w.head(kind, n)
}

func (w *SnapshotWriter) value(value any) {
	text, err := cbor.Marshal(value)
	if err != nil {
		panic(err) // of plain fields
	}
	w.text = append(w.text, text...)
}

// head is the kind of a value and its length.
func (w *SnapshotWriter) head(kind byte, n int) {
	switch {
	case n < lengthOf8:
		w.text = append(w.text, kind|byte(n))
	case n < 1<<8:
		w.text = append(w.text, kind|lengthOf8, byte(n))
	case n < 1<<16:
		w.text = binary.BigEndian.AppendUint16(append(w.text, kind|lengthOf16), uint16(n))
	default:
		w.text = binary.BigEndian.AppendUint32(append(w.text, kind|lengthOf32), uint32(n))
	}
}
