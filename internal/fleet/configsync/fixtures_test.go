package configsync

import (
	"encoding/json"
	"flag"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var update = flag.Bool("update", false, "rewrite the fixtures of testdata with what this build encodes")

// sameAsFixture requires that the bytes are those of a file of testdata, and returns the file's.
func sameAsFixture(t *testing.T, name string, encoded []byte) []byte {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		require.NoError(t, os.MkdirAll("testdata", 0o777))
		require.NoError(t, os.WriteFile(path, encoded, 0o666))
	}
	fixture, err := os.ReadFile(path)
	require.NoError(t, err)
	assert.Equal(t, fixture, encoded, "%s: the encoding changed", name)
	return fixture
}

// sameBothWays requires that a value is encoded to the bytes of a fixture, and that those are decoded to the value.
func sameBothWays[T any](t *testing.T, name string, value T, encode func(any) ([]byte, error), decode func([]byte, any) error) {
	t.Helper()
	encoded, err := encode(value)
	require.NoError(t, err)
	var again T
	require.NoError(t, decode(sameAsFixture(t, name, encoded), &again))
	assert.Equal(t, value, again, name)
}

// fullValue is a value with every encoded field set, to what follows from its key in the encoding and not from its name in Go: a
// field that is renamed keeps its value as long as it keeps its key.
func fullValue[T any](seed uint32) (value T) {
	setFull(reflect.ValueOf(&value).Elem(), seed)
	return value
}

func setFull(v reflect.Value, seed uint32) {
	switch v.Kind() {
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		v.SetInt(int64(seed%(1<<min(v.Type().Bits()-1, 31)-1)) + 1)
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(uint64(seed)%(1<<min(v.Type().Bits(), 32)-1) + 1)
	case reflect.Float32, reflect.Float64:
		v.SetFloat(float64(seed) + 0.5)
	case reflect.String:
		v.SetString(fmt.Sprintf("t%010d", seed))
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		setFull(v.Elem(), seed)
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		for k := range 2 {
			setFull(v.Index(k), 31*seed+1_000+uint32(k))
		}
	case reflect.Map:
		v.Set(reflect.MakeMap(v.Type()))
		for k := range uint32(2) {
			key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
			setFull(key, 31*seed+2_000+k)
			setFull(value, 31*seed+3_000+k)
			v.SetMapIndex(key, value)
		}
	case reflect.Struct:
		for k := range v.NumField() {
			if key, encoded := keyOf(v.Type().Field(k)); encoded {
				setFull(v.Field(k), 31*seed+key)
			}
		}
	default:
		panic("no value for " + v.Type().String())
	}
}

// keyOf is what a field is known by in the encoding: a number or a name.
func keyOf(f reflect.StructField) (key uint32, encoded bool) {
	tag := f.Tag.Get("cbor")
	if tag == "" {
		tag = f.Tag.Get("json")
	}
	name, rest, _ := strings.Cut(tag, ",")
	switch {
	case !f.IsExported() && !f.Anonymous || tag == "-":
		return 0, false
	case f.Anonymous && name == "":
		return 0, true
	case strings.Contains(rest, "keyasint"):
		number, err := strconv.ParseUint(name, 10, 32)
		return uint32(number), err == nil
	case name == "":
		name = f.Name
	}
	return crc32.ChecksumIEEE([]byte(name)), true
}

// The encodings of messages, commands, queries and files, one of each kind.
func TestFixturesOfConfiguration(t *testing.T) {
	t.Run("commands", func(t *testing.T) {
		var list []Command
		for _, kind := range []CommandKind{Put, Advance, Stop, Rollback} {
			c := fullValue[Command](uint32(len(list)))
			c.Kind = kind
			list = append(list, c)
		}
		sameBothWays(t, "commands-v1.cbor", list, cbor.Marshal, cborDecoding.Unmarshal)
	})
	t.Run("verdicts", func(t *testing.T) {
		sameBothWays(t, "verdicts-v1.cbor", fullValue[[]Verdict](1), cbor.Marshal, cborDecoding.Unmarshal)
	})
	t.Run("messages", func(t *testing.T) {
		var list []Message
		for _, kind := range []MessageKind{Tell, Report, Vouch, Fetch, Piece} {
			m := fullValue[Message](uint32(len(list)))
			m.Kind = kind
			list = append(list, m)
		}
		sameBothWays(t, "messages-v1.cbor", list, cbor.Marshal, cborDecoding.Unmarshal)
	})
	t.Run("questions", func(t *testing.T) {
		var list []Query
		for k, kind := range []QueryKind{ShowStanding, ReadBlocks, Propose} {
			q := fullValue[Query](uint32(k))
			q.Kind, q.Which = kind, []int{InForce, ForAll, Newest}[k]
			list = append(list, q)
		}
		sameBothWays(t, "questions-v1.cbor", list, cbor.Marshal, cborDecoding.Unmarshal)
	})
	t.Run("answer", func(t *testing.T) {
		sameBothWays(t, "answer-v1.cbor", fullValue[Answer](1), cbor.Marshal, cborDecoding.Unmarshal)
	})
	t.Run("place for people", func(t *testing.T) {
		sameBothWays(t, "place-v1.json", fullValue[Place](1), json.Marshal, json.Unmarshal)
	})
	t.Run("counters for people", func(t *testing.T) {
		sameBothWays(t, "counters-v1.json", fullValue[Counters](1), json.Marshal, json.Unmarshal)
	})
	t.Run("saved", func(t *testing.T) {
		sameBothWays(t, "saved-v1.cbor", fullValue[savedTable](1), cbor.Marshal, cborDecoding.Unmarshal)
	})
	t.Run("frame", func(t *testing.T) {
		sameBothWays(t, "frame-v1.cbor", fullValue[frame](1), cbor.Marshal, cborDecoding.Unmarshal)
	})
}

