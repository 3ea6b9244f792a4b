package stats

import "container/heap"

// MinMax is the least and the greatest of a changing lot of numbers, at the cost of the change. The zero value is empty.
type MinMax struct {
	least, most lazy
}

// Add adds a number; it may be there several times.
func (e *MinMax) Add(n int64) {
	heap.Push(&e.least.there, n)
	heap.Push(&e.most.there, -n)
}

// Remove takes out one that is there.
func (e *MinMax) Remove(n int64) {
	e.least.remove(n)
	e.most.remove(-n)
}

// Len is how many there are.
func (e *MinMax) Len() int { return len(e.least.there) - len(e.least.gone) }

// Min is the least of them; there must be one.
func (e *MinMax) Min() int64 { return e.least.there[0] }

// Max is the greatest of them; there must be one.
func (e *MinMax) Max() int64 { return -e.most.there[0] }

// lazy is a heap from which what is gone is taken once it comes to the top, so that the top is there.
type lazy struct{ there, gone numbers }

func (l *lazy) remove(n int64) {
	heap.Push(&l.gone, n)
	for len(l.gone) > 0 && l.gone[0] == l.there[0] {
		heap.Pop(&l.gone)
		heap.Pop(&l.there)
	}
	if 2*len(l.gone) > len(l.there) { // what is gone takes no more room than what is there
		l.tidy()
	}
}

func (l *lazy) tidy() {
	var kept numbers
	for len(l.there) > 0 {
		n := heap.Pop(&l.there).(int64)
		if len(l.gone) > 0 && l.gone[0] == n {
			heap.Pop(&l.gone)
			continue
		}
		kept = append(kept, n)
	}
	l.there, l.gone = kept, nil // sorted, so a heap
}

type numbers []int64

func (n numbers) Len() int           { return len(n) }
func (n numbers) Less(a, b int) bool { return n[a] < n[b] }
func (n numbers) Swap(a, b int)      { n[a], n[b] = n[b], n[a] }
func (n *numbers) Push(x any)        { *n = append(*n, x.(int64)) }
func (n *numbers) Pop() any {
	last := (*n)[len(*n)-1]
	*n = (*n)[:len(*n)-1]
	return last
}
