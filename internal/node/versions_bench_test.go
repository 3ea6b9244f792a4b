package node

import (
	"fmt"
	"testing"

	"topazpost/internal/nodeconfig"
)

// BenchmarkVersion measures a step that applies maxChangesPerStep changes, at a small and at a large configuration. At the small one a part of
// the changes adds operations in the first round.
func BenchmarkVersion(b *testing.B) {
	for _, size := range [][2]int{{20, 300}, {4_700, 130_000}} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			p, err := nodeconfig.FromJSON(1, []byte(testSettings))
			if err != nil {
				b.Fatal(err)
			}
			sm := NewStateMachine(p, Addresses{}, 5_000*ms, 4, 3)
			var items []nodeconfig.Item
			for k := range size[0] {
				items = append(items, operation(fmt.Sprint("o", k), ""))
			}
			for k := range size[1] {
				items = append(items, tenant(fmt.Sprint("t", k), 1))
			}
			step(sm, versionInput(b, 1, items...))
			for len(sm.versions.pending) > 0 {
				step(sm)
			}
			number := uint64(1)
			for b.Loop() {
				b.StopTimer()
				number++
				items = items[:0]
				for k := range maxChangesPerStep / 2 {
					items = append(items, operation(fmt.Sprint("o", k%size[0]+k/size[0]*10_000), fmt.Sprintf(`,"importance":%d`, number)), tenant(fmt.Sprint("t", k), int(number)))
				}
				in := versionInput(b, number, items...)
				b.StartTimer()
				step(sm, in)
			}
		})
	}
}
