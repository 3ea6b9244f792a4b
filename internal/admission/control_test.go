package admission

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestRunAtItsDeadlineFailsAndIsStopped(t *testing.T) {
	c := newTestController()
	inv := insertInvocation(c, 0, stateRunning)
	inv.deadline = c.now + answerMargin
	c.enforceDeadlines()
	assert.Equal(t, []ActionKind{Fail, Stop, Stop}, actionKinds(c))
	assert.True(t, inv.answered)
}

func TestRunPastItsObjectiveContinuesWithoutStopSupport(t *testing.T) {
	c := newTestController(func(n *Config) { n.StopSupport = StopUnsupported })
	inv := insertInvocation(c, 0, stateRunning)
	inv.arrivedAt -= 2_000 * millisecond
	c.enforceDeadlines()
	assert.Empty(t, c.actions)
}

func TestUnlikelyInTimeIsRejectedAtOnceWithRetryAfter(t *testing.T) {
	c := newTestController()
	c.callers.queueingDelay = float64(300 * millisecond)
	inv := insertInvocation(c, 0, stateQueued)
	inv.arrivedAt -= 950 * millisecond
	c.orderQueue()
	assert.Equal(t, []ActionKind{Reject}, actionKinds(c))
	assert.Positive(t, c.actions[0].Duration)
	assert.Equal(t, stateEnded, inv.state)
}

func TestQueueOrdersByWeightPerCoreTime(t *testing.T) {
	c := newTestController()
	insertInvocation(c, 0, stateQueued)
	insertInvocation(c, 1, stateQueued)
	big := insertInvocation(c, 1, stateQueued)
	big.baseWork *= 3
	c.orderQueue()
	assert.Equal(t, []int32{1, 2, 0}, c.queueOrder)
}

func TestTenantOverItsQuotaHasLowerWeight(t *testing.T) {
	c := newTestController(func(n *Config) { n.TenantRates = []float64{2, 2}; n.OverQuotaWeightShare = 0.1 })
	for k := range 50 {
		c.callers.byTenant.Add(0)
		if k < 5 {
			c.callers.byTenant.Add(1)
		}
	}
	c.callers.byTenant.Decay(0.5, 0)
	assert.Equal(t, []float64{25, 2.5}, []float64{c.callers.byTenant.Count(0), c.callers.byTenant.Count(1)})
	assert.InDelta(t, (1+9*0.1)/10, c.tenantWeightShare(0), 1e-9)
	assert.Equal(t, 1.0, c.tenantWeightShare(1))
}

func TestIdempotencyKeyIsRecordedBeforeTheRun(t *testing.T) {
	c := newTestController()
	out := c.Decide(testStart, []Event{{Kind: Arrived, Invocation: 0, OperationIndex: 1, Tenant: -1,
		Original: NoOriginal, QueuedKB: 10}})
	assert.Equal(t, RecordKey, out[0].Kind)
	assert.Equal(t, 5_000*millisecond, out[0].Duration)
	assert.Equal(t, Run, out[1].Kind)
}

func TestKeyedRequestIsRejectedWhenTheDeduplicationTableIsFull(t *testing.T) {
	c := newTestController(func(n *Config) { n.DeduplicationEntryKB = 300 })
	insertInvocation(c, 1, stateQueued)
	c.recordKeyUntil(0, c.now+5_000*millisecond)
	assert.Equal(t, []ActionKind{Reject}, actionKinds(c))
}

func TestRetryOfAStartedInvocationJoinsIt(t *testing.T) {
	c := newTestController()
	c.handleArrival(&Event{Kind: Arrived, OperationIndex: 1, Tenant: -1, Original: OriginalEnded, QueuedKB: 10})
	assert.Equal(t, []ActionKind{JoinOriginal}, actionKinds(c))
}

