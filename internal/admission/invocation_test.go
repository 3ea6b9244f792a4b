package admission

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestLateEventsOnEndedInvocationsAreIgnored(t *testing.T) {
	c := newTestController()
	insertInvocation(c, 0, stateQueued)
	c.end(0)
	for kind := CallerDisconnected; kind <= RunEnded; kind++ {
		if kind != DrainRequested && kind != TimerFired {
			c.apply(&Event{Kind: kind})
		}
	}
	assert.Empty(t, c.actions)
	assert.Equal(t, 1, c.counts.ended)
}

func TestPausedRunKeepsItsMemoryAndResumes(t *testing.T) {
	c := newTestController()
	inv := insertInvocation(c, 0, stateRunning)
	c.handleRunEnded(0, Stopped)
	assert.Equal(t, statePaused, inv.state)
	assert.Equal(t, 40.0, c.memory.invocationsKB)
}

// Guards against a node that takes itself for slow, and rejects what it could serve, after commands were lost: a run that never started
// counts as running until that is known, and the time until then is no core time.
func TestRunThatNeverStartedIsNoSampleOfServiceTime(t *testing.T) {
	c := newTestController()
	inv := insertInvocation(c, 0, stateRunning)
	c.advanceTime(c.now + second) // ten times the usual core time
	c.handleRunEnded(0, NeverStarted)
	assert.Greater(t, inv.coreTime, 9*inv.baseWork)
	assert.Equal(t, 1.0, c.State().ServiceTimeRatio)
	assert.Equal(t, 1.0, inv.operation.serviceTimeRatios.Mean(1))
	insertInvocation(c, 0, stateRunning)
	c.advanceTime(c.now + second)
	c.handleRunEnded(1, Errored)
	assert.Greater(t, c.State().ServiceTimeRatio, 2.0, "a long run that failed is one")
}
