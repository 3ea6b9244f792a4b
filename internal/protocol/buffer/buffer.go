// Package buffer is the one buffer of a connection: it grows as it needs and is compacted in place.
package buffer

const (
	first = 4 << 10  // bytes at the start: an invocation with its body fits
	keep  = 16 << 10 // bytes kept once empty; what grew past it for one message is given back
)

// Buffer holds bytes that were read and not yet taken. The zero value is ready.
type Buffer struct {
	bytes    []byte
	from, to int
}

// Space is where to read to; it is never empty. It invalidates what Bytes gave.
func (b *Buffer) Space() []byte {
	if b.from == b.to {
		b.from, b.to = 0, 0
		if len(b.bytes) > keep {
			b.bytes = nil
		}
	}
	if b.from > 0 && len(b.bytes)-b.to < len(b.bytes)/2 {
		b.to = copy(b.bytes, b.bytes[b.from:b.to])
		b.from = 0
	}
	if b.to == len(b.bytes) {
		grown := make([]byte, max(first, 2*len(b.bytes)))
		copy(grown, b.bytes[:b.to])
		b.bytes = grown
	}
	return b.bytes[b.to:]
}

// Wrote says how many bytes of Space were read to.
func (b *Buffer) Wrote(n int) { b.to += n }

// Bytes is what was read and not yet taken, valid until Space.
func (b *Buffer) Bytes() []byte { return b.bytes[b.from:b.to] }

// Take drops the first bytes.
func (b *Buffer) Take(n int) { b.from += n }
