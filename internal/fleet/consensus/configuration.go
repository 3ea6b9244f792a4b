package consensus

import (
	"github.com/fxamacker/cbor/v2"

	"topazpost/internal/fleet/claims"
	"topazpost/internal/fleet/configsync"
)

const (
	maxConfigEntryBytes = 128 << 10 // of configuration in one entry: one command of the largest
	maxPendingConfigs   = 256       // commands of configuration taken here and not answered yet
	dueProposalInterval = 500 * ms  // ns until what is due is proposed again: the entry may be lost
)

// configCommandID names a command of a caller.
type configCommandID struct {
	caller string
	seq    uint64
}

// pendingConfig is who is told of a verdict.
type pendingConfig struct {
	owner claims.Owner
	at    int64
}

// configTable is the council's table of versions of the configuration: who waits here for a verdict, and what is
// proposed when a version has stood at the first stage for long enough.
type configTable struct {
	replica        *Replica
	validate       func(*configsync.Command) string // says why a change is unsound by itself, empty where it isn't; nil for none
	table          *configsync.Table
	inUse          bool // something of it was agreed on: else snapshots hold nothing of it
	changed        bool // since it was last told
	reportedAgreed bool // what was agreed on, and not that nothing is known
	queued         []configsync.Command
	pending        map[configCommandID]pendingConfig
	verdicts       map[claims.Owner][]configsync.Verdict
	nextDueAt      int64 // what is due isn't proposed again before
	canary         configsync.Revision
	canarySince    int64 // when stage came to stand at the first stage, by this seat's clock
}

func (x *configTable) reset() {
	x.table, x.inUse, x.changed, x.queued, x.nextDueAt = configsync.NewTable(), false, true, nil, 0
	x.pending, x.verdicts = map[configCommandID]pendingConfig{}, map[claims.Owner][]configsync.Verdict{}
	x.trackCanary()
}

// trackCanary follows what stands at the first stage.
func (x *configTable) trackCanary() {
	if first := x.table.Head().First; first != x.canary {
		x.canary, x.canarySince = first, x.replica.now
	}
}

func (x *configTable) becomeLeader() { x.nextDueAt = 0 }

// enqueue takes commands of a node on. One that is unsound by itself is refused here; without a leader they are dropped, and
// asked again. The same one again takes the place of the first.
func (x *configTable) enqueue(owner claims.Owner, list []configsync.Command) {
	for i := range list {
		c := &list[i]
		if c.Kind != configsync.Put && c.Kind != configsync.Rollback && owner != (claims.Owner{}) {
			continue // only seats say the others, each through its own
		}
		if c.Kind == configsync.Put && x.validate != nil {
			if why := x.validate(c); why != "" {
				x.verdicts[owner] = append(x.verdicts[owner], configsync.Verdict{From: c.From, Seq: c.Seq, Refused: why,
					Version: x.table.Head().Newest})
				continue
			}
		}
		if x.replica.leaderID == 0 || len(x.pending) >= maxPendingConfigs {
			return
		}
		if owner != (claims.Owner{}) {
			x.pending[configCommandID{c.From, c.Seq}] = pendingConfig{owner, x.replica.now}
		}
		x.queued = append(x.queued, *c)
	}
}

func (x *configTable) expirePending() {
	for key, by := range x.pending {
		if x.replica.now-by.at >= pendingTimeout {
			delete(x.pending, key)
		}
	}
}

// leaderTick has a version go to all that stood at the first stage for long enough.
func (x *configTable) leaderTick() {
	if c := x.table.DueAfter(x.replica.now - x.canarySince); c != nil && x.replica.now >= x.nextDueAt {
		x.nextDueAt = x.replica.now + dueProposalInterval
		x.queued = append(x.queued, *c)
	}
}

// storedSeparately is false while nothing was agreed on, so that snapshots of a council without a configuration are as they were.
func (x *configTable) storedSeparately() bool { return x.inUse }

// nextProposal is as many commands as an entry may hold of their bytes.
func (x *configTable) nextProposal() (part []byte) {
	n, size := 0, 0
	for n < min(len(x.queued), maxEntryCommands) {
		for k := range x.queued[n].Changes {
			i := &x.queued[n].Changes[k]
			size += len(i.Part) + len(i.Name) + len(i.Value)
		}
		if n++; size >= maxConfigEntryBytes {
			break
		}
	}
	if n == 0 {
		return nil
	}
	part, err := cbor.Marshal(x.queued[:n])
	if x.queued = x.queued[n:]; err != nil {
		return nil // asked for again
	}
	return part
}

// Apply carries configuration's part of an entry out.
func (x *configTable) Apply(at int64, part []byte) {
	var list []configsync.Command
	if cborDecoding.Unmarshal(part, &list) != nil {
		return
	}
	x.inUse = true
	for i := range list {
		c := &list[i]
		if c.Kind < configsync.Put || c.Kind > configsync.Rollback {
			panic("a command of a newer version: the others' tables would not be this one's any more")
		}
		x.replica.Counters.Committed++
		x.changed = true
		v := x.table.Apply(at, c)
		key := configCommandID{c.From, c.Seq}
		if by, here := x.pending[key]; here && (c.Kind == configsync.Put || c.Kind == configsync.Rollback) {
			delete(x.pending, key)
			x.verdicts[by.owner] = append(x.verdicts[by.owner], v)
		}
	}
	x.trackCanary()
}

// Snapshot is the table, empty while nothing of it was agreed on.
func (x *configTable) Snapshot() ([]byte, error) {
	if !x.inUse {
		return []byte{}, nil
	}
	return x.table.Snapshot()
}

func (x *configTable) beginSnapshot() incrementalSnapshot { return x.table.BeginSnapshot() }

// Restore takes the place of the table.
func (x *configTable) Restore(text []byte) (err error) {
	x.changed, x.inUse = true, len(text) > 0
	if x.table = configsync.NewTable(); x.inUse {
		if x.table, err = configsync.Restore(text); err != nil {
			return err
		}
	}
	x.trackCanary()
	return nil
}

// SetConfigValidator has changes of the configuration looked at before they are ordered; check says why one is unsound by
// itself, empty where it isn't.
func (c *Group) SetConfigValidator(check func(*configsync.Command) string) {
	c.configs.validate = check
}

// AgreedConfig is what was agreed on of the configuration, where that changed since the last call. A seat that belongs to no
// council yet, or again, knows nothing: nil.
func (c *Group) AgreedConfig() (agreed *configsync.Agreed, changed bool) {
	x := c.configs
	if changed = x.changed || x.reportedAgreed != c.bootstrapped; changed && c.bootstrapped {
		agreed = x.table.Agreed()
	}
	x.changed, x.reportedAgreed = false, c.bootstrapped
	return agreed, changed
}

// RollbackVersions are those that can be gone back to.
func (c *Group) RollbackVersions() []uint64 { return c.configs.table.RollbackVersions() }
