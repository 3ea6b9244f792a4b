package node

import (
	"fmt"
	"maps"
	"slices"
	"strconv"

	"topazpost/internal/admission"
	"topazpost/internal/fleet/claims"
	"topazpost/internal/protocol/lineprotocol"
)

const (
	minRedialBackoff       = 2 * ms     // ns to the first new try at a link that ended
	maxRedialBackoff       = 500 * ms   // ns to any further try
	executorSilenceTimeout = 2_000 * ms // ns without a line of the executor, asked for gauges each beat, past which its link is opened anew
	maxUnreadCommands      = 65_536     // commands not known to be read: two for each invocation that connections can hold
)

// command is one that the executor may not have read.
type command struct {
	sequence   int
	invocation int32
	call       string
	bytes      []byte
}

var outcomeByWord = map[string]admission.Outcome{
	"good": admission.Succeeded, "bad": admission.Errored, "cut": admission.Stopped, "gone": admission.NeverStarted,
}

// executorConnected starts on a new link. It is told of nothing more before its welcome: an executor that is not up yet
// carries out no command, that for the gauges included.
func (sm *StateMachine) executorConnected(link int) {
	if link != sm.dialingLink { // to an address of before
		sm.emit(Effect{Kind: CloseExecutor, Link: link})
		return
	}
	sm.Counters.ExecutorLinks++
	sm.executorLink, sm.dialingLink, sm.executorSynced, sm.redialAt, sm.executorHeardAt = link, 0, false, never, sm.now
	sm.sendToExecutor("JOIN", strconv.Itoa(sm.lastNotice))
}

func (sm *StateMachine) applyExecutorInput(in *Input) {
	if in.Kind == ExecutorDisconnected {
		sm.log(Info, "executor link ended", "", in.Err)
		sm.disconnectExecutor()
		sm.redialAt = sm.now + sm.redialBackoff
		sm.redialBackoff = min(2*sm.redialBackoff, maxRedialBackoff)
		return
	}
	sm.executorHeardAt = sm.now
	if err := sm.applyExecutorLine(in.Line.Words, in.Line.Body); err != nil {
		sm.log(Warn, "executor can't be understood", "", err)
		sm.emit(Effect{Kind: CloseExecutor, Link: sm.executorLink})
	}
}

// disconnectExecutor forgets the link of now, open or being opened.
func (sm *StateMachine) disconnectExecutor() {
	sm.executorLink, sm.dialingLink, sm.executorSynced = 0, 0, false
	for _, tag := range slices.Sorted(maps.Keys(sm.deepChecks)) {
		sm.deepCheckFinished(tag, false)
	}
}

func (sm *StateMachine) applyExecutorLine(words []string, body []byte) error {
	number := func(k int) int {
		if k < len(words) {
			if n, err := strconv.Atoi(words[k]); err == nil {
				return n
			}
		}
		return -1
	}
	switch word := words[0]; {
	case word == "WELCOME" && len(words) == 3 && (words[1] == "new" || words[1] == "old"):
		sm.applyWelcome(words)
		return nil
	case word == "METERS" && len(words) == 2+len(sm.config.Gauges):
		return sm.applyGauges(words)
	case word == "DIAGNOSED" && len(words) == 3:
		sm.deepCheckFinished(words[1], words[2] == "good")
		return nil
	case word == "BAD" && len(words) >= 2:
		sm.commandRefused(words)
		return nil
	case word == "EXIT" && len(words) == 6 || word == "CALLOUT" && len(words) == 4 || word == "LOG":
		n := number(1)
		if n <= 0 || n > sm.lastNotice+1 && sm.executorSynced { // the next link brings those between
			return fmt.Errorf("notice %d after %d", n, sm.lastNotice)
		}
		if n <= sm.lastNotice {
			return nil // taken before
		}
		sm.lastNotice = n
		switch word {
		case "EXIT":
			return sm.runExited(words, body)
		case "CALLOUT":
			sm.callRequested(words[2], body)
		}
		return nil
	}
	return fmt.Errorf("line %q", words)
}

// applyWelcome starts the module when the executor is first heard of: its state and age are those of the cores.
// The notices after the last one taken follow it; the gauges asked for now tell when all of them are in.
func (sm *StateMachine) applyWelcome(words []string) {
	sm.welcomedLink = sm.executorLink
	sm.sendToExecutor("METER", sm.syncTag())
	if sm.controller != nil || sm.exited { // the latter: it came too late for a node that is leaving
		return
	}
	age, err := strconv.ParseFloat(words[2], 64)
	if err != nil || age < 0 {
		age = 0
	}
	sm.config.Node.ColdStart, sm.config.Node.ProcessStart = words[1] == "new", sm.startedAt
	sm.controller = sm.Decisions(&sm.config.Node, sm.now-int64(age*float64(ms)))
	sm.healthy, sm.timerAt = true, sm.now
	if sm.degradation.plan != nil {
		sm.events = append(sm.events, sm.degradation.event())
	}
	sm.log(Info, "executor is up, serving", words[1], nil)
}

