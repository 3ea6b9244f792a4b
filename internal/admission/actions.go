package admission

// ActionKind is the kind of an action.
type ActionKind uint8

// The kinds of action.
const (
	Run                ActionKind = iota // start the run of an invocation, or resume a paused run
	Reject                               // answer with a rejection: the invocation never started
	Fail                                 // answer with a failure: the invocation may have started
	Stop                                 // stop the run of an invocation
	JoinOriginal                         // answer with the result of the invocation that this one repeats
	RecordKey                            // retain the key of an invocation, so that repetitions are recognized
	StartCall                            // start the dependency call that a run awaits
	SkipCall                             // continue a run without the dependency call that it awaits
	ReportHealth                         // answer health checks with the given result from now on
	SignalBackpressure                   // send callers a new backpressure value
	SetTimer                             // send TimerFired at the given time
	StopAccepting                        // accept no more connections; emitted by each Decide from the end of intake until the drain has finished
	Exit                                 // the drain has finished
	Release                              // the invocation has ended, and its index may be used again
)

// Action is an instruction to the host. Only the fields that belong to its kind are set. Times and durations are in
// nanoseconds.
type Action struct {
	Kind       ActionKind
	Invocation int32
	At         int64   // SetTimer: when to fire; StartCall: the deadline of the call
	Duration   int64   // Reject: Retry-After; RecordKey: retention
	Value      float64 // SignalBackpressure
	Healthy    bool    // ReportHealth
	Cached     bool    // ReportHealth: deep health checks are answered with this report too, see Config.DeepHealthChecks; always set
	NoRetry    bool    // Reject: the caller is asked not to retry elsewhere
	Reason     Reason  // Reject, Fail
	Form       Form    // Run: Complete or Reduced
	Report     string  // Exit
}

// emit appends an action to those that Decide returns.
func (c *Controller) emit(a Action) { c.actions = append(c.actions, a) }

func run(invocation int32, form Form) Action {
	return Action{Kind: Run, Invocation: invocation, Form: form}
}

func reject(invocation int32, retryAfter int64, noRetry bool, reason Reason) Action {
	return Action{Kind: Reject, Invocation: invocation, Duration: retryAfter, NoRetry: noRetry, Reason: reason}
}

func fail(invocation int32, reason Reason) Action {
	return Action{Kind: Fail, Invocation: invocation, Reason: reason}
}

func stop(invocation int32) Action {
	return Action{Kind: Stop, Invocation: invocation}
}

func joinOriginal(invocation int32) Action {
	return Action{Kind: JoinOriginal, Invocation: invocation}
}

func recordKey(invocation int32, retention int64) Action {
	return Action{Kind: RecordKey, Invocation: invocation, Duration: retention}
}

func startCall(invocation int32, deadline int64) Action {
	return Action{Kind: StartCall, Invocation: invocation, At: deadline}
}

func skipCall(invocation int32) Action {
	return Action{Kind: SkipCall, Invocation: invocation}
}

// reportHealth makes the host answer all health checks with this result, because a deep check costs the executor work.
func reportHealth(healthy bool) Action {
	return Action{Kind: ReportHealth, Healthy: healthy, Cached: true}
}

func signalBackpressure(value float64) Action {
	return Action{Kind: SignalBackpressure, Value: value}
}

func setTimer(at int64) Action {
	return Action{Kind: SetTimer, At: at}
}

func stopAccepting() Action {
	return Action{Kind: StopAccepting}
}

func exit(report string) Action {
	return Action{Kind: Exit, Report: report}
}

func release(invocation int32) Action {
	return Action{Kind: Release, Invocation: invocation}
}
