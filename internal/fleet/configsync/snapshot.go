package configsync

import (
	"encoding/binary"
	"slices"

	"github.com/fxamacker/cbor/v2"
)

const (
	itemsPerStep      = 64      // items encoded before the cost of a call is checked again
	itemCost          = 128     // cost of encoding one item; the unit of cost is that of copying one byte of a block
	maxItemOverhead   = 32      // at least the bytes of the CBOR heads and keys of an item
	maxRecordOverhead = 64      // at least the bytes of the CBOR heads and keys of a record or verdict
	maxStateBytes     = 1 << 10 // at least the encoded size of a RolloutState with a reason and of a draft without its changes
	maxCBORHeadBytes  = 9       // bytes of a CBOR head
	costPerFullStep   = 1 << 20 // minCost of each call of Next when the snapshot is encoded in one go
)

// CBOR (RFC 8949): the first byte of a head holds the major type, and the length or the width of the length that follows.
const (
	cborBytes  = 2 << 5 // a byte string
	cborArray  = 4 << 5
	cborMap    = 5 << 5
	cborNull   = 0xf6 // encodes an empty block
	lengthOf8  = 24   // the length follows in one byte; smaller values are the length itself
	lengthOf16 = 25   // the length follows in two bytes, big-endian
	lengthOf32 = 26   // the length follows in four bytes, big-endian
)

// Keys that SnapshotWriter encodes itself, of savedTable unless noted.
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

// savedTable is the encoding of a table in a snapshot: the newest content as blocks, the other contents as differences from it.
type savedTable struct {
	Head             RolloutState `cbor:"1,keyasint"`
	CanarySince      int64        `cbor:"2,keyasint"`
	Blocks           [][]byte     `cbor:"3,keyasint"`
	All              []Item       `cbor:"4,keyasint,omitempty"`
	Canary           []Item       `cbor:"5,keyasint,omitempty"`
	Log              []*Record    `cbor:"6,keyasint,omitempty"`
	RollbackVersions []uint64     `cbor:"7,keyasint,omitempty"`
	LastVerdicts     []Verdict    `cbor:"8,keyasint,omitempty"`
	Draft            draft        `cbor:"9,keyasint"`
}

// SnapshotWriter encodes a snapshot of a table incrementally. The snapshot has the state of the table at the call of BeginSnapshot; the table
// may change meanwhile, because contents and records are immutable and the writer has copies of the rest.
type SnapshotWriter struct {
	table Table
	steps []func() bool // remaining steps; each is called until it returns true
	cost  int           // cost of the current call of Next, in copied bytes
	size  int           // upper bound of the size of text
	text  []byte        // the encoding so far
}

// Snapshot encodes the table. Equal tables have equal snapshots. The encoding is cached until the table changes; the caller must not modify
// it.
func (t *Table) Snapshot() ([]byte, error) {
	if t.snapshot != nil {
		return t.snapshot, nil
	}
	w := t.BeginSnapshot()
	for !w.Next(costPerFullStep) {
	}
	t.snapshot = w.Encoded()
	return t.snapshot, nil
}

// BeginSnapshot begins an incremental snapshot. Its cost does not depend on the size of the contents.
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

// maxSnapshotBytes returns an upper bound of the size of a snapshot, without the differences between the contents.
func (t *Table) maxSnapshotBytes() int {
	size := t.newest.bytes + (Blocks+len(t.rollbackVersions))*maxCBORHeadBytes + t.logSize +
		(len(t.log)+len(t.lastVerdicts))*maxRecordOverhead + maxStateBytes
	for k := range t.lastVerdicts {
		v := &t.lastVerdicts[k]
		size += len(v.Caller) + len(v.Refused) + sizeOf(v.Differing)
	}
	return size
}

// writeStart writes the fields before the blocks, and the array head of the blocks.
func (w *SnapshotWriter) writeStart(all, canary int) {
	t := &w.table
	w.text = make([]byte, 0, w.size)
	requiredFields := 4 // Head, CanarySince, Blocks, Draft
	w.writeCBORHead(cborMap, requiredFields+oneIfAny(all)+oneIfAny(canary)+oneIfAny(len(t.log))+oneIfAny(len(t.rollbackVersions))+oneIfAny(len(t.lastVerdicts)))
	w.writeField(keyHead, t.head)
	w.writeField(keyCanarySince, t.canarySince)
	w.writeArrayHead(keyBlocks, Blocks)
}

// writeTail writes the fields after the log, without the changes of the draft, which follow.
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

// addBlocks adds a step that writes the blocks of the newest content.
func (w *SnapshotWriter) addBlocks() {
	n := 0
	w.addStep(func() bool {
		block, _ := w.table.newest.Block(n)
		if block == nil {
			w.text = append(w.text, cborNull)
		} else {
			w.writeCBORHead(cborBytes, len(block))
			w.text = append(w.text, block...)
		}
		n++
		return n == Blocks
	})
}

// addLog adds the steps that write the log.
func (w *SnapshotWriter) addLog() {
	if len(w.table.log) == 0 {
		return
	}
	w.addSingleStep(func() { w.writeArrayHead(keyLog, len(w.table.log)) })
	for _, record := range w.table.log {
		w.addRecord(record)
	}
}

// Next goes on with the encoding until its work costs at least minCost, and reports whether the snapshot is complete. The unit of cost is that
// of copying one byte of a block. A call exceeds minCost by at most one block or one call of Difference.Next.
func (w *SnapshotWriter) Next(minCost int) (complete bool) {
	w.cost = 0
	for len(w.steps) > 0 && w.cost < minCost {
		before := len(w.text)
		if w.steps[0]() {
			w.steps[0] = nil
			w.steps = w.steps[1:]
		}
		w.cost += max(1, len(w.text)-before)
	}
	return len(w.steps) == 0
}

// Encoded returns the encoding so far. The caller must not modify it.
func (w *SnapshotWriter) Encoded() []byte { return w.text }

func (w *SnapshotWriter) addStep(step func() bool) { w.steps = append(w.steps, step) }

func (w *SnapshotWriter) addSingleStep(step func()) {
	w.addStep(func() bool {
		step()
		return true
	})
}

// oneIfAny returns the number of map fields that a list of n elements takes: empty lists are omitted.
func oneIfAny(n int) int { return min(n, 1) }

// countDifference adds a step that counts the items in which a content differs from the newest one. All items are counted before the encoding
// starts, so that the text is allocated once.
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

// nextDifference returns the next items that differ, and adds the bytes scanned for them to the cost.
func (w *SnapshotWriter) nextDifference(d *Difference) []Item {
	before := d.scanned
	list := d.Next(itemsPerStep)
	w.cost += d.scanned - before
	return list
}

// addDifference adds a step that writes a field with the n items in which a content differs from the newest one; no field if n is 0.
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

// addRecord adds the steps that write one record: first its other fields, then its lists of items.
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

// addItems adds the steps that write a field with a list of items; no field if the list is empty.
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
		w.cost += itemCost
	}
}

// writeOpenMap encodes a value as a map whose head counts extraFields further fields, which the caller writes next. The map has less than
// 24 fields in all, so that its head is one byte.
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
	w.writeCBORHead(cborArray, n)
}

func (w *SnapshotWriter) writeValue(value any) {
	text, err := cbor.Marshal(value)
	if err != nil {
		panic(err) // cannot fail: the values have only fields that CBOR can represent
	}
	w.text = append(w.text, text...)
}

// writeCBORHead writes the CBOR head of a value: its major type and length.
func (w *SnapshotWriter) writeCBORHead(majorType byte, n int) {
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
