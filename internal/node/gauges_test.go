package node

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"

	"topazpost/internal/admission"
)

func TestRefusedGaugesRequestDoesNotBlockCommands(t *testing.T) {
	sm := fresh(t)
	told(sm, "WELCOME new 3")
	told(sm, "BAD METER j1")
	step(sm, invoke(1))
	sm.now = sm.executor.gauges.requestAt
	assert.Equal(t, "METER j1\r\n", text(step(sm), SendToExecutor))
	assert.Contains(t, text(told(sm, "METERS j1 0 0 0 0"), SendToExecutor), "EXEC")
}

func TestGaugesAreRequestedOnceAfterNewCommands(t *testing.T) {
	sm := up(t)
	asked := func(effects []Effect) int { return strings.Count(text(effects, SendToExecutor), "METER m1\r\n") }
	assert.Equal(t, 1, asked(sm.Step(sm.now+1, 1_000_000*ms, []Input{invoke(1)})))
	assert.Zero(t, asked(sm.Step(sm.now+1, 1_000_000*ms, nil)))
}

func TestGaugesReachTheControllerAsReceived(t *testing.T) {
	sm := up(t)
	told(sm, "METERS m0 0.5 3 0.1 3")
	assert.Equal(t, []admission.Event{{Kind: admission.TimerFired, BusyShare: 0.5, RunnableThreads: 3}}, sm.events)
}
