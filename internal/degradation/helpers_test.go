package degradation

import (
	"math/rand"

	"topazpost/internal/admission"
)

const second = int64(1_000_000_000)

// above is a condition of entry on one signal.
func above(signal Signal, bound float64, ns int64) Condition {
	c := Condition{Limits: NoLimits(), Duration: ns}
	c.Limits[signal] = bound
	return c
}

// plan has three operations, which ask for 50, 40 and 10 % of the work: the first is halved, then refused, then the
// second is refused too.
func plan(change ...func(*Plan)) *Plan {
	whole, refused := admission.Service{}, admission.Service{Form: admission.Shed}
	p := &Plan{MinHold: 10 * second, MaxHold: 120 * second, HoldGapFactor: 1.25, GapHalfLife: 900 * second, ProofTime: 3 * second,
		IdleCondition: above(Load, 0.3, second)}
	for _, s := range [][]admission.Service{{{Form: admission.Reduced, WorkShare: 0.5, WeightShare: 0.8}, whole, whole},
		{refused, whole, whole}, {refused, refused, whole}} {
		p.Levels = append(p.Levels, Level{Name: string(rune('a' + len(p.Levels))), Services: s,
			Enter: []Condition{above(Load, 1, second/2)}, Exit: above(Load, 0.85, 5*second)})
	}
	for _, c := range change {
		c(p)
	}
	return p
}

func ladder(change ...func(*Plan)) *Controller {
	return NewController(plan(change...), 0, rand.New(rand.NewSource(1)))
}

// asked are measures of a load.
func asked(load float64) *admission.LoadMetrics {
	return &admission.LoadMetrics{DemandByOperation: []float64{0.5 * load, 0.4 * load, 0.1 * load}}
}

// follow steps on every beat and gives the changes.
func follow(l *Controller, from, to int64, of func(at int64) *admission.LoadMetrics) (turns []Change, at []int64) {
	for now := from; now < to; now += second / 20 {
		if c, changed := l.Step(now, of(now)); changed {
			turns, at = append(turns, c), append(at, now)
		}
	}
	return turns, at
}

func steady(m *admission.LoadMetrics) func(int64) *admission.LoadMetrics {
	return func(int64) *admission.LoadMetrics { return m }
}
