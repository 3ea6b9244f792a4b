package virtualfleet

import (
	"os"
	"runtime"
	"strconv"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"
)

const s = 1_000 * ms

func fleet(t *testing.T, seed int64, nodes int) *Fleet {
	m := New(seed, nodes, 3)
	for _, n := range m.Nodes {
		n.Start()
	}
	took := m.RunUntil(60*s, m.Agreed)
	require.GreaterOrEqual(t, took, int64(0), "joined")
	t.Logf("%d nodes joined in %.2f s", nodes, float64(took)/1e9)
	return m
}

func TestManyNodesJoinAtOnce(t *testing.T) {
	for _, nodes := range []int{2, 3, 5, 8, 24, 60} {
		m := fleet(t, 1, nodes)
		m.Run(m.Now + 20*s)
		assert.True(t, m.Agreed())
		bytes := 0
		for _, n := range m.Nodes {
			bytes -= n.Bytes
		}
		m.Run(m.Now + 20*s)
		for _, n := range m.Nodes {
			bytes += n.Bytes
		}
		t.Logf("%.0f bytes a second and node when idle", float64(bytes)/float64(nodes)/20)
	}
}

func TestKilledNodeIsLostOnceAndNoOther(t *testing.T) {
	for _, nodes := range []int{3, 5, 24, 60} {
		m := fleet(t, 2, nodes)
		m.Run(m.Now + 10*s)
		before := map[*Node]int{}
		for _, n := range m.Nodes {
			before[n] = len(n.Changes)
		}
		m.Nodes[1].Kill()
		took := m.RunUntil(5*s, m.Agreed)
		require.GreaterOrEqual(t, took, int64(0), "known within 5 s")
		t.Logf("%d nodes: known to all after %.2f s", nodes, float64(took)/1e9)
		m.Run(m.Now + 20*s)
		for _, n := range m.Nodes {
			if n.Up {
				require.Len(t, n.Changes[before[n]:], 1, n.Name)
			}
		}
	}
}

func TestSchedulesOfFaults(t *testing.T) {
	first, many := int64(1), 80
	if v := os.Getenv("MESH_SEED"); v != "" {
		first, _ = strconv.ParseInt(v, 10, 64)
		many = 1
	}
	if v := os.Getenv("MESH_SEEDS"); v != "" {
		many, _ = strconv.Atoi(v)
	}
	var group errgroup.Group
	group.SetLimit(runtime.GOMAXPROCS(0))
	for k := range int64(many) {
		group.Go(func() error { return Schedule(first+k, 3+int(first+k)%14, 60*s, 30*s) })
	}
	assert.NoError(t, group.Wait(), "MESH_SEED=N go test -run Schedules ./internal/testbed/virtualfleet replays one")
}

// BenchmarkSecond is a second of a fleet that loses and regains a tenth of its nodes, and one of an idle fleet.
func BenchmarkSecond(b *testing.B) {
	for _, busy := range []bool{false, true} {
		b.Run(map[bool]string{false: "idle300", true: "busy300"}[busy], func(b *testing.B) {
			m := New(1, 300, 3)
			for _, n := range m.Nodes {
				n.Start()
			}
			m.Run(m.Now + 20*s)
			for b.Loop() {
				if busy {
					for range 10 {
						n := m.Nodes[m.Rand.Intn(300)]
						n.Kill()
						m.After(5*s, func() {
							if !n.Up {
								n.Start()
							}
						})
					}
				}
				m.Run(m.Now + s)
			}
		})
	}
}
