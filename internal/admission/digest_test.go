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
	millisecond = int64(1_000_000)            // ns
	firstMoment = 1_000_000_000 * millisecond // when simulated hosts start
	lookEvery   = 16                          // steps between looks at the state and the measures
)

// digest sums up what the module returns. It is the only place that names the fields, one after the other, so that it is all
// there is to edit when they get other names or other types. Its figures are those of an amd64: others may round otherwise.
type digest struct{ hash.Hash }

func newDigest() digest { return digest{sha256.New()} }

// text is the digest so far, in hexadecimal digits.
func (d digest) text() string { return hex.EncodeToString(d.Sum(nil)) }

// whole adds an integer.
func (d digest) whole(n int64) {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], uint64(n))
	d.Write(b[:])
}

// real adds the bits of floating-point numbers.
func (d digest) real(values ...float64) {
	for _, x := range values {
		d.whole(int64(math.Float64bits(x)))
	}
}

// flag adds truth values.
func (d digest) flag(values ...bool) {
	for _, is := range values {
		n := int64(0)
		if is {
			n = 1
		}
		d.whole(n)
	}
}

// numbers adds the decimal numbers in a text, whose wording may change.
func (d digest) numbers(text string) {
	for _, word := range strings.FieldsFunc(text, func(r rune) bool { return r < '0' || r > '9' }) {
		n := int64(0)
		for _, c := range word {
			n = 10*n + int64(c-'0')
		}
		d.whole(n)
	}
}

// action adds all fields of an action; of the report of a drain only its numbers.
func (d digest) action(a *admission.Action) {
	d.whole(int64(a.Kind))
	d.whole(int64(a.Invocation))
	d.whole(a.At)
	d.whole(a.Duration)
	d.real(a.Value)
	d.flag(a.Healthy, a.Cached, a.NoRetry)
	d.whole(int64(a.Reason))
	d.whole(int64(a.Form))
	d.numbers(a.Report)
}

// state adds all fields of a state.
func (d digest) state(s admission.ControllerState) {
	d.real(s.Limit)
	d.whole(int64(s.OnCores))
	d.whole(int64(s.Queued))
	d.whole(int64(s.AwaitingCall))
	d.whole(int64(s.CallsInFlight))
	d.real(s.MeanBlocked, s.QueueWait, s.CallWait, s.QueueingDelay, s.OtherRunnable, s.MeanOtherRunnable, s.ServiceTimeRatio, s.StallRatio, s.CallerWaitShare, s.CallTime, s.CallFailureShare,
		s.MaxCallTime, s.CallQuotaUsed, s.AdvertisedCapacity, s.LastSignal, s.Arrivals, s.Retries, s.Rejected, s.Memory)
	d.whole(int64(s.Callers))
	d.flag(s.FleetOverloaded, s.Unhealthy, s.CoreIdle)
}

// measures adds all fields of measures.
func (d digest) measures(m *admission.LoadMetrics) {
	d.whole(int64(len(m.DemandByOperation)))
	d.real(m.DemandByOperation...)
	d.real(m.IntakeShare, m.QueueWait, m.QueueingDelay, m.CallWait, m.RejectedShare, m.MemoryShare)
}

// phase is where an invocation is on a simulated host.
type phase uint8

const (
	unused phase = iota
	waits
	repeats // waits for the end of another one
	runs
	stands // at a call that is not made
	calls
)

// job is an invocation on a simulated host.
type job struct {
	phase    phase
	op       int32
	of       int32 // the one that it repeats
	calls    int   // that it is still to make
	ends     int64 // its run, part of a run or call
	halted   bool  // its run is to be withdrawn
	answered bool
}

// host is a simulated host of the module: all that happens is drawn from a seed.
type host struct {
	chance  *rand.Rand
	config  *admission.Config
	post    *admission.Controller
	now     int64
	timer   int64
	jobs    []job
	free    []int32
	events  []admission.Event
	load    float64 // arrivals a step, at the mean
	slow    float64 // times longer that runs last at present
	present []bool  // operations
	killAt  int64
	steps   int
	digest  digest
	record  func(now int64, events []admission.Event) // nil for none
}

// newHost is a host that has just started.
func newHost(config *admission.Config, seed int64, load float64) *host {
	h := &host{chance: rand.New(rand.NewSource(seed)), config: config, now: firstMoment, load: load, slow: 1, digest: newDigest(),
		present: make([]bool, len(config.Operations))}
	for k := range config.Operations {
		h.present[k] = !config.Operations[k].Removed
	}
	h.post = admission.NewController(config, h.now)
	return h
}

