package consensus

import (
	"errors"
	"fmt"
	"math/rand"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
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
	ruleEvery     = 50 * ms     // ns between looks of a leader at what its tables propose of their own
	snapFor       = 1_000 * ms  // ns that a snapshot may be on its way
	writtenAgain  = 50 * ms     // ns until one is tried again that isn't written yet
	gapLeast      = 150 * ms    // ns past a wake from which this process stood still, and not the others
	entriesKept   = 256         // entries kept behind a snapshot, for seats that lag a little
	entriesMost   = 2_048       // entries after which there is another snapshot
	messageBytes  = 256 << 10   // of entries in one message
	proposedBytes = 4 << 20     // of entries that are not agreed on yet; more are dropped, and asked for again
	inFlight      = 64          // messages of entries on their way to one seat
	numbersMost   = 64          // numbers of seats that were heard: many lives of five
	never         = 1<<63 - 1   // ns
)

// Table is what a council agrees on of one kind: a function of the parts of entries that were agreed on before, alike at
// all seats. A seat holds it and never looks into it.
type Table interface {
	// Apply carries out its part of an entry, at the time that is agreed on. It panics at what this build can't carry out, since its
	// table would not be the others' any more; what can't be read is alike at all, and ignored.
	Apply(at int64, part []byte)
	// Snapshot is all that it holds. It is asked for only after a part was applied.
	Snapshot() ([]byte, error)
	// Restore takes the place of all that it holds; empty text is a table without anything. An error ends this life of the seat.
	Restore(text []byte) error
}

// proposer is a table with what its host does around it at this seat alone.
type proposer interface {
	Table
	forget()      // a life of the seat begins: nothing is known or waited for
	lead()        // this seat leads from now on
	rule()        // a look at what is to be proposed as the leader's own
	apart() bool  // it is large and changes seldom: snapshots name it by its digest
	next() []byte // the next part of what is to be proposed, nil where nothing is; it is handed out once
}

var errLacks = errors.New("a part that the snapshot names is not here")

// incumbent is who sits there: a life, under a number of its own in raft. One that comes back without what it knew is another
// number, so that it can't vote or answer for what it forgot.
type incumbent struct {
	ID   uint64 `cbor:"1,keyasint"`
	Life uint64 `cbor:"2,keyasint"`
}

// Keys of a snapshot; its parts by table follow the first. The tables of an entry have one less.
const keySeats = uint8(1)

// Counters are what operators see.
type Counters struct {
	Committed     int `json:"agreed"` // commands
	Entries       int `json:"entries"`
	Elections     int `json:"stood"`
	Snapshots     int `json:"snapshots"`
	Reinitialized int `json:"reseated"`
	Broken        int `json:"broken"` // messages that raft could not stand; the seat began anew
}

// Replica is one member of a council: raft, how a council is founded, who sits where, and elections. What is agreed on are parts
// for its tables.
type Replica struct {
	Counters Counters

	self    string
	life    uint64
	names   []string
	chance  *rand.Rand
	now     int64
	wake    int64
	effects []Effect
	early   []Effect     // from before the first step
	tables  []proposer   // the key of each in an entry is its index and one
	time    func() int64 // that is agreed on
	held    [][]byte     // what each table's last snapshot was, nil where it changed since

	id        uint64
	storage   *raft.MemoryStorage
	node      *raft.RawNode
	seats     map[string]incumbent
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
	ruleAt    int64
	whisperAt int64
	whispers  bool // in the next words, though it is muted

	disk drive
	born uint64 // life of the process

	parts   map[string][]byte // of snapshots, by digest: those that are not within them
	named   []string          // by the last snapshot but one
	digests []string          // of held, where they are known
	fetch   *fetch            // nil where no snapshot waits
	writing *writing          // nil where none is written
}

