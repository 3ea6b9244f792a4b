package node

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"

	"topazpost/internal/admission"
	"topazpost/internal/invariant"
	"topazpost/internal/protocol/frame"
	"topazpost/internal/protocol/lineprotocol"
)

func frameText(f frame.Frame) string {
	switch {
	case f.Type == frame.NoMore:
		return "no more"
	case f.Type == frame.Checked:
		return fmt.Sprintf("check %d", f.Payload[0])
	}
	return fmt.Sprintf("%d on %d", f.Payload[0], f.Stream)
}

func TestExecutorGetsOnlyJoinBeforeItsWelcomeAndRunsAfterIt(t *testing.T) {
	r := fresh(t)
	r.executor.link, r.executor.dialingLink = 0, 9
	assert.Equal(t, "JOIN 0\r\n", text(step(r, Input{Kind: ExecutorConnected, Link: 9}), SendToExecutor))
	assert.Equal(t, "METER j9\r\n", text(told(r, "WELCOME new 3"), SendToExecutor))
	assert.Empty(t, text(step(r, invoke(1)), SendToExecutor), "notices may still follow the welcome")
	assert.Equal(t, "EXEC "+callID+" catalogue 4\r\nbody\r\n", text(told(r, "METERS j9 0 0 0 0"), SendToExecutor))
}

func TestRefusedGaugesRequestDoesNotBlockCommands(t *testing.T) {
	r := fresh(t)
	told(r, "WELCOME new 3")
	told(r, "BAD METER j1")
	step(r, invoke(1))
	r.now = r.executor.gauges.requestAt
	assert.Equal(t, "METER j1\r\n", text(step(r), SendToExecutor))
	assert.Contains(t, text(told(r, "METERS j1 0 0 0 0"), SendToExecutor), "EXEC")
}

func TestInvocationRunsAndIsAnsweredWithItsResult(t *testing.T) {
	r := up(t)
	assert.Equal(t, "EXEC "+callID+" catalogue 4\r\nbody\r\n", text(step(r, invoke(1)), SendToExecutor))
	sent := told(r, "EXIT 1 "+callID+" good 12 6|result")
	assert.Equal(t, []string{"20 on 1"}, answers(t, sent))
	assert.Contains(t, text(sent, SendToConnection), "result")
	assert.Empty(t, answers(t, told(r, "EXIT 1 "+callID+" good 12 6|result")), "a notice is taken once")
	assert.Zero(t, r.owedAnswers)
	assert.Empty(t, r.indexByCall)
}

func TestDisconnectedCallerGetsNoAnswer(t *testing.T) {
	r := up(t)
	step(r, invoke(1))
	step(r, Input{Kind: FrameReceived, Link: 7, Frame: frame.Frame{Type: frame.Gone, Stream: 1}})
	assert.Empty(t, answers(t, told(r, "EXIT 1 "+callID+" good 12 6|result")))
	step(r, invoke(2))
	assert.Empty(t, step(r, Input{Kind: ConnectionClosed, Link: 7}))
	assert.Empty(t, answers(t, told(r, "EXIT 2 "+callID+" good 12 6|result")))
	assert.Empty(t, r.indexByCall)
}

func TestMalformedInvocationFailsAndItsConnectionStaysOpen(t *testing.T) {
	r := up(t)
	for i, broken := range []Input{invoke(1, "op", "other"), invoke(2, "call", "9B1F"), invoke(3, "recv", "-"),
		invoke(4, "heap", "0"), invoke(5, "crit", "1"), invoke(6, "work", "NaN"), invoke(7, "src", "x"),
		{Kind: FrameReceived, Link: 7, Frame: frame.Frame{Type: frame.Invocation, Stream: 8, Past: true}},
		{Kind: FrameReceived, Link: 7, Frame: frame.Frame{Type: frame.Invocation, Stream: 9, Payload: []byte{200}}},
		invoke(10, "recv", "99999999999999"), invoke(11, "recv", "-1"), invoke(12, "work", "0x1p2"),
		invoke(13, "heap", "1e2"), invoke(14, "src", "9999999999999"), invoke(15, "row", "7f3a"),
		invoke(16, "rep", "2")} {
		r.connections.byLink[7].faults = 0
		assert.Equal(t, []string{fmt.Sprintf("51 on %d", i+1)}, answers(t, step(r, broken)))
	}
	assert.NotEmpty(t, text(step(r, invoke(20)), SendToExecutor))
	assert.Equal(t, []string{"51 on 21"}, answers(t, step(r, invoke(21))), "its id is in use")
}

