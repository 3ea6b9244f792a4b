// Package buffer is the read buffer of a connection: it grows as needed and is compacted in place.
package buffer

const (
	initialBytes = 4 << 10  // an invocation with its body fits
	maxIdleBytes = 16 << 10 // an empty buffer that grew past it is given back
)

// Buffer holds bytes that were read and not yet discarded. The zero value is ready.
type Buffer struct {
	data       []byte
	start, end int // of the unread bytes
}

// Space returns the memory to read into; it is never empty. It invalidates what Bytes returned.
func (b *Buffer) Space() []byte {
	if b.start == b.end {
		b.reset()
	}
	if b.start > 0 && len(b.data)-b.end < len(b.data)/2 {
		b.end = copy(b.data, b.data[b.start:b.end])
		b.start = 0
	}
	if b.end == len(b.data) {
		grown := make([]byte, max(initialBytes, 2*len(b.data)))
		copy(grown, b.data[:b.end])
		b.data = grown
	}
	return b.data[b.end:]
}

// reset empties the buffer and gives back what a long message made it grow to.
func (b *Buffer) reset() {
	b.start = 0
	b.end = 0
	if len(b.data) > maxIdleBytes {
		b.data = nil
	}
}

// Wrote records that n bytes of Space were read into.
func (b *Buffer) Wrote(n int) { b.end += n }

// Bytes returns what was read and not yet discarded, valid until Space.
func (b *Buffer) Bytes() []byte { return b.data[b.start:b.end] }

// Discard drops the first n bytes.
func (b *Buffer) Discard(n int) { b.start += n }
