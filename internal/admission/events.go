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
	RunEnded
	DegradationLevelSet
	CallLimitSet

	// OperationConfigured adds, changes or removes an operation. Invocations that arrived before retain the terms under
	// which they did. Limits in the configuration may change as well: they are read whenever they are needed.
	OperationConfigured
)

// Outcome is how a run or a call ended.
type Outcome uint8

// The outcomes. Overloaded, Unreachable and NeverStarted prove that nothing was executed.
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

// Event is something that happened to the node. Only the fields of its kind are set. Times and durations are in
// nanoseconds.
type Event struct {
	Kind       EventKind
	Invocation int32
	Outcome    Outcome // CallEnded, RunEnded

	// Arrived
	Deadline       int64 // as the caller states it; 0 where it states none
	Age            int64 // since arrival at the machine
	Caller         int64
	OperationIndex int32 // also OperationConfigured
	Tenant         int32 // -1 for none
	Original       int32 // the invocation that this one repeats, NoOriginal or OriginalEnded
	HasReadKey     bool
	Retry          bool
	Write          bool
	ExpectedWork   int64 // 0 where unknown
	QueuedKB       float64

	// DrainRequested
	KillAt int64

	// DegradationLevelSet. With UseSpareCapacity, shed operations are served last, and reduced ones completely while
	// the queue is short. OperationConfigured: Services has the service of that operation, or nothing.
	Services         []Service // by index of operation, nil for complete service; owned by the sender
	UseSpareCapacity bool

	// OperationConfigured
	Operation *Operation // owned by the receiver; nil once nothing refers to the index any more

	// CallLimitSet
	CallLimit   int   // calls that may be in flight
	MaxCallTime int64 // for a single call

	// TimerFired; a gauge that the host lacks is negative
	BusyShare       float64 // of the cores
	RunnableThreads float64
}
