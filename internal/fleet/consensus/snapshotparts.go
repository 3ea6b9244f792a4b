package consensus

import (
	"crypto/sha256"
	"fmt"
	"slices"

	"github.com/fxamacker/cbor/v2"
	pb "go.etcd.io/raft/v3/raftpb"
)

// A table that is large and changes seldom is stored separately from snapshots, as a part that they refer to by its digest, so that each
// content is encoded, stored and sent once. A replica that receives a snapshot requests the parts that it lacks, one chunk at a time, so
// that the round trips limit the rate.

const (
	chunkBytes         = 256 << 10  // bytes of a part in one message
	maxPartBytes       = 64 << 20   // bytes of a part
	chunkRetryInterval = 300 * ms   // without a chunk, after which it is requested again
	chunkTimeout       = 5_000 * ms // without a chunk, after which the snapshot is given up: its sender may be gone, or have dropped the part for a later one
)

// partFetch is a received snapshot that waits for parts that this replica lacks.
type partFetch struct {
	message    *pb.Message // the raft message with the snapshot
	from       string
	missing    []string // digests
	received   []byte   // bytes of the first missing part
	requestAt  int64
	progressAt int64 // when the last chunk was received
}

// awaitParts reports whether a snapshot must wait for parts, and if so requests them.
func (r *raftReplica) awaitParts(m *pb.Message, from string) bool {
	missing := slices.DeleteFunc(separateDigests(m.GetSnapshot()), func(digest string) bool { return r.snapshots.parts[digest] != nil })
	if len(missing) == 0 {
		r.snapshots.fetch = nil
		return false
	}
	next := &partFetch{message: m, from: from, missing: missing, requestAt: r.now, progressAt: r.now}
	if before := r.snapshots.fetch; before != nil && before.missing[0] == missing[0] { // the fetch of the same part continues
		next.received = before.received
		next.requestAt = before.requestAt
		next.progressAt = before.progressAt
	}
	r.snapshots.fetch = next
	r.requestChunk()
	return true
}

// requestChunk requests the next chunk if that is due, and gives the snapshot up after chunkTimeout.
func (r *raftReplica) requestChunk() {
	fetch := r.snapshots.fetch
	switch {
	case fetch == nil || r.now < fetch.requestAt:
	case r.now-fetch.progressAt >= chunkTimeout:
		r.snapshots.fetch = nil
	default:
		fetch.requestAt = r.now + chunkRetryInterval
		r.send(fetch.from, Message{Kind: MessagePartRequest, PartDigest: fetch.missing[0], Offset: len(fetch.received)})
	}
}

// handlePartRequest answers a request for a chunk.
func (r *raftReplica) handlePartRequest(m *Message) {
	encoded := r.snapshots.parts[m.PartDigest]
	if m.Offset < 0 || m.Offset >= len(encoded) || !slices.Contains(r.members, m.From) {
		return
	}
	chunk := encoded[m.Offset:min(len(encoded), m.Offset+chunkBytes)]
	r.send(m.From, Message{Kind: MessagePart, PartDigest: m.PartDigest, Offset: m.Offset, Size: len(encoded), Chunk: chunk})
}

// handlePart appends a chunk to the part that is being received, and passes the snapshot to raft when no part is missing. It ignores a
// chunk at another offset, which is the second answer to a repeated request.
func (r *raftReplica) handlePart(m *Message) {
	fetch := r.snapshots.fetch
	if fetch == nil || m.From != fetch.from || m.PartDigest != fetch.missing[0] || m.Offset != len(fetch.received) ||
		m.Size > maxPartBytes || len(m.Chunk) == 0 {
		return
	}
	fetch.received = append(fetch.received, m.Chunk...)
	fetch.requestAt = r.now
	fetch.progressAt = r.now
	if len(fetch.received) >= m.Size {
		if partDigest(fetch.received) == fetch.missing[0] {
			r.snapshots.parts[fetch.missing[0]] = fetch.received
			fetch.missing = fetch.missing[1:]
		}
		fetch.received = nil
	}
	if len(fetch.missing) == 0 {
		r.snapshots.fetch = nil
		_ = r.raft.node.Step(fetch.message) // raft refuses outdated messages
		r.followLeader()
		return
	}
	r.requestChunk()
}

// decodeTableItem returns the encoding of a table from its item in a snapshot: empty if there is none, and with its digest if the table is
// stored separately.
func (r *raftReplica) decodeTableItem(item cbor.RawMessage) (encoded []byte, digest string, err error) {
	if len(item) == 0 {
		return nil, "", nil
	}
	if !isTextString(item) {
		err = cbor.Unmarshal(item, &encoded)
		return encoded, "", err
	}
	err = cbor.Unmarshal(item, &digest)
	if err != nil {
		return nil, "", err
	}
	encoded = r.snapshots.parts[digest]
	if encoded == nil {
		return nil, digest, errMissingPart
	}
	return encoded, digest, nil
}

// dropUnusedParts drops the parts that neither the last two snapshots refer to nor a received one that waits for parts. The second to last
// snapshot may still be in transit to another replica.
func (r *raftReplica) dropUnusedParts() {
	snapshot, err := r.raft.storage.Snapshot()
	if err != nil {
		return
	}
	current := separateDigests(snapshot)
	inUse := slices.Concat(current, r.snapshots.previousDigests)
	if r.snapshots.fetch != nil {
		inUse = append(inUse, separateDigests(r.snapshots.fetch.message.GetSnapshot())...)
	}
	for digest := range r.snapshots.parts {
		if !slices.Contains(inUse, digest) {
			delete(r.snapshots.parts, digest)
		}
	}
	r.snapshots.previousDigests = current
}

// partDigest returns the hexadecimal SHA-256 digest of a part.
func partDigest(encoded []byte) string { return fmt.Sprintf("%x", sha256.Sum256(encoded)) }

// separateDigests returns the digests of the parts that a snapshot refers to.
func separateDigests(snapshot *pb.Snapshot) (list []string) {
	var items map[uint8]cbor.RawMessage
	if cbor.Unmarshal(snapshot.GetData(), &items) != nil {
		return nil
	}
	for _, item := range items {
		var digest string
		if isTextString(item) && cbor.Unmarshal(item, &digest) == nil {
			list = append(list, digest)
		}
	}
	slices.Sort(list)
	return list
}

// isTextString reports whether a CBOR item is a text string, which stands for a digest in a snapshot.
func isTextString(item cbor.RawMessage) bool {
	const majorTypeText = 3
	return len(item) > 0 && item[0]>>5 == majorTypeText
}
