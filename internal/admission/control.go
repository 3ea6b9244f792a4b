// Package admission holds every decision of a node: what it takes, runs and turns away.
// A host makes one Post for a node's life with New and hands each batch of events to Decide, which returns
// the actions to take, in order. It knows only what it is handed. The interface, types only, is package node.
//
// The ordinary path is that of "Draining, in three beats"; docs/design.md says what was kept and changed.
package admission

import (
	"cmp"
	"fmt"
	"math"
	"math/rand"
	"slices"

	"topazpost/internal/stats"
)

const (
	millisecond = int64(1_000_000) // ns in a millisecond

	tickInterval     = 50 * millisecond     // ns; one timer for all that waits: short beside any client timeout
	answerMargin     = 60 * millisecond     // ns before the due time at which a final answer is given: a beat and a tick
	preDrainDelay    = 5_000 * millisecond  // ns of the paper's pre-drain delay
	drainTimeout     = 20_000 * millisecond // ns of the paper's drain timeout
	killMargin       = 300 * millisecond    // ns kept free before the kill, room for a pause
	redirectLeadTime = 1_000 * millisecond  // ns before the end of intake at which callers are asked away: time to hear

	ratioBins                  = 28                  // bins: ratios of 1/128 to 128
	ratioBinsPerOctave         = 2.0                 // bins to a factor of two: coarse, yet within a fifth
	maxOperationSamples        = 96.0                // samples kept of an operation's usual cost: some ten seconds of a small node
	counterDecay               = 0.98                // of the arrivals remembered that each beat keeps: some seconds of them
	queueingDelaySamples       = 8.0                 // arrivals over which the time unread is taken: a second or two
	gaugeWindow                = 0.2                 // of the shortest objective, for the gauge of others: short beside a run
	meanGaugeWindow            = 2.0                 // the same for their mean, by which the hold is reckoned to clear: bursts pass
	maxServiceTimeRatioSamples = 24.0                // samples of the pace: fewer and a few skewed runs look like a slow node
	maxBlockedOverMean         = 2.0                 // times the mean number off the cores that may be off them: calls come in waves
	minCallerCount             = 0.05                // arrivals of late under which a caller is forgotten: what it heard has lapsed
	minTenantCount             = 0x1p-53             // arrivals of late under which a tenant is forgotten: one more makes no difference
	callQuotaParts             = 3.0                 // one call may take one of so many parts of the share left: some more must fit
	meanBlockedWindow          = 1e9                 // ns over which the mean number off the cores is taken: some runs
	waitTimeBins               = 24                  // parts of a client timeout: fine beside the spread of run times
	minCallersWaiting          = 0.67                // of callers that must still wait to make a run worth while: notices get lost
	demandWindow               = 2_000 * millisecond // ns over which what is asked for is taken: a drop is seen at once
	demandSlices               = 8                   // slices of it
	maxCallSamples             = 8.0                 // samples kept of the present: a second of a small node

	safeOverloadShare           = 0.75 // of the survivable crowd: the rest is room for returns from calls and for pauses
	maxRunMemoryShare           = 0.85 // of the memory that runs and records may take; the hold may take half of the rest
	maxDeduplicationMemoryShare = 0.25 // of the memory for the table of tokens and shared reads
	usableCallQuotaShare        = 0.9  // of the node's share of calls; the rest covers ticks and pauses
	callQuotaSlices             = 10   // slices of the span in which calls in hand are counted
	smallQuotaCallTimeRatio     = 8.0  // times its usual length that a call may take even of a small share
	maxIdleBusyShare            = 0.9  // busy fraction of the cores under which they count as free
	limitGrowth                 = 0.25 // step up of the running limit while cores are free and work waits
	limitBackoff                = 0.8  // part of the best throughput at a lower limit that counts as a drop; the step down

	preemptionRatio           = 1.5   // times the rank of a run from which one that waits takes its place
	minRemainingShare         = 0.4   // of its expected cost that half of all runs do without, and one past it still needs
	highPressure              = 0.5   // of the shortest objective: a longer wait asks callers for less
	spareCapacityRankFactor   = 1e-3  // of its rank, where a level would refuse it but for the spare room
	maxSpareQueueWait         = 0.15  // of the shortest objective: work that is held under which a level need not bind
	lowPressure               = 0.25  // of the shortest objective: a shorter wait asks them for more
	capacityIncrease          = 0.02  // of all that could be asked for, given back for each beat of low pressure
	maxCreditsPerCore         = 4.0   // outstanding invocations a core that credits start from
	capacityDecrease          = 0.05  // part of what is asked for taken back for each beat of high pressure
	minAdvertisedCapacity     = 0.025 // of all that could be asked for, at the least: some must tell when trouble ends
	maxBackpressureLevel      = 0.5   // highest level outside a drain: past it the lowest operations starve at the callers
	unhealthyServiceTimeRatio = 2.0   // times the usual cost past which the node itself counts as slow
	stallDiscountRuns         = 2.0   // runs whose overstaying tells half: a few large ones among few are no stall
	healthyServiceTimeRatio   = 1.4   // times the usual cost under which it counts as sound again
	overloadRetryShare        = 0.3   // of arrivals that are further tries past which other nodes turn work away too
	maxCallAttempts           = 4     // calls made for one need; one that may have run counts for two
	retryableCallTimeRatio    = 6.0   // times its usual length past which a call is repeated, where it may be
)

type invocationState uint8

const (
	stateEnded invocationState = iota
	stateQueued
	stateJoined       // waits for the result of the invocation it repeats
	stateRunning      // on the cores
	stateAwaitingCall // at a call not yet made
	stateCalling      // its call is in hand
	statePaused
)

