package claims

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestRunStartsOnlyAfterItsStartIsCommitted(t *testing.T) {
	client := connectedClient()
	claim := sentCommands(stepAfter(client, ms, claimRequest("t")))
	require.Len(t, claim, 1)
	assert.Equal(t, CommandClaim, claim[0].Kind)
	assert.Empty(t, stepAfter(client, ms, Input{Kind: RequestStart, Key: testKey("t")}), "the claim is not granted yet")
	start := sentCommands(stepAfter(client, ms, verdictInput(claim[0].Seq, AnswerGranted, 3)))
	require.Len(t, start, 1)
	assert.Equal(t, Command{Kind: CommandStart, Sender: nodeA, Seq: start[0].Seq, Key: testKey("t"), Fence: 3}, start[0])
	assert.Equal(t, []ActionKind{StartRun}, actionKinds(stepAfter(client, ms, verdictInput(start[0].Seq, AnswerGranted, 3))))
	assert.Empty(t, stepAfter(client, ms, verdictInput(start[0].Seq, AnswerGranted, 3)), "a repeated verdict does not start the run again")
	end := sentCommands(stepAfter(client, ms, Input{Kind: ReportEnd, Key: testKey("t"), Result: []byte("r")}))
	assert.Equal(t, CommandEnd, end[0].Kind)
	assert.Equal(t, []ActionKind{EndRecorded}, actionKinds(stepAfter(client, ms, verdictInput(end[0].Seq, AnswerDone, 0))))
	assert.Zero(t, client.Size())
}

// Guards against a late release that removes a started claim: a token that is claimed again while its release is in flight must
// not start under the old fence.
func TestTokenClaimedDuringItsReleaseGetsANewFence(t *testing.T) {
	client := connectedClient()
	claim := sentCommands(stepAfter(client, ms, claimRequest("t")))
	stepAfter(client, ms, verdictInput(claim[0].Seq, AnswerGranted, 3))
	release := sentCommands(stepAfter(client, ms, Input{Kind: AbandonClaim, Key: testKey("t")}))
	assert.Empty(t, sentCommands(stepAfter(client, ms, claimRequest("t"), Input{Kind: RequestStart, Key: testKey("t")})))
	again := sentCommands(stepAfter(client, ms, verdictInput(release[0].Seq, AnswerDone, 0)))
	require.Len(t, again, 1)
	assert.Equal(t, CommandClaim, again[0].Kind)
	start := sentCommands(stepAfter(client, ms, verdictInput(again[0].Seq, AnswerGranted, 4)))
	require.Len(t, start, 1)
	assert.Equal(t, uint64(4), start[0].Fence)
}
