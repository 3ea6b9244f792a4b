package admission

import (
	"fmt"
	"hash/fnv"
	"io"
	"math"
	"math/rand"
	"slices"
	"testing"
)

const testStart = 1_000 * 1_000 * millisecond

// newTestController is a sound, warm node of two cores with one idempotent and one tokened operation.
func newTestController(change ...func(*Config)) *Controller {
	config := &Config{
		Operations: []Operation{
			{LatencyObjective: 1_000 * millisecond, ClientTimeout: 3_000 * millisecond, PriorityWeight: 1, CallsDependency: true},
			{LatencyObjective: 1_000 * millisecond, ClientTimeout: 3_000 * millisecond, PriorityWeight: 5, Idempotency: IdempotentWithKey,
				DeduplicationWindow: 5_000 * millisecond, CallsDependency: true},
		},
		Cores: 2, MemoryKB: 1_000, RunningMemoryFactor: 4, DeduplicationEntryKB: 1, Peers: 2, Dependency: SharedDependency,
		CallQuota: 2.4, CallQuotaWindow: 5_000 * millisecond, OverloadMultiple: 4, DrainGrace: 2_000 * millisecond,
		MaxRetryAfter: 1_000 * millisecond, StopSupport: StopKeepsProgress,
	}
	for _, c := range change {
		c(config)
	}
	return NewController(config, testStart)
}

// addInvocation adds an invocation that arrived now, in the given state, and returns it.
func insertInvocation(c *Controller, op int, s invocationState) *invocation {
	c.invocations = append(c.invocations, invocation{operation: c.operations.list[op], tenant: -1, arrivedAt: c.now, baseWork: float64(100 * millisecond), workShare: 1, weightShare: 1,
		deadline: c.now + c.operations.list[op].ClientTimeout, queuedKB: 10, started: s == stateRunning || s == stateAwaitingCall || s == stateCalling})
	c.live = append(c.live, int32(len(c.invocations)-1))
	c.counts.arrived++
	inv := &c.invocations[len(c.invocations)-1]
	c.setState(inv, s)
	return inv
}

// actionKinds lists the actionKinds of the actions decided so far.
func actionKinds(c *Controller) []ActionKind {
	list := []ActionKind{}
	for _, a := range c.actions {
		list = append(list, a.Kind)
	}
	return list
}

// digestOfDecisions is the fingerprint of all actions over steps of events drawn from a seed, with 500 tenants of which some
// go quiet for minutes, and callers that come and go.
func digestOfDecisions(t *testing.T, seed int64, steps int) uint64 {
	t.Helper()
	chance := rand.New(rand.NewSource(seed))
	c := newTestController(func(n *Config) {
		n.Seed, n.OverQuotaWeightShare, n.Backpressure, n.MemoryKB = seed, 0.1, BackpressureCredits, 100_000
		for range 500 {
			n.TenantRates = append(n.TenantRates, float64(1+chance.Intn(4)))
		}
	})
	print, now := fnv.New64a(), testStart
	var free []int32
	type runs struct {
		inv     int32
		ends    int64
		outcome Outcome
	}
	var running []runs
	next, busy := int32(0), 0.5
	for k := range steps {
		now += int64(1+chance.Intn(30)) * millisecond
		if chance.Intn(150) == 0 {
			now += 200_000 * millisecond // all fall silent, to come back
		}
		var events []Event
		running = slices.DeleteFunc(running, func(r runs) bool {
			if r.ends <= now {
				events = append(events, Event{Kind: RunEnded, Invocation: r.inv, Outcome: r.outcome})
			}
			return r.ends <= now
		})
		for range chance.Intn(4) {
			i := next
			if n := len(free); n > 0 {
				i, free = free[n-1], free[:n-1]
			} else {
				next++
			}
			events = append(events, Event{Kind: Arrived, Invocation: i, OperationIndex: int32(chance.Intn(2)), Tenant: int32(chance.Intn(1 + min(499, 1+k/2))),
				Caller: int64(chance.Intn(30 + k/20)), Original: NoOriginal, Retry: chance.Intn(5) == 0, ExpectedWork: int64(20+chance.Intn(200)) * millisecond,
				QueuedKB: 1 + 10*chance.Float64()})
		}
		if now >= c.nextTick {
			busy = 0.7*busy + 0.4*chance.Float64()
			events = append(events, Event{Kind: TimerFired, BusyShare: busy, RunnableThreads: 4 * busy})
		}
		for _, a := range c.Decide(now, events) {
			writeAction(print, &a)
			switch a.Kind {
			case Release:
				free = append(free, a.Invocation)
			case Run:
				running = append(running, runs{inv: a.Invocation, ends: now + int64(20+chance.Intn(400))*millisecond})
			case Stop:
				for j := range running {
					if running[j].inv == a.Invocation {
						running[j].ends, running[j].outcome = now, Stopped
					}
				}
			}
		}
		writeState(print, c.State())
		for _, inv := range c.live {
			fmt.Fprintf(print, "%x", math.Float64bits(c.invocations[inv].rank))
		}
	}
	return print.Sum64()
}

