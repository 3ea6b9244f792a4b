// Package degradation decides which level of reduced service a node is at, by a plan that operators write. It tracks the conditions of
// the plan and what was learnt of them; it never looks at one invocation and has no clock.
package degradation

import (
	"math"
	"math/rand"

	"topazpost/internal/admission"
)

// Change describes a change of level.
type Change struct {
	From, To              int
	Signal                Signal  // that caused it
	Value                 float64 // of the signal
	Limit                 float64 // that it passed
	ConditionDuration     int64   // how long it had
	PreviousLevelDuration int64   // in the level before
	Cause                 Cause
	HoldTime              int64 // how long the new level stays in force after it was last needed
}

// Cause is why a level changed.
type Cause uint8

// The causes.
const (
	Entered      Cause = iota // its conditions held
	Recovered                 // the conditions of exit held, and the hold time is over
	WentIdle                  // there is next to no demand
	Ineffective               // it did not relieve what it was entered for
	PlanReplaced              // another plan is in force
)

// CauseNames are the causes in logs.
var CauseNames = [...]string{"entered", "eased", "idle", "futile", "plan"}

const (
	reliefFactor    = 0.9 // of the value at entry that a signal must fall under for its level to have helped
	barFactor       = 4   // times the proof time for which a level that did not help is not entered again for the same signal
	maxIneffective  = 4   // times in a row past which that time grows no further
	gapSearchFactor = 2   // times the longest hold within which a return to a level counts as a gap
	never           = math.MinInt64 / 4
)

// levelState is what was observed of a level.
type levelState struct {
	enterSince  []int64 // since when each condition of entry holds, never where it does not
	exitSince   int64   // since when the condition of exit holds
	neededAt    int64   // when one of the conditions of entry last held
	leftAt      int64
	gap         float64 // ns between needs, as of gapLearntAt
	gapLearntAt int64
	barredUntil int64 // it is not entered for pressure that it did not relieve
	ineffective int   // times in a row that it did not help
}

// Controller decides on the level of one node.
type Controller struct {
	plan         *Plan
	states       []levelState
	loads        []float64 // load at each level, full service first
	level        int
	levelSince   int64
	idleSince    int64 // since when there is next to no demand
	jitterFactor float64

	enteredFor   Signal  // what the present level was entered for
	valueAtEntry float64 // of that signal
	proven       bool
}

// NewController starts at full service. One number is drawn from random, for this node's own times.
func NewController(plan *Plan, now int64, random *rand.Rand) *Controller {
	c := &Controller{plan: plan, levelSince: now, idleSince: never, proven: true, loads: make([]float64, len(plan.Levels)+1),
		states: make([]levelState, len(plan.Levels)), jitterFactor: 1 + plan.Jitter*(random.Float64()-0.5)}
	for k := range c.states {
		enterSince := make([]int64, len(plan.Levels[k].Enter))
		for i := range enterSince {
			enterSince[i] = never
		}
		c.states[k] = levelState{enterSince: enterSince, exitSince: never, neededAt: never, leftAt: never, gapLearntAt: now, barredUntil: never}
	}
	return c
}

// Level is the level in force, 0 for full service.
func (c *Controller) Level() int { return c.level }

// LoadByLevel is the load at each level, full service first, as the last step measured it. The slice is the controller's.
func (c *Controller) LoadByLevel() []float64 { return c.loads }

// Step applies what was measured up to a moment and returns the change of level that it calls for, if any. It enters the highest level
// that is needed at once, and returns one level at a time unless the node is idle.
func (c *Controller) Step(now int64, m *admission.LoadMetrics) (Change, bool) {
	c.measureLoads(m)
	needed := c.updateConditions(now, m)
	if c.isIdle(now, m) {
		return c.endWhenIdle(now)
	}
	if needed > c.level {
		return c.enter(now, needed, m), true
	}
	if c.level == 0 {
		return Change{}, false
	}
	if change, ineffective := c.proveRelief(now, m); ineffective {
		return change, true
	}
	return c.leaveRecovered(now, m)
}

// endWhenIdle returns to full service.
func (c *Controller) endWhenIdle(now int64) (Change, bool) {
	if c.level == 0 {
		return Change{}, false
	}
	return c.move(now, 0, Change{Cause: WentIdle, Signal: Load, Value: c.loads[0], Limit: c.plan.IdleCondition.Limits[Load],
		ConditionDuration: now - c.idleSince}), true
}

