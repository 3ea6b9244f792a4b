package claims

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"topazpost/internal/cborcodec"
)

const maxSnapshotElements = 1 << 17 // claims in one snapshot: far more than fit the table's size limit

// ErrInvalidSnapshot reports a snapshot that decodes but does not describe a valid table.
var ErrInvalidSnapshot = errors.New("claims: snapshot holds a null or duplicate claim")

// snapshot is the encoded form of a table.
type snapshot struct {
	Time     int64    `cbor:"1,keyasint"`
	Fence    uint64   `cbor:"2,keyasint"`
	MaxBytes int64    `cbor:"3,keyasint"`
	Entries  []*Entry `cbor:"4,keyasint"`
}

var decodeMode = cborcodec.SnapshotDecMode(maxSnapshotElements)

// Snapshot encodes the table. Equal tables have equal snapshots.
func (t *Table) Snapshot() ([]byte, error) {
	return cbor.Marshal(snapshot{Time: t.time, Fence: t.fence, MaxBytes: t.maxBytes, Entries: t.List(len(t.entries))})
}

// Restore returns the table that a snapshot encodes.
func Restore(encoded []byte) (*Table, error) {
	var s snapshot
	if err := decodeMode.Unmarshal(encoded, &s); err != nil {
		return nil, fmt.Errorf("claims: decode snapshot: %w", err)
	}
	t := NewTable()
	t.time = s.Time
	t.fence = s.Fence
	t.maxBytes = s.MaxBytes
	for _, entry := range s.Entries {
		if entry == nil || t.entries[entry.Key] != nil {
			return nil, ErrInvalidSnapshot
		}
		t.insert(entry)
	}
	return t, nil
}
