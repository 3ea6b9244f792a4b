package council

import (
	"fmt"
	"testing"
)

func TestDbg(t *testing.T) {
	w := schedule(fromEnvironment(t, "SEED", 1), nil)
	for _, m := range w.machines {
		fmt.Print(m.name, " up ", m.up, " paused ", m.paused, " reached ", m.desk.Reached())
		if c := m.seat; c != nil {
			st := c.node.BasicStatus()
			fmt.Printf(" id %x founded %v leader %x term %d state %v applied %d commit %d bound %x life %d seats %x broken %d stood %d confstate %v\n", c.id, c.founded, c.leader, st.GetTerm(), st.RaftState, c.applied, st.GetCommit(), c.bound, c.life, c.seats, c.Counters.Broken, c.Counters.Elections, c.confState)
		} else {
			fmt.Println()
		}
	}
}
