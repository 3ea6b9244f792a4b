package timerwheel

import (
	"container/heap"
	"math/rand"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// Any sequence of adding, removing and advancing gives what a sorted list gives.
func TestWheelMatchesASortedList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := rapid.Int64Range(0, 1<<40).Draw(t, "start")
		w := New(now)
		type timer struct {
			at, value int64
			handle    Timer
		}
		var plain []timer
		for value := range rapid.Int64Range(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0, 1:
				ahead := int64(1) << rapid.IntRange(0, 38).Draw(t, "bits")
				at := now + rapid.Int64Range(-2, ahead).Draw(t, "ahead")
				plain = append(plain, timer{max(at, now+1), value, w.Add(at, value)})
			case 2:
				if len(plain) > 0 {
					k := rapid.IntRange(0, len(plain)-1).Draw(t, "which")
					assert.True(t, w.Remove(plain[k].handle))
					assert.False(t, w.Remove(plain[k].handle))
					plain = slices.Delete(plain, k, k+1)
				}
			case 3:
				to := now + rapid.Int64Range(0, int64(1)<<rapid.IntRange(0, 38).Draw(t, "far")).Draw(t, "step")
				var want, got []int64
				slices.SortStableFunc(plain, func(a, b timer) int { return int(max(-1, min(1, a.at-b.at))) })
				for len(plain) > 0 && plain[0].at <= to {
					want, plain = append(want, plain[0].at), plain[1:]
				}
				w.Advance(to, func(int64) { got = append(got, w.now) })
				assert.Equal(t, want, got, "each at its own tick, in order")
				now = to
			}
			if w.Len() != len(plain) {
				t.Fatalf("%d timers, %d in the list", w.Len(), len(plain))
			}
			if next, any := w.Next(); any != (len(plain) > 0) || any && next <= now {
				t.Fatalf("next %d at %d", next, now)
			}
		}
	})
}

func TestTimerAddedDuringItsTickIsDueAtTheNext(t *testing.T) {
	w := New(0)
	var got []int64
	w.Add(5, 1)
	w.Advance(20, func(value int64) {
		got = append(got, value, w.now)
		if value < 3 {
			w.Add(w.now, value+1)
		}
	})
	assert.Equal(t, []int64{1, 5, 2, 6, 3, 7}, got)
}

type timerHeap []int64

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(a, b int) bool { return h[a] < h[b] }
func (h timerHeap) Swap(a, b int)      { h[a], h[b] = h[b], h[a] }
func (h *timerHeap) Push(x any)        { *h = append(*h, x.(int64)) }
func (h *timerHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// benchmarkWheel adds one timer far ahead and advances by a tick in each iteration, with n timers at a time.
func benchmarkWheel(b *testing.B, n int) {
	w, chance := New(0), rand.New(rand.NewSource(1))
	for range n {
		w.Add(1+chance.Int63n(int64(n)), 1)
	}
	b.ReportAllocs()
	for i := range b.N {
		w.Add(int64(i)+int64(n), 1)
		w.Advance(int64(i), func(int64) {})
	}
}

func benchmarkHeap(b *testing.B, n int) {
	h, chance := timerHeap{}, rand.New(rand.NewSource(1))
	for range n {
		h = append(h, 1+chance.Int63n(int64(n)))
	}
	heap.Init(&h)
	b.ReportAllocs()
	for i := range b.N {
		heap.Push(&h, int64(i)+int64(n))
		for h[0] <= int64(i) {
			heap.Pop(&h)
		}
	}
}

func BenchmarkWheel10k(b *testing.B) { benchmarkWheel(b, 10_000) }
func BenchmarkHeap10k(b *testing.B)  { benchmarkHeap(b, 10_000) }
func BenchmarkWheel1M(b *testing.B)  { benchmarkWheel(b, 1_000_000) }
func BenchmarkHeap1M(b *testing.B)   { benchmarkHeap(b, 1_000_000) }
