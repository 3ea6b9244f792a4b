package admission_test

import (
	"math"
	"math/rand"

	"topazpost/internal/admission"
)

const (
	millisecond      = int64(1_000_000)            // ns
	hostStart        = 1_000_000_000 * millisecond // start time of simulated hosts
	snapshotInterval = 16                          // steps between snapshots of the state and the load metrics
	unlimitedCalls   = math.MaxInt
	unlimitedTime    = int64(math.MaxInt64 / 4) // ns
	never            = int64(math.MaxInt64)
)

// jobPhase is the stage of an invocation on a simulated host.
type jobPhase uint8

const (
	phaseUnused  jobPhase = iota
	phaseWaiting          // queued or paused, or ended and not yet released
	phaseJoined           // waits for the end of the job that it repeats
	phaseRunning
	phaseAwaitingCall
	phaseCalling
)

// simulatedJob is an invocation on a simulated host.
type simulatedJob struct {
	phase          jobPhase
	operationIndex int32
	original       int32 // index of the job that it repeats, negative for none
	remainingCalls int
	endsAt         int64 // of the present phase
	stopping       bool
	answered       bool
}

// simulatedHost is a host that drives a controller with events drawn from a seed, and performs its actions.
type simulatedHost struct {
	random            *rand.Rand
	config            *admission.Config
	controller        *admission.Controller
	now               int64
	timerAt           int64
	jobs              []simulatedJob
	freeIndices       []int32
	events            []admission.Event
	meanArrivals      float64 // in each step
	slowdown          float64 // factor of the durations of runs and calls
	presentOperations []bool
	killAt            int64
	steps             int
	digest            decisionDigest
	record            func(now int64, events []admission.Event) // nil for none
}

// newSimulatedHost returns a host that has just started.
func newSimulatedHost(config *admission.Config, seed int64, meanArrivals float64) *simulatedHost {
	h := &simulatedHost{
		random:            rand.New(rand.NewSource(seed)),
		config:            config,
		controller:        admission.NewController(config, hostStart),
		now:               hostStart,
		meanArrivals:      meanArrivals,
		slowdown:          1,
		presentOperations: make([]bool, len(config.Operations)),
		digest:            newDecisionDigest(),
	}
	for k := range config.Operations {
		h.presentOperations[k] = !config.Operations[k].Removed
	}
	return h
}

// randomDuration returns a random duration (ns) between two bounds in milliseconds.
func (h *simulatedHost) randomDuration(least, most int) int64 {
	return int64(least)*millisecond + h.random.Int63n(int64(most-least+1)*millisecond)
}

// oneIn returns true at random, on average once in the given number of cases.
func (h *simulatedHost) oneIn(cases int) bool { return h.random.Intn(cases) == 0 }

func (h *simulatedHost) enqueue(e admission.Event) { h.events = append(h.events, e) }

// step advances time, passes the events to the controller and performs its actions.
func (h *simulatedHost) step(drain bool) {
	h.steps++
	h.events = h.events[:0]
	h.now += h.randomDuration(1, 14)
	if h.oneIn(700) {
		h.now += h.randomDuration(1_000, 20_000) // a long period without events
	}
	h.addEnds()
	h.addArrivals()
	h.addExternalEvents(drain)
	h.addTimer()
	if h.record != nil {
		h.record(h.now, h.events)
	}
	actions := h.controller.Decide(h.now, h.events)
	h.digest.addInteger(h.now)
	h.digest.addInteger(int64(len(actions)))
	for k := range actions {
		h.digest.addAction(&actions[k])
		h.perform(&actions[k])
	}
	if h.steps%snapshotInterval == 0 {
		h.addSnapshot()
	}
}

// addSnapshot adds the state and the load metrics to the digest.
func (h *simulatedHost) addSnapshot() {
	var load admission.LoadMetrics
	h.digest.addState(h.controller.State())
	h.controller.MeasureLoad(&load)
	h.digest.addLoadMetrics(&load)
}

