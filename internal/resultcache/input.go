package resultcache

// Key identifies a token: the same token of another operation or tenant is another key. It holds names, as an index stands for another
// operation or tenant after a start with another configuration. The tenant is the one that the caller named, empty for none.
type Key struct {
	Operation, Tenant, Token string
}

func (k *Key) sizeBytes() int64 { return int64(len(k.Operation) + len(k.Tenant) + len(k.Token)) }

// Outcome is how a run ended.
type Outcome uint8

// The outcomes. NeverStarted proves that nothing ran; ResultNotCached is a success whose result was too large to be cached.
const (
	Succeeded Outcome = iota
	Failed
	NeverStarted
	ResultNotCached
)

// InputKind names what happened.
type InputKind uint8

// The inputs.
const (
	InvocationReceived InputKind = iota // an invocation with a token was read
	CallerDisconnected                  // its caller is gone, or was answered by its own client timeout
	WriteSucceeded                      // the record of a token is on disk
	WriteFailed                         // it could not be written
	RunEnded                            // the run of a token ended
	OutcomeResolved                     // an operator reports the outcome of an unknown run
	TokenRemoved                        // an operator removes a token
	RecordRecovered                     // a record was found on disk at the start
	RecoveryCompleted                   // all records were found
	CompletedElsewhere                  // a token that was to start here was completed at another node
	UnknownElsewhere                    // it may have run at another node, with an unknown outcome
	MismatchElsewhere                   // it came with another body at another node
	RejectedElsewhere                   // other nodes have no room for it; nothing ran
	AnswerRequired                      // a waiter has to be answered now; MayHaveRun says whether the token may have run
)

// Input is one thing that happened; only the fields of its kind are set.
type Input struct {
	Kind       InputKind
	Invocation int32 // InvocationReceived, CallerDisconnected, AnswerRequired
	Key        Key
	BodyHash   uint64  // InvocationReceived, RecordRecovered: hash of the invocation's body
	Idempotent bool    // InvocationReceived: its operation may run again though the outcome of an earlier run is unknown
	Remaining  int64   // InvocationReceived: ns of the window that are left; AnswerRequired, RejectedElsewhere: ns after which to retry
	Outcome    Outcome // RunEnded, OutcomeResolved, CompletedElsewhere; RecordRecovered where Completed
	Result     []byte  // of a run that succeeded
	Completed  bool    // RecordRecovered: the record is that of an end
	MayHaveRun bool    // AnswerRequired
}

// Record is what the store holds of a token: that its run starts, or how it ended.
type Record struct {
	Key       Key
	Indices   Indices
	BodyHash  uint64 // hash of the invocation's body
	Remaining int64  // ns of its window that are left
	Completed bool   // it is the record of an end
	Outcome   Outcome
	Result    []byte
}

// Indices are those of a key's operation and tenant in the configuration of the incarnation that wrote a record; -1 stands for no tenant.
// Earlier builds stored them alone, without the names.
type Indices struct{ Operation, Tenant int32 }
