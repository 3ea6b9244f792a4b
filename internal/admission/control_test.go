package admission

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestDueRunIsErroredThenStopped(t *testing.T) {
	p := post()
	v := put(p, 0, running)
	v.due = p.now + answerMargin
	p.keepDeadlines()
	assert.Equal(t, []ActionKind{Fail, Stop, Stop}, kinds(p))
	assert.True(t, v.answered)
}

func TestRunPastItsObjectiveGoesOnWhereItCannotBeStopped(t *testing.T) {
	p := post(func(n *Config) { n.StopSupport = StopUnsupported })
	v := put(p, 0, running)
	v.arrived -= 2_000 * ms
	p.keepDeadlines()
	assert.Empty(t, p.out)
}

func TestHopelessIsThrottledAtOnceWithATimeToComeBack(t *testing.T) {
	p := post()
	p.lag = float64(300 * ms)
	v := put(p, 0, held)
	v.arrived -= 950 * ms
	p.orderHold()
	assert.Equal(t, []ActionKind{Reject}, kinds(p))
	assert.Positive(t, p.out[0].Duration)
	assert.Equal(t, ended, v.state)
}

func TestHoldPutsValueForCoreTimeFirst(t *testing.T) {
	p := post()
	put(p, 0, held)
	put(p, 1, held)
	big := put(p, 1, held)
	big.base *= 3
	p.orderHold()
	assert.Equal(t, []int32{1, 2, 0}, p.order)
}

func TestTenantOverItsShareComesAfterOthers(t *testing.T) {
	p := post(func(n *Config) { n.TenantRates = []float64{2, 2}; n.OverQuotaWeightShare = 0.1 })
	for k := range 50 {
		p.tenants.Add(0)
		if k < 5 {
			p.tenants.Add(1)
		}
	}
	p.tenants.Decay(0.5, 0)
	assert.Equal(t, []float64{25, 2.5}, []float64{p.tenants.Count(0), p.tenants.Count(1)})
	assert.InDelta(t, (1+9*0.1)/10, p.withinShare(0), 1e-9)
	assert.Equal(t, 1.0, p.withinShare(1))
}

func TestTokenedIsRecordedBeforeItRuns(t *testing.T) {
	p := post()
	out := p.Decide(start, []Event{{Kind: Arrived, Invocation: 0, OperationIndex: 1, Tenant: -1,
		Original: NoOriginal, QueuedKB: 10}})
	assert.Equal(t, RecordKey, out[0].Kind)
	assert.Equal(t, 5_000*ms, out[0].Duration)
	assert.Equal(t, Run, out[1].Kind)
}

func TestTokenedWithoutRoomInTheTableIsThrottledUnrun(t *testing.T) {
	p := post(func(n *Config) { n.DeduplicationEntryKB = 300 })
	put(p, 1, held)
	p.record(0, p.now+5_000*ms)
	assert.Equal(t, []ActionKind{Reject}, kinds(p))
}

func TestRepeatOfWhatRanIsReused(t *testing.T) {
	p := post()
	p.intake(&Event{Kind: Arrived, OperationIndex: 1, Tenant: -1, Original: OriginalEnded, QueuedKB: 10})
	assert.Equal(t, []ActionKind{JoinOriginal}, kinds(p))
}

func TestRepeatOfWhatRanIsErroredNotThrottledOnceIntakeEnded(t *testing.T) {
	p := post()
	p.noticed, p.intakeEnd = p.now-ms, p.now
	p.intake(&Event{Kind: Arrived, OperationIndex: 1, Tenant: -1, Original: OriginalEnded, QueuedKB: 10})
	assert.Equal(t, []ActionKind{Fail}, kinds(p))
}

func TestCallThatMayHaveRunIsRepeatedOnceAndOnlyIfIdempotent(t *testing.T) {
	for outcome, proof := range map[Outcome]bool{Overloaded: true, Unreachable: true,
		TimedOut: false, Broken: false, Errored: false} {
		for op, again := range []int{1, 0} { // the idempotent operation, the tokened one
			p := post()
			v := put(p, op, calling)
			v.callAt, v.tries = p.now, 1
			made := 0
			for p.callEnded(v, outcome); ; p.callEnded(v, outcome) {
				if p.makeCalls(); p.out[len(p.out)-1].Kind == Fail {
					break
				}
				made++
			}
			if proof {
				again = callTries - 1
			}
			assert.Equal(t, again, made, "outcome %d, operation %d", outcome, op)
		}
	}
}

