package claims

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestOneOwnerAtATime(t *testing.T) {
	x := NewTable()
	v := x.Apply(claimCommand(nodeA, "t"))
	assert.Equal(t, AnswerGranted, v.Answer)
	assert.Equal(t, v, x.Apply(claimCommand(nodeA, "t")), "a command that is sent again is answered alike")
	other := x.Apply(claimCommand(nodeB, "t"))
	assert.Equal(t, AnswerOwnedElsewhere, other.Answer)
	assert.Equal(t, nodeA, other.Owner)
	clash := claimCommand(nodeB, "t")
	clash.BodyHash = 8
	assert.Equal(t, AnswerBodyMismatch, x.Apply(clash).Answer)
	assert.Equal(t, AnswerStaleFence, x.Apply(&Command{Kind: CommandStart, Sender: nodeB, Key: testKey("t"), Fence: v.Fence}).Answer, "a fence is its owner's")
	assert.Equal(t, AnswerGranted, x.Apply(&Command{Kind: CommandStart, Sender: nodeA, Key: testKey("t"), Fence: v.Fence}).Answer)
	assert.Equal(t, AnswerDone, x.Apply(&Command{Kind: CommandEnd, Sender: nodeA, Key: testKey("t"), Fence: v.Fence, Result: []byte("r")}).Answer)
	assert.Equal(t, []EndedClaim{{testKey("t"), []Owner{nodeB}}}, x.EndedClaims)
	known := x.Apply(claimCommand(nodeB, "t"))
	assert.Equal(t, AnswerCompleted, known.Answer)
	assert.Equal(t, "r", string(known.Result))
}

func TestReassignedClaimIsLostToItsOwner(t *testing.T) {
	x := NewTable()
	old := x.Apply(claimCommand(nodeA, "t")).Fence
	v := x.Apply(&Command{Kind: CommandReassign, Key: testKey("t"), Fence: old, NewOwner: nodeB})
	assert.Greater(t, v.Fence, old)
	assert.Equal(t, AnswerStaleFence, x.Apply(&Command{Kind: CommandReassign, Key: testKey("t"), Fence: old, NewOwner: nodeA}).Answer, "nor is it taken twice")
	assert.Equal(t, AnswerStaleFence, x.Apply(&Command{Kind: CommandStart, Sender: nodeA, Key: testKey("t"), Fence: old}).Answer)
	x.Apply(&Command{Kind: CommandRelease, Sender: nodeA, Key: testKey("t"), Fence: old})
	assert.Equal(t, AnswerGranted, x.Apply(&Command{Kind: CommandStart, Sender: nodeB, Key: testKey("t"), Fence: v.Fence}).Answer, "its late release changes nothing")
}

func TestStartedClaimIsNeverReassigned(t *testing.T) {
	x, fence := startedTable("t")
	assert.Equal(t, AnswerStaleFence, x.Apply(&Command{Kind: CommandReassign, Key: testKey("t"), Fence: fence, NewOwner: nodeB}).Answer)
	x.Apply(&Command{Kind: CommandMarkUnknown, Key: testKey("t"), Fence: fence})
	assert.Equal(t, AnswerOutcomeUnknown, x.Apply(claimCommand(nodeB, "t")).Answer)
	assert.Equal(t, AnswerDone, x.Apply(&Command{Kind: CommandEnd, Sender: nodeA, Key: testKey("t"), Fence: fence, Result: []byte("late")}).Answer)
	assert.Equal(t, AnswerCompleted, x.Apply(claimCommand(nodeB, "t")).Answer, "a late result settles it")
	assert.Equal(t, 1, x.Counters.Resolved)
}

