package node

import (
	"strconv"

	"topazpost/internal/admission"
)

// maxUnacknowledgedCommands bounds the command log: two commands, EXEC and RETURN, for each invocation that 1,024 connections with
// maxOpenStreams each can hold.
const maxUnacknowledgedCommands = 65_536

// commandKind is the kind of a command that is logged.
type commandKind uint8

const (
	execCommand   commandKind = iota // EXEC, starts the run of an invocation
	returnCommand                    // RETURN, carries the reply to the call that a run waits for
)

// command is an encoded EXEC or RETURN that the executor may not have read.
type command struct {
	kind            commandKind
	sequence        int
	invocationIndex int32
	invocationID    string
	sent            bool // on some link, so that the executor may have read it
	bytes           []byte
}

// commandLog holds the commands that the executor has not acknowledged, in the order in which they were sent. They are sent again on a new
// link. A run takes up its slot at the admission controller until the executor has told its end, so an EXEC that the executor may have read
// stays in the log until then, whatever has become of its invocation.
type commandLog struct {
	unacknowledged        []command
	sequence              int // of the last command
	gaugesRequestSequence int // of the last command when gauges were last requested on this link
}

// add appends a command under the next sequence number, which it sets.
func (l *commandLog) add(c command) {
	l.sequence++
	c.sequence = l.sequence
	l.unacknowledged = append(l.unacknowledged, c)
}

// acknowledgeInvocation drops the commands of an invocation after a notice of the executor about it, which proves that they were read.
func (l *commandLog) acknowledgeInvocation(invocationID string) {
	l.acknowledge(func(c *command) bool { return c.invocationID == invocationID })
}

// acknowledgeUpTo drops the commands up to a sequence number. The answer to a request for gauges that followed them proves that they were
// read.
func (l *commandLog) acknowledgeUpTo(sequence int) {
	l.acknowledge(func(c *command) bool { return c.sequence <= sequence })
}

// acknowledge drops the commands for which isRead returns true.
func (l *commandLog) acknowledge(isRead func(c *command) bool) {
	kept := l.unacknowledged[:0]
	for i := range l.unacknowledged {
		if !isRead(&l.unacknowledged[i]) {
			kept = append(kept, l.unacknowledged[i])
		}
	}
	clear(l.unacknowledged[len(kept):])
	l.unacknowledged = kept
}

// sendCommand sends a command to the executor, and logs it until the executor acknowledges it. Before the link is synced the command is
// only logged.
func (x *executorState) sendCommand(kind commandKind, i int32, bytes []byte) {
	x.commands.add(command{kind: kind, invocationIndex: i, invocationID: x.sm.invocations[i].invocationID, sent: x.synced, bytes: bytes})
	x.sm.Invariants.Check(len(x.commands.unacknowledged) <= maxUnacknowledgedCommands, "unacknowledged commands are bounded")
	if x.synced {
		x.sm.emit(Effect{Kind: SendToExecutor, Link: x.link, Bytes: bytes})
	}
}

// resendCommands sends the logged commands on a link that has just synced, but for those of no use. An EXEC of the last link may or may not
// have been read. It is sent again also if its invocation was answered since, as the executor answers with the end of the run in both
// cases. An EXEC that was never sent is withdrawn with its invocation, and its run ends here, because the executor knows nothing of it.
// A RETURN is not sent for an invocation that was answered, as the executor ends such a run at its call.
func (x *executorState) resendCommands() {
	var withdrawn []int32
	x.commands.acknowledge(func(c *command) bool {
		mayRun := c.kind == execCommand && c.sent
		if !mayRun && !x.isNeeded(c) {
			if c.kind == execCommand {
				withdrawn = append(withdrawn, c.invocationIndex)
			}
			return true
		}
		c.sent = true
		x.sm.emit(Effect{Kind: SendToExecutor, Link: x.link, Bytes: c.bytes})
		return false
	})
	for _, i := range withdrawn {
		x.sm.executorRunEnded(i, admission.NeverStarted, nil)
	}
}

// isNeeded reports whether the invocation of a command still needs its run. The run of an abandoned invocation goes on for the duplicates
// that wait for its result.
func (x *executorState) isNeeded(c *command) bool {
	v := &x.sm.invocations[c.invocationIndex]
	return !v.answered || v.abandoned
}

// unacknowledgedCommands returns the number of commands that are not acknowledged.
func (x *executorState) unacknowledgedCommands() int { return len(x.commands.unacknowledged) }

// syncTag returns the tag of the request for gauges that follows the executor's welcome on the current link. The answer shows that all
// notices that were missed are received; only then the link is synced and carries commands.
func (x *executorState) syncTag() string { return "j" + strconv.Itoa(x.link) }
