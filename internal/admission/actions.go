package admission

// ActionKind is the kind of an action.
type ActionKind uint8

// The kinds of action.
const (
	Run ActionKind = iota
	Reject
	Fail
	Stop
	JoinOriginal
	RecordKey
	StartCall
	SkipCall
	ReportHealth
	SignalBackpressure
	SetTimer
	StopAccepting // repeated until the drain has finished
	Exit          // the drain has finished
	Release       // the index of the invocation may be used again
)

// Action is something that the host is to do. Only the fields of its kind are set. Times and durations are in
// nanoseconds.
type Action struct {
	Kind       ActionKind
	Invocation int32
	At         int64   // SetTimer: when to fire; StartCall: the deadline of the call
	Duration   int64   // Reject: Retry-After; RecordKey: retention
	Value      float64 // SignalBackpressure
	Healthy    bool    // ReportHealth
	Cached     bool    // ReportHealth: checks are answered from the cached report
	NoRetry    bool    // Reject: the caller is asked not to retry elsewhere
	Reason     Reason  // Reject, Fail
	Form       Form    // Run: Complete or Reduced
	Report     string  // Exit
}

// emit appends an action to the result of Decide.
func (c *Controller) emit(a Action) { c.actions = append(c.actions, a) }

func run(invocation int32, form Form) Action {
	return Action{Kind: Run, Invocation: invocation, Form: form}
}

// reject answers an invocation that never started.
func reject(invocation int32, retryAfter int64, noRetry bool, reason Reason) Action {
	return Action{Kind: Reject, Invocation: invocation, Duration: retryAfter, NoRetry: noRetry, Reason: reason}
}

// fail answers an invocation that may have started.
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

// reportHealth has health checks answered from the report, since a deep check costs work.
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
