package resultcache

// handleInvocation decides whether an invocation runs, joins a run in flight, or is answered.
func (c *Cache) handleInvocation(now int64, input *Input, e *entry) {
	switch {
	case e == nil:
		c.admit(now, input)
	case e.hasOtherBody(input.BodyHash):
		c.answerMismatch(e, input.Invocation)
	case e.state == stateDone:
		c.answer(e, input.Invocation, true)
	case e.state == stateUnknown && !input.Idempotent:
		c.answerUnknown(e, input.Invocation)
	case e.state == stateUnknown:
		c.runAgain(now, input, e)
	default:
		c.Counters.Joined++
		e.expiresAt = max(e.expiresAt, now+input.Remaining) // if the first one turns out never to have run, this one's window counts
		e.waiters = append(e.waiters, input.Invocation)
		c.emit(Action{Kind: Join, Invocation: input.Invocation, Key: input.Key})
	}
}

// admit starts the run of a new token, or rejects it where there is no room: no token is evicted within its window.
func (c *Cache) admit(now int64, input *Input) {
	if !c.hasRoom(input.Key, 0) || input.Remaining <= 0 {
		c.reject(now, input.Invocation, input.Key)
		return
	}
	e := newEntry(input.Key, input.BodyHash)
	e.expiresAt = now + input.Remaining
	c.entries[input.Key] = e
	c.Counters.Entries++
	c.reserve(e, c.maxEntryBytes(input.Key))
	c.start(e, input.Invocation)
}

// runAgain starts another run of an idempotent token whose outcome is unknown.
func (c *Cache) runAgain(now int64, input *Input, e *entry) {
	if !c.hasRoom(input.Key, e.reservedBytes) {
		c.reject(now, input.Invocation, input.Key)
		return
	}
	c.Counters.Unknown--
	c.reserve(e, c.maxEntryBytes(input.Key))
	c.stopExpiry(e)
	e.expiresAt = max(e.expiresAt, now+input.Remaining)
	c.start(e, input.Invocation)
}

// start has a token run, as soon as the record of its start is as durable as configured.
func (c *Cache) start(e *entry, invocation int32) {
	e.runner = invocation
	c.Counters.Running++
	if c.config.Durability != OnDisk {
		c.run(e)
		return
	}
	e.state = stateStarting
	c.emit(Action{Kind: Join, Invocation: invocation, Key: e.key})
	c.emit(Action{Kind: WriteStart, Key: e.key, BodyHash: e.bodyHash, Until: e.expiresAt})
}

func (c *Cache) run(e *entry) {
	e.state = stateRunning
	c.Counters.Ran++
	c.emit(Action{Kind: Run, Invocation: e.runner, Key: e.key})
}

// handleWritten continues with a token whose record was written, or could not be.
func (c *Cache) handleWritten(now int64, e *entry, ok bool) {
	c.storeFailing = !ok
	switch {
	case e.state == stateEnding:
		// The answer is given also without the record, as it is true. A repeat after a crash would find the run unknown,
		// which is counted.
		if !ok {
			c.Counters.Lost++
		}
		c.complete(e)
	case e.state != stateStarting:
	case !ok && c.config.OnStoreFailure == RejectOnStoreFailure:
		c.rejectStart(now, e)
	default:
		c.runForWaiters(e)
	}
}

// rejectStart rejects all that wait for a token whose start could not be written: nothing ran.
func (c *Cache) rejectStart(now int64, e *entry) {
	if e.runner != noInvocation {
		c.reject(now, e.runner, e.key)
	}
	for _, waiter := range e.waiters {
		c.reject(now, waiter, e.key)
	}
	c.cancelStart(e)
}

// runForWaiters runs a token whose start was written, unless nobody waits for it any more.
func (c *Cache) runForWaiters(e *entry) {
	if e.runner == noInvocation && len(e.waiters) > 0 {
		e.promoteWaiter()
	}
	if e.runner == noInvocation {
		c.cancelStart(e)
		return
	}
	c.run(e)
}

// cancelStart removes a token of which nothing ran.
func (c *Cache) cancelStart(e *entry) {
	c.Counters.Running--
	c.remove(e)
}

// handleRunEnded records how a run ended. The token of a run that never started goes to the next waiter.
func (c *Cache) handleRunEnded(now int64, e *entry, input *Input) {
	if input.Outcome == NeverStarted {
		c.handleNeverStarted(now, e)
		return
	}
	c.setOutcome(e, input.Outcome, input.Result)
	if c.config.Durability != OnDisk {
		c.complete(e)
		return
	}
	e.state = stateEnding
	written := e.outcome
	if e.resultNotCached {
		written = ResultNotCached
	}
	c.emit(Action{Kind: WriteEnd, Key: e.key, BodyHash: e.bodyHash, Outcome: written, Result: e.result})
}

func (c *Cache) handleNeverStarted(now int64, e *entry) {
	c.Counters.Ran--
	if e.runner != noInvocation {
		c.reject(now, e.runner, e.key)
	}
	if len(e.waiters) == 0 {
		c.cancelStart(e)
		return
	}
	e.promoteWaiter()
	c.run(e)
}

// complete answers all that wait for a token, which expires from now on.
func (c *Cache) complete(e *entry) {
	e.state = stateDone
	c.Counters.Running--
	c.expiry.Push(e)
	if e.runner != noInvocation {
		c.answer(e, e.runner, false)
	}
	for _, waiter := range e.waiters {
		c.answer(e, waiter, true)
	}
	e.clearWaiters()
}

// handleElsewhere ends a token that was to start here with what became of it at another node.
func (c *Cache) handleElsewhere(now int64, e *entry, input *Input) {
	waiters := e.appendWaiters(nil)
	if input.Kind != CompletedElsewhere {
		for _, waiter := range waiters {
			c.answerWithoutRun(now, e, waiter, input)
		}
		c.cancelStart(e)
		return
	}
	c.Counters.Running--
	c.setOutcome(e, input.Outcome, input.Result)
	e.state = stateDone
	e.clearWaiters()
	c.expiry.Push(e)
	for _, waiter := range waiters {
		c.answer(e, waiter, true)
	}
}

// resolve takes the outcome of an unknown run from an operator or from its record.
func (c *Cache) resolve(e *entry, input *Input) {
	c.Counters.Unknown--
	e.state = stateDone
	c.setOutcome(e, input.Outcome, input.Result)
}
