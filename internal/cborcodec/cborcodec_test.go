package cborcodec

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestSnapshotDecoderRejectsOversizedInput(t *testing.T) {
	const maxElements = 16
	mode := SnapshotDecMode(maxElements)
	encoded, err := cbor.Marshal(make([]int, maxElements))
	require.NoError(t, err)
	var list []int
	require.NoError(t, mode.Unmarshal(encoded, &list))
	assert.Len(t, list, maxElements)
	encoded, err = cbor.Marshal(make([]int, maxElements+1))
	require.NoError(t, err)
	assert.Error(t, mode.Unmarshal(encoded, &list), "too many elements")
	var value any
	assert.Error(t, mode.Unmarshal([]byte{0x9f, 0x01, 0xff}, &value), "an array of indefinite length")
	nested := make([]byte, maxSnapshotLevels+1)
	for i := range nested {
		nested[i] = 0x81 // an array of one element
	}
	assert.Error(t, mode.Unmarshal(append(nested, 0x01), &value), "too many levels")
	assert.NoError(t, mode.Unmarshal(append(nested[1:], 0x01), &value), "as many levels as may be")
}

func TestContradictoryOptionsPanic(t *testing.T) {
	assert.Panics(t, func() { MustDecMode(cbor.DecOptions{MaxNestedLevels: -1}) })
}
