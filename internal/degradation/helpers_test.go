package degradation

import (
	"math/rand"

	"topazpost/internal/admission"
)

const second = int64(1_000_000_000)

// condition returns a condition that limits one signal.
func condition(signal Signal, limit float64, ns int64) Condition {
	c := Condition{Limits: NoLimits(), Duration: ns}
	c.Limits[signal] = limit
	return c
}

// plan returns a plan of three levels for the three operations of metricsOfLoad. Level a halves the work of the first operation, level b sheds
// it, and level c sheds the second operation too.
func plan(change ...func(*Plan)) *Plan {
	complete, shed := admission.Service{}, admission.Service{Form: admission.Shed}
	p := &Plan{MinHold: 10 * second, MaxHold: 120 * second, HoldGapFactor: 1.25, GapHalfLife: 900 * second, TrialPeriod: 3 * second,
		IdleCondition: condition(Load, 0.3, second)}
	for _, s := range [][]admission.Service{{{Form: admission.Reduced, WorkShare: 0.5, WeightShare: 0.8}, complete, complete},
		{shed, complete, complete}, {shed, shed, complete}} {
		p.Levels = append(p.Levels, Level{Name: string(rune('a' + len(p.Levels))), Services: s,
			Enter: []Condition{condition(Load, 1, second/2)}, Exit: condition(Load, 0.85, 5*second)})
	}
	for _, c := range change {
		c(p)
	}
	return p
}

func newController(change ...func(*Plan)) *Controller {
	return NewController(plan(change...), 0, rand.New(rand.NewSource(1)))
}

// metricsOfLoad returns the metrics of a load, to which the three operations contribute 50, 40 and 10 %.
func metricsOfLoad(load float64) *admission.LoadMetrics {
	return &admission.LoadMetrics{DemandByOperation: []float64{0.5 * load, 0.4 * load, 0.1 * load}}
}

// stepEvery50ms steps the controller each 50 ms and returns the changes of level with their times.
func stepEvery50ms(c *Controller, from, to int64, metrics func(at int64) *admission.LoadMetrics) (changes []Change, at []int64) {
	for now := from; now < to; now += second / 20 {
		if change, changed := c.Step(now, metrics(now)); changed {
			changes = append(changes, change)
			at = append(at, now)
		}
	}
	return changes, at
}

func steady(m *admission.LoadMetrics) func(int64) *admission.LoadMetrics {
	return func(int64) *admission.LoadMetrics { return m }
}
