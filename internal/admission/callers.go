package admission

import (
	"math"

	"topazpost/internal/stats"
)

const (
	counterDecay    = 0.98    // of recent counts at each tick: some seconds
	minCallerCount  = 0.05    // below which a caller is forgotten: the signal that it has is out of date
	minTenantCount  = 0x1p-53 // below which a tenant is forgotten: one arrival more makes no difference
	minSquaredCount = 1e-9    // against a division by zero

	queueingDelaySamples = 8.0 // arrivals over which the delay is smoothed

	waitTimeBins      = 24   // of the client timeout
	maxWaitSamples    = 96.0 // some ten seconds of a small node
	minCallersWaiting = 0.67 // share of the callers that must still wait for a run to be worth its cost
)

// callerStatistics are statistics of recent arrivals and of those who sent them.
type callerStatistics struct {
	arrivals      float64 // recent ones
	retries       float64 // among the recent arrivals
	rejected      float64 // recently
	degraded      float64 // rejected by the degradation level, recently
	byCaller      stats.DecayingCounter
	byTenant      stats.DecayingCounter
	queueingDelay float64 // ns, smoothed: age of arrivals when they were read
	waitTimes     stats.SurvivalCurve
	waitShare     float64 // of the client timeout, for which most callers wait
}

func newCallerStatistics() callerStatistics {
	return callerStatistics{
		waitTimes: stats.NewSurvivalCurve(waitTimeBins, maxWaitSamples),
		waitShare: 1,
	}
}

// countArrival counts an arrival.
func (s *callerStatistics) countArrival(e *Event) {
	s.queueingDelay += (float64(e.Age) - s.queueingDelay) / queueingDelaySamples
	s.arrivals++
	if e.Retry {
		s.retries++
	}
	s.byCaller.Add(e.Caller)
	s.byTenant.Add(int64(e.Tenant))
}

// countRejection counts a rejection. Where callers don't mark their retries, it stands for the retry to come.
func (s *callerStatistics) countRejection(reason Reason, retriesMarked bool) {
	s.rejected++
	if reason == ReasonDegraded {
		s.degraded++
	}
	if !retriesMarked {
		s.retries++
	}
}

// rejectedShare is the share of recent arrivals that were rejected for other reasons than degradation.
func (s *callerStatistics) rejectedShare() float64 {
	return (s.rejected - s.degraded) / max(1, s.arrivals)
}

// decay reduces the weight of what was counted, at each tick.
func (s *callerStatistics) decay() {
	s.arrivals *= counterDecay
	s.retries *= counterDecay
	s.rejected *= counterDecay
	s.degraded *= counterDecay
	s.byCaller.Decay(counterDecay, minCallerCount)
	s.byTenant.Decay(counterDecay, minTenantCount)
}

// effectiveCallers is the number of equally active callers that would spread arrivals as widely as the present
// ones do, at least 1.
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

// updateWaitShare updates how long most callers wait.
func (s *callerStatistics) updateWaitShare() {
	s.waitShare = s.waitTimes.TimeAtSurvival(minCallersWaiting)
}

// observeWait records how long a caller has waited, and whether it abandoned the invocation.
func (c *Controller) observeWait(inv *invocation, abandoned bool) {
	if inv.answered {
		return
	}
	waited := float64(c.now-inv.arrivedAt) / float64(inv.operation.ClientTimeout)
	c.callers.waitTimes.Add(waited, abandoned)
}
