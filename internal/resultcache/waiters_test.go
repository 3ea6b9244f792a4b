package resultcache

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestDisconnectedCallerDoesNotEndTheRunOfThoseThatJoined(t *testing.T) {
	cache := New(testConfig)
	cache.Step(0, []Input{invocation(1, 1), invocation(2, 1), {Kind: CallerDisconnected, Invocation: 1, Key: testKey(1)}})
	assert.Equal(t, []Action{{Kind: Run, Invocation: 2, Key: testKey(1)}}, cache.Step(0, []Input{{Kind: WriteSucceeded, Key: testKey(1)}}))
	cache = New(testConfig)
	cache.Step(0, []Input{invocation(1, 1), {Kind: CallerDisconnected, Invocation: 1, Key: testKey(1)}})
	assert.Equal(t, []ActionKind{RemoveRecord}, actionKinds(cache.Step(0, []Input{{Kind: WriteSucceeded, Key: testKey(1)}})), "nothing ran and nobody waits")
}

func TestWaiterThatRequiresAnAnswerIsAnsweredAlone(t *testing.T) {
	cache := cacheWithStartingRun(t)
	actions := cache.Step(2, []Input{{Kind: AnswerRequired, Key: testKey(1), Invocation: 1, MayHaveRun: true}})
	assert.Equal(t, []ActionKind{OutcomeUnknown}, actionKinds(actions))
	assert.Equal(t, []ActionKind{Run}, actionKinds(cache.Step(3, []Input{{Kind: WriteSucceeded, Key: testKey(1)}})), "for the other invocation")
	assert.Empty(t, cache.Step(4, []Input{{Kind: AnswerRequired, Key: testKey(1), Invocation: 2}}), "its run goes on")
	cache = cacheWithStartingRun(t)
	actions = cache.Step(2, []Input{{Kind: AnswerRequired, Key: testKey(1), Invocation: 2}, {Kind: AnswerRequired, Key: testKey(1), Invocation: 1}})
	assert.Equal(t, []ActionKind{Reject, Reject, RemoveRecord}, actionKinds(actions))
	assert.Zero(t, cache.Counters.Entries)
}

func TestAnswerRequiredBeforeTheEndIsWrittenGivesTheResult(t *testing.T) {
	cache := cacheWithStartingRun(t)
	cache.Step(2, []Input{{Kind: WriteSucceeded, Key: testKey(1)}})
	assert.Equal(t, []ActionKind{WriteEnd}, actionKinds(cache.Step(3, []Input{{Kind: RunEnded, Key: testKey(1), Result: []byte("r")}})))
	assert.Equal(t, []ActionKind{Serve, Serve}, actionKinds(cache.Step(4, []Input{{Kind: AnswerRequired, Key: testKey(1), Invocation: 1}})))
	assert.Empty(t, cache.Step(5, []Input{{Kind: WriteSucceeded, Key: testKey(1)}}))
}