type invocation struct {
	operation                   *operation
	state                       invocationState
	answered                    bool // a final answer was given or is owed no more
	started, retry              bool // ran: it, or the try it repeats, has started
	tenant                      int32
	callAttempts                int // calls made for its present need
	arrivedAt, deadline         int64
	callStartedAt, callDeadline int64
	queuedKB, rank              float64 // its memory while held, its place in the order of the hold
	baseWork                    float64 // ns: the hint, or the operation's unit where there is none
	workShare, weightShare      float64 // of the work and of the billed value, below 1 for a reduced form
	coreTime, runningSince      float64 // ns of one whole core so far, core clock when it last came on
}

// operation is the terms of an operation, and what is of it under any terms.
type operation struct {
	Operation
	*measurements
}

// measurements is what was measurements of an operation, and what its level leaves of it.
type measurements struct {
	serviceTimes stats.RatioHistogram // own core time of runs, over their base
	blockedTimes stats.RatioHistogram // time a run spent off the cores, over the objective
	demand       stats.SlidingSum     // ns of core time that first tries of late asked for, were all run whole

	service Service // what the level of reduced service leaves of it
}

// Controller decides for one node.
type Controller struct {
	config                   *Config
	random                   *rand.Rand
	startedAt, now, nextTick int64 // next is when the beat is due
	actions                  []Action
	operations               []*operation // by index, nil where it is no operation's
	invocations              []invocation
	live, queueOrder         []int32 // not ended, in order of arrival; the hold, in the order it is to run
	shortestObjective, cores float64 // ns of the shortest latency objective; how many cores there are
	longestObjective         int64   // ns of the longest latency objective
	objectives               stats.MinMax
	callTimeUnit             float64 // ns in which lengths of calls are counted: the shortest objective at birth

	runningCount, callsAwaited, callsInFlight     int     // on the cores, off them with no call made, with one in hand
	queuedCount                                   int     // held
	callLimit                                     int     // calls that the fleet's limit leaves, MaxInt without one
	maxCallTime                                   int64   // ns that one may take then
	deduplicationExpiries                         []int64 // when kept records end
	invocationsKB                                 float64 // kB of what is held and run
	coreClock                                     float64 // ns that a run on the cores has had of one whole core since birth
	meanBlocked, otherRunnable, meanOtherRunnable float64 // mean off the cores; others that want cores, now and as a mean
	waitTimes                                     stats.SurvivalCurve
	callerWaitShare                               float64 // part of the client timeout that most callers wait
	stallRatio                                    float64 // times the usual cost that every run has overstayed
	queueingDelay                                 float64 // ns that arrivals lay unread of late

	runLimit, bestThroughput, completedWork float64 // throughput is the best seen at the last lower limit

	callQuotaUsed                                 stats.SlidingSum     // ns of calls in hand over the last span
	serviceTimeRatio, callFailures, callDurations stats.RatioHistogram // of late; callTime over the shortest objective

	gaugedAt, windowStart, drainRequestedAt, intakeEnd, drainDeadline int64 // gauged: when the gauges came
	arrivedCount, endedCount                                          int   // invocations ever read, and ended
	inFlightAtDrain, endedBeforeDrain                                 int   // in flight and ended at the notice
	unhealthy, coreIdle, drainFinished                                bool  // free: a core was idle at the last beat
	useSpareCapacity                                                  bool  // what levels refuse is served last, the rest whole

	advertisedCapacity, lastSignal float64               // open is the part of all that could be asked for
	fleetOverloaded                bool                  // other nodes seem to turn work away too
	arrivals, retries, rejected    float64               // of late; echoes are further tries among the arrivals
	degraded                       float64               // of late, throttled as their level leaves nothing of them
	callers, tenants               stats.DecayingCounter // arrivals of late, of each that was seen
}

func newRatioHistogram(memory float64) stats.RatioHistogram {
	return stats.NewRatioHistogram(ratioBins, ratioBinsPerOctave, memory)
}

// NewController makes the decisions' state of a node that has just started, on cores that started at now.
func NewController(config *Config, now int64) *Controller {
	cores := float64(config.Cores)
	c := &Controller{config: config, random: rand.New(rand.NewSource(config.Seed)), startedAt: now, now: now, nextTick: now,
		serviceTimeRatio: newRatioHistogram(maxServiceTimeRatioSamples), callFailures: newRatioHistogram(maxCallSamples), callDurations: newRatioHistogram(maxCallSamples),
		waitTimes:     stats.NewSurvivalCurve(waitTimeBins, maxOperationSamples),
		callQuotaUsed: stats.NewSlidingSum(config.CallQuotaWindow, callQuotaSlices),
		windowStart:   now, cores: cores, runLimit: cores, advertisedCapacity: 1, shortestObjective: math.Inf(1), lastSignal: -1,
		callLimit: math.MaxInt, maxCallTime: math.MaxInt64 / 4,
		callerWaitShare: 1}
	for i := range config.Operations {
		if c.operations = append(c.operations, nil); !config.Operations[i].Removed {
			c.configureOperation(int32(i), &config.Operations[i], nil)
		}
	}
	c.callTimeUnit = c.shortestObjective
	if config.ColdStart {
		c.advertisedCapacity = config.ColdSpeedShare
		// What a life before this one may have held counts as used: the dependency's mean still holds it.
		part := usableCallQuotaShare * config.CallQuota * float64(config.CallQuotaWindow) / callQuotaSlices
		for k, began := int64(callQuotaSlices), max(now, config.ProcessStart); k > 0; k-- {
			c.callQuotaUsed.Add(began-k*config.CallQuotaWindow/callQuotaSlices, part)
		}
	}
	return c
}

