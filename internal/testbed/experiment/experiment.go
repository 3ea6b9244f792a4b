// Package experiment plays variants of a day side by side on the same arrivals, and says of each claim whether it
// held. An experiment is a Jsonnet file.
package experiment

import (
	"encoding/csv"
	"fmt"
	"maps"
	"math"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"sort"
	"strconv"
	"time"

	"golang.org/x/sync/errgroup"

	"topazpost/internal/configfile"
	"topazpost/internal/degradation/degradationplan"
	"topazpost/internal/node"
	"topazpost/internal/nodeconfig"
	"topazpost/internal/testbed/baselines"
	"topazpost/internal/testbed/emulator"
)

// Experiment is one as it is written.
type Experiment struct {
	Name     string
	About    string
	Seeds    int
	Day      Day
	Variants map[string]Variant
	Claims   []Claim

	folder string
}

// Day is what is played.
type Day struct {
	Nodes      int
	Length     configfile.Time
	Models     []Model
	Operations []Operation
	Reading    configfile.Part
	Callers    []Caller
	Load       Load
	Rate       float64 // invocations a second that stand for a load of 100 %, 0 to have it reckoned
	Slots      float64 // of the ledger for each core
	Subjects   int
	Faults     []Fault
	Flood      *Flood
}

// Model is a kind of machine.
type Model struct {
	Cores                     int
	Speed                     float64
	ColdFrom                  configfile.Part `json:"cold_from"`
	WarmAfter                 configfile.Time `json:"warm_after"`
	CrowdFrom, Crowding, Most float64
}

// Operation is a kind of invocation.
type Operation struct {
	Name, Form         string
	Share              configfile.Part
	Work, Call         configfile.Time
	Calls              float64
	Objective, Timeout configfile.Time
	Late               configfile.Part
	Value              float64
	FormWork           configfile.Part `json:"form_work"`
	FormValue          configfile.Part `json:"form_value"`
}

// Caller is a habit of a dispatcher.
type Caller struct {
	Tries     int
	Backoff   configfile.Time
	Heeds     bool
	BySubject bool `json:"by_subject"`
}

// Load is a shape over time: constant, swing (a sine of a period), step (low, high from At on), drop (high, low from
// At on), ramp (from low to high over the day).
type Load struct {
	Shape     string
	Low, High configfile.Part
	Period    configfile.Time
	At        configfile.Time
	File      string // recorded: lines of seconds and load as a part of the capacity, the first one their names
}

// Flood multiplies the share of one operation for a while.
type Flood struct {
	Operation string
	By        float64
	At, For   configfile.Time
}

// Fault is a trouble.
type Fault struct {
	Kind    string
	At, For configfile.Time
	Part    configfile.Part
	By      float64
}

// Variant is what is compared: the decider (module or pool), with a plan or none.
type Variant struct {
	Decider string
	Plan    string
	Next    string // the plan that a fault of the kind adopt brings
}

// Claim bounds a measure of a variant, or its difference to that of another on each seed.
type Claim struct {
	Name, Variant, Over, Measure, Operation string
	Least, Most                             *float64
	Mean                                    bool // of the seeds, else each one
}

// Read reads an experiment with some of its values changed, by their paths.
func Read(path string, changed map[string]string) (*Experiment, error) {
	file, err := configfile.Read(path)
	if err != nil {
		return nil, err
	}
	for _, at := range slices.Sorted(maps.Keys(changed)) {
		if err := file.Set(at, changed[at]); err != nil {
			return nil, err
		}
	}
	x := &Experiment{folder: filepath.Dir(path)}
	if err := file.Into(x); err != nil {
		return nil, err
	}
	for _, c := range x.Claims {
		if _, known := x.Variants[c.Variant]; !known {
			return nil, fmt.Errorf("%s: claim %q: no variant is named %q", path, c.Name, c.Variant)
		}
		if _, known := measures[c.Measure]; !known {
			return nil, fmt.Errorf("%s: claim %q: no measure is named %q", path, c.Name, c.Measure)
		}
	}
	if x.Seeds == 0 {
		x.Seeds = 1
	}
	return x, nil
}

