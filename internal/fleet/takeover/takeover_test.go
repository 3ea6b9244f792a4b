package takeover

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"topazpost/internal/fleet/claims"
)

var lost = claims.Owner{Name: "lost", Incarnation: 1}

func key(n int) claims.Key { return claims.Key{Operation: "hold", Token: fmt.Sprint("t", n)} }

// held is a table in which one owner claimed tokens for five seconds, and started those before the first.
func held(owner claims.Owner, first, tokens int) *claims.Table {
	x := claims.NewTable()
	for n := range tokens {
		v := x.Apply(&claims.Command{Kind: claims.CommandClaim, Sender: owner, Key: key(n), Duration: 5_000 * ms, Window: 60_000 * ms})
		if n < first {
			x.Apply(&claims.Command{Kind: claims.CommandStart, Sender: owner, Key: key(n), Fence: v.Fence})
		}
	}
	return x
}

// fleet is a view of so many members that live, and the lost one.
func fleet(n int) (view []Member) {
	for i := range n {
		view = append(view, Member{Owner: claims.Owner{Name: fmt.Sprint("n", i), Incarnation: 1}, Alive: true, AcceptsWork: true})
	}
	return append(view, Member{Owner: lost})
}

func apply(x *claims.Table, commands []claims.Command) {
	for i := range commands {
		x.Apply(&commands[i])
	}
}

func TestClaimsOfTheLostGoToHeirsAndWhatBeganIsDoubted(t *testing.T) {
	x, p := held(lost, 3, 10), NewPlanner()
	commands, gifts := p.Step(1, fleet(4), x, 0)
	assert.Empty(t, gifts, "nothing is told before it is agreed on")
	require.Len(t, commands, 10)
	apply(x, commands)
	commands, gifts = p.Step(2, fleet(4), x, 0)
	assert.Empty(t, commands)
	require.Len(t, gifts, 7)
	for _, g := range gifts {
		assert.Equal(t, g.To, g.Entry.Owner)
		assert.Equal(t, lost, g.From)
		assert.Equal(t, 5_000*ms, g.Remaining)
	}
	assert.Equal(t, Counters{Reassigned: 7, MarkedUnknown: 3}, p.Counters)
	_, gifts = p.Step(3, fleet(4), x, 0)
	assert.Empty(t, gifts)
	_, gifts = p.Step(2+againAfter, fleet(4), x, 0)
	assert.Len(t, gifts, 7, "told again while the heir has not begun")
}

func TestSuspectsAndTheLivingKeepTheirClaims(t *testing.T) {
	x, p := held(claims.Owner{Name: "n1", Incarnation: 1}, 0, 5), NewPlanner()
	commands, _ := p.Step(1, fleet(4), x, 0)
	assert.Empty(t, commands)
	view := fleet(4)
	view[1].Owner.Incarnation = 2
	commands, _ = p.Step(2, view, x, 0)
	assert.Len(t, commands, 5, "a new life knows nothing of the old one's")
	view[1].Owner.Incarnation = 0
	commands, _ = NewPlanner().Step(2, view, x, 0)
	assert.Empty(t, commands, "a view that is behind takes nothing from the life after it")
}

func TestOwnerThatNoViewHasIsLostAfterAWhile(t *testing.T) {
	x, p := held(claims.Owner{Name: "stranger", Incarnation: 1}, 0, 1), NewPlanner()
	commands, _ := p.Step(1, fleet(2), x, 0)
	assert.Empty(t, commands)
	commands, _ = p.Step(1+unseenFor, fleet(2), x, 0)
	assert.Len(t, commands, 1)
}

func TestHeirsAreNotToppled(t *testing.T) {
	x, p := held(lost, 0, 1_000), NewPlanner()
	commands, _ := p.Step(1, fleet(3), x, 0)
	assert.Len(t, commands, 3*handedMost)
	assert.Equal(t, 1_000-3*handedMost, p.Counters.Waiting)
	apply(x, commands)
	commands, gifts := p.Step(2, fleet(3), x, 0)
	assert.Empty(t, commands)
	for _, g := range gifts[:5] { // five begin: there is room for five
		x.Apply(&claims.Command{Kind: claims.CommandStart, Sender: g.To, Key: g.Entry.Key, Fence: g.Entry.Fence})
	}
	commands, _ = p.Step(3, fleet(3), x, 0)
	assert.Len(t, commands, 5)
}

