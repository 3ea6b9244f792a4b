// Package council has some seats of a fleet agree on one order of commands, by raft, and carries them out on the table of
// claims. It does no I/O and reads no clock: messages, time and the view come in, messages and verdicts go out.
package council

import (
	"fmt"
	"math/rand"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"topazpost/claims"
	"topazpost/quota"
	"topazpost/takeover"
)

const (
	ms = int64(1_000_000) // ns in a millisecond

	beatEvery     = 80 * ms     // ns between words of a leader: several in the shortest wait for one
	electLeast    = 600 * ms    // ns without a word of a leader past which a seat stands, at the least; twice that at the most
	muteAfter     = 1_200 * ms  // ns without a word of a majority past which a leader falls silent, so that others may stand
	whisperEvery  = 3_000 * ms  // ns between words of a leader that is muted: two of them must hear of each other, and others still stand in between
	hailEvery     = 100 * ms    // ns between words of a seat that belongs to no council yet
	foundFor      = 10_000 * ms // ns after which a council that never had a leader is given up by its seats
	bindFor       = 3_000 * ms  // ns that a seat stays bound to a founding that does not come about
	planEvery     = 50 * ms     // ns between looks at claims of the lost
	passEvery     = 250 * ms    // ns that the table's time may lag
	snapFor       = 1_000 * ms  // ns that a snapshot may be on its way
	gapLeast      = 150 * ms    // ns past a wake from which this process stood still, and not the others
	entriesKept   = 256         // entries kept behind a snapshot, for seats that lag a little
	entriesMost   = 2_048       // entries after which there is another snapshot
	messageBytes  = 256 << 10   // of entries in one message
	proposedBytes = 4 << 20     // of entries that are not agreed on yet; more are dropped, and asked for again
	inFlight      = 64          // messages of entries on their way to one seat
	pendingFor    = 5_000 * ms  // ns after which a command that was not agreed on is not answered from here any more
	numbersMost   = 64          // numbers of seats that were heard: many lives of five
	entryMost     = 512         // commands of a kind in one entry
	pendingMost   = 100_000     // commands taken here and not answered yet; more are answered by whom they are sent to next
	never         = 1<<63 - 1   // ns
)

// Kind names what a message is for.
type Kind uint8

// The messages.
const (
	Raft     Kind = iota + 1 // between seats
	Hail                     // of a seat that belongs to no council, and the answer to it
	Propose                  // commands of a node, to any seat
	Verdicts                 // their answers
	Tells                    // claims that the receiver waits for are over
	Gift                     // the receiver inherits a claim
)

// Message is what seats and nodes tell each other.
type Message struct {
	Kind     Kind             `cbor:"1,keyasint"`
	From     string           `cbor:"2,keyasint"`
	Raft     []byte           `cbor:"3,keyasint,omitempty"`
	ID       uint64           `cbor:"4,keyasint,omitempty"` // Hail
	Life     uint64           `cbor:"5,keyasint,omitempty"` // Hail
	Bound    uint64           `cbor:"6,keyasint,omitempty"` // Hail
	Fresh    bool             `cbor:"7,keyasint,omitempty"` // Hail: it belongs to no council
	Owner    claims.Owner     `cbor:"8,keyasint,omitempty"` // Propose; in the others to whom
	Commands []claims.Command `cbor:"9,keyasint,omitempty"`
	Verdicts []claims.Verdict `cbor:"10,keyasint,omitempty"`
	Keys     []claims.Key     `cbor:"11,keyasint,omitempty"` // Tells
	Entry    *claims.Entry    `cbor:"12,keyasint,omitempty"` // Gift
	For      int64            `cbor:"13,keyasint,omitempty"` // Gift: ns to its due time
	Leases   []quota.Command  `cbor:"15,keyasint,omitempty"` // Propose
	Grants   []quota.Verdict  `cbor:"16,keyasint,omitempty"` // Verdicts
	Leader   string           `cbor:"14,keyasint,omitempty"` // who leads the council, as far as the sender knows
}

// Input is one thing that happened: a message, commands of this node's own, or another view.
type Input struct {
	Message *Message
	Own     []claims.Command
	Leases  []quota.Command   // of this node's own
	View    []takeover.Member // nil where it did not change
}

