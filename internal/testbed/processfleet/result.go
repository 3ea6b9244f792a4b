package processfleet

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"
)

// Verdict is whether a claim held on all seeds.
type Verdict struct {
	Name  string  `json:"name"`
	Held  bool    `json:"held"`
	Value float64 `json:"value"`
	Bound float64 `json:"bound"`
}

func (v *Verdict) status() string {
	if v.Held {
		return "held  "
	}
	return "BROKEN"
}

// Result is a fault scenario on all its seeds.
type Result struct {
	Scenario *Scenario  `json:"-"`
	Name     string     `json:"experiment"`
	Outcomes []*Outcome `json:"-"`
	Verdicts []Verdict  `json:"claims"`
	Measures []map[string]float64
}

// Run plays a scenario on seeds, one after the other. Program is the built daemon, for scenarios on processes; their logs
// and timelines are left in folder, if it is not empty.
func (n *Scenario) Run(seeds []int64, program, folder string) (*Result, error) {
	r := &Result{Scenario: n, Name: n.Name}
	for _, seed := range seeds {
		o, err := n.runSeed(seed, program, folder)
		if err != nil {
			return nil, err
		}
		r.Outcomes = append(r.Outcomes, o)
		if o.Failed != "" {
			return nil, fmt.Errorf("%s, seed %d: %s", n.Name, seed, o.Failed)
		}
		for k, v := range o.Measures {
			if math.IsInf(v, 0) {
				o.Measures[k] = 1e9
			}
		}
		r.Measures = append(r.Measures, o.Measures)
		if folder != "" {
			path := filepath.Join(folder, fmt.Sprintf("%s-%d.timeline", n.Name, seed))
			if err := os.WriteFile(path, []byte(strings.Join(o.Timeline, "\n")+"\n"), 0o600); err != nil {
				return nil, err
			}
		}
	}
	for i := range n.Claims {
		v, err := r.evaluate(&n.Claims[i])
		if err != nil {
			return nil, err
		}
		r.Verdicts = append(r.Verdicts, v)
	}
	return r, nil
}

// evaluate holds a claim against the measures of all seeds; the value is the one nearest to breaking it.
func (r *Result) evaluate(c *Claim) (Verdict, error) {
	v := Verdict{Name: c.Name, Held: true}
	for k, o := range r.Outcomes {
		value, known := o.Measures[c.Measure]
		if !known {
			return v, fmt.Errorf("%s: claim %q: no measure is named %q", r.Name, c.Name, c.Measure)
		}
		if c.Most != nil {
			v.Bound = *c.Most
			if k == 0 || value > v.Value {
				v.Value = value
			}
			v.Held = v.Held && value <= v.Bound
		}
		if c.Least != nil {
			v.Bound = *c.Least
			if k == 0 || value < v.Value {
				v.Value = value
			}
			v.Held = v.Held && value >= v.Bound
		}
	}
	return v, nil
}

// runSeed plays a scenario on one seed. The files of processes are left in a folder, if there is one.
func (n *Scenario) runSeed(seed int64, program, folder string) (*Outcome, error) {
	if n.Versions != nil && !n.Processes {
		return n.playVersionsInVirtualTime(seed), nil
	}
	if !n.Processes {
		d, err := newVirtual(n, seed)
		if err != nil {
			return nil, err
		}
		return n.playSeed(d, seed), nil
	}
	if v := n.Versions; v != nil { // its seats are the first nodes, each a process that serves nothing
		n.Council = v.Seats
		n.Regions = v.Regions
		n.Zones = v.Zones
	}
	if folder == "" {
		temporary, err := os.MkdirTemp("", "rig")
		if err != nil {
			return nil, err
		}
		defer os.RemoveAll(temporary)
		folder = temporary
	}
	folder = filepath.Join(folder, fmt.Sprint("seed-", seed))
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, err
	}
	d, err := newProcesses(n, seed, program, folder)
	if err != nil {
		return nil, err
	}
	defer d.close()
	if err := d.beginHollow(); err != nil {
		return nil, err
	}
	if n.Versions != nil {
		return n.playVersionsOnProcesses(d, seed), nil
	}
	return n.playSeed(d, seed), nil
}

// Held returns whether every claim held.
func (r *Result) Held() bool {
	return !slices.ContainsFunc(r.Verdicts, func(v Verdict) bool { return !v.Held })
}

// Print writes the measures of each seed and the verdicts; the start of the timeline where a claim broke.
func (r *Result) Print(to io.Writer) error {
	how := "in virtual time"
	if r.Scenario.Processes {
		how = "on processes"
	}
	if r.Scenario.Hollow > 0 {
		how = fmt.Sprintf("on processes, %d of them hollow", r.Scenario.Hollow)
	}
	fmt.Fprintf(to, "%s, %d nodes %s, %g s, simulated faults\n", r.Name, r.Scenario.Nodes, how, r.Scenario.Seconds)
	for _, o := range r.Outcomes {
		fmt.Fprintf(to, "seed %d:", o.Seed)
		for _, k := range slices.Sorted(maps.Keys(o.Measures)) {
			fmt.Fprintf(to, " %s %.4g", k, o.Measures[k])
		}
		fmt.Fprintln(to)
	}
	for _, v := range r.Verdicts {
		fmt.Fprintf(to, "%s  %s: %.4g, bound %.4g\n", v.status(), v.Name, v.Value, v.Bound)
	}
	if !r.Held() {
		for _, o := range r.Outcomes {
			fmt.Fprintln(to, strings.Join(o.Timeline[:min(shownLines, len(o.Timeline))], "\n"))
		}
	}
	return nil
}

// JSON writes the result as one line.
func (r *Result) JSON(to io.Writer) error { return json.NewEncoder(to).Encode(r) }
