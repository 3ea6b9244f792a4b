package node

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"topazpost/internal/protocol/frame"
)

// newNodeWithConnections returns a node with so many connections, all opened in one step and used once in the next.
func newNodeWithConnections(t *testing.T, count int) *StateMachine {
	sm := newServingNode(t)
	sm.connections.maxConnections = count
	step(sm, Input{Kind: ConnectionClosed, Link: 7})
	var opened, checked []Input
	for k := range count {
		opened = append(opened, Input{Kind: ConnectionOpened, Link: 100 + k})
		checked = append(checked, shallowHealthCheck(100+k))
	}
	step(sm, opened...)
	step(sm, checked...)
	return sm
}

// shallowHealthCheck returns a shallow health check on a connection.
func shallowHealthCheck(link int) Input {
	return Input{Kind: FrameReceived, Link: link, Frame: frame.Frame{Type: frame.HealthCheck, Payload: []byte{0}}}
}

// advance steps the node after advancing the clock. It sets the time of the executor's last line to now, so that the node
// does not close the executor's link as silent.
func advance(sm *StateMachine, by int64, inputs ...Input) []Effect {
	sm.now, sm.executor.lastLineAt = sm.now+by-ms, sm.now+by
	return step(sm, inputs...)
}

func TestFullConnectionTableEvictsTheLongestIdle(t *testing.T) {
	sm := newServingNode(t)
	step(sm, invocationInput(1))
	step(sm, Input{Kind: ConnectionOpened, Link: 8})
	step(sm, Input{Kind: ConnectionOpened, Link: 9})
	step(sm, Input{Kind: ConnectionOpened, Link: 10})
	check := func(link int) Input {
		return Input{Kind: FrameReceived, Link: link, Frame: frame.Frame{Type: frame.HealthCheck, Payload: []byte{0}}}
	}
	step(sm, check(9))
	step(sm, check(8))
	sm.ExtraClosingConnections = 1
	assert.Equal(t, Effect{Kind: CloseWithoutLinger, Link: 10}, step(sm, Input{Kind: ConnectionOpened, Link: 11})[0], "connection 10 was never used")
	step(sm, Input{Kind: ConnectionClosed, Link: 10})
	step(sm, check(11))
	step(sm, Input{Kind: ConnectionOpened, Link: 12})
	assert.True(t, sm.connections.byLink[9].goAwaySent, "connection 8 was used later")
	assert.False(t, sm.connections.byLink[8].goAwaySent)
	assert.Equal(t, 2, sm.Counters.ConnectionsEvicted)
	step(sm, check(12))
	assert.Equal(t, Effect{Kind: CloseWithoutLinger, Link: 8}, step(sm, Input{Kind: ConnectionOpened, Link: 13})[0], "without a spare place, an evicted connection is closed at once")
	sm.now += evictionGrace
	assert.Equal(t, []Effect{{Kind: CloseAfterFlush, Link: 9}}, step(sm))
}

// An invocation sent before the dispatcher saw the close of its connection must be answered before the connection closes.
func TestInvocationThatCrossesACloseIsAnsweredBeforeIt(t *testing.T) {
	for what, evicted := range map[string]bool{"idle": false, "evicted": true} {
		sm := newServingNode(t)
		sm.ExtraClosingConnections = 1
		step(sm, invocationInput(1))
		executorSends(sm, "EXIT 1 "+testInvocationID+" good 12 6|result")
		if evicted {
			for link := range 4 {
				step(sm, Input{Kind: ConnectionOpened, Link: 8 + link})
				step(sm, Input{Kind: FrameReceived, Link: 8 + link, Frame: frame.Frame{Type: frame.HealthCheck, Payload: []byte{0}}})
			}
			sm.now += evictionGrace
		} else {
			sm.now, sm.executor.lastLineAt = sm.now+idleTimeout, sm.now+idleTimeout
			assert.Equal(t, []string{"no more"}, framesSent(t, step(sm)), what)
			sm.now += goAwayGrace
		}
		assert.Equal(t, []Effect{{Kind: CloseAfterFlush, Link: 7}}, step(sm), what)
		got := step(sm, invocationInput(2, "call", "00000000000000aa", "recv", fmt.Sprint((sm.now+ms)/ms+1_000_000)))
		assert.Equal(t, Effect{Kind: ResumeConnection, Link: 7}, got[0], what)
		assert.Equal(t, 1, countRuns(got), what)
		got = executorSends(sm, "EXIT 2 00000000000000aa good 12 6|result")
		assert.Equal(t, []string{"20 on 2"}, framesSent(t, got), what)
		assert.Equal(t, Effect{Kind: CloseAfterFlush, Link: 7}, got[len(got)-1], what)
		assert.Contains(t, sm.connections.byLink, 7, what)
		step(sm, Input{Kind: ConnectionClosed, Link: 7})
		assert.NotContains(t, sm.connections.byLink, 7, what)
	}
}

