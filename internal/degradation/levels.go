// Package degradation decides which level of reduced service a node is at: a ladder of rungs that operators name in a
// plan. It holds the conditions and what was learnt of them; it never looks at one invocation and has no clock.
package degradation

import (
	"fmt"
	"math"
	"math/rand"
	"slices"
	"strconv"
	"strings"

	"topazpost/internal/admission"
)

// Signal names something that a node measures of itself.
type Signal uint8

// The signals. Load is core time asked for over what the cores have, were the rung before in force: it does not
// fall because a level is in force, so that the relief that a level brings never ends it.
const (
	Load          Signal = iota // at the rung before, as a part of all cores
	QueueWait                   // until the hold would be clear, over the shortest latency objective
	QueueingDelay               // that arrivals lay unread of late, over the same
	CallWait                    // that a run stands at a call until it is made, over the same
	Rejected                    // part of arrivals of late that pressure turned away, those of a level apart
	Memory                      // part of the memory that is held and run
	SignalCount                 // how many there are
)

// SignalNames are the signals as plans and logs say them.
var SignalNames = [SignalCount]string{"load", "wait", "lag", "calls", "throttled", "memory"}

// Limits are thresholds of signals; one that is NaN says nothing.
type Limits [SignalCount]float64

// NoLimits are bounds that say nothing.
func NoLimits() (b Limits) {
	for k := range b {
		b[k] = math.NaN()
	}
	return b
}

// Condition is a set of bounds that have to hold together, for a time in nanoseconds.
type Condition struct {
	Limits
	Duration int64
}

// Level is one level above full service.
type Level struct {
	Name     string
	Services []admission.Service // by index of the operation
	Enter    []Condition         // signals above their bounds, any one of them
	Exit     Condition           // signals below their bounds
}

// Plan is a ladder as operators write it. Times are nanoseconds.
type Plan struct {
	Name             string
	Levels           []Level // lowest first
	UseSpareCapacity bool    // what a rung refuses is served last, what it reduces whole while next to nothing is held
	IdleCondition    Condition
	MinHold          int64   // that a rung is kept at the least after it was last needed
	MaxHold          int64   // that it is kept at the most
	HoldGapFactor    float64 // times the gap between two needs of a rung that it is kept after the second
	GapHalfLife      int64   // in which what was learnt of gaps is halved
	ProofTime        int64   // in which a rung must relieve what it was entered for, where the cores are not what is short
	Jitter           float64 // part by which a node's own times differ from others', so that a fleet does not step as one
}

// Change tells of another level.
type Change struct {
	From, To      int
	Signal        Signal  // what called for it
	Value         float64 // of the signal
	Limit         float64 // that it passed
	ConditionTime int64   // how long it had
	PreviousTime  int64   // in the level before
	Cause         Cause
	HoldTime      int64 // how long the new rung will be kept after it was last needed
}

// Cause is why a level changed.
type Cause uint8

// The causes.
const (
	Entered      Cause = iota // its conditions held
	Recovered                 // the conditions of exit held, and the hold-down is over
	WentIdle                  // next to nothing is asked for
	Ineffective               // it did not relieve what it was entered for
	PlanReplaced              // another plan is in force
)

// CauseNames are the causes as logs say them.
var CauseNames = [...]string{"entered", "eased", "idle", "futile", "plan"}

// FullService is the name of full service.
const FullService = "full"

const (
	relief   = 0.9 // of the value at entry that a signal must fall under for its rung to have helped
	holdback = 4   // times the proof for which a rung that did not help is not entered again for the same signal
	never    = math.MinInt64 / 4
)

// rung is what was seen of a rung.
type rung struct {
	holds    []int64 // since when each condition of entry holds, never where it does not
	calm     int64   // since when the conditions of exit hold
	needed   int64   // when one of the conditions of entry last held
	left     int64   // when it was last left
	gap      float64 // ns from need to need that was learnt, as of learnt
	learnt   int64
	barred   int64 // until when it is not entered for pressure that it did not relieve
	barrings int   // in a row
}

// Controller is the state of one node's plan.
type Controller struct {
	plan   *Plan
	rungs  []rung
	loads  []float64 // load at each level, full service first
	level  int
	since  int64
	idle   int64 // since when next to nothing is asked for
	spread float64

	entered Signal  // what the present rung was entered for
	was     float64 // its value then
	proven  bool
}

