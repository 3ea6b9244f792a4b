// Package segmentstore keeps records in segments that a crash can't spoil unseen. This file is the format of a segment and
// its recovery: pure, bytes in and records out. docs/design/store-format.md describes it so that another program
// could read it.
package segmentstore

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"

	"github.com/fxamacker/cbor/v2"
)

const (
	magic              = "TPSTORE\n"
	formatVersion      = 1
	headerBytes        = 32   // magic 8, version 4, size 4, number 8, zeros 4, CRC32C of those 28
	recordHeaderBytes  = 10   // mark 1, length of the body 4, CRC32C 4, kind 1
	footerBytes        = 24   // mark 4, start of the group 8, records 4, zeros 4, CRC32C of those 20
	recordMark         = 0xD1 // no zero: what was never written is zeros
	footerMark         = "\xF7GRP"
	maxBodyBytes       = 16 << 10 // bytes: a token, a result of 4 KiB and room for what a later version adds
	maxCompactionGroup = 256      // records written at once by a compaction
)

// Kind names what a record tells.
type Kind uint8

// The kindCount of records.
const (
	RunStarted Kind = iota + 1 // a run of the token begins
	RunEnded                   // how it ended
	kindCount                  // one past the last
)

// Record is one record, its body in CBOR with whole numbers as names.
type Record struct {
	Kind      Kind   `cbor:"-"`
	Operation int32  `cbor:"1,keyasint"`
	Tenant    int32  `cbor:"2,keyasint"`
	Token     string `cbor:"3,keyasint"`
	BodyHash  uint64 `cbor:"4,keyasint,omitempty"` // hash of the invocation's body
	ExpiresAt int64  `cbor:"5,keyasint,omitempty"` // Unix ns of the end of its window
	Outcome   uint8  `cbor:"6,keyasint,omitempty"`
	Result    []byte `cbor:"7,keyasint,omitempty"`
}

// What makes a segment unusable. Broken is told with the offset.
var (
	ErrVersion  = errors.New("store: a version that is not known here; it is left as it is")
	ErrFull     = errors.New("store: the segment has no room")
	ErrTooLarge = errors.New("store: the record is too large")
)

// CorruptionError tells that acknowledged records may be spoilt, and where.
type CorruptionError struct {
	Offset int64
	Reason string
}

func (b *CorruptionError) Error() string {
	return fmt.Sprintf("store: broken at offset %d: %s", b.Offset, b.Reason)
}

var crcTable = crc32.MakeTable(crc32.Castagnoli)

// decodeMode takes bodies as they are written here and nothing that could take much memory.
var decodeMode = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxNestedLevels: 4, MaxArrayElements: 16, MaxMapPairs: 64}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// Header is the first bytes of a segment of so many bytes in all, the rest being zeros. Segments have their full size
// from the start, so that one that was cut is told from one that has room.
func Header(number uint64, size uint32) []byte { return appendHeader(formatVersion, size, number) }

func appendHeader(format, size uint32, number uint64) []byte {
	b := append(make([]byte, 0, headerBytes), magic...)
	b = binary.LittleEndian.AppendUint32(b, format)
	b = binary.LittleEndian.AppendUint32(b, size)
	b = binary.LittleEndian.AppendUint64(b, number)
	b = append(b, 0, 0, 0, 0)
	return binary.LittleEndian.AppendUint32(b, crc32.Checksum(b, crcTable))
}

// AppendRecord writes a record behind b.
func AppendRecord(b []byte, r *Record) ([]byte, error) {
	body, err := cbor.Marshal(r)
	if err != nil {
		return b, err
	}
	if len(body) > maxBodyBytes {
		return b, ErrTooLarge
	}
	at := len(b)
	b = append(b, recordMark)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(body)))
	b = append(b, 0, 0, 0, 0, byte(r.Kind))
	b = append(b, body...)
	binary.LittleEndian.PutUint32(b[at+5:], recordChecksum(b[at:]))
	return b, nil
}

// recordChecksum is over mark, length, kind and body.
func recordChecksum(record []byte) uint32 {
	sum := crc32.Checksum(record[:5], crcTable)
	return crc32.Update(sum, crcTable, record[9:])
}

