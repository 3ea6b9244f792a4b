// Package membership decides who is there and who can reach whom: link states that each node tells of itself, and
// a view that follows from them. It does no I/O, reads no clock, and knows nothing of what views are used for.
package membership

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

const (
	ms = int64(1_000_000) // ns in a millisecond

	ringCount               = 4           // orders of the fleet in each of which a node watches both sides: eight links hold a graph together
	maxPassedOver           = 4           // silent members passed over on a side of a ring: two of three gone still leave a link
	maxLinks                = 32          // links of a node: four times those it looks for itself
	pingHistory             = 32          // pings on a link whose answer still counts: more than are sent while it may be silent
	maxPingsPerProbe        = 4           // pings that one probe can become where none is answered: a fifth of loss takes all four in 1 of 60 cases
	maxRecordsPerDatagram   = 6           // records in one datagram: 1,200 bytes of the largest that are usual
	maxGossipBytes          = 1_000       // bytes of records in one datagram, the rest of 1,200 is for its head
	maxTableSize            = 1<<16 - 1   // members: places in the table are two bytes in what is followed
	retainedEffects         = 64          // room for effects that is kept between steps: a table that comes whole is a change for each member
	maxNameBytes            = 64          // bytes of a name
	maxAddressBytes         = 64          // bytes of an address
	maxFactBytes            = 32          // bytes of a fact
	maxReconnects           = 8           // addresses of the lost that are tried at once
	maxFlaps                = 5           // losses of one member that still lengthen its way back
	unwantedLinkTimeout     = 4_000 * ms  // ns that a link is kept once it is not wanted: its successor is known to all by then
	ringsInterval           = 100 * ms    // ns between looks at whom to watch: a herd of joins is one change
	traversalInterval       = 50 * ms     // ns between two that follow all links: in a herd records change by the hundred
	viewInterval            = 1_000 * ms  // ns between looks at who is forgotten
	gossipInterval          = 100 * ms    // ns between news on one link: records that change again meanwhile go once
	publishInterval         = 200 * ms    // ns between new links of one's own record
	regainedPublishInterval = 100 * ms    // ns between them where a link is back that was lost: with the news' way less than the settling
	gainedPublishInterval   = 500 * ms    // ns between them where only more were gained: in a herd many come at once
	closedPublishInterval   = 1_500 * ms  // ns between them where links ended that neither end wants: they end one by one after a herd
	reconnectInterval       = 1_000 * ms  // ns between tries at one that was lost
	joinInterval            = 500 * ms    // ns between tries at a seed, doubled up to joinMost
	maxJoinBackoff          = 4_000 * ms  // ns
	syncDelay               = 1_500 * ms  // ns that a neighbour's table differs before it is asked for all: news takes less
	syncInterval            = 3_000 * ms  // ns between full exchanges
	syncQuietTime           = 500 * ms    // ns without news before one: while they come, tables differ, and a whole one is old at once
	maxSyncDeferral         = 10_000 * ms // ns for which news put it off at the most
	digestRetention         = 30_000 * ms // ns after which a lost member's record is no part of what tables are compared by
	flapDecayTime           = 60_000 * ms // ns of standing after which a loss is forgotten
	minPause                = 150 * ms    // ns past a wake from which this process stood still, and not the others
	never                   = math.MaxInt64
)

// ID is a member's name in short.
type ID uint64

// IDOf is the id of a name.
func IDOf(name string) ID { return ID(xxhash.Sum64String(name)) }

// Config is what a node goes by. Times are nanoseconds.
type Config struct {
	Name, Address, Zone, Version string
	Seeds                        []string
	ProbeInterval                int64 // between pings on a link
	LinkTimeout                  int64 // without an answer past which a link is lost
	SuspicionTimeout             int64 // that a loss must last before the view follows
	ForgetTimeout                int64 // after which a lost member is no longer knocked at
	MaxMembers                   int
}