func newSeat(names []string, self string, life uint64, now, seed int64) *Replica {
	return &Replica{self: self, life: life, born: life, names: slices.Sorted(slices.Values(names)), chance: rand.New(rand.NewSource(seed ^ int64(life))), now: now}
}

// begin is a life of this seat, with nothing known.
func (x *Replica) begin() {
	x.id = xxhash.Sum64String(fmt.Sprintf("%s %d %d", x.self, x.life, x.chance.Uint64())) | 1
	x.storage = raft.NewMemoryStorage()
	x.seats, x.hails = map[string]incumbent{}, map[string]Message{}
	x.applied, x.snapped, x.confState, x.founded, x.bound = 0, 0, nil, false, 0
	x.leader, x.answered, x.snapAt, x.heardOf = 0, map[uint64]int64{}, map[uint64]int64{}, map[string]uint64{}
	x.held, x.digests, x.whispers = make([][]byte, len(x.tables)), make([]string, len(x.tables)), false
	x.parts, x.named, x.fetch, x.writing = map[string][]byte{}, nil, nil, nil
	x.disk.marks, x.disk.marked, x.disk.owed, x.disk.returning = map[uint64]uint64{}, false, nil, nil
	if x.disk.on && x.disk.written {
		x.write(Write{DiscardEarlier: true}, nil)
	}
	for _, t := range x.tables {
		t.forget()
	}
	x.hailAt, x.ruleAt = x.now, x.now
	x.raft(0)
	x.stand()
}

// raft makes the node over what is stored. Elections are this package's, from its own source of chance: raft's ticks are
// only the leader's words.
func (x *Replica) raft(applied uint64) {
	node, err := raft.NewRawNode(&raft.Config{ID: x.id, ElectionTick: 1 << 30, HeartbeatTick: 1, Storage: x.storage, Applied: applied,
		MaxSizePerMsg: messageBytes, MaxInflightMsgs: inFlight, MaxUncommittedEntriesSize: proposedBytes, PreVote: true,
		MaxCommittedSizePerReady: proposedBytes, StepDownOnRemoval: true, Logger: quiet{}})
	if err != nil {
		panic(err) // of constants
	}
	x.node = node
}

// step takes what happened, by take, and does what follows from it.
func (x *Replica) step(now int64, take func()) {
	stood := x.wake > 0 && now-x.wake > gapLeast
	x.now, x.effects, x.early = now, append(x.effects[:0], x.early...), nil
	if stood && !x.leads() { // what came meanwhile is not read yet: a leader that was not heard is no sign
		x.stand()
	}
	x.guarded(func() {
		take()
		x.timers()
		x.propose()
		x.ready()
		x.whispers = x.whispers && x.disk.owed != nil
	})
}

func (x *Replica) stand() { x.electAt = x.now + electLeast + x.chance.Int63n(electLeast) }

func (x *Replica) do(e Effect) { x.effects = append(x.effects, e) }

func (x *Replica) remark(warn bool, form string, args ...any) {
	x.do(Effect{Kind: WriteLog, Warn: warn, Text: fmt.Sprintf(form, args...)})
}

func (x *Replica) send(to string, m Message) {
	m.From = x.self
	if m.Kind == MessageVerdicts {
		m.Leader = x.Leader()
	}
	x.do(Effect{Kind: Send, To: to, Message: m})
}

func (x *Replica) leads() bool { return x.leader == x.id }

// IsLeader says whether this seat leads the council, as far as it knows.
func (x *Replica) IsLeader() bool { return x.leads() }

// IsCurrent says whether this seat knows of all that was agreed on but for what is on its way: it hears a leader, or leads and is
// heard by a majority, and has carried out something of that leader's term, and with it all before.
func (x *Replica) IsCurrent() bool {
	if !x.founded || x.leader == 0 || x.now >= x.heardAt+electLeast || x.muted() {
		return false
	}
	term, err := x.storage.Term(x.applied)
	return err == nil && term == x.node.BasicStatus().GetTerm()
}