func TestReplyThatHardlyComesIsNotWaitedForWhereTheCallMayBeRepeated(t *testing.T) {
	p := post(func(n *Config) { n.CallQuota = 24 })
	p.callTime.Add(0.0625) // of the shortest objective
	for op, tries := range []int{0, 0, 2} {
		v := put(p, min(op, 2)%2, standing)
		v.tries = tries
		p.out = nil
		p.makeCalls()
		assert.Equal(t, op == 0, p.out[0].At < p.now+1_000*ms, "operation %d, tries %d", op%2, tries)
	}
}

func TestFailedCallIsLeftOutWhereAllowed(t *testing.T) {
	p := post(func(n *Config) { n.Operations[0].SkippedCallWeightShare = 0.5 })
	v := put(p, 0, standing)
	v.tries = callTries
	p.makeCalls()
	assert.Equal(t, []ActionKind{SkipCall}, kinds(p))
	assert.Equal(t, running, v.state)
}

func TestCallsAreMadeHighestValueFirst(t *testing.T) {
	p := post()
	put(p, 0, standing)
	put(p, 1, standing)
	p.makeCalls()
	assert.Equal(t, []ActionKind{StartCall, StartCall}, kinds(p))
	assert.Equal(t, []int32{1, 0}, []int32{p.out[0].Invocation, p.out[1].Invocation})
}

// The incident of meubles-rennes on which a large fleet left each node a share below one.
func TestCallsInHandKeepTheShareAsAMean(t *testing.T) {
	p := post(func(n *Config) { n.CallQuota, n.AbandonedCallTime = 0.35, 200*ms })
	for range 8 {
		p.callTime.Add(0.02)
		put(p, 1, standing)
	}
	p.makeCalls()
	reserved := 0.0
	for _, a := range p.out {
		reserved += float64(a.At - p.now + p.config.AbandonedCallTime)
	}
	assert.Len(t, p.out, 4, "not one at a time")
	assert.LessOrEqual(t, reserved, 0.35*5e9)
	p.advance(p.now + 700*ms)
	assert.Zero(t, p.callRoom(), "those calls have used the share up")
	for range 11 {
		p.inHand = 0
		p.advance(p.now + 500*ms)
	}
	p.live = nil
	assert.Positive(t, p.callRoom(), "a span later it is there again")
}

// The incident of boutique-brest on which every call was made for work already too late.
func TestSlowDependencyHoldsBackStarts(t *testing.T) {
	p := post()
	for range 6 {
		p.callTime.Add(0.5)
		put(p, 0, standing)
	}
	put(p, 0, held)
	p.orderHold()
	assert.Equal(t, []ActionKind{Reject}, kinds(p))
	p.out = p.out[:0]
	p.now += 900 * ms
	put(p, 0, calling)
	p.makeCalls()
	assert.Equal(t, Fail, p.out[0].Kind)
}

func TestCrowdIsTighterWhileCold(t *testing.T) {
	p := post(func(n *Config) { n.ColdStart = true; n.ColdSpeedShare = 0.2; n.WarmUpTime = 10_000 * ms })
	assert.InDelta(t, crowdRoom*2*(1+3*0.2), p.survivable(), 1e-9)
	p.now += 20_000 * ms
	assert.InDelta(t, crowdRoom*2*4, p.survivable(), 1e-9)
}

func TestThoseAtCallsCountTowardsTheCrowd(t *testing.T) {
	p := post()
	for range 6 {
		put(p, 0, standing)
	}
	put(p, 0, held)
	p.order = []int32{6}
	p.startRuns()
	assert.Empty(t, p.out)
}

func TestMemoryStopsStartsAndTurnsAwayTheEndOfTheHold(t *testing.T) {
	p := post()
	for range 2 {
		put(p, 0, held).kb = 480
	}
	p.memory, p.order = 960, []int32{0, 1}
	p.startRuns()
	assert.Empty(t, p.out)
	p.keepMemory()
	assert.Equal(t, []ActionKind{Reject}, kinds(p))
	assert.Equal(t, int32(1), p.out[0].Invocation)
}

func TestLimitGrowsWhileCoresAreFreeAndFallsWithThroughput(t *testing.T) {
	p := post()
	put(p, 0, held)
	p.order, p.onCores, p.free = []int32{0}, 2, true
	p.adjustLimit()
	assert.Equal(t, 3.0, p.limit)
	p.free, p.throughput, p.onCores, p.now = false, 1, 3, p.now+20*beat
	p.adjustLimit()
	assert.InDelta(t, (3-limitGrowth)*limitBackoff, p.limit, 1e-9)
	p.limit = 0
	p.adjustLimit()
	assert.Equal(t, 2.0, p.limit, "the core count is the floor")
}

