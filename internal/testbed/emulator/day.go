// Package emulator plays days of a fleet in virtual time: emulated machines around the real reducer and decisions,
// dispatchers with habits, and the one ledger that all nodes call. The figures that it gives are simulated.
package emulator

import (
	"cmp"
	"fmt"
	"math"
	"math/rand"
	"strings"

	"topazpost/internal/admission"
	"topazpost/internal/node"
	"topazpost/internal/nodeconfig"
	"topazpost/internal/testbed/virtualtime"
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
	listingDelay    = 2 * second  // ns until dispatchers hear of a node that comes or goes
	signalLifetime  = 1 * second  // ns for which a dispatcher bears in mind what a node said
	maxStreams      = 32          // invocations open on one connection
	drainTimeout    = 5 * second  // ns from the notice to the kill
	drainGrace      = 2 * second  // ns after the notice past which nothing that arrives may run
	cancelRate      = 0.5         // of clients that leave, of which the node is told
	maxBacklog      = 256         // invocations that a machine keeps unread; more are turned away by its system
	callLinger      = 100 * ms    // ns for which a call that was given up stays in the hands of the ledger
	defaultCallSpan = 5 * second  // ns over which calls in its hands are taken as a mean, where the day does not say
	defaultSettle   = 15 * second // ns past its length in which what is open ends, where the day does not say
	callLimitFactor = 4           // times the slots of its cores that the settings allow a node of calls in hand
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

// Fault is a trouble of the day.
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
	CallSpan    int64 // ns over which the ledger's calls in hand are taken as a mean, 0 for the usual
	Settle      int64 // ns past its length in which what is open ends, 0 for the usual
	Faults      []Fault

	Plan  *node.DegradationPlan // nil for none
	Next  *node.DegradationPlan // that a fault of the kind adopt brings
	Make  func(*admission.Config, int64) node.Decider
	Watch func(at int64, s *Second)
}

// fleet is a day being played.
type fleet struct {
	*virtualtime.Simulator
	day           *Day
	start         int64
	machines      []*machine
	callers       []*dispatcher
	ledger        *virtualtime.Resource
	calls         callMeter
	settings      string
	meanWork      float64 // ns of work of a mean invocation
	arrivalRate   float64 // invocations a ns at load 1
	total         *Outcome
	second        Second
	lastAttemptID uint64
	slots         float64
	arrivals      *rand.Rand // of its own, so that all variants of a day meet the same arrivals
}

// Play plays a day.
func Play(day *Day) (*Outcome, error) {
	f := &fleet{Simulator: virtualtime.New(day.Seed, epoch), day: day, start: epoch, total: newOutcome(day),
		arrivals: rand.New(rand.NewSource(day.Seed ^ 0x61727269))}
	f.settings = f.config()
	cores, power := 0, 0.0
	for k := range day.Nodes {
		model := day.Models[k%len(day.Models)]
		cores, power = cores+model.Cores, power+float64(model.Cores)*model.Speed
		m := &machine{fleet: f, index: k, model: model}
		f.machines = append(f.machines, m)
		if err := m.boot("old"); err != nil {
			return nil, err
		}
		m.listed = true
	}
	shares := 0.0
	for _, op := range day.Operations {
		f.meanWork, shares = f.meanWork+op.Share*op.Work, shares+op.Share
	}
	f.meanWork /= shares
	if f.arrivalRate = power / (f.meanWork * (1 + day.Reading)); day.Rate > 0 {
		f.arrivalRate = day.Rate / 1e9
	}
	f.slots = max(1, day.Slots*float64(cores))
	f.total.CallBudget, f.calls.at = f.callLimit()*float64(day.Nodes), f.Now
	f.calls.areas = make([]float64, f.callSpan()/sampleInterval)
	f.ledger = virtualtime.NewResource(f.Simulator, func(n int) float64 {
		return min(1, f.slots/float64(max(1, n))) / (1 + 0.3*max(0, float64(n)/f.slots-1))
	})
	for k := range day.Dispatchers {
		d := &dispatcher{fleet: f, index: k, habit: day.Dispatchers[k], signals: make([]nodeSignals, day.Nodes),
			conns: make([][]*conn, day.Nodes)}
		f.callers = append(f.callers, d)
	}
	for k := range day.Faults {
		f.scheduleFault(&day.Faults[k])
	}
	f.After(f.drawInterarrival(), f.startInvocation)
	f.every(sampleInterval, f.sample)
	f.every(second, f.closeSecond)
	f.Run(f.start + day.Length)
	f.Run(f.Now + cmp.Or(day.Settle, defaultSettle)) // what is open ends; nothing new arrives
	f.total.summarize(f)
	return f.total, nil
}

func (f *fleet) every(ns int64, do func()) {
	f.After(ns, func() {
		do()
		f.every(ns, do)
	})
}

// drawInterarrival is the time to the next invocation, by thinning a stream of the highest load.
func (f *fleet) drawInterarrival() int64 {
	return int64(f.arrivals.ExpFloat64()/(f.arrivalRate*maxLoad)) + 1
}

const maxLoad = 2.5 // of the capacity, that a load shape may ask for

