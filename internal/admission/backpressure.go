package admission

import "math"

const (
	noSignal = -1.0 // lastSignal before the first backpressure value

	highQueueWaitRatio    = 0.5   // queue wait over the shortest latency objective, above which the advertised capacity falls
	lowQueueWaitRatio     = 0.25  // queue wait over the shortest latency objective, below which the advertised capacity rises
	capacityIncrease      = 0.02  // of the maximum, added at each tick with a low queue wait
	capacityDecrease      = 0.05  // of the current value, subtracted at each tick with a high queue wait
	minAdvertisedCapacity = 0.025 // of the maximum; above 0, because some load must arrive to show that the overload has ended

	maxCreditsPerCore    = 4.0   // for all callers together
	maxBackpressureLevel = 0.5   // outside a drain; at higher levels, callers would hardly send operations of low priority
	signalStepsPerUnit   = 100.0 // resolution of signalled values

	overloadRetryShare    = 0.3  // share of retries among arrivals, above which a node that rejects much takes the fleet for overloaded
	overloadRejectedShare = 0.15 // share of rejected arrivals, up to which the fleet does not count as overloaded
)

// backpressureState is the state of the backpressure that the node applies to its callers.
type backpressureState struct {
	advertisedCapacity float64 // share of the maximum load, 0 to 1
	lastSignal         float64 // last backpressure value, noSignal before the first
	fleetOverloaded    bool    // other nodes seem to reject work as well
}

// hasValue reports whether a first backpressure value has been computed.
func (b *backpressureState) hasValue() bool { return b.lastSignal >= 0 }

// updateBackpressure asks callers for less load while the queue wait is long, and for more load while it is short.
func (c *Controller) updateBackpressure() {
	effectiveCallers := c.callers.effectiveCallers()
	c.callers.decay()
	c.backpressure.detectFleetOverload(&c.callers)
	c.backpressure.adjustCapacity(c.queueWait(), c.operations.shortestObjective)
	c.signalIfChanged(c.backpressureValue(effectiveCallers))
}

// detectFleetOverload infers an overload of the fleet when this node rejects much and many arrivals are retries: other
// nodes then reject work as well, and retrying elsewhere is of no use. Retries cease when callers are asked not to retry,
// so that few retries do not prove the end of the overload: it ends when few arrivals are rejected. If callers don't mark
// their retries, each rejection counts as a retry, and rejections alone decide.
func (b *backpressureState) detectFleetOverload(callers *callerStatistics) {
	manyRetries := callers.retries > overloadRetryShare*callers.arrivals
	manyRejected := callers.rejected > overloadRejectedShare*callers.arrivals
	b.fleetOverloaded = manyRejected && (b.fleetOverloaded || manyRetries)
}

// adjustCapacity raises or lowers the advertised capacity, depending on the queue wait. Both durations are in
// nanoseconds.
func (b *backpressureState) adjustCapacity(queueWait, shortestObjective float64) {
	if queueWait > highQueueWaitRatio*shortestObjective {
		b.advertisedCapacity = max(minAdvertisedCapacity, b.advertisedCapacity*(1-capacityDecrease))
	} else if queueWait < lowQueueWaitRatio*shortestObjective {
		b.advertisedCapacity = min(1, b.advertisedCapacity+capacityIncrease)
	}
}

// backpressureValue returns the value to signal. It is rounded up, so that a small capacity does not become 0.
func (c *Controller) backpressureValue(effectiveCallers float64) float64 {
	value := 0.0
	switch c.config.Backpressure {
	case BackpressureLevel:
		value = c.backpressureLevel()
	case BackpressureCredits:
		value = c.availableCapacity() * (maxCreditsPerCore * c.cores.count / effectiveCallers)
	default:
		value = c.availableCapacity()
	}
	return math.Ceil(value*signalStepsPerUnit) / signalStepsPerUnit
}

// availableCapacity returns the advertised capacity, or 0 while callers are redirected.
func (c *Controller) availableCapacity() float64 {
	if c.drain.redirectsCallers(c.now) {
		return 0
	}
	return c.backpressure.advertisedCapacity
}

// backpressureLevel returns the level to signal to callers, 1 while they are redirected.
func (c *Controller) backpressureLevel() float64 {
	if c.drain.redirectsCallers(c.now) {
		return 1
	}
	return maxBackpressureLevel * (1 - c.backpressure.advertisedCapacity)
}

// signalIfChanged signals the value to callers if it differs from the last one and backpressure is supported.
func (c *Controller) signalIfChanged(value float64) {
	if value != c.backpressure.lastSignal && c.config.Backpressure != NoBackpressure {
		c.emit(signalBackpressure(value))
	}
	c.backpressure.lastSignal = value
}
