package configsync

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"slices"

	"github.com/fxamacker/cbor/v2"
)

const (
	ms = int64(1_000_000) // ns in a millisecond

	canaryDuration     = 2_500 * ms  // ns that a version stands at the first stage without a refusal: 2.3 s for hops there, fetch, a refusal lost once and its way back
	draftTimeout       = 60_000 * ms // ns that pieces of a long change are waited for
	maxPutBytes        = 128 << 10   // bytes of one command: raft carries it as one entry
	maxLogRecords      = 1_024       // records that are kept: a minute of a thousand changes
	maxLogBytes        = 1 << 20     // bytes of them; nodes that need older ones take blocks
	maxCallers         = 256         // callers whose last verdict is kept
	maxNamedItems      = 32          // items that a refusal names; the rest is counted
	maxReasonBytes     = 256         // bytes of a node's reason
	maxCallerNameBytes = 128         // bytes of a caller's name
	maxStartVersion    = 1 << 60     // that a table counts on from
)

// Revision is a version and what it comes to.
type Revision struct {
	Version uint64 `cbor:"1,keyasint"`
	Digest  Digest `cbor:"2,keyasint"`
}

// Record is one version as a change of the one before.
type Record struct {
	Version  uint64 `cbor:"1,keyasint"`
	Base     Digest `cbor:"2,keyasint"` // before it
	Digest   Digest `cbor:"3,keyasint"` // after it
	From     string `cbor:"4,keyasint,omitempty"`
	Wall     int64  `cbor:"5,keyasint,omitempty"` // Unix ns of the caller, for operators only
	Changes  []Item `cbor:"6,keyasint,omitempty"`
	Replaced []Item `cbor:"7,keyasint,omitempty"` // what the changes replaced, at the seats only
	Rollback bool   `cbor:"8,keyasint,omitempty"` // a rollback
	size     int
}

func sizeOf(list []Item) (size int) {
	for k := range list {
		size += len(list[k].Name) + len(list[k].Value) + 24
	}
	return size
}

// bytes is about what a record takes.
func (r *Record) bytes() int {
	if r.size == 0 {
		r.size = 96 + len(r.From) + sizeOf(r.Changes) + sizeOf(r.Replaced)
	}
	return r.size
}

// wire is a record as it travels.
func (r *Record) wire() Record {
	wire := *r
	wire.Replaced, wire.size = nil, 0
	return wire
}

// CommandKind names what a command does.
type CommandKind uint8

// The commands. Times are the table's, in ns.
const (
	Put      CommandKind = iota + 1 // Changes, made on version Base
	Advance                         // Version has stood at the first stage for long enough
	Stop                            // node Who can't take Version
	Rollback                        // what version Version came to, as a new version for all
)

// Command is one change of the table.
type Command struct {
	Kind    CommandKind `cbor:"1,keyasint"`
	From    string      `cbor:"2,keyasint,omitempty"` // the caller of Put and Rollback, one name for each that counts by itself
	Seq     uint64      `cbor:"3,keyasint,omitempty"` // of From, above any before; the same one again has the same verdict
	Base    uint64      `cbor:"4,keyasint,omitempty"`
	Changes []Item      `cbor:"5,keyasint,omitempty"`
	Piece   int         `cbor:"6,keyasint,omitempty"` // which piece of a long change this is, from 0
	More    bool        `cbor:"7,keyasint,omitempty"` // further pieces follow: nothing changes before the last one
	Version uint64      `cbor:"8,keyasint,omitempty"`
	Who     string      `cbor:"9,keyasint,omitempty"`
	Why     string      `cbor:"10,keyasint,omitempty"`
	Wall    int64       `cbor:"11,keyasint,omitempty"`
	Stood   int64       `cbor:"12,keyasint,omitempty"` // Advance: ns that Version stood at the first stage by the clock of the seat that says so
}