// leaveRecovered returns to the level before once the condition of exit held for its time, and the hold time is over.
func (c *Controller) leaveRecovered(now int64, m *admission.LoadMetrics) (Change, bool) {
	s := &c.states[c.level-1]
	exit := &c.plan.Levels[c.level-1].Exit
	held := s.exitSince != never && now-s.exitSince >= exit.Duration
	if !held || now-s.neededAt < c.HoldTime(now) || now-c.levelSince < c.jittered(c.plan.MinHold) {
		return Change{}, false
	}
	signal := exit.firstSignal()
	return c.move(now, c.level-1, Change{Cause: Recovered, Signal: signal, Value: c.signalValue(signal, c.level, m), Limit: exit.Limits[signal],
		ConditionDuration: now - s.exitSince}), true
}

// updateConditions tracks the conditions of every level and returns the highest one that is needed.
func (c *Controller) updateConditions(now int64, m *admission.LoadMetrics) (needed int) {
	for k := range c.states {
		if c.updateEntry(now, k+1, m) {
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

// updateEntry tracks the conditions of entry of a level, and says whether one calls for it.
func (c *Controller) updateEntry(now int64, level int, m *admission.LoadMetrics) (needed bool) {
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
			c.learnGap(now, level, gap) // the level stayed in force over it: what is known of gaps is true still
		}
		s.neededAt = now
		if s.enterSince[i] == never {
			s.enterSince[i] = now
		}
		if now-s.enterSince[i] >= condition.Duration && (condition.isOnLoad() || c.mayTry(now, level)) {
			needed = true
		}
	}
	return needed
}

// mayTry guards against entering all levels for pressure that none relieves, that of a slow dependency for one: a level is tried at a
// time, and only where the last one helped. It does harm where one level alone brings too little to be seen.
func (c *Controller) mayTry(now int64, level int) bool {
	return c.proven && now >= c.states[level-1].barredUntil && level <= c.level+1
}

// isIdle says whether there has been next to no demand for the time that the plan names.
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

// enter enters a higher level, learning from the time since each was last needed how long it should have stayed in force.
func (c *Controller) enter(now int64, level int, m *admission.LoadMetrics) Change {
	for k := c.level; k < level; k++ {
		leftAt := c.states[k].leftAt
		if leftAt != never && now-leftAt < gapSearchFactor*c.plan.MaxHold {
			c.learnGap(now, k+1, now-leftAt)
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
			c.proven = condition.isOnLoad()
			break
		}
	}
	change.Value = c.signalValue(change.Signal, level, m)
	c.enteredFor = change.Signal
	c.valueAtEntry = change.Value
	return c.move(now, level, change)
}

// proveRelief leaves a level that was entered for pressure other than load, and failed to relieve it in its time.
func (c *Controller) proveRelief(now int64, m *admission.LoadMetrics) (change Change, ineffective bool) {
	if c.proven || now-c.levelSince < c.plan.TrialPeriod {
		return Change{}, false
	}
	c.proven = true
	s := &c.states[c.level-1]
	value := c.signalValue(c.enteredFor, c.level, m)
	limit := reliefFactor * c.valueAtEntry
	if value < limit {
		s.ineffective = 0
		return Change{}, false
	}
	s.ineffective = min(s.ineffective+1, maxIneffective)
	s.barredUntil = now + int64(barFactor<<(s.ineffective-1))*c.plan.TrialPeriod
	return c.move(now, c.level-1, Change{Cause: Ineffective, Signal: c.enteredFor, Value: value, Limit: limit, ConditionDuration: now - c.levelSince}), true
}

// move puts a level into force and completes the change.
func (c *Controller) move(now int64, level int, change Change) Change {
	change.From = c.level
	change.To = level
	change.PreviousLevelDuration = now - c.levelSince
	for k := level; k < c.level; k++ {
		s := &c.states[k]
		s.leftAt = s.neededAt
		if s.neededAt == never {
			s.leftAt = now
		}
	}
	c.level = level
	c.levelSince = now
	change.HoldTime = c.HoldTime(now)
	return change
}

// ReplacePlan goes on with another plan, at the highest of its levels that is no more restrictive than the present one: a change of plan
// is no reason to reject more. What was learnt of the levels before is dropped.
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
