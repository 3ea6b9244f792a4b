package segmentstore

import (
	"errors"
	"fmt"
	"slices"
	"strings"
)

// TruncatedTail is what a crash left unfinished in a segment; nothing of it was acknowledged.
type TruncatedTail struct {
	Name  string
	Bytes int64
}

// Open reads a log and returns its records, oldest first. A corrupt segment gives an error with its name and the offset, and
// nothing is changed.
func Open(storage Storage, limits Limits) (*Log, []Record, []TruncatedTail, error) {
	return open(storage, limits, scanNamed)
}

// open reads a log, each segment by the given function.
func open(storage Storage, limits Limits, scan func(name string, data []byte) (*ScanResult, error)) (*Log, []Record, []TruncatedTail, error) {
	if err := limits.validate(); err != nil {
		return nil, nil, nil, err
	}
	names, err := storage.Names()
	if err != nil {
		return nil, nil, nil, fmt.Errorf("store: %w", err)
	}
	slices.Sort(names)
	log := &Log{storage: storage, limits: limits}
	var records []Record
	var dropped []TruncatedTail
	for _, name := range names {
		if !strings.HasSuffix(name, segmentSuffix) {
			continue
		}
		found, tail, err := log.recoverSegment(name, scan)
		if err != nil {
			return nil, nil, nil, err
		}
		records = append(records, found...)
		if tail > 0 {
			dropped = append(dropped, TruncatedTail{Name: name, Bytes: tail})
		}
	}
	return log, records, dropped, nil
}

// recoverSegment reads a segment into the log, and returns its records and the bytes that a crash left unfinished. One that was
// never used is removed.
func (l *Log) recoverSegment(name string, scan func(name string, data []byte) (*ScanResult, error)) (records []Record, dropped int64, err error) {
	data, err := l.storage.Read(name)
	if err != nil {
		return nil, 0, segmentError(name, err)
	}
	if int64(len(data)) == l.limits.SegmentBytes && neverUsed(data) {
		if err := l.storage.Remove(name); err != nil {
			return nil, 0, segmentError(name, err)
		}
		return nil, int64(len(data)), nil
	}
	scanned, err := scan(name, data)
	if err != nil {
		return nil, 0, fmt.Errorf("%s: %w", name, err)
	}
	segment := segmentInfo{name: name}
	for i := range scanned.Records {
		segment.expiresAt = max(segment.expiresAt, scanned.Records[i].ExpiresAt)
	}
	l.segments = append(l.segments, segment)
	l.nextNumber = scanned.Number + 1
	return scanned.Records, scanned.Dropped, nil
}

// scanNamed scans a segment, whose name must be its own.
func scanNamed(name string, data []byte) (*ScanResult, error) {
	scanned, err := Scan(data)
	if err == nil && segmentName(scanned.Number) != name {
		err = &CorruptionError{Offset: headerNumberOffset, Reason: "its name is that of another segment"}
	}
	return scanned, err
}

// neverUsed says whether a segment of full size holds nothing but the rest of its header: the crash came before the header was
// durable, and nothing in it was acknowledged. A shorter segment was truncated, since segments have their size before they are
// written.
func neverUsed(data []byte) bool {
	if _, err := scanHeader(data); err == nil || errors.Is(err, ErrVersion) {
		return false
	}
	for _, b := range data[min(headerBytes, len(data)):] {
		if b != 0 {
			return false
		}
	}
	return true
}
