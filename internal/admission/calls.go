package admission

import (
	"math"

	"topazpost/internal/stats"
)

const (
	maxCallSamples    = 8.0                      // about a second of calls at a small node
	meanBlockedWindow = float64(second)          // ns, the duration of several runs
	unlimitedDuration = int64(math.MaxInt64 / 4) // ns; added to any time, it doesn't overflow

	maxCallAttempts        = 4   // limit of callAttemptsCharged
	retryableCallTimeRatio = 6.0 // timeout of a call that may be retried, over the usual duration

	usableCallQuotaShare    = 0.9 // the rest of the quota covers delays by ticks and execution pauses
	callQuotaSlices         = 10  // slices of the quota's sliding window
	callQuotaDivisor        = 3.0 // a call may take the unused quota divided by this number
	smallQuotaCallTimeRatio = 8.0 // over the usual duration: what a call may take even if the unused quota is small
	minCallTimeRatio        = 2.0 // over the usual duration: a call that may take less than this does not start
)

// dependencyCalls is the state of the calls that the node's runs make to the dependency.
type dependencyCalls struct {
	limit          int                  // maximum of calls in flight, from a lease; math.MaxInt where no leases are used
	maxDuration    int64                // ns, of each call under a lease
	meanBlocked    float64              // smoothed number of runs that are blocked on calls
	quotaUsed      stats.SlidingSum     // ns, duration of calls within the quota's window
	failures       stats.RatioHistogram // 1 for a failed call, 0 for a successful one, which counts as the lowest bin
	durationRatios stats.RatioHistogram // over durationUnit
	durationUnit   float64              // ns
}

func newDependencyCalls(config *Config, durationUnit float64) dependencyCalls {
	return dependencyCalls{
		limit:          math.MaxInt,
		maxDuration:    unlimitedDuration,
		quotaUsed:      stats.NewSlidingSum(config.CallQuotaWindow, callQuotaSlices),
		failures:       newRatioHistogram(maxCallSamples),
		durationRatios: newRatioHistogram(maxCallSamples),
		durationUnit:   durationUnit,
	}
}

// assumeQuotaUsed counts the quota of the window before the start of the process as used, because a previous process may
// have used it.
func (d *dependencyCalls) assumeQuotaUsed(config *Config, processStart int64) {
	perSlice := usableCallQuotaShare * config.CallQuota * float64(config.CallQuotaWindow) / callQuotaSlices
	for slice := int64(callQuotaSlices); slice > 0; slice-- {
		d.quotaUsed.Add(processStart-slice*config.CallQuotaWindow/callQuotaSlices, perSlice)
	}
}

// setLimit sets the limits of a lease.
func (d *dependencyCalls) setLimit(limit int, maxDuration int64) {
	d.limit = limit
	d.maxDuration = maxDuration
}

// advanceTime counts the time elapsed in calls towards the quota and updates the mean number of blocked runs.
func (d *dependencyCalls) advanceTime(now int64, elapsed float64, counts *invocationCounts) {
	d.meanBlocked += (float64(counts.blocked()) - d.meanBlocked) * min(1, elapsed/meanBlockedWindow)
	d.quotaUsed.Add(now, elapsed*float64(counts.calling))
}

// countAbandoned counts towards the quota the time for which an abandoned call may still occupy the dependency.
func (d *dependencyCalls) countAbandoned(now int64, config *Config) {
	d.quotaUsed.Add(now, float64(config.AbandonedCallTime))
}

// observe records the duration (ns) and the outcome of a call.
func (d *dependencyCalls) observe(duration float64, outcome Outcome) {
	d.durationRatios.Add(duration / d.durationUnit)
	if outcome == Succeeded {
		d.failures.Add(0)
	} else {
		d.failures.Add(1)
	}
}

// usualDuration returns the mean duration (ns) of recent calls and of one assumed call of duration 0.
func (d *dependencyCalls) usualDuration() float64 { return d.durationRatios.Mean(0) * d.durationUnit }

// startCalls starts the calls that runs await, by descending weight, and by age among equal weights.
func (c *Controller) startCalls() {
	c.callOrder = c.callOrder[:0]
	for _, i := range c.live {
		inv := &c.invocations[i]
		if inv.state == stateAwaitingCall && !inv.answered {
			inv.rank = inv.operation.PriorityWeight * inv.weightShare
			c.callOrder = append(c.callOrder, i)
		}
	}
	c.sortByRank(c.callOrder)
	for _, i := range c.callOrder {
		c.decideCall(i)
	}
}

// decideCall starts or skips the call that an invocation awaits, fails the invocation, or leaves it waiting.
func (c *Controller) decideCall(i int32) {
	inv := &c.invocations[i]
	latestEnd := int64(c.objectiveEnd(inv) - c.remainingWork(inv)) // of the call, for the run to meet its objective
	switch {
	case c.shouldSkipCall(inv, latestEnd):
		c.emit(skipCall(i))
		c.setState(inv, stateRunning)
	case c.isCallFutile(inv):
		c.rejectOrFail(i, ReasonCallFutile)
	default:
		c.startCallWithinLimits(i, latestEnd)
	}
}

// canSkipCall reports whether an invocation is of value without its call.
func (inv *invocation) canSkipCall() bool { return inv.operation.SkippedCallWeightShare > 0 }

