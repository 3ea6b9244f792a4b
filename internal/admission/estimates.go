package admission

import "topazpost/internal/stats"

const (
	ratioBins          = 28  // from 1/128 to 128
	ratioBinsPerOctave = 2.0 // coarse, yet within a fifth

	minRemainingShare = 0.4 // of the expected core time: what half of all runs do without, and one past it still needs
)

func newRatioHistogram(maxSamples float64) stats.RatioHistogram {
	return stats.NewRatioHistogram(ratioBins, ratioBinsPerOctave, maxSamples)
}

// remainingWork is the core time that an invocation is expected still to take.
func (c *Controller) remainingWork(inv *invocation) float64 {
	return inv.remainingWork(c.health.slowdown(), c.cores.clock)
}

// remainingWork is the core time that the invocation is expected still to take on a node with the given slowdown.
func (inv *invocation) remainingWork(slowdown, coreClock float64) float64 {
	expected := inv.usualCoreTime() * slowdown
	spent := inv.coreTime
	if inv.state == stateRunning {
		spent += coreClock - inv.runningSince
	}
	return max(expected-spent, minRemainingShare*expected)
}

// pendingWork is the core time that all invocations in a state are expected still to take.
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

// queueWait is how long it takes to clear the queue. While other threads read, arrivals wait before it as well.
func (c *Controller) queueWait() float64 {
	return c.pendingWork(stateQueued)/c.cores.available() +
		c.callers.queueingDelay*min(1, c.cores.otherRunnable) +
		c.callWait()
}

// callWait is how long a run that requests a call now would wait for its start.
func (c *Controller) callWait() float64 {
	perCall := float64(c.counts.awaitingCall) / float64(max(1, c.counts.calling))
	return perCall * c.calls.durations.Mean(0) * c.calls.durationUnit
}

// expectedEnd is when an invocation with the given work left would end if it ran from now on.
func (c *Controller) expectedEnd(inv *invocation, work float64) float64 {
	end := float64(c.now) + work
	if inv.operation.CallsDependency {
		end += inv.operation.blockedTimes.Mean(0)*float64(inv.operation.LatencyObjective) + c.callWait()
	}
	return end
}

// objectiveEnd is until when an invocation must end to be worth its full weight.
func (c *Controller) objectiveEnd(inv *invocation) float64 {
	objective := float64(inv.arrivedAt+inv.operation.LatencyObjective) + inv.operation.ObjectivePerWork*inv.baseWork
	return min(objective, c.abandonmentTime(inv))
}

// abandonmentTime is when most callers have abandoned an invocation, its deadline at the latest.
func (c *Controller) abandonmentTime(inv *invocation) float64 {
	abandonment := float64(inv.arrivedAt) + c.callers.waitShare*float64(inv.operation.ClientTimeout)
	return min(float64(inv.deadline-answerMargin), abandonment)
}

// retryAfter is when the node can accept more: once the queue is clear or, in a drain, once it is replaced. It is
// randomized, so that rejected callers don't return all at once.
func (c *Controller) retryAfter() int64 {
	if c.drain.requested() {
		return c.config.MaxRetryAfter
	}
	jitter := 0.5 + c.random.Float64()
	return min(c.config.MaxRetryAfter, int64(jitter*c.queueWait()))
}