func TestNoticeTurnsHealthBadAndScalesBothDurations(t *testing.T) {
	p := post()
	put(p, 0, running)
	p.drain(p.now + killMargin + 5_000*ms)
	assert.Equal(t, []ActionKind{ReportHealth}, kinds(p))
	assert.False(t, p.out[0].Healthy)
	assert.Equal(t, 1, p.atNotice)
	assert.Equal(t, p.now+2_000*ms, p.intakeEnd, "the grace, where the longest objective is left room")
	assert.Equal(t, p.now+5_000*ms, p.drainEnd)
	for kill, delay := range map[int64]int64{2_500 * ms: 1_500 * ms, 1_000 * ms: 200 * ms, 0: 0} {
		p = post()
		p.drain(p.now + killMargin + kill)
		assert.Equal(t, p.now+delay, p.intakeEnd)
		assert.LessOrEqual(t, p.drainEnd, p.now+kill)
	}
}

func TestIntakeEndsWithinTheGraceAndASecondNoticeNeverExtends(t *testing.T) {
	p := post()
	p.drain(p.now + 60_000*ms)
	assert.Equal(t, p.now+2_000*ms, p.intakeEnd)
	p.now += 1_000 * ms
	p.drain(p.now + 90_000*ms)
	assert.Equal(t, p.noticed+2_000*ms, p.intakeEnd)
}

func TestDrainDeadlineAbortsAndCountsTheRest(t *testing.T) {
	p := post()
	put(p, 0, running)
	put(p, 0, held)
	p.noticed, p.drainEnd, p.atNotice, p.closed = p.now-ms, p.now, 3, 2
	p.keepDrain()
	assert.Equal(t, []ActionKind{StopAccepting, Fail, Stop, Reject, Exit}, kinds(p))
	assert.Equal(t, "drain: in flight at start 3, completed 2, abandoned 2", p.out[4].Report)
}

func TestDrainIsOverOnceNothingIsOpenAndIntakeEnded(t *testing.T) {
	p := post()
	v := put(p, 0, running)
	p.noticed, p.intakeEnd, p.drainEnd = p.now-ms, p.now, p.now+1_000*ms
	p.keepDrain()
	assert.Equal(t, []ActionKind{StopAccepting}, kinds(p))
	v.answered = true
	p.keepDrain()
	p.keepDrain()
	assert.Equal(t, []ActionKind{StopAccepting, StopAccepting, Exit}, kinds(p), "told once")
}

func TestStalledRunsTurnHealthBadBeforeAnyEnds(t *testing.T) {
	p := post()
	put(p, 0, running)
	put(p, 0, running)
	p.coreClock += float64(500 * ms)
	p.adjustHealth()
	assert.True(t, p.unhealthy)
}

func TestAFullHoldIsNotUnhealthyButAsksForLess(t *testing.T) {
	p := post(func(n *Config) { n.Backpressure = BackpressureLevel })
	for range 20 {
		put(p, 0, held)
	}
	p.adjustHealth()
	assert.False(t, p.unhealthy)
	p.adjustAdvice()
	assert.InDelta(t, 1-adviceDown, p.open, 1e-9)
}

func TestDrainAdvisesCallersAway(t *testing.T) {
	for advice, want := range map[BackpressureKind]float64{BackpressureLevel: 1, BackpressureCredits: 0, BackpressureWeight: 0} {
		p := post(func(n *Config) { n.Backpressure = advice })
		p.noticed, p.intakeEnd = p.now, p.now+2*awayLead
		p.adjustAdvice()
		assert.NotEqual(t, want, p.said, "it serves on, others may be full")
		p.now, p.out = p.now+awayLead, nil
		p.adjustAdvice()
		assert.Equal(t, want, p.out[0].Value)
	}
}

func TestLateEventsOnEndedInvocationsDoNothing(t *testing.T) {
	p := post()
	put(p, 0, held)
	p.end(0)
	for kind := CallerDisconnected; kind <= RunEnded; kind++ {
		if kind != DrainRequested && kind != TimerFired {
			p.take(&Event{Kind: kind})
		}
	}
	assert.Empty(t, p.out)
	assert.Equal(t, 1, p.closed)
}

