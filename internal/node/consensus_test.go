package node

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"topazpost/internal/fleet/claims"
	"topazpost/internal/resultcache"
)

func TestTokensAreThrottledWhileTheConsensusGroupIsUnreachable(t *testing.T) {
	sm := claimingNode(t)
	for range 4_000 {
		step(sm)
	}
	require.False(t, sm.group.client.Connected())
	before := sm.Counters.Throttled
	step(sm, Input{Kind: ConnectionOpened, Link: 8})
	invocation := tokenInvocation(1, "a1")
	invocation.Link = 8
	effects := step(sm, invocation)
	assert.Contains(t, localEffectKinds(effects), SendToConnection)
	for _, c := range claimCommands(t, sm, effects) {
		assert.Equal(t, claims.CommandNoop, c.Kind)
	}
	assert.Equal(t, before+1, sm.Counters.Throttled)
	assert.Zero(t, sm.group.client.Size())
}

// A stream is closed when a malformed message comes on it, and a stream that has closed is forgotten.
func TestMalformedStreamIsClosed(t *testing.T) {
	sm := claimingNode(t)
	effects := step(sm, Input{Kind: PeerMessageReceived, Link: 4, Bytes: []byte("not a valid message of a fleet")})
	assert.Contains(t, localEffectKinds(effects), CloseStream)
	step(sm, Input{Kind: PeerStreamClosed, Link: 3})
	assert.Empty(t, sm.group.streams)
}

// The executor reports the end of a run that the node did not start: the group must resolve the claim of its earlier incarnation.
func TestEndOfARunOfAnEarlierIncarnationIsReported(t *testing.T) {
	sm := claimingNode(t)
	resolve := claimCommands(t, sm, executorSends(sm, "EXIT 1 00000000000000ff good 5 2|ok"))
	require.Len(t, resolve, 1)
	assert.Equal(t, claims.CommandResolve, resolve[0].Kind)
	assert.Equal(t, "00000000000000ff", resolve[0].InvocationID)
}

func TestCommandsGoToTheNextReplicaAfterATimeout(t *testing.T) {
	cs := &groupState{replicas: []string{"a", "b", "c"}, targetReplica: 2}
	cs.rotateTargetReplica(10 * ms)
	assert.Equal(t, 2, cs.targetReplica, "the first command only starts the timeout")
	cs.rotateTargetReplica(10*ms + replicaTimeout - 1)
	assert.Equal(t, 2, cs.targetReplica)
	cs.rotateTargetReplica(10*ms + replicaTimeout)
	assert.Equal(t, 0, cs.targetReplica, "the first replica follows the last")
	cs.rotateTargetReplica(10*ms + 2*replicaTimeout - 1)
	assert.Equal(t, 0, cs.targetReplica, "the timeout starts anew for the next replica")
}

func TestCommandsGoToTheLeaderThatAnswered(t *testing.T) {
	cs := &groupState{replicas: []string{"a", "b", "c"}, unansweredSince: 5}
	cs.recordAnswer("c")
	assert.Equal(t, 2, cs.targetReplica)
	assert.Zero(t, cs.unansweredSince)
	cs.recordAnswer("unknown")
	assert.Equal(t, 2, cs.targetReplica)
}

func TestWithoutAConsensusGroupNothingIsClaimed(t *testing.T) {
	sm := cachingNode(t, resultcache.InMemory)
	assert.False(t, sm.group.enabled())
	assert.False(t, sm.group.canClaim())
	assert.Nil(t, sm.ConsensusSummary())
	current, has := sm.group.replicaIsCurrent()
	assert.False(t, current || has)
	agreed, changed := sm.group.agreedConfig()
	assert.Nil(t, agreed)
	assert.False(t, changed)
	assert.Equal(t, int64(never), sm.claimsDue())
}
