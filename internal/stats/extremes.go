package stats

import "container/heap"

// MinMax is the least and the greatest of a changing lot of numbers, at the cost of the change. The zero value is empty.
type MinMax struct {
	min, max lazyHeap
}

// Add adds a number; it may be there several times.
func (e *MinMax) Add(n int64) {
	heap.Push(&e.min.present, n)
	heap.Push(&e.max.present, -n)
}

// Remove takes out one that is there.
func (e *MinMax) Remove(n int64) {
	e.min.remove(n)
	e.max.remove(-n)
}

// Len is how many there are.
func (e *MinMax) Len() int { return len(e.min.present) - len(e.min.removed) }

// Min is the least of them; there must be one.
func (e *MinMax) Min() int64 { return e.min.present[0] }

// Max is the greatest of them; there must be one.
func (e *MinMax) Max() int64 { return -e.max.present[0] }

// lazyHeap is a heap from which what is gone is taken once it comes to the top, so that the top is there.
type lazyHeap struct{ present, removed int64Heap }

func (l *lazyHeap) remove(n int64) {
	heap.Push(&l.removed, n)
	for len(l.removed) > 0 && l.removed[0] == l.present[0] {
		heap.Pop(&l.removed)
		heap.Pop(&l.present)
	}
	if 2*len(l.removed) > len(l.present) { // what is gone takes no more room than what is there
		l.compact()
	}
}

func (l *lazyHeap) compact() {
	var kept int64Heap
	for len(l.present) > 0 {
		n := heap.Pop(&l.present).(int64)
		if len(l.removed) > 0 && l.removed[0] == n {
			heap.Pop(&l.removed)
			continue
		}
		kept = append(kept, n)
	}
	l.present, l.removed = kept, nil // sorted, so a heap
}

type int64Heap []int64

func (n int64Heap) Len() int           { return len(n) }
func (n int64Heap) Less(a, b int) bool { return n[a] < n[b] }
func (n int64Heap) Swap(a, b int)      { n[a], n[b] = n[b], n[a] }
func (n *int64Heap) Push(x any)        { *n = append(*n, x.(int64)) }
func (n *int64Heap) Pop() any {
	last := (*n)[len(*n)-1]
	*n = (*n)[:len(*n)-1]
	return last
}
