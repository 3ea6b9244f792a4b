package node

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"topazpost/internal/protocol/frame"
)

func TestHealthCheckIsAnsweredFromTheLastReportOrByTheExecutor(t *testing.T) {
	// The payload: 1 field, its name of 3 bytes, its value with a length of two bytes.
	deep := Input{Kind: FrameReceived, Link: 7, Frame: frame.Frame{Type: frame.HealthCheck,
		Payload: append([]byte{1, 3}, "e2e\x01\x001"...)}}
	sm := newConnectedNode(t)
	assert.Equal(t, []string{"check 51"}, framesSent(t, step(sm, deep)), "no executor has welcomed the node")
	sm = newServingNode(t)
	assert.Equal(t, []string{"check 20"}, framesSent(t, step(sm, deep)))
	sm.health.shallowOnly, sm.config.Node.DeepHealthChecks = false, true
	assert.Equal(t, "DIAG d1\r\n", bytesSent(step(sm, deep), SendToExecutor))
	assert.Equal(t, []string{"check 51"}, framesSent(t, executorSends(sm, "DIAGNOSED d1 bad")))
	step(sm, deep)
	sm.now += deepCheckTimeout
	assert.Equal(t, []string{"check 51"}, framesSent(t, step(sm)))
}
