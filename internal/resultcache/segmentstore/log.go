package segmentstore

import (
	"errors"
	"fmt"
	"slices"
	"strings"
)

// File is one that was created. Writes count once Sync has returned.
type File interface {
	WriteAt(p []byte, at int64) (int, error)
	Sync() error
	Close() error
}

// Storage are those of one folder. Create makes a file of a size, zeros throughout, and its name lasting.
type Storage interface {
	Names() ([]string, error)
	Read(name string) ([]byte, error)
	Create(name string, size int64) (File, error)
	Remove(name string) error
}

const segmentSuffix = ".seg"

// Limits of a log. Bytes.
type Limits struct {
	SegmentBytes int64 // of one segment
	MaxBytes     int64 // of all of them
}

// Log is the segments of one folder: written in groups, aged out by whole segments.
type Log struct {
	storage      Storage
	limits       Limits
	segments     []segmentInfo
	nextNumber   uint64
	active       File // the segment that is written, nil for none
	writeOffset  int64
	groupStart   int64 // of the records that no foot acknowledges yet
	groupRecords int   // how many those are
	buffer       []byte
}

// segmentInfo is a segment that is there.
type segmentInfo struct {
	name      string
	expiresAt int64 // Unix ns, when the last of its records expires
}

// TruncatedTail tells of what a crash left unfinished; nothing of it was acknowledged.
type TruncatedTail struct {
	Name  string
	Bytes int64
}

// Open reads a log and gives its records, oldest first. What is broken is told with its file and offset, and changes
// nothing.
func Open(files Storage, bounds Limits) (*Log, []Record, []TruncatedTail, error) {
	if bounds.SegmentBytes < headerBytes+recordHeaderBytes+maxBodyBytes+footerBytes || bounds.SegmentBytes > 1<<31 || bounds.MaxBytes < 2*bounds.SegmentBytes {
		return nil, nil, nil, fmt.Errorf("store: segments of %d bytes within %d in all: a segment takes one record at the least, "+
			"2 GiB at the most, and there must be room for two", bounds.SegmentBytes, bounds.MaxBytes)
	}
	names, err := files.Names()
	if err != nil {
		return nil, nil, nil, fmt.Errorf("store: %w", err)
	}
	slices.Sort(names)
	l := &Log{storage: files, limits: bounds}
	var records []Record
	var dropped []TruncatedTail
	for _, name := range names {
		if !strings.HasSuffix(name, segmentSuffix) {
			continue
		}
		data, err := files.Read(name)
		if err != nil {
			return nil, nil, nil, fmt.Errorf("store: %s: %w", name, err)
		}
		if int64(len(data)) == bounds.SegmentBytes && neverUsed(data) { // the crash came before its head was on disk: nothing in it was acknowledged
			if err := files.Remove(name); err != nil {
				return nil, nil, nil, fmt.Errorf("store: %s: %w", name, err)
			}
			dropped = append(dropped, TruncatedTail{name, int64(len(data))})
			continue
		}
		s, err := Scan(data)
		if err == nil && segmentName(s.Number) != name {
			err = &CorruptionError{16, "its name is that of another segment"}
		}
		if err != nil {
			return nil, nil, nil, fmt.Errorf("%s: %w", name, err)
		}
		if s.Dropped > 0 {
			dropped = append(dropped, TruncatedTail{name, s.Dropped})
		}
		segment := segmentInfo{name: name}
		for i := range s.Records {
			segment.expiresAt = max(segment.expiresAt, s.Records[i].ExpiresAt)
		}
		records = append(records, s.Records...)
		l.segments, l.nextNumber = append(l.segments, segment), s.Number+1
	}
	return l, records, dropped, nil
}

// neverUsed says whether a segment of its full size holds nothing but what is left of its head. A shorter one was cut, since
// segments have their size before they are written.
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

func segmentName(number uint64) string { return fmt.Sprintf("%016x%s", number, segmentSuffix) }

