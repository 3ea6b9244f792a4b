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
