package segmentstore

import "slices"

const (
	maxCompactionGroup  = 256 // records written at once
	recordOverheadBytes = 64  // estimate of a record's fields beside token and result
)

// TokenKey identifies a token within a store: by the names of its operation and tenant, and in records of earlier builds by their indices.
type TokenKey struct {
	operationName, tenantName string
	operation, tenant         int32
	token                     string
}

// TokenKey returns the key of the record's token.
func (r *Record) TokenKey() TokenKey {
	if r.HasName() {
		return TokenKey{operationName: r.OperationName, tenantName: r.TenantName, token: r.Token}
	}
	return TokenKey{operation: r.Operation, tenant: r.Tenant, token: r.Token}
}

// LatestRecords returns the latest state of each token, in the order of their first records: that its run started, or how it ended,
// with the hash of its body.
func LatestRecords(records []Record) []Record {
	indices := make(map[TokenKey]int)
	var latest []Record
	for i := range records {
		record := &records[i]
		key := record.TokenKey()
		index, known := indices[key]
		if !known {
			indices[key] = len(latest)
			latest = append(latest, *record)
			continue
		}
		latest[index].update(record)
	}
	return latest
}

// update replaces a record by a later one of the same token. A start after an end is that of another run, which the token had once its
// window was over. Earlier builds stored the hash of the body with the start alone.
func (r *Record) update(later *Record) {
	earlier := *r
	*r = *later
	if r.Kind == RunEnded && r.BodyHash == 0 {
		r.BodyHash = earlier.BodyHash
	}
	r.ExpiresAt = max(r.ExpiresAt, earlier.ExpiresAt)
}

// Compact writes the latest state of the tokens that are retained into new segments, and removes the earlier ones once all of it is
// durable. A crash meanwhile leaves both, which have the same meaning.
func Compact(storage Storage, limits Limits, retain func(r *Record) bool) (before, after int64, err error) {
	log, records, _, err := Open(storage, limits)
	if err != nil {
		return 0, 0, err
	}
	earlier := len(log.segments)
	before = log.Bytes()
	latest := slices.DeleteFunc(LatestRecords(records), func(r Record) bool { return !retain(&r) })
	for len(latest) > 0 {
		n := compactionGroup(latest, limits)
		if err := log.Write(latest[:n], false); err != nil {
			return before, 0, err
		}
		latest = latest[n:]
	}
	if err := log.Close(); err != nil {
		return before, 0, err
	}
	for _, segment := range log.segments[:earlier] {
		if err := storage.Remove(segment.name); err != nil {
			return before, 0, segmentError(segment.name, err)
		}
	}
	log.segments = log.segments[earlier:]
	return before, log.Bytes(), nil
}

// compactionGroup is how many of the records to write at once: they take up to about a quarter of a segment.
func compactionGroup(records []Record, limits Limits) int {
	n := 0
	bytes := 0
	for n < len(records) && n < maxCompactionGroup && (n == 0 || bytes < int(limits.SegmentBytes)/4) {
		bytes += recordHeaderBytes + len(records[n].OperationName) + len(records[n].TenantName) + len(records[n].Token) + len(records[n].Result) + recordOverheadBytes
		n++
	}
	return n
}
