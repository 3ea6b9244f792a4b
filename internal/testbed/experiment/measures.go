package experiment

import (
	"math"

	"topazpost/internal/testbed/emulator"
)

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
