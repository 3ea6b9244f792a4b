package quota

import (
	"container/heap"
	"fmt"
	"math/rand"
)

var (
	nodeA      = Owner{"a", 1}
	nodeB      = Owner{"b", 1}
	nodeC      = Owner{"c", 1}
	testConfig = HolderConfig{Name: "calls", Term: 4_000 * ms, Hold: 500 * ms, Units: 10}
)

// tableWithLimit is a book with one limit, whose first grants need not wait.
func tableWithLimit(units int64) *LeaseTable {
	x := NewLeaseTable()
	x.Apply(0, &Command{Kind: CommandDefineLimit, Limit: "calls", Units: units, Version: 1, StartDelay: -MaxTimeStep})
	return x
}

func leaseRequest(who Owner, seq uint64, keep, want int64) *Command {
	return &Command{Kind: CommandRequestLease, Sender: who, Seq: seq, Limit: "calls", UnitsInUse: keep, WantedUnits: want, LeaseDuration: testConfig.Term}
}

// simulatedNode is a holder with a clock of its own rate, and the units that it uses.
type simulatedNode struct {
	holder      *LeaseHolder
	clockRate   float64
	pausedUntil int64   // that it stands still
	useEnds     []int64 // when each use ends, in the world's time
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

func (x eventQueue) Len() int { return len(x) }
func (x eventQueue) Less(i, j int) bool {
	return x[i].at < x[j].at || x[i].at == x[j].at && x[i].seq < x[j].seq
}
func (x eventQueue) Swap(i, j int) { x[i], x[j] = x[j], x[i] }
func (x *eventQueue) Push(e any)   { *x = append(*x, e.(event)) }
func (x *eventQueue) Pop() any     { l := (*x)[len(*x)-1]; *x = (*x)[:len(*x)-1]; return l }

// simulation plays holders over links that lose, delay and double, beside one book whose time lags behind the simulation's.
type simulation struct {
	rng              *rand.Rand
	now, lastSeq     int64
	events           eventQueue
	table            *LeaseTable
	tableTime        int64 // its time
	tableTimeAt      int64
	nodes            []*simulatedNode
	partitioned      []bool
	lossRate         float64
	maxDelay         int64 // ns that a message may take at the most
	violation        string
	useExpiredLeases bool  // mutation: leases are used past their end
	neverGiveBack    bool  // mutation: holders give nothing back
	fixedShare       int64 // that each site may use whatever its lease, as fixed shares are; 0 for leases
	measuring        bool  // the limit is wanted, and no bound lets it lie unused
	utilizationTime  float64
	measuredTime     float64
	peak             int
	config           HolderConfig
}

func newSimulation(seed int64, sites int, limit int64) *simulation {
	w := &simulation{rng: rand.New(rand.NewSource(seed)), now: 1, table: NewLeaseTable(), maxDelay: 2 * ms, config: testConfig}
	w.config.Units = limit
	w.table.Apply(0, &Command{Kind: CommandDefineLimit, Limit: "calls", Units: limit, Version: 1, StartDelay: testConfig.Term})
	w.partitioned = make([]bool, sites)
	for i := range sites {
		w.nodes = append(w.nodes, &simulatedNode{})
		w.restart(i)
	}
	return w
}

func (w *simulation) schedule(schedule int64, do func()) {
	w.lastSeq++
	heap.Push(&w.events, event{max(schedule, w.now), w.lastSeq, do})
}

func (w *simulation) run(until int64) {
	for len(w.events) > 0 && w.events[0].at <= until && w.violation == "" {
		e := heap.Pop(&w.events).(event)
		if w.measuring {
			w.measuredTime += float64(e.at - w.now)
			w.utilizationTime += float64(w.totalInUse()) / float64(w.config.Units) * float64(e.at-w.now)
		}
		w.now = e.at
		e.run()
	}
	w.now = until
}

// restart is a new life of a site; what it used goes on at the dependency to its end.
func (w *simulation) restart(i int) {
	s := w.nodes[i]
	used := s.useEnds
	*s = simulatedNode{clockRate: 0.99 + 0.02*w.rng.Float64(), incarnation: s.incarnation + 1, useEnds: used, demand: s.demand}
	s.holder = NewLeaseHolder(w.config, Owner{fmt.Sprint("n", i), s.incarnation})
	w.wakeNode(i, w.now)
}

func (s *simulatedNode) clock(now int64) int64 { return int64(s.clockRate*float64(now)) + 1_000_000*ms }

func (w *simulation) wakeNode(i int, at int64) {
	s, life := w.nodes[i], w.nodes[i].incarnation
	at = max(at, w.now)
	if s.wakeAt > 0 && s.wakeAt <= at {
		return
	}
	s.wakeAt = at
	w.schedule(at, func() {
		if s.incarnation == life && s.wakeAt == at {
			s.wakeAt = 0
			w.stepNode(i)
		}
	})
}

func (w *simulation) stepNode(i int) {
	s := w.nodes[i]
	if w.now < s.pausedUntil {
		w.wakeNode(i, s.pausedUntil)
		return
	}
	local := s.clock(w.now)
	allowed := s.holder.Allowed(local)
	if w.useExpiredLeases {
		allowed = s.holder.units
	}
	if w.fixedShare > 0 {
		allowed = w.fixedShare
	}
	for int64(w.unitsInUse(s)) < allowed && w.unitsInUse(s) < s.demand {
		s.useEnds = append(s.useEnds, w.now+w.rng.Int63n(int64(0.98*float64(w.config.Hold))))
	}
	send, next := s.holder.Step(local, int64(w.unitsInUse(s)), int64(max(0, s.demand-w.unitsInUse(s))), s.verdicts)
	s.verdicts = s.verdicts[:0]
	for k := range send {
		if w.neverGiveBack {
			send[k].UnitsInUse = w.config.Units
		}
		w.request(i, send[k])
	}
	w.checkLimit()
	w.wakeNode(i, w.now+int64(min(float64(20*ms), float64(next-local)/s.clockRate))+1)
}

func (w *simulation) unitsInUse(s *simulatedNode) (n int) {
	kept := s.useEnds[:0]
	for _, end := range s.useEnds {
		if end > w.now {
			kept = append(kept, end)
		}
	}
	s.useEnds = kept
	return len(kept)
}

func (w *simulation) totalInUse() (sum int) {
	for _, s := range w.nodes {
		sum += w.unitsInUse(s)
	}
	return sum
}

// checkLimit wants that all that is used fits the limit, at this moment.
func (w *simulation) checkLimit() {
	sum := w.totalInUse()
	w.peak = max(w.peak, sum)
	if int64(sum) > w.config.Units {
		w.violation = fmt.Sprintf("%d units of %d in use at %d ms", sum, w.config.Units, w.now/ms)
	}
}

// request brings a command to the book and its verdict back.
func (w *simulation) request(i int, command Command) {
	life := w.nodes[i].incarnation
	way := func(do func()) {
		if w.partitioned[i] || w.rng.Float64() < w.lossRate {
			return
		}
		w.schedule(w.now+w.rng.Int63n(w.maxDelay)+1, do)
		if w.rng.Intn(20) == 0 {
			w.schedule(w.now+w.rng.Int63n(20*w.maxDelay)+1, do)
		}
	}
	way(func() {
		if lag := min(MaxTimeStep, int64(0.98*float64(w.now-w.tableTimeAt))); lag > 0 && w.rng.Intn(2) == 0 { // behind, and slower than the world
			w.tableTime, w.tableTimeAt = w.tableTime+lag, w.now
		}
		v := w.table.Apply(w.tableTime, &command)
		if l := w.table.Find("calls"); l.LeasedUnits() > l.Units {
			w.violation = fmt.Sprintf("leases of %d units of %d", l.LeasedUnits(), l.Units)
		}
		way(func() {
			if s := w.nodes[i]; s.incarnation == life {
				s.verdicts = append(s.verdicts, v)
				w.wakeNode(i, w.now)
			}
		})
	})
}