func TestExecutorThatOutlivedItsNodeResolvesUnknownOutcome(t *testing.T) {
	x, fence := startedTable("t")
	x.Apply(&Command{Kind: CommandMarkUnknown, Key: testKey("t"), Fence: fence})
	x.Apply(&Command{Kind: CommandResolve, Sender: Owner{"b", 9}, InvocationID: "c-t"})
	assert.Equal(t, StateUnknown, x.Find(testKey("t")).State, "another node's executor knows nothing of it")
	x.Apply(&Command{Kind: CommandResolve, Sender: Owner{"a", 9}, InvocationID: "c-t", Result: []byte("r")})
	assert.Equal(t, StateEnded, x.Find(testKey("t")).State)
}

func TestReleasedClaimIsGrantedUnderANewFence(t *testing.T) {
	x, fence := startedTable("t")
	x.Apply(&Command{Kind: CommandRelease, Sender: nodeA, Key: testKey("t"), Fence: fence})
	v := x.Apply(claimCommand(nodeB, "t"))
	assert.Equal(t, AnswerGranted, v.Answer)
	assert.Greater(t, v.Fence, fence)
	assert.Equal(t, AnswerStaleFence, x.Apply(&Command{Kind: CommandStart, Sender: nodeA, Key: testKey("t"), Fence: fence}).Answer)
}

func TestTimeAdvancesOncePerMeasuredSpan(t *testing.T) {
	x := NewTable()
	x.Apply(claimCommand(nodeA, "t"))
	x.Apply(&Command{Kind: CommandAdvanceTime, At: 0, Duration: 300 * ms})
	x.Apply(&Command{Kind: CommandAdvanceTime, At: 0, Duration: 300 * ms})
	assert.Equal(t, 300*ms, x.Time(), "who measured the same span is too late")
	x.Apply(&Command{Kind: CommandAdvanceTime, At: 300 * ms, Duration: 3_000 * ms})
	assert.Equal(t, 300*ms+MaxTimeStep, x.Time(), "an election's seconds are lost")
	require.NotNil(t, x.Find(testKey("t")))
	advanceTime(x, 4_200*ms)
	assert.Nil(t, x.Find(testKey("t")), "what was only claimed goes at its due time")
	x, _ = startedTable("t")
	advanceTime(x, 60_000*ms+MaxTimeStep-1)
	require.NotNil(t, x.Find(testKey("t")), "what was started stays for its window")
	advanceTime(x, ms)
	assert.Nil(t, x.Find(testKey("t")))
}

func TestFullTableGivesARetryAfter(t *testing.T) {
	x := NewTable()
	x.Apply(&Command{Kind: CommandAdvanceTime, Duration: 1, MaxTableBytes: 1_000})
	answers := map[Answer]int{}
	for i := range 6 {
		v := x.Apply(claimCommand(nodeA, fmt.Sprint(i)))
		answers[v.Answer]++
		if v.Answer == AnswerTableFull {
			assert.Equal(t, 5_000*ms, v.RetryAfter)
		}
	}
	assert.Equal(t, map[Answer]int{AnswerGranted: 3, AnswerTableFull: 3}, answers)
	_, bytes := x.Size()
	assert.LessOrEqual(t, bytes, int64(1_000))
}