// Leader is the name of the seat that leads, as far as this one knows, empty where it knows none.
func (x *Replica) Leader() string {
	for name, s := range x.seats {
		if s.ID == x.leader {
			return name
		}
	}
	return ""
}

// guarded begins this seat anew where raft can't go on. Guards against messages that no sound seat sends; does harm
// where a fault of this program would better be seen at once: it is counted and told.
func (x *Replica) guarded(do func()) {
	defer func() {
		if what := recover(); what != nil {
			x.Counters.Broken++
			x.anew()
			x.remark(true, "the council's seat could not go on and begins anew: %v", what)
		}
	}()
	do()
}

func (x *Replica) fromSeat(in *Message) {
	m := new(pb.Message)
	if proto.Unmarshal(in.Raft, m) != nil || m.GetTo() != x.id || !slices.Contains(x.names, in.From) || x.disk.returning != nil {
		return
	}
	if len(x.answered) >= numbersMost {
		clear(x.answered)
	}
	x.answered[m.GetFrom()], x.heardOf[in.From] = x.now, m.GetFrom()
	x.heardWrite(m.GetFrom(), in.Number, in.From)
	switch m.GetType() {
	case pb.MsgPreVote, pb.MsgVote: // who hears a leader, or leads, does not help to unseat it
		if x.leader != 0 && x.now < x.heardAt+electLeast && m.GetFrom() != x.leader {
			return
		}
	case pb.MsgApp, pb.MsgHeartbeat, pb.MsgSnap:
		if m.GetTerm() >= x.node.BasicStatus().GetTerm() {
			x.heardAt = x.now
			x.stand()
		}
	}
	if m.GetType() == pb.MsgSnap && x.lacks(m, in.From) {
		return
	}
	x.node.Step(m) // what it refuses is old
	x.lead()
}

// lead follows who leads.
func (x *Replica) lead() {
	before := x.leader
	if x.leader = x.node.BasicStatus().Lead; x.leader == before {
		return
	}
	if x.leader == 0 {
		return
	}
	if x.leads() {
		x.beatAt, x.ruleAt = x.now, x.now
		for _, t := range x.tables {
			t.lead()
		}
		clear(x.answered)
		for _, s := range x.seats {
			x.answered[s.ID] = x.now
		}
		x.heardAt = x.now
		x.remark(false, "this node leads the council, term %d", x.node.BasicStatus().GetTerm())
	} else {
		x.heardAt = x.now
	}
}

// muted says whether this leader heard no majority, whatever it said, for long: it then keeps silent, so that those who hear it, and whom it
// does not hear, choose another.
func (x *Replica) muted() bool {
	if !x.leads() {
		return false
	}
	near := 0
	for _, s := range x.seats {
		if s.ID == x.id || x.now-x.answered[s.ID] < muteAfter {
			near++
		}
	}
	return 2*near <= len(x.seats)
}

func (x *Replica) timers() {
	if !x.founded {
		x.found()
	} else if x.disk.returning != nil {
		x.comeBack()
		return
	} else if last, _ := x.storage.LastIndex(); last == 1 && x.applied == 1 && x.leader == 0 && x.now-x.boundAt > foundFor {
		x.anew() // nothing was ever agreed on or acknowledged; others may have given this founding up
	}
	x.ask()
	if x.leads() {
		if x.now >= x.beatAt {
			x.beatAt = x.now + beatEvery
			x.node.Tick()
			if !x.muted() {
				x.heardAt = x.now
			} else if x.now >= x.whisperAt {
				x.whisperAt, x.whispers = x.now+whisperEvery, true
			}
		}
		for id, at := range x.snapAt {
			if x.now >= at+snapFor {
				delete(x.snapAt, id)
				x.node.ReportSnapshot(id, raft.SnapshotFailure)
			}
		}
		if x.now >= x.ruleAt {
			x.ruleAt = x.now + ruleEvery
			for _, t := range x.tables {
				t.rule()
			}
			x.seatAnew()
		}
	} else if x.now >= x.electAt {
		x.stand()
		if x.founded {
			x.Counters.Elections++
			x.node.Campaign()
			x.lead()
		}
	}
}

