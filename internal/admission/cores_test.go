package admission

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// The busy share is a mean that lags behind: if it took precedence over the runnable threads, the limit would overshoot.
func TestCoresAreIdleWhenFewerThreadsAreRunnable(t *testing.T) {
	c := newTestController()
	c.apply(&Event{Kind: TimerFired, BusyShare: 0.2, RunnableThreads: 2})
	assert.False(t, c.cores.idle)
	c.apply(&Event{Kind: TimerFired, BusyShare: 0.95, RunnableThreads: 1})
	assert.True(t, c.cores.idle)
	c.apply(&Event{Kind: TimerFired, BusyShare: 0.95, RunnableThreads: -1})
	assert.False(t, c.cores.idle)
}

// While threads read a burst of requests, the node must not reject invocations for which it has capacity.
func TestBurstOfOtherThreadsBarelyLowersAvailableCores(t *testing.T) {
	c := newTestController(func(n *Config) { n.Cores = 8 })
	for range 20 { // a second of light load, then a burst
		c.now += 50 * millisecond
		c.apply(&Event{Kind: TimerFired, BusyShare: 0.5, RunnableThreads: 1})
	}
	c.now += 50 * millisecond
	c.apply(&Event{Kind: TimerFired, BusyShare: 1, RunnableThreads: 9})
	assert.InDelta(t, 6.8, c.cores.available(), 0.05)
	assert.InDelta(t, 3, c.cores.otherRunnable, 0.1, "the value that limits runs follows the gauge quickly")
	now := c.now
	c.now += 10 * millisecond
	c.apply(&Event{Kind: TimerFired, BusyShare: 1, RunnableThreads: 9})
	assert.InDelta(t, 3.3, c.cores.otherRunnable, 0.1, "smoothed by elapsed time, not by the number of gauges")
	assert.Equal(t, now+10*millisecond, c.cores.gaugedAt)
}
