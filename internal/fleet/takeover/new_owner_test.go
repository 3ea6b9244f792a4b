package takeover

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"topazpost/internal/fleet/claims"
)

func TestWaiterBecomesTheNewOwner(t *testing.T) {
	table := claimedTable(lostNode, 0, 20)
	for n := range 20 {
		table.Apply(&claims.Command{Kind: claims.CommandClaim, Sender: claims.Owner{Name: "n2", Incarnation: 1}, Key: testKey(n)})
	}
	commands, _ := NewPlanner().Step(1, testView(4), table, 0)
	claimsByOwner := map[string]int{}
	for _, c := range commands {
		claimsByOwner[c.NewOwner.Name]++
	}
	assert.Equal(t, maxUnstartedPerOwner, claimsByOwner["n2"], "the waiting member gets claims up to its capacity, others get the rest")
}

func TestNewOwnersAreChosenByWeight(t *testing.T) {
	table := claimedTable(lostNode, 0, 2_000)
	view := testView(4)
	view[4].Zone = "west"
	view[0].Zone = "west"
	view[1].AcceptsWork = false
	view[2].Level = 1
	claimsByOwner := map[string]int{}
	for _, e := range table.OwnedBy(lostNode) {
		claimsByOwner[ChooseNewOwner(e, view, &view[4], func(claims.Owner) bool { return true }).Owner.Name]++
	}
	assert.Zero(t, claimsByOwner["n1"], "a member that accepts no work is not chosen")
	assert.InDelta(t, 2_000*0.25/1.75, claimsByOwner["n0"], 80, "a member in the zone of the lost node has a quarter of the weight")
	assert.InDelta(t, 2_000*0.5/1.75, claimsByOwner["n2"], 80, "a member at the first level of degraded service has half the weight")
	assert.InDelta(t, 2_000*1/1.75, claimsByOwner["n3"], 80)
}