func TestPausedRunKeepsItsMemoryAndResumes(t *testing.T) {
	p := post()
	v := put(p, 0, running)
	p.runEnded(0, Stopped)
	assert.Equal(t, paused, v.state)
	assert.Equal(t, 40.0, p.memory)
}

// The incident of pret-quimper on which fresh nodes were flooded before their first answers.
func TestColdStartInvitesLess(t *testing.T) {
	p := post(func(n *Config) { n.ColdStart = true; n.ColdSpeedShare = 0.25 })
	assert.Equal(t, 0.25, p.open)
}

// The incident of meubles-rennes on which reading and runs together crowded every node's cores.
func TestReadingCountsTowardsTheLimit(t *testing.T) {
	p := post()
	put(p, 0, held)
	put(p, 0, held)
	p.order, p.reading = []int32{0, 1}, 2
	p.startRuns()
	assert.Equal(t, []ActionKind{Run}, kinds(p))
}

// A day of boutique-brest on which nodes that reported bad got no more work and so never came back.
func TestIdleNodeReturnsToGoodHealth(t *testing.T) {
	p := post()
	for range 8 {
		p.pace.Add(8)
	}
	p.adjustHealth()
	assert.True(t, p.unhealthy)
	for range 60 {
		p.adjustHealth()
	}
	assert.False(t, p.unhealthy)
}

// Grown deployments of two cores a node: the half-second mean of the busy gauge let the limit overshoot.
func TestFreeCoresAreThoseThatNothingWantsNow(t *testing.T) {
	p := post()
	p.take(&Event{Kind: TimerFired, BusyShare: 0.2, RunnableThreads: 2})
	assert.False(t, p.free)
	p.take(&Event{Kind: TimerFired, BusyShare: 0.95, RunnableThreads: 1})
	assert.True(t, p.free)
	p.take(&Event{Kind: TimerFired, BusyShare: 0.95, RunnableThreads: -1})
	assert.False(t, p.free)
}

// Grown meubles-rennes: with two cores, returns from calls crowded a node whose starts kept to the limit.
func TestReturnsFromCallsCannotCrowdAFewCores(t *testing.T) {
	p := post()
	put(p, 0, held)
	put(p, 0, calling)
	put(p, 0, calling)
	p.order, p.away = []int32{0}, 0
	p.startRuns()
	assert.Empty(t, p.out)
	p.away = 0.6
	p.startRuns()
	assert.Equal(t, []ActionKind{Run}, kinds(p))
}

// Grown meubles-rennes: a fifth of all runs were for callers that wait about a third of the client timeout.
func TestHoldReckonsWithCallersThatLeaveEarly(t *testing.T) {
	p := post()
	for range 20 {
		v := put(p, 0, held)
		v.arrived -= 300 * ms
		p.take(&Event{Kind: CallerDisconnected, Invocation: int32(len(p.invs) - 1)})
	}
	p.patient = p.stays.TimeAtSurvival(patienceMost)
	assert.InDelta(t, 0.1, p.patient, 1.0/patienceBins)
	v := put(p, 0, held)
	v.arrived -= 200 * ms
	p.lag, p.out = 0, p.out[:0]
	p.orderHold()
	assert.Equal(t, []ActionKind{Reject}, kinds(p))
}

// Overloaded days of the grown deployments: what every node turned away was read at node after node.
func TestManyFurtherTriesAskForNoMoreUntilFewAreThrottled(t *testing.T) {
	p := post(func(n *Config) { n.RetriesMarked = true })
	p.arrivals, p.echoes, p.throttled = 10, 5, 4
	p.adjustAdvice()
	assert.True(t, p.allFull)
	p.echoes = 0
	p.adjustAdvice()
	assert.True(t, p.allFull, "the tries that it asked not to be made can't be evidence")
	p.throttled = 1
	p.adjustAdvice()
	assert.False(t, p.allFull)
}

func TestCreditForManyCallersIsNeverRoundedToNothing(t *testing.T) {
	p := post(func(n *Config) { n.Backpressure = BackpressureCredits })
	for caller := range int64(1_000) {
		p.callers.Add(caller)
	}
	p.open = adviceLow
	p.adjustAdvice()
	assert.Equal(t, 0.01, p.out[0].Value)
}

// Grown pret-quimper: on two cores a short objective was missed behind one long run of little value.
func TestLongRunMakesWayForOneOfHighRankIfItStillEndsInTime(t *testing.T) {
	for late, want := range map[int64][]ActionKind{0: {Stop}, 900 * ms: {}} {
		p := post()
		p.limit = 1
		put(p, 0, running).arrived -= late
		first := put(p, 1, held)
		p.rank(first)
		p.order = []int32{1}
		p.startRuns()
		assert.Equal(t, want, kinds(p))
	}
}

