// Package claims decides who may run an invocation that carries an idempotency token. Table is the replicated state that a
// consensus group agrees on, with a fencing token for each change of ownership; Client is a node's side, which asks the group. The
// package does no I/O and reads no clock; how commands come to be in one order is not its concern.
package claims

import (
	"maps"
	"slices"

	"topazpost/internal/expiryheap"
)

const (
	ms = int64(1_000_000) // ns in a millisecond

	maxReturns        = 4       // by new owners without capacity, past which a claim is dropped: the fleet has no room
	maxWaiters        = 16      // nodes that are notified of the end of one claim; further ones poll
	defaultTableBytes = 4 << 20 // limit of a table until its group has set one
)

// Counters are what became of commands on this table, since it was made or restored from a snapshot.
type Counters struct {
	Claimed         int `json:"claimed"`
	Started         int `json:"started"`
	Ended           int `json:"ended"`
	Joined          int `json:"joined"`
	Reassigned      int `json:"taken"`
	Unknown         int `json:"unknown"`
	ReassignedEnded int `json:"taken_ended"` // by their new owners, with a result
	Resolved        int `json:"settled"`
	Fenced          int `json:"fenced"`
	Expired         int `json:"expired"`
	TableFull       int `json:"full"`
}

// Table is the replicated state: it is the same on all replicas that apply the same commands in the same order.
type Table struct {
	Counters Counters
	// EndNotifications lists the nodes to notify of claims that the last Apply ended. It is valid until the next Apply.
	EndNotifications []EndNotification

	entries    map[Key]*Entry
	owned      ownerIndex
	reassigned map[Key]*Entry // those that a new owner has and has not started
	expiry     expiryheap.Heap[*Entry]
	time       int64
	fence      uint64 // the last that was given out
	bytes      int64
	maxBytes   int64
}

// EndNotification names the nodes that wait for a claim that ended, was marked unknown or was removed.
type EndNotification struct {
	Key     Key
	Waiters []Owner
}

// NewTable returns a table without claims.
func NewTable() *Table {
	return &Table{entries: map[Key]*Entry{}, owned: ownerIndex{}, reassigned: map[Key]*Entry{}, maxBytes: defaultTableBytes}
}

// Apply carries out one command. Its result depends on nothing but the commands before.
func (t *Table) Apply(command *Command) Verdict {
	t.EndNotifications = t.EndNotifications[:0]
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
		t.markUnknown(command, entry)
	case CommandResolve:
		t.resolve(command)
	case CommandAdvanceTime:
		t.advanceTime(command)
	}
	return verdict
}

// claim grants a token that nobody has, and answers others with what became of it.
func (t *Table) claim(command *Command, entry *Entry, verdict *Verdict) {
	switch {
	case entry == nil:
		t.grant(command, verdict)
	case entry.BodyHash != command.BodyHash:
		verdict.Answer = AnswerBodyMismatch
	case entry.State == StateEnded:
		verdict.Answer = AnswerCompleted
		verdict.Outcome = entry.Outcome
		verdict.Result = entry.Result
	case entry.State == StateUnknown:
		verdict.Answer = AnswerOutcomeUnknown
	case entry.Owner == command.Sender && entry.State == StateClaimed: // a retry, or it was reassigned to the sender meanwhile
		verdict.Answer = AnswerGranted
		verdict.Fence = entry.Fence
	default:
		t.join(command, entry, verdict)
	}
}

// grant adds a claim under a new fence, if the table has room.
func (t *Table) grant(command *Command, verdict *Verdict) {
	entry := &Entry{
		Key:          command.Key,
		Owner:        command.Sender,
		BodyHash:     command.BodyHash,
		ExpiresAt:    t.time + max(0, command.Duration),
		Window:       max(0, command.Window),
		Work:         command.Work,
		InvocationID: command.InvocationID,
	}
	if t.bytes+entry.sizeBytes() > t.maxBytes {
		t.Counters.TableFull++
		verdict.Answer = AnswerTableFull
		verdict.RetryAfter = t.timeToFirstExpiry()
		return
	}
	entry.Fence = t.nextFence()
	t.insert(entry)
	t.Counters.Claimed++
	verdict.Answer = AnswerGranted
	verdict.Fence = entry.Fence
}

// join has the sender wait for a claim of another owner.
func (t *Table) join(command *Command, entry *Entry, verdict *Verdict) {
	t.Counters.Joined++
	verdict.Answer = AnswerOwnedElsewhere
	verdict.Owner = entry.Owner
	verdict.Fence = entry.Fence
	if entry.Owner != command.Sender && len(entry.Waiters) < maxWaiters && !slices.Contains(entry.Waiters, command.Sender) {
		entry.Waiters = append(entry.Waiters, command.Sender)
	}
}

// start is committed before an executor receives the invocation. A retry is answered alike: a fence belongs to one incarnation of
// one node, which runs the invocation at the first answer only.
func (t *Table) start(command *Command, entry *Entry, verdict *Verdict) {
	if entry == nil || entry.Fence != command.Fence || entry.Owner != command.Sender || entry.isOver() {
		t.Counters.Fenced++
		verdict.Answer = AnswerStaleFence
		return
	}
	verdict.Answer = AnswerGranted
	verdict.Fence = entry.Fence
	if entry.State != StateClaimed {
		return
	}
	t.Counters.Started++
	t.bytes -= int64(len(entry.Work))
	entry.State = StateStarted
	entry.Work = nil
	delete(t.reassigned, entry.Key)
	t.restartWindow(entry)
}

