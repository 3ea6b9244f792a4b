package admission

import (
	"fmt"
	"hash"
	"hash/fnv"
	"io"
	"math"
	"math/rand"
	"slices"
)

const randomTenants = 500

// scheduledRun is a run that ends at a given time.
type scheduledRun struct {
	invocation int32
	endsAt     int64
	outcome    Outcome
}

// randomEvents drives a controller with events drawn from a seed, with a growing number of tenants and callers that may
// be silent for minutes. It adds the actions, the state and the ranks after each step to a digest.
type randomEvents struct {
	random      *rand.Rand
	controller  *Controller
	digest      hash.Hash64
	now         int64
	freeIndices []int32
	nextIndex   int32
	runs        []scheduledRun
	busyShare   float64
}

func newRandomEvents(seed int64) *randomEvents {
	random := rand.New(rand.NewSource(seed))
	return &randomEvents{
		random: random,
		controller: newTestController(func(n *Config) {
			n.Seed = seed
			n.OverQuotaWeightShare = 0.1
			n.Backpressure = BackpressureCredits
			n.MemoryKB = 100_000
			for range randomTenants {
				n.TenantRates = append(n.TenantRates, float64(1+random.Intn(4)))
			}
		}),
		digest:    fnv.New64a(),
		now:       testStart,
		busyShare: 0.5,
	}
}

// digestOfDecisions returns the digest over a number of steps.
func digestOfDecisions(seed int64, steps int) uint64 {
	r := newRandomEvents(seed)
	for step := range steps {
		r.step(step)
	}
	return r.digest.Sum64()
}

func (r *randomEvents) step(step int) {
	r.now += int64(1+r.random.Intn(30)) * millisecond
	if r.random.Intn(150) == 0 {
		r.now += 200_000 * millisecond // a period without arrivals
	}
	events := r.endRuns(nil)
	for range r.random.Intn(4) {
		events = append(events, r.arrival(step))
	}
	if r.now >= r.controller.nextTick {
		r.busyShare = 0.7*r.busyShare + 0.4*r.random.Float64()
		events = append(events, Event{Kind: TimerFired, BusyShare: r.busyShare, RunnableThreads: 4 * r.busyShare})
	}
	for _, a := range r.controller.Decide(r.now, events) {
		writeAction(r.digest, &a)
		r.perform(&a)
	}
	writeState(r.digest, r.controller.State())
	for _, i := range r.controller.live {
		fmt.Fprintf(r.digest, "%x", math.Float64bits(r.controller.invocations[i].rank))
	}
}

// endRuns appends the RunEnded events of runs that are due.
func (r *randomEvents) endRuns(events []Event) []Event {
	r.runs = slices.DeleteFunc(r.runs, func(run scheduledRun) bool {
		if run.endsAt > r.now {
			return false
		}
		events = append(events, Event{Kind: RunEnded, Invocation: run.invocation, Outcome: run.outcome})
		return true
	})
	return events
}

// arrival returns an arrival from a random tenant and a random caller, whose numbers grow with the step.
func (r *randomEvents) arrival(step int) Event {
	return Event{
		Kind:           Arrived,
		Invocation:     r.allocateIndex(),
		OperationIndex: int32(r.random.Intn(2)),
		Tenant:         int32(r.random.Intn(1 + min(randomTenants-1, 1+step/2))),
		Caller:         int64(r.random.Intn(30 + step/20)),
		Original:       NoOriginal,
		Retry:          r.random.Intn(5) == 0,
		ExpectedWork:   int64(20+r.random.Intn(200)) * millisecond,
		QueuedKB:       1 + 10*r.random.Float64(),
	}
}

func (r *randomEvents) allocateIndex() int32 {
	last := len(r.freeIndices) - 1
	if last < 0 {
		r.nextIndex++
		return r.nextIndex - 1
	}
	i := r.freeIndices[last]
	r.freeIndices = r.freeIndices[:last]
	return i
}

func (r *randomEvents) perform(a *Action) {
	switch a.Kind {
	case Release:
		r.freeIndices = append(r.freeIndices, a.Invocation)
	case Run:
		duration := int64(20+r.random.Intn(400)) * millisecond
		r.runs = append(r.runs, scheduledRun{invocation: a.Invocation, endsAt: r.now + duration})
	case Stop:
		r.stop(a.Invocation)
	}
}

func (r *randomEvents) stop(invocation int32) {
	for k := range r.runs {
		run := &r.runs[k]
		if run.invocation == invocation {
			run.endsAt = r.now
			run.outcome = Stopped
		}
	}
}

// writeAction writes an action in the form in which the digests were recorded. The names in it are part of that form.
func writeAction(out io.Writer, a *Action) {
	fmt.Fprintf(out, "{Kind:%v Inv:%v At:%v For:%v", a.Kind, a.Invocation, a.At, a.Duration)
	fmt.Fprintf(out, " Value:%v Good:%v Stored:%v NoRetry:%v", a.Value, a.Healthy, a.Cached, a.NoRetry)
	fmt.Fprintf(out, " Why:%v Form:%v Text:%v};", a.Reason, a.Form, a.Report)
}

// writeState writes a state in the form in which the digests were recorded.
func writeState(out io.Writer, s ControllerState) {
	fmt.Fprintf(out, "{Limit:%v OnCores:%v Held:%v Standing:%v", s.Limit, s.OnCores, s.Queued, s.AwaitingCall)
	fmt.Fprintf(out, " InHand:%v Away:%v Wait:%v CallWait:%v", s.CallsInFlight, s.MeanBlocked, s.QueueWait, s.CallWait)
	fmt.Fprintf(out, " Lag:%v Reading:%v MeanReading:%v Pace:%v", s.QueueingDelay, s.OtherRunnable, s.MeanOtherRunnable,
		s.ServiceTimeRatio)
	fmt.Fprintf(out, " Stall:%v Patient:%v CallTime:%v CallFails:%v", s.StallRatio, s.CallerWaitShare, s.CallTime, s.CallFailureShare)
	fmt.Fprintf(out, " CallRoom:%v CallUsed:%v Open:%v Said:%v", s.MaxNextCallTime, s.CallQuotaUsed, s.AdvertisedCapacity, s.LastSignal)
	fmt.Fprintf(out, " Arrivals:%v Echoes:%v Throttled:%v Callers:%v", s.Arrivals, s.Retries, s.Rejected, s.Callers)
	fmt.Fprintf(out, " Memory:%v AllFull:%v Unhealthy:%v Free:%v}", s.Memory, s.FleetOverloaded, s.Unhealthy, s.CoreIdle)
}