// function is the load over time.
func (l *Load) function(folder string, length int64) (func(int64) float64, error) {
	if l.Shape == "recorded" {
		return readRecordedLoad(filepath.Join(folder, l.File))
	}
	of := l.formula(length)
	if of == nil {
		return nil, fmt.Errorf("no load has the shape %q: choose constant, step, drop, ramp, swing or recorded", l.Shape)
	}
	return of, nil
}

func (l *Load) formula(length int64) func(int64) float64 {
	low, high, at := float64(l.Low), float64(l.High), int64(l.At)
	switch l.Shape {
	case "swing":
		return func(t int64) float64 {
			return (low+high)/2 + (high-low)/2*math.Sin(2*math.Pi*float64(t)/float64(l.Period))
		}
	case "step":
		return func(t int64) float64 { return map[bool]float64{true: high, false: low}[t >= at] }
	case "drop":
		return func(t int64) float64 { return map[bool]float64{true: low, false: high}[t >= at] }
	case "ramp":
		return func(t int64) float64 { return low + (high-low)*float64(t)/float64(length) }
	case "constant":
		return func(int64) float64 { return high }
	}
	return nil
}

// readRecordedLoad reads a load from a file, straight lines between its points and the last one to the end.
func readRecordedLoad(path string) (func(int64) float64, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	rows, err := csv.NewReader(file).ReadAll()
	if err != nil {
		return nil, err
	}
	var at, load []float64
	for k, row := range rows[min(1, len(rows)):] {
		var point [2]float64
		for c := range point {
			if len(row) != len(point) {
				return nil, fmt.Errorf("%s:%d: has %d columns: write seconds and load", path, k+2, len(row))
			}
			if point[c], err = strconv.ParseFloat(row[c], 64); err != nil {
				return nil, fmt.Errorf("%s:%d: %q is no number", path, k+2, row[c])
			}
		}
		if k > 0 && point[0] <= at[k-1] {
			return nil, fmt.Errorf("%s:%d: %g s does not come after %g s: put lines in order of time", path, k+2, point[0], at[k-1])
		}
		at, load = append(at, point[0]), append(load, point[1])
	}
	if len(at) == 0 {
		return nil, fmt.Errorf("%s: has no load: write a line of names, then lines of seconds and load", path)
	}
	return func(t int64) float64 {
		s := float64(t) / 1e9
		k := sort.SearchFloat64s(at, s)
		if k == 0 || k == len(at) {
			return load[min(k, len(at)-1)]
		}
		return load[k-1] + (load[k]-load[k-1])*(s-at[k-1])/(at[k]-at[k-1])
	}, nil
}

