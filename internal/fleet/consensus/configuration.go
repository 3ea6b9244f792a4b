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

func (t *configTable) reset() {
	t.table, t.inUse, t.changed, t.queued, t.nextDueAt = configsync.NewTable(), false, true, nil, 0
	t.pending, t.verdicts = map[configCommandID]pendingConfig{}, map[claims.Owner][]configsync.Verdict{}
	t.trackCanary()
}

// trackCanary follows what stands at the first stage.
func (t *configTable) trackCanary() {
	if first := t.table.Head().First; first != t.canary {
		t.canary, t.canarySince = first, t.replica.now
	}
}

func (t *configTable) becomeLeader() { t.nextDueAt = 0 }

// enqueue takes commands of a node on. One that is unsound by itself is refused here; without a leader they are dropped, and
// asked again. The same one again takes the place of the first.
func (t *configTable) enqueue(owner claims.Owner, list []configsync.Command) {
	for i := range list {
		c := &list[i]
		if c.Kind != configsync.Put && c.Kind != configsync.Rollback && owner != (claims.Owner{}) {
			continue // only seats say the others, each through its own
		}
		if c.Kind == configsync.Put && t.validate != nil {
			if why := t.validate(c); why != "" {
				t.verdicts[owner] = append(t.verdicts[owner], configsync.Verdict{From: c.From, Seq: c.Seq, Refused: why,
					Version: t.table.Head().Newest})
				continue
			}
		}
		if t.replica.leaderID == 0 || len(t.pending) >= maxPendingConfigs {
			return
		}
		if owner != (claims.Owner{}) {
			t.pending[configCommandID{c.From, c.Seq}] = pendingConfig{owner, t.replica.now}
		}
		t.queued = append(t.queued, *c)
	}
}

func (t *configTable) expirePending() {
	for key, by := range t.pending {
		if t.replica.now-by.at >= pendingTimeout {
			delete(t.pending, key)
		}
	}
}

// leaderTick has a version go to all that stood at the first stage for long enough.
func (t *configTable) leaderTick() {
	if c := t.table.DueAfter(t.replica.now - t.canarySince); c != nil && t.replica.now >= t.nextDueAt {
		t.nextDueAt = t.replica.now + dueProposalInterval
		t.queued = append(t.queued, *c)
	}
}

// storedSeparately is false while nothing was agreed on, so that snapshots of a council without a configuration are as they were.
func (t *configTable) storedSeparately() bool { return t.inUse }

// nextProposal is as many commands as an entry may hold of their bytes.
func (t *configTable) nextProposal() (part []byte) {
	n, size := 0, 0
	for n < min(len(t.queued), maxEntryCommands) {
		for k := range t.queued[n].Changes {
			i := &t.queued[n].Changes[k]
			size += len(i.Part) + len(i.Name) + len(i.Value)
		}
		if n++; size >= maxConfigEntryBytes {
			break
		}
	}
	if n == 0 {
		return nil
	}
	part, err := cbor.Marshal(t.queued[:n])
	if t.queued = t.queued[n:]; err != nil {
		return nil // asked for again
	}
	return part
}

// Apply carries configuration's part of an entry out.
func (t *configTable) Apply(at int64, part []byte) {
	var list []configsync.Command
	if cborDecoding.Unmarshal(part, &list) != nil {
		return
	}
	t.inUse = true
	for i := range list {
		c := &list[i]
		if c.Kind < configsync.Put || c.Kind > configsync.Rollback {
			panic("a command of a newer version: the others' tables would not be this one's any more")
		}
		t.replica.Counters.Committed++
		t.changed = true
		verdict := t.table.Apply(at, c)
		key := configCommandID{c.From, c.Seq}
		if by, here := t.pending[key]; here && (c.Kind == configsync.Put || c.Kind == configsync.Rollback) {
			delete(t.pending, key)
			t.verdicts[by.owner] = append(t.verdicts[by.owner], verdict)
		}
	}
	t.trackCanary()
}

// Snapshot is the table, empty while nothing of it was agreed on.
func (t *configTable) Snapshot() ([]byte, error) {
	if !t.inUse {
		return []byte{}, nil
	}
	return t.table.Snapshot()
}

func (t *configTable) beginSnapshot() incrementalSnapshot { return t.table.BeginSnapshot() }

// Restore takes the place of the table.
func (t *configTable) Restore(text []byte) (err error) {
	t.changed, t.inUse = true, len(text) > 0
	if t.table = configsync.NewTable(); t.inUse {
		if t.table, err = configsync.Restore(text); err != nil {
			return err
		}
	}
	t.trackCanary()
	return nil
}

// SetConfigValidator has changes of the configuration looked at before they are ordered; check says why one is unsound by
// itself, empty where it isn't.
func (g *Group) SetConfigValidator(check func(*configsync.Command) string) {
	g.configs.validate = check
}

// AgreedConfig is what was agreed on of the configuration, where that changed since the last call. A seat that belongs to no
// council yet, or again, knows nothing: nil.
func (g *Group) AgreedConfig() (agreed *configsync.Agreed, changed bool) {
	x := g.configs
	if changed = x.changed || x.reportedAgreed != g.bootstrapped; changed && g.bootstrapped {
		agreed = x.table.Agreed()
	}
	x.changed, x.reportedAgreed = false, g.bootstrapped
	return agreed, changed
}

// RollbackVersions are those that can be gone back to.
func (g *Group) RollbackVersions() []uint64 { return g.configs.table.RollbackVersions() }
