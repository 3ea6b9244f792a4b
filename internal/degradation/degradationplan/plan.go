// Package degradationplan reads the ladder of levels that operators write, and shows it. It decides nothing.
package degradationplan

import (
	"fmt"
	"io"
	"math"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"

	"topazpost/internal/admission"
	"topazpost/internal/configfile"
	"topazpost/internal/degradation"
	"topazpost/internal/node"
	"topazpost/internal/nodeconfig"
)

const (
	holdUsual    = 10_000_000_000  // ns that a rung is kept after it was last needed: some bursts
	mostUsual    = 120_000_000_000 // ns that it is kept at the most: the lull of a swing of minutes
	bridgesUsual = 1.25            // times a gap that was learnt: some room over the same gap
	forgetUsual  = 900_000_000_000 // ns in which half of what was learnt is forgotten: a swing may pause for some periods
	proofUsual   = 3_000_000_000   // ns in which a rung must show relief: some objectives
	spreadUsual  = 0.4             // of the times above: nodes that saw the same step within seconds of each other
	idleLoad     = 0.3             // of the cores under which a node is idle: far below any exit
	idleUsual    = 1_000_000_000   // ns that it lasts before full service is back
	rungsMost    = 8               // levels above full service; more than operators can tell apart
)

// schema is compiled when a plan is first read: most nodes have none.
var schema = sync.OnceValue(func() *configfile.Schema {
	return configfile.Compile("plan.json", strings.NewReplacer("TIME", configfile.TimePattern, "PART",
		configfile.PartPattern, "RUNGS", fmt.Sprint(rungsMost)).Replace(`{
 "$schema": "https://json-schema.org/draft/2020-12/schema", "type": "object", "additionalProperties": false,
 "required": ["levels"],
 "$defs": {
  "time": {"type": "string", "pattern": "TIME"},
  "part": {"type": "string", "pattern": "PART"},
  "condition": {"type": "object", "additionalProperties": false, "minProperties": 1, "properties": {
   "load": {"$ref": "#/$defs/part"}, "wait": {"$ref": "#/$defs/part"}, "lag": {"$ref": "#/$defs/part"},
   "calls": {"$ref": "#/$defs/part"}, "throttled": {"$ref": "#/$defs/part"}, "memory": {"$ref": "#/$defs/part"},
   "for": {"$ref": "#/$defs/time"}}}},
 "properties": {
  "name": {"type": "string", "minLength": 1},
  "forms_known": {"type": "boolean"},
  "spare": {"type": "boolean"},
  "hold": {"$ref": "#/$defs/time"}, "hold_most": {"$ref": "#/$defs/time"}, "forget": {"$ref": "#/$defs/time"},
  "proof": {"$ref": "#/$defs/time"}, "spread": {"$ref": "#/$defs/part"}, "bridges": {"type": "number", "minimum": 0, "maximum": 4},
  "idle": {"$ref": "#/$defs/condition"},
  "levels": {"type": "array", "minItems": 1, "maxItems": RUNGS, "items": {"type": "object", "additionalProperties": false,
   "required": ["name", "enter", "exit"], "properties": {
   "name": {"type": "string", "minLength": 1},
   "refuse": {"type": "array", "items": {"type": "string"}},
   "reduce": {"type": "object", "additionalProperties": {"type": "object", "additionalProperties": false,
    "required": ["form", "work", "value"], "properties": {"form": {"type": "string", "minLength": 1},
    "work": {"$ref": "#/$defs/part"}, "value": {"$ref": "#/$defs/part"}}}},
   "enter": {"type": "array", "minItems": 1, "maxItems": 8, "items": {"$ref": "#/$defs/condition"}},
   "exit": {"$ref": "#/$defs/condition"}}}}}}`))
})

type condition struct {
	Load, Wait, Lag, Calls, Throttled, Memory *configfile.Part
	For                                       configfile.Time
}

func (c *condition) bounds() degradation.Condition {
	of := degradation.Condition{Limits: degradation.NoLimits(), Duration: int64(c.For)}
	for k, p := range []*configfile.Part{c.Load, c.Wait, c.Lag, c.Calls, c.Throttled, c.Memory} {
		if p != nil {
			of.Limits[k] = float64(*p)
		}
	}
	return of
}

