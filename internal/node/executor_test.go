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
	r := fresh(t)
	r.executor.link, r.executor.dialingLink = 0, 9
	assert.Equal(t, "JOIN 0\r\n", text(step(r, Input{Kind: ExecutorConnected, Link: 9}), SendToExecutor))
	assert.Equal(t, "METER j9\r\n", text(told(r, "WELCOME new 3"), SendToExecutor))
	assert.Empty(t, text(step(r, invoke(1)), SendToExecutor), "notices may still follow the welcome")
	assert.Equal(t, "EXEC "+callID+" catalogue 4\r\nbody\r\n", text(told(r, "METERS j9 0 0 0 0"), SendToExecutor))
}

// A process that starts while its executor runs on has to count what its earlier incarnation may still have in flight:
// its controller gets the start of the cores and that of the process.
func TestControllerGetsTheProcessStart(t *testing.T) {
	p, err := nodeconfig.FromJSON(1, []byte(tenantSettings))
	require.NoError(t, err)
	r := NewStateMachine(p, Addresses{"executor:1", "catalogue:1", "control:1"}, 5_000*ms, 4, 3)
	var heard *admission.Config
	var cores int64
	decisions := r.Decisions
	r.Decisions = func(n *admission.Config, born int64) Decider {
		heard, cores = n, born
		return decisions(n, born)
	}
	step(r)
	began := r.now
	r.now += 3_000 * ms // the executor is out of reach for a while
	step(r)
	step(r, Input{Kind: ExecutorConnected, Link: r.executor.dialingLink})
	told(r, "WELCOME old 60000")
	require.NotNil(t, heard)
	assert.False(t, heard.ColdStart)
	assert.Equal(t, began, heard.ProcessStart)
	assert.Equal(t, r.now-60_000*ms, cores)
}

func TestExecutorLinkIsRedialedAfterADialFailure(t *testing.T) {
	r := up(t)
	for range 3 { // the first ends, the others are refused
		assert.Empty(t, step(r, Input{Kind: ExecutorDisconnected, Link: max(r.executor.link, r.executor.dialingLink)}))
		r.now = r.executor.redialAt
		assert.Equal(t, []Effect{{Kind: DialExecutor, Link: r.lastLink, Address: "executor:1"}}, step(r))
	}
}

func TestUnwelcomedLinkDoesNotKeepTheNodeAwake(t *testing.T) {
	r := up(t)
	step(r, Input{Kind: ExecutorDisconnected, Link: r.executor.link})
	r.now = r.executor.redialAt
	step(r)
	step(r, Input{Kind: ExecutorConnected, Link: r.executor.dialingLink})
	r.now = r.executor.gauges.requestAt
	step(r)
	assert.Greater(t, r.nextWakeup(), r.now)
}

// A link may be half open: one that is never welcomed must not keep a node from serving.
func TestUnwelcomedExecutorLinkIsReopened(t *testing.T) {
	r := fresh(t)
	link := r.executor.link
	r.now += executorSilenceTimeout
	assert.Contains(t, step(r), Effect{Kind: CloseExecutor, Link: link})
	r.now = r.executor.redialAt
	assert.Contains(t, kinds(step(r)), DialExecutor)
	step(r, Input{Kind: ExecutorConnected, Link: r.executor.dialingLink})
	told(r, "WELCOME new 3")
	assert.Equal(t, []string{"check 20"}, answers(t, step(r, Input{Kind: FrameReceived, Link: 7,
		Frame: frame.Frame{Type: frame.Check, Payload: []byte{0}}})))
}

func TestSilentExecutorLinkIsReopened(t *testing.T) {
	r := up(t)
	link := r.executor.link
	r.now += executorSilenceTimeout
	got := step(r)
	assert.Equal(t, Effect{Kind: CloseExecutor, Link: link}, got[0])
	r.now = r.executor.redialAt
	assert.Equal(t, DialExecutor, step(r)[0].Kind)
}

func TestMalformedLineReopensTheExecutorLink(t *testing.T) {
	for _, line := range []string{"NONSENSE", "EXIT x y", "EXIT 1 " + callID + " maybe 3 0", "METERS j1 a b c d",
		"CALLOUT 0 x 1"} {
		r := up(t)
		assert.Equal(t, []EffectKind{CloseExecutor}, []EffectKind{told(r, line)[0].Kind}, line)
	}
}

func TestMissedNoticesAreRequestedOnANewLinkAndDuplicatesIgnored(t *testing.T) {
	r := up(t)
	step(r, invoke(1))
	assert.Equal(t, CloseExecutor, told(r, "EXIT 2 "+callID+" good 12 6|result")[0].Kind)
	rejoined(r)
	assert.Empty(t, told(r, "LOG 1 any words"))
	assert.Equal(t, []string{"20 on 1"}, answers(t, told(r, "EXIT 2 "+callID+" good 12 6|result")))
	assert.Empty(t, told(r, "EXIT 2 "+callID+" good 12 6|result"))
}

func TestRefusedRunCountsAsAFaultOfItsConnection(t *testing.T) {
	r := up(t)
	step(r, invoke(1))
	assert.Equal(t, []string{"51 on 1"}, answers(t, told(r, "BAD EXEC "+callID)))
	assert.Equal(t, 1, r.connections.byLink[7].faults)
	assert.Empty(t, r.indexByCall)
}
