package node

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"topazpost/internal/admission"
	"topazpost/internal/nodeconfig"
	"topazpost/internal/protocol/frame"
	"topazpost/internal/resultcache"
)

const tokenSettings = `{"grades":[{"name":"hold","aim":1000,"give_up":3000,"importance":5,"effect":"deduplicated","window":20000}],
	"family_info":{"n_cores":2,"memory_kb":9000,"blowup":4,"entry_kb":1,"class_calls":[true],"below":"common","calls_out":9,
	"calls_over":5000,"linger":100,"advert":"min_rank","gauges":["cpu_busy","runnable","mem_used","sockets"]},
	"guarantees":{"tip_multiple":8,"drain_grace":2000},"limits":{"retry_after":true,"max_retry_after":1000}}`

// cachingNode returns a serving node that caches results, in memory or with a store that the test simulates.
func cachingNode(t *testing.T, durability resultcache.Durability) *StateMachine {
	p, err := nodeconfig.FromJSON(1, []byte(tokenSettings))
	require.NoError(t, err)
	r := NewStateMachine(p, Addresses{"executor:1", "catalogue:1", "control:1"}, 5_000*ms, 4, 3)
	r.EnableResultCache(resultcache.Config{Durability: durability, MaxBytes: 100_000, MaxResultBytes: 1_000, Window: 20_000 * ms}, "dedupe", false)
	step(r, Input{Kind: ConnectionOpened, Link: 7})
	step(r, Input{Kind: ExecutorConnected, Link: r.executor.dialingLink})
	executorSends(r, "WELCOME old 0")
	executorSends(r, "METERS j1 0.1 1 0.1 3")
	return r
}

var bodyHash = xxhash.Sum64String("body")

func id(n int) string { return fmt.Sprintf("%016x", n) }

// tokenInvocation returns the input of an invocation with a token on a stream.
func tokenInvocation(stream int, token string) Input {
	return invocationInput(uint32(stream), "op", "hold", "call", id(stream), "dedupe", token)
}

// countRuns returns the number of runs that the effects start.
func countRuns(effects []Effect) int {
	return strings.Count(bytesSent(effects, SendToExecutor), "EXEC ")
}

// queueOriginal sends the node more tokens than it runs at once, and returns the index of an original that waits in the queue.
func queueOriginal(t *testing.T, r *StateMachine) int32 {
	t.Helper()
	for n := range 24 {
		step(r, tokenInvocation(n+1, fmt.Sprint("t", n)))
	}
	var original int32 = -1
	for _, p := range r.results.pending {
		original = max(original, p.original)
	}
	require.GreaterOrEqual(t, original, int32(0), "at least one token is pending")
	return original
}

func TestDuplicateJoinsTheRunOrGetsTheCachedResult(t *testing.T) {
	r := cachingNode(t, resultcache.InMemory)
	assert.Equal(t, 1, countRuns(step(r, tokenInvocation(1, "a"))))
	assert.Zero(t, countRuns(step(r, tokenInvocation(2, "a"))))
	sent := executorSends(r, "EXIT 1 "+id(1)+" good 12 6|result")
	assert.ElementsMatch(t, []string{"20 on 1", "20 on 2"}, framesSent(t, sent))
	sent = step(r, tokenInvocation(3, "a"))
	assert.Equal(t, []string{"20 on 3"}, framesSent(t, sent))
	assert.Contains(t, bytesSent(sent, SendToConnection), "kept")
	assert.Equal(t, 1, countRuns(step(r, tokenInvocation(4, "b"))), "an invocation with another token runs")
	step(r)
	assert.Equal(t, 1, r.unansweredCount)
	assert.Len(t, r.indexByID, 1)
}

func TestDuplicatesOfOneStepShareOneRun(t *testing.T) {
	r := cachingNode(t, resultcache.InMemory)
	assert.Equal(t, 1, countRuns(step(r, tokenInvocation(1, "a"), tokenInvocation(2, "a"), tokenInvocation(3, "a"))))
	assert.Len(t, framesSent(t, executorSends(r, "EXIT 1 "+id(1)+" good 12 6|result")), 3)
}

func TestTokenWithAnotherBodyIsAnError(t *testing.T) {
	r := cachingNode(t, resultcache.InMemory)
	step(r, tokenInvocation(1, "a"))
	other := tokenInvocation(2, "a")
	other.Frame.Payload = append(other.Frame.Payload, '!')
	assert.Equal(t, []string{"51 on 2"}, framesSent(t, step(r, other)))
}

