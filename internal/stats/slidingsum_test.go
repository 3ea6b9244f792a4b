package stats

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestSlidingSumDropsOldSlices(t *testing.T) {
	sum := NewSlidingSum(100, 10)
	sum.Add(1_000, 3)
	sum.Add(1_099, 4)
	assert.Equal(t, 7.0, sum.Sum())
	sum.Add(1_110, 0)
	assert.Equal(t, 4.0, sum.Sum())
	sum.Add(9_000, 1)
	assert.Equal(t, 1.0, sum.Sum())
}
