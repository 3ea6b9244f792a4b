package degradation

import (
	"math"
	"math/rand"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"topazpost/internal/admission"
)

func TestGapBetweenTwoNeedsIsBridgedTheNextTime(t *testing.T) {
	l := newController()
	swing := func(at int64) *admission.LoadMetrics { // 20 s of need in 60 s
		if at%(60*second) < 20*second {
			return demand(1.2)
		}
		return demand(0.5)
	}
	changes, at := run(l, 0, 600*second, swing)
	assert.Len(t, changes, 3, "in, out, and in for good")
	assert.Equal(t, second/2, at[0])
	assert.InDelta(t, 60.5, float64(at[2])/1e9, 0.2)
	assert.Greater(t, l.HoldTime(600*second), 25*second)
}

func TestLearntGapDecaysAndIsBounded(t *testing.T) {
	l := newController()
	l.level = 1
	l.states[0].gap, l.states[0].gapLearntAt = float64(500*second), 0
	assert.Equal(t, 120*second, l.HoldTime(0))
	assert.InDelta(t, 1.25*500/16, float64(l.HoldTime(3600*second))/1e9, 0.1)
	assert.Equal(t, 10*second, l.HoldTime(36_000*second))
}

// A swing of any period, with noise, may change the level once a swing at the most, and never ends above it.
func TestSwingChangesTheLevelOnceAPeriodAtTheMost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		period := rapid.Int64Range(5, 120).Draw(t, "period") * second
		low, high := rapid.Float64Range(0.4, 0.8).Draw(t, "low"), rapid.Float64Range(1.1, 1.6).Draw(t, "high")
		noise := rapid.Float64Range(0, 0.04).Draw(t, "noise")
		random := rand.New(rand.NewSource(rapid.Int64().Draw(t, "seed")))
		l := NewController(plan(func(p *Plan) { p.Levels = p.Levels[1:2] }), 0, random)
		changes, _ := run(l, 0, 600*second, func(at int64) *admission.LoadMetrics {
			load := (low+high)/2 + (high-low)/2*math.Sin(2*math.Pi*float64(at)/float64(period))
			return demand(load * (1 + noise*random.NormFloat64()))
		})
		assert.LessOrEqual(t, len(changes), int(600*second/period))
	})
}
