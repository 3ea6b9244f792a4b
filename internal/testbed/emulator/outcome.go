package emulator

import (
	"fmt"
	"maps"
	"math"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"
	"topazpost/internal/node"
)

type invocationOutcome uint8

const (
	outcomeServed invocationOutcome = iota
	outcomeThrottled
	outcomeErrored
	outcomeUnanswered
)

// Tally is what became of invocations of one kind. Values are billed values.
type Tally struct {
	Name                              string
	Asked, Whole, Reduced, Late       int
	Throttled, Errored, Unanswered    int
	Value, Served, ByWhole, ByReduced float64
	latencies                         *hdrhistogram.Histogram // microseconds of answers
	P50, P99                          float64                 // ms
	InObjective                       float64                 // of the answers
}

// Second is what went on in one second of the day.
type Second struct {
	At                                 float64 // s
	Load                               float64 // asked for, of the capacity
	Asked, Served, ServedReduced       float64 // billed value
	Throttled, Errored, Declined, Read int
	Levels                             []int // of each node
	Held, OnCores, InHand              int   // over all nodes
}

// Turn is a change of level on a node.
type Turn struct {
	At       float64 // s
	Node     int
	From, To int
	Cause    string
}

// Outcome is what a day came to.
type Outcome struct {
	Operations []Tally
	Seconds    []Second
	Turns      []Turn
	Troubles   []string
	Breaches   map[string]int // what broke a rule, how often
	Attempts   int
	Calls      int
	MostCalls  float64 // in hand at the ledger, over its slots
	MostCrowd  float64 // on the cores of one node in a mean of 2 s, for each core
	MostMean   float64 // calls in hand at the ledger in the mean of their span, those given up lately included
	CallBudget float64 // what the settings of all nodes allow of these
	MostSent   float64 // got by a cold node in a mean's time from all dispatchers, over what it may
	MostTold   float64 // the same where over two thirds are from dispatchers that heed it and bear in mind what it said
	ColdCrowd  float64 // on the cores of one node in a mean of 2 s, over what it survives at its present warmth
	Value      float64 // served, over what was asked for
	ByReduced  float64 // part of Value that reduced answers brought
	levels     map[int]int
	start      int64
}

func newOutcome(day *Day) *Outcome {
	o := &Outcome{Breaches: map[string]int{}, levels: map[int]int{}, start: epoch}
	for _, op := range day.Operations {
		o.Operations = append(o.Operations, Tally{Name: op.Name, latencies: hdrhistogram.New(1, 120_000_000, 3)})
	}
	return o
}

func (o *Outcome) breach(what string) { o.Breaches[what]++ }

// Broken is how often a rule was broken.
func (o *Outcome) Broken() (n int) {
	for _, times := range o.Breaches {
		n += times
	}
	return n
}

// Breach names what was broken, for a report.
func (o *Outcome) Breach() []string {
	var list []string
	for _, what := range slices.Sorted(maps.Keys(o.Breaches)) {
		list = append(list, fmt.Sprintf("%s (%d)", what, o.Breaches[what]))
	}
	return list
}

func (o *Outcome) asked(v *invocation) {
	t := &o.Operations[v.operationIndex]
	t.Asked++
	t.Value += v.operation.Value
}

// endInvocation is the endInvocation of an invocation for its client.
func (f *fleet) endInvocation(v *invocation, how invocationOutcome, reduced bool) {
	if v.ended {
		return
	}
	v.ended = true
	t, s := &f.total.Operations[v.operationIndex], &f.second
	took := f.Now - v.startedAt
	switch how {
	case outcomeServed:
		value := v.operation.Value
		if reduced {
			t.Reduced++
			value *= v.operation.Reduce
		} else {
			t.Whole++
		}
		if took > v.operation.Objective {
			t.Late++
			value *= v.operation.LateShare
		}
		t.Served += value
		if reduced {
			t.ByReduced += value
			s.ServedReduced += value
		} else {
			t.ByWhole += value
		}
		s.Served += value
		_ = t.latencies.RecordValue(took / 1_000) // fails only past the histogram's range, which no timeout reaches
	case outcomeThrottled:
		t.Throttled++
		s.Throttled++
	case outcomeErrored:
		t.Errored++
		s.Errored++
	default:
		t.Unanswered++
	}
}

func (o *Outcome) levelChanged(m *machine, t *node.LevelChange) {
	if t.From != t.To {
		o.Turns = append(o.Turns, Turn{float64(m.Now-o.start) / 1e9, m.index, t.From, t.To, t.String()})
	}
	o.levels[m.index] = t.To
}

// sample looks at the crowd on the cores, which a machine survives up to its bound in a mean of two seconds.
func (f *fleet) sample() {
	f.total.MostMean = max(f.total.MostMean, f.calls.mean(f.Now))
	for _, m := range f.machines {
		if m.stateMachine == nil {
			continue
		}
		m.runsPerLook = append(m.runsPerLook, m.runsOnCores())
		if len(m.runsPerLook) > crowdSamples {
			m.runsPerLook = m.runsPerLook[1:]
		}
		sum := 0
		for _, n := range m.runsPerLook {
			sum += n
		}
		crowd, survived := float64(sum)/crowdSamples/float64(m.model.Cores), 1+(m.model.By-1)*m.warmupFraction()
		f.total.MostCrowd = max(f.total.MostCrowd, crowd)
		if m.cold {
			f.total.ColdCrowd = max(f.total.ColdCrowd, crowd/survived)
		}
		if crowd > survived {
			f.total.breach("a node fell over by the crowd on its cores")
		}
	}
}

// closeSecond closes a second.
func (f *fleet) closeSecond() {
	at := f.Now - f.start
	if at > f.day.Length {
		return
	}
	s := &f.second
	s.At = float64(at) / 1e9
	s.Load = f.day.Load(at - second/2)
	for _, m := range f.machines {
		level := -1
		if m.stateMachine != nil {
			level = f.total.levels[m.index]
			s.OnCores += m.runsOnCores()
			s.InHand += len(m.ledgerCalls)
			s.Held += len(m.openAttempts) - len(m.runningAttempts)
		}
		s.Levels = append(s.Levels, level)
	}
	f.total.Seconds = append(f.total.Seconds, *s)
	if f.day.Watch != nil {
		f.day.Watch(at, s)
	}
	f.second = Second{}
}

func (o *Outcome) summarize(f *fleet) {
	asked := 0.0
	for k := range o.Operations {
		t := &o.Operations[k]
		asked += t.Value
		o.Value += t.Served
		o.ByReduced += t.ByReduced
		t.P50 = float64(t.latencies.ValueAtQuantile(50)) / 1e3
		t.P99 = float64(t.latencies.ValueAtQuantile(99)) / 1e3
		if answers := t.Whole + t.Reduced; answers > 0 {
			t.InObjective = 1 - float64(t.Late)/float64(answers)
		}
	}
	o.Value = o.Value / math.Max(1, asked)
	o.ByReduced = o.ByReduced / math.Max(1, asked)
	for _, m := range f.machines {
		if m.stateMachine != nil {
			for what, times := range m.stateMachine.Invariants.All() {
				o.Breaches["did not hold: "+what] += times
			}
		}
	}
}
