// Package frame is the dispatchers' binary codec. It is pure: bytes in at any split, frames out.
package frame

import (
	"encoding/binary"
	"errors"
	"math"

	"topazpost/internal/protocol/buffer"
)

// The types of frames.
const (
	Invocation = 16
	Answer     = 17
	Gone       = 18
	Check      = 32
	Checked    = 33
	NoMore     = 48
	lenBytes   = 4
	headFrom   = lenBytes + 5
)

// The codes of answers.
const (
	Succeeded = 20
	Throttled = 50
	Errored   = 51
	Good      = 20
	Bad       = 51
)

const (
	minLength = 5
	maxLength = 262_144
	// maxKept is the payload that is kept in memory, a body of 2 KiB with its fields several times over; what
	// is longer is read past, so that many connections at once cannot fill the memory.
	maxKept = 4 << 10
)

// What makes a frame or its fields unreadable.
var (
	ErrLength = errors.New("frame: length out of bounds")
	ErrFields = errors.New("frame: broken fields")
)

// Frame is one frame; Payload is valid until the parser's Space. Past is set where it was too long to keep.
type Frame struct {
	Type    byte
	Stream  uint32
	Payload []byte
	Past    bool
}

// Parser takes the bytes of one connection. The zero value is ready.
type Parser struct {
	in   buffer.Buffer
	skip int
}

// Space is where to read to.
func (p *Parser) Space() []byte { return p.in.Space() }

// Half says whether a frame has begun that is not whole yet.
func (p *Parser) Half() bool { return p.skip > 0 || len(p.in.Bytes()) > 0 }

// Wrote says how many bytes of Space were read to.
func (p *Parser) Wrote(n int) { p.in.Wrote(n) }

// Next returns the next frame that is whole; an error is final for the connection.
func (p *Parser) Next() (f Frame, ok bool, err error) {
	if p.skip > 0 {
		n := min(p.skip, len(p.in.Bytes()))
		p.in.Take(n)
		if p.skip -= n; p.skip > 0 {
			return f, false, nil
		}
	}
	b := p.in.Bytes()
	if len(b) < lenBytes {
		return f, false, nil
	}
	length := binary.LittleEndian.Uint32(b)
	if length < minLength || length > maxLength {
		return f, false, ErrLength
	}
	if len(b) < headFrom {
		return f, false, nil
	}
	f.Type, f.Stream = b[lenBytes], binary.LittleEndian.Uint32(b[lenBytes+1:])
	size := int(length) - minLength
	if size > maxKept {
		f.Past, p.skip = true, size
		p.in.Take(headFrom)
		return f, true, nil
	}
	if len(b) < headFrom+size {
		return f, false, nil
	}
	f.Payload = b[headFrom : headFrom+size]
	p.in.Take(headFrom + size)
	return f, true, nil
}

// Field is a name with its value.
type Field struct{ Name, Value string }

// Fields splits a payload into its fields and the body behind them, which shares the payload's memory.
func Fields(payload []byte) (fields []Field, body []byte, err error) {
	if len(payload) == 0 {
		return nil, nil, ErrFields
	}
	count, b := int(payload[0]), payload[1:]
	fields = make([]Field, 0, count)
	for range count {
		if len(b) < 1 || len(b) < 3+int(b[0]) {
			return nil, nil, ErrFields
		}
		name := string(b[1 : 1+b[0]])
		b = b[1+len(name):]
		size := int(binary.LittleEndian.Uint16(b))
		if b = b[2:]; len(b) < size {
			return nil, nil, ErrFields
		}
		fields = append(fields, Field{name, string(b[:size])})
		b = b[size:]
	}
	return fields, b, nil
}

// Head writes the head of a frame with a code, its fields and the length of the body that is to follow.
func Head(b []byte, kind byte, stream uint32, code byte, fields []Field, body int) []byte {
	size := minLength + 2 + body
	for _, f := range fields {
		size += 3 + len(f.Name) + len(f.Value)
	}
	b = binary.LittleEndian.AppendUint32(b, uint32(size))
	b = binary.LittleEndian.AppendUint32(append(b, kind), stream)
	return appendFields(append(b, code), fields)
}

// AppendInvocation writes an invocation as dispatchers do.
func AppendInvocation(b []byte, stream uint32, fields []Field, body []byte) []byte {
	return Append(b, Invocation, stream, append(appendFields(nil, fields), body...))
}

// Append writes a frame with a payload.
func Append(b []byte, kind byte, stream uint32, payload []byte) []byte {
	b = binary.LittleEndian.AppendUint32(b, uint32(minLength+len(payload)))
	b = binary.LittleEndian.AppendUint32(append(b, kind), stream)
	return append(b, payload...)
}

func appendFields(b []byte, fields []Field) []byte {
	b = append(b, byte(len(fields)))
	for _, f := range fields {
		b = append(append(b, byte(min(len(f.Name), math.MaxUint8))), f.Name...)
		b = binary.LittleEndian.AppendUint16(b, uint16(min(len(f.Value), math.MaxUint16)))
		b = append(b, f.Value...)
	}
	return b
}
