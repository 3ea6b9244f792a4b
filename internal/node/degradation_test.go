package node

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"topazpost/internal/degradation"
	"topazpost/internal/protocol/frame"
)

// nodeAtLevel returns a node at a level of the test plan. The first plan has no reachable level; the second has only the levels up to the
// wanted one, and enters the last at once.
func nodeAtLevel(t *testing.T, level int) *StateMachine {
	sm := newServingNode(t)
	step(sm, Input{Kind: PlanChanged, Plan: testPlan(1e9)})
	next := testPlan(-1)
	next.Levels = next.Levels[:level]
	next.Forms = next.Forms[:level]
	step(sm, Input{Kind: PlanChanged, Plan: next})
	sm.now = sm.timerAt
	step(sm)
	require.Equal(t, level, sm.degradation.controller.Level())
	return sm
}

func TestReducedRunSendsFormToExecutorAndLevelToCaller(t *testing.T) {
	sm := nodeAtLevel(t, 1)
	assert.Contains(t, bytesSent(step(sm, invocationInput(1)), SendToExecutor), "EXEC "+testInvocationID+" catalogue-plain 4")
	effects := executorSends(sm, "EXIT 1 "+testInvocationID+" good 5 2|ok")
	var p frame.Parser
	p.Wrote(copy(p.Space(), bytesSent(effects, SendToConnection)))
	f, _, _ := p.Next()
	fields, body, err := frame.Fields(f.Payload[1:])
	require.NoError(t, err)
	assert.Equal(t, "ok", string(body))
	assert.Contains(t, fields, frame.Field{Name: "level", Value: "plain"})
	assert.Equal(t, 1, sm.degradation.currentCounts.Reduced)
}

func TestFullServiceAnswerNamesNoLevel(t *testing.T) {
	sm := nodeAtLevel(t, 1)
	effects := step(sm, invocationInput(1, "op", "hold"))
	assert.Contains(t, bytesSent(effects, SendToExecutor), "EXEC "+testInvocationID+" hold 4")
	assert.NotContains(t, bytesSent(executorSends(sm, "EXIT 1 "+testInvocationID+" good 5 2|ok"), SendToConnection), "level")
	assert.Equal(t, 1, sm.degradation.currentCounts.Full)
}

func TestRejectionsByLevelAreCountedSeparately(t *testing.T) {
	sm := nodeAtLevel(t, 2)
	assert.Equal(t, []string{"50 on 1"}, framesSent(t, step(sm, invocationInput(1))))
	assert.Equal(t, ServiceCounts{Level: "none", ThrottledByLevel: 1}, sm.degradation.currentCounts)
	all := sm.ServiceCountsByLevel()
	assert.Equal(t, 1, all[2].ThrottledByLevel)
	assert.Equal(t, 0, sm.degradation.countsByLevel[2].ThrottledByLevel, "reading the counts does not change them")
}

func TestLevelChangeIsReportedWithItsCause(t *testing.T) {
	sm := newServingNode(t)
	step(sm, Input{Kind: PlanChanged, Plan: testPlan(-1)})
	sm.now = sm.timerAt
	var change *LevelChange
	for _, e := range step(sm) {
		if e.Kind == PublishLevelChange {
			change = e.LevelChange
		}
	}
	require.NotNil(t, change)
	assert.Equal(t, "level full to none: entered", change.String())
	assert.Equal(t, degradation.Load, change.Signal)
	assert.Equal(t, -1.0, change.Limit)
}

func TestDrainKeepsDegradationLevel(t *testing.T) {
	sm := nodeAtLevel(t, 2)
	step(sm, Input{Kind: DrainRequested})
	next := testPlan(1e9)
	sm.degradation.plan, sm.degradation.controller = next, degradation.NewController(&next.Plan, sm.now, sm.degradation.random)
	for range 10 {
		sm.now = sm.timerAt
		for _, e := range step(sm) {
			assert.NotEqual(t, PublishLevelChange, e.Kind)
		}
	}
}

// Guards against a node that steps without pause while a link to the executor takes long to open.
func TestNextWakeupIsInTheFutureWhileDialingExecutor(t *testing.T) {
	sm := newServingNode(t)
	step(sm, Input{Kind: ExecutorDisconnected, Link: sm.executor.link})
	sm.now = sm.executor.redialAt
	step(sm)
	sm.now += 10_000 * ms
	step(sm)
	assert.NotZero(t, sm.executor.dialingLink)
	assert.Zero(t, sm.Invariants.Broken("the next wakeup is after now"))
}

func TestStateIsSampledOnceASecond(t *testing.T) {
	sm := newServingNode(t)
	step(sm, invocationInput(1))
	samples := 0
	for range 100 {
		sm.now = sm.timerAt
		for _, e := range sm.Step(sm.now, sm.now, nil) {
			if e.Kind == PublishState {
				samples++
				assert.Equal(t, 1, e.State.OnCores)
				assert.Equal(t, 1, e.State.Connections)
			}
		}
	}
	assert.InDelta(t, 5, samples, 1) // 100 ticks of 50 ms are 5 s
}

func BenchmarkState(b *testing.B) {
	sm := newServingNode(&testing.T{})
	for k := range 20 {
		step(sm, invocationInput(uint32(k+1), "call", "9b1f03aa5c7e2d"+string(rune('a'+k/16))+"0123456789abcdef"[k%16:k%16+1]))
	}
	b.ReportAllocs()
	for b.Loop() {
		sm.sampler.snapshot()
	}
}
