package virtualfleet

import (
	"fmt"
	"strings"
)

// AssignZones gives each node a zone, in turn: so many zones in so many regions, as evenly as they go. It is told to peers
// as a fact from each node's next start on.
func (m *Fleet) AssignZones(regions, zones int) {
	for i, n := range m.Nodes {
		zone := i % zones
		n.region = zone * regions / zones
		n.Zone = fmt.Sprintf("r%d/z%d", n.region, zone)
	}
}

// Within are the nodes of a region, as "r3", or of a zone, as "r3/z7".
func (m *Fleet) Within(place string) (list []*Node) {
	for _, n := range m.Nodes {
		if rest, in := strings.CutPrefix(n.Zone, place); in && (rest == "" || rest[0] == '/') {
			list = append(list, n)
		}
	}
	return list
}

// CutOff cuts a region or zone from all others, both ways, until Mend.
func (m *Fleet) CutOff(place string) {
	in := m.Within(place)
	m.CutBetween(in, m.except(in), true)
	if m.static != nil {
		m.partitionStatic(in)
	}
}

// regionLatency is how much longer a message takes from one to the other since they are of different regions.
func (m *Fleet) regionLatency(from, to *Node) int64 {
	if from.region != to.region {
		return m.RegionLatency
	}
	return 0
}

// KillWithin kills all nodes of a region or zone that are up, and returns them.
func (m *Fleet) KillWithin(place string) (lost []*Node) {
	for _, n := range m.Within(place) {
		if n.Up {
			n.Kill()
			lost = append(lost, n)
		}
	}
	return lost
}
