package admission

import (
	"math/rand"
	"slices"
)

const (
	millisecond = int64(1_000_000) // ns
	second      = 1_000 * millisecond

	tickInterval = 50 * millisecond // short compared with any client timeout
	answerMargin = 60 * millisecond // before the deadline, for the final answer: a tick and the delay of a timer
)

// Controller decides about the load of one node.
type Controller struct {
	config         *Config
	random         *rand.Rand
	coresStartedAt int64
	now            int64
	nextTick       int64
	actions        []Action // to be returned by Decide

	invocations []invocation // by index
	live        []int32      // indices of invocations that have not been released, in order of arrival
	queueOrder  []int32      // indices of invocations that wait for a core, in the order in which they are to run
	callOrder   []int32      // indices of invocations that wait for a call, in the order in which calls are to start

	operations       operationTable
	useSpareCapacity bool // at the present degradation level, see Event.UseSpareCapacity

	counts       invocationCounts
	memory       memoryUsage
	cores        coreUsage
	concurrency  concurrencyLimit
	calls        dependencyCalls
	callers      callerStatistics
	health       nodeHealth
	backpressure backpressureState
	drain        drainState
}

// NewController returns the controller of a node. The start of its cores may be earlier than that of the process.
func NewController(config *Config, coresStartedAt int64) *Controller {
	cores := float64(config.Cores)
	c := &Controller{
		config:         config,
		random:         rand.New(rand.NewSource(config.Seed)),
		coresStartedAt: coresStartedAt,
		now:            coresStartedAt,
		nextTick:       coresStartedAt,
		operations:     newOperationTable(config.Operations),
		cores:          coreUsage{count: cores},
		concurrency:    concurrencyLimit{limit: cores, windowStart: coresStartedAt},
		callers:        newCallerStatistics(),
		health:         newNodeHealth(),
		backpressure:   backpressureState{advertisedCapacity: 1, lastSignal: noSignal},
	}
	c.calls = newDependencyCalls(config, c.operations.shortestObjective)
	if config.ColdStart {
		c.backpressure.advertisedCapacity = config.ColdSpeedShare
		c.calls.assumeQuotaUsed(config, max(coresStartedAt, config.ProcessStart))
	}
	return c
}

// Decide advances time to now, applies the events and returns the actions to carry out, in order. The result is
// valid until the next call.
func (c *Controller) Decide(now int64, events []Event) []Action {
	c.actions = c.actions[:0]
	c.advanceTime(now)
	for i := range events {
		c.apply(&events[i])
	}
	c.advanceDrain()
	c.startCalls()
	c.orderQueue()
	c.startRuns()
	c.enforceMemoryLimit()
	if now >= c.nextTick {
		c.tick()
	}
	c.releaseEnded()
	return c.actions
}

// advanceTime updates measurements that are integrated over time, up to now.
func (c *Controller) advanceTime(now int64) {
	elapsed := float64(now - c.now)
	c.calls.advanceTime(now, elapsed, &c.counts)
	c.cores.advanceTime(elapsed, c.counts.running)
	c.now = now
}

// apply updates the state of the controller with an event.
func (c *Controller) apply(e *Event) {
	switch e.Kind {
	case Arrived:
		c.handleArrival(e)
	case DrainRequested:
		c.startDrain(e.KillAt)
	case TimerFired:
		c.cores.observeGauges(e, c.now, c.counts.running, c.operations.shortestObjective)
	case CallLimitSet:
		c.calls.setLimit(e.CallLimit, e.MaxCallTime)
	case OperationConfigured:
		c.operations.configure(e.OperationIndex, e.Operation, e.Services)
	case DegradationLevelSet:
		c.setDegradationLevel(e.Services, e.UseSpareCapacity)
	default:
		c.applyToInvocation(e)
	}
}

// applyToInvocation applies an event to an invocation that arrived earlier. An event of an invocation that has ended comes
// too late and is ignored.
func (c *Controller) applyToInvocation(e *Event) {
	inv := &c.invocations[e.Invocation]
	if inv.state == stateEnded {
		return
	}
	switch e.Kind {
	case CallerDisconnected:
		c.observeWait(inv, true)
		inv.answered = true
		c.discard(e.Invocation)
	case CallRequested:
		c.setState(inv, stateAwaitingCall)
	case CallEnded:
		c.handleCallEnded(inv, e.Outcome)
	case RunEnded:
		c.handleRunEnded(e.Invocation, e.Outcome)
	case RunStarted:
		c.handleRunStarted(inv)
	}
}

// tick does the periodic work.
func (c *Controller) tick() {
	c.nextTick = c.now + tickInterval
	c.emit(setTimer(c.nextTick))
	c.callers.updateWaitShare()
	c.enforceDeadlines()
	c.adjustConcurrencyLimit()
	c.updateHealth()
	c.updateBackpressure()
}

// releaseEnded lets the host reuse the indices of ended invocations.
func (c *Controller) releaseEnded() {
	c.live = slices.DeleteFunc(c.live, func(i int32) bool {
		ended := c.invocations[i].state == stateEnded
		if ended {
			c.emit(release(i))
		}
		return ended
	})
}
