package virtualfleet

import (
	"fmt"
	"strings"
)

// AssignZones gives each node a zone, in turn: so many zones in so many regions, as evenly as possible. It is announced to peers
// as a fact from each node's next start on.
func (f *Fleet) AssignZones(regions, zones int) {
	for i, n := range f.Nodes {
		zone := i % zones
		n.region = zone * regions / zones
		n.Zone = fmt.Sprintf("r%d/z%d", n.region, zone)
	}
}

// Within are the nodes of a region, as "r3", or of a zone, as "r3/z7".
func (f *Fleet) Within(place string) (list []*Node) {
	for _, n := range f.Nodes {
		if rest, in := strings.CutPrefix(n.Zone, place); in && (rest == "" || rest[0] == '/') {
			list = append(list, n)
		}
	}
	return list
}

// CutOff cuts a region or zone from all others, both ways, until Mend.
func (f *Fleet) CutOff(place string) {
	in := f.Within(place)
	f.CutBetween(in, f.except(in), true)
	if f.static != nil {
		f.partitionStatic(in)
	}
}

// KillWithin kills all nodes of a region or zone that are up, and returns them.
func (f *Fleet) KillWithin(place string) (lost []*Node) {
	for _, n := range f.Within(place) {
		if n.Up {
			n.Kill()
			lost = append(lost, n)
		}
	}
	return lost
}
