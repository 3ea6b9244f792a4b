package claims

import "fmt"

// Key identifies a token fleet-wide. It holds names, since indices of operations and tenants differ from node to node.
type Key struct {
	Operation string `cbor:"1,keyasint"`
	Tenant    string `cbor:"2,keyasint,omitempty"`
	Token     string `cbor:"3,keyasint"`
}

func (k Key) String() string { return fmt.Sprintf("%s/%s/%s", k.Operation, k.Tenant, k.Token) }

// CommandKind names what a command does.
type CommandKind uint8

// The kinds of commands. Each is carried out or refused as a whole, at its place in the one order.
const (
	CommandNoop        CommandKind = iota // proves that the consensus group is reachable
	CommandClaim                          // asks whether Sender may run the token
	CommandStart                          // the executor is about to receive the invocation
	CommandEnd                            // reports how its run ended
	CommandRelease                        // nothing ran and nothing will run under this fence
	CommandReassign                       // NewOwner owns it from now on, if it is only claimed
	CommandMarkUnknown                    // its owner is lost after the start
	CommandResolve                        // an executor that outlived its node reports how a run ended
	CommandAdvanceTime                    // Duration has passed
	CommandKindCount                      // one past the last
)

// Command is one transition of the table. Times are nanoseconds.
type Command struct {
	Kind          CommandKind `cbor:"1,keyasint"`
	Sender        Owner       `cbor:"2,keyasint"`           // receives the verdict
	Seq           uint64      `cbor:"3,keyasint,omitempty"` // of the verdict; a retry has the same
	Key           Key         `cbor:"4,keyasint,omitempty"`
	Fence         uint64      `cbor:"5,keyasint,omitempty"`  // Start, End, Release, Reassign, MarkUnknown: the one that the sender knows
	BodyHash      uint64      `cbor:"6,keyasint,omitempty"`  // Claim
	Duration      int64       `cbor:"7,keyasint,omitempty"`  // Claim: until its due time; AdvanceTime: time that passed
	Window        int64       `cbor:"8,keyasint,omitempty"`  // Claim: how long the token is known after its start, and after its end
	Work          []byte      `cbor:"9,keyasint,omitempty"`  // Claim: what a new owner needs to run it
	InvocationID  string      `cbor:"10,keyasint,omitempty"` // Claim, Resolve: the invocation's id at the owner's executor
	Outcome       uint8       `cbor:"11,keyasint,omitempty"` // End, Resolve
	Result        []byte      `cbor:"12,keyasint,omitempty"` // End, Resolve
	NewOwner      Owner       `cbor:"13,keyasint,omitempty"` // Reassign
	MeasuredFrom  int64       `cbor:"14,keyasint,omitempty"` // AdvanceTime: the table's time that Duration counts from
	MaxTableBytes int64       `cbor:"15,keyasint,omitempty"` // AdvanceTime: size limit of the table from now on
	Returned      bool        `cbor:"16,keyasint,omitempty"` // Release: by a new owner without capacity; another may have it
}

// Answer is the result of a command.
type Answer uint8

// The answers.
const (
	AnswerDone           Answer = iota // carried out now or before
	AnswerGranted                      // the claim, or its start, is the sender's
	AnswerOwnedElsewhere               // another owner has it; the sender is notified of its end
	AnswerCompleted                    // it ended, with Outcome and Result
	AnswerOutcomeUnknown               // it may have run; how it ended is not known
	AnswerBodyMismatch                 // the token came with another body
	AnswerStaleFence                   // the fence is old, or the claim is gone
	AnswerTableFull                    // the table is full; the first claim expires after RetryAfter
)

// Verdict answers a command.
type Verdict struct {
	Seq        uint64 `cbor:"1,keyasint"`
	Answer     Answer `cbor:"2,keyasint,omitempty"`
	Fence      uint64 `cbor:"3,keyasint,omitempty"`
	Owner      Owner  `cbor:"4,keyasint,omitempty"`
	Outcome    uint8  `cbor:"5,keyasint,omitempty"`
	Result     []byte `cbor:"6,keyasint,omitempty"`
	RetryAfter int64  `cbor:"7,keyasint,omitempty"`
}
