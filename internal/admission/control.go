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
	p := &Controller{config: config, random: rand.New(rand.NewSource(config.Seed)), startedAt: now, now: now, nextTick: now,
		serviceTimeRatio: newRatioHistogram(maxServiceTimeRatioSamples), callFailures: newRatioHistogram(maxCallSamples), callDurations: newRatioHistogram(maxCallSamples),
		waitTimes:     stats.NewSurvivalCurve(waitTimeBins, maxOperationSamples),
		callQuotaUsed: stats.NewSlidingSum(config.CallQuotaWindow, callQuotaSlices),
		windowStart:   now, cores: cores, runLimit: cores, advertisedCapacity: 1, shortestObjective: math.Inf(1), lastSignal: -1,
		callLimit: math.MaxInt, maxCallTime: math.MaxInt64 / 4,
		callerWaitShare: 1}
	for i := range config.Operations {
		if p.operations = append(p.operations, nil); !config.Operations[i].Removed {
			p.configureOperation(int32(i), &config.Operations[i], nil)
		}
	}
	p.callTimeUnit = p.shortestObjective
	if config.ColdStart {
		p.advertisedCapacity = config.ColdSpeedShare
		// What a life before this one may have held counts as used: the dependency's mean still holds it.
		part := usableCallQuotaShare * config.CallQuota * float64(config.CallQuotaWindow) / callQuotaSlices
		for k, began := int64(callQuotaSlices), max(now, config.ProcessStart); k > 0; k-- {
			p.callQuotaUsed.Add(began-k*config.CallQuotaWindow/callQuotaSlices, part)
		}
	}
	return p
}

// Decide is the one entry point: it takes what happened at a moment and returns what to do.
func (p *Controller) Decide(now int64, events []Event) []Action {
	p.actions = p.actions[:0]
	p.advanceClocks(now)
	for i := range events {
		p.apply(&events[i])
	}
	p.advanceDrain()
	p.startCalls()
	p.orderQueue()
	p.startRuns()
	p.enforceMemoryLimit()
	if now >= p.nextTick {
		p.nextTick = now + tickInterval
		p.emit(Action{Kind: SetTimer, At: p.nextTick})
		p.callerWaitShare = p.waitTimes.TimeAtSurvival(minCallersWaiting)
		p.enforceDeadlines()
		p.adjustLimit()
		p.updateHealth()
		p.updateBackpressure()
	}
	p.live = slices.DeleteFunc(p.live, func(i int32) bool {
		over := p.invocations[i].state == stateEnded
		if over {
			p.emit(Action{Kind: Release, Invocation: i})
		}
		return over
	})
	return p.actions
}

func (p *Controller) emit(a Action) { p.actions = append(p.actions, a) }

// advanceClocks moves the clocks: that of the cores, which all runs share, and that of the calls in hand.
func (p *Controller) advanceClocks(now int64) {
	dt := float64(now - p.now)
	p.meanBlocked += (float64(p.callsAwaited+p.callsInFlight) - p.meanBlocked) * min(1, dt/meanBlockedWindow)
	p.coreClock += dt * min(1, p.cores/max(1, float64(p.runningCount)+p.otherRunnable))
	p.callQuotaUsed.Add(now, dt*float64(p.callsInFlight))
	p.now = now
}

func (p *Controller) apply(e *Event) {
	switch i := e.Invocation; {
	case e.Kind == Arrived:
		p.handleArrival(e)
	case e.Kind == DrainRequested:
		p.startDrain(e.KillAt)
	case e.Kind == TimerFired:
		p.coreIdle = e.BusyShare >= 0 && e.BusyShare < maxIdleBusyShare
		if e.RunnableThreads >= 0 {
			p.coreIdle = e.RunnableThreads < p.cores
			others, part := max(0, e.RunnableThreads-float64(p.runningCount)), float64(p.now-p.gaugedAt)/p.shortestObjective
			p.otherRunnable, p.gaugedAt = p.otherRunnable+(others-p.otherRunnable)*min(1, part/gaugeWindow), p.now
			p.meanOtherRunnable += (others - p.meanOtherRunnable) * min(1, part/meanGaugeWindow)
		}
	case e.Kind == CallLimitSet:
		p.callLimit, p.maxCallTime = e.CallLimit, e.MaxCallTime
	case e.Kind == OperationConfigured:
		p.configureOperation(e.OperationIndex, e.Operation, e.Services)
	case e.Kind == DegradationLevelSet:
		p.setDegradationLevel(e.Services, e.UseSpareCapacity)
	case p.invocations[i].state == stateEnded:
	case e.Kind == CallerDisconnected:
		p.observeWait(&p.invocations[i], true)
		p.invocations[i].answered = true
		p.discard(i)
	case e.Kind == CallRequested:
		p.setState(&p.invocations[i], stateAwaitingCall)
	case e.Kind == CallEnded:
		p.callEnded(&p.invocations[i], e.Outcome)
	case e.Kind == RunEnded:
		p.runEnded(i, e.Outcome)
	}
}

