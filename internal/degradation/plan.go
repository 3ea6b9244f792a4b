package degradation

import "topazpost/internal/admission"

// FullService is the name of level 0, at which the node restricts no operation.
const FullService = "full"

// Level describes one level of degraded service. The level is needed while signals are above the limits of any enter condition. It is
// entered if they stay above them for the duration of the condition.
type Level struct {
	Name     string
	Services []admission.Service // by operation index
	Enter    []Condition         // above the limits
	Exit     Condition           // below the limits
}

// Plan describes the levels that operators defined for a node, and when to change between them. Durations are in nanoseconds.
type Plan struct {
	Name             string
	Levels           []Level   // least restrictive first
	UseSpareCapacity bool      // while the queue is almost empty, serve shed operations after all others, and reduced ones completely
	IdleCondition    Condition // below the limits: the node returns to full service, and enters no level while the condition holds
	MinHold          int64     // shortest hold time, before jitter; also the shortest time at a level, except for idle nodes, failed trials and new plans
	MaxHold          int64     // bound of the hold time before jitter
	HoldGapFactor    float64   // hold time as a multiple of the recorded gap between two times at which a level was needed
	GapHalfLife      int64     // time in which a recorded gap decays to half its value
	TrialPeriod      int64     // time after which a level on trial is left if it has not lowered its signal enough
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

// AtMostAsRestrictive reports whether no operation is restricted more by services than by others. Forms rank from Complete to Shed. Of
// two reduced services, the one with the smaller WeightShare is more restrictive; WorkShare does not count.
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
