package claims

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestRunWaitsForItsStart(t *testing.T) {
	d := at(1)
	claim := sent(after(d, ms, arrived("t")))
	require.Len(t, claim, 1)
	assert.Equal(t, CommandClaim, claim[0].Kind)
	assert.Empty(t, after(d, ms, Input{Kind: RequestStart, Key: key("t")}), "it is not claimed yet")
	start := sent(after(d, ms, verdict(claim[0].Seq, AnswerGranted, 3)))
	require.Len(t, start, 1)
	assert.Equal(t, Command{Kind: CommandStart, Sender: a, Seq: start[0].Seq, Key: key("t"), Fence: 3}, start[0])
	assert.Equal(t, []ActionKind{StartRun}, deeds(after(d, ms, verdict(start[0].Seq, AnswerGranted, 3))))
	assert.Empty(t, after(d, ms, verdict(start[0].Seq, AnswerGranted, 3)), "once")
	end := sent(after(d, ms, Input{Kind: ReportEnd, Key: key("t"), Result: []byte("r")}))
	assert.Equal(t, CommandEnd, end[0].Kind)
	assert.Equal(t, []ActionKind{EndRecorded}, deeds(after(d, ms, verdict(end[0].Seq, AnswerDone, 0))))
	assert.Zero(t, d.Size())
}

func TestOldFenceAsksWhoHasIt(t *testing.T) {
	d := at(1)
	claim := sent(after(d, ms, arrived("t"), Input{Kind: RequestStart, Key: key("t")}))
	start := sent(after(d, ms, verdict(claim[0].Seq, AnswerGranted, 3)))
	again := sent(after(d, ms, verdict(start[0].Seq, AnswerStaleFence, 0)))
	require.Len(t, again, 1)
	assert.Equal(t, CommandClaim, again[0].Kind)
	assert.True(t, d.OwnedElsewhere(key("t")))
	assert.Equal(t, []ActionKind{CompletedElsewhere}, deeds(after(d, ms, Input{Kind: VerdictReceived, Verdict: Verdict{Seq: again[0].Seq, Answer: AnswerCompleted, Result: []byte("r")}})))
}

func TestWhatIsElsewhereIsAskedForAgainAndTold(t *testing.T) {
	d := at(1)
	claim := sent(after(d, ms, arrived("t"), Input{Kind: RequestStart, Key: key("t")}))
	after(d, ms, Input{Kind: VerdictReceived, Verdict: Verdict{Seq: claim[0].Seq, Answer: AnswerOwnedElsewhere, Owner: b, Fence: 3}})
	told := sent(after(d, ms, Input{Kind: EndNotified, Key: key("t")}))
	require.Len(t, told, 1)
	after(d, ms, Input{Kind: VerdictReceived, Verdict: Verdict{Seq: told[0].Seq, Answer: AnswerOwnedElsewhere, Owner: b, Fence: 3}})
	assert.Len(t, sent(after(d, askEvery+scanEvery)), 1, "though the telling was lost")
	assert.Equal(t, []ActionKind{UnknownElsewhere}, deeds(after(d, ms, verdict(d.seq, AnswerOutcomeUnknown, 0))))
}

func TestCommandThatIsNotAnsweredIsSentAgainAsItWas(t *testing.T) {
	d := at(1)
	claim := sent(after(d, ms, arrived("t")))
	again := sent(after(d, againFirst))
	require.Len(t, again, 1)
	assert.Equal(t, claim[0].Seq, again[0].Seq)
	assert.Equal(t, claim[0].Duration-againFirst, again[0].Duration, "with what is left of its time")
}

func TestCouncilOutOfReachGivesUpWhatIsNotClaimed(t *testing.T) {
	d := at(1)
	after(d, ms, arrived("t"), Input{Kind: RequestStart, Key: key("t")}, arrived("held"))
	assert.True(t, d.Connected())
	after(d, againFirst)
	actions := after(d, reachFor)
	assert.Equal(t, []ActionKind{RejectClaim}, deeds(actions))
	assert.False(t, d.Connected())
	probe := sent(after(d, probeEvery))
	require.NotEmpty(t, probe)
	assert.Equal(t, CommandNoop, probe[len(probe)-1].Kind)
	late := d.claims[key("t")].seq
	release := sent(after(d, ms, verdict(late, AnswerGranted, 5)))
	assert.True(t, d.Connected())
	require.Len(t, release, 1)
	assert.Equal(t, CommandRelease, release[0].Kind, "what was granted after all is let go")
}

