package admission

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// A call that was certainly not executed is retried until its attempts are exhausted.
func TestFailedCallIsRetriedOnceIfItMayHaveRunAndOnlyIfIdempotent(t *testing.T) {
	for outcome, notExecuted := range map[Outcome]bool{Overloaded: true, Unreachable: true,
		TimedOut: false, ConnectionBroken: false, Errored: false} {
		for op, wantRetries := range []int{1, 0} { // the idempotent operation, the one with a key
			c := newTestController()
			inv := insertInvocation(c, op, stateCalling)
			inv.callStartedAt = c.now
			inv.callAttemptsCharged = 1
			retries := 0
			for c.handleCallEnded(inv, outcome); ; c.handleCallEnded(inv, outcome) {
				c.startCalls()
				if c.actions[len(c.actions)-1].Kind == Fail {
					break
				}
				retries++
			}
			if notExecuted {
				wantRetries = maxCallAttempts - 1
			}
			assert.Equal(t, wantRetries, retries, "outcome %d, operation %d", outcome, op)
		}
	}
}

// The cases are the first call of the idempotent operation, the first call of the operation with a key, and a call of the
// idempotent operation after two charged attempts. Only the first one may be retried.
func TestSlowCallTimesOutEarlyWhereItMayBeRetried(t *testing.T) {
	c := newTestController(func(n *Config) { n.CallQuota = 24 })
	c.calls.durationRatios.Add(0.0625) // of the shortest objective
	for op, attempts := range []int{0, 0, 2} {
		inv := insertInvocation(c, min(op, 2)%2, stateAwaitingCall)
		inv.callAttemptsCharged = attempts
		c.actions = nil
		c.startCalls()
		assert.Equal(t, op == 0, c.actions[0].At < c.now+1_000*millisecond, "operation %d, attempts %d", op%2, attempts)
	}
}

func TestFailedCallIsSkippedWhereAllowed(t *testing.T) {
	c := newTestController(func(n *Config) { n.Operations[0].SkippedCallWeightShare = 0.5 })
	inv := insertInvocation(c, 0, stateAwaitingCall)
	inv.callAttemptsCharged = maxCallAttempts
	c.startCalls()
	assert.Equal(t, []ActionKind{SkipCall}, actionKinds(c))
	assert.Equal(t, stateRunning, inv.state)
}

func TestCallsStartInOrderOfWeight(t *testing.T) {
	c := newTestController()
	insertInvocation(c, 0, stateAwaitingCall)
	insertInvocation(c, 1, stateAwaitingCall)
	c.startCalls()
	assert.Equal(t, []ActionKind{StartCall, StartCall}, actionKinds(c))
	assert.Equal(t, []int32{1, 0}, []int32{c.actions[0].Invocation, c.actions[1].Invocation})
}

// With a quota below one call in flight, calls must still run concurrently: the quota limits the mean.
func TestCallsInFlightStayWithinTheMeanQuota(t *testing.T) {
	c := newTestController(func(n *Config) {
		n.CallQuota = 0.35
		n.AbandonedCallTime = 200 * millisecond
	})
	for range 8 {
		c.calls.durationRatios.Add(0.02)
		insertInvocation(c, 1, stateAwaitingCall)
	}
	c.startCalls()
	reserved := 0.0
	for _, a := range c.actions {
		reserved += float64(a.At - c.now + c.config.AbandonedCallTime)
	}
	assert.Len(t, c.actions, 4, "calls are concurrent")
	assert.LessOrEqual(t, reserved, 0.35*5e9)
	c.advanceTime(c.now + 700*millisecond)
	assert.Zero(t, c.maxNextCallTime(), "these calls have used up the quota")
	for range 11 {
		c.counts.calling = 0
		c.advanceTime(c.now + 500*millisecond)
	}
	c.live = nil
	assert.Positive(t, c.maxNextCallTime(), "the quota is available again after its window")
}

// Calls for invocations that are already too late would take up the capacity of a slow dependency.
func TestSlowDependencyRejectsQueuedAndFailsWaitingInvocations(t *testing.T) {
	c := newTestController()
	for range 6 {
		c.calls.durationRatios.Add(0.5)
		insertInvocation(c, 0, stateAwaitingCall)
	}
	insertInvocation(c, 0, stateQueued)
	c.orderQueue()
	assert.Equal(t, []ActionKind{Reject}, actionKinds(c))
	c.actions = c.actions[:0]
	c.now += 900 * millisecond
	insertInvocation(c, 0, stateCalling)
	c.startCalls()
	assert.Equal(t, Fail, c.actions[0].Kind)
}

// Without any call, no measurement would show that the dependency is fast again.
func TestOneCallIsAlwaysStartedHoweverSlowTheDependency(t *testing.T) {
	c := newTestController()
	for range 12 {
		c.calls.durationRatios.Add(2) // of the shortest objective
	}
	insertInvocation(c, 0, stateAwaitingCall)
	insertInvocation(c, 0, stateAwaitingCall)
	c.startCalls()
	assert.Equal(t, []ActionKind{StartCall, Fail}, actionKinds(c))
	assert.Equal(t, stateCalling, c.invocations[0].state)
}

func TestCallsRespectTheLeasedCallLimit(t *testing.T) {
	c := newTestController()
	for range 3 {
		insertInvocation(c, 0, stateAwaitingCall)
	}
	started := func() int {
		c.actions = c.actions[:0]
		c.startCalls()
		count := 0
		for _, a := range c.actions {
			if a.Kind == StartCall {
				count++
			}
		}
		return count
	}
	c.Decide(testStart, []Event{{Kind: CallLimitSet, CallLimit: 1, MaxCallTime: 100 * millisecond}})
	assert.Equal(t, 1, c.counts.calling)
	assert.Equal(t, testStart+100*millisecond, c.invocations[0].callDeadline, "the lease limits the duration of a call")
	assert.Zero(t, started())
	c.calls.limit = 2
	assert.Equal(t, 1, started(), "a higher limit allows one more call")
	c.calls.limit = 0
	c.setState(&c.invocations[0], stateAwaitingCall)
	assert.Zero(t, started(), "no call starts without a lease, which the host reports as a limit of 0")
}
