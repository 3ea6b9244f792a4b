package admission

import "cmp"

const (
	// unitsPerObjective is the ratio of an operation's latency objective to its unit of work, which stands in for an
	// unknown expected work.
	unitsPerObjective = 8
)

// handleArrival queues an invocation, joins it to the one that it repeats, or rejects it.
func (c *Controller) handleArrival(e *Event) {
	i := e.Invocation
	inv := c.addInvocation(e)
	c.observeArrival(inv, e)
	inv.started = c.originalStarted(e.Original)
	op := inv.operation
	switch {
	case c.drain.intakeEnded(c.now):
		c.drop(i, ReasonDraining)
	case e.Original != NoOriginal:
		c.emit(joinOriginal(i))
		c.setState(inv, stateJoined)
	case op.service.Form == Shed && !c.useSpareCapacity:
		c.drop(i, ReasonDegraded)
	case op.Idempotency == IdempotentWithKey:
		c.recordKeyUntil(i, inv.arrivedAt+op.DeduplicationWindow)
	case c.isReusableRead(inv, e):
		c.recordKeyUntil(i, inv.deadline+c.config.ReadReuseWindow)
	}
}

// addInvocation adds a queued invocation. The result is valid until the next call.
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
		deadline:    cmp.Or(e.Deadline, arrivedAt+op.ClientTimeout),
		queuedKB:    e.QueuedKB,
		baseWork:    float64(cmp.Or(e.ExpectedWork, op.LatencyObjective/unitsPerObjective)),
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

// originalStarted says whether the invocation that another one repeats has run.
func (c *Controller) originalStarted(original int32) bool {
	if original < 0 {
		return original == OriginalEnded
	}
	return c.invocations[original].started
}

// isReusableRead says whether the result of an invocation may answer equal reads that come later.
func (c *Controller) isReusableRead(inv *invocation, e *Event) bool {
	return inv.operation.Idempotency == Idempotent && c.config.ReadReuseWindow > 0 && e.HasReadKey && !e.Write
}
