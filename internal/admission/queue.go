package admission

import (
	"cmp"
	"math"
	"slices"
)

const (
	spareCapacityRankFactor = 1e-3 // factor of the rank of shed operations that spare capacity serves, so that they come after practically all others
)

// orderQueue sorts the invocations that wait for a core by rank, and rejects or fails those that are expected to be late.
func (c *Controller) orderQueue() {
	c.queueOrder = c.queueOrder[:0]
	for _, i := range c.live {
		inv := &c.invocations[i]
		if inv.state != stateQueued && inv.state != statePaused {
			continue
		}
		inv.applyService()
		c.updateRank(inv)
		c.queueOrder = append(c.queueOrder, i)
	}
	c.sortByRank(c.queueOrder)
	c.dropExpectedLate()
}

// dropExpectedLate rejects or fails the queued invocations that are unlikely to end in time to be of value. This saves
// the work that late answers would waste, but it drops too much while a few large invocations raise the estimates.
func (c *Controller) dropExpectedLate() {
	workAhead := c.pendingWork(stateRunning)
	remaining := c.queueOrder[:0]
	for k, i := range c.queueOrder {
		inv := &c.invocations[i]
		work := c.remainingWork(inv)
		end := c.expectedEnd(inv, work)
		startsNow := k == 0 && float64(c.counts.running) < c.cores.count // the highest rank finds a core free
		if !startsNow {
			end += workAhead / c.cores.available()
		}
		if c.isExpectedLate(inv, end, work) {
			c.rejectOrFail(i, expectedLateReason(inv))
			continue
		}
		workAhead += work
		remaining = append(remaining, i)
	}
	c.queueOrder = remaining
}

// isExpectedLate reports whether an invocation with the given expected end and remaining work is unlikely to end in time
// to be of value. Half of all runs end by the median, which is earlier than the expected end.
func (c *Controller) isExpectedLate(inv *invocation, end, work float64) bool {
	medianEnd := end - minRemainingShare*work
	if medianEnd <= c.objectiveEnd(inv) {
		return false
	}
	return inv.operation.LateWeightShare == 0 || end > c.abandonmentTime(inv)
}

func expectedLateReason(inv *invocation) Reason {
	if inv.operation.service.Form == Shed {
		return ReasonDegraded
	}
	return ReasonExpectedLate
}

// updateRank sets the rank of an invocation in the queue: its expected weight for each unit of core time.
func (c *Controller) updateRank(inv *invocation) {
	op := inv.operation
	work := c.remainingWork(inv)
	rank := op.PriorityWeight * inv.weightShare * c.tenantWeightShare(inv.tenant)
	if !c.config.WeightScalesWithWork {
		rank /= work
	}
	if op.service.Form == Shed && !inv.started {
		rank *= spareCapacityRankFactor
	}
	inv.rank = rank * c.expectedWeightShare(inv, work)
}

// expectedWeightShare returns the expected share of its weight that an invocation yields: the probability that it ends
// within its objective, if the time needed for the given remaining work is exponentially distributed, or LateWeightShare
// if it is expected to be late.
func (c *Controller) expectedWeightShare(inv *invocation, work float64) float64 {
	timeNeeded := c.expectedEnd(inv, work) - float64(c.now)
	slack := c.objectiveEnd(inv) - float64(c.now)
	if timeNeeded > slack {
		return inv.operation.LateWeightShare
	}
	return 1 - math.Exp(-slack/timeNeeded)
}

// tenantWeightShare returns the mean share of their weight that invocations of a tenant have. It is below 1 while the
// tenant exceeds the node's part of its quota.
func (c *Controller) tenantWeightShare(tenant int32) float64 {
	if tenant < 0 || c.config.TenantRates[tenant] <= 0 {
		return 1
	}
	// The count to which arrivals at the node's part of the tenant's rate converge.
	countAtQuota := c.config.TenantRates[tenant] / float64(max(1, c.config.Peers)) * float64(tickInterval) / float64(second) / (1 - counterDecay)
	shareWithinQuota := countAtQuota / max(countAtQuota, c.callers.byTenant.Count(int64(tenant)))
	return shareWithinQuota + (1-shareWithinQuota)*c.config.OverQuotaWeightShare
}

// sortByRank sorts indices of invocations by descending rank. Invocations of equal rank retain their order.
func (c *Controller) sortByRank(order []int32) { slices.SortStableFunc(order, c.compareRanks) }

func (c *Controller) compareRanks(a, b int32) int {
	return cmp.Compare(c.invocations[b].rank, c.invocations[a].rank)
}

// enforceDeadlines rejects or fails invocations whose deadline is near, and runs that can't be of value any more.
func (c *Controller) enforceDeadlines() {
	for _, i := range c.live {
		inv := &c.invocations[i]
		if inv.state != stateEnded && (c.isTooLate(inv) || c.now >= inv.deadline-answerMargin) {
			c.rejectOrFail(i, ReasonDeadline)
		}
		if inv.state == stateRunning && inv.answered {
			c.discard(i) // repeated at each tick, because a stop has no effect during an execution pause
		}
	}
}

// isTooLate reports whether an invocation is a run that can be stopped, has missed its objective and is worth nothing
// after that.
func (c *Controller) isTooLate(inv *invocation) bool {
	if inv.state != stateRunning || c.config.StopSupport == StopUnsupported || inv.operation.LateWeightShare != 0 {
		return false
	}
	return float64(c.now) > c.objectiveEnd(inv)
}
