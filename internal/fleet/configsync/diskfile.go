package configsync

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
)

const (
	frameHeaderBytes = 12      // bytes: length 4, checksum of the body 8, little-endian
	maxFrameBytes    = 4 << 20 // bytes of a body: above any record that is kept, and far above a group of blocks
)

// frame is one body of a file: first the mark, then blocks, then records behind them.
type frame struct {
	Revision *Revision `cbor:"1,keyasint,omitempty"`
	Blocks   []Block   `cbor:"2,keyasint,omitempty"`
	Record   *Record   `cbor:"3,keyasint,omitempty"`
}

func (f *frame) append(to []byte) []byte {
	body, err := cbor.Marshal(f)
	if err != nil {
		panic(err) // of plain fields
	}
	to = binary.LittleEndian.AppendUint32(to, uint32(len(body)))
	to = binary.LittleEndian.AppendUint64(to, xxhash.Sum64(body))
	return append(to, body...)
}

// Encode yields a file that holds a content, in pieces of some 64 kB. Records are appended behind it.
func Encode(revision Revision, c *Content) func(yield func([]byte) bool) {
	return func(yield func([]byte) bool) {
		if !yield((&frame{Revision: &revision}).append(nil)) {
			return
		}
		next, size := frame{}, 0
		for n := range Blocks {
			if text, _ := c.Block(n); len(text) > 0 {
				next.Blocks, size = append(next.Blocks, Block{N: uint16(n), Text: text}), size+len(text)
			}
			if size > maxPieceBytes || n == Blocks-1 && size > 0 {
				if !yield(next.append(nil)) {
					return
				}
				next, size = frame{}, 0
			}
		}
	}
}

// AppendRecord appends a record as it stands in a file.
func AppendRecord(to []byte, r *Record) []byte {
	w := r.wire()
	return (&frame{Record: &w}).append(to)
}

// DiskLoader reads such a file, written to it in pieces of any size. The zero value is ready.
type DiskLoader struct {
	buffer      []byte // of a frame that isn't whole yet
	revision    Revision
	hasRevision bool
	content     Content
	own         [fanout]bool
	ready       *Content // once it came to the mark's digest
	journalSize int
	err         error
}

// Write takes the next bytes. It never fails: what can't be used is told at the end.
func (l *DiskLoader) Write(p []byte) (int, error) {
	for l.buffer = append(l.buffer, p...); l.err == nil && len(l.buffer) >= frameHeaderBytes; {
		size := int(binary.LittleEndian.Uint32(l.buffer))
		if size > maxFrameBytes {
			l.err = fmt.Errorf("a frame of %d bytes", size)
			break
		}
		if len(l.buffer) < frameHeaderBytes+size {
			break
		}
		body := l.buffer[frameHeaderBytes : frameHeaderBytes+size]
		var f frame
		if xxhash.Sum64(body) != binary.LittleEndian.Uint64(l.buffer[4:]) {
			l.err = fmt.Errorf("a checksum differs")
		} else if l.err = cborDecoding.Unmarshal(body, &f); l.err == nil {
			l.err = l.addFrame(&f, frameHeaderBytes+size)
		}
		l.buffer = l.buffer[frameHeaderBytes+size:]
	}
	if l.err != nil {
		l.buffer = nil
	}
	return len(p), nil
}

func (l *DiskLoader) addFrame(f *frame, size int) error {
	switch {
	case f.Revision != nil && !l.hasRevision:
		l.revision, l.hasRevision = *f.Revision, true
		l.checkComplete()
	case !l.hasRevision:
		return fmt.Errorf("no version at the beginning")
	case len(f.Blocks) > 0 && l.ready == nil:
		for _, b := range f.Blocks {
			if _, ok := checkBlock(int(b.N), b.Text); !ok || int(b.N) >= Blocks {
				return fmt.Errorf("block %d is malformed", b.N)
			}
			l.content.set(int(b.N), b.Text, &l.own)
		}
		l.checkComplete()
	case f.Record != nil && l.ready != nil:
		record := f.Record
		next, err := l.ready.Apply(record.Changes)
		if err != nil {
			return err
		}
		if record.Version != l.revision.Version+1 || record.Base != l.revision.Digest || next.Digest() != record.Digest {
			return fmt.Errorf("the record of version %d doesn't follow version %d", record.Version, l.revision.Version)
		}
		l.ready, l.revision, l.journalSize = next, Revision{record.Version, record.Digest}, l.journalSize+size
	default:
		return fmt.Errorf("a frame out of order")
	}
	return nil
}

// checkComplete notes that all blocks are there.
func (l *DiskLoader) checkComplete() {
	if l.content.Digest() == l.revision.Digest {
		c := l.content
		l.ready = &c
	}
}

// Start is what the file held, up to the first thing that was wrong with it: the error says what. Nothing is taken of a
// content that doesn't come to its digest.
func (l *DiskLoader) Start() (InitialState, error) {
	err := l.err
	if err == nil && len(l.buffer) > 0 {
		err = fmt.Errorf("the last frame is torn")
	}
	if l.ready == nil {
		if err == nil {
			err = fmt.Errorf("blocks are missing")
		}
		return InitialState{}, fmt.Errorf("configuration: nothing can be read back: %w", err)
	}
	state := InitialState{Mark: l.revision, Content: l.ready, Source: "disk", Journal: l.journalSize}
	if err != nil {
		state.Journal = -1
		err = fmt.Errorf("configuration: read back to version %d only: %w", l.revision.Version, err)
	}
	return state, err
}
