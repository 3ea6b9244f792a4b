// Package admission is the interface of the decision module: what a node is told, what it may do, and what it
// reads at start. It holds types only; protocols are translated into it at their own doors.
package admission

// Idempotency says whether an operation may run again.
type Idempotency uint8

// The three kinds of operation.
const (
	Idempotent Idempotency = iota
	IdempotentWithKey
	NonIdempotent
)

// StopSupport says what stopping a run does to its progress.
type StopSupport uint8

// The ways in which running work can be stopped.
const (
	StopUnsupported StopSupport = iota
	StopDiscardsProgress
	StopKeepsProgress
)

// BackpressureKind is the meaning of the free value that callers hear from a node.
type BackpressureKind uint8

// The kinds of advice that callers may heed.
const (
	NoBackpressure BackpressureKind = iota
	BackpressureLevel
	BackpressureCredits
	BackpressureWeight
)

// DependencyKind says what invocations call while they run.
type DependencyKind uint8

// What may lie below a node.
const (
	NoDependency DependencyKind = iota
	SharedDependency
	TieredDependency
)

// Operation describes one kind of invocation. Times are nanoseconds.
type Operation struct {
	Idempotency            Idempotency
	LatencyObjective       int64
	ObjectivePerWork       float64
	ClientTimeout          int64
	DeduplicationWindow    int64
	PriorityWeight         float64
	LateWeightShare        float64
	SkippedCallWeightShare float64
	CallsDependency        bool
	Removed                bool // the index is no operation's now
}

// Config is what a node reads at start. Times are nanoseconds, memory is in kilobytes.
type Config struct {
	Seed                    int64
	Operations              []Operation
	TenantRates             []float64
	OverQuotaWeightShare    float64
	WeightScalesWithWork    bool
	Cores                   int
	MemoryKB                float64
	RunningMemoryFactor     float64
	DeduplicationEntryKB    float64 // of MemoryKB for each record
	MaxDeduplicationEntries int     // records that there is other room for; 0 for no bound but MemoryKB's
	StopSupport             StopSupport
	Backpressure            BackpressureKind
	Peers                   int
	Dependency              DependencyKind
	CallQuota               float64
	CallQuotaWindow         int64
	AbandonedCallTime       int64
	ReadReuseWindow         int64
	DeepHealthChecks        bool
	ColdStart               bool
	ProcessStart            int64 // ns, when this process began: no call before it is known; 0 where the cores began with it
	RetriesMarked           bool
	ColdSpeedShare          float64
	WarmUpTime              int64
	OverloadMultiple        float64
	DrainGrace              int64
	MaxRetryAfter           int64 // 0 where none may be named
}

// EventKind names what happened.
type EventKind uint8

// The events.
const (
	Arrived EventKind = iota
	CallerDisconnected
	DrainRequested
	CallRequested
	CallEnded
	TimerFired
	RunEnded
	DegradationLevelSet // what is left of each operation from now on
	CallLimitSet        // how many calls the fleet's limit leaves this node

	// OperationConfigured gives an operation its terms, or other ones; what was taken before keeps those it was taken under. Limits
	// of the configuration may change too: they are read from it whenever they are needed.
	OperationConfigured
)

// Outcome is how a run or a call ended.
type Outcome uint8

// The outcomes; Overloaded, Unreachable and NeverStarted prove that nothing ran.
const (
	Succeeded Outcome = iota
	Errored
	Overloaded
	TimedOut
	Unreachable
	Broken
	Stopped
	NeverStarted
)

// Values of Event.Repeats that are not an index.
const (
	NoOriginal    = -1
	OriginalEnded = -2
)

// Event is one thing that happened; only the fields of its kind are set.
type Event struct {
	Kind       EventKind
	Invocation int32
	Outcome    Outcome

	// Arrived
	Deadline       int64 // stated by the caller; 0 where it states none
	Age            int64 // since arrival at the machine
	Caller         int64
	OperationIndex int32
	Tenant         int32 // -1 where it has none
	Original       int32
	HasReadKey     bool
	Retry          bool
	Write          bool
	ExpectedWork   int64 // expected work, 0 where unknown
	QueuedKB       float64

	// DrainNotice
	KillAt int64

	// LevelSet
	Services         []Service // by index of the operation, nil for full service; the sender's
	UseSpareCapacity bool      // what is refused is served last, what is reduced whole while next to nothing is held

	// OperationSet; Services has what is left of this one at present, or nothing
	Operation *Operation // the receiver's; nil where nothing refers to the index any more

	// UnitsSet
	CallLimit   int   // calls that may be in hand from now on
	MaxCallTime int64 // ns that one may take at the most

	// TimerDue; a gauge that the site lacks is negative
	BusyShare       float64
	RunnableThreads float64
}

// ActionKind names what to do.
type ActionKind uint8

// The actions. Release is for the door alone: the module is done with the index.
const (
	Run ActionKind = iota
	Reject
	Fail
	Stop
	JoinOriginal
	RecordKey
	StartCall
	SkipCall
	ReportHealth
	SignalBackpressure
	SetTimer
	StopAccepting // beat 3 of a drain has begun; said again until it is over
	Exit          // the drain is over; Text is its report
	Release
)

// Action is one thing to do; only the fields of its kind are set.
type Action struct {
	Kind       ActionKind
	Invocation int32
	At         int64 // Timer, Call: a moment
	Duration   int64 // Throttle, Record: a duration
	Value      float64
	Healthy    bool
	Cached     bool
	NoRetry    bool
	Reason     Reason // Throttle, Fail
	Form       Form   // Run: Whole or Reduced
	Report     string
}

// Form is what a level of reduced service leaves of an operation.
type Form uint8

// The forms, in the order of what they leave.
const (
	Complete Form = iota
	Reduced
	Shed
)

// Service is what a level leaves of one operation: the form, and for a reduced one its parts of the work and of
// the billed value; for a refused one those of the form in which the spare room serves it, 0 for the whole.
type Service struct {
	Form                   Form
	WorkShare, WeightShare float64
}

// RemainingWork is the part of the work that a service leaves.
func (s Service) RemainingWork() float64 {
	switch s.Form {
	case Reduced:
		return s.WorkShare
	case Shed:
		return 0
	}
	return 1
}

// LoadMetrics are what the module tells of the present, for those that decide about more than one invocation.
// Parts are of all cores, of the shortest latency objective, of arrivals or of memory.
type LoadMetrics struct {
	DemandByOperation []float64 // by operation: core time that first tries of late asked for, whole; a part of the cores
	IntakeShare       float64   // what reading and checks take of the cores
	QueueWait         float64
	QueueingDelay     float64
	CallWait          float64 // how long a run would stand at a call until it is made
	RejectedShare     float64 // arrivals of late that were turned away, but for those that a level turned away
	MemoryShare       float64
}
