package admission

// Form is the form in which an operation is served.
type Form uint8

// The forms, from the most to the least complete.
const (
	Complete Form = iota
	Reduced
	Shed
)

// Service is what a degradation level leaves of one operation. The shares are those of the reduced form; for a
// shed operation, of the form in which spare capacity serves it, 0 for the complete one.
type Service struct {
	Form        Form
	WorkShare   float64
	WeightShare float64
}

// ServedWorkShare is the share of the work that a service leaves.
func (s Service) ServedWorkShare() float64 {
	switch s.Form {
	case Reduced:
		return s.WorkShare
	case Shed:
		return 0
	}
	return 1
}