func TestStallIsSeenLaterAmongFewRuns(t *testing.T) {
	p := post()
	put(p, 0, running)
	put(p, 0, running)
	p.coreClock += float64(300 * ms)
	p.adjustHealth()
	assert.False(t, p.unhealthy, "two large invocations are no stall")
}

// A release of boutique-brest: a third of runs, half of these read late, failed at their objective.
func TestLittleSlackLowersTheRank(t *testing.T) {
	p := post()
	fresh, stale, late := put(p, 0, held), put(p, 0, held), put(p, 0, held)
	stale.arrived -= 800 * ms
	late.arrived -= 2_000 * ms
	for _, v := range []*invocation{fresh, stale, late} {
		p.rank(v)
	}
	assert.Greater(t, fresh.key, stale.key)
	assert.Positive(t, stale.key)
	assert.Zero(t, late.key)
}

// Grown pret-quimper: the mean of skewed costs gave up what half of the time ends within the objective.
func TestHoldKeepsWhatTypicallyEndsInTime(t *testing.T) {
	p := post()
	v := put(p, 0, held)
	v.arrived -= 930 * ms // 70 of the 100 ms expected are left
	p.orderHold()
	assert.Empty(t, p.out)
	v.arrived -= 20 * ms
	p.orderHold()
	assert.Equal(t, []ActionKind{Reject}, kinds(p))
}

// Drawn days of pret-quimper: nodes that had asked for least stayed shut to the end, for want of arrivals.
func TestNodeThatHearsOfNothingOpensAgain(t *testing.T) {
	p := post()
	p.lag, p.reading, p.open = float64(900*ms), 2, adviceLow
	p.adjustAdvice()
	assert.Equal(t, adviceLow, p.open)
	p.reading = 0
	p.adjustAdvice()
	assert.InDelta(t, adviceLow+adviceUp, p.open, 1e-9)
}

// The service days of meubles-rennes: a burst being read, or a few long runs, made nodes throttle what they had room for.
func TestABurstOfReadingDoesNotShrinkWhatTheHoldIsReckonedToClear(t *testing.T) {
	p := post(func(n *Config) { n.Cores = 8 })
	for range 20 { // a second of little reading, then a beat of much
		p.now += 50 * ms
		p.take(&Event{Kind: TimerFired, BusyShare: 0.5, RunnableThreads: 1})
	}
	p.now += 50 * ms
	p.take(&Event{Kind: TimerFired, BusyShare: 1, RunnableThreads: 9})
	assert.InDelta(t, 6.8, p.freeCores(), 0.05)
	assert.InDelta(t, 3, p.reading, 0.1, "the limit follows it at once")
	now := p.now
	p.now += 10 * ms
	p.take(&Event{Kind: TimerFired, BusyShare: 1, RunnableThreads: 9})
	assert.InDelta(t, 3.3, p.reading, 0.1, "by the time that went by, not by the gauge")
	assert.Equal(t, now+10*ms, p.gauged)
}

func TestAFewLongRunsAreNoSlowNode(t *testing.T) {
	p := post()
	for range 20 {
		p.pace.Add(1)
	}
	for range 3 {
		p.pace.Add(4)
	}
	p.adjustHealth()
	assert.False(t, p.unhealthy)
}

// The service day on which, after some seconds of a slow dependency, no call was made any more.
func TestOneCallIsAlwaysMadeHoweverLongCallsTookOfLate(t *testing.T) {
	p := post()
	for range 12 {
		p.callTime.Add(2) // of the shortest objective
	}
	put(p, 0, standing)
	put(p, 0, standing)
	p.makeCalls()
	assert.Equal(t, []ActionKind{StartCall, Fail}, kinds(p))
	assert.Equal(t, calling, p.invs[0].state)
}

func TestCallsKeepToTheUnitsOfALease(t *testing.T) {
	p := post()
	for range 3 {
		put(p, 0, standing)
	}
	calls := func() (n int, until int64) {
		p.out = p.out[:0]
		p.makeCalls()
		for _, a := range p.out {
			if a.Kind == StartCall {
				n, until = n+1, a.At
			}
		}
		return n, until
	}
	p.Decide(start, []Event{{Kind: CallLimitSet, CallLimit: 1, MaxCallTime: 100 * ms}})
	assert.Equal(t, 1, p.inHand)
	assert.Equal(t, start+100*ms, p.invs[0].callUntil, "and to the time that one may take")
	n, _ := calls()
	assert.Zero(t, n)
	p.units = 2
	n, _ = calls()
	assert.Equal(t, 1, n, "a unit more")
	p.units = 0
	p.shift(&p.invs[0], standing)
	n, _ = calls()
	assert.Zero(t, n, "none without a lease")
}

