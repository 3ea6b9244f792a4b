package admission

const (
	maxSpareQueueWait = 0.15 // of the shortest latency objective
)

// setDegradationLevel applies a degradation level. Queued invocations that it sheds are rejected at once, unless
// spare capacity is to serve them.
func (c *Controller) setDegradationLevel(services []Service, useSpareCapacity bool) {
	c.useSpareCapacity = useSpareCapacity
	c.operations.setServices(services)
	for _, i := range c.live {
		inv := &c.invocations[i]
		if inv.state != stateQueued || inv.started {
			continue
		}
		inv.serveCompletely()
		if inv.operation.service.Form == Shed && !c.useSpareCapacity {
			c.drop(i, ReasonDegraded)
		}
	}
}

// applyService gives an invocation that waits for its start the shares of its operation's present service.
func (inv *invocation) applyService() {
	service := &inv.operation.service
	if !inv.started && service.WorkShare > 0 {
		inv.workShare = service.WorkShare
		inv.weightShare = service.WeightShare
	}
}

// formToRun is the form in which an invocation starts. Spare capacity serves it completely.
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

// hasSpareCapacity says whether operations need not be reduced: the level allows that and the queue is short.
func (c *Controller) hasSpareCapacity() bool {
	return c.useSpareCapacity &&
		c.pendingWork(stateQueued) < maxSpareQueueWait*c.operations.shortestObjective*c.cores.available()
}
