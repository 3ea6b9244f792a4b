package admission

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestDrainRequestTurnsHealthBadAndScalesBothPhases(t *testing.T) {
	c := newTestController()
	insertInvocation(c, 0, stateRunning)
	c.startDrain(c.now + killMargin + 5_000*millisecond)
	assert.Equal(t, []ActionKind{ReportHealth}, actionKinds(c))
	assert.False(t, c.actions[0].Healthy)
	assert.Equal(t, 1, c.drain.inFlightAtRequest)
	assert.Equal(t, c.now+2_000*millisecond, c.drain.intakeEnd, "the delay is the grace if the longest objective still fits")
	assert.Equal(t, c.now+5_000*millisecond, c.drain.deadline)
	for available, delay := range map[int64]int64{2_500 * millisecond: 1_500 * millisecond, 1_000 * millisecond: 200 * millisecond, 0: 0} {
		c = newTestController()
		c.startDrain(c.now + killMargin + available)
		assert.Equal(t, c.now+delay, c.drain.intakeEnd)
		assert.LessOrEqual(t, c.drain.deadline, c.now+available)
	}
}

func TestIntakeEndsWithinTheGraceAndASecondRequestNeverExtends(t *testing.T) {
	c := newTestController()
	c.startDrain(c.now + 60_000*millisecond)
	assert.Equal(t, c.now+2_000*millisecond, c.drain.intakeEnd)
	c.now += 1_000 * millisecond
	c.startDrain(c.now + 90_000*millisecond)
	assert.Equal(t, c.drain.requestedAt+2_000*millisecond, c.drain.intakeEnd)
}

func TestDrainDeadlineAbortsAndCountsTheRemainder(t *testing.T) {
	c := newTestController()
	insertInvocation(c, 0, stateRunning)
	insertInvocation(c, 0, stateQueued)
	c.drain.requestedAt = c.now - millisecond
	c.drain.deadline = c.now
	c.drain.inFlightAtRequest = 3
	c.counts.ended = 2
	c.advanceDrain()
	assert.Equal(t, []ActionKind{StopAccepting, Fail, Stop, Reject, Exit}, actionKinds(c))
	assert.Equal(t, "drain: 3 in flight at the request, 2 ended since, 2 abandoned at the deadline", c.actions[4].Report)
}

func TestDrainFinishesOnceIntakeEndedAndNothingIsInFlight(t *testing.T) {
	c := newTestController()
	inv := insertInvocation(c, 0, stateRunning)
	c.drain.requestedAt = c.now - millisecond
	c.drain.intakeEnd = c.now
	c.drain.deadline = c.now + 1_000*millisecond
	c.advanceDrain()
	assert.Equal(t, []ActionKind{StopAccepting}, actionKinds(c))
	inv.answered = true
	c.advanceDrain()
	c.advanceDrain()
	assert.Equal(t, []ActionKind{StopAccepting, StopAccepting, Exit}, actionKinds(c), "Exit is emitted once")
}
