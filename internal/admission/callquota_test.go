package admission

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
)

const (
	fleetStep         = 50 * millisecond
	fleetQuotaWindow  = 5_000 * millisecond
	abandonedCallTime = 200 * millisecond
	maxAwaitingCalls  = 4 // of each node
)

// dependencyFleet is a fleet of nodes that call a shared dependency. At each node, runs that await a call never run out,
// and each call takes as long as the node allows.
type dependencyFleet struct {
	controllers    []*Controller
	callEnds       []map[int32]int64 // when calls in flight end, by node and invocation
	lingeringCalls []int64           // when calls of nodes that were restarted end
	callQuota      float64           // of each node
	now            int64
}

func newDependencyFleet(nodes int, callQuota float64) *dependencyFleet {
	f := &dependencyFleet{
		controllers: make([]*Controller, nodes),
		callEnds:    make([]map[int32]int64, nodes),
		callQuota:   callQuota,
		now:         testStart,
	}
	for node := range nodes {
		f.restart(node, false, 0)
	}
	return f
}

// restart replaces the process of a node, on cores that started coreAge (ns) before. The calls of the previous process
// occupy the dependency for a while.
func (f *dependencyFleet) restart(node int, coldStart bool, coreAge int64) {
	config := newTestController(func(n *Config) {
		n.CallQuota = f.callQuota
		n.CallQuotaWindow = fleetQuotaWindow
		n.AbandonedCallTime = abandonedCallTime
		n.ColdStart = coldStart
		n.ColdSpeedShare = 0.3
		n.Operations[0].ClientTimeout = 60_000 * millisecond
		n.Operations[0].LatencyObjective = 30_000 * millisecond
		n.ProcessStart = f.now
	}).config
	f.controllers[node] = NewController(config, f.now-coreAge)
	for _, end := range f.callEnds[node] {
		f.lingeringCalls = append(f.lingeringCalls, min(end, f.now+abandonedCallTime))
	}
	f.callEnds[node] = map[int32]int64{}
}

// step advances time and returns the number of calls that occupy the dependency.
func (f *dependencyFleet) step() int {
	f.now += fleetStep
	occupying := 0
	for node := range f.controllers {
		f.stepNode(node)
		occupying += len(f.callEnds[node])
	}
	for _, end := range f.lingeringCalls {
		if f.now < end {
			occupying++
		}
	}
	return occupying
}

func (f *dependencyFleet) stepNode(node int) {
	c := f.controllers[node]
	ends := f.callEnds[node]
	var events []Event
	for _, i := range slices.Sorted(maps.Keys(ends)) {
		if f.now >= ends[i] {
			delete(ends, i)
			events = append(events,
				Event{Kind: CallEnded, Invocation: i, Outcome: Succeeded},
				Event{Kind: RunEnded, Invocation: i, Outcome: Succeeded})
		}
	}
	for c.counts.awaitingCall < maxAwaitingCalls {
		insertInvocation(c, 0, stateAwaitingCall)
	}
	for _, a := range c.Decide(f.now, events) {
		if a.Kind == StartCall {
			ends[a.Invocation] = a.At
		}
	}
}

// restartCase describes a restart of a share of the nodes. With coldStart, a node assumes that its quota was used.
type restartCase struct {
	share     float64
	coldStart bool
	coreAge   int64
}

// maxMeanCalls runs the fleet for three quota windows, with a restart shortly before the end of the second one. It returns
// the maximum of the mean number of calls that occupy the dependency over a sliding quota window.
func (f *dependencyFleet) maxMeanCalls(restart restartCase) float64 {
	window := make([]float64, fleetQuotaWindow/fleetStep)
	sum := 0.0
	maxMean := 0.0
	for step := range 3 * len(window) {
		if step == 2*len(window)-20 {
			for node := range int(restart.share * float64(len(f.controllers))) {
				f.restart(node, restart.coldStart, restart.coreAge)
			}
		}
		calls := float64(f.step())
		sum += calls - window[step%len(window)]
		window[step%len(window)] = calls
		maxMean = max(maxMean, sum/float64(len(window)))
	}
	return maxMean
}

// The calls of all nodes together must stay within the quota of the shared dependency, even if all nodes are killed and
// restarted within its window: calls of the killed processes still occupy the dependency, and a new process doesn't know
// how much of the quota its predecessor used. For a total quota of N calls, the bound is N + 2 sqrt(N) + 2, which allows
// for random variation. At least 0.3 N shows that the quota is used. A restarted
// process runs on cores that start with it, or on cores that started earlier.
func TestFleetCallsStayWithinTheQuotaThroughRestarts(t *testing.T) {
	restarts := []restartCase{
		{},
		{share: 0.5, coldStart: true},
		{share: 1, coldStart: true},
		{share: 1, coldStart: true, coreAge: 7_000 * millisecond},
	}
	for _, nodes := range []int{20, 30, 300} {
		for _, callQuota := range []float64{0.4, 3} {
			for _, restart := range restarts {
				total := callQuota * float64(nodes)
				calls := newDependencyFleet(nodes, callQuota).maxMeanCalls(restart)
				scenario := fmt.Sprintf("%d nodes, a quota of %g each, restart %+v", nodes, callQuota, restart)
				assert.LessOrEqual(t, calls, total+2*math.Sqrt(total)+2, scenario)
				assert.Greater(t, calls, 0.3*total, scenario+": the quota must be used")
				t.Logf("%s: maximum of the mean %.1f calls, quota %.1f", scenario, calls, total)
			}
		}
	}
}
