package admission

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestSafeConcurrencyIsLowerWhileWarmingUp(t *testing.T) {
	c := newTestController(func(n *Config) {
		n.ColdStart = true
		n.ColdSpeedShare = 0.2
		n.WarmUpTime = 10_000 * millisecond
	})
	assert.InDelta(t, safeConcurrencyShare*2*(1+3*0.2), c.maxSafeConcurrency(), 1e-9)
	c.now += 20_000 * millisecond
	assert.InDelta(t, safeConcurrencyShare*2*4, c.maxSafeConcurrency(), 1e-9)
}

func TestRunsBlockedOnCallsCountTowardsSafeConcurrency(t *testing.T) {
	c := newTestController()
	for range 6 {
		insertInvocation(c, 0, stateAwaitingCall)
	}
	insertInvocation(c, 0, stateQueued)
	c.queueOrder = []int32{6}
	c.startRuns()
	assert.Empty(t, c.actions)
}

func TestLimitGrowsWhileCoresAreIdleAndFallsWithThroughput(t *testing.T) {
	c := newTestController()
	insertInvocation(c, 0, stateQueued)
	c.queueOrder = []int32{0}
	c.counts.running = 2
	c.cores.idle = true
	c.adjustConcurrencyLimit()
	assert.Equal(t, 3.0, c.concurrency.limit)
	c.cores.idle = false
	c.concurrency.bestThroughput = 1
	c.counts.running = 3
	c.now = c.now + 20*tickInterval
	c.adjustConcurrencyLimit()
	assert.InDelta(t, (3-limitDecrease)*limitBackoff, c.concurrency.limit, 1e-9)
	c.concurrency.limit = 0
	c.adjustConcurrencyLimit()
	assert.Equal(t, 2.0, c.concurrency.limit, "never below the number of cores")
}

// Threads that read requests and runs together must not overload the cores.
func TestOtherRunnableThreadsCountTowardsTheLimit(t *testing.T) {
	c := newTestController()
	insertInvocation(c, 0, stateQueued)
	insertInvocation(c, 0, stateQueued)
	c.queueOrder = []int32{0, 1}
	c.cores.otherRunnable = 2
	c.startRuns()
	assert.Equal(t, []ActionKind{Run}, actionKinds(c))
}

// Runs that return from calls all at once must not overload a node that starts new runs only up to the limit.
func TestReturnsFromCallsCannotOverloadFewCores(t *testing.T) {
	c := newTestController()
	insertInvocation(c, 0, stateQueued)
	insertInvocation(c, 0, stateCalling)
	insertInvocation(c, 0, stateCalling)
	c.queueOrder = []int32{0}
	c.calls.meanBlocked = 0
	c.startRuns()
	assert.Empty(t, c.actions)
	c.calls.meanBlocked = 0.6
	c.startRuns()
	assert.Equal(t, []ActionKind{Run}, actionKinds(c))
}

// On few cores, an invocation with a short objective would miss it while it waits behind one long run of low weight.
func TestHighRankPreemptsALongRunThatStillEndsInTime(t *testing.T) {
	for late, want := range map[int64][]ActionKind{0: {Stop}, 900 * millisecond: {}} {
		c := newTestController()
		c.concurrency.limit = 1
		insertInvocation(c, 0, stateRunning).arrivedAt -= late
		first := insertInvocation(c, 1, stateQueued)
		c.updateRank(first)
		c.queueOrder = []int32{1}
		c.startRuns()
		assert.Equal(t, want, actionKinds(c))
	}
}
