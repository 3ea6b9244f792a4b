package node

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"topazpost/internal/fleet/claims"
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
	assert.Contains(t, localEffects(effects), SendToConnection)
	for _, c := range claimCommands(t, r, effects) {
		assert.Equal(t, claims.CommandNoop, c.Kind)
	}
	assert.Equal(t, before+1, r.Counters.Throttled)
	assert.Zero(t, r.claiming.client.Size())
}

func TestMalformedStreamIsClosed(t *testing.T) {
	r := claimingNode(t)
	effects := step(r, Input{Kind: PeerMessageReceived, Link: 4, Bytes: []byte("no letter at all, of any kind")})
	assert.Contains(t, localEffects(effects), CloseStream)
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
