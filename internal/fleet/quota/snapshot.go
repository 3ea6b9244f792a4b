package quota

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"topazpost/internal/cborcodec"
)

// ErrInvalidSnapshot reports a snapshot that decodes but does not describe a valid table.
var ErrInvalidSnapshot = errors.New("quota: snapshot holds a null or duplicate limit")

var decodeMode = cborcodec.SnapshotDecMode(maxLimits * maxHolders)

// Snapshot encodes the table. Equal tables have equal snapshots.
func (t *LeaseTable) Snapshot() ([]byte, error) { return cbor.Marshal(t.Limits()) }

// Restore returns the table that a snapshot encodes.
func Restore(encoded []byte) (*LeaseTable, error) {
	var limits []*Limit
	if err := decodeMode.Unmarshal(encoded, &limits); err != nil {
		return nil, fmt.Errorf("quota: decode snapshot: %w", err)
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