type reduced struct {
	Form        string
	Work, Value configfile.Part
}

type written struct {
	Name       string
	FormsKnown bool `json:"forms_known"`
	Spare      bool
	Hold       *configfile.Time
	HoldMost   *configfile.Time `json:"hold_most"`
	Forget     *configfile.Time
	Proof      *configfile.Time
	Spread     *configfile.Part
	Bridges    *float64
	Idle       *condition
	Levels     []struct {
		Name   string
		Refuse []string
		Reduce map[string]reduced
		Enter  []condition
		Exit   condition
	}
}

// Read reads a plan for the operations of a config, evaluating the file in this process.
func Read(path string, operations *nodeconfig.Names) (*node.DegradationPlan, error) {
	file, err := configfile.Read(path)
	if err != nil {
		return nil, err
	}
	return From(file, operations)
}

// From reads a plan from a file that was evaluated. All that is wrong with it is told at once.
func From(file *configfile.File, operations *nodeconfig.Names) (*node.DegradationPlan, error) {
	if err := file.Check(schema()); err != nil {
		return nil, err
	}
	var w written
	if err := file.Into(&w); err != nil {
		return nil, err
	}
	p := &node.DegradationPlan{Text: string(file.JSON), Operations: operations.All(), Plan: degradation.Plan{Name: w.Name, UseSpareCapacity: w.Spare, MinHold: holdUsual, MaxHold: mostUsual,
		HoldGapFactor: bridgesUsual, GapHalfLife: forgetUsual, ProofTime: proofUsual, Jitter: spreadUsual}}
	if p.Name == "" {
		p.Name = file.Path
	}
	for _, t := range []struct {
		from *configfile.Time
		to   *int64
	}{{w.Hold, &p.MinHold}, {w.HoldMost, &p.MaxHold}, {w.Forget, &p.GapHalfLife}, {w.Proof, &p.ProofTime}} {
		if t.from != nil {
			*t.to = int64(*t.from)
		}
	}
	if w.Spread != nil {
		p.Jitter = float64(*w.Spread)
	}
	if w.Bridges != nil {
		p.HoldGapFactor = *w.Bridges
	}
	p.IdleCondition = degradation.Condition{Limits: degradation.NoLimits(), Duration: idleUsual}
	p.IdleCondition.Limits[degradation.Load] = idleLoad
	if w.Idle != nil {
		p.IdleCondition = w.Idle.bounds()
	}
	found := configfile.ProblemErrors{}
	names := operations.All()
	for k := range w.Levels {
		found = append(found, addRung(p, file, &w, k, operations, names)...)
	}
	if len(found) == 0 { // else what follows from those would be told beside them
		for _, fault := range p.Validate(operations.Slots()) {
			found = append(found, file.At(fault.Path, fault.Description, fault.Suggestion))
		}
	}
	if len(found) > 0 {
		return nil, found
	}
	return p, nil
}