func TestBrokenConnectionClosesOnceItsStreamsAreAnswered(t *testing.T) {
	for what, bad := range map[string]Input{"length": {Kind: FrameMalformed, Link: 7, Err: frame.ErrLength},
		"order": invoke(1), "type": {Kind: FrameReceived, Link: 7, Frame: frame.Frame{Type: 99}}} {
		r := up(t)
		step(r, invoke(1))
		assert.Equal(t, []string{"51 on 0", "no more"}, answers(t, step(r, bad)), what)
		assert.Equal(t, []string{"51 on 2"}, answers(t, step(r, invoke(2, "call", "0000000000000000"))), "never run: "+what)
		end := told(r, "EXIT 1 "+callID+" good 12 6|result")
		assert.Equal(t, []string{"20 on 1"}, answers(t, end), what)
		assert.Equal(t, CloseAfterFlush, end[len(end)-1].Kind, what)
	}
}

func TestDataReplyIsReturnedUnchangedAndOtherRepliesEndTheCall(t *testing.T) {
	for reply, want := range map[string]string{"DATA 5|reply": "RETURN " + callID + " 5\r\nreply\r\n",
		"LATER": "FETCH", "NOUSE": "FETCH", "FAULT": "51", "TOOSLOW": "51"} {
		r := up(t)
		step(r, invoke(1))
		told(r, "CALLOUT 1 "+callID+" 3|ask")
		assert.Regexp(t, "^FETCH "+callID+` \d+ 3\r\nask\r\n$`, text(reached(r), SendToCatalogue))
		got := replied(r, callID+" "+reply)
		if want == "FETCH" { // again, over a new link
			got = reached(r)
		}
		assert.Contains(t, text(got, SendToExecutor)+text(got, SendToCatalogue)+fmt.Sprint(answers(t, got)), want, reply)
	}
}

func TestFailedCatalogueDialIsRetriedAndADisconnectIsNot(t *testing.T) {
	r := up(t)
	step(r, invoke(1))
	told(r, "CALLOUT 1 "+callID+" 3|ask")
	again := step(r, Input{Kind: CatalogueDialFailed, Link: r.catalogue.links[0].id})
	assert.Equal(t, DialCatalogue, again[0].Kind)
	reached(r)
	assert.Equal(t, []string{"51 on 1"}, answers(t, step(r, Input{Kind: CatalogueDisconnected, Link: r.catalogue.links[0].id})))
}

func TestCallTimesOutAtItsDeadlineAndItsReplyIsDropped(t *testing.T) {
	r := up(t)
	step(r, invoke(1))
	told(r, "CALLOUT 1 "+callID+" 3|ask")
	reached(r)
	link := r.catalogue.links[0].id
	r.now, r.executor.lastLineAt = r.invocations[0].callDeadline, r.invocations[0].callDeadline
	got := step(r)
	assert.Equal(t, Effect{Kind: CloseCatalogue, Link: link}, got[0])
	assert.Equal(t, []string{"51 on 1"}, answers(t, got))
	assert.Empty(t, step(r, Input{Kind: CatalogueLineReceived, Link: link, Line: lineprotocol.Line{Words: []string{callID, "DATA", "0"}}}))
}

func TestCatalogueLinkClosesAfterItsIdleTimeout(t *testing.T) {
	r := up(t)
	r.catalogue.links = []catalogueLink{{id: 5, address: r.addresses.Catalogue, up: true, invocation: -1, idleSince: r.now - catalogueIdleTimeout}}
	got := step(r)
	assert.Equal(t, CloseCatalogue, got[0].Kind)
	assert.Empty(t, r.catalogue.links)
}

