package node

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"topazpost/internal/admission"
	"topazpost/internal/nodeconfig"
)

// A process that begins on cores that live on has to count what the life before it may still hold: its module is told
// how old the cores are, and when this process began.
func TestControllerGetsTheProcessStart(t *testing.T) {
	p, err := nodeconfig.FromJSON(1, []byte(tenantSettings))
	require.NoError(t, err)
	r := NewStateMachine(p, Addresses{"executor:1", "catalogue:1", "control:1"}, 5_000*ms, 4, 3)
	var heard *admission.Config
	var cores int64
	decisions := r.Decisions
	r.Decisions = func(n *admission.Config, born int64) Decider {
		heard, cores = n, born
		return decisions(n, born)
	}
	step(r)
	began := r.now
	r.now += 3_000 * ms // the executor is out of reach for a while
	step(r)
	step(r, Input{Kind: ExecutorConnected, Link: r.executor.dialingLink})
	told(r, "WELCOME old 60000")
	require.NotNil(t, heard)
	assert.False(t, heard.ColdStart)
	assert.Equal(t, began, heard.ProcessStart)
	assert.Equal(t, r.now-60_000*ms, cores)
}
