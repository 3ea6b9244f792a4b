package resultcache

import "slices"

// removeWaiter takes an invocation out of those that wait; a run that has started goes on for the others and for the cache.
func (e *entry) removeWaiter(invocation int32) {
	if e.runner == invocation {
		e.runner = noInvocation
	}
	e.waiters = slices.DeleteFunc(e.waiters, func(waiter int32) bool { return waiter == invocation })
}

// promoteWaiter makes the first waiter the one that runs.
func (e *entry) promoteWaiter() {
	e.runner = e.waiters[0]
	e.waiters = e.waiters[1:]
}

func (e *entry) clearWaiters() {
	e.runner = noInvocation
	e.waiters = nil
}

// appendWaiters appends the invocations that wait for the token, that which runs first.
func (e *entry) appendWaiters(list []int32) []int32 {
	if e.runner != noInvocation {
		list = append(list, e.runner)
	}
	return append(list, e.waiters...)
}

func (e *entry) isWaiting(invocation int32) bool {
	return e.runner == invocation || slices.Contains(e.waiters, invocation)
}

// IsWaiting reports whether an invocation waits for a token: for its run to start, to end, or for its record.
func (c *Cache) IsWaiting(key Key, invocation int32) bool {
	e := c.entries[key]
	return e != nil && e.isWaiting(invocation)
}

// answer answers with the outcome of a run.
func (c *Cache) answer(e *entry, invocation int32, fromCache bool) {
	if fromCache {
		c.Counters.Kept++
	}
	action := Action{Kind: Serve, Invocation: invocation, Key: e.key, Result: e.result, FromCache: fromCache}
	if e.outcome != Succeeded || e.resultNotCached {
		action.Kind = Fail
		action.Result = nil
		action.ResultNotCached = e.resultNotCached
	}
	c.emit(action)
}

// reject rejects an invocation until the cache has room again.
func (c *Cache) reject(now int64, invocation int32, key Key) {
	c.rejectFor(c.timeToRoom(now), invocation, key)
}

func (c *Cache) rejectFor(retryAfter int64, invocation int32, key Key) {
	c.Counters.Denied++
	c.emit(Action{Kind: Reject, Invocation: invocation, Key: key, RetryAfter: retryAfter})
}

func (c *Cache) answerMismatch(e *entry, invocation int32) {
	c.Counters.Mismatched++
	c.emit(Action{Kind: Mismatch, Invocation: invocation, Key: e.key})
}

func (c *Cache) answerUnknown(e *entry, invocation int32) {
	c.Counters.UnknownAnswered++
	c.emit(Action{Kind: OutcomeUnknown, Invocation: invocation, Key: e.key})
}

// answerWithoutRun answers a waiter of a token that doesn't run for it.
func (c *Cache) answerWithoutRun(now int64, e *entry, invocation int32, input *Input) {
	switch {
	case input.Kind == MismatchElsewhere:
		c.answerMismatch(e, invocation)
	case input.Kind == UnknownElsewhere || input.MayHaveRun:
		c.answerUnknown(e, invocation)
	case input.Remaining > 0:
		c.rejectFor(input.Remaining, invocation, e.key)
	default:
		c.reject(now, invocation, e.key)
	}
}

// answerNow answers a waiter that can't wait any longer, and removes a token that nobody waits for then; without an invocation it
// only does the latter. A waiter of a run that has ended gets the outcome, though that may not be durable yet; one of a run in
// progress gets no answer.
func (c *Cache) answerNow(now int64, e *entry, input *Input) {
	if !e.isWaiting(input.Invocation) {
		return
	}
	switch e.state {
	case stateEnding:
		c.handleWritten(now, e, false)
	case stateStarting:
		e.removeWaiter(input.Invocation)
		if input.Invocation != noInvocation {
			c.answerWithoutRun(now, e, input.Invocation, input)
		}
		if e.runner == noInvocation && len(e.waiters) == 0 {
			c.cancelStart(e)
		}
	}
}

// JoinedCount is how many invocations wait for the run of a token beside the one that runs.
func (c *Cache) JoinedCount(key Key) int {
	if e := c.entries[key]; e != nil {
		return len(e.waiters)
	}
	return 0
}

// Waiters are the invocations that wait for a token, and whether its run has not started yet.
func (c *Cache) Waiters(key Key) (invocations []int32, notStarted bool) {
	e := c.entries[key]
	if e == nil {
		return nil, false
	}
	return e.appendWaiters(nil), e.state == stateStarting
}
