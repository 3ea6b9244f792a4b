package node

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"topazpost/internal/protocol/frame"
)

// Guards against commands that are lost with a broken link, sent again although the invocation has ended, or kept after the executor has
// acknowledged them.
func TestCommandsAreResentAfterTheNoticesOfANewLink(t *testing.T) {
	sm := newServingNode(t)
	const other = "00000000000000aa"
	step(sm, invocationInput(1), invocationInput(2, "call", other))
	reconnectExecutor(sm)
	assert.Equal(t, []string{"20 on 1"}, framesSent(t, executorSends(sm, "EXIT 1 "+testInvocationID+" good 12 1|r")))
	assert.Equal(t, "EXEC "+other+" catalogue 4\r\nbody\r\n", bytesSent(executorSends(sm, "METERS "+sm.executor.syncTag()+" 0 0 0 0"), SendToExecutor))
	executorSends(sm, fmt.Sprintf("METERS m%d 0 0 0 0", sm.executor.commands.sequence))
	assert.Empty(t, sm.executor.commands.unacknowledged, "the gauges acknowledge all commands before them")
}

// waysToEnd are the ways in which an invocation can end at the node before its run does.
var waysToEnd = map[string]func(sm *StateMachine){
	"client timeout": func(sm *StateMachine) {
		sm.now += 100 * ms
		sm.executor.lastLineAt = sm.now
		step(sm)
	},
	"withdrawn": func(sm *StateMachine) {
		for stream := range sm.connections.get(7).openStreams {
			step(sm, Input{Kind: FrameReceived, Link: 7, Frame: frame.Frame{Type: frame.Cancel, Stream: stream}})
		}
	},
	"connection gone": func(sm *StateMachine) { step(sm, Input{Kind: ConnectionClosed, Link: 7}) },
}

// startRuns has a node of two cores start a run on each of them. Their invocations have 80 ms left.
func startRuns(t *testing.T, sm *StateMachine) {
	recv := fmt.Sprint(sm.now/ms + 1_000_000)
	step(sm, invocationInput(1, "call", id(1), "ttl", "80", "work", "1", "recv", recv), invocationInput(2, "call", id(2), "ttl", "80", "work", "1", "recv", recv))
	require.Equal(t, 2, sm.controller.State().OnCores)
}

// Guards against a node that runs nothing any more: an EXEC was lost with the executor's link, its invocation ended before the next link was
// synced, and nobody told the admission controller that the run was over.
func TestRunWhoseCommandWasLostGivesItsSlotBack(t *testing.T) {
	for name, end := range waysToEnd {
		t.Run(name, func(t *testing.T) {
			sm := newServingNode(t)
			startRuns(t, sm)
			step(sm, Input{Kind: ExecutorDisconnected, Link: sm.executor.link}) // the commands are lost
			end(sm)
			require.Zero(t, sm.unansweredCount)
			sm.now = sm.executor.redialAt
			step(sm)
			step(sm, Input{Kind: ExecutorConnected, Link: sm.executor.dialingLink})
			executorSends(sm, "WELCOME old 90")
			sent := bytesSent(executorSends(sm, "METERS "+sm.executor.syncTag()+" 0 0 0 0"), SendToExecutor)
			assert.Equal(t, 2, strings.Count(sent, "EXEC "), "the executor has to tell the ends of both runs")
			executorSends(sm, "EXIT 1 "+id(1)+" gone 0 0|")
			executorSends(sm, "EXIT 2 "+id(2)+" gone 0 0|")
			assert.Zero(t, sm.controller.State().OnCores)
			assert.Empty(t, sm.indexByID)
			assert.Empty(t, sm.executor.commands.unacknowledged)
		})
	}
}

// Guards against runs that keep their slots although the executor was never sent them, and against useless runs at the next link.
func TestRunThatWasNeverSentIsWithdrawnWithItsInvocation(t *testing.T) {
	for name, end := range waysToEnd {
		t.Run(name, func(t *testing.T) {
			sm := newServingNode(t)
			step(sm, Input{Kind: ExecutorDisconnected, Link: sm.executor.link})
			startRuns(t, sm)
			end(sm)
			sm.now = sm.executor.redialAt
			step(sm)
			step(sm, Input{Kind: ExecutorConnected, Link: sm.executor.dialingLink})
			executorSends(sm, "WELCOME old 90")
			assert.NotContains(t, bytesSent(executorSends(sm, "METERS "+sm.executor.syncTag()+" 0 0 0 0"), SendToExecutor), "EXEC")
			assert.Zero(t, sm.controller.State().OnCores)
			assert.Empty(t, sm.indexByID)
			assert.Empty(t, sm.executor.commands.unacknowledged)
		})
	}
}

// Guards against a reply that the executor takes for that of a later call, and against a slot that is kept until a reply is acknowledged: a
// RETURN that was lost with the link is not sent again once its invocation has ended, as the executor ends the run at its call.
func TestLostReplyToACallIsDroppedWithItsInvocation(t *testing.T) {
	sm := newServingNode(t)
	step(sm, invocationInput(1))
	executorSends(sm, "CALLOUT 1 "+testInvocationID+" 3|ask")
	connectCatalogue(sm)
	catalogueSends(sm, testInvocationID+" DATA 5|reply")
	step(sm, Input{Kind: FrameReceived, Link: 7, Frame: frame.Frame{Type: frame.Cancel, Stream: 1}})
	reconnectExecutor(sm)
	assert.NotContains(t, bytesSent(executorSends(sm, "METERS "+sm.executor.syncTag()+" 0 0 0 0"), SendToExecutor), "RETURN")
	assert.Empty(t, sm.executor.commands.unacknowledged)
	assert.Equal(t, 1, sm.controller.State().OnCores, "the executor has the run")
	executorSends(sm, "EXIT 2 "+testInvocationID+" cut 12 0|")
	assert.Zero(t, sm.controller.State().OnCores)
	assert.Empty(t, sm.indexByID)
}

// Guards against a refused EXEC that stays in the log after its invocation was released.
func TestRefusedCommandIsAcknowledged(t *testing.T) {
	sm := newServingNode(t)
	step(sm, invocationInput(1))
	executorSends(sm, "BAD EXEC "+testInvocationID)
	assert.Empty(t, sm.executor.commands.unacknowledged)
	assert.Empty(t, sm.indexByID)
}
