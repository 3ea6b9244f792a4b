package emulator

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"

	"topazpost/internal/admission"
	"topazpost/internal/node"
)

// restartDay is a day of n small nodes and as many dispatchers, some of whom heed nothing. All of these begin their round with the
// same machine, so that what they send comes in crowds, and they send again at once what breaks.
func restartDay(n int, rate, work, call float64, faults ...Fault) *Day {
	d := &Day{Seed: int64(n), Nodes: n, Length: 4200 * ms, Reading: 0.1, Subjects: 1_000, CallSpan: 2 * second,
		Settle: second, Faults: faults, Rate: rate * float64(n), Slots: 5, Load: func(int64) float64 { return 1 },
		Models: []Model{{Cores: 2, Speed: 1, ColdFrom: 0.15, WarmAfter: 20 * second, CrowdFrom: 3, Crowding: 0.1, By: 8}},
		Operations: []Operation{{Name: "quote", Share: 0.8, Work: work, Call: call, Calls: 1, Objective: 3 * second,
			Timeout: 4 * second, LateShare: 0.2, Value: 1}, {Name: "hold", Share: 0.2, Work: work / 2, Call: call, Calls: 1,
			Objective: 2 * second, Timeout: 3 * second, Value: 5}}}
	for k := range n {
		d.Dispatchers = append(d.Dispatchers, Dispatcher{Tries: 1 + k%3, Backoff: 20 * ms, Heeds: k%4 != 0, BySubject: k%5 == 1,
			Stubborn: true})
	}
	return d
}

// atSizes plays a day at sizes of the fleet, in nodes. No rule may be broken on it, that of cold cores included.
func atSizes(t *testing.T, sizes []int, day func(n int) *Day, check func(t *testing.T, o *Outcome)) {
	for _, n := range sizes {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			t.Parallel()
			o := play(t, day(n))
			t.Logf("calls %.1f of %.1f, and %.1f by chance; on cold cores %.2f; sent to cold nodes %.2f, by those told %.2f",
				o.MostMean, o.CallBudget, Chance(o.CallBudget), o.ColdCrowd, o.MostSent, o.MostTold)
			assert.Empty(t, o.Breach())
			check(t, o)
		})
	}
}

// What all nodes have in the ledger's hands keeps to the sum of what their settings allow and chance, over each span, also
// where all of them are killed again and again within one, and where a call given up or left by a dead node lingers.
func TestCallsOfAllNodesStayWithinTheirBudgetThroughRestarts(t *testing.T) {
	all := func(at, spread int64) Fault { return Fault{Kind: "restart", At: at, For: spread, Part: 1} }
	for _, c := range []struct {
		what   string
		sizes  []int
		length int64
		faults []Fault
	}{
		{"all at once, then waves that overlap", []int{20, 30, 300}, 3800 * ms, []Fault{all(2200*ms, 0), all(2500*ms, 0),
			all(2800*ms, 0), all(3000*ms, second/2), all(3200*ms, second/2)}},
		{"drains that cross", []int{20, 30}, 10 * second, []Fault{{Kind: "release", At: 1500 * ms, Part: 0.5},
			{Kind: "release", At: 2 * second, For: second, Part: 0.7}}},
	} {
		t.Run(c.what, func(t *testing.T) {
			atSizes(t, c.sizes, func(n int) *Day {
				d := restartDay(n, 15, 20e6, 3e9, c.faults...) // calls that end by being given up, of which many more are wanted
				d.Slots, d.Length, d.Settle = 0.2, c.length, 1600*ms
				for k := range d.Operations {
					d.Operations[k].Timeout, d.Operations[k].Objective = 1500*ms, 1300*ms
				}
				return d
			}, func(t *testing.T, o *Outcome) {
				assert.LessOrEqual(t, o.MostMean, o.CallBudget+Chance(o.CallBudget))
				assert.Greater(t, o.MostMean, 0.7*o.CallBudget, "the budget is used")
			})
		})
	}
}

// Runs that all return at once from a ledger that hung do not fell nodes that had started meanwhile, though all dispatchers
// together send them many times what they can do.
func TestColdNodesSurviveWhatAllDispatchersSend(t *testing.T) {
	atSizes(t, []int{20, 30, 300}, func(n int) *Day {
		return restartDay(n, 5, 150e6, 50e6, Fault{Kind: "ledger", At: second / 2, For: 3 * second, By: 100},
			Fault{Kind: "restart", At: second, Part: 1})
	}, func(t *testing.T, o *Outcome) {
		assert.Greater(t, o.MostSent, 1.0, "they send more than cold nodes can do")
		assert.Greater(t, o.ColdCrowd, 0.2, "cold nodes are used")
	})
}

// coldNodesDay is a day on which three nodes in ten return cold among warm ones, and one dispatcher for ten nodes heeds what they say.
func coldNodesDay(n int) *Day {
	d := restartDay(n, 14, 100e6, 10e6, Fault{Kind: "restart", At: second / 2, Part: 0.3})
	d.Length, d.Dispatchers = 3*second, d.Dispatchers[:max(3, n/10)]
	for k := range d.Dispatchers {
		d.Dispatchers[k].Heeds, d.Dispatchers[k].Stubborn = true, false
	}
	return d
}

// A cold node says so: where it gets more than it may and chance, most of that is from dispatchers that had not heard it.
func TestDispatchersWithSignalsOfAColdNodeDoNotOverloadIt(t *testing.T) {
	atSizes(t, []int{20, 30, 300}, coldNodesDay, func(t *testing.T, o *Outcome) {
		assert.Positive(t, o.MostSent)
		assert.LessOrEqual(t, o.MostTold, 1.0)
	})
}

// Without what nodes say, the same days show floods: the measure sees them.
func TestOverloadOfColdNodesWithoutSignalsIsMeasured(t *testing.T) {
	for _, n := range []int{20, 30} {
		d := coldNodesDay(n)
		d.Make = func(p *admission.Config, now int64) node.Decider {
			return withoutSignals{admission.NewController(p, now)}
		}
		assert.Greater(t, play(t, d).MostTold, 1.0)
	}
}

// withoutSignals takes what a node tells its dispatchers out of its decisions.
type withoutSignals struct{ node.Decider }

func (s withoutSignals) Decide(now int64, events []admission.Event) []admission.Action {
	actions := s.Decider.Decide(now, events)
	for k := range actions {
		switch a := &actions[k]; a.Kind {
		case admission.SignalBackpressure:
			a.Value = 0
		case admission.Reject:
			a.Duration = 0
		}
	}
	return actions
}
