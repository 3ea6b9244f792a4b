package admission

import (
	"math"

	"topazpost/internal/stats"
)

const (
	maxCallSamples    = 8.0                      // a second of a small node
	meanBlockedWindow = float64(second)          // some runs
	unlimitedDuration = int64(math.MaxInt64 / 4) // ns; a sum with any time doesn't overflow

	maxCallAttempts        = 4   // one that may have been executed counts for two
	retryableCallTimeRatio = 6.0 // to the usual duration, after which a call times out that may be retried

	usableCallQuotaShare    = 0.9 // the remainder covers ticks and pauses
	callQuotaSlices         = 10  // of the quota's window
	callQuotaParts          = 3.0 // of what is left of the quota; a call may take one of them
	smallQuotaCallTimeRatio = 8.0 // to the usual duration: what a call may take even of a small quota
	minCallTimeRatio        = 2.0 // to the usual duration: a call that may take less does not start
)

// dependencyCalls is the state of the node's calls of its dependency.
type dependencyCalls struct {
	limit        int   // of calls in flight, from a lease; math.MaxInt without one
	maxDuration  int64 // ns, for each call under a lease
	meanBlocked  float64
	quotaUsed    stats.SlidingSum // ns of calls in flight
	failures     stats.RatioHistogram
	durations    stats.RatioHistogram // over durationUnit
	durationUnit float64              // ns
}

func newDependencyCalls(config *Config, durationUnit float64) dependencyCalls {
	return dependencyCalls{
		limit:        math.MaxInt,
		maxDuration:  unlimitedDuration,
		quotaUsed:    stats.NewSlidingSum(config.CallQuotaWindow, callQuotaSlices),
		failures:     newRatioHistogram(maxCallSamples),
		durations:    newRatioHistogram(maxCallSamples),
		durationUnit: durationUnit,
	}
}

// assumeQuotaUsed counts the quota before the start of the process as used, since a former process may have used it.
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

// advanceTime counts the calls in flight towards the quota, up to now.
func (d *dependencyCalls) advanceTime(now int64, elapsed float64, counts *invocationCounts) {
	d.meanBlocked += (float64(counts.blocked()) - d.meanBlocked) * min(1, elapsed/meanBlockedWindow)
	d.quotaUsed.Add(now, elapsed*float64(counts.calling))
}

// abandoned counts a call towards the quota that may still occupy the dependency after its end here.
func (d *dependencyCalls) abandoned(now int64, config *Config) {
	d.quotaUsed.Add(now, float64(config.AbandonedCallTime))
}

// observe learns from a call that ended.
func (d *dependencyCalls) observe(duration float64, outcome Outcome) {
	d.durations.Add(duration / d.durationUnit)
	if outcome == Succeeded {
		d.failures.Add(0)
	} else {
		d.failures.Add(1)
	}
}

// usualDuration is the usual duration of a call (ns), 0 before the first one.
func (d *dependencyCalls) usualDuration() float64 { return d.durations.Mean(0) * d.durationUnit }

// startCalls starts the calls that runs await, those of the highest weight first, then the oldest.
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

// decideCall starts or skips a call, drops the run that awaits it, or lets it wait.
func (c *Controller) decideCall(i int32) {
	inv := &c.invocations[i]
	latestEnd := int64(c.objectiveEnd(inv) - c.remainingWork(inv))
	switch {
	case c.shouldSkipCall(inv, latestEnd):
		c.emit(skipCall(i))
		c.setState(inv, stateRunning)
	case c.isCallFutile(inv):
		c.drop(i, ReasonNoCallCapacity)
	default:
		c.startCallWithinLimits(i, latestEnd)
	}
}

// canSkipCall says whether an invocation is of value without its call.
func (inv *invocation) canSkipCall() bool { return inv.operation.SkippedCallWeightShare > 0 }

// callAttemptsExhausted says whether the call has failed too often.
func (inv *invocation) callAttemptsExhausted() bool { return inv.callAttempts >= maxCallAttempts }

// shouldSkipCall says whether to skip a call that has failed, comes too late or, at random, is likely to fail.
func (c *Controller) shouldSkipCall(inv *invocation, latestEnd int64) bool {
	if !inv.canSkipCall() {
		return false
	}
	return inv.callAttemptsExhausted() || latestEnd <= c.now || c.random.Float64() < c.calls.failures.Mean(0)
}

