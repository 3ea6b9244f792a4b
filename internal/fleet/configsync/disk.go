package configsync

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
)

const (
	frameHead = 12      // bytes: length 4, checksum of the body 8, little-endian
	frameMost = 4 << 20 // bytes of a body: above any record that is kept, and far above a group of blocks
)

// frame is one body of a file: first the mark, then blocks, then records behind them.
type frame struct {
	Mark   *Revision `cbor:"1,keyasint,omitempty"`
	Blocks []Block   `cbor:"2,keyasint,omitempty"`
	Record *Record   `cbor:"3,keyasint,omitempty"`
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
func Encode(mark Revision, c *Content) func(yield func([]byte) bool) {
	return func(yield func([]byte) bool) {
		if !yield((&frame{Mark: &mark}).append(nil)) {
			return
		}
		f, size := frame{}, 0
		for n := range Blocks {
			if text, _ := c.Block(n); len(text) > 0 {
				f.Blocks, size = append(f.Blocks, Block{N: uint16(n), Text: text}), size+len(text)
			}
			if size > pieceMost || n == Blocks-1 && size > 0 {
				if !yield(f.append(nil)) {
					return
				}
				f, size = frame{}, 0
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
	text    []byte // of a frame that isn't whole yet
	mark    Revision
	known   bool
	content Content
	own     [fan]bool
	ready   *Content // once it came to the mark's digest
	journal int
	wrong   error
}

// Write takes the next bytes. It never fails: what can't be used is told at the end.
func (l *DiskLoader) Write(p []byte) (int, error) {
	for l.text = append(l.text, p...); l.wrong == nil && len(l.text) >= frameHead; {
		size := int(binary.LittleEndian.Uint32(l.text))
		if size > frameMost {
			l.wrong = fmt.Errorf("a frame of %d bytes", size)
			break
		}
		if len(l.text) < frameHead+size {
			break
		}
		body := l.text[frameHead : frameHead+size]
		var f frame
		if xxhash.Sum64(body) != binary.LittleEndian.Uint64(l.text[4:]) {
			l.wrong = fmt.Errorf("a checksum differs")
		} else if l.wrong = decode.Unmarshal(body, &f); l.wrong == nil {
			l.wrong = l.take(&f, frameHead+size)
		}
		l.text = l.text[frameHead+size:]
	}
	if l.wrong != nil {
		l.text = nil
	}
	return len(p), nil
}

func (l *DiskLoader) take(f *frame, size int) error {
	switch {
	case f.Mark != nil && !l.known:
		l.mark, l.known = *f.Mark, true
		l.whole()
	case !l.known:
		return fmt.Errorf("no version at the beginning")
	case len(f.Blocks) > 0 && l.ready == nil:
		for _, b := range f.Blocks {
			if _, ok := checked(int(b.N), b.Text); !ok || int(b.N) >= Blocks {
				return fmt.Errorf("block %d is malformed", b.N)
			}
			l.content.set(int(b.N), b.Text, &l.own)
		}
		l.whole()
	case f.Record != nil && l.ready != nil:
		r := f.Record
		next, err := l.ready.Apply(r.Changes)
		if err != nil {
			return err
		}
		if r.Version != l.mark.Version+1 || r.Base != l.mark.Digest || next.Digest() != r.Digest {
			return fmt.Errorf("the record of version %d doesn't follow version %d", r.Version, l.mark.Version)
		}
		l.ready, l.mark, l.journal = next, Revision{r.Version, r.Digest}, l.journal+size
	default:
		return fmt.Errorf("a frame out of order")
	}
	return nil
}

// whole notes that all blocks are there.
func (l *DiskLoader) whole() {
	if l.content.Digest() == l.mark.Digest {
		c := l.content
		l.ready = &c
	}
}

// Start is what the file held, up to the first thing that was wrong with it: the error says what. Nothing is taken of a
// content that doesn't come to its digest.
func (l *DiskLoader) Start() (InitialState, error) {
	err := l.wrong
	if err == nil && len(l.text) > 0 {
		err = fmt.Errorf("the last frame is torn")
	}
	if l.ready == nil {
		if err == nil {
			err = fmt.Errorf("blocks are missing")
		}
		return InitialState{}, fmt.Errorf("configuration: nothing can be read back: %w", err)
	}
	s := InitialState{Mark: l.mark, Content: l.ready, Source: "disk", Journal: l.journal}
	if err != nil {
		s.Journal = -1
		err = fmt.Errorf("configuration: read back to version %d only: %w", l.mark.Version, err)
	}
	return s, err
}