// writeAction writes an action field by field in the form that the digests were taken in; names of Go fields have no part in it.
func writeAction(print io.Writer, a *Action) {
	fmt.Fprintf(print, "{Kind:%v Inv:%v At:%v For:%v", a.Kind, a.Invocation, a.At, a.Duration)
	fmt.Fprintf(print, " Value:%v Good:%v Stored:%v NoRetry:%v", a.Value, a.Healthy, a.Cached, a.NoRetry)
	fmt.Fprintf(print, " Why:%v Form:%v Text:%v};", a.Reason, a.Form, a.Report)
}

// writeState writes what decisions stand on in the form that the digests were taken in.
func writeState(print io.Writer, s ControllerState) {
	fmt.Fprintf(print, "{Limit:%v OnCores:%v Held:%v Standing:%v", s.Limit, s.OnCores, s.Queued, s.AwaitingCall)
	fmt.Fprintf(print, " InHand:%v Away:%v Wait:%v CallWait:%v", s.CallsInFlight, s.MeanBlocked, s.QueueWait, s.CallWait)
	fmt.Fprintf(print, " Lag:%v Reading:%v MeanReading:%v Pace:%v", s.QueueingDelay, s.OtherRunnable, s.MeanOtherRunnable, s.ServiceTimeRatio)
	fmt.Fprintf(print, " Stall:%v Patient:%v CallTime:%v CallFails:%v", s.StallRatio, s.CallerWaitShare, s.CallTime, s.CallFailureShare)
	fmt.Fprintf(print, " CallRoom:%v CallUsed:%v Open:%v Said:%v", s.MaxCallTime, s.CallQuotaUsed, s.AdvertisedCapacity, s.LastSignal)
	fmt.Fprintf(print, " Arrivals:%v Echoes:%v Throttled:%v Callers:%v", s.Arrivals, s.Retries, s.Rejected, s.Callers)
	fmt.Fprintf(print, " Memory:%v AllFull:%v Unhealthy:%v Free:%v}", s.Memory, s.FleetOverloaded, s.Unhealthy, s.CoreIdle)
}

// The services of degradation levels in tests.
var (
	shedService    = Service{Form: Shed}
	reducedService = Service{Form: Reduced, WorkShare: 0.4, WeightShare: 0.7}
)

// applyLevel applies a degradation level.
func applyLevel(c *Controller, useSpareCapacity bool, services ...Service) {
	c.setDegradationLevel(services, useSpareCapacity)
}

// arrivalEvent is the arrival of invocation 0 of an operation.
func arrivalEvent(operation int32) *Event {
	return &Event{Kind: Arrived, OperationIndex: operation, Tenant: -1, Original: NoOriginal, QueuedKB: 10}
}