func TestRetryOfAStartedInvocationFailsRatherThanRejectedAfterIntakeEnd(t *testing.T) {
	c := newTestController()
	c.drain.requestedAt, c.drain.intakeEnd = c.now-millisecond, c.now
	c.handleArrival(&Event{Kind: Arrived, OperationIndex: 1, Tenant: -1, Original: OriginalEnded, QueuedKB: 10})
	assert.Equal(t, []ActionKind{Fail}, actionKinds(c))
}

func TestCallThatMayHaveRunIsRetriedOnceAndOnlyIfIdempotent(t *testing.T) {
	for outcome, proof := range map[Outcome]bool{Overloaded: true, Unreachable: true,
		TimedOut: false, Broken: false, Errored: false} {
		for op, again := range []int{1, 0} { // the idempotent operation, the tokened one
			c := newTestController()
			inv := insertInvocation(c, op, stateCalling)
			inv.callStartedAt, inv.callAttempts = c.now, 1
			made := 0
			for c.callEnded(inv, outcome); ; c.callEnded(inv, outcome) {
				if c.startCalls(); c.actions[len(c.actions)-1].Kind == Fail {
					break
				}
				made++
			}
			if proof {
				again = maxCallAttempts - 1
			}
			assert.Equal(t, again, made, "outcome %d, operation %d", outcome, op)
		}
	}
}

func TestSlowCallTimesOutEarlyWhereItMayBeRetried(t *testing.T) {
	c := newTestController(func(n *Config) { n.CallQuota = 24 })
	c.calls.durations.Add(0.0625) // of the shortest objective
	for op, tries := range []int{0, 0, 2} {
		inv := insertInvocation(c, min(op, 2)%2, stateAwaitingCall)
		inv.callAttempts = tries
		c.actions = nil
		c.startCalls()
		assert.Equal(t, op == 0, c.actions[0].At < c.now+1_000*millisecond, "operation %d, tries %d", op%2, tries)
	}
}

func TestFailedCallIsSkippedWhereAllowed(t *testing.T) {
	c := newTestController(func(n *Config) { n.Operations[0].SkippedCallWeightShare = 0.5 })
	inv := insertInvocation(c, 0, stateAwaitingCall)
	inv.callAttempts = maxCallAttempts
	c.startCalls()
	assert.Equal(t, []ActionKind{SkipCall}, actionKinds(c))
	assert.Equal(t, stateRunning, inv.state)
}

func TestCallsStartInOrderOfWeight(t *testing.T) {
	c := newTestController()
	insertInvocation(c, 0, stateAwaitingCall)
	insertInvocation(c, 1, stateAwaitingCall)
	c.startCalls()
	assert.Equal(t, []ActionKind{StartCall, StartCall}, actionKinds(c))
	assert.Equal(t, []int32{1, 0}, []int32{c.actions[0].Invocation, c.actions[1].Invocation})
}

// The incident of meubles-rennes on which a large fleet left each node a share below one.
func TestCallsInFlightStayWithinTheMeanQuota(t *testing.T) {
	c := newTestController(func(n *Config) { n.CallQuota, n.AbandonedCallTime = 0.35, 200*millisecond })
	for range 8 {
		c.calls.durations.Add(0.02)
		insertInvocation(c, 1, stateAwaitingCall)
	}
	c.startCalls()
	reserved := 0.0
	for _, a := range c.actions {
		reserved += float64(a.At - c.now + c.config.AbandonedCallTime)
	}
	assert.Len(t, c.actions, 4, "not one at a time")
	assert.LessOrEqual(t, reserved, 0.35*5e9)
	c.advanceTime(c.now + 700*millisecond)
	assert.Zero(t, c.maxNextCallTime(), "those calls have used the share up")
	for range 11 {
		c.counts.calling = 0
		c.advanceTime(c.now + 500*millisecond)
	}
	c.live = nil
	assert.Positive(t, c.maxNextCallTime(), "a span later it is there again")
}