func TestEachCallHasItsOwnLinkAndAMalformedReplyFailsOnlyItsCall(t *testing.T) {
	r := up(t)
	const other = "00000000000000aa"
	step(r, invoke(1), invoke(2, "call", other))
	told(r, "CALLOUT 1 "+callID+" 3|ask")
	told(r, "CALLOUT 2 "+other+" 3|ask")
	assert.Len(t, r.catalogue.links, 2)
	reached(r)
	step(r, Input{Kind: CatalogueConnected, Link: r.catalogue.links[0].id})
	assert.Equal(t, []string{"51 on 1"}, answers(t, replied(r, "noise")))
	got := step(r, Input{Kind: CatalogueLineReceived, Link: r.catalogue.links[0].id, Line: lineprotocol.Line{Words: []string{other, "DATA", "1"},
		Body: []byte("x")}})
	assert.Equal(t, "RETURN "+other+" 1\r\nx\r\n", text(got, SendToExecutor))
	assert.True(t, r.catalogue.links[0].up && r.catalogue.links[0].invocation < 0, "kept for the next first call of a run")
	told(r, "CALLOUT 3 "+other+" 3|ask")
	assert.Len(t, r.catalogue.links, 2, "a second copy of the first reply can't pass for the second's")
	got = step(r, Input{Kind: CatalogueLineReceived, Link: r.catalogue.links[0].id, Line: lineprotocol.Line{Words: []string{other, "DATA", "0"}}})
	assert.Equal(t, CloseCatalogue, got[0].Kind, "it brought what was not asked for")
}

func TestCallsWaitAtTheLinkLimit(t *testing.T) {
	r := up(t)
	r.catalogue.maxLinks = 1
	const other = "00000000000000aa"
	step(r, invoke(1), invoke(2, "call", other))
	told(r, "CALLOUT 1 "+callID+" 3|ask")
	told(r, "CALLOUT 2 "+other+" 3|ask")
	assert.Equal(t, []int32{1}, r.catalogue.waiting)
	reached(r)
	got := replied(r, callID+" DATA 0")
	assert.Contains(t, text(got, SendToCatalogue), "FETCH "+other)
	assert.Empty(t, r.catalogue.waiting)
}

func TestReloadSwitchesToTheNewAddressesAtOnce(t *testing.T) {
	r := up(t)
	const other = "00000000000000aa"
	step(r, invoke(1), invoke(2, "call", other))
	told(r, "CALLOUT 1 "+callID+" 3|ask")
	reached(r)
	old, reporting := r.executor.link, r.reports.link
	told(r, "CALLOUT 2 "+other+" 3|ask") // still being opened
	to := Addresses{"executor:2", "catalogue:2", "control:2"}
	dialed := map[EffectKind]string{}
	for _, e := range r.Step(r.now+ms, r.wall, []Input{{Kind: ReloadRequested, Addresses: to}}) {
		dialed[e.Kind] += e.Address
	}
	assert.Equal(t, map[EffectKind]string{CloseExecutor: "", DialExecutor: "executor:2", CloseCatalogue: "", DialCatalogue: "catalogue:2",
		SendReport: "control:2", WriteLog: "", SetWakeup: ""}, dialed)
	got := replied(r, callID+" DATA 0")
	assert.Equal(t, CloseCatalogue, got[0].Kind, "heard to its end, then left")
	step(r, Input{Kind: ExecutorDisconnected, Link: old}, Input{Kind: ReportFinished, Link: reporting})
	assert.Equal(t, []int{r.lastLink - 1, 0}, []int{r.executor.dialingLink, r.executor.link}, "the end of the old link is no news")
	got = step(r, Input{Kind: ExecutorConnected, Link: old}, Input{Kind: ExecutorConnected, Link: r.executor.dialingLink})
	assert.Equal(t, Effect{Kind: CloseExecutor, Link: old}, got[0], "a link that was being opened does not win")
	assert.Equal(t, "JOIN 2\r\n", text(got, SendToExecutor))
	assert.NotEqual(t, reporting, r.reports.link)
	assert.Empty(t, step(r, Input{Kind: ReloadRequested, Addresses: to}), "nothing new")
}

