package admission

const (
	safeConcurrencyShare  = 0.75 // of the survivable concurrency; the rest covers returns from calls and execution pauses
	maxBlockedToMeanRatio = 2.0  // while no core is idle: blocked runs allowed beyond the limit of runs, over their mean; calls come in bursts
	preemptionRatio       = 1.5  // least ratio of a waiting invocation's rank to that of the run that it preempts

	limitIncrease    = 0.25 // of the limit, added at each tick while cores are idle and work waits
	limitDecrease    = 0.25 // runs, subtracted at each tick while no core is idle
	limitBackoff     = 0.8  // threshold of throughput over the best, and factor of the limit below the threshold
	throughputWindow = 20 * tickInterval
)

// concurrencyLimit is the adaptive limit of concurrent runs on the cores.
type concurrencyLimit struct {
	limit          float64
	bestThroughput float64 // since the limit was at its minimum: core time (ns) of completed runs over time (ns)
	completedWork  float64 // ns of core time within the window
	windowStart    int64
}

// adjustConcurrencyLimit raises the limit while cores are idle and work waits, lowers it while no core is idle, and
// reduces it further when throughput drops.
func (c *Controller) adjustConcurrencyLimit() {
	l := &c.concurrency
	atLimit := len(c.queueOrder) > 0 && float64(c.counts.running) >= l.limit-1
	if !c.cores.idle {
		l.limit -= limitDecrease
	} else if atLimit {
		l.limit += max(1, limitIncrease*l.limit)
	}
	if c.now-l.windowStart >= throughputWindow {
		l.compareThroughput(c.now, c.cores.count, atLimit)
	}
	l.limit = max(c.cores.count, min(l.limit, c.maxSafeConcurrency()))
}

// countCompleted adds the usual core time of a completed run to the throughput window.
func (l *concurrencyLimit) countCompleted(coreTime float64) { l.completedWork += coreTime }

// compareThroughput ends a throughput window. It reduces the limit if throughput was clearly lower than the best one since
// the limit was at its minimum.
func (l *concurrencyLimit) compareThroughput(now int64, minLimit float64, atLimit bool) {
	throughput := l.completedWork / float64(now-l.windowStart)
	if l.limit > minLimit && atLimit && throughput < limitBackoff*l.bestThroughput {
		l.limit *= limitBackoff
	} else if l.limit <= minLimit || throughput > l.bestThroughput {
		l.bestThroughput = throughput
	}
	l.completedWork = 0
	l.windowStart = now
}

// maxSafeConcurrency returns the number of runs, on the cores or blocked, up to which the node safely does not collapse.
// During a warm-up it assumes that the speed of the cores rises linearly over WarmUpTime.
func (c *Controller) maxSafeConcurrency() float64 {
	speedShare := 1.0
	if c.config.ColdStart {
		age := float64(c.now-c.coresStartedAt) / float64(max(1, c.config.WarmUpTime))
		speedShare = min(1, c.config.ColdSpeedShare+(1-c.config.ColdSpeedShare)*age)
	}
	return safeConcurrencyShare * c.cores.count * (1 + (c.config.SurvivableRunsPerCore-1)*speedShare)
}

// startRuns starts queued invocations by rank, up to two limits. One limits the runs on the cores; other runnable threads
// count towards it, but one run is always allowed. The other limits the sum of these runs and of the runs that are
// blocked on calls, because those return to the cores without a decision of the controller.
func (c *Controller) startRuns() {
	maxRunning := max(1, c.concurrency.limit-c.cores.otherRunnable)
	maxTotal := c.maxSafeConcurrency()
	if !c.cores.idle {
		maxTotal = min(maxTotal, maxRunning+maxBlockedToMeanRatio*c.calls.meanBlocked)
	}
	for _, i := range c.queueOrder {
		inv := &c.invocations[i]
		total := c.counts.runs()
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

// preemptFor stops the run of the lowest rank if it ranks far below a waiting invocation and would still meet its
// objective if it ran after that. This prevents long runs from delaying invocations with short objectives. It relies on
// the estimated work of both.
func (c *Controller) preemptFor(waiting *invocation) {
	if c.config.StopSupport != StopKeepsProgress {
		return
	}
	delay := c.remainingWork(waiting)
	lowest := int32(-1)
	lowestRank := waiting.rank
	for _, i := range c.live {
		inv := &c.invocations[i]
		if !c.canBeDelayed(inv, delay) {
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

// canBeDelayed reports whether an invocation is a run that would meet its objective despite the given delay (ns).
func (c *Controller) canBeDelayed(inv *invocation, delay float64) bool {
	if inv.state != stateRunning || inv.answered {
		return false
	}
	return c.expectedEnd(inv, c.remainingWork(inv))+delay < c.objectiveEnd(inv)
}

// observeServiceTime records the core time of a run that ended. It ignores runs that failed early, whose core time is
// not typical, and those that never started: they used no core while they counted as running.
func (c *Controller) observeServiceTime(inv *invocation, outcome Outcome) {
	usual := inv.usualCoreTime()
	if outcome == NeverStarted || outcome != Succeeded && inv.coreTime <= usual {
		return
	}
	c.health.observeServiceTime(inv.coreTime / usual)
	inv.operation.serviceTimeRatios.Add(inv.coreTime / (inv.baseWork * inv.workShare))
	c.concurrency.countCompleted(usual)
}
