package stats

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

func TestMinMaxOfPresentNumbers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var e MinMax
		var there []int64
		for range rapid.IntRange(0, 100).Draw(t, "steps") {
			if len(there) > 0 && rapid.Bool().Draw(t, "remove") {
				k := rapid.IntRange(0, len(there)-1).Draw(t, "which")
				e.Remove(there[k])
				there = slices.Delete(there, k, k+1)
			} else {
				n := rapid.Int64Range(1, 9).Draw(t, "number")
				e.Add(n)
				there = append(there, n)
			}
			assert.Equal(t, len(there), e.Len())
			assert.LessOrEqual(t, len(e.min.present)+len(e.min.removed), max(2, 3*len(there)))
			if len(there) > 0 {
				assert.Equal(t, []int64{slices.Min(there), slices.Max(there)}, []int64{e.Min(), e.Max()})
			}
		}
	})
}
