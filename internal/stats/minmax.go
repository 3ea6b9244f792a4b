package stats

import "container/heap"

// MinMax maintains the minimum and the maximum of a changing multiset of numbers, in logarithmic time for each
// change. The zero value is empty.
type MinMax struct {
	min lazyHeap
	max lazyHeap // of the negated numbers
}

// Add adds a number, which may be present already.
func (m *MinMax) Add(n int64) {
	m.min.add(n)
	m.max.add(-n)
}

// Remove removes one occurrence of a number that is present.
func (m *MinMax) Remove(n int64) {
	m.min.remove(n)
	m.max.remove(-n)
}

// Len returns how many numbers are present.
func (m *MinMax) Len() int { return len(m.min.present) - len(m.min.removed) }

// Min returns the minimum; m must not be empty.
func (m *MinMax) Min() int64 { return m.min.present[0] }

// Max returns the maximum; m must not be empty.
func (m *MinMax) Max() int64 { return -m.max.present[0] }

// lazyHeap is a minimum heap with lazy deletion: a removed number leaves once it reaches the top, so that the
// top is always present.
type lazyHeap struct {
	present int64Heap
	removed int64Heap
}

func (h *lazyHeap) add(n int64) { heap.Push(&h.present, n) }

func (h *lazyHeap) remove(n int64) {
	heap.Push(&h.removed, n)
	for len(h.removed) > 0 && h.removed[0] == h.present[0] {
		heap.Pop(&h.removed)
		heap.Pop(&h.present)
	}
	if 2*len(h.removed) > len(h.present) { // bounds the memory that removed numbers take
		h.compact()
	}
}

// compact rebuilds the heap from the numbers that were not removed.
func (h *lazyHeap) compact() {
	var remaining int64Heap
	for len(h.present) > 0 {
		n := heap.Pop(&h.present).(int64)
		if len(h.removed) > 0 && h.removed[0] == n {
			heap.Pop(&h.removed)
			continue
		}
		remaining = append(remaining, n)
	}
	h.present = remaining // sorted, and so a heap
	h.removed = nil
}

// int64Heap implements heap.Interface.
type int64Heap []int64

func (h int64Heap) Len() int           { return len(h) }
func (h int64Heap) Less(i, j int) bool { return h[i] < h[j] }
func (h int64Heap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *int64Heap) Push(x any)        { *h = append(*h, x.(int64)) }
func (h *int64Heap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
