package degradation

import (
	"math/rand"
	"testing"

	"github.com/stretchr/testify/assert"

	"topazpost/internal/admission"
)

func TestControllerEntersTheNeededLevelInOneStep(t *testing.T) {
	for load, level := range map[float64]int{0.9: 0, 1.2: 1, 1.6: 2, 2.2: 3, 9: 3} {
		controller := newController()
		changes, at := stepEvery50ms(controller, 0, 3*second, steady(metricsOfLoad(load)))
		assert.Equal(t, level, controller.Level(), "load %g", load)
		if level > 0 {
			assert.Len(t, changes, 1)
			assert.Equal(t, second/2, at[0])
			assert.Equal(t, Change{From: 0, To: level, Signal: Load, Value: changes[0].Value, Limit: 1, ConditionDuration: second / 2,
				PreviousLevelDuration: second / 2, HoldTime: 10 * second}, changes[0])
			assert.Greater(t, changes[0].Value, 1.0)
		}
	}
}

// A level must not end because its own effect lowers the load. The exit condition compares the load at the previous level.
func TestLevelStaysWhileLoadAtFullServiceExceedsTheCores(t *testing.T) {
	controller := newController()
	_, at := stepEvery50ms(controller, 0, 600*second, steady(metricsOfLoad(1.1)))
	assert.Len(t, at, 1)
	assert.Equal(t, 1, controller.Level())
	assert.Less(t, controller.LoadByLevel()[1], 0.85) // the load at the level must be below the exit limit
}

func TestControllerReturnsOneLevelAtATime(t *testing.T) {
	controller := newController()
	stepEvery50ms(controller, 0, 2*second, steady(metricsOfLoad(3)))
	changes, _ := stepEvery50ms(controller, 2*second, 60*second, steady(metricsOfLoad(0.5)))
	var to []int
	for _, c := range changes {
		assert.Equal(t, Recovered, c.Cause)
		to = append(to, c.To)
	}
	assert.Equal(t, []int{2, 1, 0}, to)
}

func TestIdleNodeReturnsToFullServiceBeforeTheHoldTimeIsOver(t *testing.T) {
	controller := newController(func(p *Plan) { p.MinHold = 100 * second })
	stepEvery50ms(controller, 0, 2*second, steady(metricsOfLoad(3)))
	changes, at := stepEvery50ms(controller, 2*second, 10*second, steady(metricsOfLoad(0.1)))
	assert.Len(t, changes, 1)
	assert.Equal(t, WentIdle, changes[0].Cause)
	assert.Equal(t, 3*second, at[0])
	assert.Equal(t, 0, controller.Level())
}

// Pressure that no level relieves, such as that of a slow dependency, must not drive the node to its most restrictive level.
func TestIneffectiveLevelIsLeftAndRetriedAfterGrowingDelays(t *testing.T) {
	controller := newController(func(p *Plan) {
		for k := range p.Levels {
			p.Levels[k].Enter = append(p.Levels[k].Enter, condition(CallWait, 0.2, second))
		}
	})
	slow := metricsOfLoad(0.5)
	slow.CallWait = 0.6
	changes, at := stepEvery50ms(controller, 0, 120*second, steady(slow))
	for _, c := range changes {
		assert.LessOrEqual(t, c.To, 1)
	}
	assert.Equal(t, []Cause{Entered, Ineffective, Entered, Ineffective, Entered, Ineffective},
		[]Cause{changes[0].Cause, changes[1].Cause, changes[2].Cause, changes[3].Cause, changes[4].Cause, changes[5].Cause})
	assert.Equal(t, 3*second, at[1]-at[0])
	assert.Greater(t, at[4]-at[3], 3*(at[2]-at[1])/2) // the second retry must come after a longer delay than the first
}

// A level that passed its trial must not be left while its signal is still above the enter limit.
func TestEffectiveLevelStays(t *testing.T) {
	controller := newController(func(p *Plan) { p.Levels[0].Enter = append(p.Levels[0].Enter, condition(CallWait, 0.2, second)) })
	changes, _ := stepEvery50ms(controller, 0, 60*second, func(int64) *admission.LoadMetrics {
		m := metricsOfLoad(0.9)
		m.CallWait = 0.6
		if controller.Level() > 0 {
			m.CallWait = 0.3
		}
		return m
	})
	assert.Len(t, changes, 1)
}

func TestReplacedPlanStartsAtNoMoreRestrictiveLevel(t *testing.T) {
	random := rand.New(rand.NewSource(1))
	controller := newController()
	stepEvery50ms(controller, 0, 2*second, steady(metricsOfLoad(1.6)))
	assert.Equal(t, 2, controller.Level())
	milder := plan(func(p *Plan) { p.Levels = p.Levels[:1] })
	next, c := controller.ReplacePlan(milder, 3*second, random)
	assert.Equal(t, 1, next.Level())
	assert.Equal(t, PlanReplaced, c.Cause)
	stricter := plan(func(p *Plan) { p.Levels = p.Levels[2:] })
	next, _ = controller.ReplacePlan(stricter, 3*second, random)
	assert.Equal(t, 0, next.Level(), "the only level of the plan is more restrictive than the present one")
}

// Nodes of a fleet must not leave a level at the same tick.
func TestJitterSpreadsHoldTimesOfNodes(t *testing.T) {
	seen := map[int64]bool{}
	for seed := range int64(50) {
		controller := NewController(plan(func(p *Plan) { p.Jitter = 0.4 }), 0, rand.New(rand.NewSource(seed)))
		stepEvery50ms(controller, 0, 2*second, steady(metricsOfLoad(1.2)))
		_, at := stepEvery50ms(controller, 2*second, 40*second, steady(metricsOfLoad(0.5)))
		seen[at[0]/(second/20)] = true
	}
	assert.Greater(t, len(seen), 20) // ticks at which 50 nodes leave the level
}

func TestStepAllocatesNothing(t *testing.T) {
	controller, m, now := newController(), metricsOfLoad(1.2), int64(0)
	assert.Zero(t, testing.AllocsPerRun(1000, func() {
		now += second / 20
		controller.Step(now, m)
	}))
}

func BenchmarkStep(b *testing.B) {
	controller, m := newController(), metricsOfLoad(1.1)
	b.ReportAllocs()
	for i := range b.N {
		controller.Step(int64(i)*second/20, m)
	}
}
