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
	entryOverheadBytes  = 300     // of one claim beside its token, work and result: its record, indexes, and its part of a snapshot
	maxReturns          = 4       // heirs that may give a claim back, before it is let go: the fleet has no room
	maxWaiters          = 16      // nodes that are told of the end of one claim; more ask again by themselves
	maxSnapshotElements = 1 << 17 // claims in one snapshot: far above what the bytes allow
	defaultTableBytes   = 4 << 20 // bytes of a table until its council has said otherwise
)

// MaxTimeStep is the most that the table's time moves on at once, in ns. The first such step after a command may count time
// from before it, so windows are longer by that much: none ends early.
const MaxTimeStep = 500 * ms

// Key names a token fleet-wide: by name, as indices differ from node to node.
type Key struct {
	Operation string `cbor:"1,keyasint"`
	Tenant    string `cbor:"2,keyasint,omitempty"`
	Token     string `cbor:"3,keyasint"`
}

func (k Key) String() string { return fmt.Sprintf("%s/%s/%s", k.Operation, k.Tenant, k.Token) }

// Owner is one life of a node: a new start is another owner.
type Owner struct {
	Name        string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
}

// State is how far a claim has come.
type State uint8

// The states. Released claims are gone from the table.
const (
	StateClaimed State = iota // its owner may start it; nothing ran
	StateStarted              // the owner's executor may have heard of it
	StateUnknown              // its owner is lost: it may have run
	StateEnded
)

// StateNames name them.
var StateNames = [...]string{"claimed", "started", "unknown", "ended"}

// CommandKind names what a command does.
type CommandKind uint8

// The commands. Each is carried out or refused as a whole, at its place in the one order.
const (
	CommandNoop        CommandKind = iota // proves that the council is in reach
	CommandClaim                          // may From run this?
	CommandStart                          // the executor is about to hear of it
	CommandEnd                            // how its run ended
	CommandRelease                        // nothing ran and nothing will under this fence
	CommandReassign                       // Heir owns it from now on, if it is only claimed
	CommandMarkUnknown                    // its owner is lost after the start
	CommandResolve                        // an executor that outlived its node tells how the run of a call ended
	CommandAdvanceTime                    // so much time went by
	CommandKindCount                      // one past the last
)

// Command is one transition. Times are nanoseconds, Body is a hash.
type Command struct {
	Kind          CommandKind `cbor:"1,keyasint"`
	Sender        Owner       `cbor:"2,keyasint"`           // who asks, and is answered
	Seq           uint64      `cbor:"3,keyasint,omitempty"` // of the answer; the same in a command that is sent again
	Key           Key         `cbor:"4,keyasint,omitempty"`
	Fence         uint64      `cbor:"5,keyasint,omitempty"`  // Start, End, Release, Take, Doubt: the one the sender knows
	BodyHash      uint64      `cbor:"6,keyasint,omitempty"`  // Claim
	Duration      int64       `cbor:"7,keyasint,omitempty"`  // Claim: until its due time; Pass: how long
	Window        int64       `cbor:"8,keyasint,omitempty"`  // Claim: for which a token is known from its start and end on
	Work          []byte      `cbor:"9,keyasint,omitempty"`  // Claim: what an heir needs to run it
	InvocationID  string      `cbor:"10,keyasint,omitempty"` // Claim, Settle: the invocation's id at the owner's executor
	Outcome       uint8       `cbor:"11,keyasint,omitempty"` // End, Settle
	Result        []byte      `cbor:"12,keyasint,omitempty"` // End, Settle
	NewOwner      Owner       `cbor:"13,keyasint,omitempty"` // Take
	At            int64       `cbor:"14,keyasint,omitempty"` // Pass: the table's time it counts from
	MaxTableBytes int64       `cbor:"15,keyasint,omitempty"` // Pass: bytes of the table from now on
	Returned      bool        `cbor:"16,keyasint,omitempty"` // Release: by an heir that has no room; another may have it
}

// Answer is what became of a command.
type Answer uint8