// drawn is a duration between two bounds, in milliseconds.
func (h *host) drawn(least, most int) int64 {
	return int64(least)*millisecond + h.chance.Int63n(int64(most-least+1)*millisecond)
}

// odds says true once in so many times.
func (h *host) odds(times int) bool { return h.chance.Intn(times) == 0 }

func (h *host) tell(e admission.Event) { h.events = append(h.events, e) }

// step lets time pass, tells the module what happened and does what it says.
func (h *host) step(drain bool) {
	h.steps++
	h.events = h.events[:0]
	h.now += h.drawn(1, 14)
	if h.odds(700) {
		h.now += h.drawn(1_000, 20_000) // nothing happens for long
	}
	h.progress()
	h.arrive()
	h.command(drain)
	if h.now >= h.timer {
		e := admission.Event{Kind: admission.TimerFired, BusyShare: -1, RunnableThreads: -1}
		on := 0.0
		for k := range h.jobs {
			if h.jobs[k].phase == runs {
				on++
			}
		}
		if !h.odds(9) {
			e.BusyShare = min(1, on/float64(h.config.Cores)*(0.8+0.3*h.chance.Float64()))
		}
		if !h.odds(5) {
			e.RunnableThreads = on + float64(h.chance.Intn(3))*h.chance.Float64()
		}
		h.tell(e)
	}
	if h.record != nil {
		h.record(h.now, h.events)
	}
	actions := h.post.Decide(h.now, h.events)
	h.digest.whole(h.now)
	h.digest.whole(int64(len(actions)))
	for k := range actions {
		h.digest.action(&actions[k])
		h.carry(&actions[k])
	}
	if h.steps%lookEvery == 0 {
		var m admission.LoadMetrics
		h.digest.state(h.post.State())
		h.post.MeasureLoad(&m)
		h.digest.measures(&m)
	}
}

// progress tells of runs and calls that ended.
func (h *host) progress() {
	outcomes := []admission.Outcome{admission.Errored, admission.Overloaded, admission.TimedOut, admission.Unreachable, admission.Broken, admission.NeverStarted}
	for k := range h.jobs {
		j, i := &h.jobs[k], int32(k)
		switch {
		case j.phase == unused || j.phase == waits || h.now < j.ends:
			continue
		case j.phase == runs && j.halted:
			h.tell(admission.Event{Kind: admission.RunEnded, Invocation: i, Outcome: admission.Stopped})
			j.phase, j.halted = waits, false
			h.follow(i, admission.Stopped)
		case j.phase == runs && j.calls > 0 && !j.answered:
			h.tell(admission.Event{Kind: admission.CallRequested, Invocation: i})
			j.phase, j.ends = stands, math.MaxInt64
		case j.phase == runs:
			outcome := admission.Succeeded
			if h.odds(12) {
				outcome = admission.Errored
			}
			h.tell(admission.Event{Kind: admission.RunEnded, Invocation: i, Outcome: outcome})
			j.phase = waits
			h.follow(i, outcome)
		case j.phase == calls && !j.answered:
			outcome := admission.Succeeded
			if h.chance.Float64() < 0.12*h.slow {
				outcome = outcomes[h.chance.Intn(len(outcomes))]
			}
			h.tell(admission.Event{Kind: admission.CallEnded, Invocation: i, Outcome: outcome})
			if outcome == admission.Succeeded {
				j.calls--
				h.run(j)
			} else {
				j.phase, j.ends = stands, math.MaxInt64
			}
		default: // nobody waits for it, or what it repeats ended long ago
			outcome := admission.Succeeded
			if j.phase != repeats {
				outcome = admission.Stopped
			}
			h.tell(admission.Event{Kind: admission.RunEnded, Invocation: i, Outcome: outcome})
			j.phase = waits
			h.follow(i, outcome)
		}
	}
}

// follow ends what repeats an invocation.
func (h *host) follow(of int32, outcome admission.Outcome) {
	for k := range h.jobs {
		if j := &h.jobs[k]; j.phase == repeats && j.of == of {
			h.tell(admission.Event{Kind: admission.RunEnded, Invocation: int32(k), Outcome: outcome})
			j.phase = waits
		}
	}
}

// run begins a part of a run.
func (h *host) run(j *job) {
	j.phase, j.ends = runs, h.now+int64(h.slow*float64(h.drawn(5, 120)))
}

