package consensus

import (
	"crypto/sha256"
	"errors"
	"fmt"
	"hash"
	"maps"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
)

// A snapshot is the state of a replica as of one entry. A large one is encoded over several steps, while further entries are applied.

const (
	maxLogEntries        = 2_048     // applied entries since the last snapshot after which the next one is started
	retainedEntries      = 256       // entries of the log before a snapshot that are retained for replicas that lag
	snapshotBytesPerStep = 128 << 10 // bytes that are encoded and digested in one step
)

// snapshotKeyReplicas is the key of the replicas in a snapshot. The keys of the tables follow, and are one higher than in an entry.
const snapshotKeyReplicas = uint8(1)

// incrementalTable is a table whose snapshot is encoded in several steps.
type incrementalTable interface {
	// beginSnapshot begins a snapshot of the current content. The table may change before the snapshot is complete.
	beginSnapshot() incrementalSnapshot
}

// incrementalSnapshot is an encoding of a table in progress.
type incrementalSnapshot interface {
	// Next encodes at least minBytes more bytes, or all that are left, and exceeds minBytes by at most one block. It reports whether the
	// encoding is complete.
	Next(minBytes int) (complete bool)
	// Encoded returns the bytes that are encoded so far.
	Encoded() []byte
}

// snapshotWriter is a snapshot in progress. Each of its slices has one element for each table.
type snapshotWriter struct {
	index     uint64
	confState *pb.ConfState
	replicas  map[string]replicaIncarnation
	encodings [][]byte // nil for tables that are not encoded yet
	digests   []string // of tables that are stored separately, empty if not known yet
	separate  []bool
	changed   []bool                // whether the table changed since the snapshot began
	pending   []incrementalSnapshot // nil for tables that are encoded in one step
	hash      hash.Hash             // digests the first table in pending
	hashed    int                   // bytes of that table that were written to hash
}

func (w *snapshotWriter) complete() bool {
	return !slices.ContainsFunc(w.encodings, func(encoded []byte) bool { return encoded == nil })
}

// compact starts a snapshot when the log has become long, and truncates the log when the snapshot is complete.
func (r *raftReplica) compact() {
	switch {
	case r.snapshots.writer != nil && r.snapshots.writer.complete():
		r.finishSnapshot()
	case r.snapshots.writer == nil && r.raft.appliedIndex-r.raft.snapshotIndex >= maxLogEntries:
		r.startSnapshot()
	}
}

// startSnapshot starts a snapshot of the current state, and discards one that is in progress.
func (r *raftReplica) startSnapshot() {
	r.snapshots.writer = r.newSnapshotWriter()
	r.continueSnapshot()
	if r.snapshots.writer.complete() {
		r.finishSnapshot()
	}
}

// finishSnapshot stores a complete snapshot and truncates the log before it.
func (r *raftReplica) finishSnapshot() {
	w := r.snapshots.writer
	r.snapshots.writer = nil
	if _, err := r.raft.storage.CreateSnapshot(w.index, w.confState, r.encodeSnapshot(w)); err != nil {
		return // there is a later snapshot
	}
	r.Counters.Snapshots++
	r.raft.snapshotIndex = w.index
	err := r.raft.storage.Compact(w.index - min(w.index-1, retainedEntries))
	if !errors.Is(err, raft.ErrCompacted) { // ErrCompacted: a short log has nothing to truncate
		mustSucceed(err)
	}
	r.dropUnusedParts()
	r.rewriteBase()
}

// newSnapshotWriter begins a snapshot of the current state. Tables that did not change since the last snapshot are not encoded again.
func (r *raftReplica) newSnapshotWriter() *snapshotWriter {
	count := len(r.tables)
	w := &snapshotWriter{
		index:     r.raft.appliedIndex,
		confState: r.raft.confState,
		replicas:  maps.Clone(r.replicas),
		encodings: slices.Clone(r.snapshots.cachedEncodings),
		digests:   slices.Clone(r.snapshots.cachedDigests),
		separate:  make([]bool, count),
		changed:   make([]bool, count),
		pending:   make([]incrementalSnapshot, count),
		hash:      sha256.New(),
	}
	for i, t := range r.tables {
		w.separate[i] = t.storedSeparately()
		if w.encodings[i] == nil {
			w.beginTable(i, t)
		}
	}
	return w
}

