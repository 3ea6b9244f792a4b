package node

import (
	"fmt"
	"strconv"

	"topazpost/internal/admission"
	"topazpost/internal/fleet/claims"
	"topazpost/internal/protocol/lineprotocol"
)

// Timing of the executor's link, in nanoseconds.
const (
	minRedialBackoff       = 2 * ms
	maxRedialBackoff       = 500 * ms
	executorSilenceTimeout = 2_000 * ms // without a line, though gauges are requested at each tick
)

// executorState is the connection to the executor. A link is dialed, joined, welcomed, and synced once all notices that
// earlier links missed were received. Commands are sent on a synced link only.
type executorState struct {
	sm *StateMachine

	link          int // the open link, 0 without one
	dialingLink   int // the link being dialed, 0 without one
	welcomedLink  int // the last link that the executor welcomed
	synced        bool
	lastNotice    int   // number of the last notice applied
	lastLineAt    int64 // when the link was opened or last brought a line
	redialAt      int64
	redialBackoff int64
	commands      commandLog
	gauges        gauges
}

func newExecutorState(sm *StateMachine) executorState {
	return executorState{sm: sm, redialBackoff: minRedialBackoff, gauges: newGauges()}
}

// isConnected reports whether a link is open, welcomed or not.
func (x *executorState) isConnected() bool { return x.link != 0 }

func (x *executorState) isWelcomed() bool { return x.isConnected() && x.welcomedLink == x.link }

// isSynced reports whether the link carries commands.
func (x *executorState) isSynced() bool { return x.synced }

func (x *executorState) isDisconnected() bool { return x.link == 0 && x.dialingLink == 0 }

// apply handles an input of one of the executor's links; those of abandoned links are ignored.
func (x *executorState) apply(in *Input) {
	switch in.Kind {
	case ExecutorConnected:
		x.connected(in.Link)
	case ExecutorDisconnected:
		if in.Link == x.link || in.Link == x.dialingLink {
			x.disconnected(in.Err)
		}
	case ExecutorLineReceived:
		if in.Link == x.link {
			x.lineReceived(in.Line)
		}
	}
}

// connected joins on a new link. Nothing else is sent before the welcome: an executor that is still starting carries out
// no command, not even a request for gauges.
func (x *executorState) connected(link int) {
	if link != x.dialingLink { // to an earlier address
		x.sm.emit(Effect{Kind: CloseExecutor, Link: link})
		return
	}
	x.sm.Counters.ExecutorLinks++
	x.link = link
	x.dialingLink = 0
	x.synced = false
	x.redialAt = never
	x.lastLineAt = x.sm.now
	x.send("JOIN", strconv.Itoa(x.lastNotice))
}

// disconnected schedules the next dial after a link ended or could not be opened.
func (x *executorState) disconnected(err error) {
	x.sm.log(Info, "executor link ended", "", err)
	x.reset()
	x.redialAt = x.sm.now + x.redialBackoff
	x.redialBackoff = min(2*x.redialBackoff, maxRedialBackoff)
}

// reset drops the current link, open or being dialed, and fails what depends on it.
func (x *executorState) reset() {
	x.link = 0
	x.dialingLink = 0
	x.synced = false
	x.sm.health.failDeepChecks()
}

// addressChanged leaves the link for the new address at once. The next join asks for all notices missed on it.
func (x *executorState) addressChanged() {
	x.sm.emit(Effect{Kind: CloseExecutor, Link: max(x.link, x.dialingLink)})
	x.reset()
	x.redialAt = x.sm.now
	x.redialBackoff = minRedialBackoff
}

func (x *executorState) dialIfDue() {
	if x.isDisconnected() && x.sm.now >= x.redialAt {
		x.dialingLink = x.sm.nextLink()
		x.sm.emit(Effect{Kind: DialExecutor, Link: x.dialingLink, Address: x.sm.addresses.Executor})
	}
}

// closeIfSilent reopens a link without lines. One that was never welcomed may be half open, or the executor late: a new
// link costs little, and waiting on a dead one would keep the node from serving.
func (x *executorState) closeIfSilent() {
	if !x.isConnected() || x.sm.now-x.lastLineAt < executorSilenceTimeout {
		return
	}
	if x.isWelcomed() {
		x.sm.log(Warn, "executor link is silent, opened anew", "", nil)
	} else {
		x.sm.log(Info, "executor has not welcomed the link, opened anew", "", nil)
	}
	x.sm.emit(Effect{Kind: CloseExecutor, Link: x.link})
	x.reset()
	x.redialAt = x.sm.now + x.redialBackoff
}

// dueAt is when the next of the link's timers is due.
func (x *executorState) dueAt() int64 {
	switch {
	case x.isDisconnected():
		return x.redialAt
	case !x.isConnected():
		return never
	case x.isWelcomed():
		return min(x.lastLineAt+executorSilenceTimeout, x.gauges.requestAt)
	}
	return x.lastLineAt + executorSilenceTimeout
}

// send writes a command that is of no use on a later link.
func (x *executorState) send(words ...string) {
	x.sm.emit(Effect{Kind: SendToExecutor, Link: x.link, Bytes: lineprotocol.Append(nil, words...)})
}

func (x *executorState) lineReceived(line lineprotocol.Line) {
	x.lastLineAt = x.sm.now
	if err := x.applyLine(line.Words, line.Body); err != nil {
		x.sm.log(Warn, "executor can't be understood", "", err)
		x.sm.emit(Effect{Kind: CloseExecutor, Link: x.link})
	}
}

