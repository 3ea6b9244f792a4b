// Package envelope encodes and decodes the messages that nodes send each other: a version, the fleet, a checksum, and a body in CBOR.
// It does no I/O, and knows no body's meaning.
package envelope

import (
	"encoding/binary"
	"errors"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"topazpost/internal/cborcodec"
)

// Version is that of the envelope. Bodies grow by keys that older nodes skip; this number changes only where older nodes must not
// even try.
const Version = 1

// Bounds of messages, in bytes.
const (
	HeaderBytes      = 13        // of the header: version 1, fleet 4, checksum 8, all little-endian
	MaxDatagramBytes = 1_200     // of a datagram that any path carries whole
	MaxExchangeBytes = 512 << 10 // of one message of an exchange: a table of the most members that settings allow
	MaxStreamBytes   = 16 << 20  // of one message of a stream: a snapshot of the largest table that settings allow
)

// Offsets of the header's fields.
const (
	fleetOffset    = 1
	checksumOffset = 5
)

// Bounds of what is decoded.
const (
	maxArrayItems = 1 << 14
	maxMapPairs   = 64 // far above the fields of any message
	maxNesting    = 8
)

const fleetHashSeed = 0x66_6c_74 // keeps the hash of a fleet's name apart from other hashes of names

// Errors of messages that can't be used.
var (
	ErrShort    = errors.New("envelope: too short")
	ErrVersion  = errors.New("envelope: another version")
	ErrFleet    = errors.New("envelope: of another fleet")
	ErrChecksum = errors.New("envelope: checksum differs")
	ErrBody     = errors.New("envelope: the body can't be read")
)

var decodeMode = cborcodec.MustDecMode(cbor.DecOptions{
	MaxArrayElements: maxArrayItems,
	MaxMapPairs:      maxMapPairs,
	MaxNestedLevels:  maxNesting,
	IndefLength:      cbor.IndefLengthForbidden,
	TagsMd:           cbor.TagsForbidden,
})

// FleetID is a hash of a fleet's name.
type FleetID uint32

// FleetIDOf is the hash of a name.
func FleetIDOf(name string) FleetID { return FleetID(xxhash.Sum64String(name) ^ fleetHashSeed) }

// Seal appends a message with a body.
func Seal(dst []byte, fleet FleetID, body any) ([]byte, error) {
	encoded, err := cbor.Marshal(body)
	if err != nil {
		return dst, err
	}
	dst = append(dst, Version)
	dst = binary.LittleEndian.AppendUint32(dst, uint32(fleet))
	dst = binary.LittleEndian.AppendUint64(dst, xxhash.Sum64(encoded))
	return append(dst, encoded...), nil
}

// Open checks a message's header and decodes its body.
func Open(message []byte, fleet FleetID, body any) error {
	if len(message) < HeaderBytes {
		return ErrShort
	}
	encoded := message[HeaderBytes:]
	switch {
	case message[0] != Version:
		return ErrVersion
	case FleetID(binary.LittleEndian.Uint32(message[fleetOffset:])) != fleet:
		return ErrFleet
	case binary.LittleEndian.Uint64(message[checksumOffset:]) != xxhash.Sum64(encoded):
		return ErrChecksum
	}
	return DecodeBody(encoded, body)
}

// DecodeBody decodes what follows the header of a message.
func DecodeBody(encoded []byte, body any) error {
	if err := decodeMode.Unmarshal(encoded, body); err != nil {
		return errors.Join(ErrBody, err)
	}
	return nil
}