// Decide is the one entry point: it takes what happened at a moment and returns what to do.
func (c *Controller) Decide(now int64, events []Event) []Action {
	c.actions = c.actions[:0]
	c.advanceClocks(now)
	for i := range events {
		c.apply(&events[i])
	}
	c.advanceDrain()
	c.startCalls()
	c.orderQueue()
	c.startRuns()
	c.enforceMemoryLimit()
	if now >= c.nextTick {
		c.nextTick = now + tickInterval
		c.emit(Action{Kind: SetTimer, At: c.nextTick})
		c.callerWaitShare = c.waitTimes.TimeAtSurvival(minCallersWaiting)
		c.enforceDeadlines()
		c.adjustLimit()
		c.updateHealth()
		c.updateBackpressure()
	}
	c.live = slices.DeleteFunc(c.live, func(i int32) bool {
		over := c.invocations[i].state == stateEnded
		if over {
			c.emit(Action{Kind: Release, Invocation: i})
		}
		return over
	})
	return c.actions
}

func (c *Controller) emit(a Action) { c.actions = append(c.actions, a) }

// advanceClocks moves the clocks: that of the cores, which all runs share, and that of the calls in hand.
func (c *Controller) advanceClocks(now int64) {
	dt := float64(now - c.now)
	c.meanBlocked += (float64(c.callsAwaited+c.callsInFlight) - c.meanBlocked) * min(1, dt/meanBlockedWindow)
	c.coreClock += dt * min(1, c.cores/max(1, float64(c.runningCount)+c.otherRunnable))
	c.callQuotaUsed.Add(now, dt*float64(c.callsInFlight))
	c.now = now
}

func (c *Controller) apply(e *Event) {
	switch i := e.Invocation; {
	case e.Kind == Arrived:
		c.handleArrival(e)
	case e.Kind == DrainRequested:
		c.startDrain(e.KillAt)
	case e.Kind == TimerFired:
		c.coreIdle = e.BusyShare >= 0 && e.BusyShare < maxIdleBusyShare
		if e.RunnableThreads >= 0 {
			c.coreIdle = e.RunnableThreads < c.cores
			others, part := max(0, e.RunnableThreads-float64(c.runningCount)), float64(c.now-c.gaugedAt)/c.shortestObjective
			c.otherRunnable, c.gaugedAt = c.otherRunnable+(others-c.otherRunnable)*min(1, part/gaugeWindow), c.now
			c.meanOtherRunnable += (others - c.meanOtherRunnable) * min(1, part/meanGaugeWindow)
		}
	case e.Kind == CallLimitSet:
		c.callLimit, c.maxCallTime = e.CallLimit, e.MaxCallTime
	case e.Kind == OperationConfigured:
		c.configureOperation(e.OperationIndex, e.Operation, e.Services)
	case e.Kind == DegradationLevelSet:
		c.setDegradationLevel(e.Services, e.UseSpareCapacity)
	case c.invocations[i].state == stateEnded:
	case e.Kind == CallerDisconnected:
		c.observeWait(&c.invocations[i], true)
		c.invocations[i].answered = true
		c.discard(i)
	case e.Kind == CallRequested:
		c.setState(&c.invocations[i], stateAwaitingCall)
	case e.Kind == CallEnded:
		c.callEnded(&c.invocations[i], e.Outcome)
	case e.Kind == RunEnded:
		c.runEnded(i, e.Outcome)
	}
}

// setState moves an invocation to another state and keeps the counts and its core time true.
func (c *Controller) setState(inv *invocation, to invocationState) {
	if inv.state == stateRunning {
		inv.coreTime += c.coreClock - inv.runningSince
	}
	c.account(inv, -1)
	inv.state, inv.runningSince = to, c.coreClock
	c.account(inv, 1)
}

// account counts an invocation in or out of what its state takes up.
func (c *Controller) account(inv *invocation, by int) {
	kb := inv.queuedKB
	if inv.state >= stateRunning {
		kb *= c.config.RunningMemoryFactor
	}
	switch inv.state {
	case stateEnded:
		return
	case stateQueued:
		c.queuedCount += by
	case stateRunning:
		c.runningCount += by
	case stateCalling:
		c.callsInFlight += by
	case stateAwaitingCall:
		c.callsAwaited += by
	}
	c.invocationsKB += float64(by) * kb
}

func (c *Controller) end(i int32) {
	c.setState(&c.invocations[i], stateEnded)
	c.endedCount++
}

// handleArrival takes what was read into the hold, joins it to the invocation it repeats, or turns it away.
func (c *Controller) handleArrival(e *Event) {
	c.invocations = append(c.invocations, make([]invocation, max(0, int(e.Invocation)+1-len(c.invocations)))...)
	inv, op, arrived := &c.invocations[e.Invocation], c.operations[e.OperationIndex], c.now-e.Age
	*inv = invocation{operation: op, tenant: e.Tenant, retry: e.Retry, arrivedAt: arrived, queuedKB: e.QueuedKB,
		deadline: cmp.Or(e.Deadline, arrived+op.ClientTimeout),
		baseWork: float64(cmp.Or(e.ExpectedWork, op.LatencyObjective/8)), workShare: 1, weightShare: 1}
	c.live = append(c.live, e.Invocation)
	c.arrivedCount++
	c.setState(inv, stateQueued)
	c.queueingDelay += (float64(e.Age) - c.queueingDelay) / queueingDelaySamples
	c.arrivals++
	c.callers.Add(e.Caller)
	if e.Retry {
		c.retries++
	} else {
		op.demand.Add(c.now, inv.baseWork*op.serviceTimes.Mean(1)*c.slowdown())
	}
	c.tenants.Add(int64(e.Tenant))
	inv.started = e.Original == OriginalEnded || e.Original >= 0 && c.invocations[e.Original].started
	switch {
	case c.drainRequestedAt != 0 && c.now >= c.intakeEnd:
		c.drop(e.Invocation, ReasonDraining)
	case e.Original != NoOriginal:
		c.emit(Action{Kind: JoinOriginal, Invocation: e.Invocation})
		c.setState(inv, stateJoined)
	case op.service.Form == Shed && !c.useSpareCapacity:
		c.drop(e.Invocation, ReasonDegraded)
	case op.Idempotency == IdempotentWithKey:
		c.recordKey(e.Invocation, inv.arrivedAt+op.DeduplicationWindow)
	case op.Idempotency == Idempotent && c.config.ReadReuseWindow > 0 && e.HasReadKey && !e.Write:
		c.recordKey(e.Invocation, inv.deadline+c.config.ReadReuseWindow)
	}
}

