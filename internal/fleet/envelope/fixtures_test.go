package envelope

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"topazpost/internal/fixture"
)

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
			text, err := Seal(nil, FleetIDOf(fleet), want)
			require.NoError(t, err)
			content := fixture.Equal(t, name, text)
			var got body
			require.NoError(t, Open(content, FleetIDOf(fleet), &got))
			assert.Equal(t, want, got)
			got = body{}
			require.NoError(t, DecodeBody(content[HeaderBytes:], &got))
			assert.Equal(t, want, got)
		})
	}
}