// The answers.
const (
	AnswerDone           Answer = iota // carried out, or it was before
	AnswerGranted                      // the claim, or its start, is the sender's
	AnswerOwnedElsewhere               // another owner has it, and its end will be told
	AnswerCompleted                    // it ended, with Ending and Result
	AnswerOutcomeUnknown               // it may have run, how it ended is not known
	AnswerBodyMismatch                 // the token came with another body
	AnswerStaleFence                   // the fence is old, or the claim is gone
	AnswerTableFull                    // the table has no room; the first goes after For
)

// Verdict answers a command.
type Verdict struct {
	Seq        uint64 `cbor:"1,keyasint"`
	Answer     Answer `cbor:"2,keyasint,omitempty"`
	Fence      uint64 `cbor:"3,keyasint,omitempty"`
	Owner      Owner  `cbor:"4,keyasint,omitempty"`
	Outcome    uint8  `cbor:"5,keyasint,omitempty"`
	Result     []byte `cbor:"6,keyasint,omitempty"`
	RetryAfter int64  `cbor:"7,keyasint,omitempty"`
}

// Entry is one claim.
type Entry struct {
	Key            Key     `cbor:"1,keyasint"`
	Owner          Owner   `cbor:"2,keyasint"`
	Fence          uint64  `cbor:"3,keyasint"`
	State          State   `cbor:"4,keyasint,omitempty"`
	BodyHash       uint64  `cbor:"5,keyasint,omitempty"`
	ExpiresAt      int64   `cbor:"6,keyasint"` // in the table's time: due time while claimed, then the end of the window
	Window         int64   `cbor:"7,keyasint"`
	Work           []byte  `cbor:"8,keyasint,omitempty"`
	InvocationID   string  `cbor:"9,keyasint,omitempty"`
	Outcome        uint8   `cbor:"10,keyasint,omitempty"`
	Result         []byte  `cbor:"11,keyasint,omitempty"`
	Reassigned     bool    `cbor:"12,keyasint,omitempty"` // its owner is an heir
	Waiters        []Owner `cbor:"13,keyasint,omitempty"` // to be told of its end
	LastReturnedBy Owner   `cbor:"14,keyasint,omitempty"` // the heir that gave it back
	ReturnCount    int     `cbor:"15,keyasint,omitempty"` // how often that happened
	heapIndex      int
}

func (e *Entry) sizeBytes() int64 {
	return entryOverheadBytes + int64(len(e.Key.Operation)+len(e.Key.Tenant)+len(e.Key.Token)+len(e.Work)+len(e.Result))
}

// Counters are what became of commands on this table, since it was made or read from a snapshot.
type Counters struct {
	Claimed         int `json:"claimed"`
	Started         int `json:"started"`
	Ended           int `json:"ended"`
	Joined          int `json:"joined"`
	Reassigned      int `json:"taken"`
	Unknown         int `json:"unknown"`
	ReassignedEnded int `json:"taken_ended"` // by their heirs, with a result
	Resolved        int `json:"settled"`
	Fenced          int `json:"fenced"`
	Expired         int `json:"expired"`
	TableFull       int `json:"full"`
}

// Table is the state that commands change, the same on all that carry out the same ones in the same order.
type Table struct {
	Counters Counters
	// Told are the claims that settled in the last Apply, with those who asked to be told. It is valid until the next.
	EndedClaims []EndedClaim

	entries    map[Key]*Entry
	owned      map[Owner]map[Key]*Entry // those whose owner can still be lost: claimed and started
	reassigned map[Key]*Entry           // those that an heir owns and has not begun
	expiry     expiry
	time       int64
	fence      uint64
	bytes      int64
	maxBytes   int64
}

// EndedClaim is a claim that others wait for, and that ended, became unknown, or went away.
type EndedClaim struct {
	Key     Key
	Waiters []Owner
}

// NewTable is a table without claims.
func NewTable() *Table {
	return &Table{entries: map[Key]*Entry{}, owned: map[Owner]map[Key]*Entry{}, reassigned: map[Key]*Entry{}, maxBytes: defaultTableBytes}
}

