package segmentstore

import (
	"crypto/sha256"
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

var update = flag.Bool("update", false, "write the fixtures of testdata anew from what this build encodes")

// sameAsFixture says that the bytes are those of a file of testdata, and gives the file's.
func sameAsFixture(t *testing.T, name string, encoded []byte) []byte {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		require.NoError(t, os.MkdirAll("testdata", 0o777))
		require.NoError(t, os.WriteFile(path, encoded, 0o666))
	}
	fixture, err := os.ReadFile(path)
	require.NoError(t, err)
	assert.Equal(t, fixture, encoded, "%s: the encoding isn't what it was", name)
	return fixture
}

// sameBothWays says that a value is encoded to the bytes of a fixture, and that those are decoded to the value.
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
			if key, encoded := keyOf(v.Type().Field(k), k); encoded {
				setFull(v.Field(k), 31*seed+key)
			}
		}
	default:
		panic("no value for " + v.Type().String())
	}
}

// keyOf is what a field is known by in the encoding: a number, a name, or in an array its place.
func keyOf(f reflect.StructField, place int) (key uint32, encoded bool) {
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

// A segment of two groups with one record of each kind in each, and a record that no foot acknowledges.
func TestFixtureOfASegment(t *testing.T) {
	const size, number = 1 << 10, 0x0102030405060708
	var want ScanResult
	text := Header(number, size)
	for group := range uint32(3) {
		start := int64(len(text))
		for _, kind := range []Kind{RunStarted, RunEnded} {
			r := fullValue[Record](100*group + uint32(kind))
			r.Kind = kind
			want.Records, want.Offsets = append(want.Records, r), append(want.Offsets, int64(len(text)))
			var err error
			text, err = AppendRecord(text, &r)
			require.NoError(t, err)
		}
		if group < 2 {
			text = Footer(text, start, 2)
		}
	}
	want.Number, want.End = number, int64(len(text))
	require.LessOrEqual(t, len(text), size)
	text = append(text, make([]byte, size-len(text))...)
	fixture := sameAsFixture(t, "segment-v1.bin", text)
	got, err := Scan(fixture)
	require.NoError(t, err)
	assert.Equal(t, &want, got)
	assert.Equal(t, int(kinds), int(RunEnded)+1, "each kind is in the fixture")
	require.NoError(t, cbor.Wellformed(fixture[headBytes+recordHead:][:fixture[headBytes+1]]), "a body is one item of CBOR")
}

// A log of two segments as Write leaves it is found under the same names with the same bytes, and opened to its records.
func TestFixtureOfALog(t *testing.T) {
	bounds := Limits{SegmentBytes: 32 << 10, MaxBytes: 256 << 10}
	files := newDisk(1)
	log, _, _, err := Open(files, bounds)
	require.NoError(t, err)
	var want []Record
	for k := range uint32(2) {
		r := fullValue[Record](k)
		r.Kind = RunStarted
		r.Result = []byte(strings.Repeat(fmt.Sprint(k), 10<<10)) // two of them and their feet take most of a segment
		group := []Record{r, r}
		group[1].Kind = RunEnded
		want = append(want, group...)
		require.NoError(t, log.Write(group, true))
	}
	require.NoError(t, log.Close())
	names, err := files.Names()
	require.NoError(t, err)
	slices.Sort(names)
	require.Len(t, names, 2)
	var listing strings.Builder
	kept := newDisk(1)
	for _, name := range names {
		data, err := files.Read(name)
		require.NoError(t, err)
		fmt.Fprintf(&listing, "%s %d %x\n", name, len(data), sha256.Sum256(data))
		kept.files[name] = &memory{disk: kept, synced: data, live: data}
	}
	sameAsFixture(t, "log-v1.txt", []byte(listing.String()))
	_, records, dropped, err := Open(kept, bounds)
	require.NoError(t, err)
	assert.Empty(t, dropped)
	assert.Equal(t, want, records)
}
