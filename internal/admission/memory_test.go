package admission

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestKeyedRequestIsRejectedWhenTheDeduplicationTableIsFull(t *testing.T) {
	c := newTestController(func(n *Config) { n.DeduplicationEntryKB = 300 })
	insertInvocation(c, 1, stateQueued)
	c.recordKeyUntil(0, c.now+5_000*millisecond)
	assert.Equal(t, []ActionKind{Reject}, actionKinds(c))
}

func TestMemoryLimitStopsStartsAndRejectsTheQueueTail(t *testing.T) {
	c := newTestController()
	for range 2 {
		insertInvocation(c, 0, stateQueued).queuedKB = 480
	}
	c.memory.invocationsKB = 960
	c.queueOrder = []int32{0, 1}
	c.startRuns()
	assert.Empty(t, c.actions)
	c.enforceMemoryLimit()
	assert.Equal(t, []ActionKind{Reject}, actionKinds(c))
	assert.Equal(t, int32(1), c.actions[0].Invocation)
}
