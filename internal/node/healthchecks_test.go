package node

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"topazpost/internal/protocol/frame"
)

func TestHealthCheckIsAnsweredFromCacheOrByTheExecutor(t *testing.T) {
	deep := Input{Kind: FrameReceived, Link: 7, Frame: frame.Frame{Type: frame.Check,
		Payload: append([]byte{1, 3}, "e2e\x01\x001"...)}}
	r := fresh(t)
	assert.Equal(t, []string{"check 51"}, answers(t, step(r, deep)), "no executor yet")
	r = up(t)
	assert.Equal(t, []string{"check 20"}, answers(t, step(r, deep)))
	r.health.cached, r.config.Node.DeepHealthChecks = false, true
	assert.Equal(t, "DIAG d1\r\n", text(step(r, deep), SendToExecutor))
	assert.Equal(t, []string{"check 51"}, answers(t, told(r, "DIAGNOSED d1 bad")))
	step(r, deep)
	r.now += deepCheckTimeout
	assert.Equal(t, []string{"check 51"}, answers(t, step(r)))
}
