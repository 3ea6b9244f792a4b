package degradation

import (
	"fmt"
	"math"
	"math/rand"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"topazpost/internal/admission"
)

func TestLadderClimbsAsManyRungsAtOnceAsTheLoadCallsFor(t *testing.T) {
	for load, level := range map[float64]int{0.9: 0, 1.2: 1, 1.6: 2, 2.2: 3, 9: 3} {
		l := ladder()
		turns, at := follow(l, 0, 3*second, steady(asked(load)))
		assert.Equal(t, level, l.Level(), "load %g", load)
		if level > 0 {
			assert.Len(t, turns, 1)
			assert.Equal(t, second/2, at[0])
			assert.Equal(t, Change{From: 0, To: level, Signal: Load, Value: turns[0].Value, Limit: 1, ConditionTime: second / 2,
				PreviousTime: second / 2, HoldTime: 10 * second}, turns[0])
			assert.Greater(t, turns[0].Value, 1.0)
		}
	}
}

// The relief that a level brings must not end it: the load that counts for leaving is that of the rung below.
func TestLevelStaysWhileItWouldNotFitWithoutIt(t *testing.T) {
	l := ladder()
	_, at := follow(l, 0, 600*second, steady(asked(1.1)))
	assert.Len(t, at, 1)
	assert.Equal(t, 1, l.Level())
	assert.Less(t, l.LoadByLevel()[1], 0.85)
}

func TestLadderComesBackOneRungAtATime(t *testing.T) {
	l := ladder()
	follow(l, 0, 2*second, steady(asked(3)))
	turns, _ := follow(l, 2*second, 60*second, steady(asked(0.5)))
	var to []int
	for _, c := range turns {
		assert.Equal(t, Recovered, c.Cause)
		to = append(to, c.To)
	}
	assert.Equal(t, []int{2, 1, 0}, to)
}

func TestIdleEndsAnyLevelWhateverTheHoldDown(t *testing.T) {
	l := ladder(func(p *Plan) { p.MinHold = 100 * second })
	follow(l, 0, 2*second, steady(asked(3)))
	turns, at := follow(l, 2*second, 10*second, steady(asked(0.1)))
	assert.Len(t, turns, 1)
	assert.Equal(t, WentIdle, turns[0].Cause)
	assert.Equal(t, 3*second, at[0])
	assert.Equal(t, 0, l.Level())
}

func TestGapBetweenTwoNeedsIsBridgedTheNextTime(t *testing.T) {
	l := ladder()
	swing := func(at int64) *admission.LoadMetrics { // 20 s of need in 60 s
		if at%(60*second) < 20*second {
			return asked(1.2)
		}
		return asked(0.5)
	}
	turns, at := follow(l, 0, 600*second, swing)
	assert.Len(t, turns, 3, "in, out, and in for good")
	assert.Equal(t, second/2, at[0])
	assert.InDelta(t, 60.5, float64(at[2])/1e9, 0.2)
	assert.Greater(t, l.HoldTime(600*second), 25*second)
}

func TestWhatWasLearntOfGapsIsForgottenAndBounded(t *testing.T) {
	l := ladder()
	l.level = 1
	l.rungs[0].gap, l.rungs[0].learnt = float64(500*second), 0
	assert.Equal(t, 120*second, l.HoldTime(0))
	assert.InDelta(t, 1.25*500/16, float64(l.HoldTime(3600*second))/1e9, 0.1)
	assert.Equal(t, 10*second, l.HoldTime(36_000*second))
}

// A swing of any period, with noise, may change the level once a swing at the most, and never ends above it.
func TestAnySwingChangesTheLevelOnceASwingAtTheMost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		period := rapid.Int64Range(5, 120).Draw(t, "period") * second
		low, high := rapid.Float64Range(0.4, 0.8).Draw(t, "low"), rapid.Float64Range(1.1, 1.6).Draw(t, "high")
		noise := rapid.Float64Range(0, 0.04).Draw(t, "noise")
		chance := rand.New(rand.NewSource(rapid.Int64().Draw(t, "seed")))
		l := NewController(plan(func(p *Plan) { p.Levels = p.Levels[1:2] }), 0, chance)
		turns, _ := follow(l, 0, 600*second, func(at int64) *admission.LoadMetrics {
			load := (low+high)/2 + (high-low)/2*math.Sin(2*math.Pi*float64(at)/float64(period))
			return asked(load * (1 + noise*chance.NormFloat64()))
		})
		assert.LessOrEqual(t, len(turns), int(600*second/period))
	})
}

