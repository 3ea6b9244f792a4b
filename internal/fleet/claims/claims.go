// Package claims holds who may run a tokened invocation: the table that a council agrees on, and the desk at which a
// node asks it. It does no I/O and reads no clock; how commands come to be in one order is not its concern.
package claims

import (
	"cmp"
	"container/heap"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/fxamacker/cbor/v2"
)

const (
	entryBytes  = 300     // of one claim beside its token, work and result: its record, indexes, and its part of a snapshot
	backsMost   = 4       // heirs that may give a claim back, before it is let go: the fleet has no room
	waitersMost = 16      // nodes that are told of the end of one claim; more ask again by themselves
	itemsMost   = 1 << 17 // claims in one snapshot: far above what the bytes allow
	bytesUsual  = 4 << 20 // bytes of a table until its council has said otherwise
)

// LagMost is the most that the table's time moves on at once, in ns. The first such step after a command may count time
// from before it, so windows are longer by that much: none ends early.
const LagMost = 500 * ms

// Key names a token fleet-wide: by name, as indices differ from node to node.
type Key struct {
	Operation string `cbor:"1,keyasint"`
	Tenant    string `cbor:"2,keyasint,omitempty"`
	Token     string `cbor:"3,keyasint"`
}

func (k Key) String() string { return fmt.Sprintf("%s/%s/%s", k.Operation, k.Tenant, k.Token) }

// Owner is one life of a node: a new start is another owner.
type Owner struct {
	Name string `cbor:"1,keyasint"`
	Life uint64 `cbor:"2,keyasint"`
}

// State is how far a claim has come.
type State uint8

// The states. Released claims are gone from the table.
const (
	Claimed State = iota // its owner may start it; nothing ran
	Started              // the owner's executor may have heard of it
	Unknown              // its owner is lost: it may have run
	Ended
)

// States name them.
var States = [...]string{"claimed", "started", "unknown", "ended"}

// CommandKind names what a command does.
type CommandKind uint8

// The commands. Each is carried out or refused as a whole, at its place in the one order.
const (
	Nop     CommandKind = iota // proves that the council is in reach
	Claim                      // may From run this?
	Start                      // the executor is about to hear of it
	End                        // how its run ended
	Release                    // nothing ran and nothing will under this fence
	Take                       // Heir owns it from now on, if it is only claimed
	Doubt                      // its owner is lost after the start
	Settle                     // an executor that outlived its node tells how the run of a call ended
	Pass                       // so much time went by
	Kinds                      // one past the last
)

// Command is one transition. Times are nanoseconds, Body is a hash.
type Command struct {
	Kind   CommandKind `cbor:"1,keyasint"`
	From   Owner       `cbor:"2,keyasint"`           // who asks, and is answered
	Seq    uint64      `cbor:"3,keyasint,omitempty"` // of the answer; the same in a command that is sent again
	Key    Key         `cbor:"4,keyasint,omitempty"`
	Fence  uint64      `cbor:"5,keyasint,omitempty"`  // Start, End, Release, Take, Doubt: the one the sender knows
	Body   uint64      `cbor:"6,keyasint,omitempty"`  // Claim
	For    int64       `cbor:"7,keyasint,omitempty"`  // Claim: until its due time; Pass: how long
	Window int64       `cbor:"8,keyasint,omitempty"`  // Claim: for which a token is known from its start and end on
	Work   []byte      `cbor:"9,keyasint,omitempty"`  // Claim: what an heir needs to run it
	Call   string      `cbor:"10,keyasint,omitempty"` // Claim, Settle: the invocation's id at the owner's executor
	Ending uint8       `cbor:"11,keyasint,omitempty"` // End, Settle
	Result []byte      `cbor:"12,keyasint,omitempty"` // End, Settle
	Heir   Owner       `cbor:"13,keyasint,omitempty"` // Take
	At     int64       `cbor:"14,keyasint,omitempty"` // Pass: the table's time it counts from
	Most   int64       `cbor:"15,keyasint,omitempty"` // Pass: bytes of the table from now on
	Back   bool        `cbor:"16,keyasint,omitempty"` // Release: by an heir that has no room; another may have it
}

// Answer is what became of a command.
type Answer uint8

// The answers.
const (
	Done      Answer = iota // carried out, or it was before
	Granted                 // the claim, or its start, is the sender's
	Elsewhere               // another owner has it, and its end will be told
	Known                   // it ended, with Ending and Result
	Doubted                 // it may have run, how it ended is not known
	Clash                   // the token came with another body
	Fenced                  // the fence is old, or the claim is gone
	Full                    // the table has no room; the first goes after For
)

