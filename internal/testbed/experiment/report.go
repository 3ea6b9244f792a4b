package experiment

import (
	"encoding/json"
	"fmt"
	"image/color"
	"io"
	"math"
	"os"
	"path/filepath"
	"strings"
	"text/tabwriter"

	"github.com/parquet-go/parquet-go"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

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
		all := r.Outcomes[name]
		mean := func(of func(o *emulator.Outcome) float64) (sum float64) {
			for _, o := range all {
				sum += of(o)
			}
			return sum / float64(len(all))
		}
		least, most, turns, crowd, calls, broken := math.Inf(1), 0.0, 0, 0.0, 0.0, []string{}
		for _, o := range all {
			least, most = min(least, o.Value), max(most, o.Value)
			turns, crowd, calls = max(turns, maxLevelChanges(r.Experiment, o)), max(crowd, o.MostCrowd), max(calls, o.MostCalls)
			broken = append(broken, o.Breach()...)
		}
		fmt.Fprintf(w, "%s\t%.4f\t%.4f\t%.4f\t%.4f\t%d\t%.2f\t%.2f\t%s", name,
			mean(func(o *emulator.Outcome) float64 { return o.Value }), least, most,
			mean(func(o *emulator.Outcome) float64 { return o.ByReduced }), turns, crowd, calls, strings.Join(broken, "; "))
		for k := range r.Experiment.Day.Operations {
			part := func(of func(t *emulator.Tally) int) float64 {
				return 100 * mean(func(o *emulator.Outcome) float64 {
					return float64(of(&o.Operations[k])) / float64(max(1, o.Operations[k].Asked))
				})
			}
			fmt.Fprintf(w, "\t%.1f %%\t%.1f %%\t%.1f %%\t%.1f %%\t%.0f\t%.0f", part(func(t *emulator.Tally) int { return t.Whole }),
				part(func(t *emulator.Tally) int { return t.Reduced }), part(func(t *emulator.Tally) int { return t.Late }),
				part(func(t *emulator.Tally) int { return t.Throttled }),
				mean(func(o *emulator.Outcome) float64 { return o.Operations[k].P50 }),
				mean(func(o *emulator.Outcome) float64 { return o.Operations[k].P99 }))
		}
		fmt.Fprintln(w)
	}
	fmt.Fprintf(w, "%.0f simulated seconds for each second of wall time\n", r.Pace)
	for _, v := range r.Verdicts {
		fmt.Fprintf(w, "%s\t%s: %.4f, bound %.4f\n", map[bool]string{true: "held", false: "BROKEN"}[v.Held], v.Name, v.Value, v.Bound)
	}
	return w.Flush()
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
			v.Value, v.Reduced = v.Value+o.Value/float64(len(all)), v.Reduced+o.ByReduced/float64(len(all))
			v.Changes, v.Broken = max(v.Changes, maxLevelChanges(r.Experiment, o)), v.Broken+o.Broken()
		}
		out.Variants[name] = v
	}
	for i := range out.Claims { // what has no number can't be written as one
		if v := &out.Claims[i].Value; math.IsNaN(*v) || math.IsInf(*v, 0) {
			*v = -1
		}
	}
	return json.NewEncoder(to).Encode(out)
}

// Held says whether every claim did.
func (r *Result) Held() bool {
	for _, v := range r.Verdicts {
		if !v.Held {
			return false
		}
	}
	return true
}

type row struct {
	Variant   string  `parquet:"variant,dict"`
	Seed      int64   `parquet:"seed"`
	At        float64 `parquet:"at_s"`
	Load      float64 `parquet:"load"`
	Asked     float64 `parquet:"asked"`
	Served    float64 `parquet:"served"`
	Reduced   float64 `parquet:"served_reduced"`
	Throttled int32   `parquet:"throttled"`
	Errored   int32   `parquet:"errored"`
	Declined  int32   `parquet:"declined"`
	Held      int32   `parquet:"held"`
	OnCores   int32   `parquet:"on_cores"`
	InHand    int32   `parquet:"in_hand"`
	Levels    []int32 `parquet:"levels,list"`
}

// Save writes each second's series as Parquet, and a plot a variant of its first seed, into a folder.
func (r *Result) Save(folder string) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return err
	}
	var rows []row
	for _, name := range r.Experiment.variantNames() {
		for k, o := range r.Outcomes[name] {
			for _, s := range o.Seconds {
				x := row{Variant: name, Seed: r.Seeds[k], At: s.At, Load: s.Load, Asked: s.Asked, Served: s.Served,
					Reduced: s.ServedReduced, Throttled: int32(s.Throttled), Errored: int32(s.Errored), Declined: int32(s.Declined),
					Held: int32(s.Held), OnCores: int32(s.OnCores), InHand: int32(s.InHand)}
				for _, level := range s.Levels {
					x.Levels = append(x.Levels, int32(level))
				}
				rows = append(rows, x)
			}
		}
		if err := r.savePlot(filepath.Join(folder, name+".svg"), name); err != nil {
			return err
		}
	}
	return parquet.WriteFile(filepath.Join(folder, r.Experiment.Name+".parquet"), rows)
}

// savePlot plots what was asked for and served in each second, with the mean level of the nodes below it.
func (r *Result) savePlot(path, name string) error {
	p := plot.New()
	p.Title.Text = r.Experiment.Name + ", " + name + ", seed " + fmt.Sprint(r.Seeds[0]) + " (simulated)"
	p.X.Label.Text, p.Y.Label.Text = "s", "billed value a second; level as bands"
	var asked, served, level plotter.XYs
	most, top := 1.0, 1.0
	for _, s := range r.Outcomes[name][0].Seconds {
		asked, served = append(asked, plotter.XY{X: s.At, Y: s.Asked}), append(served, plotter.XY{X: s.At, Y: s.Served})
		sum, n := 0.0, 0.0
		for _, l := range s.Levels {
			if l >= 0 {
				sum, n = sum+float64(l), n+1
			}
		}
		most, top = max(most, s.Asked), max(top, sum/max(1, n))
		level = append(level, plotter.XY{X: s.At, Y: sum / max(1, n)})
	}
	for i := range level {
		level[i].Y *= most / 4 / top
	}
	for i, of := range []plotter.XYs{asked, served, level} {
		line, err := plotter.NewLine(of)
		if err != nil {
			return err
		}
		line.Color = lineColors[i]
		if i == 2 {
			line.FillColor = levelFillColor
		}
		p.Add(line)
		p.Legend.Add([]string{"asked for", "served", "mean level"}[i], line)
	}
	return p.Save(24*vg.Centimeter, 12*vg.Centimeter, path)
}

var (
	lineColors     = []color.Color{color.RGBA{120, 120, 120, 255}, color.RGBA{20, 90, 160, 255}, color.RGBA{200, 120, 20, 255}}
	levelFillColor = color.RGBA{200, 120, 20, 60}
)
