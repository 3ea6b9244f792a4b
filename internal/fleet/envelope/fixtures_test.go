package envelope

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"topazpost/internal/fixture"
)

// Guards the wire format: a message, with its fleet's ID, is encoded to the recorded bytes, and these are decoded to the same body.
func TestMessageFixtures(t *testing.T) {
	type body struct {
		Number int64    `cbor:"1,keyasint"`
		Text   string   `cbor:"2,keyasint"`
		Bytes  []byte   `cbor:"3,keyasint"`
		List   []uint64 `cbor:"24,keyasint"`
	}
	for file, fleetName := range map[string]string{"letter-v1.bin": "mobilier", "letter-of-no-name-v1.bin": ""} {
		t.Run(file, func(t *testing.T) {
			want := body{-7, "text", []byte{1, 2, 3}, []uint64{1, 1 << 40}}
			text, err := Seal(nil, FleetIDOf(fleetName), want)
			require.NoError(t, err)
			content := fixture.Equal(t, file, text)
			var got body
			require.NoError(t, Open(content, FleetIDOf(fleetName), &got))
			assert.Equal(t, want, got)
			got = body{}
			require.NoError(t, DecodeBody(content[HeaderBytes:], &got))
			assert.Equal(t, want, got)
		})
	}
}