// setState moves an invocation to another state and keeps the counts and its core time true.
func (p *Controller) setState(v *invocation, to invocationState) {
	if v.state == stateRunning {
		v.coreTime += p.coreClock - v.runningSince
	}
	p.account(v, -1)
	v.state, v.runningSince = to, p.coreClock
	p.account(v, 1)
}

// account counts an invocation in or out of what its state takes up.
func (p *Controller) account(v *invocation, by int) {
	kb := v.queuedKB
	if v.state >= stateRunning {
		kb *= p.config.RunningMemoryFactor
	}
	switch v.state {
	case stateEnded:
		return
	case stateQueued:
		p.queuedCount += by
	case stateRunning:
		p.runningCount += by
	case stateCalling:
		p.callsInFlight += by
	case stateAwaitingCall:
		p.callsAwaited += by
	}
	p.invocationsKB += float64(by) * kb
}

func (p *Controller) end(i int32) {
	p.setState(&p.invocations[i], stateEnded)
	p.endedCount++
}

// handleArrival takes what was read into the hold, joins it to the invocation it repeats, or turns it away.
func (p *Controller) handleArrival(e *Event) {
	p.invocations = append(p.invocations, make([]invocation, max(0, int(e.Invocation)+1-len(p.invocations)))...)
	v, op, arrived := &p.invocations[e.Invocation], p.operations[e.OperationIndex], p.now-e.Age
	*v = invocation{operation: op, tenant: e.Tenant, retry: e.Retry, arrivedAt: arrived, queuedKB: e.QueuedKB,
		deadline: cmp.Or(e.Deadline, arrived+op.ClientTimeout),
		baseWork: float64(cmp.Or(e.ExpectedWork, op.LatencyObjective/8)), workShare: 1, weightShare: 1}
	p.live = append(p.live, e.Invocation)
	p.arrivedCount++
	p.setState(v, stateQueued)
	p.queueingDelay += (float64(e.Age) - p.queueingDelay) / queueingDelaySamples
	p.arrivals++
	p.callers.Add(e.Caller)
	if e.Retry {
		p.retries++
	} else {
		op.demand.Add(p.now, v.baseWork*op.serviceTimes.Mean(1)*p.slowdown())
	}
	p.tenants.Add(int64(e.Tenant))
	v.started = e.Original == OriginalEnded || e.Original >= 0 && p.invocations[e.Original].started
	switch {
	case p.drainRequestedAt != 0 && p.now >= p.intakeEnd:
		p.drop(e.Invocation, ReasonDraining)
	case e.Original != NoOriginal:
		p.emit(Action{Kind: JoinOriginal, Invocation: e.Invocation})
		p.setState(v, stateJoined)
	case op.service.Form == Shed && !p.useSpareCapacity:
		p.drop(e.Invocation, ReasonDegraded)
	case op.Idempotency == IdempotentWithKey:
		p.recordKey(e.Invocation, v.arrivedAt+op.DeduplicationWindow)
	case op.Idempotency == Idempotent && p.config.ReadReuseWindow > 0 && e.HasReadKey && !e.Write:
		p.recordKey(e.Invocation, v.deadline+p.config.ReadReuseWindow)
	}
}

// configureOperation gives an index the terms of its operation, other terms, or none. What was measured stays with
// the index as long as it is an operation's; what was taken keeps the terms that it was taken under.
func (p *Controller) configureOperation(i int32, terms *Operation, service []Service) {
	p.operations = append(p.operations, make([]*operation, max(0, int(i)+1-len(p.operations)))...)
	was := p.operations[i]
	if was != nil {
		p.objectives.Remove(was.LatencyObjective)
	}
	if p.operations[i] = nil; terms != nil {
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
		p.operations[i] = op
		p.objectives.Add(op.LatencyObjective)
	}
	if p.objectives.Len() > 0 {
		p.shortestObjective, p.longestObjective = float64(p.objectives.Min()), p.objectives.Max()
	}
}

