// Package admission is the interface of the decision module: what a node is told, what it may do, and what it
// reads at start. It holds types only; protocols are translated into it at their own doors.
package admission

// Effect says whether an operation may run again.
type Effect uint8

// The three kinds of operation.
const (
	Idempotent Effect = iota
	Tokened
	NonIdempotent
)

// Halting says what stopping a run does to its progress.
type Halting uint8

// The ways in which running work can be stopped.
const (
	NoHalt Halting = iota
	DropHalt
	PauseHalt
)

// Advice is the meaning of the free value that callers hear from a node.
type Advice uint8

// The kinds of advice that callers may heed.
const (
	NoAdvice Advice = iota
	LevelAdvice
	CreditAdvice
	WeightAdvice
)

// Below says what invocations call while they run.
type Below uint8

// What may lie below a node.
const (
	NothingBelow Below = iota
	SharedBelow
	TierBelow
)

// Operation describes one kind of invocation. Times are nanoseconds.
type Operation struct {
	Effect        Effect
	Objective     int64
	Stretch       float64
	ClientTimeout int64
	Window        int64
	BilledValue   float64
	LateShare     float64
	SkipShare     float64
	MayCall       bool
	Gone          bool // the index is no operation's now
}

// Config is what a node reads at start. Times are nanoseconds, memory is in kilobytes.
type Config struct {
	Seed          int64
	Operations    []Operation
	TenantRates   []float64
	OverShare     float64
	ByWork        bool
	Cores         int
	MemoryKB      float64
	Blowup        float64
	EntryKB       float64 // of MemoryKB for each record
	RecordsMost   int     // records that there is other room for; 0 for no bound but MemoryKB's
	Halting       Halting
	Advice        Advice
	Peers         int
	Below         Below
	CallShare     float64
	CallSpan      int64
	Linger        int64
	ReuseFor      int64
	FullChecks    bool
	Fresh         bool
	Began         int64 // ns, when this process began: no call before it is known; 0 where the cores began with it
	RetriesMarked bool
	ColdFrom      float64
	WarmAfter     int64
	TipMultiple   float64
	DrainGrace    int64
	ComeBackMax   int64 // 0 where none may be named
}

// EventKind names what happened.
type EventKind uint8

// The events.
const (
	Arrived EventKind = iota
	CallerGone
	DrainNotice
	CallWanted
	CallEnded
	TimerDue
	RunEnded
	LevelSet // what is left of each operation from now on
	UnitsSet // how many calls the fleet's limit leaves this node

	// OperationSet gives an operation its terms, or other ones; what was taken before keeps those it was taken under. Limits
	// of the configuration may change too: they are read from it whenever they are needed.
	OperationSet
)

// Outcome is how a run or a call ended.
type Outcome uint8

// The outcomes; Overloaded, Unreachable and Void prove that nothing ran.
const (
	Succeeded Outcome = iota
	Errored
	Overloaded
	TimedOut
	Unreachable
	Broken
	Withdrawn
	Void
)

// Values of Event.Repeats that are not an index.
const (
	NoRepeat    = -1
	EndedRepeat = -2
)

// Event is one thing that happened; only the fields of its kind are set.
type Event struct {
	Kind    EventKind
	Inv     int32
	Outcome Outcome

	// Arrived
	Due       int64 // stated by the caller; 0 where it states none
	Age       int64 // since arrival at the machine
	Caller    int64
	Operation int32
	Tenant    int32 // -1 where it has none
	Repeats   int32
	Subject   bool
	Further   bool
	Write     bool
	Hint      int64 // expected work, 0 where unknown
	HeldKB    float64

	// DrainNotice
	Kill int64

	// LevelSet
	Services []Service // by index of the operation, nil for full service; the sender's
	Spare    bool      // what is refused is served last, what is reduced whole while next to nothing is held

	// OperationSet; Services has what is left of this one at present, or nothing
	Terms *Operation // the receiver's; nil where nothing refers to the index any more

	// UnitsSet
	Units int   // calls that may be in hand from now on
	Hold  int64 // ns that one may take at the most

	// TimerDue; a gauge that the site lacks is negative
	Busy     float64
	Runnable float64
}

// ActionKind names what to do.
type ActionKind uint8

// The actions. Release is for the door alone: the module is done with the index.
const (
	Run ActionKind = iota
	Throttle
	Fail
	Stop
	Reuse
	Record
	Call
	SkipCall
	Health
	Advise
	Timer
	StopIntake // beat 3 of a drain has begun; said again until it is over
	Leave      // the drain is over; Text is its report
	Release
)

// Action is one thing to do; only the fields of its kind are set.
type Action struct {
	Kind    ActionKind
	Inv     int32
	At      int64 // Timer, Call: a moment
	For     int64 // Throttle, Record: a duration
	Value   float64
	Good    bool
	Stored  bool
	NoRetry bool
	Why     Why  // Throttle, Fail
	Form    Form // Run: Whole or Reduced
	Text    string
}

// Form is what a level of reduced service leaves of an operation.
type Form uint8

// The forms, in the order of what they leave.
const (
	Whole Form = iota
	Reduced
	Refused
)

// Service is what a level leaves of one operation: the form, and for a reduced one its parts of the work and of
// the billed value; for a refused one those of the form in which the spare room serves it, 0 for the whole.
type Service struct {
	Form        Form
	Work, Value float64
}

// Left is the part of the work that a service leaves.
func (s Service) Left() float64 {
	switch s.Form {
	case Reduced:
		return s.Work
	case Refused:
		return 0
	}
	return 1
}

// Measures are what the module tells of the present, for those that decide about more than one invocation.
// Parts are of all cores, of the shortest latency objective, of arrivals or of memory.
type Measures struct {
	Asked     []float64 // by operation: core time that first tries of late asked for, whole; a part of the cores
	Reading   float64   // what reading and checks take of the cores
	Wait      float64
	Lag       float64
	Calls     float64 // how long a run would stand at a call until it is made
	Throttled float64 // arrivals of late that were turned away, but for those that a level turned away
	Memory    float64
}