// seatAnew gives the place of one that forgot to its next life, one at a time.
func (x *Replica) seatAnew() {
	for _, name := range x.names {
		h, known := x.hails[name]
		if s, sits := x.seats[name]; known && h.Unassigned && sits && h.ID != s.ID && h.Incarnation > s.Life && name != x.self {
			x.reseat(name, incumbent{h.ID, h.Incarnation}, s)
			break
		}
	}
}

// reseat has another life take the place of one that forgot what it knew.
func (x *Replica) reseat(name string, now, before incumbent) {
	context, err := cbor.Marshal(map[string]incumbent{name: now})
	if err != nil {
		return
	}
	remove, add := pb.ConfChangeRemoveNode, pb.ConfChangeAddNode
	auto := pb.ConfChangeTransitionAuto
	x.node.ProposeConfChange(&pb.ConfChangeV2{Transition: &auto, Context: context, Changes: []*pb.ConfChangeSingle{
		{Type: &remove, NodeId: &before.ID}, {Type: &add, NodeId: &now.ID}}})
}

// propose has what the tables want agreed on agreed on.
func (x *Replica) propose() {
	for {
		parts := map[uint8]cbor.RawMessage{}
		for i, t := range x.tables {
			if part := t.next(); part != nil {
				parts[uint8(i)+1] = part
			}
		}
		if len(parts) == 0 {
			return
		}
		if text, err := canonical.Marshal(parts); err == nil {
			x.node.Propose(text) // one that is dropped is asked for again
		}
	}
}

// ready carries out what raft wants done, until there is nothing more, or the disk is waited for.
func (x *Replica) ready() {
	for x.disk.owed == nil && !x.disk.failed && x.node.HasReady() {
		rd := x.node.Ready()
		if x.disk.on && !(raft.IsEmptySnap(rd.Snapshot) && raft.IsEmptyHardState(rd.HardState) && len(rd.Entries) == 0) {
			if x.persist(&rd); !x.disk.rash {
				return
			}
			x.disk.owed = nil
		}
		x.carry(&rd)
	}
	x.writeSome()
	if x.disk.owed == nil && !x.disk.failed {
		x.compact()
	}
}

// carry does what raft wants done, once it is on the disk where there is one.
func (x *Replica) carry(rd *raft.Ready) {
	if !raft.IsEmptySnap(rd.Snapshot) {
		x.storage.ApplySnapshot(rd.Snapshot)
		x.restore(rd.Snapshot)
	}
	if !raft.IsEmptyHardState(rd.HardState) {
		x.storage.SetHardState(rd.HardState)
	}
	x.storage.Append(rd.Entries)
	x.say(rd.Messages)
	for _, e := range rd.CommittedEntries {
		x.apply(e)
	}
	x.node.Advance(*rd)
	x.lead()
}

// say posts raft's messages, where this seat is not muted.
func (x *Replica) say(messages []*pb.Message) {
	muted := x.muted()
	for _, m := range messages {
		if m.GetType() == pb.MsgSnap { // raft waits for word of it, sent or not
			x.snapAt[m.GetTo()] = x.now
			if x.writing != nil { // the last one may be of before the other sat here
				x.snapAt[m.GetTo()] += writtenAgain - snapFor
				continue
			}
		}
		if !muted || x.whispers {
			x.post(m)
		}
	}
}

func (x *Replica) post(m *pb.Message) {
	text, err := proto.Marshal(m)
	if err != nil {
		return
	}
	for _, name := range x.names {
		if x.seats[name].ID != m.GetTo() && x.heardOf[name] != m.GetTo() { // who sits there now may be news that this one lacks
			continue
		}
		x.send(name, Message{Kind: MessageRaft, Raft: text, Number: x.disk.persisted})
		return
	}
}