// EffectKind names what is to be done.
type EffectKind uint8

// The effects.
const (
	Send   EffectKind = iota // to the node To
	Remark                   // tell operators
)

// Effect is one thing to do. A message to this node's own name is one to itself.
type Effect struct {
	Kind    EffectKind
	To      string
	Message Message
	Text    string
	Warn    bool
}

// seat is who sits there: a life, under a number of its own in raft. One that comes back without what it knew is another
// number, so that it can't vote or answer for what it forgot.
type seat struct {
	ID   uint64 `cbor:"1,keyasint"`
	Life uint64 `cbor:"2,keyasint"`
}

// state is what a snapshot holds.
type state struct {
	Seats map[string]seat `cbor:"1,keyasint"`
	Table []byte          `cbor:"2,keyasint"`
	Book  []byte          `cbor:"3,keyasint,omitempty"`
}

// batch is one entry of the log.
type batch struct {
	Claims []claims.Command `cbor:"1,keyasint,omitempty"`
	Leases []quota.Command  `cbor:"2,keyasint,omitempty"`
}

type asked struct {
	owner claims.Owner
	seq   uint64
}

type leased struct {
	owner claims.Owner
	limit string
	seq   uint64
}

// Counters are what operators see.
type Counters struct {
	Agreed    int `json:"agreed"` // commands
	Entries   int `json:"entries"`
	Elections int `json:"stood"`
	Snapshots int `json:"snapshots"`
	Reseated  int `json:"reseated"`
	Broken    int `json:"broken"` // messages that raft could not stand; the seat began anew
}

// Council is one seat.
type Council struct {
	Counters Counters

	self    string
	life    uint64
	names   []string
	chance  *rand.Rand
	now     int64
	wake    int64
	effects []Effect
	view    []takeover.Member
	most    int64 // bytes of the table, 0 for the usual

	id        uint64
	storage   *raft.MemoryStorage
	node      *raft.RawNode
	seats     map[string]seat
	table     *claims.Table
	applied   uint64
	snapped   uint64
	confState *pb.ConfState
	founded   bool
	bound     uint64
	boundAt   int64
	hails     map[string]Message

	leader    uint64
	heardAt   int64 // when the leader was last heard
	answered  map[uint64]int64
	heardOf   map[string]uint64 // the number that a seat last spoke under
	snapAt    map[uint64]int64
	electAt   int64
	beatAt    int64
	hailAt    int64
	planAt    int64
	sweepAt   int64
	whisperAt int64
	whispers  bool  // in this step, though it is muted
	passedAt  int64 // when this seat carried out the last Pass
	plan      *takeover.Planner
	pending   map[asked]int64                                    // when
	alter     func(command *claims.Command, table *claims.Table) // of tests that want a fault to be found
	batch     batch
	leasing   map[leased]int64
	grants    map[claims.Owner][]quota.Verdict
	book      *quota.Book
	limits    []quota.Command
	verdicts  map[claims.Owner][]claims.Verdict
	tells     map[claims.Owner][]claims.Key
}

// New is a seat that knows nothing yet. Names are all seats, this node's among them; life tells this start from others.
func New(names []string, self string, life uint64, now, seed int64) *Council {
	c := &Council{self: self, life: life, names: slices.Sorted(slices.Values(names)), chance: rand.New(rand.NewSource(seed ^ int64(life))), now: now}
	c.begin()
	return c
}

// begin is a life of this seat, with nothing known.
func (c *Council) begin() {
	c.id = xxhash.Sum64String(fmt.Sprintf("%s %d %d", c.self, c.life, c.chance.Uint64())) | 1
	c.storage = raft.NewMemoryStorage()
	c.seats, c.hails, c.table = map[string]seat{}, map[string]Message{}, claims.NewTable()
	c.applied, c.snapped, c.confState, c.founded, c.bound = 0, 0, nil, false, 0
	c.leader, c.answered, c.snapAt, c.heardOf = 0, map[uint64]int64{}, map[uint64]int64{}, map[string]uint64{}
	c.pending, c.verdicts, c.tells, c.batch = map[asked]int64{}, map[claims.Owner][]claims.Verdict{}, map[claims.Owner][]claims.Key{}, batch{}
	c.leasing, c.grants, c.book = map[leased]int64{}, map[claims.Owner][]quota.Verdict{}, quota.NewBook()
	c.plan, c.hailAt, c.planAt, c.passedAt = nil, c.now, c.now, c.now
	c.raft(0)
	c.stand()
}

