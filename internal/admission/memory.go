package admission

import "slices"

const (
	maxRunMemoryShare           = 0.85                        // of the memory: runs start only below this usage
	maxMemoryShare              = (1 + maxRunMemoryShare) / 2 // of the memory: above this usage, the queue is cut
	maxDeduplicationMemoryShare = 0.25                        // of the memory: maximum of the deduplication table
)

// memoryUsage is the memory that invocations and the deduplication table use.
type memoryUsage struct {
	invocationsKB float64
	keyExpiries   []int64 // when the keys in the deduplication table expire, one for each key
}

// addInvocations adds the memory of invocations of equal size, or subtracts it if count is negative.
func (m *memoryUsage) addInvocations(count int, sizeKB float64) {
	m.invocationsKB += float64(count) * sizeKB
}

// deduplicationKB returns the size of the deduplication table.
func (c *Controller) deduplicationKB() float64 {
	return float64(len(c.memory.keyExpiries)) * c.config.DeduplicationEntryKB
}

// usedKB returns the memory in use.
func (c *Controller) usedKB() float64 { return c.memory.invocationsKB + c.deduplicationKB() }

// invocationKB returns the memory that an invocation takes up in its present state.
func (c *Controller) invocationKB(inv *invocation) float64 {
	if inv.state >= stateRunning {
		return inv.queuedKB * c.config.RunningMemoryFactor
	}
	return inv.queuedKB
}

// canAllocateRun reports whether there is memory to start an invocation. A paused invocation has its memory already.
func (c *Controller) canAllocateRun(inv *invocation) bool {
	if inv.state != stateQueued {
		return true
	}
	return c.usedKB()+inv.queuedKB*(c.config.RunningMemoryFactor-1) <= maxRunMemoryShare*c.config.MemoryKB
}

// recordKeyUntil records the key of an invocation until its expiry, so that repetitions join the invocation. If there is
// no room in the table or the expiry has passed, it rejects the invocation if only the record would prevent a second
// execution.
func (c *Controller) recordKeyUntil(i int32, expiry int64) {
	if c.canRecordKey() && expiry > c.now {
		c.emit(recordKey(i, expiry-c.now))
		c.memory.keyExpiries = append(c.memory.keyExpiries, expiry)
		return
	}
	if c.invocations[i].operation.Idempotency == IdempotentWithKey {
		c.rejectOrFail(i, ReasonMemory)
	}
}

// canRecordKey reports whether the deduplication table has room for another key.
func (c *Controller) canRecordKey() bool {
	limit := c.config.MaxDeduplicationEntries
	if limit != 0 && len(c.memory.keyExpiries) >= limit {
		return false
	}
	return c.deduplicationKB()+c.config.DeduplicationEntryKB <= maxDeduplicationMemoryShare*c.config.MemoryKB
}

// enforceMemoryLimit removes expired keys, and rejects invocations from the end of the queue before memory runs out.
func (c *Controller) enforceMemoryLimit() {
	c.memory.keyExpiries = slices.DeleteFunc(c.memory.keyExpiries, func(expiry int64) bool {
		return expiry < c.now
	})
	for k := len(c.queueOrder) - 1; k >= 0 && c.usedKB() > maxMemoryShare*c.config.MemoryKB; k-- {
		i := c.queueOrder[k]
		if c.invocations[i].state == stateQueued {
			c.rejectOrFail(i, ReasonMemory)
		}
	}
}
