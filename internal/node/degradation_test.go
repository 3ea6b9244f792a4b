package node

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"topazpost/internal/degradation"
	"topazpost/internal/protocol/frame"
)

// nodeAtLevel is a node at a level of the plan.
func nodeAtLevel(t *testing.T, level int) *StateMachine {
	r := up(t)
	step(r, Input{Kind: PlanChanged, Plan: testPlan(1e9)})
	next := testPlan(-1)
	next.Levels = next.Levels[:level]
	next.Forms = next.Forms[:level]
	step(r, Input{Kind: PlanChanged, Plan: next})
	r.now = r.timerAt
	step(r)
	require.Equal(t, level, r.degradation.controller.Level())
	return r
}

func TestReducedRunSendsFormToExecutorAndLevelToCaller(t *testing.T) {
	r := nodeAtLevel(t, 1)
	assert.Contains(t, text(step(r, invoke(1)), SendToExecutor), "EXEC "+callID+" catalogue-plain 4")
	effects := told(r, "EXIT 1 "+callID+" good 5 2|ok")
	var p frame.Parser
	p.Wrote(copy(p.Space(), text(effects, SendToConnection)))
	f, _, _ := p.Next()
	fields, body, err := frame.Fields(f.Payload[1:])
	require.NoError(t, err)
	assert.Equal(t, "ok", string(body))
	assert.Contains(t, fields, frame.Field{Name: "level", Value: "plain"})
	assert.Equal(t, 1, r.degradation.currentCounts.Reduced)
}

func TestFullServiceAnswerNamesNoLevel(t *testing.T) {
	r := nodeAtLevel(t, 1)
	effects := step(r, invoke(1, "op", "hold"))
	assert.Contains(t, text(effects, SendToExecutor), "EXEC "+callID+" hold 4")
	assert.NotContains(t, text(told(r, "EXIT 1 "+callID+" good 5 2|ok"), SendToConnection), "level")
	assert.Equal(t, 1, r.degradation.currentCounts.Full)
}

func TestRejectionsByLevelAreCountedSeparately(t *testing.T) {
	r := nodeAtLevel(t, 2)
	assert.Equal(t, []string{"50 on 1"}, answers(t, step(r, invoke(1))))
	assert.Equal(t, ServiceCounts{Level: "none", ThrottledByLevel: 1}, r.degradation.currentCounts)
	all := r.ServiceCountsByLevel()
	assert.Equal(t, 1, all[2].ThrottledByLevel)
	assert.Equal(t, 0, r.degradation.countsByLevel[2].ThrottledByLevel, "a read changes nothing")
}

func TestLevelChangeIsReportedWithItsCause(t *testing.T) {
	r := up(t)
	step(r, Input{Kind: PlanChanged, Plan: testPlan(-1)})
	r.now = r.timerAt
	var change *LevelChange
	for _, e := range step(r) {
		if e.Kind == LevelChanged {
			change = e.LevelChange
		}
	}
	require.NotNil(t, change)
	assert.Equal(t, "level full to none: entered", change.String())
	assert.Equal(t, degradation.Load, change.Signal)
	assert.Equal(t, -1.0, change.Limit)
}

func TestDrainKeepsItsLevel(t *testing.T) {
	r := nodeAtLevel(t, 2)
	step(r, Input{Kind: DrainRequested})
	next := testPlan(1e9)
	r.degradation.plan, r.degradation.controller = next, degradation.NewController(&next.Plan, r.now, r.degradation.random)
	for range 10 {
		r.now = r.timerAt
		for _, e := range step(r) {
			assert.NotEqual(t, LevelChanged, e.Kind)
		}
	}
}

// A link to the executor that takes long to open must not keep the node awake.
func TestNextWakeupIsInTheFutureWhileDialingExecutor(t *testing.T) {
	r := up(t)
	step(r, Input{Kind: ExecutorDisconnected, Link: r.executor.link})
	r.now = r.executor.redialAt
	step(r)
	r.now += 10_000 * ms
	step(r)
	assert.NotZero(t, r.executor.dialingLink)
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
		r.sampler.snapshot()
	}
}