// configureOperation gives an index the terms of its operation, other terms, or none. What was measured stays with
// the index as long as it is an operation's; what was taken keeps the terms that it was taken under.
func (c *Controller) configureOperation(i int32, terms *Operation, service []Service) {
	c.operations = append(c.operations, make([]*operation, max(0, int(i)+1-len(c.operations)))...)
	was := c.operations[i]
	if was != nil {
		c.objectives.Remove(was.LatencyObjective)
	}
	if c.operations[i] = nil; terms != nil {
		op := &operation{Operation: *terms}
		if was != nil {
			op.measurements = was.measurements
		} else {
			op.measurements = &measurements{serviceTimes: newRatioHistogram(maxOperationSamples), blockedTimes: newRatioHistogram(maxOperationSamples),
				demand: stats.NewSlidingSum(demandWindow, demandSlices)}
		}
		if len(service) > 0 {
			op.service = service[0]
		}
		c.operations[i] = op
		c.objectives.Add(op.LatencyObjective)
	}
	if c.objectives.Len() > 0 {
		c.shortestObjective, c.longestObjective = float64(c.objectives.Min()), c.objectives.Max()
	}
}

// setDegradationLevel applies a level of reduced service: what waits unrun and is refused now goes at once,
// unless the plan leaves it the spare room.
func (c *Controller) setDegradationLevel(services []Service, spare bool) {
	c.useSpareCapacity = spare
	for k, op := range c.operations {
		if op == nil {
			continue
		}
		if op.service = (Service{}); k < len(services) {
			op.service = services[k]
		}
	}
	for _, i := range c.live {
		inv := &c.invocations[i]
		if inv.state == stateQueued && !inv.started {
			if inv.workShare, inv.weightShare = 1, 1; inv.operation.service.Form == Shed && !c.useSpareCapacity {
				c.drop(i, ReasonDegraded)
			}
		}
	}
}

// hasSpareCapacity says whether a level need not reduce: the plan allows that, and what is held is gone within a moment.
func (c *Controller) hasSpareCapacity() bool {
	return c.useSpareCapacity && c.pendingWork(stateQueued) < maxSpareQueueWait*c.shortestObjective*c.availableCores()
}

// recordKey guards against a second effect; a tokened invocation that finds no room is turned away unrun.
func (c *Controller) recordKey(i int32, until int64) {
	room := c.config.MaxDeduplicationEntries == 0 || len(c.deduplicationExpiries) < c.config.MaxDeduplicationEntries
	if room && c.deduplicationKB()+c.config.DeduplicationEntryKB <= maxDeduplicationMemoryShare*c.config.MemoryKB && until > c.now {
		c.emit(Action{Kind: RecordKey, Invocation: i, Duration: until - c.now})
		c.deduplicationExpiries = append(c.deduplicationExpiries, until)
	} else if c.invocations[i].operation.Idempotency == IdempotentWithKey {
		c.drop(i, ReasonMemory)
	}
}

func (c *Controller) deduplicationKB() float64 {
	return float64(len(c.deduplicationExpiries)) * c.config.DeduplicationEntryKB
}

// drop gives the final answer to what will not be served, at once.
func (c *Controller) drop(i int32, why Reason) {
	inv := &c.invocations[i]
	if inv.answered {
		return
	}
	c.observeWait(inv, false)
	if inv.answered = true; inv.state == stateQueued && !inv.started {
		if why == ReasonDegraded {
			c.degraded++
		}
		if c.rejected++; !c.config.RetriesMarked {
			c.retries++ // where they bear no mark, what is turned away here tells of those to come
		}
		c.emit(Action{Kind: Reject, Invocation: i, Duration: c.retryAfter(), NoRetry: inv.retry || c.fleetOverloaded,
			Reason: why})
	} else {
		c.emit(Action{Kind: Fail, Invocation: i, Reason: why})
	}
	c.discard(i)
}

// observeWait learns, by part of the client timeout, how long callers wait: most leave well before it.
func (c *Controller) observeWait(inv *invocation, left bool) {
	if !inv.answered {
		c.waitTimes.Add(float64(c.now-inv.arrivedAt)/float64(inv.operation.ClientTimeout), left)
	}
}

// discard drops what needs no answer more; a run is stopped if that is allowed, one at a call ends by itself.
func (c *Controller) discard(i int32) {
	switch c.invocations[i].state {
	case stateQueued, stateJoined, statePaused:
		c.end(i)
	case stateRunning:
		if c.config.StopSupport != StopUnsupported {
			c.emit(Action{Kind: Stop, Invocation: i})
		}
	}
}

// retryAfter names the time after which the node can take more: the end of its life, or of its backlog.
func (c *Controller) retryAfter() int64 {
	if c.drainRequestedAt != 0 {
		return c.config.MaxRetryAfter
	}
	return min(c.config.MaxRetryAfter, int64((0.5+c.random.Float64())*c.queueWait())) // spread, not all at once
}

// Order of the hold.

