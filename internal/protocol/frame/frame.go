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
	Invocation   = 16
	Answer       = 17
	Cancel       = 18
	HealthCheck  = 32
	HealthStatus = 33
	GoAway       = 48
	lengthBytes  = 4
	headerBytes  = lengthBytes + 5
)

// The codes of answers.
const (
	Succeeded = 20
	Throttled = 50
	Errored   = 51
	Healthy   = 20
	Unhealthy = 51
)

const (
	minLength = 5
	maxLength = 262_144
	// maxPayload is the payload that is kept in memory, a body of 2 KiB with its fields several times over; what
	// is longer is read past, so that many connections at once cannot fill the memory.
	maxPayload = 4 << 10
)

// What makes a frame or its fields unreadable.
var (
	ErrLength = errors.New("frame: length out of bounds")
	ErrFields = errors.New("frame: broken fields")
)

// Frame is one frame; Payload is valid until the parser's Space. Past is set where it was too long to keep.
type Frame struct {
	Type      byte
	Stream    uint32
	Payload   []byte
	Oversized bool
}

// Parser takes the bytes of one connection. The zero value is ready.
type Parser struct {
	input buffer.Buffer
	skip  int
}

// Space is where to read to.
func (p *Parser) Space() []byte { return p.input.Space() }

// Incomplete says whether a frame has begun that is not whole yet.
func (p *Parser) Incomplete() bool { return p.skip > 0 || len(p.input.Bytes()) > 0 }

// Wrote says how many bytes of Space were read to.
func (p *Parser) Wrote(n int) { p.input.Wrote(n) }

// Next returns the next frame that is whole; an error is final for the connection.
func (p *Parser) Next() (f Frame, ok bool, err error) {
	if p.skip > 0 {
		n := min(p.skip, len(p.input.Bytes()))
		p.input.Discard(n)
		if p.skip -= n; p.skip > 0 {
			return f, false, nil
		}
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
	f.Type, f.Stream = b[lengthBytes], binary.LittleEndian.Uint32(b[lengthBytes+1:])
	size := int(length) - minLength
	if size > maxPayload {
		f.Oversized, p.skip = true, size
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

// AppendHeader writes the head of a frame with a code, its fields and the length of the body that is to follow.
func AppendHeader(b []byte, kind byte, stream uint32, code byte, fields []Field, bodyBytes int) []byte {
	size := minLength + 2 + bodyBytes
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