// setDegradationLevel applies a level of reduced service: what waits unrun and is refused now goes at once,
// unless the plan leaves it the spare room.
func (p *Controller) setDegradationLevel(services []Service, spare bool) {
	p.useSpareCapacity = spare
	for k, op := range p.operations {
		if op == nil {
			continue
		}
		if op.service = (Service{}); k < len(services) {
			op.service = services[k]
		}
	}
	for _, i := range p.live {
		v := &p.invocations[i]
		if v.state == stateQueued && !v.started {
			if v.workShare, v.weightShare = 1, 1; v.operation.service.Form == Shed && !p.useSpareCapacity {
				p.drop(i, ReasonDegraded)
			}
		}
	}
}

// hasSpareCapacity says whether a level need not reduce: the plan allows that, and what is held is gone within a moment.
func (p *Controller) hasSpareCapacity() bool {
	return p.useSpareCapacity && p.pendingWork(stateQueued) < maxSpareQueueWait*p.shortestObjective*p.availableCores()
}

// recordKey guards against a second effect; a tokened invocation that finds no room is turned away unrun.
func (p *Controller) recordKey(i int32, until int64) {
	room := p.config.MaxDeduplicationEntries == 0 || len(p.deduplicationExpiries) < p.config.MaxDeduplicationEntries
	if room && p.deduplicationKB()+p.config.DeduplicationEntryKB <= maxDeduplicationMemoryShare*p.config.MemoryKB && until > p.now {
		p.emit(Action{Kind: RecordKey, Invocation: i, Duration: until - p.now})
		p.deduplicationExpiries = append(p.deduplicationExpiries, until)
	} else if p.invocations[i].operation.Idempotency == IdempotentWithKey {
		p.drop(i, ReasonMemory)
	}
}

func (p *Controller) deduplicationKB() float64 {
	return float64(len(p.deduplicationExpiries)) * p.config.DeduplicationEntryKB
}

// drop gives the final answer to what will not be served, at once.
func (p *Controller) drop(i int32, why Reason) {
	v := &p.invocations[i]
	if v.answered {
		return
	}
	p.observeWait(v, false)
	if v.answered = true; v.state == stateQueued && !v.started {
		if why == ReasonDegraded {
			p.degraded++
		}
		if p.rejected++; !p.config.RetriesMarked {
			p.retries++ // where they bear no mark, what is turned away here tells of those to come
		}
		p.emit(Action{Kind: Reject, Invocation: i, Duration: p.retryAfter(), NoRetry: v.retry || p.fleetOverloaded,
			Reason: why})
	} else {
		p.emit(Action{Kind: Fail, Invocation: i, Reason: why})
	}
	p.discard(i)
}

// observeWait learns, by part of the client timeout, how long callers wait: most leave well before it.
func (p *Controller) observeWait(v *invocation, left bool) {
	if !v.answered {
		p.waitTimes.Add(float64(p.now-v.arrivedAt)/float64(v.operation.ClientTimeout), left)
	}
}

// discard drops what needs no answer more; a run is stopped if that is allowed, one at a call ends by itself.
func (p *Controller) discard(i int32) {
	switch p.invocations[i].state {
	case stateQueued, stateJoined, statePaused:
		p.end(i)
	case stateRunning:
		if p.config.StopSupport != StopUnsupported {
			p.emit(Action{Kind: Stop, Invocation: i})
		}
	}
}

// retryAfter names the time after which the node can take more: the end of its life, or of its backlog.
func (p *Controller) retryAfter() int64 {
	if p.drainRequestedAt != 0 {
		return p.config.MaxRetryAfter
	}
	return min(p.config.MaxRetryAfter, int64((0.5+p.random.Float64())*p.queueWait())) // spread, not all at once
}

// Order of the hold.

// remainingWork is the core time that an invocation is still to take.
func (p *Controller) remainingWork(v *invocation) float64 {
	cost, spent := v.baseWork*v.workShare*v.operation.serviceTimes.Mean(1)*p.slowdown(), v.coreTime
	if v.state == stateRunning {
		spent += p.coreClock - v.runningSince
	}
	return max(cost-spent, minRemainingShare*cost)
}

func (p *Controller) slowdown() float64 { return max(p.serviceTimeRatio.Mean(1), p.stallRatio) }

// pendingWork is the core time that those in a state still need.
func (p *Controller) pendingWork(of invocationState) (sum float64) {
	for _, i := range p.live {
		if v := &p.invocations[i]; v.state == of {
			sum += p.remainingWork(v)
		}
	}
	return sum
}

