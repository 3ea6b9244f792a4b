package admission

const (
	maxSpareQueueTimeRatio = 0.15 // time to clear the queue over the shortest latency objective, from which no capacity is spare
)

// setDegradationLevel applies a degradation level. Queued invocations of operations that it sheds are rejected at once,
// unless spare capacity may serve them.
func (c *Controller) setDegradationLevel(services []Service, useSpareCapacity bool) {
	c.useSpareCapacity = useSpareCapacity
	c.operations.setServices(services)
	for _, i := range c.live {
		inv := &c.invocations[i]
		if inv.state != stateQueued || inv.started {
			continue
		}
		inv.serveCompletely() // applyService sets the shares of the new service
		if inv.operation.service.Form == Shed && !c.useSpareCapacity {
			c.rejectOrFail(i, ReasonDegraded)
		}
	}
}

// applyService gives an invocation that has not started the work and weight shares of its operation's current service.
func (inv *invocation) applyService() {
	service := &inv.operation.service
	if !inv.started && service.WorkShare > 0 {
		inv.workShare = service.WorkShare
		inv.weightShare = service.WeightShare
	}
}

// formToRun returns the form in which an invocation starts or resumes. An invocation of a reduced operation starts in its
// complete form if there is spare capacity.
func (c *Controller) formToRun(inv *invocation) Form {
	if inv.operation.service.Form == Reduced && !inv.started && c.hasSpareCapacity() {
		inv.serveCompletely()
		return Complete
	}
	if inv.workShare < 1 {
		return Reduced
	}
	return Complete
}

// hasSpareCapacity reports whether reduced operations may be served completely: the level allows it and the queue is
// short.
func (c *Controller) hasSpareCapacity() bool {
	return c.useSpareCapacity &&
		c.pendingWork(stateQueued) < maxSpareQueueTimeRatio*c.operations.shortestObjective*c.cores.available()
}