// raft makes the node over what is stored. Elections are this package's, from its own source of chance: raft's ticks are
// only the leader's words.
func (c *Council) raft(applied uint64) {
	node, err := raft.NewRawNode(&raft.Config{ID: c.id, ElectionTick: 1 << 30, HeartbeatTick: 1, Storage: c.storage, Applied: applied,
		MaxSizePerMsg: messageBytes, MaxInflightMsgs: inFlight, MaxUncommittedEntriesSize: proposedBytes, PreVote: true,
		MaxCommittedSizePerReady: proposedBytes, StepDownOnRemoval: true, Logger: quiet{}})
	if err != nil {
		panic(err) // of constants
	}
	c.node = node
}

func (c *Council) stand() { c.electAt = c.now + electLeast + c.chance.Int63n(electLeast) }

func (c *Council) do(e Effect) { c.effects = append(c.effects, e) }

func (c *Council) remark(warn bool, form string, args ...any) {
	c.do(Effect{Kind: Remark, Warn: warn, Text: fmt.Sprintf(form, args...)})
}

func (c *Council) send(to string, m Message) {
	m.From = c.self
	if m.Kind == Verdicts {
		m.Leader = c.Leader()
	}
	c.do(Effect{Kind: Send, To: to, Message: m})
}

func (c *Council) leads() bool { return c.leader == c.id }

// Leads says whether this seat leads the council, as far as it knows.
func (c *Council) Leads() bool { return c.leads() }

// Leader is the name of the seat that leads, as far as this one knows, empty where it knows none.
func (c *Council) Leader() string {
	for name, s := range c.seats {
		if s.ID == c.leader {
			return name
		}
	}
	return ""
}

// Bound sets the bytes that the table may take while this seat leads, 0 for the usual.
func (c *Council) Bound(bytes int64) { c.most = bytes }

// Limits sets the limits that this seat defines while it leads.
func (c *Council) Limits(list []quota.Command) { c.limits = list }

// Book is what was agreed on of limits. It must not be changed.
func (c *Council) Book() *quota.Book { return c.book }

// Picture is what a node shows of claims.
type Picture struct {
	Node    string               `json:"node" cbor:"1,keyasint"`
	Desk    *claims.DeskCounters `json:"desk,omitempty" cbor:"2,keyasint,omitempty"`
	InHand  int                  `json:"in_hand" cbor:"3,keyasint,omitempty"`
	Reached bool                 `json:"council_reached" cbor:"4,keyasint,omitempty"`
	Seat    *Counters            `json:"seat,omitempty" cbor:"5,keyasint,omitempty"`
	Leader  string               `json:"leader,omitempty" cbor:"6,keyasint,omitempty"`
	Table   *claims.Counters     `json:"table,omitempty" cbor:"7,keyasint,omitempty"`
	Handed  *takeover.Counters   `json:"handed,omitempty" cbor:"8,keyasint,omitempty"`
	Entries int                  `json:"claims" cbor:"9,keyasint,omitempty"`
	Bytes   int64                `json:"bytes" cbor:"10,keyasint,omitempty"`
	Time    int64                `json:"time_ns" cbor:"11,keyasint,omitempty"`
	Limits  []*quota.Limit       `json:"limits,omitempty" cbor:"13,keyasint,omitempty"`
	Lease   *quota.Counters      `json:"lease,omitempty" cbor:"14,keyasint,omitempty"`
	Claims  []*claims.Entry      `json:"-" cbor:"12,keyasint,omitempty"`
}