// availableCores is what reading and checks leave to runs while the hold clears.
func (p *Controller) availableCores() float64 { return max(p.cores/2, p.cores-p.meanOtherRunnable) }

// queueWait is how long the hold would take to clear, with the time that arrivals lay unread while any do.
func (p *Controller) queueWait() float64 {
	return p.pendingWork(stateQueued)/p.availableCores() + p.queueingDelay*min(1, p.otherRunnable) + p.callWait()
}

// callWait is how long one that comes to a call now would stand there until it is made.
func (p *Controller) callWait() float64 {
	return float64(p.callsAwaited) / float64(max(1, p.callsInFlight)) * p.callDurations.Mean(0) * p.callTimeUnit
}

func (p *Controller) objectiveEnd(v *invocation) float64 {
	return min(float64(v.arrivedAt+v.operation.LatencyObjective)+v.operation.ObjectivePerWork*v.baseWork, p.abandonmentTime(v))
}

// abandonmentTime is when most callers have abandonmentTime an invocation, or its due time.
func (p *Controller) abandonmentTime(v *invocation) float64 {
	return min(float64(v.deadline-answerMargin), float64(v.arrivedAt)+p.callerWaitShare*float64(v.operation.ClientTimeout))
}

// orderQueue ranks the hold and gives up at once on what is unlikely to end in time to earn anything. Guards
// against work wasted on late answers, whatever made them late; does harm while large ones inflate the costs.
func (p *Controller) orderQueue() {
	p.queueOrder = p.queueOrder[:0]
	for _, i := range p.live {
		if v := &p.invocations[i]; v.state == stateQueued || v.state == statePaused {
			if !v.started && v.operation.service.WorkShare > 0 {
				v.workShare, v.weightShare = v.operation.service.WorkShare, v.operation.service.WeightShare
			}
			p.updateRank(v)
			p.queueOrder = append(p.queueOrder, i)
		}
	}
	slices.SortStableFunc(p.queueOrder, p.byRank)
	ahead := p.pendingWork(stateRunning)
	p.queueOrder = slices.DeleteFunc(p.queueOrder, func(i int32) bool {
		v := &p.invocations[i]
		end := p.expectedEnd(v)
		if float64(p.runningCount) >= p.cores || i != p.queueOrder[0] {
			end += ahead / p.availableCores()
		}
		if end-minRemainingShare*p.remainingWork(v) > p.objectiveEnd(v) && (v.operation.LateWeightShare == 0 || end > p.abandonmentTime(v)) {
			levelled := v.operation.service.Form == Shed
			p.drop(i, map[bool]Reason{false: ReasonUnlikelyInTime, true: ReasonDegraded}[levelled])
			return true
		}
		ahead += p.remainingWork(v)
		return false
	})
}

// updateRank sets the place in the order: billed value for each unit of core time, by the chance to end in time.
func (p *Controller) updateRank(v *invocation) {
	v.rank = v.operation.PriorityWeight * v.weightShare * p.tenantWeightShare(v.tenant)
	if !p.config.WeightScalesWithWork {
		v.rank /= p.remainingWork(v)
	}
	if v.operation.service.Form == Shed && !v.started {
		v.rank *= spareCapacityRankFactor
	}
	if need, slack := p.expectedEnd(v)-float64(p.now), p.objectiveEnd(v)-float64(p.now); need > slack {
		v.rank *= v.operation.LateWeightShare
	} else {
		v.rank *= 1 - math.Exp(-slack/need)
	}
}

// expectedEnd is when an invocation would end if it ran from now on.
func (p *Controller) expectedEnd(v *invocation) float64 {
	end := float64(p.now) + p.remainingWork(v)
	if v.operation.CallsDependency {
		end += v.operation.blockedTimes.Mean(0)*float64(v.operation.LatencyObjective) + p.callWait()
	}
	return end
}

// tenantWeightShare is the expected part of full value for a tenant that may be over its share of the fleet.
func (p *Controller) tenantWeightShare(tenant int32) float64 {
	if tenant < 0 || p.config.TenantRates[tenant] <= 0 {
		return 1
	}
	share := p.config.TenantRates[tenant] / float64(max(1, p.config.Peers)) * float64(tickInterval) / 1e9 / (1 - counterDecay)
	inside := share / max(share, p.tenants.Count(int64(tenant)))
	return inside + (1-inside)*p.config.OverQuotaWeightShare
}