// Facts are small things that a member tells of itself; the newest win.
type Facts struct {
	Version string `cbor:"1,keyasint,omitempty"`
	Zone    string `cbor:"2,keyasint,omitempty"`
	Level   uint8  `cbor:"3,keyasint,omitempty"` // of reduced service
	Beat    uint8  `cbor:"4,keyasint,omitempty"` // of its drain, 0 outside one
	NoUse   bool   `cbor:"5,keyasint,omitempty"` // up, but without an executor
}

// Record is what a member says of itself. It alone writes it; of two the one with the higher Inc, then Ver counts.
type Record struct {
	Name          string `cbor:"1,keyasint"`
	Address       string `cbor:"2,keyasint"`
	StartedAt     int64  `cbor:"3,keyasint"`           // Unix ns of the start of this life
	Incarnation   uint64 `cbor:"4,keyasint"`           // incarnation: Born, or one past any that is told of this name
	RecordVersion uint32 `cbor:"5,keyasint,omitempty"` // of the record within the incarnation
	Left          bool   `cbor:"6,keyasint,omitempty"`
	Links         []ID   `cbor:"7,keyasint,omitempty"` // that it has round trips with, ascending
	Facts         Facts  `cbor:"8,keyasint,omitempty"`
}

func (r *Record) newer(than *Record) bool {
	return r.Incarnation > than.Incarnation || r.Incarnation == than.Incarnation && r.RecordVersion > than.RecordVersion
}

// usable says whether a record of a peer can be kept.
func (r *Record) usable() bool {
	return r.Name != "" && len(r.Name) <= maxNameBytes && r.Address != "" && len(r.Address) <= maxAddressBytes &&
		len(r.Links) <= maxLinks && len(r.Facts.Version) <= maxFactBytes && len(r.Facts.Zone) <= maxFactBytes && r.Incarnation < math.MaxUint64/2
}

// size is about the bytes of a record in a message.
func (r *Record) size() int { return 48 + len(r.Name) + len(r.Address) + 9*len(r.Links) }

// RecordSummary names a record without its content.
type RecordSummary struct {
	ID            ID     `cbor:"1,keyasint"`
	Incarnation   uint64 `cbor:"2,keyasint"`
	RecordVersion uint32 `cbor:"3,keyasint,omitempty"`
}

// MessageKind names what a message is for.
type MessageKind uint8

// The messages. Ping, Ack and News are datagrams, the others are for exchanges.
const (
	MessagePing        MessageKind = iota + 1 // asks for an Ack
	MessageAck                                // proves that both directions of a link work
	MessageGossip                             // brings records
	MessageSyncRequest                        // all heads of the sender, with its record: what is newer, what is wanted?
	MessageSyncAnswer                         // records that are newer than the heads, and ids that are wanted
	MessageSyncPush                           // records that were wanted; answered by an Answer without content
	MessageReject                             // of an Ask: the name is held by another, or the table is full
	MessageViewRequest                        // asks for the view; answered by a View in the place of a message
)

// LookClaims in the Why of a Look asks for the claims instead of the view.
const LookClaims = "claims"

// Message is what members tell each other.
type Message struct {
	Kind      MessageKind     `cbor:"1,keyasint"`
	From      ID              `cbor:"2,keyasint,omitempty"`
	Seq       uint32          `cbor:"3,keyasint,omitempty"`
	Digest    uint64          `cbor:"4,keyasint,omitempty"` // of the sender's table
	Neighbour bool            `cbor:"5,keyasint,omitempty"` // the sender watches the receiver
	Records   []Record        `cbor:"6,keyasint,omitempty"`
	Heads     []RecordSummary `cbor:"7,keyasint,omitempty"`
	Wanted    []ID            `cbor:"8,keyasint,omitempty"`
	Why       string          `cbor:"9,keyasint,omitempty"` // Refuse
}

// InputKind names what happened.
type InputKind uint8

// The inputs.
const (
	DatagramReceived InputKind = iota // a datagram
	ExchangeOpened                    // the message of an exchange that a peer opened on Link
	ExchangeAnswered                  // the answer to an exchange of ours
	ExchangeFailed                    // an exchange of ours came to nothing
	FactsChanged                      // the node's own facts changed
	Leaving                           // the node begins to drain
)

