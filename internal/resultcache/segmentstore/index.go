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
	hash  uint64 // 0 for a free slot
	where uint64
}

const (
	leastSlots = 16
	fullOf     = 8 // of so many slots fullAt may be taken: past that probes get long
	fullAt     = 7
)

// Len is how many entries there are.
func (x *Index) Len() int { return x.count }

// Bytes is what the slots take.
func (x *Index) Bytes() int { return 16 * len(x.slots) }

func (x *Index) mask() uint64 { return uint64(len(x.slots) - 1) }

// nonzero keeps 0 for free slots.
func nonzero(hash uint64) uint64 { return max(1, hash) }

// Put adds an entry.
func (x *Index) Put(hash, where uint64) {
	if (x.count+1)*fullOf > len(x.slots)*fullAt {
		old := x.slots
		x.slots = make([]slot, max(leastSlots, 1<<bits.Len(uint(len(old)))))
		for _, s := range old {
			if s.hash != 0 {
				x.put(s)
			}
		}
	}
	x.put(slot{nonzero(hash), where})
	x.count++
}

func (x *Index) put(s slot) {
	at := s.hash & x.mask()
	for x.slots[at].hash != 0 {
		at = (at + 1) & x.mask()
	}
	x.slots[at] = s
}

// find is the slot of an entry that the caller knows by where it leads to; false ends the search unfound.
func (x *Index) find(hash uint64, is func(where uint64) bool) (at uint64, found bool) {
	if x.count == 0 {
		return 0, false
	}
	hash = nonzero(hash)
	for at = hash & x.mask(); x.slots[at].hash != 0; at = (at + 1) & x.mask() {
		if x.slots[at].hash == hash && is(x.slots[at].where) {
			return at, true
		}
	}
	return 0, false
}

// Get gives where the entry of a hash leads to that the caller takes for its own.
func (x *Index) Get(hash uint64, is func(where uint64) bool) (uint64, bool) {
	at, found := x.find(hash, is)
	if !found {
		return 0, false
	}
	return x.slots[at].where, true
}

// Move has an entry lead somewhere else.
func (x *Index) Move(hash, from, to uint64) bool {
	at, found := x.find(hash, func(where uint64) bool { return where == from })
	if found {
		x.slots[at].where = to
	}
	return found
}

// Delete takes an entry out and moves those up that were put behind it.
func (x *Index) Delete(hash, where uint64) bool {
	hole, found := x.find(hash, func(w uint64) bool { return w == where })
	if !found {
		return false
	}
	for at := (hole + 1) & x.mask(); x.slots[at].hash != 0; at = (at + 1) & x.mask() {
		home := x.slots[at].hash & x.mask()
		if (at-home)&x.mask() >= (at-hole)&x.mask() { // its home lies at the hole or before it
			x.slots[hole] = x.slots[at]
			hole = at
		}
	}
	x.slots[hole] = slot{}
	x.count--
	return true
}