// maxSafeConcurrency is the crowd on the cores that is safe now, at the slowest warm-up that is guaranteed.
func (p *Controller) maxSafeConcurrency() float64 {
	warm := 1.0
	if p.config.ColdStart {
		age := float64(p.now-p.startedAt) / float64(max(1, p.config.WarmUpTime))
		warm = min(1, p.config.ColdSpeedShare+(1-p.config.ColdSpeedShare)*age)
	}
	return safeOverloadShare * p.cores * (1 + (p.config.OverloadMultiple-1)*warm)
}

// startRuns starts the hold in order. Reading counts towards the limit, but one run always goes on. What left
// the cores returns unasked, so it has a bound with runs: the crowd or, with no core free, twice its usual.
func (p *Controller) startRuns() {
	room, all := max(1, p.runLimit-p.otherRunnable), p.maxSafeConcurrency()
	if !p.coreIdle {
		all = min(all, room+maxBlockedOverMean*p.meanBlocked)
	}
	for _, i := range p.queueOrder {
		v := &p.invocations[i]
		if float64(p.runningCount) >= room || float64(p.runningCount+p.callsAwaited+p.callsInFlight) >= all {
			p.preemptFor(v)
			return
		}
		if v.state == stateQueued && p.invocationsKB+p.deduplicationKB()+v.queuedKB*(p.config.RunningMemoryFactor-1) > maxRunMemoryShare*p.config.MemoryKB {
			continue
		}
		form := Complete
		if v.operation.service.Form == Reduced && !v.started && p.hasSpareCapacity() {
			v.workShare, v.weightShare = 1, 1
		} else if v.workShare < 1 {
			form = Reduced
		}
		v.started = true
		p.emit(Action{Kind: Run, Invocation: i, Form: form})
		p.setState(v, stateRunning)
	}
}

// preemptFor pauses the run of the lowest rank where one that waits ranks far above it and it still ends in time
// after that. Guards against short objectives missed behind long runs; does harm where expectations fail.
func (p *Controller) preemptFor(first *invocation) {
	least, key, takes := int32(-1), first.rank, p.remainingWork(first)
	for _, i := range p.live {
		if v := &p.invocations[i]; v.state == stateRunning && !v.answered && p.expectedEnd(v)+takes < p.objectiveEnd(v) {
			if p.updateRank(v); v.rank*preemptionRatio < key {
				least, key = i, v.rank*preemptionRatio
			}
		}
	}
	if least >= 0 && p.config.StopSupport == StopKeepsProgress {
		p.emit(Action{Kind: Stop, Invocation: least})
	}
}

// adjustLimit grows the limit while cores are free and work waits, and backs off when throughput drops.
func (p *Controller) adjustLimit() {
	waiting := len(p.queueOrder) > 0 && float64(p.runningCount) >= p.runLimit-1
	if !p.coreIdle {
		p.runLimit -= limitGrowth
	} else if waiting {
		p.runLimit += max(1, limitGrowth*p.runLimit)
	}
	if p.now-p.windowStart >= 20*tickInterval {
		rate := p.completedWork / float64(p.now-p.windowStart)
		if p.runLimit > p.cores && waiting && rate < limitBackoff*p.bestThroughput {
			p.runLimit *= limitBackoff
		} else if p.runLimit <= p.cores || rate > p.bestThroughput {
			p.bestThroughput = rate
		}
		p.completedWork, p.windowStart = 0, p.now
	}
	p.runLimit = max(p.cores, min(p.runLimit, p.maxSafeConcurrency()))
}

// runEnded closes a run and learns what it cost.
func (p *Controller) runEnded(i int32, outcome Outcome) {
	v := &p.invocations[i]
	if outcome == Stopped && !v.answered && p.config.StopSupport != StopUnsupported {
		p.setState(v, map[StopSupport]invocationState{StopKeepsProgress: statePaused, StopDiscardsProgress: stateQueued}[p.config.StopSupport])
		return
	}
	if v.state == stateCalling {
		p.callQuotaUsed.Add(p.now, float64(p.config.AbandonedCallTime))
	}
	p.observeWait(v, false)
	own, usual := v.state != stateJoined, v.baseWork*v.workShare*v.operation.serviceTimes.Mean(1)
	if p.end(i); own && (outcome == Succeeded || v.coreTime > usual) {
		p.serviceTimeRatio.Add(v.coreTime / usual)
		v.operation.serviceTimes.Add(v.coreTime / (v.baseWork * v.workShare))
		p.completedWork += usual
	}
}

