package claims

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestClaimOfAnotherNodeIsCheckedAgainOnNotificationAndByTimer(t *testing.T) {
	client := connectedClient()
	claim := sentCommands(stepAfter(client, ms, claimRequest("t"), Input{Kind: RequestStart, Key: testKey("t")}))
	stepAfter(client, ms, Input{Kind: VerdictReceived, Verdict: Verdict{Seq: claim[0].Seq, Answer: AnswerOwned, Owner: nodeB, Fence: 3}})
	recheck := sentCommands(stepAfter(client, ms, Input{Kind: EndNotified, Key: testKey("t")}))
	require.Len(t, recheck, 1)
	stepAfter(client, ms, Input{Kind: VerdictReceived, Verdict: Verdict{Seq: recheck[0].Seq, Answer: AnswerOwned, Owner: nodeB, Fence: 3}})
	assert.Len(t, sentCommands(stepAfter(client, recheckInterval+scanInterval)), 1, "the timer covers a lost notification")
	assert.Equal(t, []ActionKind{UnknownElsewhere}, actionKinds(stepAfter(client, ms, verdictInput(client.lastSeq, AnswerOutcomeUnknown, 0))))
}

func TestRetryKeepsSequenceNumberAndSendsRemainingTime(t *testing.T) {
	client := connectedClient()
	claim := sentCommands(stepAfter(client, ms, claimRequest("t")))
	again := sentCommands(stepAfter(client, firstRetryBackoff))
	require.Len(t, again, 1)
	assert.Equal(t, claim[0].Seq, again[0].Seq)
	assert.Equal(t, claim[0].Duration-firstRetryBackoff, again[0].Duration, "a retry carries the remaining time")
}

func TestUnreachableGroupRejectsUngrantedClaims(t *testing.T) {
	client := connectedClient()
	stepAfter(client, ms, claimRequest("t"), Input{Kind: RequestStart, Key: testKey("t")}, claimRequest("not requested to start"))
	assert.True(t, client.Connected())
	stepAfter(client, firstRetryBackoff)
	actions := stepAfter(client, unreachableTimeout)
	assert.Equal(t, []ActionKind{RejectClaim}, actionKinds(actions))
	assert.False(t, client.Connected())
	probe := sentCommands(stepAfter(client, probeInterval))
	require.NotEmpty(t, probe)
	assert.Equal(t, CommandNoop, probe[len(probe)-1].Kind)
	late := client.claims[testKey("t")].pendingSeq
	release := sentCommands(stepAfter(client, ms, verdictInput(late, AnswerGranted, 5)))
	assert.True(t, client.Connected())
	require.Len(t, release, 1)
	assert.Equal(t, CommandRelease, release[0].Kind, "a grant after the rejection is released")
}

func TestIdleClientProbesTheGroup(t *testing.T) {
	client := connectedClient()
	probe := sentCommands(stepAfter(client, idleProbeInterval+ms))
	require.Len(t, probe, 1)
	assert.Equal(t, CommandNoop, probe[0].Kind)
	stepAfter(client, unreachableTimeout+ms)
	assert.False(t, client.Connected())
}

func TestReportOnAnEarlierIncarnationIsRetriedUntilAnswered(t *testing.T) {
	client := connectedClient()
	first := sentCommands(stepAfter(client, ms, Input{Kind: EarlierRunEnded, InvocationID: "c", Result: []byte("r")}))
	require.Len(t, first, 1)
	assert.Equal(t, CommandResolve, first[0].Kind)
	assert.Len(t, sentCommands(stepAfter(client, maxRetryBackoff)), 1)
	stepAfter(client, ms, verdictInput(first[0].Seq, AnswerDone, 0))
	assert.Empty(t, sentCommands(stepAfter(client, maxRetryBackoff)))
}
