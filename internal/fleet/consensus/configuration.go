package consensus

import (
	"github.com/fxamacker/cbor/v2"

	"topazpost/internal/fleet/claims"
	"topazpost/internal/fleet/configsync"
)

const (
	configuredBytes = 128 << 10 // of configuration in one entry: one command of the largest
	configuredMost  = 256       // commands of configuration taken here and not answered yet
	dueAgain        = 500 * ms  // ns until what is due is proposed again: the entry may be lost
)

// configured names a command of a caller.
type configured struct {
	from string
	seq  uint64
}

// proposedBy is who is told of a verdict.
type proposedBy struct {
	owner claims.Owner
	at    int64
}

// configurationTable is the council's table of versions of the configuration: who waits here for a verdict, and what is
// proposed when a version has stood at the first stage for long enough.
type configurationTable struct {
	seat     *Replica
	check    func(*configsync.Command) string // says why a change is unsound by itself, empty where it isn't; nil for none
	table    *configsync.Table
	used     bool // something of it was agreed on: else snapshots hold nothing of it
	changed  bool // since it was last told
	told     bool // what was agreed on, and not that nothing is known
	queued   []configsync.Command
	pending  map[configured]proposedBy
	verdicts map[claims.Owner][]configsync.Verdict
	dueAt    int64 // what is due isn't proposed again before
	stage    configsync.Revision
	stageAt  int64 // when stage came to stand at the first stage, by this seat's clock
}

func (x *configurationTable) forget() {
	x.table, x.used, x.changed, x.queued, x.dueAt = configsync.NewTable(), false, true, nil, 0
	x.pending, x.verdicts = map[configured]proposedBy{}, map[claims.Owner][]configsync.Verdict{}
	x.stand()
}

// stand follows what stands at the first stage.
func (x *configurationTable) stand() {
	if first := x.table.Head().First; first != x.stage {
		x.stage, x.stageAt = first, x.seat.now
	}
}

func (x *configurationTable) lead() { x.dueAt = 0 }

// propose takes commands of a node on. One that is unsound by itself is refused here; without a leader they are dropped, and
// asked again. The same one again takes the place of the first.
func (x *configurationTable) propose(owner claims.Owner, list []configsync.Command) {
	for i := range list {
		c := &list[i]
		if c.Kind != configsync.Put && c.Kind != configsync.Rollback && owner != (claims.Owner{}) {
			continue // only seats say the others, each through its own
		}
		if c.Kind == configsync.Put && x.check != nil {
			if why := x.check(c); why != "" {
				x.verdicts[owner] = append(x.verdicts[owner], configsync.Verdict{From: c.From, Seq: c.Seq, Refused: why,
					Version: x.table.Head().Newest})
				continue
			}
		}
		if x.seat.leader == 0 || len(x.pending) >= configuredMost {
			return
		}
		if owner != (claims.Owner{}) {
			x.pending[configured{c.From, c.Seq}] = proposedBy{owner, x.seat.now}
		}
		x.queued = append(x.queued, *c)
	}
}

func (x *configurationTable) sweep() {
	for key, by := range x.pending {
		if x.seat.now-by.at >= pendingFor {
			delete(x.pending, key)
		}
	}
}

// rule has a version go to all that stood at the first stage for long enough.
func (x *configurationTable) rule() {
	if c := x.table.DueAfter(x.seat.now - x.stageAt); c != nil && x.seat.now >= x.dueAt {
		x.dueAt = x.seat.now + dueAgain
		x.queued = append(x.queued, *c)
	}
}

// apart is false while nothing was agreed on, so that snapshots of a council without a configuration are as they were.
func (x *configurationTable) apart() bool { return x.used }

// next is as many commands as an entry may hold of their bytes.
func (x *configurationTable) next() (part []byte) {
	n, size := 0, 0
	for n < min(len(x.queued), entryMost) {
		for k := range x.queued[n].Changes {
			i := &x.queued[n].Changes[k]
			size += len(i.Part) + len(i.Name) + len(i.Value)
		}
		if n++; size >= configuredBytes {
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
func (x *configurationTable) Apply(at int64, part []byte) {
	var list []configsync.Command
	if decode.Unmarshal(part, &list) != nil {
		return
	}
	x.used = true
	for i := range list {
		c := &list[i]
		if c.Kind < configsync.Put || c.Kind > configsync.Rollback {
			panic("a command of a newer version: the others' tables would not be this one's any more")
		}
		x.seat.Counters.Committed++
		x.changed = true
		v := x.table.Apply(at, c)
		key := configured{c.From, c.Seq}
		if by, here := x.pending[key]; here && (c.Kind == configsync.Put || c.Kind == configsync.Rollback) {
			delete(x.pending, key)
			x.verdicts[by.owner] = append(x.verdicts[by.owner], v)
		}
	}
	x.stand()
}

// Snapshot is the table, empty while nothing of it was agreed on.
func (x *configurationTable) Snapshot() ([]byte, error) {
	if !x.used {
		return []byte{}, nil
	}
	return x.table.Snapshot()
}

func (x *configurationTable) beginSnapshot() pieces { return x.table.BeginSnapshot() }

// Restore takes the place of the table.
func (x *configurationTable) Restore(text []byte) (err error) {
	x.changed, x.used = true, len(text) > 0
	if x.table = configsync.NewTable(); x.used {
		if x.table, err = configsync.Restore(text); err != nil {
			return err
		}
	}
	x.stand()
	return nil
}

// SetConfigValidator has changes of the configuration looked at before they are ordered; check says why one is unsound by
// itself, empty where it isn't.
func (c *Group) SetConfigValidator(check func(*configsync.Command) string) {
	c.versions.check = check
}

// AgreedConfig is what was agreed on of the configuration, where that changed since the last call. A seat that belongs to no
// council yet, or again, knows nothing: nil.
func (c *Group) AgreedConfig() (agreed *configsync.Agreed, changed bool) {
	x := c.versions
	if changed = x.changed || x.told != c.founded; changed && c.founded {
		agreed = x.table.Agreed()
	}
	x.changed, x.told = false, c.founded
	return agreed, changed
}

// RollbackVersions are those that can be gone back to.
func (c *Group) RollbackVersions() []uint64 { return c.versions.table.RollbackVersions() }
