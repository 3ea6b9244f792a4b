package configsync

import (
	"container/heap"
	"fmt"
	"math/rand"
	"slices"
)

// node is a holder with what is around it: its process, its disk, its links.
type node struct {
	name   string
	holder *Replicator
	life   int
	up     bool
	old    bool // of a build that can't take an item whose value says so
	liar   bool
	side   int
	region int
	index  int
	woken  int64
	disk   disk
	before disk // an older state of it
	table  *Table
	seat   bool
	seen   int // entries of the log that its table carried out
	most   uint64

	spent []int64 // bytes in each second, both ways
	inbox []Input
	took  map[uint64]int64
}

// disk is what was kept, and it is as sound as its digest.
type disk struct {
	mark    Revision
	content *Content
}

type happening struct {
	at, seq int64
	do      func()
}

type happenings []happening

func (x happenings) Len() int { return len(x) }
func (x happenings) Less(i, j int) bool {
	return x[i].at < x[j].at || x[i].at == x[j].at && x[i].seq < x[j].seq
}
func (x happenings) Swap(i, j int) { x[i], x[j] = x[j], x[i] }
func (x *happenings) Push(e any)   { *x = append(*x, e.(happening)) }
func (x *happenings) Pop() any     { l := (*x)[len(*x)-1]; *x = (*x)[:len(*x)-1]; return l }

// ordered is a command that the council agreed on.
type ordered struct {
	at int64
	c  *Command
}

// caller puts changes, one after another, at any seat that it reaches.
type caller struct {
	name    string
	side    int
	seq     uint64
	base    uint64
	command *Command // not acknowledged yet
	sent    int64
	acked   []Verdict
	asked   []*Command // as acked
	refused int
}

// world is a small fleet in virtual time: real tables behind a model of an agreed log, real holders on links that lose,
// double, delay and reorder.
type world struct {
	chance   *rand.Rand
	now      int64
	seq      int64
	queue    happenings
	nodes    []*node
	byName   map[string]*node
	seats    int
	entries  []ordered
	order    *Table            // carries out each entry as it is agreed on
	history  map[uint64]Digest // what each agreed version comes to
	putBy    map[string]uint64 // version by caller and number
	stopped  map[uint64]bool
	agreedAt map[uint64]int64
	allAt    map[uint64]int64 // when a version was in force for all at the council
	firstAt  map[uint64]int64
	callers  []*caller
	loss     float64
	double   float64
	late     int64 // ns that a message takes at the most, but for stragglers
	strays   float64
	wrong    string
	mutant   bool // mutation: holders compare no digests
	hasty    bool // mutation: a seat acknowledges before the council agreed
	parted   int  // answers with blocks as their changes
	large    bool // some changes are more than one answer
	file     *Content
	links    [][]int // of each node, as membership's: both sides in four orders of the fleet
	far      int64   // ns that a message takes more between regions
	lag      int64   // of the table's time behind the world's
}

func newWorld(seed int64, nodes, seats, zones int) *world {
	w := &world{chance: rand.New(rand.NewSource(seed)), now: 1_000 * ms, byName: map[string]*node{}, seats: seats, order: NewTable(),
		history: map[uint64]Digest{0: {}}, putBy: map[string]uint64{}, stopped: map[uint64]bool{}, agreedAt: map[uint64]int64{}, allAt: map[uint64]int64{0: 0}, firstAt: map[uint64]int64{},
		late: 40 * ms, file: &Content{}}
	for i := range nodes {
		n := &node{name: fmt.Sprintf("n%d", i), index: i, seat: i < seats, up: true, took: map[uint64]int64{}}
		if n.seat {
			n.table = NewTable()
		}
		w.nodes = append(w.nodes, n)
		w.byName[n.name] = n
	}
	w.links = make([][]int, nodes)
	for range 4 {
		ring := w.chance.Perm(nodes)
		for k, i := range ring {
			for _, j := range [...]int{ring[(k+1)%nodes], ring[(k+nodes-1)%nodes]} {
				if j != i && !slices.Contains(w.links[i], j) {
					w.links[i] = append(w.links[i], j)
				}
			}
		}
	}
	for i := range w.nodes {
		w.start(i, zones)
	}
	w.at(w.now+100*ms, w.tick)
	return w
}

func (w *world) at(at int64, do func()) {
	w.seq++
	heap.Push(&w.queue, happening{max(at, w.now), w.seq, do})
}

