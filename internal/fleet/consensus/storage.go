package consensus

import (
	"fmt"
	"maps"
	"slices"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// Write is one write to a replica's disk. Writes are carried out in the order of their numbers. A write is complete when Input.Persisted
// has its number or a later one; the replica delays until then the messages and entries that depend on it. Callers must not change the
// slices.
type Write struct {
	Number         uint64
	DiscardEarlier bool              // empties the disk; the write has no base, parts or records
	Base           []byte            // replaces the whole content atomically; nil if records are only appended
	Parts          map[string][]byte // all parts that the base refers to, by digest; a part that is on the disk already needs no writing
	Records        [][]byte          // to append after the base
}

// DiskContents is the content read from a disk: the last base with its parts, and the complete records after it.
type DiskContents struct {
	Base    []byte
	Parts   map[string][]byte
	Records [][]byte
}

// diskBase is the whole state of a replica as of one write.
type diskBase struct {
	RaftID      uint64            `cbor:"1,keyasint"`
	Incarnation uint64            `cbor:"2,keyasint"`
	Members     []string          `cbor:"3,keyasint"`
	Number      uint64            `cbor:"4,keyasint"`
	HardState   []byte            `cbor:"5,keyasint"`
	Snapshot    []byte            `cbor:"6,keyasint"`
	PeerWrites  map[uint64]uint64 `cbor:"7,keyasint,omitempty"`
}

// diskRecord is one change of the state after the base.
type diskRecord struct {
	Number     uint64            `cbor:"1,keyasint"`
	HardState  []byte            `cbor:"2,keyasint,omitempty"`
	Entries    [][]byte          `cbor:"3,keyasint,omitempty"`
	PeerWrites map[uint64]uint64 `cbor:"4,keyasint,omitempty"`
}

// diskState is the state of writing to the disk, and of rejoining the group after recovery from it.
type diskState struct {
	enabled           bool // false for a replica that keeps its state in memory only
	failed            bool // a write failed: the disk's content is unknown, and raft stands still until the process restarts
	nonEmpty          bool // the disk may hold state that a new incarnation has to discard
	lastWrite         uint64
	lastPersisted     uint64
	pendingReady      *raft.Ready       // the batch that is being written, nil for none
	pendingWrite      uint64            // number of the write that pendingReady waits for
	peerWrites        map[uint64]uint64 // last persisted write that messages of a peer carried, by raft ID
	peerWritesChanged bool              // since the last write
	rejoinAnswers     map[string]bool   // members that answered; nil unless this replica is rejoining
	rejoinAt          int64
	rejoinDeadline    int64
	unsafeNoWait      bool // injected by tests: nothing waits for the disk
}

// blocked reports whether raft has to wait for a write, or the disk failed.
func (d *diskState) blocked() bool { return d.pendingReady != nil || d.failed }

// Recover makes the replica keep its state on a disk, and restores the state from its contents. It must be called before the first step. It
// returns an error, and changes nothing on the disk, if the contents are those of another group or can't be read by this build.
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
			err = fmt.Errorf("consensus: state on disk can't be restored: %v", cause)
		}
	}()
	var base diskBase
	if err := cborDecoding.Unmarshal(contents.Base, &base); err != nil {
		return fmt.Errorf("consensus: base on disk can't be read by this build: %w", err)
	}
	if !slices.Equal(base.Members, r.members) {
		return fmt.Errorf("consensus: disk holds the state of a group of %v, but the fleet file names %v: restore the names, or start all replicas with empty folders",
			base.Members, r.members)
	}
	snapshot, err := r.recoverBase(&base, contents.Parts)
	if err != nil {
		return err
	}
	for _, encoded := range contents.Records {
		if err := r.recoverRecord(encoded); err != nil {
			return err
		}
	}
	r.disk.lastPersisted = r.disk.lastWrite
	r.restoreSnapshot(snapshot)
	if r.replicas[r.self].RaftID != r.raft.id { // a later incarnation replaced this one
		r.restart()
		return nil
	}
	r.resume()
	return nil
}

func (r *raftReplica) recoverBase(base *diskBase, parts map[string][]byte) (*pb.Snapshot, error) {
	snapshot := new(pb.Snapshot)
	if err := proto.Unmarshal(base.Snapshot, snapshot); err != nil {
		return nil, fmt.Errorf("consensus: snapshot of the base on disk can't be read: %w", err)
	}
	hard := new(pb.HardState)
	if err := proto.Unmarshal(base.HardState, hard); err != nil {
		return nil, fmt.Errorf("consensus: raft state of the base on disk can't be read: %w", err)
	}
	r.raft.id = base.RaftID
	r.incarnation = base.Incarnation
	r.snapshots.parts = parts
	r.disk.lastWrite = base.Number
	r.disk.peerWrites = base.PeerWrites
	if r.disk.peerWrites == nil {
		r.disk.peerWrites = map[uint64]uint64{}
	}
	mustSucceed(r.raft.storage.ApplySnapshot(snapshot))
	mustSucceed(r.raft.storage.SetHardState(hard))
	return snapshot, nil
}

