package envelope

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestOpenAcceptsOnlyIntactMessagesOfSameFleetAndVersion(t *testing.T) {
	type newer struct {
		A int    `cbor:"1,keyasint"`
		B string `cbor:"2,keyasint"`
	}
	type older struct {
		A int `cbor:"1,keyasint"`
	}
	b, err := Seal(nil, FleetIDOf("x"), newer{7, "more"})
	require.NoError(t, err)
	var o older
	require.NoError(t, Open(b, FleetIDOf("x"), &o), "unknown keys are skipped")
	assert.Equal(t, 7, o.A)
	assert.ErrorIs(t, Open(b, FleetIDOf("y"), &o), ErrFleet)
	for at := range b {
		corrupted := append([]byte(nil), b...)
		corrupted[at] ^= 1
		assert.Error(t, Open(corrupted, FleetIDOf("x"), &o), "byte %d", at)
		assert.Error(t, Open(b[:at], FleetIDOf("x"), &o), "truncated at %d", at)
	}
	b[0]++
	assert.ErrorIs(t, Open(b, FleetIDOf("x"), &o), ErrVersion)
}

// A body that exceeds the limits is rejected before it is decoded into memory, and each kind of bad message has its own error.
func TestInvalidBodyIsRejected(t *testing.T) {
	var list []uint64
	for name, body := range map[string]any{"long array": make([]uint64, maxArrayItems+1), "another type": "text"} {
		message, err := Seal(nil, FleetIDOf("x"), body)
		require.NoError(t, err)
		assert.ErrorIs(t, Open(message, FleetIDOf("x"), &list), ErrBody, name)
	}
	message, err := Seal(nil, FleetIDOf("x"), make([]uint64, maxArrayItems))
	require.NoError(t, err)
	assert.NoError(t, Open(message, FleetIDOf("x"), &list))
	assert.ErrorIs(t, DecodeBody([]byte{0x9f, 0x01, 0xff}, &list), ErrBody, "array of indefinite length")
	assert.ErrorIs(t, Open(message[:HeaderBytes-1], FleetIDOf("x"), &list), ErrShort)
	message[len(message)-1] ^= 1
	assert.ErrorIs(t, Open(message, FleetIDOf("x"), &list), ErrChecksum)
}

func TestSealAppendsToDst(t *testing.T) {
	alone, err := Seal(nil, FleetIDOf("x"), 7)
	require.NoError(t, err)
	appended, err := Seal([]byte("before"), FleetIDOf("x"), 7)
	require.NoError(t, err)
	assert.Equal(t, append([]byte("before"), alone...), appended)
}
