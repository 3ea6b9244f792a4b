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
	assert.Equal(t, Claim, claim[0].Kind)
	assert.Empty(t, after(d, ms, Input{Want: Begin, Key: key("t")}), "it is not claimed yet")
	start := sent(after(d, ms, verdict(claim[0].Seq, Granted, 3)))
	require.Len(t, start, 1)
	assert.Equal(t, Command{Kind: Start, From: a, Seq: start[0].Seq, Key: key("t"), Fence: 3}, start[0])
	assert.Equal(t, []Deed{Run}, deeds(after(d, ms, verdict(start[0].Seq, Granted, 3))))
	assert.Empty(t, after(d, ms, verdict(start[0].Seq, Granted, 3)), "once")
	end := sent(after(d, ms, Input{Want: Finish, Key: key("t"), Result: []byte("r")}))
	assert.Equal(t, End, end[0].Kind)
	assert.Equal(t, []Deed{Kept}, deeds(after(d, ms, verdict(end[0].Seq, Done, 0))))
	assert.Zero(t, d.Size())
}

func TestOldFenceAsksWhoHasIt(t *testing.T) {
	d := at(1)
	claim := sent(after(d, ms, arrived("t"), Input{Want: Begin, Key: key("t")}))
	start := sent(after(d, ms, verdict(claim[0].Seq, Granted, 3)))
	again := sent(after(d, ms, verdict(start[0].Seq, Fenced, 0)))
	require.Len(t, again, 1)
	assert.Equal(t, Claim, again[0].Kind)
	assert.True(t, d.Elsewhere(key("t")))
	assert.Equal(t, []Deed{Learn}, deeds(after(d, ms, Input{Want: Answered, Verdict: Verdict{Seq: again[0].Seq, Answer: Known, Result: []byte("r")}})))
}

func TestWhatIsElsewhereIsAskedForAgainAndTold(t *testing.T) {
	d := at(1)
	claim := sent(after(d, ms, arrived("t"), Input{Want: Begin, Key: key("t")}))
	after(d, ms, Input{Want: Answered, Verdict: Verdict{Seq: claim[0].Seq, Answer: Elsewhere, Owner: b, Fence: 3}})
	told := sent(after(d, ms, Input{Want: TellsEnd, Key: key("t")}))
	require.Len(t, told, 1)
	after(d, ms, Input{Want: Answered, Verdict: Verdict{Seq: told[0].Seq, Answer: Elsewhere, Owner: b, Fence: 3}})
	assert.Len(t, sent(after(d, askEvery+scanEvery)), 1, "though the telling was lost")
	assert.Equal(t, []Deed{Unsure}, deeds(after(d, ms, verdict(d.seq, Doubted, 0))))
}

func TestCommandThatIsNotAnsweredIsSentAgainAsItWas(t *testing.T) {
	d := at(1)
	claim := sent(after(d, ms, arrived("t")))
	again := sent(after(d, againFirst))
	require.Len(t, again, 1)
	assert.Equal(t, claim[0].Seq, again[0].Seq)
	assert.Equal(t, claim[0].For-againFirst, again[0].For, "with what is left of its time")
}

func TestCouncilOutOfReachGivesUpWhatIsNotClaimed(t *testing.T) {
	d := at(1)
	after(d, ms, arrived("t"), Input{Want: Begin, Key: key("t")}, arrived("held"))
	assert.True(t, d.Reached())
	after(d, againFirst)
	actions := after(d, reachFor)
	assert.Equal(t, []Deed{Deny}, deeds(actions))
	assert.False(t, d.Reached())
	probe := sent(after(d, probeEvery))
	require.NotEmpty(t, probe)
	assert.Equal(t, Nop, probe[len(probe)-1].Kind)
	late := d.claims[key("t")].seq
	release := sent(after(d, ms, verdict(late, Granted, 5)))
	assert.True(t, d.Reached())
	require.Len(t, release, 1)
	assert.Equal(t, Release, release[0].Kind, "what was granted after all is let go")
}

