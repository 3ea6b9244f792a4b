package admission

import (
	"fmt"
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
)

// fleet is n nodes that each have as many runs standing at calls as they like, over a dependency on which every call
// takes as long as the node allows it.
type fleet struct {
	posts  []*Controller
	ends   []map[int32]int64 // of calls in hand, by node and invocation
	adrift []int64           // ends of calls whose node is gone
	share  float64
	now    int64
}

const (
	fleetTick = 50 * ms
	fleetSpan = 5_000 * ms
)

func (f *fleet) start(k int, fresh bool, age int64) {
	f.posts[k] = NewController(post(func(n *Config) {
		n.CallQuota, n.CallQuotaWindow, n.AbandonedCallTime, n.ColdStart, n.ColdSpeedShare = f.share, fleetSpan, 200*ms, fresh, 0.3
		n.Operations[0].ClientTimeout, n.Operations[0].LatencyObjective = 60_000*ms, 30_000*ms
		n.ProcessStart = f.now
	}).config, f.now-age)
	for _, end := range f.ends[k] { // they linger in the dependency's hands
		f.adrift = append(f.adrift, min(end, f.now+200*ms))
	}
	f.ends[k] = map[int32]int64{}
}

// step returns how many calls are in the dependency's hands.
func (f *fleet) step() (inHand int) {
	f.now += fleetTick
	for k, p := range f.posts {
		var events []Event
		for i, end := range f.ends[k] {
			if f.now >= end {
				delete(f.ends[k], i)
				events = append(events, Event{Kind: CallEnded, Invocation: i, Outcome: Succeeded},
					Event{Kind: RunEnded, Invocation: i, Outcome: Succeeded})
			}
		}
		for p.standing < 4 {
			put(p, 0, standing)
		}
		for _, a := range p.Decide(f.now, events) {
			if a.Kind == StartCall {
				f.ends[k][a.Invocation] = a.At
			}
		}
		inHand += len(f.ends[k])
	}
	for _, end := range f.adrift {
		if f.now < end {
			inHand++
		}
	}
	return inHand
}

// The budget of what all share holds for the sum of all nodes, also where all of them are killed and started again within
// its span: beyond N calls in the mean only 2 times the root of N and 2 are chance. What is restarted is on cores that
// start with it, or is a process on cores that started some time before it.
func TestCallsOfAWholeFleetKeepToTheirBudgetThroughRestarts(t *testing.T) {
	for _, nodes := range []int{20, 30, 300} {
		for _, share := range []float64{0.4, 3} {
			for _, again := range []struct {
				part  float64
				fresh bool
				age   int64
			}{{}, {0.5, true, 0}, {1, true, 0}, {1, true, 7_000 * ms}} {
				f := &fleet{posts: make([]*Controller, nodes), ends: make([]map[int32]int64, nodes), share: share, now: start}
				for k := range nodes {
					f.start(k, false, 0)
				}
				budget := share * float64(nodes)
				most, sum, last := 0.0, 0.0, make([]float64, fleetSpan/fleetTick)
				for tick := range 3 * len(last) {
					if tick == 2*len(last)-20 {
						for k := range int(again.part * float64(nodes)) {
							f.start(k, again.fresh, again.age)
						}
					}
					n := float64(f.step())
					sum += n - last[tick%len(last)]
					last[tick%len(last)] = n
					most = max(most, sum/float64(len(last)))
				}
				what := fmt.Sprintf("%d nodes, a share of %g, restarted %+v", nodes, share, again)
				assert.LessOrEqual(t, most, budget+2*math.Sqrt(budget)+2, what)
				assert.Greater(t, most, 0.3*budget, what+": the budget is used")
				t.Logf("%s: %.1f of %.1f in the mean", what, most, budget)
			}
		}
	}
}
