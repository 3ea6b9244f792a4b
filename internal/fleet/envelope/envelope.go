// Package envelope is the envelope of all that nodes tell each other: a version, the fleet, a checksum, and a body in
// CBOR. It is pure, and knows no body's meaning.
package envelope

import (
	"encoding/binary"
	"errors"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
)

// Version is of the envelope. Bodies grow by keys that older nodes pass over; this number changes only where they
// must not even try.
const Version = 1

// Bounds of what is read.
const (
	Head          = 13         // bytes before the body: version 1, fleet 4, checksum 8, all little-endian
	DatagramMost  = 1_200      // bytes that any path carries whole
	ExchangeMost  = 512 << 10  // bytes of one message of an exchange: a table of the most members that settings allow
	StreamMost    = 16 << 20   // bytes of one letter of a stream: a snapshot of the largest table that settings allow
	maxArrayItems = 1 << 14    // items of one list
	maxMapPairs   = 64         // of one map: far above the fields of any message
	maxNesting    = 8          // of nesting
	fleetHashSeed = 0x66_6c_74 // told apart from other hashes of names
)

// What makes a letter of no use.
var (
	ErrShort   = errors.New("envelope: too short")
	ErrVersion = errors.New("envelope: another version")
	ErrFleet   = errors.New("envelope: of another fleet")
	ErrSpoilt  = errors.New("envelope: checksum differs")
	ErrBody    = errors.New("envelope: the body can't be read")
)

var decodeMode = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: maxArrayItems, MaxMapPairs: maxMapPairs, MaxNestedLevels: maxNesting,
		IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden}.DecMode()
	if err != nil {
		panic(err) // of constants
	}
	return mode
}()

// Fleet is a fleet's name in short.
type Fleet uint32

// FleetOf is that of a name.
func FleetOf(name string) Fleet { return Fleet(xxhash.Sum64String(name) ^ fleetHashSeed) }

// Seal appends a letter.
func Seal(dst []byte, fleet Fleet, body any) ([]byte, error) {
	encoded, err := cbor.Marshal(body)
	if err != nil {
		return dst, err
	}
	dst = binary.LittleEndian.AppendUint32(append(dst, Version), uint32(fleet))
	dst = binary.LittleEndian.AppendUint64(dst, xxhash.Sum64(encoded))
	return append(dst, encoded...), nil
}

// Open reads a letter into a body.
func Open(message []byte, fleet Fleet, body any) error {
	switch {
	case len(message) < Head:
		return ErrShort
	case message[0] != Version:
		return ErrVersion
	case Fleet(binary.LittleEndian.Uint32(message[1:])) != fleet:
		return ErrFleet
	case binary.LittleEndian.Uint64(message[5:]) != xxhash.Sum64(message[Head:]):
		return ErrSpoilt
	}
	return Body(message[Head:], body)
}

// Body reads what is behind the head of a letter.
func Body(encoded []byte, body any) error {
	if err := decodeMode.Unmarshal(encoded, body); err != nil {
		return errors.Join(ErrBody, err)
	}
	return nil
}
