package frame

import (
	"encoding/binary"

	"topazpost/internal/protocol/buffer"
)

// Parser splits the bytes of one connection into frames. The zero value is ready.
type Parser struct {
	input buffer.Buffer
	skip  int // bytes of an oversized payload that are still to be discarded
}

// Space returns the memory to read into.
func (p *Parser) Space() []byte { return p.input.Space() }

// Wrote records that n bytes of Space were read into.
func (p *Parser) Wrote(n int) { p.input.Wrote(n) }

// Incomplete reports whether the input ends within a frame.
func (p *Parser) Incomplete() bool { return p.skip > 0 || len(p.input.Bytes()) > 0 }

// Next returns the next complete frame; an error is final for the connection.
func (p *Parser) Next() (f Frame, ok bool, err error) {
	if !p.skipPayload() {
		return f, false, nil
	}
	b := p.input.Bytes()
	if len(b) < lengthBytes {
		return f, false, nil
	}
	length := binary.LittleEndian.Uint32(b)
	if length < minLength || length > maxLength {
		return f, false, ErrLength
	}
	if len(b) < headerBytes {
		return f, false, nil
	}
	f.Type = b[lengthBytes]
	f.Stream = binary.LittleEndian.Uint32(b[lengthBytes+1:])
	size := int(length) - minLength
	if size > maxPayload {
		f.Oversized = true
		p.skip = size
		p.input.Discard(headerBytes)
		return f, true, nil
	}
	if len(b) < headerBytes+size {
		return f, false, nil
	}
	f.Payload = b[headerBytes : headerBytes+size]
	p.input.Discard(headerBytes + size)
	return f, true, nil
}

// skipPayload discards the payload of an oversized frame and reports whether all of it is discarded.
func (p *Parser) skipPayload() bool {
	n := min(p.skip, len(p.input.Bytes()))
	p.input.Discard(n)
	p.skip -= n
	return p.skip == 0
}