// remainingWork is the core time that an invocation is still to take.
func (c *Controller) remainingWork(inv *invocation) float64 {
	cost, spent := inv.baseWork*inv.workShare*inv.operation.serviceTimes.Mean(1)*c.slowdown(), inv.coreTime
	if inv.state == stateRunning {
		spent += c.coreClock - inv.runningSince
	}
	return max(cost-spent, minRemainingShare*cost)
}

func (c *Controller) slowdown() float64 { return max(c.serviceTimeRatio.Mean(1), c.stallRatio) }

// pendingWork is the core time that those in a state still need.
func (c *Controller) pendingWork(of invocationState) (sum float64) {
	for _, i := range c.live {
		if inv := &c.invocations[i]; inv.state == of {
			sum += c.remainingWork(inv)
		}
	}
	return sum
}

// availableCores is what reading and checks leave to runs while the hold clears.
func (c *Controller) availableCores() float64 { return max(c.cores/2, c.cores-c.meanOtherRunnable) }

// queueWait is how long the hold would take to clear, with the time that arrivals lay unread while any do.
func (c *Controller) queueWait() float64 {
	return c.pendingWork(stateQueued)/c.availableCores() + c.queueingDelay*min(1, c.otherRunnable) + c.callWait()
}

// callWait is how long one that comes to a call now would stand there until it is made.
func (c *Controller) callWait() float64 {
	return float64(c.callsAwaited) / float64(max(1, c.callsInFlight)) * c.callDurations.Mean(0) * c.callTimeUnit
}

func (c *Controller) objectiveEnd(inv *invocation) float64 {
	return min(float64(inv.arrivedAt+inv.operation.LatencyObjective)+inv.operation.ObjectivePerWork*inv.baseWork, c.abandonmentTime(inv))
}

// abandonmentTime is when most callers have abandonmentTime an invocation, or its due time.
func (c *Controller) abandonmentTime(inv *invocation) float64 {
	return min(float64(inv.deadline-answerMargin), float64(inv.arrivedAt)+c.callerWaitShare*float64(inv.operation.ClientTimeout))
}

// orderQueue ranks the hold and gives up at once on what is unlikely to end in time to earn anything. Guards
// against work wasted on late answers, whatever made them late; does harm while large ones inflate the costs.
func (c *Controller) orderQueue() {
	c.queueOrder = c.queueOrder[:0]
	for _, i := range c.live {
		if inv := &c.invocations[i]; inv.state == stateQueued || inv.state == statePaused {
			if !inv.started && inv.operation.service.WorkShare > 0 {
				inv.workShare, inv.weightShare = inv.operation.service.WorkShare, inv.operation.service.WeightShare
			}
			c.updateRank(inv)
			c.queueOrder = append(c.queueOrder, i)
		}
	}
	slices.SortStableFunc(c.queueOrder, c.byRank)
	ahead := c.pendingWork(stateRunning)
	c.queueOrder = slices.DeleteFunc(c.queueOrder, func(i int32) bool {
		inv := &c.invocations[i]
		end := c.expectedEnd(inv)
		if float64(c.runningCount) >= c.cores || i != c.queueOrder[0] {
			end += ahead / c.availableCores()
		}
		if end-minRemainingShare*c.remainingWork(inv) > c.objectiveEnd(inv) && (inv.operation.LateWeightShare == 0 || end > c.abandonmentTime(inv)) {
			levelled := inv.operation.service.Form == Shed
			c.drop(i, map[bool]Reason{false: ReasonUnlikelyInTime, true: ReasonDegraded}[levelled])
			return true
		}
		ahead += c.remainingWork(inv)
		return false
	})
}

// updateRank sets the place in the order: billed value for each unit of core time, by the chance to end in time.
func (c *Controller) updateRank(inv *invocation) {
	inv.rank = inv.operation.PriorityWeight * inv.weightShare * c.tenantWeightShare(inv.tenant)
	if !c.config.WeightScalesWithWork {
		inv.rank /= c.remainingWork(inv)
	}
	if inv.operation.service.Form == Shed && !inv.started {
		inv.rank *= spareCapacityRankFactor
	}
	if need, slack := c.expectedEnd(inv)-float64(c.now), c.objectiveEnd(inv)-float64(c.now); need > slack {
		inv.rank *= inv.operation.LateWeightShare
	} else {
		inv.rank *= 1 - math.Exp(-slack/need)
	}
}

// expectedEnd is when an invocation would end if it ran from now on.
func (c *Controller) expectedEnd(inv *invocation) float64 {
	end := float64(c.now) + c.remainingWork(inv)
	if inv.operation.CallsDependency {
		end += inv.operation.blockedTimes.Mean(0)*float64(inv.operation.LatencyObjective) + c.callWait()
	}
	return end
}

// tenantWeightShare is the expected part of full value for a tenant that may be over its share of the fleet.
func (c *Controller) tenantWeightShare(tenant int32) float64 {
	if tenant < 0 || c.config.TenantRates[tenant] <= 0 {
		return 1
	}
	share := c.config.TenantRates[tenant] / float64(max(1, c.config.Peers)) * float64(tickInterval) / 1e9 / (1 - counterDecay)
	inside := share / max(share, c.tenants.Count(int64(tenant)))
	return inside + (1-inside)*c.config.OverQuotaWeightShare
}

// maxSafeConcurrency is the crowd on the cores that is safe now, at the slowest warm-up that is guaranteed.
func (c *Controller) maxSafeConcurrency() float64 {
	warm := 1.0
	if c.config.ColdStart {
		age := float64(c.now-c.startedAt) / float64(max(1, c.config.WarmUpTime))
		warm = min(1, c.config.ColdSpeedShare+(1-c.config.ColdSpeedShare)*age)
	}
	return safeOverloadShare * c.cores * (1 + (c.config.OverloadMultiple-1)*warm)
}

