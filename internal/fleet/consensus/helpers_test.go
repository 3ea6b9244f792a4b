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

// machine is a node of the world: a desk, a seat where it has one, and an executor that dies with it.
type machine struct {
	name    string
	life    uint64
	up      bool
	paused  bool
	seat    *Group
	desk    *claims.Client
	toDesk  []claims.Input
	toSeat  []Input
	asks    map[claims.Key][]*ask // callers that wait
	held    map[claims.Key]bool
	begun   map[claims.Key]bool // the run is wanted
	ended   map[claims.Key]string
	waking  int64
	backlog []event
	decided []configsync.Verdict
	disk    *disk // nil for one that is in memory only; it outlives the machine's lives
}

// ask is one caller's try.
type ask struct {
	token    int
	at, end  int64
	got      string // result, "unknown", "throttled", "lost", or empty while it waits
	client   int
	node     int
	answered bool
}

type event struct {
	at   int64
	seq  int
	node int // -1 for none
	life uint64
	do   func()
}

type events []event

func (x events) Len() int { return len(x) }
func (x events) Less(a, b int) bool {
	return x[a].at < x[b].at || x[a].at == x[b].at && x[a].seq < x[b].seq
}
func (x events) Swap(a, b int) { x[a], x[b] = x[b], x[a] }
func (x *events) Push(e any)   { *x = append(*x, e.(event)) }
func (x *events) Pop() any     { l := (*x)[len(*x)-1]; *x = (*x)[:len(*x)-1]; return l }

// world plays a fleet in virtual time: the true council, desks and planner, with links, executors and callers emulated.
type world struct {
	chance   *rand.Rand
	now      int64
	seq      int
	queue    events
	machines []*machine
	seats    []string
	cut      map[[2]int]bool
	loss     float64
	sane     bool // views follow what is up, and nothing is cut or lost
	runs     map[int]int
	asked    []*ask
	fences   map[claims.Key]uint64
	wrong    []string
	started  map[claims.Key]bool
	rash     bool // mutation: run first, ask for the start after
	careless bool // mutation: fences are not compared
	taken    int
	checked  uint64
	disks    bool                  // seats have disks
	extra    func(i int, c *Group) // done to each seat before it takes part
	resumed  int                   // seats that went on from their disks
	slow     int64                 // ns that a write may take, beside the usual
}

func newWorld(seed int64, nodes, seats int) *world {
	w := &world{chance: rand.New(rand.NewSource(seed)), cut: map[[2]int]bool{}, runs: map[int]int{}, fences: map[claims.Key]uint64{}, started: map[claims.Key]bool{}, now: 1}
	for i := range nodes {
		w.machines = append(w.machines, &machine{name: fmt.Sprint("n", i)})
		if i < seats {
			w.seats = append(w.seats, w.machines[i].name)
		}
	}
	return w
}

func (w *world) at(at int64, node int, do func()) {
	w.seq++
	life := uint64(0)
	if node >= 0 {
		life = w.machines[node].life
	}
	heap.Push(&w.queue, event{max(at, w.now), w.seq, node, life, do})
}

