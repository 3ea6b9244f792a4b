package admission

import "topazpost/internal/stats"

const (
	maxServiceTimeRatioSamples = 24.0 // with fewer samples, a few costly runs would look like a slow node
	unhealthySlowdown          = 2.0  // slowdown above which the node becomes unhealthy
	healthySlowdown            = 1.4  // slowdown up to which an unhealthy node becomes healthy again
	stallDiscountRuns          = 2.0  // number of runs at which the stall ratio is halved: a few costly runs are no stall
)

// nodeHealth is the health of the node itself, independent of its load.
type nodeHealth struct {
	unhealthy        bool
	serviceTimeRatio stats.RatioHistogram // service times of recent runs over the usual ones
	stallRatio       float64              // see minStallRatio
}

func newNodeHealth() nodeHealth {
	return nodeHealth{serviceTimeRatio: newRatioHistogram(maxServiceTimeRatioSamples)}
}

// slowdown returns the ratio of present service times to the usual ones.
func (h *nodeHealth) slowdown() float64 { return max(h.serviceTimeRatio.Mean(1), h.stallRatio) }

// observeServiceTime records the ratio of a run's service time to the usual one.
func (h *nodeHealth) observeServiceTime(ratio float64) { h.serviceTimeRatio.Add(ratio) }

// updateHealth updates the health and reports it at the first tick and at each change. The node is unhealthy in a drain
// and while it is slower than usual. Load alone doesn't count: if overloaded nodes were unhealthy, an overloaded fleet
// would have no node left.
func (c *Controller) updateHealth() {
	if c.counts.running == 0 {
		c.health.observeServiceTime(1) // an unhealthy node gets no work, so that no run would show its recovery
	}
	c.health.stallRatio = c.minStallRatio()
	wasUnhealthy := c.health.unhealthy
	c.health.unhealthy = c.drain.requested() || c.health.isSlow()
	// At the first tick there is no backpressure value yet: a tick updates backpressure after health.
	if c.health.unhealthy != wasUnhealthy || !c.backpressure.hasValue() {
		c.emit(reportHealth(!c.health.unhealthy))
	}
}

// isSlow reports whether the node is slower than usual, with hysteresis.
func (h *nodeHealth) isSlow() bool {
	slowdown := h.slowdown()
	if h.unhealthy {
		return slowdown > healthySlowdown
	}
	return slowdown > unhealthySlowdown
}

// minStallRatio returns the least ratio of spent to usual core time among the present runs, with a discount if they are
// few. A ratio above 1 shows a stall before any run has ended. It is 0 while runs use at most half of the cores.
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
		coreTime := inv.coreTime + c.cores.clock - inv.clockAtStateChange
		ratio := coreTime / inv.usualCoreTime() / (1 + stallDiscountRuns/running)
		if least == 0 || ratio < least {
			least = ratio
		}
	}
	return least
}