// startCalls makes the calls that runs stand at, highest billed value first, then the oldest. If allowed, one
// that failed, or may fail or be late, is left out; else what can't end in time is given up while one is in
// hand: were none made, nothing would tell that calls are short again.
func (p *Controller) startCalls() {
	p.queueOrder = p.queueOrder[:0]
	for _, i := range p.live {
		if v := &p.invocations[i]; v.state == stateAwaitingCall && !v.answered {
			v.rank = v.operation.PriorityWeight * v.weightShare
			p.queueOrder = append(p.queueOrder, i)
		}
	}
	slices.SortStableFunc(p.queueOrder, p.byRank)
	for _, i := range p.queueOrder {
		v, room := &p.invocations[i], p.nextCallTimeLimit()
		until, failed := min(v.deadline-answerMargin, p.now+min(room, p.maxCallTime)), v.callAttempts >= maxCallAttempts
		skippable, latest := v.operation.SkippedCallWeightShare > 0, int64(p.objectiveEnd(v)-p.remainingWork(v))
		if skippable {
			until = min(until, latest)
		} else if v.operation.Idempotency == Idempotent && v.callAttempts < maxCallAttempts/2 && p.callDurations.Mean(0) > 0 {
			until = min(until, p.now+int64(retryableCallTimeRatio*p.callDurations.Mean(0)*p.callTimeUnit))
		}
		switch {
		case skippable && (failed || latest <= p.now || p.random.Float64() < p.callFailures.Mean(0)):
			p.emit(Action{Kind: SkipCall, Invocation: i})
			p.setState(v, stateRunning)
		case failed, !skippable && v.operation.LateWeightShare == 0 && p.callsInFlight > 0 &&
			float64(p.now)+p.callDurations.Mean(0)*p.callTimeUnit > p.objectiveEnd(v):
			p.drop(i, ReasonNoCallCapacity)
		case room > 0 && until > p.now && p.callsInFlight < p.callLimit:
			v.callStartedAt, v.callDeadline, v.callAttempts = p.now, until, v.callAttempts+1
			p.emit(Action{Kind: StartCall, Invocation: i, At: until})
			p.setState(v, stateCalling)
		}
	}
}

func (p *Controller) byRank(a, b int32) int {
	return cmp.Compare(p.invocations[b].rank, p.invocations[a].rank)
}

// nextCallTimeLimit is how long one more call may take: a third of the share left if all in hand are left at the
// last, or some times the usual. Guards against hangs, small shares; does harm where calls grow longer.
func (p *Controller) nextCallTimeLimit() int64 {
	if p.config.Dependency != SharedDependency || p.callLimit < math.MaxInt { // a lease counts calls, not their time
		return math.MaxInt64 / 4
	}
	linger := float64(p.config.AbandonedCallTime)
	spare := usableCallQuotaShare*p.config.CallQuota*float64(p.config.CallQuotaWindow) - p.callQuotaUsed.Sum()
	for _, i := range p.live {
		if v := &p.invocations[i]; v.state == stateCalling {
			spare -= float64(max(0, v.callDeadline-p.now)) + linger
		}
	}
	usual := p.callDurations.Mean(0) * p.callTimeUnit
	room := max(spare/callQuotaParts-linger, min(spare-linger, smallQuotaCallTimeRatio*usual))
	if room < 2*usual {
		return 0
	}
	return int64(room)
}

// callEnded learns how calls go; one that failed is repeated if known not to have run, or once if idempotent.
// Guards against replies spoilt or lost; does harm where a dependency fails for the calls that it gets.
func (p *Controller) callEnded(v *invocation, outcome Outcome) {
	took := float64(p.now - v.callStartedAt)
	p.callDurations.Add(took / p.callTimeUnit)
	if outcome == Succeeded {
		v.operation.blockedTimes.Add(took / float64(v.operation.LatencyObjective))
		p.callFailures.Add(0)
		v.callAttempts = 0
		p.setState(v, stateRunning)
		return
	}
	p.callFailures.Add(1)
	p.setState(v, stateAwaitingCall)
	if outcome != Overloaded && outcome != Unreachable {
		v.callAttempts += 1 + maxCallAttempts*int(v.operation.Idempotency) // no more, unless it is idempotent
		p.callQuotaUsed.Add(p.now, float64(p.config.AbandonedCallTime))
	}
}

