package configsync

const (
	itemOverhead   = 24 // bytes of an encoded item beside its name and value, about
	recordOverhead = 96 // bytes of an encoded record beside its items, about
)

// Revision is a version and the digest of its content.
type Revision struct {
	Version uint64 `cbor:"1,keyasint"`
	Digest  Digest `cbor:"2,keyasint"`
}

// Record is one version as a change of the one before.
type Record struct {
	Version  uint64 `cbor:"1,keyasint"`
	Base     Digest `cbor:"2,keyasint"` // before it
	Digest   Digest `cbor:"3,keyasint"` // after it
	Caller   string `cbor:"4,keyasint,omitempty"`
	WallTime int64  `cbor:"5,keyasint,omitempty"` // Unix ns of the caller, for operators only
	Changes  []Item `cbor:"6,keyasint,omitempty"`
	Replaced []Item `cbor:"7,keyasint,omitempty"` // what the changes replaced, at the replicas only
	Rollback bool   `cbor:"8,keyasint,omitempty"`
	size     int    // 0 where it isn't known
}

// sizeOf is about the encoded bytes of some items.
func sizeOf(list []Item) (size int) {
	for k := range list {
		size += len(list[k].Name) + len(list[k].Value) + itemOverhead
	}
	return size
}

// bytes is about the encoded bytes of a record.
func (r *Record) bytes() int {
	if r.size == 0 {
		r.size = recordOverhead + len(r.Caller) + sizeOf(r.Changes) + sizeOf(r.Replaced)
	}
	return r.size
}

// wire is a record as it is sent.
func (r *Record) wire() Record {
	wire := *r
	wire.Replaced = nil
	wire.size = 0
	return wire
}

// CommandKind names what a command does.
type CommandKind uint8

// The kinds of commands. Times are the table's, in ns.
const (
	CommandPut      CommandKind = iota + 1 // Changes, made on version Base
	CommandAdvance                         // Version has been at the canary stage for long enough
	CommandStop                            // node Who can't apply Version
	CommandRollback                        // the content of version Version, as a new version for all
)

// Command is one change of the table.
type Command struct {
	Kind       CommandKind `cbor:"1,keyasint"`
	Caller     string      `cbor:"2,keyasint,omitempty"` // the caller of CommandPut and CommandRollback, a name of its own for each caller
	Seq        uint64      `cbor:"3,keyasint,omitempty"` // of From, above any before; a repeated one has the same verdict
	Base       uint64      `cbor:"4,keyasint,omitempty"`
	Changes    []Item      `cbor:"5,keyasint,omitempty"`
	Piece      int         `cbor:"6,keyasint,omitempty"` // number of this piece of a long change, from 0
	MorePieces bool        `cbor:"7,keyasint,omitempty"` // further pieces follow: nothing changes before the last one
	Version    uint64      `cbor:"8,keyasint,omitempty"`
	Node       string      `cbor:"9,keyasint,omitempty"`
	Reason     string      `cbor:"10,keyasint,omitempty"`
	WallTime   int64       `cbor:"11,keyasint,omitempty"`
	CanaryTime int64       `cbor:"12,keyasint,omitempty"` // CommandAdvance: ns that Version was at the canary stage by the proposing replica's clock
}

// Verdict answers a command.
type Verdict struct {
	Caller            string `cbor:"1,keyasint,omitempty"`
	Seq               uint64 `cbor:"2,keyasint,omitempty"`
	Done              bool   `cbor:"3,keyasint,omitempty"`
	Version           uint64 `cbor:"4,keyasint,omitempty"` // that has the change where it was done, else the newest
	Refused           string `cbor:"5,keyasint,omitempty"` // why it was not done, and what to do
	Stale             bool   `cbor:"6,keyasint,omitempty"`
	Differing         []Item `cbor:"7,keyasint,omitempty"` // Stale: names of items that changed since Base, without values
	UnlistedDiffering int    `cbor:"8,keyasint,omitempty"` // Stale: items that changed and aren't in Differ; -1 where the log no longer reaches
}

// HeadRevision is what a replica confirms: which versions are in force.
type HeadRevision struct {
	All        Revision `cbor:"1,keyasint"`           // in force for all
	Canary     Revision `cbor:"2,keyasint"`           // at the canary stage; All where there is none
	Newest     uint64   `cbor:"3,keyasint"`           // agreed; those past Canary wait for the stage to end
	Stopped    bool     `cbor:"4,keyasint,omitempty"` // Canary goes no further
	StoppedBy  string   `cbor:"5,keyasint,omitempty"` // Stopped: the node that can't apply it
	StopReason string   `cbor:"6,keyasint,omitempty"`
}

// newer reports whether a head was agreed on after another.
func (h *HeadRevision) newer(than *HeadRevision) bool {
	switch {
	case h.All.Version != than.All.Version:
		return h.All.Version > than.All.Version
	case h.Canary.Version != than.Canary.Version:
		return h.Canary.Version > than.Canary.Version
	case h.Stopped != than.Stopped:
		return h.Stopped
	}
	return h.Newest > than.Newest
}

func truncate(s string, limit int) string { return s[:min(len(s), limit)] }
