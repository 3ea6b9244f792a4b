package configsync

import (
	"container/heap"
	"fmt"
	"math/rand"
	"slices"
)

// simNode is a holder with what is around it: its process, its disk, its links.
type simNode struct {
	name           string
	replicator     *Replicator
	incarnation    int
	up             bool
	olderBuild     bool // of a build that can't take an item whose value says so
	faulty         bool
	partition      int
	region         int
	index          int
	wakeAt         int64
	disk           simDisk
	olderDisk      simDisk // an older state of it
	table          *Table
	isReplica      bool
	appliedEntries int // entries of the log that its table carried out
	maxVersion     uint64

	bytesBySecond []int64 // bytes in each second, both ways
	inbox         []Input
	appliedAt     map[uint64]int64
}

// simDisk is what was kept, and it is as sound as its digest.
type simDisk struct {
	revision Revision
	content  *Content
}

type event struct {
	at, seq int64
	do      func()
}

type eventQueue []event

func (x eventQueue) Len() int { return len(x) }
func (x eventQueue) Less(i, j int) bool {
	return x[i].at < x[j].at || x[i].at == x[j].at && x[i].seq < x[j].seq
}
func (x eventQueue) Swap(i, j int) { x[i], x[j] = x[j], x[i] }
func (x *eventQueue) Push(e any)   { *x = append(*x, e.(event)) }
func (x *eventQueue) Pop() any     { l := (*x)[len(*x)-1]; *x = (*x)[:len(*x)-1]; return l }

// logEntry is a command that the council agreed on.
type logEntry struct {
	at      int64
	command *Command
}

// caller puts changes, one after another, at any seat that it reaches.
type caller struct {
	name         string
	side         int
	seq          uint64
	base         uint64
	command      *Command // not acknowledged yet
	sentAt       int64
	verdicts     []Verdict
	acknowledged []*Command // as acked
	refusals     int
}

// simulation is a small fleet in virtual time: real tables behind a model of an agreed log, real holders on links that lose,
// double, delay and reorder.
type simulation struct {
	random           *rand.Rand
	now              int64
	seq              int64
	queue            eventQueue
	nodes            []*simNode
	byName           map[string]*simNode
	replicas         int
	log              []logEntry
	agreed           *Table            // carries out each entry as it is agreed on
	digests          map[uint64]Digest // what each agreed version comes to
	versionOf        map[string]uint64 // version by caller and number
	stopped          map[uint64]bool
	agreedAt         map[uint64]int64
	allAt            map[uint64]int64 // when a version was in force for all at the council
	canaryAt         map[uint64]int64
	callers          []*caller
	loss             float64
	duplication      float64
	maxDelay         int64 // ns that a message takes at the most, but for stragglers
	stragglers       float64
	failure          string
	skipDigests      bool // mutation: holders compare no digests
	acknowledgeEarly bool // mutation: a seat acknowledges before the council agreed
	deltaAnswers     int  // answers with blocks as their changes
	largeChanges     bool // some changes are more than one answer
	file             *Content
	links            [][]int // of each node, as membership's: both sides in four orders of the fleet
	regionDelay      int64   // ns that a message takes more between regions
	tableLag         int64   // of the table's time behind the world's
}

