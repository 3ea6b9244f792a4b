package experiment

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"strings"
	"text/tabwriter"

	"topazpost/internal/testbed/emulator"
)

// Print writes a table of the variants, means over the seeds, and the verdicts on the claims.
func (r *Result) Print(to io.Writer) error {
	w := tabwriter.NewWriter(to, 0, 4, 2, ' ', 0)
	fmt.Fprintf(w, "%s, %d seeds, simulated\n", r.Experiment.Name, len(r.Seeds))
	fmt.Fprint(w, "variant\tvalue\tleast\tmost\tof it reduced\tchanges a node, most\tcrowd\tcalls\tbroken rules")
	for _, op := range r.Experiment.Day.Operations {
		fmt.Fprintf(w, "\t%s: whole\treduced\tlate\tthrottled\tp50 ms\tp99 ms", op.Name)
	}
	fmt.Fprintln(w)
	for _, name := range r.Experiment.variantNames() {
		r.printVariant(w, name)
	}
	fmt.Fprintf(w, "%.0f simulated seconds for each second of wall time\n", r.Pace)
	for _, v := range r.Verdicts {
		fmt.Fprintf(w, "%s\t%s: %.4f, bound %.4f\n", v.status(), v.Name, v.Value, v.Bound)
	}
	return w.Flush()
}

func (v *Verdict) status() string {
	if v.Held {
		return "held"
	}
	return "BROKEN"
}

// printVariant writes the row of a variant.
func (r *Result) printVariant(w io.Writer, name string) {
	outcomes := r.Outcomes[name]
	least := math.Inf(1)
	most := 0.0
	levelChanges := 0
	crowd := 0.0
	calls := 0.0
	var breaches []string
	for _, o := range outcomes {
		least = min(least, o.Value)
		most = max(most, o.Value)
		levelChanges = max(levelChanges, maxLevelChanges(r.Experiment, o))
		crowd = max(crowd, o.MostCrowd)
		calls = max(calls, o.MostCalls)
		breaches = append(breaches, o.Breach()...)
	}
	fmt.Fprintf(w, "%s\t%.4f\t%.4f\t%.4f\t%.4f\t%d\t%.2f\t%.2f\t%s", name,
		mean(outcomes, func(o *emulator.Outcome) float64 { return o.Value }), least, most,
		mean(outcomes, func(o *emulator.Outcome) float64 { return o.ByReduced }), levelChanges, crowd, calls, strings.Join(breaches, "; "))
	for k := range r.Experiment.Day.Operations {
		printOperation(w, outcomes, k)
	}
	fmt.Fprintln(w)
}

// printOperation writes the columns of an operation in the row of a variant.
func printOperation(w io.Writer, outcomes []*emulator.Outcome, k int) {
	percent := func(count func(t *emulator.Tally) int) float64 {
		return 100 * mean(outcomes, func(o *emulator.Outcome) float64 {
			return float64(count(&o.Operations[k])) / float64(max(1, o.Operations[k].Asked))
		})
	}
	fmt.Fprintf(w, "\t%.1f %%\t%.1f %%\t%.1f %%\t%.1f %%\t%.0f\t%.0f",
		percent(func(t *emulator.Tally) int { return t.Whole }),
		percent(func(t *emulator.Tally) int { return t.Reduced }),
		percent(func(t *emulator.Tally) int { return t.Late }),
		percent(func(t *emulator.Tally) int { return t.Throttled }),
		mean(outcomes, func(o *emulator.Outcome) float64 { return o.Operations[k].P50 }),
		mean(outcomes, func(o *emulator.Outcome) float64 { return o.Operations[k].P99 }))
}

func mean(outcomes []*emulator.Outcome, value func(o *emulator.Outcome) float64) (sum float64) {
	for _, o := range outcomes {
		sum += value(o)
	}
	return sum / float64(len(outcomes))
}

// JSON writes the result as one line.
func (r *Result) JSON(to io.Writer) error {
	type variant struct {
		Value   float64 `json:"value"`
		Reduced float64 `json:"value_reduced"`
		Changes int     `json:"changes"`
		Broken  int     `json:"broken"`
	}
	out := struct {
		Experiment string             `json:"experiment"`
		Seeds      []int64            `json:"seeds"`
		Claims     []Verdict          `json:"claims"`
		Variants   map[string]variant `json:"variants"`
	}{r.Experiment.Name, r.Seeds, r.Verdicts, map[string]variant{}}
	for name, all := range r.Outcomes {
		v := variant{}
		for _, o := range all {
			v.Value += o.Value / float64(len(all))
			v.Reduced += o.ByReduced / float64(len(all))
			v.Changes = max(v.Changes, maxLevelChanges(r.Experiment, o))
			v.Broken += o.Broken()
		}
		out.Variants[name] = v
	}
	for i := range out.Claims { // JSON has neither NaN nor infinity
		if v := &out.Claims[i].Value; math.IsNaN(*v) || math.IsInf(*v, 0) {
			*v = -1
		}
	}
	return json.NewEncoder(to).Encode(out)
}
