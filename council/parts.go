package council

import (
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
func (x *Seat) lacks(m *pb.Message, from string) bool {
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
func (x *Seat) ask() {
	f := x.fetch
	switch {
	case f == nil || x.now < f.askAt:
	case x.now-f.heardAt >= pieceFor:
		x.fetch = nil
	default:
		f.askAt = x.now + pieceAgain
		x.send(f.from, Message{Kind: Want, Part: f.left[0], Offset: len(f.text)})
	}
}

// wantedPiece answers one who asks.
func (x *Seat) wantedPiece(m *Message) {
	text := x.parts[m.Part]
	if m.Offset < 0 || m.Offset >= len(text) || !slices.Contains(x.names, m.From) {
		return
	}
	x.send(m.From, Message{Kind: Piece, Part: m.Part, Offset: m.Offset, Size: len(text), Bytes: text[m.Offset:min(len(text), m.Offset+pieceBytes)]})
}

// gotPiece takes a piece; what does not follow on what is there was asked for twice.
func (x *Seat) gotPiece(m *Message) {
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

// part is what a snapshot has of a table: all of it, or its digest.
func (x *Seat) part(i int) any {
	t := x.tables[i]
	if x.held[i] == nil {
		text, err := t.Snapshot()
		if err != nil {
			panic(err)
		}
		x.held[i], x.digests[i] = text, ""
	}
	if !t.apart() {
		return x.held[i]
	}
	if x.digests[i] == "" {
		x.digests[i] = digest(x.held[i])
	}
	x.parts[x.digests[i]] = x.held[i]
	return x.digests[i]
}

// unpart is the text of a table that a snapshot has as part, empty where it has none.
func (x *Seat) unpart(part cbor.RawMessage) (text []byte, name string, err error) {
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
func (x *Seat) trim() {
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
