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

// A snapshot is the state at one entry. It is encoded over several steps, while further entries are applied.

const (
	maxLogEntries        = 2_048     // entries after which another snapshot is started
	retainedEntries      = 256       // entries retained behind a snapshot, for replicas that lag a little
	snapshotBytesPerStep = 128 << 10 // bytes that are encoded and digested in one step
)

// snapshotKeyReplicas is the key of the replicas in a snapshot. Those of the tables follow; in an entry they are one less.
const snapshotKeyReplicas = uint8(1)

// incrementalTable is a table whose snapshot is encoded in several steps.
type incrementalTable interface {
	// beginSnapshot begins a snapshot of what the table holds now; the table may change before it is complete.
	beginSnapshot() incrementalSnapshot
}

// incrementalSnapshot is a table's encoding in progress.
type incrementalSnapshot interface {
	// Next encodes at least so many bytes more, and at most one block above them, and reports whether the encoding is complete.
	Next(least int) (whole bool)
	// Encoded is what is encoded so far.
	Encoded() []byte
}

// snapshotWriter is a snapshot in progress. Its slices have an element for each table.
type snapshotWriter struct {
	index     uint64
	confState *pb.ConfState
	replicas  map[string]replicaIncarnation
	texts     [][]byte // nil for those that are not complete
	digests   []string // of those that are stored separately
	separate  []bool
	changed   []bool                // the table changed since the snapshot began
	pending   []incrementalSnapshot // nil for those that were encoded at once
	hash      hash.Hash             // of the first of pending
	hashed    int                   // bytes in hash
}

func (w *snapshotWriter) complete() bool {
	return !slices.ContainsFunc(w.texts, func(text []byte) bool { return text == nil })
}

// compact starts a snapshot where the log is long, and truncates the log once the snapshot is complete.
func (r *raftReplica) compact() {
	switch {
	case r.snapshots.writer != nil && r.snapshots.writer.complete():
		r.finishSnapshot()
	case r.snapshots.writer == nil && r.raft.appliedIndex-r.raft.snapshotIndex >= maxLogEntries:
		r.startSnapshot()
	}
}

// startSnapshot starts a snapshot of the current state, in place of one that is in progress.
func (r *raftReplica) startSnapshot() {
	r.snapshots.writer = r.beginSnapshot()
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
		return // there is a later one
	}
	r.Counters.Snapshots++
	r.raft.snapshotIndex = w.index
	err := r.raft.storage.Compact(w.index - min(w.index-1, retainedEntries))
	if !errors.Is(err, raft.ErrCompacted) { // a short log has nothing to truncate
		mustSucceed(err)
	}
	r.dropUnusedParts()
	r.rewriteBase()
}

// beginSnapshot begins a snapshot. Tables that did not change since the last one are not encoded again.
func (r *raftReplica) beginSnapshot() *snapshotWriter {
	count := len(r.tables)
	w := &snapshotWriter{
		index:     r.raft.appliedIndex,
		confState: r.raft.confState,
		replicas:  maps.Clone(r.replicas),
		texts:     slices.Clone(r.snapshots.cachedTexts),
		digests:   slices.Clone(r.snapshots.cachedDigests),
		separate:  make([]bool, count),
		changed:   make([]bool, count),
		pending:   make([]incrementalSnapshot, count),
		hash:      sha256.New(),
	}
	for i, t := range r.tables {
		w.separate[i] = t.storedSeparately()
		if w.texts[i] == nil {
			w.beginTable(i, t)
		}
	}
	return w
}

func (w *snapshotWriter) beginTable(i int, t replicatedTable) {
	w.digests[i] = ""
	if slow, incremental := t.(incrementalTable); incremental && w.separate[i] {
		w.pending[i] = slow.beginSnapshot()
		return
	}
	text, err := t.Snapshot()
	mustSucceed(err)
	w.texts[i] = text
}

// continueSnapshot encodes one step's share of the snapshot in progress.
func (r *raftReplica) continueSnapshot() {
	w := r.snapshots.writer
	if w == nil {
		return
	}
	for i, p := range w.pending {
		if w.texts[i] == nil && p != nil {
			w.continueTable(i, p)
			return
		}
	}
}

func (w *snapshotWriter) continueTable(i int, p incrementalSnapshot) {
	complete := p.Next(snapshotBytesPerStep)
	text := p.Encoded()
	_, _ = w.hash.Write(text[w.hashed:]) // a hash returns no error
	w.hashed = len(text)
	if complete {
		w.texts[i] = text
		w.digests[i] = fmt.Sprintf("%x", w.hash.Sum(nil))
		w.pending[i] = nil
		w.hashed = 0
		w.hash.Reset()
	}
}

// encodeSnapshot is the text of a complete snapshot, which refers to separately stored tables by their digests.
func (r *raftReplica) encodeSnapshot(w *snapshotWriter) []byte {
	content := map[uint8]any{snapshotKeyReplicas: w.replicas}
	for i, text := range w.texts {
		key := snapshotKeyReplicas + 1 + uint8(i)
		content[key] = text
		if w.separate[i] {
			if w.digests[i] == "" {
				w.digests[i] = partDigest(text)
			}
			r.snapshots.parts[w.digests[i]] = text
			content[key] = w.digests[i]
		}
		if !w.changed[i] {
			r.snapshots.cachedTexts[i] = text
			r.snapshots.cachedDigests[i] = w.digests[i]
		}
	}
	text, err := cborEncoding.Marshal(content)
	mustSucceed(err)
	return text
}

// restoreSnapshot replaces what is known here by a snapshot. It panics where the snapshot can't be restored, since this replica can't
// go on from the others' state then.
func (r *raftReplica) restoreSnapshot(snap *pb.Snapshot) {
	var parts map[uint8]cbor.RawMessage
	mustSucceed(cbor.Unmarshal(snap.GetData(), &parts))
	var replicas map[string]replicaIncarnation
	mustSucceed(cbor.Unmarshal(parts[snapshotKeyReplicas], &replicas))
	for i, t := range r.tables {
		text, digest, err := r.decodePart(parts[snapshotKeyReplicas+1+uint8(i)])
		mustSucceed(err)
		mustSucceed(t.Restore(text))
		r.snapshots.cachedTexts[i] = text
		r.snapshots.cachedDigests[i] = digest
	}
	r.replicas = replicas
	r.snapshots.writer = nil
	r.raft.confState = snap.GetMetadata().GetConfState()
	r.raft.appliedIndex = snap.GetMetadata().GetIndex()
	r.raft.snapshotIndex = snap.GetMetadata().GetIndex()
	r.bootstrap.done = true
	r.dropUnusedParts()
	r.Counters.Snapshots++
}
