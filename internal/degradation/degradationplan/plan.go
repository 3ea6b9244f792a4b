// Package degradationplan reads the file in which operators define the degradation levels of a node, and prints it as a table. Package
// degradation decides which of the levels is in force.
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

// Defaults of settings that a plan file may leave out. Durations are in nanoseconds.
const (
	defaultMinHold       = 10_000_000_000
	defaultMaxHold       = 120_000_000_000
	defaultHoldGapFactor = 1.25
	defaultGapHalfLife   = 900_000_000_000
	defaultTrialPeriod   = 3_000_000_000
	defaultJitter        = 0.4
	defaultIdleLoad      = 0.3 // share of the cores
	defaultIdleTime      = 1_000_000_000
)

// Read evaluates a Jsonnet or JSON file in this process and returns its plan for the given operations.
func Read(path string, operations *nodeconfig.Names) (*node.DegradationPlan, error) {
	file, err := configfile.Read(path)
	if err != nil {
		return nil, err
	}
	return Parse(file, operations)
}

// Parse returns the plan of an evaluated file for the given operations. The error lists the problems of
// the first check that fails: schema, operations and forms, or levels.
func Parse(file *configfile.File, operations *nodeconfig.Names) (*node.DegradationPlan, error) {
	if err := file.Check(schema()); err != nil {
		return nil, err
	}
	var source planFile
	if err := file.Into(&source); err != nil {
		return nil, err
	}
	b := &planBuilder{file: file, source: &source, operations: operations, names: operations.All()}
	b.plan = &node.DegradationPlan{SourceText: string(file.JSON), Operations: b.names, Plan: source.settings()}
	if b.plan.Name == "" {
		b.plan.Name = file.Path
	}
	for k := range source.Levels {
		b.addLevel(k)
	}
	if len(b.problems) == 0 { // with problems found already, this would report others that only follow from them
		for _, p := range b.plan.Validate(operations.Slots()) {
			b.problems = append(b.problems, file.At(p.Path, p.Description, p.Suggestion))
		}
	}
	if len(b.problems) > 0 {
		return nil, b.problems
	}
	return b.plan, nil
}

// settings returns the plan without its levels.
func (f *planFile) settings() degradation.Plan {
	p := degradation.Plan{
		Name:             f.Name,
		UseSpareCapacity: f.Spare,
		IdleCondition:    degradation.Condition{Limits: degradation.NoLimits(), Duration: defaultIdleTime},
		MinHold:          timeOrDefault(f.Hold, defaultMinHold),
		MaxHold:          timeOrDefault(f.HoldMost, defaultMaxHold),
		HoldGapFactor:    defaultHoldGapFactor,
		GapHalfLife:      timeOrDefault(f.Forget, defaultGapHalfLife),
		TrialPeriod:      timeOrDefault(f.Proof, defaultTrialPeriod),
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

// timeOrDefault returns a time of the file in nanoseconds, or the default if the file leaves it out.
func timeOrDefault(t *configfile.Time, defaultTime int64) int64 {
	if t == nil {
		return defaultTime
	}
	return int64(*t)
}

// planBuilder builds a plan from its file and collects the problems of the file.
type planBuilder struct {
	file       *configfile.File
	source     *planFile
	operations *nodeconfig.Names
	names      []string // names of the operations
	plan       *node.DegradationPlan
	problems   configfile.ProblemErrors
}

func (b *planBuilder) addProblem(path []string, description, suggestion string) {
	b.problems = append(b.problems, b.file.At(path, description, suggestion))
}

// operationIndex returns the index of an operation that the file names at a path. It adds a problem if there is no such operation.
func (b *planBuilder) operationIndex(name string, path []string) (index int32, known bool) {
	index, known = b.operations.Lookup(name)
	if known {
		return index, true
	}
	suggestion := "the operations are " + strings.Join(b.names, ", ")
	if nearest := configfile.Nearest(name, b.names); nearest != "" {
		suggestion = fmt.Sprintf("did you mean %q?", nearest)
	}
	b.addProblem(path, fmt.Sprintf("no operation is named %q", name), suggestion)
	return index, false
}

// levelPath returns the path of a value within a level.
func levelPath(k int, path ...string) []string {
	return append([]string{"levels", fmt.Sprint(k)}, path...)
}

// addLevel appends level k of the file to the plan.
func (b *planBuilder) addLevel(k int) {
	entry := &b.source.Levels[k]
	level := degradation.Level{Name: entry.Name, Services: make([]admission.Service, len(b.names)), Exit: entry.Exit.condition()}
	formNames := make([]string, len(b.names))
	for j, name := range entry.Refuse {
		if i, known := b.operationIndex(name, levelPath(k, "refuse", fmt.Sprint(j))); known {
			level.Services[i], formNames[i] = b.shedService(k, i)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(entry.Reduce)) {
		path := levelPath(k, "reduce", name)
		i, known := b.operationIndex(name, path)
		if known && b.validateReduced(name, path, &level.Services[i], entry.Reduce[name]) {
			form := entry.Reduce[name]
			level.Services[i] = admission.Service{Form: admission.Reduced, WorkShare: float64(form.Work), WeightShare: float64(form.Value)}
			formNames[i] = form.Form
		}
	}
	for j := range entry.Enter {
		level.Enter = append(level.Enter, entry.Enter[j].condition())
	}
	b.plan.Levels = append(b.plan.Levels, level)
	b.plan.Forms = append(b.plan.Forms, formNames)
}

// shedService returns the service of an operation that level k sheds. Where the plan uses spare capacity, the operation keeps the form
// of the next milder level, in which it is served while there is spare capacity.
func (b *planBuilder) shedService(k int, operation int32) (service admission.Service, formName string) {
	service.Form = admission.Shed
	if k == 0 || !b.source.Spare {
		return service, ""
	}
	previous := &b.plan.Levels[k-1].Services[operation]
	service.WorkShare = previous.WorkShare
	service.WeightShare = previous.WeightShare
	return service, b.plan.Forms[k-1][operation]
}

// validateReduced reports whether the reduced form of an operation is valid. It adds a problem if it is not.
func (b *planBuilder) validateReduced(name string, path []string, service *admission.Service, form reducedEntry) bool {
	switch {
	case service.Form == admission.Shed:
		b.addProblem(path, "is listed under refuse too", "remove it from refuse or from reduce")
	case !b.source.FormsKnown:
		b.addProblem(path, "requires an executor that supports reduced forms, and callers that support the field \"level\" of answers",
			"set forms_known: true if they do, otherwise list the operation under refuse")
	case form.Work <= 0 || form.Work >= 1 || form.Value <= 0 || form.Value > 1:
		b.addProblem(path, fmt.Sprintf("leaves %g %% of the work and %g %% of the value", 100*form.Work, 100*form.Value),
			"work must be above 0 % and below 100 %, value above 0 % and at most 100 %")
	case form.Form == name:
		b.addProblem(path, "has the complete operation as its reduced form", "use the name that the executor has for the reduced form")
	default:
		return true
	}
	return false
}