func (w *world) run(until int64) {
	for len(w.queue) > 0 && w.queue[0].at <= until && w.wrong == "" {
		e := heap.Pop(&w.queue).(happening)
		w.now = e.at
		e.do()
	}
	w.now = max(w.now, until)
}

func (w *world) fail(format string, args ...any) {
	if w.wrong == "" {
		w.wrong = fmt.Sprintf("at %d ms: ", w.now/ms) + fmt.Sprintf(format, args...)
	}
}

// view is a node's, as membership has it in the end: itself left out, seats that it reaches.
func (w *world) view(i, zones int) *View {
	v := &View{}
	for _, k := range w.links[i] {
		v.Neighbours = append(v.Neighbours, w.nodes[k].name)
	}
	for k, m := range w.nodes {
		if k != i && m.seat {
			v.Seats = append(v.Seats, m.name)
		}
		if k != i && k%zones == i%zones {
			v.Zone = append(v.Zone, m.name)
		}
	}
	return v
}

// start is a new life of a node, from its disk or from the file.
func (w *world) start(i, zones int) {
	n := w.nodes[i]
	n.life++
	n.up, n.woken, n.inbox = true, 0, nil
	start := InitialState{Mark: n.disk.mark, Content: n.disk.content, Source: "disk"}
	if n.disk.content == nil {
		start = InitialState{Content: w.file, Source: "file"}
		n.most = 0
	}
	n.holder = NewReplicator(w.now, ReplicatorConfig{Name: n.name, Seed: w.chance.Int63()}, start)
	n.holder.skipDigests = w.mutant
	n.inbox = append(n.inbox, Input{Kind: Viewed, View: w.view(i, zones)})
	if n.seat {
		n.inbox = append(n.inbox, Input{Kind: Ordered, Agreed: n.table.Agreed()})
	}
	w.wake(i, w.now)
}

func (w *world) crash(i int) {
	n := w.nodes[i]
	n.up = false
	n.life++
}

func (w *world) wake(i int, at int64) {
	n, life := w.nodes[i], w.nodes[i].life
	at = max(at, w.now)
	if n.woken > 0 && n.woken <= at {
		return
	}
	n.woken = at
	w.at(at, func() {
		if n.life == life && n.woken == at && n.up {
			n.woken = 0
			w.step(i)
		}
	})
}

func (w *world) give(i int, in Input) {
	n := w.nodes[i]
	if n.up {
		n.inbox = append(n.inbox, in)
		w.wake(i, w.now)
	}
}

func (n *node) spend(now int64, m *Message) {
	s := int(now / (1_000 * ms))
	for len(n.spent) <= s {
		n.spent = append(n.spent, 0)
	}
	n.spent[s] += int64(m.size())
}

// way has something arrive, or not.
func (w *world) way(from, to *node, do func()) {
	if from.side != to.side || w.chance.Float64() < w.loss {
		return
	}
	delay := func() int64 {
		if w.chance.Float64() < w.strays {
			return w.chance.Int63n(30_000 * ms)
		}
		if from.region != to.region {
			return w.chance.Int63n(w.late) + ms + w.far
		}
		return w.chance.Int63n(w.late) + ms
	}
	arrive := func() {
		if to.side == from.side {
			do()
		}
	}
	w.at(w.now+delay(), arrive)
	if w.chance.Float64() < w.double {
		w.at(w.now+delay(), arrive)
	}
}

func (w *world) step(i int) {
	n := w.nodes[i]
	in := n.inbox
	n.inbox = nil
	effects, next := n.holder.Step(w.now, in)
	for k := range effects {
		w.carry(i, &effects[k])
		if w.wrong != "" {
			return
		}
	}
	for _, p := range n.holder.peers {
		if p.invalidResponses > 0 && !w.byName[p.name].liar {
			w.fail("%s sets %s aside, which is sound", n.name, p.name)
		}
	}
	if next <= w.now {
		w.fail("%s wakes in the past", n.name)
	}
	w.wake(i, next)
}

