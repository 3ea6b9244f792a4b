package degradation

import (
	"math"
	"math/rand"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"topazpost/internal/admission"
)

func TestLevelIsHeldOverARecordedGap(t *testing.T) {
	controller := newController()
	periodic := func(at int64) *admission.LoadMetrics { // the level is needed for 20 s of each 60 s
		if at%(60*second) < 20*second {
			return metricsOfLoad(1.2)
		}
		return metricsOfLoad(0.5)
	}
	changes, at := stepEvery50ms(controller, 0, 600*second, periodic)
	assert.Len(t, changes, 3, "entered, left, and entered to stay")
	assert.Equal(t, second/2, at[0])
	assert.InDelta(t, 60.5, float64(at[2])/1e9, 0.2)
	assert.Greater(t, controller.HoldTime(600*second), 25*second)
}

func TestHoldTimeDecaysWithinItsBounds(t *testing.T) {
	controller := newController()
	controller.level = 1
	controller.states[0].gap, controller.states[0].gapRecordedAt = float64(500*second), 0
	assert.Equal(t, 120*second, controller.HoldTime(0))
	assert.InDelta(t, 1.25*500/16, float64(controller.HoldTime(3600*second))/1e9, 0.1) // four half-lives
	assert.Equal(t, 10*second, controller.HoldTime(36_000*second))
}

// A periodic load must not make the level change back and forth: there may be at most one change per period, for periods from 5 to 120 s
// and with noise on the load.
func TestPeriodicLoadChangesTheLevelAtMostOncePerPeriod(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		period := rapid.Int64Range(5, 120).Draw(t, "period") * second
		low, high := rapid.Float64Range(0.4, 0.8).Draw(t, "low"), rapid.Float64Range(1.1, 1.6).Draw(t, "high")
		noise := rapid.Float64Range(0, 0.04).Draw(t, "noise")
		random := rand.New(rand.NewSource(rapid.Int64().Draw(t, "seed")))
		controller := NewController(plan(func(p *Plan) { p.Levels = p.Levels[1:2] }), 0, random)
		changes, _ := stepEvery50ms(controller, 0, 600*second, func(at int64) *admission.LoadMetrics {
			load := (low+high)/2 + (high-low)/2*math.Sin(2*math.Pi*float64(at)/float64(period))
			return metricsOfLoad(load * (1 + noise*random.NormFloat64()))
		})
		assert.LessOrEqual(t, len(changes), int(600*second/period))
	})
}