func TestUnusedAndIdleConnectionsAreClosed(t *testing.T) {
	sm := newServingNode(t)
	step(sm, invocationInput(1))
	step(sm, Input{Kind: ConnectionOpened, Link: 8}) // sends nothing
	sm.now, sm.executor.lastLineAt = sm.now+firstUseTimeout, sm.now+firstUseTimeout
	assert.Equal(t, []string{"no more"}, framesSent(t, step(sm)))
	sm.now += sweepInterval
	assert.Equal(t, []Effect{{Kind: CloseAfterFlush, Link: 8}}, step(sm))
	step(sm, Input{Kind: ConnectionClosed, Link: 8})
	executorSends(sm, "EXIT 1 "+testInvocationID+" good 12 6|result")
	sm.now, sm.executor.lastLineAt = sm.now+idleTimeout, sm.now+idleTimeout
	assert.Equal(t, []string{"no more"}, framesSent(t, step(sm)))
	sm.now += sweepInterval
	assert.Equal(t, []Effect{{Kind: CloseAfterFlush, Link: 7}}, step(sm), "no invocation arrived after the go-away")
}

func TestConnectionWithTooManyFaultsIsDiscarded(t *testing.T) {
	sm := newServingNode(t)
	step(sm, invocationInput(1))
	var got []Effect
	for stream := range uint32(maxFaultsPerConnection) {
		got = step(sm, invocationInput(stream+2, "op", "other"))
	}
	assert.Equal(t, []string{"51 on 17", "51 on 0", "no more"}, framesSent(t, got))
	assert.Equal(t, Effect{Kind: DiscardInput, Link: 7}, got[3])
	sm.now, sm.executor.lastLineAt = sm.now+1_000*ms, sm.now+1_000*ms
	assert.NotContains(t, effectKinds(step(sm)), CloseAfterFlush, "an open stream has no answer yet")
	got = executorSends(sm, "EXIT 1 "+testInvocationID+" good 12 6|result")
	assert.Equal(t, []string{"20 on 1"}, framesSent(t, got))
	assert.Equal(t, Effect{Kind: CloseAfterFlush, Link: 7}, got[len(got)-1])
}

// Idle connections must cost nothing: a connection is checked when its timeout may have passed, not in every sweep.
func TestIdleConnectionsAreCheckedOnlyWhenTheirTimeoutMayHavePassed(t *testing.T) {
	const count = 14_000
	sm := newNodeWithConnections(t, count)
	for sm.now < 3_000*ms {
		advance(sm, 10*ms)
	}
	assert.Equal(t, count, sm.connections.handledTimeouts, "each is checked once, at the timeout of the first use")
	for sm.now < 14_000*ms {
		advance(sm, 10*ms)
	}
	assert.Equal(t, count, sm.connections.handledTimeouts)
	for _, c := range sm.connections.byLink {
		assert.False(t, c.goAwaySent)
	}
}

