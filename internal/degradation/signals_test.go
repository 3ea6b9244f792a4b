package degradation

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"topazpost/internal/admission"
)

func TestSignalValuesComeFromTheMetrics(t *testing.T) {
	c := newController()
	metrics := metricsOfLoad(2)
	metrics.OverheadShare = 0.25
	metrics.QueueWait, metrics.QueueingDelay, metrics.CallWait, metrics.RejectedShare, metrics.MemoryShare = 1, 2, 3, 4, 5
	c.computeLoads(metrics)
	for signal, want := range map[Signal]float64{QueueWait: 1, QueueingDelay: 2, CallWait: 3, Rejected: 4, Memory: 5} {
		assert.Equal(t, want, c.signalValue(signal, 2, metrics), SignalNames[signal])
	}
}

// Conditions of a level compare the load at the next milder level. No level reduces the overhead.
func TestLevelComparesTheLoadAtTheNextMilderLevel(t *testing.T) {
	c := newController()
	metrics := metricsOfLoad(2)
	metrics.OverheadShare = 0.25
	c.computeLoads(metrics)
	assert.InDeltaSlice(t, []float64{2.25, 1.75, 1.25, 0.45}, c.LoadByLevel(), 1e-9)
	assert.InDelta(t, 2.25, c.signalValue(Load, 1, metrics), 1e-9)
	assert.InDelta(t, 1.25, c.signalValue(Load, 3, metrics), 1e-9)
}

func TestLoadIsZeroWithoutDemand(t *testing.T) {
	c := newController()
	c.computeLoads(&admission.LoadMetrics{})
	assert.Equal(t, []float64{0, 0, 0, 0}, c.LoadByLevel())
}
