package segmentstore

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/fxamacker/cbor/v2"

	"topazpost/internal/cborcodec"
)

// Layout of a record: mark 1, length of the body 4, CRC32C 4, kind 1, body.
const (
	recordHeaderBytes    = 10
	recordLengthOffset   = 1
	recordChecksumOffset = 5
	recordKindOffset     = 9

	recordMark   = 0xD1     // not zero, as what was never written is zeros
	maxBodyBytes = 16 << 10 // a token, a result of 4 KiB, and room for what a later version adds
)

// Kind names what a record is about.
type Kind uint8

// The kinds of records.
const (
	RunStarted Kind = iota + 1 // a run of the token starts
	RunEnded                   // how it ended
	kindCount                  // one past the last
)

// Record is one record, its body a CBOR map with integer keys.
type Record struct {
	Kind      Kind   `cbor:"-"`
	Operation int32  `cbor:"1,keyasint"` // index in the configuration of the incarnation that wrote the record
	Tenant    int32  `cbor:"2,keyasint"` // the same, -1 for none
	Token     string `cbor:"3,keyasint"`
	BodyHash  uint64 `cbor:"4,keyasint,omitempty"` // hash of the invocation's body
	ExpiresAt int64  `cbor:"5,keyasint,omitempty"` // Unix ns of the end of its window
	Outcome   uint8  `cbor:"6,keyasint,omitempty"`
	Result    []byte `cbor:"7,keyasint,omitempty"`

	OperationName string `cbor:"8,keyasint,omitempty"` // earlier builds stored the index alone
	TenantName    string `cbor:"9,keyasint,omitempty"` // as the caller named it
}

// HasName reports whether the record names its operation and tenant, which records of earlier builds don't.
func (r *Record) HasName() bool { return r.OperationName != "" }

var crcTable = crc32.MakeTable(crc32.Castagnoli)

// decodeMode decodes bodies as this package encodes them, and nothing that could take much memory. The encoder takes texts of any
// bytes, and earlier builds stored tokens that were not UTF-8, so the decoder does too.
var decodeMode = cborcodec.MustDecMode(cbor.DecOptions{MaxNestedLevels: 4, MaxArrayElements: 16, MaxMapPairs: 64, UTF8: cbor.UTF8DecodeInvalid})

// AppendRecord appends an encoded record to b.
func AppendRecord(b []byte, r *Record) ([]byte, error) {
	body, err := cbor.Marshal(r)
	if err != nil {
		return b, err
	}
	if len(body) > maxBodyBytes {
		return b, ErrTooLarge
	}
	start := len(b)
	b = append(b, recordMark)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(body)))
	b = append(b, 0, 0, 0, 0, byte(r.Kind))
	b = append(b, body...)
	record := b[start:]
	binary.LittleEndian.PutUint32(record[recordChecksumOffset:], recordChecksum(record))
	return b, nil
}

// recordChecksum is that of mark, length, kind and body.
func recordChecksum(record []byte) uint32 {
	sum := crc32.Checksum(record[:recordChecksumOffset], crcTable)
	return crc32.Update(sum, crcTable, record[recordKindOffset:])
}

// scanRecord decodes the record that data begins with, and returns its length.
func scanRecord(data []byte) (r Record, n int, ok bool) {
	if len(data) < recordHeaderBytes || data[0] != recordMark {
		return r, 0, false
	}
	bodyBytes := binary.LittleEndian.Uint32(data[recordLengthOffset:])
	if bodyBytes > maxBodyBytes || len(data) < recordHeaderBytes+int(bodyBytes) {
		return r, 0, false
	}
	n = recordHeaderBytes + int(bodyBytes)
	if recordChecksum(data[:n]) != binary.LittleEndian.Uint32(data[recordChecksumOffset:]) {
		return r, 0, false
	}
	kind := Kind(data[recordKindOffset])
	if kind == 0 || kind >= kindCount {
		return r, 0, false
	}
	if decodeMode.Unmarshal(data[recordHeaderBytes:n], &r) != nil {
		return r, 0, false
	}
	r.Kind = kind
	return r, n, true
}