// Guards against a release that comes late and takes a start with it: under a fence that was let go nothing may start.
func TestTokenThatComesAgainWhileItIsLetGoGetsAnotherFence(t *testing.T) {
	d := at(1)
	claim := sent(after(d, ms, arrived("t")))
	after(d, ms, verdict(claim[0].Seq, AnswerGranted, 3))
	release := sent(after(d, ms, Input{Kind: AbandonClaim, Key: key("t")}))
	assert.Empty(t, sent(after(d, ms, arrived("t"), Input{Kind: RequestStart, Key: key("t")})))
	again := sent(after(d, ms, verdict(release[0].Seq, AnswerDone, 0)))
	require.Len(t, again, 1)
	assert.Equal(t, CommandClaim, again[0].Kind)
	start := sent(after(d, ms, verdict(again[0].Seq, AnswerGranted, 4)))
	require.Len(t, start, 1)
	assert.Equal(t, uint64(4), start[0].Fence)
}

func TestClaimOfThisLifeThatItKnowsNothingOfIsLetGo(t *testing.T) {
	d := at(1)
	claim := sent(after(d, ms, arrived("t")))
	actions := sent(after(d, ms, Input{Kind: VerdictReceived, Verdict: Verdict{Seq: claim[0].Seq, Answer: AnswerOwnedElsewhere, Owner: a, Fence: 9}}))
	require.Len(t, actions, 2)
	assert.Equal(t, CommandRelease, actions[0].Kind)
	assert.Equal(t, uint64(9), actions[0].Fence)
	assert.Equal(t, CommandClaim, actions[1].Kind)
}

func TestGiftIsTakenOnce(t *testing.T) {
	d := at(1)
	gift := Input{Kind: ClaimAssigned, Key: key("t"), BodyHash: 7, Remaining: 1_000 * ms, Fence: 5, Work: []byte("work")}
	assert.Equal(t, []ActionKind{TakeOver}, deeds(after(d, ms, gift)))
	assert.Empty(t, after(d, ms, gift), "told again")
	start := sent(after(d, ms, Input{Kind: RequestStart, Key: key("t")}))
	assert.Equal(t, uint64(5), start[0].Fence)
	after(d, ms, arrived("u"), Input{Kind: RequestStart, Key: key("u")})
	gift.Key = key("u")
	joined := after(d, ms, gift)
	assert.Empty(t, deeds(joined), "a caller is here already: its invocation goes on")
	assert.Equal(t, CommandStart, sent(joined)[0].Kind)
}

func TestIdleDeskAsksWhetherItsCouncilIsThere(t *testing.T) {
	d := at(1)
	probe := sent(after(d, idleEvery+ms))
	require.Len(t, probe, 1)
	assert.Equal(t, CommandNoop, probe[0].Kind)
	after(d, reachFor+ms)
	assert.False(t, d.Connected())
}

func TestEndOfAnEarlierLifeIsToldUntilItIsAgreedOn(t *testing.T) {
	d := at(1)
	first := sent(after(d, ms, Input{Kind: EarlierRunEnded, InvocationID: "c", Result: []byte("r")}))
	require.Len(t, first, 1)
	assert.Equal(t, CommandResolve, first[0].Kind)
	assert.Len(t, sent(after(d, againMost)), 1)
	after(d, ms, verdict(first[0].Seq, AnswerDone, 0))
	assert.Empty(t, sent(after(d, againMost)))
}

func BenchmarkDesk(b *testing.B) {
	d := at(1)
	for b.Loop() {
		claim := sent(after(d, 1, arrived("t"), Input{Kind: RequestStart, Key: key("t")}))
		start := sent(after(d, 1, verdict(claim[0].Seq, AnswerGranted, 3)))
		after(d, 1, verdict(start[0].Seq, AnswerGranted, 3))
		end := sent(after(d, 1, Input{Kind: ReportEnd, Key: key("t")}))
		after(d, 1, verdict(end[0].Seq, AnswerDone, 0))
		if len(d.order) > 1_000 {
			d.scan()
		}
	}
}
