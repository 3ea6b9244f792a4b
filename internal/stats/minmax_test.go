package stats

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

func TestMinMaxOfPresentNumbers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var extremes MinMax
		var present []int64
		for range rapid.IntRange(0, 100).Draw(t, "steps") {
			if len(present) > 0 && rapid.Bool().Draw(t, "remove") {
				k := rapid.IntRange(0, len(present)-1).Draw(t, "which")
				extremes.Remove(present[k])
				present = slices.Delete(present, k, k+1)
			} else {
				n := rapid.Int64Range(1, 9).Draw(t, "number")
				extremes.Add(n)
				present = append(present, n)
			}
			assert.Equal(t, len(present), extremes.Len())
			assert.LessOrEqual(t, len(extremes.min.entries)+len(extremes.min.removed), max(2, 3*len(present)))
			if len(present) > 0 {
				assert.Equal(t, []int64{slices.Min(present), slices.Max(present)}, []int64{extremes.Min(), extremes.Max()})
			}
		}
	})
}