// sameContent compares items and digests, and not which pages two contents have in memory.
func sameContent(t *testing.T, want, got *Content) {
	t.Helper()
	require.NotNil(t, want)
	require.NotNil(t, got)
	assert.Equal(t, slices.Collect(want.All), slices.Collect(got.All))
	assert.Equal(t, want.Digest(), got.Digest())
	assert.Equal(t, want.Bytes(), got.Bytes())
}

// tableOfFixtures is a table whose snapshot has every field.
func tableOfFixtures(t *testing.T) *Table {
	t.Helper()
	table := NewTable()
	value := func(n int) []byte { return fmt.Appendf(nil, `{"quota_rps":%d}`, n) }
	for k, c := range []Command{
		{Kind: Put, From: "caller-1", Seq: 1, Wall: 101, Changes: []Item{{Operations, "resize", value(1)}, {Tenants, "green", value(2)}, {Limits, "wide", value(3)}}},
		{Kind: Advance, Version: 1, Stood: canaryDuration},
		{Kind: Put, From: "caller-1", Seq: 2, Base: 1, Wall: 102, Changes: []Item{{Operations, "resize", value(4)}, {Tenants, "green", nil}}},
		{Kind: Advance, Version: 2, Stood: canaryDuration},
		{Kind: Rollback, From: "caller-2", Seq: 3, Version: 1, Wall: 103},
		{Kind: Put, From: "caller-1", Seq: 4, Base: 3, Wall: 104, Changes: []Item{{Operations, "crop", value(5)}}},
		{Kind: Put, From: "caller-1", Seq: 5, Base: 4, Wall: 105, Changes: []Item{{Operations, "turn", value(6)}}},
		{Kind: Stop, Version: 4, Who: "node-7", Why: "it has no room"},
		{Kind: Put, From: "caller-3", Seq: 6, Base: 4, Wall: 106, Changes: []Item{{Tenants, "late", value(7)}}}, // refused: made on another version
		{Kind: Put, From: "caller-4", Seq: 7, Base: 5, Wall: 107, More: true, Changes: []Item{{Tenants, "long", value(8)}}},
	} {
		v := table.Apply(int64(k+1)*1_000*ms, &c)
		require.Equal(t, c.From != "caller-3", v.Done, "command %d: %s", k, v.Refused)
	}
	return table
}

// The replicas' table of versions is encoded to the bytes of a fixture, and restored from it.
func TestFixtureOfATableOfVersions(t *testing.T) {
	want := tableOfFixtures(t)
	text, err := want.Snapshot()
	require.NoError(t, err)
	fixture := sameAsFixture(t, "table-v1.cbor", text)
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

// The file of a node is encoded to the bytes of a fixture, and loaded from it.
func TestFixtureOfANodesFile(t *testing.T) {
	table := tableOfFixtures(t)
	log := table.Records()
	mark := table.Head().All
	all, _, newest := table.Contents()
	var text []byte
	for some := range Encode(mark, all) {
		text = append(text, some...)
	}
	for _, r := range log {
		if r.Version > mark.Version {
			text = AppendRecord(text, r)
		}
	}
	fixture := sameAsFixture(t, "node-v1.bin", text)
	var l DiskLoader
	_, err := l.Write(fixture)
	require.NoError(t, err)
	got, err := l.Start()
	require.NoError(t, err)
	assert.Equal(t, Revision{table.Head().Newest, newest.Digest()}, got.Mark)
	sameContent(t, newest, got.Content)
	assert.Positive(t, got.Journal)
}
