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
	w := &simulation{chance: rand.New(rand.NewSource(seed)), cutLinks: map[[2]int]bool{}, runs: map[int]int{}, fences: map[claims.Key]uint64{}, started: map[claims.Key]bool{}, now: 1}
	for i := range nodes {
		w.machines = append(w.machines, &simNode{name: fmt.Sprint("n", i)})
		if i < seats {
			w.members = append(w.members, w.machines[i].name)
		}
	}
	return w
}

func (w *simulation) at(at int64, node int, do func()) {
	w.seq++
	life := uint64(0)
	if node >= 0 {
		life = w.machines[node].incarnation
	}
	heap.Push(&w.queue, event{max(at, w.now), w.seq, node, life, do})
}

// run plays on. What is for a machine that stands still waits for it; what is for one that died is lost.
func (w *simulation) run(until int64) {
	for len(w.queue) > 0 && w.queue[0].at <= until && len(w.failures) == 0 {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		if e.node >= 0 {
			m := w.machines[e.node]
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
	w.now = until
}

func (w *simulation) start(i int) {
	m := w.machines[i]
	if m.up {
		return
	}
	*m = simNode{name: m.name, disk: m.disk, up: true, incarnation: uint64(w.now)<<8 | uint64(i), waiting: map[claims.Key][]*attempt{}, pending: map[claims.Key]bool{},
		starting: map[claims.Key]bool{}, results: map[claims.Key]string{}, wakeAt: -1}
	m.client = claims.NewClient(claims.Owner{Name: m.name, Incarnation: m.incarnation})
	if i < len(w.members) {
		m.replica = NewGroup(w.members, m.name, m.incarnation, w.now, w.chance.Int63())
		if w.configure != nil {
			w.configure(i, m.replica)
		}
		if w.disks {
			w.recover(m)
		}
		if w.ignoreFences {
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
	w.wake(i, w.now)
}

// kill ends a machine: its callers learn that their connection broke.
func (w *simulation) kill(i int) {
	m := w.machines[i]
	if !m.up {
		return
	}
	m.up = false
	if m.disk != nil {
		m.disk.crash(w.chance)
	}
	for _, a := range w.attempts {
		if a.node == i {
			w.answer(a, "lost")
		}
	}
}

func (w *simulation) pause(i int, stop bool) {
	m := w.machines[i]
	if m.paused = stop; !stop {
		late := m.backlog
		m.backlog = nil
		for _, e := range late {
			w.at(w.now, i, e.do)
		}
	}
}

func (w *simulation) wake(i int, at int64) {
	m := w.machines[i]
	if m.wakeAt >= 0 && m.wakeAt <= at {
		return
	}
	m.wakeAt = at
	w.at(at, i, func() {
		if m.wakeAt == at {
			m.wakeAt = -1
			w.step(i)
		}
	})
}

// wakeNow steps a machine at this moment, after all that happens in it.
func (w *simulation) wakeNow(i int) { w.wake(i, w.now) }

func (w *simulation) step(i int) {
	m := w.machines[i]
	next := int64(never)
	for round := 0; round == 0 || len(m.clientInputs)+len(m.replicaInputs) > 0; round++ {
		if m.replica != nil {
			in := m.replicaInputs
			m.replicaInputs = nil
			in = append(in, Input{View: w.view(i)})
			effects, wake := m.replica.Step(w.now, in)
			next = min(next, wake)
			for k := range effects {
				switch e := &effects[k]; e.Kind {
				case Send:
					w.send(i, e.To, e.Message)
				case Persist:
					w.persist(i, e.Write)
				}
			}
			w.check(m.replica)
		}
		in := m.clientInputs
		m.clientInputs = nil
		actions, wake := m.client.Step(w.now, in)
		next = min(next, wake)
		for k := range actions {
			w.applyAction(i, &actions[k])
		}
	}
	w.wake(i, next)
}

// view is what a machine holds to be there: the truth some time after, where all is sane, and else drawn.
func (w *simulation) view(i int) (view []takeover.Member) {
	for k, m := range w.machines {
		alive := m.up && !m.paused
		if !w.stable && w.chance.Intn(20) == 0 {
			alive = !alive
		}
		view = append(view, takeover.Member{Owner: claims.Owner{Name: m.name, Incarnation: m.incarnation}, Alive: alive || k == i, AcceptsWork: true})
	}
	return view
}

// send carries a message over a link, in bytes, as on a real one.
func (w *simulation) send(from int, to string, m Message) {
	i := slices.IndexFunc(w.machines, func(x *simNode) bool { return x.name == to })
	if i < 0 {
		return
	}
	if i != from && (w.cutLinks[[2]int{from, i}] || w.chance.Float64() < w.loss) {
		return
	}
	text, err := cbor.Marshal(m)
	if err != nil {
		w.fail("a message can't be written: %v", err)
		return
	}
	delay := int64(0)
	if i != from {
		delay = ms/5 + w.chance.Int63n(ms)
		if !w.stable && w.chance.Intn(50) == 0 {
			delay += w.chance.Int63n(300 * ms)
		}
	}
	copies := 1
	if !w.stable && w.chance.Intn(50) == 0 {
		copies = 2
	}
	for range copies {
		w.at(w.now+delay, i, func() {
			got := new(Message)
			if cbor.Unmarshal(text, got) == nil {
				w.receive(i, got)
			}
		})
	}
}

func (w *simulation) receive(i int, msg *Message) {
	m := w.machines[i]
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
	w.wakeNow(i)
}

func key(token int) claims.Key { return claims.Key{Operation: "hold", Token: fmt.Sprint("t", token)} }

// ask has a caller try a token at a machine, as a node with its module would: claimed at once, begun after a hold.
func (w *simulation) ask(client, token, i int) *attempt {
	a := &attempt{token: token, at: w.now, client: client, node: i}
	w.attempts = append(w.attempts, a)
	m := w.machines[i]
	if !m.up {
		w.answer(a, "lost")
		return a
	}
	w.at(w.now, i, func() {
		k := key(token)
		if got, known := m.results[k]; known {
			w.answer(a, got)
			return
		}
		if !m.pending[k] && !m.starting[k] {
			if !m.client.Connected() {
				w.answer(a, "throttled")
				return
			}
			m.pending[k] = true
			m.clientInputs = append(m.clientInputs, claims.Input{Kind: claims.RequestClaim, Key: k, BodyHash: 7, Remaining: 4_000 * ms, Window: window, Work: []byte{1}, InvocationID: "c"})
			w.at(w.now+w.chance.Int63n(40*ms), i, func() { w.begin(i, k) })
		}
		m.waiting[k] = append(m.waiting[k], a)
		w.wakeNow(i)
		w.at(w.now+4_000*ms, i, func() {
			if a.answered {
				return
			}
			if m.client.OwnedElsewhere(k) {
				w.answer(a, "unknown")
			} else {
				w.answer(a, "throttled")
			}
			m.waiting[k] = slices.DeleteFunc(m.waiting[k], func(b *attempt) bool { return b == a })
			if len(m.waiting[k]) == 0 && !w.started[k] && m.starting[k] {
				delete(m.starting, k)
				m.clientInputs = append(m.clientInputs, claims.Input{Kind: claims.AbandonClaim, Key: k})
				w.wakeNow(i)
			}
		})
	})
	return a
}

func (w *simulation) begin(i int, k claims.Key) {
	m := w.machines[i]
	if m.pending[k] {
		delete(m.pending, k)
		m.starting[k] = true
		m.clientInputs = append(m.clientInputs, claims.Input{Kind: claims.RequestStart, Key: k, BodyHash: 7, Remaining: 4_000 * ms, Window: window, Work: []byte{1}, InvocationID: "c"})
		if w.runBeforeStart {
			w.execute(i, k)
		}
		w.wakeNow(i)
	}
}

// execute has the executor hear of a run, after a moment in which the machine may stop or die.
func (w *simulation) execute(i int, k claims.Key) {
	m := w.machines[i]
	w.at(w.now+w.chance.Int63n(2*ms), i, func() {
		var token int
		fmt.Sscanf(k.Token, "t%d", &token)
		w.runs[token]++
		w.started[k] = true
		if w.runs[token] > 1 {
			w.fail("%s ran %d times", k, w.runs[token])
		}
		result := fmt.Sprintf("%s run %d", k, w.runs[token])
		w.at(w.now+w.chance.Int63n(60*ms), i, func() {
			m.clientInputs = append(m.clientInputs, claims.Input{Kind: claims.ReportEnd, Key: k, Result: []byte(result)})
			m.results[k] = result
			w.wakeNow(i)
		})
	})
}

func (w *simulation) applyAction(i int, a *claims.Action) {
	m := w.machines[i]
	switch a.Kind {
	case claims.SendCommands:
		if m.replica != nil {
			m.replicaInputs = append(m.replicaInputs, Input{Claims: a.Commands})
			return
		}
		to := w.members[w.chance.Intn(len(w.members))]
		w.send(i, to, Message{Kind: MessagePropose, From: m.name, Owner: claims.Owner{Name: m.name, Incarnation: m.incarnation}, Commands: a.Commands})
	case claims.StartRun:
		if !m.starting[a.Key] {
			w.fail("%s may run at %s, which does not want it", a.Key, m.name)
		} else if len(m.waiting[a.Key]) == 0 && w.chance.Intn(2) == 0 && !w.runBeforeStart && !w.stable { // nobody waits any more: nothing ran, and nothing will
			delete(m.starting, a.Key)
			m.clientInputs = append(m.clientInputs, claims.Input{Kind: claims.AbandonClaim, Key: a.Key})
		} else if !w.runBeforeStart {
			w.execute(i, a.Key)
		}
	case claims.EndRecorded:
		w.complete(i, a.Key, m.results[a.Key])
	case claims.CompletedElsewhere:
		m.results[a.Key] = string(a.Result)
		w.complete(i, a.Key, string(a.Result))
	case claims.UnknownElsewhere:
		w.complete(i, a.Key, "unknown")
	case claims.BodyMismatch, claims.RejectClaim:
		w.complete(i, a.Key, "throttled")
	case claims.TakeOver:
		w.takeovers++
		m.pending[a.Key] = true
		k := a.Key
		w.at(w.now+w.chance.Int63n(10*ms), i, func() { w.begin(i, k) })
	}
}

func (w *simulation) complete(i int, k claims.Key, got string) {
	m := w.machines[i]
	delete(m.starting, k)
	for _, a := range m.waiting[k] {
		w.answer(a, got)
	}
	delete(m.waiting, k)
}

func (w *simulation) answer(a *attempt, got string) {
	if !a.answered {
		a.answered, a.outcome, a.end = true, got, w.now
	}
}

func (w *simulation) fail(form string, args ...any) {
	w.failures = append(w.failures, fmt.Sprintf(form, args...))
}

// check wants that no fence goes back on any seat's table, but for one that began anew.
func (w *simulation) check(c *Group) {
	if !c.isLeader() || c.appliedIndex == w.checkedIndex {
		return
	}
	w.checkedIndex = c.appliedIndex
	if term, err := c.storage.Term(c.appliedIndex); err != nil || term != c.node.BasicStatus().GetTerm() {
		return // it has not carried out yet what was agreed on before it led
	}
	for _, m := range w.machines { // one that does not know yet that another leads has an old table
		if m.up && m.replica != nil && m.replica.node.BasicStatus().GetTerm() > c.node.BasicStatus().GetTerm() {
			return
		}
	}
	for _, e := range c.table.List(1 << 20) {
		if before := w.fences[e.Key]; e.Fence > before {
			w.fences[e.Key] = e.Fence
		} else if e.Fence < before && c.isLeader() && !c.steppedDown() && c.appliedIndex == c.node.BasicStatus().GetCommit() && w.stable {
			w.fail("%s: fence %d after %d", e.Key, e.Fence, before)
		}
	}
}

// linearizable says whether what callers saw of the tokens could have come from one place where each ran at most once.
func (w *simulation) linearizable() bool {
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
	for _, a := range w.attempts {
		if a.answered {
			history = append(history, porcupine.Operation{ClientId: a.client, Input: input{a.token}, Call: a.at, Output: a.outcome, Return: a.end})
		}
	}
	return porcupine.CheckOperations(model, history)
}

// resume has all go on that were paused.
func (w *simulation) resume() {
	for i := range w.machines {
		w.pause(i, false)
	}
}

// cutFrom cuts the way from a machine to some of the others.
func (w *simulation) cutFrom(i int, chance *rand.Rand) {
	for k := range w.machines {
		if k != i && chance.Intn(2) == 0 {
			w.cutLinks[[2]int{i, k}] = true
		}
	}
}

// cutOff cuts the way of all others to a machine, and its way to some of them.
func (w *simulation) cutOff(i int, chance *rand.Rand) {
	for k := range w.machines {
		if k != i {
			w.cutLinks[[2]int{k, i}], w.cutLinks[[2]int{i, k}] = true, chance.Intn(2) == 0
		}
	}
}
