package resultcache

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestRepeatJoinsARunInFlightAndIsServedFromTheCacheAfterwards(t *testing.T) {
	cache := New(testConfig)
	assert.Equal(t, []ActionKind{Join, WriteStart}, actionKinds(cache.Step(0, []Input{invocation(1, 1)})))
	assert.Equal(t, []ActionKind{Join}, actionKinds(cache.Step(0, []Input{invocation(2, 1)})))
	assert.Equal(t, []Action{{Kind: Run, Invocation: 1, Key: testKey(1)}}, cache.Step(1, []Input{{Kind: WriteSucceeded, Key: testKey(1)}}))
	assert.Equal(t, []ActionKind{WriteEnd}, actionKinds(cache.Step(2, []Input{{Kind: RunEnded, Key: testKey(1), Result: []byte("r")}})))
	assert.Equal(t, []Action{{Kind: Serve, Invocation: 1, Key: testKey(1), Result: []byte("r")},
		{Kind: Serve, Invocation: 2, Key: testKey(1), Result: []byte("r"), FromCache: true}}, cache.Step(3, []Input{{Kind: WriteSucceeded, Key: testKey(1)}}))
	assert.Equal(t, []ActionKind{Serve}, actionKinds(cache.Step(4, []Input{invocation(3, 1)})))
	assert.Equal(t, []ActionKind{RemoveRecord, Join, WriteStart}, actionKinds(cache.Step(testWindow+1, []Input{invocation(4, 1)})))
}

func TestRepeatInTheSameBatchJoins(t *testing.T) {
	assert.Equal(t, []ActionKind{Join, WriteStart, Join}, actionKinds(New(testConfig).Step(0, []Input{invocation(1, 1), invocation(2, 1)})))
}

func TestOtherBodyUnderTheSameTokenIsAMismatch(t *testing.T) {
	cache := New(testConfig)
	other := invocation(2, 1)
	other.BodyHash = 8
	assert.Equal(t, []ActionKind{Join, WriteStart, Mismatch}, actionKinds(cache.Step(0, []Input{invocation(1, 1), other})))
}

func TestFailedWriteBeforeTheRunFollowsThePolicy(t *testing.T) {
	cache := New(testConfig)
	cache.Step(0, []Input{invocation(1, 1), invocation(2, 1)})
	assert.Equal(t, []ActionKind{Reject, Reject, RemoveRecord}, actionKinds(cache.Step(0, []Input{{Kind: WriteFailed, Key: testKey(1)}})))
	assert.True(t, cache.StoreFailing())
	config := testConfig
	config.OnStoreFailure = ContinueInMemory
	cache = New(config)
	cache.Step(0, []Input{invocation(1, 1)})
	assert.Equal(t, []ActionKind{Run}, actionKinds(cache.Step(0, []Input{{Kind: WriteFailed, Key: testKey(1)}})))
}

func TestFailedWriteAfterTheRunLosesNoAnswer(t *testing.T) {
	cache := New(testConfig)
	cache.Step(0, []Input{invocation(1, 1)})
	cache.Step(0, []Input{{Kind: WriteSucceeded, Key: testKey(1)}})
	cache.Step(0, []Input{{Kind: RunEnded, Key: testKey(1), Result: []byte("r")}})
	assert.Equal(t, []ActionKind{Serve}, actionKinds(cache.Step(0, []Input{{Kind: WriteFailed, Key: testKey(1)}})))
	assert.Equal(t, 1, cache.Counters.Lost)
}

func TestRunThatNeverStartedGoesToTheNextWaiter(t *testing.T) {
	config := testConfig
	config.Durability = InMemory
	cache := New(config)
	cache.Step(0, []Input{invocation(1, 1), invocation(2, 1)})
	assert.Equal(t, []Action{{Kind: Reject, Invocation: 1, Key: testKey(1)}, {Kind: Run, Invocation: 2, Key: testKey(1)}},
		cache.Step(0, []Input{{Kind: RunEnded, Key: testKey(1), Outcome: NeverStarted}}))
}

func TestManyRepeatsOfOneTokenCostOneRun(t *testing.T) {
	cache := New(testConfig)
	runs := 0
	answers := 0
	count := func(actions []Action) {
		for _, a := range actions {
			switch a.Kind {
			case Run:
				runs++
			case Serve:
				answers++
			}
		}
	}
	for n := range int32(10_000) {
		count(cache.Step(int64(n), []Input{invocation(n, 1)}))
		if n == 5_000 {
			count(cache.Step(int64(n), []Input{{Kind: WriteSucceeded, Key: testKey(1)}}))
		}
	}
	count(cache.Step(10_000, []Input{{Kind: RunEnded, Key: testKey(1), Result: []byte("r")}}))
	count(cache.Step(10_000, []Input{{Kind: WriteSucceeded, Key: testKey(1)}}))
	assert.Equal(t, []int{1, 10_000}, []int{runs, answers})
}

func TestOutcomeElsewhereAnswersAllWaiters(t *testing.T) {
	for kind, want := range map[InputKind]ActionKind{CompletedElsewhere: Serve, UnknownElsewhere: OutcomeUnknown, MismatchElsewhere: Mismatch, RejectedElsewhere: Reject} {
		cache := cacheWithStartingRun(t)
		actions := cache.Step(2, []Input{{Kind: kind, Key: testKey(1), Result: []byte("r"), Remaining: 5}})
		assert.Equal(t, want, actions[0].Kind)
		assert.Equal(t, want, actions[1].Kind)
		assert.Zero(t, cache.Counters.Running)
		_, known := cache.BodyHash(testKey(1))
		assert.Equal(t, kind == CompletedElsewhere, known, "an uncertain outcome is not cached")
		assert.Empty(t, cache.Step(3, []Input{{Kind: WriteSucceeded, Key: testKey(1)}}), "nothing runs afterwards")
	}
	cache := cacheWithStartingRun(t)
	cache.Step(2, []Input{{Kind: CompletedElsewhere, Key: testKey(1), Result: []byte("r")}})
	again := cache.Step(3, []Input{invocation(3, 1)})
	assert.Equal(t, Serve, again[0].Kind)
	assert.True(t, again[0].FromCache)
}

func TestUnknownOutcomeIsResolvedByOperators(t *testing.T) {
	cache := New(testConfig)
	cache.Step(0, []Input{{Kind: RecordRecovered, Key: testKey(1), BodyHash: 7}, {Kind: RecoveryCompleted},
		{Kind: OutcomeResolved, Key: testKey(1), Outcome: Succeeded, Result: []byte("it ran")}})
	assert.Equal(t, []Action{{Kind: Serve, Invocation: 1, Key: testKey(1), Result: []byte("it ran"), FromCache: true}},
		cache.Step(0, []Input{invocation(1, 1)}))
	assert.Zero(t, cache.Counters.Unknown)
}
