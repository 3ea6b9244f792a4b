package admission

import "topazpost/internal/stats"

const (
	maxServiceTimeRatioSamples = 24.0 // with fewer, a few costly runs look like a slow node
	unhealthySlowdown          = 2.0  // above which the node is unhealthy
	healthySlowdown            = 1.4  // up to which it is healthy again
	stallDiscountRuns          = 2.0  // runs by which a stall counts for half: a few costly ones among few are none
)

// nodeHealth is the health of the node itself, whatever its load.
type nodeHealth struct {
	unhealthy        bool
	serviceTimeRatio stats.RatioHistogram // service times of recent runs over the usual ones
	stallRatio       float64              // core time over the usual that all present runs have exceeded; 0 for none
}

func newNodeHealth() nodeHealth {
	return nodeHealth{serviceTimeRatio: newRatioHistogram(maxServiceTimeRatioSamples)}
}

// slowdown is the ratio of present service times to the usual ones.
func (h *nodeHealth) slowdown() float64 { return max(h.serviceTimeRatio.Mean(1), h.stallRatio) }

// observeServiceTime learns from a run, given its service time over the usual one.
func (h *nodeHealth) observeServiceTime(ratio float64) { h.serviceTimeRatio.Add(ratio) }

// updateHealth reports the node unhealthy in a drain and while it is slower than usual, and a change of that. Load alone
// does not count: if full nodes were unhealthy, none would be left.
func (c *Controller) updateHealth() {
	if c.counts.running == 0 {
		c.health.observeServiceTime(1) // an unhealthy node gets no work that would show its recovery
	}
	c.health.stallRatio = c.minStallRatio()
	wasUnhealthy := c.health.unhealthy
	c.health.unhealthy = c.drain.requested() || c.health.isSlow()
	if c.health.unhealthy != wasUnhealthy || !c.backpressure.signalled() {
		c.emit(reportHealth(!c.health.unhealthy))
	}
}

// isSlow says whether the node is slower than usual, with hysteresis.
func (h *nodeHealth) isSlow() bool {
	slowdown := h.slowdown()
	if h.unhealthy {
		return slowdown > healthySlowdown
	}
	return slowdown > unhealthySlowdown
}

// minStallRatio is the least ratio by which present runs have exceeded their usual core time, with a discount where
// few run. It is 0 while less than half of the cores are in use.
func (c *Controller) minStallRatio() float64 {
	running := float64(c.counts.running)
	if 2*running <= c.cores.count {
		return 0
	}
	least := 0.0
	for _, i := range c.live {
		inv := &c.invocations[i]
		if inv.state != stateRunning {
			continue
		}
		coreTime := inv.coreTime + c.cores.clock - inv.runningSince
		ratio := coreTime / inv.usualCoreTime() / (1 + stallDiscountRuns/running)
		if least == 0 || ratio < least {
			least = ratio
		}
	}
	return least
}
