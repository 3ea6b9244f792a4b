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
	returnEvery = 100 * ms   // ns between questions of a seat that is back from its disk
	returnFor   = 3_000 * ms // ns that it waits for all others; then a majority is enough
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

// base is all that a seat knows, for its disk.
type base struct {
	ID     uint64            `cbor:"1,keyasint"`
	Life   uint64            `cbor:"2,keyasint"`
	Names  []string          `cbor:"3,keyasint"`
	Number uint64            `cbor:"4,keyasint"`
	Hard   []byte            `cbor:"5,keyasint"`
	Snap   []byte            `cbor:"6,keyasint"`
	Marks  map[uint64]uint64 `cbor:"7,keyasint,omitempty"`
}

// record is what came since, at once.
type record struct {
	Number  uint64            `cbor:"1,keyasint"`
	Hard    []byte            `cbor:"2,keyasint,omitempty"`
	Entries [][]byte          `cbor:"3,keyasint,omitempty"`
	Marks   map[uint64]uint64 `cbor:"4,keyasint,omitempty"`
}

// drive is what a seat knows of its disk. Without one it is in memory only.
type drive struct {
	on        bool
	failed    bool   // what it holds is not known any more: this seat says nothing
	written   bool   // something of use may be there
	number    uint64 // of the last write that was asked for
	persisted uint64 // of the last that counts
	owed      *raft.Ready
	owedAt    uint64            // number of the write that it waits for
	marks     map[uint64]uint64 // by seats' numbers in raft: the last of its writes that its words were heard to stand on
	marked    bool              // marks changed since the last write
	returning map[string]bool   // those who said what they heard last; nil for a seat that is not on its way back
	returnAt  int64
	until     int64
	rash      bool // mutation of tests: nothing waits for the disk
}

