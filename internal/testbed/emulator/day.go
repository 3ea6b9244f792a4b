// Package emulator plays days of a fleet in virtual time: emulated machines around the real state machine and decisions,
// dispatchers with habits, and the one ledger that all nodes call. The figures that it gives are simulated.
package emulator

import (
	"topazpost/internal/admission"
	"topazpost/internal/node"
)

const (
	ms              = int64(1_000_000)
	second          = 1_000 * ms
	networkDelay    = 300_000 // ns from one machine to another
	gaugeDelay      = 100_000 // ns in which the executor answers for its gauges
	epoch           = 1_000_000_000_000 * ms
	answerSlack     = 80 * ms     // ns past its due time at which an unanswered invocation counts as lost
	sampleInterval  = 100 * ms    // ns between looks at the crowd on the cores
	crowdSamples    = 20          // looks over which the crowd is taken as a mean
	listingDelay    = 2 * second  // ns until dispatchers list a node that started or drop one that ended
	signalLifetime  = 1 * second  // ns for which a dispatcher remembers the signals of a node
	maxStreams      = 32          // invocations open on one connection
	drainTimeout    = 5 * second  // ns from the notice to the kill
	drainGrace      = 2 * second  // ns after the notice past which nothing that arrives may run
	cancelRate      = 0.5         // part of the clients that cancel when they leave
	maxBacklog      = 256         // invocations that a machine keeps unread; more are refused by its system
	callLinger      = 100 * ms    // ns for which an abandoned call stays in flight at the ledger
	defaultCallSpan = 5 * second  // ns over which its calls in flight are averaged, where the day does not say
	defaultSettle   = 15 * second // ns past its length in which what is open ends, where the day does not say
	callLimitFactor = 4           // times the slots of its cores that the settings allow a node of calls in flight
)

// Operation is one kind of invocation. Times are nanoseconds on a core of speed 1.
type Operation struct {
	Name                string
	Share               float64 // of the invocations
	Work, Call          float64 // mean of its own, and of one call at the ledger
	Calls               float64 // a run makes on average
	Objective, Timeout  int64
	LateShare, Value    float64
	Reduced             string  // the form that the executor knows, empty for none
	ReducedWork, Reduce float64 // its parts of work and value
}

// Model is a kind of machine.
type Model struct {
	Cores                   int
	Speed, ColdFrom         float64
	WarmAfter               int64
	CrowdFrom, Crowding, By float64 // runs a core from which they hinder each other, how much; runs a core that it survives
}

// Dispatcher is a habit of callers.
type Dispatcher struct {
	Tries     int   // of one invocation at the most
	Backoff   int64 // ns before another one
	Stubborn  bool  // tries a node again at once whose connection broke
	Heeds     bool  // what nodes say: level, time to come back, no other try
	BySubject bool
}

// Fault is a fault of the day.
type Fault struct {
	Kind    string // kill, restart, slow, pause, ledger, release, adopt
	At, For int64
	Part    float64 // of the machines that it strikes
	By      float64 // slow, ledger: times slower
}

// Day is what is played. Load gives the share of the fleet's capacity that is asked for at a time since the start.
type Day struct {
	Seed        int64
	Nodes       int
	Length      int64
	Models      []Model
	Operations  []Operation
	Reading     float64 // of the mean work
	Dispatchers []Dispatcher
	Load        func(at int64) float64
	Rate        float64 // invocations a second at load 1, 0 to have it reckoned from what the cores can do
	Mix         func(at int64, op int) float64
	Slots       float64 // of the ledger for each core of the fleet
	Subjects    int
	CallSpan    int64 // ns over which the ledger's calls in flight are taken as a mean, 0 for the usual
	Settle      int64 // ns past its length in which what is open ends, 0 for the usual
	Faults      []Fault

	Plan  *node.DegradationPlan // nil for none
	Next  *node.DegradationPlan // that a fault of the kind adopt brings
	Make  func(*admission.Config, int64) node.Decider
	Watch func(at int64, s *Second)
}
