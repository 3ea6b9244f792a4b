// Package degradationplan reads the plan of degradation levels that operators write, and shows it. It decides nothing.
package degradationplan

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"topazpost/internal/admission"
	"topazpost/internal/configfile"
	"topazpost/internal/degradation"
	"topazpost/internal/node"
	"topazpost/internal/nodeconfig"
)

// Defaults of what a plan leaves out. Times are nanoseconds.
const (
	defaultMinHold       = 10_000_000_000
	defaultMaxHold       = 120_000_000_000
	defaultHoldGapFactor = 1.25
	defaultGapHalfLife   = 900_000_000_000
	defaultProofTime     = 3_000_000_000
	defaultJitter        = 0.4
	defaultIdleLoad      = 0.3 // of the cores
	defaultIdleTime      = 1_000_000_000
)

// Read reads a plan for the operations of a config, evaluating the file in this process.
func Read(path string, operations *nodeconfig.Names) (*node.DegradationPlan, error) {
	file, err := configfile.Read(path)
	if err != nil {
		return nil, err
	}
	return Parse(file, operations)
}

// Parse reads a plan from a file that was evaluated. The error names all that is wrong with it.
func Parse(file *configfile.File, operations *nodeconfig.Names) (*node.DegradationPlan, error) {
	if err := file.Check(schema()); err != nil {
		return nil, err
	}
	var source planFile
	if err := file.Into(&source); err != nil {
		return nil, err
	}
	r := &reader{file: file, source: &source, operations: operations, names: operations.All()}
	r.plan = &node.DegradationPlan{SourceText: string(file.JSON), Operations: r.names, Plan: source.settings()}
	if r.plan.Name == "" {
		r.plan.Name = file.Path
	}
	for k := range source.Levels {
		r.addLevel(k)
	}
	if len(r.problems) == 0 { // else problems that follow from those would be reported too
		for _, p := range r.plan.Validate(operations.Slots()) {
			r.problems = append(r.problems, file.At(p.Path, p.Description, p.Suggestion))
		}
	}
	if len(r.problems) > 0 {
		return nil, r.problems
	}
	return r.plan, nil
}

// settings is the plan without its levels.
func (f *planFile) settings() degradation.Plan {
	p := degradation.Plan{
		Name:             f.Name,
		UseSpareCapacity: f.Spare,
		IdleCondition:    degradation.Condition{Limits: degradation.NoLimits(), Duration: defaultIdleTime},
		MinHold:          timeOr(f.Hold, defaultMinHold),
		MaxHold:          timeOr(f.HoldMost, defaultMaxHold),
		HoldGapFactor:    defaultHoldGapFactor,
		GapHalfLife:      timeOr(f.Forget, defaultGapHalfLife),
		TrialPeriod:      timeOr(f.Proof, defaultProofTime),
		Jitter:           defaultJitter,
	}
	p.IdleCondition.Limits[degradation.Load] = defaultIdleLoad
	if f.Idle != nil {
		p.IdleCondition = f.Idle.condition()
	}
	if f.Bridges != nil {
		p.HoldGapFactor = *f.Bridges
	}
	if f.Spread != nil {
		p.Jitter = float64(*f.Spread)
	}
	return p
}

func timeOr(t *configfile.Time, byDefault int64) int64 {
	if t == nil {
		return byDefault
	}
	return int64(*t)
}

// reader builds a plan and collects what is wrong with its file.
type reader struct {
	file       *configfile.File
	source     *planFile
	operations *nodeconfig.Names
	names      []string // of the operations
	plan       *node.DegradationPlan
	problems   configfile.ProblemErrors
}

func (r *reader) problem(path []string, description, suggestion string) {
	r.problems = append(r.problems, r.file.At(path, description, suggestion))
}

// operation is the index of an operation that a plan names at a path.
func (r *reader) operation(name string, path []string) (index int32, known bool) {
	index, known = r.operations.Lookup(name)
	if known {
		return index, true
	}
	suggestion := "the operations are " + strings.Join(r.names, ", ")
	if nearest := configfile.Nearest(name, r.names); nearest != "" {
		suggestion = fmt.Sprintf("did you mean %q?", nearest)
	}
	r.problem(path, fmt.Sprintf("no operation is named %q", name), suggestion)
	return index, false
}

// levelPath is the path of a part of a level.
func levelPath(k int, path ...string) []string {
	return append([]string{"levels", fmt.Sprint(k)}, path...)
}

// addLevel adds the next level to the plan.
func (r *reader) addLevel(k int) {
	entry := &r.source.Levels[k]
	level := degradation.Level{Name: entry.Name, Services: make([]admission.Service, len(r.names)), Exit: entry.Exit.condition()}
	forms := make([]string, len(r.names))
	for j, name := range entry.Refuse {
		if i, known := r.operation(name, levelPath(k, "refuse", fmt.Sprint(j))); known {
			level.Services[i], forms[i] = r.shed(k, i)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(entry.Reduce)) {
		path := levelPath(k, "reduce", name)
		i, known := r.operation(name, path)
		if known && r.validateReduced(name, path, &level.Services[i], entry.Reduce[name]) {
			form := entry.Reduce[name]
			level.Services[i] = admission.Service{Form: admission.Reduced, WorkShare: float64(form.Work), WeightShare: float64(form.Value)}
			forms[i] = form.Form
		}
	}
	for j := range entry.Enter {
		level.Enter = append(level.Enter, entry.Enter[j].condition())
	}
	r.plan.Levels = append(r.plan.Levels, level)
	r.plan.Forms = append(r.plan.Forms, forms)
}

// shed is the service of an operation that a level sheds. With spare capacity it is served in the form of the level before.
func (r *reader) shed(k int, operation int32) (service admission.Service, form string) {
	service.Form = admission.Shed
	if k == 0 || !r.source.Spare {
		return service, ""
	}
	before := &r.plan.Levels[k-1].Services[operation]
	service.WorkShare = before.WorkShare
	service.WeightShare = before.WeightShare
	return service, r.plan.Forms[k-1][operation]
}

// validateReduced checks the reduced form of an operation.
func (r *reader) validateReduced(name string, path []string, service *admission.Service, form reducedEntry) bool {
	switch {
	case service.Form == admission.Shed:
		r.problem(path, "is refused by the same level", "take it out of refuse or out of reduce")
	case !r.source.FormsKnown:
		r.problem(path, "needs an executor that knows reduced forms, and callers that know the field \"level\" of answers",
			"set forms_known: true if this installation does, else refuse instead")
	case form.Work <= 0 || form.Work >= 1 || form.Value <= 0 || form.Value > 1:
		r.problem(path, fmt.Sprintf("leaves %g %% of the work and %g %% of the value", 100*form.Work, 100*form.Value),
			"work must lie between 0 % and 100 %, value above 0 % and at 100 % at the most")
	case form.Form == name:
		r.problem(path, "names the whole operation as its reduced form", "name the form as the executor knows it")
	default:
		return true
	}
	return false
}
