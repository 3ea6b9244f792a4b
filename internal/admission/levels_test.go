package admission

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

var (
	shedService    = Service{Form: Shed}
	reducedService = Service{Form: Reduced, WorkShare: 0.4, WeightShare: 0.7}
)

func applyLevel(c *Controller, spare bool, services ...Service) {
	c.setDegradationLevel(services, spare)
}

func arrivalEvent(op int32) *Event {
	return &Event{Kind: Arrived, OperationIndex: op, Tenant: -1, Original: NoOriginal, QueuedKB: 10}
}

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

// A tokened invocation that has run is never refused because a level came between its tries.
func TestLevelDoesNotShedWhatHasStarted(t *testing.T) {
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
	whole := c.remainingWork(insertInvocation(c, 0, stateQueued))
	applyLevel(c, false, reducedService, Service{})
	c.orderQueue()
	assert.InDelta(t, 0.4*whole, c.remainingWork(&c.invocations[0]), 1)
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
	c.invocations[0].baseWork /= 100 // by far the best in value for work
	e := arrivalEvent(1)
	e.Invocation = 1
	c.handleArrival(e)
	c.orderQueue()
	assert.Equal(t, []int32{1, 0}, c.queueOrder)
	c.startRuns()
	assert.Equal(t, Reduced, c.actions[len(c.actions)-1].Form, "the form that the level before leaves")
}

func TestShedInvocationsAreNotCountedAsPressure(t *testing.T) {
	c := newTestController()
	applyLevel(c, false, shedService, Service{})
	c.handleArrival(arrivalEvent(0))
	var m LoadMetrics
	c.MeasureLoad(&m)
	assert.Zero(t, m.RejectedShare)
}

func TestDemandCountsFirstAttemptsInFullAtAnyLevel(t *testing.T) {
	c := newTestController()
	applyLevel(c, false, shedService, Service{})
	c.handleArrival(arrivalEvent(0))
	e := arrivalEvent(0)
	e.Invocation, e.Retry = 1, true
	c.handleArrival(e)
	var m LoadMetrics
	c.MeasureLoad(&m)
	assert.InDelta(t, float64(125*millisecond)/float64(demandWindow)/c.cores.count, m.DemandByOperation[0], 1e-9)
	c.now += 2 * demandWindow
	c.MeasureLoad(&m)
	assert.Zero(t, m.DemandByOperation[0], "a drop is seen within its span")
}

func benchmarkDecide(b *testing.B, live int, level bool) {
	c := newTestController(func(n *Config) { n.MemoryKB, n.MaxRetryAfter = 1e9, 0 })
	for k := range live {
		insertInvocation(c, k%2, stateQueued).deadline = testStart * 1000
		c.invocations[k].arrivedAt = testStart * 900
	}
	if level {
		applyLevel(c, true, reducedService, Service{})
	}
	b.ReportAllocs()
	for b.Loop() {
		c.nextTick = c.now + tickInterval
		c.counts.running = 100 // nothing starts
		c.Decide(c.now, nil)
	}
}

func BenchmarkDecide100(b *testing.B)          { benchmarkDecide(b, 100, false) }
func BenchmarkDecide100Degraded(b *testing.B)  { benchmarkDecide(b, 100, true) }
func BenchmarkDecide5000(b *testing.B)         { benchmarkDecide(b, 5000, false) }
func BenchmarkDecide5000Degraded(b *testing.B) { benchmarkDecide(b, 5000, true) }