func TestCommandsAreResentOnceTheNoticesOfANewLinkAreReceived(t *testing.T) {
	r := up(t)
	const other = "00000000000000aa"
	step(r, invoke(1), invoke(2, "call", other))
	rejoined(r)
	assert.Equal(t, []string{"20 on 1"}, answers(t, told(r, "EXIT 1 "+callID+" good 12 1|r")))
	assert.Equal(t, "EXEC "+other+" catalogue 4\r\nbody\r\n", text(told(r, "METERS "+r.executor.syncTag()+" 0 0 0 0"), SendToExecutor))
	told(r, fmt.Sprintf("METERS m%d 0 0 0 0", r.executor.commands.sequence))
	assert.Empty(t, r.executor.commands.unread, "the gauges prove that all before them was read")
}

func TestGaugesAreRequestedOnceAfterNewCommands(t *testing.T) {
	r := up(t)
	asked := func(effects []Effect) int { return strings.Count(text(effects, SendToExecutor), "METER m1\r\n") }
	assert.Equal(t, 1, asked(r.Step(r.now+1, 1_000_000*ms, []Input{invoke(1)})))
	assert.Zero(t, asked(r.Step(r.now+1, 1_000_000*ms, nil)))
}

func TestGaugesReachTheControllerAsReceived(t *testing.T) {
	r := up(t)
	told(r, "METERS m0 0.5 3 0.1 3")
	assert.Equal(t, []admission.Event{{Kind: admission.TimerFired, BusyShare: 0.5, RunnableThreads: 3}}, r.events)
}

func TestExecutorLinkIsRedialedAfterADialFailure(t *testing.T) {
	r := up(t)
	for range 3 { // the first ends, the others are refused
		assert.Empty(t, step(r, Input{Kind: ExecutorDisconnected, Link: max(r.executor.link, r.executor.dialingLink)}))
		r.now = r.executor.redialAt
		assert.Equal(t, []Effect{{Kind: DialExecutor, Link: r.lastLink, Address: "executor:1"}}, step(r))
	}
}

func TestUnwelcomedLinkDoesNotKeepTheNodeAwake(t *testing.T) {
	r := up(t)
	step(r, Input{Kind: ExecutorDisconnected, Link: r.executor.link})
	r.now = r.executor.redialAt
	step(r)
	step(r, Input{Kind: ExecutorConnected, Link: r.executor.dialingLink})
	r.now = r.executor.gauges.requestAt
	step(r)
	assert.Greater(t, r.nextWakeup(), r.now)
}

func TestMalformedLineReopensTheExecutorLink(t *testing.T) {
	for _, line := range []string{"NONSENSE", "EXIT x y", "EXIT 1 " + callID + " maybe 3 0", "METERS j1 a b c d",
		"CALLOUT 0 x 1"} {
		r := up(t)
		assert.Equal(t, []EffectKind{CloseExecutor}, []EffectKind{told(r, line)[0].Kind}, line)
	}
}

func TestArrivalAgeIsMeasuredByTheLocalWallClock(t *testing.T) {
	r := up(t)
	r.wall = 500_000 * ms
	assert.Equal(t, 250*ms, r.arrivalAge(499_750))
	assert.Zero(t, r.arrivalAge(500_001))
	for stamp, can := range map[int64]bool{0: false, 440_000: true, 500_900: true, 502_000: false, 1 << 62: false} {
		assert.Equal(t, can, r.isPlausibleStamp(stamp), stamp)
	}
}

func TestHealthCheckIsAnsweredFromCacheOrByTheExecutor(t *testing.T) {
	deep := Input{Kind: FrameReceived, Link: 7, Frame: frame.Frame{Type: frame.Check,
		Payload: append([]byte{1, 3}, "e2e\x01\x001"...)}}
	r := fresh(t)
	assert.Equal(t, []string{"check 51"}, answers(t, step(r, deep)), "no executor yet")
	r = up(t)
	assert.Equal(t, []string{"check 20"}, answers(t, step(r, deep)))
	r.health.cached, r.config.Node.DeepHealthChecks = false, true
	assert.Equal(t, "DIAG d1\r\n", text(step(r, deep), SendToExecutor))
	assert.Equal(t, []string{"check 51"}, answers(t, told(r, "DIAGNOSED d1 bad")))
	step(r, deep)
	r.now += deepCheckTimeout
	assert.Equal(t, []string{"check 51"}, answers(t, step(r)))
}

