package degradation

import (
	"math"

	"topazpost/internal/admission"
)

// Limits are thresholds of signals; one that is NaN is not set.
type Limits [SignalCount]float64

// NoLimits are limits of which none is set.
func NoLimits() Limits {
	var l Limits
	for signal := range l {
		l[signal] = math.NaN()
	}
	return l
}

// isEmpty says whether no limit is set.
func (l *Limits) isEmpty() bool {
	for _, limit := range l {
		if !math.IsNaN(limit) {
			return false
		}
	}
	return true
}

// firstSignal is the first signal with a limit, the one that is logged.
func (l *Limits) firstSignal() Signal {
	for signal, limit := range l {
		if !math.IsNaN(limit) {
			return Signal(signal)
		}
	}
	return Load
}

// Condition is a set of limits that signals have to pass together, for a time in nanoseconds.
type Condition struct {
	Limits
	Duration int64
}

// isOnLoad says whether a condition names the load of the cores, which any level that saves work relieves.
func (c *Condition) isOnLoad() bool { return !math.IsNaN(c.Limits[Load]) }

// allAbove says whether the signals of all limits are above them, as a level sees them.
func (c *Controller) allAbove(limits *Limits, level int, m *admission.LoadMetrics) bool {
	for signal, limit := range limits {
		if !math.IsNaN(limit) && !(c.signalValue(Signal(signal), level, m) > limit) {
			return false
		}
	}
	return true
}

// allBelow says whether the signals of all limits are below them, as a level sees them.
func (c *Controller) allBelow(limits *Limits, level int, m *admission.LoadMetrics) bool {
	for signal, limit := range limits {
		if !math.IsNaN(limit) && !(c.signalValue(Signal(signal), level, m) < limit) {
			return false
		}
	}
	return true
}
