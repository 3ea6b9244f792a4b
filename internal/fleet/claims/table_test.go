package claims

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestTokenHasOneOwnerAtATime(t *testing.T) {
	table := NewTable()
	v := table.Apply(claimCommand(nodeA, "t"))
	assert.Equal(t, AnswerGranted, v.Answer)
	assert.Equal(t, v, table.Apply(claimCommand(nodeA, "t")), "a retry gets the same verdict")
	other := table.Apply(claimCommand(nodeB, "t"))
	assert.Equal(t, AnswerOwned, other.Answer)
	assert.Equal(t, nodeA, other.Owner)
	mismatch := claimCommand(nodeB, "t")
	mismatch.BodyHash = 8
	assert.Equal(t, AnswerBodyMismatch, table.Apply(mismatch).Answer)
	assert.Equal(t, AnswerStaleFence, table.Apply(&Command{Kind: CommandStart, Sender: nodeB, Key: testKey("t"), Fence: v.Fence}).Answer, "only the owner may use the fence")
	assert.Equal(t, AnswerGranted, table.Apply(&Command{Kind: CommandStart, Sender: nodeA, Key: testKey("t"), Fence: v.Fence}).Answer)
	assert.Equal(t, AnswerDone, table.Apply(&Command{Kind: CommandEnd, Sender: nodeA, Key: testKey("t"), Fence: v.Fence, Result: []byte("r")}).Answer)
	assert.Equal(t, []EndNotification{{testKey("t"), []Owner{nodeB}}}, table.EndNotifications)
	completed := table.Apply(claimCommand(nodeB, "t"))
	assert.Equal(t, AnswerCompleted, completed.Answer)
	assert.Equal(t, "r", string(completed.Result))
}

func TestReassignmentFencesOffThePreviousOwner(t *testing.T) {
	table := NewTable()
	old := table.Apply(claimCommand(nodeA, "t")).Fence
	v := table.Apply(&Command{Kind: CommandReassign, Key: testKey("t"), Fence: old, NewOwner: nodeB})
	assert.Greater(t, v.Fence, old)
	assert.Equal(t, AnswerStaleFence, table.Apply(&Command{Kind: CommandReassign, Key: testKey("t"), Fence: old, NewOwner: nodeA}).Answer, "a second reassignment under the old fence is refused")
	assert.Equal(t, AnswerStaleFence, table.Apply(&Command{Kind: CommandStart, Sender: nodeA, Key: testKey("t"), Fence: old}).Answer)
	table.Apply(&Command{Kind: CommandRelease, Sender: nodeA, Key: testKey("t"), Fence: old})
	assert.Equal(t, AnswerGranted, table.Apply(&Command{Kind: CommandStart, Sender: nodeB, Key: testKey("t"), Fence: v.Fence}).Answer, "the previous owner's late release changes nothing")
}

func TestStartedClaimIsNeverReassigned(t *testing.T) {
	table, fence := startedTable()
	assert.Equal(t, AnswerStaleFence, table.Apply(&Command{Kind: CommandReassign, Key: testKey("t"), Fence: fence, NewOwner: nodeB}).Answer)
	table.Apply(&Command{Kind: CommandMarkUnknown, Key: testKey("t"), Fence: fence})
	assert.Equal(t, AnswerOutcomeUnknown, table.Apply(claimCommand(nodeB, "t")).Answer)
	assert.Equal(t, AnswerDone, table.Apply(&Command{Kind: CommandEnd, Sender: nodeA, Key: testKey("t"), Fence: fence, Result: []byte("late")}).Answer)
	assert.Equal(t, AnswerCompleted, table.Apply(claimCommand(nodeB, "t")).Answer, "a late result resolves the unknown outcome")
	assert.Equal(t, 1, table.Counters.Resolved)
}

func TestExecutorThatOutlivedItsNodeResolvesUnknownOutcome(t *testing.T) {
	table, fence := startedTable()
	table.Apply(&Command{Kind: CommandMarkUnknown, Key: testKey("t"), Fence: fence})
	table.Apply(&Command{Kind: CommandResolve, Sender: Owner{"b", 9}, InvocationID: "c-t"})
	assert.Equal(t, StateUnknown, table.Find(testKey("t")).State, "a report by another node's executor changes nothing")
	table.Apply(&Command{Kind: CommandResolve, Sender: Owner{"a", 9}, InvocationID: "c-t", Result: []byte("r")})
	assert.Equal(t, StateEnded, table.Find(testKey("t")).State)
}

func TestReleasedClaimIsGrantedUnderANewFence(t *testing.T) {
	table, fence := startedTable()
	table.Apply(&Command{Kind: CommandRelease, Sender: nodeA, Key: testKey("t"), Fence: fence})
	v := table.Apply(claimCommand(nodeB, "t"))
	assert.Equal(t, AnswerGranted, v.Answer)
	assert.Greater(t, v.Fence, fence)
	assert.Equal(t, AnswerStaleFence, table.Apply(&Command{Kind: CommandStart, Sender: nodeA, Key: testKey("t"), Fence: fence}).Answer)
}

func TestNewOwnerWithoutCapacityReturnsAClaimALimitedNumberOfTimes(t *testing.T) {
	table := NewTable()
	fence := table.Apply(claimCommand(nodeA, "t")).Fence
	newOwners := []Owner{nodeB, {"c", 1}}
	for n := range maxReturns {
		newOwner := newOwners[n%2]
		fence = table.Apply(&Command{Kind: CommandReassign, Key: testKey("t"), Fence: fence, NewOwner: newOwner}).Fence
		require.Len(t, table.Reassigned(), 1)
		table.Apply(&Command{Kind: CommandRelease, Sender: newOwner, Key: testKey("t"), Fence: fence, Returned: true})
		e := table.Find(testKey("t"))
		require.NotNil(t, e)
		assert.Equal(t, newOwner, e.LastReturnedBy)
		assert.Equal(t, []Owner{{}}, table.Owners(), "a returned claim has no owner")
		assert.Empty(t, table.Reassigned())
		assert.Greater(t, e.Fence, fence)
		fence = e.Fence
	}
	fence = table.Apply(&Command{Kind: CommandReassign, Key: testKey("t"), Fence: fence, NewOwner: nodeB}).Fence
	table.Apply(&Command{Kind: CommandRelease, Sender: nodeB, Key: testKey("t"), Fence: fence, Returned: true})
	assert.Nil(t, table.Find(testKey("t")), "a claim that is returned too often is removed")
}
