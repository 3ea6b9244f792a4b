package claims

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestCorruptSnapshotIsRejected(t *testing.T) {
	table, _ := startedTable()
	text, err := table.Snapshot()
	require.NoError(t, err)
	for cut := range text {
		_, err := Restore(text[:cut])
		assert.Error(t, err, "cut at %d", cut)
	}
}
