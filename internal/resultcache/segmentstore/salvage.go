package segmentstore

import (
	"encoding/binary"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// Damage is a place in a segment where acknowledged bytes can't be read. What was stored there is not known.
type Damage struct {
	Segment string
	Offset  int64
	Reason  string
}

// Salvage opens a log as Open does, but passes over damaged places and returns them with the records that are sound. The files are left as
// they are, and damaged segments expire like others. A token of which no record is returned may have run.
func Salvage(storage Storage, limits Limits) (*Log, []Record, []TruncatedTail, []Damage, error) {
	var damage []Damage
	log, records, tails, err := open(storage, limits, func(name string, data []byte) (*ScanResult, error) {
		result, damaged, err := salvageSegment(name, data)
		damage = append(damage, damaged...)
		return result, err
	})
	return log, records, tails, damage, err
}

// salvageSegment reads a segment that may be damaged.
func salvageSegment(name string, data []byte) (*ScanResult, []Damage, error) {
	_, err := Scan(data)
	corruption := &CorruptionError{}
	if !errors.As(err, &corruption) {
		result, err := scanNamed(name, data)
		return result, nil, err
	}
	number, named := segmentNumber(name)
	if !named {
		return nil, nil, err
	}
	s := salvager{name: name, data: data, groupStart: headerBytes, result: ScanResult{Number: number, End: headerBytes}}
	if _, headerErr := scanHeader(data); headerErr != nil {
		s.report(corruption.Offset, corruption.Reason)
	}
	s.scan()
	return &s.result, s.damage, nil
}

// segmentNumber returns the number in the name of a segment.
func segmentNumber(name string) (number uint64, ok bool) {
	number, err := strconv.ParseUint(strings.TrimSuffix(name, segmentSuffix), 16, 64)
	return number, err == nil && segmentName(number) == name
}

// salvager reads the sound records of one segment.
type salvager struct {
	name         string
	data         []byte
	offset       int64
	groupStart   int64
	groupRecords uint32
	result       ScanResult
	damage       []Damage
}

func (s *salvager) report(offset int64, reason string) {
	s.damage = append(s.damage, Damage{Segment: s.name, Offset: offset, Reason: reason})
}

// scan reads records and footers until nothing acknowledged follows.
func (s *salvager) scan() {
	for s.offset = headerBytes; s.offset < int64(len(s.data)); {
		rest := s.data[s.offset:]
		if startsWithFooter(rest) {
			s.endGroup(rest)
			continue
		}
		record, n, ok := scanRecord(rest)
		if ok {
			s.result.Records = append(s.result.Records, record)
			s.result.Offsets = append(s.result.Offsets, s.offset)
			s.offset += int64(n)
			s.groupRecords++
			continue
		}
		if findFooter(rest) < 0 { // what a crash left
			s.result.End = s.offset
			s.result.Dropped = droppedBytes(rest)
			return
		}
		s.skipDamage(rest)
	}
}

// endGroup takes a footer, whose group may have lost records.
func (s *salvager) endGroup(footer []byte) {
	start := binary.LittleEndian.Uint64(footer[footerStartOffset:])
	records := binary.LittleEndian.Uint32(footer[footerRecordsOffset:])
	if start != uint64(s.groupStart) || records != s.groupRecords {
		s.report(s.offset, fmt.Sprintf("a group of %d records ends, %d of them can be read", records, s.groupRecords))
	}
	s.startGroup(s.offset + footerBytes)
	s.result.End = s.offset
}

func (s *salvager) startGroup(offset int64) {
	s.offset = offset
	s.groupStart = offset
	s.groupRecords = 0
}

// skipDamage moves behind a damaged place: to the record or footer behind a damaged record where its length is sound, to the record behind
// a damaged footer, else to the next footer. It looks for records only there, as the result of a record may hold any bytes.
func (s *salvager) skipDamage(rest []byte) {
	if rest[0] == recordMark && len(rest) >= recordHeaderBytes {
		n := recordHeaderBytes + int64(binary.LittleEndian.Uint32(rest[recordLengthOffset:]))
		if n < int64(len(rest)) && startsWithRecordOrFooter(rest[n:]) {
			s.report(s.offset, "a record is corrupt")
			s.offset += n
			return
		}
	}
	if len(rest) > footerBytes && startsWithRecord(rest[footerBytes:]) {
		s.report(s.offset, "the footer of a group is corrupt")
		s.startGroup(s.offset + footerBytes)
		return
	}
	footer := findFooter(rest)
	s.report(s.offset, fmt.Sprintf("no record can be read up to offset %d", s.offset+int64(footer)))
	s.offset += int64(footer)
}

func startsWithRecord(data []byte) bool {
	_, _, ok := scanRecord(data)
	return ok
}

func startsWithRecordOrFooter(data []byte) bool {
	return startsWithFooter(data) || startsWithRecord(data)
}
