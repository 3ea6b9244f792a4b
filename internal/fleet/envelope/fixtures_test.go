package envelope

import (
	"flag"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var update = flag.Bool("update", false, "write the fixtures of testdata anew from what this build encodes")

// A message is encoded to the bytes of a fixture, and decoded to its body; the hash of its fleet is part of them.
func TestFixtureOfAMessage(t *testing.T) {
	type body struct {
		Number int64    `cbor:"1,keyasint"`
		Text   string   `cbor:"2,keyasint"`
		Bytes  []byte   `cbor:"3,keyasint"`
		List   []uint64 `cbor:"24,keyasint"`
	}
	for name, fleet := range map[string]string{"letter-v1.bin": "mobilier", "letter-of-no-name-v1.bin": ""} {
		t.Run(name, func(t *testing.T) {
			want := body{-7, "text", []byte{1, 2, 3}, []uint64{1, 1 << 40}}
			text, err := Seal(nil, FleetOf(fleet), want)
			require.NoError(t, err)
			path := filepath.Join("testdata", name)
			if *update {
				require.NoError(t, os.MkdirAll("testdata", 0o777))
				require.NoError(t, os.WriteFile(path, text, 0o666))
			}
			fixture, err := os.ReadFile(path)
			require.NoError(t, err)
			assert.Equal(t, fixture, text, "the encoding isn't what it was")
			var got body
			require.NoError(t, Open(fixture, FleetOf(fleet), &got))
			assert.Equal(t, want, got)
			got = body{}
			require.NoError(t, Body(fixture[Head:], &got))
			assert.Equal(t, want, got)
		})
	}
}
