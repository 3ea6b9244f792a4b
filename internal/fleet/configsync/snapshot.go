package configsync

import (
	"encoding/binary"
	"slices"

	"github.com/fxamacker/cbor/v2"
)

const (
	itemsPerStep      = 64      // items that are written between two looks at what a call has done: some 10 µs
	bytesPerItem      = 128     // bytes of a block that cost what it costs to encode one item: a microsecond
	maxItemOverhead   = 32      // bytes of an item's head and keys, at the most
	maxRecordOverhead = 64      // bytes of keys and heads of a record or verdict, at the most
	maxHeadBytes      = 1 << 10 // bytes of a head, with a reason, and of a draft without its changes
	bytesPerWholeStep = 1 << 20 // bytes a call of Next, where nobody waits
	cborBytes         = 2 << 5  // CBOR (RFC 8949): the major type of a byte string, in the first byte of its head
	cborArray         = 4 << 5  // of an array
	cborMap           = 5 << 5  // of a map
	cborNull          = 0xf6    // null, which an empty block is
	lengthOf8         = 24      // in a head: the length follows in one byte; below that it is the length itself
	lengthOf16        = 25      // in two bytes, big-endian
	lengthOf32        = 26      // in four
)

// savedTable is a table as a snapshot holds it: the newest content in blocks, the others as what differs from it.
type savedTable struct {
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
	steps []func() bool // what is to be done, each called until it is done
	cost  int           // of the call of Next in hand, in bytes
	size  int           // that the text will have at the most
	text  []byte
}

// BeginSnapshot begins a snapshot, at a cost that doesn't grow with the contents.
func (t *Table) BeginSnapshot() *SnapshotWriter {
	w := &SnapshotWriter{table: *t}
	w.table.log, w.table.rollbackVersions, w.table.lastVerdicts = slices.Clone(t.log), slices.Clone(t.rollbackVersions), slices.Clone(t.lastVerdicts)
	t = &w.table
	w.size = t.newest.bytes + (Blocks+len(t.rollbackVersions))*9 + t.logSize + (len(t.log)+len(t.lastVerdicts))*maxRecordOverhead + maxHeadBytes
	for k := range t.lastVerdicts {
		v := &t.lastVerdicts[k]
		w.size += len(v.From) + len(v.Refused) + sizeOf(v.Differ)
	}
	all, first, drafted := w.countDifference(t.all), w.countDifference(t.canary), w.countDifference(t.draft.content)
	w.addSingleStep(func() {
		w.text = make([]byte, 0, w.size)
		w.writeHead(cborMap, 4+oneIfAny(*all)+oneIfAny(*first)+oneIfAny(len(t.log))+oneIfAny(len(t.rollbackVersions))+oneIfAny(len(t.lastVerdicts)))
		w.writeField(1, t.head)
		w.writeField(2, t.canarySince)
		w.writeArrayKey(3, cborArray, Blocks)
	})
	block := 0
	w.addStep(func() bool {
		if text, _ := t.newest.Block(block); text == nil {
			w.text = append(w.text, cborNull)
		} else {
			w.writeHead(cborBytes, len(text))
			w.text = append(w.text, text...)
		}
		block++
		return block == Blocks
	})
	w.addDifference(4, t.all, all)
	w.addDifference(5, t.canary, first)
	if len(t.log) > 0 {
		w.addSingleStep(func() { w.writeArrayKey(6, cborArray, len(t.log)) })
		for _, r := range t.log {
			w.addRecord(r)
		}
	}
	w.addSingleStep(func() {
		if len(t.rollbackVersions) > 0 {
			w.writeField(7, t.rollbackVersions)
		}
		if len(t.lastVerdicts) > 0 {
			w.writeField(8, t.lastVerdicts)
		}
		w.text = append(w.text, 9)
		w.writeBody(t.draft, oneIfAny(*drafted))
	})
	w.addDifference(5, t.draft.content, drafted)
	return w
}

