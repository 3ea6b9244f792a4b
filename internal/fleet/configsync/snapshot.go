package configsync

import (
	"encoding/binary"
	"slices"

	"github.com/fxamacker/cbor/v2"
)

const (
	itemsPerStep      = 64      // items that are encoded before the cost of a call is looked at again
	bytesPerItem      = 128     // bytes of a block that cost as much as encoding one item
	maxItemOverhead   = 32      // bytes of an item's head and keys
	maxRecordOverhead = 64      // bytes of keys and heads of a record or verdict
	maxHeadBytes      = 1 << 10 // bytes of a head, with a reason, and of a draft without its changes
	maxLengthBytes    = 9       // bytes of a CBOR head
	bytesPerFullStep  = 1 << 20 // bytes a call of Next, where nobody waits
)

// CBOR (RFC 8949): major types in the first byte of a head, and how a length is encoded in it.
const (
	cborBytes  = 2 << 5 // a byte string
	cborArray  = 4 << 5
	cborMap    = 5 << 5
	cborNull   = 0xf6 // stands for an empty block
	lengthOf8  = 24   // the length follows in one byte; below that it is the length itself
	lengthOf16 = 25   // in two bytes, big-endian
	lengthOf32 = 26   // in four bytes, big-endian
)

// Keys of savedTable that the writer encodes itself.
const (
	keyHead             = byte(1)
	keyCanarySince      = byte(2)
	keyBlocks           = byte(3)
	keyAll              = byte(4)
	keyCanary           = byte(5)
	keyLog              = byte(6)
	keyRollbackVersions = byte(7)
	keyLastVerdicts     = byte(8)
	keyDraft            = byte(9)

	keyDraftChanges   = byte(5) // of draft
	keyRecordChanges  = byte(6) // of Record
	keyRecordReplaced = byte(7) // of Record
)

// savedTable is a table as a snapshot has it: the newest content in blocks, the others as their differences from it.
type savedTable struct {
	Head             HeadRevision `cbor:"1,keyasint"`
	CanarySince      int64        `cbor:"2,keyasint"`
	Blocks           [][]byte     `cbor:"3,keyasint"`
	All              []Item       `cbor:"4,keyasint,omitempty"`
	Canary           []Item       `cbor:"5,keyasint,omitempty"`
	Log              []*Record    `cbor:"6,keyasint,omitempty"`
	RollbackVersions []uint64     `cbor:"7,keyasint,omitempty"`
	LastVerdicts     []Verdict    `cbor:"8,keyasint,omitempty"`
	Draft            draft        `cbor:"9,keyasint"`
}

// SnapshotWriter encodes a snapshot of a table as it was at the beginning, some at a time. The table may change meanwhile: its contents
// and records are immutable, and the rest is copied.
type SnapshotWriter struct {
	table Table
	steps []func() bool // what is to be done, each called until it is done
	cost  int           // bytes, of the current call of Next
	size  int           // bytes that the text can have
	text  []byte
}

// Snapshot encodes the table; two that are equal are encoded alike. A table that didn't change since the last snapshot returns the same
// bytes again, which must not be changed.
func (t *Table) Snapshot() ([]byte, error) {
	if t.snapshot != nil {
		return t.snapshot, nil
	}
	w := t.BeginSnapshot()
	for !w.Next(bytesPerFullStep) {
	}
	t.snapshot = w.Encoded()
	return t.snapshot, nil
}

// BeginSnapshot begins a snapshot, at a cost that doesn't grow with the contents.
func (t *Table) BeginSnapshot() *SnapshotWriter {
	w := &SnapshotWriter{table: *t}
	w.table.log = slices.Clone(t.log)
	w.table.rollbackVersions = slices.Clone(t.rollbackVersions)
	w.table.lastVerdicts = slices.Clone(t.lastVerdicts)
	w.size = w.table.maxSnapshotBytes()
	all := w.countDifference(t.all)
	canary := w.countDifference(t.canary)
	drafted := w.countDifference(t.draft.content)
	w.addSingleStep(func() { w.writeStart(*all, *canary) })
	w.addBlocks()
	w.addDifference(keyAll, t.all, all)
	w.addDifference(keyCanary, t.canary, canary)
	w.addLog()
	w.addSingleStep(func() { w.writeTail(*drafted) })
	w.addDifference(keyDraftChanges, t.draft.content, drafted)
	return w
}

// maxSnapshotBytes bounds a snapshot's size, but for what the contents differ in.
func (t *Table) maxSnapshotBytes() int {
	size := t.newest.bytes + (Blocks+len(t.rollbackVersions))*maxLengthBytes + t.logSize +
		(len(t.log)+len(t.lastVerdicts))*maxRecordOverhead + maxHeadBytes
	for k := range t.lastVerdicts {
		v := &t.lastVerdicts[k]
		size += len(v.Caller) + len(v.Refused) + sizeOf(v.Differing)
	}
	return size
}

// writeStart writes the fields up to the head of the blocks.
func (w *SnapshotWriter) writeStart(all, canary int) {
	t := &w.table
	w.text = make([]byte, 0, w.size)
	requiredFields := 4 // head, canary since, blocks, draft
	w.writeHead(cborMap, requiredFields+oneIfAny(all)+oneIfAny(canary)+oneIfAny(len(t.log))+oneIfAny(len(t.rollbackVersions))+oneIfAny(len(t.lastVerdicts)))
	w.writeField(keyHead, t.head)
	w.writeField(keyCanarySince, t.canarySince)
	w.writeArrayHead(keyBlocks, Blocks)
}