// Verdict answers a command.
type Verdict struct {
	Seq    uint64 `cbor:"1,keyasint"`
	Answer Answer `cbor:"2,keyasint,omitempty"`
	Fence  uint64 `cbor:"3,keyasint,omitempty"`
	Owner  Owner  `cbor:"4,keyasint,omitempty"`
	Ending uint8  `cbor:"5,keyasint,omitempty"`
	Result []byte `cbor:"6,keyasint,omitempty"`
	For    int64  `cbor:"7,keyasint,omitempty"`
}

// Entry is one claim.
type Entry struct {
	Key    Key     `cbor:"1,keyasint"`
	Owner  Owner   `cbor:"2,keyasint"`
	Fence  uint64  `cbor:"3,keyasint"`
	State  State   `cbor:"4,keyasint,omitempty"`
	Body   uint64  `cbor:"5,keyasint,omitempty"`
	Until  int64   `cbor:"6,keyasint"` // in the table's time: due time while claimed, then the end of the window
	Window int64   `cbor:"7,keyasint"`
	Work   []byte  `cbor:"8,keyasint,omitempty"`
	Call   string  `cbor:"9,keyasint,omitempty"`
	Ending uint8   `cbor:"10,keyasint,omitempty"`
	Result []byte  `cbor:"11,keyasint,omitempty"`
	Taken  bool    `cbor:"12,keyasint,omitempty"` // its owner is an heir
	Asking []Owner `cbor:"13,keyasint,omitempty"` // to be told of its end
	Last   Owner   `cbor:"14,keyasint,omitempty"` // the heir that gave it back
	Backs  int     `cbor:"15,keyasint,omitempty"` // how often that happened
	place  int
}

func (e *Entry) size() int64 {
	return entryBytes + int64(len(e.Key.Operation)+len(e.Key.Tenant)+len(e.Key.Token)+len(e.Work)+len(e.Result))
}

// Counters are what became of commands on this table, since it was made or read from a snapshot.
type Counters struct {
	Claimed    int `json:"claimed"`
	Started    int `json:"started"`
	Ended      int `json:"ended"`
	Joined     int `json:"joined"`
	Taken      int `json:"taken"`
	Unknown    int `json:"unknown"`
	TakenEnded int `json:"taken_ended"` // by their heirs, with a result
	Settled    int `json:"settled"`
	Fenced     int `json:"fenced"`
	Expired    int `json:"expired"`
	Full       int `json:"full"`
}

// Table is the state that commands change, the same on all that carry out the same ones in the same order.
type Table struct {
	Counters Counters
	// Told are the claims that settled in the last Apply, with those who asked to be told. It is valid until the next.
	Told []Settled

	entries map[Key]*Entry
	owned   map[Owner]map[Key]*Entry // those whose owner can still be lost: claimed and started
	taken   map[Key]*Entry           // those that an heir owns and has not begun
	expiry  expiry
	time    int64
	fence   uint64
	bytes   int64
	most    int64
}

// Settled is a claim that others wait for, and that ended, became unknown, or went away.
type Settled struct {
	Key    Key
	Asking []Owner
}

// NewTable is a table without claims.
func NewTable() *Table {
	return &Table{entries: map[Key]*Entry{}, owned: map[Owner]map[Key]*Entry{}, taken: map[Key]*Entry{}, most: bytesUsual}
}

// Apply carries out one command. It depends on nothing but the commands before.
func (t *Table) Apply(c *Command) Verdict {
	t.Told = t.Told[:0]
	v := Verdict{Seq: c.Seq}
	e := t.entries[c.Key]
	switch c.Kind {
	case Claim:
		t.claim(c, e, &v)
	case Start:
		t.start(c, e, &v)
	case End:
		t.end(c, e, &v)
	case Release:
		t.release(c, e)
	case Take:
		t.take(c, e, &v)
	case Doubt:
		if e != nil && e.Fence == c.Fence && e.State == Started {
			t.Counters.Unknown++
			t.leave(e)
			e.State = Unknown
			t.tell(e)
		}
	case Settle:
		t.settle(c)
	case Pass:
		t.pass(c)
	}
	return v
}

