package admission

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestAcceptedInvocationsRetainTheirConfigurationWhenOperationsChange(t *testing.T) {
	c := newTestController()
	inv := insertInvocation(c, 0, stateRunning)
	inv.operation.serviceTimeRatios.Add(4)
	usual := inv.operation.serviceTimeRatios.Mean(1)
	configure := func(i int32, config *Operation, services ...Service) {
		c.apply(&Event{Kind: OperationConfigured, OperationIndex: i, Operation: config, Services: services})
	}
	configure(0, &Operation{LatencyObjective: 200 * millisecond, ClientTimeout: 400 * millisecond, PriorityWeight: 9}, Service{Form: Shed})
	assert.Equal(t, 3_000*millisecond, inv.operation.ClientTimeout)
	assert.Equal(t, 1.0, inv.operation.PriorityWeight)
	changed := insertInvocation(c, 0, stateQueued)
	assert.Equal(t, c.now+400*millisecond, changed.deadline)
	assert.Equal(t, usual, changed.operation.serviceTimeRatios.Mean(1), "measurements are kept when the configuration changes")
	assert.Equal(t, Shed, changed.operation.service.Form)
	assert.Equal(t, []float64{float64(200 * millisecond), float64(1_000 * millisecond)}, []float64{c.operations.shortestObjective, float64(c.operations.longestObjective)})
	configure(3, &Operation{LatencyObjective: 7_000 * millisecond, ClientTimeout: 9_000 * millisecond})
	assert.Equal(t, 7_000*millisecond, c.operations.longestObjective)
	var load LoadMetrics
	c.MeasureLoad(&load)
	assert.Len(t, load.DemandByOperation, 4)
	c.setDegradationLevel([]Service{{}, {Form: Shed}}, false)
	assert.Equal(t, Shed, c.operations.list[1].service.Form)
	configure(0, nil)
	configure(3, nil)
	assert.Equal(t, []int64{1_000 * millisecond, 1_000 * millisecond}, []int64{int64(c.operations.shortestObjective), c.operations.longestObjective})
	c.Decide(c.now+100*millisecond, []Event{{Kind: RunEnded, Invocation: 0, Outcome: Succeeded}})
	configure(0, &Operation{LatencyObjective: 500 * millisecond, ClientTimeout: 900 * millisecond})
	assert.Equal(t, 1.0, c.operations.list[0].serviceTimeRatios.Mean(1), "measurements are lost when the operation is removed")
}

// A node may start with a configuration in which some indices belong to no operation.
func TestRemovedOperationsAreIgnored(t *testing.T) {
	c := newTestController(func(n *Config) { n.Operations = append(n.Operations, Operation{Removed: true}) })
	assert.Equal(t, float64(1_000*millisecond), c.operations.shortestObjective)
	c.Decide(c.now+tickInterval, []Event{{Kind: TimerFired, BusyShare: 0.5, RunnableThreads: 1}})
}