// Footer closes a group of records that began at an offset of the segment. Records count as acknowledged once their foot
// is on disk.
func Footer(b []byte, start int64, records int) []byte {
	at := len(b)
	b = append(b, footerMark...)
	b = binary.LittleEndian.AppendUint64(b, uint64(start))
	b = binary.LittleEndian.AppendUint32(b, uint32(records))
	b = append(b, 0, 0, 0, 0)
	return binary.LittleEndian.AppendUint32(b, crc32.Checksum(b[at:], crcTable))
}

// ScanResult is what a segment holds.
type ScanResult struct {
	Number  uint64
	Records []Record
	Offsets []int64 // of each record
	End     int64   // behind the last of them, and of the feet
	Dropped int64   // bytes behind it that no foot acknowledges and that can't be read: those of a crash
}

// Scan reads a segment. It gives every acknowledged record or an error that names where the segment is broken; never
// less without an error. Records that no foot acknowledges are given too where they are whole: that a run may have
// begun is not to be forgotten. A segment is not written any more once it was scanned: what a crash left behind its end
// could be taken for records of a later group.
func Scan(data []byte) (*ScanResult, error) {
	number, err := scanHeader(data)
	if err != nil {
		return nil, err
	}
	s := &ScanResult{Number: number, End: headerBytes}
	start, count := int64(headerBytes), uint32(0)
	for pos := int64(headerBytes); ; {
		rest := data[pos:]
		if len(rest) >= footerBytes && string(rest[:4]) == footerMark && isValidFooter(rest) {
			if binary.LittleEndian.Uint64(rest[4:]) != uint64(start) || binary.LittleEndian.Uint32(rest[12:]) != count {
				return nil, &CorruptionError{pos, "the foot of a group speaks of other records"}
			}
			pos += footerBytes
			start, count, s.End = pos, 0, pos
			continue
		}
		record, n, ok := scanRecord(rest)
		if !ok {
			if far := findFooter(rest); far >= 0 {
				return nil, &CorruptionError{pos, fmt.Sprintf("no record can be read, but records were acknowledged up to offset %d",
					pos+int64(far))}
			}
			s.Dropped = int64(len(bytes.TrimRight(rest, "\x00")))
			s.End = pos
			return s, nil
		}
		s.Records, s.Offsets = append(s.Records, record), append(s.Offsets, pos)
		pos, count = pos+int64(n), count+1
	}
}

func scanHeader(data []byte) (uint64, error) {
	if len(data) < headerBytes || string(data[:8]) != magic {
		return 0, &CorruptionError{0, "this is no segment, or its head is spoilt"}
	}
	if crc32.Checksum(data[:28], crcTable) != binary.LittleEndian.Uint32(data[28:]) {
		return 0, &CorruptionError{8, "the head is spoilt"}
	}
	if binary.LittleEndian.Uint32(data[8:]) != formatVersion {
		return 0, ErrVersion
	}
	if size := binary.LittleEndian.Uint32(data[12:]); int(size) != len(data) {
		return 0, &CorruptionError{int64(len(data)), fmt.Sprintf("the segment has %d bytes where it was made with %d", len(data), size)}
	}
	return binary.LittleEndian.Uint64(data[16:]), nil
}

// scanRecord reads the record that data begins with.
func scanRecord(data []byte) (r Record, n int, ok bool) {
	if len(data) < recordHeaderBytes || data[0] != recordMark {
		return r, 0, false
	}
	body := binary.LittleEndian.Uint32(data[1:])
	if body > maxBodyBytes || len(data) < recordHeaderBytes+int(body) {
		return r, 0, false
	}
	n = recordHeaderBytes + int(body)
	if recordChecksum(data[:n]) != binary.LittleEndian.Uint32(data[5:]) || data[9] == 0 || data[9] >= byte(kindCount) {
		return r, 0, false
	}
	if decodeMode.Unmarshal(data[recordHeaderBytes:n], &r) != nil {
		return r, 0, false
	}
	r.Kind = Kind(data[9])
	return r, n, true
}

func isValidFooter(foot []byte) bool {
	return crc32.Checksum(foot[:20], crcTable) == binary.LittleEndian.Uint32(foot[20:])
}

// findFooter finds a sound foot anywhere behind what can't be read, -1 where there is none.
func findFooter(data []byte) int {
	for at := 0; at+footerBytes <= len(data); {
		k := bytes.Index(data[at:], []byte(footerMark))
		if k < 0 || at+k+footerBytes > len(data) {
			return -1
		}
		if at += k; isValidFooter(data[at:]) {
			return at
		}
		at++
	}
	return -1
}
