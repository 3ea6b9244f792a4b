package node

import (
	"maps"
	"slices"
	"strconv"

	"topazpost/internal/protocol/frame"
)

const (
	deepCheckTimeout = 900 * ms // ns that a deep check may take: dispatchers wait little longer
)

// deepCheck is a deep health deepCheck that the executor works on.
type deepCheck struct {
	connection int
	stream     uint32
	deadline   int64
}

// healthCheckReceived answers a health healthCheckReceived from store, or has the executor do its work where the module leaves that.
func (sm *StateMachine) healthCheckReceived(link int, c *connection, f *frame.Frame) {
	fields, _, err := frame.Fields(f.Payload)
	deep := false
	for _, field := range fields {
		deep = deep || field.Name == "e2e" && field.Value == "1"
	}
	if err != nil || f.Past {
		sm.log(Warn, "health check can't be read", "", err)
	} else {
		c.usable, c.lastUsedAt = true, sm.now
	}
	if deep && sm.healthy && !sm.healthCached && sm.config.Node.DeepHealthChecks && sm.executor.isConnected() && len(sm.deepChecks) < maxOpenStreams {
		sm.deepChecksStarted++
		tag := "d" + strconv.Itoa(sm.deepChecksStarted)
		sm.deepChecks[tag] = deepCheck{link, f.Stream, sm.now + deepCheckTimeout}
		c.pendingChecks++
		sm.resumeConnection(link, c)
		sm.executor.send("DIAG", tag)
		return
	}
	sm.answerHealthCheck(link, f.Stream, sm.controller != nil && sm.healthy)
}

func (sm *StateMachine) answerHealthCheck(link int, stream uint32, good bool) {
	code := byte(frame.Bad)
	if good {
		code = frame.Good
	}
	sm.emit(Effect{Kind: SendToConnection, Link: link,
		Bytes: frame.Head(nil, frame.Checked, stream, code, sm.withBackpressure(nil), 0)})
}

// deepCheckFinished answers the check that a deep one was for.
func (sm *StateMachine) deepCheckFinished(tag string, good bool) {
	d, ok := sm.deepChecks[tag]
	if !ok {
		return
	}
	delete(sm.deepChecks, tag)
	if c := sm.connections[d.connection]; c != nil {
		c.pendingChecks--
		sm.answerHealthCheck(d.connection, d.stream, good && sm.healthy)
		sm.releaseIfIdle(d.connection, c)
	}
}

// failDeepChecks answers all deep checks: the executor is gone.
func (sm *StateMachine) failDeepChecks() {
	for _, tag := range slices.Sorted(maps.Keys(sm.deepChecks)) {
		sm.deepCheckFinished(tag, false)
	}
}

func (sm *StateMachine) expireDeepChecks() {
	for _, tag := range slices.Sorted(maps.Keys(sm.deepChecks)) {
		if sm.now >= sm.deepChecks[tag].deadline {
			sm.deepCheckFinished(tag, false)
		}
	}
}

func (sm *StateMachine) deepChecksDue() int64 {
	at := int64(never)
	for _, d := range sm.deepChecks {
		at = min(at, d.deadline)
	}
	return at
}
