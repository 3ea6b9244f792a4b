package admission

// Reason says why an invocation was rejected or failed.
type Reason uint8

// The reasons.
const (
	ReasonNone           Reason = iota // the run or the call failed by itself
	ReasonDraining                     // it arrived after the end of intake, or was in flight at the end of the drain
	ReasonExpectedLate                 // it is unlikely to end in time to be of value
	ReasonNoCallCapacity               // the call that it awaits can't start, or won't end in time
	ReasonDeadline                     // its deadline is near, or its run can't be of value any more
	ReasonMemory                       // memory or the deduplication table is full
	ReasonDegraded                     // the degradation level sheds its operation
	ReasonCount                        // the number of reasons
)

// ReasonNames are the names of the reasons in logs and reports.
var ReasonNames = [ReasonCount]string{"none", "draining", "hopeless", "callless", "overdue", "crowded", "levelled"}
