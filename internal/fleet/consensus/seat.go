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
func (r *Replica) initialize() {
	r.raftID = xxhash.Sum64String(fmt.Sprintf("%s %d %d", r.self, r.incarnation, r.random.Uint64())) | 1
	r.storage = raft.NewMemoryStorage()
	r.replicas, r.discovered = map[string]replicaIncarnation{}, map[string]Message{}
	r.appliedIndex, r.snapshotIndex, r.confState, r.bootstrapped, r.boundSet = 0, 0, nil, false, 0
	r.leaderID, r.lastContact, r.snapshotSentAt, r.lastIDs = 0, map[uint64]int64{}, map[uint64]int64{}, map[string]uint64{}
	r.cachedTexts, r.cachedDigests, r.announceStepDown = make([][]byte, len(r.tables)), make([]string, len(r.tables)), false
	r.storedParts, r.previousDigests, r.partFetch, r.snapshotWriter = map[string][]byte{}, nil, nil, nil
	r.disk.peerWrites, r.disk.peerWritesChanged, r.disk.pendingReady, r.disk.rejoinAnswers = map[uint64]uint64{}, false, nil, nil
	if r.disk.enabled && r.disk.nonEmpty {
		r.emitWrite(Write{DiscardEarlier: true}, nil)
	}
	for _, t := range r.tables {
		t.reset()
	}
	r.discoveryAt, r.leaderTickAt = r.now, r.now
	r.startRaft(0)
	r.resetElectionTimer()
}

// startRaft makes the node over what is stored. Elections are this package's, from its own source of chance: startRaft's ticks are
// only the leader's words.
func (r *Replica) startRaft(applied uint64) {
	node, err := raft.NewRawNode(&raft.Config{ID: r.raftID, ElectionTick: 1 << 30, HeartbeatTick: 1, Storage: r.storage, Applied: applied,
		MaxSizePerMsg: maxMessageBytes, MaxInflightMsgs: maxInFlightMessages, MaxUncommittedEntriesSize: maxUncommittedBytes, PreVote: true,
		MaxCommittedSizePerReady: maxUncommittedBytes, StepDownOnRemoval: true, Logger: raftLogger{}})
	if err != nil {
		panic(err) // of constants
	}
	r.node = node
}

// step takes what happened, by take, and does what follows from it.
func (r *Replica) step(now int64, take func()) {
	stood := r.wakeAt > 0 && now-r.wakeAt > minStandstill
	r.now, r.effects, r.earlyEffects = now, append(r.effects[:0], r.earlyEffects...), nil
	if stood && !r.isLeader() { // what came meanwhile is not read yet: a leader that was not heard is no sign
		r.resetElectionTimer()
	}
	r.restartOnPanic(func() {
		take()
		r.runTimers()
		r.propose()
		r.processReady()
		r.announceStepDown = r.announceStepDown && r.disk.pendingReady != nil
	})
}

func (r *Replica) resetElectionTimer() {
	r.electionAt = r.now + minElectionTimeout + r.random.Int63n(minElectionTimeout)
}

func (r *Replica) emit(e Effect) { r.effects = append(r.effects, e) }

func (r *Replica) log(warn bool, form string, args ...any) {
	r.emit(Effect{Kind: WriteLog, Warn: warn, Text: fmt.Sprintf(form, args...)})
}

func (r *Replica) send(to string, m Message) {
	m.From = r.self
	if m.Kind == MessageVerdicts {
		m.Leader = r.Leader()
	}
	r.emit(Effect{Kind: Send, To: to, Message: m})
}

func (r *Replica) isLeader() bool { return r.leaderID == r.raftID }

// IsLeader says whether this seat leads the council, as far as it knows.
func (r *Replica) IsLeader() bool { return r.isLeader() }

// IsCurrent says whether this seat knows of all that was agreed on but for what is on its way: it hears a leader, or leads and is
// heard by a majority, and has carried out something of that leader's term, and with it all before.
func (r *Replica) IsCurrent() bool {
	if !r.bootstrapped || r.leaderID == 0 || r.now >= r.leaderContactAt+minElectionTimeout || r.steppedDown() {
		return false
	}
	term, err := r.storage.Term(r.appliedIndex)
	return err == nil && term == r.node.BasicStatus().GetTerm()
}