// carry carries one effect out.
func (w *world) carry(i int, e *Effect) {
	n, life := w.nodes[i], w.nodes[i].life
	to := w.byName[e.To]
	switch e.Kind {
	case Send:
		m := *e.Message
		if n.liar {
			w.twist(&m)
		}
		n.spend(w.now, &m)
		w.way(n, to, func() {
			if to.up {
				to.spend(w.now, &m)
				again := m
				w.give(to.index, Input{Kind: Came, From: n.name, Message: &again})
			}
		})
	case Exchange:
		link, m, done := e.Link, *e.Message, false
		n.spend(w.now, &m)
		w.way(n, to, func() {
			if !to.up || done {
				return
			}
			done = true
			to.spend(w.now, &m)
			key := w.open(i, life, link)
			w.give(to.index, Input{Kind: Asked, From: n.name, Link: key, Message: &m})
		})
		w.at(w.now+4_000*ms, func() {
			if n.life == life {
				w.give(i, Input{Kind: Missed, Link: link})
			}
		})
	case Reply:
		k, life, link := e.Link>>32, e.Link>>16&0xffff, e.Link&0xffff
		to := w.nodes[k]
		m := *e.Message
		if n.liar {
			w.twist(&m)
		}
		if slices.ContainsFunc(m.Blocks, func(b Block) bool { return len(b.Changes) > 0 }) {
			w.parted++
		}
		n.spend(w.now, &m)
		w.way(n, to, func() {
			if to.life&0xffff == life && to.up {
				to.spend(w.now, &m)
				w.give(k, Input{Kind: Answered, Link: link, Message: &m})
			}
		})
	case Take, Check:
		w.take(i, e)
	case Persist:
		n.before = n.disk
		n.disk = disk{e.Mark, e.New}
		if !e.Full { // what records come to is what is in force
			c := n.before.content
			for _, r := range e.Records {
				var err error
				if c, err = c.Apply(r.Changes); err != nil {
					w.fail("%s: record %d on disk: %v", n.name, r.Version, err)
					return
				}
			}
			n.disk.content = c
		}
		if got := n.disk.content.Digest(); got != e.Mark.Digest {
			w.fail("%s keeps %s as version %d, which is %s", n.name, got, e.Mark.Version, e.Mark.Digest)
		}
	case Order:
		w.propose(i, e.Command, nil)
	}
}

// open names an exchange so that its answer finds back.
func (w *world) open(i, life, link int) int { return i<<32 | (life&0xffff)<<16 | link&0xffff }

// take has a version in force at a node, after what a reducer needs, and checks all that must hold of it.
func (w *world) take(i int, e *Effect) {
	n, life, mark := w.nodes[i], w.nodes[i].life, e.Mark
	why := ""
	for item := range e.New.All {
		if n.old && string(item.Value) == `"new"` {
			why = fmt.Sprintf("%s %s is of a later build", item.Part, item.Name)
		}
	}
	if _, agreed := w.history[mark.Version]; !agreed {
		w.fail("%s takes version %d, which nobody agreed on", n.name, mark.Version)
	}
	if w.allAt[mark.Version] == 0 && !e.First {
		w.fail("%s takes version %d for all, which isn't", n.name, mark.Version)
	}
	if w.firstAt[mark.Version] == 0 {
		w.fail("%s takes version %d, which never stood at a stage", n.name, mark.Version)
	}
	sum := Digest{}
	for item := range e.New.All { // computed anew
		sum = sum.plus(hashItem(appendEntry(nil, byte(slices.Index(partNames[:], item.Part)), item.Name, item.Value)))
	}
	if sum != w.history[mark.Version] || sum != mark.Digest {
		w.fail("%s takes %s as version %d, which is %s", n.name, sum, mark.Version, w.history[mark.Version])
	}
	if mark.Version <= n.most {
		w.fail("%s goes from version %d to %d", n.name, n.most, mark.Version)
	}
	old := e.Old
	for d := Diff(e.Old, e.New); ; {
		some := d.Next(3)
		if len(some) == 0 {
			break
		}
		old, _ = old.Apply(some)
	}
	if old.Digest() != sum {
		w.fail("%s: the changes to version %d come to something else", n.name, mark.Version)
	}
	w.at(w.now+w.chance.Int63n(20*ms), func() {
		if n.life == life && n.up {
			if e.Kind == Check {
				w.give(i, Input{Kind: Checked, Mark: mark, Why: why})
				return
			}
			if why == "" {
				n.most = mark.Version
				n.took[mark.Version] = w.now
			}
			w.give(i, Input{Kind: Took, Mark: mark, Why: why})
		}
	})
}