// Connections that were opened together are due together. Checking and closing all of them in one step would delay invocations.
func TestManyOverdueConnectionsAreClosedAFewPerStep(t *testing.T) {
	const count = 14_000
	sm := newNodeWithConnections(t, count)
	for sm.now < 14_900*ms { // until shortly before the idle timeout
		advance(sm, 50*ms)
	}
	goAways, closes, startedAt := 0, 0, sm.now
	var closed []Input
	for len(sm.connections.byLink) > 0 && sm.now-startedAt < 5_000*ms {
		checksBefore, goAwaysBefore, closesBefore := sm.connections.handledTimeouts, goAways, closes
		effects := advance(sm, ms/2, closed...)
		closed = nil
		for _, e := range effects {
			switch e.Kind {
			case SendToConnection:
				goAways++
			case CloseAfterFlush:
				closes++
				closed = append(closed, Input{Kind: ConnectionClosed, Link: e.Link})
			}
		}
		assert.LessOrEqual(t, goAways-goAwaysBefore+closes-closesBefore, maxClosesPerStep)
		assert.LessOrEqual(t, sm.connections.handledTimeouts-checksBefore, maxTimeoutsPerStep)
	}
	assert.Equal(t, count, goAways)
	assert.Equal(t, count, closes)
	// Go-aways and closes take a batch each, of maxClosesPerStep; the last 200 ms allow for the steps of the test.
	assert.Less(t, sm.now-startedAt, 2*(count/maxClosesPerStep+1)*overdueInterval+sweepInterval+goAwayGrace+200*ms)
	assert.Equal(t, count, sm.Counters.ConnectionsClosedAfterGoAway)
	assert.Zero(t, sm.connections.idleWheel.Len()+sm.connections.goAwayWheel.Len(), "closed connections have no timers left")
}

// With random requests and steps, no connection gets a go-away or is closed before its timeout. If steps are on time, each
// gets it at most a sweep and a batch after the timeout.
func TestConnectionsGoAwayAndCloseInTime(t *testing.T) {
	rapid.Check(t, func(draw *rapid.T) {
		sm := newServingNode(t)
		sm.connections.maxConnections, sm.ExtraClosingConnections = 12, 2
		newestLink, wakeAt, stream := 100, sm.now+ms, uint32(0)
		for range rapid.IntRange(1, 120).Draw(draw, "steps") {
			var inputs []Input
			link := rapid.IntRange(7, newestLink).Draw(draw, "link")
			switch rapid.IntRange(0, 9).Draw(draw, "what") {
			case 0, 1:
				newestLink++
				inputs = append(inputs, Input{Kind: ConnectionOpened, Link: newestLink})
			case 2, 3:
				inputs = append(inputs, shallowHealthCheck(link))
			case 4:
				inputs = append(inputs, Input{Kind: ConnectionClosed, Link: link})
			case 5:
				stream++
				in := arrival(sm, int(stream))
				in.Link = link
				inputs = append(inputs, in)
			}
			at := wakeAt
			if len(inputs) > 0 {
				at = rapid.Int64Range(sm.now+1, max(sm.now+1, wakeAt)).Draw(draw, "at")
			}
			wakeAt = stepCheckingTimeouts(draw, sm, at, inputs)
		}
	})
}

// stepCheckingTimeouts steps a node, checks that no go-away or close is early and that none will be late if the next step is
// on time, and returns the time of the next wakeup.
func stepCheckingTimeouts(t require.TestingT, sm *StateMachine, at int64, inputs []Input) (wakeAt int64) {
	before := map[int]connection{}
	for link, c := range sm.connections.byLink {
		before[link] = *c
	}
	sm.executor.lastLineAt = at
	for _, e := range sm.Step(at, at+1_000_000*ms, inputs) {
		c, earlier := sm.connections.byLink[e.Link], before[e.Link]
		switch {
		case e.Kind == SetWakeup:
			wakeAt = e.At
		case e.Kind == CloseAfterFlush && !earlier.closeWhenIdle && !c.broken:
			assert.GreaterOrEqual(t, at-c.goAwayAt, evictionGrace)
			if !c.evicted {
				assert.GreaterOrEqual(t, at-c.goAwayAt, goAwayGrace)
			}
		}
	}
	for link, c := range sm.connections.byLink {
		if c.goAwaySent && !before[link].goAwaySent && !c.evicted && !c.broken {
			assert.GreaterOrEqual(t, at-c.lastUsedAt, firstUseTimeout)
			assert.True(t, !c.used || at-c.lastUsedAt >= idleTimeout)
		}
		if !c.isIdle() || c.closeWhenIdle {
			continue
		}
		timeout := firstUseTimeout
		if c.used {
			timeout = idleTimeout
		}
		lateness := wakeAt - c.lastUsedAt - timeout
		if c.goAwaySent {
			lateness = wakeAt - max(c.goAwayAt+c.closeDelay(), c.lastUsedAt)
		}
		assert.LessOrEqual(t, lateness, sweepInterval+overdueInterval, "link %d", link)
	}
	return wakeAt
}
