package configsync

import (
	"bytes"
	"cmp"
	"fmt"
	"slices"
)

const (
	ms = int64(1_000_000) // ns in a millisecond

	canaryDuration     = 2_500 * ms  // ns of the canary stage: enough for gossip, a fetch, and a refusal that is lost once and repeated
	draftTimeout       = 60_000 * ms // ns after the last piece of a draft until another caller may replace the draft
	maxPutBytes        = 128 << 10   // size of the changes of one command, which is one entry of the consensus log
	maxLogRecords      = 1_024       // records in the log; also entries of rollbackVersions, and changes in a batch while a record is filled
	maxLogBytes        = 1 << 20     // size of the records in the log; nodes that need older records fetch blocks
	maxCallers         = 256         // callers whose last verdict is stored
	maxNamedItems      = 32          // items that a verdict lists by name; further ones are only counted
	maxReasonBytes     = 256         // length of a node's reason for a refusal
	maxCallerNameBytes = 128         // length of the name of a caller, or of a node that refused a version
	maxStartVersion    = 1 << 60     // highest version that the numbering of a new table may continue from
)

// Table is the replicated state of the fleet's configuration: its versions and which of them are in force. Replicas that apply the same
// commands at the same times in the same order have equal tables.
//
// The time of the table is the time, in ns, on which the consensus group has agreed, and not a local clock. It advances in steps that the
// group commits, and falls behind real time by a round trip between replicas at each step.
type Table struct {
	head                RolloutState
	all, canary, newest *Content
	canarySince         int64 // time at which head.Canary entered the canary stage
	log                 []*Record
	logSize             int       // bytes
	rollbackVersions    []uint64  // earlier versions that were in force for all nodes, oldest first
	lastVerdicts        []Verdict // the last verdict for each caller, least recently updated first
	draft               draft
	snapshot            []byte // cached encoding; nil after a change
}

// NewTable returns a table at version 0, whose content is empty.
func NewTable() *Table {
	empty := &Content{}
	return &Table{all: empty, canary: empty, newest: empty}
}

// Head returns the current head.
func (t *Table) Head() RolloutState { return t.head }

// Contents returns the contents of the version in force for all nodes, of the version at the canary stage, and of the newest version.
func (t *Table) Contents() (all, canary, newest *Content) { return t.all, t.canary, t.newest }

// Records returns the records in the log, oldest first. The caller must not modify them.
func (t *Table) Records() []*Record { return t.log }

// RollbackVersions returns the versions that a CommandRollback may name, apart from the version in force for all nodes.
func (t *Table) RollbackVersions() []uint64 { return t.rollbackVersions }

// atCanary reports whether a version is at the canary stage and was not stopped.
func (t *Table) atCanary() bool { return t.head.Canary != t.head.All && !t.head.Stopped }

// DueAdvance returns the command that brings the version at the canary stage into force for all nodes. It returns nil if there is no such
// version, if it was stopped, or before the stage has lasted canaryDuration. Any replica may propose the command: a second one has no effect.
func (t *Table) DueAdvance(at int64) *Command {
	if !t.atCanary() || at < t.canarySince+canaryDuration {
		return nil
	}
	return &Command{Kind: CommandAdvance, Version: t.head.Canary.Version}
}

// DueAdvanceByReplicaClock is like DueAdvance, but measures the canary stage by the clock of the proposing replica, because the table's time
// lags behind. canaryTime is how long the stage has lasted by that clock, in ns.
func (t *Table) DueAdvanceByReplicaClock(canaryTime int64) *Command {
	if !t.atCanary() || canaryTime < canaryDuration {
		return nil
	}
	return &Command{Kind: CommandAdvance, Version: t.head.Canary.Version, CanaryTime: canaryTime}
}

// AdvanceDueAt returns the time from which DueAdvance returns a command, or 0 if no version is waiting to advance.
func (t *Table) AdvanceDueAt() int64 {
	if !t.atCanary() {
		return 0
	}
	return t.canarySince + canaryDuration
}

// Apply applies a command at a time of the table, and returns the verdict.
func (t *Table) Apply(at int64, c *Command) Verdict {
	v := Verdict{Caller: c.Caller, Seq: c.Seq, Version: t.head.Newest}
	switch c.Kind {
	case CommandPut, CommandRollback:
		return t.applyOnce(at, c, v)
	case CommandAdvance:
		due := cmp.Or(t.DueAdvance(at), t.DueAdvanceByReplicaClock(c.CanaryTime))
		if due == nil || due.Version != c.Version {
			v.Refused = "not the version at the canary stage, or too early for it"
			return v
		}
		t.snapshot = nil
		v.Done = true
		t.promote(at)
	case CommandStop:
		t.applyStop(c, &v)
	default: // no other kind changes the table
		v.Refused = "unknown command"
	}
	return v
}

// applyOnce applies a caller's command, or returns the stored verdict if the command was applied before.
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

// applyStop ends the rollout of the version at the canary stage.
func (t *Table) applyStop(c *Command, v *Verdict) {
	if c.Version != t.head.Canary.Version || t.head.Canary == t.head.All {
		v.Refused = "not at the canary stage"
		return
	}
	v.Done = true
	if t.head.Stopped {
		return
	}
	t.snapshot = nil
	t.head.Stopped = true
	t.head.StoppedBy = truncate(c.StoppedBy, maxCallerNameBytes)
	t.head.StopReason = truncate(c.StopReason, maxReasonBytes)
}

// applyPut makes a new version from a change, or adds one piece of a long change to the draft.
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

// firstNotCanonical returns the first item whose value is not in canonical form, or nil if there is none.
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
