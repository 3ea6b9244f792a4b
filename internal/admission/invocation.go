package admission

// invocationState is the stage that an invocation has reached. From stateRunning on, it takes up the memory of a run.
type invocationState uint8

const (
	stateEnded invocationState = iota
	stateQueued
	stateJoined       // waits for the result of the invocation that it repeats
	stateRunning      // on the cores
	stateAwaitingCall // waits for the start of a dependency call
	stateCalling      // blocked on a dependency call
	statePaused       // stopped for another run; waits in the queue to be resumed
)

// invocation is one invocation from its arrival to its end. Times are in nanoseconds.
type invocation struct {
	operation           *operation
	state               invocationState
	answered            bool // the final answer was given, or is not needed any more
	started             bool // this invocation, or the one that it repeats, has started to run
	retry               bool
	tenant              int32 // -1 for none
	callAttemptsCharged int   // for the current dependency call: attempts plus extraAttempts
	arrivedAt           int64
	readAt              int64
	deadline            int64
	callStartedAt       int64
	callDeadline        int64
	queuedKB            float64
	rank                float64 // in the queue, or among the invocations that wait for a call; the highest is first
	baseWork            float64 // work expected by the caller, or the default work of the operation
	workShare           float64 // of the complete form; below 1 for a reduced form
	weightShare         float64 // of the complete form; below 1 for a reduced form
	coreTime            float64 // core time used until the last change of state
	clockAtStateChange  float64 // reading of coreUsage.clock at the last change of state
}

// usualCoreTime returns the core time (ns) that the invocation is expected to take in all on a node at its usual speed.
func (inv *invocation) usualCoreTime() float64 {
	return inv.baseWork * inv.workShare * inv.operation.serviceTimeRatios.Mean(1)
}

// serveCompletely changes the invocation to the complete form.
func (inv *invocation) serveCompletely() {
	inv.workShare = 1
	inv.weightShare = 1
}

// invocationCounts counts invocations by state.
type invocationCounts struct {
	queued       int
	running      int
	awaitingCall int
	calling      int
	arrived      int // since the controller started
	ended        int // since the controller started
}

// runs returns the number of runs in progress, on the cores or blocked.
func (n *invocationCounts) runs() int { return n.running + n.blocked() }

// blocked returns the number of runs that are off the cores because they wait for a dependency call or its reply.
func (n *invocationCounts) blocked() int { return n.awaitingCall + n.calling }

// inFlight returns the number of invocations that have not ended.
func (n *invocationCounts) inFlight() int { return n.arrived - n.ended }

func (n *invocationCounts) add(state invocationState, delta int) {
	switch state {
	case stateQueued:
		n.queued += delta
	case stateRunning:
		n.running += delta
	case stateAwaitingCall:
		n.awaitingCall += delta
	case stateCalling:
		n.calling += delta
	}
}

// setState moves an invocation to another state and updates core time, counts and memory.
func (c *Controller) setState(inv *invocation, state invocationState) {
	if inv.state == stateRunning {
		inv.coreTime += c.cores.clock - inv.clockAtStateChange
	}
	c.account(inv, -1)
	inv.state = state
	inv.clockAtStateChange = c.cores.clock
	c.account(inv, 1)
}

// account adds an invocation to the counts and the memory of its state (delta 1), or removes it (delta -1).
func (c *Controller) account(inv *invocation, delta int) {
	if inv.state == stateEnded {
		return
	}
	c.counts.add(inv.state, delta)
	c.memory.addInvocations(delta, c.invocationKB(inv))
}

func (c *Controller) end(i int32) {
	c.setState(&c.invocations[i], stateEnded)
	c.counts.ended++
}

// rejectOrFail gives the final answer to an invocation that won't be served: a rejection if it is queued and never
// started, otherwise a failure. An invocation that joined another one fails, because the other one may have started. An
// invocation that was answered before is left alone.
func (c *Controller) rejectOrFail(i int32, reason Reason) {
	inv := &c.invocations[i]
	if inv.answered {
		return
	}
	c.observeWait(inv, false)
	inv.answered = true
	if inv.state == stateQueued && !inv.started {
		c.callers.countRejection(reason, c.config.RetriesMarked)
		noRetry := inv.retry || c.backpressure.fleetOverloaded
		c.emit(reject(i, c.retryAfter(), noRetry, reason))
	} else {
		c.emit(fail(i, reason))
	}
	c.discard(i)
}

// discard ends an invocation that needs no answer any more. If it is running, its run is stopped where that is supported.
// If it can't be stopped or is blocked on a call, it remains until the host reports the end of its run.
func (c *Controller) discard(i int32) {
	switch c.invocations[i].state {
	case stateQueued, stateJoined, statePaused:
		c.end(i)
	case stateRunning:
		if c.config.StopSupport != StopUnsupported {
			c.emit(stop(i))
		}
	}
}

// handleRunEnded records the end of a run and its core time, or puts a stopped run back into the queue. For an invocation
// that joined another one, it records the end of the other one's run.
func (c *Controller) handleRunEnded(i int32, outcome Outcome) {
	inv := &c.invocations[i]
	if outcome == Stopped && !inv.answered && c.config.StopSupport != StopUnsupported {
		c.requeueStopped(inv)
		return
	}
	if inv.state == stateCalling {
		c.calls.countAbandoned(c.now, c.config)
	}
	c.observeWait(inv, false)
	joined := inv.state == stateJoined
	c.end(i)
	if !joined {
		c.observeServiceTime(inv, outcome)
	}
}

// handleRunStarted counts the run of an invocation that runs in the place of the one that it joined.
func (c *Controller) handleRunStarted(inv *invocation) {
	if inv.state == stateJoined {
		inv.started = true
		c.setState(inv, stateRunning)
	}
}

// requeueStopped puts an invocation back into the queue whose run was stopped before it was answered: by a preemption or,
// where stops discard progress, without a request of the controller.
func (c *Controller) requeueStopped(inv *invocation) {
	if c.config.StopSupport == StopKeepsProgress {
		c.setState(inv, statePaused)
		return
	}
	c.setState(inv, stateQueued)
}