// isCallFutile says whether the call has failed for good, or ends too late for the run to be of value. While no call is
// in flight none is too late: otherwise nothing would show that calls are fast again.
func (c *Controller) isCallFutile(inv *invocation) bool {
	if inv.callAttemptsExhausted() {
		return true
	}
	if inv.canSkipCall() || inv.operation.LateWeightShare != 0 || c.counts.calling == 0 {
		return false
	}
	return float64(c.now)+c.calls.usualDuration() > c.objectiveEnd(inv)
}

func (c *Controller) startCallWithinLimits(i int32, latestEnd int64) {
	inv := &c.invocations[i]
	maxDuration := c.maxNextCallTime()
	deadline := c.callDeadline(inv, maxDuration, latestEnd)
	if maxDuration <= 0 || deadline <= c.now || c.counts.calling >= c.calls.limit {
		return
	}
	inv.callStartedAt = c.now
	inv.callDeadline = deadline
	inv.callAttempts++
	c.emit(startCall(i, deadline))
	c.setState(inv, stateCalling)
}

// callDeadline is when a call that starts now times out: early where it may be skipped or retried then.
func (c *Controller) callDeadline(inv *invocation, maxDuration, latestEnd int64) int64 {
	deadline := min(inv.deadline-answerMargin, c.now+min(maxDuration, c.calls.maxDuration))
	if inv.canSkipCall() {
		return min(deadline, latestEnd)
	}
	usualRatio := c.calls.durations.Mean(0)
	if inv.operation.Idempotency == Idempotent && inv.callAttempts < maxCallAttempts/2 && usualRatio > 0 {
		return min(deadline, c.now+int64(retryableCallTimeRatio*usualRatio*c.calls.durationUnit))
	}
	return deadline
}

// maxNextCallTime is how long the quota lets one more call take, if all calls in flight last to their deadlines; 0 if
// none may start. It takes a part of what is left, so that a call that hangs doesn't use up the quota, but some times
// the usual duration where that is more. A lease limits the number of calls instead of their time.
func (c *Controller) maxNextCallTime() int64 {
	if c.config.Dependency != SharedDependency || c.calls.limit < math.MaxInt {
		return unlimitedDuration
	}
	afterAbandoning := float64(c.config.AbandonedCallTime)
	left := c.callQuotaLeft(afterAbandoning)
	usual := c.calls.usualDuration()
	maxDuration := max(left/callQuotaParts-afterAbandoning, min(left-afterAbandoning, smallQuotaCallTimeRatio*usual))
	if maxDuration < minCallTimeRatio*usual {
		return 0
	}
	return int64(maxDuration)
}

// callQuotaLeft is what the calls in flight leave of the quota, if all of them are abandoned at their deadlines.
func (c *Controller) callQuotaLeft(afterAbandoning float64) float64 {
	quota := usableCallQuotaShare * c.config.CallQuota * float64(c.config.CallQuotaWindow)
	left := quota - c.calls.quotaUsed.Sum()
	for _, i := range c.live {
		inv := &c.invocations[i]
		if inv.state == stateCalling {
			left -= float64(max(0, inv.callDeadline-c.now)) + afterAbandoning
		}
	}
	return left
}

// callEnded learns from a call. One that failed is retried if it was not executed or, once, if it is idempotent. Such
// retries make up for lost replies, and add load where a dependency fails because of its load.
func (c *Controller) callEnded(inv *invocation, outcome Outcome) {
	duration := float64(c.now - inv.callStartedAt)
	c.calls.observe(duration, outcome)
	if outcome == Succeeded {
		inv.operation.blockedTimes.Add(duration / float64(inv.operation.LatencyObjective))
		inv.callAttempts = 0
		c.setState(inv, stateRunning)
		return
	}
	c.setState(inv, stateAwaitingCall)
	if outcome != Overloaded && outcome != Unreachable {
		inv.callAttempts += unprovenAttempts(inv.operation.Idempotency)
		c.calls.abandoned(c.now, c.config)
	}
}

// unprovenAttempts is how many attempts more a call counts for that may have been executed: all, unless the operation
// is idempotent.
func unprovenAttempts(idempotency Idempotency) int {
	if idempotency == Idempotent {
		return 1
	}
	return 1 + maxCallAttempts
}