// Any commands in any order: fences only grow, tables that carry out the same are the same, a snapshot is the table, and
// its bytes are those of its claims.
func TestTableIsAFunctionOfItsCommands(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x, y := NewTable(), NewTable()
		fences := map[Key]uint64{}
		starts := map[Key]map[uint64]bool{}
		for n := range rapid.IntRange(1, 120).Draw(t, "commands") {
			c := Command{Kind: CommandKind(rapid.IntRange(0, int(CommandAdvanceTime)).Draw(t, "kind")), Sender: Owner{rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "from"), 1},
				Key: testKey(fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "token"))), BodyHash: 7, Duration: rapid.Int64Range(0, 9_000*ms).Draw(t, "for"),
				Window: 20_000 * ms, Work: []byte("w"), Fence: rapid.Uint64Range(0, 12).Draw(t, "fence"), NewOwner: nodeB, At: x.Time(), Seq: uint64(n), InvocationID: "c"}
			if e := x.Find(c.Key); e != nil && rapid.Bool().Draw(t, "apt") {
				c.Fence, c.Sender = e.Fence, e.Owner
			}
			v := x.Apply(&c)
			if w := y.Apply(&c); fmt.Sprint(v) != fmt.Sprint(w) {
				t.Fatalf("%v and %v of one command", v, w)
			}
			if e := x.Find(c.Key); e != nil {
				if e.Fence < fences[c.Key] {
					t.Fatalf("fence %d after %d", e.Fence, fences[c.Key])
				}
				fences[c.Key] = e.Fence
			}
			if c.Kind == CommandStart && v.Answer == AnswerGranted {
				if starts[c.Key] == nil {
					starts[c.Key] = map[uint64]bool{}
				}
				starts[c.Key][c.Fence] = true
			}
			if n%20 == 0 {
				text, err := x.Snapshot()
				if err != nil {
					t.Fatal(err)
				}
				if y, err = Restore(text); err != nil {
					t.Fatal(err)
				}
				again, _ := y.Snapshot()
				if string(again) != string(text) {
					t.Fatal("a snapshot that was read is another")
				}
			}
		}
		sum, owned := int64(0), 0
		for _, e := range x.List(100) {
			sum += e.sizeBytes()
			if e.State <= StateStarted {
				owned++
			}
		}
		_, bytes := x.Size()
		if sum != bytes {
			t.Fatalf("%d bytes of claims, %d counted", sum, bytes)
		}
		for _, o := range x.Owners() {
			owned -= len(x.OwnedBy(o))
		}
		if owned != 0 {
			t.Fatalf("%d claims have no owner to be lost with", owned)
		}
	})
}

func TestCorruptSnapshotIsRejected(t *testing.T) {
	x, _ := startedTable("t")
	text, err := x.Snapshot()
	require.NoError(t, err)
	for cut := range text {
		_, err := Restore(text[:cut])
		assert.Error(t, err, "cut at %d", cut)
	}
}

func BenchmarkClaimStartEnd(b *testing.B) {
	x := NewTable()
	x.Apply(&Command{Kind: CommandAdvanceTime, Duration: 1, MaxTableBytes: 1 << 40})
	n := 0
	for b.Loop() {
		n++
		c := claimCommand(nodeA, fmt.Sprint(n))
		fence := x.Apply(c).Fence
		x.Apply(&Command{Kind: CommandStart, Sender: nodeA, Key: c.Key, Fence: fence})
		x.Apply(&Command{Kind: CommandEnd, Sender: nodeA, Key: c.Key, Fence: fence, Result: []byte("result")})
	}
	entries, bytes := x.Size()
	b.ReportMetric(float64(bytes)/float64(entries), "bytes/claim")
}

func TestNewOwnerWithoutCapacityReturnsAClaimALimitedNumberOfTimes(t *testing.T) {
	x := NewTable()
	fence := x.Apply(claimCommand(nodeA, "t")).Fence
	heirs := []Owner{nodeB, {"c", 1}}
	for n := range maxReturns {
		heir := heirs[n%2]
		fence = x.Apply(&Command{Kind: CommandReassign, Key: testKey("t"), Fence: fence, NewOwner: heir}).Fence
		require.Len(t, x.Reassigned(), 1)
		x.Apply(&Command{Kind: CommandRelease, Sender: heir, Key: testKey("t"), Fence: fence, Returned: true})
		e := x.Find(testKey("t"))
		require.NotNil(t, e)
		assert.Equal(t, heir, e.LastReturnedBy)
		assert.Equal(t, []Owner{{}}, x.Owners(), "it is nobody's")
		assert.Empty(t, x.Reassigned())
		assert.Greater(t, e.Fence, fence)
		fence = e.Fence
	}
	fence = x.Apply(&Command{Kind: CommandReassign, Key: testKey("t"), Fence: fence, NewOwner: nodeB}).Fence
	x.Apply(&Command{Kind: CommandRelease, Sender: nodeB, Key: testKey("t"), Fence: fence, Returned: true})
	assert.Nil(t, x.Find(testKey("t")), "then the fleet has no room")
}
