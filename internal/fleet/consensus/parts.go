package consensus

import (
	"crypto/sha256"
	"fmt"
	"hash"
	"maps"
	"slices"

	"github.com/fxamacker/cbor/v2"
	pb "go.etcd.io/raft/v3/raftpb"
)

// A table that is large and changes seldom has its part apart from snapshots, which only name it by its digest: it is written,
// kept and sent once for each content. A seat that gets a snapshot asks for what it lacks, piece by piece, one at a time: its
// own round trips are the pace.

const (
	chunkBytes         = 256 << 10  // of a part in one message
	maxPartBytes       = 64 << 20   // bytes of a part
	chunkRetryInterval = 300 * ms   // ns without a piece after which it is asked for again
	chunkTimeout       = 5_000 * ms // ns without a piece after which the snapshot is given up: its sender may be gone, or have a later one
)

// partFetch is a snapshot that waits for parts.
type partFetch struct {
	message    *pb.Message
	from       string
	missing    []string // digests
	received   []byte   // of the first of them, as far as it came
	requestAt  int64
	progressAt int64
}

// awaitParts says whether a snapshot must wait for parts, and has it wait.
func (r *Replica) awaitParts(m *pb.Message, from string) bool {
	left := slices.DeleteFunc(separateDigests(m.GetSnapshot()), func(d string) bool { return r.storedParts[d] != nil })
	if len(left) == 0 {
		r.partFetch = nil
		return false
	}
	next := &partFetch{message: m, from: from, missing: left, requestAt: r.now, progressAt: r.now}
	if f := r.partFetch; f != nil && f.missing[0] == left[0] {
		next.received, next.requestAt, next.progressAt = f.received, f.requestAt, f.progressAt // it goes on
	}
	r.partFetch = next
	r.requestChunk()
	return true
}

// requestChunk asks for the next piece where that is due.
func (r *Replica) requestChunk() {
	f := r.partFetch
	switch {
	case f == nil || r.now < f.requestAt:
	case r.now-f.progressAt >= chunkTimeout:
		r.partFetch = nil
	default:
		f.requestAt = r.now + chunkRetryInterval
		r.send(f.from, Message{Kind: MessagePartRequest, Part: f.missing[0], Offset: len(f.received)})
	}
}

// handlePartRequest answers one who asks.
func (r *Replica) handlePartRequest(m *Message) {
	text := r.storedParts[m.Part]
	if m.Offset < 0 || m.Offset >= len(text) || !slices.Contains(r.members, m.From) {
		return
	}
	r.send(m.From, Message{Kind: MessagePart, Part: m.Part, Offset: m.Offset, Size: len(text), Bytes: text[m.Offset:min(len(text), m.Offset+chunkBytes)]})
}

// handlePart takes a piece; what does not follow on what is there was asked for twice.
func (r *Replica) handlePart(m *Message) {
	f := r.partFetch
	if f == nil || m.From != f.from || m.Part != f.missing[0] || m.Offset != len(f.received) || m.Size > maxPartBytes || len(m.Bytes) == 0 {
		return
	}
	f.received, f.requestAt, f.progressAt = append(f.received, m.Bytes...), r.now, r.now
	if len(f.received) >= m.Size {
		if partDigest(f.received) == f.missing[0] {
			r.storedParts[f.missing[0]] = f.received
			f.missing = f.missing[1:]
		}
		f.received = nil
	}
	if len(f.missing) == 0 {
		r.partFetch = nil
		r.node.Step(f.message)
		r.followLeader()
		return
	}
	r.requestChunk()
}

// A snapshot is written of what is known at one entry, some in each step; entries go on being carried out meanwhile.

const snapshotBytesPerStep = 128 << 10 // bytes that are written in one step, and their digest taken: some 0.3 ms

// incrementalTable is a table whose snapshot takes long.
type incrementalTable interface {
	// beginSnapshot begins a snapshot of what the table holds now; the table may change before it is whole.
	beginSnapshot() incrementalSnapshot
}

// incrementalSnapshot writes so many bytes more, one block above them at the most, and says whether all is there.
type incrementalSnapshot interface {
	Next(least int) (whole bool)
	Text() []byte // so far
}