func addRung(p *node.DegradationPlan, file *configfile.File, w *written, k int, operations *nodeconfig.Names,
	names []string) (found configfile.ProblemErrors) {
	at := func(what ...string) []string { return append([]string{"levels", fmt.Sprint(k)}, what...) }
	from := &w.Levels[k]
	rung := degradation.Level{Name: from.Name, Services: make([]admission.Service, len(names)), Exit: from.Exit.bounds()}
	forms := make([]string, len(names))
	unknown := func(name string, path []string) (int32, bool) {
		i, known := operations.Lookup(name)
		if !known {
			mend := "the operations are " + strings.Join(names, ", ")
			if near := configfile.Nearest(name, names); near != "" {
				mend = fmt.Sprintf("did you mean %q?", near)
			}
			found = append(found, file.At(path, fmt.Sprintf("no operation is named %q", name), mend))
		}
		return i, known
	}
	for j, name := range from.Refuse {
		if i, known := unknown(name, at("refuse", fmt.Sprint(j))); known {
			rung.Services[i] = admission.Service{Form: admission.Shed}
			if k > 0 && w.Spare { // the spare room goes to the form of the level before
				before := p.Levels[k-1].Services[i]
				rung.Services[i].WorkShare, rung.Services[i].WeightShare, forms[i] = before.WorkShare, before.WeightShare, p.Forms[k-1][i]
			}
		}
	}
	for _, name := range sorted(from.Reduce) {
		form, path := from.Reduce[name], at("reduce", name)
		i, known := unknown(name, path)
		switch {
		case !known:
		case rung.Services[i].Form == admission.Shed:
			found = append(found, file.At(path, "is refused by the same level", "take it out of refuse or out of reduce"))
		case !w.FormsKnown:
			found = append(found, file.At(path, "needs an executor that knows reduced forms, and callers that know the field "+
				"\"level\" of answers", "set forms_known: true if this installation does, else refuse instead"))
		case form.Work <= 0 || form.Work >= 1 || form.Value <= 0 || form.Value > 1:
			found = append(found, file.At(path, fmt.Sprintf("leaves %g %% of the work and %g %% of the value", 100*form.Work,
				100*form.Value), "work must lie between 0 % and 100 %, value above 0 % and at 100 % at the most"))
		case form.Form == name:
			found = append(found, file.At(path, "names the whole operation as its reduced form", "name the form as the executor "+
				"knows it"))
		default:
			rung.Services[i] = admission.Service{Form: admission.Reduced, WorkShare: float64(form.Work), WeightShare: float64(form.Value)}
			forms[i] = form.Form
		}
	}
	for j := range from.Enter {
		rung.Enter = append(rung.Enter, from.Enter[j].bounds())
	}
	p.Levels, p.Forms = append(p.Levels, rung), append(p.Forms, forms)
	return found
}

func sorted(m map[string]reduced) []string {
	var list []string
	for name := range m {
		list = append(list, name)
	}
	slices.Sort(list)
	return list
}

// Show prints a plan as a table: what each level leaves, what it saves of the work and gives up of the billed value,
// and its conditions. The mix tells the share of each operation in the work; one that it lacks has none.
func Show(w io.Writer, p *node.DegradationPlan, of *nodeconfig.Config, mix map[string]float64) error {
	names := of.Operations.All()
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintf(t, "plan %s\n", p.Name)
	fmt.Fprintf(t, "level\t%s\tsaves of the work\tgives up of the value\tenter\texit\n", strings.Join(names, "\t"))
	fmt.Fprintf(t, "full%s\t0 %%\t0 %%\t\t\n", strings.Repeat("\twhole", len(names)))
	for k := range p.Levels {
		r := &p.Levels[k]
		fmt.Fprint(t, r.Name)
		work, value, all, allValue := 0.0, 0.0, 0.0, 0.0
		for i, s := range r.Services {
			op := of.Node.Operations[i]
			share := mix[names[i]]
			billed := share * op.PriorityWeight
			all, allValue = all+share, allValue+billed
			switch s.Form {
			case admission.Complete:
				fmt.Fprint(t, "\twhole")
			case admission.Shed:
				fmt.Fprint(t, "\trefused")
				work, value = work+share, value+billed
			case admission.Reduced:
				fmt.Fprintf(t, "\t%s (work %g %%, value %g %%)", p.Forms[k][i], 100*s.WorkShare, 100*s.WeightShare)
				work, value = work+(1-s.WorkShare)*share, value+(1-s.WeightShare)*billed
			}
		}
		var enter []string
		for c := range r.Enter {
			enter = append(enter, tell(&r.Enter[c], ">"))
		}
		fmt.Fprintf(t, "\t%.0f %%\t%.0f %%\t%s\t%s\n", 100*work/max(all, 1e-9), 100*value/max(allValue, 1e-9), strings.Join(enter, " or "),
			tell(&r.Exit, "<"))
	}
	fmt.Fprintf(t, "held for %s after the last need, %s at the most\n", span(p.MinHold), span(p.MaxHold))
	return t.Flush()
}

func tell(c *degradation.Condition, sign string) string {
	var list []string
	for k, b := range c.Limits {
		if !math.IsNaN(b) {
			list = append(list, fmt.Sprintf("%s %s %g %%", degradation.SignalNames[k], sign, 100*b))
		}
	}
	return strings.Join(list, " and ") + " for " + span(c.Duration)
}

func span(ns int64) string { return fmt.Sprintf("%g s", float64(ns)/1e9) }
