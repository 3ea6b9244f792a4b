package admission

// ControllerState is a snapshot of what decisions are based on, for logs and tests. Times are in nanoseconds.
type ControllerState struct {
	Limit              float64 `json:"limit"`        // maximum of concurrent runs on the cores
	OnCores            int     `json:"on_cores"`     // runs on the cores
	Queued             int     `json:"held"`         // invocations that have not started
	AwaitingCall       int     `json:"standing"`     // runs whose dependency call has not started
	CallsInFlight      int     `json:"in_hand"`      // runs blocked on a dependency call
	MeanBlocked        float64 `json:"away"`         // mean of the sum of these two
	QueueWait          float64 `json:"wait_ns"`      // until the queue would be empty
	CallWait           float64 `json:"call_wait_ns"` // part of it: until a call requested now would start
	QueueingDelay      float64 `json:"lag_ns"`       // mean age of recent arrivals when they were read
	OtherRunnable      float64 `json:"reading"`      // runnable threads that are not runs
	MeanOtherRunnable  float64 `json:"mean_reading"` // their mean
	ServiceTimeRatio   float64 `json:"pace"`         // service times of recent runs over the usual ones
	StallRatio         float64 `json:"stall"`        // core time over the usual that all present runs have exceeded
	CallerWaitShare    float64 `json:"patient"`      // share of the client timeout for which most callers wait
	CallTime           float64 `json:"call_time_ns"` // usual duration of a call
	CallFailureShare   float64 `json:"call_fails"`   // share of recent calls that failed
	MaxCallTime        float64 `json:"call_room_ns"` // for the next call; 0 where none may start
	CallQuotaUsed      float64 `json:"call_used"`    // share of the quota of calls in flight
	AdvertisedCapacity float64 `json:"open"`         // share of the load that could be asked for
	LastSignal         float64 `json:"said"`         // last backpressure value
	Arrivals           float64 `json:"arrivals"`     // recent ones
	Retries            float64 `json:"echoes"`       // among the recent arrivals
	Rejected           float64 `json:"throttled"`    // recently
	Callers            int     `json:"callers"`      // recent ones
	Memory             float64 `json:"memory_kb"`    // of all invocations
	FleetOverloaded    bool    `json:"all_full"`     // other nodes seem to reject work as well
	Unhealthy          bool    `json:"unhealthy"`
	CoreIdle           bool    `json:"free"` // according to the last gauges
}

// State returns a snapshot of what decisions are based on.
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
		MaxCallTime:        float64(c.maxNextCallTime()),
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

// LoadMetrics are measures of the present load, on which degradation is based.
type LoadMetrics struct {
	DemandByOperation []float64 // by index: share of the cores that recent first attempts need, if served completely
	OverheadShare     float64   // of the cores, for reading and health checks
	QueueWait         float64   // over the shortest latency objective
	QueueingDelay     float64   // over the shortest latency objective
	CallWait          float64   // over the shortest latency objective: until a call requested now would start
	RejectedShare     float64   // of recent arrivals, without those that a degradation level sheds
	MemoryShare       float64   // of the memory
}

// MeasureLoad sets m to the present load. It reuses the memory of m.
func (c *Controller) MeasureLoad(m *LoadMetrics) {
	m.DemandByOperation = m.DemandByOperation[:0]
	for _, op := range c.operations.list {
		m.DemandByOperation = append(m.DemandByOperation, op.demandShare(c.now, c.cores.count))
	}
	m.OverheadShare = c.cores.intakeShare(c.counts.running)
	m.QueueWait = c.queueWait() / c.operations.shortestObjective
	m.QueueingDelay = c.callers.queueingDelay / c.operations.shortestObjective
	m.CallWait = c.callWait() / c.operations.shortestObjective
	m.RejectedShare = c.callers.rejectedShare()
	m.MemoryShare = c.memory.invocationsKB / c.config.MemoryKB
}