// end accepts the report of whoever started under the fence, however late: that resolves an unknown outcome.
func (t *Table) end(command *Command, entry *Entry, verdict *Verdict) {
	if entry != nil && entry.Fence == command.Fence && (entry.State == StateStarted || entry.State == StateUnknown) {
		t.complete(entry, command)
		return
	}
	if entry == nil || entry.State != StateEnded {
		verdict.Answer = AnswerStaleFence
	}
}

// complete records the outcome of a run.
func (t *Table) complete(entry *Entry, command *Command) {
	if entry.State == StateUnknown {
		t.Counters.Resolved++
	}
	t.Counters.Ended++
	if entry.Reassigned {
		t.Counters.ReassignedEnded++
	}
	t.removeOwned(entry)
	entry.State = StateEnded
	entry.Outcome = command.Outcome
	entry.Result = command.Result
	t.bytes += int64(len(command.Result))
	t.restartWindow(entry)
	t.notifyWaiters(entry)
}

// release removes a claim under which nothing ran. One that a new owner has no capacity for has no owner until it is reassigned.
func (t *Table) release(command *Command, entry *Entry) {
	if entry == nil || entry.Fence != command.Fence || entry.Owner != command.Sender || entry.isOver() {
		return
	}
	if !command.Returned || !entry.Reassigned || entry.State != StateClaimed || entry.ReturnCount >= maxReturns {
		t.remove(entry)
		return
	}
	entry.LastReturnedBy = command.Sender
	entry.ReturnCount++
	t.changeOwner(entry, Owner{})
}

// reassign gives the claim of a lost owner to a new one.
func (t *Table) reassign(command *Command, entry *Entry, verdict *Verdict) {
	if entry == nil || entry.Fence != command.Fence || entry.State != StateClaimed {
		t.Counters.Fenced++
		verdict.Answer = AnswerStaleFence
		return
	}
	entry.Reassigned = true
	t.changeOwner(entry, command.NewOwner)
	t.Counters.Reassigned++
	verdict.Answer = AnswerGranted
	verdict.Fence = entry.Fence
}

// markUnknown records that the owner of a started claim is lost.
func (t *Table) markUnknown(command *Command, entry *Entry) {
	if entry == nil || entry.Fence != command.Fence || entry.State != StateStarted {
		return
	}
	t.Counters.Unknown++
	t.removeOwned(entry)
	entry.State = StateUnknown
	t.notifyWaiters(entry)
}

// resolve accepts the report of an executor that outlived its node, on an invocation of any earlier incarnation of that node.
func (t *Table) resolve(command *Command) {
	if command.InvocationID == "" {
		return
	}
	for _, key := range slices.SortedFunc(maps.Keys(t.entries), CompareKeys) {
		entry := t.entries[key]
		if entry.InvocationID != command.InvocationID || entry.Owner.Name != command.Sender.Name {
			continue
		}
		if entry.State == StateStarted || entry.State == StateUnknown {
			t.complete(entry, command)
			return
		}
	}
}

// nextFence returns a fence above all that were given out.
func (t *Table) nextFence() uint64 {
	t.fence++
	return t.fence
}

// changeOwner gives an entry to an owner under a new fence.
func (t *Table) changeOwner(entry *Entry, owner Owner) {
	t.removeOwned(entry)
	entry.Owner = owner
	entry.Fence = t.nextFence()
	t.addOwned(entry)
}

// notifyWaiters has those who wait for an entry notified that it is over.
func (t *Table) notifyWaiters(entry *Entry) {
	if len(entry.Waiters) > 0 {
		t.EndNotifications = append(t.EndNotifications, EndNotification{Key: entry.Key, Waiters: entry.Waiters})
		entry.Waiters = nil
	}
}

// insert adds an entry with its indices.
func (t *Table) insert(entry *Entry) {
	t.entries[entry.Key] = entry
	t.bytes += entry.sizeBytes()
	t.expiry.Push(entry)
	if !entry.isOver() {
		t.addOwned(entry)
	}
}

// remove takes an entry out of the table.
func (t *Table) remove(entry *Entry) {
	t.notifyWaiters(entry)
	t.removeOwned(entry)
	t.expiry.Remove(entry)
	delete(t.entries, entry.Key)
	t.bytes -= entry.sizeBytes()
}

// Time is the table's own clock: ns that passed since it was created, as far as its group agreed on them.
func (t *Table) Time() int64 { return t.time }

// Size is the number of claims, and about their bytes.
func (t *Table) Size() (entries int, bytes int64) { return len(t.entries), t.bytes }

// Find returns the claim of a token, nil where there is none. It must not be changed.
func (t *Table) Find(key Key) *Entry { return t.entries[key] }

// List returns at most limit claims, by key.
func (t *Table) List(limit int) (list []*Entry) {
	for _, key := range slices.SortedFunc(maps.Keys(t.entries), CompareKeys) {
		if len(list) == limit {
			break
		}
		list = append(list, t.entries[key])
	}
	return list
}
