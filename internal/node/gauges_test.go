package node

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"

	"topazpost/internal/admission"
)

func TestRefusedGaugesRequestDoesNotBlockCommands(t *testing.T) {
	r := fresh(t)
	told(r, "WELCOME new 3")
	told(r, "BAD METER j1")
	step(r, invoke(1))
	r.now = r.executor.gauges.requestAt
	assert.Equal(t, "METER j1\r\n", text(step(r), SendToExecutor))
	assert.Contains(t, text(told(r, "METERS j1 0 0 0 0"), SendToExecutor), "EXEC")
}

func TestGaugesAreRequestedOnceAfterNewCommands(t *testing.T) {
	r := up(t)
	asked := func(effects []Effect) int { return strings.Count(text(effects, SendToExecutor), "METER m1\r\n") }
	assert.Equal(t, 1, asked(r.Step(r.now+1, 1_000_000*ms, []Input{invoke(1)})))
	assert.Zero(t, asked(r.Step(r.now+1, 1_000_000*ms, nil)))
}

func TestGaugesReachTheControllerAsReceived(t *testing.T) {
	r := up(t)
	told(r, "METERS m0 0.5 3 0.1 3")
	assert.Equal(t, []admission.Event{{Kind: admission.TimerFired, BusyShare: 0.5, RunnableThreads: 3}}, r.events)
}
