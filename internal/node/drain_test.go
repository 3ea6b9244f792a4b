package node

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestDrainStopsAcceptingThenExitsWhenAllIsAnswered(t *testing.T) {
	sm := newServingNode(t)
	step(sm, invocationInput(1))
	step(sm, Input{Kind: DrainRequested})
	sm.now += 2_000 * ms
	step(sm)
	sm.now += 100 * ms
	kinds := []EffectKind{}
	for _, e := range step(sm, invocationInput(2, "call", "00000000000000aa")) {
		kinds = append(kinds, e.Kind)
	}
	assert.NotContains(t, kinds, Exit, "invocation 1 is not answered yet")
	assert.True(t, sm.drain.acceptStopped)
	assert.Equal(t, 1, sm.Counters.Throttled, "an invocation received after the end of accepting is rejected")
	end := executorSends(sm, "EXIT 1 "+testInvocationID+" good 12 1|r")
	assert.Equal(t, []string{"20 on 1"}, framesSent(t, end))
	assert.NotEqual(t, Exit, end[len(end)-1].Kind, "connection 7 and the listener are still open")
	crossed := step(sm, invocationInput(3, "call", "00000000000000bb"))
	assert.Equal(t, []string{"50 on 3"}, framesSent(t, crossed), "an invocation that crosses the go-away is answered")
	sm.now += goAwayGrace
	assert.Equal(t, []Effect{{Kind: CloseAfterFlush, Link: 7}}, step(sm))
	assert.Empty(t, step(sm, Input{Kind: ListenerClosed}))
	assert.Equal(t, []Effect{{Kind: Exit}}, step(sm, Input{Kind: ConnectionClosed, Link: 7}))
}

func TestDrainWithoutAnExecutorExitsWhenConnectionsAreClosed(t *testing.T) {
	sm := newConnectedNode(t)
	got := step(sm, Input{Kind: DrainRequested})
	assert.Equal(t, []string{"no more"}, framesSent(t, got))
	executorSends(sm, "WELCOME new 0")
	executorSends(sm, "METERS j1 0.1 1 0.1 3")
	got = step(sm, invocationInput(1))
	assert.Equal(t, []string{"50 on 1"}, framesSent(t, got), "an invocation that crosses the go-away is answered")
	assert.Zero(t, countRuns(got), "it doesn't run, although the executor is up")
	assert.Empty(t, step(sm, Input{Kind: ListenerClosed}))
	assert.Equal(t, []Effect{{Kind: Exit}}, step(sm, Input{Kind: ConnectionClosed, Link: 7}))
	sm = newConnectedNode(t)
	step(sm, Input{Kind: DrainRequested})
	sm.now = sm.drain.killAt - exitMargin
	got = step(sm, Input{Kind: ListenerClosed})
	assert.Equal(t, Exit, got[len(got)-1].Kind, "the node exits before the kill although connection 7 is open")
}
