package admission

const (
	maxIdleBusyShare = 0.9 // of the cores, under which one counts as idle

	gaugeWindow     = 0.2 // of the shortest latency objective, over which gauges are smoothed: short beside a run
	meanGaugeWindow = 2.0 // of the shortest latency objective, over which bursts even out
)

// coreUsage is the use of a node's cores. Threads other than runs read requests or answer health checks.
type coreUsage struct {
	count             float64
	clock             float64 // ns of a whole core that each run on the cores has had since the start
	otherRunnable     float64 // threads, smoothed a little
	meanOtherRunnable float64 // threads, smoothed over bursts
	gaugedAt          int64
	idle              bool // a core was idle at the last gauges
}

// advanceTime advances the core clock. Runs and other threads share the cores equally.
func (u *coreUsage) advanceTime(elapsed float64, running int) {
	u.clock += elapsed * min(1, u.count/max(1, float64(running)+u.otherRunnable))
}

// observeGauges records the gauges of a TimerFired event.
func (u *coreUsage) observeGauges(e *Event, now int64, running int, shortestObjective float64) {
	u.idle = e.BusyShare >= 0 && e.BusyShare < maxIdleBusyShare
	if e.RunnableThreads < 0 {
		return
	}
	u.idle = e.RunnableThreads < u.count
	others := max(0, e.RunnableThreads-float64(running))
	elapsed := float64(now-u.gaugedAt) / shortestObjective
	u.otherRunnable += (others - u.otherRunnable) * min(1, elapsed/gaugeWindow)
	u.meanOtherRunnable += (others - u.meanOtherRunnable) * min(1, elapsed/meanGaugeWindow)
	u.gaugedAt = now
}

// available is the number of cores that other threads leave to runs, at least half of all.
func (u *coreUsage) available() float64 { return max(u.count/2, u.count-u.meanOtherRunnable) }

// intakeShare is the share of the cores that other threads take.
func (u *coreUsage) intakeShare(running int) float64 {
	return min(u.meanOtherRunnable, u.count) / max(u.count, float64(running)+u.meanOtherRunnable)
}
