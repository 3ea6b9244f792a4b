package quota

import (
	"cmp"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	rotationInterval = 5_000 * ms // ns after which units that can't be divided evenly go to other holders
	rotationBits     = 11         // by which hashes of names are rotated in each interval; not a divisor of 64
)

// fairShares are the shares of the limit's holders, in the order of the leases: none is more than its holder wants, and what some
// don't want is divided evenly among the others. Units that can't be divided evenly rotate.
func (l *Limit) fairShares(time int64) []int64 {
	shares := make([]int64, len(l.Leases))
	remaining := l.Units
	unsatisfied := make([]int, 0, len(shares)) // indices of the leases whose holders want more
	for i := range l.Leases {
		if l.Leases[i].WantedUnits > 0 {
			unsatisfied = append(unsatisfied, i)
		}
	}
	for len(unsatisfied) > 0 && remaining >= int64(len(unsatisfied)) {
		each := remaining / int64(len(unsatisfied))
		still := unsatisfied[:0]
		for _, i := range unsatisfied {
			more := min(each, l.Leases[i].WantedUnits-shares[i])
			shares[i] += more
			remaining -= more
			if shares[i] < l.Leases[i].WantedUnits {
				still = append(still, i)
			}
		}
		unsatisfied = still
	}
	if remaining == 0 {
		return shares
	}
	rotation := l.rotation(time, unsatisfied)
	for _, turn := range rotation[:min(int64(len(rotation)), remaining)] {
		shares[turn.lease]++
	}
	return shares
}

// turn is the place of a lease among those that get one of the units that can't be divided evenly.
type turn struct {
	key   uint64
	lease int
}

// rotation orders leases, differently in each interval.
func (l *Limit) rotation(time int64, leases []int) []turn {
	turns := make([]turn, len(leases))
	shift := int(time / rotationInterval * rotationBits)
	for k, i := range leases {
		turns[k] = turn{key: bits.RotateLeft64(xxhash.Sum64String(l.Leases[i].Owner.Name), shift), lease: i}
	}
	slices.SortFunc(turns, func(a, b turn) int { return cmp.Compare(a.key, b.key) })
	return turns
}
