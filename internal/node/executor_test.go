package node

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"topazpost/internal/admission"
	"topazpost/internal/nodeconfig"
	"topazpost/internal/protocol/frame"
)

func TestExecutorGetsOnlyJoinBeforeItsWelcomeAndRunsAfterIt(t *testing.T) {
	sm := newConnectedNode(t)
	sm.executor.link, sm.executor.dialingLink = 0, 9
	assert.Equal(t, "JOIN 0\r\n", bytesSent(step(sm, Input{Kind: ExecutorConnected, Link: 9}), SendToExecutor))
	assert.Equal(t, "METER j9\r\n", bytesSent(executorSends(sm, "WELCOME new 3"), SendToExecutor))
	assert.Empty(t, bytesSent(step(sm, invocationInput(1)), SendToExecutor), "notices may still follow the welcome")
	assert.Equal(t, "EXEC "+testInvocationID+" catalogue 4\r\nbody\r\n", bytesSent(executorSends(sm, "METERS j9 0 0 0 0"), SendToExecutor))
}

// A process that starts while its executor keeps running must allow for runs that its earlier incarnation still has in
// flight. The controller therefore gets both start times, that of the executor's cores and that of the process.
func TestControllerGetsTheProcessStart(t *testing.T) {
	p, err := nodeconfig.FromJSON(1, []byte(tenantTestSettings))
	require.NoError(t, err)
	sm := NewStateMachine(p, Addresses{"executor:1", "catalogue:1", "control:1"}, 5_000*ms, 4, 3)
	var given *admission.Config
	var coresStartedAt int64
	newController := sm.NewDecider
	sm.NewDecider = func(config *admission.Config, startedAt int64) Decider {
		given, coresStartedAt = config, startedAt
		return newController(config, startedAt)
	}
	step(sm)
	processStartedAt := sm.now
	sm.now += 3_000 * ms // the executor is unreachable for 3 s
	step(sm)
	step(sm, Input{Kind: ExecutorConnected, Link: sm.executor.dialingLink})
	executorSends(sm, "WELCOME old 60000")
	require.NotNil(t, given)
	assert.False(t, given.ColdStart)
	assert.Equal(t, processStartedAt, given.ProcessStart)
	assert.Equal(t, sm.now-60_000*ms, coresStartedAt)
}

func TestExecutorLinkIsRedialedAfterADialFailure(t *testing.T) {
	sm := newServingNode(t)
	for range 3 { // the first link ends, the later dials fail
		assert.Empty(t, step(sm, Input{Kind: ExecutorDisconnected, Link: max(sm.executor.link, sm.executor.dialingLink)}))
		sm.now = sm.executor.redialAt
		assert.Equal(t, []Effect{{Kind: DialExecutor, Link: sm.lastLink, Address: "executor:1"}}, step(sm))
	}
}

// Gauges are not requested before the welcome, so their timer must not wake the node in a loop.
func TestUnwelcomedLinkDoesNotKeepTheNodeAwake(t *testing.T) {
	sm := newServingNode(t)
	step(sm, Input{Kind: ExecutorDisconnected, Link: sm.executor.link})
	sm.now = sm.executor.redialAt
	step(sm)
	step(sm, Input{Kind: ExecutorConnected, Link: sm.executor.dialingLink})
	sm.now = sm.executor.gauges.requestAt
	step(sm)
	assert.Greater(t, sm.nextWakeup(), sm.now)
}

// A link may be half open. A link that is never welcomed must not keep the node from serving.
func TestUnwelcomedExecutorLinkIsReopened(t *testing.T) {
	sm := newConnectedNode(t)
	link := sm.executor.link
	sm.now += executorSilenceTimeout
	assert.Contains(t, step(sm), Effect{Kind: CloseExecutor, Link: link})
	sm.now = sm.executor.redialAt
	assert.Contains(t, effectKinds(step(sm)), DialExecutor)
	step(sm, Input{Kind: ExecutorConnected, Link: sm.executor.dialingLink})
	executorSends(sm, "WELCOME new 3")
	assert.Equal(t, []string{"check 20"}, framesSent(t, step(sm, Input{Kind: FrameReceived, Link: 7,
		Frame: frame.Frame{Type: frame.HealthCheck, Payload: []byte{0}}})))
}

func TestSilentExecutorLinkIsReopened(t *testing.T) {
	sm := newServingNode(t)
	link := sm.executor.link
	sm.now += executorSilenceTimeout
	got := step(sm)
	assert.Equal(t, Effect{Kind: CloseExecutor, Link: link}, got[0])
	sm.now = sm.executor.redialAt
	assert.Equal(t, DialExecutor, step(sm)[0].Kind)
}

func TestMalformedLineReopensTheExecutorLink(t *testing.T) {
	for _, line := range []string{"NONSENSE", "EXIT x y", "EXIT 1 " + testInvocationID + " maybe 3 0", "METERS j1 a b c d",
		"CALLOUT 0 x 1"} {
		sm := newServingNode(t)
		assert.Equal(t, []EffectKind{CloseExecutor}, []EffectKind{executorSends(sm, line)[0].Kind}, line)
	}
}

func TestMissedNoticesAreAppliedFromANewLinkAndDuplicatesIgnored(t *testing.T) {
	sm := newServingNode(t)
	step(sm, invocationInput(1))
	assert.Equal(t, CloseExecutor, executorSends(sm, "EXIT 2 "+testInvocationID+" good 12 6|result")[0].Kind)
	reconnectExecutor(sm)
	assert.Empty(t, executorSends(sm, "LOG 1 any words"))
	assert.Equal(t, []string{"20 on 1"}, framesSent(t, executorSends(sm, "EXIT 2 "+testInvocationID+" good 12 6|result")))
	assert.Empty(t, executorSends(sm, "EXIT 2 "+testInvocationID+" good 12 6|result"))
}

func TestRefusedRunCountsAsAFaultOfItsConnection(t *testing.T) {
	sm := newServingNode(t)
	step(sm, invocationInput(1))
	assert.Equal(t, []string{"51 on 1"}, framesSent(t, executorSends(sm, "BAD EXEC "+testInvocationID)))
	assert.Equal(t, 1, sm.connections.byLink[7].faultCount)
	assert.Empty(t, sm.indexByID)
}
