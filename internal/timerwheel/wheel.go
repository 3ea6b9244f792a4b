// Package timerwheel is a hierarchical timing wheel: a queue of timers by whole ticks, each added and removed in constant
// time. It has no clock of its own.
package timerwheel

import "math/bits"

const (
	levelBits     = 6 // the occupied slots of a level fit one word
	slotsPerLevel = 1 << levelBits
	levelCount    = 6 // 64^6 ticks ahead: two years of milliseconds; later timers wait in the last slot
	noNode        = int32(-1)
)

// Timer identifies a timer until it is due or removed. The zero value identifies none.
type Timer struct {
	index      int32
	generation uint32
}

// node is a timer in the list of its slot, or in the free list.
type node struct {
	tick       int64
	value      int64
	next, prev int32
	generation uint32
	slot       int32 // its slot over all levels, or noNode while it is free
}

// Wheel is the timers after a tick. Use New to make one.
type Wheel struct {
	now       int64 // the last tick whose timers were due
	nodes     []node
	free      int32 // head of the free list
	slotHeads [levelCount * slotsPerLevel]int32
	occupied  [levelCount]uint64 // which slots hold timers
	count     int
}

// New returns a wheel without timers at a tick.
func New(now int64) *Wheel {
	w := &Wheel{now: now, free: noNode}
	for i := range w.slotHeads {
		w.slotHeads[i] = noNode
	}
	return w
}

// Len is the number of timers.
func (w *Wheel) Len() int { return w.count }

// Add adds a timer with a value that is due at a tick, or at the next one if that has passed.
func (w *Wheel) Add(at, value int64) Timer {
	i := w.free
	if i == noNode {
		i = int32(len(w.nodes))
		w.nodes = append(w.nodes, node{})
	} else {
		w.free = w.nodes[i].next
	}
	n := &w.nodes[i]
	n.tick, n.value = max(at, w.now+1), value
	n.generation++
	w.count++
	w.place(i)
	return Timer{i, n.generation}
}

// Remove removes a timer, and reports whether it was still pending.
func (w *Wheel) Remove(t Timer) bool {
	if t.index < 0 || int(t.index) >= len(w.nodes) {
		return false
	}
	n := &w.nodes[t.index]
	if n.generation != t.generation || n.slot == noNode {
		return false
	}
	w.unlink(t.index)
	w.release(t.index)
	return true
}

// Advance advances to a tick and calls due with the value of each timer that is due, in the order of their ticks. The
// function may add and remove timers; those that it adds for a passed tick are due at the next one.
func (w *Wheel) Advance(to int64, due func(value int64)) {
	for w.now < to {
		next := w.nextTick(to)
		if next > to {
			w.now = to
			return
		}
		w.now = next
		w.cascade()
		slot := int32(w.now & (slotsPerLevel - 1))
		for i := w.slotHeads[slot]; i != noNode; i = w.slotHeads[slot] {
			value := w.nodes[i].value
			w.unlink(i)
			w.release(i)
			due(value)
		}
	}
}

// Next is a tick before which no timer is due: that of the next timer, or of the next slot that is to be moved to a lower
// level. It is false without timers.
func (w *Wheel) Next() (int64, bool) {
	if w.count == 0 {
		return 0, false
	}
	return w.nextTick(1<<62 - 1), true
}

// place adds a node to the slot of the lowest level whose span reaches its tick.
func (w *Wheel) place(i int32) {
	n := &w.nodes[i]
	level, at := 0, n.tick
	for level < levelCount-1 && at>>(levelBits*(level+1)) != w.now>>(levelBits*(level+1)) {
		level++
	}
	if level == levelCount-1 && at>>(levelBits*levelCount) != w.now>>(levelBits*levelCount) {
		at = w.now | (1<<(levelBits*levelCount) - 1) // past the last level: looked at again when that comes round
	}
	slot := int32(level*slotsPerLevel) + int32(at>>(levelBits*level))&(slotsPerLevel-1)
	n.slot, n.prev, n.next = slot, noNode, w.slotHeads[slot]
	if n.next != noNode {
		w.nodes[n.next].prev = i
	}
	w.slotHeads[slot] = i
	w.occupied[level] |= 1 << (slot & (slotsPerLevel - 1))
}

// unlink removes a node from its slot.
func (w *Wheel) unlink(i int32) {
	n := &w.nodes[i]
	if n.prev != noNode {
		w.nodes[n.prev].next = n.next
	} else {
		w.slotHeads[n.slot] = n.next
		if n.next == noNode {
			w.occupied[n.slot/slotsPerLevel] &^= 1 << (n.slot & (slotsPerLevel - 1))
		}
	}
	if n.next != noNode {
		w.nodes[n.next].prev = n.prev
	}
}

// release adds a node to the free list.
func (w *Wheel) release(i int32) {
	n := &w.nodes[i]
	n.slot, n.next = noNode, w.free
	n.generation++
	w.free = i
	w.count--
}

// nextTick is the next tick after now at which a slot is due or is to be moved to a lower level, at most one past a limit.
func (w *Wheel) nextTick(to int64) int64 {
	best := to + 1
	for level := range levelCount {
		at := w.now >> (levelBits * level)
		ahead := w.occupied[level] >> (at & (slotsPerLevel - 1)) >> 1 << 1 // slots behind the present one of this turn
		if ahead != 0 {
			step := int64(bits.TrailingZeros64(ahead))
			if tick := (at + step) << (levelBits * level); tick < best {
				best = tick
			}
		}
		if level == levelCount-1 && w.occupied[level] != 0 { // those past the last level
			if tick := ((w.now >> (levelBits * levelCount)) + 1) << (levelBits * levelCount); tick < best {
				best = tick
			}
		}
	}
	return best
}

// cascade moves the timers of the slots that start at now to lower levels, from the top.
func (w *Wheel) cascade() {
	for level := levelCount - 1; level > 0; level-- {
		if w.now&(1<<(levelBits*level)-1) != 0 {
			continue
		}
		slot := int32(level*slotsPerLevel) + int32(w.now>>(levelBits*level))&(slotsPerLevel-1)
		w.relocate(slot)
		if level == levelCount-1 && w.now&(1<<(levelBits*levelCount)-1) == 0 {
			for s := range int32(slotsPerLevel) {
				w.relocate(int32(level*slotsPerLevel) + s)
			}
		}
	}
}

// relocate places the timers of a slot anew.
func (w *Wheel) relocate(slot int32) {
	i := w.slotHeads[slot]
	w.slotHeads[slot] = noNode
	w.occupied[slot/slotsPerLevel] &^= 1 << (slot & (slotsPerLevel - 1))
	for i != noNode {
		next := w.nodes[i].next
		w.place(i)
		i = next
	}
}