// Leader is the name of the seat that leads, as far as this one knows, empty where it knows none.
func (r *Replica) Leader() string {
	for name, s := range r.replicas {
		if s.ID == r.leaderID {
			return name
		}
	}
	return ""
}

// restartOnPanic begins this seat anew where raft can't go on. Guards against messages that no sound seat sends; does harm
// where a fault of this program would better be seen at once: it is counted and told.
func (r *Replica) restartOnPanic(do func()) {
	defer func() {
		if cause := recover(); cause != nil {
			r.Counters.Broken++
			r.restart()
			r.log(true, "the council's seat could not go on and begins anew: %v", cause)
		}
	}()
	do()
}

func (r *Replica) handleRaft(in *Message) {
	m := new(pb.Message)
	if proto.Unmarshal(in.Raft, m) != nil || m.GetTo() != r.raftID || !slices.Contains(r.members, in.From) || r.disk.rejoinAnswers != nil {
		return
	}
	if len(r.lastContact) >= maxTrackedIDs {
		clear(r.lastContact)
	}
	r.lastContact[m.GetFrom()], r.lastIDs[in.From] = r.now, m.GetFrom()
	r.trackPeerWrite(m.GetFrom(), in.Number, in.From)
	switch m.GetType() {
	case pb.MsgPreVote, pb.MsgVote: // who hears a leader, or leads, does not help to unseat it
		if r.leaderID != 0 && r.now < r.leaderContactAt+minElectionTimeout && m.GetFrom() != r.leaderID {
			return
		}
	case pb.MsgApp, pb.MsgHeartbeat, pb.MsgSnap:
		if m.GetTerm() >= r.node.BasicStatus().GetTerm() {
			r.leaderContactAt = r.now
			r.resetElectionTimer()
		}
	}
	if m.GetType() == pb.MsgSnap && r.awaitParts(m, in.From) {
		return
	}
	r.node.Step(m) // what it refuses is old
	r.followLeader()
}

// followLeader follows who leads.
func (r *Replica) followLeader() {
	before := r.leaderID
	if r.leaderID = r.node.BasicStatus().Lead; r.leaderID == before {
		return
	}
	if r.leaderID == 0 {
		return
	}
	if r.isLeader() {
		r.heartbeatAt, r.leaderTickAt = r.now, r.now
		for _, t := range r.tables {
			t.becomeLeader()
		}
		clear(r.lastContact)
		for _, s := range r.replicas {
			r.lastContact[s.ID] = r.now
		}
		r.leaderContactAt = r.now
		r.log(false, "this node leads the council, term %d", r.node.BasicStatus().GetTerm())
	} else {
		r.leaderContactAt = r.now
	}
}

// steppedDown says whether this leader heard no majority, whatever it said, for long: it then keeps silent, so that those who hear it, and whom it
// does not hear, choose another.
func (r *Replica) steppedDown() bool {
	if !r.isLeader() {
		return false
	}
	near := 0
	for _, s := range r.replicas {
		if s.ID == r.raftID || r.now-r.lastContact[s.ID] < leaderSilenceTimeout {
			near++
		}
	}
	return 2*near <= len(r.replicas)
}

func (r *Replica) runTimers() {
	if !r.bootstrapped {
		r.tickBootstrap()
	} else if r.disk.rejoinAnswers != nil {
		r.tickRejoin()
		return
	} else if last, _ := r.storage.LastIndex(); last == 1 && r.appliedIndex == 1 && r.leaderID == 0 && r.now-r.boundAt > bootstrapTimeout {
		r.restart() // nothing was ever agreed on or acknowledged; others may have given this founding up
	}
	r.requestChunk()
	if r.isLeader() {
		if r.now >= r.heartbeatAt {
			r.heartbeatAt = r.now + heartbeatInterval
			r.node.Tick()
			if !r.steppedDown() {
				r.leaderContactAt = r.now
			} else if r.now >= r.stepDownAt {
				r.stepDownAt, r.announceStepDown = r.now+stepDownInterval, true
			}
		}
		for id, at := range r.snapshotSentAt {
			if r.now >= at+snapshotTimeout {
				delete(r.snapshotSentAt, id)
				r.node.ReportSnapshot(id, raft.SnapshotFailure)
			}
		}
		if r.now >= r.leaderTickAt {
			r.leaderTickAt = r.now + leaderTickInterval
			for _, t := range r.tables {
				t.leaderTick()
			}
			r.replaceRestarted()
		}
	} else if r.now >= r.electionAt {
		r.resetElectionTimer()
		if r.bootstrapped {
			r.Counters.Elections++
			r.node.Campaign()
			r.followLeader()
		}
	}
}

