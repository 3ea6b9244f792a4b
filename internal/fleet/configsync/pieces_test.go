package configsync

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// The cost of each piece of a long change must depend on the size of that piece only, also for the last one. A table that is restored from
// a snapshot between pieces must continue the draft.
func TestLongChangeIsAppliedPieceByPiece(t *testing.T) {
	const pieces, each = 60, 400
	var changes []Item
	for k := range pieces * each {
		changes = append(changes, Item{Tenants, fmt.Sprintf("tenant-%06d", k), []byte(`{"quota_rps":5}`)})
	}
	whole, err := new(Content).Apply(changes)
	require.NoError(t, err)
	changes = changes[:0]
	for i := range whole.All { // in the order of a Difference, as operators' commands send them
		changes = append(changes, i)
	}
	table := NewTable()
	restored := 0
	piece := func(k int) *Command {
		return &Command{Kind: CommandPut, Caller: "a", Seq: uint64(k + 1), Piece: k, MorePieces: k < pieces-1, Changes: changes[k*each : (k+1)*each]}
	}
	for k := range pieces {
		before := table.draft.content
		v := table.Apply(int64(k), piece(k))
		require.True(t, v.Done, v.Refused)
		if next := table.draft.content; k > 0 && k < pieces-1 {
			differ := 0
			for n := range Blocks {
				if _, a := before.Block(n); a != digestOfBlock(next, n) {
					differ++
				}
			}
			assert.Less(t, differ, Blocks/10, "blocks that one piece changes")
		}
		if k%20 == 10 {
			text, err := table.Snapshot()
			require.NoError(t, err)
			table, err = Restore(text)
			require.NoError(t, err)
			again, err := table.Snapshot()
			require.NoError(t, err)
			assert.Equal(t, text, again, "a restored table has an equal snapshot")
			restored++
		}
	}
	assert.Equal(t, 3, restored)
	assert.Equal(t, uint64(1), table.Head().Newest)
	_, _, newest := table.Contents()
	assert.Equal(t, whole.Digest(), newest.Digest())
	assert.Empty(t, table.Records(), "a record that exceeds the capacity of the log is dropped")
	v := table.Apply(100, &Command{Kind: CommandPut, Caller: "b", Seq: 1, Changes: changes[:1]})
	assert.Equal(t, []any{true, -1}, []any{v.Stale, v.UnlistedDiffering})
	v = table.Apply(101, &Command{Kind: CommandPut, Caller: "b", Seq: 2, Base: 1, Changes: []Item{{Tenants, "x", []byte(`{"quota_rps":5}`)}}})
	assert.True(t, v.Done, v.Refused)
	require.Len(t, table.Records(), 1)
	assert.Equal(t, newest.Digest(), table.Records()[0].Base)
}

func TestPieceNotInCanonicalFormIsRefused(t *testing.T) {
	table := NewTable()
	v := table.Apply(0, &Command{Kind: CommandPut, Caller: "a", Seq: 1, MorePieces: true, Changes: []Item{{Tenants, "x", []byte(`{ "quota_rps": 5 }`)}}})
	assert.Contains(t, v.Refused, "not in canonical form")
}

func digestOfBlock(c *Content, n int) Digest {
	_, sum := c.Block(n)
	return sum
}