// Show fills in what this seat knows, with so many claims at the most, without their work and results.
func (c *Council) Show(p *Picture, most int) {
	handed := c.Planned()
	p.Seat, p.Leader, p.Table, p.Handed, p.Time = &c.Counters, c.Leader(), &c.table.Counters, &handed, c.table.Time()
	p.Entries, p.Bytes = c.table.Size()
	p.Limits = c.book.Limits()
	for _, e := range c.table.All(most) {
		short := *e
		short.Work, short.Asking = nil, nil
		p.Claims = append(p.Claims, &short)
	}
}

// Table is what was agreed on, as far as this seat has heard. It must not be changed.
func (c *Council) Table() *claims.Table { return c.table }

// Planned is what hand-overs came to while this seat led.
func (c *Council) Planned() takeover.Counters {
	if c.plan == nil {
		return takeover.Counters{}
	}
	return c.plan.Counters
}

// Step takes what happened up to now, by a clock that only advances. The effects are valid until the next step; wake is
// when it is to step again at the latest.
func (c *Council) Step(now int64, inputs []Input) (effects []Effect, wake int64) {
	stood := c.wake > 0 && now-c.wake > gapLeast
	c.now, c.effects = now, c.effects[:0]
	if stood && !c.leads() { // what came meanwhile is not read yet: a leader that was not heard is no sign
		c.stand()
	}
	c.guarded(func() {
		for i := range inputs {
			c.take(&inputs[i])
		}
		c.timers()
		c.propose()
		c.ready()
	})
	c.whispers = false
	c.flush()
	c.wake = max(now+1, c.due())
	return c.effects, c.wake
}

// guarded begins this seat anew where raft can't go on. Guards against messages that no sound seat sends; does harm
// where a fault of this program would better be seen at once: it is counted and told.
func (c *Council) guarded(do func()) {
	defer func() {
		if what := recover(); what != nil {
			c.Counters.Broken++
			c.life++
			c.begin()
			c.remark(true, "the council's seat could not go on and begins anew: %v", what)
		}
	}()
	do()
}

func (c *Council) take(in *Input) {
	if in.View != nil {
		c.view = in.View
	}
	for i := range in.Own {
		c.wanted(in.Own[i])
	}
	c.lease(in.Leases)
	m := in.Message
	if m == nil {
		return
	}
	switch m.Kind {
	case Propose:
		for i := range m.Commands {
			if m.Commands[i].From == m.Owner && m.Commands[i].Kind != claims.Pass {
				c.wanted(m.Commands[i])
			}
		}
		c.lease(slices.DeleteFunc(m.Leases, func(q quota.Command) bool { return q.Kind != quota.Ask || q.From != quota.Who(m.Owner) }))
	case Hail:
		c.hailed(m)
	case Raft:
		c.fromSeat(m)
	}
}

// wanted takes a command of a node on; without a leader it is dropped, and the node asks again.
func (c *Council) wanted(command claims.Command) {
	if c.leader == 0 || len(c.pending) >= pendingMost {
		return
	}
	c.pending[asked{command.From, command.Seq}] = c.now
	c.batch.Claims = append(c.batch.Claims, command)
}

// lease takes asks for leases on.
func (c *Council) lease(list []quota.Command) {
	for i := range list {
		if c.leader == 0 || len(c.leasing) >= pendingMost {
			return
		}
		c.leasing[leased{claims.Owner(list[i].From), list[i].Limit, list[i].Seq}] = c.now
		c.batch.Leases = append(c.batch.Leases, list[i])
	}
}

func (c *Council) fromSeat(in *Message) {
	m := new(pb.Message)
	if proto.Unmarshal(in.Raft, m) != nil || m.GetTo() != c.id || !slices.Contains(c.names, in.From) {
		return
	}
	if len(c.answered) >= numbersMost {
		clear(c.answered)
	}
	c.answered[m.GetFrom()], c.heardOf[in.From] = c.now, m.GetFrom()
	switch m.GetType() {
	case pb.MsgPreVote, pb.MsgVote: // who hears a leader, or leads, does not help to unseat it
		if c.leader != 0 && c.now < c.heardAt+electLeast && m.GetFrom() != c.leader {
			return
		}
	case pb.MsgApp, pb.MsgHeartbeat, pb.MsgSnap:
		if m.GetTerm() >= c.node.BasicStatus().GetTerm() {
			c.heardAt = c.now
			c.stand()
		}
	}
	c.node.Step(m) // what it refuses is old
	c.lead()
}

