package takeover

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"topazpost/internal/fleet/claims"
)

func TestClaimsOfALostOwnerAreReassignedOrMarkedUnknown(t *testing.T) {
	table := claimedTable(lostNode, 3, 10)
	planner := NewPlanner()
	commands, notifications := planner.Step(1, testView(4), table, 0)
	assert.Empty(t, notifications, "no notification before the reassignment is committed")
	require.Len(t, commands, 10)
	applyAll(table, commands)
	commands, notifications = planner.Step(2, testView(4), table, 0)
	assert.Empty(t, commands)
	require.Len(t, notifications, 7)
	for _, r := range notifications {
		assert.Equal(t, r.NewOwner, r.Entry.Owner)
		assert.Equal(t, lostNode, r.LostOwner)
		assert.Equal(t, 5_000*ms, r.Remaining)
	}
	assert.Equal(t, Counters{Reassigned: 7, MarkedUnknown: 3}, planner.Counters)
	_, notifications = planner.Step(3, testView(4), table, 0)
	assert.Empty(t, notifications)
	_, notifications = planner.Step(2+retryInterval, testView(4), table, 0)
	assert.Len(t, notifications, 7, "repeated while the new owner has not started the claim")
}

func TestLiveOwnerLosesItsClaimsOnlyToALaterIncarnation(t *testing.T) {
	table := claimedTable(claims.Owner{Name: "n1", Incarnation: 1}, 0, 5)
	planner := NewPlanner()
	commands, _ := planner.Step(1, testView(4), table, 0)
	assert.Empty(t, commands)
	view := testView(4)
	view[1].Owner.Incarnation = 2
	commands, _ = planner.Step(2, view, table, 0)
	assert.Len(t, commands, 5, "a later incarnation does not own the claims of an earlier one")
	view[1].Owner.Incarnation = 0
	commands, _ = NewPlanner().Step(2, view, table, 0)
	assert.Empty(t, commands, "a view with an earlier incarnation takes no claims from a later one")
}

func TestOwnerMissingFromTheViewIsLostAfterATimeout(t *testing.T) {
	table := claimedTable(claims.Owner{Name: "unknown", Incarnation: 1}, 0, 1)
	planner := NewPlanner()
	commands, _ := planner.Step(1, testView(2), table, 0)
	assert.Empty(t, commands)
	commands, _ = planner.Step(1+unseenTimeout, testView(2), table, 0)
	assert.Len(t, commands, 1)
}

func TestNewOwnersAreNotOverloaded(t *testing.T) {
	table := claimedTable(lostNode, 0, 1_000)
	planner := NewPlanner()
	commands, _ := planner.Step(1, testView(3), table, 0)
	assert.Len(t, commands, 3*maxUnstartedPerOwner)
	assert.Equal(t, 1_000-3*maxUnstartedPerOwner, planner.Counters.WithoutNewOwner)
	applyAll(table, commands)
	commands, notifications := planner.Step(2, testView(3), table, 0)
	assert.Empty(t, commands)
	for _, r := range notifications[:5] { // five claims are started, which frees capacity for five
		table.Apply(&claims.Command{Kind: claims.CommandStart, Sender: r.NewOwner, Key: r.Entry.Key, Fence: r.Entry.Fence})
	}
	commands, _ = planner.Step(3, testView(3), table, 0)
	assert.Len(t, commands, 5)
}

func TestNewLeaderNotifiesNewOwnersOfEarlierReassignments(t *testing.T) {
	table := claimedTable(lostNode, 0, 2)
	commands, _ := NewPlanner().Step(1, testView(3), table, 0)
	applyAll(table, commands)
	_, notifications := NewPlanner().Step(1, testView(3), table, 0)
	assert.Len(t, notifications, 2)
}

func TestClaimOfALostNewOwnerIsReassignedAgain(t *testing.T) {
	table := claimedTable(lostNode, 0, 1)
	planner := NewPlanner()
	commands, _ := planner.Step(1, testView(2), table, 0)
	applyAll(table, commands)
	first := table.Find(testKey(0)).Owner
	view := testView(2)
	for i := range view {
		view[i].Alive = view[i].Alive && view[i].Owner != first
	}
	planner.Step(2, view, table, 0) // sees the commit, and that the new owner is lost
	commands, _ = planner.Step(3, view, table, 0)
	applyAll(table, commands)
	commands, _ = planner.Step(3+retryInterval, view, table, 0)
	applyAll(table, commands)
	assert.NotEqual(t, first, table.Find(testKey(0)).Owner)    // not the lost new owner
	assert.NotEqual(t, lostNode, table.Find(testKey(0)).Owner) // nor the first owner
}

func TestClaimThatIsAlmostDueIsNotReassigned(t *testing.T) {
	table := claimedTable(lostNode, 0, 1)
	planner := NewPlanner()
	commands, _ := planner.Step(1, testView(2), table, 5_000*ms-minRemaining+1)
	assert.Empty(t, commands)
}

func BenchmarkStepWithoutLostOwners(b *testing.B) {
	table := claimedTable(claims.Owner{Name: "n1", Incarnation: 1}, 5_000, 10_000)
	planner := NewPlanner()
	view := testView(300)
	b.ReportAllocs()
	for b.Loop() {
		planner.Step(1, view, table, 0)
	}
}

func TestReturnedClaimGoesToAnotherOwner(t *testing.T) {
	table := claimedTable(lostNode, 0, 1)
	planner := NewPlanner()
	commands, _ := planner.Step(1, testView(3), table, 0)
	applyAll(table, commands)
	planner.Step(2, testView(3), table, 0)
	first := table.Find(testKey(0)).Owner
	table.Apply(&claims.Command{Kind: claims.CommandRelease, Sender: first, Key: testKey(0), Fence: table.Find(testKey(0)).Fence, Returned: true})
	for now := int64(3); now < 5; now++ {
		commands, _ = planner.Step(now, testView(3), table, 0)
		applyAll(table, commands)
	}
	assert.NotEqual(t, first, table.Find(testKey(0)).Owner)          // not the owner that returned it
	assert.NotEqual(t, claims.Owner{}, table.Find(testKey(0)).Owner) // it has an owner again
}
