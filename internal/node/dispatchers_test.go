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
	sm := up(t)
	assert.Equal(t, "EXEC "+callID+" catalogue 4\r\nbody\r\n", text(step(sm, invoke(1)), SendToExecutor))
	sent := told(sm, "EXIT 1 "+callID+" good 12 6|result")
	assert.Equal(t, []string{"20 on 1"}, answers(t, sent))
	assert.Contains(t, text(sent, SendToConnection), "result")
	assert.Empty(t, answers(t, told(sm, "EXIT 1 "+callID+" good 12 6|result")), "a repeated notice is ignored")
	assert.Zero(t, sm.owedAnswers)
	assert.Empty(t, sm.indexByID)
}

func TestDisconnectedCallerGetsNoAnswer(t *testing.T) {
	sm := up(t)
	step(sm, invoke(1))
	step(sm, Input{Kind: FrameReceived, Link: 7, Frame: frame.Frame{Type: frame.Cancel, Stream: 1}})
	assert.Empty(t, answers(t, told(sm, "EXIT 1 "+callID+" good 12 6|result")))
	step(sm, invoke(2))
	assert.Empty(t, step(sm, Input{Kind: ConnectionClosed, Link: 7}))
	assert.Empty(t, answers(t, told(sm, "EXIT 2 "+callID+" good 12 6|result")))
	assert.Empty(t, sm.indexByID)
}

func TestMalformedInvocationFailsAndItsConnectionStaysOpen(t *testing.T) {
	sm := up(t)
	for i, broken := range []Input{invoke(1, "op", "other"), invoke(2, "call", "9B1F"), invoke(3, "recv", "-"),
		invoke(4, "heap", "0"), invoke(5, "crit", "1"), invoke(6, "work", "NaN"), invoke(7, "src", "x"),
		{Kind: FrameReceived, Link: 7, Frame: frame.Frame{Type: frame.Invocation, Stream: 8, Oversized: true}},
		{Kind: FrameReceived, Link: 7, Frame: frame.Frame{Type: frame.Invocation, Stream: 9, Payload: []byte{200}}},
		invoke(10, "recv", "99999999999999"), invoke(11, "recv", "-1"), invoke(12, "work", "0x1p2"),
		invoke(13, "heap", "1e2"), invoke(14, "src", "9999999999999"), invoke(15, "row", "7f3a"),
		invoke(16, "rep", "2")} {
		sm.connections.byLink[7].faults = 0
		assert.Equal(t, []string{fmt.Sprintf("51 on %d", i+1)}, answers(t, step(sm, broken)))
	}
	assert.NotEmpty(t, text(step(sm, invoke(20)), SendToExecutor))
	assert.Equal(t, []string{"51 on 21"}, answers(t, step(sm, invoke(21))), "an unanswered invocation has the same call id")
}

func TestBrokenConnectionClosesAfterItsStreamsAreAnswered(t *testing.T) {
	for fault, malformed := range map[string]Input{"length": {Kind: FrameMalformed, Link: 7, Err: frame.ErrLength},
		"order": invoke(1), "type": {Kind: FrameReceived, Link: 7, Frame: frame.Frame{Type: 99}}} {
		sm := up(t)
		step(sm, invoke(1))
		assert.Equal(t, []string{"51 on 0", "no more"}, answers(t, step(sm, malformed)), fault)
		assert.Equal(t, []string{"51 on 2"}, answers(t, step(sm, invoke(2, "call", "0000000000000000"))), "answered without a run after: "+fault)
		end := told(sm, "EXIT 1 "+callID+" good 12 6|result")
		assert.Equal(t, []string{"20 on 1"}, answers(t, end), fault)
		assert.Equal(t, CloseAfterFlush, end[len(end)-1].Kind, fault)
	}
}

func TestInvocationAfterAMalformedFrameFailsWithoutARun(t *testing.T) {
	sm := up(t)
	got := step(sm, Input{Kind: FrameReceived, Link: 7, Frame: frame.Frame{Type: 99}}, invoke(1))
	assert.Equal(t, []string{"51 on 0", "no more", "51 on 1"}, answers(t, got))
	assert.Zero(t, countRuns(got))
}

func TestThrottleCarriesPushbackStopAndBackpressure(t *testing.T) {
	sm := up(t)
	step(sm, invoke(1))
	sm.backpressure, sm.effects = "0.25", nil
	sm.reject(&admission.Action{Invocation: 0, Duration: 249*ms + 1, NoRetry: true})
	_, payload, _ := strings.Cut(string(sm.effects[0].Bytes), "\x32")
	fields, _, err := frame.Fields([]byte(payload))
	assert.NoError(t, err)
	assert.Equal(t, []frame.Field{{Name: "pushback", Value: "250"}, {Name: "stop", Value: "1"},
		{Name: "load", Value: "0.25"}}, fields)
}