// arrive tells of new invocations, at a rate that comes in waves.
func (h *host) arrive() {
	wave := 1 + 0.9*math.Sin(float64(h.steps)/150)
	for n := h.load * wave * 2 * h.chance.Float64(); n > 0; n-- {
		if n < 1 && h.chance.Float64() >= n {
			return
		}
		op := int32(h.chance.Intn(len(h.present)))
		if !h.present[op] {
			continue
		}
		i := int32(len(h.jobs))
		if k := len(h.free); k > 0 {
			i, h.free = h.free[k-1], h.free[:k-1]
		} else {
			h.jobs = append(h.jobs, job{})
		}
		e := admission.Event{Kind: admission.Arrived, Invocation: i, OperationIndex: op, Tenant: int32(h.chance.Intn(len(h.config.TenantRates)+1)) - 1,
			Caller: int64(h.chance.Intn(40)), Original: admission.NoOriginal, Retry: h.odds(4), HasReadKey: h.odds(2), Write: h.odds(3),
			Age: h.drawn(0, 8), QueuedKB: 4 + 30*h.chance.Float64()}
		if !h.odds(3) {
			e.ExpectedWork = h.drawn(10, 150)
		}
		if h.odds(4) {
			e.Deadline = h.now + h.drawn(80, 2_500)
		}
		if h.odds(50) {
			e.Deadline, e.Age = h.now+h.drawn(1, 30), h.drawn(200, 1_000)
		}
		j := job{phase: waits, op: op, of: -1}
		if h.config.Operations[op].CallsDependency {
			j.calls = h.chance.Intn(3)
		}
		if h.odds(15) {
			e.Original = admission.OriginalEnded
			if of := int32(h.chance.Intn(len(h.jobs))); of != i && h.jobs[of].phase != unused && h.jobs[of].phase != repeats && !h.jobs[of].answered {
				e.Original = of
			}
			j.of = e.Original
		}
		h.jobs[i] = j
		h.tell(e)
	}
}

// command tells of callers that leave and of what the node's surroundings set.
func (h *host) command(drain bool) {
	for k := range h.jobs {
		if j := &h.jobs[k]; j.phase != unused && !j.answered && h.odds(900) {
			h.tell(admission.Event{Kind: admission.CallerDisconnected, Invocation: int32(k)})
			h.over(j)
		}
	}
	if len(h.free) > 0 && h.odds(40) { // too late to matter
		kind := []admission.EventKind{admission.RunEnded, admission.CallerDisconnected, admission.CallEnded, admission.CallRequested}[h.chance.Intn(4)]
		i := h.free[h.chance.Intn(len(h.free))]
		taken := false
		for _, e := range h.events {
			taken = taken || e.Kind == admission.Arrived && e.Invocation == i
		}
		if !taken {
			h.tell(admission.Event{Kind: kind, Invocation: i})
		}
	}
	if h.odds(350) {
		h.slow = []float64{1, 1, 2, 4}[h.chance.Intn(4)]
	}
	if h.odds(120) {
		var services []admission.Service
		if h.odds(2) {
			for range 1 + h.chance.Intn(len(h.present)) {
				services = append(services, []admission.Service{{}, {Form: admission.Reduced, WorkShare: 0.5, WeightShare: 0.8}, {Form: admission.Shed},
					{Form: admission.Shed, WorkShare: 0.4, WeightShare: 0.6}}[h.chance.Intn(4)])
			}
		}
		h.tell(admission.Event{Kind: admission.DegradationLevelSet, Services: services, UseSpareCapacity: h.odds(2)})
	}
	if h.odds(200) {
		e := admission.Event{Kind: admission.CallLimitSet, CallLimit: math.MaxInt, MaxCallTime: math.MaxInt64 / 4}
		if h.odds(2) {
			e.CallLimit, e.MaxCallTime = h.chance.Intn(6), h.drawn(50, 400)
		}
		h.tell(e)
	}
	if h.odds(150) {
		h.amend()
	}
	if drain && (h.killAt == 0 || h.odds(100)) {
		h.killAt = h.now + h.drawn(500, 9_000)
		h.tell(admission.Event{Kind: admission.DrainRequested, KillAt: h.killAt})
	}
}

