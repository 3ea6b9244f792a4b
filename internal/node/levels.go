package node

import (
	"fmt"
	"math/rand"
	"slices"

	"topazpost/internal/admission"
	"topazpost/internal/degradation"
	"topazpost/internal/nodeconfig"
)

// DegradationPlan is a ladder of levels together with the names that this door needs of it.
type DegradationPlan struct {
	degradation.Plan
	Forms [][]string // by level above full service and operation: the reduced form as the executor knows it
	Text  string     // what it was read from; one of the same text is no other plan

	Operations []string // by the index that Rung.Service and Forms go by; nil where that is the node's own
}

// ServiceCounts counts what was answered at one level of service.
type ServiceCounts struct {
	Level     string `json:"level"`
	Seconds   int64  `json:"seconds"` // in it, whole
	Whole     int    `json:"whole"`
	Reduced   int    `json:"reduced"`
	Levelled  int    `json:"levelled"`  // throttled by the level
	Throttled int    `json:"throttled"` // throttled for any other reason
	Entered   int    `json:"entered"`
}

// LevelChange tells of a change of level, or of the plan.
type LevelChange struct {
	degradation.Change
	Plan, FromName, ToName string
	Signals                admission.LoadMetrics
	Loads                  []float64     // at each level, full service first
	Before                 ServiceCounts // in the stay that ends
}

// degradationState is the door's state of the levels; the zero value has no plan.
type degradationState struct {
	plan        *DegradationPlan
	given       *DegradationPlan  // as it was given
	givenNames  *nodeconfig.Names // of operations, by index in the source
	steps       *degradation.Controller
	random      *rand.Rand
	metrics     admission.LoadMetrics
	totals      []ServiceCounts // by level, since the plan was taken
	current     ServiceCounts   // since the last change
	timeByLevel []int64         // ns in each level
	enteredAt   int64
}

// applyPlan takes a plan, or another one; nil ends the levels. A plan that does not fit the operations changes nothing.
func (sm *StateMachine) applyPlan(plan *DegradationPlan) {
	l := &sm.degradation
	if plan != nil && l.plan != nil && plan.Text != "" && plan.Text == l.plan.Text {
		return // what was learnt of it stays
	}
	source, names := plan, (*nodeconfig.Names)(nil)
	if plan != nil {
		if names = nodeconfig.NewNames(plan.Operations...); plan.Operations == nil {
			names = nodeconfig.NewNames(sm.config.Operations.All()...)
		}
		if faults := plan.Validate(names.Slots()); len(faults) > 0 {
			sm.log(Warn, "plan of levels can't be used, the one of before stays", "",
				fmt.Errorf("%v: %s", faults[0].Path, faults[0].Description))
			return
		}
		plan = fitPlan(plan, names, sm.config.Operations)
	}
	if l.random == nil {
		l.random = rand.New(rand.NewSource(sm.config.Node.Seed ^ 0x6c6576656c73))
	}
	change := degradation.Change{Cause: degradation.PlanReplaced}
	from := ""
	var steps *degradation.Controller
	switch {
	case plan == nil && l.plan == nil:
		return
	case plan == nil:
		from = l.plan.LevelName(l.steps.Level())
		change.From, change.PreviousTime = l.steps.Level(), sm.now-l.enteredAt
	case l.steps == nil:
		steps = degradation.NewController(&plan.Plan, sm.now, l.random)
	default:
		from = l.plan.LevelName(l.steps.Level())
		steps, change = l.steps.ReplacePlan(&plan.Plan, sm.now, l.random)
	}
	before := l.current
	if l.plan != nil {
		l.closePeriod(sm.now, l.steps.Level())
	}
	l.given, l.givenNames = source, names
	l.plan, l.steps, l.totals, l.timeByLevel, l.enteredAt = plan, steps, nil, nil, sm.now
	t := &LevelChange{Change: change, FromName: from, Before: before}
	if plan != nil {
		l.totals, l.timeByLevel = make([]ServiceCounts, len(plan.Levels)+1), make([]int64, len(plan.Levels)+1)
		for k := range l.totals {
			l.totals[k].Level = plan.LevelName(k)
		}
		t.Plan, t.ToName = plan.Name, plan.LevelName(change.To)
	}
	l.startPeriod(sm.now)
	sm.applyLevel(t)
}

// fitPlan is a plan by the indices of the node that takes it: those change in service, and need not be those of a file. What
// it says of operations that the node doesn't have counts for nothing.
func fitPlan(plan *DegradationPlan, names, to *nodeconfig.Names) *DegradationPlan {
	p := *plan
	p.Levels, p.Forms = slices.Clone(plan.Levels), make([][]string, len(plan.Levels))
	for k := range p.Levels {
		p.Levels[k].Services, p.Forms[k] = make([]admission.Service, to.Slots()), make([]string, to.Slots())
	}
	for i := range int32(to.Slots()) {
		if to.Has(i) {
			p.setOperation(i, to.Name(i), plan, names)
		}
	}
	return &p
}

