package node

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestDrainStopsAcceptingThenExitsOnceAllIsAnswered(t *testing.T) {
	r := up(t)
	step(r, invoke(1))
	step(r, Input{Kind: DrainRequested})
	r.now += 2_000 * ms
	step(r)
	r.now += 100 * ms
	kinds := []EffectKind{}
	for _, e := range step(r, invoke(2, "call", "00000000000000aa")) {
		kinds = append(kinds, e.Kind)
	}
	assert.NotContains(t, kinds, Exit, "one invocation is not answered")
	assert.True(t, r.drain.acceptStopped)
	assert.Equal(t, 1, r.Counters.Throttled, "an invocation after the end of accepting is rejected")
	end := told(r, "EXIT 1 "+callID+" good 12 1|r")
	assert.Equal(t, []string{"20 on 1"}, answers(t, end))
	assert.NotEqual(t, Exit, end[len(end)-1].Kind, "connection 7 is open, and so is the listener")
	crossed := step(r, invoke(3, "call", "00000000000000bb"))
	assert.Equal(t, []string{"50 on 3"}, answers(t, crossed), "it crossed the go-away")
	r.now += goAwayGrace
	assert.Equal(t, []Effect{{Kind: CloseAfterFlush, Link: 7}}, step(r))
	assert.Empty(t, step(r, Input{Kind: ListenerClosed}))
	assert.Equal(t, []Effect{{Kind: Exit}}, step(r, Input{Kind: ConnectionClosed, Link: 7}))
}

func TestDrainWithoutAnExecutorExitsOnceConnectionsAreClosed(t *testing.T) {
	r := fresh(t)
	got := step(r, Input{Kind: DrainRequested})
	assert.Equal(t, []string{"no more"}, answers(t, got))
	told(r, "WELCOME new 0")
	told(r, "METERS j1 0.1 1 0.1 3")
	got = step(r, invoke(1))
	assert.Equal(t, []string{"50 on 1"}, answers(t, got), "one that crosses the go-away is answered")
	assert.Zero(t, runsOf(got), "though the executor is up by now")
	assert.Empty(t, step(r, Input{Kind: ListenerClosed}))
	assert.Equal(t, []Effect{{Kind: Exit}}, step(r, Input{Kind: ConnectionClosed, Link: 7}))
	r = fresh(t)
	step(r, Input{Kind: DrainRequested})
	r.now = r.drain.killAt - exitMargin
	got = step(r, Input{Kind: ListenerClosed})
	assert.Equal(t, Exit, got[len(got)-1].Kind, "it exits before the kill, whatever its peers do")
}