// replaceRestarted gives the place of one that forgot to its next life, one at a time.
func (r *Replica) replaceRestarted() {
	for _, name := range r.members {
		h, known := r.discovered[name]
		if s, sits := r.replicas[name]; known && h.Unassigned && sits && h.ID != s.ID && h.Incarnation > s.Incarnation && name != r.self {
			r.proposeReplacement(name, replicaIncarnation{h.ID, h.Incarnation}, s)
			break
		}
	}
}

// proposeReplacement has another life take the place of one that forgot what it knew.
func (r *Replica) proposeReplacement(name string, now, before replicaIncarnation) {
	context, err := cbor.Marshal(map[string]replicaIncarnation{name: now})
	if err != nil {
		return
	}
	remove, add := pb.ConfChangeRemoveNode, pb.ConfChangeAddNode
	auto := pb.ConfChangeTransitionAuto
	r.node.ProposeConfChange(&pb.ConfChangeV2{Transition: &auto, Context: context, Changes: []*pb.ConfChangeSingle{
		{Type: &remove, NodeId: &before.ID}, {Type: &add, NodeId: &now.ID}}})
}

// propose has what the tables want agreed on agreed on.
func (r *Replica) propose() {
	for {
		parts := map[uint8]cbor.RawMessage{}
		for i, t := range r.tables {
			if part := t.nextProposal(); part != nil {
				parts[uint8(i)+1] = part
			}
		}
		if len(parts) == 0 {
			return
		}
		if text, err := cborEncoding.Marshal(parts); err == nil {
			r.node.Propose(text) // one that is dropped is asked for again
		}
	}
}

// processReady carries out what raft wants done, until there is nothing more, or the disk is waited for.
func (r *Replica) processReady() {
	for r.disk.pendingReady == nil && !r.disk.failed && r.node.HasReady() {
		rd := r.node.Ready()
		if r.disk.enabled && !(raft.IsEmptySnap(rd.Snapshot) && raft.IsEmptyHardState(rd.HardState) && len(rd.Entries) == 0) {
			if r.persistReady(&rd); !r.disk.unsafeNoWait {
				return
			}
			r.disk.pendingReady = nil
		}
		r.applyReady(&rd)
	}
	r.continueSnapshot()
	if r.disk.pendingReady == nil && !r.disk.failed {
		r.compact()
	}
}

// applyReady does what raft wants done, once it is on the disk where there is one.
func (r *Replica) applyReady(rd *raft.Ready) {
	if !raft.IsEmptySnap(rd.Snapshot) {
		r.storage.ApplySnapshot(rd.Snapshot)
		r.restoreSnapshot(rd.Snapshot)
	}
	if !raft.IsEmptyHardState(rd.HardState) {
		r.storage.SetHardState(rd.HardState)
	}
	r.storage.Append(rd.Entries)
	r.sendRaftMessages(rd.Messages)
	for _, e := range rd.CommittedEntries {
		r.applyEntry(e)
	}
	r.node.Advance(*rd)
	r.followLeader()
}

// sendRaftMessages posts raft's messages, where this seat is not muted.
func (r *Replica) sendRaftMessages(messages []*pb.Message) {
	muted := r.steppedDown()
	for _, m := range messages {
		if m.GetType() == pb.MsgSnap { // raft waits for word of it, sent or not
			r.snapshotSentAt[m.GetTo()] = r.now
			if r.snapshotWriter != nil { // the last one may be of before the other sat here
				r.snapshotSentAt[m.GetTo()] += snapshotRetryBackoff - snapshotTimeout
				continue
			}
		}
		if !muted || r.announceStepDown {
			r.sendRaftMessage(m)
		}
	}
}

func (r *Replica) sendRaftMessage(m *pb.Message) {
	text, err := proto.Marshal(m)
	if err != nil {
		return
	}
	for _, name := range r.members {
		if r.replicas[name].ID != m.GetTo() && r.lastIDs[name] != m.GetTo() { // who sits there now may be news that this one lacks
			continue
		}
		r.send(name, Message{Kind: MessageRaft, Raft: text, Number: r.disk.lastPersisted})
		return
	}
}

