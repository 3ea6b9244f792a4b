package degradation

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestLimitsWithoutASignalAreEmpty(t *testing.T) {
	limits := NoLimits()
	assert.True(t, limits.isEmpty())
	assert.Equal(t, Load, limits.firstSignal())
	limits[Memory] = 0
	assert.False(t, limits.isEmpty(), "a limit of zero is set")
	assert.Equal(t, Memory, limits.firstSignal())
	limits[CallWait] = 0.5
	assert.Equal(t, CallWait, limits.firstSignal())
}

func TestHasLoadLimit(t *testing.T) {
	onLoad, onMemory := condition(Load, 1, second), condition(Memory, 1, second)
	assert.True(t, onLoad.hasLoadLimit())
	assert.False(t, onMemory.hasLoadLimit())
}

// A condition must not hold unless the signals are beyond all of its limits. A value equal to a limit is neither above nor below it.
func TestAllLimitsMustBePassed(t *testing.T) {
	c := newController()
	metrics := metricsOfLoad(1)
	metrics.CallWait, metrics.MemoryShare = 0.5, 0.25
	c.computeLoads(metrics)
	limits := NoLimits()
	limits[CallWait], limits[Memory] = 0.4, 0.2
	assert.True(t, c.allAbove(&limits, 1, metrics))
	assert.False(t, c.allBelow(&limits, 1, metrics))
	limits[Memory] = 0.25
	assert.False(t, c.allAbove(&limits, 1, metrics))
	assert.False(t, c.allBelow(&limits, 1, metrics))
	limits[CallWait], limits[Memory] = 0.6, 0.3
	assert.True(t, c.allBelow(&limits, 1, metrics))
}
