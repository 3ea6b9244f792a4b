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
func (x *Replica) Recover(now int64, d DiskContents) (err error) {
	x.disk.enabled, x.now = true, now
	defer func() { x.earlyEffects, x.effects = x.effects, nil }()
	x.disk.nonEmpty = len(d.Base)+len(d.Records) > 0
	if len(d.Base) == 0 {
		return nil
	}
	var b diskBase
	if err := cborDecoding.Unmarshal(d.Base, &b); err != nil {
		return fmt.Errorf("the base can't be read by this build: %w", err)
	}
	if !slices.Equal(b.Members, x.members) {
		return fmt.Errorf("it holds a council of %v, and the fleet's file names %v: put the names back, or have all seats begin anew with empty folders",
			b.Members, x.members)
	}
	defer func() {
		if what := recover(); what != nil {
			err = fmt.Errorf("it can't be taken up: %v", what)
		}
	}()
	snap, hard := new(pb.Snapshot), new(pb.HardState)
	if err := proto.Unmarshal(b.Snapshot, snap); err != nil {
		return fmt.Errorf("the base's snapshot can't be read: %w", err)
	}
	if err := proto.Unmarshal(b.HardState, hard); err != nil {
		return fmt.Errorf("the base's state can't be read: %w", err)
	}
	x.raftID, x.incarnation, x.storedParts = b.ID, b.Incarnation, d.Parts
	x.disk.lastWrite, x.disk.peerWrites = b.Number, b.PeerWrites
	if x.disk.peerWrites == nil {
		x.disk.peerWrites = map[uint64]uint64{}
	}
	x.storage.ApplySnapshot(snap)
	x.storage.SetHardState(hard)
	for _, text := range d.Records {
		var r diskRecord
		if err := cborDecoding.Unmarshal(text, &r); err != nil {
			return fmt.Errorf("a record can't be read by this build: %w", err)
		}
		entries := make([]*pb.Entry, len(r.Entries))
		for i := range r.Entries {
			entries[i] = new(pb.Entry)
			if err := proto.Unmarshal(r.Entries[i], entries[i]); err != nil {
				return fmt.Errorf("an entry can't be read: %w", err)
			}
		}
		x.storage.Append(entries)
		if len(r.HardState) > 0 {
			hard = new(pb.HardState)
			if err := proto.Unmarshal(r.HardState, hard); err != nil {
				return fmt.Errorf("a record's state can't be read: %w", err)
			}
			x.storage.SetHardState(hard)
		}
		maps.Copy(x.disk.peerWrites, r.PeerWrites)
		x.disk.lastWrite = r.Number
	}
	x.disk.lastPersisted = x.disk.lastWrite
	x.restoreSnapshot(snap)
	if x.replicas[x.self].ID != x.raftID { // its place was given to another
		x.restart()
		return nil
	}
	x.startRaft(x.appliedIndex)
	x.boundAt, x.leaderContactAt = now, 0
	x.resetElectionTimer()
	if len(x.members) == 1 {
		x.electionAt = now
	} else {
		x.disk.rejoinAnswers, x.disk.rejoinAt, x.disk.rejoinDeadline = map[string]bool{}, now, now+rejoinTimeout
	}
	last, _ := x.storage.LastIndex()
	x.log(false, "back from the disk: what was agreed on up to entry %d, and entries up to %d", hard.GetCommit(), last)
	return nil
}

// Resumed says whether the seat holds what it knew before its process ended.
func (x *Replica) Resumed() bool { return x.disk.enabled && x.bootstrapped && x.disk.lastWrite > 0 }

// restart is another life of this seat, under another number, with nothing known.
func (x *Replica) restart() {
	x.incarnation = max(x.incarnation, x.processIncarnation) + 1
	x.initialize()
}

// persistReady has a state, entries or a snapshot of raft's written, and what depends on it wait.
func (x *Replica) persistReady(rd *raft.Ready) {
	hard := rd.HardState
	if raft.IsEmptyHardState(hard) {
		hard, _, _ = x.storage.InitialState()
	}
	if raft.IsEmptySnap(rd.Snapshot) {
		r := diskRecord{Entries: marshalEntries(rd.Entries)}
		if !raft.IsEmptyHardState(rd.HardState) {
			r.HardState = marshalProto(rd.HardState)
		}
		x.emitWrite(Write{}, &r)
	} else {
		w := x.baseWrite(rd.Snapshot, hard)
		if len(rd.Entries) > 0 {
			x.emitWrite(w, &diskRecord{Entries: marshalEntries(rd.Entries)})
		} else {
			x.emitWrite(w, nil)
		}
	}
	x.disk.pendingReady, x.disk.pendingWrite = rd, x.disk.lastWrite
}

// baseWrite is a write that takes the place of all.
func (x *Replica) baseWrite(snap *pb.Snapshot, hard *pb.HardState) Write {
	b := diskBase{ID: x.raftID, Incarnation: x.incarnation, Members: x.members, Number: x.disk.lastWrite + 1, HardState: marshalProto(hard), Snapshot: marshalProto(snap), PeerWrites: x.disk.peerWrites}
	text, err := cborEncoding.Marshal(b)
	if err != nil {
		panic(err)
	}
	w := Write{Base: text, Parts: map[string][]byte{}}
	for _, digest := range separateDigests(snap) {
		w.Parts[digest] = x.storedParts[digest]
	}
	return w
}