func (r *Replica) applyEntry(e *pb.Entry) {
	r.appliedIndex = e.GetIndex()
	if len(e.GetData()) == 0 && e.GetType() == pb.EntryNormal {
		return
	}
	switch e.GetType() {
	case pb.EntryConfChangeV2, pb.EntryConfChange:
		r.applyConfChange(e)
	case pb.EntryNormal:
		var parts map[uint8]cbor.RawMessage
		if cborDecoding.Unmarshal(e.GetData(), &parts) != nil {
			return // alike on all
		}
		r.Counters.Entries++
		for key := range parts {
			if key == 0 || int(key) > len(r.tables) {
				panic("a table of a newer version: what the others know would not be known here")
			}
		}
		for i, t := range r.tables {
			if part := parts[uint8(i)+1]; part != nil {
				r.cachedTexts[i] = nil
				if r.snapshotWriter != nil {
					r.snapshotWriter.changed[i] = true
				}
				t.Apply(r.agreedTime(), part)
			}
		}
	}
}

func (r *Replica) applyConfChange(e *pb.Entry) {
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
	r.confState = r.node.ApplyConfChange(cc)
	defer r.startSnapshot() // a seat that is new takes no snapshot of before it was there; one that is being written is begun anew
	var who map[string]replicaIncarnation
	if len(cc.Context) > 0 && cbor.Unmarshal(cc.Context, &who) == nil {
		for name, s := range who {
			r.replicas[name] = s
			r.lastContact[s.ID] = r.now
			r.Counters.Reinitialized++
			r.log(false, "%s sits in the council anew: what it knew before is lost with its last life", name)
		}
	}
}

// restoreSnapshot takes the place of what is known here. It panics where this seat can't go on with what the others agreed on.
func (r *Replica) restoreSnapshot(s *pb.Snapshot) {
	var parts map[uint8]cbor.RawMessage
	var seats map[string]replicaIncarnation
	err := cbor.Unmarshal(s.GetData(), &parts)
	if err == nil {
		err = cbor.Unmarshal(parts[snapshotKeyReplicas], &seats)
	}
	for i, t := range r.tables {
		var text []byte
		if err == nil {
			text, r.cachedDigests[i], err = r.decodePart(parts[snapshotKeyReplicas+1+uint8(i)])
		}
		if err == nil {
			err = t.Restore(text)
		}
		r.cachedTexts[i] = text
	}
	if err != nil {
		panic(err)
	}
	r.replicas, r.snapshotWriter = seats, nil
	r.confState = s.GetMetadata().GetConfState()
	r.appliedIndex, r.snapshotIndex = s.GetMetadata().GetIndex(), s.GetMetadata().GetIndex()
	r.bootstrapped = true
	r.dropUnusedParts()
	r.Counters.Snapshots++
}

// compact has a snapshot written where the log is long, and drops what it holds once it is whole.
func (r *Replica) compact() {
	switch {
	case r.snapshotWriter != nil && r.snapshotWriter.complete():
		r.finishSnapshot()
	case r.snapshotWriter == nil && r.appliedIndex-r.snapshotIndex >= maxLogEntries:
		r.startSnapshot()
	}
}

// startSnapshot has a snapshot written of what is known now.
func (r *Replica) startSnapshot() {
	r.snapshotWriter = r.beginSnapshot()
	r.continueSnapshot()
	if r.snapshotWriter.complete() {
		r.finishSnapshot()
	}
}

// finishSnapshot takes a snapshot that is whole in the place of what it holds.
func (r *Replica) finishSnapshot() {
	w := r.snapshotWriter
	r.snapshotWriter = nil
	if _, err := r.storage.CreateSnapshot(w.index, w.confState, r.encodeSnapshot(w)); err != nil {
		return
	}
	r.Counters.Snapshots++
	r.snapshotIndex = w.index
	r.storage.Compact(w.index - min(w.index-1, retainedEntries))
	r.dropUnusedParts()
	r.rewriteBase()
}

