package claims

import (
	"fmt"
	"unicode/utf8"
)

// Key identifies a token fleet-wide. It holds the names of operation and tenant, since their indices differ from node to node.
type Key struct {
	Operation string `cbor:"1,keyasint"`
	Tenant    string `cbor:"2,keyasint,omitempty"`
	Token     string `cbor:"3,keyasint"`
}

func (k Key) String() string { return fmt.Sprintf("%s/%s/%s", k.Operation, k.Tenant, k.Token) }

// CommandKind is the kind of a Command.
type CommandKind uint8

// The kinds of commands. The table applies or refuses each command as a whole, in the order that the consensus group agreed on.
const (
	CommandNoop        CommandKind = iota // changes nothing; its verdict shows that the consensus group is reachable
	CommandClaim                          // claims the token for Sender
	CommandStart                          // records that the owner's executor is about to receive the invocation
	CommandEnd                            // records the outcome of the run
	CommandRelease                        // gives up the claim: nothing ran and nothing will run under this fence
	CommandReassign                       // makes NewOwner the owner, if the claim is not started
	CommandMarkUnknown                    // records that the owner was lost after the start
	CommandResolve                        // records the outcome of a run of an earlier incarnation, as reported by its executor
	CommandAdvanceTime                    // advances the table's time by Duration and sets MaxTableBytes if positive; no effect if the time is not MeasuredFrom
	CommandKindCount                      // one past the last
)

// Command is one state transition of the table. Times are in nanoseconds.
type Command struct {
	Kind          CommandKind `cbor:"1,keyasint"`
	Sender        Owner       `cbor:"2,keyasint"`           // receives the verdict
	Seq           uint64      `cbor:"3,keyasint,omitempty"` // sequence number, repeated in the verdict; a retry has the same
	Key           Key         `cbor:"4,keyasint,omitempty"`
	Fence         uint64      `cbor:"5,keyasint,omitempty"`  // Start, End, Release, Reassign, MarkUnknown: fence known to the sender
	BodyHash      uint64      `cbor:"6,keyasint,omitempty"`  // Claim
	Duration      int64       `cbor:"7,keyasint,omitempty"`  // Claim: time left until the invocation is due; AdvanceTime: time that passed
	Retention     int64       `cbor:"8,keyasint,omitempty"`  // Claim: how long the table keeps the token after its start, and after its end
	Work          []byte      `cbor:"9,keyasint,omitempty"`  // Claim: the data that a new owner needs to run the invocation
	InvocationID  string      `cbor:"10,keyasint,omitempty"` // Claim, Release, Resolve: the invocation's ID at the owner's executor
	Outcome       uint8       `cbor:"11,keyasint,omitempty"` // End, Resolve: in the node's encoding, not interpreted here
	Result        []byte      `cbor:"12,keyasint,omitempty"` // End, Resolve
	NewOwner      Owner       `cbor:"13,keyasint,omitempty"` // Reassign
	MeasuredFrom  int64       `cbor:"14,keyasint,omitempty"` // AdvanceTime: the table's time from which Duration counts
	MaxTableBytes int64       `cbor:"15,keyasint,omitempty"` // AdvanceTime: new size limit of the table
	Returned      bool        `cbor:"16,keyasint,omitempty"` // Release: the claim was assigned to the sender, which cannot run it; keep it for another owner
}

// IsDecodable reports whether replicas can decode the command from an entry: the encoder takes texts of any bytes, the decoder UTF-8 alone.
func (c *Command) IsDecodable() bool {
	for _, text := range []string{c.Sender.Name, c.Key.Operation, c.Key.Tenant, c.Key.Token, c.InvocationID, c.NewOwner.Name} {
		if !utf8.ValidString(text) {
			return false
		}
	}
	return true
}

// Answer tells the sender of a command its result.
type Answer uint8

// The answers to commands.
const (
	AnswerDone           Answer = iota // applied, or without effect and none of the answers below; End: also if the claim has ended already; Release: no claim holds the invocation
	AnswerGranted                      // Claim: the sender owns the claim; Start: it may run; Reassign: NewOwner owns it
	AnswerOwned                        // Release: Owner has the claim of the invocation; Claim: Owner has the claim, and has started it if that is the sender; up to maxWaiters other senders are notified of its end
	AnswerCompleted                    // the run ended, with Outcome and Result
	AnswerOutcomeUnknown               // the invocation may have run, and its owner was lost before it reported the outcome
	AnswerBodyMismatch                 // the token is claimed with another request body
	AnswerStaleFence                   // the claim has another fence, owner or state than required, or does not exist
	AnswerTableFull                    // the table is full; its first claim expires after RetryAfter
)

// Verdict is the table's reply to a command.
type Verdict struct {
	Seq        uint64 `cbor:"1,keyasint"`
	Answer     Answer `cbor:"2,keyasint,omitempty"`
	Fence      uint64 `cbor:"3,keyasint,omitempty"` // AnswerGranted, AnswerOwned
	Owner      Owner  `cbor:"4,keyasint,omitempty"` // AnswerOwned
	Outcome    uint8  `cbor:"5,keyasint,omitempty"` // AnswerCompleted
	Result     []byte `cbor:"6,keyasint,omitempty"` // AnswerCompleted
	RetryAfter int64  `cbor:"7,keyasint,omitempty"` // AnswerTableFull: ns
}
