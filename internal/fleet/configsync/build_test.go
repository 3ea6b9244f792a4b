package configsync

import (
	"fmt"
	"runtime"
	"runtime/debug"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// The results of Build and Apply must be equal for the same items with values, also if an item is given several times.
func TestBuildEqualsApply(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var list []Item
		for range rapid.IntRange(0, 300).Draw(t, "items") {
			list = append(list, Item{rapid.SampledFrom(partNames[:]).Draw(t, "part"), fmt.Sprint("n", rapid.IntRange(0, 200).Draw(t, "name")),
				fmt.Appendf(nil, "%d", rapid.IntRange(0, 1_000).Draw(t, "value"))})
		}
		want, err := new(Content).Apply(list)
		require.NoError(t, err)
		got, err := Build(func(yield func(Item)) {
			for _, i := range list {
				yield(i)
			}
		})
		require.NoError(t, err)
		require.Equal(t, want, got)
	})
	invalid := []Item{{"parts", "a", []byte("1")}, {Tenants, "", []byte("1")}, {Tenants, "a", make([]byte, maxValueBytes+1)}}
	for _, i := range invalid {
		_, err := Build(func(yield func(Item)) { yield(i) })
		assert.Error(t, err)
	}
	_, err := Build(func(yield func(Item)) {
		for k := range 16 << 10 {
			yield(Item{Tenants, fmt.Sprint("t", k), make([]byte, maxValueBytes)})
		}
	})
	assert.ErrorContains(t, err, "make values smaller")
}

// Guards against a fragmented heap: blocks that are reallocated while they grow leave gaps of all sizes. A large content must take at most
// 1.5 times the encoded size of its items.
func TestBuildDoesNotFragmentHeap(t *testing.T) {
	heap := func() uint64 {
		var m runtime.MemStats
		debug.FreeOSMemory()
		runtime.ReadMemStats(&m)
		return m.HeapInuse
	}
	before := heap()
	c, err := Build(func(yield func(Item)) {
		for k := range 130_000 {
			yield(Item{Tenants, fmt.Sprintf("tenant-%06d", k), []byte(`{"quota_rps":1.5}`)})
		}
	})
	require.NoError(t, err)
	size := heap() - before
	assert.Less(t, size, uint64(c.Bytes()*3/2), "%d bytes of items", c.Bytes())
	runtime.KeepAlive(c)
}
