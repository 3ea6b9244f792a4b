package configsync

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"topazpost/internal/fixture"
)

// Pins the encodings of messages, commands, queries and files: later builds must decode them, and encode them to the same bytes.
func TestFixturesOfConfiguration(t *testing.T) {
	t.Run("commands", func(t *testing.T) {
		var list []Command
		for _, kind := range []CommandKind{CommandPut, CommandAdvance, CommandStop, CommandRollback} {
			c := fixture.Filled[Command](uint32(len(list)))
			c.Kind = kind
			list = append(list, c)
		}
		fixture.RoundTrip(t, "commands-v1.cbor", list, cbor.Marshal, cborDecoding.Unmarshal)
	})
	t.Run("verdicts", func(t *testing.T) {
		fixture.RoundTrip(t, "verdicts-v1.cbor", fixture.Filled[[]Verdict](1), cbor.Marshal, cborDecoding.Unmarshal)
	})
	t.Run("messages", func(t *testing.T) {
		var list []Message
		for _, kind := range []MessageKind{MessageAnnounce, MessageReport, MessageConfirm, MessageFetch, MessageContent} {
			m := fixture.Filled[Message](uint32(len(list)))
			m.Kind = kind
			list = append(list, m)
		}
		fixture.RoundTrip(t, "messages-v1.cbor", list, cbor.Marshal, cborDecoding.Unmarshal)
	})
	t.Run("queries", func(t *testing.T) {
		var list []Query
		for k, kind := range []QueryKind{QueryStatus, QueryBlocks, QueryPropose} {
			q := fixture.Filled[Query](uint32(k))
			q.Kind, q.Which = kind, []int{ContentInForce, ContentForAll, ContentNewest}[k]
			list = append(list, q)
		}
		fixture.RoundTrip(t, "questions-v1.cbor", list, cbor.Marshal, cborDecoding.Unmarshal)
	})
	t.Run("answer", func(t *testing.T) {
		fixture.RoundTrip(t, "answer-v1.cbor", fixture.Filled[Answer](1), cbor.Marshal, cborDecoding.Unmarshal)
	})
	t.Run("replica address as JSON", func(t *testing.T) {
		fixture.RoundTrip(t, "place-v1.json", fixture.Filled[ReplicaAddress](1), json.Marshal, json.Unmarshal)
	})
	t.Run("counters as JSON", func(t *testing.T) {
		fixture.RoundTrip(t, "counters-v1.json", fixture.Filled[Counters](1), json.Marshal, json.Unmarshal)
	})
	t.Run("saved table", func(t *testing.T) {
		fixture.RoundTrip(t, "saved-v1.cbor", fixture.Filled[savedTable](1), cbor.Marshal, cborDecoding.Unmarshal)
	})
	t.Run("frame", func(t *testing.T) {
		fixture.RoundTrip(t, "frame-v1.cbor", fixture.Filled[frame](1), cbor.Marshal, cborDecoding.Unmarshal)
	})
}

// sameContent asserts that two contents have equal items and digests. Their pages in memory may differ: an empty page may be nil or not.
func sameContent(t *testing.T, want, got *Content) {
	t.Helper()
	require.NotNil(t, want)
	require.NotNil(t, got)
	assert.Equal(t, slices.Collect(want.All), slices.Collect(got.All))
	assert.Equal(t, want.Digest(), got.Digest())
	assert.Equal(t, want.Bytes(), got.Bytes())
}

