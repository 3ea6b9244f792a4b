package admission

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestRunAtItsDeadlineFailsAndIsStopped(t *testing.T) {
	p := newTestController()
	v := addInvocation(p, 0, stateRunning)
	v.deadline = p.now + answerMargin
	p.enforceDeadlines()
	assert.Equal(t, []ActionKind{Fail, Stop, Stop}, actionKinds(p))
	assert.True(t, v.answered)
}

func TestRunPastItsObjectiveContinuesWithoutStopSupport(t *testing.T) {
	p := newTestController(func(n *Config) { n.StopSupport = StopUnsupported })
	v := addInvocation(p, 0, stateRunning)
	v.arrivedAt -= 2_000 * millisecond
	p.enforceDeadlines()
	assert.Empty(t, p.actions)
}

func TestUnlikelyInTimeIsRejectedAtOnceWithRetryAfter(t *testing.T) {
	p := newTestController()
	p.queueingDelay = float64(300 * millisecond)
	v := addInvocation(p, 0, stateQueued)
	v.arrivedAt -= 950 * millisecond
	p.orderQueue()
	assert.Equal(t, []ActionKind{Reject}, actionKinds(p))
	assert.Positive(t, p.actions[0].Duration)
	assert.Equal(t, stateEnded, v.state)
}

func TestQueueOrdersByWeightPerCoreTime(t *testing.T) {
	p := newTestController()
	addInvocation(p, 0, stateQueued)
	addInvocation(p, 1, stateQueued)
	big := addInvocation(p, 1, stateQueued)
	big.baseWork *= 3
	p.orderQueue()
	assert.Equal(t, []int32{1, 2, 0}, p.queueOrder)
}

func TestTenantOverItsQuotaHasLowerWeight(t *testing.T) {
	p := newTestController(func(n *Config) { n.TenantRates = []float64{2, 2}; n.OverQuotaWeightShare = 0.1 })
	for k := range 50 {
		p.tenants.Add(0)
		if k < 5 {
			p.tenants.Add(1)
		}
	}
	p.tenants.Decay(0.5, 0)
	assert.Equal(t, []float64{25, 2.5}, []float64{p.tenants.Count(0), p.tenants.Count(1)})
	assert.InDelta(t, (1+9*0.1)/10, p.tenantWeightShare(0), 1e-9)
	assert.Equal(t, 1.0, p.tenantWeightShare(1))
}

func TestIdempotencyKeyIsRecordedBeforeTheRun(t *testing.T) {
	p := newTestController()
	out := p.Decide(testStart, []Event{{Kind: Arrived, Invocation: 0, OperationIndex: 1, Tenant: -1,
		Original: NoOriginal, QueuedKB: 10}})
	assert.Equal(t, RecordKey, out[0].Kind)
	assert.Equal(t, 5_000*millisecond, out[0].Duration)
	assert.Equal(t, Run, out[1].Kind)
}

func TestKeyedRequestIsRejectedWhenTheDeduplicationTableIsFull(t *testing.T) {
	p := newTestController(func(n *Config) { n.DeduplicationEntryKB = 300 })
	addInvocation(p, 1, stateQueued)
	p.recordKey(0, p.now+5_000*millisecond)
	assert.Equal(t, []ActionKind{Reject}, actionKinds(p))
}

func TestRetryOfAStartedInvocationJoinsIt(t *testing.T) {
	p := newTestController()
	p.handleArrival(&Event{Kind: Arrived, OperationIndex: 1, Tenant: -1, Original: OriginalEnded, QueuedKB: 10})
	assert.Equal(t, []ActionKind{JoinOriginal}, actionKinds(p))
}

func TestRetryOfAStartedInvocationFailsRatherThanRejectedAfterIntakeEnd(t *testing.T) {
	p := newTestController()
	p.drainRequestedAt, p.intakeEnd = p.now-millisecond, p.now
	p.handleArrival(&Event{Kind: Arrived, OperationIndex: 1, Tenant: -1, Original: OriginalEnded, QueuedKB: 10})
	assert.Equal(t, []ActionKind{Fail}, actionKinds(p))
}

