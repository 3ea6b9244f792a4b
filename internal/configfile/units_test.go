package configfile

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestUnmarshalRequiresUnits(t *testing.T) {
	var times struct{ A, B, C Time }
	require.NoError(t, json.Unmarshal([]byte(`{"A": "250 ms", "B": "1.5s", "C": "2 min"}`), &times))
	assert.Equal(t, []Time{250_000_000, 1_500_000_000, 120_000_000_000}, []Time{times.A, times.B, times.C})
	var p Part
	require.NoError(t, json.Unmarshal([]byte(`"12.5 %"`), &p))
	assert.Equal(t, Part(0.125), p)
	var s Size
	require.NoError(t, json.Unmarshal([]byte(`"64 KiB"`), &s))
	assert.Equal(t, Size(65536), s)
	for _, bad := range []string{`250`, `"250"`, `"ms"`, `"1 fortnight"`, `"-1 s"`, `"1e400 s"`, `""`, `"9e30 h"`, `null2`} {
		assert.Error(t, json.Unmarshal([]byte(bad), &times.A), bad)
	}
}