func (x *Experiment) emulatorDay(seed int64, v Variant) (*emulator.Day, error) {
	d := &x.Day
	day := &emulator.Day{Seed: seed, Nodes: d.Nodes, Length: int64(d.Length), Reading: float64(d.Reading), Rate: d.Rate,
		Slots: d.Slots, Subjects: d.Subjects}
	index := new(nodeconfig.Names)
	for k, op := range d.Operations {
		index.Put(int32(k), op.Name)
		day.Operations = append(day.Operations, emulator.Operation{Name: op.Name, Share: float64(op.Share), Work: float64(op.Work),
			Call: float64(op.Call), Calls: op.Calls, Objective: int64(op.Objective), Timeout: int64(op.Timeout),
			LateShare: float64(op.Late), Value: op.Value, Reduced: op.Form, ReducedWork: float64(op.FormWork),
			Reduce: float64(op.FormValue)})
	}
	for _, m := range d.Models {
		day.Models = append(day.Models, emulator.Model{Cores: m.Cores, Speed: m.Speed, ColdFrom: float64(m.ColdFrom),
			WarmAfter: int64(m.WarmAfter), CrowdFrom: m.CrowdFrom, Crowding: m.Crowding, By: m.Most})
	}
	for _, c := range d.Callers {
		day.Dispatchers = append(day.Dispatchers, emulator.Dispatcher{Tries: c.Tries, Backoff: int64(c.Backoff), Heeds: c.Heeds,
			BySubject: c.BySubject})
	}
	for _, f := range d.Faults {
		day.Faults = append(day.Faults, emulator.Fault{Kind: f.Kind, At: int64(f.At), For: int64(f.For), Part: float64(f.Part), By: f.By})
	}
	if f := d.Flood; f != nil {
		day.Mix = func(at int64, op int) float64 {
			if d.Operations[op].Name == f.Operation && at >= int64(f.At) && at < int64(f.At+f.For) {
				return f.By
			}
			return 1
		}
	}
	read := func(name string) (*node.DegradationPlan, error) {
		if name == "" {
			return nil, nil
		}
		return degradationplan.Read(filepath.Join(x.folder, name), index)
	}
	var err error
	if day.Load, err = d.Load.function(x.folder, int64(d.Length)); err != nil {
		return nil, err
	}
	if day.Plan, err = read(v.Plan); err != nil {
		return nil, err
	}
	if day.Next, err = read(v.Next); err != nil {
		return nil, err
	}
	switch v.Decider {
	case "pool":
		day.Make = baselines.Pool
	case "", "module":
	default:
		return nil, fmt.Errorf("no decider is named %q: choose module or pool", v.Decider)
	}
	return day, nil
}

// Result is what an experiment came to: outcomes by variant and seed.
type Result struct {
	Experiment *Experiment
	Seeds      []int64
	Outcomes   map[string][]*emulator.Outcome
	Verdicts   []Verdict
	Pace       float64 // simulated seconds played in a second of wall time, all variants and seeds together
}

// Verdict says whether a claim held.
type Verdict struct {
	Name  string  `json:"name"`
	Held  bool    `json:"held"`
	Value float64 `json:"value"` // the one nearest to breaking it
	Bound float64 `json:"bound"`
}

// Run plays all variants on all seeds, some at once; progress is told after each.
func (x *Experiment) Run(seeds []int64, progress func(done, all int)) (*Result, error) {
	r := &Result{Experiment: x, Seeds: seeds, Outcomes: map[string][]*emulator.Outcome{}}
	var group errgroup.Group
	group.SetLimit(runtime.GOMAXPROCS(0))
	began := time.Now()
	told := make(chan struct{}, len(seeds)*len(x.Variants))
	for _, name := range x.variantNames() {
		outcomes := make([]*emulator.Outcome, len(seeds))
		r.Outcomes[name] = outcomes
		for k, seed := range seeds {
			group.Go(func() error {
				day, err := x.emulatorDay(seed, x.Variants[name])
				if err == nil {
					outcomes[k], err = emulator.Play(day)
				}
				told <- struct{}{}
				return err
			})
		}
	}
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		for k := range len(seeds) * len(x.Variants) {
			<-told
			if progress != nil {
				progress(k+1, cap(told))
			}
		}
	}()
	err := group.Wait()
	<-finished
	if err != nil {
		return nil, err
	}
	r.Pace = float64(len(seeds)*len(x.Variants)) * float64(x.Day.Length) / float64(max(1, time.Since(began)))
	for i := range x.Claims {
		r.Verdicts = append(r.Verdicts, r.evaluate(&x.Claims[i]))
	}
	return r, nil
}

func (x *Experiment) variantNames() (list []string) {
	for name := range x.Variants {
		list = append(list, name)
	}
	slices.Sort(list)
	return list
}

