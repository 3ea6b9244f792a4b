package expiryheap

import (
	"testing"

	"pgregory.net/rapid"
)

type timedItem struct {
	expiresAt int64
	index     int
}

func (i *timedItem) ExpiryTime() int64 { return i.expiresAt }
func (i *timedItem) HeapIndex() *int   { return &i.index }

// Any course of pushes, moves and removals leaves the earliest item first, and each item knows its index.
func TestFirstItemExpiresFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var h Heap[*timedItem]
		var all []*timedItem
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			expiresAt := rapid.Int64Range(0, 20).Draw(t, "expiry")
			switch action := rapid.IntRange(0, 3).Draw(t, "action"); {
			case action <= 1 || len(all) == 0:
				item := &timedItem{expiresAt: expiresAt, index: NotInHeap}
				h.Push(item)
				all = append(all, item)
			case action == 2:
				item := all[rapid.IntRange(0, len(all)-1).Draw(t, "moved")]
				item.expiresAt = expiresAt
				h.Fix(item)
			default:
				n := rapid.IntRange(0, len(all)-1).Draw(t, "removed")
				h.Remove(all[n])
				if all[n].index != NotInHeap {
					t.Fatalf("a removed item has index %d", all[n].index)
				}
				all = append(all[:n], all[n+1:]...)
			}
			if h.Len() != len(all) {
				t.Fatalf("%d items in the heap, want %d", h.Len(), len(all))
			}
			for _, item := range all {
				if h.items[item.index] != item {
					t.Fatal("an item doesn't know its index")
				}
				if h.First().expiresAt > item.expiresAt {
					t.Fatalf("first expires at %d, another one at %d", h.First().expiresAt, item.expiresAt)
				}
			}
		}
	})
}
