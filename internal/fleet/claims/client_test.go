package claims

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestRunWaitsForItsCommittedStart(t *testing.T) {
	d := connectedClient(1)
	claim := sentCommands(stepAfter(d, ms, claimRequest("t")))
	require.Len(t, claim, 1)
	assert.Equal(t, CommandClaim, claim[0].Kind)
	assert.Empty(t, stepAfter(d, ms, Input{Kind: RequestStart, Key: testKey("t")}), "it is not claimed yet")
	start := sentCommands(stepAfter(d, ms, verdictInput(claim[0].Seq, AnswerGranted, 3)))
	require.Len(t, start, 1)
	assert.Equal(t, Command{Kind: CommandStart, Sender: nodeA, Seq: start[0].Seq, Key: testKey("t"), Fence: 3}, start[0])
	assert.Equal(t, []ActionKind{StartRun}, actionKinds(stepAfter(d, ms, verdictInput(start[0].Seq, AnswerGranted, 3))))
	assert.Empty(t, stepAfter(d, ms, verdictInput(start[0].Seq, AnswerGranted, 3)), "once")
	end := sentCommands(stepAfter(d, ms, Input{Kind: ReportEnd, Key: testKey("t"), Result: []byte("r")}))
	assert.Equal(t, CommandEnd, end[0].Kind)
	assert.Equal(t, []ActionKind{EndRecorded}, actionKinds(stepAfter(d, ms, verdictInput(end[0].Seq, AnswerDone, 0))))
	assert.Zero(t, d.Size())
}

func TestStaleFenceClaimsAgain(t *testing.T) {
	d := connectedClient(1)
	claim := sentCommands(stepAfter(d, ms, claimRequest("t"), Input{Kind: RequestStart, Key: testKey("t")}))
	start := sentCommands(stepAfter(d, ms, verdictInput(claim[0].Seq, AnswerGranted, 3)))
	again := sentCommands(stepAfter(d, ms, verdictInput(start[0].Seq, AnswerStaleFence, 0)))
	require.Len(t, again, 1)
	assert.Equal(t, CommandClaim, again[0].Kind)
	assert.True(t, d.OwnedElsewhere(testKey("t")))
	assert.Equal(t, []ActionKind{CompletedElsewhere}, actionKinds(stepAfter(d, ms, Input{Kind: VerdictReceived, Verdict: Verdict{Seq: again[0].Seq, Answer: AnswerCompleted, Result: []byte("r")}})))
}

func TestClaimElsewhereIsRecheckedAndNotified(t *testing.T) {
	d := connectedClient(1)
	claim := sentCommands(stepAfter(d, ms, claimRequest("t"), Input{Kind: RequestStart, Key: testKey("t")}))
	stepAfter(d, ms, Input{Kind: VerdictReceived, Verdict: Verdict{Seq: claim[0].Seq, Answer: AnswerOwnedElsewhere, Owner: nodeB, Fence: 3}})
	told := sentCommands(stepAfter(d, ms, Input{Kind: EndNotified, Key: testKey("t")}))
	require.Len(t, told, 1)
	stepAfter(d, ms, Input{Kind: VerdictReceived, Verdict: Verdict{Seq: told[0].Seq, Answer: AnswerOwnedElsewhere, Owner: nodeB, Fence: 3}})
	assert.Len(t, sentCommands(stepAfter(d, recheckInterval+scanInterval)), 1, "though the telling was lost")
	assert.Equal(t, []ActionKind{UnknownElsewhere}, actionKinds(stepAfter(d, ms, verdictInput(d.lastSeq, AnswerOutcomeUnknown, 0))))
}

func TestUnansweredCommandIsRetriedUnderItsSequenceNumber(t *testing.T) {
	d := connectedClient(1)
	claim := sentCommands(stepAfter(d, ms, claimRequest("t")))
	again := sentCommands(stepAfter(d, firstRetryBackoff))
	require.Len(t, again, 1)
	assert.Equal(t, claim[0].Seq, again[0].Seq)
	assert.Equal(t, claim[0].Duration-firstRetryBackoff, again[0].Duration, "with what is left of its time")
}

func TestUnreachableGroupRejectsUngrantedClaims(t *testing.T) {
	d := connectedClient(1)
	stepAfter(d, ms, claimRequest("t"), Input{Kind: RequestStart, Key: testKey("t")}, claimRequest("held"))
	assert.True(t, d.Connected())
	stepAfter(d, firstRetryBackoff)
	actions := stepAfter(d, unreachableTimeout)
	assert.Equal(t, []ActionKind{RejectClaim}, actionKinds(actions))
	assert.False(t, d.Connected())
	probe := sentCommands(stepAfter(d, probeInterval))
	require.NotEmpty(t, probe)
	assert.Equal(t, CommandNoop, probe[len(probe)-1].Kind)
	late := d.claims[testKey("t")].pendingSeq
	release := sentCommands(stepAfter(d, ms, verdictInput(late, AnswerGranted, 5)))
	assert.True(t, d.Connected())
	require.Len(t, release, 1)
	assert.Equal(t, CommandRelease, release[0].Kind, "what was granted after all is let go")
}