// runExited answers with what the run came to, if that is still owed.
func (sm *StateMachine) runExited(words []string, body []byte) error {
	outcome, known := outcomeByWord[words[3]]
	if !known {
		return fmt.Errorf("end %q", words[3])
	}
	i, v := sm.findInvocation(words[2])
	if v == nil { // given up and forgotten before it ended, or begun by an earlier life of this node
		if outcome <= admission.Errored {
			sm.addClaimInput(claims.Input{Kind: claims.EarlierRunEnded, InvocationID: words[2], Outcome: uint8(outcome), Result: body})
		}
		return nil
	}
	sm.acknowledgeCommands(func(c *command) bool { return c.call == v.call })
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

func (sm *StateMachine) callRequested(call string, body []byte) {
	if i, v := sm.findInvocation(call); v != nil {
		sm.acknowledgeCommands(func(c *command) bool { return c.call == v.call })
		v.callRequest = body
		sm.leases.at = sm.now // it is a need for one more
		sm.events = append(sm.events, admission.Event{Kind: admission.CallRequested, Invocation: i})
	}
}

// commandRefused ends a run that could not start: nothing ran, and the connection that brought it is at fault. A
// refused reply to a call was read twice.
func (sm *StateMachine) commandRefused(words []string) {
	sm.log(Warn, "executor did not carry out a command", words[len(words)-1], nil)
	if i, v := sm.findInvocation(words[len(words)-1]); v != nil && words[1] == "EXEC" {
		if v.inCache {
			sm.tokenRunEnded(i, admission.NeverStarted, nil)
			return
		}
		if !v.answered {
			link := v.connection
			sm.fail(i)
			if c := sm.connections[link]; c != nil {
				sm.countFault(link, c)
			}
		}
		sm.events = append(sm.events, admission.Event{Kind: admission.RunEnded, Invocation: i, Outcome: admission.NeverStarted})
	}
}

func (sm *StateMachine) syncTag() string { return "j" + strconv.Itoa(sm.executorLink) }

// sendToExecutor writes a command that is worth nothing on a later link.
func (sm *StateMachine) sendToExecutor(words ...string) {
	sm.emit(Effect{Kind: SendToExecutor, Link: sm.executorLink, Bytes: lineprotocol.Append(nil, words...)})
}

// sendCommand writes a command that must be read; it is kept until the executor is known to have read it.
func (sm *StateMachine) sendCommand(i int32, bytes []byte) {
	sm.commandSequence++
	sm.unreadCommands = append(sm.unreadCommands, command{sm.commandSequence, i, sm.invocations[i].call, bytes})
	sm.Invariants.Check(len(sm.unreadCommands) <= maxUnreadCommands, "commands not known to be read are bounded")
	if sm.executorSynced {
		sm.emit(Effect{Kind: SendToExecutor, Link: sm.executorLink, Bytes: bytes})
	}
}

func (sm *StateMachine) isCurrent(c *command) bool {
	v := &sm.invocations[c.invocation]
	return v.live && (!v.answered || v.abandoned) && v.call == c.call
}

// acknowledgeCommands drops the commands that are known to have been read.
func (sm *StateMachine) acknowledgeCommands(read func(c *command) bool) {
	kept := sm.unreadCommands[:0]
	for i := range sm.unreadCommands {
		if !read(&sm.unreadCommands[i]) {
			kept = append(kept, sm.unreadCommands[i])
		}
	}
	clear(sm.unreadCommands[len(kept):])
	sm.unreadCommands = kept
}

// requestGauges asks for the gauges with the number of the last command: the answer proves that it was read. Until
// the missed notices are known to be in it asks for that, again and again: one that is refused would else keep
// every command back.
func (sm *StateMachine) requestGauges() {
	tag := sm.syncTag()
	if sm.executorSynced {
		tag, sm.gaugesSequence = "m"+strconv.Itoa(sm.commandSequence), sm.commandSequence
	}
	sm.sendToExecutor("METER", tag)
}

// requestProof asks for the gauges behind new commands, so that at a break only those of the last round trip are in
// doubt. Guards against a reply to a call told twice, which a run at its next call would take for that one's.
func (sm *StateMachine) requestProof() {
	if sm.executorSynced && sm.commandSequence > sm.gaugesSequence {
		sm.requestGauges()
	}
}

func (sm *StateMachine) applyGauges(words []string) error {
	tag := words[1]
	for k, name := range sm.config.Gauges {
		v, err := strconv.ParseFloat(words[2+k], 64)
		if err != nil {
			return fmt.Errorf("gauge %s: %w", name, err)
		}
		switch name {
		case "cpu_busy":
			sm.busyShare = v
		case "runnable":
			sm.runnableThreads = v
		}
	}
	if sm.gaugesReceivedAt = sm.now; sm.controller != nil && sm.executorSynced {
		sm.events = append(sm.events, admission.Event{Kind: admission.TimerFired, BusyShare: sm.busyShare, RunnableThreads: sm.runnableThreads})
	}
	if tag == sm.syncTag() && !sm.executorSynced {
		sm.executorSynced, sm.gaugesSequence = true, 0
		for i := range sm.unreadCommands {
			if c := &sm.unreadCommands[i]; sm.isCurrent(c) {
				sm.emit(Effect{Kind: SendToExecutor, Link: sm.executorLink, Bytes: c.bytes})
			}
		}
	} else if seq, err := strconv.Atoi(tag[1:]); tag[0] == 'm' && err == nil {
		sm.redialBackoff = minRedialBackoff // the link has lived for some beats
		sm.acknowledgeCommands(func(c *command) bool { return c.sequence <= seq })
	}
	return nil
}