func (x *executorState) applyLine(words []string, body []byte) error {
	count := len(words)
	switch words[0] {
	case "WELCOME":
		if count == 3 && (words[1] == "new" || words[1] == "old") {
			x.welcomed(words[1], words[2])
			return nil
		}
	case "METERS":
		if count == 2+len(x.sm.config.Gauges) {
			return x.gaugesReceived(words[1], words[2:])
		}
	case "DIAGNOSED":
		if count == 3 {
			x.sm.health.deepCheckFinished(words[1], words[2] == "good")
			return nil
		}
	case "BAD":
		if count >= 2 {
			x.commandRefused(words[1], words[count-1])
			return nil
		}
	case "EXIT":
		if count == 6 {
			return x.noticeReceived(words, body)
		}
	case "CALLOUT":
		if count == 4 {
			return x.noticeReceived(words, body)
		}
	case "LOG":
		return x.noticeReceived(words, body)
	}
	return fmt.Errorf("line %q", words)
}

// welcomed starts the controller at the executor's first welcome: its state and age are those of the cores. The notices
// after the last one applied follow the welcome; the gauges requested here prove that all of them were received.
func (x *executorState) welcomed(state, age string) {
	x.welcomedLink = x.link
	x.send("METER", x.syncTag())
	if x.sm.controller != nil || x.sm.drain.isExitPending() { // the latter: too late for a node that is exiting
		return
	}
	ageMS, err := strconv.ParseFloat(age, 64)
	if err != nil || ageMS < 0 {
		ageMS = 0
	}
	x.sm.startController(state == "new", x.sm.now-int64(ageMS*float64(ms)))
	x.sm.log(Info, "executor is up, serving", state, nil)
}

// noticeReceived applies a numbered notice once. On a synced link none may be missing.
func (x *executorState) noticeReceived(words []string, body []byte) error {
	number := noticeNumber(words)
	if number <= 0 || number > x.lastNotice+1 && x.synced { // the next link brings those between
		return fmt.Errorf("notice %d after %d", number, x.lastNotice)
	}
	if number <= x.lastNotice {
		return nil
	}
	x.lastNotice = number
	switch words[0] {
	case "EXIT":
		return x.runExited(words[2], words[3], body)
	case "CALLOUT":
		x.callRequested(words[2], body)
	}
	return nil
}

// noticeNumber is a notice's number, or -1 without a valid one.
func noticeNumber(words []string) int {
	if len(words) < 2 {
		return -1
	}
	number, err := strconv.Atoi(words[1])
	if err != nil {
		return -1
	}
	return number
}

// outcomeByWord maps the executor's words for the end of a run.
var outcomeByWord = map[string]admission.Outcome{
	"good": admission.Succeeded, "bad": admission.Errored, "cut": admission.Stopped, "gone": admission.NeverStarted,
}

// runExited answers an invocation with the outcome of its run, unless it was answered before.
func (x *executorState) runExited(invocationID, word string, body []byte) error {
	outcome, known := outcomeByWord[word]
	if !known {
		return fmt.Errorf("end %q", word)
	}
	sm := x.sm
	i, v := sm.findInvocation(invocationID)
	if v == nil { // released before it ended, or started by an earlier incarnation of this node
		if outcome <= admission.Errored {
			sm.addClaimInput(claims.Input{Kind: claims.EarlierRunEnded, InvocationID: invocationID, Outcome: uint8(outcome), Result: body})
		}
		return nil
	}
	x.commands.acknowledgeInvocation(v.invocationID)
	if v.inCache {
		sm.tokenRunEnded(i, outcome, body)
		return nil
	}
	if !v.answered {
		if outcome == admission.Succeeded {
			sm.succeed(i, body)
		} else {
			sm.fail(i)
		}
	}
	sm.events = append(sm.events, admission.Event{Kind: admission.RunEnded, Invocation: i, Outcome: outcome})
	return nil
}

// callRequested passes on that a run waits for a call to the dependency.
func (x *executorState) callRequested(invocationID string, body []byte) {
	sm := x.sm
	i, v := sm.findInvocation(invocationID)
	if v == nil {
		return
	}
	x.commands.acknowledgeInvocation(v.invocationID)
	v.callRequest = body
	sm.leases.requestStep(sm.now) // the demand for leases has grown
	sm.events = append(sm.events, admission.Event{Kind: admission.CallRequested, Invocation: i})
}

// commandRefused ends a run that could not start: nothing ran, and the connection that brought it is at fault. A refused
// reply to a call is a duplicate of one that the executor had read before.
func (x *executorState) commandRefused(name, invocationID string) {
	sm := x.sm
	sm.log(Warn, "executor did not carry out a command", invocationID, nil)
	i, v := sm.findInvocation(invocationID)
	if v == nil || name != "EXEC" {
		return
	}
	if v.inCache {
		sm.tokenRunEnded(i, admission.NeverStarted, nil)
		return
	}
	if !v.answered {
		link := v.connectionLink
		sm.fail(i)
		if c := sm.connections.get(link); c != nil {
			sm.connections.countFault(c)
		}
	}
	sm.events = append(sm.events, admission.Event{Kind: admission.RunEnded, Invocation: i, Outcome: admission.NeverStarted})
}
