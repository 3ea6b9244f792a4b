package emulator

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"topazpost/internal/admission"
	"topazpost/internal/degradation"
	"topazpost/internal/node"
	"topazpost/internal/testbed/baselines"
)

// day is a small fleet under a constant load.
func day(load float64, change ...func(*Day)) *Day {
	d := &Day{Seed: 7, Nodes: 3, Length: 8 * second, Reading: 0.25, Slots: 2, Subjects: 100,
		Models: []Model{{Cores: 4, Speed: 1, ColdFrom: 0.25, WarmAfter: 4 * second, CrowdFrom: 3, Crowding: 0.1, By: 6}},
		Operations: []Operation{
			{Name: "catalogue", Share: 0.8, Work: 28e6, Call: 5e6, Calls: 1, Objective: 170 * ms, Timeout: 430 * ms, Value: 1,
				Reduced: "plain", ReducedWork: 0.5, Reduce: 0.8},
			{Name: "hold", Share: 0.2, Work: 17e6, Objective: 100 * ms, Timeout: 260 * ms, Value: 5}},
		Dispatchers: []Dispatcher{{Tries: 3, Backoff: 5 * ms, Heeds: true}, {Tries: 1}, {Tries: 2, Heeds: true, BySubject: true}},
		Load:        func(int64) float64 { return load }}
	for _, c := range change {
		c(d)
	}
	return d
}

func reduces(d *Day) {
	p := &node.DegradationPlan{Forms: [][]string{{"plain", ""}}}
	enter, exit := degradation.Condition{Limits: degradation.NoLimits(), Duration: second / 2}, degradation.Condition{Limits: degradation.NoLimits()}
	enter.Limits[degradation.Load], exit.Limits[degradation.Load] = 1, 0.8
	p.MaxHold, p.IdleCondition = 1, exit
	p.Levels = []degradation.Level{{Name: "less", Enter: []degradation.Condition{enter}, Exit: exit,
		Services: []admission.Service{{Form: admission.Reduced, WorkShare: 0.5, WeightShare: 0.8}, {}}}}
	d.Plan = p
}

func play(t *testing.T, d *Day) *Outcome {
	o, err := Play(d)
	require.NoError(t, err)
	return o
}

func TestSameSeedGivesTheSameDay(t *testing.T) {
	strike := func(d *Day) {
		d.Faults = []Fault{{Kind: "kill", At: 2 * second, For: second, Part: 0.3}, {Kind: "slow", At: 4 * second, For: second,
			Part: 0.3, By: 5}}
	}
	first, second := play(t, day(1.2, reduces, strike)), play(t, day(1.2, reduces, strike))
	assert.Equal(t, first.Seconds, second.Seconds)
	assert.Equal(t, first.Turns, second.Turns)
	other := play(t, day(1.2, reduces, strike, func(d *Day) { d.Seed = 8 }))
	assert.NotEqual(t, first.Value, other.Value)
}

func TestEveryInvocationEndsOnce(t *testing.T) {
	for _, load := range []float64{0.5, 1.5} {
		o := play(t, day(load, reduces))
		assert.Empty(t, o.Breach())
		for _, op := range o.Operations {
			assert.Positive(t, op.Asked)
			assert.Equal(t, op.Asked, op.Whole+op.Reduced+op.Throttled+op.Errored+op.Unanswered)
		}
	}
}

func TestLadderReducesUnderOverloadAndNotWithoutIt(t *testing.T) {
	calm, busy := play(t, day(0.4, reduces)), play(t, day(1.6, reduces))
	assert.Empty(t, calm.Turns)
	assert.Zero(t, calm.Operations[0].Reduced)
	assert.NotEmpty(t, busy.Turns)
	assert.Positive(t, busy.Operations[0].Reduced)
	assert.Zero(t, busy.Operations[1].Reduced)
	assert.Greater(t, busy.Value, play(t, day(1.6)).Value)
}

func TestReleaseKillPauseAndSlowLedgerBreakNoRule(t *testing.T) {
	o := play(t, day(1, reduces, func(d *Day) {
		d.Length = 20 * second
		d.Faults = []Fault{{Kind: "release", At: 2 * second, For: 4 * second, Part: 0.7}, {Kind: "pause", At: 10 * second,
			For: second / 10, Part: 1}, {Kind: "ledger", At: 12 * second, For: 4 * second, By: 20},
			{Kind: "adopt", At: 5 * second, Part: 1}}
	}))
	assert.Empty(t, o.Breach())
	assert.Len(t, o.Troubles, 4)
}

// The laboratory has to see what breaks a rule, or its silence says nothing.
func TestBrokenRulesAreSeen(t *testing.T) {
	never := play(t, day(0.3, func(d *Day) {
		d.Make = func(*admission.Config, int64) node.Decider { return mute{} }
	}))
	assert.Positive(t, never.Breaches["an invocation that was read had no answer in time"])
	crowd := play(t, day(2, func(d *Day) { d.Make, d.Models[0].By = baselines.Pool, 1 }))
	assert.Positive(t, crowd.Breaches["a node fell over by the crowd on its cores"])
}

// mute never answers.
type mute struct{}

func (mute) Decide(int64, []admission.Event) []admission.Action { return nil }
func (mute) State() admission.ControllerState                   { return admission.ControllerState{} }
func (mute) MeasureLoad(*admission.LoadMetrics)                 {}