// nextDeadline is when the next of the timers is.
func (r *Replica) nextDeadline() int64 {
	at := int64(never)
	if !r.bootstrapped {
		at = min(at, r.discoveryAt)
	}
	if r.disk.rejoinAnswers != nil {
		return min(at, r.disk.rejoinAt)
	}
	if r.partFetch != nil {
		at = min(at, r.partFetch.requestAt)
	}
	if r.snapshotWriter != nil && !r.snapshotWriter.complete() {
		return r.now
	}
	if r.isLeader() {
		return min(at, r.heartbeatAt, r.leaderTickAt)
	}
	return min(at, r.electionAt)
}

// Founding. A seat that starts has no memory of what it may have voted before, so it never takes part under a number of
// an earlier life. A council comes about where all seats are without one: each binds itself, for this life, to the set of
// numbers that it sees, and founds once all are bound to the same. Where a council is there, its leader seats the newcomer.

// tickBootstrap says where this seat stands, and founds.
func (r *Replica) tickBootstrap() {
	bound := r.visibleSet()
	switch {
	case r.boundSet == 0 && bound != 0:
		r.boundSet, r.boundAt = bound, r.now
		r.discoveryAt = r.now
	case r.boundSet != 0 && r.now-r.boundAt > bindingTimeout:
		r.restart() // nobody can count on that number any more: it took part in nothing
	}
	if r.boundSet != 0 && r.allBound() {
		r.bootstrap()
		return
	}
	if r.now >= r.discoveryAt {
		r.discoveryAt = r.now + discoveryInterval
		for _, name := range r.members {
			if name != r.self {
				r.sendDiscovery(name)
			}
		}
	}
}

func (r *Replica) sendDiscovery(to string) {
	r.send(to, Message{Kind: MessageDiscovery, ID: r.raftID, Incarnation: r.incarnation, BoundTo: r.boundSet, Unassigned: !r.bootstrapped})
}

// visibleSet is the founding of all numbers that are seen, 0 where not all are, or one belongs to a council.
func (r *Replica) visibleSet() uint64 {
	h := xxhash.New()
	for _, name := range r.members {
		id := r.raftID
		if name != r.self {
			m, known := r.discovered[name]
			if !known || !m.Unassigned {
				return 0
			}
			id = m.ID
		}
		fmt.Fprintf(h, "%s %x\n", name, id)
	}
	return h.Sum64() | 1
}

func (r *Replica) allBound() bool {
	for _, name := range r.members {
		if name != r.self && r.discovered[name].BoundTo != r.boundSet {
			return false
		}
	}
	return true
}

// bootstrap starts from the same empty state on all seats.
func (r *Replica) bootstrap() {
	r.replicas[r.self] = replicaIncarnation{r.raftID, r.incarnation}
	voters := []uint64{r.raftID}
	for _, name := range r.members {
		if name != r.self {
			h := r.discovered[name]
			r.replicas[name] = replicaIncarnation{h.ID, h.Incarnation}
			voters = append(voters, h.ID)
		}
	}
	slices.Sort(voters)
	one := uint64(1)
	conf := &pb.ConfState{Voters: voters}
	r.storage.ApplySnapshot(&pb.Snapshot{Data: r.encodeSnapshot(r.beginSnapshot()), Metadata: &pb.SnapshotMetadata{ConfState: conf, Index: &one, Term: &one}})
	r.storage.SetHardState(&pb.HardState{Term: &one, Commit: &one})
	r.confState, r.appliedIndex, r.snapshotIndex, r.bootstrapped = conf, 1, 1, true
	r.rewriteBase()
	r.startRaft(1)
	r.resetElectionTimer()
	if len(r.members) == 1 {
		r.electionAt = r.now
	}
	r.log(false, "a council of %d is founded, with no claims", len(r.members))
	for _, name := range r.members {
		if name != r.self {
			r.sendDiscovery(name)
		}
	}
}

func (r *Replica) handleDiscovery(m *Message) {
	if !slices.Contains(r.members, m.From) || m.From == r.self {
		return
	}
	before, known := r.discovered[m.From]
	if known && m.Incarnation < before.Incarnation {
		return // of an earlier life, late
	}
	r.discovered[m.From] = *m
	if m.Unassigned && (r.bootstrapped || !known || before.ID != m.ID || before.BoundTo != m.BoundTo) {
		r.sendDiscovery(m.From)
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