// evaluate holds a claim against the outcomes. Rules that were broken break every claim of their variant.
func (r *Result) evaluate(c *Claim) Verdict {
	v := Verdict{Name: c.Name, Held: true}
	values := make([]float64, len(r.Seeds))
	sum := 0.0
	for k := range r.Seeds {
		o := r.Outcomes[c.Variant][k]
		values[k] = measures[c.Measure](r.Experiment, c, o)
		if c.Over != "" {
			values[k] -= measures[c.Measure](r.Experiment, c, r.Outcomes[c.Over][k])
		}
		sum += values[k]
		v.Held = v.Held && (o.Broken() == 0 || c.Measure == "broken")
	}
	if c.Mean {
		values = []float64{sum / float64(len(values))}
	}
	if c.Least != nil {
		v.Value, v.Bound = slices.Min(values), *c.Least
		v.Held = v.Held && v.Value >= v.Bound
	}
	if c.Most != nil {
		v.Value, v.Bound = slices.Max(values), *c.Most
		v.Held = v.Held && v.Value <= v.Bound
	}
	if math.IsNaN(v.Value) {
		v.Held = false
	}
	return v
}

// measures are what claims and tables speak of.
var measures = map[string]func(x *Experiment, c *Claim, o *emulator.Outcome) float64{
	"value":         func(_ *Experiment, _ *Claim, o *emulator.Outcome) float64 { return o.Value },
	"value_reduced": func(_ *Experiment, _ *Claim, o *emulator.Outcome) float64 { return o.ByReduced },
	"broken":        func(_ *Experiment, _ *Claim, o *emulator.Outcome) float64 { return float64(o.Broken()) },
	"changes": func(x *Experiment, _ *Claim, o *emulator.Outcome) float64 {
		return float64(maxLevelChanges(x, o))
	},
	"changes_per_swing": func(x *Experiment, _ *Claim, o *emulator.Outcome) float64 {
		return float64(maxLevelChanges(x, o)) / (float64(x.Day.Length) / float64(max(1, x.Day.Load.Period)))
	},
	"in_objective": func(_ *Experiment, c *Claim, o *emulator.Outcome) float64 {
		for _, op := range o.Operations {
			if op.Name == c.Operation {
				return op.InObjective
			}
		}
		return math.NaN()
	},
	"reached_s": func(x *Experiment, _ *Claim, o *emulator.Outcome) float64 { // from At until every node has left full service
		return x.settlingSeconds(o, func(level int) bool { return level > 0 })
	},
	"full_s": func(x *Experiment, _ *Claim, o *emulator.Outcome) float64 { // from At until every node is back at full service
		return x.settlingSeconds(o, func(level int) bool { return level == 0 })
	},
	"top": func(_ *Experiment, _ *Claim, o *emulator.Outcome) (top float64) { // highest level of any node
		for _, t := range o.Turns {
			top = max(top, float64(t.To))
		}
		return top
	},
	"at_once": func(x *Experiment, _ *Claim, o *emulator.Outcome) (most float64) { // part of the nodes that changed in one second
		by := map[int]int{}
		for _, t := range o.Turns {
			by[int(t.At)]++
			most = max(most, float64(by[int(t.At)])/float64(x.Day.Nodes))
		}
		return most
	},
}

func maxLevelChanges(x *Experiment, o *emulator.Outcome) (most int) {
	by := make([]int, x.Day.Nodes)
	for _, t := range o.Turns {
		if t.At >= 0.05 && t.At <= float64(x.Day.Length)/1e9 { // a plan taken at the start is none, nor is the end of the day
			by[t.Node]++
			most = max(most, by[t.Node])
		}
	}
	return most
}

// settlingSeconds is how many seconds after At the last node comes to be, and is, at levels of a kind at the end of the second.
func (x *Experiment) settlingSeconds(o *emulator.Outcome, of func(level int) bool) float64 {
	at := float64(x.Day.Load.At) / 1e9
	worst := math.Inf(-1)
	for n := range x.Day.Nodes {
		level, took := 0, math.Inf(1)
		for _, t := range o.Turns {
			if t.Node != n {
				continue
			}
			if t.At < at {
				level = t.To
			} else if math.IsInf(took, 1) && of(t.To) {
				took = t.At - at
			}
		}
		if of(level) {
			took = 0
		}
		worst = max(worst, took)
	}
	return worst
}