// twist makes a lie of a message.
func (w *world) twist(m *Message) {
	d := Digest{A: w.chance.Uint64(), B: w.chance.Uint64()}
	switch w.chance.Intn(6) {
	case 0:
		m.Head.All = Revision{m.Head.All.Version + uint64(w.chance.Intn(5)), d}
	case 1:
		m.Has = Revision{m.Has.Version + uint64(w.chance.Intn(5)), d}
	case 2:
		m.Head.First, m.Has = Revision{m.Head.First.Version + 1, d}, Revision{m.Head.First.Version + 1, d}
	case 3:
		if m.Kind == Tell {
			m.Kind = Vouch
			m.Head.All = Revision{m.Head.All.Version + 1, d}
		}
	}
	if len(m.Index) > 0 && w.chance.Intn(2) == 0 {
		m.Index = slices.Clone(m.Index)
		m.Index[w.chance.Intn(len(m.Index))]++
	}
	if len(m.Blocks) > 0 && w.chance.Intn(2) == 0 {
		m.Blocks = slices.Clone(m.Blocks)
		if b := &m.Blocks[0]; len(b.Changes) == 0 {
			b.Text = appendEntry(nil, 1, "false", []byte("1"))
		} else if b.Changes = slices.Clone(b.Changes); w.chance.Intn(2) == 0 {
			b.Changes[0].Value = []byte("7")
		} else {
			b.Changes = b.Changes[1:]
		}
	}
	if len(m.Records) > 0 {
		m.Records = slices.Clone(m.Records)
		r := &m.Records[w.chance.Intn(len(m.Records))]
		switch r.Changes = slices.Clone(r.Changes); w.chance.Intn(3) {
		case 0:
			r.Changes = append(r.Changes, Item{Tenants, "false", []byte("1")})
		case 1: // with a digest that fits
			c, _ := (&Content{}).Apply([]Item{{Tenants, "false", []byte("1")}})
			r.Changes = append(r.Changes, Item{Tenants, "false", []byte("1")})
			r.Digest = r.Digest.plus(c.Digest())
		case 2:
			r.Version++
		}
	}
}

// majority says whether a seat is on the side of most seats that are up.
func (w *world) majority(i int) bool {
	together := 0
	for _, n := range w.nodes[:w.seats] {
		if n.up && n.side == w.nodes[i].side {
			together++
		}
	}
	return w.nodes[i].up && together > w.seats/2
}

// propose has the council agree on a command if it can; told is called with what the seat's own table says of it.
func (w *world) propose(i int, c *Command, told func(Verdict)) {
	n, life := w.nodes[i], w.nodes[i].life
	if w.hasty && told != nil && n.up { // mutation
		v := Verdict{From: c.From, Seq: c.Seq, Done: true, Version: n.table.head.Newest + 1}
		told(v)
	}
	w.at(w.now+w.chance.Int63n(w.late)+ms, func() {
		if n.life != life || !w.majority(i) {
			return
		}
		w.lag = min(w.lag+w.chance.Int63n(20*ms), 500*ms)
		if w.chance.Intn(4) == 0 {
			w.lag = 0
		}
		e := ordered{w.now - w.lag, c}
		if k := len(w.entries); k > 0 {
			e.at = max(e.at, w.entries[k-1].at)
		}
		w.agree(e)
		index := len(w.entries)
		w.at(w.now+w.chance.Int63n(w.late)+ms, func() {
			if n.life != life || !n.up || !w.majority(i) {
				return
			}
			v := w.apply(i, index)
			if told != nil {
				told(v)
			}
		})
	})
}

// agree puts an entry on the log, and has the order of the world follow.
func (w *world) agree(e ordered) {
	w.entries = append(w.entries, e)
	before := w.order.Head()
	v := w.order.Apply(e.at, e.c)
	head := w.order.Head()
	if head.Newest < before.Newest || head.All.Version < before.All.Version || head.First.Version < head.All.Version || head.Newest < head.First.Version {
		w.fail("the order goes from %+v to %+v", before, head)
	}
	if head.Newest != before.Newest {
		w.history[head.Newest] = w.order.newest.Digest()
		w.agreedAt[head.Newest] = w.now
	}
	if head.Stopped && !before.Stopped {
		w.stopped[head.First.Version] = true
	}
	if head.All != before.All {
		w.allAt[head.All.Version] = w.now
		if w.stopped[head.All.Version] {
			w.fail("version %d was stopped and is in force for all", head.All.Version)
		}
		if w.firstAt[head.All.Version] == 0 {
			w.firstAt[head.All.Version] = w.now
		}
	}
	if head.First != before.First && w.firstAt[head.First.Version] == 0 {
		w.firstAt[head.First.Version] = w.now
	}
	if v.Done && e.c.From != "" && !e.c.More {
		w.putBy[fmt.Sprint(e.c.From, e.c.Seq)] = v.Version
	}
}

