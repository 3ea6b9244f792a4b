package node

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"

	"topazpost/internal/admission"
)

func TestRefusedGaugesRequestDoesNotBlockCommands(t *testing.T) {
	sm := newConnectedNode(t)
	executorSends(sm, "WELCOME new 3")
	executorSends(sm, "BAD METER j1")
	step(sm, invocationInput(1))
	sm.now = sm.executor.gauges.requestAt
	assert.Equal(t, "METER j1\r\n", bytesSent(step(sm), SendToExecutor))
	assert.Contains(t, bytesSent(executorSends(sm, "METERS j1 0 0 0 0"), SendToExecutor), "EXEC")
}

func TestGaugesAreRequestedOnceAfterNewCommands(t *testing.T) {
	sm := newServingNode(t)
	asked := func(effects []Effect) int { return strings.Count(bytesSent(effects, SendToExecutor), "METER m1\r\n") }
	assert.Equal(t, 1, asked(sm.Step(sm.now+1, 1_000_000*ms, []Input{invocationInput(1)})))
	assert.Zero(t, asked(sm.Step(sm.now+1, 1_000_000*ms, nil)))
}

func TestGaugesReachTheControllerAsReceived(t *testing.T) {
	sm := newServingNode(t)
	executorSends(sm, "METERS m0 0.5 3 0.1 3")
	assert.Equal(t, []admission.Event{{Kind: admission.TimerFired, BusyShare: 0.5, RunnableThreads: 3}}, sm.events)
}
