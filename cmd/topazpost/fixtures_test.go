package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"
	"reflect"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"topazpost/internal/fleet/claims"
	"topazpost/internal/fleet/consensus"
	"topazpost/internal/fleet/membership"
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

// What commands print as JSON, which scripts read.
func TestFixturesOfWhatCommandsPrint(t *testing.T) {
	t.Run("claims", func(t *testing.T) {
		p := &consensus.Summary{Time: -7e6}
		for k := range claims.StateNames {
			e := fullValue[claims.Entry](uint32(k))
			e.State = claims.State(k)
			p.Claims = append(p.Claims, &e)
		}
		sameBothWays(t, "claims-v1.json", shown(p), json.Marshal, json.Unmarshal)
	})
	t.Run("outcome", func(t *testing.T) {
		sameBothWays(t, "outcome-v1.json", fullValue[outcome](1), json.Marshal, json.Unmarshal)
	})
	t.Run("standing", func(t *testing.T) {
		sameBothWays(t, "standing-v1.json", fullValue[standing](1), json.Marshal, json.Unmarshal)
	})
	t.Run("refusal", func(t *testing.T) {
		sameBothWays(t, "refusal-v1.json", fullValue[refusal](1), json.Marshal, json.Unmarshal)
	})
	t.Run("names of statuses and ways", func(t *testing.T) {
		sameBothWays(t, "statuses-v1.json", membership.StatusNames, json.Marshal, json.Unmarshal)
		sameBothWays(t, "ways-v1.json", membership.ReachNames, json.Marshal, json.Unmarshal)
	})
}