// lead follows who leads.
func (c *Council) lead() {
	before := c.leader
	if c.leader = c.node.BasicStatus().Lead; c.leader == before {
		return
	}
	if c.leader == 0 {
		return
	}
	if c.leads() {
		c.plan, c.beatAt, c.planAt = takeover.New(), c.now, c.now
		clear(c.answered)
		for _, s := range c.seats {
			c.answered[s.ID] = c.now
		}
		c.heardAt = c.now
		c.remark(false, "this node leads the council, term %d", c.node.BasicStatus().GetTerm())
	} else {
		c.heardAt = c.now
	}
}

// muted says whether this leader heard no majority, whatever it said, for long: it then keeps silent, so that those who hear it, and whom it
// does not hear, choose another.
func (c *Council) muted() bool {
	if !c.leads() {
		return false
	}
	near := 0
	for _, s := range c.seats {
		if s.ID == c.id || c.now-c.answered[s.ID] < muteAfter {
			near++
		}
	}
	return 2*near <= len(c.seats)
}

func (c *Council) timers() {
	if c.now >= c.sweepAt {
		c.sweepAt = c.now + pendingFor
		for key, at := range c.pending {
			if c.now-at >= pendingFor {
				delete(c.pending, key)
			}
		}
		for key, at := range c.leasing {
			if c.now-at >= pendingFor {
				delete(c.leasing, key)
			}
		}
	}
	if !c.founded {
		c.found()
	} else if c.applied == 1 && c.leader == 0 && c.now-c.boundAt > foundFor {
		c.life++ // nothing was ever agreed on; others may have given this founding up
		c.begin()
	}
	if c.leads() {
		if c.now >= c.beatAt {
			c.beatAt = c.now + beatEvery
			c.node.Tick()
			if !c.muted() {
				c.heardAt = c.now
			} else if c.now >= c.whisperAt {
				c.whisperAt, c.whispers = c.now+whisperEvery, true
			}
		}
		for id, at := range c.snapAt {
			if c.now >= at+snapFor {
				delete(c.snapAt, id)
				c.node.ReportSnapshot(id, raft.SnapshotFailure)
			}
		}
		if c.now >= c.planAt {
			c.planAt = c.now + planEvery
			c.rule()
		}
	} else if c.now >= c.electAt {
		c.stand()
		if c.founded {
			c.Counters.Elections++
			c.node.Campaign()
			c.lead()
		}
	}
}

// rule is what a leader proposes of its own: time, hand-overs, seats that come back.
func (c *Council) rule() {
	if c.now-c.passedAt >= passEvery {
		c.batch.Claims = append(c.batch.Claims, claims.Command{Kind: claims.Pass, At: c.table.Time(), For: c.now - c.passedAt, Most: c.most})
	}
	commands, gifts := c.plan.Step(c.now, c.view, c.table, c.now-c.passedAt)
	c.batch.Claims = append(c.batch.Claims, commands...)
	for _, l := range c.limits {
		if known := c.book.Find(l.Limit); known == nil || known.Version < l.Version {
			c.batch.Leases = append(c.batch.Leases, l)
		}
	}
	for i := range gifts {
		g := &gifts[i]
		if g.For <= 0 {
			continue
		}
		if g.First {
			c.remark(false, "claim %s of %s is taken over by %s: fence %d, %d ms to its due time", g.Entry.Key, g.From.Name, g.To.Name,
				g.Entry.Fence, g.For/ms)
		}
		c.send(g.To.Name, Message{Kind: Gift, Owner: g.To, Entry: g.Entry, For: g.For})
	}
	for _, name := range c.names {
		h, known := c.hails[name]
		if s, sits := c.seats[name]; known && h.Fresh && sits && h.ID != s.ID && h.Life > s.Life && name != c.self {
			c.reseat(name, seat{h.ID, h.Life}, s)
			break
		}
	}
}

