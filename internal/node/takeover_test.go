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

func TestTakenOverInvocationRunsAndItsEndIsReported(t *testing.T) {
	lostOwner := claimingNode(t)
	work := commandsForInvocation(t, lostOwner)[0].Work
	newOwner := claimingNode(t)
	reassignment := &consensus.Message{Kind: consensus.MessageReassignment, Remaining: 2_000 * ms, Claim: &claims.Entry{Key: claims.Key{Operation: "hold", Token: "a1"},
		Fence: 9, BodyHash: 1, Work: work, Retention: 60_000 * ms}}
	receiveFromReplica(t, newOwner, reassignment)
	start := claimCommands(t, newOwner, receiveFromReplica(t, newOwner, reassignment)) // the group repeats the reassignment while the controller decides
	for from := newOwner.now; newOwner.now < from+100*ms && len(start) == 0; {
		start = claimCommands(t, newOwner, step(newOwner))
	}
	assert.Equal(t, 1, newOwner.Counters.InvocationsTakenOver)
	require.Len(t, start, 1)
	assert.Equal(t, claims.CommandStart, start[0].Kind)
	effects := receiveFromReplica(t, newOwner, verdictOn(start[0], claims.AnswerGranted))
	require.Equal(t, []EffectKind{SendToExecutor}, localEffectKinds(effects))
	assert.Contains(t, string(effects[0].Bytes), "body")
	end := claimCommands(t, newOwner, executorSends(newOwner, "EXIT 1 "+id(1)+" good 12 2|ok"))
	require.Len(t, end, 1)
	effects = receiveFromReplica(t, newOwner, verdictOn(end[0], claims.AnswerDone))
	assert.Empty(t, localEffectKinds(effects), "an invocation that was taken over has no caller to answer")
	step(newOwner)
	assert.Zero(t, newOwner.unansweredCount)
	assert.Empty(t, newOwner.indexByID, "the invocation is released")
}

func TestDrainingNodeReleasesReassignedClaim(t *testing.T) {
	lostOwner := claimingNode(t)
	work := commandsForInvocation(t, lostOwner)[0].Work
	newOwner := claimingNode(t)
	step(newOwner, Input{Kind: DrainRequested})
	release := claimCommands(t, newOwner, receiveFromReplica(t, newOwner, &consensus.Message{Kind: consensus.MessageReassignment, Remaining: 2_000 * ms, Claim: &claims.Entry{
		Key: claims.Key{Operation: "hold", Token: "a1"}, Fence: 9, Work: work, Retention: 60_000 * ms}}))
	require.Len(t, release, 1)
	assert.Equal(t, claims.CommandRelease, release[0].Kind)
	assert.Zero(t, newOwner.Counters.InvocationsTakenOver)
}

// Guards against a controller that computes with an invalid memory size: a takeover whose QueuedKB is NaN or out of bounds is rejected
// before the controller sees it.
func TestTakeoverOfInvalidInvocationIsRejected(t *testing.T) {
	for _, queuedKB := range []float64{math.NaN(), 0, -1, maxHeapKB, math.Inf(1)} {
		sm := claimingNode(t)
		work, err := cbor.Marshal(takeoverData{InvocationID: id(1), Body: []byte("body"), QueuedKB: queuedKB})
		require.NoError(t, err)
		release := claimCommands(t, sm, receiveFromReplica(t, sm, &consensus.Message{Kind: consensus.MessageReassignment, Remaining: 2_000 * ms, Claim: &claims.Entry{
			Key: claims.Key{Operation: "hold", Token: "a1"}, Fence: 9, BodyHash: 1, Work: work, Retention: 60_000 * ms}}))
		require.Len(t, release, 1, queuedKB)
		assert.Equal(t, claims.CommandRelease, release[0].Kind, queuedKB)
		assert.Zero(t, sm.Counters.InvocationsTakenOver, queuedKB)
	}
}
