package admission

// Reason is the reason for which an invocation was rejected or failed.
type Reason uint8

// The reasons.
const (
	ReasonNone         Reason = iota // the run or the call failed, without a decision of the controller
	ReasonDraining                   // the invocation arrived after the end of intake, or was in flight at the end of the drain
	ReasonExpectedLate               // the invocation is unlikely to end in time to be of value
	ReasonCallFutile                 // the call that the run awaits failed too often, or would end too late
	ReasonDeadline                   // the deadline is near, or the run can't be of value any more
	ReasonMemory                     // memory or the deduplication table is full, or a key to be recorded has expired
	ReasonDegraded                   // the degradation level sheds the operation
	ReasonCount                      // the number of reasons
)

// ReasonNames are the names of the reasons in logs and reports. Tools of operators match them.
var ReasonNames = [ReasonCount]string{"none", "draining", "hopeless", "callless", "overdue", "crowded", "levelled"}
