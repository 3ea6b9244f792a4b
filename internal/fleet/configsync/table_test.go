package configsync

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// putOn returns a put of caller "a", made on version base.
func putOn(base, seq uint64, list ...Item) *Command {
	return &Command{Kind: CommandPut, Caller: "a", Seq: seq, Base: base, Changes: list}
}

// tenant returns an item for tenant k; an empty value removes it.
func tenant(k int, value string) Item {
	i := Item{Part: Tenants, Name: fmt.Sprint("t", k)}
	if value != "" {
		i.Value = []byte(value)
	}
	return i
}

func TestStalePutListsChangedItems(t *testing.T) {
	table := NewTable()
	require.EqualValues(t, 1, table.Apply(1, putOn(0, 1, tenant(1, "1"), tenant(2, "1"))).Version)
	require.EqualValues(t, 2, table.Apply(1, putOn(1, 2, tenant(1, "2"))).Version)
	require.EqualValues(t, 3, table.Apply(1, putOn(2, 3, tenant(3, "1"), tenant(1, ""))).Version)
	v := table.Apply(1, &Command{Kind: CommandPut, Caller: "b", Seq: 1, Base: 1, Changes: []Item{tenant(9, "1")}})
	require.False(t, v.Done)
	require.True(t, v.Stale)
	require.EqualValues(t, 3, v.Version)
	require.ElementsMatch(t, []Item{tenant(1, ""), tenant(3, "")}, v.Differing)
	require.Contains(t, v.Refused, "made on version 1, the newest is 3")
	require.Nil(t, table.newest.Get(Tenants, "t9"))

	again := table.Apply(9, putOn(1, 2, tenant(1, "2")))
	require.EqualValues(t, Verdict{Caller: "a", Seq: 2, Version: 3, Refused: "late: the caller asked again since"}, again)
	require.Equal(t, Verdict{Caller: "a", Seq: 3, Done: true, Version: 3}, table.Apply(9, putOn(2, 3, tenant(3, "1"))), "a repeated command gets the same verdict")
	require.EqualValues(t, 3, table.Head().Newest)

	none := table.Apply(9, putOn(3, 4, tenant(3, "1")))
	require.True(t, none.Done)
	require.EqualValues(t, 3, none.Version, "a put of unchanged values makes no version")
	for k := range maxLogRecords + 1 {
		require.True(t, table.Apply(9, putOn(uint64(k+3), uint64(k+5), tenant(3, fmt.Sprint(k+2)))).Done)
	}
	require.Len(t, table.log, maxLogRecords)
	require.Equal(t, -1, table.Apply(9, &Command{Kind: CommandPut, Caller: "b", Seq: 2, Base: 2}).UnlistedDiffering, "the log does not reach back to the base")
}

func TestCanaryStageEndsByTimeOrRefusal(t *testing.T) {
	table := NewTable()
	table.Apply(100*ms, putOn(0, 1, tenant(1, "1")))
	table.Apply(200*ms, putOn(1, 2, tenant(1, "2"))) // waits for the end of the canary stage of version 1
	require.EqualValues(t, 1, table.Head().Canary.Version)
	require.Nil(t, table.DueAdvance(100*ms+canaryDuration-1))
	require.False(t, table.Apply(100*ms+canaryDuration-1, &Command{Kind: CommandAdvance, Version: 1}).Done, "too early")
	require.True(t, table.Apply(100*ms+canaryDuration, table.DueAdvance(100*ms+canaryDuration)).Done)
	require.EqualValues(t, 1, table.Head().All.Version)
	require.EqualValues(t, 2, table.Head().Canary.Version, "the next canary stage begins")
	stop := &Command{Kind: CommandStop, Version: 2, StoppedBy: "n7", StopReason: "no such effect"}
	require.True(t, table.Apply(4_000*ms, stop).Done)
	require.Nil(t, table.DueAdvance(100_000*ms))
	require.False(t, table.Apply(100_000*ms, &Command{Kind: CommandAdvance, Version: 2}).Done, "stopped")
	require.Equal(t, "n7", table.Head().StoppedBy)
	back := table.Apply(100_000*ms, &Command{Kind: CommandRollback, Caller: "a", Seq: 3, Version: 1})
	require.EqualValues(t, 3, back.Version, "a rollback makes a new version")
	require.EqualValues(t, Revision{3, table.log[0].Digest}, table.Head().All, "a rollback skips the canary stage")
	require.False(t, table.Head().Stopped)
	require.Contains(t, table.Apply(1, &Command{Kind: CommandRollback, Caller: "a", Seq: 4, Version: 2}).Refused, "never in force for all")

}

// The time of the table can lag real time. The canary stage must then end by the clock of the proposing replica.
func TestCanaryStageEndsByTheClockOfAReplica(t *testing.T) {
	table := NewTable()
	table.Apply(100*ms, &Command{Kind: CommandPut, Caller: "a", Seq: 1, Changes: []Item{tenant(1, "1")}})
	require.Nil(t, table.DueAdvanceByReplicaClock(canaryDuration-1))
	require.False(t, table.Apply(200*ms, &Command{Kind: CommandAdvance, Version: 1, CanaryTime: canaryDuration - 1}).Done)
	require.False(t, table.Apply(200*ms, &Command{Kind: CommandAdvance, Version: 2, CanaryTime: canaryDuration}).Done)
	require.True(t, table.Apply(200*ms, table.DueAdvanceByReplicaClock(canaryDuration)).Done)
	require.EqualValues(t, 1, table.Head().All.Version)
	require.Nil(t, table.DueAdvanceByReplicaClock(canaryDuration), "no version is at the canary stage")
	table.Apply(300*ms, &Command{Kind: CommandPut, Caller: "a", Seq: 2, Base: 1, Changes: []Item{tenant(1, "2")}})
	table.Apply(400*ms, &Command{Kind: CommandStop, Version: 2, StoppedBy: "b", StopReason: "can't"})
	require.Nil(t, table.DueAdvanceByReplicaClock(100*canaryDuration), "a stopped version does not advance")
}