func (t *Table) claim(c *Command, e *Entry, v *Verdict) {
	switch {
	case e == nil:
		e = &Entry{Key: c.Key, Owner: c.From, Body: c.Body, Until: t.time + max(0, c.For), Window: max(0, c.Window), Work: c.Work, Call: c.Call}
		if t.bytes+e.size() > t.most {
			t.Counters.Full++
			v.Answer = Full
			if len(t.expiry) > 0 {
				v.For = max(0, t.expiry[0].Until-t.time)
			}
			return
		}
		t.fence++
		e.Fence = t.fence
		t.entries[c.Key] = e
		t.bytes += e.size()
		heap.Push(&t.expiry, e)
		t.own(e)
		t.Counters.Claimed++
		v.Answer, v.Fence = Granted, e.Fence
	case e.Body != c.Body:
		v.Answer = Clash
	case e.State == Ended:
		v.Answer, v.Ending, v.Result = Known, e.Ending, e.Result
	case e.State == Unknown:
		v.Answer = Doubted
	case e.Owner == c.From && e.State == Claimed: // sent again, or given to it meanwhile
		v.Answer, v.Fence = Granted, e.Fence
	default:
		t.Counters.Joined++
		v.Answer, v.Owner, v.Fence = Elsewhere, e.Owner, e.Fence
		if e.Owner != c.From && len(e.Asking) < waitersMost && !slices.Contains(e.Asking, c.From) {
			e.Asking = append(e.Asking, c.From)
		}
	}
}

// start is agreed on before an executor hears of the work. Who sends it again is answered alike: a fence belongs to
// one life of one node, which runs it at the first answer only.
func (t *Table) start(c *Command, e *Entry, v *Verdict) {
	if e == nil || e.Fence != c.Fence || e.Owner != c.From || e.State > Started {
		t.Counters.Fenced++
		v.Answer = Fenced
		return
	}
	v.Answer, v.Fence = Granted, e.Fence
	if e.State == Claimed {
		t.Counters.Started++
		t.bytes -= int64(len(e.Work))
		e.State, e.Work = Started, nil
		delete(t.taken, e.Key)
		t.keep(e, t.time+e.Window+LagMost)
	}
}

// end takes the word of whoever started under the fence, however late: that settles what was unknown.
func (t *Table) end(c *Command, e *Entry, v *Verdict) {
	if e == nil || e.Fence != c.Fence || e.State != Started && e.State != Unknown {
		if e == nil || e.State != Ended {
			v.Answer = Fenced
		}
		return
	}
	t.over(e, c)
}

func (t *Table) over(e *Entry, c *Command) {
	if e.State == Unknown {
		t.Counters.Settled++
	}
	t.Counters.Ended++
	if e.Taken {
		t.Counters.TakenEnded++
	}
	t.leave(e)
	e.State, e.Ending, e.Result = Ended, c.Ending, c.Result
	t.bytes += int64(len(c.Result))
	t.keep(e, t.time+e.Window+LagMost)
	t.tell(e)
}

// release lets a claim go under which nothing ran. What an heir had no room for is nobody's until the next heir takes it.
func (t *Table) release(c *Command, e *Entry) {
	switch {
	case e == nil || e.Fence != c.Fence || e.Owner != c.From || e.State > Started:
	case c.Back && e.Taken && e.State == Claimed && e.Backs < backsMost:
		t.leave(e)
		t.fence++
		e.Owner, e.Fence, e.Last = Owner{}, t.fence, c.From
		e.Backs++
		t.own(e)
	default:
		t.drop(e)
	}
}

func (t *Table) take(c *Command, e *Entry, v *Verdict) {
	if e == nil || e.Fence != c.Fence || e.State != Claimed {
		t.Counters.Fenced++
		v.Answer = Fenced
		return
	}
	t.leave(e)
	t.fence++
	e.Owner, e.Fence, e.Taken = c.Heir, t.fence, true
	t.own(e)
	t.Counters.Taken++
	v.Answer, v.Fence = Granted, e.Fence
}

// settle takes the word of an executor that outlived its node: it speaks of a call of any earlier life of it.
func (t *Table) settle(c *Command) {
	for _, k := range slices.SortedFunc(maps.Keys(t.entries), Compare) {
		if e := t.entries[k]; e.Call == c.Call && e.Call != "" && e.Owner.Name == c.From.Name && (e.State == Started || e.State == Unknown) {
			t.over(e, c)
			return
		}
	}
}

// Compare orders keys by token.
func Compare(a, b Key) int {
	if n := strings.Compare(a.Token, b.Token); n != 0 {
		return n
	}
	if n := strings.Compare(a.Operation, b.Operation); n != 0 {
		return n
	}
	return strings.Compare(a.Tenant, b.Tenant)
}

// pass moves the time on, by what one member of the council measured since the time it names: two who measured the
// same span can't both be counted, so the table's time is never ahead of the world's.
func (t *Table) pass(c *Command) {
	if c.At != t.time || c.For <= 0 {
		return
	}
	t.time += min(c.For, LagMost) // what is over is lost: an election's seconds
	if c.Most > 0 {
		t.most = c.Most
	}
	for len(t.expiry) > 0 && t.expiry[0].Until <= t.time {
		t.Counters.Expired++
		t.drop(t.expiry[0])
	}
}

