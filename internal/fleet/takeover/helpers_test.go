package takeover

import (
	"fmt"

	"topazpost/internal/fleet/claims"
)

var lostNode = claims.Owner{Name: "lost", Incarnation: 1}

func testKey(n int) claims.Key { return claims.Key{Operation: "hold", Token: fmt.Sprint("t", n)} }

// claimedTable returns a table in which owner claimed a number of tokens, due in five seconds, and started the first ones.
func claimedTable(owner claims.Owner, started, tokens int) *claims.Table {
	table := claims.NewTable()
	for n := range tokens {
		verdict := table.Apply(&claims.Command{Kind: claims.CommandClaim, Sender: owner, Key: testKey(n), Duration: 5_000 * ms, Retention: 60_000 * ms})
		if n < started {
			table.Apply(&claims.Command{Kind: claims.CommandStart, Sender: owner, Key: testKey(n), Fence: verdict.Fence})
		}
	}
	return table
}

// testView returns a view of n live members and the lost node.
func testView(n int) (view []Member) {
	for i := range n {
		view = append(view, Member{Owner: claims.Owner{Name: fmt.Sprint("n", i), Incarnation: 1}, Alive: true, AcceptsWork: true})
	}
	return append(view, Member{Owner: lostNode})
}

func applyAll(table *claims.Table, commands []claims.Command) {
	for i := range commands {
		table.Apply(&commands[i])
	}
}
