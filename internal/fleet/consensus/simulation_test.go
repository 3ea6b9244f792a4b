package consensus

import (
	"container/heap"
	"fmt"
	"math/rand"
	"slices"

	"github.com/anishathalye/porcupine"
	"github.com/fxamacker/cbor/v2"

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

// attempt is one caller's try.
type attempt struct {
	token    int
	at, end  int64
	outcome  string // result, "unknown", "throttled", "lost", or empty while it waits
	client   int
	node     int
	answered bool
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
	chance         *rand.Rand
	now            int64
	seq            int
	queue          eventQueue
	machines       []*simNode
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
	s := &simulation{chance: rand.New(rand.NewSource(seed)), cutLinks: map[[2]int]bool{}, runs: map[int]int{}, fences: map[claims.Key]uint64{}, started: map[claims.Key]bool{}, now: 1}
	for i := range nodes {
		s.machines = append(s.machines, &simNode{name: fmt.Sprint("n", i)})
		if i < seats {
			s.members = append(s.members, s.machines[i].name)
		}
	}
	return s
}

func (s *simulation) at(at int64, node int, do func()) {
	s.seq++
	life := uint64(0)
	if node >= 0 {
		life = s.machines[node].incarnation
	}
	heap.Push(&s.queue, event{max(at, s.now), s.seq, node, life, do})
}

// run plays on. What is for a machine that stands still waits for it; what is for one that died is lost.
func (s *simulation) run(until int64) {
	for len(s.queue) > 0 && s.queue[0].at <= until && len(s.failures) == 0 {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		if e.node >= 0 {
			m := s.machines[e.node]
			if !m.up || m.incarnation != e.incarnation {
				continue
			}
			if m.paused {
				m.backlog = append(m.backlog, e)
				continue
			}
		}
		e.do()
	}
	s.now = until
}

func (s *simulation) start(i int) {
	m := s.machines[i]
	if m.up {
		return
	}
	*m = simNode{name: m.name, disk: m.disk, up: true, incarnation: uint64(s.now)<<8 | uint64(i), waiting: map[claims.Key][]*attempt{}, pending: map[claims.Key]bool{},
		starting: map[claims.Key]bool{}, results: map[claims.Key]string{}, wakeAt: -1}
	m.client = claims.NewClient(claims.Owner{Name: m.name, Incarnation: m.incarnation})
	if i < len(s.members) {
		m.replica = NewGroup(s.members, m.name, m.incarnation, s.now, s.chance.Int63())
		if s.configure != nil {
			s.configure(i, m.replica)
		}
		if s.disks {
			s.recover(m)
		}
		if s.ignoreFences {
			m.replica.alterCommand = func(c *claims.Command, t *claims.Table) {
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
	m := s.machines[i]
	if !m.up {
		return
	}
	m.up = false
	if m.disk != nil {
		m.disk.crash(s.chance)
	}
	for _, a := range s.attempts {
		if a.node == i {
			s.answer(a, "lost")
		}
	}
}

func (s *simulation) pause(i int, stop bool) {
	m := s.machines[i]
	if m.paused = stop; !stop {
		late := m.backlog
		m.backlog = nil
		for _, e := range late {
			s.at(s.now, i, e.do)
		}
	}
}

func (s *simulation) wake(i int, at int64) {
	m := s.machines[i]
	if m.wakeAt >= 0 && m.wakeAt <= at {
		return
	}
	m.wakeAt = at
	s.at(at, i, func() {
		if m.wakeAt == at {
			m.wakeAt = -1
			s.step(i)
		}
	})
}

// wakeNow steps a machine at this moment, after all that happens in it.
func (s *simulation) wakeNow(i int) { s.wake(i, s.now) }

func (s *simulation) step(i int) {
	m := s.machines[i]
	next := int64(never)
	for round := 0; round == 0 || len(m.clientInputs)+len(m.replicaInputs) > 0; round++ {
		if m.replica != nil {
			in := m.replicaInputs
			m.replicaInputs = nil
			in = append(in, Input{View: s.view(i)})
			effects, wake := m.replica.Step(s.now, in)
			next = min(next, wake)
			for k := range effects {
				switch e := &effects[k]; e.Kind {
				case Send:
					s.send(i, e.To, e.Message)
				case Persist:
					s.persist(i, e.Write)
				}
			}
			s.check(m.replica)
		}
		in := m.clientInputs
		m.clientInputs = nil
		actions, wake := m.client.Step(s.now, in)
		next = min(next, wake)
		for k := range actions {
			s.applyAction(i, &actions[k])
		}
	}
	s.wake(i, next)
}

// view is what a machine holds to be there: the truth some time after, where all is sane, and else drawn.
func (s *simulation) view(i int) (view []takeover.Member) {
	for k, m := range s.machines {
		alive := m.up && !m.paused
		if !s.stable && s.chance.Intn(20) == 0 {
			alive = !alive
		}
		view = append(view, takeover.Member{Owner: claims.Owner{Name: m.name, Incarnation: m.incarnation}, Alive: alive || k == i, AcceptsWork: true})
	}
	return view
}

// send carries a message over a link, in bytes, as on a real one.
func (s *simulation) send(from int, to string, m Message) {
	i := slices.IndexFunc(s.machines, func(x *simNode) bool { return x.name == to })
	if i < 0 {
		return
	}
	if i != from && (s.cutLinks[[2]int{from, i}] || s.chance.Float64() < s.loss) {
		return
	}
	text, err := cbor.Marshal(m)
	if err != nil {
		s.fail("a message can't be written: %v", err)
		return
	}
	delay := int64(0)
	if i != from {
		delay = ms/5 + s.chance.Int63n(ms)
		if !s.stable && s.chance.Intn(50) == 0 {
			delay += s.chance.Int63n(300 * ms)
		}
	}
	copies := 1
	if !s.stable && s.chance.Intn(50) == 0 {
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
	m := s.machines[i]
	self := claims.Owner{Name: m.name, Incarnation: m.incarnation}
	switch msg.Kind {
	case MessageVerdicts, MessageClaimsEnded, MessageReassignment:
		if msg.Owner != self {
			return
		}
		for k := range msg.Verdicts {
			m.clientInputs = append(m.clientInputs, claims.Input{Kind: claims.VerdictReceived, Verdict: msg.Verdicts[k]})
		}
		m.configVerdicts = append(m.configVerdicts, msg.Decided...)
		for _, key := range msg.Keys {
			m.clientInputs = append(m.clientInputs, claims.Input{Kind: claims.EndNotified, Key: key})
		}
		if e := msg.Entry; e != nil {
			m.clientInputs = append(m.clientInputs, claims.Input{Kind: claims.ClaimAssigned, Key: e.Key, BodyHash: e.BodyHash, Remaining: msg.Remaining, Window: e.Window, Work: e.Work, InvocationID: e.InvocationID, Fence: e.Fence})
		}
	default:
		if m.replica != nil {
			m.replicaInputs = append(m.replicaInputs, Input{Message: msg})
		}
	}
	s.wakeNow(i)
}

func key(token int) claims.Key { return claims.Key{Operation: "hold", Token: fmt.Sprint("t", token)} }

// ask has a caller try a token at a machine, as a node with its module would: claimed at once, begun after a hold.
func (s *simulation) ask(client, token, i int) *attempt {
	a := &attempt{token: token, at: s.now, client: client, node: i}
	s.attempts = append(s.attempts, a)
	m := s.machines[i]
	if !m.up {
		s.answer(a, "lost")
		return a
	}
	s.at(s.now, i, func() {
		k := key(token)
		if got, known := m.results[k]; known {
			s.answer(a, got)
			return
		}
		if !m.pending[k] && !m.starting[k] {
			if !m.client.Connected() {
				s.answer(a, "throttled")
				return
			}
			m.pending[k] = true
			m.clientInputs = append(m.clientInputs, claims.Input{Kind: claims.RequestClaim, Key: k, BodyHash: 7, Remaining: 4_000 * ms, Window: window, Work: []byte{1}, InvocationID: "c"})
			s.at(s.now+s.chance.Int63n(40*ms), i, func() { s.begin(i, k) })
		}
		m.waiting[k] = append(m.waiting[k], a)
		s.wakeNow(i)
		s.at(s.now+4_000*ms, i, func() {
			if a.answered {
				return
			}
			if m.client.OwnedElsewhere(k) {
				s.answer(a, "unknown")
			} else {
				s.answer(a, "throttled")
			}
			m.waiting[k] = slices.DeleteFunc(m.waiting[k], func(b *attempt) bool { return b == a })
			if len(m.waiting[k]) == 0 && !s.started[k] && m.starting[k] {
				delete(m.starting, k)
				m.clientInputs = append(m.clientInputs, claims.Input{Kind: claims.AbandonClaim, Key: k})
				s.wakeNow(i)
			}
		})
	})
	return a
}

func (s *simulation) begin(i int, k claims.Key) {
	m := s.machines[i]
	if m.pending[k] {
		delete(m.pending, k)
		m.starting[k] = true
		m.clientInputs = append(m.clientInputs, claims.Input{Kind: claims.RequestStart, Key: k, BodyHash: 7, Remaining: 4_000 * ms, Window: window, Work: []byte{1}, InvocationID: "c"})
		if s.runBeforeStart {
			s.execute(i, k)
		}
		s.wakeNow(i)
	}
}

// execute has the executor hear of a run, after a moment in which the machine may stop or die.
func (s *simulation) execute(i int, k claims.Key) {
	m := s.machines[i]
	s.at(s.now+s.chance.Int63n(2*ms), i, func() {
		var token int
		fmt.Sscanf(k.Token, "t%d", &token)
		s.runs[token]++
		s.started[k] = true
		if s.runs[token] > 1 {
			s.fail("%s ran %d times", k, s.runs[token])
		}
		result := fmt.Sprintf("%s run %d", k, s.runs[token])
		s.at(s.now+s.chance.Int63n(60*ms), i, func() {
			m.clientInputs = append(m.clientInputs, claims.Input{Kind: claims.ReportEnd, Key: k, Result: []byte(result)})
			m.results[k] = result
			s.wakeNow(i)
		})
	})
}

func (s *simulation) applyAction(i int, a *claims.Action) {
	m := s.machines[i]
	switch a.Kind {
	case claims.SendCommands:
		if m.replica != nil {
			m.replicaInputs = append(m.replicaInputs, Input{Claims: a.Commands})
			return
		}
		to := s.members[s.chance.Intn(len(s.members))]
		s.send(i, to, Message{Kind: MessagePropose, From: m.name, Owner: claims.Owner{Name: m.name, Incarnation: m.incarnation}, Commands: a.Commands})
	case claims.StartRun:
		if !m.starting[a.Key] {
			s.fail("%s may run at %s, which does not want it", a.Key, m.name)
		} else if len(m.waiting[a.Key]) == 0 && s.chance.Intn(2) == 0 && !s.runBeforeStart && !s.stable { // nobody waits any more: nothing ran, and nothing will
			delete(m.starting, a.Key)
			m.clientInputs = append(m.clientInputs, claims.Input{Kind: claims.AbandonClaim, Key: a.Key})
		} else if !s.runBeforeStart {
			s.execute(i, a.Key)
		}
	case claims.EndRecorded:
		s.complete(i, a.Key, m.results[a.Key])
	case claims.CompletedElsewhere:
		m.results[a.Key] = string(a.Result)
		s.complete(i, a.Key, string(a.Result))
	case claims.UnknownElsewhere:
		s.complete(i, a.Key, "unknown")
	case claims.BodyMismatch, claims.RejectClaim:
		s.complete(i, a.Key, "throttled")
	case claims.TakeOver:
		s.takeovers++
		m.pending[a.Key] = true
		k := a.Key
		s.at(s.now+s.chance.Int63n(10*ms), i, func() { s.begin(i, k) })
	}
}

func (s *simulation) complete(i int, k claims.Key, got string) {
	m := s.machines[i]
	delete(m.starting, k)
	for _, a := range m.waiting[k] {
		s.answer(a, got)
	}
	delete(m.waiting, k)
}

func (s *simulation) answer(a *attempt, got string) {
	if !a.answered {
		a.answered, a.outcome, a.end = true, got, s.now
	}
}

func (s *simulation) fail(form string, args ...any) {
	s.failures = append(s.failures, fmt.Sprintf(form, args...))
}

// check wants that no fence goes back on any seat's table, but for one that began anew.
func (s *simulation) check(c *Group) {
	if !c.IsLeader() || c.raft.appliedIndex == s.checkedIndex {
		return
	}
	s.checkedIndex = c.raft.appliedIndex
	if term, err := c.raft.storage.Term(c.raft.appliedIndex); err != nil || term != c.raft.node.BasicStatus().GetTerm() {
		return // it has not carried out yet what was agreed on before it led
	}
	for _, m := range s.machines { // one that does not know yet that another leads has an old table
		if m.up && m.replica != nil && m.replica.raft.node.BasicStatus().GetTerm() > c.raft.node.BasicStatus().GetTerm() {
			return
		}
	}
	for _, e := range c.table.List(1 << 20) {
		if before := s.fences[e.Key]; e.Fence > before {
			s.fences[e.Key] = e.Fence
		} else if e.Fence < before && c.IsLeader() && !c.steppedDown() && c.raft.appliedIndex == c.raft.node.BasicStatus().GetCommit() && s.stable {
			s.fail("%s: fence %d after %d", e.Key, e.Fence, before)
		}
	}
}

// linearizable says whether what callers saw of the tokens could have come from one place where each ran at most once.
func (s *simulation) linearizable() bool {
	type input struct{ token int }
	model := porcupine.Model{
		Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
			by := map[int][]porcupine.Operation{}
			for _, o := range history {
				t := o.Input.(input).token
				by[t] = append(by[t], o)
			}
			var all [][]porcupine.Operation
			for _, list := range by {
				all = append(all, list)
			}
			return all
		},
		Init: func() any { return "" },
		Step: func(state, in, out any) (bool, any) {
			got := out.(string)
			switch {
			case got == "unknown" || got == "throttled" || got == "lost":
				return true, state
			case state == "":
				return true, got
			}
			return state == got, state
		},
	}
	var history []porcupine.Operation
	for _, a := range s.attempts {
		if a.answered {
			history = append(history, porcupine.Operation{ClientId: a.client, Input: input{a.token}, Call: a.at, Output: a.outcome, Return: a.end})
		}
	}
	return porcupine.CheckOperations(model, history)
}

// resume has all go on that were paused.
func (s *simulation) resume() {
	for i := range s.machines {
		s.pause(i, false)
	}
}

// cutFrom cuts the way from a machine to some of the others.
func (s *simulation) cutFrom(i int, chance *rand.Rand) {
	for k := range s.machines {
		if k != i && chance.Intn(2) == 0 {
			s.cutLinks[[2]int{i, k}] = true
		}
	}
}

// cutOff cuts the way of all others to a machine, and its way to some of them.
func (s *simulation) cutOff(i int, chance *rand.Rand) {
	for k := range s.machines {
		if k != i {
			s.cutLinks[[2]int{k, i}], s.cutLinks[[2]int{i, k}] = true, chance.Intn(2) == 0
		}
	}
}
