package quota

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"topazpost/internal/cborcodec"
)

// ErrInvalidSnapshot says that a snapshot was decoded but can't be that of a table.
var ErrInvalidSnapshot = errors.New("quota: a snapshot holds a limit twice or an empty one")

var decodeMode = cborcodec.SnapshotDecMode(maxLimits * maxHolders)

// Snapshot encodes the table; equal tables have equal snapshots.
func (t *LeaseTable) Snapshot() ([]byte, error) { return cbor.Marshal(t.Limits()) }

// Restore decodes a table.
func Restore(encoded []byte) (*LeaseTable, error) {
	var limits []*Limit
	if err := decodeMode.Unmarshal(encoded, &limits); err != nil {
		return nil, fmt.Errorf("quota: a snapshot can't be read: %w", err)
	}
	table := NewLeaseTable()
	for _, limit := range limits {
		if limit == nil || table.limits[limit.Name] != nil {
			return nil, ErrInvalidSnapshot
		}
		table.limits[limit.Name] = limit
	}
	return table, nil
}
