package takeover

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"topazpost/internal/fleet/claims"
)

const (
	sameZoneWeight = 0.25 // factor for a new owner in the zone of the lost one: zones are lost as a whole
	levelWeight    = 0.5  // factor for each level of graceful degradation of a new owner
)

// ChooseNewOwner returns the new owner of a claim of a lost member, which may be nil: a member that waits for the claim, else the
// one that weighted rendezvous hashing gives, among those that have capacity. It returns nil where none has.
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

func (m *Member) canTakeOver(entry *claims.Entry) bool {
	return m.Alive && m.AcceptsWork && m.Owner != entry.Owner && m.Owner != entry.LastReturnedBy
}

// rendezvousScore is the score of a member for a token: the lowest is chosen, with a chance in proportion to the member's weight.
func rendezvousScore(member *Member, token string, lost *Member) float64 {
	weight := math.Pow(levelWeight, float64(member.Level))
	if lost != nil && lost.Zone != "" && member.Zone == lost.Zone {
		weight *= sameZoneWeight
	}
	hash := xxhash.Sum64String(member.Owner.Name + "\x00" + token)
	uniform := (float64(hash>>11) + 0.5) / (1 << 53) // in (0, 1), of the hash's upper 53 bits
	return -math.Log(uniform) / weight
}