// Write appends a group of records and, with sync, makes it lasting with all that was written before. After an error
// none of what was not lasting counts, and the next group goes to a new segment: what is in this one can't be known.
func (l *Log) Write(records []Record, sync bool) error {
	group, until := l.buffer[:0], int64(0)
	for i := range records {
		var err error
		if group, err = AppendRecord(group, &records[i]); err != nil {
			return err
		}
		until = max(until, records[i].ExpiresAt)
	}
	l.buffer = group[:0]
	if int64(headerBytes+len(group)+footerBytes) > l.limits.SegmentBytes {
		return ErrTooLarge
	}
	if l.active == nil || l.writeOffset+int64(len(group)+footerBytes) > l.limits.SegmentBytes {
		if err := l.rotate(); err != nil {
			return err
		}
	}
	last := &l.segments[len(l.segments)-1]
	last.expiresAt = max(last.expiresAt, until) // what fails may be there all the same
	if _, err := l.active.WriteAt(group, l.writeOffset); err != nil {
		return l.abandonActive(err)
	}
	l.writeOffset, l.groupRecords = l.writeOffset+int64(len(group)), l.groupRecords+len(records)
	if sync {
		return l.Sync()
	}
	return nil
}

// Sync makes lasting what was written. The foot goes to the disk once the records are there, and not with them: a disk
// writes in any order, and a foot must prove what it speaks of, or a torn group could not be told from a spoilt one.
func (l *Log) Sync() error {
	if l.active == nil || l.groupRecords == 0 {
		return nil
	}
	if err := l.active.Sync(); err != nil {
		return l.abandonActive(err)
	}
	if _, err := l.active.WriteAt(Footer(nil, l.groupStart, l.groupRecords), l.writeOffset); err != nil {
		return l.abandonActive(err)
	}
	if err := l.active.Sync(); err != nil {
		return l.abandonActive(err)
	}
	l.writeOffset += footerBytes
	l.groupStart, l.groupRecords = l.writeOffset, 0
	return nil
}

// abandonActive leaves the segment.
func (l *Log) abandonActive(err error) error {
	name := l.segments[len(l.segments)-1].name
	l.closeActive()
	return fmt.Errorf("store: %s: %w", name, err)
}

// rotate starts a new segment, within the bound of all.
func (l *Log) rotate() error {
	if err := l.Close(); err != nil {
		return err
	}
	if int64(len(l.segments)+1)*l.limits.SegmentBytes > l.limits.MaxBytes {
		return ErrFull
	}
	name := segmentName(l.nextNumber)
	file, err := l.storage.Create(name, l.limits.SegmentBytes)
	if err != nil {
		return fmt.Errorf("store: %s: %w", name, err)
	}
	if _, err = file.WriteAt(Header(l.nextNumber, uint32(l.limits.SegmentBytes)), 0); err == nil {
		err = file.Sync()
	}
	l.nextNumber++ // a number that failed is not used again
	l.segments = append(l.segments, segmentInfo{name: name})
	if err != nil {
		file.Close()
		return fmt.Errorf("store: %s: %w", name, err)
	}
	l.active, l.writeOffset, l.groupStart, l.groupRecords = file, headerBytes, headerBytes, 0
	return nil
}

func (l *Log) closeActive() {
	l.active.Close()
	l.active = nil
}

// Close ends the log, with all of it lasting.
func (l *Log) Close() error {
	err := l.Sync()
	if l.active != nil {
		l.closeActive()
	}
	return err
}

// Expire removes segments all of whose records are past their windows by a Unix time in nanoseconds, oldest first.
func (l *Log) Expire(wall int64) error {
	for len(l.segments) > 0 && l.segments[0].expiresAt < wall {
		if len(l.segments) == 1 && l.active != nil {
			return nil
		}
		if err := l.storage.Remove(l.segments[0].name); err != nil {
			return fmt.Errorf("store: %s: %w", l.segments[0].name, err)
		}
		l.segments = l.segments[1:]
	}
	return nil
}

// RetainUntil keeps all segments until a Unix time in nanoseconds at the least: what was recovered is known anew from then on.
func (l *Log) RetainUntil(until int64) {
	for i := range l.segments {
		l.segments[i].expiresAt = max(l.segments[i].expiresAt, until)
	}
}

// Bytes is what the segments take.
func (l *Log) Bytes() int64 { return int64(len(l.segments)) * l.limits.SegmentBytes }
