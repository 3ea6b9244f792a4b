package stats

import "container/heap"

// MinMax maintains the minimum and the maximum of a changing multiset of numbers, in logarithmic time for each
// change. The zero value is empty.
type MinMax struct {
	min lazyHeap
	max lazyHeap // holds the negated numbers
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
func (m *MinMax) Len() int { return len(m.min.entries) - len(m.min.removed) }

// Min returns the minimum; m must not be empty.
func (m *MinMax) Min() int64 { return m.min.entries[0] }

// Max returns the maximum; m must not be empty.
func (m *MinMax) Max() int64 { return -m.max.entries[0] }

// lazyHeap is a minimum heap with lazy deletion: a removed number leaves entries when it reaches the top, so that the top
// of entries is never a removed number.
type lazyHeap struct {
	entries int64Heap // with the removed numbers
	removed int64Heap // numbers that are still in entries
}

func (h *lazyHeap) add(n int64) { heap.Push(&h.entries, n) }

func (h *lazyHeap) remove(n int64) {
	heap.Push(&h.removed, n)
	for len(h.removed) > 0 && h.removed[0] == h.entries[0] {
		heap.Pop(&h.removed)
		heap.Pop(&h.entries)
	}
	if 2*len(h.removed) > len(h.entries) { // bounds the memory of removed numbers
		h.compact()
	}
}

// compact rebuilds the heap from the numbers that were not removed.
func (h *lazyHeap) compact() {
	var remaining int64Heap
	for len(h.entries) > 0 {
		n := heap.Pop(&h.entries).(int64)
		if len(h.removed) > 0 && h.removed[0] == n {
			heap.Pop(&h.removed)
			continue
		}
		remaining = append(remaining, n)
	}
	h.entries = remaining // sorted, and so a heap
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
