package configsync

import (
	"container/heap"
	"fmt"
	"math/rand"
	"slices"
)

// simNode is a simulated node: a replicator, its disk, and the table of its replica if it has one.
type simNode struct {
	name           string
	replicator     *Replicator
	incarnation    int
	up             bool
	olderBuild     bool // it can't apply items with the value "new"
	faulty         bool // it sends invalid messages
	partition      int
	region         int
	index          int
	wakeAt         int64
	disk           simDisk
	olderDisk      simDisk // the state of disk before the last write
	table          *Table
	isReplica      bool
	appliedEntries int    // number of log entries applied to table
	maxVersion     uint64 // the newest version that was applied

	bytesBySecond []int64 // sent and received, by second
	inbox         []Input
	appliedAt     map[uint64]int64
}

// simDisk is the content of a simulated disk.
type simDisk struct {
	revision Revision
	content  *Content
}

type event struct {
	at, seq int64
	do      func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(e any)   { *q = append(*q, e.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// simulation runs a small fleet in virtual time: real tables fed by a model of a replicated log, and real replicators whose messages are
// lost, duplicated, delayed and reordered.
type simulation struct {
	random           *rand.Rand
	now              int64
	seq              int64
	queue            eventQueue
	nodes            []*simNode
	byName           map[string]*simNode
	replicas         int
	log              []logEntry
	agreed           *Table            // reference table, to which each entry is applied when it is committed
	digests          map[uint64]Digest // of agreed contents, by version
	versionOf        map[string]uint64 // committed version by caller and sequence number
	stopped          map[uint64]bool
	agreedAt         map[uint64]int64
	allAt            map[uint64]int64 // when a version was committed for all
	canaryAt         map[uint64]int64
	callers          []*caller
	loss             float64
	duplication      float64
	maxDelay         int64   // ns, except for stragglers
	stragglers       float64 // share of messages that are delayed by up to 30 s
	failure          string
	skipDigests      bool // injected fault: replicators compare no digests
	acknowledgeEarly bool // injected fault: a replica acknowledges before the commit
	deltaAnswers     int  // number of answers with blocks as changes
	largeChanges     bool // some changes have a record that exceeds one answer
	file             *Content
	links            [][]int // neighbours of each node: the adjacent nodes in four random rings
	regionDelay      int64   // additional ns of a message between regions
	tableLag         int64   // ns by which the table's time lags behind virtual time
}

func newSimulation(seed int64, nodes, replicas, zones int) *simulation {
	s := &simulation{
		random:    rand.New(rand.NewSource(seed)),
		now:       1_000 * ms,
		byName:    map[string]*simNode{},
		replicas:  replicas,
		agreed:    NewTable(),
		digests:   map[uint64]Digest{0: {}},
		versionOf: map[string]uint64{},
		stopped:   map[uint64]bool{},
		agreedAt:  map[uint64]int64{},
		allAt:     map[uint64]int64{0: 0},
		canaryAt:  map[uint64]int64{},
		maxDelay:  40 * ms,
		file:      &Content{},
	}
	for i := range nodes {
		n := &simNode{name: fmt.Sprintf("n%d", i), index: i, isReplica: i < replicas, up: true, appliedAt: map[uint64]int64{}}
		if n.isReplica {
			n.table = NewTable()
		}
		s.nodes = append(s.nodes, n)
		s.byName[n.name] = n
	}
	s.drawLinks()
	for i := range s.nodes {
		s.start(i, zones)
	}
	s.at(s.now+100*ms, s.tick)
	return s
}

func (s *simulation) drawLinks() {
	nodes := len(s.nodes)
	s.links = make([][]int, nodes)
	for range 4 {
		ring := s.random.Perm(nodes)
		for k, i := range ring {
			for _, j := range [...]int{ring[(k+1)%nodes], ring[(k+nodes-1)%nodes]} {
				if j != i && !slices.Contains(s.links[i], j) {
					s.links[i] = append(s.links[i], j)
				}
			}
		}
	}
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

// view returns a node's membership view.
func (s *simulation) view(i, zones int) *View {
	v := &View{}
	for _, k := range s.links[i] {
		v.Neighbours = append(v.Neighbours, s.nodes[k].name)
	}
	for k, m := range s.nodes {
		if k != i && m.isReplica {
			v.Replicas = append(v.Replicas, m.name)
		}
		if k != i && k%zones == i%zones {
			v.Zone = append(v.Zone, m.name)
		}
	}
	return v
}

// start starts a node from its disk, or from the file if the disk is empty.
func (s *simulation) start(i, zones int) {
	n := s.nodes[i]
	n.incarnation++
	n.up = true
	n.wakeAt = 0
	n.inbox = nil
	start := InitialState{ContentRevision: n.disk.revision, Content: n.disk.content, Source: "disk"}
	if n.disk.content == nil {
		start = InitialState{Content: s.file, Source: "file"}
		n.maxVersion = 0
	}
	n.replicator = NewReplicator(s.now, ReplicatorConfig{Name: n.name, Seed: s.random.Int63()}, start)
	n.replicator.skipDigests = s.skipDigests
	n.inbox = append(n.inbox, Input{Kind: ViewChanged, View: s.view(i, zones)})
	if n.isReplica {
		n.inbox = append(n.inbox, Input{Kind: AgreementChanged, Agreed: n.table.Agreed()})
	}
	s.wake(i, s.now)
}

func (s *simulation) crash(i int) {
	n := s.nodes[i]
	n.up = false
	n.incarnation++
}

func (s *simulation) wake(i int, at int64) {
	n := s.nodes[i]
	incarnation := n.incarnation
	at = max(at, s.now)
	if n.wakeAt > 0 && n.wakeAt <= at {
		return
	}
	n.wakeAt = at
	s.at(at, func() {
		if n.incarnation == incarnation && n.wakeAt == at && n.up {
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
	k := int(now / second)
	for len(n.bytesBySecond) <= k {
		n.bytesBySecond = append(n.bytesBySecond, 0)
	}
	n.bytesBySecond[k] += int64(m.size())
}

// transmit calls do after a random delay: once, twice, or not at all if the message is lost.
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
			s.fail("%s penalizes %s, which is not faulty", n.name, p.name)
		}
	}
	if next <= s.now {
		s.fail("%s requests a wake-up in the past", n.name)
	}
	s.wake(i, next)
}