func TestRunGoesOnForJoinedDuplicatesAfterTheCallerLeaves(t *testing.T) {
	r := cachingNode(t, resultcache.InMemory)
	step(r, tokenInvocation(1, "a"), tokenInvocation(2, "a"))
	cancel := Input{Kind: FrameReceived, Link: 7, Frame: frame.Frame{Type: frame.Cancel, Stream: 1}}
	step(r, cancel)
	executorSends(r, "CALLOUT 1 "+id(1)+" 3|ask")
	step(r)
	require.NotEmpty(t, r.catalogue.links, "the call of the abandoned run is made")
	assert.Contains(t, bytesSent(connectCatalogue(r), SendToCatalogue), "FETCH "+id(1))
	assert.Contains(t, bytesSent(catalogueSends(r, id(1)+" DATA 5|reply"), SendToExecutor), "RETURN "+id(1))
	assert.Equal(t, []string{"20 on 2"}, framesSent(t, executorSends(r, "EXIT 2 "+id(1)+" good 12 6|result")))
	step(r)
	assert.Zero(t, r.unansweredCount)
	assert.Empty(t, r.indexByID)
}

func TestDuplicateRunsAfterTheFirstCallerLeaves(t *testing.T) {
	r := cachingNode(t, resultcache.OnDisk)
	arrived := step(r, tokenInvocation(1, "a"), tokenInvocation(2, "a"))
	step(r, Input{Kind: FrameReceived, Link: 7, Frame: frame.Frame{Type: frame.Cancel, Stream: 1}})
	assert.Contains(t, bytesSent(completeWrites(r, arrived), SendToExecutor), "EXEC "+id(2))
}

// While the original of a token waits in the queue, its caller may disconnect. A duplicate must take its place, or it would wait
// for a run that never comes.
func TestDuplicateOfAQueuedInvocationReplacesItWhenItsCallerLeaves(t *testing.T) {
	r := cachingNode(t, resultcache.OnDisk)
	original := queueOriginal(t, r)
	v := r.invocations[original]
	owed := r.unansweredCount
	step(r, invocationInput(100, "op", "hold", "call", id(100), "dedupe", v.tokenKey.Token))
	assert.Equal(t, owed+1, r.unansweredCount)
	step(r, Input{Kind: FrameReceived, Link: 7, Frame: frame.Frame{Type: frame.Cancel, Stream: v.stream}})
	step(r)
	assert.Equal(t, owed, r.unansweredCount)
	p := r.results.pending[v.tokenKey]
	require.NotNil(t, p)
	assert.Equal(t, id(100), r.invocations[p.original].invocationID, "the duplicate is now the original of the token")
}

// Guards against two ends of one invocation, which stop a debug build: the controller may give up an original and its duplicate in one decision,
// and the end of the original has resubmitted the duplicate by then.
func TestDuplicateThatIsGivenUpWithItsOriginalIsAnsweredOnce(t *testing.T) {
	r := cachingNode(t, resultcache.OnDisk)
	original := queueOriginal(t, r)
	step(r, tokenInvocation(100, r.invocations[original].tokenKey.Token))
	duplicate, _ := r.findInvocation(id(100))
	r.begin(r.now+ms, r.wall+ms)
	r.decided = true // as while the actions of a decision are carried out
	r.execute(&admission.Action{Kind: admission.Fail, Invocation: original})
	r.execute(&admission.Action{Kind: admission.Fail, Invocation: duplicate})
	assert.Equal(t, []string{fmt.Sprintf("51 on %d", r.invocations[original].stream)}, framesSent(t, r.effects))
	assert.Empty(t, r.Invariants.All())
	replacement, _ := r.findInvocation(id(100))
	assert.NotEqual(t, duplicate, replacement, "the invocation that replaces the duplicate is the one to be answered")
	assert.False(t, r.invocations[replacement].answered)
}

func TestTokensAreIgnoredWithoutAResultCache(t *testing.T) {
	r := cachingNode(t, resultcache.InMemory)
	r.results = resultState{}
	assert.Equal(t, 2, countRuns(step(r, tokenInvocation(1, "a"), tokenInvocation(2, "a"))))
	assert.Nil(t, r.ResultCacheCounters())
}

// A duplicate that arrived within the deduplication window may be read after its end, for example after a pause of the node. It
// must get the cached result and not run again.
func TestDuplicateReadPastItsWindowDoesNotRun(t *testing.T) {
	r := cachingNode(t, resultcache.InMemory)
	first := tokenInvocation(1, "a")
	assert.Equal(t, 1, countRuns(step(r, first)))
	arrivedAt := r.now
	executorSends(r, "EXIT 1 "+id(1)+" good 12 6|result")
	r.now, r.executor.lastLineAt = arrivedAt+20_000*ms+1_500*ms, arrivedAt+20_000*ms+1_500*ms
	stamp := fmt.Sprint((arrivedAt+19_900*ms)/ms + 1_000_000)
	got := step(r, invocationInput(2, "op", "hold", "call", id(2), "dedupe", "a", "recv", stamp))
	assert.Zero(t, countRuns(got))
	assert.Equal(t, []string{"20 on 2"}, framesSent(t, got))
}