// run plays on. What is for a machine that stands still waits for it; what is for one that died is lost.
func (w *world) run(until int64) {
	for len(w.queue) > 0 && w.queue[0].at <= until && len(w.wrong) == 0 {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		if e.node >= 0 {
			m := w.machines[e.node]
			if !m.up || m.life != e.life {
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

func (w *world) start(i int) {
	m := w.machines[i]
	if m.up {
		return
	}
	*m = machine{name: m.name, disk: m.disk, up: true, life: uint64(w.now)<<8 | uint64(i), asks: map[claims.Key][]*ask{}, held: map[claims.Key]bool{},
		begun: map[claims.Key]bool{}, ended: map[claims.Key]string{}, waking: -1}
	m.desk = claims.NewClient(claims.Owner{Name: m.name, Incarnation: m.life})
	if i < len(w.seats) {
		m.seat = NewGroup(w.seats, m.name, m.life, w.now, w.chance.Int63())
		if w.extra != nil {
			w.extra(i, m.seat)
		}
		if w.disks {
			w.recover(m)
		}
		if w.careless {
			m.seat.alter = func(c *claims.Command, t *claims.Table) {
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
func (w *world) kill(i int) {
	m := w.machines[i]
	if !m.up {
		return
	}
	m.up = false
	if m.disk != nil {
		m.disk.crash(w.chance)
	}
	for _, a := range w.asked {
		if a.node == i {
			w.answer(a, "lost")
		}
	}
}

func (w *world) pause(i int, stop bool) {
	m := w.machines[i]
	if m.paused = stop; !stop {
		late := m.backlog
		m.backlog = nil
		for _, e := range late {
			w.at(w.now, i, e.do)
		}
	}
}

func (w *world) wake(i int, at int64) {
	m := w.machines[i]
	if m.waking >= 0 && m.waking <= at {
		return
	}
	m.waking = at
	w.at(at, i, func() {
		if m.waking == at {
			m.waking = -1
			w.step(i)
		}
	})
}

// soon steps a machine at this moment, after all that happens in it.
func (w *world) soon(i int) { w.wake(i, w.now) }

func (w *world) step(i int) {
	m := w.machines[i]
	next := int64(never)
	for round := 0; round == 0 || len(m.toDesk)+len(m.toSeat) > 0; round++ {
		if m.seat != nil {
			in := m.toSeat
			m.toSeat = nil
			in = append(in, Input{View: w.view(i)})
			effects, wake := m.seat.Step(w.now, in)
			next = min(next, wake)
			for k := range effects {
				switch e := &effects[k]; e.Kind {
				case Send:
					w.send(i, e.To, e.Message)
				case Persist:
					w.persist(i, e.Write)
				}
			}
			w.check(m.seat)
		}
		in := m.toDesk
		m.toDesk = nil
		actions, wake := m.desk.Step(w.now, in)
		next = min(next, wake)
		for k := range actions {
			w.carry(i, &actions[k])
		}
	}
	w.wake(i, next)
}

// view is what a machine holds to be there: the truth some time after, where all is sane, and else drawn.
func (w *world) view(i int) (view []takeover.Member) {
	for k, m := range w.machines {
		alive := m.up && !m.paused
		if !w.sane && w.chance.Intn(20) == 0 {
			alive = !alive
		}
		view = append(view, takeover.Member{Owner: claims.Owner{Name: m.name, Incarnation: m.life}, Alive: alive || k == i, AcceptsWork: true})
	}
	return view
}

// send carries a message over a link, in bytes, as on a real one.
func (w *world) send(from int, to string, m Message) {
	i := slices.IndexFunc(w.machines, func(x *machine) bool { return x.name == to })
	if i < 0 {
		return
	}
	if i != from && (w.cut[[2]int{from, i}] || w.chance.Float64() < w.loss) {
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
		if !w.sane && w.chance.Intn(50) == 0 {
			delay += w.chance.Int63n(300 * ms)
		}
	}
	copies := 1
	if !w.sane && w.chance.Intn(50) == 0 {
		copies = 2
	}
	for range copies {
		w.at(w.now+delay, i, func() {
			got := new(Message)
			if cbor.Unmarshal(text, got) == nil {
				w.got(i, got)
			}
		})
	}
}

func (w *world) got(i int, msg *Message) {
	m := w.machines[i]
	self := claims.Owner{Name: m.name, Incarnation: m.life}
	switch msg.Kind {
	case MessageVerdicts, MessageClaimsEnded, MessageReassignment:
		if msg.Owner != self {
			return
		}
		for k := range msg.Verdicts {
			m.toDesk = append(m.toDesk, claims.Input{Kind: claims.VerdictReceived, Verdict: msg.Verdicts[k]})
		}
		m.decided = append(m.decided, msg.Decided...)
		for _, key := range msg.Keys {
			m.toDesk = append(m.toDesk, claims.Input{Kind: claims.EndNotified, Key: key})
		}
		if e := msg.Entry; e != nil {
			m.toDesk = append(m.toDesk, claims.Input{Kind: claims.ClaimAssigned, Key: e.Key, BodyHash: e.BodyHash, Remaining: msg.Remaining, Window: e.Window, Work: e.Work, InvocationID: e.InvocationID, Fence: e.Fence})
		}
	default:
		if m.seat != nil {
			m.toSeat = append(m.toSeat, Input{Message: msg})
		}
	}
	w.soon(i)
}

func key(token int) claims.Key { return claims.Key{Operation: "hold", Token: fmt.Sprint("t", token)} }

// ask has a caller try a token at a machine, as a node with its module would: claimed at once, begun after a hold.
func (w *world) ask(client, token, i int) *ask {
	a := &ask{token: token, at: w.now, client: client, node: i}
	w.asked = append(w.asked, a)
	m := w.machines[i]
	if !m.up {
		w.answer(a, "lost")
		return a
	}
	w.at(w.now, i, func() {
		k := key(token)
		if got, known := m.ended[k]; known {
			w.answer(a, got)
			return
		}
		if !m.held[k] && !m.begun[k] {
			if !m.desk.Connected() {
				w.answer(a, "throttled")
				return
			}
			m.held[k] = true
			m.toDesk = append(m.toDesk, claims.Input{Kind: claims.RequestClaim, Key: k, BodyHash: 7, Remaining: 4_000 * ms, Window: window, Work: []byte{1}, InvocationID: "c"})
			w.at(w.now+w.chance.Int63n(40*ms), i, func() { w.begin(i, k) })
		}
		m.asks[k] = append(m.asks[k], a)
		w.soon(i)
		w.at(w.now+4_000*ms, i, func() {
			if a.answered {
				return
			}
			if m.desk.OwnedElsewhere(k) {
				w.answer(a, "unknown")
			} else {
				w.answer(a, "throttled")
			}
			m.asks[k] = slices.DeleteFunc(m.asks[k], func(b *ask) bool { return b == a })
			if len(m.asks[k]) == 0 && !w.started[k] && m.begun[k] {
				delete(m.begun, k)
				m.toDesk = append(m.toDesk, claims.Input{Kind: claims.AbandonClaim, Key: k})
				w.soon(i)
			}
		})
	})
	return a
}

func (w *world) begin(i int, k claims.Key) {
	m := w.machines[i]
	if m.held[k] {
		delete(m.held, k)
		m.begun[k] = true
		m.toDesk = append(m.toDesk, claims.Input{Kind: claims.RequestStart, Key: k, BodyHash: 7, Remaining: 4_000 * ms, Window: window, Work: []byte{1}, InvocationID: "c"})
		if w.rash {
			w.execute(i, k)
		}
		w.soon(i)
	}
}

// execute has the executor hear of a run, after a moment in which the machine may stop or die.
func (w *world) execute(i int, k claims.Key) {
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
			m.toDesk = append(m.toDesk, claims.Input{Kind: claims.ReportEnd, Key: k, Result: []byte(result)})
			m.ended[k] = result
			w.soon(i)
		})
	})
}

func (w *world) carry(i int, a *claims.Action) {
	m := w.machines[i]
	switch a.Kind {
	case claims.SendCommands:
		if m.seat != nil {
			m.toSeat = append(m.toSeat, Input{Claims: a.Commands})
			return
		}
		to := w.seats[w.chance.Intn(len(w.seats))]
		w.send(i, to, Message{Kind: MessagePropose, From: m.name, Owner: claims.Owner{Name: m.name, Incarnation: m.life}, Commands: a.Commands})
	case claims.StartRun:
		if !m.begun[a.Key] {
			w.fail("%s may run at %s, which does not want it", a.Key, m.name)
		} else if len(m.asks[a.Key]) == 0 && w.chance.Intn(2) == 0 && !w.rash && !w.sane { // nobody waits any more: nothing ran, and nothing will
			delete(m.begun, a.Key)
			m.toDesk = append(m.toDesk, claims.Input{Kind: claims.AbandonClaim, Key: a.Key})
		} else if !w.rash {
			w.execute(i, a.Key)
		}
	case claims.EndRecorded:
		w.over(i, a.Key, m.ended[a.Key])
	case claims.CompletedElsewhere:
		m.ended[a.Key] = string(a.Result)
		w.over(i, a.Key, string(a.Result))
	case claims.UnknownElsewhere:
		w.over(i, a.Key, "unknown")
	case claims.BodyMismatch, claims.RejectClaim:
		w.over(i, a.Key, "throttled")
	case claims.TakeOver:
		w.taken++
		m.held[a.Key] = true
		k := a.Key
		w.at(w.now+w.chance.Int63n(10*ms), i, func() { w.begin(i, k) })
	}
}

func (w *world) over(i int, k claims.Key, got string) {
	m := w.machines[i]
	delete(m.begun, k)
	for _, a := range m.asks[k] {
		w.answer(a, got)
	}
	delete(m.asks, k)
}

func (w *world) answer(a *ask, got string) {
	if !a.answered {
		a.answered, a.got, a.end = true, got, w.now
	}
}

func (w *world) fail(form string, args ...any) { w.wrong = append(w.wrong, fmt.Sprintf(form, args...)) }

// check wants that no fence goes back on any seat's table, but for one that began anew.
func (w *world) check(c *Group) {
	if !c.leads() || c.applied == w.checked {
		return
	}
	w.checked = c.applied
	if term, err := c.storage.Term(c.applied); err != nil || term != c.node.BasicStatus().GetTerm() {
		return // it has not carried out yet what was agreed on before it led
	}
	for _, m := range w.machines { // one that does not know yet that another leads has an old table
		if m.up && m.seat != nil && m.seat.node.BasicStatus().GetTerm() > c.node.BasicStatus().GetTerm() {
			return
		}
	}
	for _, e := range c.table.List(1 << 20) {
		if before := w.fences[e.Key]; e.Fence > before {
			w.fences[e.Key] = e.Fence
		} else if e.Fence < before && c.leads() && !c.muted() && c.applied == c.node.BasicStatus().GetCommit() && w.sane {
			w.fail("%s: fence %d after %d", e.Key, e.Fence, before)
		}
	}
}

// linear says whether what callers saw of the tokens could have come from one place where each ran at most once.
func (w *world) linear() bool {
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
	for _, a := range w.asked {
		if a.answered {
			history = append(history, porcupine.Operation{ClientId: a.client, Input: input{a.token}, Call: a.at, Output: a.got, Return: a.end})
		}
	}
	return porcupine.CheckOperations(model, history)
}

// resume has all go on that were paused.
func (w *world) resume() {
	for i := range w.machines {
		w.pause(i, false)
	}
}

// cutFrom cuts the way from a machine to some of the others.
func (w *world) cutFrom(i int, chance *rand.Rand) {
	for k := range w.machines {
		if k != i && chance.Intn(2) == 0 {
			w.cut[[2]int{i, k}] = true
		}
	}
}

// cutOff cuts the way of all others to a machine, and its way to some of them.
func (w *world) cutOff(i int, chance *rand.Rand) {
	for k := range w.machines {
		if k != i {
			w.cut[[2]int{k, i}], w.cut[[2]int{i, k}] = true, chance.Intn(2) == 0
		}
	}
}