func TestDrainStopsAcceptingThenExitsOnceAllIsAnswered(t *testing.T) {
	r := up(t)
	step(r, invoke(1))
	step(r, Input{Kind: DrainRequested})
	r.now += 2_000 * ms
	step(r)
	r.now += 100 * ms
	kinds := []EffectKind{}
	for _, e := range step(r, invoke(2, "call", "00000000000000aa")) {
		kinds = append(kinds, e.Kind)
	}
	assert.NotContains(t, kinds, Exit, "one is still open")
	assert.True(t, r.drain.acceptStopped)
	assert.Equal(t, 1, r.Counters.Throttled, "what came after intake ended is not run")
	end := told(r, "EXIT 1 "+callID+" good 12 1|r")
	assert.Equal(t, []string{"20 on 1"}, answers(t, end))
	assert.NotEqual(t, Exit, end[len(end)-1].Kind, "connection 7 has not ended, and somebody may still connect")
	crossed := step(r, invoke(3, "call", "00000000000000bb"))
	assert.Equal(t, []string{"50 on 3"}, answers(t, crossed), "it crossed the notice that no more may come")
	r.now += goAwayGrace
	assert.Equal(t, []Effect{{Kind: CloseAfterFlush, Link: 7}}, step(r))
	assert.Empty(t, step(r, Input{Kind: ListenerClosed}))
	assert.Equal(t, []Effect{{Kind: Exit}}, step(r, Input{Kind: ConnectionClosed, Link: 7}))
}

func TestDrainWithoutAnExecutorExitsOnceConnectionsAreClosed(t *testing.T) {
	r := fresh(t)
	got := step(r, Input{Kind: DrainRequested})
	assert.Equal(t, []string{"no more"}, answers(t, got))
	told(r, "WELCOME new 0")
	told(r, "METERS j1 0.1 1 0.1 3")
	got = step(r, invoke(1))
	assert.Equal(t, []string{"50 on 1"}, answers(t, got), "one that crosses is answered")
	assert.Zero(t, runsOf(got), "though the executor is up by now")
	assert.Empty(t, step(r, Input{Kind: ListenerClosed}))
	assert.Equal(t, []Effect{{Kind: Exit}}, step(r, Input{Kind: ConnectionClosed, Link: 7}))
	r = fresh(t)
	step(r, Input{Kind: DrainRequested})
	r.now = r.drain.killAt - exitMargin
	got = step(r, Input{Kind: ListenerClosed})
	assert.Equal(t, Exit, got[len(got)-1].Kind, "no peer keeps it past its time")
}

func TestFullConnectionTableEvictsTheLongestIdle(t *testing.T) {
	r := up(t)
	step(r, invoke(1))
	step(r, Input{Kind: ConnectionOpened, Link: 8})
	step(r, Input{Kind: ConnectionOpened, Link: 9})
	step(r, Input{Kind: ConnectionOpened, Link: 10})
	check := func(link int) Input {
		return Input{Kind: FrameReceived, Link: link, Frame: frame.Frame{Type: frame.Check, Payload: []byte{0}}}
	}
	step(r, check(9))
	step(r, check(8))
	r.SpareConnections = 1
	assert.Equal(t, Effect{Kind: EvictConnection, Link: 10}, step(r, Input{Kind: ConnectionOpened, Link: 11})[0], "it brought nothing")
	step(r, Input{Kind: ConnectionClosed, Link: 10})
	step(r, check(11))
	step(r, Input{Kind: ConnectionOpened, Link: 12})
	assert.True(t, r.connections.byLink[9].goAwaySent, "8 was heard of later")
	assert.False(t, r.connections.byLink[8].goAwaySent)
	assert.Equal(t, 2, r.Counters.Evicted)
	step(r, check(12))
	assert.Equal(t, Effect{Kind: EvictConnection, Link: 8}, step(r, Input{Kind: ConnectionOpened, Link: 13})[0], "no place is left beside")
	r.now += evictionGrace
	assert.Equal(t, []Effect{{Kind: CloseAfterFlush, Link: 9}}, step(r))
}

