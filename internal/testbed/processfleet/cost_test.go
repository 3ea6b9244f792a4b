package processfleet

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/stretchr/testify/require"
)

const (
	asksOnce  = 1_500 // invocations of one measurement
	flowing   = 64    // callers at once where what the council can do is measured
	flowsOnce = 400   // invocations of each of them
)

// BenchmarkTokenedOnAFleet measures invocations of fresh tokens one after the other, and idempotent ones, with claims in memory of the node
// alone and agreed on by councils of one, three and five, and how many a council of three agrees on in a second:
// go test -run NONE -bench TokenedOnAFleet -benchtime 1x ./internal/testbed/processfleet.
func BenchmarkTokenedOnAFleet(b *testing.B) {
	for b.Loop() {
		for _, seats := range []int{0, 1, 3, 5} {
			n := &Scenario{Storm: true, Nodes: 6, Council: seats, Contacts: 3, Longest: 1_000_000, Timeout: 20_000_000_000}
			p, err := newProcesses(n, 1, program, b.TempDir())
			require.NoError(b, err)
			for i := range n.Nodes {
				require.NoError(b, p.start(i))
			}
			if seats > 0 {
				p.council(b)
			}
			for _, at := range []int{0, 5} { // a node with a seat, and one without
				h := hdrhistogram.New(1, 10_000_000, 3)
				c := p.dial(b, at)
				for k := range asksOnce {
					began := time.Now()
					c.send(fmt.Sprintf("%d-%d-%d", seats, at, k))
					require.Contains(b, c.answer(), "run 1")
					require.NoError(b, h.RecordValue(time.Since(began).Microseconds()))
				}
				name := fmt.Sprintf("%d_seats_at_n%d_", seats, at)
				idempotent := hdrhistogram.New(1, 10_000_000, 3)
				for range asksOnce {
					began := time.Now()
					c.invoke("look", "x")
					c.answer()
					require.NoError(b, idempotent.RecordValue(time.Since(began).Microseconds()))
				}
				b.ReportMetric(float64(idempotent.ValueAtQuantile(50)), name+"idempotent_p50_us")
				b.ReportMetric(float64(idempotent.ValueAtQuantile(99)), name+"idempotent_p99_us")
				b.ReportMetric(float64(h.ValueAtQuantile(50)), name+"p50_us")
				b.ReportMetric(float64(h.ValueAtQuantile(99)), name+"p99_us")
			}
			if seats == 3 {
				var group sync.WaitGroup
				began := time.Now()
				for k := range flowing {
					c := p.dial(b, k%n.Nodes)
					group.Go(func() {
						for x := range flowsOnce {
							c.send(fmt.Sprintf("f%d-%d", k, x))
							c.answer()
						}
					})
				}
				group.Wait()
				b.ReportMetric(flowing*flowsOnce/time.Since(began).Seconds(), "claimed_per_s")
			}
			p.close()
		}
	}
}
