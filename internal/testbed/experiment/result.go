package experiment

import (
	"math"
	"runtime"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"topazpost/internal/testbed/emulator"
)

// Result is the outcomes of an experiment by variant and seed.
type Result struct {
	Experiment *Experiment
	Seeds      []int64
	Outcomes   map[string][]*emulator.Outcome
	Verdicts   []Verdict
	Pace       float64 // simulated seconds played in a second of wall time, all variants and seeds together
}

// Verdict is whether a claim held.
type Verdict struct {
	Name  string  `json:"name"`
	Held  bool    `json:"held"`
	Value float64 `json:"value"` // the one nearest to breaking it
	Bound float64 `json:"bound"`
}

// Run plays all variants on all seeds, some at once; progress, which may be nil, is called after each.
func (x *Experiment) Run(seeds []int64, progress func(done, all int)) (*Result, error) {
	r := &Result{Experiment: x, Seeds: seeds, Outcomes: map[string][]*emulator.Outcome{}}
	total := len(seeds) * len(x.Variants)
	played := make(chan struct{}, total)
	reported := make(chan struct{})
	go func() {
		defer close(reported)
		reportProgress(played, total, progress)
	}()
	began := time.Now()
	err := x.playAll(r, played)
	<-reported
	if err != nil {
		return nil, err
	}
	r.Pace = float64(total) * float64(x.Day.Length) / float64(max(1, time.Since(began)))
	for i := range x.Claims {
		r.Verdicts = append(r.Verdicts, r.evaluate(&x.Claims[i]))
	}
	return r, nil
}

// reportProgress calls progress, which may be nil, after each day that was played.
func reportProgress(played <-chan struct{}, total int, progress func(done, all int)) {
	for k := range total {
		<-played
		if progress != nil {
			progress(k+1, total)
		}
	}
}

// playAll plays all variants on all seeds; each day, also a failed one, is reported on played.
func (x *Experiment) playAll(r *Result, played chan<- struct{}) error {
	var group errgroup.Group
	group.SetLimit(runtime.GOMAXPROCS(0))
	for _, name := range x.variantNames() {
		outcomes := make([]*emulator.Outcome, len(r.Seeds))
		r.Outcomes[name] = outcomes
		for k, seed := range r.Seeds {
			group.Go(func() error {
				day, err := x.emulatorDay(seed, x.Variants[name])
				if err == nil {
					outcomes[k], err = emulator.Play(day)
				}
				played <- struct{}{}
				return err
			})
		}
	}
	return group.Wait()
}

// variantNames returns the names of the variants in order.
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

// Held returns whether every claim held.
func (r *Result) Held() bool {
	for _, v := range r.Verdicts {
		if !v.Held {
			return false
		}
	}
	return true
}
