// Package degradation decides at which level of degraded service a node runs, according to a plan that operators write. Each level sheds
// operations or serves them in a reduced form. The controller compares load metrics of the whole node with the conditions of the plan.
// It does not see single invocations, and takes the time as a parameter.
//
// A level is on trial after it was entered by a condition without a load limit. It is left again if the signal of that condition has not
// fallen enough by the end of the trial period.
package degradation

import (
	"math"
	"math/rand"

	"topazpost/internal/admission"
)

// Change describes a change of level.
type Change struct {
	From, To              int
	Signal                Signal  // first signal of the condition that caused the change; Load for WentIdle and PlanReplaced
	Value                 float64 // value of the signal
	Limit                 float64 // limit that the signal passed; for Ineffective, the value below which it should have fallen
	ConditionDuration     int64   // how long the condition held; for Ineffective, how long the trial lasted
	PreviousLevelDuration int64   // time spent at the level before the change
	Cause                 Cause
	HoldTime              int64 // how long the new level stays in force after it is last needed
}

// Cause states why the level changed.
type Cause uint8

// The causes of a change of level.
const (
	Entered      Cause = iota // in logs "entered": an enter condition of the level held
	Recovered                 // in logs "eased": the exit condition held, and the hold time is over
	WentIdle                  // in logs "idle": the idle condition held
	Ineffective               // in logs "futile": the trial of the level failed
	PlanReplaced              // in logs "plan": another plan was put into force
)

// CauseNames holds the name of each cause in logs.
var CauseNames = [...]string{"entered", "eased", "idle", "futile", "plan"}

const (
	reliefFactor       = 0.9               // a trial succeeds if the signal falls below this multiple of its value at entry
	retryDelayFactor   = 4                 // delay before the next trial of an ineffective level, in trial periods; doubled with each further failed trial
	maxCountedFailures = 4                 // failed trials in a row after which the delay grows no further
	maxGapFactor       = 2                 // the longest gap that is recorded when a level is entered again, as a multiple of MaxHold
	never              = math.MinInt64 / 4 // marks a time as not set; differences from it do not overflow
)

// levelState tracks the conditions of one level, and how the level fared in the past. Times are in nanoseconds.
type levelState struct {
	enterSince          []int64 // for each enter condition: when its signals rose above its limits, or never if they are not above
	exitSince           int64   // when the signals fell below the limits of the exit condition, or never if they are not below
	neededAt            int64   // when the signals were last above the limits of an enter condition
	neededBeforeLeaving int64   // neededAt at the time the level was last left; that time itself if the level was never needed
	gap                 float64 // time between two moments at which the level was needed, as of gapRecordedAt
	gapRecordedAt       int64
	retryAt             int64 // earliest time at which the level may be entered on trial
	failedTrials        int   // in a row, at most maxCountedFailures
}

// Controller decides on the level of one node. Level 0 is full service.
type Controller struct {
	plan         *Plan
	states       []levelState // of level 1 and up: the state of level n has index n-1
	loads        []float64    // load that the node would have at each level, full service first
	level        int
	levelSince   int64
	idleSince    int64 // when the signals fell below the limits of the idle condition, or never if they are not
	jitterFactor float64

	entrySignal Signal  // signal for which the present level was entered
	entryValue  float64 // value of that signal at entry
	trialOver   bool    // false from the start of a trial to its evaluation
}

// NewController returns a controller at full service. It draws one number from random, for the jitter of this node's hold times.
func NewController(plan *Plan, now int64, random *rand.Rand) *Controller {
	c := &Controller{plan: plan, levelSince: now, idleSince: never, trialOver: true, loads: make([]float64, len(plan.Levels)+1),
		states: make([]levelState, len(plan.Levels)), jitterFactor: 1 + plan.Jitter*(random.Float64()-0.5)}
	for k := range c.states {
		enterSince := make([]int64, len(plan.Levels[k].Enter))
		for i := range enterSince {
			enterSince[i] = never
		}
		c.states[k] = levelState{enterSince: enterSince, exitSince: never, neededAt: never, neededBeforeLeaving: never, gapRecordedAt: now, retryAt: never}
	}
	return c
}

// Level returns the level in force, 0 for full service.
func (c *Controller) Level() int { return c.level }