// Recover has the seat keep what it must not forget on a disk, before its first step, and takes up what is there. A folder of
// another council, or of a later build, is an error; nothing is lost by it.
func (x *Replica) Recover(now int64, d DiskContents) (err error) {
	x.disk.on, x.now = true, now
	defer func() { x.early, x.effects = x.effects, nil }()
	x.disk.written = len(d.Base)+len(d.Records) > 0
	if len(d.Base) == 0 {
		return nil
	}
	var b base
	if err := decode.Unmarshal(d.Base, &b); err != nil {
		return fmt.Errorf("the base can't be read by this build: %w", err)
	}
	if !slices.Equal(b.Names, x.names) {
		return fmt.Errorf("it holds a council of %v, and the fleet's file names %v: put the names back, or have all seats begin anew with empty folders",
			b.Names, x.names)
	}
	defer func() {
		if what := recover(); what != nil {
			err = fmt.Errorf("it can't be taken up: %v", what)
		}
	}()
	snap, hard := new(pb.Snapshot), new(pb.HardState)
	if err := proto.Unmarshal(b.Snap, snap); err != nil {
		return fmt.Errorf("the base's snapshot can't be read: %w", err)
	}
	if err := proto.Unmarshal(b.Hard, hard); err != nil {
		return fmt.Errorf("the base's state can't be read: %w", err)
	}
	x.id, x.life, x.parts = b.ID, b.Life, d.Parts
	x.disk.number, x.disk.marks = b.Number, b.Marks
	if x.disk.marks == nil {
		x.disk.marks = map[uint64]uint64{}
	}
	x.storage.ApplySnapshot(snap)
	x.storage.SetHardState(hard)
	for _, text := range d.Records {
		var r record
		if err := decode.Unmarshal(text, &r); err != nil {
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
		if len(r.Hard) > 0 {
			hard = new(pb.HardState)
			if err := proto.Unmarshal(r.Hard, hard); err != nil {
				return fmt.Errorf("a record's state can't be read: %w", err)
			}
			x.storage.SetHardState(hard)
		}
		maps.Copy(x.disk.marks, r.Marks)
		x.disk.number = r.Number
	}
	x.disk.persisted = x.disk.number
	x.restore(snap)
	if x.seats[x.self].ID != x.id { // its place was given to another
		x.anew()
		return nil
	}
	x.raft(x.applied)
	x.boundAt, x.heardAt = now, 0
	x.stand()
	if len(x.names) == 1 {
		x.electAt = now
	} else {
		x.disk.returning, x.disk.returnAt, x.disk.until = map[string]bool{}, now, now+returnFor
	}
	last, _ := x.storage.LastIndex()
	x.remark(false, "back from the disk: what was agreed on up to entry %d, and entries up to %d", hard.GetCommit(), last)
	return nil
}

// Resumed says whether the seat holds what it knew before its process ended.
func (x *Replica) Resumed() bool { return x.disk.on && x.founded && x.disk.number > 0 }

// anew is another life of this seat, under another number, with nothing known.
func (x *Replica) anew() {
	x.life = max(x.life, x.born) + 1
	x.begin()
}

// persist has a state, entries or a snapshot of raft's written, and what depends on it wait.
func (x *Replica) persist(rd *raft.Ready) {
	hard := rd.HardState
	if raft.IsEmptyHardState(hard) {
		hard, _, _ = x.storage.InitialState()
	}
	if raft.IsEmptySnap(rd.Snapshot) {
		r := record{Entries: encodeEntries(rd.Entries)}
		if !raft.IsEmptyHardState(rd.HardState) {
			r.Hard = encode(rd.HardState)
		}
		x.write(Write{}, &r)
	} else {
		w := x.base(rd.Snapshot, hard)
		if len(rd.Entries) > 0 {
			x.write(w, &record{Entries: encodeEntries(rd.Entries)})
		} else {
			x.write(w, nil)
		}
	}
	x.disk.owed, x.disk.owedAt = rd, x.disk.number
}

// base is a write that takes the place of all.
func (x *Replica) base(snap *pb.Snapshot, hard *pb.HardState) Write {
	b := base{ID: x.id, Life: x.life, Names: x.names, Number: x.disk.number + 1, Hard: encode(hard), Snap: encode(snap), Marks: x.disk.marks}
	text, err := canonical.Marshal(b)
	if err != nil {
		panic(err)
	}
	w := Write{Base: text, Parts: map[string][]byte{}}
	for _, digest := range digests(snap) {
		w.Parts[digest] = x.parts[digest]
	}
	return w
}

// rebase writes what a snapshot of this seat's own made of its log: bounds what is on the disk.
func (x *Replica) rebase() {
	if !x.disk.on {
		return
	}
	snap, err := x.storage.Snapshot()
	if err != nil {
		panic(err)
	}
	maps.DeleteFunc(x.disk.marks, func(id, _ uint64) bool { return !x.member(id) }) // of lives that are over
	hard, _, _ := x.storage.InitialState()
	from, last := snap.GetMetadata().GetIndex()+1, uint64(0)
	if last, err = x.storage.LastIndex(); err != nil {
		panic(err)
	}
	var r *record
	if last >= from {
		entries, err := x.storage.Entries(from, last+1, never)
		if err != nil {
			panic(err)
		}
		r = &record{Entries: encodeEntries(entries)}
	}
	x.write(x.base(snap, hard), r)
}

// write numbers a write and hands it out.
func (x *Replica) write(w Write, r *record) {
	x.disk.number++
	w.Number = x.disk.number
	if r != nil {
		if r.Number = w.Number; x.disk.marked && w.Base == nil {
			r.Marks = x.disk.marks
		}
		text, err := canonical.Marshal(r)
		if err != nil {
			panic(err)
		}
		w.Records = [][]byte{text}
	}
	x.disk.marked, x.disk.written = false, !w.DiscardEarlier
	x.do(Effect{Kind: Persist, Write: &w})
}

// kept takes word of the disk.
func (x *Replica) kept(number uint64, err error) {
	if err != nil {
		x.disk.failed = true
		x.remark(true, "the council's seat stands still until this process is started anew: its disk failed: %v", err)
		return
	}
	x.disk.persisted = max(x.disk.persisted, number)
	if rd := x.disk.owed; rd != nil && number >= x.disk.owedAt && !x.disk.failed {
		x.disk.owed = nil
		x.carry(rd)
	}
}

// heardWrite follows what a seat's words stand on, and tells one that speaks from less than it did before.
func (x *Replica) heardWrite(id, number uint64, from string) {
	if number == 0 {
		return
	}
	if len(x.disk.marks) >= numbersMost && !x.member(id) {
		return
	}
	if before := x.disk.marks[id]; number > before {
		x.disk.marks[id], x.disk.marked = number, true
	} else if number < before {
		x.answerReturn(from, id)
	}
}

func (x *Replica) member(id uint64) bool {
	for _, s := range x.seats {
		if s.ID == id {
			return true
		}
	}
	return false
}

// comeBack asks the others what they heard of this seat last, and goes on once that is known: an old disk has forgotten what
// was acknowledged, and votes. Guards against a volume that was set back; does harm where no other answers: 3 s more until the
// council is there again.
func (x *Replica) comeBack() {
	d := &x.disk
	if n := len(d.returning); n == len(x.names)-1 || 2*(n+1) > len(x.names) && x.now >= d.until {
		d.returning = nil
		x.stand()
		return
	}
	if x.now >= d.returnAt {
		d.returnAt = x.now + returnEvery
		for _, name := range x.names {
			if name != x.self && !d.returning[name] {
				x.send(name, Message{Kind: MessageRejoin, ID: x.id, Incarnation: x.life})
			}
		}
	}
}

// answerReturn says what was heard of a seat's number last, and in which life it sits.
func (x *Replica) answerReturn(to string, id uint64) {
	if x.founded {
		x.send(to, Message{Kind: MessageRejoinAnswer, ID: id, Incarnation: x.seats[to].Life, Number: x.disk.marks[id]})
	}
}

// toldHeard takes what another heard of this seat.
func (x *Replica) toldHeard(m *Message) {
	if m.ID != x.id || !x.disk.on || !slices.Contains(x.names, m.From) || m.From == x.self {
		return
	}
	switch {
	case m.Number > x.disk.number:
		x.remark(true, "this seat's disk is behind what it had acknowledged: %s heard its write %d, and the last there was %d; it begins anew",
			m.From, m.Number, x.disk.number)
		x.anew()
	case m.Incarnation > x.life:
		x.remark(true, "another life has this seat's place by what %s knows; it begins anew", m.From)
		x.anew()
	case x.disk.returning != nil:
		x.disk.returning[m.From] = true
	}
}

func encode(m proto.Message) []byte {
	text, err := proto.Marshal(m)
	if err != nil {
		panic(err)
	}
	return text
}

func encodeEntries(list []*pb.Entry) (texts [][]byte) {
	for _, e := range list {
		texts = append(texts, encode(e))
	}
	return texts
}

// digest names a part of a snapshot by what it holds.
func digest(text []byte) string { return fmt.Sprintf("%x", sha256.Sum256(text)) }

// digests are the parts that a snapshot names and does not hold.
func digests(snap *pb.Snapshot) (list []string) {
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