// What is read on a connection that was to end is answered all the same, and the end waits for that.
func TestInvocationThatCrossesACloseIsAnsweredBeforeIt(t *testing.T) {
	for what, evicted := range map[string]bool{"it stood idle": false, "its place is wanted": true} {
		r := up(t)
		r.SpareConnections = 1
		step(r, invoke(1))
		told(r, "EXIT 1 "+callID+" good 12 6|result")
		if evicted {
			for link := range 4 {
				step(r, Input{Kind: ConnectionOpened, Link: 8 + link})
				step(r, Input{Kind: FrameReceived, Link: 8 + link, Frame: frame.Frame{Type: frame.Check, Payload: []byte{0}}})
			}
			r.now += evictionGrace
		} else {
			r.now, r.executor.lastLineAt = r.now+idleTimeout, r.now+idleTimeout
			assert.Equal(t, []string{"no more"}, answers(t, step(r)), what)
			r.now += goAwayGrace
		}
		assert.Equal(t, []Effect{{Kind: CloseAfterFlush, Link: 7}}, step(r), what)
		got := step(r, invoke(2, "call", "00000000000000aa", "recv", fmt.Sprint((r.now+ms)/ms+1_000_000)))
		assert.Equal(t, Effect{Kind: ResumeConnection, Link: 7}, got[0], what)
		assert.Equal(t, 1, runsOf(got), what)
		got = told(r, "EXIT 2 00000000000000aa good 12 6|result")
		assert.Equal(t, []string{"20 on 2"}, answers(t, got), what)
		assert.Equal(t, Effect{Kind: CloseAfterFlush, Link: 7}, got[len(got)-1], what)
		assert.Contains(t, r.connections.byLink, 7, what)
		step(r, Input{Kind: ConnectionClosed, Link: 7})
		assert.NotContains(t, r.connections.byLink, 7, what)
	}
}

func TestInvocationAfterAMalformedFrameFailsWithoutARun(t *testing.T) {
	r := up(t)
	got := step(r, Input{Kind: FrameReceived, Link: 7, Frame: frame.Frame{Type: 99}}, invoke(1))
	assert.Equal(t, []string{"51 on 0", "no more", "51 on 1"}, answers(t, got))
	assert.Zero(t, runsOf(got))
}

func TestUnusedAndIdleConnectionsAreClosed(t *testing.T) {
	r := up(t)
	step(r, invoke(1))
	step(r, Input{Kind: ConnectionOpened, Link: 8}) // brings nothing
	r.now, r.executor.lastLineAt = r.now+firstUseTimeout, r.now+firstUseTimeout
	assert.Equal(t, []string{"no more"}, answers(t, step(r)))
	r.now += sweepInterval
	assert.Equal(t, []Effect{{Kind: CloseAfterFlush, Link: 8}}, step(r))
	step(r, Input{Kind: ConnectionClosed, Link: 8})
	told(r, "EXIT 1 "+callID+" good 12 6|result")
	r.now, r.executor.lastLineAt = r.now+idleTimeout, r.now+idleTimeout
	assert.Equal(t, []string{"no more"}, answers(t, step(r)))
	r.now += sweepInterval
	assert.Equal(t, []Effect{{Kind: CloseAfterFlush, Link: 7}}, step(r), "nothing crossed")
}

func TestConnectionWithTooManyFaultsIsDiscarded(t *testing.T) {
	r := up(t)
	step(r, invoke(1))
	var got []Effect
	for stream := range uint32(maxFaults) {
		got = step(r, invoke(stream+2, "op", "other"))
	}
	assert.Equal(t, []string{"51 on 17", "51 on 0", "no more"}, answers(t, got))
	assert.Equal(t, Effect{Kind: DiscardInput, Link: 7}, got[3])
	r.now, r.executor.lastLineAt = r.now+1_000*ms, r.now+1_000*ms
	assert.NotContains(t, kinds(step(r)), CloseAfterFlush, "what is open is owed its answer")
	got = told(r, "EXIT 1 "+callID+" good 12 6|result")
	assert.Equal(t, []string{"20 on 1"}, answers(t, got))
	assert.Equal(t, Effect{Kind: CloseAfterFlush, Link: 7}, got[len(got)-1])
}

