package virtualtime

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestMomentsComeInOrderAndEqualOnesAsAsked(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := New(1, 0)
		type told struct {
			at    int64
			order int
		}
		var got []told
		asked := 0
		var ask func(more int)
		ask = func(more int) {
			for range more {
				order, at := asked, w.Now+rapid.Int64Range(0, 20).Draw(t, "after")
				asked++
				w.At(at, func() {
					got = append(got, told{w.Now, order})
					require.Equal(t, at, w.Now)
					if asked < 200 {
						ask(rapid.IntRange(0, 2).Draw(t, "more"))
					}
				})
			}
		}
		ask(rapid.IntRange(0, 40).Draw(t, "first"))
		w.Run(1 << 40)
		require.Len(t, got, asked, "none is lost")
		for k := 1; k < len(got); k++ {
			a, b := got[k-1], got[k]
			require.True(t, a.at < b.at || a.at == b.at && a.order < b.order)
		}
	})
}
