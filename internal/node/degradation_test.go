package node

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"topazpost/internal/admission"
	"topazpost/internal/degradation"
	"topazpost/internal/protocol/frame"
)

// ladderOf reduces the catalogue, then refuses it; its load is above any threshold.
func ladderOf(enter float64) *DegradationPlan {
	p := &DegradationPlan{Forms: [][]string{{"catalogue-plain", ""}, {"", ""}}}
	p.Name, p.MinHold, p.MaxHold, p.IdleCondition = "test", 10_000*ms, 60_000*ms, degradation.Condition{Limits: degradation.NoLimits()}
	p.IdleCondition.Limits[degradation.Load] = -1
	for k, s := range []admission.Service{{Form: admission.Reduced, WorkShare: 0.5, WeightShare: 0.8}, {Form: admission.Shed}} {
		c := degradation.Condition{Limits: degradation.NoLimits()}
		c.Limits[degradation.Load] = enter
		exit := degradation.Condition{Limits: degradation.NoLimits()}
		exit.Limits[degradation.Load] = enter - 1
		p.Levels = append(p.Levels, degradation.Level{Name: []string{"plain", "none"}[k], Services: []admission.Service{s, {}},
			Enter: []degradation.Condition{c}, Exit: exit})
	}
	return p
}

// at is a node at a level of the plan.
func at(t *testing.T, level int) *StateMachine {
	r := up(t)
	step(r, Input{Kind: PlanChanged, Plan: ladderOf(1e9)})
	next := ladderOf(-1)
	next.Levels = next.Levels[:level]
	next.Forms = next.Forms[:level]
	step(r, Input{Kind: PlanChanged, Plan: next})
	r.now = r.timerAt
	step(r)
	require.Equal(t, level, r.degradation.steps.Level())
	return r
}

func TestReducedRunNamesItsFormAndItsAnswerTheLevel(t *testing.T) {
	r := at(t, 1)
	assert.Contains(t, text(step(r, invoke(1)), SendToExecutor), "EXEC "+callID+" catalogue-plain 4")
	effects := told(r, "EXIT 1 "+callID+" good 5 2|ok")
	var p frame.Parser
	p.Wrote(copy(p.Space(), text(effects, SendToConnection)))
	f, _, _ := p.Next()
	fields, body, err := frame.Fields(f.Payload[1:])
	require.NoError(t, err)
	assert.Equal(t, "ok", string(body))
	assert.Contains(t, fields, frame.Field{Name: "level", Value: "plain"})
	assert.Equal(t, 1, r.degradation.current.Reduced)
}

func TestWholeAnswerNamesNoLevel(t *testing.T) {
	r := at(t, 1)
	effects := step(r, invoke(1, "op", "hold"))
	assert.Contains(t, text(effects, SendToExecutor), "EXEC "+callID+" hold 4")
	assert.NotContains(t, text(told(r, "EXIT 1 "+callID+" good 5 2|ok"), SendToConnection), "level")
	assert.Equal(t, 1, r.degradation.current.Whole)
}

func TestRefusedByTheLevelIsCountedApart(t *testing.T) {
	r := at(t, 2)
	assert.Equal(t, []string{"50 on 1"}, answers(t, step(r, invoke(1))))
	assert.Equal(t, ServiceCounts{Level: "none", Levelled: 1}, r.degradation.current)
	all := r.Levels()
	assert.Equal(t, 1, all[2].Levelled)
	assert.Equal(t, 0, r.degradation.totals[2].Levelled, "to look changes nothing")
}

func TestChangeOfLevelIsToldWithItsCause(t *testing.T) {
	r := up(t)
	step(r, Input{Kind: PlanChanged, Plan: ladderOf(-1)})
	r.now = r.timerAt
	var turn *LevelChange
	for _, e := range step(r) {
		if e.Kind == LevelChanged {
			turn = e.LevelChange
		}
	}
	require.NotNil(t, turn)
	assert.Equal(t, "level full to none: entered", turn.String())
	assert.Equal(t, degradation.Load, turn.Signal)
	assert.Equal(t, -1.0, turn.Limit)
}

func TestPlanThatDoesNotFitChangesNothing(t *testing.T) {
	r := at(t, 1)
	bad := ladderOf(1)
	bad.Levels[0].Services = bad.Levels[0].Services[:1]
	before := r.degradation
	step(r, Input{Kind: PlanChanged, Plan: bad})
	assert.Equal(t, before, r.degradation)
}

func TestPlanTakenAwayGivesFullServiceBack(t *testing.T) {
	r := at(t, 2)
	step(r, Input{Kind: PlanChanged})
	assert.Contains(t, text(step(r, invoke(1)), SendToExecutor), "EXEC "+callID+" catalogue 4")
	assert.Nil(t, r.Levels())
}

func TestPlanTakenBeforeTheExecutorIsUpCountsOnceItIs(t *testing.T) {
	r := fresh(t)
	step(r, Input{Kind: PlanChanged, Plan: ladderOf(-1)})
	told(r, "WELCOME old 0")
	told(r, "METERS j1 0.1 1 0.1 3")
	r.now = r.timerAt
	step(r)
	assert.Equal(t, 2, r.degradation.steps.Level())
	assert.Equal(t, []string{"50 on 1"}, answers(t, step(r, invoke(1))))
}

func TestDrainStaysAtItsLevel(t *testing.T) {
	r := at(t, 2)
	step(r, Input{Kind: DrainRequested})
	next := ladderOf(1e9)
	r.degradation.plan, r.degradation.steps = next, degradation.NewController(&next.Plan, r.now, r.degradation.random)
	for range 10 {
		r.now = r.timerAt
		for _, e := range step(r) {
			assert.NotEqual(t, LevelChanged, e.Kind)
		}
	}
}

// A link to the executor that takes long to open must not keep the node awake.
func TestWakeLiesAheadWhileTheExecutorIsDialled(t *testing.T) {
	r := up(t)
	step(r, Input{Kind: ExecutorDisconnected, Link: r.executorLink})
	r.now = r.redialAt
	step(r)
	r.now += 10_000 * ms
	step(r)
	assert.NotZero(t, r.dialingLink)
	assert.Zero(t, r.Invariants.Broken("the next wake lies ahead"))
}

func TestStateIsSampledOnceASecond(t *testing.T) {
	r := up(t)
	step(r, invoke(1))
	samples := 0
	for range 100 {
		r.now = r.timerAt
		for _, e := range r.Step(r.now, r.now, nil) {
			if e.Kind == SampleState {
				samples++
				assert.Equal(t, 1, e.State.OnCores)
				assert.Equal(t, 1, e.State.Connections)
			}
		}
	}
	assert.InDelta(t, 5, samples, 1)
}

func BenchmarkState(b *testing.B) {
	r := up(&testing.T{})
	for k := range 20 {
		step(r, invoke(uint32(k+1), "call", "9b1f03aa5c7e2d"+string(rune('a'+k/16))+"0123456789abcdef"[k%16:k%16+1]))
	}
	b.ReportAllocs()
	for b.Loop() {
		r.snapshotState()
	}
}