// callAttemptsExhausted reports whether the call has failed too often to be retried.
func (inv *invocation) callAttemptsExhausted() bool {
	return inv.callAttemptsCharged >= maxCallAttempts
}

// shouldSkipCall reports whether to skip a call: because it has failed too often, because it is too late for the run to
// meet its objective, or at random, with the share of recent calls that failed as the probability.
func (c *Controller) shouldSkipCall(inv *invocation, latestEnd int64) bool {
	if !inv.canSkipCall() {
		return false
	}
	return inv.callAttemptsExhausted() || latestEnd <= c.now || c.random.Float64() < c.calls.failures.Mean(0)
}

// isCallFutile reports whether a call has failed too often, or is expected to end too late for the run to be of value.
// While no call is in flight, no call counts as too late: otherwise no call would show that the dependency is fast again.
func (c *Controller) isCallFutile(inv *invocation) bool {
	if inv.callAttemptsExhausted() {
		return true
	}
	if inv.canSkipCall() || inv.operation.LateWeightShare != 0 || c.counts.calling == 0 {
		return false
	}
	return float64(c.now)+c.calls.usualDuration() > c.objectiveEnd(inv)
}

// startCallWithinLimits starts a call unless the quota, the lease or the time left forbids it.
func (c *Controller) startCallWithinLimits(i int32, latestEnd int64) {
	inv := &c.invocations[i]
	maxDuration := c.maxNextCallTime()
	deadline := c.callDeadline(inv, maxDuration, latestEnd)
	if maxDuration <= 0 || deadline <= c.now || c.counts.calling >= c.calls.limit {
		return
	}
	inv.callStartedAt = c.now
	inv.callDeadline = deadline
	inv.callAttemptsCharged++
	c.emit(startCall(i, deadline))
	c.setState(inv, stateCalling)
}

// callDeadline returns when a call that starts now times out. A call that may be skipped or retried times out early, to
// leave time for that.
func (c *Controller) callDeadline(inv *invocation, maxDuration, latestEnd int64) int64 {
	deadline := min(inv.deadline-answerMargin, c.now+min(maxDuration, c.calls.maxDuration))
	if inv.canSkipCall() {
		return min(deadline, latestEnd)
	}
	usualRatio := c.calls.durationRatios.Mean(0)
	// Below half of the attempts, a timed-out attempt, which is charged twice, still leaves one for the retry.
	if inv.operation.Idempotency == Idempotent && inv.callAttemptsCharged < maxCallAttempts/2 && usualRatio > 0 {
		return min(deadline, c.now+int64(retryableCallTimeRatio*usualRatio*c.calls.durationUnit))
	}
	return deadline
}

// maxNextCallTime returns how long the quota allows one more call to take, assuming that all calls in flight last to
// their deadlines; 0 if no call may start. A call may take a fraction of the unused quota, so that one hanging call
// doesn't use it up, or a multiple of the usual duration where that is longer. With a lease the quota does not apply: the
// lease limits the number of calls.
func (c *Controller) maxNextCallTime() int64 {
	if c.config.Dependency != SharedDependency || c.calls.limit < math.MaxInt {
		return unlimitedDuration
	}
	abandonedTime := float64(c.config.AbandonedCallTime)
	quotaLeft := c.callQuotaLeft(abandonedTime)
	usual := c.calls.usualDuration()
	maxDuration := max(quotaLeft/callQuotaDivisor-abandonedTime, min(quotaLeft-abandonedTime, smallQuotaCallTimeRatio*usual))
	if maxDuration < minCallTimeRatio*usual {
		return 0
	}
	return int64(maxDuration)
}

// callQuotaLeft returns the unused quota (ns), assuming that all calls in flight are abandoned at their deadlines and
// then occupy the dependency for abandonedTime (ns).
func (c *Controller) callQuotaLeft(abandonedTime float64) float64 {
	quota := usableCallQuotaShare * c.config.CallQuota * float64(c.config.CallQuotaWindow)
	quotaLeft := quota - c.calls.quotaUsed.Sum()
	for _, i := range c.live {
		inv := &c.invocations[i]
		if inv.state == stateCalling {
			quotaLeft -= float64(max(0, inv.callDeadline-c.now)) + abandonedTime
		}
	}
	return quotaLeft
}

// handleCallEnded records the end of a call. A failed call is retried if it was certainly not executed, or once if its
// operation is Idempotent. Retries make up for lost replies, but add load to a dependency that fails under load.
func (c *Controller) handleCallEnded(inv *invocation, outcome Outcome) {
	duration := float64(c.now - inv.callStartedAt)
	c.calls.observe(duration, outcome)
	if outcome == Succeeded {
		inv.operation.blockedTimeRatios.Add(duration / float64(inv.operation.LatencyObjective))
		inv.callAttemptsCharged = 0
		c.setState(inv, stateRunning)
		return
	}
	c.setState(inv, stateAwaitingCall)
	if outcome != Overloaded && outcome != Unreachable {
		inv.callAttemptsCharged += extraAttempts(inv.operation.Idempotency)
		c.calls.countAbandoned(c.now, c.config)
	}
}

// extraAttempts returns the attempts that are charged, besides its own, for a failed call that may have been executed.
// They rule out a retry unless the operation is Idempotent.
func extraAttempts(idempotency Idempotency) int {
	if idempotency == Idempotent {
		return 1
	}
	return 1 + maxCallAttempts
}
