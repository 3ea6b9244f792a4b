package degradation

import "math"

// HoldTime is for how long the present level stays in force after it was last needed: the plan's own time, or as long as would have
// bridged the gap between two needs of it, within the plan's bound. It guards against a level that flaps with the load, whatever the
// period; it does harm in a lull that lasts, by at most that bound.
func (c *Controller) HoldTime(now int64) int64 {
	if c.level == 0 {
		return 0
	}
	return c.jittered(min(c.plan.MaxHold, max(c.plan.MinHold, int64(c.plan.HoldGapFactor*c.gap(now, c.level)))))
}

// jittered is a time of the plan as this node's own.
func (c *Controller) jittered(ns int64) int64 { return int64(float64(ns) * c.jitterFactor) }

// gap is what remains of the gap that was learnt of a level.
func (c *Controller) gap(now int64, level int) float64 {
	s := &c.states[level-1]
	return s.gap * math.Exp2(-float64(now-s.gapLearntAt)/float64(max(1, c.plan.GapHalfLife)))
}

// learnGap learns the time between two needs of a level.
func (c *Controller) learnGap(now int64, level int, gap int64) {
	s := &c.states[level-1]
	s.gap = max(c.gap(now, level), float64(gap))
	s.gapLearntAt = now
}