// Apply carries out one command. It depends on nothing but the commands before.
func (t *Table) Apply(command *Command) Verdict {
	t.EndedClaims = t.EndedClaims[:0]
	verdict := Verdict{Seq: command.Seq}
	entry := t.entries[command.Key]
	switch command.Kind {
	case CommandClaim:
		t.claim(command, entry, &verdict)
	case CommandStart:
		t.start(command, entry, &verdict)
	case CommandEnd:
		t.end(command, entry, &verdict)
	case CommandRelease:
		t.release(command, entry)
	case CommandReassign:
		t.reassign(command, entry, &verdict)
	case CommandMarkUnknown:
		if entry != nil && entry.Fence == command.Fence && entry.State == StateStarted {
			t.Counters.Unknown++
			t.removeOwned(entry)
			entry.State = StateUnknown
			t.notifyWaiters(entry)
		}
	case CommandResolve:
		t.resolve(command)
	case CommandAdvanceTime:
		t.advanceTime(command)
	}
	return verdict
}

func (t *Table) claim(command *Command, entry *Entry, verdict *Verdict) {
	switch {
	case entry == nil:
		entry = &Entry{Key: command.Key, Owner: command.Sender, BodyHash: command.BodyHash, ExpiresAt: t.time + max(0, command.Duration), Window: max(0, command.Window), Work: command.Work, InvocationID: command.InvocationID}
		if t.bytes+entry.sizeBytes() > t.maxBytes {
			t.Counters.TableFull++
			verdict.Answer = AnswerTableFull
			if len(t.expiry) > 0 {
				verdict.RetryAfter = max(0, t.expiry[0].ExpiresAt-t.time)
			}
			return
		}
		t.fence++
		entry.Fence = t.fence
		t.entries[command.Key] = entry
		t.bytes += entry.sizeBytes()
		heap.Push(&t.expiry, entry)
		t.addOwned(entry)
		t.Counters.Claimed++
		verdict.Answer, verdict.Fence = AnswerGranted, entry.Fence
	case entry.BodyHash != command.BodyHash:
		verdict.Answer = AnswerBodyMismatch
	case entry.State == StateEnded:
		verdict.Answer, verdict.Outcome, verdict.Result = AnswerCompleted, entry.Outcome, entry.Result
	case entry.State == StateUnknown:
		verdict.Answer = AnswerOutcomeUnknown
	case entry.Owner == command.Sender && entry.State == StateClaimed: // sent again, or given to it meanwhile
		verdict.Answer, verdict.Fence = AnswerGranted, entry.Fence
	default:
		t.Counters.Joined++
		verdict.Answer, verdict.Owner, verdict.Fence = AnswerOwnedElsewhere, entry.Owner, entry.Fence
		if entry.Owner != command.Sender && len(entry.Waiters) < maxWaiters && !slices.Contains(entry.Waiters, command.Sender) {
			entry.Waiters = append(entry.Waiters, command.Sender)
		}
	}
}

// start is agreed on before an executor hears of the work. Who sends it again is answered alike: a fence belongs to
// one life of one node, which runs it at the first answer only.
func (t *Table) start(command *Command, entry *Entry, verdict *Verdict) {
	if entry == nil || entry.Fence != command.Fence || entry.Owner != command.Sender || entry.State > StateStarted {
		t.Counters.Fenced++
		verdict.Answer = AnswerStaleFence
		return
	}
	verdict.Answer, verdict.Fence = AnswerGranted, entry.Fence
	if entry.State == StateClaimed {
		t.Counters.Started++
		t.bytes -= int64(len(entry.Work))
		entry.State, entry.Work = StateStarted, nil
		delete(t.reassigned, entry.Key)
		t.extend(entry, t.time+entry.Window+MaxTimeStep)
	}
}

// end takes the word of whoever started under the fence, however late: that settles what was unknown.
func (t *Table) end(command *Command, entry *Entry, verdict *Verdict) {
	if entry == nil || entry.Fence != command.Fence || entry.State != StateStarted && entry.State != StateUnknown {
		if entry == nil || entry.State != StateEnded {
			verdict.Answer = AnswerStaleFence
		}
		return
	}
	t.complete(entry, command)
}

