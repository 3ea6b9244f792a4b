package node

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"

	"topazpost/internal/admission"
	"topazpost/internal/protocol/frame"
)

func TestInvocationRunsAndIsAnsweredWithItsResult(t *testing.T) {
	sm := newServingNode(t)
	assert.Equal(t, "EXEC "+testInvocationID+" catalogue 4\r\nbody\r\n", bytesSent(step(sm, invocationInput(1)), SendToExecutor))
	sent := executorSends(sm, "EXIT 1 "+testInvocationID+" good 12 6|result")
	assert.Equal(t, []string{"20 on 1"}, framesSent(t, sent))
	assert.Contains(t, bytesSent(sent, SendToConnection), "result")
	assert.Empty(t, framesSent(t, executorSends(sm, "EXIT 1 "+testInvocationID+" good 12 6|result")), "a repeated notice is ignored")
	assert.Zero(t, sm.unansweredCount)
	assert.Empty(t, sm.indexByID)
}

func TestDisconnectedCallerGetsNoAnswer(t *testing.T) {
	sm := newServingNode(t)
	step(sm, invocationInput(1))
	step(sm, Input{Kind: FrameReceived, Link: 7, Frame: frame.Frame{Type: frame.Cancel, Stream: 1}})
	assert.Empty(t, framesSent(t, executorSends(sm, "EXIT 1 "+testInvocationID+" good 12 6|result")))
	step(sm, invocationInput(2))
	assert.Empty(t, step(sm, Input{Kind: ConnectionClosed, Link: 7}))
	assert.Empty(t, framesSent(t, executorSends(sm, "EXIT 2 "+testInvocationID+" good 12 6|result")))
	assert.Empty(t, sm.indexByID)
}

func TestMalformedInvocationFailsAndItsConnectionStaysOpen(t *testing.T) {
	sm := newServingNode(t)
	for i, broken := range []Input{invocationInput(1, "op", "other"), invocationInput(2, "call", "9B1F"), invocationInput(3, "recv", "-"),
		invocationInput(4, "heap", "0"), invocationInput(5, "crit", "1"), invocationInput(6, "work", "NaN"), invocationInput(7, "src", "x"),
		{Kind: FrameReceived, Link: 7, Frame: frame.Frame{Type: frame.Invocation, Stream: 8, Oversized: true}},
		{Kind: FrameReceived, Link: 7, Frame: frame.Frame{Type: frame.Invocation, Stream: 9, Payload: []byte{200}}},
		invocationInput(10, "recv", "99999999999999"), invocationInput(11, "recv", "-1"), invocationInput(12, "work", "0x1p2"),
		invocationInput(13, "heap", "1e2"), invocationInput(14, "src", "9999999999999"), invocationInput(15, "row", "7f3a"),
		invocationInput(16, "rep", "2")} {
		sm.connections.byLink[7].faultCount = 0
		assert.Equal(t, []string{fmt.Sprintf("51 on %d", i+1)}, framesSent(t, step(sm, broken)))
	}
	assert.NotEmpty(t, bytesSent(step(sm, invocationInput(20)), SendToExecutor))
	assert.Equal(t, []string{"51 on 21"}, framesSent(t, step(sm, invocationInput(21))), "an unanswered invocation has the same id")
}

func TestBrokenConnectionClosesAfterItsStreamsAreAnswered(t *testing.T) {
	for fault, malformed := range map[string]Input{"length": {Kind: FrameMalformed, Link: 7, Err: frame.ErrLength},
		"order": invocationInput(1), "type": {Kind: FrameReceived, Link: 7, Frame: frame.Frame{Type: 99}}} {
		sm := newServingNode(t)
		step(sm, invocationInput(1))
		assert.Equal(t, []string{"51 on 0", "no more"}, framesSent(t, step(sm, malformed)), fault)
		assert.Equal(t, []string{"51 on 2"}, framesSent(t, step(sm, invocationInput(2, "call", "0000000000000000"))), "answered without a run after: "+fault)
		end := executorSends(sm, "EXIT 1 "+testInvocationID+" good 12 6|result")
		assert.Equal(t, []string{"20 on 1"}, framesSent(t, end), fault)
		assert.Equal(t, CloseAfterFlush, end[len(end)-1].Kind, fault)
	}
}

func TestInvocationAfterAMalformedFrameFailsWithoutARun(t *testing.T) {
	sm := newServingNode(t)
	got := step(sm, Input{Kind: FrameReceived, Link: 7, Frame: frame.Frame{Type: 99}}, invocationInput(1))
	assert.Equal(t, []string{"51 on 0", "no more", "51 on 1"}, framesSent(t, got))
	assert.Zero(t, countRuns(got))
}

func TestThrottleCarriesPushbackStopAndBackpressure(t *testing.T) {
	sm := newServingNode(t)
	step(sm, invocationInput(1))
	sm.backpressure, sm.effects = "0.25", nil
	sm.reject(&admission.Action{Invocation: 0, Duration: 249*ms + 1, NoRetry: true})
	// The fields follow the code byte, frame.Throttled.
	_, payload, _ := strings.Cut(string(sm.effects[0].Bytes), "\x32")
	fields, _, err := frame.Fields([]byte(payload))
	assert.NoError(t, err)
	assert.Equal(t, []frame.Field{{Name: "pushback", Value: "250"}, {Name: "stop", Value: "1"},
		{Name: "load", Value: "0.25"}}, fields)
}
