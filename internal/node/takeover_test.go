package node

import (
	"math"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"topazpost/internal/fleet/claims"
	"topazpost/internal/fleet/consensus"
)

func TestTakenOverWorkRunsAndItsEndIsReported(t *testing.T) {
	r := claimingNode(t)
	work := commandsForInvocation(t, r)[0].Work
	r2 := claimingNode(t)
	reassignment := &consensus.Message{Kind: consensus.MessageReassignment, Remaining: 2_000 * ms, Entry: &claims.Entry{Key: claims.Key{Operation: "hold", Token: "a1"},
		Fence: 9, BodyHash: 1, Work: work, Window: 60_000 * ms}}
	receiveFromReplica(t, r2, reassignment)
	start := claimCommands(t, r2, receiveFromReplica(t, r2, reassignment)) // repeated while the controller decides
	for from := r2.now; r2.now < from+100*ms && len(start) == 0; {
		start = claimCommands(t, r2, step(r2))
	}
	assert.Equal(t, 1, r2.Counters.Inherited)
	require.Len(t, start, 1)
	assert.Equal(t, claims.CommandStart, start[0].Kind)
	effects := receiveFromReplica(t, r2, verdictOn(start[0], claims.AnswerGranted))
	require.Equal(t, []EffectKind{SendToExecutor}, localEffectKinds(effects))
	assert.Contains(t, string(effects[0].Bytes), "body")
	end := claimCommands(t, r2, told(r2, "EXIT 1 "+id(1)+" good 12 2|ok"))
	require.Len(t, end, 1)
	effects = receiveFromReplica(t, r2, verdictOn(end[0], claims.AnswerDone))
	assert.Empty(t, localEffectKinds(effects), "nobody is answered")
	step(r2)
	assert.Zero(t, r2.owedAnswers)
	assert.Empty(t, r2.indexByID, "and it is released")
}

func TestDrainingNodeReleasesReassignedClaim(t *testing.T) {
	r := claimingNode(t)
	work := commandsForInvocation(t, r)[0].Work
	r2 := claimingNode(t)
	step(r2, Input{Kind: DrainRequested})
	release := claimCommands(t, r2, receiveFromReplica(t, r2, &consensus.Message{Kind: consensus.MessageReassignment, Remaining: 2_000 * ms, Entry: &claims.Entry{
		Key: claims.Key{Operation: "hold", Token: "a1"}, Fence: 9, Work: work, Window: 60_000 * ms}}))
	require.Len(t, release, 1)
	assert.Equal(t, claims.CommandRelease, release[0].Kind)
	assert.Zero(t, r2.Counters.Inherited)
}

// Work whose memory is no number, or out of bounds, is refused before the controller counts with it.
func TestTakeoverOfWorkOutOfBoundsIsRefused(t *testing.T) {
	for _, queuedKB := range []float64{math.NaN(), 0, -1, maxHeapKB, math.Inf(1)} {
		r := claimingNode(t)
		work, err := cbor.Marshal(takeoverWork{InvocationID: id(1), Body: []byte("body"), QueuedKB: queuedKB})
		require.NoError(t, err)
		release := claimCommands(t, r, receiveFromReplica(t, r, &consensus.Message{Kind: consensus.MessageReassignment, Remaining: 2_000 * ms, Entry: &claims.Entry{
			Key: claims.Key{Operation: "hold", Token: "a1"}, Fence: 9, BodyHash: 1, Work: work, Window: 60_000 * ms}}))
		require.Len(t, release, 1, queuedKB)
		assert.Equal(t, claims.CommandRelease, release[0].Kind, queuedKB)
		assert.Zero(t, r.Counters.Inherited, queuedKB)
	}
}
