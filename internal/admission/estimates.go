package admission

import "topazpost/internal/stats"

const (
	ratioBins          = 28  // from 1/128 to about 90
	ratioBinsPerOctave = 2.0 // rounds a ratio by less than a fifth

	// minRemainingShare is a share of the expected core time of a run. A run that has used up its expected core time is
	// assumed to need this much more. Service times are skewed, so that half of all runs need less than the expected core
	// time by this share.
	minRemainingShare = 0.4
)

func newRatioHistogram(maxSamples float64) stats.RatioHistogram {
	return stats.NewRatioHistogram(ratioBins, ratioBinsPerOctave, maxSamples)
}

// remainingWork returns the core time (ns) that an invocation is expected still to need.
func (c *Controller) remainingWork(inv *invocation) float64 {
	return inv.remainingWork(c.health.slowdown(), c.cores.clock)
}

// remainingWork returns the core time (ns) that the invocation is expected still to need on a node with the given slowdown.
func (inv *invocation) remainingWork(slowdown, coreClock float64) float64 {
	expected := inv.usualCoreTime() * slowdown
	spent := inv.coreTime
	if inv.state == stateRunning {
		spent += coreClock - inv.clockAtStateChange
	}
	return max(expected-spent, minRemainingShare*expected)
}

// pendingWork returns the core time (ns) that all invocations in a state are expected still to need.
func (c *Controller) pendingWork(state invocationState) float64 {
	slowdown := c.health.slowdown()
	sum := 0.0
	for _, i := range c.live {
		inv := &c.invocations[i]
		if inv.state == state {
			sum += inv.remainingWork(slowdown, c.cores.clock)
		}
	}
	return sum
}

// queueWait returns how long a new arrival is expected to wait (ns). It is the sum of the time to clear the queue, the
// queueing delay and the wait for the start of the dependency call. The queueing delay counts only while threads other
// than runs are runnable, because its last value stays when no requests arrive.
func (c *Controller) queueWait() float64 {
	return c.pendingWork(stateQueued)/c.cores.available() +
		c.callers.queueingDelay*min(1, c.cores.otherRunnable) +
		c.callWait()
}

// callWait returns how long a run that requests a call now would wait for the start of the call (ns).
func (c *Controller) callWait() float64 {
	waitingPerCall := float64(c.counts.awaitingCall) / float64(max(1, c.counts.calling))
	return waitingPerCall * c.calls.durationRatios.Mean(0) * c.calls.durationUnit
}

// expectedEnd returns when an invocation with the given remaining work would end if it ran from now on.
func (c *Controller) expectedEnd(inv *invocation, work float64) float64 {
	end := float64(c.now) + work
	if inv.operation.CallsDependency {
		end += inv.operation.blockedTimeRatios.Mean(0)*float64(inv.operation.LatencyObjective) + c.callWait()
	}
	return end
}

// objectiveEnd returns the time by which an invocation must end to be worth its full weight.
func (c *Controller) objectiveEnd(inv *invocation) float64 {
	objective := float64(inv.arrivedAt+inv.operation.LatencyObjective) + inv.operation.ObjectivePerWork*inv.baseWork
	return min(objective, c.abandonmentTime(inv))
}

// abandonmentTime returns the time until which most callers wait for an invocation, or the time of the final answer before
// its deadline if that is earlier.
func (c *Controller) abandonmentTime(inv *invocation) float64 {
	abandonment := float64(inv.arrivedAt) + c.callers.waitShare*float64(inv.operation.ClientTimeout)
	return min(float64(inv.deadline-answerMargin), abandonment)
}

// retryAfter returns how long a rejected caller should wait (ns). In a drain it is the maximum, because callers should wait
// until the node is replaced. Otherwise it is the time to clear the queue, randomized so that rejected callers don't return
// all at once.
func (c *Controller) retryAfter() int64 {
	if c.drain.requested() {
		return c.config.MaxRetryAfter
	}
	jitter := 0.5 + c.random.Float64()
	return min(c.config.MaxRetryAfter, int64(jitter*c.queueWait()))
}
