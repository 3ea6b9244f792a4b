package degradation

import (
	"math"

	"topazpost/internal/admission"
)

// Limits holds a threshold for each signal. NaN marks a threshold that is not set.
type Limits [SignalCount]float64

// NoLimits returns limits of which none is set.
func NoLimits() Limits {
	var l Limits
	for signal := range l {
		l[signal] = math.NaN()
	}
	return l
}

// isEmpty reports whether no limit is set.
func (l *Limits) isEmpty() bool {
	for _, limit := range l {
		if !math.IsNaN(limit) {
			return false
		}
	}
	return true
}

// firstSignal returns the first signal with a limit, which represents the condition in logs. It returns Load if no limit is set.
func (l *Limits) firstSignal() Signal {
	for signal, limit := range l {
		if !math.IsNaN(limit) {
			return Signal(signal)
		}
	}
	return Load
}

// Condition holds when signals are above (enter) or below (exit, idle) all of its limits at the same time, for Duration nanoseconds
// without a break.
type Condition struct {
	Limits
	Duration int64
}

// hasLoadLimit reports whether a condition limits the load. A level entered by such a condition needs no trial, as any level that saves
// work lowers the load.
func (c *Condition) hasLoadLimit() bool { return !math.IsNaN(c.Limits[Load]) }

// allAbove reports whether each signal with a limit is above it, with the values of signalValue for the level. It returns true without limits.
func (c *Controller) allAbove(limits *Limits, level int, m *admission.LoadMetrics) bool {
	for signal, limit := range limits {
		if !math.IsNaN(limit) && !(c.signalValue(Signal(signal), level, m) > limit) {
			return false
		}
	}
	return true
}

// allBelow reports whether each signal with a limit is below it, with the values of signalValue for the level. It returns true without limits.
func (c *Controller) allBelow(limits *Limits, level int, m *admission.LoadMetrics) bool {
	for signal, limit := range limits {
		if !math.IsNaN(limit) && !(c.signalValue(Signal(signal), level, m) < limit) {
			return false
		}
	}
	return true
}
