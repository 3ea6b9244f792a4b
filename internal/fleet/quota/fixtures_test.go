package quota

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"topazpost/internal/fixture"
)

// Guards against changes of encodings on the wire and on disk: commands of each kind, verdicts, counters, and a snapshot.
func TestQuotaFixtures(t *testing.T) {
	t.Run("commands", func(t *testing.T) {
		var list []Command
		for _, kind := range []CommandKind{CommandDefineLimit, CommandRequestLease} {
			c := fixture.Filled[Command](uint32(len(list)))
			c.Kind = kind
			list = append(list, c)
		}
		require.Len(t, list, int(CommandKindCount))
		fixture.RoundTrip(t, "commands-v1.cbor", list, cbor.Marshal, decodeMode.Unmarshal)
	})
	t.Run("verdicts", func(t *testing.T) {
		fixture.RoundTrip(t, "verdicts-v1.cbor", fixture.Filled[[]Verdict](1), cbor.Marshal, decodeMode.Unmarshal)
	})
	t.Run("counters", func(t *testing.T) {
		fixture.RoundTrip(t, "counters-v1.cbor", fixture.Filled[Counters](1), cbor.Marshal, decodeMode.Unmarshal)
	})
	t.Run("snapshot", func(t *testing.T) {
		limits := fixture.Filled[[]*Limit](1)
		fixture.RoundTrip(t, "snapshot-v1.cbor", limits, cbor.Marshal, decodeMode.Unmarshal)
		content, err := os.ReadFile(filepath.Join("testdata", "snapshot-v1.cbor"))
		require.NoError(t, err)
		table, err := Restore(content)
		require.NoError(t, err)
		assert.Equal(t, limits, table.Limits())
		encoded, err := table.Snapshot()
		require.NoError(t, err)
		assert.Equal(t, content, encoded)
	})
}
