// Package frame is the codec of the dispatchers' binary protocol. It does no I/O: it takes bytes at any split and
// returns frames.
package frame

import (
	"encoding/binary"
	"errors"
	"math"
	"unicode/utf8"
)

// Types of frames.
const (
	Invocation   = 16 // a dispatcher asks for a run
	Answer       = 17 // the result of an invocation, or why there is none
	Cancel       = 18 // the caller of an invocation no longer waits for it
	HealthCheck  = 32 // a dispatcher asks for the node's health
	HealthStatus = 33 // the answer to a health check
	GoAway       = 48 // the node is draining and takes no further invocations on the connection
)

// Codes of Answer frames.
const (
	Succeeded = 20
	Throttled = 50
	Errored   = 51
)

// Codes of HealthStatus frames.
const (
	Healthy   = 20
	Unhealthy = 51
)

// Layout of a frame: length (4 bytes, little-endian), type (1), stream (4), payload. The length counts what follows it.
const (
	lengthBytes = 4
	headerBytes = lengthBytes + minLength
	minLength   = 5
	maxLength   = 262_144
	// maxPayload is the largest payload that is buffered: a body of 2 KiB with its fields several times over. Longer ones
	// are discarded, so that many connections at once can't exhaust the memory.
	maxPayload = 4 << 10
)

// Layout of a field: length of the name (1 byte), name, length of the value (2 bytes, little-endian), value.
const (
	nameLengthBytes  = 1
	valueLengthBytes = 2
	fieldOverhead    = nameLengthBytes + valueLengthBytes
)

// Errors of malformed input.
var (
	ErrLength = errors.New("frame: length out of bounds")
	ErrFields = errors.New("frame: broken fields")
	ErrText   = errors.New("frame: the name or value of a field is not UTF-8 text")
)

// Frame is one frame. Payload is valid until the parser's Space; it is empty in an oversized frame, whose payload is
// discarded.
type Frame struct {
	Type      byte
	Stream    uint32
	Payload   []byte
	Oversized bool
}

// Field is a named value of a payload.
type Field struct{ Name, Value string }

// Fields splits a payload into its fields and the body behind them, which shares the payload's memory. Names and values are
// UTF-8 text, as they are stored and sent to peers as such.
func Fields(payload []byte) (fields []Field, body []byte, err error) {
	body, err = EachField(payload, func(name, value []byte) bool {
		fields = append(fields, Field{string(name), string(value)})
		return true
	})
	if err != nil {
		return nil, nil, err
	}
	return fields, body, nil
}

// EachField calls visit with each field of a payload, in order, until that returns false, and returns the body behind the
// fields. It takes no memory, however many fields there are; name and value share the payload's. An error comes before the
// first call.
func EachField(payload []byte, visit func(name, value []byte) bool) (body []byte, err error) {
	if body, err = walkFields(payload, isText); err != nil {
		return nil, err
	}
	_, _ = walkFields(payload, func(name, value []byte) error { // its error ends the walk
		if !visit(name, value) {
			return errStopped
		}
		return nil
	})
	return body, nil
}

var errStopped = errors.New("frame: stopped")

func isText(name, value []byte) error {
	if !utf8.Valid(name) || !utf8.Valid(value) {
		return ErrText
	}
	return nil
}

// walkFields calls visit with each field until that returns an error.
func walkFields(payload []byte, visit func(name, value []byte) error) (body []byte, err error) {
	if len(payload) == 0 {
		return nil, ErrFields
	}
	b := payload[1:]
	for range payload[0] {
		if len(b) < nameLengthBytes || len(b) < fieldOverhead+int(b[0]) {
			return nil, ErrFields
		}
		name := b[nameLengthBytes : nameLengthBytes+int(b[0])]
		b = b[nameLengthBytes+len(name):]
		size := int(binary.LittleEndian.Uint16(b))
		b = b[valueLengthBytes:]
		if len(b) < size {
			return nil, ErrFields
		}
		if err := visit(name, b[:size]); err != nil {
			return nil, err
		}
		b = b[size:]
	}
	return b, nil
}

// AppendHeader appends a frame with a code and fields, up to its body of bodyBytes, which the caller appends.
func AppendHeader(b []byte, kind byte, stream uint32, code byte, fields []Field, bodyBytes int) []byte {
	size := minLength + 2 + bodyBytes // the code and the number of fields take a byte each
	for _, f := range fields {
		size += fieldOverhead + len(f.Name) + len(f.Value)
	}
	b = binary.LittleEndian.AppendUint32(b, uint32(size))
	b = append(b, kind)
	b = binary.LittleEndian.AppendUint32(b, stream)
	b = append(b, code)
	return appendFields(b, fields)
}

// AppendInvocation appends an Invocation frame, as dispatchers send it.
func AppendInvocation(b []byte, stream uint32, fields []Field, body []byte) []byte {
	payload := appendFields(nil, fields)
	return Append(b, Invocation, stream, append(payload, body...))
}

// Append appends a frame with a payload.
func Append(b []byte, kind byte, stream uint32, payload []byte) []byte {
	b = binary.LittleEndian.AppendUint32(b, uint32(minLength+len(payload)))
	b = append(b, kind)
	b = binary.LittleEndian.AppendUint32(b, stream)
	return append(b, payload...)
}

func appendFields(b []byte, fields []Field) []byte {
	b = append(b, byte(len(fields)))
	for _, f := range fields {
		b = append(b, byte(min(len(f.Name), math.MaxUint8)))
		b = append(b, f.Name...)
		b = binary.LittleEndian.AppendUint16(b, uint16(min(len(f.Value), math.MaxUint16)))
		b = append(b, f.Value...)
	}
	return b
}
