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

	heartbeatInterval    = 80 * ms     // ns between words of a leader: several in the shortest wait for one
	minElectionTimeout   = 600 * ms    // ns without a word of a leader past which a seat stands, at the least; twice that at the most
	leaderSilenceTimeout = 1_200 * ms  // ns without a word of a majority past which a leader falls silent, so that others may stand
	stepDownInterval     = 3_000 * ms  // ns between words of a leader that is muted: two of them must hear of each other, and others still stand in between
	discoveryInterval    = 100 * ms    // ns between words of a seat that belongs to no council yet
	bootstrapTimeout     = 10_000 * ms // ns after which a council that never had a leader is given up by its seats
	bindingTimeout       = 3_000 * ms  // ns that a seat stays bound to a founding that does not come about
	leaderTickInterval   = 50 * ms     // ns between looks of a leader at what its tables propose of their own
	snapshotTimeout      = 1_000 * ms  // ns that a snapshot may be on its way
	snapshotRetryBackoff = 50 * ms     // ns until one is tried again that isn't written yet
	minStandstill        = 150 * ms    // ns past a wake from which this process stood still, and not the others
	retainedEntries      = 256         // entries kept behind a snapshot, for seats that lag a little
	maxLogEntries        = 2_048       // entries after which there is another snapshot
	maxMessageBytes      = 256 << 10   // of entries in one message
	maxUncommittedBytes  = 4 << 20     // of entries that are not agreed on yet; more are dropped, and asked for again
	maxInFlightMessages  = 64          // messages of entries on their way to one seat
	maxTrackedIDs        = 64          // numbers of seats that were heard: many lives of five
	never                = 1<<63 - 1   // ns
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

// replicatedTable is a table with what its host does around it at this seat alone.
type replicatedTable interface {
	Table
	reset()                 // a life of the seat begins: nothing is known or waited for
	becomeLeader()          // this seat leads from now on
	leaderTick()            // a look at what is to be proposed as the leader's own
	storedSeparately() bool // it is large and changes seldom: snapshots name it by its digest
	nextProposal() []byte   // the next part of what is to be proposed, nil where nothing is; it is handed out once
}

var errMissingPart = errors.New("a part that the snapshot names is not here")