// LoadByLevel returns the load that the node would have at each level, full service first, as of the last step. The next step
// overwrites the slice.
func (c *Controller) LoadByLevel() []float64 { return c.loads }

// Step applies the metrics measured at a time and returns the resulting change of level, if any. If the node is idle, it changes to full
// service and enters no level. Otherwise it changes at once to the most restrictive level with an enter condition that calls for it, or
// back by one level.
func (c *Controller) Step(now int64, m *admission.LoadMetrics) (Change, bool) {
	c.computeLoads(m)
	due := c.updateConditions(now, m)
	if c.isIdle(now, m) {
		return c.leaveWhenIdle(now)
	}
	if due > c.level {
		return c.enter(now, due, m), true
	}
	if c.level == 0 {
		return Change{}, false
	}
	if change, ineffective := c.evaluateTrial(now, m); ineffective {
		return change, true
	}
	return c.leaveIfRecovered(now, m)
}

// leaveWhenIdle changes to full service.
func (c *Controller) leaveWhenIdle(now int64) (Change, bool) {
	if c.level == 0 {
		return Change{}, false
	}
	return c.changeLevel(now, 0, Change{Cause: WentIdle, Signal: Load, Value: c.loads[0], Limit: c.plan.IdleCondition.Limits[Load],
		ConditionDuration: now - c.idleSince}), true
}

// leaveIfRecovered changes to the next milder level if the exit condition has held for its duration, and both the hold time since the level
// was last needed and the minimum hold time since it was entered are over.
func (c *Controller) leaveIfRecovered(now int64, m *admission.LoadMetrics) (Change, bool) {
	s := &c.states[c.level-1]
	exit := &c.plan.Levels[c.level-1].Exit
	held := s.exitSince != never && now-s.exitSince >= exit.Duration
	if !held || now-s.neededAt < c.HoldTime(now) || now-c.levelSince < c.jittered(c.plan.MinHold) {
		return Change{}, false
	}
	signal := exit.firstSignal()
	return c.changeLevel(now, c.level-1, Change{Cause: Recovered, Signal: signal, Value: c.signalValue(signal, c.level, m), Limit: exit.Limits[signal],
		ConditionDuration: now - s.exitSince}), true
}

// updateConditions updates the condition times of all levels and returns the most restrictive level that is
// due, or 0.
func (c *Controller) updateConditions(now int64, m *admission.LoadMetrics) (due int) {
	for k := range c.states {
		if c.updateEnterConditions(now, k+1, m) {
			due = k + 1
		}
		s := &c.states[k]
		if !c.allBelow(&c.plan.Levels[k].Exit.Limits, k+1, m) {
			s.exitSince = never
		} else if s.exitSince == never {
			s.exitSince = now
		}
	}
	return due
}

// updateEnterConditions updates the times of a level's enter conditions and reports whether the level is due: one of
// the conditions has held for its duration and may enter the level.
func (c *Controller) updateEnterConditions(now int64, level int, m *admission.LoadMetrics) (due bool) {
	s := &c.states[level-1]
	conditions := c.plan.Levels[level-1].Enter
	for i := range conditions {
		condition := &conditions[i]
		if !c.allAbove(&condition.Limits, level, m) {
			s.enterSince[i] = never
			continue
		}
		gap := now - s.neededAt
		if level <= c.level && s.neededAt != never && gap > c.plan.MinHold {
			c.recordGap(now, level, gap) // the level was held through this gap, which confirms that gaps of this length occur
		}
		s.neededAt = now
		if s.enterSince[i] == never {
			s.enterSince[i] = now
		}
		if now-s.enterSince[i] >= condition.Duration && (condition.hasLoadLimit() || c.mayEnterOnTrial(now, level)) {
			due = true
		}
	}
	return due
}

// mayEnterOnTrial reports whether a level may be entered by a condition without a load limit. It can happen that no level lowers the
// signals of such a condition, for example if a dependency is slow. The node must then not end up at its most restrictive level. Levels are therefore
// tried one at a time, each only after the trial of the previous one has ended. The cost is that a level which lowers
// the signal too little by itself is left again, even if several levels together would lower it enough.
func (c *Controller) mayEnterOnTrial(now int64, level int) bool {
	return c.trialOver && now >= c.states[level-1].retryAt && level <= c.level+1
}

