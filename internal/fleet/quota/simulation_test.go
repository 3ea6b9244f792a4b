package quota

import (
	"container/heap"
	"fmt"
	"math/rand"
)

// simulatedNode is a node with a lease holder, a clock that drifts, and the units that it uses.
type simulatedNode struct {
	holder      *LeaseHolder
	clockRate   float64
	pausedUntil int64
	useEnds     []int64 // when each use ends, in the simulation's time
	demand      int
	incarnation uint64
	wakeAt      int64
	verdicts    []Verdict
}

type event struct {
	at, seq int64
	run     func()
}

type eventQueue []event

func (queue eventQueue) Len() int { return len(queue) }

func (queue eventQueue) Less(i, j int) bool {
	return queue[i].at < queue[j].at || queue[i].at == queue[j].at && queue[i].seq < queue[j].seq
}

func (queue eventQueue) Swap(i, j int) { queue[i], queue[j] = queue[j], queue[i] }

func (queue *eventQueue) Push(e any) { *queue = append(*queue, e.(event)) }

func (queue *eventQueue) Pop() any {
	last := (*queue)[len(*queue)-1]
	*queue = (*queue)[:len(*queue)-1]
	return last
}

// simulation connects nodes to one lease table by links that lose, delay and duplicate messages. The table's time lags behind the
// simulation's.
type simulation struct {
	rng              *rand.Rand
	now, lastSeq     int64
	events           eventQueue
	table            *LeaseTable
	tableTime        int64
	tableTimeAt      int64 // the simulation's time when tableTime last advanced
	nodes            []*simulatedNode
	partitioned      []bool
	lossRate         float64
	maxDelay         int64 // ns that a message takes at most; a duplicate may take longer
	violation        string
	useExpiredLeases bool  // injected fault: nodes use leases past their end
	neverReturnUnits bool  // injected fault: holders return no units
	fixedShare       int64 // units that each node may use instead of its lease; 0 to use leases
	measuring        bool  // utilization is recorded: the whole limit is wanted, and no units may be unused by design
	utilizedTime     float64
	measuredTime     float64
	peak             int // most units in use at once
	config           HolderConfig
}

func newSimulation(seed int64, nodes int, limit int64) *simulation {
	sim := &simulation{rng: rand.New(rand.NewSource(seed)), now: 1, table: NewLeaseTable(), maxDelay: 2 * ms, config: testConfig}
	sim.config.Units = limit
	sim.table.Apply(0, &Command{Kind: CommandDefineLimit, Limit: "calls", Units: limit, Version: 1, EarlierLeasesEndAt: testConfig.LeaseTerm})
	sim.partitioned = make([]bool, nodes)
	for i := range nodes {
		sim.nodes = append(sim.nodes, &simulatedNode{})
		sim.restart(i)
	}
	return sim
}

func (sim *simulation) schedule(at int64, run func()) {
	sim.lastSeq++
	heap.Push(&sim.events, event{at: max(at, sim.now), seq: sim.lastSeq, run: run})
}

func (sim *simulation) run(until int64) {
	for len(sim.events) > 0 && sim.events[0].at <= until && sim.violation == "" {
		e := heap.Pop(&sim.events).(event)
		if sim.measuring {
			sim.measuredTime += float64(e.at - sim.now)
			sim.utilizedTime += float64(sim.totalInUse()) / float64(sim.config.Units) * float64(e.at-sim.now)
		}
		sim.now = e.at
		e.run()
	}
	sim.now = until
}

// restart begins a new incarnation of a node. Uses by the earlier one go on until they end, as calls do at the dependency.
func (sim *simulation) restart(i int) {
	node := sim.nodes[i]
	used := node.useEnds
	*node = simulatedNode{clockRate: 0.99 + 0.02*sim.rng.Float64(), incarnation: node.incarnation + 1, useEnds: used, demand: node.demand}
	node.holder = NewLeaseHolder(sim.config, Owner{fmt.Sprint("n", i), node.incarnation})
	sim.wakeNode(i, sim.now)
}