// reseat has another life take the place of one that forgot what it knew.
func (c *Council) reseat(name string, now, before seat) {
	context, err := cbor.Marshal(map[string]seat{name: now})
	if err != nil {
		return
	}
	remove, add := pb.ConfChangeRemoveNode, pb.ConfChangeAddNode
	auto := pb.ConfChangeTransitionAuto
	c.node.ProposeConfChange(&pb.ConfChangeV2{Transition: &auto, Context: context, Changes: []*pb.ConfChangeSingle{
		{Type: &remove, NodeId: &before.ID}, {Type: &add, NodeId: &now.ID}}})
}

func (c *Council) propose() {
	for b := &c.batch; len(b.Claims)+len(b.Leases) > 0; {
		n, m := min(len(b.Claims), entryMost), min(len(b.Leases), entryMost)
		if text, err := cbor.Marshal(batch{b.Claims[:n], b.Leases[:m]}); err == nil {
			c.node.Propose(text) // one that is dropped is asked for again
		}
		b.Claims, b.Leases = b.Claims[n:], b.Leases[m:]
	}
	c.batch = batch{}
}

// ready carries out what raft wants done, until there is nothing more.
func (c *Council) ready() {
	for c.node.HasReady() {
		rd := c.node.Ready()
		if !raft.IsEmptySnap(rd.Snapshot) {
			c.storage.ApplySnapshot(rd.Snapshot)
			c.restore(rd.Snapshot)
		}
		if !raft.IsEmptyHardState(rd.HardState) {
			c.storage.SetHardState(rd.HardState)
		}
		c.storage.Append(rd.Entries)
		muted := c.muted()
		for _, m := range rd.Messages {
			if m.GetType() == pb.MsgSnap { // raft waits for word of it, sent or not
				c.snapAt[m.GetTo()] = c.now
			}
			if !muted || c.whispers {
				c.post(m)
			}
		}
		for _, e := range rd.CommittedEntries {
			c.apply(e)
		}
		c.node.Advance(rd)
		c.lead()
	}
	c.compact()
}

func (c *Council) post(m *pb.Message) {
	text, err := proto.Marshal(m)
	if err != nil {
		return
	}
	for _, name := range c.names {
		if c.seats[name].ID != m.GetTo() && c.heardOf[name] != m.GetTo() { // who sits there now may be news that this one lacks
			continue
		}
		c.send(name, Message{Kind: Raft, Raft: text})
		return
	}
}

func (c *Council) apply(e *pb.Entry) {
	c.applied = e.GetIndex()
	if len(e.GetData()) == 0 && e.GetType() == pb.EntryNormal {
		return
	}
	switch e.GetType() {
	case pb.EntryConfChangeV2, pb.EntryConfChange:
		c.seated(e)
	case pb.EntryNormal:
		var b batch
		if decode.Unmarshal(e.GetData(), &b) != nil {
			return // alike on all
		}
		c.Counters.Entries++
		if slices.ContainsFunc(b.Claims, func(x claims.Command) bool { return x.Kind >= claims.Kinds }) ||
			slices.ContainsFunc(b.Leases, func(x quota.Command) bool { return x.Kind >= quota.Kinds }) {
			panic("a command of a newer version: the others' tables would not be this one's any more")
		}
		for i := range b.Claims {
			c.carryOut(&b.Claims[i])
		}
		for i := range b.Leases {
			c.grant(&b.Leases[i])
		}
	}
}

func (c *Council) carryOut(command *claims.Command) {
	c.Counters.Agreed++
	key := asked{command.From, command.Seq}
	if c.alter != nil {
		c.alter(command, c.table)
	}
	v := c.table.Apply(command)
	if command.Kind == claims.Pass {
		c.passedAt = c.now
	}
	if _, here := c.pending[key]; here {
		delete(c.pending, key)
		c.verdicts[command.From] = append(c.verdicts[command.From], v)
	}
	if c.leads() {
		for _, t := range c.table.Told {
			for _, o := range t.Asking {
				c.tells[o] = append(c.tells[o], t.Key)
			}
		}
	}
}