// enforceDeadlines answers what is due and stops runs that can earn nothing more.
func (p *Controller) enforceDeadlines() {
	for _, i := range p.live {
		v := &p.invocations[i]
		futile := v.state == stateRunning && p.config.StopSupport != StopUnsupported && v.operation.LateWeightShare == 0
		if v.state != stateEnded && (futile && float64(p.now) > p.objectiveEnd(v) || p.now >= v.deadline-answerMargin) {
			p.drop(i, ReasonDeadline)
		}
		if v.state == stateRunning && v.answered {
			p.discard(i) // again: a stop has no effect while the cores stand still
		}
	}
}

// enforceMemoryLimit turns away the end of the hold before memory runs out and forgets records that ended.
func (p *Controller) enforceMemoryLimit() {
	p.deduplicationExpiries = slices.DeleteFunc(p.deduplicationExpiries, func(until int64) bool { return until < p.now })
	for k := len(p.queueOrder) - 1; k >= 0 && p.invocationsKB+p.deduplicationKB() > (1+maxRunMemoryShare)/2*p.config.MemoryKB; k-- {
		if p.invocations[p.queueOrder[k]].state == stateQueued {
			p.drop(p.queueOrder[k], ReasonMemory)
		}
	}
}

// startDrain is beat 1: bad health, a sample of what is in flight. Both durations shrink to fit under the kill,
// the delay only as far as the longest objective needs: guards against refusals while callers hear late.
func (p *Controller) startDrain(kill int64) {
	if p.drainRequestedAt == 0 {
		p.drainRequestedAt, p.inFlightAtDrain, p.endedBeforeDrain = p.now, p.arrivedCount-p.endedCount, p.endedCount
		p.intakeEnd, p.drainDeadline = math.MaxInt64, math.MaxInt64
		p.unhealthy, p.nextTick = true, p.now
		p.reportHealth()
	}
	room := max(0, kill-killMargin-p.drainRequestedAt)
	scale := min(1, float64(room)/float64(preDrainDelay+drainTimeout))
	delay := max(int64(scale*float64(preDrainDelay)), min(preDrainDelay, room-p.longestObjective))
	p.intakeEnd = min(p.intakeEnd, p.drainRequestedAt+min(delay, p.config.DrainGrace))
	p.drainDeadline = min(p.drainDeadline, p.drainRequestedAt+room, p.intakeEnd+int64(scale*float64(drainTimeout)))
}

// advanceDrain stops intake and ends beat 3 once nothing is open; at the deadline the rest is aborted, counted.
func (p *Controller) advanceDrain() {
	if p.drainRequestedAt == 0 || p.drainFinished || p.now < p.intakeEnd {
		return
	}
	p.emit(Action{Kind: StopAccepting})
	abandoned, completed := 0, p.endedCount-p.endedBeforeDrain
	for _, i := range p.live {
		if v := &p.invocations[i]; v.state != stateEnded && !v.answered {
			if p.now < p.drainDeadline {
				return
			}
			abandoned++
			p.drop(i, ReasonDraining)
		}
	}
	p.drainFinished = true
	p.emit(Action{Kind: Exit, Report: fmt.Sprintf(
		"drain: in flight at start %d, completed %d, abandoned %d", p.inFlightAtDrain, completed, abandoned)})
}

// updateHealth reports bad in a drain or while doing worse than usual; were full ones bad, none were left.
func (p *Controller) updateHealth() {
	if p.stallRatio = 0; p.runningCount == 0 {
		p.serviceTimeRatio.Add(1) // an idle node comes back: nothing else would tell it that it may
	}
	for _, i := range p.live {
		v := &p.invocations[i]
		usual := v.baseWork * v.workShare * v.operation.serviceTimes.Mean(1)
		stay := (v.coreTime + p.coreClock - v.runningSince) / usual / (1 + stallDiscountRuns/float64(p.runningCount))
		if v.state == stateRunning && 2*float64(p.runningCount) > p.cores && (p.stallRatio == 0 || stay < p.stallRatio) {
			p.stallRatio = stay
		}
	}
	was, pace := p.unhealthy, p.slowdown()
	p.unhealthy = p.drainRequestedAt != 0 || pace > unhealthyServiceTimeRatio || p.unhealthy && pace > healthyServiceTimeRatio
	if p.unhealthy != was || p.lastSignal < 0 {
		p.reportHealth()
	}
}

// reportHealth answers checks from store, since a full one costs work.
func (p *Controller) reportHealth() {
	p.emit(Action{Kind: ReportHealth, Healthy: !p.unhealthy, Cached: true})
}

