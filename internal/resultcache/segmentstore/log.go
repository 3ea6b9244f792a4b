package segmentstore

import "fmt"

const (
	segmentSuffix   = ".seg"
	maxSegmentBytes = 1 << 31
)

// Limits of a log, in bytes.
type Limits struct {
	SegmentBytes int64 // of one segment
	MaxBytes     int64 // of all of them
}

func (l Limits) validate() error {
	const minSegmentBytes = headerBytes + recordHeaderBytes + maxBodyBytes + footerBytes
	if l.SegmentBytes < minSegmentBytes || l.SegmentBytes > maxSegmentBytes || l.MaxBytes < 2*l.SegmentBytes {
		return fmt.Errorf("store: segments of %d bytes within %d in all: a segment takes one record at the least, "+
			"2 GiB at the most, and there must be room for two", l.SegmentBytes, l.MaxBytes)
	}
	return nil
}

// Log is the segments of one storage: records are written in groups, and expire by whole segments.
type Log struct {
	storage      Storage
	limits       Limits
	segments     []segmentInfo // oldest first
	nextNumber   uint64
	active       File // the segment that is written, nil for none
	writeOffset  int64
	groupStart   int64 // of the records that no footer acknowledges yet
	groupRecords int   // how many those are
	buffer       []byte
}

// segmentInfo is a segment of the storage.
type segmentInfo struct {
	name      string
	expiresAt int64 // Unix ns, when the last of its records expires
}

func segmentName(number uint64) string { return fmt.Sprintf("%016x%s", number, segmentSuffix) }

// Write appends a group of records and, with sync, makes it durable with all that was written before. After an error none of what
// was not durable counts, and the next group goes to a new segment: what is in this one can't be known.
func (l *Log) Write(records []Record, sync bool) error {
	group, expiresAt, err := l.encodeGroup(records)
	if err != nil {
		return err
	}
	if err := l.reserve(int64(len(group) + footerBytes)); err != nil {
		return err
	}
	last := &l.segments[len(l.segments)-1]
	last.expiresAt = max(last.expiresAt, expiresAt) // also of a write that fails, whose records may be there all the same
	if _, err := l.active.WriteAt(group, l.writeOffset); err != nil {
		return l.abandonActive(err)
	}
	l.writeOffset += int64(len(group))
	l.groupRecords += len(records)
	if sync {
		return l.Sync()
	}
	return nil
}

// encodeGroup encodes records into the log's buffer, and returns when the last of them expires.
func (l *Log) encodeGroup(records []Record) (group []byte, expiresAt int64, err error) {
	group = l.buffer[:0]
	for i := range records {
		group, err = AppendRecord(group, &records[i])
		if err != nil {
			return nil, 0, err
		}
		expiresAt = max(expiresAt, records[i].ExpiresAt)
	}
	l.buffer = group[:0]
	return group, expiresAt, nil
}

// reserve makes sure that the active segment has room for a group with its footer.
func (l *Log) reserve(bytes int64) error {
	if headerBytes+bytes > l.limits.SegmentBytes {
		return ErrTooLarge
	}
	if l.active != nil && l.writeOffset+bytes <= l.limits.SegmentBytes {
		return nil
	}
	return l.rotate()
}

// Sync makes durable what was written. The footer is written once the records are durable, and not with them: a disk writes in any
// order, and a footer must prove what it acknowledges, or a torn group would look like a corrupt one.
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
	l.groupStart = l.writeOffset
	l.groupRecords = 0
	return nil
}

// rotate starts a new segment, within the limit of all.
func (l *Log) rotate() error {
	if err := l.Close(); err != nil {
		return err
	}
	if int64(len(l.segments)+1)*l.limits.SegmentBytes > l.limits.MaxBytes {
		return ErrFull
	}
	number := l.nextNumber
	name := segmentName(number)
	file, err := l.storage.Create(name, l.limits.SegmentBytes)
	if err != nil {
		return segmentError(name, err)
	}
	l.nextNumber++ // the number of a segment that fails from here on is not used again
	l.segments = append(l.segments, segmentInfo{name: name})
	if err := writeHeader(file, number, l.limits.SegmentBytes); err != nil {
		file.Close()
		return segmentError(name, err)
	}
	l.active = file
	l.writeOffset = headerBytes
	l.groupStart = headerBytes
	l.groupRecords = 0
	return nil
}

func writeHeader(file File, number uint64, size int64) error {
	if _, err := file.WriteAt(Header(number, uint32(size)), 0); err != nil {
		return err
	}
	return file.Sync()
}

// abandonActive closes the active segment after an error on it.
func (l *Log) abandonActive(err error) error {
	name := l.segments[len(l.segments)-1].name
	l.closeActive()
	return segmentError(name, err)
}

// closeActive closes the active segment. An error of that is of no consequence: what counts is durable already.
func (l *Log) closeActive() {
	l.active.Close()
	l.active = nil
}

// Close ends the log, with all of it durable.
func (l *Log) Close() error {
	err := l.Sync()
	if l.active != nil {
		l.closeActive()
	}
	return err
}

// Expire removes the segments all of whose records are past their windows at a Unix time in nanoseconds, oldest first.
func (l *Log) Expire(wall int64) error {
	for len(l.segments) > 0 && l.segments[0].expiresAt < wall {
		if len(l.segments) == 1 && l.active != nil {
			return nil
		}
		if err := l.storage.Remove(l.segments[0].name); err != nil {
			return segmentError(l.segments[0].name, err)
		}
		l.segments = l.segments[1:]
	}
	return nil
}

// RetainUntil keeps all segments until a Unix time in nanoseconds at least: what was recovered is known anew from then on.
func (l *Log) RetainUntil(expiresAt int64) {
	for i := range l.segments {
		l.segments[i].expiresAt = max(l.segments[i].expiresAt, expiresAt)
	}
}

// Bytes is what the segments take.
func (l *Log) Bytes() int64 { return int64(len(l.segments)) * l.limits.SegmentBytes }