// The decisions over drawn events are those that were taken before tenants and callers were kept only as seen.
func TestDecisionsOverDrawnEventsAreBitForBitThoseOfBefore(t *testing.T) {
	assert.Equal(t, uint64(0xc8decd4b70530307), decisions(t, 7, 1_200))
	assert.Equal(t, uint64(0x27221d42ec36a438), decisions(t, 8, 1_200))
}

// What a beat costs is that of the tenants seen of late, not of those that there are.
func TestBeatGoesOverTheTenantsSeenOnly(t *testing.T) {
	for _, all := range []int{0, 1_000, 130_000} {
		p := post(func(n *Config) { n.TenantRates = make([]float64, all) })
		for k := range int32(40) {
			p.Decide(p.now, []Event{{Kind: Arrived, Invocation: k, Tenant: min(k, int32(all)) - 1, Original: NoOriginal, QueuedKB: 1}})
		}
		assert.Len(t, p.tenants.Counts(), min(40, all+1))
		for range 2_100 { // beats of 50 ms: nobody comes
			p.adjustAdvice()
		}
		assert.Empty(t, p.tenants.Counts(), "forgotten once it makes no difference any more")
	}
}

func BenchmarkBeat(b *testing.B) {
	for _, all := range []int{0, 1_000, 130_000} {
		b.Run(fmt.Sprint(all, " tenants"), func(b *testing.B) {
			p := post(func(n *Config) { n.TenantRates = make([]float64, all) })
			now := start
			for b.Loop() {
				now += beat
				p.Decide(now, []Event{{Kind: TimerFired, BusyShare: 0.5, RunnableThreads: 1}})
			}
		})
	}
}

func TestOperationsChangeWhileWhatWasTakenKeepsItsTerms(t *testing.T) {
	p := post()
	v := put(p, 0, running)
	v.op.usual.Add(4)
	usual := v.op.usual.Mean(1)
	set := func(i int32, terms *Operation, left ...Service) {
		p.take(&Event{Kind: OperationConfigured, OperationIndex: i, Operation: terms, Services: left})
	}
	set(0, &Operation{LatencyObjective: 200 * ms, ClientTimeout: 400 * ms, PriorityWeight: 9}, Service{Form: Shed})
	assert.Equal(t, 3_000*ms, v.op.ClientTimeout)
	assert.Equal(t, 1.0, v.op.PriorityWeight)
	w := put(p, 0, held)
	assert.Equal(t, p.now+400*ms, w.due)
	assert.Equal(t, usual, w.op.usual.Mean(1), "what was learnt of it stays")
	assert.Equal(t, Shed, w.op.service.Form)
	assert.Equal(t, []float64{float64(200 * ms), float64(1_000 * ms)}, []float64{p.tightest, float64(p.slowest)})
	set(3, &Operation{LatencyObjective: 7_000 * ms, ClientTimeout: 9_000 * ms})
	assert.Equal(t, 7_000*ms, p.slowest)
	var m LoadMetrics
	p.MeasureLoad(&m)
	assert.Len(t, m.DemandByOperation, 4)
	p.setLevel([]Service{{}, {Form: Shed}}, false)
	assert.Equal(t, Shed, p.ops[1].service.Form)
	set(0, nil)
	set(3, nil)
	assert.Equal(t, []int64{1_000 * ms, 1_000 * ms}, []int64{int64(p.tightest), p.slowest})
	p.Decide(p.now+100*ms, []Event{{Kind: RunEnded, Invocation: 0, Outcome: Succeeded}})
	set(0, &Operation{LatencyObjective: 500 * ms, ClientTimeout: 900 * ms})
	assert.Equal(t, 1.0, p.ops[0].usual.Mean(1), "another one begins anew")
}

// A node that starts with indices that no operation has goes on without them.
func TestIndicesOfNoOperationCountForNothing(t *testing.T) {
	p := post(func(n *Config) { n.Operations = append(n.Operations, Operation{Removed: true}) })
	assert.Equal(t, float64(1_000*ms), p.tightest)
	p.Decide(p.now+beat, []Event{{Kind: TimerFired, BusyShare: 0.5, RunnableThreads: 1}})
}
