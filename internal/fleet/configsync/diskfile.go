package configsync

import (
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
)

const (
	frameLengthBytes = 4
	frameHeaderBytes = 12      // the body's length and its checksum of 8 bytes, both little-endian
	maxFrameBytes    = 4 << 20 // of a frame's body: more than the largest retained record, and far more than a group of blocks
)

// Faults of a file that a DiskLoader reads.
var (
	errChecksum       = errors.New("checksum mismatch")
	errNoVersion      = errors.New("first frame has no version")
	errFrameOrder     = errors.New("frame out of order")
	errTruncatedFrame = errors.New("last frame is truncated")
	errMissingBlocks  = errors.New("blocks missing")
)

// frame is the body of one frame of a file. The first frame holds the revision, the following ones its blocks, the last ones later records.
type frame struct {
	Revision *Revision `cbor:"1,keyasint,omitempty"`
	Blocks   []Block   `cbor:"2,keyasint,omitempty"`
	Record   *Record   `cbor:"3,keyasint,omitempty"`
}

func (f *frame) append(to []byte) []byte {
	body, err := cbor.Marshal(f)
	if err != nil {
		panic(err) // cannot happen: all field types can be encoded
	}
	to = binary.LittleEndian.AppendUint32(to, uint32(len(body)))
	to = binary.LittleEndian.AppendUint64(to, xxhash.Sum64(body))
	return append(to, body...)
}

// Encode yields the file of a content frame by frame; a frame of blocks holds up to one block more than maxPieceBytes. Records can be
// appended to the file.
func Encode(revision Revision, c *Content) func(yield func([]byte) bool) {
	return func(yield func([]byte) bool) {
		if !yield((&frame{Revision: &revision}).append(nil)) {
			return
		}
		next := frame{}
		size := 0
		for n := range Blocks {
			text, _ := c.Block(n)
			if len(text) > 0 {
				next.Blocks = append(next.Blocks, Block{Number: uint16(n), Text: text})
				size += len(text)
			}
			if size > maxPieceBytes || n == Blocks-1 && size > 0 {
				if !yield(next.append(nil)) {
					return
				}
				next = frame{}
				size = 0
			}
		}
	}
}

// AppendRecord appends a record's frame, as stored in a file.
func AppendRecord(to []byte, r *Record) []byte {
	wire := r.wire()
	return (&frame{Record: &wire}).append(to)
}

// DiskLoader decodes a file of Encode and AppendRecord, written to it in pieces of any size. The zero value is ready to use.
type DiskLoader struct {
	buffer      []byte // bytes of an incomplete frame
	revision    Revision
	hasRevision bool
	content     Content
	owned       [fanout]bool
	ready       *Content // set once the content matches the revision's digest
	journalSize int
	err         error
}

// Write decodes the next bytes of the file. It never fails: Start returns the first fault.
func (l *DiskLoader) Write(p []byte) (int, error) {
	l.buffer = append(l.buffer, p...)
	for l.err == nil && len(l.buffer) >= frameHeaderBytes {
		size := int(binary.LittleEndian.Uint32(l.buffer))
		if size > maxFrameBytes {
			l.err = fmt.Errorf("frame of %d bytes exceeds the limit", size)
			break
		}
		if len(l.buffer) < frameHeaderBytes+size {
			break
		}
		l.err = l.readFrame(l.buffer[:frameHeaderBytes+size])
		l.buffer = l.buffer[frameHeaderBytes+size:]
	}
	if l.err != nil {
		l.buffer = nil
	}
	return len(p), nil
}

func (l *DiskLoader) readFrame(encoded []byte) error {
	body := encoded[frameHeaderBytes:]
	if xxhash.Sum64(body) != binary.LittleEndian.Uint64(encoded[frameLengthBytes:]) {
		return errChecksum
	}
	var f frame
	if err := cborDecoding.Unmarshal(body, &f); err != nil {
		return err
	}
	switch {
	case f.Revision != nil && !l.hasRevision:
		l.revision = *f.Revision
		l.hasRevision = true
		l.checkComplete()
		return nil
	case !l.hasRevision:
		return errNoVersion
	case len(f.Blocks) > 0 && l.ready == nil:
		return l.addBlocks(f.Blocks)
	case f.Record != nil && l.ready != nil:
		return l.addRecord(f.Record, len(encoded))
	}
	return errFrameOrder
}

func (l *DiskLoader) addBlocks(blocks []Block) error {
	for _, block := range blocks {
		if !l.content.setCheckedBlock(block, &l.owned) {
			return fmt.Errorf("block %d is malformed", block.Number)
		}
	}
	l.checkComplete()
	return nil
}

func (l *DiskLoader) addRecord(record *Record, size int) error {
	next, err := l.ready.Apply(record.Changes)
	if err != nil {
		return err
	}
	if record.Version != l.revision.Version+1 || record.Base != l.revision.Digest || next.Digest() != record.Digest {
		return fmt.Errorf("record of version %d doesn't follow version %d", record.Version, l.revision.Version)
	}
	l.ready = next
	l.revision = Revision{record.Version, record.Digest}
	l.journalSize += size
	return nil
}

// checkComplete marks the content ready if all its blocks have been read.
func (l *DiskLoader) checkComplete() {
	if l.content.Digest() == l.revision.Digest {
		content := l.content
		l.ready = &content
	}
}

// Start returns the state read from the file up to its first fault, and the fault as an error. The state is empty if the content was
// incomplete or did not match its digest.
func (l *DiskLoader) Start() (InitialState, error) {
	err := l.err
	if err == nil && len(l.buffer) > 0 {
		err = errTruncatedFrame
	}
	if l.ready == nil {
		if err == nil {
			err = errMissingBlocks
		}
		return InitialState{}, fmt.Errorf("configuration: no content could be restored from disk: %w", err)
	}
	state := InitialState{ContentRevision: l.revision, Content: l.ready, Source: "disk", Journal: l.journalSize}
	if err != nil {
		state.Journal = -1
		err = fmt.Errorf("configuration: restored from disk up to version %d only: %w", l.revision.Version, err)
	}
	return state, err
}