// Pressure that no rung relieves, as that of a slow dependency, must not climb the ladder to its end.
func TestRungThatRelievesNothingIsLeftAgainAndBarredForLongerEachTime(t *testing.T) {
	l := ladder(func(p *Plan) {
		for k := range p.Levels {
			p.Levels[k].Enter = append(p.Levels[k].Enter, above(CallWait, 0.2, second))
		}
	})
	slow := asked(0.5)
	slow.CallWait = 0.6
	turns, at := follow(l, 0, 120*second, steady(slow))
	for _, c := range turns {
		assert.LessOrEqual(t, c.To, 1)
	}
	assert.Equal(t, []Cause{Entered, Ineffective, Entered, Ineffective, Entered, Ineffective},
		[]Cause{turns[0].Cause, turns[1].Cause, turns[2].Cause, turns[3].Cause, turns[4].Cause, turns[5].Cause})
	assert.Equal(t, 3*second, at[1]-at[0])
	assert.Greater(t, at[4]-at[3], 3*(at[2]-at[1])/2)
}

func TestRungThatRelievesStays(t *testing.T) {
	l := ladder(func(p *Plan) { p.Levels[0].Enter = append(p.Levels[0].Enter, above(CallWait, 0.2, second)) })
	turns, _ := follow(l, 0, 60*second, func(int64) *admission.LoadMetrics {
		m := asked(0.9)
		m.CallWait = 0.6
		if l.Level() > 0 {
			m.CallWait = 0.3
		}
		return m
	})
	assert.Len(t, turns, 1)
}

func TestOtherPlanStartsAtARungThatRefusesNoMore(t *testing.T) {
	chance := rand.New(rand.NewSource(1))
	l := ladder()
	follow(l, 0, 2*second, steady(asked(1.6)))
	assert.Equal(t, 2, l.Level())
	milder := plan(func(p *Plan) { p.Levels = p.Levels[:1] })
	next, c := l.ReplacePlan(milder, 3*second, chance)
	assert.Equal(t, 1, next.Level())
	assert.Equal(t, PlanReplaced, c.Cause)
	harsher := plan(func(p *Plan) { p.Levels = p.Levels[2:] })
	next, _ = l.ReplacePlan(harsher, 3*second, chance)
	assert.Equal(t, 0, next.Level(), "its only rung takes more away than the present one")
}

func TestNodesDoNotStepAsOne(t *testing.T) {
	seen := map[int64]bool{}
	for seed := range int64(50) {
		l := NewController(plan(func(p *Plan) { p.Jitter = 0.4 }), 0, rand.New(rand.NewSource(seed)))
		follow(l, 0, 2*second, steady(asked(1.2)))
		_, at := follow(l, 2*second, 40*second, steady(asked(0.5)))
		seen[at[0]/(second/20)] = true
	}
	assert.Greater(t, len(seen), 20)
}

func TestStepAllocatesNothing(t *testing.T) {
	l, m, now := ladder(), asked(1.2), int64(0)
	assert.Zero(t, testing.AllocsPerRun(1000, func() {
		now += second / 20
		l.Step(now, m)
	}))
}

func TestCheckNamesWhatIsWrong(t *testing.T) {
	assert.Empty(t, plan().Validate(3))
	for what, change := range map[string]func(*Plan){
		"has no level": func(p *Plan) { p.Levels = nil },
		"speaks of 2 operations where there are 3":               func(p *Plan) { p.Levels[0].Services = p.Levels[0].Services[:2] },
		"takes nothing away":                                     func(p *Plan) { p.Levels[0].Services = make([]admission.Service, 3) },
		"has no condition: the level could never be entered":     func(p *Plan) { p.Levels[1].Enter = nil },
		"names no signal: the level would end as soon as it may": func(p *Plan) { p.Levels[1].Exit.Limits = NoLimits() },
		"120 % is not below the 100 % of enter.0":                func(p *Plan) { p.Levels[0].Exit.Limits[Load] = 1.2 },
		"does the same as levels.0 (a)":                          func(p *Plan) { p.Levels[1].Services = p.Levels[0].Services },
		"takes away less than levels.1 (b)":                      func(p *Plan) { p.Levels[2].Services = p.Levels[0].Services },
		"gives back what levels.1 (b) takes away":                func(p *Plan) { p.Levels[2].Services = []admission.Service{{}, {Form: admission.Shed}, {}} },
		`"full" is the name of full service`:                     func(p *Plan) { p.Levels[0].Name = FullService },
		`"a" is the name of levels.0 too`:                        func(p *Plan) { p.Levels[2].Name = "a" },
		"is shorter than hold":                                   func(p *Plan) { p.MaxHold = second },
	} {
		assert.Contains(t, fmt.Sprint(plan(change).Validate(3)), what)
	}
}

func BenchmarkStep(b *testing.B) {
	l, m := ladder(), asked(1.1)
	b.ReportAllocs()
	for i := range b.N {
		l.Step(int64(i)*second/20, m)
	}
}
