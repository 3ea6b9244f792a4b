package consensus

import (
	"container/heap"
	"fmt"
	"math/rand"
	"testing"

	"github.com/stretchr/testify/require"

	"topazpost/internal/fleet/claims"
	"topazpost/internal/fleet/configsync"
	"topazpost/internal/fleet/takeover"
)

const claimRetention = 600_000 * ms // for which the table keeps a token after its start and after its end

// simNode is a simulated node: a claims client, possibly a replica, and an executor that is killed with the node.
type simNode struct {
	name           string
	incarnation    uint64
	up             bool
	paused         bool
	replica        *Replica
	client         *claims.Client
	clientInputs   []claims.Input
	replicaInputs  []Input
	waiting        map[claims.Key][]*attempt // requests that wait for the result
	pending        map[claims.Key]bool       // queued; the start is not requested yet
	starting       map[claims.Key]bool       // the start is requested, or the token is running
	results        map[claims.Key]string
	wakeAt         int64
	backlog        []event
	configVerdicts []configsync.Verdict
	disk           *simDisk // nil for a replica in memory only; kept when the node restarts
}

func (n *simNode) owner() claims.Owner { return claims.Owner{Name: n.name, Incarnation: n.incarnation} }

// event is a function to call at a virtual time, on behalf of a node's incarnation.
type event struct {
	at          int64
	seq         int
	node        int // index of the node, -1 for none
	incarnation uint64
	do          func()
}

// eventQueue is a heap of events by time, and by order of creation at the same time.
type eventQueue []event

func (x eventQueue) Len() int { return len(x) }
func (x eventQueue) Less(a, b int) bool {
	return x[a].at < x[b].at || x[a].at == x[b].at && x[a].seq < x[b].seq
}
func (x eventQueue) Swap(a, b int) { x[a], x[b] = x[b], x[a] }
func (x *eventQueue) Push(e any)   { *x = append(*x, e.(event)) }
func (x *eventQueue) Pop() any {
	last := (*x)[len(*x)-1]
	*x = (*x)[:len(*x)-1]
	return last
}

// simulation is a fleet in virtual time. Replicas, claims clients and takeover planners are those of production; links, disks, executors
// and callers are simulated.
type simulation struct {
	random         *rand.Rand
	now            int64
	seq            int
	queue          eventQueue
	nodes          []*simNode
	members        []string
	cutLinks       map[[2]int]bool
	loss           float64
	stable         bool // membership views are correct, and links neither delay nor duplicate messages at random
	runs           map[int]int
	attempts       []*attempt
	fences         map[claims.Key]uint64
	failures       []string
	started        map[claims.Key]bool
	runBeforeStart bool // injected defect: a token runs before its start is committed
	ignoreFences   bool // injected defect: fences are not checked
	takeovers      int
	checkedIndex   uint64
	disks          bool                          // replicas have disks
	configure      func(i int, replica *Replica) // called for each replica before its first step
	resumed        int                           // replicas that recovered from their disks
	maxExtraWrite  int64                         // ns by which a write may take longer
}

func newSimulation(seed int64, nodes, replicas int) *simulation {
	s := &simulation{
		random:   rand.New(rand.NewSource(seed)),
		cutLinks: map[[2]int]bool{},
		runs:     map[int]int{},
		fences:   map[claims.Key]uint64{},
		started:  map[claims.Key]bool{},
		now:      1,
	}
	for i := range nodes {
		s.nodes = append(s.nodes, &simNode{name: fmt.Sprint("n", i)})
		if i < replicas {
			s.members = append(s.members, s.nodes[i].name)
		}
	}
	return s
}

func (s *simulation) at(at int64, node int, do func()) {
	s.seq++
	incarnation := uint64(0)
	if node >= 0 {
		incarnation = s.nodes[node].incarnation
	}
	heap.Push(&s.queue, event{max(at, s.now), s.seq, node, incarnation, do})
}

// run advances the virtual time. Events of a paused node are delayed until the pause ends; those of a killed node are dropped.
func (s *simulation) run(until int64) {
	for len(s.queue) > 0 && s.queue[0].at <= until && len(s.failures) == 0 {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		if e.node >= 0 {
			node := s.nodes[e.node]
			if !node.up || node.incarnation != e.incarnation {
				continue
			}
			if node.paused {
				node.backlog = append(node.backlog, e)
				continue
			}
		}
		e.do()
	}
	s.now = until
}

func (s *simulation) start(i int) {
	node := s.nodes[i]
	if node.up {
		return
	}
	*node = simNode{
		name:        node.name,
		disk:        node.disk,
		up:          true,
		incarnation: uint64(s.now)<<8 | uint64(i),
		waiting:     map[claims.Key][]*attempt{},
		pending:     map[claims.Key]bool{},
		starting:    map[claims.Key]bool{},
		results:     map[claims.Key]string{},
		wakeAt:      -1,
	}
	node.client = claims.NewClient(node.owner())
	if i < len(s.members) {
		s.startReplica(i)
	}
	s.wake(i, s.now)
}

