package membership

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// Nodes without a zone form one zone of their own. Lost members are in no list, and a link that is not up does not count.
func TestInZoneInViewAndLinkedMembers(t *testing.T) {
	for zone, want := range map[string][]string{"": {"c"}, "a": {"b"}} {
		m := New(Config{Name: "n", Address: "10.0.0.1:9", Zone: zone, ProbeInterval: 500 * ms, LinkTimeout: 3_500 * ms, SuspicionTimeout: 400 * ms, ForgetTimeout: 60_000 * ms,
			MaxMembers: 9}, 0, 1, 0, 1)
		for _, r := range []Record{{Name: "b", Address: "10.0.0.2:9", StartedAt: 1, Incarnation: 1, Facts: Facts{Zone: "a"}}, {Name: "c", Address: "10.0.0.3:9", StartedAt: 1, Incarnation: 1},
			{Name: "d", Address: "10.0.0.4:9", StartedAt: 1, Incarnation: 1, Facts: Facts{Zone: "z"}}, {Name: "lost", Address: "10.0.0.5:9", StartedAt: 1, Incarnation: 1}} {
			i := m.addMember(&r)
			m.members[i].inView = r.Name != "lost"
		}
		assert.Equal(t, want, m.InZone())
		assert.Equal(t, []string{"b", "c", "d", "n"}, m.InView())
		assert.Empty(t, m.LinkedMembers(), "no link is up")
		m.openLink(m.byID[IDOf("c")]).up = true
		m.openLink(m.byID[IDOf("b")]).up = true
		m.openLink(m.byID[IDOf("d")])
		assert.Equal(t, []string{"b", "c"}, m.LinkedMembers())
	}
}