func (c *Council) grant(command *quota.Command) {
	c.Counters.Agreed++
	v := c.book.Apply(c.table.Time(), command)
	key := leased{claims.Owner(command.From), command.Limit, command.Seq}
	if _, here := c.leasing[key]; here && command.Kind == quota.Ask {
		delete(c.leasing, key)
		c.grants[key.owner] = append(c.grants[key.owner], v)
	}
}

func (c *Council) seated(e *pb.Entry) {
	cc := new(pb.ConfChangeV2)
	if e.GetType() == pb.EntryConfChange {
		one := new(pb.ConfChange)
		if proto.Unmarshal(e.GetData(), one) != nil {
			return
		}
		cc = one.AsV2()
	} else if proto.Unmarshal(e.GetData(), cc) != nil {
		return
	}
	c.confState = c.node.ApplyConfChange(cc)
	defer c.remember() // a seat that is new takes no snapshot of before it was there
	var who map[string]seat
	if len(cc.Context) > 0 && cbor.Unmarshal(cc.Context, &who) == nil {
		for name, s := range who {
			c.seats[name] = s
			c.answered[s.ID] = c.now
			c.Counters.Reseated++
			c.remark(false, "%s sits in the council anew: what it knew before is lost with its last life", name)
		}
	}
}

func (c *Council) restore(s *pb.Snapshot) {
	var held state
	err := cbor.Unmarshal(s.GetData(), &held)
	if err == nil {
		c.table, err = claims.Restore(held.Table)
	}
	if c.book = quota.NewBook(); err == nil && len(held.Book) > 0 {
		c.book, err = quota.Restore(held.Book)
	}
	if err != nil {
		panic(err) // this seat can't go on with what the others agreed on
	}
	c.seats = held.Seats
	c.confState = s.GetMetadata().GetConfState()
	c.applied, c.snapped = s.GetMetadata().GetIndex(), s.GetMetadata().GetIndex()
	c.founded = true
	c.passedAt = c.now
	c.Counters.Snapshots++
}

func (c *Council) snapshot() []byte {
	table, err := c.table.Snapshot()
	if err != nil {
		panic(err)
	}
	book, err := c.book.Snapshot()
	if err != nil {
		panic(err)
	}
	mode, _ := cbor.CanonicalEncOptions().EncMode()
	text, err := mode.Marshal(state{c.seats, table, book})
	if err != nil {
		panic(err)
	}
	return text
}

// compact drops what a snapshot holds.
func (c *Council) compact() {
	if c.applied-c.snapped >= entriesMost {
		c.remember()
	}
}

func (c *Council) remember() {
	if _, err := c.storage.CreateSnapshot(c.applied, c.confState, c.snapshot()); err != nil {
		return
	}
	c.Counters.Snapshots++
	c.snapped = c.applied
	c.storage.Compact(c.applied - min(c.applied-1, entriesKept))
}

// flush sends what gathered in this step, one message for each node.
func (c *Council) flush() {
	for o := range c.grants {
		if _, known := c.verdicts[o]; !known {
			c.verdicts[o] = nil // one message brings both
		}
	}
	for _, o := range owners(c.verdicts) {
		c.send(o.Name, Message{Kind: Verdicts, Owner: o, Verdicts: c.verdicts[o], Grants: c.grants[o]})
	}
	clear(c.grants)
	for _, o := range owners(c.tells) {
		c.send(o.Name, Message{Kind: Tells, Owner: o, Keys: c.tells[o]})
	}
	clear(c.verdicts)
	clear(c.tells)
}

func owners[T any](of map[claims.Owner]T) (list []claims.Owner) {
	for o := range of {
		list = append(list, o)
	}
	slices.SortFunc(list, claims.CompareOwners)
	return list
}

// due is when the next of the timers is.
func (c *Council) due() int64 {
	at := int64(never)
	if !c.founded {
		at = min(at, c.hailAt)
	}
	if c.leads() {
		return min(at, c.beatAt, c.planAt)
	}
	return min(at, c.electAt)
}

var decode = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxNestedLevels: 8, IndefLength: cbor.IndefLengthForbidden}.DecMode()
	if err != nil {
		panic(err) // of constants
	}
	return mode
}()

