package node

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"

	"topazpost/internal/protocol/lineprotocol"
)

// A reply with data goes to the executor. LATER and NOUSE prove that the call did not run, so it is retried over a new link (a second
// FETCH); FAULT and TOOSLOW fail the invocation (code 51).
func TestDataReplyIsReturnedUnchangedAndOtherRepliesAreRetriedOrFail(t *testing.T) {
	for reply, want := range map[string]string{"DATA 5|reply": "RETURN " + testInvocationID + " 5\r\nreply\r\n",
		"LATER": "FETCH", "NOUSE": "FETCH", "FAULT": "51", "TOOSLOW": "51"} {
		sm := newServingNode(t)
		step(sm, invocationInput(1))
		executorSends(sm, "CALLOUT 1 "+testInvocationID+" 3|ask")
		assert.Regexp(t, "^FETCH "+testInvocationID+` \d+ 3\r\nask\r\n$`, bytesSent(connectCatalogue(sm), SendToCatalogue))
		got := catalogueSends(sm, testInvocationID+" "+reply)
		if want == "FETCH" { // retried over a new link
			got = connectCatalogue(sm)
		}
		assert.Contains(t, bytesSent(got, SendToExecutor)+bytesSent(got, SendToCatalogue)+fmt.Sprint(framesSent(t, got)), want, reply)
	}
}

func TestFailedCatalogueDialIsRetriedAndADisconnectIsNot(t *testing.T) {
	sm := newServingNode(t)
	step(sm, invocationInput(1))
	executorSends(sm, "CALLOUT 1 "+testInvocationID+" 3|ask")
	retried := step(sm, Input{Kind: CatalogueDialFailed, Link: sm.catalogue.links[0].id})
	assert.Equal(t, DialCatalogue, retried[0].Kind)
	connectCatalogue(sm)
	assert.Equal(t, []string{"51 on 1"}, framesSent(t, step(sm, Input{Kind: CatalogueDisconnected, Link: sm.catalogue.links[0].id})))
}

func TestCallTimesOutAtItsDeadlineAndItsReplyIsDropped(t *testing.T) {
	sm := newServingNode(t)
	step(sm, invocationInput(1))
	executorSends(sm, "CALLOUT 1 "+testInvocationID+" 3|ask")
	connectCatalogue(sm)
	link := sm.catalogue.links[0].id
	sm.now, sm.executor.lastLineAt = sm.invocations[0].callDeadline, sm.invocations[0].callDeadline
	got := step(sm)
	assert.Equal(t, Effect{Kind: CloseCatalogue, Link: link}, got[0])
	assert.Equal(t, []string{"51 on 1"}, framesSent(t, got))
	assert.Empty(t, step(sm, Input{Kind: CatalogueLineReceived, Link: link, Line: lineprotocol.Line{Words: []string{testInvocationID, "DATA", "0"}}}))
}

func TestCatalogueLinkClosesAfterItsIdleTimeout(t *testing.T) {
	sm := newServingNode(t)
	sm.catalogue.links = []catalogueLink{{id: 5, address: sm.addresses.Catalogue, connected: true, invocation: -1, idleSince: sm.now - catalogueIdleTimeout}}
	got := step(sm)
	assert.Equal(t, CloseCatalogue, got[0].Kind)
	assert.Empty(t, sm.catalogue.links)
}

func TestEachCallHasItsOwnLinkAndAMalformedReplyFailsOnlyItsCall(t *testing.T) {
	sm := newServingNode(t)
	const other = "00000000000000aa"
	step(sm, invocationInput(1), invocationInput(2, "call", other))
	executorSends(sm, "CALLOUT 1 "+testInvocationID+" 3|ask")
	executorSends(sm, "CALLOUT 2 "+other+" 3|ask")
	assert.Len(t, sm.catalogue.links, 2)
	connectCatalogue(sm)
	step(sm, Input{Kind: CatalogueConnected, Link: sm.catalogue.links[0].id})
	assert.Equal(t, []string{"51 on 1"}, framesSent(t, catalogueSends(sm, "noise")))
	got := step(sm, Input{Kind: CatalogueLineReceived, Link: sm.catalogue.links[0].id, Line: lineprotocol.Line{Words: []string{other, "DATA", "1"},
		Body: []byte("x")}})
	assert.Equal(t, "RETURN "+other+" 1\r\nx\r\n", bytesSent(got, SendToExecutor))
	assert.True(t, sm.catalogue.links[0].connected && sm.catalogue.links[0].invocation < 0, "pooled for the first call of another run")
	executorSends(sm, "CALLOUT 3 "+other+" 3|ask")
	assert.Len(t, sm.catalogue.links, 2, "the run's second call has a new link, so a duplicate of its first reply can't be taken for the second")
	got = step(sm, Input{Kind: CatalogueLineReceived, Link: sm.catalogue.links[0].id, Line: lineprotocol.Line{Words: []string{other, "DATA", "0"}}})
	assert.Equal(t, CloseCatalogue, got[0].Kind, "closed after an unmatched reply")
}

func TestCallsWaitAtTheLinkLimit(t *testing.T) {
	sm := newServingNode(t)
	sm.catalogue.maxLinks = 1
	const other = "00000000000000aa"
	step(sm, invocationInput(1), invocationInput(2, "call", other))
	executorSends(sm, "CALLOUT 1 "+testInvocationID+" 3|ask")
	executorSends(sm, "CALLOUT 2 "+other+" 3|ask")
	assert.Equal(t, []int32{1}, sm.catalogue.waiting)
	connectCatalogue(sm)
	got := catalogueSends(sm, testInvocationID+" DATA 0")
	assert.Contains(t, bytesSent(got, SendToCatalogue), "FETCH "+other)
	assert.Empty(t, sm.catalogue.waiting)
}
