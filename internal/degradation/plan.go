package degradation

import "topazpost/internal/admission"

// FullService is the name of level 0, at which the node restricts no operation.
const FullService = "full"

// Level describes one level of degraded service.
type Level struct {
	Name     string
	Services []admission.Service // by operation index
	Enter    []Condition         // the level is needed while signals are above the limits of any of these conditions
	Exit     Condition           // the level may end while signals are below these limits
}

// Plan describes the levels that operators defined for a node, and when to change between them. Durations are in nanoseconds.
type Plan struct {
	Name             string
	Levels           []Level   // least restrictive first
	UseSpareCapacity bool      // while the queue is almost empty, serve shed operations last, and reduced ones completely
	IdleCondition    Condition // the node returns to full service while signals are below these limits
	MinHold          int64     // minimum time that a level stays in force after it was entered, and after it was last needed
	MaxHold          int64     // maximum time that a level stays in force after it was last needed
	HoldGapFactor    float64   // hold time as a multiple of the recorded gap between two times at which a level was needed
	GapHalfLife      int64     // time in which a recorded gap decays to half its value
	TrialPeriod      int64     // time in which a level that was entered by a condition without a load limit must improve the signal it was entered for
	Jitter           float64   // width of the range around 1 of the random factor for a node's hold times, so that nodes do not change levels in step
}

// LevelName returns the name of a level; level 0 is full service.
func (p *Plan) LevelName(level int) string {
	if level == 0 {
		return FullService
	}
	return p.Levels[level-1].Name
}

// Services returns how a level serves each operation, or nil for full service.
func (p *Plan) Services(level int) []admission.Service {
	if level == 0 {
		return nil
	}
	return p.Levels[level-1].Services
}

// AtMostAsRestrictive reports whether services restrict no operation more than others do.
func AtMostAsRestrictive(services, others []admission.Service) bool {
	for op := range services {
		a := &services[op]
		b := &others[op]
		if a.Form > b.Form {
			return false
		}
		bothReduced := a.Form == admission.Reduced && b.Form == admission.Reduced
		if bothReduced && a.WeightShare < b.WeightShare {
			return false
		}
	}
	return true
}
