package claims

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestTruncatedSnapshotIsRejected(t *testing.T) {
	table, _ := startedTable()
	encoded, err := table.Snapshot()
	require.NoError(t, err)
	for cut := range encoded {
		_, err := Restore(encoded[:cut])
		assert.Error(t, err, "truncated to %d bytes", cut)
	}
}
