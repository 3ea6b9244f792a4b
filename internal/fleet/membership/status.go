package membership

// Status is the state of a member as this node sees it.
type Status uint8

// The statuses of a member.
const (
	Alive   Status = iota
	Suspect        // unreachable for less than the suspicion timeout, or this node is isolated
	Dead
	Left // after a drain
)

// StatusNames holds the name of each status, for the output of commands. They must not change.
var StatusNames = [...]string{"alive", "suspect", "dead", "left"}

// Reach is how this node reaches a member.
type Reach uint8

// The kinds of reach.
const (
	Direct   Reach = iota // over a link of this node
	Indirect              // over links of other members
	Unreachable
)

// ReachNames holds the name of each kind of reach, for the output of commands. They must not change.
var ReachNames = [...]string{"direct", "through others", "none"}

// Cause is the cause of a change of the view.
type Cause uint8

// The causes.
const (
	Joined   Cause = iota
	Returned       // after it left the view, in the same or another incarnation
	Replaced       // by a process started at another time, without leaving the view
	Lost
	Departed     // after a drain
	ExecutorLost // the member runs, but without an executor
	ExecutorRestored
	Isolated    // this node has no link that is up; it keeps its view
	Reconnected // this node has a link again after Isolated
)

// CauseNames holds the name of each cause. Logs contain these names and are parsed by them, so they must not change.
var CauseNames = [...]string{"joined", "returned", "replaced", "lost", "left", "of no use", "of use again", "cut off", "restored"}

// Change is one change of the view.
type Change struct {
	Number         uint64
	Cause          Cause
	Member         string
	Incarnation    uint64
	ReportedBy     string // for Lost, the member that last lost or closed its link to this one; "" for Joined and Returned; else the member itself
	DetectionDelay int64  // ns since the member became unreachable, plus the link timeout that passes before; 0 if it was reachable
	Size           int    // members of the view after the change
	Hash           uint64 // hash of the view after the change, as in View
}

// MemberStatus is one member in a view.
type MemberStatus struct {
	Name        string `json:"name" cbor:"1,keyasint"`
	Address     string `json:"address" cbor:"2,keyasint"`
	Status      Status `json:"-" cbor:"3,keyasint,omitempty"`
	Reach       Reach  `json:"-" cbor:"4,keyasint,omitempty"`
	Incarnation uint64 `json:"incarnation" cbor:"5,keyasint"`
	Facts       Facts  `json:"facts" cbor:"6,keyasint"`
	Links       int    `json:"links" cbor:"7,keyasint,omitempty"`
	StatusAge   int64  `json:"since_ns" cbor:"8,keyasint,omitempty"` // ns in this status
	StartedAt   int64  `json:"born" cbor:"9,keyasint,omitempty"`     // Unix ns
}

// View is the view of a node, which contains the node itself, and the members that left it and are not forgotten.
type View struct {
	Number   uint64         `cbor:"1,keyasint"`
	Hash     uint64         `cbor:"2,keyasint"` // over the names and start times of the members in the view; equal for equal views
	Isolated bool           `cbor:"3,keyasint,omitempty"`
	Majority bool           `cbor:"4,keyasint,omitempty"` // the view holds more than half of the known members that have not left
	Members  []MemberStatus `cbor:"5,keyasint"`           // sorted by name, with members that left the view and are not forgotten
}

// Counters counts events for operators.
type Counters struct {
	Sent              int `json:"sent"` // datagrams
	Bytes             int `json:"-"`
	Exchanges         int `json:"exchanges"`
	UnmatchedMessages int `json:"strays"`   // messages from unknown members, or answers without a request
	UnusableRecords   int `json:"unusable"` // records that are invalid or for which the table has no room
	NameConflicts     int `json:"refused"`  // sync requests rejected, by this node or a peer, and names yielded
	Pauses            int `json:"pauses"`   // of this process
	ViewChanges       int `json:"views"`
}