// isIdle reports whether the idle condition of the plan has held for its duration.
func (c *Controller) isIdle(now int64, m *admission.LoadMetrics) bool {
	if !c.allBelow(&c.plan.IdleCondition.Limits, 1, m) {
		c.idleSince = never
		return false
	}
	if c.idleSince == never {
		c.idleSince = now
	}
	return now-c.idleSince >= c.plan.IdleCondition.Duration
}

// enter changes to a more restrictive level. For each level that comes into force less than maxGapFactor times MaxHold after it was
// last needed, it records that time as a gap, so that the level is held longer next time.
func (c *Controller) enter(now int64, level int, m *admission.LoadMetrics) Change {
	for k := c.level; k < level; k++ {
		neededBeforeLeaving := c.states[k].neededBeforeLeaving
		if neededBeforeLeaving != never && now-neededBeforeLeaving < maxGapFactor*c.plan.MaxHold {
			c.recordGap(now, k+1, now-neededBeforeLeaving)
		}
	}
	s := &c.states[level-1]
	conditions := c.plan.Levels[level-1].Enter
	change := Change{Cause: Entered}
	for i := range conditions {
		condition := &conditions[i]
		if s.enterSince[i] != never && now-s.enterSince[i] >= condition.Duration {
			change.Signal = condition.firstSignal()
			change.Limit = condition.Limits[change.Signal]
			change.ConditionDuration = now - s.enterSince[i]
			c.trialOver = condition.hasLoadLimit()
			break
		}
	}
	change.Value = c.signalValue(change.Signal, level, m)
	c.entrySignal = change.Signal
	c.entryValue = change.Value
	return c.changeLevel(now, level, change)
}

// evaluateTrial ends the trial of a level that was entered by a condition without a load limit, after the trial period. If the
// signal did not fall enough, evaluateTrial changes to the next milder level and delays the next trial.
func (c *Controller) evaluateTrial(now int64, m *admission.LoadMetrics) (change Change, ineffective bool) {
	if c.trialOver || now-c.levelSince < c.plan.TrialPeriod {
		return Change{}, false
	}
	c.trialOver = true
	s := &c.states[c.level-1]
	value := c.signalValue(c.entrySignal, c.level, m)
	limit := reliefFactor * c.entryValue
	if value < limit {
		s.failedTrials = 0
		return Change{}, false
	}
	s.failedTrials = min(s.failedTrials+1, maxCountedFailures)
	s.retryAt = now + int64(retryDelayFactor<<(s.failedTrials-1))*c.plan.TrialPeriod
	return c.changeLevel(now, c.level-1, Change{Cause: Ineffective, Signal: c.entrySignal, Value: value, Limit: limit, ConditionDuration: now - c.levelSince}), true
}

// changeLevel puts a level into force and fills in the remaining fields of the change. For each level that is left, it stores when the
// level was last needed.
func (c *Controller) changeLevel(now int64, level int, change Change) Change {
	change.From = c.level
	change.To = level
	change.PreviousLevelDuration = now - c.levelSince
	for k := level; k < c.level; k++ {
		s := &c.states[k]
		s.neededBeforeLeaving = s.neededAt
		if s.neededAt == never {
			s.neededBeforeLeaving = now
		}
	}
	c.level = level
	c.levelSince = now
	change.HoldTime = c.HoldTime(now)
	return change
}

// ReplacePlan returns a controller for another plan and the change of level. The new controller starts at the last level of the plan that
// is no more restrictive than the present one, as a change of plan is no reason to reject more. It starts without recorded gaps and trials.
func (c *Controller) ReplacePlan(plan *Plan, now int64, random *rand.Rand) (*Controller, Change) {
	next := NewController(plan, now, random)
	if c.level > 0 {
		present := c.plan.Levels[c.level-1].Services
		for k := range plan.Levels {
			if AtMostAsRestrictive(plan.Levels[k].Services, present) {
				next.level = k + 1
			}
		}
	}
	if next.level > 0 {
		next.states[next.level-1].neededAt = now
	}
	return next, Change{From: c.level, To: next.level, PreviousLevelDuration: now - c.levelSince, Cause: PlanReplaced, HoldTime: next.HoldTime(now)}
}