// Verdict answers a command.
type Verdict struct {
	From    string `cbor:"1,keyasint,omitempty"`
	Seq     uint64 `cbor:"2,keyasint,omitempty"`
	Done    bool   `cbor:"3,keyasint,omitempty"`
	Version uint64 `cbor:"4,keyasint,omitempty"` // that holds it where it was done, else the newest
	Refused string `cbor:"5,keyasint,omitempty"` // why not, with the mend
	Stale   bool   `cbor:"6,keyasint,omitempty"`
	Differ  []Item `cbor:"7,keyasint,omitempty"` // Stale: names of items that changed since Base, without values
	More    int    `cbor:"8,keyasint,omitempty"` // Stale: items that changed and aren't named; -1 where the log no longer reaches
}

// HeadRevision is what a seat vouches for.
type HeadRevision struct {
	All     Revision `cbor:"1,keyasint"`           // in force for all
	First   Revision `cbor:"2,keyasint"`           // for the first stage; All's where none stands there
	Newest  uint64   `cbor:"3,keyasint"`           // agreed; those past First wait for the stage to end
	Stopped bool     `cbor:"4,keyasint,omitempty"` // First goes no further
	Who     string   `cbor:"5,keyasint,omitempty"` // Stopped: the node that can't take it
	Why     string   `cbor:"6,keyasint,omitempty"`
}

// newer says whether a head was agreed on after another.
func (h *HeadRevision) newer(than *HeadRevision) bool {
	switch {
	case h.All.Version != than.All.Version:
		return h.All.Version > than.All.Version
	case h.First.Version != than.First.Version:
		return h.First.Version > than.First.Version
	case h.Stopped != than.Stopped:
		return h.Stopped
	}
	return h.Newest > than.Newest
}

// Table is the agreed order of versions: the same on all that carry out the same commands in the same order.
type Table struct {
	head                HeadRevision
	all, canary, newest *Content
	canarySince         int64 // when First began to stand
	log                 []*Record
	logSize             int      // bytes
	rollbackVersions    []uint64 // versions that were in force for all and can be gone back to
	lastVerdicts        []Verdict
	draft               draft
	snapshot            []byte // nil where it isn't up to date
}

// draft is a long change of which pieces are missing.
type draft struct {
	From    string `cbor:"1,keyasint,omitempty"`
	Base    uint64 `cbor:"2,keyasint,omitempty"`
	Pieces  int    `cbor:"3,keyasint,omitempty"`
	At      int64  `cbor:"4,keyasint,omitempty"`
	Changes []Item `cbor:"5,keyasint,omitempty"` // in a snapshot: what they come to
	Bytes   int    `cbor:"6,keyasint,omitempty"`
	content *Content
}

// NewTable is at version 0, which has no items.
func NewTable() *Table {
	empty := &Content{}
	return &Table{all: empty, canary: empty, newest: empty}
}

// Head is what holds now.
func (t *Table) Head() HeadRevision { return t.head }

// Contents are what is in force for all, what stands at the first stage, and what the newest version comes to.
func (t *Table) Contents() (all, first, newest *Content) { return t.all, t.canary, t.newest }

// Records is the last records, oldest first; they must not be changed.
func (t *Table) Records() []*Record { return t.log }

// RollbackVersions are the versions that a Rollback can name, beside the one that is in force for all.
func (t *Table) RollbackVersions() []uint64 { return t.rollbackVersions }

// Due is the command by which the version at the first stage goes to all, nil while it isn't time. Any seat may have it
// ordered: the second one changes nothing.
func (t *Table) Due(at int64) *Command {
	if t.head.First == t.head.All || t.head.Stopped || at < t.canarySince+canaryDuration {
		return nil
	}
	return &Command{Kind: Advance, Version: t.head.First.Version}
}

// DueAfter is as Due, where the version at the first stage has stood so many ns by the caller's own clock since it carried that out.
// The table's time is slower than the world's by a round trip between seats in each of its steps: over far seats twice as slow.
func (t *Table) DueAfter(stood int64) *Command {
	if t.head.First == t.head.All || t.head.Stopped || stood < canaryDuration {
		return nil
	}
	return &Command{Kind: Advance, Version: t.head.First.Version, Stood: stood}
}

