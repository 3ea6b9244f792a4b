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
	degradationSeedSalt = 0x6c6576656c73 // "levels" in ASCII; makes the random numbers of degradation independent of others from the node's seed
	nsPerSecond         = 1_000 * ms
)

// DegradationPlan is a plan of degradation levels, with the names by which the executor knows the reduced forms of operations.
type DegradationPlan struct {
	degradation.Plan
	Forms      [][]string // executor's name of the reduced form, by level above full service and by operation
	SourceText string     // text that the plan was read from; a plan with the same non-empty text is the same plan

	Operations []string // names of operations by their index in Level.Services and Forms; nil for the node's own indices
}

// ServiceCounts counts the answers at one degradation level.
type ServiceCounts struct {
	Level            string `json:"level"`
	Seconds          int64  `json:"seconds"` // time in the level, rounded down
	Full             int    `json:"whole"`
	Reduced          int    `json:"reduced"`
	ThrottledByLevel int    `json:"levelled"`  // throttled because the level sheds the operation
	ThrottledOther   int    `json:"throttled"` // throttled for any other reason
	Entered          int    `json:"entered"`   // how often the level was entered
}

// add adds the answers of a period to the totals of its level.
func (c *ServiceCounts) add(period *ServiceCounts) {
	c.Full += period.Full
	c.Reduced += period.Reduced
	c.ThrottledByLevel += period.ThrottledByLevel
	c.ThrottledOther += period.ThrottledOther
}

// LevelChange describes a change of the level or of the plan.
type LevelChange struct {
	degradation.Change
	Plan           string
	FromName       string
	ToName         string
	Metrics        admission.LoadMetrics
	LevelLoads     []float64     // estimated load at each level, full service first
	PreviousCounts ServiceCounts // answers since the previous change; Seconds is 0 if the plan was replaced
}

// String returns a summary in one line.
func (c *LevelChange) String() string {
	return fmt.Sprintf("level %s to %s: %s", c.FromName, c.ToName, degradation.CauseNames[c.Cause])
}

// degradationState runs the degradation controller and counts the answers at each level. The zero value has no plan.
type degradationState struct {
	plan          *DegradationPlan  // plan in force, by this node's operation indices
	originalPlan  *DegradationPlan  // the same plan, by the indices of originalNames
	originalNames *nodeconfig.Names // operation names by index in originalPlan
	controller    *degradation.Controller
	random        *rand.Rand
	metrics       admission.LoadMetrics
	countsByLevel []ServiceCounts // by level since the plan was adopted, without currentCounts
	currentCounts ServiceCounts   // since the last change of level
	timeByLevel   []int64         // ns, without the time since enteredAt
	enteredAt     int64
}

// enabled reports whether there is a plan.
func (ds *degradationState) enabled() bool { return ds.plan != nil }

// level returns the level in force, 0 for full service.
func (ds *degradationState) level() int {
	if ds.controller == nil {
		return 0
	}
	return ds.controller.Level()
}

// levelName returns the name of the level in force, empty without a plan.
func (ds *degradationState) levelName() string {
	if ds.plan == nil {
		return ""
	}
	return ds.plan.LevelName(ds.level())
}

// loadByLevel returns the estimated load at each level, full service first. There must be a plan.
func (ds *degradationState) loadByLevel() []float64 { return ds.controller.LoadByLevel() }

// applyPlan replaces the plan in force. A nil plan ends degradation, an invalid one changes nothing.
func (sm *StateMachine) applyPlan(plan *DegradationPlan) {
	ds := &sm.degradation
	if plan != nil && ds.plan != nil && plan.SourceText != "" && plan.SourceText == ds.plan.SourceText {
		return // unchanged, so the controller keeps its state
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
		sm.log(Warn, "degradation plan is invalid; keeping the previous one", "",
			fmt.Errorf("%v: %s", problems[0].Path, problems[0].Description))
		return
	}
	sm.adoptPlan(remapPlan(plan, names, sm.config.Operations), plan, names)
}

