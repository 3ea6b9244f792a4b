package node

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"

	"topazpost/internal/protocol/lineprotocol"
)

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
	assert.True(t, r.catalogue.links[0].up && r.catalogue.links[0].invocation < 0, "pooled for the first call of another run")
	told(r, "CALLOUT 3 "+other+" 3|ask")
	assert.Len(t, r.catalogue.links, 2, "a duplicate of the first reply can't be taken for the second")
	got = step(r, Input{Kind: CatalogueLineReceived, Link: r.catalogue.links[0].id, Line: lineprotocol.Line{Words: []string{other, "DATA", "0"}}})
	assert.Equal(t, CloseCatalogue, got[0].Kind, "it brought an unmatched reply")
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