// rewriteBase writes what a snapshot of this seat's own made of its log: bounds what is on the disk.
func (x *Replica) rewriteBase() {
	if !x.disk.enabled {
		return
	}
	snap, err := x.storage.Snapshot()
	if err != nil {
		panic(err)
	}
	maps.DeleteFunc(x.disk.peerWrites, func(id, _ uint64) bool { return !x.isMember(id) }) // of lives that are over
	hard, _, _ := x.storage.InitialState()
	from, last := snap.GetMetadata().GetIndex()+1, uint64(0)
	if last, err = x.storage.LastIndex(); err != nil {
		panic(err)
	}
	var r *diskRecord
	if last >= from {
		entries, err := x.storage.Entries(from, last+1, never)
		if err != nil {
			panic(err)
		}
		r = &diskRecord{Entries: marshalEntries(entries)}
	}
	x.emitWrite(x.baseWrite(snap, hard), r)
}

// emitWrite numbers a emitWrite and hands it out.
func (x *Replica) emitWrite(w Write, r *diskRecord) {
	x.disk.lastWrite++
	w.Number = x.disk.lastWrite
	if r != nil {
		if r.Number = w.Number; x.disk.peerWritesChanged && w.Base == nil {
			r.PeerWrites = x.disk.peerWrites
		}
		text, err := cborEncoding.Marshal(r)
		if err != nil {
			panic(err)
		}
		w.Records = [][]byte{text}
	}
	x.disk.peerWritesChanged, x.disk.nonEmpty = false, !w.DiscardEarlier
	x.emit(Effect{Kind: Persist, Write: &w})
}

// handlePersisted takes word of the disk.
func (x *Replica) handlePersisted(number uint64, err error) {
	if err != nil {
		x.disk.failed = true
		x.log(true, "the council's seat stands still until this process is started anew: its disk failed: %v", err)
		return
	}
	x.disk.lastPersisted = max(x.disk.lastPersisted, number)
	if rd := x.disk.pendingReady; rd != nil && number >= x.disk.pendingWrite && !x.disk.failed {
		x.disk.pendingReady = nil
		x.applyReady(rd)
	}
}

// trackPeerWrite follows what a seat's words stand on, and tells one that speaks from less than it did before.
func (x *Replica) trackPeerWrite(id, number uint64, from string) {
	if number == 0 {
		return
	}
	if len(x.disk.peerWrites) >= maxTrackedIDs && !x.isMember(id) {
		return
	}
	if before := x.disk.peerWrites[id]; number > before {
		x.disk.peerWrites[id], x.disk.peerWritesChanged = number, true
	} else if number < before {
		x.answerRejoin(from, id)
	}
}

func (x *Replica) isMember(id uint64) bool {
	for _, s := range x.replicas {
		if s.ID == id {
			return true
		}
	}
	return false
}

// tickRejoin asks the others what they heard of this seat last, and goes on once that is known: an old disk has forgotten what
// was acknowledged, and votes. Guards against a volume that was set back; does harm where no other answers: 3 s more until the
// council is there again.
func (x *Replica) tickRejoin() {
	d := &x.disk
	if n := len(d.rejoinAnswers); n == len(x.members)-1 || 2*(n+1) > len(x.members) && x.now >= d.rejoinDeadline {
		d.rejoinAnswers = nil
		x.resetElectionTimer()
		return
	}
	if x.now >= d.rejoinAt {
		d.rejoinAt = x.now + rejoinInterval
		for _, name := range x.members {
			if name != x.self && !d.rejoinAnswers[name] {
				x.send(name, Message{Kind: MessageRejoin, ID: x.raftID, Incarnation: x.incarnation})
			}
		}
	}
}

// answerRejoin says what was heard of a seat's number last, and in which life it sits.
func (x *Replica) answerRejoin(to string, id uint64) {
	if x.bootstrapped {
		x.send(to, Message{Kind: MessageRejoinAnswer, ID: id, Incarnation: x.replicas[to].Incarnation, Number: x.disk.peerWrites[id]})
	}
}

// handleRejoinAnswer takes what another heard of this seat.
func (x *Replica) handleRejoinAnswer(m *Message) {
	if m.ID != x.raftID || !x.disk.enabled || !slices.Contains(x.members, m.From) || m.From == x.self {
		return
	}
	switch {
	case m.Number > x.disk.lastWrite:
		x.log(true, "this seat's disk is behind what it had acknowledged: %s heard its write %d, and the last there was %d; it begins anew",
			m.From, m.Number, x.disk.lastWrite)
		x.restart()
	case m.Incarnation > x.incarnation:
		x.log(true, "another life has this seat's place by what %s knows; it begins anew", m.From)
		x.restart()
	case x.disk.rejoinAnswers != nil:
		x.disk.rejoinAnswers[m.From] = true
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
