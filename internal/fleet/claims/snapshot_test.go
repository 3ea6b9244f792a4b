package claims

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestTruncatedSnapshotIsRejected(t *testing.T) {
	table, _ := startedTable()
	text, err := table.Snapshot()
	require.NoError(t, err)
	for cut := range text {
		_, err := Restore(text[:cut])
		assert.Error(t, err, "truncated to %d bytes", cut)
	}
}