// startRuns starts the hold in order. Reading counts towards the limit, but one run always goes on. What left
// the cores returns unasked, so it has a bound with runs: the crowd or, with no core free, twice its usual.
func (c *Controller) startRuns() {
	room, all := max(1, c.runLimit-c.otherRunnable), c.maxSafeConcurrency()
	if !c.coreIdle {
		all = min(all, room+maxBlockedOverMean*c.meanBlocked)
	}
	for _, i := range c.queueOrder {
		inv := &c.invocations[i]
		if float64(c.runningCount) >= room || float64(c.runningCount+c.callsAwaited+c.callsInFlight) >= all {
			c.preemptFor(inv)
			return
		}
		if inv.state == stateQueued && c.invocationsKB+c.deduplicationKB()+inv.queuedKB*(c.config.RunningMemoryFactor-1) > maxRunMemoryShare*c.config.MemoryKB {
			continue
		}
		form := Complete
		if inv.operation.service.Form == Reduced && !inv.started && c.hasSpareCapacity() {
			inv.workShare, inv.weightShare = 1, 1
		} else if inv.workShare < 1 {
			form = Reduced
		}
		inv.started = true
		c.emit(Action{Kind: Run, Invocation: i, Form: form})
		c.setState(inv, stateRunning)
	}
}

// preemptFor pauses the run of the lowest rank where one that waits ranks far above it and it still ends in time
// after that. Guards against short objectives missed behind long runs; does harm where expectations fail.
func (c *Controller) preemptFor(first *invocation) {
	least, key, takes := int32(-1), first.rank, c.remainingWork(first)
	for _, i := range c.live {
		if inv := &c.invocations[i]; inv.state == stateRunning && !inv.answered && c.expectedEnd(inv)+takes < c.objectiveEnd(inv) {
			if c.updateRank(inv); inv.rank*preemptionRatio < key {
				least, key = i, inv.rank*preemptionRatio
			}
		}
	}
	if least >= 0 && c.config.StopSupport == StopKeepsProgress {
		c.emit(Action{Kind: Stop, Invocation: least})
	}
}

// adjustLimit grows the limit while cores are free and work waits, and backs off when throughput drops.
func (c *Controller) adjustLimit() {
	waiting := len(c.queueOrder) > 0 && float64(c.runningCount) >= c.runLimit-1
	if !c.coreIdle {
		c.runLimit -= limitGrowth
	} else if waiting {
		c.runLimit += max(1, limitGrowth*c.runLimit)
	}
	if c.now-c.windowStart >= 20*tickInterval {
		rate := c.completedWork / float64(c.now-c.windowStart)
		if c.runLimit > c.cores && waiting && rate < limitBackoff*c.bestThroughput {
			c.runLimit *= limitBackoff
		} else if c.runLimit <= c.cores || rate > c.bestThroughput {
			c.bestThroughput = rate
		}
		c.completedWork, c.windowStart = 0, c.now
	}
	c.runLimit = max(c.cores, min(c.runLimit, c.maxSafeConcurrency()))
}

// runEnded closes a run and learns what it cost.
func (c *Controller) runEnded(i int32, outcome Outcome) {
	inv := &c.invocations[i]
	if outcome == Stopped && !inv.answered && c.config.StopSupport != StopUnsupported {
		c.setState(inv, map[StopSupport]invocationState{StopKeepsProgress: statePaused, StopDiscardsProgress: stateQueued}[c.config.StopSupport])
		return
	}
	if inv.state == stateCalling {
		c.callQuotaUsed.Add(c.now, float64(c.config.AbandonedCallTime))
	}
	c.observeWait(inv, false)
	own, usual := inv.state != stateJoined, inv.baseWork*inv.workShare*inv.operation.serviceTimes.Mean(1)
	if c.end(i); own && (outcome == Succeeded || inv.coreTime > usual) {
		c.serviceTimeRatio.Add(inv.coreTime / usual)
		inv.operation.serviceTimes.Add(inv.coreTime / (inv.baseWork * inv.workShare))
		c.completedWork += usual
	}
}

// startCalls makes the calls that runs stand at, highest billed value first, then the oldest. If allowed, one
// that failed, or may fail or be late, is left out; else what can't end in time is given up while one is in
// hand: were none made, nothing would tell that calls are short again.
func (c *Controller) startCalls() {
	c.queueOrder = c.queueOrder[:0]
	for _, i := range c.live {
		if inv := &c.invocations[i]; inv.state == stateAwaitingCall && !inv.answered {
			inv.rank = inv.operation.PriorityWeight * inv.weightShare
			c.queueOrder = append(c.queueOrder, i)
		}
	}
	slices.SortStableFunc(c.queueOrder, c.byRank)
	for _, i := range c.queueOrder {
		inv, room := &c.invocations[i], c.nextCallTimeLimit()
		until, failed := min(inv.deadline-answerMargin, c.now+min(room, c.maxCallTime)), inv.callAttempts >= maxCallAttempts
		skippable, latest := inv.operation.SkippedCallWeightShare > 0, int64(c.objectiveEnd(inv)-c.remainingWork(inv))
		if skippable {
			until = min(until, latest)
		} else if inv.operation.Idempotency == Idempotent && inv.callAttempts < maxCallAttempts/2 && c.callDurations.Mean(0) > 0 {
			until = min(until, c.now+int64(retryableCallTimeRatio*c.callDurations.Mean(0)*c.callTimeUnit))
		}
		switch {
		case skippable && (failed || latest <= c.now || c.random.Float64() < c.callFailures.Mean(0)):
			c.emit(Action{Kind: SkipCall, Invocation: i})
			c.setState(inv, stateRunning)
		case failed, !skippable && inv.operation.LateWeightShare == 0 && c.callsInFlight > 0 &&
			float64(c.now)+c.callDurations.Mean(0)*c.callTimeUnit > c.objectiveEnd(inv):
			c.drop(i, ReasonNoCallCapacity)
		case room > 0 && until > c.now && c.callsInFlight < c.callLimit:
			inv.callStartedAt, inv.callDeadline, inv.callAttempts = c.now, until, inv.callAttempts+1
			c.emit(Action{Kind: StartCall, Invocation: i, At: until})
			c.setState(inv, stateCalling)
		}
	}
}

