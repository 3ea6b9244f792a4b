package admission

import (
	"math"

	"topazpost/internal/stats"
)

const (
	counterDecay    = 0.98    // factor of recent counts at each tick: a time constant of 2.5 s
	minCallerCount  = 0.05    // a caller below this count is removed: the backpressure signal that it received last is out of date
	minTenantCount  = 0x1p-53 // a tenant below this count is removed, which changes no decision: 1 plus 2^-53 is 1 in floating point
	minSquaredCount = 1e-9    // prevents a division by zero

	queueingDelaySamples = 8.0 // arrivals over which the queueing delay is smoothed

	waitTimeBins          = 24   // equal parts of the client timeout
	maxWaitSamples        = 96.0 // about ten seconds of arrivals at a small node
	minWaitingCallerShare = 0.67 // a run is worth its cost while at least this share ("most") of the callers still wait
)

// callerStatistics are statistics of recent arrivals, by caller and by tenant, and of how long callers wait. The counts
// decay at each tick.
type callerStatistics struct {
	arrivals      float64
	retries       float64 // among the arrivals
	rejected      float64
	degraded      float64 // among the rejected: those that the degradation level sheds
	byCaller      stats.DecayingCounter
	byTenant      stats.DecayingCounter
	queueingDelay float64 // ns, smoothed: age of arrivals when they were read
	waitTimes     stats.SurvivalCurve
	waitShare     float64 // share of the client timeout until which minWaitingCallerShare of the callers wait
}

func newCallerStatistics() callerStatistics {
	return callerStatistics{
		waitTimes: stats.NewSurvivalCurve(waitTimeBins, maxWaitSamples),
		waitShare: 1,
	}
}

// countArrival adds an arrival to the counts and its age to the queueing delay.
func (s *callerStatistics) countArrival(e *Event) {
	s.queueingDelay += (float64(e.Age) - s.queueingDelay) / queueingDelaySamples
	s.arrivals++
	if e.Retry {
		s.retries++
	}
	s.byCaller.Add(e.Caller)
	s.byTenant.Add(int64(e.Tenant))
}

// countRejection counts a rejection. If callers don't mark their retries, it also counts as the retry that it is expected
// to cause.
func (s *callerStatistics) countRejection(reason Reason, retriesMarked bool) {
	s.rejected++
	if reason == ReasonDegraded {
		s.degraded++
	}
	if !retriesMarked {
		s.retries++
	}
}

// rejectedShare returns the share of recent arrivals that were rejected for reasons other than degradation.
func (s *callerStatistics) rejectedShare() float64 {
	return (s.rejected - s.degraded) / max(1, s.arrivals)
}

// decay reduces the weight of earlier counts. It is called at each tick.
func (s *callerStatistics) decay() {
	s.arrivals *= counterDecay
	s.retries *= counterDecay
	s.rejected *= counterDecay
	s.degraded *= counterDecay
	s.byCaller.Decay(counterDecay, minCallerCount)
	s.byTenant.Decay(counterDecay, minTenantCount)
}

// effectiveCallers returns the effective number of callers, at least 1: the squared sum of their counts over the sum of
// the squared counts. It equals the number of callers if all are equally active. Callers whose count rounds to 0 are left
// out.
func (s *callerStatistics) effectiveCallers() float64 {
	sum := 0.0
	squares := minSquaredCount
	for _, count := range s.byCaller.Counts() {
		rounded := math.Round(count)
		sum += rounded
		squares += rounded * rounded
	}
	return max(1, sum*sum/squares)
}

// updateWaitShare recomputes for how long most callers wait.
func (s *callerStatistics) updateWaitShare() {
	s.waitShare = s.waitTimes.TimeAtSurvival(minWaitingCallerShare)
}

// observeWait records how long a caller has waited, and whether it abandoned the invocation. It ignores invocations that
// were answered before, and those that were abandoned before a run alone could have ended, counted from when they were read:
// that tells nothing of how long callers wait for an answer, and one that floods and withdraws would decide for all.
func (c *Controller) observeWait(inv *invocation, abandoned bool) {
	if inv.answered || abandoned && float64(c.now-inv.readAt) < inv.usualCoreTime() {
		return
	}
	waited := float64(c.now-inv.arrivedAt) / float64(inv.operation.ClientTimeout)
	c.callers.waitTimes.Add(waited, abandoned)
}
