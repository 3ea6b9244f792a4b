package admission

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestShedOperationIsRejectedOnArrivalWithRetryAfter(t *testing.T) {
	c := newTestController()
	applyLevel(c, false, shedService, Service{})
	insertInvocation(c, 1, stateQueued)
	e := arrivalEvent(0)
	e.Invocation = 1
	c.handleArrival(e)
	assert.Equal(t, []ActionKind{Reject}, actionKinds(c))
	assert.Equal(t, ReasonDegraded, c.actions[0].Reason)
	assert.Positive(t, c.actions[0].Duration)
}

func TestLevelChangeRejectsQueuedShedInvocationsOnly(t *testing.T) {
	c := newTestController()
	insertInvocation(c, 0, stateQueued)
	insertInvocation(c, 0, stateRunning)
	insertInvocation(c, 1, stateQueued)
	applyLevel(c, false, shedService, Service{})
	assert.Equal(t, []invocationState{stateEnded, stateRunning, stateQueued}, []invocationState{c.invocations[0].state, c.invocations[1].state, c.invocations[2].state})
	assert.Len(t, c.actions, 1)
}

// An invocation with a key may have started before a level sheds its operation. Its retry, and the invocation itself when
// it is paused, must then not be shed.
func TestLevelDoesNotShedStartedInvocations(t *testing.T) {
	c := newTestController()
	applyLevel(c, false, Service{}, shedService)
	e := arrivalEvent(1)
	e.Original = OriginalEnded
	c.handleArrival(e)
	assert.Equal(t, []ActionKind{JoinOriginal}, actionKinds(c))
	insertInvocation(c, 1, statePaused).started = true
	applyLevel(c, false, shedService, shedService)
	assert.Len(t, c.actions, 1)
}

func TestLevelDoesNotRecordKeysOfShedInvocations(t *testing.T) {
	c := newTestController()
	applyLevel(c, false, Service{}, shedService)
	c.handleArrival(arrivalEvent(1))
	assert.Equal(t, []ActionKind{Reject}, actionKinds(c))
	assert.Empty(t, c.memory.keyExpiries)
}

func TestReducedFormRunsCheaperAndRanksByItsWeight(t *testing.T) {
	c := newTestController()
	complete := c.remainingWork(insertInvocation(c, 0, stateQueued))
	applyLevel(c, false, reducedService, Service{})
	c.orderQueue()
	assert.InDelta(t, 0.4*complete, c.remainingWork(&c.invocations[0]), 1)
	assert.Equal(t, 0.7, c.invocations[0].weightShare)
	c.startRuns()
	assert.Equal(t, Action{Kind: Run, Invocation: 0, Form: Reduced}, c.actions[0])
}

func TestStartedInvocationIsNotReduced(t *testing.T) {
	c := newTestController()
	inv := insertInvocation(c, 0, statePaused)
	inv.started = true
	applyLevel(c, false, reducedService, Service{})
	c.orderQueue()
	assert.Equal(t, 1.0, inv.workShare)
	c.startRuns()
	assert.Equal(t, Complete, c.actions[0].Form)
}

func TestLevelThatEndsBeforeTheStartLeavesTheCompleteForm(t *testing.T) {
	c := newTestController()
	insertInvocation(c, 0, stateQueued)
	applyLevel(c, false, reducedService, Service{})
	c.orderQueue()
	c.setDegradationLevel(nil, false)
	c.orderQueue()
	c.startRuns()
	assert.Equal(t, Complete, c.actions[0].Form)
}

func TestSpareCapacityServesReducedOperationsCompletely(t *testing.T) {
	c := newTestController()
	insertInvocation(c, 0, stateQueued)
	applyLevel(c, true, reducedService, Service{})
	c.orderQueue()
	c.startRuns()
	assert.Equal(t, Complete, c.actions[0].Form)
}

func TestSpareCapacityServesShedOperationsLast(t *testing.T) {
	c := newTestController()
	applyLevel(c, true, Service{Form: Shed, WorkShare: 0.4, WeightShare: 0.7}, Service{})
	c.handleArrival(arrivalEvent(0))
	c.invocations[0].baseWork /= 100 // by far the highest weight per work
	e := arrivalEvent(1)
	e.Invocation = 1
	c.handleArrival(e)
	c.orderQueue()
	assert.Equal(t, []int32{1, 0}, c.queueOrder)
	c.startRuns()
	assert.Equal(t, Reduced, c.actions[len(c.actions)-1].Form, "spare capacity serves the form of the shed operation's service")
}

func TestShedInvocationsDoNotRaiseTheRejectedShare(t *testing.T) {
	c := newTestController()
	applyLevel(c, false, shedService, Service{})
	c.handleArrival(arrivalEvent(0))
	var load LoadMetrics
	c.MeasureLoad(&load)
	assert.Zero(t, load.RejectedShare)
}

func TestDemandCountsFirstAttemptsInFullAtAnyLevel(t *testing.T) {
	c := newTestController()
	applyLevel(c, false, shedService, Service{})
	c.handleArrival(arrivalEvent(0))
	e := arrivalEvent(0)
	e.Invocation = 1
	e.Retry = true
	c.handleArrival(e)
	var load LoadMetrics
	c.MeasureLoad(&load)
	assert.InDelta(t, float64(125*millisecond)/float64(demandWindow)/c.cores.count, load.DemandByOperation[0], 1e-9)
	c.now += 2 * demandWindow
	c.MeasureLoad(&load)
	assert.Zero(t, load.DemandByOperation[0], "demand that ended is gone after two windows")
}
