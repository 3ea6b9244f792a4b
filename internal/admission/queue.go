package admission

import (
	"cmp"
	"math"
	"slices"
)

const (
	spareCapacityRankFactor = 1e-3 // of the rank, for shed operations that spare capacity serves: last
)

// orderQueue ranks the invocations that wait for a core and drops those that are unlikely to end in time.
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
	c.dropUnlikelyInTime()
}

// dropUnlikelyInTime drops the invocations of the queue that are unlikely to end in time to be of value. It saves the
// work that late answers would waste, and drops too much while a few large invocations raise the estimates.
func (c *Controller) dropUnlikelyInTime() {
	ahead := c.pendingWork(stateRunning)
	remaining := c.queueOrder[:0]
	for k, i := range c.queueOrder {
		inv := &c.invocations[i]
		work := c.remainingWork(inv)
		end := c.expectedEnd(inv, work)
		startsNow := k == 0 && float64(c.counts.running) < c.cores.count
		if !startsNow {
			end += ahead / c.cores.available()
		}
		if c.isUnlikelyInTime(inv, end, work) {
			c.drop(i, unlikelyInTimeReason(inv))
			continue
		}
		ahead += work
		remaining = append(remaining, i)
	}
	c.queueOrder = remaining
}

// isUnlikelyInTime says whether an invocation with the given expected end and work is unlikely to be of value.
func (c *Controller) isUnlikelyInTime(inv *invocation, end, work float64) bool {
	typicalEnd := end - minRemainingShare*work
	if typicalEnd <= c.objectiveEnd(inv) {
		return false
	}
	return inv.operation.LateWeightShare == 0 || end > c.abandonmentTime(inv)
}

func unlikelyInTimeReason(inv *invocation) Reason {
	if inv.operation.service.Form == Shed {
		return ReasonDegraded
	}
	return ReasonExpectedLate
}

// updateRank sets the rank within the queue: the expected weight that a unit of core time yields.
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
	inv.rank = rank * c.inTimeShare(inv, work)
}

// inTimeShare is the expected share of the weight, by the chance to end within the objective with the given work left.
func (c *Controller) inTimeShare(inv *invocation, work float64) float64 {
	need := c.expectedEnd(inv, work) - float64(c.now)
	slack := c.objectiveEnd(inv) - float64(c.now)
	if need > slack {
		return inv.operation.LateWeightShare
	}
	return 1 - math.Exp(-slack/need)
}

// tenantWeightShare is the expected share of the weight for a tenant, which may exceed its quota over all peers.
func (c *Controller) tenantWeightShare(tenant int32) float64 {
	if tenant < 0 || c.config.TenantRates[tenant] <= 0 {
		return 1
	}
	// The count that arrivals at the node's part of the rate converge to.
	quota := c.config.TenantRates[tenant] / float64(max(1, c.config.Peers)) * float64(tickInterval) / float64(second) / (1 - counterDecay)
	within := quota / max(quota, c.callers.byTenant.Count(int64(tenant)))
	return within + (1-within)*c.config.OverQuotaWeightShare
}

// sortByRank sorts indices of invocations by descending rank. Equal ranks retain their order.
func (c *Controller) sortByRank(order []int32) { slices.SortStableFunc(order, c.compareRanks) }

func (c *Controller) compareRanks(a, b int32) int {
	return cmp.Compare(c.invocations[b].rank, c.invocations[a].rank)
}

// enforceDeadlines answers invocations whose deadline is near and stops runs that can't be of value any more.
func (c *Controller) enforceDeadlines() {
	for _, i := range c.live {
		inv := &c.invocations[i]
		if inv.state != stateEnded && (c.isTooLate(inv) || c.now >= inv.deadline-answerMargin) {
			c.drop(i, ReasonDeadline)
		}
		if inv.state == stateRunning && inv.answered {
			c.discard(i) // repeated: a stop has no effect while the cores are paused
		}
	}
}

// isTooLate says whether a run that can be stopped has missed its objective and is worth nothing after that.
func (c *Controller) isTooLate(inv *invocation) bool {
	if inv.state != stateRunning || c.config.StopSupport == StopUnsupported || inv.operation.LateWeightShare != 0 {
		return false
	}
	return float64(c.now) > c.objectiveEnd(inv)
}