func TestRefusedRunCountsAsAFaultOfItsConnection(t *testing.T) {
	r := up(t)
	step(r, invoke(1))
	assert.Equal(t, []string{"51 on 1"}, answers(t, told(r, "BAD EXEC "+callID)))
	assert.Equal(t, 1, r.connections.byLink[7].faults)
	assert.Empty(t, r.indexByCall)
}

func TestSilentExecutorLinkIsReopened(t *testing.T) {
	r := up(t)
	link := r.executor.link
	r.now += executorSilenceTimeout
	got := step(r)
	assert.Equal(t, Effect{Kind: CloseExecutor, Link: link}, got[0])
	r.now = r.executor.redialAt
	assert.Equal(t, DialExecutor, step(r)[0].Kind)
}

func TestMissedNoticesAreRequestedOnANewLinkAndDuplicatesIgnored(t *testing.T) {
	r := up(t)
	step(r, invoke(1))
	assert.Equal(t, CloseExecutor, told(r, "EXIT 2 "+callID+" good 12 6|result")[0].Kind)
	rejoined(r)
	assert.Empty(t, told(r, "LOG 1 any words"))
	assert.Equal(t, []string{"20 on 1"}, answers(t, told(r, "EXIT 2 "+callID+" good 12 6|result")))
	assert.Empty(t, told(r, "EXIT 2 "+callID+" good 12 6|result"))
}

func TestASecondAnswerViolatesAnInvariant(t *testing.T) {
	r := up(t)
	step(r, invoke(1))
	again := func() { r.fail(0); r.fail(0) }
	if invariant.Debug {
		assert.Panics(t, again)
		return
	}
	again()
	assert.Equal(t, 1, r.Invariants.Broken("one answer an invocation"))
	assert.Equal(t, 1, r.Counters.Errored)
}

func TestThrottleCarriesPushbackStopAndBackpressure(t *testing.T) {
	r := up(t)
	step(r, invoke(1))
	r.backpressure, r.effects = "0.25", nil
	r.reject(&admission.Action{Invocation: 0, Duration: 249*ms + 1, NoRetry: true})
	_, payload, _ := strings.Cut(string(r.effects[0].Bytes), "\x32")
	fields, _, err := frame.Fields([]byte(payload))
	assert.NoError(t, err)
	assert.Equal(t, []frame.Field{{Name: "pushback", Value: "250"}, {Name: "stop", Value: "1"},
		{Name: "load", Value: "0.25"}}, fields)
}

func TestReportsAreSentOneAtATimeAndRetriedAfterAnError(t *testing.T) {
	r := up(t)
	assert.NotZero(t, r.reports.link)
	r.reports.finished(r.reports.link, errField)
	assert.Equal(t, r.now+reportRetryBackoff, r.reports.nextAt)
	r.reports.finished(r.reports.link, nil)
	assert.Equal(t, r.now+reportInterval, r.reports.nextAt)
	assert.Zero(t, r.reports.link)
}

// A link may be half open: one that is up and never welcomed must not keep a node from serving.
func TestUnwelcomedExecutorLinkIsReopened(t *testing.T) {
	r := fresh(t)
	link := r.executor.link
	r.now += executorSilenceTimeout
	assert.Contains(t, step(r), Effect{Kind: CloseExecutor, Link: link})
	r.now = r.executor.redialAt
	assert.Contains(t, kinds(step(r)), DialExecutor)
	step(r, Input{Kind: ExecutorConnected, Link: r.executor.dialingLink})
	told(r, "WELCOME new 3")
	assert.Equal(t, []string{"check 20"}, answers(t, step(r, Input{Kind: FrameReceived, Link: 7,
		Frame: frame.Frame{Type: frame.Check, Payload: []byte{0}}})))
}
