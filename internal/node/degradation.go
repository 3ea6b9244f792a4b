package node

import (
	"fmt"
	"math/rand"
	"slices"

	"topazpost/internal/admission"
	"topazpost/internal/degradation"
	"topazpost/internal/nodeconfig"
)

const (
	degradationSeedSalt = 0x6c6576656c73 // keeps the draws for degradation apart from others of the same seed
	nsPerSecond         = 1_000 * ms
)

// DegradationPlan is a plan of degradation levels with the names of the reduced forms of operations.
type DegradationPlan struct {
	degradation.Plan
	Forms      [][]string // by level above full service and operation: the reduced form as the executor knows it
	SourceText string     // what it was read from; a plan of the same text is the same plan

	Operations []string // by the index that Level.Services and Forms go by; nil where that is the node's own
}

// ServiceCounts counts the answers given at one level of service.
type ServiceCounts struct {
	Level            string `json:"level"`
	Seconds          int64  `json:"seconds"` // spent in it, whole
	Full             int    `json:"whole"`
	Reduced          int    `json:"reduced"`
	ThrottledByLevel int    `json:"levelled"`  // throttled by the level
	ThrottledOther   int    `json:"throttled"` // throttled for any other reason
	Entered          int    `json:"entered"`
}

// add adds the answers of a period to those of its level.
func (c *ServiceCounts) add(period *ServiceCounts) {
	c.Full += period.Full
	c.Reduced += period.Reduced
	c.ThrottledByLevel += period.ThrottledByLevel
	c.ThrottledOther += period.ThrottledOther
}

// LevelChange describes a change of level, or of the plan.
type LevelChange struct {
	degradation.Change
	Plan           string
	FromName       string
	ToName         string
	Metrics        admission.LoadMetrics
	LoadByLevel    []float64     // at each level, full service first
	PreviousCounts ServiceCounts // of the period that ends
}

// String is a one-line summary.
func (c *LevelChange) String() string {
	return fmt.Sprintf("level %s to %s: %s", c.FromName, c.ToName, degradation.CauseNames[c.Cause])
}

// degradationState runs the degradation controller and counts what was served at each level; the zero value has no plan.
type degradationState struct {
	plan          *DegradationPlan  // by this node's operation indices
	originalPlan  *DegradationPlan  // by the indices it was written for
	originalNames *nodeconfig.Names // of those
	controller    *degradation.Controller
	random        *rand.Rand
	metrics       admission.LoadMetrics
	countsByLevel []ServiceCounts // by level, since the plan was adopted
	currentCounts ServiceCounts   // since the last change
	timeByLevel   []int64         // ns
	enteredAt     int64
}

// enabled says whether there is a plan.
func (ds *degradationState) enabled() bool { return ds.plan != nil }

// level is the level in force, 0 for full service.
func (ds *degradationState) level() int {
	if ds.controller == nil {
		return 0
	}
	return ds.controller.Level()
}

// levelName is the name of the level in force, empty without a plan.
func (ds *degradationState) levelName() string {
	if ds.plan == nil {
		return ""
	}
	return ds.plan.LevelName(ds.level())
}

// loadByLevel is the load at each level, full service first. There must be a plan.
func (ds *degradationState) loadByLevel() []float64 { return ds.controller.LoadByLevel() }

// applyPlan adopts a plan in place of the present one; nil ends degradation. An invalid plan changes nothing.
func (sm *StateMachine) applyPlan(plan *DegradationPlan) {
	ds := &sm.degradation
	if plan != nil && ds.plan != nil && plan.SourceText != "" && plan.SourceText == ds.plan.SourceText {
		return // the controller keeps what it learnt
	}
	if plan == nil {
		sm.adoptPlan(nil, nil, nil)
		return
	}
	names := nodeconfig.NewNames(plan.Operations...)
	if plan.Operations == nil {
		names = nodeconfig.NewNames(sm.config.Operations.All()...)
	}
	if problems := plan.Validate(names.Slots()); len(problems) > 0 {
		sm.log(Warn, "plan of levels can't be used, the one of before stays", "",
			fmt.Errorf("%v: %s", problems[0].Path, problems[0].Description))
		return
	}
	sm.adoptPlan(remapPlan(plan, names, sm.config.Operations), plan, names)
}

// adoptPlan puts a plan into force that was fitted to this node's operations.
func (sm *StateMachine) adoptPlan(plan, given *DegradationPlan, givenNames *nodeconfig.Names) {
	ds := &sm.degradation
	if ds.random == nil {
		ds.random = rand.New(rand.NewSource(sm.config.Node.Seed ^ degradationSeedSalt))
	}
	if plan == nil && ds.plan == nil {
		return
	}
	event := &LevelChange{FromName: ds.levelName(), PreviousCounts: ds.currentCounts}
	controller, change := ds.replaceController(plan, sm.now)
	event.Change = change
	if ds.plan != nil {
		ds.closePeriod(sm.now, ds.level())
	}
	ds.originalPlan = given
	ds.originalNames = givenNames
	ds.plan = plan
	ds.controller = controller
	ds.countsByLevel = nil
	ds.timeByLevel = nil
	ds.enteredAt = sm.now
	if plan != nil {
		ds.countsByLevel = make([]ServiceCounts, len(plan.Levels)+1)
		ds.timeByLevel = make([]int64, len(plan.Levels)+1)
		for level := range ds.countsByLevel {
			ds.countsByLevel[level].Level = plan.LevelName(level)
		}
		event.Plan = plan.Name
		event.ToName = plan.LevelName(change.To)
	}
	ds.startPeriod(sm.now)
	sm.applyLevel(event)
}

