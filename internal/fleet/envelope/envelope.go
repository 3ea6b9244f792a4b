// Package envelope seals and opens the messages that nodes send each other. A message is a header, of the envelope's version, the
// fleet's ID and a checksum of the body, followed by the body in CBOR. Sealing
// neither encrypts nor authenticates. Datagrams travel over UDP; exchanges of a request and an answer, and streams of messages, over TCP.
// The package does no I/O and does not interpret bodies.
package envelope

import (
	"encoding/binary"
	"errors"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"topazpost/internal/cborcodec"
)

// Version is the version of the envelope. A new field of a body is a key that older nodes skip and needs no new version; Version changes
// only where older nodes must reject the message.
const Version = 1

// Sizes of messages, in bytes.
const (
	HeaderBytes      = 13        // length of the header: version 1, fleet ID 4, checksum 8, all little-endian
	MaxDatagramBytes = 1_200     // of a datagram, small enough that no network path fragments it
	MaxExchangeBytes = 512 << 10 // of one message of an exchange: fits a membership table of the most members that settings allow
	MaxStreamBytes   = 16 << 20  // of one message of a stream: fits a snapshot of the largest table that settings allow
)

// Offsets of the header's fields, in bytes. The version is the first byte.
const (
	fleetOffset    = 1
	checksumOffset = 5
)

// Limits on the bodies that are decoded, since a peer may send anything.
const (
	maxArrayItems = 1 << 14
	maxMapPairs   = 64 // far above the number of fields of any message
	maxNesting    = 8
)

const fleetHashMask = 0x66_6c_74 // XORed onto the hash of the name, so that a fleet's ID differs from other hashes of the name

// The reasons for which Open and DecodeBody reject a message.
var (
	ErrShort    = errors.New("envelope: message is shorter than the header")
	ErrVersion  = errors.New("envelope: unsupported envelope version")
	ErrFleet    = errors.New("envelope: message belongs to another fleet")
	ErrChecksum = errors.New("envelope: checksum mismatch")
	ErrBody     = errors.New("envelope: body can't be decoded")
)

var decodeMode = cborcodec.MustDecMode(cbor.DecOptions{
	MaxArrayElements: maxArrayItems,
	MaxMapPairs:      maxMapPairs,
	MaxNestedLevels:  maxNesting,
	IndefLength:      cbor.IndefLengthForbidden,
	TagsMd:           cbor.TagsForbidden,
})

// FleetID identifies a fleet by a hash of its name.
type FleetID uint32

// FleetIDOf returns the ID of the fleet with a name.
func FleetIDOf(name string) FleetID { return FleetID(xxhash.Sum64String(name) ^ fleetHashMask) }

// Seal appends a message, of a header and the encoded body, to dst.
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

// Open checks a message's header and decodes its body. It returns ErrShort, ErrVersion, ErrFleet, ErrChecksum or an error that wraps
// ErrBody.
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

// DecodeBody decodes the bytes that follow the header of a message. Its errors wrap ErrBody.
func DecodeBody(encoded []byte, body any) error {
	if err := decodeMode.Unmarshal(encoded, body); err != nil {
		return errors.Join(ErrBody, err)
	}
	return nil
}