// Next writes at least so many bytes more, or what costs as much, and says whether the snapshot is whole. It goes beyond them by
// what one block, or one look for what differs, takes at the most.
func (w *SnapshotWriter) Next(least int) (whole bool) {
	for w.cost = 0; len(w.steps) > 0 && w.cost < least; {
		before := len(w.text)
		if w.steps[0]() {
			w.steps[0] = nil
			w.steps = w.steps[1:]
		}
		w.cost += max(1, len(w.text)-before)
	}
	return len(w.steps) == 0
}

// Text is what is written so far. It must not be changed.
func (w *SnapshotWriter) Text() []byte { return w.text }

func (w *SnapshotWriter) addStep(part func() bool) { w.steps = append(w.steps, part) }

func (w *SnapshotWriter) addSingleStep(part func()) { w.addStep(func() bool { part(); return true }) }

func oneIfAny(n int) int { return min(n, 1) }

// countDifference is how many items a content differs in from the newest, once that is known. They are gone through before anything
// is written, so that the text has its room from the beginning.
func (w *SnapshotWriter) countDifference(content *Content) *int {
	n := new(int)
	if content == nil || content.Digest() == w.table.newest.Digest() {
		return n
	}
	d := Diff(w.table.newest, content)
	w.addStep(func() bool {
		list := w.nextDifference(d)
		*n += len(list)
		for k := range list {
			w.size += len(list[k].Name) + len(list[k].Value) + maxItemOverhead
			w.cost += len(list[k].Name) + len(list[k].Value) + maxItemOverhead
		}
		return len(list) == 0
	})
	return n
}

// nextDifference gives the next items that differ; what was gone through for them counts.
func (w *SnapshotWriter) nextDifference(d *Difference) []Item {
	before := d.scanned
	list := d.Next(itemsPerStep)
	w.cost += d.scanned - before
	return list
}

// addDifference is a field with what a content differs in from the newest; none where that is nothing.
func (w *SnapshotWriter) addDifference(key byte, content *Content, n *int) {
	var d *Difference
	w.addStep(func() bool {
		if *n == 0 {
			return true
		}
		if d == nil {
			d = Diff(w.table.newest, content)
			w.writeArrayKey(key, cborArray, *n)
		}
		list := w.nextDifference(d)
		w.writeItems(list)
		return len(list) == 0
	})
}

// addRecord is one of the log: its fields in order, but for its changes, which come last.
func (w *SnapshotWriter) addRecord(r *Record) {
	w.addSingleStep(func() {
		light := *r
		light.Changes, light.Replaced = nil, nil
		w.writeBody(&light, oneIfAny(len(r.Changes))+oneIfAny(len(r.Replaced)))
	})
	w.addItems(6, r.Changes)
	w.addItems(7, r.Replaced)
}

// addItems is a field with a list.
func (w *SnapshotWriter) addItems(key byte, list []Item) {
	if len(list) == 0 {
		return
	}
	w.addSingleStep(func() { w.writeArrayKey(key, cborArray, len(list)) })
	w.addStep(func() bool {
		n := min(itemsPerStep, len(list))
		w.writeItems(list[:n])
		list = list[n:]
		return len(list) == 0
	})
}

func (w *SnapshotWriter) writeItems(list []Item) {
	for k := range list {
		w.writeValue(&list[k])
		w.cost += bytesPerItem
	}
}

// writeBody writes a value that is a map of less than 24 fields, with so many more to follow.
func (w *SnapshotWriter) writeBody(value any, more int) {
	at := len(w.text)
	w.writeValue(value)
	w.text[at] += byte(more)
}

func (w *SnapshotWriter) writeField(key byte, value any) {
	w.text = append(w.text, key)
	w.writeValue(value)
}

func (w *SnapshotWriter) writeArrayKey(writeArrayKey, kind byte, n int) {
	w.text = append(w.text, writeArrayKey)
	w.writeHead(kind, n)
}

func (w *SnapshotWriter) writeValue(writeValue any) {
	text, err := cbor.Marshal(writeValue)
	if err != nil {
		panic(err) // of plain fields
	}
	w.text = append(w.text, text...)
}

// writeHead is the kind of a value and its length.
func (w *SnapshotWriter) writeHead(kind byte, n int) {
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
