package simwire

import "topazpost/internal/admission"

// Messages that concern a batch or the life of an instance, as the simulator spells them.
const (
	Clock        = "MARK"            // the time at which the batch is decided
	EndOfBatch   = "EOB"             // the input of a batch is complete
	Target       = "TARGET_INSTANCE" // the instance that the following lines are for
	StartMessage = "PROVISION"       // the target starts with the settings of the line
	CrashMessage = "CRASH_NOW"       // the target ends without notice
	ReplyTarget  = "AT"              // the instance that decided the following actions
	EndOfReply   = "FINISHED"        // the reply to a batch is complete
	FatalError   = "BAIL_OUT"        // the adapter can't go on
)

// Events, as the simulator spells them.
const (
	arrivalMessage      = "WORK_ITEM"
	drainMessage        = "TERMINATE_SOON"
	timerMessage        = "DUE"
	disconnectedMessage = "CANCELLED_BY_CLIENT"
	callRequestMessage  = "BLOCKED"
	callEndedMessage    = "CAME_BACK"
	runEndedMessage     = "WORK_DONE"
)

// Actions, as the simulator spells them.
const (
	runMessage          = "DISPATCH"
	rejectMessage       = "SAY_NO"
	failMessage         = "FINISH_ERROR"
	stopMessage         = "YANK"
	joinOriginalMessage = "REUSE"
	recordKeyMessage    = "RECORD_KEY"
	startCallMessage    = "GO_CALL"
	skipCallMessage     = "FALL_BACK"
	reportHealthMessage = "FITNESS"
	backpressureMessage = "SIGNAL"
	setTimerMessage     = "REMIND"
	exitMessage         = "TRACE"
)

const (
	noValue   = "-" // of a field that is not set
	separator = "\t"
)

// Flags of an arrival.
const (
	expectedWorkFlag = 1 << iota
	retryFlag
	writeFlag
)

// Gauges that the controller uses.
const (
	busyShareGauge       = "cpu_busy"
	runnableThreadsGauge = "runnable"
)

// outcomes maps the wire's outcomes of runs and calls.
var outcomes = map[string]admission.Outcome{
	"success":     admission.Succeeded,
	"failure":     admission.Errored,
	"overloaded":  admission.Overloaded,
	"timed_out":   admission.TimedOut,
	"unreachable": admission.Unreachable,
	"broken":      admission.ConnectionBroken,
	"withdrawn":   admission.Stopped,
	"void":        admission.NeverStarted,
}
