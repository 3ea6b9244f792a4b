package admission_test

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"math"
	"math/rand"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"

	"topazpost/internal/admission"
)

const (
	millisecond      = int64(1_000_000)            // ns
	hostStart        = 1_000_000_000 * millisecond // when simulated hosts start
	snapshotInterval = 16                          // steps between looks at the state and the measures
)

// decisionDigest sums up what the module returns. It is the only place that names the fields, one after the other, so that it is all
// there is to edit when they get other names or other types. Its figures are those of an amd64: others may round otherwise.
type decisionDigest struct{ hash.Hash }

func newDecisionDigest() decisionDigest { return decisionDigest{sha256.New()} }

// sum is the digest so far, in hexadecimal digits.
func (d decisionDigest) sum() string { return hex.EncodeToString(d.Sum(nil)) }

// addInteger adds an integer.
func (d decisionDigest) addInteger(n int64) {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], uint64(n))
	d.Write(b[:])
}

// addFloats adds the bits of floating-point numbers.
func (d decisionDigest) addFloats(values ...float64) {
	for _, x := range values {
		d.addInteger(int64(math.Float64bits(x)))
	}
}

// addBooleans adds truth values.
func (d decisionDigest) addBooleans(values ...bool) {
	for _, is := range values {
		n := int64(0)
		if is {
			n = 1
		}
		d.addInteger(n)
	}
}

// addNumbersOf adds the decimal addNumbersOf in a text, whose wording may change.
func (d decisionDigest) addNumbersOf(text string) {
	for _, word := range strings.FieldsFunc(text, func(r rune) bool { return r < '0' || r > '9' }) {
		n := int64(0)
		for _, c := range word {
			n = 10*n + int64(c-'0')
		}
		d.addInteger(n)
	}
}

// addAction adds all fields of an addAction; of the report of a drain only its numbers.
func (d decisionDigest) addAction(a *admission.Action) {
	d.addInteger(int64(a.Kind))
	d.addInteger(int64(a.Invocation))
	d.addInteger(a.At)
	d.addInteger(a.Duration)
	d.addFloats(a.Value)
	d.addBooleans(a.Healthy, a.Cached, a.NoRetry)
	d.addInteger(int64(a.Reason))
	d.addInteger(int64(a.Form))
	d.addNumbersOf(a.Report)
}

// addState adds all fields of a addState.
func (d decisionDigest) addState(s admission.ControllerState) {
	d.addFloats(s.Limit)
	d.addInteger(int64(s.OnCores))
	d.addInteger(int64(s.Queued))
	d.addInteger(int64(s.AwaitingCall))
	d.addInteger(int64(s.CallsInFlight))
	d.addFloats(s.MeanBlocked, s.QueueWait, s.CallWait, s.QueueingDelay, s.OtherRunnable, s.MeanOtherRunnable, s.ServiceTimeRatio, s.StallRatio, s.CallerWaitShare, s.CallTime, s.CallFailureShare,
		s.MaxCallTime, s.CallQuotaUsed, s.AdvertisedCapacity, s.LastSignal, s.Arrivals, s.Retries, s.Rejected, s.Memory)
	d.addInteger(int64(s.Callers))
	d.addBooleans(s.FleetOverloaded, s.Unhealthy, s.CoreIdle)
}

// addLoadMetrics adds all fields of addLoadMetrics.
func (d decisionDigest) addLoadMetrics(m *admission.LoadMetrics) {
	d.addInteger(int64(len(m.DemandByOperation)))
	d.addFloats(m.DemandByOperation...)
	d.addFloats(m.IntakeShare, m.QueueWait, m.QueueingDelay, m.CallWait, m.RejectedShare, m.MemoryShare)
}

// jobPhase is where an invocation is on a simulated host.
type jobPhase uint8

const (
	phaseUnused jobPhase = iota
	phaseWaiting
	phaseJoined // waits for the end of another one
	phaseRunning
	phaseAwaitingCall // at a call that is not made
	phaseCalling
)

