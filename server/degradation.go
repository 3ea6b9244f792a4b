package server

import (
	"topazpost/internal/admission"
	"topazpost/internal/degradation"
	"topazpost/internal/node"
)

// logLevelChange logs a change of the degradation level: its cause, and what was served at the level before. It is not rate
// limited, as the plan bounds how often the level changes.
func (s *Server) logLevelChange(t *node.LevelChange) {
	line := s.log.Info().Str("plan", t.Plan).Str("from", t.FromName).Str("to", t.ToName).
		Str("cause", degradation.CauseNames[t.Cause])
	if t.Cause != degradation.PlanReplaced {
		line = line.Str("signal", degradation.SignalNames[t.Signal]).Float64("value", t.Value).Float64("threshold", t.Limit).
			Float64("for_s", seconds(t.ConditionDuration)).Interface("signals", signalValues(&t.Metrics)).Floats64("loads", t.LevelLoads)
	}
	line.Float64("lasted_s", seconds(t.PreviousLevelDuration)).Float64("held_s", seconds(t.HoldTime)).Interface("before", t.PreviousCounts).
		Msg("level changed")
}

func seconds(ns int64) float64 { return float64(ns) / 1e9 }

func signalValues(m *admission.LoadMetrics) map[string]float64 {
	return map[string]float64{
		"reading":   m.OverheadShare,
		"wait":      m.QueueWait,
		"lag":       m.QueueingDelay,
		"calls":     m.CallWait,
		"throttled": m.RejectedShare,
		"memory":    m.MemoryShare,
	}
}