// The incident of boutique-brest on which every call was made for work already too late.
func TestSlowDependencyLimitsStarts(t *testing.T) {
	c := newTestController()
	for range 6 {
		c.calls.durations.Add(0.5)
		insertInvocation(c, 0, stateAwaitingCall)
	}
	insertInvocation(c, 0, stateQueued)
	c.orderQueue()
	assert.Equal(t, []ActionKind{Reject}, actionKinds(c))
	c.actions = c.actions[:0]
	c.now += 900 * millisecond
	insertInvocation(c, 0, stateCalling)
	c.startCalls()
	assert.Equal(t, Fail, c.actions[0].Kind)
}

func TestSafeConcurrencyIsLowerWhileWarmingUp(t *testing.T) {
	c := newTestController(func(n *Config) { n.ColdStart = true; n.ColdSpeedShare = 0.2; n.WarmUpTime = 10_000 * millisecond })
	assert.InDelta(t, safeOverloadShare*2*(1+3*0.2), c.maxSafeConcurrency(), 1e-9)
	c.now += 20_000 * millisecond
	assert.InDelta(t, safeOverloadShare*2*4, c.maxSafeConcurrency(), 1e-9)
}

func TestRunsBlockedOnCallsCountTowardsSafeConcurrency(t *testing.T) {
	c := newTestController()
	for range 6 {
		insertInvocation(c, 0, stateAwaitingCall)
	}
	insertInvocation(c, 0, stateQueued)
	c.queueOrder = []int32{6}
	c.startRuns()
	assert.Empty(t, c.actions)
}

func TestMemoryLimitStopsStartsAndRejectsTheQueueTail(t *testing.T) {
	c := newTestController()
	for range 2 {
		insertInvocation(c, 0, stateQueued).queuedKB = 480
	}
	c.memory.invocationsKB, c.queueOrder = 960, []int32{0, 1}
	c.startRuns()
	assert.Empty(t, c.actions)
	c.enforceMemoryLimit()
	assert.Equal(t, []ActionKind{Reject}, actionKinds(c))
	assert.Equal(t, int32(1), c.actions[0].Invocation)
}

func TestLimitGrowsWhileCoresAreIdleAndFallsWithThroughput(t *testing.T) {
	c := newTestController()
	insertInvocation(c, 0, stateQueued)
	c.queueOrder, c.counts.running, c.cores.idle = []int32{0}, 2, true
	c.adjustConcurrencyLimit()
	assert.Equal(t, 3.0, c.concurrency.limit)
	c.cores.idle, c.concurrency.bestThroughput, c.counts.running, c.now = false, 1, 3, c.now+20*tickInterval
	c.adjustConcurrencyLimit()
	assert.InDelta(t, (3-limitDecrease)*limitBackoff, c.concurrency.limit, 1e-9)
	c.concurrency.limit = 0
	c.adjustConcurrencyLimit()
	assert.Equal(t, 2.0, c.concurrency.limit, "the core count is the floor")
}

func TestDrainRequestTurnsHealthBadAndScalesBothPhases(t *testing.T) {
	c := newTestController()
	insertInvocation(c, 0, stateRunning)
	c.startDrain(c.now + killMargin + 5_000*millisecond)
	assert.Equal(t, []ActionKind{ReportHealth}, actionKinds(c))
	assert.False(t, c.actions[0].Healthy)
	assert.Equal(t, 1, c.drain.inFlightAtStart)
	assert.Equal(t, c.now+2_000*millisecond, c.drain.intakeEnd, "the grace, where the longest objective is left room")
	assert.Equal(t, c.now+5_000*millisecond, c.drain.deadline)
	for kill, delay := range map[int64]int64{2_500 * millisecond: 1_500 * millisecond, 1_000 * millisecond: 200 * millisecond, 0: 0} {
		c = newTestController()
		c.startDrain(c.now + killMargin + kill)
		assert.Equal(t, c.now+delay, c.drain.intakeEnd)
		assert.LessOrEqual(t, c.drain.deadline, c.now+kill)
	}
}