// simulatedJob is an invocation on a simulated host.
type simulatedJob struct {
	phase          jobPhase
	operationIndex int32
	original       int32 // the one that it repeats
	remainingCalls int   // that it is still to make
	endsAt         int64 // its run, part of a run or call
	stopping       bool  // its run is to be withdrawn
	answered       bool
}

// simulatedHost is a simulated simulatedHost of the module: all that happens is drawn from a seed.
type simulatedHost struct {
	random            *rand.Rand
	config            *admission.Config
	controller        *admission.Controller
	now               int64
	timerAt           int64
	jobs              []simulatedJob
	freeIndices       []int32
	events            []admission.Event
	meanArrivals      float64 // arrivals a step, at the mean
	slowdown          float64 // times longer that runs last at present
	presentOperations []bool  // operations
	killAt            int64
	steps             int
	digest            decisionDigest
	record            func(now int64, events []admission.Event) // nil for none
}

// newSimulatedHost is a host that has just started.
func newSimulatedHost(config *admission.Config, seed int64, load float64) *simulatedHost {
	h := &simulatedHost{random: rand.New(rand.NewSource(seed)), config: config, now: hostStart, meanArrivals: load, slowdown: 1, digest: newDecisionDigest(),
		presentOperations: make([]bool, len(config.Operations))}
	for k := range config.Operations {
		h.presentOperations[k] = !config.Operations[k].Removed
	}
	h.controller = admission.NewController(config, h.now)
	return h
}

// randomDuration is a duration between two bounds, in milliseconds.
func (h *simulatedHost) randomDuration(least, most int) int64 {
	return int64(least)*millisecond + h.random.Int63n(int64(most-least+1)*millisecond)
}

// oneIn says true once in so many times.
func (h *simulatedHost) oneIn(times int) bool { return h.random.Intn(times) == 0 }

func (h *simulatedHost) enqueue(e admission.Event) { h.events = append(h.events, e) }

// step lets time pass, tells the module what happened and does what it says.
func (h *simulatedHost) step(drain bool) {
	h.steps++
	h.events = h.events[:0]
	h.now += h.randomDuration(1, 14)
	if h.oneIn(700) {
		h.now += h.randomDuration(1_000, 20_000) // nothing happens for long
	}
	h.reportEnds()
	h.addArrivals()
	h.addExternalEvents(drain)
	if h.now >= h.timerAt {
		e := admission.Event{Kind: admission.TimerFired, BusyShare: -1, RunnableThreads: -1}
		on := 0.0
		for k := range h.jobs {
			if h.jobs[k].phase == phaseRunning {
				on++
			}
		}
		if !h.oneIn(9) {
			e.BusyShare = min(1, on/float64(h.config.Cores)*(0.8+0.3*h.random.Float64()))
		}
		if !h.oneIn(5) {
			e.RunnableThreads = on + float64(h.random.Intn(3))*h.random.Float64()
		}
		h.enqueue(e)
	}
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
		var m admission.LoadMetrics
		h.digest.addState(h.controller.State())
		h.controller.MeasureLoad(&m)
		h.digest.addLoadMetrics(&m)
	}
}