// apply has a seat's table carry out the log up to an index, and gives the last verdict.
func (w *world) apply(i, index int) (v Verdict) {
	n := w.nodes[i]
	moved := false
	for n.seen < index {
		v, moved = n.table.Apply(w.entries[n.seen].at, w.entries[n.seen].c), true
		n.seen++
	}
	if !moved && index > 0 { // carried out before: the same caller and number have the same verdict
		if e := w.entries[index-1]; e.c.From != "" {
			v = n.table.Apply(e.at, e.c)
		}
	}
	if moved {
		w.give(i, Input{Kind: Ordered, Agreed: n.table.Agreed()})
	}
	return v
}

// tick has seats that are together follow the log, order what is due, and callers go on.
func (w *world) tick() {
	for i, n := range w.nodes[:w.seats] {
		if current := w.majority(i) && n.seen == len(w.entries); n.up && current != n.holder.groupCurrent {
			w.give(i, Input{Kind: Stood, Current: current})
		}
		if !w.majority(i) {
			continue
		}
		if n.seen < len(w.entries) && w.chance.Intn(3) > 0 {
			w.apply(i, len(w.entries))
		}
		if c := n.table.Due(w.now - w.lag); c != nil && w.chance.Intn(2) == 0 {
			w.propose(i, c, nil)
		}
	}
	for _, c := range w.callers {
		w.call(c)
	}
	w.at(w.now+100*ms, w.tick)
}

// call sends a caller's command to a seat on its side, again after a while.
func (w *world) call(c *caller) {
	if c.command == nil || w.now < c.sent+1_500*ms && c.sent > 0 {
		return
	}
	c.sent = w.now
	i := w.chance.Intn(w.seats)
	command := c.command
	if n := w.nodes[i]; !n.up || n.side != c.side {
		return
	}
	w.at(w.now+w.chance.Int63n(w.late), func() {
		w.propose(i, command, func(v Verdict) {
			if w.chance.Float64() < w.loss { // the answer is lost
				return
			}
			w.at(w.now+w.chance.Int63n(w.late), func() {
				if c.command == nil || v.Seq != c.command.Seq || w.nodes[i].side != c.side {
					return
				}
				switch {
				case v.Done:
					c.acked, c.asked = append(c.acked, v), append(c.asked, c.command)
					c.base = v.Version
					c.command = nil
				case v.Stale: // made anew on the newest
					c.refused++
					next := *c.command
					c.seq++
					next.Seq, next.Base = c.seq, v.Version
					c.command, c.sent = &next, 0
				default:
					c.refused++
					c.command = nil
				}
			})
		})
	})
}

// put gives a caller something to do, if it has nothing.
func (w *world) put(c *caller, changes ...Item) bool {
	if c.command != nil {
		return false
	}
	c.seq++
	c.command, c.sent = &Command{Kind: Put, From: c.name, Seq: c.seq, Base: c.base, Changes: changes}, 0
	return true
}

func (w *world) back(c *caller, version uint64) {
	c.seq++
	c.command, c.sent = &Command{Kind: Rollback, From: c.name, Seq: c.seq, Version: version}, 0
}

// settled says what isn't as it must be in the end.
func (w *world) settled() string {
	head := w.order.Head()
	if head.Newest == 0 {
		return "" // each goes on with its file
	}
	if head.First != head.All || head.Newest != head.All.Version {
		return fmt.Sprintf("the council is still at a stage: %+v", head)
	}
	for _, n := range w.nodes {
		if n.up && (n.holder.Revision() != head.All || n.holder.Content().Digest() != head.All.Digest) {
			return fmt.Sprintf("%s has version %d, %d is in force for all: %+v", n.name, n.holder.Revision().Version, head.All.Version, n.holder.Status(w.now))
		}
	}
	return ""
}

// check looks at what callers were told, once all is over.
func (w *world) check() {
	for _, c := range w.callers {
		for k, v := range c.acked {
			if got, ok := w.putBy[fmt.Sprint(c.name, c.asked[k].Seq)]; !ok || got != v.Version {
				w.fail("%s was told that %d is version %d; it is %d", c.name, c.asked[k].Seq, v.Version, got)
			}
		}
	}
	for _, n := range w.nodes {
		const window = 15
		for at := 0; at+window <= len(n.spent); at++ {
			sum := int64(0)
			for _, b := range n.spent[at : at+window] {
				sum += b
			}
			if most := int64(burstBytes + maxBlockBytes + Blocks*digestBytes + window*(bytesPerSecond+4_000)); sum > most && !n.liar {
				w.fail("%s: %d bytes in %d s, %d at the most", n.name, sum, window, most)
			}
		}
	}
}
