package admission

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

var (
	shedService    = Service{Form: Shed}
	reducedService = Service{Form: Reduced, WorkShare: 0.4, WeightShare: 0.7}
)

func applyLevel(p *Controller, spare bool, services ...Service) {
	p.setDegradationLevel(services, spare)
}

func arrivalEvent(op int32) *Event {
	return &Event{Kind: Arrived, OperationIndex: op, Tenant: -1, Original: NoOriginal, QueuedKB: 10}
}

func TestShedOperationIsRejectedOnArrivalWithRetryAfter(t *testing.T) {
	p := newTestController()
	applyLevel(p, false, shedService, Service{})
	addInvocation(p, 1, stateQueued)
	e := arrivalEvent(0)
	e.Invocation = 1
	p.handleArrival(e)
	assert.Equal(t, []ActionKind{Reject}, actionKinds(p))
	assert.Equal(t, ReasonDegraded, p.actions[0].Reason)
	assert.Positive(t, p.actions[0].Duration)
}

func TestLevelChangeRejectsQueuedShedInvocationsOnly(t *testing.T) {
	p := newTestController()
	addInvocation(p, 0, stateQueued)
	addInvocation(p, 0, stateRunning)
	addInvocation(p, 1, stateQueued)
	applyLevel(p, false, shedService, Service{})
	assert.Equal(t, []invocationState{stateEnded, stateRunning, stateQueued}, []invocationState{p.invocations[0].state, p.invocations[1].state, p.invocations[2].state})
	assert.Len(t, p.actions, 1)
}

// A tokened invocation that has run is never refused because a level came between its tries.
func TestLevelDoesNotShedWhatHasStarted(t *testing.T) {
	p := newTestController()
	applyLevel(p, false, Service{}, shedService)
	e := arrivalEvent(1)
	e.Original = OriginalEnded
	p.handleArrival(e)
	assert.Equal(t, []ActionKind{JoinOriginal}, actionKinds(p))
	addInvocation(p, 1, statePaused).started = true
	applyLevel(p, false, shedService, shedService)
	assert.Len(t, p.actions, 1)
}

func TestLevelDoesNotRecordKeysOfShedInvocations(t *testing.T) {
	p := newTestController()
	applyLevel(p, false, Service{}, shedService)
	p.handleArrival(arrivalEvent(1))
	assert.Equal(t, []ActionKind{Reject}, actionKinds(p))
	assert.Empty(t, p.deduplicationExpiries)
}

func TestReducedFormRunsCheaperAndRanksByItsWeight(t *testing.T) {
	p := newTestController()
	whole := p.remainingWork(addInvocation(p, 0, stateQueued))
	applyLevel(p, false, reducedService, Service{})
	p.orderQueue()
	assert.InDelta(t, 0.4*whole, p.remainingWork(&p.invocations[0]), 1)
	assert.Equal(t, 0.7, p.invocations[0].weightShare)
	p.startRuns()
	assert.Equal(t, Action{Kind: Run, Invocation: 0, Form: Reduced}, p.actions[0])
}

func TestStartedInvocationIsNotReduced(t *testing.T) {
	p := newTestController()
	v := addInvocation(p, 0, statePaused)
	v.started = true
	applyLevel(p, false, reducedService, Service{})
	p.orderQueue()
	assert.Equal(t, 1.0, v.workShare)
	p.startRuns()
	assert.Equal(t, Complete, p.actions[0].Form)
}

func TestLevelThatEndsBeforeTheStartLeavesTheCompleteForm(t *testing.T) {
	p := newTestController()
	addInvocation(p, 0, stateQueued)
	applyLevel(p, false, reducedService, Service{})
	p.orderQueue()
	p.setDegradationLevel(nil, false)
	p.orderQueue()
	p.startRuns()
	assert.Equal(t, Complete, p.actions[0].Form)
}

func TestSpareCapacityServesReducedOperationsCompletely(t *testing.T) {
	p := newTestController()
	addInvocation(p, 0, stateQueued)
	applyLevel(p, true, reducedService, Service{})
	p.orderQueue()
	p.startRuns()
	assert.Equal(t, Complete, p.actions[0].Form)
}

func TestSpareCapacityServesShedOperationsLast(t *testing.T) {
	p := newTestController()
	applyLevel(p, true, Service{Form: Shed, WorkShare: 0.4, WeightShare: 0.7}, Service{})
	p.handleArrival(arrivalEvent(0))
	p.invocations[0].baseWork /= 100 // by far the best in value for work
	e := arrivalEvent(1)
	e.Invocation = 1
	p.handleArrival(e)
	p.orderQueue()
	assert.Equal(t, []int32{1, 0}, p.queueOrder)
	p.startRuns()
	assert.Equal(t, Reduced, p.actions[len(p.actions)-1].Form, "the form that the level before leaves")
}

func TestShedInvocationsAreNotCountedAsPressure(t *testing.T) {
	p := newTestController()
	applyLevel(p, false, shedService, Service{})
	p.handleArrival(arrivalEvent(0))
	var m LoadMetrics
	p.MeasureLoad(&m)
	assert.Zero(t, m.RejectedShare)
}

func TestDemandCountsFirstAttemptsInFullAtAnyLevel(t *testing.T) {
	p := newTestController()
	applyLevel(p, false, shedService, Service{})
	p.handleArrival(arrivalEvent(0))
	e := arrivalEvent(0)
	e.Invocation, e.Retry = 1, true
	p.handleArrival(e)
	var m LoadMetrics
	p.MeasureLoad(&m)
	assert.InDelta(t, float64(125*millisecond)/float64(demandWindow)/p.cores, m.DemandByOperation[0], 1e-9)
	p.now += 2 * demandWindow
	p.MeasureLoad(&m)
	assert.Zero(t, m.DemandByOperation[0], "a drop is seen within its span")
}

func benchmarkDecide(b *testing.B, live int, level bool) {
	p := newTestController(func(n *Config) { n.MemoryKB, n.MaxRetryAfter = 1e9, 0 })
	for k := range live {
		addInvocation(p, k%2, stateQueued).deadline = testStart * 1000
		p.invocations[k].arrivedAt = testStart * 900
	}
	if level {
		applyLevel(p, true, reducedService, Service{})
	}
	b.ReportAllocs()
	for b.Loop() {
		p.nextTick = p.now + tickInterval
		p.runningCount = 100 // nothing starts
		p.Decide(p.now, nil)
	}
}

func BenchmarkDecide100(b *testing.B)          { benchmarkDecide(b, 100, false) }
func BenchmarkDecide100Degraded(b *testing.B)  { benchmarkDecide(b, 100, true) }
func BenchmarkDecide5000(b *testing.B)         { benchmarkDecide(b, 5000, false) }
func BenchmarkDecide5000Degraded(b *testing.B) { benchmarkDecide(b, 5000, true) }