// DueAt is when Due will be something, 0 for never.
func (t *Table) DueAt() int64 {
	if t.head.First == t.head.All || t.head.Stopped {
		return 0
	}
	return t.canarySince + canaryDuration
}

// Apply carries out one command at a time of the table.
func (t *Table) Apply(at int64, c *Command) Verdict {
	v := Verdict{From: c.From, Seq: c.Seq, Version: t.head.Newest}
	switch c.Kind {
	case Put, Rollback:
		if len(c.From) > maxCallerNameBytes {
			v.Refused = fmt.Sprintf("a caller's name of over %d bytes", maxCallerNameBytes)
			return v
		}
		k := slices.IndexFunc(t.lastVerdicts, func(v Verdict) bool { return v.From == c.From })
		if k >= 0 && c.Seq <= t.lastVerdicts[k].Seq {
			if c.Seq == t.lastVerdicts[k].Seq {
				return t.lastVerdicts[k]
			}
			v.Refused = "late: the caller asked again since"
			return v
		}
		t.snapshot = nil
		if c.Kind == Put {
			t.applyPut(at, c, &v)
		} else {
			t.applyRollback(at, c, &v)
		}
		if k >= 0 { // the one that asked last stands last
			t.lastVerdicts = slices.Delete(t.lastVerdicts, k, k+1)
		} else if len(t.lastVerdicts) >= maxCallers {
			t.lastVerdicts = slices.Delete(t.lastVerdicts, 0, 1)
		}
		t.lastVerdicts = append(t.lastVerdicts, v)
	case Advance:
		if due := cmp.Or(t.Due(at), t.DueAfter(c.Stood)); due == nil || due.Version != c.Version {
			v.Refused = "not the version at the first stage, or too early for it"
			return v
		}
		t.snapshot, v.Done = nil, true
		t.promote(at)
	case Stop:
		if c.Version != t.head.First.Version || t.head.First == t.head.All {
			v.Refused = "not at the first stage"
			return v
		}
		if v.Done = true; !t.head.Stopped {
			t.snapshot = nil
			t.head.Stopped, t.head.Who, t.head.Why = true, truncate(c.Who, maxCallerNameBytes), truncate(c.Why, maxReasonBytes)
		}
	default: // of a later build: it is passed over by all alike
		v.Refused = "unknown command"
	}
	return v
}

func truncate(s string, most int) string { return s[:min(len(s), most)] }

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
	for k := range c.Changes {
		i := &c.Changes[k]
		if len(i.Value) == 0 {
			continue
		}
		if form, err := Canonical(i.Value); err != nil || !bytes.Equal(form, i.Value) {
			v.Refused = fmt.Sprintf("%s %q is not in canonical form", i.Part, i.Name)
			return
		}
	}
	next, err := t.newest, error(nil)
	if c.More || c.Piece > 0 {
		if next = t.applyPiece(at, c, v); next == nil {
			return
		}
	} else if next, err = next.Apply(c.Changes); err != nil {
		v.Refused = err.Error()
		return
	}
	t.commit(at, c, next, false, v)
}

// applyPiece takes one applyPiece of a long change, at the cost of the applyPiece. With the last one it gives what all of it comes to, else nil.
func (t *Table) applyPiece(at int64, c *Command, v *Verdict) *Content {
	d := &t.draft
	other := d.Pieces > 0 && d.From != c.From && at < d.At+draftTimeout
	switch {
	case c.Piece == 0 && other:
		v.Refused = fmt.Sprintf("a long change by %s is coming in; try again when it is done, in %d s at the latest", d.From, draftTimeout/(1_000*ms))
		return nil
	case c.Piece == 0:
		*d = draft{From: c.From, Base: c.Base, content: t.newest}
	case d.From != c.From || d.Pieces != c.Piece || d.Base != c.Base:
		v.Refused = fmt.Sprintf("piece %d doesn't follow; put all of them again from the first", c.Piece)
		return nil
	}
	if d.Bytes += sizeOf(c.Changes); d.Bytes > maxContentBytes {
		*d = draft{}
		v.Refused = fmt.Sprintf("over %d bytes in all", maxContentBytes)
		return nil
	}
	next, err := d.content.Apply(c.Changes)
	if err != nil {
		*d = draft{}
		v.Refused = err.Error()
		return nil
	}
	d.Pieces, d.At, d.content = d.Pieces+1, at, next
	if v.Done = c.More; c.More {
		return nil
	}
	*d = draft{}
	return next
}

