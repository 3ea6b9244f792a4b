package envelope

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestLetterIsReadOnlyWholeByItsFleetAndVersion(t *testing.T) {
	type newer struct {
		A int    `cbor:"1,keyasint"`
		B string `cbor:"2,keyasint"`
	}
	type older struct {
		A int `cbor:"1,keyasint"`
	}
	b, err := Seal(nil, FleetOf("x"), newer{7, "more"})
	require.NoError(t, err)
	var o older
	require.NoError(t, Open(b, FleetOf("x"), &o), "keys that are not known are passed over")
	assert.Equal(t, 7, o.A)
	assert.ErrorIs(t, Open(b, FleetOf("y"), &o), ErrFleet)
	for at := range b {
		spoilt := append([]byte(nil), b...)
		spoilt[at] ^= 1
		assert.Error(t, Open(spoilt, FleetOf("x"), &o), "byte %d", at)
		assert.Error(t, Open(b[:at], FleetOf("x"), &o), "cut at %d", at)
	}
	b[0]++
	assert.ErrorIs(t, Open(b, FleetOf("x"), &o), ErrVersion)
}