func (t *Table) own(e *Entry) {
	all := t.owned[e.Owner]
	if all == nil {
		all = map[Key]*Entry{}
		t.owned[e.Owner] = all
	}
	all[e.Key] = e
	if e.Taken && e.State == Claimed && e.Owner != (Owner{}) {
		t.taken[e.Key] = e
	}
}

func (t *Table) leave(e *Entry) {
	delete(t.taken, e.Key)
	all := t.owned[e.Owner]
	delete(all, e.Key)
	if len(all) == 0 {
		delete(t.owned, e.Owner)
	}
}

func (t *Table) keep(e *Entry, until int64) {
	e.Until = max(e.Until, until)
	heap.Fix(&t.expiry, e.place)
}

func (t *Table) tell(e *Entry) {
	if len(e.Asking) > 0 {
		t.Told = append(t.Told, Settled{e.Key, e.Asking})
		e.Asking = nil
	}
}

func (t *Table) drop(e *Entry) {
	t.tell(e)
	t.leave(e)
	heap.Remove(&t.expiry, e.place)
	delete(t.entries, e.Key)
	t.bytes -= e.size()
}

// CompareOwners orders owners by name, then life.
func CompareOwners(a, b Owner) int {
	if n := strings.Compare(a.Name, b.Name); n != 0 {
		return n
	}
	return cmp.Compare(a.Life, b.Life)
}

// Time is the table's own: ns that went by since it was founded, as far as its council agreed on them.
func (t *Table) Time() int64 { return t.time }

// Size is how many claims there are, and about their bytes.
func (t *Table) Size() (entries int, bytes int64) { return len(t.entries), t.bytes }

// Find is the claim of a token, nil where there is none. It must not be changed.
func (t *Table) Find(k Key) *Entry { return t.entries[k] }

// Owners are those who have claims that are not over, by name and life.
func (t *Table) Owners() []Owner {
	return slices.SortedFunc(maps.Keys(t.owned), CompareOwners)
}

// Of are an owner's claims that are not over, by token; they must not be changed.
func (t *Table) Of(o Owner) (list []*Entry) {
	for _, k := range slices.SortedFunc(maps.Keys(t.owned[o]), Compare) {
		list = append(list, t.owned[o][k])
	}
	return list
}

// Taken are the claims that heirs own and have not begun, by token; they must not be changed.
func (t *Table) Taken() (list []*Entry) {
	for _, k := range slices.SortedFunc(maps.Keys(t.taken), Compare) {
		list = append(list, t.taken[k])
	}
	return list
}

// All are the claims by token, at most so many.
func (t *Table) All(most int) (list []*Entry) {
	for _, k := range slices.SortedFunc(maps.Keys(t.entries), Compare) {
		if len(list) == most {
			break
		}
		list = append(list, t.entries[k])
	}
	return list
}

// snapshot is a table as it is written.
type snapshot struct {
	Time    int64    `cbor:"1,keyasint"`
	Fence   uint64   `cbor:"2,keyasint"`
	Most    int64    `cbor:"3,keyasint"`
	Entries []*Entry `cbor:"4,keyasint"`
}

// Snapshot writes the table; two that are equal are written alike.
func (t *Table) Snapshot() ([]byte, error) {
	return cbor.Marshal(snapshot{t.time, t.fence, t.most, t.All(len(t.entries))})
}

var decode = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: itemsMost, MaxNestedLevels: 8, IndefLength: cbor.IndefLengthForbidden}.DecMode()
	if err != nil {
		panic(err) // of constants
	}
	return mode
}()

// Restore reads a table.
func Restore(text []byte) (*Table, error) {
	var s snapshot
	if err := decode.Unmarshal(text, &s); err != nil {
		return nil, fmt.Errorf("claims: a snapshot can't be read: %w", err)
	}
	t := NewTable()
	t.time, t.fence, t.most = s.Time, s.Fence, s.Most
	for _, e := range s.Entries {
		if e == nil || t.entries[e.Key] != nil {
			return nil, fmt.Errorf("claims: a snapshot holds a claim twice or an empty one")
		}
		t.entries[e.Key] = e
		t.bytes += e.size()
		heap.Push(&t.expiry, e)
		if e.State <= Started {
			t.own(e)
		}
	}
	return t, nil
}

type expiry []*Entry

func (x expiry) Len() int           { return len(x) }
func (x expiry) Less(a, b int) bool { return x[a].Until < x[b].Until }
func (x expiry) Swap(a, b int)      { x[a], x[b] = x[b], x[a]; x[a].place, x[b].place = a, b }
func (x *expiry) Push(e any)        { e.(*Entry).place = len(*x); *x = append(*x, e.(*Entry)) }
func (x *expiry) Pop() any {
	last := (*x)[len(*x)-1]
	*x = (*x)[:len(*x)-1]
	return last
}