func (t *Table) complete(entry *Entry, command *Command) {
	if entry.State == StateUnknown {
		t.Counters.Resolved++
	}
	t.Counters.Ended++
	if entry.Reassigned {
		t.Counters.ReassignedEnded++
	}
	t.removeOwned(entry)
	entry.State, entry.Outcome, entry.Result = StateEnded, command.Outcome, command.Result
	t.bytes += int64(len(command.Result))
	t.extend(entry, t.time+entry.Window+MaxTimeStep)
	t.notifyWaiters(entry)
}

// release lets a claim go under which nothing ran. What an heir had no room for is nobody's until the next heir takes it.
func (t *Table) release(command *Command, entry *Entry) {
	switch {
	case entry == nil || entry.Fence != command.Fence || entry.Owner != command.Sender || entry.State > StateStarted:
	case command.Returned && entry.Reassigned && entry.State == StateClaimed && entry.ReturnCount < maxReturns:
		t.removeOwned(entry)
		t.fence++
		entry.Owner, entry.Fence, entry.LastReturnedBy = Owner{}, t.fence, command.Sender
		entry.ReturnCount++
		t.addOwned(entry)
	default:
		t.remove(entry)
	}
}

func (t *Table) reassign(command *Command, entry *Entry, verdict *Verdict) {
	if entry == nil || entry.Fence != command.Fence || entry.State != StateClaimed {
		t.Counters.Fenced++
		verdict.Answer = AnswerStaleFence
		return
	}
	t.removeOwned(entry)
	t.fence++
	entry.Owner, entry.Fence, entry.Reassigned = command.NewOwner, t.fence, true
	t.addOwned(entry)
	t.Counters.Reassigned++
	verdict.Answer, verdict.Fence = AnswerGranted, entry.Fence
}

// resolve takes the word of an executor that outlived its node: it speaks of a call of any earlier life of it.
func (t *Table) resolve(command *Command) {
	for _, key := range slices.SortedFunc(maps.Keys(t.entries), CompareKeys) {
		if entry := t.entries[key]; entry.InvocationID == command.InvocationID && entry.InvocationID != "" && entry.Owner.Name == command.Sender.Name && (entry.State == StateStarted || entry.State == StateUnknown) {
			t.complete(entry, command)
			return
		}
	}
}

// CompareKeys orders keys by token.
func CompareKeys(a, b Key) int {
	if n := strings.Compare(a.Token, b.Token); n != 0 {
		return n
	}
	if n := strings.Compare(a.Operation, b.Operation); n != 0 {
		return n
	}
	return strings.Compare(a.Tenant, b.Tenant)
}

// advanceTime moves the time on, by what one member of the council measured since the time it names: two who measured the
// same span can't both be counted, so the table's time is never ahead of the world's.
func (t *Table) advanceTime(command *Command) {
	if command.At != t.time || command.Duration <= 0 {
		return
	}
	t.time += min(command.Duration, MaxTimeStep) // what is over is lost: an election's seconds
	if command.MaxTableBytes > 0 {
		t.maxBytes = command.MaxTableBytes
	}
	for len(t.expiry) > 0 && t.expiry[0].ExpiresAt <= t.time {
		t.Counters.Expired++
		t.remove(t.expiry[0])
	}
}

func (t *Table) addOwned(entry *Entry) {
	owned := t.owned[entry.Owner]
	if owned == nil {
		owned = map[Key]*Entry{}
		t.owned[entry.Owner] = owned
	}
	owned[entry.Key] = entry
	if entry.Reassigned && entry.State == StateClaimed && entry.Owner != (Owner{}) {
		t.reassigned[entry.Key] = entry
	}
}

func (t *Table) removeOwned(entry *Entry) {
	delete(t.reassigned, entry.Key)
	owned := t.owned[entry.Owner]
	delete(owned, entry.Key)
	if len(owned) == 0 {
		delete(t.owned, entry.Owner)
	}
}