// adoptPlan puts a plan into force: plan is by this node's operation indices, originalPlan is the same plan by those of originalNames.
func (sm *StateMachine) adoptPlan(plan, originalPlan *DegradationPlan, originalNames *nodeconfig.Names) {
	ds := &sm.degradation
	if ds.random == nil {
		ds.random = rand.New(rand.NewSource(sm.config.Node.Seed ^ degradationSeedSalt))
	}
	if plan == nil && ds.plan == nil {
		return
	}
	event := &LevelChange{FromName: ds.levelName(), PreviousCounts: ds.currentCounts}
	controller, change := ds.controllerForPlan(plan, sm.now)
	event.Change = change
	if ds.plan != nil {
		ds.closePeriod(sm.now, ds.level())
	}
	ds.originalPlan = originalPlan
	ds.originalNames = originalNames
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

// controllerForPlan returns the controller for a plan, nil without a plan, and the change of level that adopting the plan causes. The
// caller stores them.
func (ds *degradationState) controllerForPlan(plan *DegradationPlan, now int64) (*degradation.Controller, degradation.Change) {
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

// closePeriod adds the counts and the time since the last change to the totals of the level that ends.
func (ds *degradationState) closePeriod(now int64, level int) {
	total := &ds.countsByLevel[level]
	total.add(&ds.currentCounts)
	ds.timeByLevel[level] += now - ds.enteredAt
	total.Seconds = ds.timeByLevel[level] / nsPerSecond
}

// startPeriod resets the counts for the level in force.
func (ds *degradationState) startPeriod(now int64) {
	ds.currentCounts = ServiceCounts{}
	ds.enteredAt = now
	if ds.plan != nil {
		ds.countsByLevel[ds.level()].Entered++
		ds.currentCounts.Level = ds.levelName()
	}
}

// stepDegradation steps the degradation controller and applies a change of level.
func (sm *StateMachine) stepDegradation() {
	ds := &sm.degradation
	if ds.controller == nil || sm.controller == nil || sm.drain.isRequested() { // a draining node keeps its level: it will soon stop accepting work
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
		ToName: ds.plan.LevelName(change.To), Metrics: ds.metrics, LevelLoads: ds.controller.LoadByLevel(), PreviousCounts: before})
}

// applyLevel passes the level in force to the admission controller and reports the change.
func (sm *StateMachine) applyLevel(change *LevelChange) {
	if sm.controller != nil {
		sm.events = append(sm.events, sm.degradation.levelSetEvent())
	}
	sm.emit(Effect{Kind: PublishLevelChange, LevelChange: change})
}

// levelSetEvent returns the event that tells the admission controller how the level in force serves each operation.
func (ds *degradationState) levelSetEvent() admission.Event {
	e := admission.Event{Kind: admission.DegradationLevelSet}
	if ds.plan != nil {
		e.Services = ds.plan.Services(ds.level())
		e.UseSpareCapacity = ds.plan.UseSpareCapacity
	}
	return e
}

// executorOperation returns the name by which the executor knows an operation in a form. For a reduced form it also returns the name of
// the level.
func (sm *StateMachine) executorOperation(operation string, form admission.Form) (name, levelName string) {
	ds := &sm.degradation
	if form != admission.Reduced || ds.level() == 0 {
		return operation, ""
	}
	i, _ := sm.config.Operations.Lookup(operation) // finds operations out of service too: their invocations can still start runs
	name = ds.plan.Forms[ds.level()-1][i]
	if !sm.Invariants.Check(name != "", "the plan has an executor's name for each reduced run") {
		return operation, ""
	}
	return name, ds.levelName()
}

// countAnswer counts a success or a throttle at the level in force. Answers with an error are not counted.
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

// ServiceCountsByLevel returns the counts of answers at each level since the plan was adopted, nil without a plan. They include the
// current period.
func (sm *StateMachine) ServiceCountsByLevel() []ServiceCounts {
	if sm.degradation.plan == nil {
		return nil
	}
	ds := sm.degradation // a copy, so that closing the period doesn't change the state
	ds.countsByLevel = slices.Clone(ds.countsByLevel)
	ds.timeByLevel = slices.Clone(ds.timeByLevel)
	ds.closePeriod(sm.now, ds.level())
	return ds.countsByLevel
}
