package consensus

import (
	"github.com/fxamacker/cbor/v2"

	"topazpost/internal/fleet/claims"
	"topazpost/internal/fleet/configsync"
)

const (
	maxConfigEntryBytes  = 128 << 10 // bytes of changes in one entry, exceeded by at most one command
	maxPendingConfigs    = 256       // commands that this replica has yet to answer; more are dropped, and the caller retries
	advanceRetryInterval = 500 * ms  // until the leader proposes again to advance a version, since the entry may be lost
)

// configCommandID identifies a caller's command on the configuration.
type configCommandID struct {
	caller string
	seq    uint64
}

// waitingNode is a node that waits for the verdict on a command.
type waitingNode struct {
	owner claims.Owner
	at    int64 // when the command was received
}

// configTable is the replicated table of configuration versions, with the commands that this replica has to answer. While this replica
// leads, it also proposes to roll a version out to all nodes when it has been at the canary stage for long enough.
type configTable struct {
	replica         *raftReplica
	validate        func(*configsync.Command) string // returns why a change is invalid regardless of other changes, empty if it is valid; nil for no validation
	table           *configsync.Table
	inUse           bool // a command was committed; before that, snapshots hold an empty item for this table
	changed         bool // since AgreedConfig was last called
	reportedInGroup bool // whether AgreedConfig last returned versions, rather than nil for a replica without a group
	queued          []configsync.Command
	pending         map[configCommandID]waitingNode
	verdicts        map[claims.Owner][]configsync.Verdict
	nextAdvanceAt   int64 // earliest time at which the leader proposes to advance a version again
	canary          configsync.Revision
	canarySince     int64 // when canary entered the canary stage, by this replica's clock
}

func (t *configTable) reset() {
	t.table = configsync.NewTable()
	t.inUse = false
	t.changed = true
	t.queued = nil
	t.pending = map[configCommandID]waitingNode{}
	t.verdicts = map[claims.Owner][]configsync.Verdict{}
	t.nextAdvanceAt = 0
	t.trackCanary()
}

// trackCanary records when the revision at the canary stage changes.
func (t *configTable) trackCanary() {
	canary := t.table.Head().Canary
	if canary != t.canary {
		t.canary = canary
		t.canarySince = t.replica.now
	}
}

func (t *configTable) becomeLeader() { t.nextAdvanceAt = 0 }

// enqueue queues commands to be proposed. It rejects invalid changes, and drops commands if no leader is known or too many are pending;
// the caller then retries. The verdict on a repeated command goes to the node that sent it last. The zero owner stands for this replica's
// own commands, which wait for no verdict.
func (t *configTable) enqueue(owner claims.Owner, list []configsync.Command) {
	local := owner == claims.Owner{}
	for i := range list {
		c := &list[i]
		if !local && !isCallerCommand(c) {
			continue // only replicas issue the other kinds, on their own behalf
		}
		if reason := t.validationError(c); reason != "" {
			verdict := configsync.Verdict{Caller: c.Caller, Seq: c.Seq, Refused: reason, Version: t.table.Head().Newest}
			t.verdicts[owner] = append(t.verdicts[owner], verdict)
			continue
		}
		if t.replica.leadership.leaderID == 0 || len(t.pending) >= maxPendingConfigs {
			return
		}
		if !local {
			t.pending[configCommandID{c.Caller, c.Seq}] = waitingNode{owner, t.replica.now}
		}
		t.queued = append(t.queued, *c)
	}
}

// isCallerCommand reports whether a command is of a kind that callers may send.
func isCallerCommand(c *configsync.Command) bool {
	return c.Kind == configsync.CommandPut || c.Kind == configsync.CommandRollback
}

// validationError returns why a command is invalid regardless of other commands, empty if it is valid.
func (t *configTable) validationError(c *configsync.Command) string {
	if c.Kind != configsync.CommandPut || t.validate == nil {
		return ""
	}
	return t.validate(c)
}

func (t *configTable) expirePending() {
	for id, waiter := range t.pending {
		if t.replica.now-waiter.at >= pendingTimeout {
			delete(t.pending, id)
		}
	}
}