func (t *Table) extend(entry *Entry, until int64) {
	entry.ExpiresAt = max(entry.ExpiresAt, until)
	heap.Fix(&t.expiry, entry.heapIndex)
}

func (t *Table) notifyWaiters(entry *Entry) {
	if len(entry.Waiters) > 0 {
		t.EndedClaims = append(t.EndedClaims, EndedClaim{entry.Key, entry.Waiters})
		entry.Waiters = nil
	}
}

func (t *Table) remove(entry *Entry) {
	t.notifyWaiters(entry)
	t.removeOwned(entry)
	heap.Remove(&t.expiry, entry.heapIndex)
	delete(t.entries, entry.Key)
	t.bytes -= entry.sizeBytes()
}

// CompareOwners orders owners by name, then life.
func CompareOwners(a, b Owner) int {
	if n := strings.Compare(a.Name, b.Name); n != 0 {
		return n
	}
	return cmp.Compare(a.Incarnation, b.Incarnation)
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

// OwnedBy are an owner's claims that are not over, by token; they must not be changed.
func (t *Table) OwnedBy(o Owner) (list []*Entry) {
	for _, k := range slices.SortedFunc(maps.Keys(t.owned[o]), CompareKeys) {
		list = append(list, t.owned[o][k])
	}
	return list
}

// Reassigned are the claims that heirs own and have not begun, by token; they must not be changed.
func (t *Table) Reassigned() (list []*Entry) {
	for _, k := range slices.SortedFunc(maps.Keys(t.reassigned), CompareKeys) {
		list = append(list, t.reassigned[k])
	}
	return list
}

// List are the claims by token, at most so many.
func (t *Table) List(limit int) (list []*Entry) {
	for _, k := range slices.SortedFunc(maps.Keys(t.entries), CompareKeys) {
		if len(list) == limit {
			break
		}
		list = append(list, t.entries[k])
	}
	return list
}

// snapshot is a table as it is written.
type snapshot struct {
	Time     int64    `cbor:"1,keyasint"`
	Fence    uint64   `cbor:"2,keyasint"`
	MaxBytes int64    `cbor:"3,keyasint"`
	Entries  []*Entry `cbor:"4,keyasint"`
}

// Snapshot writes the table; two that are equal are written alike.
func (t *Table) Snapshot() ([]byte, error) {
	return cbor.Marshal(snapshot{t.time, t.fence, t.maxBytes, t.List(len(t.entries))})
}

var decodeMode = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: maxSnapshotElements, MaxNestedLevels: 8, IndefLength: cbor.IndefLengthForbidden}.DecMode()
	if err != nil {
		panic(err) // of constants
	}
	return mode
}()

// Restore reads a table.
func Restore(text []byte) (*Table, error) {
	var s snapshot
	if err := decodeMode.Unmarshal(text, &s); err != nil {
		return nil, fmt.Errorf("claims: a snapshot can't be read: %w", err)
	}
	t := NewTable()
	t.time, t.fence, t.maxBytes = s.Time, s.Fence, s.MaxBytes
	for _, e := range s.Entries {
		if e == nil || t.entries[e.Key] != nil {
			return nil, fmt.Errorf("claims: a snapshot holds a claim twice or an empty one")
		}
		t.entries[e.Key] = e
		t.bytes += e.sizeBytes()
		heap.Push(&t.expiry, e)
		if e.State <= StateStarted {
			t.addOwned(e)
		}
	}
	return t, nil
}

type expiry []*Entry

func (x expiry) Len() int           { return len(x) }
func (x expiry) Less(a, b int) bool { return x[a].ExpiresAt < x[b].ExpiresAt }
func (x expiry) Swap(a, b int)      { x[a], x[b] = x[b], x[a]; x[a].heapIndex, x[b].heapIndex = a, b }
func (x *expiry) Push(e any)        { e.(*Entry).heapIndex = len(*x); *x = append(*x, e.(*Entry)) }
func (x *expiry) Pop() any {
	last := (*x)[len(*x)-1]
	*x = (*x)[:len(*x)-1]
	return last
}
