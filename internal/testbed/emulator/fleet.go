package emulator

import (
	"cmp"
	"fmt"
	"math"
	"math/rand"
	"strings"

	"topazpost/internal/node"
	"topazpost/internal/nodeconfig"
	"topazpost/internal/testbed/virtualtime"
)

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

// arrivalSeed separates the stream of arrivals from the simulator's own.
const arrivalSeed = 0x61727269

// Play plays a day.
func Play(day *Day) (*Outcome, error) {
	f := &fleet{Simulator: virtualtime.New(day.Seed, epoch), day: day, start: epoch, total: newOutcome(day),
		arrivals: rand.New(rand.NewSource(day.Seed ^ arrivalSeed))}
	f.settings = f.config()
	if err := f.startMachines(); err != nil {
		return nil, err
	}
	f.startLedger()
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

// startMachines starts all nodes warm, and derives the rate of arrivals from their capacity.
func (f *fleet) startMachines() error {
	power := 0.0 // cores of speed 1
	for k := range f.day.Nodes {
		model := f.day.Models[k%len(f.day.Models)]
		power += float64(model.Cores) * model.Speed
		m := &machine{fleet: f, index: k, model: model}
		f.machines = append(f.machines, m)
		if err := m.boot("old"); err != nil {
			return err
		}
		m.listed = true
	}
	shares := 0.0
	for _, op := range f.day.Operations {
		f.meanWork += op.Share * op.Work
		shares += op.Share
	}
	f.meanWork /= shares
	f.arrivalRate = power / (f.meanWork * (1 + f.day.Reading))
	if f.day.Rate > 0 {
		f.arrivalRate = f.day.Rate / 1e9
	}
	return nil
}

// startLedger makes the ledger, which slows down past its slots.
func (f *fleet) startLedger() {
	cores := 0
	for _, m := range f.machines {
		cores += m.model.Cores
	}
	f.slots = max(1, f.day.Slots*float64(cores))
	f.total.CallBudget = f.callLimit() * float64(f.day.Nodes)
	f.calls.at = f.Now
	f.calls.areas = make([]float64, f.callSpan()/sampleInterval)
	f.ledger = virtualtime.NewResource(f.Simulator, func(n int) float64 {
		return min(1, f.slots/float64(max(1, n))) / (1 + 0.3*max(0, float64(n)/f.slots-1))
	})
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
		r.NewDecider = f.day.Make
	}
	return r, nil
}