// addTimer adds a TimerFired event if the timer is due. Its gauges may be missing.
func (h *simulatedHost) addTimer() {
	if h.now < h.timerAt {
		return
	}
	running := 0.0
	for k := range h.jobs {
		if h.jobs[k].phase == phaseRunning {
			running++
		}
	}
	e := admission.Event{Kind: admission.TimerFired, BusyShare: -1, RunnableThreads: -1}
	if !h.oneIn(9) {
		e.BusyShare = min(1, running/float64(h.config.Cores)*(0.8+0.3*h.random.Float64()))
	}
	if !h.oneIn(5) {
		e.RunnableThreads = running + float64(h.random.Intn(3))*h.random.Float64()
	}
	h.enqueue(e)
}

// addEnds adds the events of jobs whose present phase ends.
func (h *simulatedHost) addEnds() {
	for k := range h.jobs {
		j := &h.jobs[k]
		i := int32(k)
		switch {
		case j.phase == phaseUnused || j.phase == phaseWaiting || h.now < j.endsAt:
			continue
		case j.phase == phaseRunning && j.stopping:
			j.stopping = false
			h.endRun(i, admission.Stopped)
		case j.phase == phaseRunning && j.remainingCalls > 0 && !j.answered:
			h.enqueue(admission.Event{Kind: admission.CallRequested, Invocation: i})
			j.awaitCall()
		case j.phase == phaseRunning:
			outcome := admission.Succeeded
			if h.oneIn(12) {
				outcome = admission.Errored
			}
			h.endRun(i, outcome)
		case j.phase == phaseCalling && !j.answered:
			h.endCall(i)
		case j.phase == phaseJoined: // the job that it repeats ended before
			h.endRun(i, admission.Succeeded)
		default: // its caller needs no answer any more
			h.endRun(i, admission.Stopped)
		}
	}
}

// endRun adds the end of a run and of the jobs that joined it.
func (h *simulatedHost) endRun(i int32, outcome admission.Outcome) {
	h.enqueue(admission.Event{Kind: admission.RunEnded, Invocation: i, Outcome: outcome})
	h.jobs[i].phase = phaseWaiting
	for k := range h.jobs {
		j := &h.jobs[k]
		if j.phase == phaseJoined && j.original == i {
			h.enqueue(admission.Event{Kind: admission.RunEnded, Invocation: int32(k), Outcome: outcome})
			j.phase = phaseWaiting
		}
	}
}

// endCall adds the end of a call, which may have failed.
func (h *simulatedHost) endCall(i int32) {
	failures := []admission.Outcome{admission.Errored, admission.Overloaded, admission.TimedOut, admission.Unreachable,
		admission.ConnectionBroken, admission.NeverStarted}
	outcome := admission.Succeeded
	if h.random.Float64() < 0.12*h.slowdown {
		outcome = failures[h.random.Intn(len(failures))]
	}
	h.enqueue(admission.Event{Kind: admission.CallEnded, Invocation: i, Outcome: outcome})
	j := &h.jobs[i]
	if outcome != admission.Succeeded {
		j.awaitCall()
		return
	}
	j.remainingCalls--
	h.startRun(j)
}

func (j *simulatedJob) awaitCall() {
	j.phase = phaseAwaitingCall
	j.endsAt = never
}

// startRun starts a run, or the part of it after a call.
func (h *simulatedHost) startRun(j *simulatedJob) {
	j.phase = phaseRunning
	j.endsAt = h.now + int64(h.slowdown*float64(h.randomDuration(5, 120)))
}

// answer marks a job as answered. If it is blocked on a call, its run ends soon after, without the call.
func (h *simulatedHost) answer(j *simulatedJob) {
	j.answered = true
	if j.phase == phaseAwaitingCall || j.phase == phaseCalling {
		j.endsAt = h.now + h.randomDuration(1, 30)
	}
}

