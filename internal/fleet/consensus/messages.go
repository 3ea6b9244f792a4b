package consensus

import (
	"topazpost/internal/fleet/claims"
	"topazpost/internal/fleet/configsync"
	"topazpost/internal/fleet/quota"
	"topazpost/internal/fleet/takeover"
)

// MessageKind is the purpose of a message.
type MessageKind uint8

// The kinds of messages.
const (
	MessageRaft         MessageKind = iota + 1 // a raft message between replicas
	MessageDiscovery                           // sent by a replica that belongs to no group, and the answer to it
	MessagePropose                             // a node's commands, sent to any replica
	MessageVerdicts                            // the verdicts on commands
	MessageClaimsEnded                         // claims that the receiver waits for have ended
	MessageReassignment                        // the receiver is the new owner of a claim
	MessageRejoin                              // a replica recovered from its disk, and asks which of its writes the receiver knows of
	MessageRejoinAnswer                        // the answer to MessageRejoin; also sent unasked if a peer's write number is lower than before
	MessagePartRequest                         // requests a chunk of a part that a snapshot refers to
	MessagePart                                // the answer to MessagePartRequest
)

// Message is a message between replicas, or between a node and a replica. Comments name the kinds that a field belongs to; fields without
// a comment belong to all kinds.
type Message struct {
	Kind           MessageKind          `cbor:"1,keyasint"`
	From           string               `cbor:"2,keyasint"`
	Raft           []byte               `cbor:"3,keyasint,omitempty"`  // MessageRaft
	RaftID         uint64               `cbor:"4,keyasint,omitempty"`  // MessageDiscovery: the sender's raft ID; MessageRejoin, MessageRejoinAnswer: that of the rejoining replica
	Incarnation    uint64               `cbor:"5,keyasint,omitempty"`  // MessageDiscovery, MessageRejoin: the sender's; MessageRejoinAnswer: the receiver's that is a member
	BoundSetHash   uint64               `cbor:"6,keyasint,omitempty"`  // MessageDiscovery: hash of the raft IDs that the sender is bound to
	Unassigned     bool                 `cbor:"7,keyasint,omitempty"`  // MessageDiscovery: the sender belongs to no group yet
	Owner          claims.Owner         `cbor:"8,keyasint,omitempty"`  // MessagePropose: the sender; MessageVerdicts, MessageClaimsEnded, MessageReassignment: the receiver
	ClaimCommands  []claims.Command     `cbor:"9,keyasint,omitempty"`  // MessagePropose
	ClaimVerdicts  []claims.Verdict     `cbor:"10,keyasint,omitempty"` // MessageVerdicts
	Keys           []claims.Key         `cbor:"11,keyasint,omitempty"` // MessageClaimsEnded
	Claim          *claims.Entry        `cbor:"12,keyasint,omitempty"` // MessageReassignment
	Remaining      int64                `cbor:"13,keyasint,omitempty"` // MessageReassignment: ns to the claim's deadline
	LeaseCommands  []quota.Command      `cbor:"15,keyasint,omitempty"` // MessagePropose
	LeaseVerdicts  []quota.Verdict      `cbor:"16,keyasint,omitempty"` // MessageVerdicts
	WriteNumber    uint64               `cbor:"17,keyasint,omitempty"` // MessageRaft: the sender's last persisted write; MessageRejoinAnswer: the receiver's last write that the sender knows of
	PartDigest     string               `cbor:"18,keyasint,omitempty"` // MessagePartRequest, MessagePart: digest of the part
	Offset         int                  `cbor:"19,keyasint,omitempty"` // MessagePartRequest, MessagePart: bytes into the part
	Size           int                  `cbor:"20,keyasint,omitempty"` // MessagePart: bytes of the part
	Chunk          []byte               `cbor:"21,keyasint,omitempty"` // MessagePart
	ConfigCommands []configsync.Command `cbor:"22,keyasint,omitempty"` // MessagePropose
	ConfigVerdicts []configsync.Verdict `cbor:"23,keyasint,omitempty"` // MessageVerdicts
	Leader         string               `cbor:"14,keyasint,omitempty"` // MessageVerdicts: the group's leader, as far as the sender knows
}

// Input is one event: a message, commands of this node, a changed membership view, or the result of writes to the disk.
type Input struct {
	Message        *Message
	ClaimCommands  []claims.Command     // of this node
	LeaseCommands  []quota.Command      // of this node
	View           []takeover.Member    // nil if it did not change
	ConfigCommands []configsync.Command // commands on the configuration
	Owner          claims.Owner         // receives the verdicts on ConfigCommands; zero if this replica proposes on its own behalf

	Persisted uint64 // the writes up to this number are on the disk
	DiskErr   error  // a write failed, and with it all later ones
}

// EffectKind is an action that the caller of Step carries out.
type EffectKind uint8

// The kinds of effects.
const (
	Send     EffectKind = iota // send Message to the node To
	WriteLog                   // log Text for operators
	Persist                    // carry out Write after all earlier ones, then report its number as Input.Persisted
)

// Effect is one action for the caller of Step to carry out. A message may be addressed to this node itself.
type Effect struct {
	Kind    EffectKind
	To      string
	Message Message
	Text    string
	Warn    bool
	Write   *Write
}

// Summary is a node's view of claims, with that of its replica if it has one, as operators see it.
type Summary struct {
	Node           string                 `json:"node" cbor:"1,keyasint"`
	Client         *claims.ClientCounters `json:"desk,omitempty" cbor:"2,keyasint,omitempty"`
	ClaimsInFlight int                    `json:"in_hand" cbor:"3,keyasint,omitempty"`
	GroupReachable bool                   `json:"council_reached" cbor:"4,keyasint,omitempty"`
	Replica        *Counters              `json:"seat,omitempty" cbor:"5,keyasint,omitempty"`
	Leader         string                 `json:"leader,omitempty" cbor:"6,keyasint,omitempty"`
	Table          *claims.Counters       `json:"table,omitempty" cbor:"7,keyasint,omitempty"`
	Takeover       *takeover.Counters     `json:"handed,omitempty" cbor:"8,keyasint,omitempty"`
	ClaimCount     int                    `json:"claims" cbor:"9,keyasint,omitempty"`
	Bytes          int64                  `json:"bytes" cbor:"10,keyasint,omitempty"`
	Time           int64                  `json:"time_ns" cbor:"11,keyasint,omitempty"`
	Limits         []*quota.Limit         `json:"limits,omitempty" cbor:"13,keyasint,omitempty"`
	Lease          *quota.Counters        `json:"lease,omitempty" cbor:"14,keyasint,omitempty"`
	Claims         []*claims.Entry        `json:"-" cbor:"12,keyasint,omitempty"`
}
