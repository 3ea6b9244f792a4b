package node

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"topazpost/internal/fleet/claims"
	"topazpost/internal/resultcache"
)

func TestTokensAreRejectedWhileTheConsensusGroupIsUnreachable(t *testing.T) {
	r := claimingNode(t)
	for range 4_000 {
		step(r)
	}
	require.False(t, r.claiming.client.Connected())
	before := r.Counters.Throttled
	step(r, Input{Kind: ConnectionOpened, Link: 8})
	late := tokenInvocation(1, "a1")
	late.Link = 8
	effects := step(r, late)
	assert.Contains(t, localEffectKinds(effects), SendToConnection)
	for _, c := range claimCommands(t, r, effects) {
		assert.Equal(t, claims.CommandNoop, c.Kind)
	}
	assert.Equal(t, before+1, r.Counters.Throttled)
	assert.Zero(t, r.claiming.client.Size())
}

func TestMalformedStreamIsClosed(t *testing.T) {
	r := claimingNode(t)
	effects := step(r, Input{Kind: PeerMessageReceived, Link: 4, Bytes: []byte("no letter at all, of any kind")})
	assert.Contains(t, localEffectKinds(effects), CloseStream)
	step(r, Input{Kind: PeerStreamClosed, Link: 3})
	assert.Empty(t, r.claiming.streams)
}

func TestEndOfARunOfAnEarlierIncarnationIsReported(t *testing.T) {
	r := claimingNode(t)
	resolve := claimCommands(t, r, told(r, "EXIT 1 00000000000000ff good 5 2|ok"))
	require.Len(t, resolve, 1)
	assert.Equal(t, claims.CommandResolve, resolve[0].Kind)
	assert.Equal(t, "00000000000000ff", resolve[0].InvocationID)
}

func TestContactRotatesAmongReplicasThatAreSilent(t *testing.T) {
	cs := &claimState{replicas: []string{"a", "b", "c"}, targetReplica: 2}
	cs.rotateTargetReplica(10 * ms)
	assert.Equal(t, 2, cs.targetReplica, "the first command only starts the wait")
	cs.rotateTargetReplica(10*ms + replicaTimeout - 1)
	assert.Equal(t, 2, cs.targetReplica)
	cs.rotateTargetReplica(10*ms + replicaTimeout)
	assert.Equal(t, 0, cs.targetReplica, "it wraps around")
	cs.rotateTargetReplica(10*ms + 2*replicaTimeout - 1)
	assert.Equal(t, 0, cs.targetReplica, "the next replica has its time too")
}

func TestContactFollowsTheLeader(t *testing.T) {
	cs := &claimState{replicas: []string{"a", "b", "c"}, unansweredSince: 5}
	cs.recordAnswer("c")
	assert.Equal(t, 2, cs.targetReplica)
	assert.Zero(t, cs.unansweredSince)
	cs.recordAnswer("unknown")
	assert.Equal(t, 2, cs.targetReplica)
}

func TestWithoutAConsensusGroupNothingIsClaimed(t *testing.T) {
	r := cachingNode(t, resultcache.InMemory)
	assert.False(t, r.claiming.enabled())
	assert.False(t, r.claiming.canClaim())
	assert.Nil(t, r.Claims())
	current, has := r.claiming.replicaIsCurrent()
	assert.False(t, current || has)
	agreed, changed := r.claiming.agreedConfig()
	assert.Nil(t, agreed)
	assert.False(t, changed)
	assert.Equal(t, int64(never), r.claimsDue())
}
