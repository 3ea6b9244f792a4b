package resultcache

// ActionKind names what to do.
type ActionKind uint8

// The actions. Each InvocationReceived is followed by Join or Run and later an answer, or by an answer at once, unless its caller
// disconnects. The answers are Serve, Fail, Reject, Mismatch and OutcomeUnknown.
const (
	Run            ActionKind = iota // the invocation may run, as the only one of its token
	Join                             // it waits for the run of another invocation
	Serve                            // answer with the result
	Fail                             // answer that the run failed, or that its result was not cached (ResultNotCached)
	Reject                           // reject it unrun, to be retried after RetryAfter
	Mismatch                         // answer with an error: the token came with another body before
	OutcomeUnknown                   // answer with an error: a run started before a crash, its outcome is not known
	WriteStart                       // write that a run of the key starts, to be followed by WriteSucceeded or WriteFailed
	WriteEnd                         // write how it ended, to be followed by the same
	RemoveRecord                     // the key may be removed from the store
)

// Action is one thing to do; only the fields of its kind are set.
type Action struct {
	Kind            ActionKind
	Invocation      int32
	Key             Key
	BodyHash        uint64  // WriteStart, WriteEnd
	Until           int64   // WriteStart: the end of the window
	RetryAfter      int64   // Reject
	Outcome         Outcome // WriteEnd
	Result          []byte  // Serve, WriteEnd
	FromCache       bool    // Serve, Fail: it is the result of another invocation's run
	ResultNotCached bool    // Fail: it succeeded, but the result was too large to be cached
}
