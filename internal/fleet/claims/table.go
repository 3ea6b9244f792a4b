// Package claims decides which node may run an invocation that carries an idempotency token. Table is the replicated state of a
// consensus group, with a fencing token, the fence, for each change of ownership; Client runs on each node and sends commands to
// the group. The package does no I/O and reads no clock; the caller puts the commands into one order.
package claims

import (
	"maps"
	"slices"

	"topazpost/internal/expiryheap"
)

const (
	ms = int64(1_000_000) // ns in a millisecond

	maxReturns        = 4       // returns of one claim by new owners without capacity; with the next return the fleet counts as full, and the claim is removed
	maxWaiters        = 16      // nodes that are notified of the end of one claim; others learn of it when they claim again
	defaultTableBytes = 4 << 20 // size limit of a table until a command sets another
)

// Counters count results of commands on this replica of the table, since it was created or restored from a snapshot.
type Counters struct {
	Claimed         int `json:"claimed"`
	Started         int `json:"started"`
	Ended           int `json:"ended"`
	Joined          int `json:"joined"` // claims of a token that already has an owner
	Reassigned      int `json:"taken"`
	Unknown         int `json:"unknown"`     // started claims whose owner was lost
	ReassignedEnded int `json:"taken_ended"` // runs that ended at a new owner
	Resolved        int `json:"settled"`     // unknown outcomes that were reported later
	Fenced          int `json:"fenced"`      // starts and reassignments answered with AnswerStaleFence
	Expired         int `json:"expired"`
	TableFull       int `json:"full"` // claims refused for lack of room
}

// Table is the replicated state: it is the same on all replicas that apply the same commands in the same order.
type Table struct {
	Counters Counters
	// EndNotifications lists the nodes to notify of claims that the last Apply ended. It is valid until the next Apply.
	EndNotifications []EndNotification

	entries    map[Key]*Entry
	owned      ownerIndex
	reassigned map[Key]*Entry // claims that a new owner has not started
	expiry     expiryheap.Heap[*Entry]
	time       int64  // ns since the table was created
	fence      uint64 // the last fence that was assigned
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

// Apply applies one command. The result depends only on the command and on those applied before it.
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
		t.release(command, entry, &verdict)
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

// claim grants a token that has no claim, and otherwise answers with the state of its claim.
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
	case entry.Owner == command.Sender && entry.State == StateClaimed: // a retry, or the claim was reassigned to the sender meanwhile
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
		Retention:    max(0, command.Retention),
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

// join answers who owns the claim. A sender that does not own it is notified of its end, as far as maxWaiters allows.
func (t *Table) join(command *Command, entry *Entry, verdict *Verdict) {
	t.Counters.Joined++
	verdict.Answer = AnswerOwned
	verdict.Owner = entry.Owner
	verdict.Fence = entry.Fence
	if entry.Owner != command.Sender && len(entry.Waiters) < maxWaiters && !slices.Contains(entry.Waiters, command.Sender) {
		entry.Waiters = append(entry.Waiters, command.Sender)
	}
}

// start records the start of a run, before the executor receives the invocation. A retry gets the same answer: a fence belongs to
// one incarnation of one node, whose client starts the run on the first answer only.
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
	t.restartRetention(entry)
}

// end accepts the report of the run that was started under the fence, however late it comes: a late report resolves an unknown
// outcome.
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
	t.restartRetention(entry)
	t.notifyWaiters(entry)
}

// release removes a claim under which nothing ran, also one that is started: the sender vouches that its executor did not receive the
// invocation. A claim that a new owner returns for lack of capacity stays, without an owner,
// until it is reassigned. The verdict on a claim that the sender does not own tells what became of the sender's invocation.
func (t *Table) release(command *Command, entry *Entry, verdict *Verdict) {
	if entry == nil || entry.Fence != command.Fence || entry.Owner != command.Sender || entry.isOver() {
		describeHeld(command, entry, verdict)
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

// describeHeld answers a release without effect. AnswerDone says that no claim holds the invocation of the command: a claim that another
// invocation of the token made since is another one.
func describeHeld(command *Command, entry *Entry, verdict *Verdict) {
	if entry == nil || command.InvocationID == "" || entry.InvocationID != command.InvocationID {
		return
	}
	switch entry.State {
	case StateEnded:
		verdict.Answer = AnswerCompleted
		verdict.Outcome = entry.Outcome
		verdict.Result = entry.Result
	case StateUnknown:
		verdict.Answer = AnswerOutcomeUnknown
	default:
		verdict.Answer = AnswerOwned
		verdict.Owner = entry.Owner
		verdict.Fence = entry.Fence
	}
}

// reassign gives the claim of a lost owner to a new owner, under a new fence.
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

// markUnknown records that the owner of a started claim was lost, so that its outcome is unknown.
func (t *Table) markUnknown(command *Command, entry *Entry) {
	if entry == nil || entry.Fence != command.Fence || entry.State != StateStarted {
		return
	}
	t.Counters.Unknown++
	t.removeOwned(entry)
	entry.State = StateUnknown
	t.notifyWaiters(entry)
}

// resolve accepts the outcome of a run of an earlier incarnation of the sender, reported by an executor that outlived it.
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

// nextFence returns a fence above all earlier ones.
func (t *Table) nextFence() uint64 {
	t.fence++
	return t.fence
}

// changeOwner gives an entry another owner and a new fence.
func (t *Table) changeOwner(entry *Entry, owner Owner) {
	t.removeOwned(entry)
	entry.Owner = owner
	entry.Fence = t.nextFence()
	t.addOwned(entry)
}

// notifyWaiters records in EndNotifications which nodes wait for the end of an entry.
func (t *Table) notifyWaiters(entry *Entry) {
	if len(entry.Waiters) > 0 {
		t.EndNotifications = append(t.EndNotifications, EndNotification{Key: entry.Key, Waiters: entry.Waiters})
		entry.Waiters = nil
	}
}

// insert adds an entry to the table and its indices.
func (t *Table) insert(entry *Entry) {
	t.entries[entry.Key] = entry
	t.bytes += entry.sizeBytes()
	t.expiry.Push(entry)
	if !entry.isOver() {
		t.addOwned(entry)
	}
}

// remove removes an entry from the table and its indices, and notifies its waiters.
func (t *Table) remove(entry *Entry) {
	t.notifyWaiters(entry)
	t.removeOwned(entry)
	t.expiry.Remove(entry)
	delete(t.entries, entry.Key)
	t.bytes -= entry.sizeBytes()
}

// Time returns the table's own time: nanoseconds since its creation, as advanced by commands.
func (t *Table) Time() int64 { return t.time }

// Size returns the number of claims and their approximate size in bytes.
func (t *Table) Size() (entries int, bytes int64) { return len(t.entries), t.bytes }

// Find returns the claim of a token, or nil if there is none. The caller must not change it.
func (t *Table) Find(key Key) *Entry { return t.entries[key] }

// List returns the first claims in the order of their keys, at most limit.
func (t *Table) List(limit int) (list []*Entry) {
	for _, key := range slices.SortedFunc(maps.Keys(t.entries), CompareKeys) {
		if len(list) == limit {
			break
		}
		list = append(list, t.entries[key])
	}
	return list
}