// tableOfFixtures returns a table whose snapshot has every field.
func tableOfFixtures(t *testing.T) *Table {
	t.Helper()
	table := NewTable()
	value := func(n int) []byte { return fmt.Appendf(nil, `{"quota_rps":%d}`, n) }
	for k, c := range []Command{
		{Kind: CommandPut, Caller: "caller-1", Seq: 1, WallTime: 101, Changes: []Item{{Operations, "resize", value(1)}, {Tenants, "green", value(2)}, {Limits, "wide", value(3)}}},
		{Kind: CommandAdvance, Version: 1, CanaryTime: canaryDuration},
		{Kind: CommandPut, Caller: "caller-1", Seq: 2, Base: 1, WallTime: 102, Changes: []Item{{Operations, "resize", value(4)}, {Tenants, "green", nil}}},
		{Kind: CommandAdvance, Version: 2, CanaryTime: canaryDuration},
		{Kind: CommandRollback, Caller: "caller-2", Seq: 3, Version: 1, WallTime: 103},
		{Kind: CommandPut, Caller: "caller-1", Seq: 4, Base: 3, WallTime: 104, Changes: []Item{{Operations, "crop", value(5)}}},
		{Kind: CommandPut, Caller: "caller-1", Seq: 5, Base: 4, WallTime: 105, Changes: []Item{{Operations, "turn", value(6)}}},
		{Kind: CommandStop, Version: 4, StoppedBy: "node-7", StopReason: "it has no room"},
		{Kind: CommandPut, Caller: "caller-3", Seq: 6, Base: 4, WallTime: 106, Changes: []Item{{Tenants, "late", value(7)}}}, // refused: its base is not the newest version
		{Kind: CommandPut, Caller: "caller-4", Seq: 7, Base: 5, WallTime: 107, MorePieces: true, Changes: []Item{{Tenants, "long", value(8)}}},
	} {
		v := table.Apply(int64(k+1)*1_000*ms, &c)
		require.Equal(t, c.Caller != "caller-3", v.Done, "command %d: %s", k, v.Refused)
	}
	return table
}

// Pins the encoding of a table in a snapshot.
func TestFixtureOfTable(t *testing.T) {
	want := tableOfFixtures(t)
	text, err := want.Snapshot()
	require.NoError(t, err)
	fixture := fixture.Equal(t, "table-v1.cbor", text)
	var s savedTable
	require.NoError(t, cborDecoding.Unmarshal(fixture, &s))
	for k, v := 0, reflect.ValueOf(s); k < v.NumField(); k++ {
		assert.False(t, v.Field(k).IsZero(), "field %d of the snapshot is set", k)
	}
	got, err := Restore(fixture)
	require.NoError(t, err)
	assert.Equal(t, want.head, got.head)
	assert.Equal(t, want.canarySince, got.canarySince)
	assert.Equal(t, want.rollbackVersions, got.rollbackVersions)
	assert.Equal(t, want.lastVerdicts, got.lastVerdicts)
	sameContent(t, want.newest, got.newest)
	sameContent(t, want.all, got.all)
	sameContent(t, want.canary, got.canary)
	assert.Equal(t, want.log, got.log)
	sameContent(t, want.draft.content, got.draft.content)
	draftWithout, gotWithout := want.draft, got.draft
	draftWithout.content, gotWithout.content = nil, nil
	assert.Equal(t, draftWithout, gotWithout)
	again, err := got.Snapshot()
	require.NoError(t, err)
	assert.Equal(t, fixture, again)
}

// Pins the encoding of the file in which a node stores its configuration.
func TestFixtureOfNodeFile(t *testing.T) {
	table := tableOfFixtures(t)
	log := table.Records()
	inForce := table.Head().All
	all, _, newest := table.Contents()
	var text []byte
	for some := range Encode(inForce, all) {
		text = append(text, some...)
	}
	for _, r := range log {
		if r.Version > inForce.Version {
			text = AppendRecord(text, r)
		}
	}
	fixture := fixture.Equal(t, "node-v1.bin", text)
	var l DiskLoader
	_, err := l.Write(fixture)
	require.NoError(t, err)
	got, err := l.Start()
	require.NoError(t, err)
	assert.Equal(t, Revision{table.Head().Newest, newest.Digest()}, got.ContentRevision)
	sameContent(t, newest, got.Content)
	assert.Positive(t, got.Journal)
}