// NewController starts at full service. Chance is drawn from once, for this node's own times.
func NewController(plan *Plan, now int64, chance *rand.Rand) *Controller {
	l := &Controller{plan: plan, since: now, idle: never, proven: true, loads: make([]float64, len(plan.Levels)+1),
		rungs: make([]rung, len(plan.Levels)), spread: 1 + plan.Jitter*(chance.Float64()-0.5)}
	for k := range l.rungs {
		l.rungs[k] = rung{holds: make([]int64, len(plan.Levels[k].Enter)), calm: never, needed: never, left: never,
			learnt: now, barred: never}
		for c := range l.rungs[k].holds {
			l.rungs[k].holds[c] = never
		}
	}
	return l
}

// Level is the level in force, 0 for full service.
func (l *Controller) Level() int { return l.level }

// LevelName is the name of a level.
func (p *Plan) LevelName(level int) string {
	if level == 0 {
		return FullService
	}
	return p.Levels[level-1].Name
}

// Services is what a level leaves of each operation, nil for full service.
func (p *Plan) Services(level int) []admission.Service {
	if level == 0 {
		return nil
	}
	return p.Levels[level-1].Services
}

// LoadByLevel gives the load at each level, full service first, as the last step measured it. The slice is the ladder's.
func (l *Controller) LoadByLevel() []float64 { return l.loads }

// Step takes what was measured up to a moment and gives the change of level that it calls for, if any. It goes up
// as many rungs at once as have their conditions, and comes back one at a time unless the node is idle.
func (l *Controller) Step(now int64, s *admission.LoadMetrics) (Change, bool) {
	l.measure(s)
	top := l.watch(now, s)
	if l.idles(now, s) {
		if l.level > 0 {
			return l.move(now, 0, Change{Cause: WentIdle, Signal: Load, Value: l.loads[0], Limit: l.plan.IdleCondition.Limits[Load],
				ConditionTime: now - l.idle}), true
		}
		return Change{}, false
	}
	if top > l.level {
		return l.enter(now, top, s), true
	}
	if l.level == 0 {
		return Change{}, false
	}
	if c, futile := l.futile(now, s); futile {
		return c, true
	}
	r, exit := &l.rungs[l.level-1], &l.plan.Levels[l.level-1].Exit
	if r.calm != never && now-r.calm >= exit.Duration && now-r.needed >= l.HoldTime(now) && now-l.since >= l.held(l.plan.MinHold) {
		signal := exit.first()
		return l.move(now, l.level-1, Change{Cause: Recovered, Signal: signal, Value: l.value(signal, l.level, s), Limit: exit.Limits[signal],
			ConditionTime: now - r.calm}), true
	}
	return Change{}, false
}

// measure works out the load at each level.
func (l *Controller) measure(s *admission.LoadMetrics) {
	for level := range l.loads {
		sum := s.IntakeShare
		for op, asked := range s.DemandByOperation {
			if level > 0 {
				asked *= l.plan.Levels[level-1].Services[op].RemainingWork()
			}
			sum += asked
		}
		l.loads[level] = sum
	}
}

// value is a signal as a rung (from 1) sees it.
func (l *Controller) value(signal Signal, rung int, s *admission.LoadMetrics) float64 {
	if signal == Load {
		return l.loads[rung-1]
	}
	return [...]float64{QueueWait: s.QueueWait, QueueingDelay: s.QueueingDelay, CallWait: s.CallWait, Rejected: s.RejectedShare, Memory: s.MemoryShare}[signal]
}

// watch follows the conditions of every rung and gives the highest one that is called for.
func (l *Controller) watch(now int64, s *admission.LoadMetrics) (top int) {
	for k := range l.rungs {
		r, of := &l.rungs[k], &l.plan.Levels[k]
		for c := range of.Enter {
			if !l.above(&of.Enter[c], k+1, s) {
				r.holds[c] = never
				continue
			}
			if lull := now - r.needed; k < l.level && r.needed != never && lull > l.plan.MinHold {
				l.learn(now, k+1, lull) // it was bridged: what is known of it is true still
			}
			if r.needed = now; r.holds[c] == never {
				r.holds[c] = now
			}
			if now-r.holds[c] >= of.Enter[c].Duration && (of.Enter[c].cores() || l.mayClimb(now, k+1)) {
				top = k + 1
			}
		}
		if !l.below(&of.Exit, k+1, s) {
			r.calm = never
		} else if r.calm == never {
			r.calm = now
		}
	}
	return top
}

// cores says whether a condition speaks of the cores, which any rung that saves work relieves.
func (c *Condition) cores() bool { return !math.IsNaN(c.Limits[Load]) }

// mayClimb guards against a ladder that is climbed to its end for pressure that rungs do not relieve, that of a
// slow dependency for one: a rung is tried at a time, and only where the last one helped. It does harm where one
// rung alone brings too little to be seen.
func (l *Controller) mayClimb(now int64, rung int) bool {
	return l.proven && now >= l.rungs[rung-1].barred && rung <= l.level+1
}

