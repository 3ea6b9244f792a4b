package segmentstore

import (
	"fmt"
	"slices"
)

// LatestRecords gives the last state of each token, in the order in which they were first told of: that its run began, or how it
// ended, with the hash of its body.
func LatestRecords(records []Record) []Record {
	type key struct {
		operation, tenant int32
		token             string
	}
	at := make(map[key]int)
	var last []Record
	for _, r := range records {
		k := key{r.Operation, r.Tenant, r.Token}
		i, known := at[k]
		if !known {
			at[k] = len(last)
			last = append(last, r)
			continue
		}
		if was := &last[i]; r.Kind == RunEnded || was.Kind == RunStarted {
			if r.BodyHash == 0 {
				r.BodyHash = was.BodyHash
			}
			r.ExpiresAt = max(r.ExpiresAt, was.ExpiresAt)
			*was = r
		}
	}
	return last
}

// Compact writes the last state of the tokens that are to stay into new segments, and removes those of before once all
// of it is lasting. A crash on the way leaves both, which say the same.
func Compact(files Storage, bounds Limits, stays func(r *Record) bool) (before, after int64, err error) {
	l, records, _, err := Open(files, bounds)
	if err != nil {
		return 0, 0, err
	}
	old := len(l.segments)
	before = l.Bytes()
	last := slices.DeleteFunc(LatestRecords(records), func(r Record) bool { return !stays(&r) })
	for len(last) > 0 {
		n, bytes := 0, 0
		for n < len(last) && n < maxCompactionGroup && (n == 0 || bytes < int(bounds.SegmentBytes)/4) {
			bytes += recordHeaderBytes + len(last[n].Token) + len(last[n].Result) + 64
			n++
		}
		if err := l.Write(last[:n], false); err != nil {
			return before, 0, err
		}
		last = last[n:]
	}
	if err := l.Close(); err != nil {
		return before, 0, err
	}
	for _, s := range l.segments[:old] {
		if err := files.Remove(s.name); err != nil {
			return before, 0, fmt.Errorf("store: %s: %w", s.name, err)
		}
	}
	l.segments = l.segments[old:]
	return before, l.Bytes(), nil
}
