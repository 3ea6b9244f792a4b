package node

import "strconv"

// maxUnacknowledgedCommands bounds the commands not acknowledged: two for each invocation that the connections can hold.
const maxUnacknowledgedCommands = 65_536

// command is one that the executor may not have read.
type command struct {
	sequence     int
	invocation   int32
	invocationID string
	bytes        []byte
}

// commandLog is the commands that the executor is not known to have read, in order. They are sent again on a new link.
type commandLog struct {
	unacknowledged        []command
	sequence              int // of the last command
	gaugesRequestSequence int // of the last command that was followed by a request for gauges on this link
}

func (l *commandLog) add(invocation int32, call string, bytes []byte) {
	l.sequence++
	l.unacknowledged = append(l.unacknowledged, command{l.sequence, invocation, call, bytes})
}

// acknowledgeCall drops the commands of a call, of which a notice proves that they were read.
func (l *commandLog) acknowledgeCall(call string) {
	l.acknowledge(func(c *command) bool { return c.invocationID == call })
}

// acknowledgeUpTo drops the commands that were sent before a request for gauges that was answered.
func (l *commandLog) acknowledgeUpTo(sequence int) {
	l.acknowledge(func(c *command) bool { return c.sequence <= sequence })
}

// acknowledge drops the commands that were read.
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

// sendCommand sends a command that must be read; it is logged until the executor is known to have read it.
func (x *executorState) sendCommand(i int32, bytes []byte) {
	x.commands.add(i, x.sm.invocations[i].invocationID, bytes)
	x.sm.Invariants.Check(len(x.commands.unacknowledged) <= maxUnacknowledgedCommands, "commands not known to be read are bounded")
	if x.synced {
		x.sm.emit(Effect{Kind: SendToExecutor, Link: x.link, Bytes: bytes})
	}
}

// resendCommands sends the logged commands that are still wanted on a link that has just synced.
func (x *executorState) resendCommands() {
	for i := range x.commands.unacknowledged {
		if c := &x.commands.unacknowledged[i]; x.isNeeded(c) {
			x.sm.emit(Effect{Kind: SendToExecutor, Link: x.link, Bytes: c.bytes})
		}
	}
}

// isNeeded reports whether the invocation of a command still needs it.
func (x *executorState) isNeeded(c *command) bool {
	v := &x.sm.invocations[c.invocation]
	return v.live && (!v.answered || v.abandoned) && v.invocationID == c.invocationID
}

// unacknowledgedCommands is how many commands are not acknowledged.
func (x *executorState) unacknowledgedCommands() int { return len(x.commands.unacknowledged) }

// syncTag marks the request for gauges that follows the welcome of the current link.
func (x *executorState) syncTag() string { return "j" + strconv.Itoa(x.link) }