// amend gives an operation other terms, takes one away that nothing refers to, or brings one.
func (h *host) amend() {
	op := int32(h.chance.Intn(len(h.present)))
	terms := h.config.Operations[op]
	terms.LatencyObjective += h.drawn(0, 100)
	terms.PriorityWeight *= 0.5 + h.chance.Float64()
	terms.Removed = false
	e := admission.Event{Kind: admission.OperationConfigured, OperationIndex: op, Operation: &terms}
	if h.odds(3) {
		e.Services = []admission.Service{{Form: admission.Reduced, WorkShare: 0.6, WeightShare: 0.9}}
	}
	left := 0
	for _, is := range h.present {
		if is {
			left++
		}
	}
	if h.present[op] && left > 1 && h.odds(2) {
		for k := range h.jobs {
			if h.jobs[k].phase != unused && h.jobs[k].op == op {
				return
			}
		}
		e.Operation, e.Services = nil, nil
	}
	h.present[op] = e.Operation != nil
	h.tell(e)
}

// over is the end of an invocation for its caller; what is at a call ends soon after, without it.
func (h *host) over(j *job) {
	j.answered = true
	if j.phase == stands || j.phase == calls {
		j.ends = h.now + h.drawn(1, 30)
	}
}

// carry does what the module says.
func (h *host) carry(a *admission.Action) {
	switch a.Kind {
	case admission.SetTimer:
		h.timer = a.At
		return
	case admission.Run, admission.SkipCall:
		j := &h.jobs[a.Invocation]
		if a.Kind == admission.SkipCall {
			j.calls--
		}
		h.run(j)
	case admission.StartCall:
		j := &h.jobs[a.Invocation]
		j.phase, j.ends = calls, min(a.At, h.now+int64(h.slow*float64(h.drawn(2, 150))))
	case admission.Stop:
		if j := &h.jobs[a.Invocation]; !h.odds(6) { // else it had no effect
			j.halted, j.ends = true, h.now+h.drawn(0, 10)
		}
	case admission.JoinOriginal:
		j := &h.jobs[a.Invocation]
		j.phase, j.ends = repeats, math.MaxInt64
		if j.of < 0 || h.jobs[j.of].phase == unused {
			j.ends = h.now + h.drawn(0, 20)
		}
	case admission.Reject, admission.Fail:
		h.over(&h.jobs[a.Invocation])
	case admission.Release:
		h.jobs[a.Invocation] = job{}
		h.free = append(h.free, a.Invocation)
		for k := range h.jobs {
			if j := &h.jobs[k]; j.phase == repeats && j.of == a.Invocation { // it was never run to its end
				j.of, j.ends = -1, h.now+h.drawn(0, 20)
			}
		}
	}
}

// sound is a warm node of four cores with operations of each effect, changed as a run of the table needs it.
func sound(change ...func(*admission.Config)) *admission.Config {
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
	{"fresh", 5, 0.8, 3_000, func(n *admission.Config) { n.ColdStart, n.ProcessStart = true, firstMoment-1_000*millisecond }, "b10245f9ddbbd1331d765d038f892b33289b92142347e48dea7fe8831012acaf"},
	{"fresh cores of an old process", 6, 1.5, 3_000, func(n *admission.Config) {
		n.ColdStart, n.ProcessStart, n.Backpressure, n.CallQuota = true, firstMoment-9_000*millisecond, admission.NoBackpressure, 0.8
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
			config := sound(run.change)
			config.Seed = run.seed
			h := newHost(config, run.seed, run.load)
			for k := range run.steps {
				h.step(k > run.steps*4/5)
			}
			assert.Equal(t, run.digest, h.digest.text(), "digest of seed %d over %d steps", run.seed, run.steps)
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
		return sound(func(n *admission.Config) { n.Cores, n.CallQuota, n.MemoryKB, n.Seed = 32, 40, 200_000, 1 })
	}
	h := newHost(config(), 1, 4)
	h.record = func(now int64, events []admission.Event) {
		moments = append(moments, moment{now, append([]admission.Event(nil), events...)})
	}
	inFlight := 0
	for range 2_000 {
		h.step(false)
		inFlight += len(h.jobs) - len(h.free)
	}
	b.ReportAllocs()
	b.ResetTimer()
	var post *admission.Controller
	for k := range b.N {
		m := &moments[k%len(moments)]
		if k%len(moments) == 0 {
			post = admission.NewController(config(), firstMoment)
		}
		post.Decide(m.now, m.events)
	}
	b.ReportMetric(float64(inFlight)/float64(len(moments)), "in-flight")
}
