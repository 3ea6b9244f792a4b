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

const suffix = ".seg"

// Limits of a log. Bytes.
type Limits struct {
	SegmentBytes int64 // of one segment
	MaxBytes     int64 // of all of them
}

// Log is the segments of one folder: written in groups, aged out by whole segments.
type Log struct {
	files    Storage
	bounds   Limits
	segments []kept
	next     uint64
	now      File // the segment that is written, nil for none
	end      int64
	start    int64 // of the records that no foot acknowledges yet
	open     int   // how many those are
	buffer   []byte
}

// kept is a segment that is there.
type kept struct {
	name  string
	until int64 // Unix ns, when the last of its records expires
}

// TruncatedTail tells of what a crash left unfinished; nothing of it was acknowledged.
type TruncatedTail struct {
	Name  string
	Bytes int64
}

// Open reads a log and gives its records, oldest first. What is broken is told with its file and offset, and changes
// nothing.
func Open(files Storage, bounds Limits) (*Log, []Record, []TruncatedTail, error) {
	if bounds.SegmentBytes < headBytes+recordHead+bodyMost+footBytes || bounds.SegmentBytes > 1<<31 || bounds.MaxBytes < 2*bounds.SegmentBytes {
		return nil, nil, nil, fmt.Errorf("store: segments of %d bytes within %d in all: a segment takes one record at the least, "+
			"2 GiB at the most, and there must be room for two", bounds.SegmentBytes, bounds.MaxBytes)
	}
	names, err := files.Names()
	if err != nil {
		return nil, nil, nil, fmt.Errorf("store: %w", err)
	}
	slices.Sort(names)
	l := &Log{files: files, bounds: bounds}
	var records []Record
	var dropped []TruncatedTail
	for _, name := range names {
		if !strings.HasSuffix(name, suffix) {
			continue
		}
		data, err := files.Read(name)
		if err != nil {
			return nil, nil, nil, fmt.Errorf("store: %s: %w", name, err)
		}
		if int64(len(data)) == bounds.SegmentBytes && unborn(data) { // the crash came before its head was on disk: nothing in it was acknowledged
			if err := files.Remove(name); err != nil {
				return nil, nil, nil, fmt.Errorf("store: %s: %w", name, err)
			}
			dropped = append(dropped, TruncatedTail{name, int64(len(data))})
			continue
		}
		s, err := Scan(data)
		if err == nil && nameOf(s.Number) != name {
			err = &CorruptionError{16, "its name is that of another segment"}
		}
		if err != nil {
			return nil, nil, nil, fmt.Errorf("%s: %w", name, err)
		}
		if s.Dropped > 0 {
			dropped = append(dropped, TruncatedTail{name, s.Dropped})
		}
		segment := kept{name: name}
		for i := range s.Records {
			segment.until = max(segment.until, s.Records[i].ExpiresAt)
		}
		records = append(records, s.Records...)
		l.segments, l.next = append(l.segments, segment), s.Number+1
	}
	return l, records, dropped, nil
}

// unborn says whether a segment of its full size holds nothing but what is left of its head. A shorter one was cut, since
// segments have their size before they are written.
func unborn(data []byte) bool {
	if _, err := scanHead(data); err == nil || errors.Is(err, ErrVersion) {
		return false
	}
	for _, b := range data[min(headBytes, len(data)):] {
		if b != 0 {
			return false
		}
	}
	return true
}

func nameOf(number uint64) string { return fmt.Sprintf("%016x%s", number, suffix) }

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
	if int64(headBytes+len(group)+footBytes) > l.bounds.SegmentBytes {
		return ErrTooLarge
	}
	if l.now == nil || l.end+int64(len(group)+footBytes) > l.bounds.SegmentBytes {
		if err := l.roll(); err != nil {
			return err
		}
	}
	last := &l.segments[len(l.segments)-1]
	last.until = max(last.until, until) // what fails may be there all the same
	if _, err := l.now.WriteAt(group, l.end); err != nil {
		return l.failed(err)
	}
	l.end, l.open = l.end+int64(len(group)), l.open+len(records)
	if sync {
		return l.Sync()
	}
	return nil
}

// Sync makes lasting what was written. The foot goes to the disk once the records are there, and not with them: a disk
// writes in any order, and a foot must prove what it speaks of, or a torn group could not be told from a spoilt one.
func (l *Log) Sync() error {
	if l.now == nil || l.open == 0 {
		return nil
	}
	if err := l.now.Sync(); err != nil {
		return l.failed(err)
	}
	if _, err := l.now.WriteAt(Footer(nil, l.start, l.open), l.end); err != nil {
		return l.failed(err)
	}
	if err := l.now.Sync(); err != nil {
		return l.failed(err)
	}
	l.end += footBytes
	l.start, l.open = l.end, 0
	return nil
}

// failed leaves the segment.
func (l *Log) failed(err error) error {
	name := l.segments[len(l.segments)-1].name
	l.leave()
	return fmt.Errorf("store: %s: %w", name, err)
}

// roll starts a new segment, within the bound of all.
func (l *Log) roll() error {
	if err := l.Close(); err != nil {
		return err
	}
	if int64(len(l.segments)+1)*l.bounds.SegmentBytes > l.bounds.MaxBytes {
		return ErrFull
	}
	name := nameOf(l.next)
	file, err := l.files.Create(name, l.bounds.SegmentBytes)
	if err != nil {
		return fmt.Errorf("store: %s: %w", name, err)
	}
	if _, err = file.WriteAt(Header(l.next, uint32(l.bounds.SegmentBytes)), 0); err == nil {
		err = file.Sync()
	}
	l.next++ // a number that failed is not used again
	l.segments = append(l.segments, kept{name: name})
	if err != nil {
		file.Close()
		return fmt.Errorf("store: %s: %w", name, err)
	}
	l.now, l.end, l.start, l.open = file, headBytes, headBytes, 0
	return nil
}

func (l *Log) leave() {
	l.now.Close()
	l.now = nil
}

// Close ends the log, with all of it lasting.
func (l *Log) Close() error {
	err := l.Sync()
	if l.now != nil {
		l.leave()
	}
	return err
}

// Expire removes segments all of whose records are past their windows by a Unix time in nanoseconds, oldest first.
func (l *Log) Expire(wall int64) error {
	for len(l.segments) > 0 && l.segments[0].until < wall {
		if len(l.segments) == 1 && l.now != nil {
			return nil
		}
		if err := l.files.Remove(l.segments[0].name); err != nil {
			return fmt.Errorf("store: %s: %w", l.segments[0].name, err)
		}
		l.segments = l.segments[1:]
	}
	return nil
}

// RetainUntil keeps all segments until a Unix time in nanoseconds at the least: what was recovered is known anew from then on.
func (l *Log) RetainUntil(until int64) {
	for i := range l.segments {
		l.segments[i].until = max(l.segments[i].until, until)
	}
}

// Bytes is what the segments take.
func (l *Log) Bytes() int64 { return int64(len(l.segments)) * l.bounds.SegmentBytes }
