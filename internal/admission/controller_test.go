package admission

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against a removal of silent tenants or callers from the statistics that changes a decision. TestDigestsOfDecisions
// covers runs, calls, drains and degradation.
func TestDecisionsOverRandomEventsAreUnchanged(t *testing.T) {
	assert.Equal(t, uint64(0xc8decd4b70530307), digestOfDecisions(7, 1_200))
	assert.Equal(t, uint64(0x27221d42ec36a438), digestOfDecisions(8, 1_200))
}

func BenchmarkTick(b *testing.B) {
	for _, tenants := range []int{0, 1_000, 130_000} {
		b.Run(fmt.Sprint(tenants, " tenants"), func(b *testing.B) {
			c := newTestController(func(n *Config) { n.TenantRates = make([]float64, tenants) })
			now := testStart
			for b.Loop() {
				now += tickInterval
				c.Decide(now, []Event{{Kind: TimerFired, BusyShare: 0.5, RunnableThreads: 1}})
			}
		})
	}
}

func benchmarkDecide(b *testing.B, queued int, degraded bool) {
	c := newTestController(func(n *Config) {
		n.MemoryKB = 1e9
		n.MaxRetryAfter = 0
	})
	for k := range queued {
		insertInvocation(c, k%2, stateQueued).deadline = testStart * 1000
		c.invocations[k].arrivedAt = testStart * 900
	}
	if degraded {
		applyLevel(c, true, reducedService, Service{})
	}
	b.ReportAllocs()
	for b.Loop() {
		c.nextTick = c.now + tickInterval
		c.counts.running = 100 // no run starts
		c.Decide(c.now, nil)
	}
}

func BenchmarkDecide100(b *testing.B)          { benchmarkDecide(b, 100, false) }
func BenchmarkDecide100Degraded(b *testing.B)  { benchmarkDecide(b, 100, true) }
func BenchmarkDecide5000(b *testing.B)         { benchmarkDecide(b, 5000, false) }
func BenchmarkDecide5000Degraded(b *testing.B) { benchmarkDecide(b, 5000, true) }
