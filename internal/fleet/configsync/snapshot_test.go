package configsync

import (
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// largeTable returns a table with the given number of tenants and a draft of which pieces are missing.
func largeTable(t *testing.T, tenants int) *Table {
	table := NewTable()
	put := func(seq, base uint64, piece int, more bool, from, to, rate int) {
		var changes []Item
		for k := from; k < to; k++ {
			changes = append(changes, Item{Tenants, fmt.Sprintf("tenant-%06d", k), fmt.Appendf(nil, `{"quota_rps":%d}`, rate)})
		}
		v := table.Apply(int64(seq), &Command{Kind: CommandPut, Caller: "a", Seq: seq, Base: base, Piece: piece, MorePieces: more, Changes: changes})
		require.True(t, v.Done, v.Refused)
	}
	seq := uint64(0)
	const piece = 1_000
	for k := 0; k < tenants; k += piece {
		seq++
		put(seq, 0, k/piece, k+piece < tenants, k, k+piece, 1)
	}
	require.Equal(t, uint64(1), table.Head().Newest)
	require.True(t, table.Apply(1<<40, &Command{Kind: CommandAdvance, Version: 1}).Done)
	for k := range 20 {
		seq++
		put(seq, uint64(k+1), 0, false, k, k+1, 2)
	}
	seq++
	put(seq, 21, 0, true, 0, piece, 3) // further pieces are missing
	return table
}

// A snapshot of a large table must not block the replica: each step is of bounded size. The result must be the state at the beginning,
// although the table changes between the steps.
func TestSnapshotIsEncodedInBoundedSteps(t *testing.T) {
	const minCost = 64 << 10
	table := largeTable(t, 130_000)
	atBeginning, err := largeTable(t, 130_000).Snapshot()
	require.NoError(t, err)
	w := table.BeginSnapshot()
	calls := 0
	lastLength := 0
	seq := uint64(1_000)
	for complete := false; !complete; calls++ {
		complete = w.Next(minCost)
		assert.LessOrEqual(t, len(w.Encoded())-lastLength, minCost+maxBlockBytes)
		lastLength = len(w.Encoded())
		seq++
		table.Apply(1<<41, &Command{Kind: CommandPut, Caller: "b", Seq: seq, Base: table.Head().Newest, Changes: []Item{{Tenants, fmt.Sprint("b", seq), []byte(`{}`)}}})
		table.Apply(1<<41+int64(calls)*canaryDuration, &Command{Kind: CommandAdvance, Version: table.Head().Canary.Version})
	}
	assert.Greater(t, calls, len(atBeginning)/(minCost+maxBlockBytes))
	assert.Equal(t, atBeginning, w.Encoded())
	assert.LessOrEqual(t, cap(w.Encoded()), len(atBeginning)*11/10, "the text is allocated once, at its final size")
	restored, err := Restore(w.Encoded())
	require.NoError(t, err)
	text, err := restored.Snapshot()
	require.NoError(t, err)
	assert.Equal(t, atBeginning, text)
}

// The incremental encoding, written by hand, must have the fields and the length of the encoding of savedTable by the CBOR library, so that
// other builds can read it.
func TestIncrementalSnapshotEqualsEncoder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := NewTable()
		at := int64(0)
		for seq := range uint64(rapid.IntRange(0, 30).Draw(t, "commands")) {
			at += rapid.SampledFrom([]int64{0, canaryDuration}).Draw(t, "later")
			c := Command{Kind: CommandPut, Caller: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "who"), Seq: seq + 1, Base: table.Head().Newest}
			switch rapid.IntRange(0, 5).Draw(t, "kind") {
			case 0:
				c = Command{Kind: CommandAdvance, Version: table.Head().Canary.Version}
			case 1:
				c = Command{Kind: CommandStop, Version: table.Head().Canary.Version, StoppedBy: "n", StopReason: "no"}
			case 2:
				c = Command{Kind: CommandRollback, Caller: "c", Seq: seq + 1, Version: table.Head().All.Version}
			case 3:
				c.Piece = table.draft.Pieces
				c.MorePieces = rapid.Bool().Draw(t, "more")
				fallthrough
			default:
				for range rapid.IntRange(1, 40).Draw(t, "items") {
					value := fmt.Appendf(nil, `{"quota_rps":%d}`, rapid.IntRange(0, 3).Draw(t, "rate"))
					if rapid.IntRange(0, 4).Draw(t, "removed") == 0 {
						value = nil
					}
					c.Changes = append(c.Changes, Item{Tenants, fmt.Sprint("t", rapid.IntRange(0, 60).Draw(t, "tenant")), value})
				}
			}
			table.Apply(at, &c)
		}
		s := savedTable{Head: table.head, CanarySince: table.canarySince, Blocks: make([][]byte, Blocks), All: differences(table.newest, table.all),
			Canary: differences(table.newest, table.canary), Log: table.log, RollbackVersions: table.rollbackVersions, LastVerdicts: table.lastVerdicts,
			Draft: table.draft}
		for n := range s.Blocks {
			s.Blocks[n], _ = table.newest.Block(n)
		}
		if s.Draft.content != nil {
			s.Draft.Changes = differences(table.newest, s.Draft.content)
		}
		encodedByLibrary, err := cbor.Marshal(&s)
		require.NoError(t, err)
		w := table.BeginSnapshot()
		for !w.Next(rapid.IntRange(1, 10_000).Draw(t, "least")) {
		}
		var fromLibrary, fromWriter savedTable
		require.NoError(t, cbor.Unmarshal(encodedByLibrary, &fromLibrary))
		require.NoError(t, cbor.Unmarshal(w.Encoded(), &fromWriter))
		require.Equal(t, fromLibrary, fromWriter)
		require.Len(t, w.Encoded(), len(encodedByLibrary), "no field is encoded twice")
	})
}

// Changes that are scattered over many blocks must all be found, and each call of Next must scan a bounded number of bytes.
func TestDifferenceOfScatteredChangesIsBounded(t *testing.T) {
	from := largeTable(t, 130_000).newest
	var changes []Item
	for k := range 2_000 {
		changes = append(changes, Item{Tenants, fmt.Sprintf("tenant-%06d", 60*k), []byte(`{"quota_rps":9}`)})
	}
	to, err := from.Apply(changes)
	require.NoError(t, err)
	d := Diff(from, to)
	found := 0
	calls := 0
	for before := 0; ; before = d.scanned {
		some := d.Next(256)
		assert.LessOrEqual(t, d.scanned-before, 256<<10) // above scanBytesPerCall plus the last block of both contents
		if len(some) == 0 {
			break
		}
		found = found + len(some)
		calls++
	}
	assert.Equal(t, len(changes), found)
	assert.Greater(t, calls, 30)
}

// differences returns all changes from one content to another.
func differences(from, to *Content) (all []Item) {
	for d := Diff(from, to); ; {
		some := d.Next(maxLogRecords)
		if len(some) == 0 {
			return all
		}
		all = append(all, some...)
	}
}
