package admission

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestIdempotencyKeyIsRecordedBeforeTheRun(t *testing.T) {
	c := newTestController()
	actions := c.Decide(testStart, []Event{{Kind: Arrived, Invocation: 0, OperationIndex: 1, Tenant: -1,
		Original: NoOriginal, QueuedKB: 10}})
	assert.Equal(t, RecordKey, actions[0].Kind)
	assert.Equal(t, 5_000*millisecond, actions[0].Duration)
	assert.Equal(t, Run, actions[1].Kind)
}

func TestRetryOfAStartedInvocationJoinsIt(t *testing.T) {
	c := newTestController()
	c.handleArrival(&Event{Kind: Arrived, OperationIndex: 1, Tenant: -1, Original: OriginalEnded, QueuedKB: 10})
	assert.Equal(t, []ActionKind{JoinOriginal}, actionKinds(c))
}

// A rejection would tell the caller that nothing was executed.
func TestRetryOfAStartedInvocationFailsAfterIntakeEnd(t *testing.T) {
	c := newTestController()
	c.drain.requestedAt = c.now - millisecond
	c.drain.intakeEnd = c.now
	c.handleArrival(&Event{Kind: Arrived, OperationIndex: 1, Tenant: -1, Original: OriginalEnded, QueuedKB: 10})
	assert.Equal(t, []ActionKind{Fail}, actionKinds(c))
}
