package claims

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"topazpost/internal/fixture"
)

// Guards against changes of encodings on the wire and on disk: commands and verdicts of each kind, counters, and a snapshot with an
// entry of each state.
func TestClaimsFixtures(t *testing.T) {
	t.Run("commands", func(t *testing.T) {
		var list []Command
		for _, kind := range []CommandKind{CommandNoop, CommandClaim, CommandStart, CommandEnd, CommandRelease, CommandReassign, CommandMarkUnknown, CommandResolve, CommandAdvanceTime} {
			c := fixture.Filled[Command](uint32(len(list)))
			c.Kind = kind
			list = append(list, c)
		}
		require.Len(t, list, int(CommandKindCount))
		fixture.RoundTrip(t, "commands-v1.cbor", list, cbor.Marshal, decodeMode.Unmarshal)
	})
	t.Run("verdicts", func(t *testing.T) {
		var list []Verdict
		for _, answer := range []Answer{AnswerDone, AnswerGranted, AnswerOwned, AnswerCompleted, AnswerOutcomeUnknown, AnswerBodyMismatch, AnswerStaleFence, AnswerTableFull} {
			v := fixture.Filled[Verdict](uint32(len(list)))
			v.Answer = answer
			list = append(list, v)
		}
		fixture.RoundTrip(t, "verdicts-v1.cbor", list, cbor.Marshal, decodeMode.Unmarshal)
	})
	t.Run("counters", func(t *testing.T) {
		fixture.RoundTrip(t, "counters-v1.cbor", fixture.Filled[Counters](1), cbor.Marshal, decodeMode.Unmarshal)
		fixture.RoundTrip(t, "client-counters-v1.cbor", fixture.Filled[ClientCounters](2), cbor.Marshal, decodeMode.Unmarshal)
	})
	t.Run("snapshot", func(t *testing.T) {
		s := fixture.Filled[snapshot](1)
		s.Entries = nil
		for _, state := range []State{StateClaimed, StateStarted, StateUnknown, StateEnded} {
			e := fixture.Filled[Entry](uint32(len(s.Entries)))
			e.State = state
			s.Entries = append(s.Entries, &e)
		}
		fixture.RoundTrip(t, "snapshot-v1.cbor", s, cbor.Marshal, decodeMode.Unmarshal)
		content, err := os.ReadFile(filepath.Join("testdata", "snapshot-v1.cbor"))
		require.NoError(t, err)
		table, err := Restore(content)
		require.NoError(t, err)
		assert.Equal(t, s.Time, table.Time())
		assert.Equal(t, s.Fence, table.fence)
		assert.Equal(t, s.MaxBytes, table.maxBytes)
		require.Len(t, table.entries, len(s.Entries))
		var bytes int64
		for _, want := range s.Entries {
			bytes += want.sizeBytes()
			got := table.Find(want.Key)
			require.NotNil(t, got)
			got.heapIndex, want.heapIndex = 0, 0
			assert.Equal(t, want, got)
			assert.Equal(t, want.State <= StateStarted, len(table.OwnedBy(want.Owner)) == 1, "only claimed and started entries are indexed by owner")
		}
		_, size := table.Size()
		assert.Equal(t, bytes, size)
		encoded, err := table.Snapshot()
		require.NoError(t, err)
		assert.Equal(t, content, encoded)
	})
}