// Founding. A seat that starts has no memory of what it may have voted before, so it never takes part under a number of
// an earlier life. A council comes about where all seats are without one: each binds itself, for this life, to the set of
// numbers that it sees, and founds once all are bound to the same. Where a council is there, its leader seats the newcomer.

// found says where this seat stands, and founds.
func (c *Council) found() {
	bound := c.boundTo()
	switch {
	case c.bound == 0 && bound != 0:
		c.bound, c.boundAt = bound, c.now
		c.hailAt = c.now
	case c.bound != 0 && c.now-c.boundAt > bindFor:
		c.life++ // nobody can count on that number any more: it took part in nothing
		c.begin()
	}
	if c.bound != 0 && c.allBound() {
		c.establish()
		return
	}
	if c.now >= c.hailAt {
		c.hailAt = c.now + hailEvery
		for _, name := range c.names {
			if name != c.self {
				c.hail(name)
			}
		}
	}
}

func (c *Council) hail(to string) {
	c.send(to, Message{Kind: Hail, ID: c.id, Life: c.life, Bound: c.bound, Fresh: !c.founded})
}

// boundTo is the founding of all numbers that are seen, 0 where not all are, or one belongs to a council.
func (c *Council) boundTo() uint64 {
	h := xxhash.New()
	for _, name := range c.names {
		id := c.id
		if name != c.self {
			m, known := c.hails[name]
			if !known || !m.Fresh {
				return 0
			}
			id = m.ID
		}
		fmt.Fprintf(h, "%s %x\n", name, id)
	}
	return h.Sum64() | 1
}

func (c *Council) allBound() bool {
	for _, name := range c.names {
		if name != c.self && c.hails[name].Bound != c.bound {
			return false
		}
	}
	return true
}

// establish starts from the same empty state on all seats.
func (c *Council) establish() {
	c.seats[c.self] = seat{c.id, c.life}
	voters := []uint64{c.id}
	for _, name := range c.names {
		if name != c.self {
			h := c.hails[name]
			c.seats[name] = seat{h.ID, h.Life}
			voters = append(voters, h.ID)
		}
	}
	slices.Sort(voters)
	one := uint64(1)
	conf := &pb.ConfState{Voters: voters}
	c.storage.ApplySnapshot(&pb.Snapshot{Data: c.snapshot(), Metadata: &pb.SnapshotMetadata{ConfState: conf, Index: &one, Term: &one}})
	c.storage.SetHardState(&pb.HardState{Term: &one, Commit: &one})
	c.confState, c.applied, c.snapped, c.founded = conf, 1, 1, true
	c.raft(1)
	c.stand()
	if len(c.names) == 1 {
		c.electAt = c.now
	}
	c.remark(false, "a council of %d is founded, with no claims", len(c.names))
	for _, name := range c.names {
		if name != c.self {
			c.hail(name)
		}
	}
}

func (c *Council) hailed(m *Message) {
	if !slices.Contains(c.names, m.From) || m.From == c.self {
		return
	}
	before, known := c.hails[m.From]
	if known && m.Life < before.Life {
		return // of an earlier life, late
	}
	c.hails[m.From] = *m
	if m.Fresh && (c.founded || !known || before.ID != m.ID || before.Bound != m.Bound) {
		c.hail(m.From)
	}
}

// quiet takes what raft has to say; what matters is told as remarks, and what it can't stand ends the seat's life.
type quiet struct{}

func (quiet) Debug(...any)              {}
func (quiet) Debugf(string, ...any)     {}
func (quiet) Error(...any)              {}
func (quiet) Errorf(string, ...any)     {}
func (quiet) Info(...any)               {}
func (quiet) Infof(string, ...any)      {}
func (quiet) Warning(...any)            {}
func (quiet) Warningf(string, ...any)   {}
func (quiet) Fatal(v ...any)            { panic(fmt.Sprint(v...)) }
func (quiet) Fatalf(f string, v ...any) { panic(fmt.Sprintf(f, v...)) }
func (quiet) Panic(v ...any)            { panic(fmt.Sprint(v...)) }
func (quiet) Panicf(f string, v ...any) { panic(fmt.Sprintf(f, v...)) }
