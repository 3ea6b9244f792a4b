package resultcache

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestFullCacheRejectsNewTokensAndEvictsNoneWithinItsWindow(t *testing.T) {
	cache := New(testConfig)
	var last []Action
	for n := range 20 {
		last = cache.Step(0, []Input{invocation(int32(n), n)})
		cache.Step(0, []Input{{Kind: WriteSucceeded, Key: testKey(n)}})
		cache.Step(0, []Input{{Kind: RunEnded, Key: testKey(n), Result: make([]byte, 100)}})
		cache.Step(0, []Input{{Kind: WriteSucceeded, Key: testKey(n)}})
	}
	assert.Equal(t, Reject, last[0].Kind)
	assert.Equal(t, testWindow, last[0].RetryAfter, "until the first window ends")
	assert.Equal(t, []ActionKind{Serve}, actionKinds(cache.Step(1, []Input{invocation(99, 0)})))
}

func TestOversizedResultIsNotCachedButItsTokenIs(t *testing.T) {
	config := testConfig
	config.Durability = InMemory
	cache := New(config)
	cache.Step(0, []Input{invocation(1, 1)})
	assert.Equal(t, []Action{{Kind: Fail, Invocation: 1, Key: testKey(1), ResultNotCached: true}},
		cache.Step(0, []Input{{Kind: RunEnded, Key: testKey(1), Result: make([]byte, 101)}}))
	assert.Equal(t, []ActionKind{Fail}, actionKinds(cache.Step(0, []Input{invocation(2, 1)})))
}