func TestIntakeEndsWithinTheGraceAndASecondRequestNeverExtends(t *testing.T) {
	c := newTestController()
	c.startDrain(c.now + 60_000*millisecond)
	assert.Equal(t, c.now+2_000*millisecond, c.drain.intakeEnd)
	c.now += 1_000 * millisecond
	c.startDrain(c.now + 90_000*millisecond)
	assert.Equal(t, c.drain.requestedAt+2_000*millisecond, c.drain.intakeEnd)
}

func TestDrainDeadlineAbortsAndCountsTheRemainder(t *testing.T) {
	c := newTestController()
	insertInvocation(c, 0, stateRunning)
	insertInvocation(c, 0, stateQueued)
	c.drain.requestedAt, c.drain.deadline, c.drain.inFlightAtStart, c.counts.ended = c.now-millisecond, c.now, 3, 2
	c.advanceDrain()
	assert.Equal(t, []ActionKind{StopAccepting, Fail, Stop, Reject, Exit}, actionKinds(c))
	assert.Equal(t, "drain: in flight at start 3, completed 2, abandoned 2", c.actions[4].Report)
}

func TestDrainFinishesOnceIntakeEndedAndNothingIsInFlight(t *testing.T) {
	c := newTestController()
	inv := insertInvocation(c, 0, stateRunning)
	c.drain.requestedAt, c.drain.intakeEnd, c.drain.deadline = c.now-millisecond, c.now, c.now+1_000*millisecond
	c.advanceDrain()
	assert.Equal(t, []ActionKind{StopAccepting}, actionKinds(c))
	inv.answered = true
	c.advanceDrain()
	c.advanceDrain()
	assert.Equal(t, []ActionKind{StopAccepting, StopAccepting, Exit}, actionKinds(c), "told once")
}

func TestStalledRunsTurnHealthBadBeforeAnyEnds(t *testing.T) {
	c := newTestController()
	insertInvocation(c, 0, stateRunning)
	insertInvocation(c, 0, stateRunning)
	c.cores.clock += float64(500 * millisecond)
	c.updateHealth()
	assert.True(t, c.health.unhealthy)
}

func TestFullQueueIsHealthyButSignalsBackpressure(t *testing.T) {
	c := newTestController(func(n *Config) { n.Backpressure = BackpressureLevel })
	for range 20 {
		insertInvocation(c, 0, stateQueued)
	}
	c.updateHealth()
	assert.False(t, c.health.unhealthy)
	c.updateBackpressure()
	assert.InDelta(t, 1-capacityDecrease, c.backpressure.advertisedCapacity, 1e-9)
}

func TestDrainRedirectsCallers(t *testing.T) {
	for advice, want := range map[BackpressureKind]float64{BackpressureLevel: 1, BackpressureCredits: 0, BackpressureWeight: 0} {
		c := newTestController(func(n *Config) { n.Backpressure = advice })
		c.drain.requestedAt, c.drain.intakeEnd = c.now, c.now+2*redirectLeadTime
		c.updateBackpressure()
		assert.NotEqual(t, want, c.backpressure.lastSignal, "it serves on, others may be full")
		c.now, c.actions = c.now+redirectLeadTime, nil
		c.updateBackpressure()
		assert.Equal(t, want, c.actions[0].Value)
	}
}

func TestLateEventsOnEndedInvocationsAreIgnored(t *testing.T) {
	c := newTestController()
	insertInvocation(c, 0, stateQueued)
	c.end(0)
	for kind := CallerDisconnected; kind <= RunEnded; kind++ {
		if kind != DrainRequested && kind != TimerFired {
			c.apply(&Event{Kind: kind})
		}
	}
	assert.Empty(t, c.actions)
	assert.Equal(t, 1, c.counts.ended)
}

