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
	pieceBytes = 256 << 10  // of a part in one message
	partMost   = 64 << 20   // bytes of a part
	pieceAgain = 300 * ms   // ns without a piece after which it is asked for again
	pieceFor   = 5_000 * ms // ns without a piece after which the snapshot is given up: its sender may be gone, or have a later one
)

// fetch is a snapshot that waits for parts.
type fetch struct {
	message *pb.Message
	from    string
	left    []string // digests
	text    []byte   // of the first of them, as far as it came
	askAt   int64
	heardAt int64
}

// lacks says whether a snapshot must wait for parts, and has it wait.
func (x *Replica) lacks(m *pb.Message, from string) bool {
	left := slices.DeleteFunc(digests(m.GetSnapshot()), func(d string) bool { return x.parts[d] != nil })
	if len(left) == 0 {
		x.fetch = nil
		return false
	}
	next := &fetch{message: m, from: from, left: left, askAt: x.now, heardAt: x.now}
	if f := x.fetch; f != nil && f.left[0] == left[0] {
		next.text, next.askAt, next.heardAt = f.text, f.askAt, f.heardAt // it goes on
	}
	x.fetch = next
	x.ask()
	return true
}

// ask asks for the next piece where that is due.
func (x *Replica) ask() {
	f := x.fetch
	switch {
	case f == nil || x.now < f.askAt:
	case x.now-f.heardAt >= pieceFor:
		x.fetch = nil
	default:
		f.askAt = x.now + pieceAgain
		x.send(f.from, Message{Kind: MessagePartRequest, Part: f.left[0], Offset: len(f.text)})
	}
}

// wantedPiece answers one who asks.
func (x *Replica) wantedPiece(m *Message) {
	text := x.parts[m.Part]
	if m.Offset < 0 || m.Offset >= len(text) || !slices.Contains(x.names, m.From) {
		return
	}
	x.send(m.From, Message{Kind: MessagePart, Part: m.Part, Offset: m.Offset, Size: len(text), Bytes: text[m.Offset:min(len(text), m.Offset+pieceBytes)]})
}

// gotPiece takes a piece; what does not follow on what is there was asked for twice.
func (x *Replica) gotPiece(m *Message) {
	f := x.fetch
	if f == nil || m.From != f.from || m.Part != f.left[0] || m.Offset != len(f.text) || m.Size > partMost || len(m.Bytes) == 0 {
		return
	}
	f.text, f.askAt, f.heardAt = append(f.text, m.Bytes...), x.now, x.now
	if len(f.text) >= m.Size {
		if digest(f.text) == f.left[0] {
			x.parts[f.left[0]] = f.text
			f.left = f.left[1:]
		}
		f.text = nil
	}
	if len(f.left) == 0 {
		x.fetch = nil
		x.node.Step(f.message)
		x.lead()
		return
	}
	x.ask()
}

// A snapshot is written of what is known at one entry, some in each step; entries go on being carried out meanwhile.

const writtenOnce = 128 << 10 // bytes that are written in one step, and their digest taken: some 0.3 ms

// inPieces is a table whose snapshot takes long.
type inPieces interface {
	// beginSnapshot begins a snapshot of what the table holds now; the table may change before it is whole.
	beginSnapshot() pieces
}

// pieces writes so many bytes more, one block above them at the most, and says whether all is there.
type pieces interface {
	Next(least int) (whole bool)
	Text() []byte // so far
}

// writing is a snapshot on its way.
type writing struct {
	index     uint64
	confState *pb.ConfState
	seats     map[string]incumbent
	texts     [][]byte // by table, nil for those that are not written yet
	digests   []string // of those that lie apart
	apart     []bool
	changed   []bool   // the table changed since
	pieces    []pieces // by table, nil for those that were written at once
	hash      hash.Hash
	hashed    int // bytes of the first in pieces
}

func (w *writing) whole() bool {
	return !slices.ContainsFunc(w.texts, func(text []byte) bool { return text == nil })
}

// beginSnapshot begins a snapshot. What did not change since the last one is not written anew.
func (x *Replica) beginSnapshot() *writing {
	n := len(x.tables)
	w := &writing{index: x.applied, confState: x.confState, seats: maps.Clone(x.seats), texts: slices.Clone(x.held), digests: slices.Clone(x.digests),
		apart: make([]bool, n), changed: make([]bool, n), pieces: make([]pieces, n), hash: sha256.New()}
	for i, t := range x.tables {
		w.apart[i] = t.apart()
		if w.texts[i] != nil {
			continue
		}
		w.digests[i] = ""
		if slow, is := t.(inPieces); is && w.apart[i] {
			w.pieces[i] = slow.beginSnapshot()
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

// writeSome goes on with what is written.
func (x *Replica) writeSome() {
	w := x.writing
	if w == nil {
		return
	}
	for i, p := range w.pieces {
		if w.texts[i] != nil || p == nil {
			continue
		}
		whole := p.Next(writtenOnce)
		text := p.Text()
		w.hash.Write(text[w.hashed:])
		if w.hashed = len(text); whole {
			w.texts[i], w.digests[i] = text, fmt.Sprintf("%x", w.hash.Sum(nil))
			w.pieces[i], w.hashed = nil, 0
			w.hash.Reset()
		}
		return
	}
}

// written is the text of a snapshot that is whole, with the tables that lie apart named by their digests.
func (x *Replica) written(w *writing) []byte {
	all := map[uint8]any{keySeats: w.seats}
	for i, text := range w.texts {
		part := any(text)
		if w.apart[i] {
			if w.digests[i] == "" {
				w.digests[i] = digest(text)
			}
			x.parts[w.digests[i]], part = text, w.digests[i]
		}
		if all[keySeats+1+uint8(i)] = part; !w.changed[i] {
			x.held[i], x.digests[i] = text, w.digests[i]
		}
	}
	text, err := canonical.Marshal(all)
	if err != nil {
		panic(err)
	}
	return text
}

// unpart is the text of a table that a snapshot has as part, empty where it has none.
func (x *Replica) unpart(part cbor.RawMessage) (text []byte, name string, err error) {
	if len(part) == 0 {
		return nil, "", nil
	}
	if !isText(part) {
		err = cbor.Unmarshal(part, &text)
		return text, "", err
	}
	if err = cbor.Unmarshal(part, &name); err == nil {
		if text = x.parts[name]; text == nil {
			err = errLacks
		}
	}
	return text, name, err
}

// trim lets go of parts that neither the last snapshot nor the one before names: one that is on its way may lack those.
func (x *Replica) trim() {
	snap, err := x.storage.Snapshot()
	if err != nil {
		return
	}
	now := digests(snap)
	for d := range x.parts {
		if !slices.Contains(now, d) && !slices.Contains(x.named, d) && (x.fetch == nil || !slices.Contains(digests(x.fetch.message.GetSnapshot()), d)) {
			delete(x.parts, d)
		}
	}
	x.named = now
}