func (c *Controller) byRank(a, b int32) int {
	return cmp.Compare(c.invocations[b].rank, c.invocations[a].rank)
}

// nextCallTimeLimit is how long one more call may take: a third of the share left if all in hand are left at the
// last, or some times the usual. Guards against hangs, small shares; does harm where calls grow longer.
func (c *Controller) nextCallTimeLimit() int64 {
	if c.config.Dependency != SharedDependency || c.callLimit < math.MaxInt { // a lease counts calls, not their time
		return math.MaxInt64 / 4
	}
	linger := float64(c.config.AbandonedCallTime)
	spare := usableCallQuotaShare*c.config.CallQuota*float64(c.config.CallQuotaWindow) - c.callQuotaUsed.Sum()
	for _, i := range c.live {
		if inv := &c.invocations[i]; inv.state == stateCalling {
			spare -= float64(max(0, inv.callDeadline-c.now)) + linger
		}
	}
	usual := c.callDurations.Mean(0) * c.callTimeUnit
	room := max(spare/callQuotaParts-linger, min(spare-linger, smallQuotaCallTimeRatio*usual))
	if room < 2*usual {
		return 0
	}
	return int64(room)
}

// callEnded learns how calls go; one that failed is repeated if known not to have run, or once if idempotent.
// Guards against replies spoilt or lost; does harm where a dependency fails for the calls that it gets.
func (c *Controller) callEnded(inv *invocation, outcome Outcome) {
	took := float64(c.now - inv.callStartedAt)
	c.callDurations.Add(took / c.callTimeUnit)
	if outcome == Succeeded {
		inv.operation.blockedTimes.Add(took / float64(inv.operation.LatencyObjective))
		c.callFailures.Add(0)
		inv.callAttempts = 0
		c.setState(inv, stateRunning)
		return
	}
	c.callFailures.Add(1)
	c.setState(inv, stateAwaitingCall)
	if outcome != Overloaded && outcome != Unreachable {
		inv.callAttempts += 1 + maxCallAttempts*int(inv.operation.Idempotency) // no more, unless it is idempotent
		c.callQuotaUsed.Add(c.now, float64(c.config.AbandonedCallTime))
	}
}

// enforceDeadlines answers what is due and stops runs that can earn nothing more.
func (c *Controller) enforceDeadlines() {
	for _, i := range c.live {
		inv := &c.invocations[i]
		futile := inv.state == stateRunning && c.config.StopSupport != StopUnsupported && inv.operation.LateWeightShare == 0
		if inv.state != stateEnded && (futile && float64(c.now) > c.objectiveEnd(inv) || c.now >= inv.deadline-answerMargin) {
			c.drop(i, ReasonDeadline)
		}
		if inv.state == stateRunning && inv.answered {
			c.discard(i) // again: a stop has no effect while the cores stand still
		}
	}
}

// enforceMemoryLimit turns away the end of the hold before memory runs out and forgets records that ended.
func (c *Controller) enforceMemoryLimit() {
	c.deduplicationExpiries = slices.DeleteFunc(c.deduplicationExpiries, func(until int64) bool { return until < c.now })
	for k := len(c.queueOrder) - 1; k >= 0 && c.invocationsKB+c.deduplicationKB() > (1+maxRunMemoryShare)/2*c.config.MemoryKB; k-- {
		if c.invocations[c.queueOrder[k]].state == stateQueued {
			c.drop(c.queueOrder[k], ReasonMemory)
		}
	}
}

// startDrain is beat 1: bad health, a sample of what is in flight. Both durations shrink to fit under the kill,
// the delay only as far as the longest objective needs: guards against refusals while callers hear late.
func (c *Controller) startDrain(kill int64) {
	if c.drainRequestedAt == 0 {
		c.drainRequestedAt, c.inFlightAtDrain, c.endedBeforeDrain = c.now, c.arrivedCount-c.endedCount, c.endedCount
		c.intakeEnd, c.drainDeadline = math.MaxInt64, math.MaxInt64
		c.unhealthy, c.nextTick = true, c.now
		c.reportHealth()
	}
	room := max(0, kill-killMargin-c.drainRequestedAt)
	scale := min(1, float64(room)/float64(preDrainDelay+drainTimeout))
	delay := max(int64(scale*float64(preDrainDelay)), min(preDrainDelay, room-c.longestObjective))
	c.intakeEnd = min(c.intakeEnd, c.drainRequestedAt+min(delay, c.config.DrainGrace))
	c.drainDeadline = min(c.drainDeadline, c.drainRequestedAt+room, c.intakeEnd+int64(scale*float64(drainTimeout)))
}

// advanceDrain stops intake and ends beat 3 once nothing is open; at the deadline the rest is aborted, counted.
func (c *Controller) advanceDrain() {
	if c.drainRequestedAt == 0 || c.drainFinished || c.now < c.intakeEnd {
		return
	}
	c.emit(Action{Kind: StopAccepting})
	abandoned, completed := 0, c.endedCount-c.endedBeforeDrain
	for _, i := range c.live {
		if inv := &c.invocations[i]; inv.state != stateEnded && !inv.answered {
			if c.now < c.drainDeadline {
				return
			}
			abandoned++
			c.drop(i, ReasonDraining)
		}
	}
	c.drainFinished = true
	c.emit(Action{Kind: Exit, Report: fmt.Sprintf(
		"drain: in flight at start %d, completed %d, abandoned %d", c.inFlightAtDrain, completed, abandoned)})
}

