package stats

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestRatioHistogramDecays(t *testing.T) {
	histogram := NewRatioHistogram(28, 2, 8)
	for range 9 {
		histogram.Add(2)
	}
	assert.InDelta(t, (1+4.5*2)/5.5, histogram.Mean(1), 1e-9)
}

func TestRatioHistogramCountsRatiosBeyondItsBinsInTheOutermost(t *testing.T) {
	histogram := NewRatioHistogram(28, 2, 8)
	histogram.Add(1e9)
	assert.InDelta(t, (1+math.Exp2(6.5))/2, histogram.Mean(1), 1e-9)
	histogram = NewRatioHistogram(28, 2, 8)
	histogram.Add(0)
	assert.InDelta(t, (1+math.Exp2(-7))/2, histogram.Mean(1), 1e-9)
}
