package node

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"topazpost/internal/nodeconfig"
	"topazpost/internal/protocol/frame"
	"topazpost/internal/protocol/lineprotocol"
)

const testSettings = `{"grades":[{"name":"catalogue","aim":1000,"give_up":3000,"importance":1,"effect":"at_most_once"},
	{"name":"hold","aim":1000,"give_up":3000,"importance":5,"effect":"idempotent"}],
	"family_info":{"n_cores":2,"memory_kb":9000,"blowup":4,"class_calls":[true,false],"below":"common","calls_out":9,
	"calls_over":5000,"linger":100,"advert":"min_rank","gauges":["cpu_busy","runnable","mem_used","sockets"]},
	"guarantees":{"tip_multiple":8,"drain_grace":2000},"limits":{"retry_after":true,"max_retry_after":1000}}`

// newConnectedNode returns a node with connection 7 open, and a link to the executor that is not welcomed yet. Its limits are
// 4 connections and 3 links to the catalogue.
func newConnectedNode(t *testing.T) *StateMachine {
	p, err := nodeconfig.FromJSON(1, []byte(testSettings))
	require.NoError(t, err)
	sm := NewStateMachine(p, Addresses{"executor:1", "catalogue:1", "control:1"}, 5_000*ms, 4, 3)
	step(sm, Input{Kind: ConnectionOpened, Link: 7})
	step(sm, Input{Kind: ExecutorConnected, Link: sm.executor.dialingLink})
	return sm
}

// newServingNode returns a node that serves, with connection 7 open and a synced link to the executor.
func newServingNode(t *testing.T) *StateMachine {
	sm := newConnectedNode(t)
	executorSends(sm, "WELCOME old 0")
	executorSends(sm, "METERS j1 0.1 1 0.1 3")
	return sm
}

// step steps the node after advancing the clock by a millisecond. It returns the effects without wakeups, log entries,
// samples, reports and requests for gauges on a synced link. The wall clock is 1,000,000 ms ahead of the node's clock, which
// is why 1000000 is a valid time of arrival in invocationInput.
func step(sm *StateMachine, inputs ...Input) (got []Effect) {
	for _, e := range sm.Step(sm.now+ms, sm.now+ms+1_000_000*ms, inputs) {
		gaugesRequest := e.Kind == SendToExecutor && strings.HasPrefix(string(e.Bytes), "METER m")
		if e.Kind != SetWakeup && e.Kind != WriteLog && e.Kind != SendReport && e.Kind != PublishState && !gaugesRequest {
			got = append(got, e)
		}
	}
	return got
}

// executorSends steps the node with a line from the executor. The part after a bar is the line's body. The lines are "WELCOME
// new|old AGE", "METERS TAG" and a value for each gauge, "EXIT NUMBER ID OUTCOME" with two more words and the result, and
// "CALLOUT NUMBER ID" with one more word and the request of the call.
func executorSends(sm *StateMachine, line string) []Effect {
	head, body, _ := strings.Cut(line, "|")
	return step(sm, Input{Kind: ExecutorLineReceived, Link: sm.executor.link, Line: lineprotocol.Line{Words: strings.Fields(head), Body: []byte(body)}})
}

// catalogueSends steps the node with a line from the catalogue on its first link. The part after a bar is the line's body.
func catalogueSends(sm *StateMachine, line string) []Effect {
	head, body, _ := strings.Cut(line, "|")
	return step(sm, Input{Kind: CatalogueLineReceived, Link: sm.catalogue.links[0].id,
		Line: lineprotocol.Line{Words: strings.Fields(head), Body: []byte(body)}})
}

// connectCatalogue steps the node with the connection of the last link to the catalogue.
func connectCatalogue(sm *StateMachine) []Effect {
	return step(sm, Input{Kind: CatalogueConnected, Link: sm.catalogue.links[len(sm.catalogue.links)-1].id})
}

// reconnectExecutor breaks the executor's link and opens a new one, which is welcomed but not synced.
func reconnectExecutor(sm *StateMachine) {
	step(sm, Input{Kind: ExecutorDisconnected, Link: sm.executor.link})
	sm.now = sm.executor.redialAt
	step(sm)
	step(sm, Input{Kind: ExecutorConnected, Link: sm.executor.dialingLink})
	executorSends(sm, "WELCOME old 90")
}

const testInvocationID = "9b1f03aa5c7e2d41"

// invocationInput returns an invocation on a stream of connection 7. changed are pairs of a field's name and its value; a
// field with the value "-" is left out.
func invocationInput(stream uint32, changed ...string) Input {
	values := map[string]string{"op": "catalogue", "call": testInvocationID, "recv": "1000000", "src": "4", "work": "12.50",
		"heap": "24.5", "crit": "0.6250"}
	for i := 0; i < len(changed); i += 2 {
		values[changed[i]] = changed[i+1]
	}
	var fields []frame.Field
	for name, value := range values {
		if value != "-" {
			fields = append(fields, frame.Field{Name: name, Value: value})
		}
	}
	b := frame.AppendInvocation(nil, stream, fields, []byte("body"))
	return Input{Kind: FrameReceived, Link: 7, Frame: frame.Frame{Type: frame.Invocation, Stream: stream, Payload: b[9:]}} // without the frame's header
}

// bytesSent returns the bytes of all effects of a kind.
func bytesSent(effects []Effect, kind EffectKind) (s string) {
	for _, e := range effects {
		if e.Kind == kind {
			s += string(e.Bytes)
		}
	}
	return s
}

// framesSent returns the frames among the effects as texts: "20 on 3" is a success on stream 3, 50 a throttle and 51 an error, with
// stream 0 for the connection itself; "check 20" is healthy and "check 51" unhealthy; "no more" is a go-away.
func framesSent(t *testing.T, effects []Effect) (got []string) {
	for _, e := range effects {
		if e.Kind != SendToConnection {
			continue
		}
		var p frame.Parser
		p.Wrote(copy(p.Space(), e.Bytes))
		f, ok, err := p.Next()
		require.True(t, ok && err == nil)
		got = append(got, frameText(f))
	}
	return got
}

// effectKinds returns the kind of each effect.
func effectKinds(effects []Effect) (list []EffectKind) {
	for _, e := range effects {
		list = append(list, e.Kind)
	}
	return list
}

// frameText returns the text of a frame for framesSent.
func frameText(f frame.Frame) string {
	switch f.Type {
	case frame.GoAway:
		return "no more"
	case frame.HealthStatus:
		return fmt.Sprintf("check %d", f.Payload[0])
	}
	return fmt.Sprintf("%d on %d", f.Payload[0], f.Stream)
}