// snapshotWriter is a snapshot on its way.
type snapshotWriter struct {
	index     uint64
	confState *pb.ConfState
	replicas  map[string]replicaIncarnation
	texts     [][]byte // by table, nil for those that are not written yet
	digests   []string // of those that lie apart
	separate  []bool
	changed   []bool                // the table changed since
	pending   []incrementalSnapshot // by table, nil for those that were written at once
	hash      hash.Hash
	hashed    int // bytes of the first in pieces
}

func (w *snapshotWriter) complete() bool {
	return !slices.ContainsFunc(w.texts, func(text []byte) bool { return text == nil })
}

// beginSnapshot begins a snapshot. What did not change since the last one is not written anew.
func (r *Replica) beginSnapshot() *snapshotWriter {
	n := len(r.tables)
	w := &snapshotWriter{index: r.appliedIndex, confState: r.confState, replicas: maps.Clone(r.replicas), texts: slices.Clone(r.cachedTexts), digests: slices.Clone(r.cachedDigests),
		separate: make([]bool, n), changed: make([]bool, n), pending: make([]incrementalSnapshot, n), hash: sha256.New()}
	for i, t := range r.tables {
		w.separate[i] = t.storedSeparately()
		if w.texts[i] != nil {
			continue
		}
		w.digests[i] = ""
		if slow, is := t.(incrementalTable); is && w.separate[i] {
			w.pending[i] = slow.beginSnapshot()
			continue
		}
		text, err := t.Snapshot()
		if err != nil {
			panic(err)
		}
		w.texts[i] = text
	}
	return w
}

// continueSnapshot goes on with what is written.
func (r *Replica) continueSnapshot() {
	w := r.snapshotWriter
	if w == nil {
		return
	}
	for i, p := range w.pending {
		if w.texts[i] != nil || p == nil {
			continue
		}
		whole := p.Next(snapshotBytesPerStep)
		text := p.Text()
		w.hash.Write(text[w.hashed:])
		if w.hashed = len(text); whole {
			w.texts[i], w.digests[i] = text, fmt.Sprintf("%x", w.hash.Sum(nil))
			w.pending[i], w.hashed = nil, 0
			w.hash.Reset()
		}
		return
	}
}

// encodeSnapshot is the text of a snapshot that is whole, with the tables that lie apart named by their digests.
func (r *Replica) encodeSnapshot(w *snapshotWriter) []byte {
	all := map[uint8]any{snapshotKeyReplicas: w.replicas}
	for i, text := range w.texts {
		part := any(text)
		if w.separate[i] {
			if w.digests[i] == "" {
				w.digests[i] = partDigest(text)
			}
			r.storedParts[w.digests[i]], part = text, w.digests[i]
		}
		if all[snapshotKeyReplicas+1+uint8(i)] = part; !w.changed[i] {
			r.cachedTexts[i], r.cachedDigests[i] = text, w.digests[i]
		}
	}
	text, err := cborEncoding.Marshal(all)
	if err != nil {
		panic(err)
	}
	return text
}

// decodePart is the text of a table that a snapshot has as part, empty where it has none.
func (r *Replica) decodePart(part cbor.RawMessage) (text []byte, name string, err error) {
	if len(part) == 0 {
		return nil, "", nil
	}
	if !isText(part) {
		err = cbor.Unmarshal(part, &text)
		return text, "", err
	}
	if err = cbor.Unmarshal(part, &name); err == nil {
		if text = r.storedParts[name]; text == nil {
			err = errMissingPart
		}
	}
	return text, name, err
}

// dropUnusedParts lets go of parts that neither the last snapshot nor the one before names: one that is on its way may lack those.
func (r *Replica) dropUnusedParts() {
	snap, err := r.storage.Snapshot()
	if err != nil {
		return
	}
	now := separateDigests(snap)
	for d := range r.storedParts {
		if !slices.Contains(now, d) && !slices.Contains(r.previousDigests, d) && (r.partFetch == nil || !slices.Contains(separateDigests(r.partFetch.message.GetSnapshot()), d)) {
			delete(r.storedParts, d)
		}
	}
	r.previousDigests = now
}