// reportEnds tells of runs and calls that ended.
func (h *simulatedHost) reportEnds() {
	outcomes := []admission.Outcome{admission.Errored, admission.Overloaded, admission.TimedOut, admission.Unreachable, admission.Broken, admission.NeverStarted}
	for k := range h.jobs {
		j, i := &h.jobs[k], int32(k)
		switch {
		case j.phase == phaseUnused || j.phase == phaseWaiting || h.now < j.endsAt:
			continue
		case j.phase == phaseRunning && j.stopping:
			h.enqueue(admission.Event{Kind: admission.RunEnded, Invocation: i, Outcome: admission.Stopped})
			j.phase, j.stopping = phaseWaiting, false
			h.endJoined(i, admission.Stopped)
		case j.phase == phaseRunning && j.remainingCalls > 0 && !j.answered:
			h.enqueue(admission.Event{Kind: admission.CallRequested, Invocation: i})
			j.phase, j.endsAt = phaseAwaitingCall, math.MaxInt64
		case j.phase == phaseRunning:
			outcome := admission.Succeeded
			if h.oneIn(12) {
				outcome = admission.Errored
			}
			h.enqueue(admission.Event{Kind: admission.RunEnded, Invocation: i, Outcome: outcome})
			j.phase = phaseWaiting
			h.endJoined(i, outcome)
		case j.phase == phaseCalling && !j.answered:
			outcome := admission.Succeeded
			if h.random.Float64() < 0.12*h.slowdown {
				outcome = outcomes[h.random.Intn(len(outcomes))]
			}
			h.enqueue(admission.Event{Kind: admission.CallEnded, Invocation: i, Outcome: outcome})
			if outcome == admission.Succeeded {
				j.remainingCalls--
				h.startRun(j)
			} else {
				j.phase, j.endsAt = phaseAwaitingCall, math.MaxInt64
			}
		default: // nobody waits for it, or what it repeats ended long ago
			outcome := admission.Succeeded
			if j.phase != phaseJoined {
				outcome = admission.Stopped
			}
			h.enqueue(admission.Event{Kind: admission.RunEnded, Invocation: i, Outcome: outcome})
			j.phase = phaseWaiting
			h.endJoined(i, outcome)
		}
	}
}

// endJoined ends what repeats an invocation.
func (h *simulatedHost) endJoined(of int32, outcome admission.Outcome) {
	for k := range h.jobs {
		if j := &h.jobs[k]; j.phase == phaseJoined && j.original == of {
			h.enqueue(admission.Event{Kind: admission.RunEnded, Invocation: int32(k), Outcome: outcome})
			j.phase = phaseWaiting
		}
	}
}

// startRun begins a part of a startRun.
func (h *simulatedHost) startRun(j *simulatedJob) {
	j.phase, j.endsAt = phaseRunning, h.now+int64(h.slowdown*float64(h.randomDuration(5, 120)))
}

// addArrivals tells of new invocations, at a rate that comes in waves.
func (h *simulatedHost) addArrivals() {
	wave := 1 + 0.9*math.Sin(float64(h.steps)/150)
	for n := h.meanArrivals * wave * 2 * h.random.Float64(); n > 0; n-- {
		if n < 1 && h.random.Float64() >= n {
			return
		}
		op := int32(h.random.Intn(len(h.presentOperations)))
		if !h.presentOperations[op] {
			continue
		}
		i := int32(len(h.jobs))
		if k := len(h.freeIndices); k > 0 {
			i, h.freeIndices = h.freeIndices[k-1], h.freeIndices[:k-1]
		} else {
			h.jobs = append(h.jobs, simulatedJob{})
		}
		e := admission.Event{Kind: admission.Arrived, Invocation: i, OperationIndex: op, Tenant: int32(h.random.Intn(len(h.config.TenantRates)+1)) - 1,
			Caller: int64(h.random.Intn(40)), Original: admission.NoOriginal, Retry: h.oneIn(4), HasReadKey: h.oneIn(2), Write: h.oneIn(3),
			Age: h.randomDuration(0, 8), QueuedKB: 4 + 30*h.random.Float64()}
		if !h.oneIn(3) {
			e.ExpectedWork = h.randomDuration(10, 150)
		}
		if h.oneIn(4) {
			e.Deadline = h.now + h.randomDuration(80, 2_500)
		}
		if h.oneIn(50) {
			e.Deadline, e.Age = h.now+h.randomDuration(1, 30), h.randomDuration(200, 1_000)
		}
		j := simulatedJob{phase: phaseWaiting, operationIndex: op, original: -1}
		if h.config.Operations[op].CallsDependency {
			j.remainingCalls = h.random.Intn(3)
		}
		if h.oneIn(15) {
			e.Original = admission.OriginalEnded
			if of := int32(h.random.Intn(len(h.jobs))); of != i && h.jobs[of].phase != phaseUnused && h.jobs[of].phase != phaseJoined && !h.jobs[of].answered {
				e.Original = of
			}
			j.original = e.Original
		}
		h.jobs[i] = j
		h.enqueue(e)
	}
}

