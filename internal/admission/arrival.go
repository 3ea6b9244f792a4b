package admission

import "cmp"

const (
	// defaultWorkDivisor yields the work that is assumed if the expected work is unknown: the latency objective divided
	// by it. Measured core times correct the assumption.
	defaultWorkDivisor = 8
)

// handleArrival queues an invocation, joins it to the invocation that it repeats, or rejects it.
func (c *Controller) handleArrival(e *Event) {
	i := e.Invocation
	inv := c.addInvocation(e)
	c.observeArrival(inv, e)
	inv.started = c.originalStarted(e.Original)
	op := inv.operation
	switch {
	case c.drain.intakeEnded(c.now):
		c.rejectOrFail(i, ReasonDraining)
	case e.Original != NoOriginal:
		c.emit(joinOriginal(i))
		c.setState(inv, stateJoined)
	case op.service.Form == Shed && !c.useSpareCapacity:
		c.rejectOrFail(i, ReasonDegraded)
	case op.Idempotency == IdempotentWithKey:
		c.recordKeyUntil(i, inv.arrivedAt+op.DeduplicationWindow)
	case c.isReusableRead(inv, e):
		c.recordKeyUntil(i, inv.deadline+c.config.ReadReuseWindow)
	}
}

// addInvocation adds a queued invocation. The pointer is valid until the next call, which may reallocate the slice.
func (c *Controller) addInvocation(e *Event) *invocation {
	missing := max(0, int(e.Invocation)+1-len(c.invocations))
	c.invocations = append(c.invocations, make([]invocation, missing)...)
	inv := &c.invocations[e.Invocation]
	op := c.operations.list[e.OperationIndex]
	arrivedAt := c.now - e.Age
	*inv = invocation{
		operation:   op,
		tenant:      e.Tenant,
		retry:       e.Retry,
		arrivedAt:   arrivedAt,
		readAt:      c.now,
		deadline:    cmp.Or(e.Deadline, arrivedAt+op.ClientTimeout),
		queuedKB:    e.QueuedKB,
		baseWork:    float64(cmp.Or(e.ExpectedWork, op.LatencyObjective/defaultWorkDivisor)),
		workShare:   1,
		weightShare: 1,
	}
	c.live = append(c.live, e.Invocation)
	c.counts.arrived++
	c.setState(inv, stateQueued)
	return inv
}

// observeArrival updates the statistics of arrivals and of the demand for core time.
func (c *Controller) observeArrival(inv *invocation, e *Event) {
	c.callers.countArrival(e)
	if !e.Retry {
		inv.operation.demand.Add(c.now, inv.usualCoreTime()*c.health.slowdown())
	}
}

// originalStarted reports whether a repeated invocation has started to run. The argument is a value of Event.Original.
func (c *Controller) originalStarted(original int32) bool {
	if original < 0 {
		return original == OriginalEnded
	}
	return c.invocations[original].started
}

// isReusableRead reports whether the result of an invocation may answer later reads with the same key.
func (c *Controller) isReusableRead(inv *invocation, e *Event) bool {
	return inv.operation.Idempotency == Idempotent && c.config.ReadReuseWindow > 0 && e.HasReadKey && !e.Write
}
