package admission

import (
	"fmt"
	"hash/fnv"
	"math"
	"math/rand"
	"slices"
	"testing"
)

const start = 1_000 * 1_000 * ms

// post is a sound, warm node of two cores with one idempotent and one tokened operation.
func post(change ...func(*Config)) *Post {
	config := &Config{
		Operations: []Operation{
			{Objective: 1_000 * ms, ClientTimeout: 3_000 * ms, BilledValue: 1, MayCall: true},
			{Objective: 1_000 * ms, ClientTimeout: 3_000 * ms, BilledValue: 5, Effect: Tokened,
				Window: 5_000 * ms, MayCall: true},
		},
		Cores: 2, MemoryKB: 1_000, Blowup: 4, EntryKB: 1, Peers: 2, Below: SharedBelow,
		CallShare: 2.4, CallSpan: 5_000 * ms, TipMultiple: 4, DrainGrace: 2_000 * ms,
		ComeBackMax: 1_000 * ms, Halting: PauseHalt,
	}
	for _, c := range change {
		c(config)
	}
	return New(config, start)
}

// put adds an invocation that arrived now, in the given state, and returns it.
func put(p *Post, op int, s state) *invocation {
	p.invs = append(p.invs, invocation{op: p.ops[op], tenant: -1, arrived: p.now, base: float64(100 * ms), part: 1, worth: 1,
		due: p.now + p.ops[op].ClientTimeout, kb: 10, ran: s == running || s == standing || s == calling})
	p.live = append(p.live, int32(len(p.invs)-1))
	p.opened++
	v := &p.invs[len(p.invs)-1]
	p.shift(v, s)
	return v
}

// kinds lists the kinds of the actions decided so far.
func kinds(p *Post) []ActionKind {
	list := []ActionKind{}
	for _, a := range p.out {
		list = append(list, a.Kind)
	}
	return list
}

// decisions is the fingerprint of all actions over steps of events drawn from a seed, with 500 tenants of which some
// go quiet for minutes, and callers that come and go.
func decisions(t *testing.T, seed int64, steps int) uint64 {
	t.Helper()
	chance := rand.New(rand.NewSource(seed))
	p := post(func(n *Config) {
		n.Seed, n.OverShare, n.Advice, n.MemoryKB = seed, 0.1, CreditAdvice, 100_000
		for range 500 {
			n.TenantRates = append(n.TenantRates, float64(1+chance.Intn(4)))
		}
	})
	print, now := fnv.New64a(), start
	var free []int32
	type runs struct {
		inv     int32
		ends    int64
		outcome Outcome
	}
	var running []runs
	next, busy := int32(0), 0.5
	for k := range steps {
		now += int64(1+chance.Intn(30)) * ms
		if chance.Intn(150) == 0 {
			now += 200_000 * ms // all fall silent, to come back
		}
		var events []Event
		running = slices.DeleteFunc(running, func(r runs) bool {
			if r.ends <= now {
				events = append(events, Event{Kind: RunEnded, Inv: r.inv, Outcome: r.outcome})
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
			events = append(events, Event{Kind: Arrived, Inv: i, Operation: int32(chance.Intn(2)), Tenant: int32(chance.Intn(1 + min(499, 1+k/2))),
				Caller: int64(chance.Intn(30 + k/20)), Repeats: NoRepeat, Further: chance.Intn(5) == 0, Hint: int64(20+chance.Intn(200)) * ms,
				HeldKB: 1 + 10*chance.Float64()})
		}
		if now >= p.next {
			busy = 0.7*busy + 0.4*chance.Float64()
			events = append(events, Event{Kind: TimerDue, Busy: busy, Runnable: 4 * busy})
		}
		for _, a := range p.Decide(now, events) {
			fmt.Fprintf(print, "%+v;", a)
			switch a.Kind {
			case Release:
				free = append(free, a.Inv)
			case Run:
				running = append(running, runs{inv: a.Inv, ends: now + int64(20+chance.Intn(400))*ms})
			case Stop:
				for j := range running {
					if running[j].inv == a.Inv {
						running[j].ends, running[j].outcome = now, Withdrawn
					}
				}
			}
		}
		fmt.Fprintf(print, "%+v", p.State())
		for _, v := range p.live {
			fmt.Fprintf(print, "%x", math.Float64bits(p.invs[v].key))
		}
	}
	return print.Sum64()
}