// Guards against a release that comes late and takes a start with it: under a fence that was let go nothing may start.
func TestTokenClaimedAgainDuringItsReleaseGetsANewFence(t *testing.T) {
	d := connectedClient(1)
	claim := sentCommands(stepAfter(d, ms, claimRequest("t")))
	stepAfter(d, ms, verdictInput(claim[0].Seq, AnswerGranted, 3))
	release := sentCommands(stepAfter(d, ms, Input{Kind: AbandonClaim, Key: testKey("t")}))
	assert.Empty(t, sentCommands(stepAfter(d, ms, claimRequest("t"), Input{Kind: RequestStart, Key: testKey("t")})))
	again := sentCommands(stepAfter(d, ms, verdictInput(release[0].Seq, AnswerDone, 0)))
	require.Len(t, again, 1)
	assert.Equal(t, CommandClaim, again[0].Kind)
	start := sentCommands(stepAfter(d, ms, verdictInput(again[0].Seq, AnswerGranted, 4)))
	require.Len(t, start, 1)
	assert.Equal(t, uint64(4), start[0].Fence)
}

func TestUnknownClaimOfThisIncarnationIsReleased(t *testing.T) {
	d := connectedClient(1)
	claim := sentCommands(stepAfter(d, ms, claimRequest("t")))
	actions := sentCommands(stepAfter(d, ms, Input{Kind: VerdictReceived, Verdict: Verdict{Seq: claim[0].Seq, Answer: AnswerOwnedElsewhere, Owner: nodeA, Fence: 9}}))
	require.Len(t, actions, 2)
	assert.Equal(t, CommandRelease, actions[0].Kind)
	assert.Equal(t, uint64(9), actions[0].Fence)
	assert.Equal(t, CommandClaim, actions[1].Kind)
}

func TestAssignedClaimIsTakenOverOnce(t *testing.T) {
	d := connectedClient(1)
	gift := Input{Kind: ClaimAssigned, Key: testKey("t"), BodyHash: 7, Remaining: 1_000 * ms, Fence: 5, Work: []byte("work")}
	assert.Equal(t, []ActionKind{TakeOver}, actionKinds(stepAfter(d, ms, gift)))
	assert.Empty(t, stepAfter(d, ms, gift), "told again")
	start := sentCommands(stepAfter(d, ms, Input{Kind: RequestStart, Key: testKey("t")}))
	assert.Equal(t, uint64(5), start[0].Fence)
	stepAfter(d, ms, claimRequest("u"), Input{Kind: RequestStart, Key: testKey("u")})
	gift.Key = testKey("u")
	joined := stepAfter(d, ms, gift)
	assert.Empty(t, actionKinds(joined), "a caller is here already: its invocation goes on")
	assert.Equal(t, CommandStart, sentCommands(joined)[0].Kind)
}

func TestIdleClientProbesTheGroup(t *testing.T) {
	d := connectedClient(1)
	probe := sentCommands(stepAfter(d, idleProbeInterval+ms))
	require.Len(t, probe, 1)
	assert.Equal(t, CommandNoop, probe[0].Kind)
	stepAfter(d, unreachableTimeout+ms)
	assert.False(t, d.Connected())
}

func TestEndOfAnEarlierIncarnationIsRetriedUntilCommitted(t *testing.T) {
	d := connectedClient(1)
	first := sentCommands(stepAfter(d, ms, Input{Kind: EarlierRunEnded, InvocationID: "c", Result: []byte("r")}))
	require.Len(t, first, 1)
	assert.Equal(t, CommandResolve, first[0].Kind)
	assert.Len(t, sentCommands(stepAfter(d, maxRetryBackoff)), 1)
	stepAfter(d, ms, verdictInput(first[0].Seq, AnswerDone, 0))
	assert.Empty(t, sentCommands(stepAfter(d, maxRetryBackoff)))
}

func BenchmarkClient(b *testing.B) {
	d := connectedClient(1)
	for b.Loop() {
		claim := sentCommands(stepAfter(d, 1, claimRequest("t"), Input{Kind: RequestStart, Key: testKey("t")}))
		start := sentCommands(stepAfter(d, 1, verdictInput(claim[0].Seq, AnswerGranted, 3)))
		stepAfter(d, 1, verdictInput(start[0].Seq, AnswerGranted, 3))
		end := sentCommands(stepAfter(d, 1, Input{Kind: ReportEnd, Key: testKey("t")}))
		stepAfter(d, 1, verdictInput(end[0].Seq, AnswerDone, 0))
		if len(d.order) > 1_000 {
			d.scan()
		}
	}
}
