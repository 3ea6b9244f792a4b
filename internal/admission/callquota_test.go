package admission

import (
	"fmt"
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
)

// dependencyFleet is n nodes that each have as many runs standing at calls as they like, over a dependency on which every call
// takes as long as the node allows it.
type dependencyFleet struct {
	controllers    []*Controller
	callEnds       []map[int32]int64 // of calls in hand, by node and invocation
	lingeringCalls []int64           // ends of calls whose node is gone
	callQuota      float64
	now            int64
}

const (
	fleetStep        = 50 * millisecond
	fleetQuotaWindow = 5_000 * millisecond
)

func (f *dependencyFleet) restart(k int, fresh bool, age int64) {
	f.controllers[k] = NewController(newTestController(func(n *Config) {
		n.CallQuota, n.CallQuotaWindow, n.AbandonedCallTime, n.ColdStart, n.ColdSpeedShare = f.callQuota, fleetQuotaWindow, 200*millisecond, fresh, 0.3
		n.Operations[0].ClientTimeout, n.Operations[0].LatencyObjective = 60_000*millisecond, 30_000*millisecond
		n.ProcessStart = f.now
	}).config, f.now-age)
	for _, end := range f.callEnds[k] { // they linger in the dependency's hands
		f.lingeringCalls = append(f.lingeringCalls, min(end, f.now+200*millisecond))
	}
	f.callEnds[k] = map[int32]int64{}
}

// step returns how many calls are in the dependency's hands.
func (f *dependencyFleet) step() (inHand int) {
	f.now += fleetStep
	for k, c := range f.controllers {
		var events []Event
		for i, end := range f.callEnds[k] {
			if f.now >= end {
				delete(f.callEnds[k], i)
				events = append(events, Event{Kind: CallEnded, Invocation: i, Outcome: Succeeded},
					Event{Kind: RunEnded, Invocation: i, Outcome: Succeeded})
			}
		}
		for c.counts.awaitingCall < 4 {
			insertInvocation(c, 0, stateAwaitingCall)
		}
		for _, a := range c.Decide(f.now, events) {
			if a.Kind == StartCall {
				f.callEnds[k][a.Invocation] = a.At
			}
		}
		inHand += len(f.callEnds[k])
	}
	for _, end := range f.lingeringCalls {
		if f.now < end {
			inHand++
		}
	}
	return inHand
}

// The budget of what all share holds for the sum of all nodes, also where all of them are killed and started again within
// its span: beyond N calls in the mean only 2 times the root of N and 2 are chance. What is restarted is on cores that
// start with it, or is a process on cores that started some time before it.
func TestFleetCallsStayWithinTheQuotaThroughRestarts(t *testing.T) {
	for _, nodes := range []int{20, 30, 300} {
		for _, share := range []float64{0.4, 3} {
			for _, again := range []struct {
				part  float64
				fresh bool
				age   int64
			}{{}, {0.5, true, 0}, {1, true, 0}, {1, true, 7_000 * millisecond}} {
				f := &dependencyFleet{controllers: make([]*Controller, nodes), callEnds: make([]map[int32]int64, nodes), callQuota: share, now: testStart}
				for k := range nodes {
					f.restart(k, false, 0)
				}
				budget := share * float64(nodes)
				most, sum, last := 0.0, 0.0, make([]float64, fleetQuotaWindow/fleetStep)
				for tick := range 3 * len(last) {
					if tick == 2*len(last)-20 {
						for k := range int(again.part * float64(nodes)) {
							f.restart(k, again.fresh, again.age)
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
