package node

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"topazpost/internal/protocol/frame"
)

// many is a node with so many connections, all opened in one step and checked once in the next.
func many(t *testing.T, count int) *StateMachine {
	r := up(t)
	r.maxConnections = count
	step(r, Input{Kind: ConnectionClosed, Link: 7})
	var opened, checked []Input
	for k := range count {
		opened = append(opened, Input{Kind: ConnectionOpened, Link: 100 + k})
		checked = append(checked, checkOn(100+k))
	}
	step(r, opened...)
	step(r, checked...)
	return r
}

func checkOn(link int) Input {
	return Input{Kind: FrameReceived, Link: link, Frame: frame.Frame{Type: frame.Check, Payload: []byte{0}}}
}

// on goes on by a time and keeps the executor's link from being taken as silent.
func on(r *StateMachine, by int64, inputs ...Input) []Effect {
	r.now, r.executorHeardAt = r.now+by-ms, r.now+by
	return step(r, inputs...)
}

// Connections that rest cost nothing: each is looked at as often as its time may have come, not in every sweep.
func TestConnectionsThatRestAreLookedAtOnlyWhenTheirTimeMayHaveCome(t *testing.T) {
	const count = 14_000
	r := many(t, count)
	for r.now < 3_000*ms {
		on(r, 10*ms)
	}
	assert.Equal(t, count, r.connectionsChecked, "once each, as those that bring nothing are told soon")
	for r.now < 14_000*ms {
		on(r, 10*ms)
	}
	assert.Equal(t, count, r.connectionsChecked)
	for _, c := range r.connections {
		assert.False(t, c.noMore)
	}
}

// Those that came together are due together: what comes meanwhile doesn't wait behind all of them.
func TestAHerdOfConnectionsIsToldAndEndedAFewAtATime(t *testing.T) {
	const count = 14_000
	r := many(t, count)
	for r.now < 14_900*ms {
		on(r, 50*ms)
	}
	told, ended, began := 0, 0, r.now
	var closed []Input
	for len(r.connections) > 0 && r.now-began < 5_000*ms {
		before, beforeTold, beforeEnded := r.connectionsChecked, told, ended
		effects := on(r, ms/2, closed...)
		closed = nil
		for _, e := range effects {
			switch e.Kind {
			case SendToConnection:
				told++
			case CloseAfterFlush:
				ended++
				closed = append(closed, Input{Kind: ConnectionClosed, Link: e.Link})
			}
		}
		assert.LessOrEqual(t, told-beforeTold+ended-beforeEnded, endsMost)
		assert.LessOrEqual(t, r.connectionsChecked-before, looksMost)
	}
	assert.Equal(t, count, told)
	assert.Equal(t, count, ended)
	assert.Less(t, r.now-began, 2*(count/endsMost+1)*sweepAgain+sweepEvery+crossWait+200*ms)
	assert.Equal(t, count, r.Counters.Idle)
	assert.Zero(t, r.idleWheel.Len()+r.closingWheel.Len(), "nothing is kept of those that ended")
}

// Whatever comes on connections, and however late steps come: none is told or ended before its time, each is by one sweep
// after it where steps come when they were asked for.
func TestConnectionsAreToldAndEndedInTheirTime(t *testing.T) {
	rapid.Check(t, func(draw *rapid.T) {
		r := up(t)
		r.maxConnections, r.SpareConnections = 12, 2
		next, wake, stream := 100, r.now+ms, uint32(0)
		for range rapid.IntRange(1, 120).Draw(draw, "steps") {
			var inputs []Input
			link := rapid.IntRange(7, next).Draw(draw, "link")
			switch rapid.IntRange(0, 9).Draw(draw, "what") {
			case 0, 1:
				next++
				inputs = append(inputs, Input{Kind: ConnectionOpened, Link: next})
			case 2, 3:
				inputs = append(inputs, checkOn(link))
			case 4:
				inputs = append(inputs, Input{Kind: ConnectionClosed, Link: link})
			case 5:
				stream++
				in := arrival(r, int(stream))
				in.Link = link
				inputs = append(inputs, in)
			}
			at, asked := wake, len(inputs) == 0
			if !asked {
				at = rapid.Int64Range(r.now+1, max(r.now+1, wake)).Draw(draw, "at")
			}
			before := map[int]connection{}
			for link, c := range r.connections {
				before[link] = *c
			}
			r.executorHeardAt = at
			for _, e := range r.Step(at, at+1_000_000*ms, inputs) {
				c, was := r.connections[e.Link], before[e.Link]
				switch {
				case e.Kind == SetWakeup:
					wake = e.At
				case e.Kind == CloseAfterFlush && !was.closing && !c.broken:
					assert.GreaterOrEqual(draw, at-c.ended, int64(evictWait))
					if !c.evicted {
						assert.GreaterOrEqual(draw, at-c.ended, int64(crossWait))
					}
				}
			}
			for link, c := range r.connections {
				if c.noMore && !before[link].noMore && !c.evicted && !c.broken {
					assert.GreaterOrEqual(draw, at-c.used, int64(firstWait))
					assert.True(draw, !c.usable || at-c.used >= idleWait)
				}
				if !c.idle() || c.closing {
					continue
				}
				wait := int64(firstWait)
				if c.usable {
					wait = idleWait
				}
				late := wake - c.used - wait
				if c.noMore {
					late = wake - max(c.ended+c.crossing(), c.used)
				}
				assert.LessOrEqual(draw, late, int64(sweepEvery+sweepAgain), "link %d", link)
			}
		}
	})
}