func TestWhoWaitsForATokenInheritsIt(t *testing.T) {
	x := held(lost, 0, 20)
	for n := range 20 {
		x.Apply(&claims.Command{Kind: claims.CommandClaim, Sender: claims.Owner{Name: "n2", Incarnation: 1}, Key: key(n)})
	}
	commands, _ := NewPlanner().Step(1, fleet(4), x, 0)
	to := map[string]int{}
	for _, c := range commands {
		to[c.NewOwner.Name]++
	}
	assert.Equal(t, handedMost, to["n2"], "as far as it has room, then others do")
}

func TestHeirsByWeight(t *testing.T) {
	x := held(lost, 0, 2_000)
	view := fleet(4)
	view[4].Zone, view[0].Zone = "west", "west"
	view[1].AcceptsWork = false
	view[2].Level = 1
	to := map[string]int{}
	for _, e := range x.OwnedBy(lost) {
		to[ChooseNewOwner(e, view, &view[4], func(claims.Owner) bool { return true }).Owner.Name]++
	}
	assert.Zero(t, to["n1"], "one that takes nothing in inherits nothing")
	assert.InDelta(t, 2_000*0.25/1.75, to["n0"], 80, "the zone of the lost")
	assert.InDelta(t, 2_000*0.5/1.75, to["n2"], 80, "a level of reduced service")
	assert.InDelta(t, 2_000*1/1.75, to["n3"], 80)
}

func TestLeaderThatIsNewTellsWhatItsPredecessorHandedOver(t *testing.T) {
	x := held(lost, 0, 2)
	commands, _ := NewPlanner().Step(1, fleet(3), x, 0)
	apply(x, commands)
	_, gifts := NewPlanner().Step(1, fleet(3), x, 0)
	assert.Len(t, gifts, 2)
}

func TestHeirThatIsLostTooHasHeirs(t *testing.T) {
	x, p := held(lost, 0, 1), NewPlanner()
	commands, _ := p.Step(1, fleet(2), x, 0)
	apply(x, commands)
	first := x.Find(key(0)).Owner
	view := fleet(2)
	for i := range view {
		view[i].Alive = view[i].Alive && view[i].Owner != first
	}
	p.Step(2, view, x, 0)
	commands, _ = p.Step(3, view, x, 0)
	apply(x, commands)
	commands, _ = p.Step(3+againAfter, view, x, 0)
	apply(x, commands)
	assert.NotEqual(t, first, x.Find(key(0)).Owner)
	assert.NotEqual(t, lost, x.Find(key(0)).Owner)
}

func TestWhatCantBeDoneInTimeIsNotHandedOver(t *testing.T) {
	x, p := held(lost, 0, 1), NewPlanner()
	commands, _ := p.Step(1, fleet(2), x, 5_000*ms-cutLeast+1)
	assert.Empty(t, commands)
}

func BenchmarkStepWithNothingLost(b *testing.B) {
	x, p, view := held(claims.Owner{Name: "n1", Incarnation: 1}, 5_000, 10_000), NewPlanner(), fleet(300)
	b.ReportAllocs()
	for b.Loop() {
		p.Step(1, view, x, 0)
	}
}

func TestWhatAnHeirGaveBackGoesToAnother(t *testing.T) {
	x, p := held(lost, 0, 1), NewPlanner()
	commands, _ := p.Step(1, fleet(3), x, 0)
	apply(x, commands)
	p.Step(2, fleet(3), x, 0)
	first := x.Find(key(0)).Owner
	x.Apply(&claims.Command{Kind: claims.CommandRelease, Sender: first, Key: key(0), Fence: x.Find(key(0)).Fence, Returned: true})
	for now := int64(3); now < 5; now++ {
		commands, _ = p.Step(now, fleet(3), x, 0)
		apply(x, commands)
	}
	assert.NotEqual(t, first, x.Find(key(0)).Owner)
	assert.NotEqual(t, claims.Owner{}, x.Find(key(0)).Owner)
}
