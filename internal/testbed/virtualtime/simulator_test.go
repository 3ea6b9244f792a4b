package virtualtime

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestEventsRunInOrderOfTimeThenOfScheduling(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New(1, 0)
		type ran struct {
			at    int64
			order int
		}
		var got []ran
		scheduled := 0
		var schedule func(more int)
		schedule = func(more int) {
			for range more {
				order, at := scheduled, s.Now+rapid.Int64Range(0, 20).Draw(t, "after")
				scheduled++
				s.At(at, func() {
					got = append(got, ran{s.Now, order})
					require.Equal(t, at, s.Now)
					if scheduled < 200 {
						schedule(rapid.IntRange(0, 2).Draw(t, "more"))
					}
				})
			}
		}
		schedule(rapid.IntRange(0, 40).Draw(t, "first"))
		s.Run(1 << 40)
		require.Len(t, got, scheduled, "no event is lost")
		for k := 1; k < len(got); k++ {
			a, b := got[k-1], got[k]
			require.True(t, a.at < b.at || a.at == b.at && a.order < b.order)
		}
	})
}
