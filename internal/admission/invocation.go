package admission

// invocationState is where an invocation is. States from stateRunning on take up the memory of a run.
type invocationState uint8

const (
	stateEnded invocationState = iota
	stateQueued
	stateJoined       // waits for the result of the invocation that it repeats
	stateRunning      // on the cores
	stateAwaitingCall // waits for the start of a dependency call
	stateCalling      // blocked on a dependency call
	statePaused
)

// invocation is one invocation from its arrival to its end. Times are in nanoseconds.
type invocation struct {
	operation     *operation
	state         invocationState
	answered      bool // a final answer was given, or is not needed any more
	started       bool // it, or the invocation that it repeats, has run
	retry         bool
	tenant        int32 // -1 for none
	callAttempts  int   // for the dependency call that it needs at present
	arrivedAt     int64
	deadline      int64
	callStartedAt int64
	callDeadline  int64
	queuedKB      float64
	rank          float64 // within the queue, or among those that wait for a call; the highest is first
	baseWork      float64 // as the caller expects it, else the unit of the operation
	workShare     float64 // below 1 for a reduced form
	weightShare   float64 // below 1 for a reduced form
	coreTime      float64 // on the core clock, as of the last change of state
	runningSince  float64 // on the core clock
}

// usualCoreTime is the core time that such an invocation takes as a rule, on a node at its usual speed.
func (inv *invocation) usualCoreTime() float64 {
	return inv.baseWork * inv.workShare * inv.operation.serviceTimes.Mean(1)
}

// serveCompletely takes back a reduction.
func (inv *invocation) serveCompletely() {
	inv.workShare = 1
	inv.weightShare = 1
}

// invocationCounts are the numbers of invocations by state.
type invocationCounts struct {
	queued       int
	running      int
	awaitingCall int
	calling      int
	arrived      int // since the start
	ended        int // since the start
}

// blocked is the number of runs that are off the cores because of a dependency call.
func (n *invocationCounts) blocked() int { return n.awaitingCall + n.calling }

// inFlight is the number of invocations that have not ended.
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
		inv.coreTime += c.cores.clock - inv.runningSince
	}
	c.account(inv, -1)
	inv.state = state
	inv.runningSince = c.cores.clock
	c.account(inv, 1)
}

// account adds an invocation to the counts and the memory of its state, or removes it.
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

// drop gives the final answer to an invocation that won't be served: a rejection if it never started.
func (c *Controller) drop(i int32, reason Reason) {
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

// discard ends an invocation that needs no answer any more. A run is stopped where that is supported; one that is
// blocked on a call ends by itself.
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

// runEnded records the end of a run and what it cost.
func (c *Controller) runEnded(i int32, outcome Outcome) {
	inv := &c.invocations[i]
	if outcome == Stopped && !inv.answered && c.config.StopSupport != StopUnsupported {
		c.runPaused(inv)
		return
	}
	if inv.state == stateCalling {
		c.calls.abandoned(c.now, c.config)
	}
	c.observeWait(inv, false)
	joined := inv.state == stateJoined
	c.end(i)
	if !joined {
		c.observeServiceTime(inv, outcome)
	}
}

// runPaused puts a run that was stopped to make room for another one back into the queue.
func (c *Controller) runPaused(inv *invocation) {
	if c.config.StopSupport == StopKeepsProgress {
		c.setState(inv, statePaused)
		return
	}
	c.setState(inv, stateQueued)
}