// Guards against a release that comes late and takes a start with it: under a fence that was let go nothing may start.
func TestTokenThatComesAgainWhileItIsLetGoGetsAnotherFence(t *testing.T) {
	d := at(1)
	claim := sent(after(d, ms, arrived("t")))
	after(d, ms, verdict(claim[0].Seq, Granted, 3))
	release := sent(after(d, ms, Input{Want: Drop, Key: key("t")}))
	assert.Empty(t, sent(after(d, ms, arrived("t"), Input{Want: Begin, Key: key("t")})))
	again := sent(after(d, ms, verdict(release[0].Seq, Done, 0)))
	require.Len(t, again, 1)
	assert.Equal(t, Claim, again[0].Kind)
	start := sent(after(d, ms, verdict(again[0].Seq, Granted, 4)))
	require.Len(t, start, 1)
	assert.Equal(t, uint64(4), start[0].Fence)
}

func TestClaimOfThisLifeThatItKnowsNothingOfIsLetGo(t *testing.T) {
	d := at(1)
	claim := sent(after(d, ms, arrived("t")))
	actions := sent(after(d, ms, Input{Want: Answered, Verdict: Verdict{Seq: claim[0].Seq, Answer: Elsewhere, Owner: a, Fence: 9}}))
	require.Len(t, actions, 2)
	assert.Equal(t, Release, actions[0].Kind)
	assert.Equal(t, uint64(9), actions[0].Fence)
	assert.Equal(t, Claim, actions[1].Kind)
}

func TestGiftIsTakenOnce(t *testing.T) {
	d := at(1)
	gift := Input{Want: Given, Key: key("t"), Body: 7, For: 1_000 * ms, Fence: 5, Work: []byte("work")}
	assert.Equal(t, []Deed{Heir}, deeds(after(d, ms, gift)))
	assert.Empty(t, after(d, ms, gift), "told again")
	start := sent(after(d, ms, Input{Want: Begin, Key: key("t")}))
	assert.Equal(t, uint64(5), start[0].Fence)
	after(d, ms, arrived("u"), Input{Want: Begin, Key: key("u")})
	gift.Key = key("u")
	joined := after(d, ms, gift)
	assert.Empty(t, deeds(joined), "a caller is here already: its invocation goes on")
	assert.Equal(t, Start, sent(joined)[0].Kind)
}

func TestIdleDeskAsksWhetherItsCouncilIsThere(t *testing.T) {
	d := at(1)
	probe := sent(after(d, idleEvery+ms))
	require.Len(t, probe, 1)
	assert.Equal(t, Nop, probe[0].Kind)
	after(d, reachFor+ms)
	assert.False(t, d.Reached())
}

func TestEndOfAnEarlierLifeIsToldUntilItIsAgreedOn(t *testing.T) {
	d := at(1)
	first := sent(after(d, ms, Input{Want: Outlived, Call: "c", Result: []byte("r")}))
	require.Len(t, first, 1)
	assert.Equal(t, Settle, first[0].Kind)
	assert.Len(t, sent(after(d, againMost)), 1)
	after(d, ms, verdict(first[0].Seq, Done, 0))
	assert.Empty(t, sent(after(d, againMost)))
}

func BenchmarkDesk(b *testing.B) {
	d := at(1)
	for b.Loop() {
		claim := sent(after(d, 1, arrived("t"), Input{Want: Begin, Key: key("t")}))
		start := sent(after(d, 1, verdict(claim[0].Seq, Granted, 3)))
		after(d, 1, verdict(start[0].Seq, Granted, 3))
		end := sent(after(d, 1, Input{Want: Finish, Key: key("t")}))
		after(d, 1, verdict(end[0].Seq, Done, 0))
		if len(d.order) > 1_000 {
			d.scan()
		}
	}
}