func TestLongChangeIsCommittedWithLastPiece(t *testing.T) {
	table := NewTable()
	piece := func(seq uint64, from string, n int, more bool, list ...Item) Verdict {
		return table.Apply(int64(seq)*ms, &Command{Kind: CommandPut, Caller: from, Seq: seq, Piece: n, MorePieces: more, Changes: list})
	}
	require.True(t, piece(1, "a", 0, true, tenant(1, "1")).Done)
	require.Contains(t, piece(1, "b", 0, true, tenant(2, "1")).Refused, "a long change by a is coming in")
	require.Contains(t, piece(2, "a", 2, false, tenant(3, "1")).Refused, "doesn't follow")
	require.Zero(t, table.Head().Newest)
	require.True(t, piece(3, "a", 1, true, tenant(2, "1")).Done)
	last := piece(4, "a", 2, false, tenant(3, "1"))
	require.EqualValues(t, 1, last.Version)
	require.Equal(t, last, piece(4, "a", 2, false, tenant(3, "1")))
	require.Equal(t, 3, table.newest.Len(Tenants))
	require.Contains(t, table.Apply(1, putOn(1, 9, Item{Tenants, "big", make([]byte, maxPutBytes)})).Refused, "put it in pieces")
	require.Contains(t, table.Apply(1, putOn(1, 10, tenant(1, `{ "a":1}`))).Refused, `tenants "t1" is not in canonical form`)
}

// A consensus group that lost its state must not reuse version numbers: the first put names the highest version that any node has.
func TestFirstPutContinuesVersionNumbers(t *testing.T) {
	table := NewTable()
	c := putOn(0, 1, tenant(1, "1"))
	c.Version = 500
	require.EqualValues(t, 501, table.Apply(1, c).Version)
	require.EqualValues(t, 502, table.Apply(1, putOn(501, 2, tenant(1, "2"))).Version)
}

// Applies random commands to two tables, of which one is restored from its snapshot after each command. Their verdicts and snapshots must be
// equal, else replicas would diverge after a restart.
func TestEqualCommandsMakeEqualTables(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := NewTable()
		b := NewTable()
		at := int64(0)
		for k := range rapid.IntRange(1, 10).Draw(t, "commands") {
			at += rapid.Int64Range(0, 2_000*ms).Draw(t, "later")
			head := a.Head()
			c := &Command{Kind: CommandKind(rapid.IntRange(0, 5).Draw(t, "kind")), Caller: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "from"),
				Seq: uint64(k/2 + 1), Base: head.Newest - uint64(rapid.IntRange(0, int(min(1, head.Newest))).Draw(t, "base")), Changes: drawItems(t), StopReason: "why"}
			switch c.Kind {
			case CommandAdvance, CommandStop:
				c.Version = head.Canary.Version
			case CommandRollback:
				c.Version = uint64(rapid.IntRange(0, int(head.Newest)).Draw(t, "to"))
			case CommandPut:
				c.MorePieces = rapid.IntRange(0, 9).Draw(t, "more") == 0
			}
			require.Equal(t, a.Apply(at, c), b.Apply(at, c))
			require.GreaterOrEqual(t, a.Head().Newest, head.Newest)
			require.GreaterOrEqual(t, a.Head().All.Version, head.All.Version)
			for n, content := range map[Revision]*Content{a.head.All: a.all, a.head.Canary: a.canary} {
				require.Equal(t, n.Digest, content.Digest())
			}
			ofA, err := a.Snapshot()
			require.NoError(t, err)
			ofB, err := b.Snapshot()
			require.NoError(t, err)
			require.Equal(t, ofA, ofB)
			b, err = Restore(ofB)
			require.NoError(t, err)
			ofRestored, err := b.Snapshot()
			require.NoError(t, err)
			require.Equal(t, ofA, ofRestored)
		}
	})
}

func TestSnapshotOfAnUnchangedTableIsCached(t *testing.T) {
	table := NewTable()
	table.Apply(1, putOn(0, 1, tenant(1, "1")))
	first, _ := table.Snapshot()
	require.Zero(t, testing.AllocsPerRun(10, func() { _, _ = table.Snapshot() }))
	table.Apply(1, &Command{Kind: CommandAdvance, Version: 7}) // refused
	second, _ := table.Snapshot()
	require.Same(t, &first[0], &second[0])
	for end := 0; end < len(first); end += 11 {
		_, err := Restore(first[:end])
		require.Error(t, err)
	}
	corrupted := append([]byte{}, first...)
	for k := 0; k < len(corrupted); k += 7 {
		corrupted[k] ^= 4
		if y, err := Restore(corrupted); err == nil { // a corrupted snapshot that Restore accepts must still match its digests
			require.Equal(t, y.head.All.Digest, y.all.Digest())
			require.Equal(t, y.head.Canary.Digest, y.canary.Digest())
		}
		corrupted[k] ^= 4
	}
}

// A replicator retains the agreed state of an earlier time. It must not change when the table drops records from its log.
func TestAgreedStateIsNotModified(t *testing.T) {
	table := NewTable()
	table.Apply(1, putOn(0, 1, tenant(0, "1")))
	before := table.Agreed()
	for k := range maxLogRecords + 10 {
		table.Apply(1, putOn(uint64(k+1), uint64(k+2), tenant(0, fmt.Sprint(k+2))))
	}
	require.EqualValues(t, 1, before.Log[0].Version)
	require.EqualValues(t, 12, table.Agreed().Log[0].Version)
}