func (x *Replica) apply(e *pb.Entry) {
	x.applied = e.GetIndex()
	if len(e.GetData()) == 0 && e.GetType() == pb.EntryNormal {
		return
	}
	switch e.GetType() {
	case pb.EntryConfChangeV2, pb.EntryConfChange:
		x.seated(e)
	case pb.EntryNormal:
		var parts map[uint8]cbor.RawMessage
		if decode.Unmarshal(e.GetData(), &parts) != nil {
			return // alike on all
		}
		x.Counters.Entries++
		for key := range parts {
			if key == 0 || int(key) > len(x.tables) {
				panic("a table of a newer version: what the others know would not be known here")
			}
		}
		for i, t := range x.tables {
			if part := parts[uint8(i)+1]; part != nil {
				x.held[i] = nil
				if x.writing != nil {
					x.writing.changed[i] = true
				}
				t.Apply(x.time(), part)
			}
		}
	}
}

func (x *Replica) seated(e *pb.Entry) {
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
	x.confState = x.node.ApplyConfChange(cc)
	defer x.remember() // a seat that is new takes no snapshot of before it was there; one that is being written is begun anew
	var who map[string]incumbent
	if len(cc.Context) > 0 && cbor.Unmarshal(cc.Context, &who) == nil {
		for name, s := range who {
			x.seats[name] = s
			x.answered[s.ID] = x.now
			x.Counters.Reinitialized++
			x.remark(false, "%s sits in the council anew: what it knew before is lost with its last life", name)
		}
	}
}

// restore takes the place of what is known here. It panics where this seat can't go on with what the others agreed on.
func (x *Replica) restore(s *pb.Snapshot) {
	var parts map[uint8]cbor.RawMessage
	var seats map[string]incumbent
	err := cbor.Unmarshal(s.GetData(), &parts)
	if err == nil {
		err = cbor.Unmarshal(parts[keySeats], &seats)
	}
	for i, t := range x.tables {
		var text []byte
		if err == nil {
			text, x.digests[i], err = x.unpart(parts[keySeats+1+uint8(i)])
		}
		if err == nil {
			err = t.Restore(text)
		}
		x.held[i] = text
	}
	if err != nil {
		panic(err)
	}
	x.seats, x.writing = seats, nil
	x.confState = s.GetMetadata().GetConfState()
	x.applied, x.snapped = s.GetMetadata().GetIndex(), s.GetMetadata().GetIndex()
	x.founded = true
	x.trim()
	x.Counters.Snapshots++
}

// compact has a snapshot written where the log is long, and drops what it holds once it is whole.
func (x *Replica) compact() {
	switch {
	case x.writing != nil && x.writing.whole():
		x.remembered()
	case x.writing == nil && x.applied-x.snapped >= entriesMost:
		x.remember()
	}
}

// remember has a snapshot written of what is known now.
func (x *Replica) remember() {
	x.writing = x.beginSnapshot()
	x.writeSome()
	if x.writing.whole() {
		x.remembered()
	}
}

// remembered takes a snapshot that is whole in the place of what it holds.
func (x *Replica) remembered() {
	w := x.writing
	x.writing = nil
	if _, err := x.storage.CreateSnapshot(w.index, w.confState, x.written(w)); err != nil {
		return
	}
	x.Counters.Snapshots++
	x.snapped = w.index
	x.storage.Compact(w.index - min(w.index-1, entriesKept))
	x.trim()
	x.rebase()
}

// due is when the next of the timers is.
func (x *Replica) due() int64 {
	at := int64(never)
	if !x.founded {
		at = min(at, x.hailAt)
	}
	if x.disk.returning != nil {
		return min(at, x.disk.returnAt)
	}
	if x.fetch != nil {
		at = min(at, x.fetch.askAt)
	}
	if x.writing != nil && !x.writing.whole() {
		return x.now
	}
	if x.leads() {
		return min(at, x.beatAt, x.ruleAt)
	}
	return min(at, x.electAt)
}

