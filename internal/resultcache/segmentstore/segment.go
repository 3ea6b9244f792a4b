// Package segmentstore keeps the records of a result cache on disk, in segments whose corruption can't go unnoticed after a crash.
// The format of a segment and its recovery are pure functions on bytes; docs/design/store-format.md describes them so that another
// program can read it. Log writes segments to a Storage, which Directory implements.
package segmentstore

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/crc32"
)

// Layout of a segment's header: magic 8, version 4, size 4, number 8, zeros 4, CRC32C of those 28.
const (
	magic                = "TPSTORE\n"
	formatVersion        = 1
	headerBytes          = 32
	headerVersionOffset  = 8
	headerSizeOffset     = 12
	headerNumberOffset   = 16
	headerChecksumOffset = 28
)

// Layout of a group's footer: mark 4, start of the group 8, records 4, zeros 4, CRC32C of those 20.
const (
	footerMark           = "\xF7GRP"
	footerBytes          = 24
	footerStartOffset    = 4
	footerRecordsOffset  = 12
	footerChecksumOffset = 20
)

// Header returns the first bytes of a segment of size bytes, the rest of which are zeros. Segments have their full size from the
// start, so that a truncated one differs from one that has room.
func Header(number uint64, size uint32) []byte { return appendHeader(formatVersion, size, number) }

func appendHeader(version, size uint32, number uint64) []byte {
	b := append(make([]byte, 0, headerBytes), magic...)
	b = binary.LittleEndian.AppendUint32(b, version)
	b = binary.LittleEndian.AppendUint32(b, size)
	b = binary.LittleEndian.AppendUint64(b, number)
	b = append(b, 0, 0, 0, 0)
	return binary.LittleEndian.AppendUint32(b, crc32.Checksum(b, crcTable))
}

// scanHeader returns the number of a segment.
func scanHeader(data []byte) (uint64, error) {
	if len(data) < headerBytes || string(data[:len(magic)]) != magic {
		return 0, &CorruptionError{Offset: 0, Reason: "this is no segment, or its header is corrupt"}
	}
	if crc32.Checksum(data[:headerChecksumOffset], crcTable) != binary.LittleEndian.Uint32(data[headerChecksumOffset:]) {
		return 0, &CorruptionError{Offset: headerVersionOffset, Reason: "the header is corrupt"}
	}
	if binary.LittleEndian.Uint32(data[headerVersionOffset:]) != formatVersion {
		return 0, ErrVersion
	}
	if size := binary.LittleEndian.Uint32(data[headerSizeOffset:]); int(size) != len(data) {
		return 0, &CorruptionError{
			Offset: int64(len(data)),
			Reason: fmt.Sprintf("the segment has %d bytes where it was made with %d", len(data), size),
		}
	}
	return binary.LittleEndian.Uint64(data[headerNumberOffset:]), nil
}

// Footer appends to b the footer of a group of records that starts at an offset of the segment. Records are acknowledged once
// their group's footer is on disk.
func Footer(b []byte, start int64, records int) []byte {
	footerStart := len(b)
	b = append(b, footerMark...)
	b = binary.LittleEndian.AppendUint64(b, uint64(start))
	b = binary.LittleEndian.AppendUint32(b, uint32(records))
	b = append(b, 0, 0, 0, 0)
	return binary.LittleEndian.AppendUint32(b, crc32.Checksum(b[footerStart:], crcTable))
}

// startsWithFooter says whether data starts with a valid footer.
func startsWithFooter(data []byte) bool {
	return len(data) >= footerBytes && string(data[:len(footerMark)]) == footerMark && isValidFooter(data)
}

func isValidFooter(footer []byte) bool {
	return crc32.Checksum(footer[:footerChecksumOffset], crcTable) == binary.LittleEndian.Uint32(footer[footerChecksumOffset:])
}

// findFooter returns the offset of the first valid footer anywhere in data, -1 where there is none.
func findFooter(data []byte) int {
	for offset := 0; offset+footerBytes <= len(data); offset++ {
		i := bytes.Index(data[offset:], []byte(footerMark))
		if i < 0 || offset+i+footerBytes > len(data) {
			return -1
		}
		offset += i
		if isValidFooter(data[offset:]) {
			return offset
		}
	}
	return -1
}

// ScanResult is what a segment holds.
type ScanResult struct {
	Number  uint64
	Records []Record
	Offsets []int64 // of each record
	End     int64   // behind the last record and footer
	Dropped int64   // unreadable bytes behind the end that no footer acknowledges: what a crash left
}

// Scan reads a segment. It returns every acknowledged record, or an error that says where the segment is corrupt; never fewer
// records without an error. Complete records that no footer acknowledges are returned too, since that a run may have started must
// not be forgotten. A segment must not be written any more once it was scanned: what a crash left behind its end could be taken
// for records of a later group.
func Scan(data []byte) (*ScanResult, error) {
	number, err := scanHeader(data)
	if err != nil {
		return nil, err
	}
	result := &ScanResult{Number: number, End: headerBytes}
	offset := int64(headerBytes)
	groupStart := offset
	groupRecords := uint32(0)
	for {
		rest := data[offset:]
		if startsWithFooter(rest) {
			start := binary.LittleEndian.Uint64(rest[footerStartOffset:])
			records := binary.LittleEndian.Uint32(rest[footerRecordsOffset:])
			if start != uint64(groupStart) || records != groupRecords {
				return nil, &CorruptionError{Offset: offset, Reason: "the footer of a group is that of other records"}
			}
			offset += footerBytes
			groupStart = offset
			groupRecords = 0
			result.End = offset
			continue
		}
		record, n, ok := scanRecord(rest)
		if !ok {
			return result.finish(offset, rest)
		}
		result.Records = append(result.Records, record)
		result.Offsets = append(result.Offsets, offset)
		offset += int64(n)
		groupRecords++
	}
}

// finish ends a scan at an offset behind which no record can be read: that is the end, unless records were acknowledged later.
func (s *ScanResult) finish(offset int64, rest []byte) (*ScanResult, error) {
	if footer := findFooter(rest); footer >= 0 {
		return nil, &CorruptionError{
			Offset: offset,
			Reason: fmt.Sprintf("no record can be read, but records were acknowledged up to offset %d", offset+int64(footer)),
		}
	}
	s.End = offset
	s.Dropped = droppedBytes(rest)
	return s, nil
}

// droppedBytes returns how many bytes of what is behind the end of a segment were written.
func droppedBytes(rest []byte) int64 { return int64(len(bytes.TrimRight(rest, "\x00"))) }