// leaderTick queues the command that advances a version which has been at the canary stage for long enough.
func (t *configTable) leaderTick() {
	due := t.table.DueAdvanceByReplicaClock(t.replica.now - t.canarySince)
	if due != nil && t.replica.now >= t.nextAdvanceAt {
		t.nextAdvanceAt = t.replica.now + advanceRetryInterval
		t.queued = append(t.queued, *due)
	}
}

// storedSeparately reports whether a command was committed: the snapshots of a group without a configuration refer to no part for it.
func (t *configTable) storedSeparately() bool { return t.inUse }

// nextProposal encodes the first of the queued commands, as many as the limits on the commands and bytes of an entry allow.
func (t *configTable) nextProposal() (commands []byte) {
	count := 0
	size := 0
	for count < min(len(t.queued), maxEntryCommands) && size < maxConfigEntryBytes {
		size += changesBytes(&t.queued[count])
		count++
	}
	if count == 0 {
		return nil
	}
	commands, err := cbor.Marshal(t.queued[:count])
	t.queued = t.queued[count:]
	if err != nil {
		return nil // the caller retries
	}
	return commands
}

func changesBytes(c *configsync.Command) (size int) {
	for i := range c.Changes {
		item := &c.Changes[i]
		size += len(item.Part) + len(item.Name) + len(item.Value)
	}
	return size
}

// Apply applies the commands on the configuration of an entry.
func (t *configTable) Apply(at int64, commands []byte) {
	var list []configsync.Command
	if cborDecoding.Unmarshal(commands, &list) != nil {
		return
	}
	t.inUse = true
	for i := range list {
		t.applyCommand(at, &list[i])
	}
	t.trackCanary()
}

func (t *configTable) applyCommand(at int64, c *configsync.Command) {
	if c.Kind < configsync.CommandPut || c.Kind > configsync.CommandRollback {
		panic(errNewerCommand)
	}
	t.replica.Counters.CommittedCommands++
	t.changed = true
	verdict := t.table.Apply(at, c)
	id := configCommandID{c.Caller, c.Seq}
	if waiter, waits := t.pending[id]; waits && isCallerCommand(c) {
		delete(t.pending, id)
		t.verdicts[waiter.owner] = append(t.verdicts[waiter.owner], verdict)
	}
}

// Snapshot encodes the table. The encoding is empty until a command is committed.
func (t *configTable) Snapshot() ([]byte, error) {
	if !t.inUse {
		return []byte{}, nil
	}
	return t.table.Snapshot()
}

func (t *configTable) beginSnapshot() incrementalSnapshot { return t.table.BeginSnapshot() }

// Restore replaces the table.
func (t *configTable) Restore(encoded []byte) (err error) {
	t.changed = true
	t.inUse = len(encoded) > 0
	t.table = configsync.NewTable()
	if t.inUse {
		t.table, err = configsync.Restore(encoded)
		if err != nil {
			return err
		}
	}
	t.trackCanary()
	return nil
}

// SetConfigValidator sets the function that validates changes of the configuration before this replica proposes them. It returns why a
// change is invalid regardless of other changes, empty if it is valid.
func (r *Replica) SetConfigValidator(check func(*configsync.Command) string) {
	r.configs.validate = check
}

// AgreedConfig returns the committed versions of the configuration, and reports whether they changed since the last call. Agreed is nil
// if they did not change, or if the replica belongs to no group.
func (r *Replica) AgreedConfig() (agreed *configsync.Agreed, changed bool) {
	t := r.configs
	changed = t.changed || t.reportedInGroup != r.bootstrap.inGroup
	if changed && r.bootstrap.inGroup {
		agreed = t.table.Agreed()
	}
	t.changed = false
	t.reportedInGroup = r.bootstrap.inGroup
	return agreed, changed
}

// RollbackVersions returns the versions that can be rolled back to.
func (r *Replica) RollbackVersions() []uint64 { return r.configs.table.RollbackVersions() }