// commit makes a content the newest version. One that comes to the same makes none.
func (t *Table) commit(at int64, c *Command, next *Content, back bool, v *Verdict) {
	v.Done = true
	if next.Digest() == t.newest.Digest() && (!back || t.head.Newest == t.head.All.Version) {
		return
	}
	if t.head.Newest == 0 && c.Kind == Put {
		t.head.Newest = min(c.Version, maxStartVersion)
	}
	r := &Record{Version: t.head.Newest + 1, Base: t.newest.Digest(), Digest: next.Digest(), From: c.From, Wall: c.Wall, Rollback: back}
	kept := true                           // one that the log can't hold isn't made at all
	for d := Diff(t.newest, next); kept; { // what comes to nothing isn't carried around
		some := d.Next(maxLogRecords)
		if len(some) == 0 {
			break
		}
		r.Changes = append(r.Changes, some...)
		for _, i := range some {
			r.Replaced = append(r.Replaced, Item{i.Part, i.Name, t.newest.Get(i.Part, i.Name)})
		}
		r.size = 0
		kept = r.bytes() <= maxLogBytes
	}
	t.newest, t.head.Newest, v.Version = next, r.Version, r.Version
	if !kept {
		t.log, t.logSize = nil, 0
	} else {
		t.log, t.logSize = append(t.log, r), t.logSize+r.bytes()
	}
	for t.logSize > maxLogBytes || len(t.log) > maxLogRecords {
		t.logSize -= t.log[0].bytes()
		t.log[0] = nil
		t.log = t.log[1:]
	}
	switch {
	case back: // it was in force for all before
		t.head.First, t.canary = Revision{r.Version, r.Digest}, next
		t.promote(at)
	case t.head.First == t.head.All || t.head.Stopped:
		t.startCanary(at)
	}
}

// startCanary has the newest version, and all that it is made on, stand at the first startCanary.
func (t *Table) startCanary(at int64) {
	t.head.First, t.canary, t.canarySince = Revision{t.head.Newest, t.newest.Digest()}, t.newest, at
	t.head.Stopped, t.head.Who, t.head.Why = false, "", ""
}

// promote has the version at the first stage in force for all. What was agreed on meanwhile stands there next, as one.
func (t *Table) promote(at int64) {
	if t.rollbackVersions = append(t.rollbackVersions, t.head.All.Version); len(t.rollbackVersions) > maxLogRecords {
		t.rollbackVersions = slices.Delete(t.rollbackVersions, 0, 1)
	}
	t.head.All, t.all = t.head.First, t.canary
	first := t.head.Newest + 1
	if len(t.log) > 0 {
		first = t.log[0].Version
	}
	t.rollbackVersions = slices.DeleteFunc(t.rollbackVersions, func(version uint64) bool { return version+1 < first })
	t.startCanary(at)
}

// refuseStale refuses a change that was made on another version.
func (t *Table) refuseStale(base uint64, v *Verdict) {
	v.Stale = true
	if v.Refused = fmt.Sprintf("made on version %d, the newest is %d; look at what differs and put it again", base, t.head.Newest); base > t.head.Newest {
		v.Refused = fmt.Sprintf("made on version %d, the newest is %d: it was made on what another council agreed on", base, t.head.Newest)
	}
	if len(t.log) == 0 || base+1 < t.log[0].Version || base > t.head.Newest {
		v.More = -1
		return
	}
	type name struct{ part, name string }
	seen := map[name]bool{}
	for _, r := range t.log[base+1-t.log[0].Version:] {
		for _, i := range r.Changes {
			if n := (name{i.Part, i.Name}); !seen[n] {
				if seen[n] = true; len(v.Differ) < maxNamedItems {
					v.Differ = append(v.Differ, Item{Part: i.Part, Name: i.Name})
				} else {
					v.More++
				}
			}
		}
	}
}

