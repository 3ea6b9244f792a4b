package node

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestDrainStopsAcceptingThenExitsWhenAllIsAnswered(t *testing.T) {
	sm := up(t)
	step(sm, invoke(1))
	step(sm, Input{Kind: DrainRequested})
	sm.now += 2_000 * ms
	step(sm)
	sm.now += 100 * ms
	kinds := []EffectKind{}
	for _, e := range step(sm, invoke(2, "call", "00000000000000aa")) {
		kinds = append(kinds, e.Kind)
	}
	assert.NotContains(t, kinds, Exit, "invocation 1 is not answered yet")
	assert.True(t, sm.drain.acceptStopped)
	assert.Equal(t, 1, sm.Counters.Throttled, "an invocation received after the end of accepting is rejected")
	end := told(sm, "EXIT 1 "+callID+" good 12 1|r")
	assert.Equal(t, []string{"20 on 1"}, answers(t, end))
	assert.NotEqual(t, Exit, end[len(end)-1].Kind, "connection 7 and the listener are still open")
	crossed := step(sm, invoke(3, "call", "00000000000000bb"))
	assert.Equal(t, []string{"50 on 3"}, answers(t, crossed), "an invocation that crosses the go-away is answered")
	sm.now += goAwayGrace
	assert.Equal(t, []Effect{{Kind: CloseAfterFlush, Link: 7}}, step(sm))
	assert.Empty(t, step(sm, Input{Kind: ListenerClosed}))
	assert.Equal(t, []Effect{{Kind: Exit}}, step(sm, Input{Kind: ConnectionClosed, Link: 7}))
}

func TestDrainWithoutAnExecutorExitsWhenConnectionsAreClosed(t *testing.T) {
	sm := fresh(t)
	got := step(sm, Input{Kind: DrainRequested})
	assert.Equal(t, []string{"no more"}, answers(t, got))
	told(sm, "WELCOME new 0")
	told(sm, "METERS j1 0.1 1 0.1 3")
	got = step(sm, invoke(1))
	assert.Equal(t, []string{"50 on 1"}, answers(t, got), "an invocation that crosses the go-away is answered")
	assert.Zero(t, countRuns(got), "it doesn't run, although the executor is up")
	assert.Empty(t, step(sm, Input{Kind: ListenerClosed}))
	assert.Equal(t, []Effect{{Kind: Exit}}, step(sm, Input{Kind: ConnectionClosed, Link: 7}))
	sm = fresh(t)
	step(sm, Input{Kind: DrainRequested})
	sm.now = sm.drain.killAt - exitMargin
	got = step(sm, Input{Kind: ListenerClosed})
	assert.Equal(t, Exit, got[len(got)-1].Kind, "the node exits before the kill although connection 7 is open")
}
