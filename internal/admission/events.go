package admission

// EventKind is the kind of an event.
type EventKind uint8

// The kinds of event.
const (
	Arrived EventKind = iota
	CallerDisconnected
	DrainRequested
	CallRequested
	CallEnded
	TimerFired
	RunEnded // also ends an invocation after JoinOriginal, when the run of the other invocation ends
	DegradationLevelSet

	// CallLimitSet sets the limits of a lease of calls. A CallLimit of 0 means that the node holds no lease. While CallLimit
	// is below math.MaxInt, the quota of calls does not apply.
	CallLimitSet

	// OperationConfigured adds, changes or removes an operation. Invocations that arrived earlier retain the configuration
	// that applied at their arrival. The host may also change the limits in Config, which are read at each use.
	OperationConfigured

	// RunStarted reports that an invocation which joined another one has started to run in its place, as the other one ended before
	// its own start.
	RunStarted
)

// Outcome is the result of a run or a call.
type Outcome uint8

// The outcomes. Overloaded and Unreachable prove that a call was not executed, NeverStarted that a run was not. A call
// that ends with NeverStarted counts as one that may have been executed.
const (
	Succeeded Outcome = iota
	Errored
	Overloaded
	TimedOut
	Unreachable
	ConnectionBroken // the connection broke before the reply was complete
	Stopped
	NeverStarted
)

// Values of Event.Original that are not the index of an invocation.
const (
	NoOriginal    = -1 // the invocation is not a repetition
	OriginalEnded = -2 // the repeated invocation was executed and has ended
)

// Event reports to the controller what happened at the node. Only the fields that belong to its kind are set. Times and
// durations are in nanoseconds.
type Event struct {
	Kind       EventKind
	Invocation int32
	Outcome    Outcome // CallEnded, RunEnded

	// Arrived
	Deadline       int64 // stated by the caller; 0 for none
	Age            int64 // time since the request reached the machine
	Caller         int64 // identifies the caller
	OperationIndex int32 // also OperationConfigured
	Tenant         int32 // -1 for none
	Original       int32 // index of the invocation that this one repeats, NoOriginal or OriginalEnded
	HasReadKey     bool  // equal reads can be recognized by a key
	Retry          bool
	Write          bool
	ExpectedWork   int64   // 0 if unknown
	QueuedKB       float64 // memory of the invocation while it is queued

	// DrainRequested
	KillAt int64

	// DegradationLevelSet. With UseSpareCapacity, shed operations are served last, and reduced ones completely while
	// the queue is short.
	Services         []Service // by index of operation, nil for complete service; may be reused after Decide
	UseSpareCapacity bool

	// OperationConfigured. Here Services has the service of that operation only. It is empty to retain the present service,
	// which is complete for a new operation. Operation.Removed is ignored.
	Operation *Operation // nil removes the operation, which the host may do when nothing refers to its index any more

	// CallLimitSet
	CallLimit   int   // calls that may be in flight
	MaxCallTime int64 // for a single call

	// TimerFired; a gauge that the host can't read is negative
	BusyShare       float64 // share of the cores' time spent busy
	RunnableThreads float64 // running or waiting for a core
}
