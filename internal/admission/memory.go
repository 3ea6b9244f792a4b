package admission

import "slices"

const (
	maxRunMemoryShare           = 0.85                        // of the memory, for runs and the deduplication table
	maxMemoryShare              = (1 + maxRunMemoryShare) / 2 // of the memory, with the queue
	maxDeduplicationMemoryShare = 0.25                        // of the memory
)

// memoryUsage is what invocations and the deduplication table take up.
type memoryUsage struct {
	invocationsKB float64
	keyExpiries   []int64 // of recorded keys
}

// addInvocations adds a number of invocations of a size, or removes them where it is negative.
func (m *memoryUsage) addInvocations(count int, sizeKB float64) {
	m.invocationsKB += float64(count) * sizeKB
}

// deduplicationKB is the size of the deduplication table.
func (c *Controller) deduplicationKB() float64 {
	return float64(len(c.memory.keyExpiries)) * c.config.DeduplicationEntryKB
}

// usedKB is the memory in use.
func (c *Controller) usedKB() float64 { return c.memory.invocationsKB + c.deduplicationKB() }

// invocationKB is the memory that an invocation takes up in its present state.
func (c *Controller) invocationKB(inv *invocation) float64 {
	if inv.state >= stateRunning {
		return inv.queuedKB * c.config.RunningMemoryFactor
	}
	return inv.queuedKB
}

// canAllocateRun says whether there is memory to start an invocation. One that was paused has its memory already.
func (c *Controller) canAllocateRun(inv *invocation) bool {
	if inv.state != stateQueued {
		return true
	}
	return c.usedKB()+inv.queuedKB*(c.config.RunningMemoryFactor-1) <= maxRunMemoryShare*c.config.MemoryKB
}

// recordKeyUntil records the key of an invocation, so that repetitions join it. Where there is no room, an
// invocation that needs the record against a second execution is rejected.
func (c *Controller) recordKeyUntil(i int32, expiry int64) {
	if c.canRecordKey() && expiry > c.now {
		c.emit(recordKey(i, expiry-c.now))
		c.memory.keyExpiries = append(c.memory.keyExpiries, expiry)
		return
	}
	if c.invocations[i].operation.Idempotency == IdempotentWithKey {
		c.drop(i, ReasonMemory)
	}
}

func (c *Controller) canRecordKey() bool {
	limit := c.config.MaxDeduplicationEntries
	if limit != 0 && len(c.memory.keyExpiries) >= limit {
		return false
	}
	return c.deduplicationKB()+c.config.DeduplicationEntryKB <= maxDeduplicationMemoryShare*c.config.MemoryKB
}

// enforceMemoryLimit removes expired keys and rejects the end of the queue before memory runs out.
func (c *Controller) enforceMemoryLimit() {
	c.memory.keyExpiries = slices.DeleteFunc(c.memory.keyExpiries, func(expiry int64) bool {
		return expiry < c.now
	})
	for k := len(c.queueOrder) - 1; k >= 0 && c.usedKB() > maxMemoryShare*c.config.MemoryKB; k-- {
		i := c.queueOrder[k]
		if c.invocations[i].state == stateQueued {
			c.drop(i, ReasonMemory)
		}
	}
}
