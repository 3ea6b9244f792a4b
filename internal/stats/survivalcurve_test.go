package stats

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestSurvivalCurveFindsTheTimeAtAGivenSurvival(t *testing.T) {
	curve := NewSurvivalCurve(20, 100)
	for i := range 60 {
		curve.Add(0.36, i%2 == 0)
		curve.Add(0.1, false)
	}
	assert.InDelta(t, 0.35, curve.TimeAtSurvival(0.6), 1e-9)
	assert.Equal(t, 1.0, curve.TimeAtSurvival(0.3))
}