// addExternalEvents tells of callers that leave and of what the node's surroundings set.
func (h *simulatedHost) addExternalEvents(drain bool) {
	for k := range h.jobs {
		if j := &h.jobs[k]; j.phase != phaseUnused && !j.answered && h.oneIn(900) {
			h.enqueue(admission.Event{Kind: admission.CallerDisconnected, Invocation: int32(k)})
			h.answer(j)
		}
	}
	if len(h.freeIndices) > 0 && h.oneIn(40) { // too late to matter
		kind := []admission.EventKind{admission.RunEnded, admission.CallerDisconnected, admission.CallEnded, admission.CallRequested}[h.random.Intn(4)]
		i := h.freeIndices[h.random.Intn(len(h.freeIndices))]
		taken := false
		for _, e := range h.events {
			taken = taken || e.Kind == admission.Arrived && e.Invocation == i
		}
		if !taken {
			h.enqueue(admission.Event{Kind: kind, Invocation: i})
		}
	}
	if h.oneIn(350) {
		h.slowdown = []float64{1, 1, 2, 4}[h.random.Intn(4)]
	}
	if h.oneIn(120) {
		var services []admission.Service
		if h.oneIn(2) {
			for range 1 + h.random.Intn(len(h.presentOperations)) {
				services = append(services, []admission.Service{{}, {Form: admission.Reduced, WorkShare: 0.5, WeightShare: 0.8}, {Form: admission.Shed},
					{Form: admission.Shed, WorkShare: 0.4, WeightShare: 0.6}}[h.random.Intn(4)])
			}
		}
		h.enqueue(admission.Event{Kind: admission.DegradationLevelSet, Services: services, UseSpareCapacity: h.oneIn(2)})
	}
	if h.oneIn(200) {
		e := admission.Event{Kind: admission.CallLimitSet, CallLimit: math.MaxInt, MaxCallTime: math.MaxInt64 / 4}
		if h.oneIn(2) {
			e.CallLimit, e.MaxCallTime = h.random.Intn(6), h.randomDuration(50, 400)
		}
		h.enqueue(e)
	}
	if h.oneIn(150) {
		h.reconfigureOperation()
	}
	if drain && (h.killAt == 0 || h.oneIn(100)) {
		h.killAt = h.now + h.randomDuration(500, 9_000)
		h.enqueue(admission.Event{Kind: admission.DrainRequested, KillAt: h.killAt})
	}
}

// reconfigureOperation gives an operation other terms, takes one away that nothing refers to, or brings one.
func (h *simulatedHost) reconfigureOperation() {
	op := int32(h.random.Intn(len(h.presentOperations)))
	terms := h.config.Operations[op]
	terms.LatencyObjective += h.randomDuration(0, 100)
	terms.PriorityWeight *= 0.5 + h.random.Float64()
	terms.Removed = false
	e := admission.Event{Kind: admission.OperationConfigured, OperationIndex: op, Operation: &terms}
	if h.oneIn(3) {
		e.Services = []admission.Service{{Form: admission.Reduced, WorkShare: 0.6, WeightShare: 0.9}}
	}
	left := 0
	for _, is := range h.presentOperations {
		if is {
			left++
		}
	}
	if h.presentOperations[op] && left > 1 && h.oneIn(2) {
		for k := range h.jobs {
			if h.jobs[k].phase != phaseUnused && h.jobs[k].operationIndex == op {
				return
			}
		}
		e.Operation, e.Services = nil, nil
	}
	h.presentOperations[op] = e.Operation != nil
	h.enqueue(e)
}

// answer is the end of an invocation for its caller; what is at a call ends soon after, without it.
func (h *simulatedHost) answer(j *simulatedJob) {
	j.answered = true
	if j.phase == phaseAwaitingCall || j.phase == phaseCalling {
		j.endsAt = h.now + h.randomDuration(1, 30)
	}
}