func (l *Controller) above(c *Condition, rung int, s *admission.LoadMetrics) bool {
	for k, bound := range c.Limits {
		if !math.IsNaN(bound) && !(l.value(Signal(k), rung, s) > bound) {
			return false
		}
	}
	return true
}

func (l *Controller) below(c *Condition, rung int, s *admission.LoadMetrics) bool {
	for k, bound := range c.Limits {
		if !math.IsNaN(bound) && !(l.value(Signal(k), rung, s) < bound) {
			return false
		}
	}
	return true
}

// idles says whether next to nothing has been asked for through the time that the plan names.
func (l *Controller) idles(now int64, s *admission.LoadMetrics) bool {
	if !l.below(&l.plan.IdleCondition, 1, s) {
		l.idle = never
		return false
	}
	if l.idle == never {
		l.idle = now
	}
	return now-l.idle >= l.plan.IdleCondition.Duration
}

// enter climbs to a rung, learning from the time since it was last needed how long it should have been kept.
func (l *Controller) enter(now int64, to int, s *admission.LoadMetrics) Change {
	for k := l.level; k < to; k++ {
		if left := l.rungs[k].left; left != never && now-left < 2*l.plan.MaxHold {
			l.learn(now, k+1, now-left)
		}
	}
	r, of := &l.rungs[to-1], &l.plan.Levels[to-1]
	c := Change{Cause: Entered}
	for k := range of.Enter {
		if r.holds[k] != never && now-r.holds[k] >= of.Enter[k].Duration {
			c.Signal = of.Enter[k].first()
			c.Limit, c.ConditionTime = of.Enter[k].Limits[c.Signal], now-r.holds[k]
			l.proven = of.Enter[k].cores()
			break
		}
	}
	c.Value = l.value(c.Signal, to, s)
	l.entered, l.was = c.Signal, c.Value
	return l.move(now, to, c)
}

// futile says whether a rung entered for pressure that is not of the cores failed to relieve it in its time.
func (l *Controller) futile(now int64, s *admission.LoadMetrics) (Change, bool) {
	if l.proven || now-l.since < l.plan.ProofTime {
		return Change{}, false
	}
	value, r := l.value(l.entered, l.level, s), &l.rungs[l.level-1]
	if value < relief*l.was {
		l.proven, r.barrings = true, 0
		return Change{}, false
	}
	r.barrings = min(r.barrings+1, 4)
	r.barred = now + int64(holdback<<(r.barrings-1))*l.plan.ProofTime
	l.proven = true
	return l.move(now, l.level-1, Change{Cause: Ineffective, Signal: l.entered, Value: value, Limit: relief * l.was,
		ConditionTime: now - l.since}), true
}

// first is the first signal that a condition names, which is what is logged of it.
func (c *Condition) first() Signal {
	for k, bound := range c.Limits {
		if !math.IsNaN(bound) {
			return Signal(k)
		}
	}
	return Load
}

func (l *Controller) move(now int64, to int, c Change) Change {
	c.From, c.To, c.PreviousTime = l.level, to, now-l.since
	for k := to; k < l.level; k++ {
		l.rungs[k].left = l.rungs[k].needed
		if l.rungs[k].needed == never {
			l.rungs[k].left = now
		}
	}
	l.level, l.since = to, now
	c.HoldTime = l.HoldTime(now)
	return c
}

// gap is what remains of what was learnt of a rung.
func (l *Controller) gap(now int64, rung int) float64 {
	r := &l.rungs[rung-1]
	return r.gap * math.Exp2(-float64(now-r.learnt)/float64(max(1, l.plan.GapHalfLife)))
}

// learn takes a time between two needs of a rung.
func (l *Controller) learn(now int64, rung int, lull int64) {
	r := &l.rungs[rung-1]
	r.gap, r.learnt = max(l.gap(now, rung), float64(lull)), now
}

func (l *Controller) held(ns int64) int64 { return int64(float64(ns) * l.spread) }

// HoldTime is for how long the present rung is kept after it was last needed: the plan's own time, or as long as
// would have bridged the gap between two needs of it, within the plan's bound. It guards against a level that
// flaps with the load, whatever the period; it does harm in a lull that lasts, by at most that bound.
func (l *Controller) HoldTime(now int64) int64 {
	if l.level == 0 {
		return 0
	}
	return l.held(min(l.plan.MaxHold, max(l.plan.MinHold, int64(l.plan.HoldGapFactor*l.gap(now, l.level)))))
}

