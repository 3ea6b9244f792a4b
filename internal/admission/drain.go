package admission

import (
	"fmt"
	"math"
)

const (
	preDrainDelay    = 5 * second        // from the request to the end of intake
	drainTimeout     = 20 * second       // from the end of intake to the deadline
	killMargin       = 300 * millisecond // between the deadline and the kill, for an execution pause
	redirectLeadTime = 1 * second        // from the redirection of callers to the end of intake
)

// drainState is the progress of a graceful shutdown. At the request, the node reports itself unhealthy; after a delay in
// which callers notice, intake ends and arrivals are rejected; and the node exits when nothing is in flight, but no later
// than the deadline.
type drainState struct {
	requestedAt       int64 // 0 if no drain was requested
	intakeEnd         int64 // when arrivals start to be rejected
	deadline          int64
	inFlightAtRequest int // invocations at the request
	endedBefore       int // invocations that had ended at the request
	finished          bool
}

func (d *drainState) requested() bool { return d.requestedAt != 0 }

func (d *drainState) intakeEnded(now int64) bool { return d.requested() && now >= d.intakeEnd }

// redirectsCallers reports whether callers are asked to use other nodes.
func (d *drainState) redirectsCallers(now int64) bool {
	return d.requested() && now >= d.intakeEnd-redirectLeadTime
}

// schedule sets the end of intake and the deadline, which a later request may bring forward but not postpone. The time of
// the kill is killAt; longestObjective and grace are durations. If the time until the kill is too short for both phases,
// both are scaled down by the same factor. The first phase, in which callers notice the drain, is scaled down less if the
// longest latency objective still fits after it. It is never longer than grace.
func (d *drainState) schedule(killAt, longestObjective, grace int64) {
	available := max(0, killAt-killMargin-d.requestedAt)
	scale := min(1, float64(available)/float64(preDrainDelay+drainTimeout))
	delay := max(int64(scale*float64(preDrainDelay)), min(preDrainDelay, available-longestObjective))
	d.intakeEnd = min(d.intakeEnd, d.requestedAt+min(delay, grace))
	timeout := int64(scale * float64(drainTimeout))
	d.deadline = min(d.deadline, d.requestedAt+available, d.intakeEnd+timeout)
}

// startDrain starts a drain, or brings one forward where the kill now comes earlier.
func (c *Controller) startDrain(killAt int64) {
	if !c.drain.requested() {
		c.drain = drainState{
			requestedAt:       c.now,
			intakeEnd:         math.MaxInt64,
			deadline:          math.MaxInt64,
			inFlightAtRequest: c.counts.inFlight(),
			endedBefore:       c.counts.ended,
		}
		c.nextTick = c.now
		c.health.unhealthy = true
		c.emit(reportHealth(false))
	}
	c.drain.schedule(killAt, c.operations.longestObjective, c.config.DrainGrace)
}

// advanceDrain stops intake when it is due, and finishes the drain when nothing is in flight. At the deadline, it rejects
// or fails the remaining invocations.
func (c *Controller) advanceDrain() {
	if !c.drain.intakeEnded(c.now) || c.drain.finished {
		return
	}
	c.emit(stopAccepting())
	ended := c.counts.ended - c.drain.endedBefore
	abandoned := 0
	for _, i := range c.live {
		inv := &c.invocations[i]
		if inv.state == stateEnded || inv.answered {
			continue
		}
		if c.now < c.drain.deadline {
			return
		}
		abandoned++
		c.rejectOrFail(i, ReasonDraining)
	}
	c.drain.finished = true
	c.emit(exit(c.drain.report(ended, abandoned)))
}

func (d *drainState) report(ended, abandoned int) string {
	return fmt.Sprintf("drain: %d in flight at the request, %d ended since, %d abandoned at the deadline", d.inFlightAtRequest, ended, abandoned)
}
