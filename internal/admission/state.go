package admission

// Reason says why an invocation was given up.
type Reason uint8

// The reasons; None stands for a run or a call that failed by itself.
const (
	ReasonNone           Reason = iota
	ReasonDraining              // it came after intake had ended, or was open at the end of a drain
	ReasonUnlikelyInTime        // it is unlikely to end in time to earn anything
	ReasonNoCallCapacity        // the call it stands at can't be made, or won't end in time
	ReasonDeadline              // its due time is near, or its run can earn nothing more
	ReasonMemory                // memory, or the table of tokens, has no room for it
	ReasonDegraded              // the level of reduced service leaves nothing of its operation
	ReasonCount                 // how many there are
)

// ReasonNames are the reasons as logs and reports say them.
var ReasonNames = [ReasonCount]string{"none", "draining", "hopeless", "callless", "overdue", "crowded", "levelled"}

// ControllerState is what the decisions stand on at a moment, for logs and tests. Times are nanoseconds; it decides nothing.
type ControllerState struct {
	Limit              float64 `json:"limit"`        // runs on the cores that are wanted at most
	OnCores            int     `json:"on_cores"`     // runs on the cores
	Queued             int     `json:"held"`         // read, not started
	AwaitingCall       int     `json:"standing"`     // at a call that is not made yet
	CallsInFlight      int     `json:"in_hand"`      // at a call that is made
	MeanBlocked        float64 `json:"away"`         // mean of those two
	QueueWait          float64 `json:"wait_ns"`      // until the hold would be clear
	CallWait           float64 `json:"call_wait_ns"` // part of it: until one that comes to a call now would have it made
	QueueingDelay      float64 `json:"lag_ns"`       // that arrivals lay unread of late
	OtherRunnable      float64 `json:"reading"`      // others that want cores, at present
	MeanOtherRunnable  float64 `json:"mean_reading"` // and as a mean
	ServiceTimeRatio   float64 `json:"pace"`         // cost of runs over their usual
	StallRatio         float64 `json:"stall"`        // times their usual that all runs have overstayed
	CallerWaitShare    float64 `json:"patient"`      // part of the client timeout that most callers wait
	CallTime           float64 `json:"call_time_ns"` // usual length of a call
	CallFailureShare   float64 `json:"call_fails"`   // share of calls that failed of late
	MaxCallTime        float64 `json:"call_room_ns"` // that one more call may take now; 0 where none may be made
	CallQuotaUsed      float64 `json:"call_used"`    // of the share of calls in hand
	AdvertisedCapacity float64 `json:"open"`         // part of all that could be asked for
	LastSignal         float64 `json:"said"`         // the free value that callers hear
	Arrivals           float64 `json:"arrivals"`     // of late
	Retries            float64 `json:"echoes"`       // further tries among them
	Rejected           float64 `json:"throttled"`    // of late
	Callers            int     `json:"callers"`      // heard of late
	Memory             float64 `json:"memory_kb"`    // of what is held and runs
	FleetOverloaded    bool    `json:"all_full"`     // other nodes seem to turn work away too
	Unhealthy          bool    `json:"unhealthy"`
	CoreIdle           bool    `json:"free"` // a core was idle at the last gauges
}