func TestPausedRunKeepsItsMemoryAndResumes(t *testing.T) {
	c := newTestController()
	inv := insertInvocation(c, 0, stateRunning)
	c.runEnded(0, Stopped)
	assert.Equal(t, statePaused, inv.state)
	assert.Equal(t, 40.0, c.memory.invocationsKB)
}

// The incident of pret-quimper on which fresh nodes were flooded before their first answers.
func TestColdStartAdvertisesLessCapacity(t *testing.T) {
	c := newTestController(func(n *Config) { n.ColdStart = true; n.ColdSpeedShare = 0.25 })
	assert.Equal(t, 0.25, c.backpressure.advertisedCapacity)
}

// The incident of meubles-rennes on which reading and runs together crowded every node's cores.
func TestOtherRunnableThreadsCountTowardsTheLimit(t *testing.T) {
	c := newTestController()
	insertInvocation(c, 0, stateQueued)
	insertInvocation(c, 0, stateQueued)
	c.queueOrder, c.cores.otherRunnable = []int32{0, 1}, 2
	c.startRuns()
	assert.Equal(t, []ActionKind{Run}, actionKinds(c))
}

// A day of boutique-brest on which nodes that reported bad got no more work and so never came back.
func TestIdleNodeBecomesHealthyAgain(t *testing.T) {
	c := newTestController()
	for range 8 {
		c.health.serviceTimeRatio.Add(8)
	}
	c.updateHealth()
	assert.True(t, c.health.unhealthy)
	for range 60 {
		c.updateHealth()
	}
	assert.False(t, c.health.unhealthy)
}

// Grown deployments of two cores a node: the half-second mean of the busy gauge let the limit overshoot.
func TestCoresAreIdleWhenFewerThreadsAreRunnable(t *testing.T) {
	c := newTestController()
	c.apply(&Event{Kind: TimerFired, BusyShare: 0.2, RunnableThreads: 2})
	assert.False(t, c.cores.idle)
	c.apply(&Event{Kind: TimerFired, BusyShare: 0.95, RunnableThreads: 1})
	assert.True(t, c.cores.idle)
	c.apply(&Event{Kind: TimerFired, BusyShare: 0.95, RunnableThreads: -1})
	assert.False(t, c.cores.idle)
}

// Grown meubles-rennes: with two cores, returns from calls crowded a node whose starts kept to the limit.
func TestReturnsFromCallsCannotOverloadFewCores(t *testing.T) {
	c := newTestController()
	insertInvocation(c, 0, stateQueued)
	insertInvocation(c, 0, stateCalling)
	insertInvocation(c, 0, stateCalling)
	c.queueOrder, c.calls.meanBlocked = []int32{0}, 0
	c.startRuns()
	assert.Empty(t, c.actions)
	c.calls.meanBlocked = 0.6
	c.startRuns()
	assert.Equal(t, []ActionKind{Run}, actionKinds(c))
}

// Grown meubles-rennes: a fifth of all runs were for callers that wait about a third of the client timeout.
func TestQueueAccountsForEarlyAbandonment(t *testing.T) {
	c := newTestController()
	for range 20 {
		inv := insertInvocation(c, 0, stateQueued)
		inv.arrivedAt -= 300 * millisecond
		c.apply(&Event{Kind: CallerDisconnected, Invocation: int32(len(c.invocations) - 1)})
	}
	c.callers.waitShare = c.callers.waitTimes.TimeAtSurvival(minCallersWaiting)
	assert.InDelta(t, 0.1, c.callers.waitShare, 1.0/waitTimeBins)
	inv := insertInvocation(c, 0, stateQueued)
	inv.arrivedAt -= 200 * millisecond
	c.callers.queueingDelay, c.actions = 0, c.actions[:0]
	c.orderQueue()
	assert.Equal(t, []ActionKind{Reject}, actionKinds(c))
}

