package admission

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// Load alone must not make a node unhealthy: callers are asked for less load instead.
func TestFullQueueIsHealthyButLowersAdvertisedCapacity(t *testing.T) {
	c := newTestController(func(n *Config) { n.Backpressure = BackpressureLevel })
	for range 20 {
		insertInvocation(c, 0, stateQueued)
	}
	c.updateHealth()
	assert.False(t, c.health.unhealthy)
	c.updateBackpressure()
	assert.InDelta(t, 1-capacityDecrease, c.backpressure.advertisedCapacity, 1e-9)
}

func TestDrainRedirectsCallers(t *testing.T) {
	for kind, want := range map[BackpressureKind]float64{BackpressureLevel: 1, BackpressureCredits: 0, BackpressureWeight: 0} {
		c := newTestController(func(n *Config) { n.Backpressure = kind })
		c.drain.requestedAt = c.now
		c.drain.intakeEnd = c.now + 2*redirectLeadTime
		c.updateBackpressure()
		assert.NotEqual(t, want, c.backpressure.lastSignal, "callers are not redirected earlier, because other nodes may be full")
		c.now = c.now + redirectLeadTime
		c.actions = nil
		c.updateBackpressure()
		assert.Equal(t, want, c.actions[0].Value)
	}
}

// A cold node must not receive full load before it has answered anything.
func TestColdStartAdvertisesLessCapacity(t *testing.T) {
	c := newTestController(func(n *Config) {
		n.ColdStart = true
		n.ColdSpeedShare = 0.25
	})
	assert.Equal(t, 0.25, c.backpressure.advertisedCapacity)
}

// Guards against a node that stays at low capacity because the last queueing delay still counts when no more requests are
// read.
func TestIdleNodeRaisesItsAdvertisedCapacity(t *testing.T) {
	c := newTestController()
	c.callers.queueingDelay = float64(900 * millisecond)
	c.cores.otherRunnable = 2
	c.backpressure.advertisedCapacity = minAdvertisedCapacity
	c.updateBackpressure()
	assert.Equal(t, minAdvertisedCapacity, c.backpressure.advertisedCapacity)
	c.cores.otherRunnable = 0
	c.updateBackpressure()
	assert.InDelta(t, minAdvertisedCapacity+capacityIncrease, c.backpressure.advertisedCapacity, 1e-9)
}

func TestCreditsForManyCallersAreNeverRoundedToZero(t *testing.T) {
	c := newTestController(func(n *Config) { n.Backpressure = BackpressureCredits })
	for caller := range int64(1_000) {
		c.callers.byCaller.Add(caller)
	}
	c.backpressure.advertisedCapacity = minAdvertisedCapacity
	c.updateBackpressure()
	assert.Equal(t, 0.01, c.actions[0].Value)
}

// Without this state, callers would retry at one node after another while every node rejects.
func TestRetryStormMarksTheFleetOverloadedUntilFewAreRejected(t *testing.T) {
	c := newTestController(func(n *Config) { n.RetriesMarked = true })
	c.callers.arrivals = 10
	c.callers.retries = 5
	c.callers.rejected = 4
	c.updateBackpressure()
	assert.True(t, c.backpressure.fleetOverloaded)
	c.callers.retries = 0
	c.updateBackpressure()
	assert.True(t, c.backpressure.fleetOverloaded, "few retries prove nothing: callers were asked not to retry")
	c.callers.rejected = 1
	c.updateBackpressure()
	assert.False(t, c.backpressure.fleetOverloaded)
}
