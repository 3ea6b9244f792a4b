package configsync

import (
	"fmt"
	"slices"
)

// unsettled describes a node that doesn't have the newest version in force, empty if all nodes have it.
func (s *simulation) unsettled() string {
	head := s.agreed.Head()
	if head.Newest == 0 {
		return "" // no version yet: each node has the content of its file
	}
	if head.Canary != head.All || head.Newest != head.All.Version {
		return fmt.Sprintf("the group is still at a canary stage: %+v", head)
	}
	for _, n := range s.nodes {
		if n.up && (n.replicator.Revision() != head.All || n.replicator.Content().Digest() != head.All.Digest) {
			return fmt.Sprintf("%s has version %d, %d is in force for all: %+v", n.name, n.replicator.Revision().Version, head.All.Version, n.replicator.Status(s.now))
		}
	}
	return ""
}

// check fails the simulation if a caller got a wrong verdict, or a node exceeded its rate limit.
func (s *simulation) check() {
	for _, c := range s.callers {
		for k, v := range c.verdicts {
			got, known := s.versionOf[fmt.Sprint(c.name, c.acknowledged[k].Seq)]
			if !known || got != v.Version {
				s.fail("the verdict of %s on command %d has version %d, expected %d", c.name, c.acknowledged[k].Seq, v.Version, got)
			}
		}
	}
	for _, n := range s.nodes {
		const window = 15
		for at := 0; at+window <= len(n.bytesBySecond); at++ {
			sum := int64(0)
			for _, b := range n.bytesBySecond[at : at+window] {
				sum += b
			}
			most := int64(burstBytes + maxBlockBytes + Blocks*digestBytes + window*(bytesPerSecond+4_000))
			if sum > most && !n.faulty {
				s.fail("%s: %d bytes in %d s, expected at most %d", n.name, sum, window, most)
			}
		}
	}
}

// inForce returns the sorted times that nodes took, from a time on, to bring a version or a newer one into force, and the number of nodes
// that have neither.
func (s *simulation) inForce(version uint64, since int64) (took []int64, missing int) {
	for _, n := range s.nodes {
		first := int64(-1)
		for v, at := range n.appliedAt {
			if v >= version && (first < 0 || at < first) {
				first = at
			}
		}
		if first < 0 {
			missing++
			continue
		}
		took = append(took, first-since)
	}
	slices.Sort(took)
	return took, missing
}