// perform does what the module says.
func (h *simulatedHost) perform(a *admission.Action) {
	switch a.Kind {
	case admission.SetTimer:
		h.timerAt = a.At
		return
	case admission.Run, admission.SkipCall:
		j := &h.jobs[a.Invocation]
		if a.Kind == admission.SkipCall {
			j.remainingCalls--
		}
		h.startRun(j)
	case admission.StartCall:
		j := &h.jobs[a.Invocation]
		j.phase, j.endsAt = phaseCalling, min(a.At, h.now+int64(h.slowdown*float64(h.randomDuration(2, 150))))
	case admission.Stop:
		if j := &h.jobs[a.Invocation]; !h.oneIn(6) { // else it had no effect
			j.stopping, j.endsAt = true, h.now+h.randomDuration(0, 10)
		}
	case admission.JoinOriginal:
		j := &h.jobs[a.Invocation]
		j.phase, j.endsAt = phaseJoined, math.MaxInt64
		if j.original < 0 || h.jobs[j.original].phase == phaseUnused {
			j.endsAt = h.now + h.randomDuration(0, 20)
		}
	case admission.Reject, admission.Fail:
		h.answer(&h.jobs[a.Invocation])
	case admission.Release:
		h.jobs[a.Invocation] = simulatedJob{}
		h.freeIndices = append(h.freeIndices, a.Invocation)
		for k := range h.jobs {
			if j := &h.jobs[k]; j.phase == phaseJoined && j.original == a.Invocation { // it was never run to its end
				j.original, j.endsAt = -1, h.now+h.randomDuration(0, 20)
			}
		}
	}
}

// warmConfig is a warm node of four cores with operations of each effect, changed as a run of the table needs it.
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
		ColdSpeedShare: 0.2, WarmUpTime: 8_000 * millisecond, OverloadMultiple: 4, DrainGrace: 2_000 * millisecond,
		MaxRetryAfter: 1_000 * millisecond, StopSupport: admission.StopKeepsProgress, Backpressure: admission.BackpressureLevel,
	}
	for _, c := range change {
		c(config)
	}
	return config
}

