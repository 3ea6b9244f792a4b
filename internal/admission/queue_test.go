package admission

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestRunAtItsDeadlineFailsAndIsStopped(t *testing.T) {
	c := newTestController()
	inv := insertInvocation(c, 0, stateRunning)
	inv.deadline = c.now + answerMargin
	c.enforceDeadlines()
	assert.Equal(t, []ActionKind{Fail, Stop, Stop}, actionKinds(c)) // stopped with the answer, and again by the repetition
	assert.True(t, inv.answered)
}

func TestRunPastItsObjectiveContinuesWithoutStopSupport(t *testing.T) {
	c := newTestController(func(n *Config) { n.StopSupport = StopUnsupported })
	inv := insertInvocation(c, 0, stateRunning)
	inv.arrivedAt -= 2_000 * millisecond
	c.enforceDeadlines()
	assert.Empty(t, c.actions)
}

func TestInvocationExpectedLateIsRejectedAtOnceWithRetryAfter(t *testing.T) {
	c := newTestController()
	c.callers.queueingDelay = float64(300 * millisecond)
	inv := insertInvocation(c, 0, stateQueued)
	inv.arrivedAt -= 950 * millisecond
	c.orderQueue()
	assert.Equal(t, []ActionKind{Reject}, actionKinds(c))
	assert.Positive(t, c.actions[0].Duration)
	assert.Equal(t, stateEnded, inv.state)
}

func TestQueueOrdersByWeightPerCoreTime(t *testing.T) {
	c := newTestController()
	insertInvocation(c, 0, stateQueued)
	insertInvocation(c, 1, stateQueued)
	big := insertInvocation(c, 1, stateQueued)
	big.baseWork *= 3
	c.orderQueue()
	assert.Equal(t, []int32{1, 2, 0}, c.queueOrder)
}

func TestTenantOverItsQuotaHasLowerWeight(t *testing.T) {
	c := newTestController(func(n *Config) {
		n.TenantRates = []float64{2, 2}
		n.OverQuotaWeightShare = 0.1
	})
	for k := range 50 {
		c.callers.byTenant.Add(0)
		if k < 5 {
			c.callers.byTenant.Add(1)
		}
	}
	c.callers.byTenant.Decay(0.5, 0)
	assert.Equal(t, []float64{25, 2.5}, []float64{c.callers.byTenant.Count(0), c.callers.byTenant.Count(1)})
	assert.InDelta(t, (1+9*0.1)/10, c.tenantWeightShare(0), 1e-9)
	assert.Equal(t, 1.0, c.tenantWeightShare(1))
}

// Invocations that were read late must not displace invocations that still have time.
func TestLittleSlackLowersTheRank(t *testing.T) {
	c := newTestController()
	fresh := insertInvocation(c, 0, stateQueued)
	stale := insertInvocation(c, 0, stateQueued)
	late := insertInvocation(c, 0, stateQueued)
	stale.arrivedAt -= 800 * millisecond
	late.arrivedAt -= 2_000 * millisecond
	for _, inv := range []*invocation{fresh, stale, late} {
		c.updateRank(inv)
	}
	assert.Greater(t, fresh.rank, stale.rank)
	assert.Positive(t, stale.rank)
	assert.Zero(t, late.rank)
}

// Service times are skewed: a decision by their mean would drop invocations that mostly end within their objective.
func TestQueueRetainsInvocationsThatTypicallyEndInTime(t *testing.T) {
	c := newTestController()
	inv := insertInvocation(c, 0, stateQueued)
	inv.arrivedAt -= 930 * millisecond // 70 ms are left, 100 are expected
	c.orderQueue()
	assert.Empty(t, c.actions)
	inv.arrivedAt -= 20 * millisecond
	c.orderQueue()
	assert.Equal(t, []ActionKind{Reject}, actionKinds(c))
}

// When most callers abandon well before the client timeout, invocations must not wait in the queue for longer than that.
func TestQueueAccountsForEarlyAbandonment(t *testing.T) {
	c := newTestController()
	for range 20 {
		inv := insertInvocation(c, 0, stateQueued)
		inv.arrivedAt -= 300 * millisecond
		c.apply(&Event{Kind: CallerDisconnected, Invocation: int32(len(c.invocations) - 1)})
	}
	c.callers.waitShare = c.callers.waitTimes.TimeAtSurvival(minWaitingCallerShare)
	assert.InDelta(t, 0.1, c.callers.waitShare, 1.0/waitTimeBins)
	inv := insertInvocation(c, 0, stateQueued)
	inv.arrivedAt -= 200 * millisecond
	c.callers.queueingDelay = 0
	c.actions = c.actions[:0]
	c.orderQueue()
	assert.Equal(t, []ActionKind{Reject}, actionKinds(c))
}
