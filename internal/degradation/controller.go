// Package degradation decides at which level of degraded service a node runs, according to a plan that operators write. Each level sheds
// operations or serves them in a reduced form. The controller compares load metrics of the whole node with the conditions of the plan.
// It does not see single invocations, and callers pass in the time.
package degradation

import (
	"math"
	"math/rand"

	"topazpost/internal/admission"
)

// Change describes a change of level.
type Change struct {
	From, To              int
	Signal                Signal  // signal that caused the change
	Value                 float64 // value of the signal
	Limit                 float64 // limit that the signal passed
	ConditionDuration     int64   // how long the signal was beyond the limit
	PreviousLevelDuration int64   // time spent at the previous level
	Cause                 Cause
	HoldTime              int64 // how long the new level stays in force after it is last needed
}

// Cause states why the level changed.
type Cause uint8

// The causes of a change of level.
const (
	Entered      Cause = iota // a condition for entering the level held
	Recovered                 // the exit condition held, and the hold time is over
	WentIdle                  // the idle condition held
	Ineffective               // the level did not improve the signal it was entered for
	PlanReplaced              // another plan was put into force
)

// CauseNames holds the name of each cause in logs.
var CauseNames = [...]string{"entered", "eased", "idle", "futile", "plan"}

const (
	reliefFactor       = 0.9               // a level is effective if its signal falls below this multiple of the value at entry
	retryDelayFactor   = 4                 // delay before the next trial of an ineffective level, in trial periods; doubled with each further failed trial
	maxCountedFailures = 4                 // failed trials in a row after which the delay grows no further
	maxGapFactor       = 2                 // the longest gap that is recorded when a level is entered again, as a multiple of MaxHold
	never              = math.MinInt64 / 4 // marks a time as not set; differences from it do not overflow
)

// levelState tracks the conditions of one level, and how the level fared in the past. Times are in nanoseconds.
type levelState struct {
	enterSince    []int64 // for each enter condition: when its signals went beyond its limits, or never if they are not
	exitSince     int64   // when the signals went beyond the limits of the exit condition, or never if they are not
	neededAt      int64   // when the signals were last beyond the limits of an enter condition
	needEndedAt   int64   // when the level was last needed before it was left; the time it was left, if it was never needed
	gap           float64 // time between two moments at which the level was needed, as of gapRecordedAt
	gapRecordedAt int64
	retryAt       int64 // earliest time at which the level may be entered on trial
	failedTrials  int   // in a row, at most maxCountedFailures
}

// Controller decides on the level of one node. Level 0 is full service.
type Controller struct {
	plan         *Plan
	states       []levelState
	loads        []float64 // load that the node would have at each level, full service first
	level        int
	levelSince   int64
	idleSince    int64 // when the signals fell below the limits of the idle condition, or never if they are not
	jitterFactor float64

	entrySignal Signal  // signal for which the present level was entered
	entryValue  float64 // value of that signal at entry
	trialOver   bool    // false while the present level still has to show that it improves entrySignal
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
		c.states[k] = levelState{enterSince: enterSince, exitSince: never, neededAt: never, needEndedAt: never, gapRecordedAt: now, retryAt: never}
	}
	return c
}

// Level returns the level in force, 0 for full service.
func (c *Controller) Level() int { return c.level }

// LoadByLevel returns the load that the node would have at each level, full service first, as of the last step. The next step
// overwrites the slice.
func (c *Controller) LoadByLevel() []float64 { return c.loads }

// Step applies the metrics measured at a time and returns the resulting change of level, if any. It enters the most restrictive level
// that is needed in one step, and goes back one level at a time, or to full service if the node is idle.
func (c *Controller) Step(now int64, m *admission.LoadMetrics) (Change, bool) {
	c.measureLoads(m)
	needed := c.updateConditions(now, m)
	if c.isIdle(now, m) {
		return c.leaveWhenIdle(now)
	}
	if needed > c.level {
		return c.enter(now, needed, m), true
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

// leaveIfRecovered changes to the previous level if the exit condition has held for its duration, and both the hold time since the level
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

// updateConditions updates the condition times of all levels and returns the most restrictive level that is needed, or 0.
func (c *Controller) updateConditions(now int64, m *admission.LoadMetrics) (needed int) {
	for k := range c.states {
		if c.updateEnterConditions(now, k+1, m) {
			needed = k + 1
		}
		s := &c.states[k]
		if !c.allBelow(&c.plan.Levels[k].Exit.Limits, k+1, m) {
			s.exitSince = never
		} else if s.exitSince == never {
			s.exitSince = now
		}
	}
	return needed
}

// updateEnterConditions updates the times of a level's enter conditions and reports whether one of them calls for the level.
func (c *Controller) updateEnterConditions(now int64, level int, m *admission.LoadMetrics) (needed bool) {
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
			needed = true
		}
	}
	return needed
}

// mayEnterOnTrial reports whether a level may be entered by a condition without a load limit. No level may be able to relieve such
// pressure, for example if a dependency is slow, and the node must not end up at its most restrictive level then. Levels are therefore
// tried one at a time, each only after the trial of the previous one has ended. The cost is that a level is left again if its effect
// alone is too small to measure.
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

// enter changes to a more restrictive level. For each level that comes into force again soon after it was left, it records the time since
// the level was last needed, so that the level is held longer next time.
func (c *Controller) enter(now int64, level int, m *admission.LoadMetrics) Change {
	for k := c.level; k < level; k++ {
		needEndedAt := c.states[k].needEndedAt
		if needEndedAt != never && now-needEndedAt < maxGapFactor*c.plan.MaxHold {
			c.recordGap(now, k+1, now-needEndedAt)
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

// evaluateTrial ends the trial of a level that was entered by a condition without a load limit, after the trial period. If the level did
// not improve its signal, it changes to the previous level and delays the next trial.
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

// changeLevel puts a level into force and fills in the remaining fields of the change.
func (c *Controller) changeLevel(now int64, level int, change Change) Change {
	change.From = c.level
	change.To = level
	change.PreviousLevelDuration = now - c.levelSince
	for k := level; k < c.level; k++ {
		s := &c.states[k]
		s.needEndedAt = s.neededAt
		if s.neededAt == never {
			s.needEndedAt = now
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
