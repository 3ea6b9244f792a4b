package server

import (
	"topazpost/internal/admission"
	"topazpost/internal/degradation"
	"topazpost/internal/node"
)

// logLevelChange logs a change of level: from and to which, what called for it, and what was served in the stay that ends.
// It is never dropped; the plan bounds how often it can come.
func (s *Server) logLevelChange(t *node.LevelChange) {
	line := s.log.Info().Str("plan", t.Plan).Str("from", t.FromName).Str("to", t.ToName).
		Str("cause", degradation.CauseNames[t.Cause])
	if t.Cause != degradation.PlanReplaced {
		line = line.Str("signal", degradation.SignalNames[t.Signal]).Float64("value", t.Value).Float64("threshold", t.Limit).
			Float64("for_s", seconds(t.ConditionTime)).Interface("signals", signalValues(&t.Signals)).Floats64("loads", t.Loads)
	}
	line.Float64("lasted_s", seconds(t.PreviousTime)).Float64("held_s", seconds(t.HoldTime)).Interface("before", t.Before).
		Msg("level changed")
}

func seconds(ns int64) float64 { return float64(ns) / 1e9 }

func signalValues(m *admission.LoadMetrics) map[string]float64 {
	return map[string]float64{"reading": m.IntakeShare, "wait": m.QueueWait, "lag": m.QueueingDelay, "calls": m.CallWait,
		"throttled": m.RejectedShare, "memory": m.MemoryShare}
}