// beginTable begins the encoding of a table, or completes it if the table is not encoded in several steps.
func (w *snapshotWriter) beginTable(i int, t replicatedTable) {
	w.digests[i] = ""
	if slow, incremental := t.(incrementalTable); incremental && w.separate[i] {
		w.pending[i] = slow.beginSnapshot()
		return
	}
	encoded, err := t.Snapshot()
	mustSucceed(err)
	w.encodings[i] = encoded
}

// continueSnapshot encodes the next snapshotBytesPerStep of the snapshot in progress.
func (r *raftReplica) continueSnapshot() {
	w := r.snapshots.writer
	if w == nil {
		return
	}
	for i, p := range w.pending {
		if w.encodings[i] == nil && p != nil {
			w.continueTable(i, p)
			return
		}
	}
}

func (w *snapshotWriter) continueTable(i int, p incrementalSnapshot) {
	complete := p.Next(snapshotBytesPerStep)
	encoded := p.Encoded()
	_, _ = w.hash.Write(encoded[w.hashed:]) // a hash returns no error
	w.hashed = len(encoded)
	if complete {
		w.encodings[i] = encoded
		w.digests[i] = fmt.Sprintf("%x", w.hash.Sum(nil))
		w.pending[i] = nil
		w.hashed = 0
		w.hash.Reset()
	}
}

// encodeSnapshot returns the encoding of a complete snapshot, which refers to separately stored tables by their digests, and keeps the
// encoded tables for the next one.
func (r *raftReplica) encodeSnapshot(w *snapshotWriter) []byte {
	content := map[uint8]any{snapshotKeyReplicas: w.replicas}
	for i, encoded := range w.encodings {
		key := snapshotKeyReplicas + 1 + uint8(i)
		content[key] = encoded
		if w.separate[i] {
			if w.digests[i] == "" {
				w.digests[i] = partDigest(encoded)
			}
			r.snapshots.parts[w.digests[i]] = encoded
			content[key] = w.digests[i]
		}
		if !w.changed[i] {
			r.snapshots.cachedEncodings[i] = encoded
			r.snapshots.cachedDigests[i] = w.digests[i]
		}
	}
	encoded, err := cborEncoding.Marshal(content)
	mustSucceed(err)
	return encoded
}

// restoreSnapshot replaces the state of this replica by a snapshot. It panics if the snapshot can't be restored, since this incarnation
// can't follow the group without it.
func (r *raftReplica) restoreSnapshot(snapshot *pb.Snapshot) {
	var items map[uint8]cbor.RawMessage
	mustSucceed(cbor.Unmarshal(snapshot.GetData(), &items))
	var replicas map[string]replicaIncarnation
	mustSucceed(cbor.Unmarshal(items[snapshotKeyReplicas], &replicas))
	for i, t := range r.tables {
		encoded, digest, err := r.decodeTableItem(items[snapshotKeyReplicas+1+uint8(i)])
		mustSucceed(err)
		mustSucceed(t.Restore(encoded))
		r.snapshots.cachedEncodings[i] = encoded
		r.snapshots.cachedDigests[i] = digest
	}
	r.replicas = replicas
	r.snapshots.writer = nil
	r.raft.confState = snapshot.GetMetadata().GetConfState()
	r.raft.appliedIndex = snapshot.GetMetadata().GetIndex()
	r.raft.snapshotIndex = snapshot.GetMetadata().GetIndex()
	r.bootstrap.inGroup = true
	r.dropUnusedParts()
	r.Counters.Snapshots++
}
