package admission

const (
	coreIdleBelowBusyShare = 0.9 // busy share of all cores below which at least one core counts as idle

	gaugeWindowRatio     = 0.2 // smoothing window as a multiple of the shortest latency objective; short beside a run
	meanGaugeWindowRatio = 2.0 // smoothing window as a multiple of the shortest latency objective; averages bursts
)

// coreUsage measures the use of a node's cores. Threads other than runs read requests or answer health checks.
type coreUsage struct {
	count             float64
	clock             float64 // core time (ns) that a run would have had if it had been on the cores since the start
	otherRunnable     float64 // runnable threads other than runs, smoothed over gaugeWindowRatio
	meanOtherRunnable float64 // the same, smoothed over meanGaugeWindowRatio
	gaugedAt          int64   // time of the last gauge of runnable threads
	idle              bool    // a core was idle at the last gauges
}

// advanceTime advances the core clock. Runs and other threads share the cores equally.
func (u *coreUsage) advanceTime(elapsed float64, running int) {
	u.clock += elapsed * min(1, u.count/max(1, float64(running)+u.otherRunnable))
}

// observeGauges records the gauges of a TimerFired event. The number of runnable threads takes precedence over the share
// of busy time, which lags behind.
func (u *coreUsage) observeGauges(e *Event, now int64, running int, shortestObjective float64) {
	u.idle = e.BusyShare >= 0 && e.BusyShare < coreIdleBelowBusyShare
	if e.RunnableThreads < 0 {
		return
	}
	u.idle = e.RunnableThreads < u.count
	others := max(0, e.RunnableThreads-float64(running))
	elapsed := float64(now-u.gaugedAt) / shortestObjective
	u.otherRunnable += (others - u.otherRunnable) * min(1, elapsed/gaugeWindowRatio)
	u.meanOtherRunnable += (others - u.meanOtherRunnable) * min(1, elapsed/meanGaugeWindowRatio)
	u.gaugedAt = now
}

// available returns the number of cores that other threads leave to runs, at least half of all cores.
func (u *coreUsage) available() float64 { return max(u.count/2, u.count-u.meanOtherRunnable) }

// overheadShare returns the share of the cores that threads other than runs use.
func (u *coreUsage) overheadShare(running int) float64 {
	return min(u.meanOtherRunnable, u.count) / max(u.count, float64(running)+u.meanOtherRunnable)
}
