package stats

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestRatioHistogramDecays(t *testing.T) {
	r := NewRatioHistogram(28, 2, 8)
	for range 9 {
		r.Add(2)
	}
	assert.InDelta(t, (1+4.5*2)/5.5, r.Mean(1), 1e-9)
}

func TestSurvivalCurveFindsWhenMostHaveLeft(t *testing.T) {
	s := NewSurvivalCurve(20, 100)
	for i := range 60 {
		s.Add(0.36, i%2 == 0)
		s.Add(0.1, false)
	}
	assert.InDelta(t, 0.35, s.TimeAtSurvival(0.6), 1e-9)
	assert.Equal(t, 1.0, s.TimeAtSurvival(0.3))
}

func TestSlidingSumDropsOldSlices(t *testing.T) {
	w := NewSlidingSum(100, 10)
	w.Add(1_000, 3)
	w.Add(1_099, 4)
	assert.Equal(t, 7.0, w.Sum())
	w.Add(1_110, 0)
	assert.Equal(t, 4.0, w.Sum())
	w.Add(9_000, 1)
	assert.Equal(t, 1.0, w.Sum())
}

func TestDecayingCounterDropsKeysBelowTheMinimum(t *testing.T) {
	var r DecayingCounter
	assert.Zero(t, r.Count(4))
	r.Add(4)
	r.Add(5)
	r.Add(5)
	r.Add(6)
	assert.Equal(t, 2.0, r.Count(5))
	r.Decay(0.5, 0.7)
	assert.Equal(t, []float64{0.5, 1, 0.5}, []float64{r.Count(4), r.Count(5), r.Count(6)})
	r.Decay(0.5, 0.7)
	assert.Equal(t, []float64{0.5}, r.Counts())
	assert.Equal(t, 0.5, r.Count(5))
	r.Add(6)
	r.Remove(5)
	assert.Equal(t, []float64{1}, r.Counts())
	r.Decay(0.5, 2)
	assert.Empty(t, r.Counts())
}