// Overloaded days of the grown deployments: what every node turned away was read at node after node.
func TestRetryStormMarksTheFleetOverloadedUntilFewAreRejected(t *testing.T) {
	c := newTestController(func(n *Config) { n.RetriesMarked = true })
	c.callers.arrivals, c.callers.retries, c.callers.rejected = 10, 5, 4
	c.updateBackpressure()
	assert.True(t, c.backpressure.fleetOverloaded)
	c.callers.retries = 0
	c.updateBackpressure()
	assert.True(t, c.backpressure.fleetOverloaded, "the tries that it asked not to be made can't be evidence")
	c.callers.rejected = 1
	c.updateBackpressure()
	assert.False(t, c.backpressure.fleetOverloaded)
}

func TestCreditsForManyCallersAreNeverRoundedToZero(t *testing.T) {
	c := newTestController(func(n *Config) { n.Backpressure = BackpressureCredits })
	for caller := range int64(1_000) {
		c.callers.byCaller.Add(caller)
	}
	c.backpressure.advertisedCapacity = minAdvertisedCapacity
	c.updateBackpressure()
	assert.Equal(t, 0.01, c.actions[0].Value)
}

// Grown pret-quimper: on two cores a short objective was missed behind one long run of little value.
func TestHighRankPreemptsALongRunThatStillEndsInTime(t *testing.T) {
	for late, want := range map[int64][]ActionKind{0: {Stop}, 900 * millisecond: {}} {
		c := newTestController()
		c.concurrency.limit = 1
		insertInvocation(c, 0, stateRunning).arrivedAt -= late
		first := insertInvocation(c, 1, stateQueued)
		c.updateRank(first)
		c.queueOrder = []int32{1}
		c.startRuns()
		assert.Equal(t, want, actionKinds(c))
	}
}

func TestStallIsDetectedLaterAmongFewRuns(t *testing.T) {
	c := newTestController()
	insertInvocation(c, 0, stateRunning)
	insertInvocation(c, 0, stateRunning)
	c.cores.clock += float64(300 * millisecond)
	c.updateHealth()
	assert.False(t, c.health.unhealthy, "two large invocations are no stall")
}

// A release of boutique-brest: a third of runs, half of these read late, failed at their objective.
func TestLittleSlackLowersTheRank(t *testing.T) {
	c := newTestController()
	fresh, stale, late := insertInvocation(c, 0, stateQueued), insertInvocation(c, 0, stateQueued), insertInvocation(c, 0, stateQueued)
	stale.arrivedAt -= 800 * millisecond
	late.arrivedAt -= 2_000 * millisecond
	for _, inv := range []*invocation{fresh, stale, late} {
		c.updateRank(inv)
	}
	assert.Greater(t, fresh.rank, stale.rank)
	assert.Positive(t, stale.rank)
	assert.Zero(t, late.rank)
}

// Grown pret-quimper: the mean of skewed costs gave up what half of the time ends within the objective.
func TestQueueRetainsWhatTypicallyEndsInTime(t *testing.T) {
	c := newTestController()
	inv := insertInvocation(c, 0, stateQueued)
	inv.arrivedAt -= 930 * millisecond // 70 of the 100 ms expected are left
	c.orderQueue()
	assert.Empty(t, c.actions)
	inv.arrivedAt -= 20 * millisecond
	c.orderQueue()
	assert.Equal(t, []ActionKind{Reject}, actionKinds(c))
}

// Drawn days of pret-quimper: nodes that had asked for least stayed shut to the end, for want of arrivals.
func TestIdleNodeRaisesItsAdvertisedCapacity(t *testing.T) {
	c := newTestController()
	c.callers.queueingDelay, c.cores.otherRunnable, c.backpressure.advertisedCapacity = float64(900*millisecond), 2, minAdvertisedCapacity
	c.updateBackpressure()
	assert.Equal(t, minAdvertisedCapacity, c.backpressure.advertisedCapacity)
	c.cores.otherRunnable = 0
	c.updateBackpressure()
	assert.InDelta(t, minAdvertisedCapacity+capacityIncrease, c.backpressure.advertisedCapacity, 1e-9)
}

