package admission

const (
	safeOverloadShare  = 0.75 // of the survivable concurrency: the remainder is for returns from calls and pauses
	maxBlockedOverMean = 2.0  // runs blocked on calls over their mean, while no core is idle: calls come in waves
	preemptionRatio    = 1.5  // of the rank of a waiting invocation to that of a run whose place it takes

	limitIncrease    = 0.25 // of the limit, while cores are idle and work waits
	limitDecrease    = 0.25 // runs, at each tick while no core is idle
	limitBackoff     = 0.8  // of the best throughput: below it, throughput has dropped; also the factor of the limit then
	throughputWindow = 20 * tickInterval
)

// concurrencyLimit is the adaptive limit of concurrent runs on the cores.
type concurrencyLimit struct {
	limit          float64
	bestThroughput float64 // at lower limits: core time (ns) of completed runs over time (ns)
	completedWork  float64 // ns of core time within the window
	windowStart    int64
}

// adjustConcurrencyLimit raises the limit while cores are idle and work waits, lowers it while none is, and backs off
// when throughput drops.
func (c *Controller) adjustConcurrencyLimit() {
	l := &c.concurrency
	limited := len(c.queueOrder) > 0 && float64(c.counts.running) >= l.limit-1
	if !c.cores.idle {
		l.limit -= limitDecrease
	} else if limited {
		l.limit += max(1, limitIncrease*l.limit)
	}
	if c.now-l.windowStart >= throughputWindow {
		l.compareThroughput(c.now, c.cores.count, limited)
	}
	l.limit = max(c.cores.count, min(l.limit, c.maxSafeConcurrency()))
}

// countCompleted counts the usual core time of a completed run towards throughput.
func (l *concurrencyLimit) countCompleted(coreTime float64) { l.completedWork += coreTime }

// compareThroughput ends a window: it backs off where throughput was lower than at a lower limit.
func (l *concurrencyLimit) compareThroughput(now int64, minLimit float64, limited bool) {
	throughput := l.completedWork / float64(now-l.windowStart)
	if l.limit > minLimit && limited && throughput < limitBackoff*l.bestThroughput {
		l.limit *= limitBackoff
	} else if l.limit <= minLimit || throughput > l.bestThroughput {
		l.bestThroughput = throughput
	}
	l.completedWork = 0
	l.windowStart = now
}

// maxSafeConcurrency is the number of runs, on the cores or blocked, that the node safely survives now. While it warms
// up, that is at the slowest warm-up that is guaranteed.
func (c *Controller) maxSafeConcurrency() float64 {
	warmth := 1.0
	if c.config.ColdStart {
		age := float64(c.now-c.startedAt) / float64(max(1, c.config.WarmUpTime))
		warmth = min(1, c.config.ColdSpeedShare+(1-c.config.ColdSpeedShare)*age)
	}
	return safeOverloadShare * c.cores.count * (1 + (c.config.SurvivableRunsPerCore-1)*warmth)
}

// startRuns starts queued invocations in order, up to the limits. Other threads count towards the limit of runs on the
// cores, but one run always goes on. Runs that are blocked on calls return to the cores by themselves, so that they are
// limited together with those on the cores.
func (c *Controller) startRuns() {
	maxRunning := max(1, c.concurrency.limit-c.cores.otherRunnable)
	maxTotal := c.maxSafeConcurrency()
	if !c.cores.idle {
		maxTotal = min(maxTotal, maxRunning+maxBlockedOverMean*c.calls.meanBlocked)
	}
	for _, i := range c.queueOrder {
		inv := &c.invocations[i]
		total := c.counts.running + c.counts.blocked()
		if float64(c.counts.running) >= maxRunning || float64(total) >= maxTotal {
			c.preemptFor(inv)
			return
		}
		if c.canAllocateRun(inv) {
			c.startRun(i)
		}
	}
}

func (c *Controller) startRun(i int32) {
	inv := &c.invocations[i]
	form := c.formToRun(inv)
	inv.started = true
	c.emit(run(i, form))
	c.setState(inv, stateRunning)
}

// preemptFor stops the run of the lowest rank, if it ranks far below a waiting invocation and still ends in time after
// it. It prevents long runs from delaying invocations of short objectives, and relies on the estimates of both.
func (c *Controller) preemptFor(waiting *invocation) {
	if c.config.StopSupport != StopKeepsProgress {
		return
	}
	delay := c.remainingWork(waiting)
	lowest := int32(-1)
	lowestRank := waiting.rank
	for _, i := range c.live {
		inv := &c.invocations[i]
		if !c.canDelay(inv, delay) {
			continue
		}
		c.updateRank(inv)
		rank := inv.rank * preemptionRatio
		if rank < lowestRank {
			lowest = i
			lowestRank = rank
		}
	}
	if lowest >= 0 {
		c.emit(stop(lowest))
	}
}

// canDelay says whether an invocation is a run that ends within its objective also if it is delayed.
func (c *Controller) canDelay(inv *invocation, delay float64) bool {
	if inv.state != stateRunning || inv.answered {
		return false
	}
	return c.expectedEnd(inv, c.remainingWork(inv))+delay < c.objectiveEnd(inv)
}

// observeServiceTime learns from a run that ended. The cost of one that failed early is not typical.
func (c *Controller) observeServiceTime(inv *invocation, outcome Outcome) {
	usual := inv.usualCoreTime()
	if outcome != Succeeded && inv.coreTime <= usual {
		return
	}
	c.health.observeServiceTime(inv.coreTime / usual)
	inv.operation.serviceTimes.Add(inv.coreTime / (inv.baseWork * inv.workShare))
	c.concurrency.countCompleted(usual)
}