// Founding. A seat that starts has no memory of what it may have voted before, so it never takes part under a number of
// an earlier life. A council comes about where all seats are without one: each binds itself, for this life, to the set of
// numbers that it sees, and founds once all are bound to the same. Where a council is there, its leader seats the newcomer.

// found says where this seat stands, and founds.
func (x *Replica) found() {
	bound := x.boundTo()
	switch {
	case x.bound == 0 && bound != 0:
		x.bound, x.boundAt = bound, x.now
		x.hailAt = x.now
	case x.bound != 0 && x.now-x.boundAt > bindFor:
		x.anew() // nobody can count on that number any more: it took part in nothing
	}
	if x.bound != 0 && x.allBound() {
		x.establish()
		return
	}
	if x.now >= x.hailAt {
		x.hailAt = x.now + hailEvery
		for _, name := range x.names {
			if name != x.self {
				x.hail(name)
			}
		}
	}
}

func (x *Replica) hail(to string) {
	x.send(to, Message{Kind: MessageDiscovery, ID: x.id, Incarnation: x.life, BoundTo: x.bound, Unassigned: !x.founded})
}

// boundTo is the founding of all numbers that are seen, 0 where not all are, or one belongs to a council.
func (x *Replica) boundTo() uint64 {
	h := xxhash.New()
	for _, name := range x.names {
		id := x.id
		if name != x.self {
			m, known := x.hails[name]
			if !known || !m.Unassigned {
				return 0
			}
			id = m.ID
		}
		fmt.Fprintf(h, "%s %x\n", name, id)
	}
	return h.Sum64() | 1
}

func (x *Replica) allBound() bool {
	for _, name := range x.names {
		if name != x.self && x.hails[name].BoundTo != x.bound {
			return false
		}
	}
	return true
}

// establish starts from the same empty state on all seats.
func (x *Replica) establish() {
	x.seats[x.self] = incumbent{x.id, x.life}
	voters := []uint64{x.id}
	for _, name := range x.names {
		if name != x.self {
			h := x.hails[name]
			x.seats[name] = incumbent{h.ID, h.Incarnation}
			voters = append(voters, h.ID)
		}
	}
	slices.Sort(voters)
	one := uint64(1)
	conf := &pb.ConfState{Voters: voters}
	x.storage.ApplySnapshot(&pb.Snapshot{Data: x.written(x.beginSnapshot()), Metadata: &pb.SnapshotMetadata{ConfState: conf, Index: &one, Term: &one}})
	x.storage.SetHardState(&pb.HardState{Term: &one, Commit: &one})
	x.confState, x.applied, x.snapped, x.founded = conf, 1, 1, true
	x.rebase()
	x.raft(1)
	x.stand()
	if len(x.names) == 1 {
		x.electAt = x.now
	}
	x.remark(false, "a council of %d is founded, with no claims", len(x.names))
	for _, name := range x.names {
		if name != x.self {
			x.hail(name)
		}
	}
}

func (x *Replica) hailed(m *Message) {
	if !slices.Contains(x.names, m.From) || m.From == x.self {
		return
	}
	before, known := x.hails[m.From]
	if known && m.Incarnation < before.Incarnation {
		return // of an earlier life, late
	}
	x.hails[m.From] = *m
	if m.Unassigned && (x.founded || !known || before.ID != m.ID || before.BoundTo != m.BoundTo) {
		x.hail(m.From)
	}
}

var decode = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxNestedLevels: 8, IndefLength: cbor.IndefLengthForbidden}.DecMode()
	if err != nil {
		panic(err) // of constants
	}
	return mode
}()

var canonical = func() cbor.EncMode {
	mode, err := cbor.CanonicalEncOptions().EncMode()
	if err != nil {
		panic(err) // of constants
	}
	return mode
}()

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