// The service days of meubles-rennes: a burst being read, or a few long runs, made nodes throttle what they had room for.
func TestBurstOfOtherThreadsBarelyLowersAvailableCores(t *testing.T) {
	c := newTestController(func(n *Config) { n.Cores = 8 })
	for range 20 { // a second of little reading, then a beat of much
		c.now += 50 * millisecond
		c.apply(&Event{Kind: TimerFired, BusyShare: 0.5, RunnableThreads: 1})
	}
	c.now += 50 * millisecond
	c.apply(&Event{Kind: TimerFired, BusyShare: 1, RunnableThreads: 9})
	assert.InDelta(t, 6.8, c.cores.available(), 0.05)
	assert.InDelta(t, 3, c.cores.otherRunnable, 0.1, "the limit follows it at once")
	now := c.now
	c.now += 10 * millisecond
	c.apply(&Event{Kind: TimerFired, BusyShare: 1, RunnableThreads: 9})
	assert.InDelta(t, 3.3, c.cores.otherRunnable, 0.1, "by the time that went by, not by the gauge")
	assert.Equal(t, now+10*millisecond, c.cores.gaugedAt)
}

func TestFewLongRunsDoNotMakeTheNodeUnhealthy(t *testing.T) {
	c := newTestController()
	for range 20 {
		c.health.serviceTimeRatio.Add(1)
	}
	for range 3 {
		c.health.serviceTimeRatio.Add(4)
	}
	c.updateHealth()
	assert.False(t, c.health.unhealthy)
}

// The service day on which, after some seconds of a slow dependency, no call was made any more.
func TestOneCallIsAlwaysStartedHoweverSlowTheDependency(t *testing.T) {
	c := newTestController()
	for range 12 {
		c.calls.durations.Add(2) // of the shortest objective
	}
	insertInvocation(c, 0, stateAwaitingCall)
	insertInvocation(c, 0, stateAwaitingCall)
	c.startCalls()
	assert.Equal(t, []ActionKind{StartCall, Fail}, actionKinds(c))
	assert.Equal(t, stateCalling, c.invocations[0].state)
}

func TestCallsRespectTheLeasedCallLimit(t *testing.T) {
	c := newTestController()
	for range 3 {
		insertInvocation(c, 0, stateAwaitingCall)
	}
	calls := func() (n int, until int64) {
		c.actions = c.actions[:0]
		c.startCalls()
		for _, a := range c.actions {
			if a.Kind == StartCall {
				n, until = n+1, a.At
			}
		}
		return n, until
	}
	c.Decide(testStart, []Event{{Kind: CallLimitSet, CallLimit: 1, MaxCallTime: 100 * millisecond}})
	assert.Equal(t, 1, c.counts.calling)
	assert.Equal(t, testStart+100*millisecond, c.invocations[0].callDeadline, "and to the time that one may take")
	n, _ := calls()
	assert.Zero(t, n)
	c.calls.limit = 2
	n, _ = calls()
	assert.Equal(t, 1, n, "a unit more")
	c.calls.limit = 0
	c.setState(&c.invocations[0], stateAwaitingCall)
	n, _ = calls()
	assert.Zero(t, n, "none without a lease")
}

// The decisions over drawn events are those that were taken before tenants and callers were kept only as seen.
func TestDecisionsOverRandomEventsAreUnchanged(t *testing.T) {
	assert.Equal(t, uint64(0xc8decd4b70530307), digestOfDecisions(t, 7, 1_200))
	assert.Equal(t, uint64(0x27221d42ec36a438), digestOfDecisions(t, 8, 1_200))
}

