package degradation

import "topazpost/internal/admission"

// FullService is the name of full service.
const FullService = "full"

// Level is one level above full service.
type Level struct {
	Name     string
	Services []admission.Service // by index of the operation
	Enter    []Condition         // signals above their limits, any one of the conditions
	Exit     Condition           // signals below their limits
}

// Plan is a sequence of levels as operators write it. Times are nanoseconds.
type Plan struct {
	Name             string
	Levels           []Level // mildest first
	UseSpareCapacity bool    // operations that a level sheds are served last, and those it reduces whole, while the queue is all but empty
	IdleCondition    Condition
	MinHold          int64   // that a level stays in force at the least after it was last needed
	MaxHold          int64   // that it stays in force at the most
	HoldGapFactor    float64 // times the gap between two needs of a level that it stays in force after the second
	GapHalfLife      int64   // in which what was learnt of gaps is halved
	TrialPeriod      int64   // in which a level must relieve what it was entered for, where that is not the load of the cores
	Jitter           float64 // part by which a node's own times differ from others', so that a fleet does not step as one
}

// LevelName is the name of a level, 0 for full service.
func (p *Plan) LevelName(level int) string {
	if level == 0 {
		return FullService
	}
	return p.Levels[level-1].Name
}

// Services is what a level leaves of each operation, nil for full service.
func (p *Plan) Services(level int) []admission.Service {
	if level == 0 {
		return nil
	}
	return p.Levels[level-1].Services
}

// AtMostAsRestrictive says whether services take nothing away that others leave.
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