// Input is one thing that happened.
type Input struct {
	Kind    InputKind
	Link    int
	Message *Message
	Facts   Facts
}

// EffectKind names what is to be done.
type EffectKind uint8

// The effects.
const (
	Send        EffectKind = iota // a datagram
	Exchange                      // open Link to To, write Message, wait for the answer
	Reply                         // answer the exchange on Link
	ViewChanged                   // the view changed
	WriteLog                      // tell operators
)

// Effect is one thing to do. Messages and their slices are valid until the next step.
type Effect struct {
	Kind    EffectKind
	To      string
	Link    int
	Message Message
	Change  Change
	Text    string
	Warn    bool
}

// Status is what the view says of a member.
type Status uint8

// The statuses.
const (
	Alive   Status = iota
	Suspect        // no path of links leads to it, for less than the config's Settle, or this node is alone
	Dead
	Left
)

// StatusNames name them.
var StatusNames = [...]string{"alive", "suspect", "dead", "left"}

// Reach is how this node gets to a member.
type Reach uint8

// The ways.
const (
	Direct   Reach = iota // it answers this node
	Indirect              // others reach it, and this node them
	Unreachable
)

// ReachNames name them.
var ReachNames = [...]string{"direct", "through others", "none"}

// Cause is why a view changed.
type Cause uint8

// The causes.
const (
	Joined   Cause = iota
	Returned       // after a loss, in the same life or another
	Replaced       // another life under the name, with no loss seen between
	Lost
	Departed         // in a drain
	ExecutorLost     // its executor is gone
	ExecutorRestored // and back
	Isolated         // this node has no link any more: it doubts itself and keeps its view
	Reconnected      // and has one again
)

// CauseNames name them.
var CauseNames = [...]string{"joined", "returned", "replaced", "lost", "left", "of no use", "of use again", "cut off", "restored"}

// Change is one change of the view.
type Change struct {
	Number      uint64
	Cause       Cause
	Who         string
	Incarnation uint64
	ReportedBy  string // whose link to it was the last to go, or whose record told
	After       int64  // ns from the last path to it to the change
	Size        int    // members of the view after it
	Hash        uint64 // of the view after it, as View has it
}

// MemberStatus is one member as the view has it.
type MemberStatus struct {
	Name        string `json:"name" cbor:"1,keyasint"`
	Address     string `json:"address" cbor:"2,keyasint"`
	Status      Status `json:"-" cbor:"3,keyasint,omitempty"`
	Reach       Reach  `json:"-" cbor:"4,keyasint,omitempty"`
	Incarnation uint64 `json:"incarnation" cbor:"5,keyasint"`
	Facts       Facts  `json:"facts" cbor:"6,keyasint"`
	Links       int    `json:"links" cbor:"7,keyasint,omitempty"`
	Since       int64  `json:"since_ns" cbor:"8,keyasint,omitempty"` // ns since its status is that
	StartedAt   int64  `json:"born" cbor:"9,keyasint,omitempty"`     // Unix ns of the start of its life
}

// View is who is there. Self is always in it.
type View struct {
	Number   uint64         `cbor:"1,keyasint"`
	Hash     uint64         `cbor:"2,keyasint"` // of names and lives, equal where views are
	Alone    bool           `cbor:"3,keyasint,omitempty"`
	Majority bool           `cbor:"4,keyasint,omitempty"` // it holds more than half of all members that are known
	Members  []MemberStatus `cbor:"5,keyasint"`           // by name; the lost that are not forgotten too
}

// Counters are what an operator may want to see.
type Counters struct {
	Sent              int `json:"sent"` // datagrams
	Bytes             int `json:"-"`
	Exchanges         int `json:"exchanges"`
	UnmatchedMessages int `json:"strays"`   // messages of nobody that is known, answers to nothing
	Unusable          int `json:"unusable"` // records that can't be kept
	Refused           int `json:"refused"`
	Pauses            int `json:"pauses"` // of this process
	Views             int `json:"views"`
}