// replaceController is the controller of another plan, nil for none, and the change of level that it comes with.
func (ds *degradationState) replaceController(plan *DegradationPlan, now int64) (*degradation.Controller, degradation.Change) {
	change := degradation.Change{Cause: degradation.PlanReplaced}
	if plan == nil {
		change.From = ds.level()
		change.PreviousLevelDuration = now - ds.enteredAt
		return nil, change
	}
	if ds.controller == nil {
		return degradation.NewController(&plan.Plan, now, ds.random), change
	}
	return ds.controller.ReplacePlan(&plan.Plan, now, ds.random)
}

// closePeriod adds the period that ends to the totals of its level.
func (ds *degradationState) closePeriod(now int64, level int) {
	total := &ds.countsByLevel[level]
	total.add(&ds.currentCounts)
	ds.timeByLevel[level] += now - ds.enteredAt
	total.Seconds = ds.timeByLevel[level] / nsPerSecond
}

// startPeriod starts counting at the level in force.
func (ds *degradationState) startPeriod(now int64) {
	ds.currentCounts = ServiceCounts{}
	ds.enteredAt = now
	if ds.plan != nil {
		ds.countsByLevel[ds.level()].Entered++
		ds.currentCounts.Level = ds.levelName()
	}
}

// stepDegradation steps the degradation controller on each tick, and applies a change of level.
func (sm *StateMachine) stepDegradation() {
	ds := &sm.degradation
	if ds.controller == nil || sm.controller == nil || sm.drain.isRequested() { // a drain stays at its level: intake ends soon
		return
	}
	sm.controller.MeasureLoad(&ds.metrics)
	change, changed := ds.controller.Step(sm.now, &ds.metrics)
	if !changed {
		return
	}
	before := ds.currentCounts
	before.Seconds = change.PreviousLevelDuration / nsPerSecond
	ds.closePeriod(sm.now, change.From)
	ds.startPeriod(sm.now)
	sm.applyLevel(&LevelChange{Change: change, Plan: ds.plan.Name, FromName: ds.plan.LevelName(change.From),
		ToName: ds.plan.LevelName(change.To), Metrics: ds.metrics, LoadByLevel: ds.controller.LoadByLevel(), PreviousCounts: before})
}

// applyLevel has the admission controller apply the level in force, and reports the change.
func (sm *StateMachine) applyLevel(change *LevelChange) {
	if sm.controller != nil {
		sm.events = append(sm.events, sm.degradation.levelSetEvent())
	}
	sm.emit(Effect{Kind: LevelChanged, LevelChange: change})
}

// levelSetEvent is the event for the admission controller of what the level in force leaves of each operation.
func (ds *degradationState) levelSetEvent() admission.Event {
	e := admission.Event{Kind: admission.DegradationLevelSet}
	if ds.plan != nil {
		e.Services = ds.plan.Services(ds.level())
		e.UseSpareCapacity = ds.plan.UseSpareCapacity
	}
	return e
}

// executorOperation is the name that an operation's run has at the executor, and the level's name where that is a reduced form.
func (sm *StateMachine) executorOperation(op string, form admission.Form) (class, level string) {
	ds := &sm.degradation
	if form != admission.Reduced || ds.level() == 0 {
		return op, ""
	}
	i, _ := sm.config.Operations.Lookup(op) // one that is out of service is known while it runs
	class = ds.plan.Forms[ds.level()-1][i]
	if !sm.Invariants.Check(class != "", "a reduced run has a form that the executor knows") {
		return op, ""
	}
	return class, ds.levelName()
}

// countAnswer counts an answer at the level in force.
func (ds *degradationState) countAnswer(succeeded, reduced bool, reason admission.Reason) {
	switch {
	case ds.plan == nil:
	case succeeded && reduced:
		ds.currentCounts.Reduced++
	case succeeded:
		ds.currentCounts.Full++
	case reason == admission.ReasonDegraded:
		ds.currentCounts.ThrottledByLevel++
	default:
		ds.currentCounts.ThrottledOther++
	}
}

// ServiceCountsByLevel returns the counts of answers at each level since the plan was adopted, nil without a plan.
func (sm *StateMachine) ServiceCountsByLevel() []ServiceCounts {
	if sm.degradation.plan == nil {
		return nil
	}
	ds := sm.degradation // a copy, in which the current period is closed
	ds.countsByLevel = slices.Clone(ds.countsByLevel)
	ds.timeByLevel = slices.Clone(ds.timeByLevel)
	ds.closePeriod(sm.now, ds.level())
	return ds.countsByLevel
}
