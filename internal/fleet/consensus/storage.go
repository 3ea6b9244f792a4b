package consensus

import (
	"fmt"
	"maps"
	"slices"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// Write is one write to a replica's disk, in the order of the numbers. It counts once a Persisted input has its number, or a later
// one; what depends on it is delayed until then. Its slices must not be changed.
type Write struct {
	Number         uint64
	DiscardEarlier bool              // nothing written before is of use
	Base           []byte            // replaces all that is there, atomically; nil where records are only appended
	Parts          map[string][]byte // all parts that the base refers to, by digest; one that is there already needs no writing
	Records        [][]byte          // to append
}

// DiskContents is what was read from a disk: the last base with its parts, and the complete records after it.
type DiskContents struct {
	Base    []byte
	Parts   map[string][]byte
	Records [][]byte
}

// diskBase is a replica's whole state on its disk.
type diskBase struct {
	ID          uint64            `cbor:"1,keyasint"`
	Incarnation uint64            `cbor:"2,keyasint"`
	Members     []string          `cbor:"3,keyasint"`
	Number      uint64            `cbor:"4,keyasint"`
	HardState   []byte            `cbor:"5,keyasint"`
	Snapshot    []byte            `cbor:"6,keyasint"`
	PeerWrites  map[uint64]uint64 `cbor:"7,keyasint,omitempty"`
}

// diskRecord is one change after the base.
type diskRecord struct {
	Number     uint64            `cbor:"1,keyasint"`
	HardState  []byte            `cbor:"2,keyasint,omitempty"`
	Entries    [][]byte          `cbor:"3,keyasint,omitempty"`
	PeerWrites map[uint64]uint64 `cbor:"4,keyasint,omitempty"`
}

// diskState is what a replica knows of its disk, and of its return from it.
type diskState struct {
	enabled           bool // else the replica is in memory only
	failed            bool // its content is unknown: this replica sends nothing more
	nonEmpty          bool // something of use may be there
	lastWrite         uint64
	lastPersisted     uint64
	pendingReady      *raft.Ready
	pendingWrite      uint64            // number of the write that pendingReady waits for
	peerWrites        map[uint64]uint64 // by raft ID: the last write that a peer's messages were seen to depend on
	peerWritesChanged bool              // since the last write
	rejoinAnswers     map[string]bool   // members that answered; nil unless rejoining
	rejoinAt          int64
	rejoinDeadline    int64
	unsafeNoWait      bool // fault injection of tests: nothing waits for the disk
}

// blocked reports whether the disk is waited for, or failed.
func (d *diskState) blocked() bool { return d.pendingReady != nil || d.failed }

// Recover has the replica keep its state on a disk, before its first step, and restores what is there. Contents of another group, or
// of a later build, are an error; nothing is lost by it.
func (r *raftReplica) Recover(now int64, contents DiskContents) (err error) {
	r.disk.enabled = true
	r.disk.nonEmpty = len(contents.Base)+len(contents.Records) > 0
	r.now = now
	defer func() {
		r.earlyEffects = r.effects
		r.effects = nil
	}()
	if len(contents.Base) == 0 {
		return nil
	}
	defer func() {
		if cause := recover(); cause != nil {
			err = fmt.Errorf("it can't be taken up: %v", cause)
		}
	}()
	var base diskBase
	if err := cborDecoding.Unmarshal(contents.Base, &base); err != nil {
		return fmt.Errorf("the base can't be read by this build: %w", err)
	}
	if !slices.Equal(base.Members, r.members) {
		return fmt.Errorf("it holds a council of %v, and the fleet's file names %v: put the names back, or have all seats begin anew with empty folders",
			base.Members, r.members)
	}
	snap, err := r.recoverBase(&base, contents.Parts)
	if err != nil {
		return err
	}
	for _, text := range contents.Records {
		if err := r.recoverRecord(text); err != nil {
			return err
		}
	}
	r.disk.lastPersisted = r.disk.lastWrite
	r.restoreSnapshot(snap)
	if r.replicas[r.self].ID != r.raft.id { // this member was replaced by another incarnation
		r.restart()
		return nil
	}
	r.resume()
	return nil
}

func (r *raftReplica) recoverBase(base *diskBase, parts map[string][]byte) (*pb.Snapshot, error) {
	snap := new(pb.Snapshot)
	if err := proto.Unmarshal(base.Snapshot, snap); err != nil {
		return nil, fmt.Errorf("the base's snapshot can't be read: %w", err)
	}
	hard := new(pb.HardState)
	if err := proto.Unmarshal(base.HardState, hard); err != nil {
		return nil, fmt.Errorf("the base's state can't be read: %w", err)
	}
	r.raft.id = base.ID
	r.incarnation = base.Incarnation
	r.snapshots.parts = parts
	r.disk.lastWrite = base.Number
	r.disk.peerWrites = base.PeerWrites
	if r.disk.peerWrites == nil {
		r.disk.peerWrites = map[uint64]uint64{}
	}
	mustSucceed(r.raft.storage.ApplySnapshot(snap))
	mustSucceed(r.raft.storage.SetHardState(hard))
	return snap, nil
}

func (r *raftReplica) recoverRecord(text []byte) error {
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
	mustSucceed(r.raft.storage.Append(entries))
	if len(rec.HardState) > 0 {
		hard := new(pb.HardState)
		if err := proto.Unmarshal(rec.HardState, hard); err != nil {
			return fmt.Errorf("a record's state can't be read: %w", err)
		}
		mustSucceed(r.raft.storage.SetHardState(hard))
	}
	maps.Copy(r.disk.peerWrites, rec.PeerWrites)
	r.disk.lastWrite = rec.Number
	return nil
}

// resume goes on from the recovered state: alone at once, else after the others confirmed it.
func (r *raftReplica) resume() {
	r.startRaft(r.raft.appliedIndex)
	r.bootstrap.boundAt = r.now
	r.leadership.leaderContactAt = 0
	r.resetElectionTimer()
	if len(r.members) == 1 {
		r.leadership.electionAt = r.now
	} else {
		r.startRejoin()
	}
	last, err := r.raft.storage.LastIndex()
	mustSucceed(err)
	r.log(false, "back from the disk: what was agreed on up to entry %d, and entries up to %d", r.storedHardState().GetCommit(), last)
}

// Resumed reports whether the replica holds what it knew before its process ended.
func (r *raftReplica) Resumed() bool {
	return r.disk.enabled && r.bootstrap.done && r.disk.lastWrite > 0
}

func (r *raftReplica) storedHardState() *pb.HardState {
	hard, _, err := r.raft.storage.InitialState()
	mustSucceed(err)
	return hard
}

// persistReady writes raft's hard state, entries or snapshot, and delays what depends on them.
func (r *raftReplica) persistReady(rd *raft.Ready) {
	if raft.IsEmptySnap(rd.Snapshot) {
		rec := diskRecord{Entries: marshalEntries(rd.Entries)}
		if !raft.IsEmptyHardState(rd.HardState) {
			rec.HardState = marshalProto(rd.HardState)
		}
		r.emitWrite(Write{}, &rec)
	} else {
		r.persistSnapshot(rd)
	}
	r.disk.pendingReady = rd
	r.disk.pendingWrite = r.disk.lastWrite
}

func (r *raftReplica) persistSnapshot(rd *raft.Ready) {
	hard := rd.HardState
	if raft.IsEmptyHardState(hard) {
		hard = r.storedHardState()
	}
	var rec *diskRecord
	if len(rd.Entries) > 0 {
		rec = &diskRecord{Entries: marshalEntries(rd.Entries)}
	}
	r.emitWrite(r.baseWrite(rd.Snapshot, hard), rec)
}

// baseWrite is a write that replaces all that is on the disk.
func (r *raftReplica) baseWrite(snap *pb.Snapshot, hard *pb.HardState) Write {
	text, err := cborEncoding.Marshal(diskBase{
		ID:          r.raft.id,
		Incarnation: r.incarnation,
		Members:     r.members,
		Number:      r.disk.lastWrite + 1,
		HardState:   marshalProto(hard),
		Snapshot:    marshalProto(snap),
		PeerWrites:  r.disk.peerWrites,
	})
	mustSucceed(err)
	w := Write{Base: text, Parts: map[string][]byte{}}
	for _, digest := range separateDigests(snap) {
		w.Parts[digest] = r.snapshots.parts[digest]
	}
	return w
}

// rewriteBase replaces what is on the disk by the last snapshot and the log after it, which bounds the disk's content.
func (r *raftReplica) rewriteBase() {
	if !r.disk.enabled {
		return
	}
	snap, err := r.raft.storage.Snapshot()
	mustSucceed(err)
	last, err := r.raft.storage.LastIndex()
	mustSucceed(err)
	maps.DeleteFunc(r.disk.peerWrites, func(id, _ uint64) bool { return !r.isMember(id) }) // of earlier incarnations
	var rec *diskRecord
	first := snap.GetMetadata().GetIndex() + 1
	if last >= first {
		entries, err := r.raft.storage.Entries(first, last+1, never)
		mustSucceed(err)
		rec = &diskRecord{Entries: marshalEntries(entries)}
	}
	r.emitWrite(r.baseWrite(snap, r.storedHardState()), rec)
}

// emitWrite numbers a write and emits it, with a record where there is one.
func (r *raftReplica) emitWrite(w Write, rec *diskRecord) {
	r.disk.lastWrite++
	w.Number = r.disk.lastWrite
	if rec != nil {
		rec.Number = w.Number
		if r.disk.peerWritesChanged && w.Base == nil {
			rec.PeerWrites = r.disk.peerWrites
		}
		text, err := cborEncoding.Marshal(rec)
		mustSucceed(err)
		w.Records = [][]byte{text}
	}
	r.disk.peerWritesChanged = false
	r.disk.nonEmpty = !w.DiscardEarlier
	r.emit(Effect{Kind: Persist, Write: &w})
}

// handlePersisted takes the result of writes, and carries out what waited for them.
func (r *raftReplica) handlePersisted(number uint64, err error) {
	if err != nil {
		r.disk.failed = true
		r.log(true, "the council's seat stands still until this process is started anew: its disk failed: %v", err)
		return
	}
	r.disk.lastPersisted = max(r.disk.lastPersisted, number)
	rd := r.disk.pendingReady
	if rd != nil && number >= r.disk.pendingWrite && !r.disk.failed {
		r.disk.pendingReady = nil
		r.applyReady(rd)
	}
}

func marshalProto(m proto.Message) []byte {
	text, err := proto.Marshal(m)
	mustSucceed(err)
	return text
}

func marshalEntries(list []*pb.Entry) (texts [][]byte) {
	for _, e := range list {
		texts = append(texts, marshalProto(e))
	}
	return texts
}
