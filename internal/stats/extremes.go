package stats

import "container/heap"

// MinMax is the least and the greatest of a changing lot of numbers, at the cost of the change. The zero value is empty.
type MinMax struct {
	min, max lazyHeap
}

// Add adds a number; it may be there several times.
func (m *MinMax) Add(n int64) {
	heap.Push(&m.min.present, n)
	heap.Push(&m.max.present, -n)
}

// Remove takes out one that is there.
func (m *MinMax) Remove(n int64) {
	m.min.remove(n)
	m.max.remove(-n)
}

// Len is how many there are.
func (m *MinMax) Len() int { return len(m.min.present) - len(m.min.removed) }

// Min is the least of them; there must be one.
func (m *MinMax) Min() int64 { return m.min.present[0] }

// Max is the greatest of them; there must be one.
func (m *MinMax) Max() int64 { return -m.max.present[0] }

// lazyHeap is a heap from which what is gone is taken once it comes to the top, so that the top is there.
type lazyHeap struct{ present, removed int64Heap }

func (h *lazyHeap) remove(n int64) {
	heap.Push(&h.removed, n)
	for len(h.removed) > 0 && h.removed[0] == h.present[0] {
		heap.Pop(&h.removed)
		heap.Pop(&h.present)
	}
	if 2*len(h.removed) > len(h.present) { // what is gone takes no more room than what is there
		h.compact()
	}
}

func (h *lazyHeap) compact() {
	var kept int64Heap
	for len(h.present) > 0 {
		n := heap.Pop(&h.present).(int64)
		if len(h.removed) > 0 && h.removed[0] == n {
			heap.Pop(&h.removed)
			continue
		}
		kept = append(kept, n)
	}
	h.present, h.removed = kept, nil // sorted, so a heap
}

type int64Heap []int64

func (h int64Heap) Len() int           { return len(h) }
func (h int64Heap) Less(a, b int) bool { return h[a] < h[b] }
func (h int64Heap) Swap(a, b int)      { h[a], h[b] = h[b], h[a] }
func (h *int64Heap) Push(x any)        { *h = append(*h, x.(int64)) }
func (h *int64Heap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
