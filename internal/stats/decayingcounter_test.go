package stats

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestDecayingCounterDropsKeysBelowTheMinimum(t *testing.T) {
	var counter DecayingCounter
	assert.Zero(t, counter.Count(4))
	counter.Add(4)
	counter.Add(5)
	counter.Add(5)
	counter.Add(6)
	assert.Equal(t, 2.0, counter.Count(5))
	counter.Decay(0.5, 0.7)
	assert.Equal(t, []float64{0.5, 1, 0.5}, []float64{counter.Count(4), counter.Count(5), counter.Count(6)})
	counter.Decay(0.5, 0.7)
	assert.Equal(t, []float64{0.5}, counter.Counts())
	assert.Equal(t, 0.5, counter.Count(5))
	counter.Add(6)
	counter.Remove(5)
	assert.Equal(t, []float64{1}, counter.Counts())
	counter.Decay(0.5, 2)
	assert.Empty(t, counter.Counts())
}
