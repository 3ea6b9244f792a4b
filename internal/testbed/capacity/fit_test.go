package capacity

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestLineWithItsError(t *testing.T) {
	f, err := Line([]float64{1, 2, 3, 4}, []float64{3.1, 4.9, 7.1, 8.9}) // 1 + 2x, off by 0.1 to either side
	require.NoError(t, err)
	assert.InDelta(t, 1.1, f.Base, 1e-9)
	assert.InDelta(t, 1.96, f.Slope, 1e-9)
	assert.InDelta(t, math.Sqrt(0.032/2/5), f.Error, 1e-9)
	assert.InDelta(t, math.Sqrt(0.032/4), f.Residual, 1e-9)
	assert.False(t, f.Far(16))
	assert.True(t, f.Far(17))
	assert.False(t, f.Flat())

	f, err = Line([]float64{1, 2, 3, 4}, []float64{5, 5.2, 4.9, 5.1})
	require.NoError(t, err)
	assert.True(t, f.Flat())
}

func TestLineOfTooLittleIsRefused(t *testing.T) {
	_, err := Line([]float64{1, 2}, []float64{1, 2})
	assert.Error(t, err)
	_, err = Line([]float64{2, 2, 2}, []float64{1, 2, 3})
	assert.Error(t, err)
}

func TestReachOfABudget(t *testing.T) {
	f := Fit{Base: 18, Slope: 0.02, Error: 0.002, Played: 1_000}
	size, low, high := f.Reach(32, false)
	assert.InDelta(t, 700, size, 1e-9)
	assert.InDelta(t, 14/0.022, low, 1e-9)
	assert.InDelta(t, 14/0.018, high, 1e-9)
	size, _, _ = f.Reach(32, true)
	assert.InDelta(t, 1_600, size, 1e-9)
	size, _, _ = f.Reach(10, false)
	assert.Zero(t, size, "what is past its budget with none reaches none")
	f.Slope = -1
	size, _, _ = f.Reach(32, false)
	assert.True(t, math.IsInf(size, 1))
}

func TestGrowthTellsFlatLinearAndSquare(t *testing.T) {
	x := []float64{100, 200, 400}
	assert.InDelta(t, 0, Growth(x, []float64{7, 7, 7}), 1e-9)
	assert.InDelta(t, 1, Growth(x, []float64{1, 2, 4}), 1e-9)
	assert.InDelta(t, 2, Growth(x, []float64{1, 4, 16}), 1e-9)
}
