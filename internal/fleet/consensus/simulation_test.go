package consensus

import (
	"container/heap"
	"fmt"
	"math/rand"
	"slices"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"topazpost/internal/fleet/claims"
	"topazpost/internal/fleet/configsync"
	"topazpost/internal/fleet/takeover"
)

const window = 600_000 * ms

// simNode is a node of the world: a desk, a seat where it has one, and an executor that dies with it.
type simNode struct {
	name           string
	incarnation    uint64
	up             bool
	paused         bool
	replica        *Group
	client         *claims.Client
	clientInputs   []claims.Input
	replicaInputs  []Input
	waiting        map[claims.Key][]*attempt // callers that wait
	pending        map[claims.Key]bool
	starting       map[claims.Key]bool // the run is wanted
	results        map[claims.Key]string
	wakeAt         int64
	backlog        []event
	configVerdicts []configsync.Verdict
	disk           *simDisk // nil for one that is in memory only; it outlives the machine's lives
}

type event struct {
	at          int64
	seq         int
	node        int // -1 for none
	incarnation uint64
	do          func()
}

type eventQueue []event

func (x eventQueue) Len() int { return len(x) }
func (x eventQueue) Less(a, b int) bool {
	return x[a].at < x[b].at || x[a].at == x[b].at && x[a].seq < x[b].seq
}
func (x eventQueue) Swap(a, b int) { x[a], x[b] = x[b], x[a] }
func (x *eventQueue) Push(e any)   { *x = append(*x, e.(event)) }
func (x *eventQueue) Pop() any     { l := (*x)[len(*x)-1]; *x = (*x)[:len(*x)-1]; return l }

// simulation plays a fleet in virtual time: the true council, desks and planner, with links, executors and callers emulated.
type simulation struct {
	random         *rand.Rand
	now            int64
	seq            int
	queue          eventQueue
	nodes          []*simNode
	members        []string
	cutLinks       map[[2]int]bool
	loss           float64
	stable         bool // views follow what is up, and nothing is cut or lost
	runs           map[int]int
	attempts       []*attempt
	fences         map[claims.Key]uint64
	failures       []string
	started        map[claims.Key]bool
	runBeforeStart bool // mutation: run first, ask for the start after
	ignoreFences   bool // mutation: fences are not compared
	takeovers      int
	checkedIndex   uint64
	disks          bool                  // seats have disks
	configure      func(i int, c *Group) // done to each seat before it takes part
	resumed        int                   // seats that went on from their disks
	maxExtraWrite  int64                 // ns that a write may take, beside the usual
}

func newSimulation(seed int64, nodes, seats int) *simulation {
	s := &simulation{random: rand.New(rand.NewSource(seed)), cutLinks: map[[2]int]bool{}, runs: map[int]int{}, fences: map[claims.Key]uint64{}, started: map[claims.Key]bool{}, now: 1}
	for i := range nodes {
		s.nodes = append(s.nodes, &simNode{name: fmt.Sprint("n", i)})
		if i < seats {
			s.members = append(s.members, s.nodes[i].name)
		}
	}
	return s
}

func (s *simulation) at(at int64, node int, do func()) {
	s.seq++
	life := uint64(0)
	if node >= 0 {
		life = s.nodes[node].incarnation
	}
	heap.Push(&s.queue, event{max(at, s.now), s.seq, node, life, do})
}

// run plays on. What is for a machine that stands still waits for it; what is for one that died is lost.
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
	*node = simNode{name: node.name, disk: node.disk, up: true, incarnation: uint64(s.now)<<8 | uint64(i), waiting: map[claims.Key][]*attempt{}, pending: map[claims.Key]bool{},
		starting: map[claims.Key]bool{}, results: map[claims.Key]string{}, wakeAt: -1}
	node.client = claims.NewClient(claims.Owner{Name: node.name, Incarnation: node.incarnation})
	if i < len(s.members) {
		node.replica = NewGroup(s.members, node.name, node.incarnation, s.now, s.random.Int63())
		if s.configure != nil {
			s.configure(i, node.replica)
		}
		if s.disks {
			s.recoverFromDisk(node)
		}
		if s.ignoreFences {
			node.replica.alterCommand = func(c *claims.Command, t *claims.Table) {
				if e := t.Find(c.Key); e != nil && (c.Kind == claims.CommandStart || c.Kind == claims.CommandEnd) {
					c.Fence = e.Fence
					if e.State == claims.StateClaimed {
						c.Sender = e.Owner
					}
				}
			}
		}
	}
	s.wake(i, s.now)
}

