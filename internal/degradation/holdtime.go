package degradation

import "math"

// HoldTime returns how long the present level stays in force after it was last needed. It is HoldGapFactor times the recorded gap between
// two moments at which the level was needed, but at least MinHold and at most MaxHold, before jitter. After a gap was recorded, the
// level stays in force between the peaks of a periodic load whose gaps are shorter than MaxHold, instead of changing back and forth. When
// the load has fallen for good, the level ends late, by at most the hold time.
func (c *Controller) HoldTime(now int64) int64 {
	if c.level == 0 {
		return 0
	}
	return c.jittered(min(c.plan.MaxHold, max(c.plan.MinHold, int64(c.plan.HoldGapFactor*c.gap(now, c.level)))))
}

// jittered returns a duration of the plan multiplied by this node's random factor.
func (c *Controller) jittered(ns int64) int64 { return int64(float64(ns) * c.jitterFactor) }

// gap returns the recorded gap of a level in nanoseconds, halved for each GapHalfLife since it was recorded.
func (c *Controller) gap(now int64, level int) float64 {
	s := &c.states[level-1]
	return s.gap * math.Exp2(-float64(now-s.gapRecordedAt)/float64(max(1, c.plan.GapHalfLife)))
}

// recordGap records the time between two moments at which a level was needed, unless the earlier gap, decayed, is longer.
func (c *Controller) recordGap(now int64, level int, gap int64) {
	s := &c.states[level-1]
	s.gap = max(c.gap(now, level), float64(gap))
	s.gapRecordedAt = now
}
