package virtualfleet

import (
	"fmt"
	"strings"
)

// Spread gives each node a zone, in turn: so many zones in so many regions, as evenly as they go. It is told to peers
// as a fact from each node's next start on.
func (m *Mesh) Spread(regions, zones int) {
	for i, n := range m.Nodes {
		zone := i % zones
		n.region = zone * regions / zones
		n.Zone = fmt.Sprintf("r%d/z%d", n.region, zone)
	}
}

// Within are the nodes of a region, as "r3", or of a zone, as "r3/z7".
func (m *Mesh) Within(place string) (list []*Node) {
	for _, n := range m.Nodes {
		if rest, in := strings.CutPrefix(n.Zone, place); in && (rest == "" || rest[0] == '/') {
			list = append(list, n)
		}
	}
	return list
}

// CutOff cuts a region or zone from all others, both ways, until Mend.
func (m *Mesh) CutOff(place string) {
	in := m.Within(place)
	m.CutBetween(in, m.others(in), true)
	if m.standing != nil {
		m.parted(in)
	}
}

// far is how much longer a message takes from one to the other since they are of different regions.
func (m *Mesh) far(from, to *Node) int64 {
	if from.region != to.region {
		return m.Far
	}
	return 0
}

// Lose kills all nodes of a region or zone that are up, and returns them.
func (m *Mesh) Lose(place string) (lost []*Node) {
	for _, n := range m.Within(place) {
		if n.Up {
			n.Kill()
			lost = append(lost, n)
		}
	}
	return lost
}
