package admission

// Form is the degree to which an operation is served.
type Form uint8

// The forms, from the most to the least complete.
const (
	Complete Form = iota
	Reduced       // with less work and less value
	Shed          // rejected, or served only by spare capacity
)

// Service specifies how a degradation level serves one operation. The shares describe the reduced form, and are 0 for
// Complete. For Shed, they describe the form in which spare capacity serves the operation; WorkShare is 0 if that is the
// complete form.
type Service struct {
	Form        Form
	WorkShare   float64 // of the work of the complete form
	WeightShare float64 // of the weight of the complete form
}

// ServedWorkShare returns the share of an operation's work that is still done under the service, without the work that
// only spare capacity does.
func (s Service) ServedWorkShare() float64 {
	switch s.Form {
	case Reduced:
		return s.WorkShare
	case Shed:
		return 0
	}
	return 1
}