// updateHealth reports bad in a drain or while doing worse than usual; were full ones bad, none were left.
func (c *Controller) updateHealth() {
	if c.stallRatio = 0; c.runningCount == 0 {
		c.serviceTimeRatio.Add(1) // an idle node comes back: nothing else would tell it that it may
	}
	for _, i := range c.live {
		inv := &c.invocations[i]
		usual := inv.baseWork * inv.workShare * inv.operation.serviceTimes.Mean(1)
		stay := (inv.coreTime + c.coreClock - inv.runningSince) / usual / (1 + stallDiscountRuns/float64(c.runningCount))
		if inv.state == stateRunning && 2*float64(c.runningCount) > c.cores && (c.stallRatio == 0 || stay < c.stallRatio) {
			c.stallRatio = stay
		}
	}
	was, pace := c.unhealthy, c.slowdown()
	c.unhealthy = c.drainRequestedAt != 0 || pace > unhealthyServiceTimeRatio || c.unhealthy && pace > healthyServiceTimeRatio
	if c.unhealthy != was || c.lastSignal < 0 {
		c.reportHealth()
	}
}

// reportHealth answers checks from store, since a full one costs work.
func (c *Controller) reportHealth() {
	c.emit(Action{Kind: ReportHealth, Healthy: !c.unhealthy, Cached: true})
}

// updateBackpressure tells callers how much to send: less while the wait is long, more while it is short.
func (c *Controller) updateBackpressure() {
	c.arrivals, c.retries = c.arrivals*counterDecay, c.retries*counterDecay
	c.rejected, c.degraded = c.rejected*counterDecay, c.degraded*counterDecay
	sum, squares := 0.0, 1e-9
	for _, n := range c.callers.Counts() {
		sum, squares = sum+math.Round(n), squares+math.Round(n)*math.Round(n)
	}
	c.fleetOverloaded = c.rejected > overloadRetryShare/2*c.arrivals && (c.fleetOverloaded || c.retries > overloadRetryShare*c.arrivals)
	c.callers.Decay(counterDecay, minCallerCount)
	c.tenants.Decay(counterDecay, minTenantCount)
	if wait := c.queueWait(); wait > highPressure*c.shortestObjective {
		c.advertisedCapacity = max(minAdvertisedCapacity, c.advertisedCapacity*(1-capacityDecrease))
	} else if wait < lowPressure*c.shortestObjective {
		c.advertisedCapacity = min(1, c.advertisedCapacity+capacityIncrease)
	}
	value, away := c.advertisedCapacity, 0.0
	if c.config.Backpressure == BackpressureLevel {
		value, away = maxBackpressureLevel*(1-c.advertisedCapacity), 1
	} else if c.config.Backpressure == BackpressureCredits { // for each caller that counts, unequal as they are
		value *= maxCreditsPerCore * c.cores / max(1, sum*sum/squares)
	}
	if c.drainRequestedAt != 0 && c.now >= c.intakeEnd-redirectLeadTime {
		value = away
	}
	value = math.Ceil(value*100) / 100 // never rounded to nothing
	if value != c.lastSignal && c.config.Backpressure != NoBackpressure {
		c.emit(Action{Kind: SignalBackpressure, Value: value})
	}
	c.lastSignal = value
}

// State is what decisions stand on now; it changes nothing.
func (c *Controller) State() ControllerState {
	return ControllerState{Limit: c.runLimit, OnCores: c.runningCount, Queued: c.queuedCount, AwaitingCall: c.callsAwaited,
		CallsInFlight: c.callsInFlight, MeanBlocked: c.meanBlocked,
		QueueWait: c.queueWait(), CallWait: c.callWait(), QueueingDelay: c.queueingDelay, OtherRunnable: c.otherRunnable, MeanOtherRunnable: c.meanOtherRunnable,
		ServiceTimeRatio: c.serviceTimeRatio.Mean(1), StallRatio: c.stallRatio, CallerWaitShare: c.callerWaitShare, CallTime: c.callDurations.Mean(0) * c.callTimeUnit,
		CallFailureShare: c.callFailures.Mean(0), MaxCallTime: float64(c.nextCallTimeLimit()), AdvertisedCapacity: c.advertisedCapacity, LastSignal: c.lastSignal,
		CallQuotaUsed: c.callQuotaUsed.Sum() / max(1, c.config.CallQuota*float64(c.config.CallQuotaWindow)),
		Arrivals:      c.arrivals, Retries: c.retries, Rejected: c.rejected, Callers: len(c.callers.Counts()),
		Memory: c.invocationsKB, FleetOverloaded: c.fleetOverloaded, Unhealthy: c.unhealthy, CoreIdle: c.coreIdle}
}

// MeasureLoad tells of the present what concerns more than one invocation, into m.
func (c *Controller) MeasureLoad(m *LoadMetrics) {
	m.DemandByOperation = m.DemandByOperation[:0]
	for _, op := range c.operations {
		if op == nil {
			m.DemandByOperation = append(m.DemandByOperation, 0)
			continue
		}
		op.demand.Add(c.now, 0)
		m.DemandByOperation = append(m.DemandByOperation, op.demand.Sum()/(float64(demandWindow)*c.cores))
	}
	m.IntakeShare = min(c.meanOtherRunnable, c.cores) / max(c.cores, float64(c.runningCount)+c.meanOtherRunnable)
	m.QueueWait, m.QueueingDelay, m.CallWait = c.queueWait()/c.shortestObjective, c.queueingDelay/c.shortestObjective, c.callWait()/c.shortestObjective
	m.RejectedShare, m.MemoryShare = (c.rejected-c.degraded)/max(1, c.arrivals), c.invocationsKB/c.config.MemoryKB
}