func (s *simulation) startReplica(i int) {
	node := s.nodes[i]
	node.replica = NewReplica(s.members, node.name, node.incarnation, s.now, s.random.Int63())
	if s.configure != nil {
		s.configure(i, node.replica)
	}
	if s.disks {
		s.recoverFromDisk(node)
	}
	if s.ignoreFences {
		node.replica.alterCommand = useCurrentFence
	}
}

// useCurrentFence sets a command's fence to that of the claim, so that the table never rejects it as outdated.
func useCurrentFence(command *claims.Command, table *claims.Table) {
	entry := table.Find(command.Key)
	if entry == nil || command.Kind != claims.CommandStart && command.Kind != claims.CommandEnd {
		return
	}
	command.Fence = entry.Fence
	if entry.State == claims.StateClaimed {
		command.Sender = entry.Owner
	}
}

// kill crashes a node: its callers lose their connections, and its disk some of the writes in flight.
func (s *simulation) kill(i int) {
	node := s.nodes[i]
	if !node.up {
		return
	}
	node.up = false
	if node.disk != nil {
		node.disk.crash(s.random)
	}
	for _, a := range s.attempts {
		if a.node == i {
			s.answer(a, "lost")
		}
	}
}

func (s *simulation) pause(i int, stop bool) {
	node := s.nodes[i]
	node.paused = stop
	if stop {
		return
	}
	late := node.backlog
	node.backlog = nil
	for _, e := range late {
		s.at(s.now, i, e.do)
	}
}

func (s *simulation) wake(i int, at int64) {
	node := s.nodes[i]
	if node.wakeAt >= 0 && node.wakeAt <= at {
		return
	}
	node.wakeAt = at
	s.at(at, i, func() {
		if node.wakeAt == at {
			node.wakeAt = -1
			s.step(i)
		}
	})
}

// wakeNow schedules a step of a node at the current time, after the events that are scheduled already.
func (s *simulation) wakeNow(i int) { s.wake(i, s.now) }

func (s *simulation) step(i int) {
	node := s.nodes[i]
	next := int64(maxInt64)
	for round := 0; round == 0 || len(node.clientInputs)+len(node.replicaInputs) > 0; round++ {
		if node.replica != nil {
			next = min(next, s.stepReplica(i))
		}
		in := node.clientInputs
		node.clientInputs = nil
		actions, wake := node.client.Step(s.now, in)
		next = min(next, wake)
		for k := range actions {
			s.applyAction(i, &actions[k])
		}
	}
	s.wake(i, next)
}

func (s *simulation) stepReplica(i int) (wake int64) {
	node := s.nodes[i]
	inputs := append(node.replicaInputs, Input{View: s.view(i)})
	node.replicaInputs = nil
	effects, wake := node.replica.Step(s.now, inputs)
	for k := range effects {
		effect := &effects[k]
		switch effect.Kind {
		case Send:
			s.send(i, effect.To, effect.Message)
		case Persist:
			s.persist(i, effect.Write)
		}
	}
	s.checkFences(node.replica)
	return wake
}

// view returns a node's membership view: correct if the simulation is stable, else with random errors.
func (s *simulation) view(i int) (view []takeover.Member) {
	for k, node := range s.nodes {
		alive := node.up && !node.paused
		if !s.stable && s.random.Intn(20) == 0 {
			alive = !alive
		}
		view = append(view, takeover.Member{Owner: node.owner(), Alive: alive || k == i, AcceptsWork: true})
	}
	return view
}

// resume ends all pauses.
func (s *simulation) resume() {
	for i := range s.nodes {
		s.pause(i, false)
	}
}

// newStableSimulation returns a simulation without faults whose group has a leader.
func newStableSimulation(t *testing.T, nodes, replicas int) *simulation {
	sim := newSimulation(1, nodes, replicas)
	sim.stable = true
	for i := range nodes {
		sim.start(i)
	}
	sim.run(5_000 * ms)
	require.NotNil(t, sim.leader(), "the group has a leader 5 s after the start")
	return sim
}

func (s *simulation) leader() *simNode {
	for _, node := range s.nodes {
		if node.up && !node.paused && node.replica != nil && node.replica.IsLeader() && !node.replica.lostMajority() {
			return node
		}
	}
	return nil
}

func (s *simulation) indexOf(node *simNode) int {
	for i := range s.nodes {
		if s.nodes[i] == node {
			return i
		}
	}
	return -1
}

func (s *simulation) leaderTable() *claims.Table { return s.leader().replica.claims }