// kill ends a machine: its callers learn that their connection broke.
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
	if node.paused = stop; !stop {
		late := node.backlog
		node.backlog = nil
		for _, e := range late {
			s.at(s.now, i, e.do)
		}
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

// wakeNow steps a machine at this moment, after all that happens in it.
func (s *simulation) wakeNow(i int) { s.wake(i, s.now) }

func (s *simulation) step(i int) {
	node := s.nodes[i]
	next := int64(never)
	for round := 0; round == 0 || len(node.clientInputs)+len(node.replicaInputs) > 0; round++ {
		if node.replica != nil {
			in := node.replicaInputs
			node.replicaInputs = nil
			in = append(in, Input{View: s.view(i)})
			effects, wake := node.replica.Step(s.now, in)
			next = min(next, wake)
			for k := range effects {
				switch e := &effects[k]; e.Kind {
				case Send:
					s.send(i, e.To, e.Message)
				case Persist:
					s.persist(i, e.Write)
				}
			}
			s.check(node.replica)
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

// view is what a machine holds to be there: the truth some time after, where all is sane, and else drawn.
func (s *simulation) view(i int) (view []takeover.Member) {
	for k, node := range s.nodes {
		alive := node.up && !node.paused
		if !s.stable && s.random.Intn(20) == 0 {
			alive = !alive
		}
		view = append(view, takeover.Member{Owner: claims.Owner{Name: node.name, Incarnation: node.incarnation}, Alive: alive || k == i, AcceptsWork: true})
	}
	return view
}

// send carries a message over a link, in bytes, as on a real one.
func (s *simulation) send(from int, to string, m Message) {
	i := slices.IndexFunc(s.nodes, func(x *simNode) bool { return x.name == to })
	if i < 0 {
		return
	}
	if i != from && (s.cutLinks[[2]int{from, i}] || s.random.Float64() < s.loss) {
		return
	}
	text, err := cbor.Marshal(m)
	if err != nil {
		s.fail("a message can't be written: %v", err)
		return
	}
	delay := int64(0)
	if i != from {
		delay = ms/5 + s.random.Int63n(ms)
		if !s.stable && s.random.Intn(50) == 0 {
			delay += s.random.Int63n(300 * ms)
		}
	}
	copies := 1
	if !s.stable && s.random.Intn(50) == 0 {
		copies = 2
	}
	for range copies {
		s.at(s.now+delay, i, func() {
			got := new(Message)
			if cbor.Unmarshal(text, got) == nil {
				s.receive(i, got)
			}
		})
	}
}

func (s *simulation) receive(i int, msg *Message) {
	node := s.nodes[i]
	self := claims.Owner{Name: node.name, Incarnation: node.incarnation}
	switch msg.Kind {
	case MessageVerdicts, MessageClaimsEnded, MessageReassignment:
		if msg.Owner != self {
			return
		}
		for k := range msg.Verdicts {
			node.clientInputs = append(node.clientInputs, claims.Input{Kind: claims.VerdictReceived, Verdict: msg.Verdicts[k]})
		}
		node.configVerdicts = append(node.configVerdicts, msg.Decided...)
		for _, key := range msg.Keys {
			node.clientInputs = append(node.clientInputs, claims.Input{Kind: claims.EndNotified, Key: key})
		}
		if e := msg.Entry; e != nil {
			node.clientInputs = append(node.clientInputs, claims.Input{Kind: claims.ClaimAssigned, Key: e.Key, BodyHash: e.BodyHash, Remaining: msg.Remaining, Window: e.Window, Work: e.Work, InvocationID: e.InvocationID, Fence: e.Fence})
		}
	default:
		if node.replica != nil {
			node.replicaInputs = append(node.replicaInputs, Input{Message: msg})
		}
	}
	s.wakeNow(i)
}

// resume has all go on that were paused.
func (s *simulation) resume() {
	for i := range s.nodes {
		s.pause(i, false)
	}
}

// cutFrom cuts the way from a machine to some of the others.
func (s *simulation) cutFrom(i int, random *rand.Rand) {
	for k := range s.nodes {
		if k != i && random.Intn(2) == 0 {
			s.cutLinks[[2]int{i, k}] = true
		}
	}
}

// cutOff cuts the way of all others to a machine, and its way to some of them.
func (s *simulation) cutOff(i int, random *rand.Rand) {
	for k := range s.nodes {
		if k != i {
			s.cutLinks[[2]int{k, i}], s.cutLinks[[2]int{i, k}] = true, random.Intn(2) == 0
		}
	}
}

// newStableSimulation is a world whose council has a leader.
func newStableSimulation(t *testing.T, nodes, seats int) *simulation {
	sim := newSimulation(1, nodes, seats)
	sim.stable = true
	for i := range nodes {
		sim.start(i)
	}
	sim.run(5_000 * ms)
	require.NotNil(t, sim.leader(), "a council is founded and has a leader")
	return sim
}

func (s *simulation) leader() *simNode {
	for _, node := range s.nodes {
		if node.up && !node.paused && node.replica != nil && node.replica.IsLeader() && !node.replica.steppedDown() {
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

func (s *simulation) leaderTable() *claims.Table { return s.leader().replica.table }
