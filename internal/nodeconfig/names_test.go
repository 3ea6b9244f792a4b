package nodeconfig

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// Names behaves as a map and a list, whatever is put and removed in whatever order.
func TestNamesMatchesMapModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var n Names
		want, byIndex := map[string]int32{}, map[int32]string{}
		for range rapid.IntRange(0, 200).Draw(t, "steps") {
			name := strings.Repeat("x", rapid.IntRange(0, 5).Draw(t, "long")) + fmt.Sprint(rapid.IntRange(0, 40).Draw(t, "name"))
			if i, known := want[name]; known {
				n.Remove(i)
				delete(want, name)
				delete(byIndex, i)
			} else {
				for byIndex[i] != "" {
					i++
				}
				n.Put(i, name)
				want[name], byIndex[i] = i, name
			}
			assert.Equal(t, len(want), n.Len())
			_, known := n.Lookup("never")
			assert.False(t, known)
			for name, i := range want {
				at, known := n.Lookup(name)
				assert.True(t, known)
				assert.Equal(t, i, at)
				assert.Equal(t, name, n.Name(i))
			}
		}
	})
}

func TestNamesStoresNamesOfAnyLength(t *testing.T) {
	list := []string{"", "a", strings.Repeat("long", 40_000), "b", strings.Repeat("page", pageSize/4-2)}
	n := NewNames(list...)
	assert.Equal(t, list, n.All())
	for i, name := range list {
		at, known := n.Lookup(name)
		assert.True(t, known)
		assert.Equal(t, int32(i), at)
	}
	twice := NewNames("a", "b", "a")
	at, _ := twice.Lookup("a")
	assert.Equal(t, int32(2), at, "the last of two equal names")
	at, known := (*Names)(nil).Lookup("a")
	assert.False(t, known, at)
}

// The memory of a large table: the names and at most 20 bytes for each.
func TestNamesMemoryOverhead(t *testing.T) {
	var n Names
	text := 0
	for i := range int32(130_000) {
		name := fmt.Sprintf("tenant-%06d", i)
		text += len(name)
		n.Put(i, name)
	}
	held := 4 * (cap(n.offsets) + cap(n.next) + cap(n.bucketHeads))
	for _, page := range n.pages {
		held += cap(page)
	}
	assert.Less(t, held, text+20*n.Len())
	longest := 0
	for _, i := range n.bucketHeads {
		long := 0
		for ; i >= 0; i = n.next[i] {
			long++
		}
		longest = max(longest, long)
	}
	assert.Less(t, longest, 16, "chains stay short")
}
