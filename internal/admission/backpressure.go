package admission

import "math"

const (
	noSignal = -1.0 // LastSignal before the first one

	highPressure          = 0.5   // of the shortest objective: for a longer queue wait, callers are asked for less load
	lowPressure           = 0.25  // of the shortest objective: for a shorter queue wait, for more
	capacityIncrease      = 0.02  // of the maximum, at each tick of low pressure
	capacityDecrease      = 0.05  // of the present one, at each tick of high pressure
	minAdvertisedCapacity = 0.025 // of the maximum: some load must show when the pressure ends

	maxCreditsPerCore    = 4.0   // for all callers together
	maxBackpressureLevel = 0.5   // outside a drain: above it, callers starve operations of low priority
	signalsPerUnit       = 100.0 // resolution of the signal

	overloadRetryShare    = 0.3  // of arrivals that are retries, above which other nodes reject work as well
	overloadRejectedShare = 0.15 // of arrivals that are rejected, up to which that has ended
)

// backpressureState is what callers are asked for.
type backpressureState struct {
	advertisedCapacity float64 // share of the load that could be asked for
	lastSignal         float64
	fleetOverloaded    bool // other nodes seem to reject work as well
}

// signalled says whether there was a signal.
func (b *backpressureState) signalled() bool { return b.lastSignal >= 0 }

// updateBackpressure asks callers for less load while the queue wait is long and for more while it is short.
func (c *Controller) updateBackpressure() {
	effectiveCallers := c.callers.effectiveCallers()
	c.callers.decay()
	c.backpressure.detectFleetOverload(&c.callers)
	c.backpressure.adjustCapacity(c.queueWait(), c.operations.shortestObjective)
	c.signal(c.backpressureValue(effectiveCallers))
}

// detectFleetOverload infers from retries that other nodes reject work as well, so that retries are of no use. They end
// once callers are asked for none, so that only few rejections are evidence of the opposite.
func (b *backpressureState) detectFleetOverload(callers *callerStatistics) {
	manyRetries := callers.retries > overloadRetryShare*callers.arrivals
	manyRejected := callers.rejected > overloadRejectedShare*callers.arrivals
	b.fleetOverloaded = manyRejected && (b.fleetOverloaded || manyRetries)
}

// adjustCapacity adjusts the advertised capacity to the queue wait.
func (b *backpressureState) adjustCapacity(queueWait, shortestObjective float64) {
	if queueWait > highPressure*shortestObjective {
		b.advertisedCapacity = max(minAdvertisedCapacity, b.advertisedCapacity*(1-capacityDecrease))
	} else if queueWait < lowPressure*shortestObjective {
		b.advertisedCapacity = min(1, b.advertisedCapacity+capacityIncrease)
	}
}

// backpressureValue is the value that callers are to have. Capacity that is not 0 is never rounded to it.
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
	return math.Ceil(value*signalsPerUnit) / signalsPerUnit
}

// availableCapacity is the advertised capacity, 0 while callers are redirected.
func (c *Controller) availableCapacity() float64 {
	if c.drain.redirects(c.now) {
		return 0
	}
	return c.backpressure.advertisedCapacity
}

// backpressureLevel is the level for callers, 1 while they are redirected.
func (c *Controller) backpressureLevel() float64 {
	if c.drain.redirects(c.now) {
		return 1
	}
	return maxBackpressureLevel * (1 - c.backpressure.advertisedCapacity)
}

// signal signals a value where it has changed.
func (c *Controller) signal(value float64) {
	if value != c.backpressure.lastSignal && c.config.Backpressure != NoBackpressure {
		c.emit(signalBackpressure(value))
	}
	c.backpressure.lastSignal = value
}
