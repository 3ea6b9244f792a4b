package segmentstore

import "math/bits"

// Index finds the location of a token's last record by the hash of the token. It is a hash table with open addressing, linear
// probing and deletion by shifting back, so that no look-up gets slower by what was deleted. Two tokens of one hash are two
// entries; the caller tells them apart by their records. The zero value is empty.
type Index struct {
	slots []slot // their number is a power of two
	count int
}

type slot struct {
	hash     uint64 // 0 for a free slot
	location uint64
}

const (
	slotBytes       = 16
	minSlots        = 16
	loadNumerator   = 7 // of loadDenominator slots so many may be taken: beyond that probes get long
	loadDenominator = 8
)

// Len is how many entries there are.
func (x *Index) Len() int { return x.count }

// Bytes is what the slots take.
func (x *Index) Bytes() int { return slotBytes * len(x.slots) }

func (x *Index) mask() uint64 { return uint64(len(x.slots) - 1) }

// nonzero keeps 0 for free slots.
func nonzero(hash uint64) uint64 { return max(1, hash) }

// Put adds an entry.
func (x *Index) Put(hash, location uint64) {
	if (x.count+1)*loadDenominator > len(x.slots)*loadNumerator {
		x.grow()
	}
	x.insert(slot{hash: nonzero(hash), location: location})
	x.count++
}

func (x *Index) grow() {
	entries := x.slots
	x.slots = make([]slot, max(minSlots, 1<<bits.Len(uint(len(entries)))))
	for _, entry := range entries {
		if entry.hash != 0 {
			x.insert(entry)
		}
	}
}

// insert puts an entry into the first free slot from its home on.
func (x *Index) insert(entry slot) {
	i := entry.hash & x.mask()
	for x.slots[i].hash != 0 {
		i = (i + 1) & x.mask()
	}
	x.slots[i] = entry
}

// find returns the slot of the entry of a hash whose location the caller matches.
func (x *Index) find(hash uint64, match func(location uint64) bool) (i uint64, found bool) {
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

// Get returns the location of the entry of a hash that the caller matches.
func (x *Index) Get(hash uint64, match func(location uint64) bool) (uint64, bool) {
	i, found := x.find(hash, match)
	if !found {
		return 0, false
	}
	return x.slots[i].location, true
}

// Move changes the location of an entry, and returns whether there is one.
func (x *Index) Move(hash, from, to uint64) bool {
	i, found := x.find(hash, func(location uint64) bool { return location == from })
	if found {
		x.slots[i].location = to
	}
	return found
}

// Delete removes an entry and shifts back those that were put behind it. It returns whether there was one.
func (x *Index) Delete(hash, location uint64) bool {
	hole, found := x.find(hash, func(candidate uint64) bool { return candidate == location })
	if !found {
		return false
	}
	for i := (hole + 1) & x.mask(); x.slots[i].hash != 0; i = (i + 1) & x.mask() {
		home := x.slots[i].hash & x.mask()
		if (i-home)&x.mask() >= (i-hole)&x.mask() { // its home is the hole, or lies before it
			x.slots[hole] = x.slots[i]
			hole = i
		}
	}
	x.slots[hole] = slot{}
	x.count--
	return true
}