// What a beat costs is that of the tenants seen of late, not of those that there are.
func TestTickVisitsOnlyRecentTenants(t *testing.T) {
	for _, all := range []int{0, 1_000, 130_000} {
		c := newTestController(func(n *Config) { n.TenantRates = make([]float64, all) })
		for k := range int32(40) {
			c.Decide(c.now, []Event{{Kind: Arrived, Invocation: k, Tenant: min(k, int32(all)) - 1, Original: NoOriginal, QueuedKB: 1}})
		}
		assert.Len(t, c.callers.byTenant.Counts(), min(40, all+1))
		for range 2_100 { // beats of 50 ms: nobody comes
			c.updateBackpressure()
		}
		assert.Empty(t, c.callers.byTenant.Counts(), "forgotten once it makes no difference any more")
	}
}

func BenchmarkTick(b *testing.B) {
	for _, all := range []int{0, 1_000, 130_000} {
		b.Run(fmt.Sprint(all, " tenants"), func(b *testing.B) {
			c := newTestController(func(n *Config) { n.TenantRates = make([]float64, all) })
			now := testStart
			for b.Loop() {
				now += tickInterval
				c.Decide(now, []Event{{Kind: TimerFired, BusyShare: 0.5, RunnableThreads: 1}})
			}
		})
	}
}

func TestAcceptedInvocationsRetainTheirTermsWhenOperationsChange(t *testing.T) {
	c := newTestController()
	inv := insertInvocation(c, 0, stateRunning)
	inv.operation.serviceTimes.Add(4)
	usual := inv.operation.serviceTimes.Mean(1)
	set := func(i int32, terms *Operation, left ...Service) {
		c.apply(&Event{Kind: OperationConfigured, OperationIndex: i, Operation: terms, Services: left})
	}
	set(0, &Operation{LatencyObjective: 200 * millisecond, ClientTimeout: 400 * millisecond, PriorityWeight: 9}, Service{Form: Shed})
	assert.Equal(t, 3_000*millisecond, inv.operation.ClientTimeout)
	assert.Equal(t, 1.0, inv.operation.PriorityWeight)
	w := insertInvocation(c, 0, stateQueued)
	assert.Equal(t, c.now+400*millisecond, w.deadline)
	assert.Equal(t, usual, w.operation.serviceTimes.Mean(1), "what was learnt of it stays")
	assert.Equal(t, Shed, w.operation.service.Form)
	assert.Equal(t, []float64{float64(200 * millisecond), float64(1_000 * millisecond)}, []float64{c.operations.shortestObjective, float64(c.operations.longestObjective)})
	set(3, &Operation{LatencyObjective: 7_000 * millisecond, ClientTimeout: 9_000 * millisecond})
	assert.Equal(t, 7_000*millisecond, c.operations.longestObjective)
	var m LoadMetrics
	c.MeasureLoad(&m)
	assert.Len(t, m.DemandByOperation, 4)
	c.setDegradationLevel([]Service{{}, {Form: Shed}}, false)
	assert.Equal(t, Shed, c.operations.list[1].service.Form)
	set(0, nil)
	set(3, nil)
	assert.Equal(t, []int64{1_000 * millisecond, 1_000 * millisecond}, []int64{int64(c.operations.shortestObjective), c.operations.longestObjective})
	c.Decide(c.now+100*millisecond, []Event{{Kind: RunEnded, Invocation: 0, Outcome: Succeeded}})
	set(0, &Operation{LatencyObjective: 500 * millisecond, ClientTimeout: 900 * millisecond})
	assert.Equal(t, 1.0, c.operations.list[0].serviceTimes.Mean(1), "another one begins anew")
}

// A node that starts with indices that no operation has goes on without them.
func TestRemovedOperationsAreIgnored(t *testing.T) {
	c := newTestController(func(n *Config) { n.Operations = append(n.Operations, Operation{Removed: true}) })
	assert.Equal(t, float64(1_000*millisecond), c.operations.shortestObjective)
	c.Decide(c.now+tickInterval, []Event{{Kind: TimerFired, BusyShare: 0.5, RunnableThreads: 1}})
}
