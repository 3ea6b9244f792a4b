package consensus

import (
	"github.com/fxamacker/cbor/v2"

	"topazpost/internal/fleet/claims"
	"topazpost/internal/fleet/configsync"
)

const (
	maxConfigEntryBytes = 128 << 10 // of configuration in one entry, exceeded by at most one command
	maxPendingConfigs   = 256       // commands that this replica has to answer
	dueProposalInterval = 500 * ms  // ns until a due change is proposed again, since the entry may be lost
)

// configCommandID identifies a command of a caller.
type configCommandID struct {
	caller string
	seq    uint64
}

// pendingConfig is who waits for a verdict.
type pendingConfig struct {
	owner claims.Owner
	at    int64 // when the command came
}

// configTable is the replicated table of configuration versions, with the callers that wait for a verdict of this replica. While this
// replica leads, it also proposes to go on from the canary stage once a version has been there for long enough.
type configTable struct {
	replica        *raftReplica
	validate       func(*configsync.Command) string // says why a change is invalid by itself, empty where it isn't; nil for none
	table          *configsync.Table
	inUse          bool // something was committed: else snapshots hold nothing of it
	changed        bool // since it was last reported
	reportedAgreed bool // what was last reported: agreed versions, and not that nothing is known
	queued         []configsync.Command
	pending        map[configCommandID]pendingConfig
	verdicts       map[claims.Owner][]configsync.Verdict
	nextDueAt      int64 // when a due change may be proposed next
	canary         configsync.Revision
	canarySince    int64 // when canary came to the canary stage, by this replica's clock
}

func (t *configTable) reset() {
	t.table = configsync.NewTable()
	t.inUse = false
	t.changed = true
	t.queued = nil
	t.pending = map[configCommandID]pendingConfig{}
	t.verdicts = map[claims.Owner][]configsync.Verdict{}
	t.nextDueAt = 0
	t.trackCanary()
}

// trackCanary takes note of a change of the revision at the canary stage.
func (t *configTable) trackCanary() {
	canary := t.table.Head().Canary
	if canary != t.canary {
		t.canary = canary
		t.canarySince = t.replica.now
	}
}

func (t *configTable) becomeLeader() { t.nextDueAt = 0 }

// enqueue takes commands to propose them. An invalid change is rejected here; without a leader commands are dropped, and the caller
// asks again. A repeated command replaces the one that is pending.
func (t *configTable) enqueue(owner claims.Owner, list []configsync.Command) {
	local := owner == claims.Owner{}
	for i := range list {
		c := &list[i]
		if !local && !ofCaller(c) {
			continue // a replica's own commands, which it gives locally
		}
		if reason := t.invalid(c); reason != "" {
			verdict := configsync.Verdict{Caller: c.Caller, Seq: c.Seq, Refused: reason, Version: t.table.Head().Newest}
			t.verdicts[owner] = append(t.verdicts[owner], verdict)
			continue
		}
		if t.replica.leadership.leaderID == 0 || len(t.pending) >= maxPendingConfigs {
			return
		}
		if !local {
			t.pending[configCommandID{c.Caller, c.Seq}] = pendingConfig{owner, t.replica.now}
		}
		t.queued = append(t.queued, *c)
	}
}

// ofCaller reports whether a command is of a kind that callers give.
func ofCaller(c *configsync.Command) bool {
	return c.Kind == configsync.CommandPut || c.Kind == configsync.CommandRollback
}

// invalid is why a command is invalid by itself, empty where it isn't.
func (t *configTable) invalid(c *configsync.Command) string {
	if c.Kind != configsync.CommandPut || t.validate == nil {
		return ""
	}
	return t.validate(c)
}

func (t *configTable) expirePending() {
	for id, by := range t.pending {
		if t.replica.now-by.at >= pendingTimeout {
			delete(t.pending, id)
		}
	}
}

// leaderTick queues what follows on a version that has been at the canary stage for long enough.
func (t *configTable) leaderTick() {
	due := t.table.DueAdvanceAfter(t.replica.now - t.canarySince)
	if due != nil && t.replica.now >= t.nextDueAt {
		t.nextDueAt = t.replica.now + dueProposalInterval
		t.queued = append(t.queued, *due)
	}
}

// storedSeparately is false while nothing was committed, so that a group without a configuration has nothing of it in its snapshots.
func (t *configTable) storedSeparately() bool { return t.inUse }

// nextProposal encodes as many commands as an entry may hold, by their number and bytes.
func (t *configTable) nextProposal() (part []byte) {
	count := 0
	size := 0
	for count < min(len(t.queued), maxEntryCommands) && size < maxConfigEntryBytes {
		size += changesBytes(&t.queued[count])
		count++
	}
	if count == 0 {
		return nil
	}
	part, err := cbor.Marshal(t.queued[:count])
	t.queued = t.queued[count:]
	if err != nil {
		return nil // the caller asks again
	}
	return part
}

func changesBytes(c *configsync.Command) (size int) {
	for i := range c.Changes {
		item := &c.Changes[i]
		size += len(item.Part) + len(item.Name) + len(item.Value)
	}
	return size
}

// Apply applies the configuration's part of an entry.
func (t *configTable) Apply(at int64, part []byte) {
	var list []configsync.Command
	if cborDecoding.Unmarshal(part, &list) != nil {
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
	if by, waits := t.pending[id]; waits && ofCaller(c) {
		delete(t.pending, id)
		t.verdicts[by.owner] = append(t.verdicts[by.owner], verdict)
	}
}

// Snapshot encodes the table, as empty text while nothing was committed.
func (t *configTable) Snapshot() ([]byte, error) {
	if !t.inUse {
		return []byte{}, nil
	}
	return t.table.Snapshot()
}

func (t *configTable) beginSnapshot() incrementalSnapshot { return t.table.BeginSnapshot() }

// Restore replaces the table.
func (t *configTable) Restore(text []byte) (err error) {
	t.changed = true
	t.inUse = len(text) > 0
	t.table = configsync.NewTable()
	if t.inUse {
		t.table, err = configsync.Restore(text)
		if err != nil {
			return err
		}
	}
	t.trackCanary()
	return nil
}

// SetConfigValidator has changes of the configuration validated before they are proposed; check says why a change is invalid by
// itself, empty where it isn't.
func (r *Replica) SetConfigValidator(check func(*configsync.Command) string) {
	r.configs.validate = check
}

// AgreedConfig is the configuration's committed versions, where they changed since the last call. A replica that belongs to no group
// yet, or again, knows nothing: nil.
func (r *Replica) AgreedConfig() (agreed *configsync.Agreed, changed bool) {
	t := r.configs
	changed = t.changed || t.reportedAgreed != r.bootstrap.done
	if changed && r.bootstrap.done {
		agreed = t.table.Agreed()
	}
	t.changed = false
	t.reportedAgreed = r.bootstrap.done
	return agreed, changed
}

// RollbackVersions are the versions that can be rolled back to.
func (r *Replica) RollbackVersions() []uint64 { return r.configs.table.RollbackVersions() }