func (h *simulatedHost) perform(a *admission.Action) {
	switch a.Kind {
	case admission.SetTimer:
		h.timerAt = a.At
	case admission.Run:
		h.startRun(&h.jobs[a.Invocation])
	case admission.SkipCall:
		j := &h.jobs[a.Invocation]
		j.remainingCalls--
		h.startRun(j)
	case admission.StartCall:
		j := &h.jobs[a.Invocation]
		j.phase = phaseCalling
		j.endsAt = min(a.At, h.now+int64(h.slowdown*float64(h.randomDuration(2, 150))))
	case admission.Stop:
		if h.oneIn(6) {
			return // the stop has no effect
		}
		j := &h.jobs[a.Invocation]
		j.stopping = true
		j.endsAt = h.now + h.randomDuration(0, 10)
	case admission.JoinOriginal:
		h.join(&h.jobs[a.Invocation])
	case admission.Reject, admission.Fail:
		h.answer(&h.jobs[a.Invocation])
	case admission.Release:
		h.release(a.Invocation)
	}
}

// join makes a job wait for the end of the job that it repeats, or for a short time if that has ended.
func (h *simulatedHost) join(j *simulatedJob) {
	j.phase = phaseJoined
	j.endsAt = never
	if j.original < 0 || h.jobs[j.original].phase == phaseUnused {
		j.endsAt = h.now + h.randomDuration(0, 20)
	}
}

// release frees an index. Jobs that joined the released job, and whose end endRun did not report, end soon after.
func (h *simulatedHost) release(i int32) {
	h.jobs[i] = simulatedJob{}
	h.freeIndices = append(h.freeIndices, i)
	for k := range h.jobs {
		j := &h.jobs[k]
		if j.phase == phaseJoined && j.original == i {
			j.original = -1
			j.endsAt = h.now + h.randomDuration(0, 20)
		}
	}
}

// warmConfig returns the configuration of a warm node of four cores with operations of each kind of idempotency.
func warmConfig(change ...func(*admission.Config)) *admission.Config {
	config := &admission.Config{
		Operations: []admission.Operation{
			{LatencyObjective: 400 * millisecond, ObjectivePerWork: 1, ClientTimeout: 1_200 * millisecond, PriorityWeight: 1, LateWeightShare: 0.2, CallsDependency: true},
			{Idempotency: admission.IdempotentWithKey, LatencyObjective: 600 * millisecond, ClientTimeout: 2_000 * millisecond, DeduplicationWindow: 3_000 * millisecond,
				PriorityWeight: 5, CallsDependency: true},
			{Idempotency: admission.NonIdempotent, LatencyObjective: 300 * millisecond, ClientTimeout: 900 * millisecond, PriorityWeight: 2, LateWeightShare: 0.5},
			{LatencyObjective: 800 * millisecond, ObjectivePerWork: 2, ClientTimeout: 2_500 * millisecond, PriorityWeight: 0.7, SkippedCallWeightShare: 0.4, CallsDependency: true},
			{Idempotency: admission.NonIdempotent, LatencyObjective: 500 * millisecond, ClientTimeout: 1_500 * millisecond, PriorityWeight: 3, CallsDependency: true},
		},
		TenantRates: []float64{0, 3, 8, 20}, OverQuotaWeightShare: 0.1, Cores: 4, MemoryKB: 20_000, RunningMemoryFactor: 4, DeduplicationEntryKB: 2, Peers: 3,
		Dependency: admission.SharedDependency, CallQuota: 3, CallQuotaWindow: 4_000 * millisecond, AbandonedCallTime: 80 * millisecond, ReadReuseWindow: 500 * millisecond,
		ColdSpeedShare: 0.2, WarmUpTime: 8_000 * millisecond, SurvivableRunsPerCore: 4, DrainGrace: 2_000 * millisecond,
		MaxRetryAfter: 1_000 * millisecond, StopSupport: admission.StopKeepsProgress, Backpressure: admission.BackpressureLevel,
	}
	for _, c := range change {
		c(config)
	}
	return config
}