// applyRollback makes a new version of what an older one came to. That one was in force for all, so this one is at once.
func (t *Table) applyRollback(at int64, c *Command, v *Verdict) {
	content := t.all
	if c.Version != t.head.All.Version {
		if !slices.Contains(t.rollbackVersions, c.Version) || len(t.log) == 0 || c.Version+1 < t.log[0].Version {
			v.Refused = fmt.Sprintf("version %d was never in force for all, or the log no longer reaches it; put its content as a change", c.Version)
			return
		}
		content = t.newest
		for k := len(t.log) - 1; k >= 0 && t.log[k].Version > c.Version; k-- {
			var err error
			if content, err = content.Apply(t.log[k].Replaced); err != nil {
				v.Refused = err.Error()
				return
			}
		}
	}
	t.commit(at, c, content, true, v)
}

// Snapshot writes the table; two that are equal are written alike. One that didn't change since the last snapshot gives
// the same bytes again, which must not be changed.
func (t *Table) Snapshot() ([]byte, error) {
	if t.snapshot != nil {
		return t.snapshot, nil
	}
	w := t.BeginSnapshot()
	for !w.Next(bytesPerWholeStep) {
	}
	t.snapshot = w.Text()
	return t.snapshot, nil
}

var cborDecoding = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: 1 << 21, MaxNestedLevels: 8, IndefLength: cbor.IndefLengthForbidden}.DecMode()
	if err != nil {
		panic(err) // of constants
	}
	return mode
}()

// Restore reads a table.
func Restore(text []byte) (*Table, error) {
	var s savedTable
	if err := cborDecoding.Unmarshal(text, &s); err != nil {
		return nil, fmt.Errorf("configuration: a snapshot can't be read: %w", err)
	}
	if len(s.Blocks) != Blocks {
		return nil, fmt.Errorf("configuration: a snapshot of %d blocks, not %d", len(s.Blocks), Blocks)
	}
	t := NewTable()
	newest, own := &Content{}, [fanout]bool{}
	for n, block := range s.Blocks {
		if len(block) == 0 {
			continue
		}
		if _, ok := checkBlock(n, block); !ok {
			return nil, fmt.Errorf("configuration: block %d of a snapshot is malformed", n)
		}
		newest.set(n, bytes.Clone(block), &own)
	}
	all, err := newest.Apply(s.All)
	first, err2 := newest.Apply(s.First)
	if err = errors.Join(err, err2); err != nil {
		return nil, fmt.Errorf("configuration: a snapshot can't be read: %w", err)
	}
	if all.Digest() != s.Head.All.Digest || first.Digest() != s.Head.First.Digest {
		return nil, fmt.Errorf("configuration: a snapshot comes to %s and %s, not to the digests that it names", all.Digest(), first.Digest())
	}
	t.head, t.canarySince, t.newest, t.all, t.canary = s.Head, s.Since, newest, all, first
	t.log, t.rollbackVersions, t.lastVerdicts, t.draft = s.Log, s.Good, s.Askers, s.Draft
	if t.draft.Pieces > 0 {
		if t.draft.content, err = newest.Apply(t.draft.Changes); err != nil {
			return nil, fmt.Errorf("configuration: a snapshot can't be read: %w", err)
		}
		t.draft.Changes = nil
	}
	for k, r := range t.log {
		if r == nil || r.Version != s.Head.Newest-uint64(len(t.log)-1-k) {
			return nil, fmt.Errorf("configuration: the log of a snapshot has gaps")
		}
		t.logSize += r.bytes()
	}
	return t, nil
}
