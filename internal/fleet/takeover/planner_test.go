package takeover

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"topazpost/internal/fleet/claims"
)

var lostNode = claims.Owner{Name: "lost", Incarnation: 1}

func testKey(n int) claims.Key { return claims.Key{Operation: "hold", Token: fmt.Sprint("t", n)} }

// claimedTable is a table in which one owner claimed tokens for five seconds, and started those before the first.
func claimedTable(owner claims.Owner, first, tokens int) *claims.Table {
	x := claims.NewTable()
	for n := range tokens {
		v := x.Apply(&claims.Command{Kind: claims.CommandClaim, Sender: owner, Key: testKey(n), Duration: 5_000 * ms, Window: 60_000 * ms})
		if n < first {
			x.Apply(&claims.Command{Kind: claims.CommandStart, Sender: owner, Key: testKey(n), Fence: v.Fence})
		}
	}
	return x
}

// testView is a view of so many members that live, and the lost one.
func testView(n int) (view []Member) {
	for i := range n {
		view = append(view, Member{Owner: claims.Owner{Name: fmt.Sprint("n", i), Incarnation: 1}, Alive: true, AcceptsWork: true})
	}
	return append(view, Member{Owner: lostNode})
}

func applyAll(x *claims.Table, commands []claims.Command) {
	for i := range commands {
		x.Apply(&commands[i])
	}
}

func TestClaimsOfALostOwnerAreReassignedOrMarkedUnknown(t *testing.T) {
	x, p := claimedTable(lostNode, 3, 10), NewPlanner()
	commands, gifts := p.Step(1, testView(4), x, 0)
	assert.Empty(t, gifts, "nothing is told before it is agreed on")
	require.Len(t, commands, 10)
	applyAll(x, commands)
	commands, gifts = p.Step(2, testView(4), x, 0)
	assert.Empty(t, commands)
	require.Len(t, gifts, 7)
	for _, g := range gifts {
		assert.Equal(t, g.To, g.Entry.Owner)
		assert.Equal(t, lostNode, g.From)
		assert.Equal(t, 5_000*ms, g.Remaining)
	}
	assert.Equal(t, Counters{Reassigned: 7, MarkedUnknown: 3}, p.Counters)
	_, gifts = p.Step(3, testView(4), x, 0)
	assert.Empty(t, gifts)
	_, gifts = p.Step(2+retryInterval, testView(4), x, 0)
	assert.Len(t, gifts, 7, "told again while the heir has not begun")
}

func TestSuspectAndLiveOwnersKeepTheirClaims(t *testing.T) {
	x, p := claimedTable(claims.Owner{Name: "n1", Incarnation: 1}, 0, 5), NewPlanner()
	commands, _ := p.Step(1, testView(4), x, 0)
	assert.Empty(t, commands)
	view := testView(4)
	view[1].Owner.Incarnation = 2
	commands, _ = p.Step(2, view, x, 0)
	assert.Len(t, commands, 5, "a new life knows nothing of the old one's")
	view[1].Owner.Incarnation = 0
	commands, _ = NewPlanner().Step(2, view, x, 0)
	assert.Empty(t, commands, "a view that is behind takes nothing from the life after it")
}

func TestOwnerThatNoViewHasIsLostAfterATimeout(t *testing.T) {
	x, p := claimedTable(claims.Owner{Name: "stranger", Incarnation: 1}, 0, 1), NewPlanner()
	commands, _ := p.Step(1, testView(2), x, 0)
	assert.Empty(t, commands)
	commands, _ = p.Step(1+unseenTimeout, testView(2), x, 0)
	assert.Len(t, commands, 1)
}

func TestNewOwnersAreNotOverloaded(t *testing.T) {
	x, p := claimedTable(lostNode, 0, 1_000), NewPlanner()
	commands, _ := p.Step(1, testView(3), x, 0)
	assert.Len(t, commands, 3*maxUnstartedPerOwner)
	assert.Equal(t, 1_000-3*maxUnstartedPerOwner, p.Counters.Waiting)
	applyAll(x, commands)
	commands, gifts := p.Step(2, testView(3), x, 0)
	assert.Empty(t, commands)
	for _, g := range gifts[:5] { // five begin: there is room for five
		x.Apply(&claims.Command{Kind: claims.CommandStart, Sender: g.To, Key: g.Entry.Key, Fence: g.Entry.Fence})
	}
	commands, _ = p.Step(3, testView(3), x, 0)
	assert.Len(t, commands, 5)
}

