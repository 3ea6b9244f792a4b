package configsync

import (
	"bytes"
	"cmp"
	"fmt"
	"slices"
)

const (
	ms = int64(1_000_000) // ns in a millisecond

	canaryDuration     = 2_500 * ms  // ns that a version is at the canary stage: enough for gossip, a fetch, a lost refusal and its repetition
	draftTimeout       = 60_000 * ms // ns that further pieces of a long change are waited for
	maxPutBytes        = 128 << 10   // of one command, which is one entry of the log
	maxLogRecords      = 1_024
	maxLogBytes        = 1 << 20 // of records; nodes that need older ones fetch blocks
	maxCallers         = 256     // callers whose last verdict is remembered
	maxNamedItems      = 32      // items that a verdict names; the rest is counted
	maxReasonBytes     = 256     // of a node's reason
	maxCallerNameBytes = 128
	maxStartVersion    = 1 << 60 // that a table counts on from
)

// Table is the agreed order of versions: the same at all replicas that apply the same commands in the same order.
type Table struct {
	head                HeadRevision
	all, canary, newest *Content
	canarySince         int64 // when the head's First came to the canary stage
	log                 []*Record
	logSize             int       // bytes
	rollbackVersions    []uint64  // versions that were in force for all
	lastVerdicts        []Verdict // by caller, the last that asked last
	draft               draft
	snapshot            []byte // nil where it is outdated
}

// NewTable returns a table at version 0, which has no items.
func NewTable() *Table {
	empty := &Content{}
	return &Table{all: empty, canary: empty, newest: empty}
}

// Head is the current head.
func (t *Table) Head() HeadRevision { return t.head }

// Contents are the contents in force for all, at the canary stage, and of the newest version.
func (t *Table) Contents() (all, first, newest *Content) { return t.all, t.canary, t.newest }

// Records is the last records, oldest first; they must not be changed.
func (t *Table) Records() []*Record { return t.log }

// RollbackVersions are the versions that a Rollback can name, beside the one that is in force for all.
func (t *Table) RollbackVersions() []uint64 { return t.rollbackVersions }

// atCanary reports whether a version is at the canary stage and may go on.
func (t *Table) atCanary() bool { return t.head.Canary != t.head.All && !t.head.Stopped }

// DueAdvance is the command that has the version at the canary stage in force for all, nil while it isn't time. Any replica may propose it:
// the second one changes nothing.
func (t *Table) DueAdvance(at int64) *Command {
	if !t.atCanary() || at < t.canarySince+canaryDuration {
		return nil
	}
	return &Command{Kind: CommandAdvance, Version: t.head.Canary.Version}
}

// DueAdvanceAfter is as Due, where the version has been at the canary stage for so many ns by the caller's own clock. The table's time is slower
// than real time by a round trip between replicas in each of its steps.
func (t *Table) DueAdvanceAfter(stood int64) *Command {
	if !t.atCanary() || stood < canaryDuration {
		return nil
	}
	return &Command{Kind: CommandAdvance, Version: t.head.Canary.Version, CanaryTime: stood}
}

// AdvanceDueAt is when Due will return a command, 0 for never.
func (t *Table) AdvanceDueAt() int64 {
	if !t.atCanary() {
		return 0
	}
	return t.canarySince + canaryDuration
}

// Apply applies one command at a time of the table.
func (t *Table) Apply(at int64, c *Command) Verdict {
	v := Verdict{Caller: c.Caller, Seq: c.Seq, Version: t.head.Newest}
	switch c.Kind {
	case CommandPut, CommandRollback:
		return t.applyOnce(at, c, v)
	case CommandAdvance:
		due := cmp.Or(t.DueAdvance(at), t.DueAdvanceAfter(c.CanaryTime))
		if due == nil || due.Version != c.Version {
			v.Refused = "not the version at the first stage, or too early for it"
			return v
		}
		t.snapshot = nil
		v.Done = true
		t.promote(at)
	case CommandStop:
		t.applyStop(c, &v)
	default: // of a later build: all replicas ignore it alike
		v.Refused = "unknown command"
	}
	return v
}

// applyOnce applies a caller's command, unless it was applied before.
func (t *Table) applyOnce(at int64, c *Command, v Verdict) Verdict {
	if len(c.Caller) > maxCallerNameBytes {
		v.Refused = fmt.Sprintf("a caller's name of over %d bytes", maxCallerNameBytes)
		return v
	}
	k := slices.IndexFunc(t.lastVerdicts, func(last Verdict) bool { return last.Caller == c.Caller })
	if k >= 0 && c.Seq == t.lastVerdicts[k].Seq {
		return t.lastVerdicts[k]
	}
	if k >= 0 && c.Seq < t.lastVerdicts[k].Seq {
		v.Refused = "late: the caller asked again since"
		return v
	}
	t.snapshot = nil
	if c.Kind == CommandPut {
		t.applyPut(at, c, &v)
	} else {
		t.applyRollback(at, c, &v)
	}
	if k >= 0 {
		t.lastVerdicts = slices.Delete(t.lastVerdicts, k, k+1)
	} else if len(t.lastVerdicts) >= maxCallers {
		t.lastVerdicts = slices.Delete(t.lastVerdicts, 0, 1)
	}
	t.lastVerdicts = append(t.lastVerdicts, v)
	return v
}

// applyStop stops the version at the canary stage.
func (t *Table) applyStop(c *Command, v *Verdict) {
	if c.Version != t.head.Canary.Version || t.head.Canary == t.head.All {
		v.Refused = "not at the first stage"
		return
	}
	v.Done = true
	if t.head.Stopped {
		return
	}
	t.snapshot = nil
	t.head.Stopped = true
	t.head.StoppedBy = truncate(c.Node, maxCallerNameBytes)
	t.head.StopReason = truncate(c.Reason, maxReasonBytes)
}

// applyPut makes a version of a change.
func (t *Table) applyPut(at int64, c *Command, v *Verdict) {
	if size := sizeOf(c.Changes); size > maxPutBytes {
		v.Refused = fmt.Sprintf("%d bytes at once; put it in pieces of %d", size, maxPutBytes)
		return
	}
	if c.Base != t.head.Newest {
		t.refuseStale(c.Base, v)
		return
	}
	if item := firstNotCanonical(c.Changes); item != nil {
		v.Refused = fmt.Sprintf("%s %q is not in canonical form", item.Part, item.Name)
		return
	}
	if c.MorePieces || c.Piece > 0 {
		if next := t.applyPiece(at, c, v); next != nil {
			t.commit(at, c, next, v)
		}
		return
	}
	next, err := t.newest.Apply(c.Changes)
	if err != nil {
		v.Refused = err.Error()
		return
	}
	t.commit(at, c, next, v)
}

// firstNotCanonical is the first item whose value is not in canonical form, nil for none.
func firstNotCanonical(changes []Item) *Item {
	for k := range changes {
		item := &changes[k]
		if len(item.Value) == 0 {
			continue
		}
		canonical, err := Canonical(item.Value)
		if err != nil || !bytes.Equal(canonical, item.Value) {
			return item
		}
	}
	return nil
}