func newSimulation(seed int64, nodes, seats, zones int) *simulation {
	w := &simulation{random: rand.New(rand.NewSource(seed)), now: 1_000 * ms, byName: map[string]*simNode{}, replicas: seats, agreed: NewTable(),
		digests: map[uint64]Digest{0: {}}, versionOf: map[string]uint64{}, stopped: map[uint64]bool{}, agreedAt: map[uint64]int64{}, allAt: map[uint64]int64{0: 0}, canaryAt: map[uint64]int64{},
		maxDelay: 40 * ms, file: &Content{}}
	for i := range nodes {
		n := &simNode{name: fmt.Sprintf("n%d", i), index: i, isReplica: i < seats, up: true, appliedAt: map[uint64]int64{}}
		if n.isReplica {
			n.table = NewTable()
		}
		w.nodes = append(w.nodes, n)
		w.byName[n.name] = n
	}
	w.links = make([][]int, nodes)
	for range 4 {
		ring := w.random.Perm(nodes)
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

func (s *simulation) at(at int64, do func()) {
	s.seq++
	heap.Push(&s.queue, event{max(at, s.now), s.seq, do})
}

func (s *simulation) run(until int64) {
	for len(s.queue) > 0 && s.queue[0].at <= until && s.failure == "" {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.do()
	}
	s.now = max(s.now, until)
}

func (s *simulation) fail(format string, args ...any) {
	if s.failure == "" {
		s.failure = fmt.Sprintf("at %d ms: ", s.now/ms) + fmt.Sprintf(format, args...)
	}
}

// view is a node's, as membership has it in the end: itself left out, seats that it reaches.
func (s *simulation) view(i, zones int) *View {
	v := &View{}
	for _, k := range s.links[i] {
		v.Neighbours = append(v.Neighbours, s.nodes[k].name)
	}
	for k, m := range s.nodes {
		if k != i && m.isReplica {
			v.Seats = append(v.Seats, m.name)
		}
		if k != i && k%zones == i%zones {
			v.Zone = append(v.Zone, m.name)
		}
	}
	return v
}

// start is a new life of a node, from its disk or from the file.
func (s *simulation) start(i, zones int) {
	n := s.nodes[i]
	n.incarnation++
	n.up, n.wakeAt, n.inbox = true, 0, nil
	start := InitialState{Mark: n.disk.revision, Content: n.disk.content, Source: "disk"}
	if n.disk.content == nil {
		start = InitialState{Content: s.file, Source: "file"}
		n.maxVersion = 0
	}
	n.replicator = NewReplicator(s.now, ReplicatorConfig{Name: n.name, Seed: s.random.Int63()}, start)
	n.replicator.skipDigests = s.skipDigests
	n.inbox = append(n.inbox, Input{Kind: Viewed, View: s.view(i, zones)})
	if n.isReplica {
		n.inbox = append(n.inbox, Input{Kind: Ordered, Agreed: n.table.Agreed()})
	}
	s.wake(i, s.now)
}

func (s *simulation) crash(i int) {
	n := s.nodes[i]
	n.up = false
	n.incarnation++
}

func (s *simulation) wake(i int, at int64) {
	n, life := s.nodes[i], s.nodes[i].incarnation
	at = max(at, s.now)
	if n.wakeAt > 0 && n.wakeAt <= at {
		return
	}
	n.wakeAt = at
	s.at(at, func() {
		if n.incarnation == life && n.wakeAt == at && n.up {
			n.wakeAt = 0
			s.step(i)
		}
	})
}

func (s *simulation) deliver(i int, in Input) {
	n := s.nodes[i]
	if n.up {
		n.inbox = append(n.inbox, in)
		s.wake(i, s.now)
	}
}

func (n *simNode) countBytes(now int64, m *Message) {
	s := int(now / (1_000 * ms))
	for len(n.bytesBySecond) <= s {
		n.bytesBySecond = append(n.bytesBySecond, 0)
	}
	n.bytesBySecond[s] += int64(m.size())
}

// transmit has something arrive, or not.
func (s *simulation) transmit(from, to *simNode, do func()) {
	if from.partition != to.partition || s.random.Float64() < s.loss {
		return
	}
	delay := func() int64 {
		if s.random.Float64() < s.stragglers {
			return s.random.Int63n(30_000 * ms)
		}
		if from.region != to.region {
			return s.random.Int63n(s.maxDelay) + ms + s.regionDelay
		}
		return s.random.Int63n(s.maxDelay) + ms
	}
	arrive := func() {
		if to.partition == from.partition {
			do()
		}
	}
	s.at(s.now+delay(), arrive)
	if s.random.Float64() < s.duplication {
		s.at(s.now+delay(), arrive)
	}
}

func (s *simulation) step(i int) {
	n := s.nodes[i]
	in := n.inbox
	n.inbox = nil
	effects, next := n.replicator.Step(s.now, in)
	for k := range effects {
		s.execute(i, &effects[k])
		if s.failure != "" {
			return
		}
	}
	for _, p := range n.replicator.peers {
		if p.invalidResponses > 0 && !s.byName[p.name].faulty {
			s.fail("%s sets %s aside, which is sound", n.name, p.name)
		}
	}
	if next <= s.now {
		s.fail("%s wakes in the past", n.name)
	}
	s.wake(i, next)
}

// execute carries one effect out.
func (s *simulation) execute(i int, e *Effect) {
	n, life := s.nodes[i], s.nodes[i].incarnation
	to := s.byName[e.To]
	switch e.Kind {
	case Send:
		m := *e.Message
		if n.faulty {
			s.corrupt(&m)
		}
		n.countBytes(s.now, &m)
		s.transmit(n, to, func() {
			if to.up {
				to.countBytes(s.now, &m)
				again := m
				s.deliver(to.index, Input{Kind: Came, From: n.name, Message: &again})
			}
		})
	case Exchange:
		link, m, done := e.Link, *e.Message, false
		n.countBytes(s.now, &m)
		s.transmit(n, to, func() {
			if !to.up || done {
				return
			}
			done = true
			to.countBytes(s.now, &m)
			key := s.linkOf(i, life, link)
			s.deliver(to.index, Input{Kind: Asked, From: n.name, Link: key, Message: &m})
		})
		s.at(s.now+4_000*ms, func() {
			if n.incarnation == life {
				s.deliver(i, Input{Kind: Missed, Link: link})
			}
		})
	case Reply:
		k, life, link := e.Link>>32, e.Link>>16&0xffff, e.Link&0xffff
		to := s.nodes[k]
		m := *e.Message
		if n.faulty {
			s.corrupt(&m)
		}
		if slices.ContainsFunc(m.Blocks, func(b Block) bool { return len(b.Changes) > 0 }) {
			s.deltaAnswers++
		}
		n.countBytes(s.now, &m)
		s.transmit(n, to, func() {
			if to.incarnation&0xffff == life && to.up {
				to.countBytes(s.now, &m)
				s.deliver(k, Input{Kind: Answered, Link: link, Message: &m})
			}
		})
	case Take, Check:
		s.applyVersion(i, e)
	case Persist:
		n.olderDisk = n.disk
		n.disk = simDisk{e.Mark, e.New}
		if !e.Full { // what records come to is what is in force
			c := n.olderDisk.content
			for _, r := range e.Records {
				var err error
				if c, err = c.Apply(r.Changes); err != nil {
					s.fail("%s: record %d on disk: %v", n.name, r.Version, err)
					return
				}
			}
			n.disk.content = c
		}
		if got := n.disk.content.Digest(); got != e.Mark.Digest {
			s.fail("%s keeps %s as version %d, which is %s", n.name, got, e.Mark.Version, e.Mark.Digest)
		}
	case Order:
		s.propose(i, e.Command, nil)
	}
}

// linkOf names an exchange so that its answer finds back.
func (s *simulation) linkOf(i, life, link int) int { return i<<32 | (life&0xffff)<<16 | link&0xffff }

// applyVersion has a version in force at a node, after what a reducer needs, and checks all that must hold of it.
func (s *simulation) applyVersion(i int, e *Effect) {
	n, life, revision := s.nodes[i], s.nodes[i].incarnation, e.Mark
	why := ""
	for item := range e.New.All {
		if n.olderBuild && string(item.Value) == `"new"` {
			why = fmt.Sprintf("%s %s is of a later build", item.Part, item.Name)
		}
	}
	if _, agreed := s.digests[revision.Version]; !agreed {
		s.fail("%s takes version %d, which nobody agreed on", n.name, revision.Version)
	}
	if s.allAt[revision.Version] == 0 && !e.First {
		s.fail("%s takes version %d for all, which isn't", n.name, revision.Version)
	}
	if s.canaryAt[revision.Version] == 0 {
		s.fail("%s takes version %d, which never stood at a stage", n.name, revision.Version)
	}
	sum := Digest{}
	for item := range e.New.All { // computed anew
		sum = sum.plus(hashItem(appendEntry(nil, byte(slices.Index(partNames[:], item.Part)), item.Name, item.Value)))
	}
	if sum != s.digests[revision.Version] || sum != revision.Digest {
		s.fail("%s takes %s as version %d, which is %s", n.name, sum, revision.Version, s.digests[revision.Version])
	}
	if revision.Version <= n.maxVersion {
		s.fail("%s goes from version %d to %d", n.name, n.maxVersion, revision.Version)
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
		s.fail("%s: the changes to version %d come to something else", n.name, revision.Version)
	}
	s.at(s.now+s.random.Int63n(20*ms), func() {
		if n.incarnation == life && n.up {
			if e.Kind == Check {
				s.deliver(i, Input{Kind: Checked, Mark: revision, Why: why})
				return
			}
			if why == "" {
				n.maxVersion = revision.Version
				n.appliedAt[revision.Version] = s.now
			}
			s.deliver(i, Input{Kind: Took, Mark: revision, Why: why})
		}
	})
}

// corrupt makes a lie of a message.
func (s *simulation) corrupt(m *Message) {
	d := Digest{A: s.random.Uint64(), B: s.random.Uint64()}
	switch s.random.Intn(6) {
	case 0:
		m.Head.All = Revision{m.Head.All.Version + uint64(s.random.Intn(5)), d}
	case 1:
		m.Has = Revision{m.Has.Version + uint64(s.random.Intn(5)), d}
	case 2:
		m.Head.First, m.Has = Revision{m.Head.First.Version + 1, d}, Revision{m.Head.First.Version + 1, d}
	case 3:
		if m.Kind == Tell {
			m.Kind = Vouch
			m.Head.All = Revision{m.Head.All.Version + 1, d}
		}
	}
	if len(m.Index) > 0 && s.random.Intn(2) == 0 {
		m.Index = slices.Clone(m.Index)
		m.Index[s.random.Intn(len(m.Index))]++
	}
	if len(m.Blocks) > 0 && s.random.Intn(2) == 0 {
		m.Blocks = slices.Clone(m.Blocks)
		if b := &m.Blocks[0]; len(b.Changes) == 0 {
			b.Text = appendEntry(nil, 1, "false", []byte("1"))
		} else if b.Changes = slices.Clone(b.Changes); s.random.Intn(2) == 0 {
			b.Changes[0].Value = []byte("7")
		} else {
			b.Changes = b.Changes[1:]
		}
	}
	if len(m.Records) > 0 {
		m.Records = slices.Clone(m.Records)
		r := &m.Records[s.random.Intn(len(m.Records))]
		switch r.Changes = slices.Clone(r.Changes); s.random.Intn(3) {
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

// inMajority says whether a seat is on the side of most seats that are up.
func (s *simulation) inMajority(i int) bool {
	together := 0
	for _, n := range s.nodes[:s.replicas] {
		if n.up && n.partition == s.nodes[i].partition {
			together++
		}
	}
	return s.nodes[i].up && together > s.replicas/2
}

// propose has the council agree on a command if it can; told is called with what the seat's own table says of it.
func (s *simulation) propose(i int, c *Command, told func(Verdict)) {
	n, life := s.nodes[i], s.nodes[i].incarnation
	if s.acknowledgeEarly && told != nil && n.up { // mutation
		v := Verdict{From: c.From, Seq: c.Seq, Done: true, Version: n.table.head.Newest + 1}
		told(v)
	}
	s.at(s.now+s.random.Int63n(s.maxDelay)+ms, func() {
		if n.incarnation != life || !s.inMajority(i) {
			return
		}
		s.tableLag = min(s.tableLag+s.random.Int63n(20*ms), 500*ms)
		if s.random.Intn(4) == 0 {
			s.tableLag = 0
		}
		e := logEntry{s.now - s.tableLag, c}
		if k := len(s.log); k > 0 {
			e.at = max(e.at, s.log[k-1].at)
		}
		s.commit(e)
		index := len(s.log)
		s.at(s.now+s.random.Int63n(s.maxDelay)+ms, func() {
			if n.incarnation != life || !n.up || !s.inMajority(i) {
				return
			}
			v := s.applyLog(i, index)
			if told != nil {
				told(v)
			}
		})
	})
}

// commit puts an entry on the log, and has the order of the world follow.
func (s *simulation) commit(e logEntry) {
	s.log = append(s.log, e)
	before := s.agreed.Head()
	v := s.agreed.Apply(e.at, e.command)
	head := s.agreed.Head()
	if head.Newest < before.Newest || head.All.Version < before.All.Version || head.First.Version < head.All.Version || head.Newest < head.First.Version {
		s.fail("the order goes from %+v to %+v", before, head)
	}
	if head.Newest != before.Newest {
		s.digests[head.Newest] = s.agreed.newest.Digest()
		s.agreedAt[head.Newest] = s.now
	}
	if head.Stopped && !before.Stopped {
		s.stopped[head.First.Version] = true
	}
	if head.All != before.All {
		s.allAt[head.All.Version] = s.now
		if s.stopped[head.All.Version] {
			s.fail("version %d was stopped and is in force for all", head.All.Version)
		}
		if s.canaryAt[head.All.Version] == 0 {
			s.canaryAt[head.All.Version] = s.now
		}
	}
	if head.First != before.First && s.canaryAt[head.First.Version] == 0 {
		s.canaryAt[head.First.Version] = s.now
	}
	if v.Done && e.command.From != "" && !e.command.More {
		s.versionOf[fmt.Sprint(e.command.From, e.command.Seq)] = v.Version
	}
}

// applyLog has a seat's table carry out the log up to an index, and gives the last verdict.
func (s *simulation) applyLog(i, index int) (v Verdict) {
	n := s.nodes[i]
	moved := false
	for n.appliedEntries < index {
		v, moved = n.table.Apply(s.log[n.appliedEntries].at, s.log[n.appliedEntries].command), true
		n.appliedEntries++
	}
	if !moved && index > 0 { // carried out before: the same caller and number have the same verdict
		if e := s.log[index-1]; e.command.From != "" {
			v = n.table.Apply(e.at, e.command)
		}
	}
	if moved {
		s.deliver(i, Input{Kind: Ordered, Agreed: n.table.Agreed()})
	}
	return v
}

// tick has seats that are together follow the log, order what is due, and callers go on.
func (s *simulation) tick() {
	for i, n := range s.nodes[:s.replicas] {
		if current := s.inMajority(i) && n.appliedEntries == len(s.log); n.up && current != n.replicator.groupCurrent {
			s.deliver(i, Input{Kind: Stood, Current: current})
		}
		if !s.inMajority(i) {
			continue
		}
		if n.appliedEntries < len(s.log) && s.random.Intn(3) > 0 {
			s.applyLog(i, len(s.log))
		}
		if c := n.table.Due(s.now - s.tableLag); c != nil && s.random.Intn(2) == 0 {
			s.propose(i, c, nil)
		}
	}
	for _, c := range s.callers {
		s.sendCommand(c)
	}
	s.at(s.now+100*ms, s.tick)
}

// sendCommand sends a caller's command to a seat on its side, again after a while.
func (s *simulation) sendCommand(c *caller) {
	if c.command == nil || s.now < c.sentAt+1_500*ms && c.sentAt > 0 {
		return
	}
	c.sentAt = s.now
	i := s.random.Intn(s.replicas)
	command := c.command
	if n := s.nodes[i]; !n.up || n.partition != c.side {
		return
	}
	s.at(s.now+s.random.Int63n(s.maxDelay), func() {
		s.propose(i, command, func(v Verdict) {
			if s.random.Float64() < s.loss { // the answer is lost
				return
			}
			s.at(s.now+s.random.Int63n(s.maxDelay), func() {
				if c.command == nil || v.Seq != c.command.Seq || s.nodes[i].partition != c.side {
					return
				}
				switch {
				case v.Done:
					c.verdicts, c.acknowledged = append(c.verdicts, v), append(c.acknowledged, c.command)
					c.base = v.Version
					c.command = nil
				case v.Stale: // made anew on the newest
					c.refusals++
					next := *c.command
					c.seq++
					next.Seq, next.Base = c.seq, v.Version
					c.command, c.sentAt = &next, 0
				default:
					c.refusals++
					c.command = nil
				}
			})
		})
	})
}

// put gives a caller something to do, if it has nothing.
func (s *simulation) put(c *caller, changes ...Item) bool {
	if c.command != nil {
		return false
	}
	c.seq++
	c.command, c.sentAt = &Command{Kind: Put, From: c.name, Seq: c.seq, Base: c.base, Changes: changes}, 0
	return true
}

func (s *simulation) rollback(c *caller, version uint64) {
	c.seq++
	c.command, c.sentAt = &Command{Kind: Rollback, From: c.name, Seq: c.seq, Version: version}, 0
}

// unsettled says what isn't as it must be in the end.
func (s *simulation) unsettled() string {
	head := s.agreed.Head()
	if head.Newest == 0 {
		return "" // each goes on with its file
	}
	if head.First != head.All || head.Newest != head.All.Version {
		return fmt.Sprintf("the council is still at a stage: %+v", head)
	}
	for _, n := range s.nodes {
		if n.up && (n.replicator.Revision() != head.All || n.replicator.Content().Digest() != head.All.Digest) {
			return fmt.Sprintf("%s has version %d, %d is in force for all: %+v", n.name, n.replicator.Revision().Version, head.All.Version, n.replicator.Status(s.now))
		}
	}
	return ""
}

// check looks at what callers were told, once all is over.
func (s *simulation) check() {
	for _, c := range s.callers {
		for k, v := range c.verdicts {
			if got, ok := s.versionOf[fmt.Sprint(c.name, c.acknowledged[k].Seq)]; !ok || got != v.Version {
				s.fail("%s was told that %d is version %d; it is %d", c.name, c.acknowledged[k].Seq, v.Version, got)
			}
		}
	}
	for _, n := range s.nodes {
		const window = 15
		for at := 0; at+window <= len(n.bytesBySecond); at++ {
			sum := int64(0)
			for _, b := range n.bytesBySecond[at : at+window] {
				sum += b
			}
			if most := int64(burstBytes + maxBlockBytes + Blocks*digestBytes + window*(bytesPerSecond+4_000)); sum > most && !n.faulty {
				s.fail("%s: %d bytes in %d s, %d at the most", n.name, sum, window, most)
			}
		}
	}
}
