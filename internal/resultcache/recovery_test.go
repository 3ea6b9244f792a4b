package resultcache

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Tokens that were recovered expire in one order, whatever the order in which a map is walked.
func TestRecoveredTokensExpireInTheSameOrderEachTime(t *testing.T) {
	const tokens = 12
	removed := func() []Action {
		cache := New(testConfig)
		var inputs []Input
		for n := range tokens {
			inputs = append(inputs, Input{Kind: RecordRecovered, Key: testKey(n), BodyHash: 7})
		}
		cache.Step(0, append(inputs, Input{Kind: RecoveryCompleted}))
		return cache.Step(testWindow+1, nil)
	}
	want := removed()
	require.Len(t, want, tokens)
	for range 20 {
		assert.Equal(t, want, removed())
	}
}

func TestTokenRemovedBeforeRecoveryIsCompletedDoesNotExpire(t *testing.T) {
	cache := New(testConfig)
	cache.Step(0, []Input{{Kind: RecordRecovered, Key: testKey(1), BodyHash: 7}, {Kind: RecordRecovered, Key: testKey(2), BodyHash: 7}})
	cache.Step(0, []Input{{Kind: TokenRemoved, Key: testKey(1)}, {Kind: RecoveryCompleted}})
	assert.Equal(t, []Action{{Kind: RemoveRecord, Key: testKey(2)}}, cache.Step(testWindow+1, nil))
	assert.Zero(t, cache.Counters.Entries)
}
