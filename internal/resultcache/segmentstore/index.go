package segmentstore

import "math/bits"

// Index finds where a token's last record is, by the hash of the token: open addressing with linear probing in slots of
// 16 bytes, deletion by shifting back, so that no look-up grows with what was once there. Two tokens of one hash are two
// entries; who looks up compares the record. The zero value is ready.
type Index struct {
	slots []slot // a power of two
	count int
}

type slot struct {
	hash     uint64 // 0 for a free slot
	location uint64
}

const (
	minSlots        = 16
	loadDenominator = 8 // of so many slots fullAt may be taken: past that probes get long
	loadNumerator   = 7
)

// Len is how many entries there are.
func (x *Index) Len() int { return x.count }

// Bytes is what the slots take.
func (x *Index) Bytes() int { return 16 * len(x.slots) }

func (x *Index) mask() uint64 { return uint64(len(x.slots) - 1) }

// nonzero keeps 0 for free slots.
func nonzero(hash uint64) uint64 { return max(1, hash) }

// Put adds an entry.
func (x *Index) Put(hash, location uint64) {
	if (x.count+1)*loadDenominator > len(x.slots)*loadNumerator {
		old := x.slots
		x.slots = make([]slot, max(minSlots, 1<<bits.Len(uint(len(old)))))
		for _, s := range old {
			if s.hash != 0 {
				x.insert(s)
			}
		}
	}
	x.insert(slot{nonzero(hash), location})
	x.count++
}

func (x *Index) insert(s slot) {
	i := s.hash & x.mask()
	for x.slots[i].hash != 0 {
		i = (i + 1) & x.mask()
	}
	x.slots[i] = s
}

// find is the slot of an entry that the caller knows by where it leads to; false ends the search unfound.
func (x *Index) find(hash uint64, match func(where uint64) bool) (i uint64, found bool) {
	if x.count == 0 {
		return 0, false
	}
	hash = nonzero(hash)
	for i = hash & x.mask(); x.slots[i].hash != 0; i = (i + 1) & x.mask() {
		if x.slots[i].hash == hash && match(x.slots[i].location) {
			return i, true
		}
	}
	return 0, false
}

// Get gives where the entry of a hash leads to that the caller takes for its own.
func (x *Index) Get(hash uint64, match func(where uint64) bool) (uint64, bool) {
	i, found := x.find(hash, match)
	if !found {
		return 0, false
	}
	return x.slots[i].location, true
}

// Move has an entry lead somewhere else.
func (x *Index) Move(hash, from, to uint64) bool {
	i, found := x.find(hash, func(where uint64) bool { return where == from })
	if found {
		x.slots[i].location = to
	}
	return found
}

// Delete takes an entry out and moves those up that were put behind it.
func (x *Index) Delete(hash, location uint64) bool {
	hole, found := x.find(hash, func(candidate uint64) bool { return candidate == location })
	if !found {
		return false
	}
	for i := (hole + 1) & x.mask(); x.slots[i].hash != 0; i = (i + 1) & x.mask() {
		home := x.slots[i].hash & x.mask()
		if (i-home)&x.mask() >= (i-hole)&x.mask() { // its home lies at the hole or before it
			x.slots[hole] = x.slots[i]
			hole = i
		}
	}
	x.slots[hole] = slot{}
	x.count--
	return true
}