// digestRuns are the runs whose actions are recorded: a digest changes with any action, its order and any number in it.
var digestRuns = []struct {
	name   string
	seed   int64
	load   float64
	steps  int
	change func(*admission.Config)
	digest string
}{
	{"pauses and levels", 1, 0.5, 3_000, func(*admission.Config) {}, "c49f35f78a3b0b91b834a1f804b4ac06f77a5a7bcc7c061cf8bf9626709d7335"},
	{"overload that pauses", 2, 1.2, 3_000, func(n *admission.Config) { n.Backpressure = admission.BackpressureCredits }, "9c8c201cfa3298474adbbe49de04d6904332ae980c7c27ec39aff762e7e2b091"},
	{"drops", 3, 0.7, 3_000, func(n *admission.Config) {
		n.StopSupport, n.WeightScalesWithWork, n.Backpressure = admission.StopDiscardsProgress, true, admission.BackpressureWeight
	}, "7867c251472a8c26a9584c91f2a0628142180fadd830b4c82c970d1e59ca30a1"},
	{"no halting", 4, 0.8, 3_000, func(n *admission.Config) { n.StopSupport, n.RetriesMarked = admission.StopUnsupported, true }, "92e3a5a6e64952018c2208ac983398fbf674453496d9ba2248ee49c16993c9ec"},
	{"fresh", 5, 0.8, 3_000, func(n *admission.Config) { n.ColdStart, n.ProcessStart = true, hostStart-1_000*millisecond }, "b10245f9ddbbd1331d765d038f892b33289b92142347e48dea7fe8831012acaf"},
	{"fresh cores of an old process", 6, 1.5, 3_000, func(n *admission.Config) {
		n.ColdStart, n.ProcessStart, n.Backpressure, n.CallQuota = true, hostStart-9_000*millisecond, admission.NoBackpressure, 0.8
	}, "d965543722ce5d576bde0a533a3e01c6e0b5fc8480d9ab015757f5f01057908b"},
	{"little memory", 7, 1.5, 3_000, func(n *admission.Config) {
		n.MemoryKB, n.RunningMemoryFactor, n.StopSupport = 900, 2, admission.StopUnsupported
	}, "ee00dbf17c9ac4ca22e982bcc1b26daafa7f2d3d63a5b943ab75e9108ef7c6c6"},
	{"few records", 8, 0.6, 3_000, func(n *admission.Config) {
		n.MaxDeduplicationEntries, n.Dependency, n.WeightScalesWithWork = 12, admission.TieredDependency, true
	}, "de7afcf23dafdf97fbccd15f03e8f618618912f7ea0739f8edd4038328c34088"},
	{"nothing below", 9, 0.9, 3_000, func(n *admission.Config) {
		n.Dependency, n.TenantRates, n.Backpressure = admission.NoDependency, nil, admission.BackpressureCredits
		for k := range n.Operations {
			n.Operations[k].CallsDependency = false
		}
	}, "f3f785a919361e93348518aebd5da20f7df94cc6d7e45741b631576d1f15d211"},
	{"calls are short", 10, 0.6, 3_000, func(n *admission.Config) {
		n.CallQuota, n.AbandonedCallTime, n.StopSupport = 0.5, 200*millisecond, admission.StopDiscardsProgress
	}, "073c0d223c8d189c5cc3aa17b6a97cadf71d9ac1367ef26b13a6103fcc2b6d0e"},
	{"one core, little load", 11, 0.08, 4_000, func(n *admission.Config) {
		n.Cores, n.Operations[4].Removed, n.MaxRetryAfter = 1, true, 0
	}, "d6a1a7ad63f6d5eb73d7942985d16ddb6743e0f39251b3f2cb9a9de7e9fa8d5c"},
	{"many cores", 12, 3, 2_000, func(n *admission.Config) { n.Cores, n.CallQuota, n.MemoryKB, n.RetriesMarked = 24, 24, 100_000, true }, "dcdecef136d0041a9316b155d6aeb912eecacc9c4f301357f79f3212f23881e2"},
}

// What Decide returns over drawn runs stays the same, bit for bit.
func TestDigestsOfDecisions(t *testing.T) {
	for _, run := range digestRuns {
		t.Run(run.name, func(t *testing.T) {
			config := warmConfig(run.change)
			config.Seed = run.seed
			h := newSimulatedHost(config, run.seed, run.load)
			for k := range run.steps {
				h.step(k > run.steps*4/5)
			}
			assert.Equal(t, run.digest, h.digest.sum(), "digest of seed %d over %d steps", run.seed, run.steps)
		})
	}
}

// BenchmarkDecide repeats a recorded run of steady load with some dozens of invocations in flight.
func BenchmarkDecide(b *testing.B) {
	type moment struct {
		now    int64
		events []admission.Event
	}
	var moments []moment
	config := func() *admission.Config {
		return warmConfig(func(n *admission.Config) { n.Cores, n.CallQuota, n.MemoryKB, n.Seed = 32, 40, 200_000, 1 })
	}
	h := newSimulatedHost(config(), 1, 4)
	h.record = func(now int64, events []admission.Event) {
		moments = append(moments, moment{now, append([]admission.Event(nil), events...)})
	}
	inFlight := 0
	for range 2_000 {
		h.step(false)
		inFlight += len(h.jobs) - len(h.freeIndices)
	}
	b.ReportAllocs()
	b.ResetTimer()
	var post *admission.Controller
	for k := range b.N {
		m := &moments[k%len(moments)]
		if k%len(moments) == 0 {
			post = admission.NewController(config(), hostStart)
		}
		post.Decide(m.now, m.events)
	}
	b.ReportMetric(float64(inFlight)/float64(len(moments)), "in-flight")
}