func TestCallThatMayHaveRunIsRetriedOnceAndOnlyIfIdempotent(t *testing.T) {
	for outcome, proof := range map[Outcome]bool{Overloaded: true, Unreachable: true,
		TimedOut: false, Broken: false, Errored: false} {
		for op, again := range []int{1, 0} { // the idempotent operation, the tokened one
			p := newTestController()
			v := addInvocation(p, op, stateCalling)
			v.callStartedAt, v.callAttempts = p.now, 1
			made := 0
			for p.callEnded(v, outcome); ; p.callEnded(v, outcome) {
				if p.startCalls(); p.actions[len(p.actions)-1].Kind == Fail {
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
	p := newTestController(func(n *Config) { n.CallQuota = 24 })
	p.callDurations.Add(0.0625) // of the shortest objective
	for op, tries := range []int{0, 0, 2} {
		v := addInvocation(p, min(op, 2)%2, stateAwaitingCall)
		v.callAttempts = tries
		p.actions = nil
		p.startCalls()
		assert.Equal(t, op == 0, p.actions[0].At < p.now+1_000*millisecond, "operation %d, tries %d", op%2, tries)
	}
}

func TestFailedCallIsSkippedWhereAllowed(t *testing.T) {
	p := newTestController(func(n *Config) { n.Operations[0].SkippedCallWeightShare = 0.5 })
	v := addInvocation(p, 0, stateAwaitingCall)
	v.callAttempts = maxCallAttempts
	p.startCalls()
	assert.Equal(t, []ActionKind{SkipCall}, actionKinds(p))
	assert.Equal(t, stateRunning, v.state)
}

func TestCallsStartInOrderOfWeight(t *testing.T) {
	p := newTestController()
	addInvocation(p, 0, stateAwaitingCall)
	addInvocation(p, 1, stateAwaitingCall)
	p.startCalls()
	assert.Equal(t, []ActionKind{StartCall, StartCall}, actionKinds(p))
	assert.Equal(t, []int32{1, 0}, []int32{p.actions[0].Invocation, p.actions[1].Invocation})
}

// The incident of meubles-rennes on which a large fleet left each node a share below one.
func TestCallsInFlightStayWithinTheMeanQuota(t *testing.T) {
	p := newTestController(func(n *Config) { n.CallQuota, n.AbandonedCallTime = 0.35, 200*millisecond })
	for range 8 {
		p.callDurations.Add(0.02)
		addInvocation(p, 1, stateAwaitingCall)
	}
	p.startCalls()
	reserved := 0.0
	for _, a := range p.actions {
		reserved += float64(a.At - p.now + p.config.AbandonedCallTime)
	}
	assert.Len(t, p.actions, 4, "not one at a time")
	assert.LessOrEqual(t, reserved, 0.35*5e9)
	p.advanceClocks(p.now + 700*millisecond)
	assert.Zero(t, p.nextCallTimeLimit(), "those calls have used the share up")
	for range 11 {
		p.callsInFlight = 0
		p.advanceClocks(p.now + 500*millisecond)
	}
	p.live = nil
	assert.Positive(t, p.nextCallTimeLimit(), "a span later it is there again")
}

// The incident of boutique-brest on which every call was made for work already too late.
func TestSlowDependencyLimitsStarts(t *testing.T) {
	p := newTestController()
	for range 6 {
		p.callDurations.Add(0.5)
		addInvocation(p, 0, stateAwaitingCall)
	}
	addInvocation(p, 0, stateQueued)
	p.orderQueue()
	assert.Equal(t, []ActionKind{Reject}, actionKinds(p))
	p.actions = p.actions[:0]
	p.now += 900 * millisecond
	addInvocation(p, 0, stateCalling)
	p.startCalls()
	assert.Equal(t, Fail, p.actions[0].Kind)
}

func TestSafeConcurrencyIsLowerWhileWarmingUp(t *testing.T) {
	p := newTestController(func(n *Config) { n.ColdStart = true; n.ColdSpeedShare = 0.2; n.WarmUpTime = 10_000 * millisecond })
	assert.InDelta(t, safeOverloadShare*2*(1+3*0.2), p.maxSafeConcurrency(), 1e-9)
	p.now += 20_000 * millisecond
	assert.InDelta(t, safeOverloadShare*2*4, p.maxSafeConcurrency(), 1e-9)
}

func TestRunsBlockedOnCallsCountTowardsSafeConcurrency(t *testing.T) {
	p := newTestController()
	for range 6 {
		addInvocation(p, 0, stateAwaitingCall)
	}
	addInvocation(p, 0, stateQueued)
	p.queueOrder = []int32{6}
	p.startRuns()
	assert.Empty(t, p.actions)
}

func TestMemoryLimitStopsStartsAndRejectsTheQueueTail(t *testing.T) {
	p := newTestController()
	for range 2 {
		addInvocation(p, 0, stateQueued).queuedKB = 480
	}
	p.invocationsKB, p.queueOrder = 960, []int32{0, 1}
	p.startRuns()
	assert.Empty(t, p.actions)
	p.enforceMemoryLimit()
	assert.Equal(t, []ActionKind{Reject}, actionKinds(p))
	assert.Equal(t, int32(1), p.actions[0].Invocation)
}

func TestLimitGrowsWhileCoresAreIdleAndFallsWithThroughput(t *testing.T) {
	p := newTestController()
	addInvocation(p, 0, stateQueued)
	p.queueOrder, p.runningCount, p.coreIdle = []int32{0}, 2, true
	p.adjustLimit()
	assert.Equal(t, 3.0, p.runLimit)
	p.coreIdle, p.bestThroughput, p.runningCount, p.now = false, 1, 3, p.now+20*tickInterval
	p.adjustLimit()
	assert.InDelta(t, (3-limitGrowth)*limitBackoff, p.runLimit, 1e-9)
	p.runLimit = 0
	p.adjustLimit()
	assert.Equal(t, 2.0, p.runLimit, "the core count is the floor")
}

func TestDrainRequestTurnsHealthBadAndScalesBothPhases(t *testing.T) {
	p := newTestController()
	addInvocation(p, 0, stateRunning)
	p.startDrain(p.now + killMargin + 5_000*millisecond)
	assert.Equal(t, []ActionKind{ReportHealth}, actionKinds(p))
	assert.False(t, p.actions[0].Healthy)
	assert.Equal(t, 1, p.inFlightAtDrain)
	assert.Equal(t, p.now+2_000*millisecond, p.intakeEnd, "the grace, where the longest objective is left room")
	assert.Equal(t, p.now+5_000*millisecond, p.drainDeadline)
	for kill, delay := range map[int64]int64{2_500 * millisecond: 1_500 * millisecond, 1_000 * millisecond: 200 * millisecond, 0: 0} {
		p = newTestController()
		p.startDrain(p.now + killMargin + kill)
		assert.Equal(t, p.now+delay, p.intakeEnd)
		assert.LessOrEqual(t, p.drainDeadline, p.now+kill)
	}
}

func TestIntakeEndsWithinTheGraceAndASecondRequestNeverExtends(t *testing.T) {
	p := newTestController()
	p.startDrain(p.now + 60_000*millisecond)
	assert.Equal(t, p.now+2_000*millisecond, p.intakeEnd)
	p.now += 1_000 * millisecond
	p.startDrain(p.now + 90_000*millisecond)
	assert.Equal(t, p.drainRequestedAt+2_000*millisecond, p.intakeEnd)
}

func TestDrainDeadlineAbortsAndCountsTheRemainder(t *testing.T) {
	p := newTestController()
	addInvocation(p, 0, stateRunning)
	addInvocation(p, 0, stateQueued)
	p.drainRequestedAt, p.drainDeadline, p.inFlightAtDrain, p.endedCount = p.now-millisecond, p.now, 3, 2
	p.advanceDrain()
	assert.Equal(t, []ActionKind{StopAccepting, Fail, Stop, Reject, Exit}, actionKinds(p))
	assert.Equal(t, "drain: in flight at start 3, completed 2, abandoned 2", p.actions[4].Report)
}

func TestDrainFinishesOnceIntakeEndedAndNothingIsInFlight(t *testing.T) {
	p := newTestController()
	v := addInvocation(p, 0, stateRunning)
	p.drainRequestedAt, p.intakeEnd, p.drainDeadline = p.now-millisecond, p.now, p.now+1_000*millisecond
	p.advanceDrain()
	assert.Equal(t, []ActionKind{StopAccepting}, actionKinds(p))
	v.answered = true
	p.advanceDrain()
	p.advanceDrain()
	assert.Equal(t, []ActionKind{StopAccepting, StopAccepting, Exit}, actionKinds(p), "told once")
}

func TestStalledRunsTurnHealthBadBeforeAnyEnds(t *testing.T) {
	p := newTestController()
	addInvocation(p, 0, stateRunning)
	addInvocation(p, 0, stateRunning)
	p.coreClock += float64(500 * millisecond)
	p.updateHealth()
	assert.True(t, p.unhealthy)
}

func TestFullQueueIsHealthyButSignalsBackpressure(t *testing.T) {
	p := newTestController(func(n *Config) { n.Backpressure = BackpressureLevel })
	for range 20 {
		addInvocation(p, 0, stateQueued)
	}
	p.updateHealth()
	assert.False(t, p.unhealthy)
	p.updateBackpressure()
	assert.InDelta(t, 1-capacityDecrease, p.advertisedCapacity, 1e-9)
}

func TestDrainRedirectsCallers(t *testing.T) {
	for advice, want := range map[BackpressureKind]float64{BackpressureLevel: 1, BackpressureCredits: 0, BackpressureWeight: 0} {
		p := newTestController(func(n *Config) { n.Backpressure = advice })
		p.drainRequestedAt, p.intakeEnd = p.now, p.now+2*redirectLeadTime
		p.updateBackpressure()
		assert.NotEqual(t, want, p.lastSignal, "it serves on, others may be full")
		p.now, p.actions = p.now+redirectLeadTime, nil
		p.updateBackpressure()
		assert.Equal(t, want, p.actions[0].Value)
	}
}

func TestLateEventsOnEndedInvocationsAreIgnored(t *testing.T) {
	p := newTestController()
	addInvocation(p, 0, stateQueued)
	p.end(0)
	for kind := CallerDisconnected; kind <= RunEnded; kind++ {
		if kind != DrainRequested && kind != TimerFired {
			p.apply(&Event{Kind: kind})
		}
	}
	assert.Empty(t, p.actions)
	assert.Equal(t, 1, p.endedCount)
}

func TestPausedRunKeepsItsMemoryAndResumes(t *testing.T) {
	p := newTestController()
	v := addInvocation(p, 0, stateRunning)
	p.runEnded(0, Stopped)
	assert.Equal(t, statePaused, v.state)
	assert.Equal(t, 40.0, p.invocationsKB)
}

// The incident of pret-quimper on which fresh nodes were flooded before their first answers.
func TestColdStartAdvertisesLessCapacity(t *testing.T) {
	p := newTestController(func(n *Config) { n.ColdStart = true; n.ColdSpeedShare = 0.25 })
	assert.Equal(t, 0.25, p.advertisedCapacity)
}

// The incident of meubles-rennes on which reading and runs together crowded every node's cores.
func TestOtherRunnableThreadsCountTowardsTheLimit(t *testing.T) {
	p := newTestController()
	addInvocation(p, 0, stateQueued)
	addInvocation(p, 0, stateQueued)
	p.queueOrder, p.otherRunnable = []int32{0, 1}, 2
	p.startRuns()
	assert.Equal(t, []ActionKind{Run}, actionKinds(p))
}

// A day of boutique-brest on which nodes that reported bad got no more work and so never came back.
func TestIdleNodeBecomesHealthyAgain(t *testing.T) {
	p := newTestController()
	for range 8 {
		p.serviceTimeRatio.Add(8)
	}
	p.updateHealth()
	assert.True(t, p.unhealthy)
	for range 60 {
		p.updateHealth()
	}
	assert.False(t, p.unhealthy)
}

// Grown deployments of two cores a node: the half-second mean of the busy gauge let the limit overshoot.
func TestCoresAreIdleWhenFewerThreadsAreRunnable(t *testing.T) {
	p := newTestController()
	p.apply(&Event{Kind: TimerFired, BusyShare: 0.2, RunnableThreads: 2})
	assert.False(t, p.coreIdle)
	p.apply(&Event{Kind: TimerFired, BusyShare: 0.95, RunnableThreads: 1})
	assert.True(t, p.coreIdle)
	p.apply(&Event{Kind: TimerFired, BusyShare: 0.95, RunnableThreads: -1})
	assert.False(t, p.coreIdle)
}

// Grown meubles-rennes: with two cores, returns from calls crowded a node whose starts kept to the limit.
func TestReturnsFromCallsCannotOverloadFewCores(t *testing.T) {
	p := newTestController()
	addInvocation(p, 0, stateQueued)
	addInvocation(p, 0, stateCalling)
	addInvocation(p, 0, stateCalling)
	p.queueOrder, p.meanBlocked = []int32{0}, 0
	p.startRuns()
	assert.Empty(t, p.actions)
	p.meanBlocked = 0.6
	p.startRuns()
	assert.Equal(t, []ActionKind{Run}, actionKinds(p))
}

// Grown meubles-rennes: a fifth of all runs were for callers that wait about a third of the client timeout.
func TestQueueAccountsForEarlyAbandonment(t *testing.T) {
	p := newTestController()
	for range 20 {
		v := addInvocation(p, 0, stateQueued)
		v.arrivedAt -= 300 * millisecond
		p.apply(&Event{Kind: CallerDisconnected, Invocation: int32(len(p.invocations) - 1)})
	}
	p.callerWaitShare = p.waitTimes.TimeAtSurvival(minCallersWaiting)
	assert.InDelta(t, 0.1, p.callerWaitShare, 1.0/waitTimeBins)
	v := addInvocation(p, 0, stateQueued)
	v.arrivedAt -= 200 * millisecond
	p.queueingDelay, p.actions = 0, p.actions[:0]
	p.orderQueue()
	assert.Equal(t, []ActionKind{Reject}, actionKinds(p))
}

// Overloaded days of the grown deployments: what every node turned away was read at node after node.
func TestRetryStormMarksTheFleetOverloadedUntilFewAreRejected(t *testing.T) {
	p := newTestController(func(n *Config) { n.RetriesMarked = true })
	p.arrivals, p.retries, p.rejected = 10, 5, 4
	p.updateBackpressure()
	assert.True(t, p.fleetOverloaded)
	p.retries = 0
	p.updateBackpressure()
	assert.True(t, p.fleetOverloaded, "the tries that it asked not to be made can't be evidence")
	p.rejected = 1
	p.updateBackpressure()
	assert.False(t, p.fleetOverloaded)
}

func TestCreditsForManyCallersAreNeverRoundedToZero(t *testing.T) {
	p := newTestController(func(n *Config) { n.Backpressure = BackpressureCredits })
	for caller := range int64(1_000) {
		p.callers.Add(caller)
	}
	p.advertisedCapacity = minAdvertisedCapacity
	p.updateBackpressure()
	assert.Equal(t, 0.01, p.actions[0].Value)
}

// Grown pret-quimper: on two cores a short objective was missed behind one long run of little value.
func TestHighRankPreemptsALongRunThatStillEndsInTime(t *testing.T) {
	for late, want := range map[int64][]ActionKind{0: {Stop}, 900 * millisecond: {}} {
		p := newTestController()
		p.runLimit = 1
		addInvocation(p, 0, stateRunning).arrivedAt -= late
		first := addInvocation(p, 1, stateQueued)
		p.updateRank(first)
		p.queueOrder = []int32{1}
		p.startRuns()
		assert.Equal(t, want, actionKinds(p))
	}
}

func TestStallIsDetectedLaterAmongFewRuns(t *testing.T) {
	p := newTestController()
	addInvocation(p, 0, stateRunning)
	addInvocation(p, 0, stateRunning)
	p.coreClock += float64(300 * millisecond)
	p.updateHealth()
	assert.False(t, p.unhealthy, "two large invocations are no stall")
}

// A release of boutique-brest: a third of runs, half of these read late, failed at their objective.
func TestLittleSlackLowersTheRank(t *testing.T) {
	p := newTestController()
	fresh, stale, late := addInvocation(p, 0, stateQueued), addInvocation(p, 0, stateQueued), addInvocation(p, 0, stateQueued)
	stale.arrivedAt -= 800 * millisecond
	late.arrivedAt -= 2_000 * millisecond
	for _, v := range []*invocation{fresh, stale, late} {
		p.updateRank(v)
	}
	assert.Greater(t, fresh.rank, stale.rank)
	assert.Positive(t, stale.rank)
	assert.Zero(t, late.rank)
}

// Grown pret-quimper: the mean of skewed costs gave up what half of the time ends within the objective.
func TestQueueRetainsWhatTypicallyEndsInTime(t *testing.T) {
	p := newTestController()
	v := addInvocation(p, 0, stateQueued)
	v.arrivedAt -= 930 * millisecond // 70 of the 100 ms expected are left
	p.orderQueue()
	assert.Empty(t, p.actions)
	v.arrivedAt -= 20 * millisecond
	p.orderQueue()
	assert.Equal(t, []ActionKind{Reject}, actionKinds(p))
}

// Drawn days of pret-quimper: nodes that had asked for least stayed shut to the end, for want of arrivals.
func TestIdleNodeRaisesItsAdvertisedCapacity(t *testing.T) {
	p := newTestController()
	p.queueingDelay, p.otherRunnable, p.advertisedCapacity = float64(900*millisecond), 2, minAdvertisedCapacity
	p.updateBackpressure()
	assert.Equal(t, minAdvertisedCapacity, p.advertisedCapacity)
	p.otherRunnable = 0
	p.updateBackpressure()
	assert.InDelta(t, minAdvertisedCapacity+capacityIncrease, p.advertisedCapacity, 1e-9)
}

// The service days of meubles-rennes: a burst being read, or a few long runs, made nodes throttle what they had room for.
func TestBurstOfOtherThreadsBarelyLowersAvailableCores(t *testing.T) {
	p := newTestController(func(n *Config) { n.Cores = 8 })
	for range 20 { // a second of little reading, then a beat of much
		p.now += 50 * millisecond
		p.apply(&Event{Kind: TimerFired, BusyShare: 0.5, RunnableThreads: 1})
	}
	p.now += 50 * millisecond
	p.apply(&Event{Kind: TimerFired, BusyShare: 1, RunnableThreads: 9})
	assert.InDelta(t, 6.8, p.availableCores(), 0.05)
	assert.InDelta(t, 3, p.otherRunnable, 0.1, "the limit follows it at once")
	now := p.now
	p.now += 10 * millisecond
	p.apply(&Event{Kind: TimerFired, BusyShare: 1, RunnableThreads: 9})
	assert.InDelta(t, 3.3, p.otherRunnable, 0.1, "by the time that went by, not by the gauge")
	assert.Equal(t, now+10*millisecond, p.gaugedAt)
}

func TestFewLongRunsDoNotMakeTheNodeUnhealthy(t *testing.T) {
	p := newTestController()
	for range 20 {
		p.serviceTimeRatio.Add(1)
	}
	for range 3 {
		p.serviceTimeRatio.Add(4)
	}
	p.updateHealth()
	assert.False(t, p.unhealthy)
}

// The service day on which, after some seconds of a slow dependency, no call was made any more.
func TestOneCallIsAlwaysStartedHoweverSlowTheDependency(t *testing.T) {
	p := newTestController()
	for range 12 {
		p.callDurations.Add(2) // of the shortest objective
	}
	addInvocation(p, 0, stateAwaitingCall)
	addInvocation(p, 0, stateAwaitingCall)
	p.startCalls()
	assert.Equal(t, []ActionKind{StartCall, Fail}, actionKinds(p))
	assert.Equal(t, stateCalling, p.invocations[0].state)
}

func TestCallsRespectTheLeasedCallLimit(t *testing.T) {
	p := newTestController()
	for range 3 {
		addInvocation(p, 0, stateAwaitingCall)
	}
	calls := func() (n int, until int64) {
		p.actions = p.actions[:0]
		p.startCalls()
		for _, a := range p.actions {
			if a.Kind == StartCall {
				n, until = n+1, a.At
			}
		}
		return n, until
	}
	p.Decide(testStart, []Event{{Kind: CallLimitSet, CallLimit: 1, MaxCallTime: 100 * millisecond}})
	assert.Equal(t, 1, p.callsInFlight)
	assert.Equal(t, testStart+100*millisecond, p.invocations[0].callDeadline, "and to the time that one may take")
	n, _ := calls()
	assert.Zero(t, n)
	p.callLimit = 2
	n, _ = calls()
	assert.Equal(t, 1, n, "a unit more")
	p.callLimit = 0
	p.setState(&p.invocations[0], stateAwaitingCall)
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
		p := newTestController(func(n *Config) { n.TenantRates = make([]float64, all) })
		for k := range int32(40) {
			p.Decide(p.now, []Event{{Kind: Arrived, Invocation: k, Tenant: min(k, int32(all)) - 1, Original: NoOriginal, QueuedKB: 1}})
		}
		assert.Len(t, p.tenants.Counts(), min(40, all+1))
		for range 2_100 { // beats of 50 ms: nobody comes
			p.updateBackpressure()
		}
		assert.Empty(t, p.tenants.Counts(), "forgotten once it makes no difference any more")
	}
}

func BenchmarkTick(b *testing.B) {
	for _, all := range []int{0, 1_000, 130_000} {
		b.Run(fmt.Sprint(all, " tenants"), func(b *testing.B) {
			p := newTestController(func(n *Config) { n.TenantRates = make([]float64, all) })
			now := testStart
			for b.Loop() {
				now += tickInterval
				p.Decide(now, []Event{{Kind: TimerFired, BusyShare: 0.5, RunnableThreads: 1}})
			}
		})
	}
}

func TestAcceptedInvocationsRetainTheirTermsWhenOperationsChange(t *testing.T) {
	p := newTestController()
	v := addInvocation(p, 0, stateRunning)
	v.operation.serviceTimes.Add(4)
	usual := v.operation.serviceTimes.Mean(1)
	set := func(i int32, terms *Operation, left ...Service) {
		p.apply(&Event{Kind: OperationConfigured, OperationIndex: i, Operation: terms, Services: left})
	}
	set(0, &Operation{LatencyObjective: 200 * millisecond, ClientTimeout: 400 * millisecond, PriorityWeight: 9}, Service{Form: Shed})
	assert.Equal(t, 3_000*millisecond, v.operation.ClientTimeout)
	assert.Equal(t, 1.0, v.operation.PriorityWeight)
	w := addInvocation(p, 0, stateQueued)
	assert.Equal(t, p.now+400*millisecond, w.deadline)
	assert.Equal(t, usual, w.operation.serviceTimes.Mean(1), "what was learnt of it stays")
	assert.Equal(t, Shed, w.operation.service.Form)
	assert.Equal(t, []float64{float64(200 * millisecond), float64(1_000 * millisecond)}, []float64{p.shortestObjective, float64(p.longestObjective)})
	set(3, &Operation{LatencyObjective: 7_000 * millisecond, ClientTimeout: 9_000 * millisecond})
	assert.Equal(t, 7_000*millisecond, p.longestObjective)
	var m LoadMetrics
	p.MeasureLoad(&m)
	assert.Len(t, m.DemandByOperation, 4)
	p.setDegradationLevel([]Service{{}, {Form: Shed}}, false)
	assert.Equal(t, Shed, p.operations[1].service.Form)
	set(0, nil)
	set(3, nil)
	assert.Equal(t, []int64{1_000 * millisecond, 1_000 * millisecond}, []int64{int64(p.shortestObjective), p.longestObjective})
	p.Decide(p.now+100*millisecond, []Event{{Kind: RunEnded, Invocation: 0, Outcome: Succeeded}})
	set(0, &Operation{LatencyObjective: 500 * millisecond, ClientTimeout: 900 * millisecond})
	assert.Equal(t, 1.0, p.operations[0].serviceTimes.Mean(1), "another one begins anew")
}

// A node that starts with indices that no operation has goes on without them.
func TestRemovedOperationsAreIgnored(t *testing.T) {
	p := newTestController(func(n *Config) { n.Operations = append(n.Operations, Operation{Removed: true}) })
	assert.Equal(t, float64(1_000*millisecond), p.shortestObjective)
	p.Decide(p.now+tickInterval, []Event{{Kind: TimerFired, BusyShare: 0.5, RunnableThreads: 1}})
}
