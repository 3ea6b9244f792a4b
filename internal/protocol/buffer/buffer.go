// Package buffer is the one buffer of a connection: it grows as it needs and is compacted in place.
package buffer

const (
	initialBytes = 4 << 10  // bytes at the start: an invocation with its body fits
	maxIdleBytes = 16 << 10 // bytes kept once empty; what grew past it for one message is given back
)

// Buffer holds bytes that were read and not yet taken. The zero value is ready.
type Buffer struct {
	data       []byte
	start, end int
}

// Space is where to read to; it is never empty. It invalidates what Bytes gave.
func (b *Buffer) Space() []byte {
	if b.start == b.end {
		b.start, b.end = 0, 0
		if len(b.data) > maxIdleBytes {
			b.data = nil
		}
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

// Wrote says how many bytes of Space were read to.
func (b *Buffer) Wrote(n int) { b.end += n }

// Bytes is what was read and not yet taken, valid until Space.
func (b *Buffer) Bytes() []byte { return b.data[b.start:b.end] }

// Discard drops the first bytes.
func (b *Buffer) Discard(n int) { b.start += n }