func TestWaiterBecomesTheNewOwner(t *testing.T) {
	x := claimedTable(lostNode, 0, 20)
	for n := range 20 {
		x.Apply(&claims.Command{Kind: claims.CommandClaim, Sender: claims.Owner{Name: "n2", Incarnation: 1}, Key: testKey(n)})
	}
	commands, _ := NewPlanner().Step(1, testView(4), x, 0)
	to := map[string]int{}
	for _, c := range commands {
		to[c.NewOwner.Name]++
	}
	assert.Equal(t, maxUnstartedPerOwner, to["n2"], "as far as it has room, then others do")
}

func TestNewOwnersAreChosenByWeight(t *testing.T) {
	x := claimedTable(lostNode, 0, 2_000)
	view := testView(4)
	view[4].Zone, view[0].Zone = "west", "west"
	view[1].AcceptsWork = false
	view[2].Level = 1
	to := map[string]int{}
	for _, e := range x.OwnedBy(lostNode) {
		to[ChooseNewOwner(e, view, &view[4], func(claims.Owner) bool { return true }).Owner.Name]++
	}
	assert.Zero(t, to["n1"], "one that takes nothing in inherits nothing")
	assert.InDelta(t, 2_000*0.25/1.75, to["n0"], 80, "the zone of the lost")
	assert.InDelta(t, 2_000*0.5/1.75, to["n2"], 80, "a level of reduced service")
	assert.InDelta(t, 2_000*1/1.75, to["n3"], 80)
}

func TestNewLeaderNotifiesOfEarlierReassignments(t *testing.T) {
	x := claimedTable(lostNode, 0, 2)
	commands, _ := NewPlanner().Step(1, testView(3), x, 0)
	applyAll(x, commands)
	_, gifts := NewPlanner().Step(1, testView(3), x, 0)
	assert.Len(t, gifts, 2)
}

func TestClaimOfALostNewOwnerIsReassignedAgain(t *testing.T) {
	x, p := claimedTable(lostNode, 0, 1), NewPlanner()
	commands, _ := p.Step(1, testView(2), x, 0)
	applyAll(x, commands)
	first := x.Find(testKey(0)).Owner
	view := testView(2)
	for i := range view {
		view[i].Alive = view[i].Alive && view[i].Owner != first
	}
	p.Step(2, view, x, 0)
	commands, _ = p.Step(3, view, x, 0)
	applyAll(x, commands)
	commands, _ = p.Step(3+retryInterval, view, x, 0)
	applyAll(x, commands)
	assert.NotEqual(t, first, x.Find(testKey(0)).Owner)
	assert.NotEqual(t, lostNode, x.Find(testKey(0)).Owner)
}

func TestClaimThatIsAlmostDueIsNotReassigned(t *testing.T) {
	x, p := claimedTable(lostNode, 0, 1), NewPlanner()
	commands, _ := p.Step(1, testView(2), x, 5_000*ms-minRemaining+1)
	assert.Empty(t, commands)
}

func BenchmarkStepWithNothingLost(b *testing.B) {
	x, p, view := claimedTable(claims.Owner{Name: "n1", Incarnation: 1}, 5_000, 10_000), NewPlanner(), testView(300)
	b.ReportAllocs()
	for b.Loop() {
		p.Step(1, view, x, 0)
	}
}

func TestReturnedClaimGoesToAnotherOwner(t *testing.T) {
	x, p := claimedTable(lostNode, 0, 1), NewPlanner()
	commands, _ := p.Step(1, testView(3), x, 0)
	applyAll(x, commands)
	p.Step(2, testView(3), x, 0)
	first := x.Find(testKey(0)).Owner
	x.Apply(&claims.Command{Kind: claims.CommandRelease, Sender: first, Key: testKey(0), Fence: x.Find(testKey(0)).Fence, Returned: true})
	for now := int64(3); now < 5; now++ {
		commands, _ = p.Step(now, testView(3), x, 0)
		applyAll(x, commands)
	}
	assert.NotEqual(t, first, x.Find(testKey(0)).Owner)
	assert.NotEqual(t, claims.Owner{}, x.Find(testKey(0)).Owner)
}