// setOperation gives an index what the source says of the operation of a name.
func (p *DegradationPlan) setOperation(index int32, name string, source *DegradationPlan, names *nodeconfig.Names) {
	i, known := names.Lookup(name)
	for k := range p.Levels {
		more := make([]admission.Service, max(0, int(index)+1-len(p.Levels[k].Services)))
		p.Levels[k].Services, p.Forms[k] = append(p.Levels[k].Services, more...), append(p.Forms[k], make([]string, len(more))...)
		p.Levels[k].Services[index], p.Forms[k][index] = admission.Service{}, ""
		if known && int(i) < len(source.Levels[k].Services) {
			p.Levels[k].Services[index] = source.Levels[k].Services[i]
		}
		if known && k < len(source.Forms) && int(i) < len(source.Forms[k]) {
			p.Forms[k][index] = source.Forms[k][i]
		}
	}
}

// setOperation does so in the plan in force; without a name the index is no operation's any more.
func (l *degradationState) setOperation(index int32, name string) {
	if l.plan != nil {
		l.plan.setOperation(index, name, l.given, l.givenNames)
	}
}

// servicesOf is what the level in force leaves of an operation, nil for all of it.
func (l *degradationState) servicesOf(index int32) []admission.Service {
	if l.plan == nil {
		return nil
	}
	all := l.plan.Services(l.steps.Level())
	if int(index) >= len(all) {
		return nil
	}
	return all[index : index+1]
}

// closePeriod adds the stay that ends to the totals of its level.
func (l *degradationState) closePeriod(now int64, level int) {
	s := &l.totals[level]
	s.Whole, s.Reduced = s.Whole+l.current.Whole, s.Reduced+l.current.Reduced
	s.Levelled, s.Throttled = s.Levelled+l.current.Levelled, s.Throttled+l.current.Throttled
	l.timeByLevel[level] += now - l.enteredAt
	s.Seconds = l.timeByLevel[level] / (1_000 * ms)
}

func (l *degradationState) startPeriod(now int64) {
	l.current, l.enteredAt = ServiceCounts{}, now
	if l.plan != nil {
		l.totals[l.steps.Level()].Entered++
		l.current.Level = l.plan.LevelName(l.steps.Level())
	}
}

// stepDegradation steps the ladder on the beat, and tells the module of another level.
func (sm *StateMachine) stepDegradation() {
	l := &sm.degradation
	if l.steps == nil || sm.controller == nil || sm.drainRequested { // a drain stays at its level: intake ends soon
		return
	}
	sm.controller.MeasureLoad(&l.metrics)
	change, changed := l.steps.Step(sm.now, &l.metrics)
	if !changed {
		return
	}
	before := l.current
	before.Seconds = change.PreviousTime / (1_000 * ms)
	l.closePeriod(sm.now, change.From)
	l.startPeriod(sm.now)
	sm.applyLevel(&LevelChange{Change: change, Plan: l.plan.Name, FromName: l.plan.LevelName(change.From),
		ToName: l.plan.LevelName(change.To), Signals: l.metrics, Loads: l.steps.LoadByLevel(), Before: before})
}

func (sm *StateMachine) applyLevel(t *LevelChange) {
	if sm.controller != nil {
		sm.events = append(sm.events, sm.degradation.event())
	}
	sm.emit(Effect{Kind: LevelChanged, LevelChange: t})
}

// event tells the module what the level in force leaves of each operation.
func (l *degradationState) event() admission.Event {
	e := admission.Event{Kind: admission.DegradationLevelSet}
	if l.plan != nil {
		e.Services, e.UseSpareCapacity = l.plan.Services(l.steps.Level()), l.plan.UseSpareCapacity
	}
	return e
}

// formFor is the name that an operation's run has at the executor, and the level's name where that is a reduced formFor.
func (sm *StateMachine) formFor(op string, formFor admission.Form) (class, level string) {
	l := &sm.degradation
	if formFor != admission.Reduced || l.steps == nil || l.steps.Level() == 0 {
		return op, ""
	}
	level = l.plan.LevelName(l.steps.Level())
	i, _ := sm.config.Operations.Lookup(op) // one that is out of service is known while it runs
	class = l.plan.Forms[l.steps.Level()-1][i]
	if !sm.Invariants.Check(class != "", "a reduced run has a form that the executor knows") {
		return op, ""
	}
	return class, level
}

// count counts an answer for the level in force.
func (l *degradationState) count(succeeded, reduced bool, why admission.Reason) {
	switch {
	case l.plan == nil:
	case succeeded && reduced:
		l.current.Reduced++
	case succeeded:
		l.current.Whole++
	case why == admission.ReasonDegraded:
		l.current.Levelled++
	default:
		l.current.Throttled++
	}
}

// Levels is what was served at each level since the plan was taken, nil without a plan.
func (sm *StateMachine) Levels() []ServiceCounts {
	if sm.degradation.plan == nil {
		return nil
	}
	all := append([]ServiceCounts(nil), sm.degradation.totals...)
	l := sm.degradation
	l.totals, l.timeByLevel = all, append([]int64(nil), l.timeByLevel...)
	l.closePeriod(sm.now, l.steps.Level())
	return all
}

func (t *LevelChange) String() string {
	return fmt.Sprintf("level %s to %s: %s", t.FromName, t.ToName, degradation.CauseNames[t.Cause])
}
