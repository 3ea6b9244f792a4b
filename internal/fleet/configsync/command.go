package configsync

const (
	itemOverhead   = 24 // at least the encoded size of an item without its name and value
	recordOverhead = 96 // at least the encoded size of a record without its caller's name and its items
)

// Revision identifies a version and its content.
type Revision struct {
	Version uint64 `cbor:"1,keyasint"`
	Digest  Digest `cbor:"2,keyasint"`
}

// Record describes one version by its changes to the version before it.
type Record struct {
	Version  uint64 `cbor:"1,keyasint"`
	Base     Digest `cbor:"2,keyasint"` // digest of the content before the changes
	Digest   Digest `cbor:"3,keyasint"` // digest of the content after the changes
	Caller   string `cbor:"4,keyasint,omitempty"`
	WallTime int64  `cbor:"5,keyasint,omitempty"` // Unix time in ns by the clock of the caller; informative only
	Changes  []Item `cbor:"6,keyasint,omitempty"`
	Replaced []Item `cbor:"7,keyasint,omitempty"` // former values of the changed items; only at replicas, to undo the changes in a rollback
	Rollback bool   `cbor:"8,keyasint,omitempty"`
	size     int    // cached result of bytes; 0 if unknown
}

// sizeOf returns an upper bound of the encoded size of items, in bytes.
func sizeOf(list []Item) (size int) {
	for k := range list {
		size += len(list[k].Name) + len(list[k].Value) + itemOverhead
	}
	return size
}

// bytes returns an upper bound of the encoded size of the record.
func (r *Record) bytes() int {
	if r.size == 0 {
		r.size = recordOverhead + len(r.Caller) + sizeOf(r.Changes) + sizeOf(r.Replaced)
	}
	return r.size
}

// wire returns a copy of the record as it is sent to other nodes: without the replaced values.
func (r *Record) wire() Record {
	wire := *r
	wire.Replaced = nil
	wire.size = 0
	return wire
}

// CommandKind is the kind of a Command.
type CommandKind uint8

// The kinds of commands.
const (
	CommandPut      CommandKind = iota + 1 // makes a new version: Changes, made on version Base
	CommandAdvance                         // brings Version into force for all nodes, after a long enough canary stage
	CommandStop                            // ends the rollout of Version, which the node StoppedBy can't apply
	CommandRollback                        // makes a new version, in force for all nodes at once, with the content of Version
)

// Command changes the table.
type Command struct {
	Kind       CommandKind `cbor:"1,keyasint"`
	Caller     string      `cbor:"2,keyasint,omitempty"`  // CommandPut, CommandRollback: the unique name of the caller
	Seq        uint64      `cbor:"3,keyasint,omitempty"`  // increases with each command of Caller; a repeated command gets the same verdict
	Base       uint64      `cbor:"4,keyasint,omitempty"`  // CommandPut: the version on which the change was made
	Changes    []Item      `cbor:"5,keyasint,omitempty"`  // CommandPut
	Piece      int         `cbor:"6,keyasint,omitempty"`  // index of this piece of a long change, from 0
	MorePieces bool        `cbor:"7,keyasint,omitempty"`  // further pieces follow; the last piece makes the version
	Version    uint64      `cbor:"8,keyasint,omitempty"`  // CommandAdvance, CommandStop: the version at the canary stage; CommandRollback: the version to return to; CommandPut: the version from which a new table continues the numbering
	StoppedBy  string      `cbor:"9,keyasint,omitempty"`  // CommandStop: the node that refused Version
	StopReason string      `cbor:"10,keyasint,omitempty"` // CommandStop: why the node refused Version
	WallTime   int64       `cbor:"11,keyasint,omitempty"` // CommandPut, CommandRollback: Unix time in ns by the clock of the caller
	CanaryTime int64       `cbor:"12,keyasint,omitempty"` // CommandAdvance: ns that Version has been at the canary stage by the clock of the proposing replica
}

// Verdict is the result of a command.
type Verdict struct {
	Caller            string `cbor:"1,keyasint,omitempty"`
	Seq               uint64 `cbor:"2,keyasint,omitempty"`
	Done              bool   `cbor:"3,keyasint,omitempty"`
	Version           uint64 `cbor:"4,keyasint,omitempty"` // CommandPut, CommandRollback: the version that has the change if Done; otherwise the newest version
	Refused           string `cbor:"5,keyasint,omitempty"` // why the command was refused, and what the caller can do
	Stale             bool   `cbor:"6,keyasint,omitempty"` // the command was made on a version that is not the newest
	Differing         []Item `cbor:"7,keyasint,omitempty"` // Stale: items that changed since the command's Base, without values
	UnlistedDiffering int    `cbor:"8,keyasint,omitempty"` // Stale: number of changed items that Differing omits; -1 if the log does not reach back to Base
}

// RolloutState holds the versions that are agreed on, and how far each of them is rolled out. Replicas confirm it to nodes.
type RolloutState struct {
	All        Revision `cbor:"1,keyasint"`           // in force for all nodes
	Canary     Revision `cbor:"2,keyasint"`           // at the canary stage; equals All if there is none
	Newest     uint64   `cbor:"3,keyasint"`           // newest version; versions after Canary wait until its canary stage ends
	Stopped    bool     `cbor:"4,keyasint,omitempty"` // a node refused Canary, which does not advance; the next version replaces it
	StoppedBy  string   `cbor:"5,keyasint,omitempty"` // Stopped: the node that can't apply Canary
	StopReason string   `cbor:"6,keyasint,omitempty"`
}

// newer reports whether h was agreed on after other.
func (h *RolloutState) newer(other *RolloutState) bool {
	switch {
	case h.All.Version != other.All.Version:
		return h.All.Version > other.All.Version
	case h.Canary.Version != other.Canary.Version:
		return h.Canary.Version > other.Canary.Version
	case h.Stopped != other.Stopped:
		return h.Stopped
	}
	return h.Newest > other.Newest
}

func truncate(s string, limit int) string { return s[:min(len(s), limit)] }