// updateBackpressure tells callers how much to send: less while the wait is long, more while it is short.
func (p *Controller) updateBackpressure() {
	p.arrivals, p.retries = p.arrivals*counterDecay, p.retries*counterDecay
	p.rejected, p.degraded = p.rejected*counterDecay, p.degraded*counterDecay
	sum, squares := 0.0, 1e-9
	for _, n := range p.callers.Counts() {
		sum, squares = sum+math.Round(n), squares+math.Round(n)*math.Round(n)
	}
	p.fleetOverloaded = p.rejected > overloadRetryShare/2*p.arrivals && (p.fleetOverloaded || p.retries > overloadRetryShare*p.arrivals)
	p.callers.Decay(counterDecay, minCallerCount)
	p.tenants.Decay(counterDecay, minTenantCount)
	if wait := p.queueWait(); wait > highPressure*p.shortestObjective {
		p.advertisedCapacity = max(minAdvertisedCapacity, p.advertisedCapacity*(1-capacityDecrease))
	} else if wait < lowPressure*p.shortestObjective {
		p.advertisedCapacity = min(1, p.advertisedCapacity+capacityIncrease)
	}
	value, away := p.advertisedCapacity, 0.0
	if p.config.Backpressure == BackpressureLevel {
		value, away = maxBackpressureLevel*(1-p.advertisedCapacity), 1
	} else if p.config.Backpressure == BackpressureCredits { // for each caller that counts, unequal as they are
		value *= maxCreditsPerCore * p.cores / max(1, sum*sum/squares)
	}
	if p.drainRequestedAt != 0 && p.now >= p.intakeEnd-redirectLeadTime {
		value = away
	}
	value = math.Ceil(value*100) / 100 // never rounded to nothing
	if value != p.lastSignal && p.config.Backpressure != NoBackpressure {
		p.emit(Action{Kind: SignalBackpressure, Value: value})
	}
	p.lastSignal = value
}

// State is what decisions stand on now; it changes nothing.
func (p *Controller) State() ControllerState {
	return ControllerState{Limit: p.runLimit, OnCores: p.runningCount, Queued: p.queuedCount, AwaitingCall: p.callsAwaited,
		CallsInFlight: p.callsInFlight, MeanBlocked: p.meanBlocked,
		QueueWait: p.queueWait(), CallWait: p.callWait(), QueueingDelay: p.queueingDelay, OtherRunnable: p.otherRunnable, MeanOtherRunnable: p.meanOtherRunnable,
		ServiceTimeRatio: p.serviceTimeRatio.Mean(1), StallRatio: p.stallRatio, CallerWaitShare: p.callerWaitShare, CallTime: p.callDurations.Mean(0) * p.callTimeUnit,
		CallFailureShare: p.callFailures.Mean(0), MaxCallTime: float64(p.nextCallTimeLimit()), AdvertisedCapacity: p.advertisedCapacity, LastSignal: p.lastSignal,
		CallQuotaUsed: p.callQuotaUsed.Sum() / max(1, p.config.CallQuota*float64(p.config.CallQuotaWindow)),
		Arrivals:      p.arrivals, Retries: p.retries, Rejected: p.rejected, Callers: len(p.callers.Counts()),
		Memory: p.invocationsKB, FleetOverloaded: p.fleetOverloaded, Unhealthy: p.unhealthy, CoreIdle: p.coreIdle}
}

// MeasureLoad tells of the present what concerns more than one invocation, into m.
func (p *Controller) MeasureLoad(m *LoadMetrics) {
	m.DemandByOperation = m.DemandByOperation[:0]
	for _, op := range p.operations {
		if op == nil {
			m.DemandByOperation = append(m.DemandByOperation, 0)
			continue
		}
		op.demand.Add(p.now, 0)
		m.DemandByOperation = append(m.DemandByOperation, op.demand.Sum()/(float64(demandWindow)*p.cores))
	}
	m.IntakeShare = min(p.meanOtherRunnable, p.cores) / max(p.cores, float64(p.runningCount)+p.meanOtherRunnable)
	m.QueueWait, m.QueueingDelay, m.CallWait = p.queueWait()/p.shortestObjective, p.queueingDelay/p.shortestObjective, p.callWait()/p.shortestObjective
	m.RejectedShare, m.MemoryShare = (p.rejected-p.degraded)/max(1, p.arrivals), p.invocationsKB/p.config.MemoryKB
}
