package node

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"topazpost/internal/invariant"
)

func TestReloadSwitchesToTheNewAddressesAtOnce(t *testing.T) {
	sm := newServingNode(t)
	const other = "00000000000000aa"
	step(sm, invocationInput(1), invocationInput(2, "call", other))
	executorSends(sm, "CALLOUT 1 "+testInvocationID+" 3|ask")
	connectCatalogue(sm)
	oldLink, reportLink := sm.executor.link, sm.reports.inFlight
	executorSends(sm, "CALLOUT 2 "+other+" 3|ask") // on a link that is not connected yet
	to := Addresses{"executor:2", "catalogue:2", "control:2"}
	dialed := map[EffectKind]string{}
	for _, e := range sm.Step(sm.now+ms, sm.wall, []Input{{Kind: ReloadRequested, Addresses: to}}) {
		dialed[e.Kind] += e.Address
	}
	assert.Equal(t, map[EffectKind]string{CloseExecutor: "", DialExecutor: "executor:2", CloseCatalogue: "", DialCatalogue: "catalogue:2",
		SendReport: "control:2", WriteLog: "", SetWakeup: ""}, dialed)
	got := catalogueSends(sm, testInvocationID+" DATA 0")
	assert.Equal(t, CloseCatalogue, got[0].Kind, "the link to the old address is closed after its call has ended")
	step(sm, Input{Kind: ExecutorDisconnected, Link: oldLink}, Input{Kind: ReportFinished, Link: reportLink})
	assert.Equal(t, []int{sm.lastLink - 1, 0}, []int{sm.executor.dialingLink, sm.executor.link}, "the end of the old link is ignored")
	got = step(sm, Input{Kind: ExecutorConnected, Link: oldLink}, Input{Kind: ExecutorConnected, Link: sm.executor.dialingLink})
	assert.Equal(t, Effect{Kind: CloseExecutor, Link: oldLink}, got[0], "a link that is not expected any more is closed")
	assert.Equal(t, "JOIN 2\r\n", bytesSent(got, SendToExecutor))
	assert.NotEqual(t, reportLink, sm.reports.inFlight)
	assert.Empty(t, step(sm, Input{Kind: ReloadRequested, Addresses: to}), "the addresses are the same")
}

func TestASecondAnswerViolatesAnInvariant(t *testing.T) {
	sm := newServingNode(t)
	step(sm, invocationInput(1))
	again := func() { sm.fail(0); sm.fail(0) }
	if invariant.Debug {
		assert.Panics(t, again)
		return
	}
	again()
	assert.Equal(t, 1, sm.Invariants.Broken("an invocation is answered once"))
	assert.Equal(t, 1, sm.Counters.Errored)
}
