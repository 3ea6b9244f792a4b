package admission

// ControllerState is a snapshot of the quantities on which decisions are based, for logs and tests. Times are in
// nanoseconds; Arrivals, Retries and Rejected are counts that decay at each tick.
type ControllerState struct {
	Limit              float64 `json:"limit"`        // maximum of concurrent runs on the cores
	OnCores            int     `json:"on_cores"`     // runs on the cores
	Queued             int     `json:"held"`         // invocations in the queue, without paused ones
	AwaitingCall       int     `json:"standing"`     // runs that wait for the start of a dependency call
	CallsInFlight      int     `json:"in_hand"`      // runs blocked on a dependency call
	MeanBlocked        float64 `json:"away"`         // smoothed sum of AwaitingCall and CallsInFlight
	QueueWait          float64 `json:"wait_ns"`      // expected wait of an invocation that arrives now, with CallWait
	CallWait           float64 `json:"call_wait_ns"` // expected wait of a call that is requested now
	QueueingDelay      float64 `json:"lag_ns"`       // mean age of recent arrivals when they were read
	OtherRunnable      float64 `json:"reading"`      // runnable threads other than runs, smoothed over gaugeWindowRatio
	MeanOtherRunnable  float64 `json:"mean_reading"` // the same, smoothed over meanGaugeWindowRatio
	ServiceTimeRatio   float64 `json:"pace"`         // service times of recent runs over the usual ones
	StallRatio         float64 `json:"stall"`        // least ratio of spent to usual core time among present runs
	CallerWaitShare    float64 `json:"patient"`      // share of the client timeout until which most callers wait
	CallTime           float64 `json:"call_time_ns"` // usual duration of a call
	CallFailureShare   float64 `json:"call_fails"`   // share of recent calls that failed
	MaxNextCallTime    float64 `json:"call_room_ns"` // maximum duration of the next call; 0 if no call may start
	CallQuotaUsed      float64 `json:"call_used"`    // share of the quota of calls
	AdvertisedCapacity float64 `json:"open"`         // share of the maximum load that callers are asked for
	LastSignal         float64 `json:"said"`         // last backpressure value, -1 before the first
	Arrivals           float64 `json:"arrivals"`     // recent arrivals
	Retries            float64 `json:"echoes"`       // retries among the recent arrivals
	Rejected           float64 `json:"throttled"`    // recent rejections
	Callers            int     `json:"callers"`      // number of recent callers
	Memory             float64 `json:"memory_kb"`    // memory of all invocations in KB, without the deduplication table
	FleetOverloaded    bool    `json:"all_full"`     // other nodes seem to reject work as well
	Unhealthy          bool    `json:"unhealthy"`
	CoreIdle           bool    `json:"free"` // a core was idle at the last gauges
}

// State returns a snapshot of the quantities on which decisions are based.
func (c *Controller) State() ControllerState {
	return ControllerState{
		Limit:              c.concurrency.limit,
		OnCores:            c.counts.running,
		Queued:             c.counts.queued,
		AwaitingCall:       c.counts.awaitingCall,
		CallsInFlight:      c.counts.calling,
		MeanBlocked:        c.calls.meanBlocked,
		QueueWait:          c.queueWait(),
		CallWait:           c.callWait(),
		QueueingDelay:      c.callers.queueingDelay,
		OtherRunnable:      c.cores.otherRunnable,
		MeanOtherRunnable:  c.cores.meanOtherRunnable,
		ServiceTimeRatio:   c.health.serviceTimeRatio.Mean(1),
		StallRatio:         c.health.stallRatio,
		CallerWaitShare:    c.callers.waitShare,
		CallTime:           c.calls.usualDuration(),
		CallFailureShare:   c.calls.failures.Mean(0),
		MaxNextCallTime:    float64(c.maxNextCallTime()),
		CallQuotaUsed:      c.calls.quotaUsed.Sum() / max(1, c.config.CallQuota*float64(c.config.CallQuotaWindow)),
		AdvertisedCapacity: c.backpressure.advertisedCapacity,
		LastSignal:         c.backpressure.lastSignal,
		Arrivals:           c.callers.arrivals,
		Retries:            c.callers.retries,
		Rejected:           c.callers.rejected,
		Callers:            len(c.callers.byCaller.Counts()),
		Memory:             c.memory.invocationsKB,
		FleetOverloaded:    c.backpressure.fleetOverloaded,
		Unhealthy:          c.health.unhealthy,
		CoreIdle:           c.cores.idle,
	}
}

// RunsInProgress returns the number of runs that hold a slot: on the cores, or blocked on a dependency call.
func (c *Controller) RunsInProgress() int { return c.counts.runs() }

// LoadMetrics are the metrics of the present load by which degradation levels are chosen.
type LoadMetrics struct {
	DemandByOperation []float64 // by index: share of the cores that recent first attempts need, if served completely
	OverheadShare     float64   // share of the cores used for reading requests and health checks
	QueueWait         float64   // expected wait of an arrival, as a multiple of the shortest latency objective
	QueueingDelay     float64   // mean age of recent arrivals when they were read, as a multiple of the shortest latency objective
	CallWait          float64   // expected wait for the start of a call, as a multiple of the shortest latency objective
	RejectedShare     float64   // share of recent arrivals that were rejected, except by a degradation level
	MemoryShare       float64   // share of the memory that invocations use
}

// MeasureLoad sets m to the present load. It reuses the memory of m.
func (c *Controller) MeasureLoad(m *LoadMetrics) {
	m.DemandByOperation = m.DemandByOperation[:0]
	for _, op := range c.operations.list {
		m.DemandByOperation = append(m.DemandByOperation, op.demandShare(c.now, c.cores.count))
	}
	m.OverheadShare = c.cores.overheadShare(c.counts.running)
	m.QueueWait = c.queueWait() / c.operations.shortestObjective
	m.QueueingDelay = c.callers.queueingDelay / c.operations.shortestObjective
	m.CallWait = c.callWait() / c.operations.shortestObjective
	m.RejectedShare = c.callers.rejectedShare()
	m.MemoryShare = c.memory.invocationsKB / c.config.MemoryKB
}
