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
	to := map[string]int{}
	for _, c := range commands {
		to[c.NewOwner.Name]++
	}
	assert.Equal(t, maxUnstartedPerOwner, to["n2"], "as far as it has capacity, then others do")
}

func TestNewOwnersAreChosenByWeight(t *testing.T) {
	table := claimedTable(lostNode, 0, 2_000)
	view := testView(4)
	view[4].Zone = "west"
	view[0].Zone = "west"
	view[1].AcceptsWork = false
	view[2].Level = 1
	to := map[string]int{}
	for _, e := range table.OwnedBy(lostNode) {
		to[ChooseNewOwner(e, view, &view[4], func(claims.Owner) bool { return true }).Owner.Name]++
	}
	assert.Zero(t, to["n1"], "a member that accepts no work is never chosen")
	assert.InDelta(t, 2_000*0.25/1.75, to["n0"], 80, "the zone of the lost node")
	assert.InDelta(t, 2_000*0.5/1.75, to["n2"], 80, "a level of graceful degradation")
	assert.InDelta(t, 2_000*1/1.75, to["n3"], 80)
}