func (f *fleet) startInvocation() {
	at := f.Now - f.start
	if at >= f.day.Length {
		return
	}
	f.After(f.drawInterarrival(), f.startInvocation)
	if f.arrivals.Float64()*maxLoad > f.day.Load(at) {
		return
	}
	shares := make([]float64, len(f.day.Operations))
	sum := 0.0
	for k, op := range f.day.Operations {
		shares[k] = op.Share
		if f.day.Mix != nil {
			shares[k] *= f.day.Mix(at, k)
		}
		sum += shares[k]
	}
	pick, k := f.arrivals.Float64()*sum, 0
	for ; k < len(shares)-1 && pick >= shares[k]; k++ {
		pick -= shares[k]
	}
	op := &f.day.Operations[k]
	v := &invocation{operation: op, operationIndex: k, startedAt: f.Now, rank: (float64(k) + f.arrivals.Float64()) / float64(len(shares)),
		work: op.Work * lognormalFactor(f.arrivals), subject: f.arrivals.Intn(max(1, f.day.Subjects))}
	for calls := op.Calls; calls > 0; calls-- {
		if f.arrivals.Float64() < calls {
			v.calls++
		}
	}
	f.total.asked(v)
	f.second.Asked += op.Value
	f.callers[f.arrivals.Intn(len(f.callers))].send(v, nil)
}

// lognormalFactor is a lognormal factor of mean 1 and a spread of three tenths.
func lognormalFactor(chance *rand.Rand) float64 {
	const sigma = 0.3
	return math.Exp(sigma*chance.NormFloat64() - sigma*sigma/2)
}

// config writes the settings of a node as an installation would.
func (f *fleet) config() string {
	var ops, calls []string
	for _, op := range f.day.Operations {
		ops = append(ops, fmt.Sprintf(`{"name":%q,"aim":%g,"give_up":%g,"importance":%g,"late_share":%g,"effect":"idempotent","window":5000}`,
			op.Name, float64(op.Objective)/1e6, float64(op.Timeout)/1e6, op.Value, op.LateShare))
		calls = append(calls, fmt.Sprint(op.Calls > 0))
	}
	m := f.day.Models[0]
	return fmt.Sprintf(`{"grades":[%s],"counted_by":"work","family_info":{"n_cores":%d,"memory_kb":200000,"blowup":4,`+
		`"class_calls":[%s],"below":"common","calls_out":%g,"calls_over":%d,"linger":%d,"advert":"min_rank",`+
		`"gauges":["cpu_busy","runnable","mem_used","sockets"],"said_for":1000},"guarantees":{"tip_multiple":%g,"fall":%d,`+
		`"drain_grace":%g,"cold_from":%g,"warm_after":%g},"limits":{"retry_after":true,"max_retry_after":1000},`+
		`"client_habits":{"marks_retry":true},"group_size":%d}`, strings.Join(ops, ","), m.Cores, strings.Join(calls, ","),
		f.callLimit(), f.callSpan()/ms, callLinger/ms, m.By, crowdSamples*sampleInterval/ms, float64(drainGrace)/1e6, m.ColdFrom, float64(m.WarmAfter)/1e6, f.day.Nodes)
}

// callLimit is the mean of calls in hand that the settings allow each node.
func (f *fleet) callLimit() float64 {
	return f.day.Slots * float64(f.day.Models[0].Cores) * callLimitFactor
}

func (f *fleet) callSpan() int64 { return cmp.Or(f.day.CallSpan, defaultCallSpan) }

func (f *fleet) newStateMachine(seed int64) (*node.StateMachine, error) {
	p, err := nodeconfig.FromJSON(seed, []byte(f.settings))
	if err != nil {
		return nil, err
	}
	r := node.NewStateMachine(p, node.Addresses{Executor: "executor:1", Catalogue: "ledger:1", Control: "control:1"}, drainTimeout, 4000, 400)
	if f.day.Make != nil {
		r.Decisions = f.day.Make
	}
	return r, nil
}

// scheduleFault has a fault strike at its time.
func (f *fleet) scheduleFault(x *Fault) {
	struck := max(1, int(math.Round(x.Part*float64(len(f.machines)))))
	first := f.Rand.Intn(len(f.machines))
	each := func(do func(k int, m *machine)) func() {
		return func() {
			for k := range struck {
				do(k, f.machines[(first+k)%len(f.machines)])
			}
		}
	}
	f.At(f.start+x.At, func() {
		f.total.Troubles = append(f.total.Troubles, fmt.Sprintf("%.1f s: %s", float64(x.At)/1e9, x.Kind))
	})
	switch x.Kind {
	case "kill":
		f.At(f.start+x.At, each(func(_ int, m *machine) { m.kill() }))
		f.At(f.start+x.At+x.For, each(func(_ int, m *machine) { m.reboot() }))
	case "restart": // one after the other within For; dispatchers do not hear of it but by their answers
		f.At(f.start+x.At, each(func(k int, m *machine) {
			f.After(x.For*int64(k)/int64(struck), m.restart)
		}))
	case "slow":
		f.At(f.start+x.At, each(func(_ int, m *machine) { m.cores.SetFactor(1 / x.By) }))
		f.At(f.start+x.At+x.For, each(func(_ int, m *machine) { m.cores.SetFactor(1) }))
	case "pause":
		f.At(f.start+x.At, each(func(_ int, m *machine) { m.cores.SetFactor(0) }))
		f.At(f.start+x.At+x.For, each(func(_ int, m *machine) { m.cores.SetFactor(1) }))
	case "ledger":
		f.At(f.start+x.At, func() { f.ledger.SetFactor(1 / x.By) })
		f.At(f.start+x.At+x.For, func() { f.ledger.SetFactor(1) })
	case "adopt":
		f.At(f.start+x.At, each(func(_ int, m *machine) {
			m.deliver(node.Input{Kind: node.PlanChanged, Plan: f.day.Next})
		}))
	case "release":
		f.At(f.start+x.At, each(func(k int, m *machine) {
			f.After(x.For*int64(k)/int64(struck), m.release)
		}))
	}
}