// ReplacePlan goes on with another plan, at the highest of its rungs that turns away no more than the present one: a
// change of plan is no reason to refuse more. What was learnt of the rungs of before is forgotten.
func (l *Controller) ReplacePlan(plan *Plan, now int64, chance *rand.Rand) (*Controller, Change) {
	next := NewController(plan, now, chance)
	if l.level > 0 {
		for k := range plan.Levels {
			if AtMostAsRestrictive(plan.Levels[k].Services, l.plan.Levels[l.level-1].Services) {
				next.level = k + 1
			}
		}
	}
	if next.level > 0 {
		next.rungs[next.level-1].needed = now
	}
	return next, Change{From: l.level, To: next.level, PreviousTime: now - l.since, Cause: PlanReplaced,
		HoldTime: next.HoldTime(now)}
}

// AtMostAsRestrictive says whether a service takes nothing away that another leaves.
func AtMostAsRestrictive(a, b []admission.Service) bool {
	for op := range a {
		if a[op].Form > b[op].Form || a[op].Form == admission.Reduced && b[op].Form == admission.Reduced && a[op].WeightShare < b[op].WeightShare {
			return false
		}
	}
	return true
}

// Problem is one thing wrong with a plan: where in it, as it is written, what, and how to mend it.
type Problem struct {
	Path                    []string
	Description, Suggestion string
}

// Validate names all that is wrong with a plan for so many operations; nothing for a sound one.
func (p *Plan) Validate(operations int) (found []Problem) {
	if len(p.Levels) == 0 {
		return []Problem{{[]string{"levels"}, "has no level", "add one"}}
	}
	if p.MaxHold < p.MinHold {
		found = append(found, Problem{[]string{"hold_most"}, "is shorter than hold", "make it as long at the least"})
	}
	for k := range p.Levels {
		r, tell := &p.Levels[k], func(what, mend string, path ...string) {
			found = append(found, Problem{append([]string{"levels", strconv.Itoa(k)}, path...), what, mend})
		}
		if len(r.Services) != operations {
			tell(fmt.Sprintf("speaks of %d operations where there are %d", len(r.Services), operations), "name the others too")
			continue
		}
		r.check(tell)
		for j := range k {
			if p.Levels[j].Name == r.Name {
				tell(fmt.Sprintf("%q is the name of levels.%d too", r.Name, j), "name each level once", "name")
			}
		}
		if k > 0 && len(p.Levels[k-1].Services) == operations {
			r.compare(&p.Levels[k-1], k-1, tell)
		}
	}
	return found
}

func (r *Level) check(tell func(what, mend string, path ...string)) {
	if r.Name == FullService {
		tell(fmt.Sprintf("%q is the name of full service", FullService), "choose another", "name")
	}
	if !slices.ContainsFunc(r.Services, func(s admission.Service) bool { return s.Form != admission.Complete }) {
		tell("takes nothing away", "name an operation under refuse or reduce")
	}
	if len(r.Enter) == 0 {
		tell("has no condition: the level could never be entered", "add one", "enter")
	}
	for c := range r.Enter {
		if r.Enter[c].Limits.empty() {
			tell("names no signal", "name one of "+strings.Join(SignalNames[:], ", "), "enter", strconv.Itoa(c))
		}
	}
	if r.Exit.Limits.empty() {
		tell("names no signal: the level would end as soon as it may", "name one of "+strings.Join(SignalNames[:], ", "), "exit")
	}
	for k, exit := range r.Exit.Limits {
		for c := range r.Enter {
			if enter := r.Enter[c].Limits[k]; exit >= enter {
				tell(fmt.Sprintf("%g %% is not below the %g %% of enter.%d: the level would end as it begins", 100*exit, 100*enter,
					c), "lower it", "exit", SignalNames[k])
			}
		}
	}
}

// compare checks a level against the one below it, which has to be the milder one.
func (r *Level) compare(before *Level, index int, tell func(what, mend string, path ...string)) {
	switch more, less := AtMostAsRestrictive(before.Services, r.Services), AtMostAsRestrictive(r.Services, before.Services); {
	case more && less:
		tell(fmt.Sprintf("does the same as levels.%d (%s)", index, before.Name), "drop one of them")
	case less:
		tell(fmt.Sprintf("takes away less than levels.%d (%s)", index, before.Name), "order levels from the mildest up")
	case !more:
		tell(fmt.Sprintf("gives back what levels.%d (%s) takes away", index, before.Name),
			"repeat here what the level before refuses and reduces")
	}
}

func (b *Limits) empty() bool {
	for _, bound := range b {
		if !math.IsNaN(bound) {
			return false
		}
	}
	return true
}