// replicaIncarnation is who sits there: a life, under a number of its own in raft. One that comes back without what it knew is another
// number, so that it can't vote or answer for what it forgot.
type replicaIncarnation struct {
	ID          uint64 `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
}

// Keys of a snapshot; its parts by table follow the first. The tables of an entry have one less.
const snapshotKeyReplicas = uint8(1)

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

	self         string
	incarnation  uint64
	members      []string
	random       *rand.Rand
	now          int64
	wakeAt       int64
	effects      []Effect
	earlyEffects []Effect          // from before the first step
	tables       []replicatedTable // the key of each in an entry is its index and one
	agreedTime   func() int64      // that is agreed on
	cachedTexts  [][]byte          // what each table's last snapshot was, nil where it changed since

	raftID        uint64
	storage       *raft.MemoryStorage
	node          *raft.RawNode
	replicas      map[string]replicaIncarnation
	appliedIndex  uint64
	snapshotIndex uint64
	confState     *pb.ConfState
	bootstrapped  bool
	boundSet      uint64
	boundAt       int64
	discovered    map[string]Message

	leaderID         uint64
	leaderContactAt  int64 // when the leader was last heard
	lastContact      map[uint64]int64
	lastIDs          map[string]uint64 // the number that a seat last spoke under
	snapshotSentAt   map[uint64]int64
	electionAt       int64
	heartbeatAt      int64
	discoveryAt      int64
	leaderTickAt     int64
	stepDownAt       int64
	announceStepDown bool // in the next words, though it is muted

	disk               diskState
	processIncarnation uint64 // life of the process

	storedParts     map[string][]byte // of snapshots, by digest: those that are not within them
	previousDigests []string          // by the last snapshot but one
	cachedDigests   []string          // of held, where they are known
	partFetch       *partFetch        // nil where no snapshot waits
	snapshotWriter  *snapshotWriter   // nil where none is written
}

func newReplica(names []string, self string, life uint64, now, seed int64) *Replica {
	return &Replica{self: self, incarnation: life, processIncarnation: life, members: slices.Sorted(slices.Values(names)), random: rand.New(rand.NewSource(seed ^ int64(life))), now: now}
}

// initialize is a life of this seat, with nothing known.
func (x *Replica) initialize() {
	x.raftID = xxhash.Sum64String(fmt.Sprintf("%s %d %d", x.self, x.incarnation, x.random.Uint64())) | 1
	x.storage = raft.NewMemoryStorage()
	x.replicas, x.discovered = map[string]replicaIncarnation{}, map[string]Message{}
	x.appliedIndex, x.snapshotIndex, x.confState, x.bootstrapped, x.boundSet = 0, 0, nil, false, 0
	x.leaderID, x.lastContact, x.snapshotSentAt, x.lastIDs = 0, map[uint64]int64{}, map[uint64]int64{}, map[string]uint64{}
	x.cachedTexts, x.cachedDigests, x.announceStepDown = make([][]byte, len(x.tables)), make([]string, len(x.tables)), false
	x.storedParts, x.previousDigests, x.partFetch, x.snapshotWriter = map[string][]byte{}, nil, nil, nil
	x.disk.peerWrites, x.disk.peerWritesChanged, x.disk.pendingReady, x.disk.rejoinAnswers = map[uint64]uint64{}, false, nil, nil
	if x.disk.enabled && x.disk.nonEmpty {
		x.emitWrite(Write{DiscardEarlier: true}, nil)
	}
	for _, t := range x.tables {
		t.reset()
	}
	x.discoveryAt, x.leaderTickAt = x.now, x.now
	x.startRaft(0)
	x.resetElectionTimer()
}

// startRaft makes the node over what is stored. Elections are this package's, from its own source of chance: startRaft's ticks are
// only the leader's words.
func (x *Replica) startRaft(applied uint64) {
	node, err := raft.NewRawNode(&raft.Config{ID: x.raftID, ElectionTick: 1 << 30, HeartbeatTick: 1, Storage: x.storage, Applied: applied,
		MaxSizePerMsg: maxMessageBytes, MaxInflightMsgs: maxInFlightMessages, MaxUncommittedEntriesSize: maxUncommittedBytes, PreVote: true,
		MaxCommittedSizePerReady: maxUncommittedBytes, StepDownOnRemoval: true, Logger: raftLogger{}})
	if err != nil {
		panic(err) // of constants
	}
	x.node = node
}

// step takes what happened, by take, and does what follows from it.
func (x *Replica) step(now int64, take func()) {
	stood := x.wakeAt > 0 && now-x.wakeAt > minStandstill
	x.now, x.effects, x.earlyEffects = now, append(x.effects[:0], x.earlyEffects...), nil
	if stood && !x.isLeader() { // what came meanwhile is not read yet: a leader that was not heard is no sign
		x.resetElectionTimer()
	}
	x.restartOnPanic(func() {
		take()
		x.runTimers()
		x.propose()
		x.processReady()
		x.announceStepDown = x.announceStepDown && x.disk.pendingReady != nil
	})
}

func (x *Replica) resetElectionTimer() {
	x.electionAt = x.now + minElectionTimeout + x.random.Int63n(minElectionTimeout)
}

func (x *Replica) emit(e Effect) { x.effects = append(x.effects, e) }

func (x *Replica) log(warn bool, form string, args ...any) {
	x.emit(Effect{Kind: WriteLog, Warn: warn, Text: fmt.Sprintf(form, args...)})
}

func (x *Replica) send(to string, m Message) {
	m.From = x.self
	if m.Kind == MessageVerdicts {
		m.Leader = x.Leader()
	}
	x.emit(Effect{Kind: Send, To: to, Message: m})
}

func (x *Replica) isLeader() bool { return x.leaderID == x.raftID }

// IsLeader says whether this seat leads the council, as far as it knows.
func (x *Replica) IsLeader() bool { return x.isLeader() }

// IsCurrent says whether this seat knows of all that was agreed on but for what is on its way: it hears a leader, or leads and is
// heard by a majority, and has carried out something of that leader's term, and with it all before.
func (x *Replica) IsCurrent() bool {
	if !x.bootstrapped || x.leaderID == 0 || x.now >= x.leaderContactAt+minElectionTimeout || x.steppedDown() {
		return false
	}
	term, err := x.storage.Term(x.appliedIndex)
	return err == nil && term == x.node.BasicStatus().GetTerm()
}

// Leader is the name of the seat that leads, as far as this one knows, empty where it knows none.
func (x *Replica) Leader() string {
	for name, s := range x.replicas {
		if s.ID == x.leaderID {
			return name
		}
	}
	return ""
}

// restartOnPanic begins this seat anew where raft can't go on. Guards against messages that no sound seat sends; does harm
// where a fault of this program would better be seen at once: it is counted and told.
func (x *Replica) restartOnPanic(do func()) {
	defer func() {
		if what := recover(); what != nil {
			x.Counters.Broken++
			x.restart()
			x.log(true, "the council's seat could not go on and begins anew: %v", what)
		}
	}()
	do()
}

func (x *Replica) handleRaft(in *Message) {
	m := new(pb.Message)
	if proto.Unmarshal(in.Raft, m) != nil || m.GetTo() != x.raftID || !slices.Contains(x.members, in.From) || x.disk.rejoinAnswers != nil {
		return
	}
	if len(x.lastContact) >= maxTrackedIDs {
		clear(x.lastContact)
	}
	x.lastContact[m.GetFrom()], x.lastIDs[in.From] = x.now, m.GetFrom()
	x.trackPeerWrite(m.GetFrom(), in.Number, in.From)
	switch m.GetType() {
	case pb.MsgPreVote, pb.MsgVote: // who hears a leader, or leads, does not help to unseat it
		if x.leaderID != 0 && x.now < x.leaderContactAt+minElectionTimeout && m.GetFrom() != x.leaderID {
			return
		}
	case pb.MsgApp, pb.MsgHeartbeat, pb.MsgSnap:
		if m.GetTerm() >= x.node.BasicStatus().GetTerm() {
			x.leaderContactAt = x.now
			x.resetElectionTimer()
		}
	}
	if m.GetType() == pb.MsgSnap && x.awaitParts(m, in.From) {
		return
	}
	x.node.Step(m) // what it refuses is old
	x.followLeader()
}

// followLeader follows who leads.
func (x *Replica) followLeader() {
	before := x.leaderID
	if x.leaderID = x.node.BasicStatus().Lead; x.leaderID == before {
		return
	}
	if x.leaderID == 0 {
		return
	}
	if x.isLeader() {
		x.heartbeatAt, x.leaderTickAt = x.now, x.now
		for _, t := range x.tables {
			t.becomeLeader()
		}
		clear(x.lastContact)
		for _, s := range x.replicas {
			x.lastContact[s.ID] = x.now
		}
		x.leaderContactAt = x.now
		x.log(false, "this node leads the council, term %d", x.node.BasicStatus().GetTerm())
	} else {
		x.leaderContactAt = x.now
	}
}

// steppedDown says whether this leader heard no majority, whatever it said, for long: it then keeps silent, so that those who hear it, and whom it
// does not hear, choose another.
func (x *Replica) steppedDown() bool {
	if !x.isLeader() {
		return false
	}
	near := 0
	for _, s := range x.replicas {
		if s.ID == x.raftID || x.now-x.lastContact[s.ID] < leaderSilenceTimeout {
			near++
		}
	}
	return 2*near <= len(x.replicas)
}

func (x *Replica) runTimers() {
	if !x.bootstrapped {
		x.tickBootstrap()
	} else if x.disk.rejoinAnswers != nil {
		x.tickRejoin()
		return
	} else if last, _ := x.storage.LastIndex(); last == 1 && x.appliedIndex == 1 && x.leaderID == 0 && x.now-x.boundAt > bootstrapTimeout {
		x.restart() // nothing was ever agreed on or acknowledged; others may have given this founding up
	}
	x.requestChunk()
	if x.isLeader() {
		if x.now >= x.heartbeatAt {
			x.heartbeatAt = x.now + heartbeatInterval
			x.node.Tick()
			if !x.steppedDown() {
				x.leaderContactAt = x.now
			} else if x.now >= x.stepDownAt {
				x.stepDownAt, x.announceStepDown = x.now+stepDownInterval, true
			}
		}
		for id, at := range x.snapshotSentAt {
			if x.now >= at+snapshotTimeout {
				delete(x.snapshotSentAt, id)
				x.node.ReportSnapshot(id, raft.SnapshotFailure)
			}
		}
		if x.now >= x.leaderTickAt {
			x.leaderTickAt = x.now + leaderTickInterval
			for _, t := range x.tables {
				t.leaderTick()
			}
			x.replaceRestarted()
		}
	} else if x.now >= x.electionAt {
		x.resetElectionTimer()
		if x.bootstrapped {
			x.Counters.Elections++
			x.node.Campaign()
			x.followLeader()
		}
	}
}

// replaceRestarted gives the place of one that forgot to its next life, one at a time.
func (x *Replica) replaceRestarted() {
	for _, name := range x.members {
		h, known := x.discovered[name]
		if s, sits := x.replicas[name]; known && h.Unassigned && sits && h.ID != s.ID && h.Incarnation > s.Incarnation && name != x.self {
			x.proposeReplacement(name, replicaIncarnation{h.ID, h.Incarnation}, s)
			break
		}
	}
}

// proposeReplacement has another life take the place of one that forgot what it knew.
func (x *Replica) proposeReplacement(name string, now, before replicaIncarnation) {
	context, err := cbor.Marshal(map[string]replicaIncarnation{name: now})
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
			if part := t.nextProposal(); part != nil {
				parts[uint8(i)+1] = part
			}
		}
		if len(parts) == 0 {
			return
		}
		if text, err := cborEncoding.Marshal(parts); err == nil {
			x.node.Propose(text) // one that is dropped is asked for again
		}
	}
}

// processReady carries out what raft wants done, until there is nothing more, or the disk is waited for.
func (x *Replica) processReady() {
	for x.disk.pendingReady == nil && !x.disk.failed && x.node.HasReady() {
		rd := x.node.Ready()
		if x.disk.enabled && !(raft.IsEmptySnap(rd.Snapshot) && raft.IsEmptyHardState(rd.HardState) && len(rd.Entries) == 0) {
			if x.persistReady(&rd); !x.disk.unsafeNoWait {
				return
			}
			x.disk.pendingReady = nil
		}
		x.applyReady(&rd)
	}
	x.continueSnapshot()
	if x.disk.pendingReady == nil && !x.disk.failed {
		x.compact()
	}
}

// applyReady does what raft wants done, once it is on the disk where there is one.
func (x *Replica) applyReady(rd *raft.Ready) {
	if !raft.IsEmptySnap(rd.Snapshot) {
		x.storage.ApplySnapshot(rd.Snapshot)
		x.restoreSnapshot(rd.Snapshot)
	}
	if !raft.IsEmptyHardState(rd.HardState) {
		x.storage.SetHardState(rd.HardState)
	}
	x.storage.Append(rd.Entries)
	x.sendRaftMessages(rd.Messages)
	for _, e := range rd.CommittedEntries {
		x.applyEntry(e)
	}
	x.node.Advance(*rd)
	x.followLeader()
}

// sendRaftMessages posts raft's messages, where this seat is not muted.
func (x *Replica) sendRaftMessages(messages []*pb.Message) {
	muted := x.steppedDown()
	for _, m := range messages {
		if m.GetType() == pb.MsgSnap { // raft waits for word of it, sent or not
			x.snapshotSentAt[m.GetTo()] = x.now
			if x.snapshotWriter != nil { // the last one may be of before the other sat here
				x.snapshotSentAt[m.GetTo()] += snapshotRetryBackoff - snapshotTimeout
				continue
			}
		}
		if !muted || x.announceStepDown {
			x.sendRaftMessage(m)
		}
	}
}

func (x *Replica) sendRaftMessage(m *pb.Message) {
	text, err := proto.Marshal(m)
	if err != nil {
		return
	}
	for _, name := range x.members {
		if x.replicas[name].ID != m.GetTo() && x.lastIDs[name] != m.GetTo() { // who sits there now may be news that this one lacks
			continue
		}
		x.send(name, Message{Kind: MessageRaft, Raft: text, Number: x.disk.lastPersisted})
		return
	}
}

func (x *Replica) applyEntry(e *pb.Entry) {
	x.appliedIndex = e.GetIndex()
	if len(e.GetData()) == 0 && e.GetType() == pb.EntryNormal {
		return
	}
	switch e.GetType() {
	case pb.EntryConfChangeV2, pb.EntryConfChange:
		x.applyConfChange(e)
	case pb.EntryNormal:
		var parts map[uint8]cbor.RawMessage
		if cborDecoding.Unmarshal(e.GetData(), &parts) != nil {
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
				x.cachedTexts[i] = nil
				if x.snapshotWriter != nil {
					x.snapshotWriter.changed[i] = true
				}
				t.Apply(x.agreedTime(), part)
			}
		}
	}
}

func (x *Replica) applyConfChange(e *pb.Entry) {
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
	defer x.startSnapshot() // a seat that is new takes no snapshot of before it was there; one that is being written is begun anew
	var who map[string]replicaIncarnation
	if len(cc.Context) > 0 && cbor.Unmarshal(cc.Context, &who) == nil {
		for name, s := range who {
			x.replicas[name] = s
			x.lastContact[s.ID] = x.now
			x.Counters.Reinitialized++
			x.log(false, "%s sits in the council anew: what it knew before is lost with its last life", name)
		}
	}
}

// restoreSnapshot takes the place of what is known here. It panics where this seat can't go on with what the others agreed on.
func (x *Replica) restoreSnapshot(s *pb.Snapshot) {
	var parts map[uint8]cbor.RawMessage
	var seats map[string]replicaIncarnation
	err := cbor.Unmarshal(s.GetData(), &parts)
	if err == nil {
		err = cbor.Unmarshal(parts[snapshotKeyReplicas], &seats)
	}
	for i, t := range x.tables {
		var text []byte
		if err == nil {
			text, x.cachedDigests[i], err = x.decodePart(parts[snapshotKeyReplicas+1+uint8(i)])
		}
		if err == nil {
			err = t.Restore(text)
		}
		x.cachedTexts[i] = text
	}
	if err != nil {
		panic(err)
	}
	x.replicas, x.snapshotWriter = seats, nil
	x.confState = s.GetMetadata().GetConfState()
	x.appliedIndex, x.snapshotIndex = s.GetMetadata().GetIndex(), s.GetMetadata().GetIndex()
	x.bootstrapped = true
	x.dropUnusedParts()
	x.Counters.Snapshots++
}

// compact has a snapshot written where the log is long, and drops what it holds once it is whole.
func (x *Replica) compact() {
	switch {
	case x.snapshotWriter != nil && x.snapshotWriter.complete():
		x.finishSnapshot()
	case x.snapshotWriter == nil && x.appliedIndex-x.snapshotIndex >= maxLogEntries:
		x.startSnapshot()
	}
}

// startSnapshot has a snapshot written of what is known now.
func (x *Replica) startSnapshot() {
	x.snapshotWriter = x.beginSnapshot()
	x.continueSnapshot()
	if x.snapshotWriter.complete() {
		x.finishSnapshot()
	}
}

// finishSnapshot takes a snapshot that is whole in the place of what it holds.
func (x *Replica) finishSnapshot() {
	w := x.snapshotWriter
	x.snapshotWriter = nil
	if _, err := x.storage.CreateSnapshot(w.index, w.confState, x.encodeSnapshot(w)); err != nil {
		return
	}
	x.Counters.Snapshots++
	x.snapshotIndex = w.index
	x.storage.Compact(w.index - min(w.index-1, retainedEntries))
	x.dropUnusedParts()
	x.rewriteBase()
}

// nextDeadline is when the next of the timers is.
func (x *Replica) nextDeadline() int64 {
	at := int64(never)
	if !x.bootstrapped {
		at = min(at, x.discoveryAt)
	}
	if x.disk.rejoinAnswers != nil {
		return min(at, x.disk.rejoinAt)
	}
	if x.partFetch != nil {
		at = min(at, x.partFetch.requestAt)
	}
	if x.snapshotWriter != nil && !x.snapshotWriter.complete() {
		return x.now
	}
	if x.isLeader() {
		return min(at, x.heartbeatAt, x.leaderTickAt)
	}
	return min(at, x.electionAt)
}

// Founding. A seat that starts has no memory of what it may have voted before, so it never takes part under a number of
// an earlier life. A council comes about where all seats are without one: each binds itself, for this life, to the set of
// numbers that it sees, and founds once all are bound to the same. Where a council is there, its leader seats the newcomer.

// tickBootstrap says where this seat stands, and founds.
func (x *Replica) tickBootstrap() {
	bound := x.visibleSet()
	switch {
	case x.boundSet == 0 && bound != 0:
		x.boundSet, x.boundAt = bound, x.now
		x.discoveryAt = x.now
	case x.boundSet != 0 && x.now-x.boundAt > bindingTimeout:
		x.restart() // nobody can count on that number any more: it took part in nothing
	}
	if x.boundSet != 0 && x.allBound() {
		x.bootstrap()
		return
	}
	if x.now >= x.discoveryAt {
		x.discoveryAt = x.now + discoveryInterval
		for _, name := range x.members {
			if name != x.self {
				x.sendDiscovery(name)
			}
		}
	}
}

func (x *Replica) sendDiscovery(to string) {
	x.send(to, Message{Kind: MessageDiscovery, ID: x.raftID, Incarnation: x.incarnation, BoundTo: x.boundSet, Unassigned: !x.bootstrapped})
}

// visibleSet is the founding of all numbers that are seen, 0 where not all are, or one belongs to a council.
func (x *Replica) visibleSet() uint64 {
	h := xxhash.New()
	for _, name := range x.members {
		id := x.raftID
		if name != x.self {
			m, known := x.discovered[name]
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
	for _, name := range x.members {
		if name != x.self && x.discovered[name].BoundTo != x.boundSet {
			return false
		}
	}
	return true
}

// bootstrap starts from the same empty state on all seats.
func (x *Replica) bootstrap() {
	x.replicas[x.self] = replicaIncarnation{x.raftID, x.incarnation}
	voters := []uint64{x.raftID}
	for _, name := range x.members {
		if name != x.self {
			h := x.discovered[name]
			x.replicas[name] = replicaIncarnation{h.ID, h.Incarnation}
			voters = append(voters, h.ID)
		}
	}
	slices.Sort(voters)
	one := uint64(1)
	conf := &pb.ConfState{Voters: voters}
	x.storage.ApplySnapshot(&pb.Snapshot{Data: x.encodeSnapshot(x.beginSnapshot()), Metadata: &pb.SnapshotMetadata{ConfState: conf, Index: &one, Term: &one}})
	x.storage.SetHardState(&pb.HardState{Term: &one, Commit: &one})
	x.confState, x.appliedIndex, x.snapshotIndex, x.bootstrapped = conf, 1, 1, true
	x.rewriteBase()
	x.startRaft(1)
	x.resetElectionTimer()
	if len(x.members) == 1 {
		x.electionAt = x.now
	}
	x.log(false, "a council of %d is founded, with no claims", len(x.members))
	for _, name := range x.members {
		if name != x.self {
			x.sendDiscovery(name)
		}
	}
}

func (x *Replica) handleDiscovery(m *Message) {
	if !slices.Contains(x.members, m.From) || m.From == x.self {
		return
	}
	before, known := x.discovered[m.From]
	if known && m.Incarnation < before.Incarnation {
		return // of an earlier life, late
	}
	x.discovered[m.From] = *m
	if m.Unassigned && (x.bootstrapped || !known || before.ID != m.ID || before.BoundTo != m.BoundTo) {
		x.sendDiscovery(m.From)
	}
}

var cborDecoding = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxNestedLevels: 8, IndefLength: cbor.IndefLengthForbidden}.DecMode()
	if err != nil {
		panic(err) // of constants
	}
	return mode
}()

var cborEncoding = func() cbor.EncMode {
	mode, err := cbor.CanonicalEncOptions().EncMode()
	if err != nil {
		panic(err) // of constants
	}
	return mode
}()

// raftLogger takes what raft has to say; what matters is told as remarks, and what it can't stand ends the seat's life.
type raftLogger struct{}

func (raftLogger) Debug(...any)              {}
func (raftLogger) Debugf(string, ...any)     {}
func (raftLogger) Error(...any)              {}
func (raftLogger) Errorf(string, ...any)     {}
func (raftLogger) Info(...any)               {}
func (raftLogger) Infof(string, ...any)      {}
func (raftLogger) Warning(...any)            {}
func (raftLogger) Warningf(string, ...any)   {}
func (raftLogger) Fatal(v ...any)            { panic(fmt.Sprint(v...)) }
func (raftLogger) Fatalf(f string, v ...any) { panic(fmt.Sprintf(f, v...)) }
func (raftLogger) Panic(v ...any)            { panic(fmt.Sprint(v...)) }
func (raftLogger) Panicf(f string, v ...any) { panic(fmt.Sprintf(f, v...)) }
