package node

import (
	"fmt"
	"strconv"

	"topazpost/internal/admission"
	"topazpost/internal/fleet/claims"
	"topazpost/internal/protocol/lineprotocol"
)

// Timeouts of the executor's link, in nanoseconds.
const (
	minRedialBackoff       = 2 * ms
	maxRedialBackoff       = 500 * ms
	executorSilenceTimeout = 2_000 * ms // without a line; each tick requests gauges, which the executor answers
)

// executorState manages the links to the executor, of which at most one is current. The node dials a link and sends JOIN with
// the number of the last notice that it applied. Notices are the numbered lines EXIT, CALLOUT and LOG, which the executor keeps.
// The executor answers WELCOME and repeats the later notices. The link is synced when all of them have been received. The commands
// of invocations, EXEC and RETURN, are sent on a synced link only; requests for gauges are sent after the welcome.
type executorState struct {
	sm *StateMachine

	link          int // the open link, 0 if there is none
	dialingLink   int // the link being dialed, 0 if there is none
	welcomedLink  int // the last link that the executor welcomed
	synced        bool
	lastNotice    int   // number of the last notice applied
	lastLineAt    int64 // when the link was opened or last received a line
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

// isSynced reports whether commands of invocations can be sent on the link.
func (x *executorState) isSynced() bool { return x.synced }

func (x *executorState) isDisconnected() bool { return x.link == 0 && x.dialingLink == 0 }

// apply handles an input of one of the executor's links. Inputs of links that are no longer current are ignored.
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

// connected sends JOIN on a new link, and nothing else before the welcome: an executor that is still starting carries out
// no command, not even a request for gauges.
func (x *executorState) connected(link int) {
	if link != x.dialingLink { // dialed to an earlier address
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
	x.sm.log(Info, "executor link ended; dialing again after a backoff", "", err)
	x.reset()
	x.redialAt = x.sm.now + x.redialBackoff
	x.redialBackoff = min(2*x.redialBackoff, maxRedialBackoff)
}

// reset drops the current link, open or being dialed, and fails the deep health checks in progress.
func (x *executorState) reset() {
	x.link = 0
	x.dialingLink = 0
	x.synced = false
	x.sm.health.failDeepChecks()
}

// addressChanged closes the link and dials the new address at once. The notices that the old link did not deliver follow
// the next JOIN.
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

// closeIfSilent closes a link that has received no line for executorSilenceTimeout, to be dialed again. A link that was never
// welcomed may be half open, or the executor may be slow. Dialing again costs little, while waiting on a dead link would keep
// the node from serving.
func (x *executorState) closeIfSilent() {
	if !x.isConnected() || x.sm.now-x.lastLineAt < executorSilenceTimeout {
		return
	}
	if x.isWelcomed() {
		x.sm.log(Warn, "executor link is silent; closing it and dialing again", "", nil)
	} else {
		x.sm.log(Info, "executor has not welcomed the link; closing it and dialing again", "", nil)
	}
	x.sm.emit(Effect{Kind: CloseExecutor, Link: x.link})
	x.reset()
	x.redialAt = x.sm.now + x.redialBackoff
}

// dueAt returns when the link's next timer is due.
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

// send writes a command that is not repeated on a later link.
func (x *executorState) send(words ...string) {
	x.sm.emit(Effect{Kind: SendToExecutor, Link: x.link, Bytes: lineprotocol.Append(nil, words...)})
}

func (x *executorState) lineReceived(line lineprotocol.Line) {
	x.lastLineAt = x.sm.now
	if err := x.applyLine(line.Words, line.Body); err != nil {
		x.sm.log(Warn, "executor sent a line that can't be applied; closing its link", "", err)
		x.sm.emit(Effect{Kind: CloseExecutor, Link: x.link})
	}
}

// applyLine applies a line of the executor:
//
//	WELCOME new|old age-ms
//	METERS tag gauge...
//	DIAGNOSED tag good|bad
//	BAD command [word...] invocation-id
//	EXIT number invocation-id outcome unused body-length, with the result as its body
//	CALLOUT number invocation-id body-length, with the body of the call
//	LOG number word...
//
// Lines that can't be applied are errors.
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
	return fmt.Errorf("node: unknown or malformed line of the executor: %q", words)
}

// welcomed has the controller start at the executor's first welcome. The state is "new" if the executor has just started, so that the
// controller starts cold; the age is the time since the executor's start in milliseconds. The executor sends the missed notices
// after the welcome and before it answers the request for gauges sent here, so that the answer proves that all of them were
// received.
func (x *executorState) welcomed(state, age string) {
	x.welcomedLink = x.link
	x.send("METER", x.syncTag())
	if x.sm.controller != nil {
		return
	}
	ageMS, err := strconv.ParseFloat(age, 64)
	if err != nil || ageMS < 0 {
		ageMS = 0
	}
	x.sm.startup.executorWelcomed(state, x.sm.now-int64(ageMS*float64(ms)))
	x.sm.startIfReady()
}

// noticeReceived applies a numbered notice unless it was applied before. A missing or malformed number, taken as -1, is an error.
// On a synced link a gap in the numbers is an error too.
func (x *executorState) noticeReceived(words []string, body []byte) error {
	number := noticeNumber(words)
	if number <= 0 || number > x.lastNotice+1 && x.synced { // the caller closes the link; the executor repeats missing notices on the next one
		return fmt.Errorf("node: executor sent notice %d after notice %d, expected the next number", number, x.lastNotice)
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

// noticeNumber returns the number of a notice, or -1 where it is missing or malformed.
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

// outcomeByWord maps the words by which the executor reports the end of a run.
var outcomeByWord = map[string]admission.Outcome{
	"good": admission.Succeeded, "bad": admission.Errored, "cut": admission.Stopped, "gone": admission.NeverStarted,
}

// runExited answers an invocation with the outcome of its run, unless it was answered before, and notifies the controller.
func (x *executorState) runExited(invocationID, word string, body []byte) error {
	outcome, known := outcomeByWord[word]
	if !known {
		return fmt.Errorf("node: executor reported unknown outcome %q of a run, expected good, bad, cut or gone", word)
	}
	sm := x.sm
	i, v := sm.findInvocation(invocationID)
	if v == nil || v.runHolder == notHeld { // the run was started by an earlier incarnation of this node
		if outcome <= admission.Errored { // Succeeded or Errored: the run took place
			sm.addClaimInput(claims.Input{Kind: claims.EarlierRunEnded, InvocationID: invocationID, Outcome: uint8(outcome), Result: body})
		}
		return nil
	}
	if v.runHolder != heldByExecutor { // its end was told before
		return nil
	}
	x.commands.acknowledgeInvocation(v.invocationID)
	if !v.submittedToCache && !v.answered {
		if outcome == admission.Succeeded {
			sm.succeed(i, body)
		} else {
			sm.fail(i)
		}
	}
	sm.executorRunEnded(i, outcome, body)
	return nil
}

// callRequested notifies the controller that a run waits for a call to the catalogue.
func (x *executorState) callRequested(invocationID string, body []byte) {
	sm := x.sm
	i, v := sm.findInvocation(invocationID)
	if v == nil || v.runHolder != heldByExecutor {
		return
	}
	x.commands.acknowledgeInvocation(v.invocationID)
	v.callRequest = body
	sm.leases.requestStep(sm.now) // the demand for calls has grown
	sm.events = append(sm.events, admission.Event{Kind: admission.CallRequested, Invocation: i})
}

// commandRefused handles a command that the executor refused. A refused EXEC means that nothing ran; it counts as a fault of
// the invocation's connection. A refused RETURN needs no action: the executor had already read the reply from an earlier link.
func (x *executorState) commandRefused(name, invocationID string) {
	sm := x.sm
	sm.log(Warn, "executor refused a command", invocationID, nil)
	i, v := sm.findInvocation(invocationID)
	if v == nil || v.runHolder != heldByExecutor || name != "EXEC" {
		return
	}
	x.commands.acknowledgeInvocation(v.invocationID)
	if !v.submittedToCache && !v.answered {
		link := v.connectionLink
		sm.fail(i)
		if c := sm.connections.get(link); c != nil {
			sm.connections.countFault(c)
		}
	}
	sm.executorRunEnded(i, admission.NeverStarted, nil)
}
