package node

import "strconv"

// maxUnacknowledgedCommands bounds the command log: two commands, EXEC and RETURN, for each invocation that 1,024 connections with
// maxOpenStreams each can hold.
const maxUnacknowledgedCommands = 65_536

// command is an encoded EXEC or RETURN that the executor may not have read.
type command struct {
	sequence        int
	invocationIndex int32
	invocationID    string
	bytes           []byte
}

// commandLog holds the commands that the executor has not acknowledged, in the order in which they were sent. They are sent again on a new
// link.
type commandLog struct {
	unacknowledged        []command
	sequence              int // of the last command
	gaugesRequestSequence int // of the last command when gauges were last requested on this link
}

// add appends a command under the next sequence number.
func (l *commandLog) add(invocation int32, invocationID string, bytes []byte) {
	l.sequence++
	l.unacknowledged = append(l.unacknowledged, command{l.sequence, invocation, invocationID, bytes})
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
func (x *executorState) sendCommand(i int32, bytes []byte) {
	x.commands.add(i, x.sm.invocations[i].invocationID, bytes)
	x.sm.Invariants.Check(len(x.commands.unacknowledged) <= maxUnacknowledgedCommands, "unacknowledged commands are bounded")
	if x.synced {
		x.sm.emit(Effect{Kind: SendToExecutor, Link: x.link, Bytes: bytes})
	}
}

// resendCommands sends the logged commands that are still needed, on a link that has just synced.
func (x *executorState) resendCommands() {
	for i := range x.commands.unacknowledged {
		if c := &x.commands.unacknowledged[i]; x.isNeeded(c) {
			x.sm.emit(Effect{Kind: SendToExecutor, Link: x.link, Bytes: c.bytes})
		}
	}
}

// isNeeded reports whether the invocation of a command still needs it. The run of an abandoned invocation goes on for the duplicates that
// wait for its result.
func (x *executorState) isNeeded(c *command) bool {
	v := &x.sm.invocations[c.invocationIndex]
	return v.live && (!v.answered || v.abandoned) && v.invocationID == c.invocationID
}

// unacknowledgedCommands returns the number of commands that are not acknowledged.
func (x *executorState) unacknowledgedCommands() int { return len(x.commands.unacknowledged) }

// syncTag returns the tag of the request for gauges that follows the executor's welcome on the current link. The answer shows that all
// notices that were missed are received; only then the link is synced and carries commands.
func (x *executorState) syncTag() string { return "j" + strconv.Itoa(x.link) }
