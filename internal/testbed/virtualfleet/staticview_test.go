package virtualfleet

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A fleet that stands has links to both sides in each ring, among those that views hold; what a fault changes is seen after
// silence and settle, and no sooner.
func TestStaticViewsShowFaultsAfterTheDetectionDelay(t *testing.T) {
	m := New(1, 60, 3)
	m.AssignZones(7, 15)
	m.UseStaticMembership()
	p := map[string]*probe{}
	m.NewPayload = func(n *Node) Payload {
		p[n.Name] = &probe{}
		return p[n.Name]
	}
	for _, n := range m.Nodes {
		n.Start()
	}
	links, zone := m.Nodes[0].NeighboursAndZone()
	assert.InDelta(t, 2*numRings, len(links), 2)
	assert.ElementsMatch(t, []string{"n0", "n15", "n30", "n45"}, zone)
	for _, n := range m.Nodes { // links go both ways
		mine, _ := n.NeighboursAndZone()
		for _, name := range mine {
			other, _ := m.Nodes[slices.IndexFunc(m.Nodes, func(n *Node) bool { return n.Name == name })].NeighboursAndZone()
			assert.Contains(t, other, n.Name)
		}
	}
	m.Nodes[15].Kill()
	m.Nodes[30].Kill()
	m.Run(m.Now + s)
	m.Nodes[30].Start()
	m.Run(m.Now + 2*s)
	_, zone = m.Nodes[0].NeighboursAndZone()
	assert.Len(t, zone, 4, "not seen yet")
	m.Run(m.Now + 2*s)
	_, zone = m.Nodes[0].NeighboursAndZone()
	assert.ElementsMatch(t, []string{"n0", "n30", "n45"}, zone, "n30 was back before")
	assert.Positive(t, p["n0"].viewed)
	m.Nodes[15].Start()
	links, _ = m.Nodes[15].NeighboursAndZone()
	assert.Empty(t, links, "it joins")
	m.Run(m.Now + 4*s)
	links, _ = m.Nodes[15].NeighboursAndZone()
	assert.InDelta(t, 2*numRings, len(links), 2)

	within := m.Within("r2")
	m.CutOff("r2")
	m.Run(m.Now + 4*s)
	for _, n := range m.Nodes {
		links, _ := n.NeighboursAndZone()
		for _, name := range links {
			in := slices.ContainsFunc(within, func(n *Node) bool { return n.Name == name })
			require.Equal(t, slices.Contains(within, n), in, "%s has a link to %s", n.Name, name)
		}
	}
	m.RemoveCuts()
	m.Run(m.Now + 4*s)
	_, zone = within[0].NeighboursAndZone()
	assert.Len(t, zone, 4)
}

func TestOtherRegionsAreFar(t *testing.T) {
	m, p := probes(2)
	m.AssignZones(2, 2)
	m.RegionLatency = 80 * ms
	m.Nodes[0].SendDatagram(m.Nodes[1], "far", 1)
	m.Run(m.Now + 80*ms)
	assert.Empty(t, p[1].came)
	m.Run(m.Now + 2*ms)
	assert.Equal(t, []any{"far"}, p[1].came)
	var took int64
	began := m.Now
	m.Nodes[0].OpenExchange(m.Nodes[1], "who", 1, func(any, bool) { took = m.Now - began })
	m.Run(m.Now + s)
	assert.InDelta(t, 4*80, float64(took/ms), 4, "a connection and an answer")
}
