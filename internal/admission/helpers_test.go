package admission

const testStart = 1_000 * second

// newTestController returns the controller of a healthy, warm node with two cores and two operations: 0 is idempotent, 1 is
// idempotent with a key and has a higher weight.
func newTestController(change ...func(*Config)) *Controller {
	config := &Config{
		Operations: []Operation{
			{
				LatencyObjective: 1_000 * millisecond,
				ClientTimeout:    3_000 * millisecond,
				PriorityWeight:   1,
				CallsDependency:  true,
			},
			{
				Idempotency:         IdempotentWithKey,
				LatencyObjective:    1_000 * millisecond,
				ClientTimeout:       3_000 * millisecond,
				DeduplicationWindow: 5_000 * millisecond,
				PriorityWeight:      5,
				CallsDependency:     true,
			},
		},
		Cores:                 2,
		MemoryKB:              1_000,
		RunningMemoryFactor:   4,
		DeduplicationEntryKB:  1,
		Peers:                 2,
		Dependency:            SharedDependency,
		CallQuota:             2.4,
		CallQuotaWindow:       5_000 * millisecond,
		SurvivableRunsPerCore: 4,
		DrainGrace:            2_000 * millisecond,
		MaxRetryAfter:         1_000 * millisecond,
		StopSupport:           StopKeepsProgress,
	}
	for _, c := range change {
		c(config)
	}
	return NewController(config, testStart)
}

// insertInvocation adds an invocation that arrived now, in the given state, and returns it.
func insertInvocation(c *Controller, operationIndex int, state invocationState) *invocation {
	op := c.operations.list[operationIndex]
	c.invocations = append(c.invocations, invocation{
		operation:   op,
		tenant:      -1,
		arrivedAt:   c.now,
		deadline:    c.now + op.ClientTimeout,
		queuedKB:    10,
		baseWork:    float64(100 * millisecond),
		workShare:   1,
		weightShare: 1,
		started:     state == stateRunning || state == stateAwaitingCall || state == stateCalling,
	})
	i := len(c.invocations) - 1
	c.live = append(c.live, int32(i))
	c.counts.arrived++
	inv := &c.invocations[i]
	c.setState(inv, state)
	return inv
}

// actionKinds returns the kinds of the actions emitted so far.
func actionKinds(c *Controller) []ActionKind {
	kinds := []ActionKind{}
	for _, a := range c.actions {
		kinds = append(kinds, a.Kind)
	}
	return kinds
}

// The services of degradation levels in tests.
var (
	shedService    = Service{Form: Shed}
	reducedService = Service{Form: Reduced, WorkShare: 0.4, WeightShare: 0.7}
)

func applyLevel(c *Controller, useSpareCapacity bool, services ...Service) {
	c.setDegradationLevel(services, useSpareCapacity)
}

// arrivalEvent returns the arrival of invocation 0 of an operation.
func arrivalEvent(operation int32) *Event {
	return &Event{Kind: Arrived, OperationIndex: operation, Tenant: -1, Original: NoOriginal, QueuedKB: 10}
}
