package consensus

import (
	"crypto/sha256"
	"fmt"
	"maps"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

const (
	rejoinInterval = 100 * ms   // ns between questions of a seat that is back from its disk
	rejoinTimeout  = 3_000 * ms // ns that it waits for all others; then a majority is enough
)

// Write is what a seat wants on its disk, in the order of the numbers. It counts once a Persisted input named its number, or a
// later one; what depends on it is held back until then. Text in it must not be changed.
type Write struct {
	Number         uint64
	DiscardEarlier bool              // nothing of before is of use
	Base           []byte            // takes the place of all that is there, at once and whole; nil where records are only added
	Parts          map[string][]byte // all that the base names, by digest; what is there already needs no writing
	Records        [][]byte          // behind it
}

// DiskContents is what a disk gave back: the last base with its parts, and the records behind it, as many as are whole.
type DiskContents struct {
	Base    []byte
	Parts   map[string][]byte
	Records [][]byte
}

// diskBase is all that a seat knows, for its disk.
type diskBase struct {
	ID          uint64            `cbor:"1,keyasint"`
	Incarnation uint64            `cbor:"2,keyasint"`
	Members     []string          `cbor:"3,keyasint"`
	Number      uint64            `cbor:"4,keyasint"`
	HardState   []byte            `cbor:"5,keyasint"`
	Snapshot    []byte            `cbor:"6,keyasint"`
	PeerWrites  map[uint64]uint64 `cbor:"7,keyasint,omitempty"`
}

// diskRecord is what came since, at once.
type diskRecord struct {
	Number     uint64            `cbor:"1,keyasint"`
	HardState  []byte            `cbor:"2,keyasint,omitempty"`
	Entries    [][]byte          `cbor:"3,keyasint,omitempty"`
	PeerWrites map[uint64]uint64 `cbor:"4,keyasint,omitempty"`
}

// diskState is what a seat knows of its disk. Without one it is in memory only.
type diskState struct {
	enabled           bool
	failed            bool   // what it holds is not known any more: this seat says nothing
	nonEmpty          bool   // something of use may be there
	lastWrite         uint64 // of the last write that was asked for
	lastPersisted     uint64 // of the last that counts
	pendingReady      *raft.Ready
	pendingWrite      uint64            // number of the write that it waits for
	peerWrites        map[uint64]uint64 // by seats' numbers in raft: the last of its writes that its words were heard to stand on
	peerWritesChanged bool              // marks changed since the last write
	rejoinAnswers     map[string]bool   // those who said what they heard last; nil for a seat that is not on its way back
	rejoinAt          int64
	rejoinDeadline    int64
	unsafeNoWait      bool // mutation of tests: nothing waits for the disk
}

// Recover has the seat keep what it must not forget on a disk, before its first step, and takes up what is there. A folder of
// another council, or of a later build, is an error; nothing is lost by it.
func (r *Replica) Recover(now int64, contents DiskContents) (err error) {
	r.disk.enabled, r.now = true, now
	defer func() { r.earlyEffects, r.effects = r.effects, nil }()
	r.disk.nonEmpty = len(contents.Base)+len(contents.Records) > 0
	if len(contents.Base) == 0 {
		return nil
	}
	var state diskBase
	if err := cborDecoding.Unmarshal(contents.Base, &state); err != nil {
		return fmt.Errorf("the base can't be read by this build: %w", err)
	}
	if !slices.Equal(state.Members, r.members) {
		return fmt.Errorf("it holds a council of %v, and the fleet's file names %v: put the names back, or have all seats begin anew with empty folders",
			state.Members, r.members)
	}
	defer func() {
		if cause := recover(); cause != nil {
			err = fmt.Errorf("it can't be taken up: %v", cause)
		}
	}()
	snap, hard := new(pb.Snapshot), new(pb.HardState)
	if err := proto.Unmarshal(state.Snapshot, snap); err != nil {
		return fmt.Errorf("the base's snapshot can't be read: %w", err)
	}
	if err := proto.Unmarshal(state.HardState, hard); err != nil {
		return fmt.Errorf("the base's state can't be read: %w", err)
	}
	r.raftID, r.incarnation, r.storedParts = state.ID, state.Incarnation, contents.Parts
	r.disk.lastWrite, r.disk.peerWrites = state.Number, state.PeerWrites
	if r.disk.peerWrites == nil {
		r.disk.peerWrites = map[uint64]uint64{}
	}
	r.storage.ApplySnapshot(snap)
	r.storage.SetHardState(hard)
	for _, text := range contents.Records {
		var rec diskRecord
		if err := cborDecoding.Unmarshal(text, &rec); err != nil {
			return fmt.Errorf("a record can't be read by this build: %w", err)
		}
		entries := make([]*pb.Entry, len(rec.Entries))
		for i := range rec.Entries {
			entries[i] = new(pb.Entry)
			if err := proto.Unmarshal(rec.Entries[i], entries[i]); err != nil {
				return fmt.Errorf("an entry can't be read: %w", err)
			}
		}
		r.storage.Append(entries)
		if len(rec.HardState) > 0 {
			hard = new(pb.HardState)
			if err := proto.Unmarshal(rec.HardState, hard); err != nil {
				return fmt.Errorf("a record's state can't be read: %w", err)
			}
			r.storage.SetHardState(hard)
		}
		maps.Copy(r.disk.peerWrites, rec.PeerWrites)
		r.disk.lastWrite = rec.Number
	}
	r.disk.lastPersisted = r.disk.lastWrite
	r.restoreSnapshot(snap)
	if r.replicas[r.self].ID != r.raftID { // its place was given to another
		r.restart()
		return nil
	}
	r.startRaft(r.appliedIndex)
	r.boundAt, r.leaderContactAt = now, 0
	r.resetElectionTimer()
	if len(r.members) == 1 {
		r.electionAt = now
	} else {
		r.disk.rejoinAnswers, r.disk.rejoinAt, r.disk.rejoinDeadline = map[string]bool{}, now, now+rejoinTimeout
	}
	last, _ := r.storage.LastIndex()
	r.log(false, "back from the disk: what was agreed on up to entry %d, and entries up to %d", hard.GetCommit(), last)
	return nil
}

// Resumed says whether the seat holds what it knew before its process ended.
func (r *Replica) Resumed() bool { return r.disk.enabled && r.bootstrapped && r.disk.lastWrite > 0 }

// restart is another life of this seat, under another number, with nothing known.
func (r *Replica) restart() {
	r.incarnation = max(r.incarnation, r.processIncarnation) + 1
	r.initialize()
}

// persistReady has a state, entries or a snapshot of raft's written, and what depends on it wait.
func (r *Replica) persistReady(rd *raft.Ready) {
	hard := rd.HardState
	if raft.IsEmptyHardState(hard) {
		hard, _, _ = r.storage.InitialState()
	}
	if raft.IsEmptySnap(rd.Snapshot) {
		rec := diskRecord{Entries: marshalEntries(rd.Entries)}
		if !raft.IsEmptyHardState(rd.HardState) {
			rec.HardState = marshalProto(rd.HardState)
		}
		r.emitWrite(Write{}, &rec)
	} else {
		w := r.baseWrite(rd.Snapshot, hard)
		if len(rd.Entries) > 0 {
			r.emitWrite(w, &diskRecord{Entries: marshalEntries(rd.Entries)})
		} else {
			r.emitWrite(w, nil)
		}
	}
	r.disk.pendingReady, r.disk.pendingWrite = rd, r.disk.lastWrite
}

// baseWrite is a write that takes the place of all.
func (r *Replica) baseWrite(snap *pb.Snapshot, hard *pb.HardState) Write {
	state := diskBase{ID: r.raftID, Incarnation: r.incarnation, Members: r.members, Number: r.disk.lastWrite + 1, HardState: marshalProto(hard), Snapshot: marshalProto(snap), PeerWrites: r.disk.peerWrites}
	text, err := cborEncoding.Marshal(state)
	if err != nil {
		panic(err)
	}
	w := Write{Base: text, Parts: map[string][]byte{}}
	for _, digest := range separateDigests(snap) {
		w.Parts[digest] = r.storedParts[digest]
	}
	return w
}

// rewriteBase writes what a snapshot of this seat's own made of its log: bounds what is on the disk.
func (r *Replica) rewriteBase() {
	if !r.disk.enabled {
		return
	}
	snap, err := r.storage.Snapshot()
	if err != nil {
		panic(err)
	}
	maps.DeleteFunc(r.disk.peerWrites, func(id, _ uint64) bool { return !r.isMember(id) }) // of lives that are over
	hard, _, _ := r.storage.InitialState()
	from, last := snap.GetMetadata().GetIndex()+1, uint64(0)
	if last, err = r.storage.LastIndex(); err != nil {
		panic(err)
	}
	var rec *diskRecord
	if last >= from {
		entries, err := r.storage.Entries(from, last+1, never)
		if err != nil {
			panic(err)
		}
		rec = &diskRecord{Entries: marshalEntries(entries)}
	}
	r.emitWrite(r.baseWrite(snap, hard), rec)
}

// emitWrite numbers a emitWrite and hands it out.
func (r *Replica) emitWrite(w Write, rec *diskRecord) {
	r.disk.lastWrite++
	w.Number = r.disk.lastWrite
	if rec != nil {
		if rec.Number = w.Number; r.disk.peerWritesChanged && w.Base == nil {
			rec.PeerWrites = r.disk.peerWrites
		}
		text, err := cborEncoding.Marshal(rec)
		if err != nil {
			panic(err)
		}
		w.Records = [][]byte{text}
	}
	r.disk.peerWritesChanged, r.disk.nonEmpty = false, !w.DiscardEarlier
	r.emit(Effect{Kind: Persist, Write: &w})
}

// handlePersisted takes word of the disk.
func (r *Replica) handlePersisted(number uint64, err error) {
	if err != nil {
		r.disk.failed = true
		r.log(true, "the council's seat stands still until this process is started anew: its disk failed: %v", err)
		return
	}
	r.disk.lastPersisted = max(r.disk.lastPersisted, number)
	if rd := r.disk.pendingReady; rd != nil && number >= r.disk.pendingWrite && !r.disk.failed {
		r.disk.pendingReady = nil
		r.applyReady(rd)
	}
}

// trackPeerWrite follows what a seat's words stand on, and tells one that speaks from less than it did before.
func (r *Replica) trackPeerWrite(id, number uint64, from string) {
	if number == 0 {
		return
	}
	if len(r.disk.peerWrites) >= maxTrackedIDs && !r.isMember(id) {
		return
	}
	if before := r.disk.peerWrites[id]; number > before {
		r.disk.peerWrites[id], r.disk.peerWritesChanged = number, true
	} else if number < before {
		r.answerRejoin(from, id)
	}
}

func (r *Replica) isMember(id uint64) bool {
	for _, s := range r.replicas {
		if s.ID == id {
			return true
		}
	}
	return false
}

// tickRejoin asks the others what they heard of this seat last, and goes on once that is known: an old disk has forgotten what
// was acknowledged, and votes. Guards against a volume that was set back; does harm where no other answers: 3 s more until the
// council is there again.
func (r *Replica) tickRejoin() {
	d := &r.disk
	if n := len(d.rejoinAnswers); n == len(r.members)-1 || 2*(n+1) > len(r.members) && r.now >= d.rejoinDeadline {
		d.rejoinAnswers = nil
		r.resetElectionTimer()
		return
	}
	if r.now >= d.rejoinAt {
		d.rejoinAt = r.now + rejoinInterval
		for _, name := range r.members {
			if name != r.self && !d.rejoinAnswers[name] {
				r.send(name, Message{Kind: MessageRejoin, ID: r.raftID, Incarnation: r.incarnation})
			}
		}
	}
}

// answerRejoin says what was heard of a seat's number last, and in which life it sits.
func (r *Replica) answerRejoin(to string, id uint64) {
	if r.bootstrapped {
		r.send(to, Message{Kind: MessageRejoinAnswer, ID: id, Incarnation: r.replicas[to].Incarnation, Number: r.disk.peerWrites[id]})
	}
}

// handleRejoinAnswer takes what another heard of this seat.
func (r *Replica) handleRejoinAnswer(m *Message) {
	if m.ID != r.raftID || !r.disk.enabled || !slices.Contains(r.members, m.From) || m.From == r.self {
		return
	}
	switch {
	case m.Number > r.disk.lastWrite:
		r.log(true, "this seat's disk is behind what it had acknowledged: %s heard its write %d, and the last there was %d; it begins anew",
			m.From, m.Number, r.disk.lastWrite)
		r.restart()
	case m.Incarnation > r.incarnation:
		r.log(true, "another life has this seat's place by what %s knows; it begins anew", m.From)
		r.restart()
	case r.disk.rejoinAnswers != nil:
		r.disk.rejoinAnswers[m.From] = true
	}
}

func marshalProto(m proto.Message) []byte {
	text, err := proto.Marshal(m)
	if err != nil {
		panic(err)
	}
	return text
}

func marshalEntries(list []*pb.Entry) (texts [][]byte) {
	for _, e := range list {
		texts = append(texts, marshalProto(e))
	}
	return texts
}

// partDigest names a part of a snapshot by what it holds.
func partDigest(text []byte) string { return fmt.Sprintf("%x", sha256.Sum256(text)) }

// separateDigests are the parts that a snapshot names and does not hold.
func separateDigests(snap *pb.Snapshot) (list []string) {
	var parts map[uint8]cbor.RawMessage
	if cbor.Unmarshal(snap.GetData(), &parts) != nil {
		return nil
	}
	for _, part := range parts {
		var name string
		if isText(part) && cbor.Unmarshal(part, &name) == nil {
			list = append(list, name)
		}
	}
	slices.Sort(list)
	return list
}

func isText(part cbor.RawMessage) bool { return len(part) > 0 && part[0]>>5 == 3 }
