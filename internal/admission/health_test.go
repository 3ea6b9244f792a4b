package admission

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestStalledRunsTurnHealthBadBeforeAnyEnds(t *testing.T) {
	c := newTestController()
	insertInvocation(c, 0, stateRunning)
	insertInvocation(c, 0, stateRunning)
	c.cores.clock += float64(500 * millisecond)
	c.updateHealth()
	assert.True(t, c.health.unhealthy)
}

func TestStallIsDetectedLaterAmongFewRuns(t *testing.T) {
	c := newTestController()
	insertInvocation(c, 0, stateRunning)
	insertInvocation(c, 0, stateRunning)
	c.cores.clock += float64(300 * millisecond)
	c.updateHealth()
	assert.False(t, c.health.unhealthy, "two costly invocations are no stall")
}

func TestFewLongRunsDoNotMakeTheNodeUnhealthy(t *testing.T) {
	c := newTestController()
	for range 20 {
		c.health.serviceTimeRatio.Add(1)
	}
	for range 3 {
		c.health.serviceTimeRatio.Add(4)
	}
	c.updateHealth()
	assert.False(t, c.health.unhealthy)
}

// An unhealthy node gets no work, so that no run would show its recovery: idling must make it healthy.
func TestIdleNodeBecomesHealthyAgain(t *testing.T) {
	c := newTestController()
	for range 8 {
		c.health.serviceTimeRatio.Add(8)
	}
	c.updateHealth()
	assert.True(t, c.health.unhealthy)
	for range 60 {
		c.updateHealth()
	}
	assert.False(t, c.health.unhealthy)
}