func (r *raftReplica) recoverRecord(encoded []byte) error {
	var rec diskRecord
	if err := cborDecoding.Unmarshal(encoded, &rec); err != nil {
		return fmt.Errorf("consensus: record on disk can't be read by this build: %w", err)
	}
	entries := make([]*pb.Entry, len(rec.Entries))
	for i := range rec.Entries {
		entries[i] = new(pb.Entry)
		if err := proto.Unmarshal(rec.Entries[i], entries[i]); err != nil {
			return fmt.Errorf("consensus: entry of a record on disk can't be read: %w", err)
		}
	}
	mustSucceed(r.raft.storage.Append(entries))
	if len(rec.HardState) > 0 {
		hard := new(pb.HardState)
		if err := proto.Unmarshal(rec.HardState, hard); err != nil {
			return fmt.Errorf("consensus: raft state of a record on disk can't be read: %w", err)
		}
		mustSucceed(r.raft.storage.SetHardState(hard))
	}
	maps.Copy(r.disk.peerWrites, rec.PeerWrites)
	r.disk.lastWrite = rec.Number
	return nil
}

// resume continues from the recovered state: at once if this is the only member, else after the other members confirmed that no write is
// missing.
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
	r.logLine(false, "consensus: recovered from disk: committed up to entry %d, log up to entry %d", r.storedHardState().GetCommit(), last)
}

// Resumed reports whether the replica belongs to a group and has its state on the disk. After Recover, this means that it resumes from the
// state that it had before its process ended.
func (r *raftReplica) Resumed() bool {
	return r.disk.enabled && r.bootstrap.inGroup && r.disk.lastWrite > 0
}

func (r *raftReplica) storedHardState() *pb.HardState {
	hard, _, err := r.raft.storage.InitialState()
	mustSucceed(err)
	return hard
}

// persistReady writes the hard state, entries and snapshot of a Ready batch, which is applied when they are on the disk.
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

// baseWrite returns a write that replaces the whole content of the disk.
func (r *raftReplica) baseWrite(snapshot *pb.Snapshot, hard *pb.HardState) Write {
	encoded, err := cborEncoding.Marshal(diskBase{
		RaftID:      r.raft.id,
		Incarnation: r.incarnation,
		Members:     r.members,
		Number:      r.disk.lastWrite + 1,
		HardState:   marshalProto(hard),
		Snapshot:    marshalProto(snapshot),
		PeerWrites:  r.disk.peerWrites,
	})
	mustSucceed(err)
	w := Write{Base: encoded, Parts: map[string][]byte{}}
	for _, digest := range separateDigests(snapshot) {
		w.Parts[digest] = r.snapshots.parts[digest]
	}
	return w
}

// rewriteBase replaces the content of the disk by the last snapshot and the log after it, which bounds its size.
func (r *raftReplica) rewriteBase() {
	if !r.disk.enabled {
		return
	}
	snapshot, err := r.raft.storage.Snapshot()
	mustSucceed(err)
	last, err := r.raft.storage.LastIndex()
	mustSucceed(err)
	maps.DeleteFunc(r.disk.peerWrites, func(id, _ uint64) bool { return !r.isMember(id) }) // raft IDs of replaced incarnations
	var rec *diskRecord
	first := snapshot.GetMetadata().GetIndex() + 1
	if last >= first {
		entries, err := r.raft.storage.Entries(first, last+1, maxInt64)
		mustSucceed(err)
		rec = &diskRecord{Entries: marshalEntries(entries)}
	}
	r.emitWrite(r.baseWrite(snapshot, r.storedHardState()), rec)
}

// emitWrite numbers a write and emits it, with a record if one is given.
func (r *raftReplica) emitWrite(w Write, rec *diskRecord) {
	r.disk.lastWrite++
	w.Number = r.disk.lastWrite
	if rec != nil {
		rec.Number = w.Number
		if r.disk.peerWritesChanged && w.Base == nil {
			rec.PeerWrites = r.disk.peerWrites
		}
		encoded, err := cborEncoding.Marshal(rec)
		mustSucceed(err)
		w.Records = [][]byte{encoded}
	}
	r.disk.peerWritesChanged = false
	r.disk.nonEmpty = !w.DiscardEarlier
	r.emit(Effect{Kind: Persist, Write: &w})
}

// handlePersisted handles the result of writes, and applies the Ready batch that waited for them.
func (r *raftReplica) handlePersisted(number uint64, err error) {
	if err != nil {
		r.disk.failed = true
		r.logLine(true, "consensus: write to the replica's disk failed; the replica is inactive until this process restarts: %v", err)
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
	encoded, err := proto.Marshal(m)
	mustSucceed(err)
	return encoded
}

func marshalEntries(list []*pb.Entry) (encodings [][]byte) {
	for _, e := range list {
		encodings = append(encodings, marshalProto(e))
	}
	return encodings
}
