// Package expiryheap orders items by when they expire. An item knows its index in the heap, so that it can be moved or removed
// without a search.
package expiryheap

import "container/heap"

// NotInHeap is the index of an item that is in no heap.
const NotInHeap = -1

// Item is what a heap holds.
type Item interface {
	// ExpiryTime is when the item expires, on any one clock. While the item is in a heap it may change only before Fix.
	ExpiryTime() int64
	// HeapIndex is where the heap keeps the item's index.
	HeapIndex() *int
}

// Heap holds items by their expiry, the earliest first. The zero value is empty.
type Heap[T Item] struct{ items items[T] }

// Len is how many items there are.
func (h *Heap[T]) Len() int { return len(h.items) }

// First is the item that expires first; the heap must not be empty.
func (h *Heap[T]) First() T { return h.items[0] }

// Push adds an item.
func (h *Heap[T]) Push(item T) { heap.Push(&h.items, item) }

// Fix moves an item of the heap after its expiry has changed.
func (h *Heap[T]) Fix(item T) { heap.Fix(&h.items, *item.HeapIndex()) }

// Remove takes an item out of the heap.
func (h *Heap[T]) Remove(item T) { heap.Remove(&h.items, *item.HeapIndex()) }

// items implements heap.Interface.
type items[T Item] []T

func (s items[T]) Len() int { return len(s) }

func (s items[T]) Less(i, j int) bool { return s[i].ExpiryTime() < s[j].ExpiryTime() }

func (s items[T]) Swap(i, j int) {
	s[i], s[j] = s[j], s[i]
	*s[i].HeapIndex() = i
	*s[j].HeapIndex() = j
}

func (s *items[T]) Push(x any) {
	item := x.(T)
	*item.HeapIndex() = len(*s)
	*s = append(*s, item)
}

func (s *items[T]) Pop() any {
	last := len(*s) - 1
	item := (*s)[last]
	*item.HeapIndex() = NotInHeap
	*s = (*s)[:last]
	return item
}