// clock returns the node's time, which has another origin and rate than the simulation's.
func (node *simulatedNode) clock(now int64) int64 {
	return int64(node.clockRate*float64(now)) + 1_000_000*ms
}

func (sim *simulation) wakeNode(i int, at int64) {
	node := sim.nodes[i]
	incarnation := node.incarnation
	at = max(at, sim.now)
	if node.wakeAt > 0 && node.wakeAt <= at {
		return
	}
	node.wakeAt = at
	sim.schedule(at, func() {
		if node.incarnation == incarnation && node.wakeAt == at {
			node.wakeAt = 0
			sim.stepNode(i)
		}
	})
}

func (sim *simulation) stepNode(i int) {
	node := sim.nodes[i]
	if sim.now < node.pausedUntil {
		sim.wakeNode(i, node.pausedUntil)
		return
	}
	local := node.clock(sim.now)
	allowed := node.holder.Allowed(local)
	if sim.useExpiredLeases {
		allowed = node.holder.units
	}
	if sim.fixedShare > 0 {
		allowed = sim.fixedShare
	}
	for int64(sim.unitsInUse(node)) < allowed && sim.unitsInUse(node) < node.demand {
		node.useEnds = append(node.useEnds, sim.now+sim.rng.Int63n(int64(0.98*float64(sim.config.MaxUseTime))))
	}
	send, next := node.holder.Step(local, int64(sim.unitsInUse(node)), int64(max(0, node.demand-sim.unitsInUse(node))), node.verdicts)
	node.verdicts = node.verdicts[:0]
	for k := range send {
		if sim.neverReturnUnits {
			send[k].RetainedUnits = sim.config.Units
		}
		sim.request(i, send[k])
	}
	sim.checkLimit()
	sim.wakeNode(i, sim.now+int64(min(float64(20*ms), float64(next-local)/node.clockRate))+1)
}

func (sim *simulation) unitsInUse(node *simulatedNode) (n int) {
	current := node.useEnds[:0]
	for _, end := range node.useEnds {
		if end > sim.now {
			current = append(current, end)
		}
	}
	node.useEnds = current
	return len(current)
}

func (sim *simulation) totalInUse() (sum int) {
	for _, node := range sim.nodes {
		sum += sim.unitsInUse(node)
	}
	return sum
}

// checkLimit records a violation if more units are in use now than the limit has.
func (sim *simulation) checkLimit() {
	sum := sim.totalInUse()
	sim.peak = max(sim.peak, sum)
	if int64(sum) > sim.config.Units {
		sim.violation = fmt.Sprintf("%d units in use of a limit of %d at %d ms", sum, sim.config.Units, sim.now/ms)
	}
}

// request sends a command to the table and its verdict back to the node.
func (sim *simulation) request(i int, command Command) {
	incarnation := sim.nodes[i].incarnation
	deliver := func(run func()) {
		if sim.partitioned[i] || sim.rng.Float64() < sim.lossRate {
			return
		}
		sim.schedule(sim.now+sim.rng.Int63n(sim.maxDelay)+1, run)
		if sim.rng.Intn(20) == 0 {
			sim.schedule(sim.now+sim.rng.Int63n(20*sim.maxDelay)+1, run)
		}
	}
	deliver(func() {
		// The table's time advances at random, and more slowly than the simulation's.
		if step := min(MaxTimeStep, int64(0.98*float64(sim.now-sim.tableTimeAt))); step > 0 && sim.rng.Intn(2) == 0 {
			sim.tableTime += step
			sim.tableTimeAt = sim.now
		}
		verdict := sim.table.Apply(sim.tableTime, &command)
		if limit := sim.table.Find("calls"); limit.LeasedUnits() > limit.Units {
			sim.violation = fmt.Sprintf("%d units leased of a limit of %d", limit.LeasedUnits(), limit.Units)
		}
		deliver(func() {
			if node := sim.nodes[i]; node.incarnation == incarnation {
				node.verdicts = append(node.verdicts, verdict)
				sim.wakeNode(i, sim.now)
			}
		})
	})
}