// writeTail writes the fields after the log, up to the draft's changes.
func (w *SnapshotWriter) writeTail(drafted int) {
	t := &w.table
	if len(t.rollbackVersions) > 0 {
		w.writeField(keyRollbackVersions, t.rollbackVersions)
	}
	if len(t.lastVerdicts) > 0 {
		w.writeField(keyLastVerdicts, t.lastVerdicts)
	}
	w.text = append(w.text, keyDraft)
	w.writeOpenMap(t.draft, oneIfAny(drafted))
}

// addBlocks adds the blocks of the newest content.
func (w *SnapshotWriter) addBlocks() {
	n := 0
	w.addStep(func() bool {
		block, _ := w.table.newest.Block(n)
		if block == nil {
			w.text = append(w.text, cborNull)
		} else {
			w.writeHead(cborBytes, len(block))
			w.text = append(w.text, block...)
		}
		n++
		return n == Blocks
	})
}

// addLog adds the log.
func (w *SnapshotWriter) addLog() {
	if len(w.table.log) == 0 {
		return
	}
	w.addSingleStep(func() { w.writeArrayHead(keyLog, len(w.table.log)) })
	for _, record := range w.table.log {
		w.addRecord(record)
	}
}

// Next encodes at least so many bytes more, or what costs as much, and reports whether the snapshot is complete. It exceeds them by one
// block, or one call of Difference.Next, at the most.
func (w *SnapshotWriter) Next(minBytes int) (complete bool) {
	w.cost = 0
	for len(w.steps) > 0 && w.cost < minBytes {
		before := len(w.text)
		if w.steps[0]() {
			w.steps[0] = nil
			w.steps = w.steps[1:]
		}
		w.cost += max(1, len(w.text)-before)
	}
	return len(w.steps) == 0
}

// Encoded is what is encoded so far. It must not be changed.
func (w *SnapshotWriter) Encoded() []byte { return w.text }

func (w *SnapshotWriter) addStep(step func() bool) { w.steps = append(w.steps, step) }

func (w *SnapshotWriter) addSingleStep(step func()) {
	w.addStep(func() bool {
		step()
		return true
	})
}

func oneIfAny(n int) int { return min(n, 1) }

// countDifference counts the items that a content differs in from the newest. They are counted before anything is encoded, so that the
// text is allocated once.
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

// nextDifference returns the next items that differ, and adds up what was scanned for them.
func (w *SnapshotWriter) nextDifference(d *Difference) []Item {
	before := d.scanned
	list := d.Next(itemsPerStep)
	w.cost += d.scanned - before
	return list
}

// addDifference adds a field with the items that a content differs in from the newest, where there are any.
func (w *SnapshotWriter) addDifference(key byte, content *Content, n *int) {
	var difference *Difference
	w.addStep(func() bool {
		if *n == 0 {
			return true
		}
		if difference == nil {
			difference = Diff(w.table.newest, content)
			w.writeArrayHead(key, *n)
		}
		list := w.nextDifference(difference)
		w.writeItems(list)
		return len(list) == 0
	})
}

// addRecord adds one record: its fields in order, but for its changes, which come last.
func (w *SnapshotWriter) addRecord(r *Record) {
	w.addSingleStep(func() {
		rest := *r
		rest.Changes = nil
		rest.Replaced = nil
		w.writeOpenMap(&rest, oneIfAny(len(r.Changes))+oneIfAny(len(r.Replaced)))
	})
	w.addItems(keyRecordChanges, r.Changes)
	w.addItems(keyRecordReplaced, r.Replaced)
}

// addItems adds a field with a list, where it has any items.
func (w *SnapshotWriter) addItems(key byte, list []Item) {
	if len(list) == 0 {
		return
	}
	w.addSingleStep(func() { w.writeArrayHead(key, len(list)) })
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

// writeOpenMap encodes a value that is a map of less than 24 fields, of which so many more follow.
func (w *SnapshotWriter) writeOpenMap(value any, extraFields int) {
	at := len(w.text)
	w.writeValue(value)
	w.text[at] += byte(extraFields)
}

func (w *SnapshotWriter) writeField(key byte, value any) {
	w.text = append(w.text, key)
	w.writeValue(value)
}

func (w *SnapshotWriter) writeArrayHead(key byte, n int) {
	w.text = append(w.text, key)
	w.writeHead(cborArray, n)
}

func (w *SnapshotWriter) writeValue(value any) {
	text, err := cbor.Marshal(value)
	if err != nil {
		panic(err) // plain fields can always be encoded
	}
	w.text = append(w.text, text...)
}

// writeHead encodes the major type of a value and its length.
func (w *SnapshotWriter) writeHead(majorType byte, n int) {
	switch {
	case n < lengthOf8:
		w.text = append(w.text, majorType|byte(n))
	case n < 1<<8:
		w.text = append(w.text, majorType|lengthOf8, byte(n))
	case n < 1<<16:
		w.text = binary.BigEndian.AppendUint16(append(w.text, majorType|lengthOf16), uint16(n))
	default:
		w.text = binary.BigEndian.AppendUint32(append(w.text, majorType|lengthOf32), uint32(n))
	}
}
