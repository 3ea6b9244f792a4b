package takeover

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"topazpost/internal/fleet/claims"
)

const (
	sameZoneWeight = 0.25 // factor for a member in the zone of the lost owner, since a whole zone may be lost
	levelWeight    = 0.5  // factor for each level of degraded service of a member
)

// ChooseNewOwner returns the new owner of a claim among the members that have capacity, or nil if none has: a member that waits for
// the claim, otherwise the member chosen by weighted rendezvous hashing. Lost is the lost owner, or nil if the view does not have it.
func ChooseNewOwner(entry *claims.Entry, view []Member, lost *Member, hasCapacity func(claims.Owner) bool) *Member {
	var best *Member
	bestScore := math.Inf(1)
	for i := range view {
		member := &view[i]
		if !member.canTakeOver(entry) || !hasCapacity(member.Owner) {
			continue
		}
		if slices.Contains(entry.Waiters, member.Owner) {
			return member
		}
		if score := rendezvousScore(member, entry.Key.Token, lost); score < bestScore {
			best = member
			bestScore = score
		}
	}
	return best
}

// canTakeOver reports whether the member is alive, accepts work, and neither owns the claim nor was the last to return it.
func (m *Member) canTakeOver(entry *claims.Entry) bool {
	return m.Alive && m.AcceptsWork && m.Owner != entry.Owner && m.Owner != entry.LastReturnedBy
}

// rendezvousScore returns a member's score for a token. The member with the lowest score is chosen; over many tokens, each member is
// chosen in proportion to its weight.
func rendezvousScore(member *Member, token string, lost *Member) float64 {
	weight := math.Pow(levelWeight, float64(member.Level))
	if lost != nil && lost.Zone != "" && member.Zone == lost.Zone {
		weight *= sameZoneWeight
	}
	hash := xxhash.Sum64String(member.Owner.Name + "\x00" + token)
	uniform := (float64(hash>>11) + 0.5) / (1 << 53) // in (0, 1), from the upper 53 bits of the hash
	return -math.Log(uniform) / weight
}
