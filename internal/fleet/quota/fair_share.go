package quota

import (
	"cmp"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	rotationInterval = 5_000 * ms // ns after which the units left over from an even division go to other holders
	rotationBits     = 11         // bits by which the hash of a holder's name is rotated per interval; odd, so that 64 intervals use all 64 rotations
)

// fairShares returns the fair share of each holder, in the order of the leases. No share exceeds what its holder wants, and units that
// some holders don't want are divided evenly among the others. Units left over from an even division go to holders that change from
// interval to interval.
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
		equalShare := remaining / int64(len(unsatisfied))
		stillUnsatisfied := unsatisfied[:0]
		for _, i := range unsatisfied {
			increase := min(equalShare, l.Leases[i].WantedUnits-shares[i])
			shares[i] += increase
			remaining -= increase
			if shares[i] < l.Leases[i].WantedUnits {
				stillUnsatisfied = append(stillUnsatisfied, i)
			}
		}
		unsatisfied = stillUnsatisfied
	}
	if remaining == 0 {
		return shares
	}
	order := l.rotationOrder(time, unsatisfied)
	for _, entry := range order[:min(int64(len(order)), remaining)] {
		shares[entry.lease]++
	}
	return shares
}

// rotationEntry is a lease whose holder may get a unit that is left over from an even division.
type rotationEntry struct {
	hash  uint64
	lease int
}

// rotationOrder returns the leases in an order that differs from interval to interval.
func (l *Limit) rotationOrder(time int64, leases []int) []rotationEntry {
	order := make([]rotationEntry, len(leases))
	shift := int(time / rotationInterval * rotationBits)
	for k, i := range leases {
		order[k] = rotationEntry{hash: bits.RotateLeft64(xxhash.Sum64String(l.Leases[i].Owner.Name), shift), lease: i}
	}
	slices.SortFunc(order, func(a, b rotationEntry) int { return cmp.Compare(a.hash, b.hash) })
	return order
}
