package virtualfleet

import (
	"os"
	"runtime"
	"strconv"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// bytes is what a node sent in the mean.
func (m *Fleet) bytes() float64 {
	sum := 0
	for _, n := range m.Nodes {
		sum += n.Bytes
	}
	return float64(sum) / float64(len(m.Nodes))
}

// shape is what a fleet of a size costs, in bytes a node, simulated.
type shape struct {
	nodes              int
	joined             float64 // seconds
	herd, worst, still float64 // until one view, and in the worst second; a second while nothing changes
	killed             float64 // more than while still, for each of some that are killed and come back
}

// shapeOf plays a herd of joins, an idle time, and some that die and come back, one after the other.
func shapeOf(t testing.TB, nodes int) (s shape) {
	const second, deaths = 1_000 * ms, 3
	m := New(1, nodes, 3)
	for _, n := range m.Nodes {
		n.Start()
	}
	s.nodes = nodes
	before, at := 0.0, m.Now
	look := func() {
		if m.Now-at >= second {
			s.worst, before, at = max(s.worst, m.bytes()-before), m.bytes(), m.Now
		}
	}
	took := m.RunUntil(20*second, func() bool { look(); return m.Agreed() })
	require.GreaterOrEqual(t, took, int64(0), "a herd of %d is one view within 20 s", nodes)
	s.joined, s.herd = float64(took)/1e9, m.bytes()
	for end := m.Now + 10*second; m.Now < end; look() {
		m.Run(m.Now + 20*ms)
	}
	require.True(t, m.Agreed())
	start := m.bytes()
	m.Run(m.Now + 5*second)
	s.still = (m.bytes() - start) / 5
	start, at = m.bytes(), m.Now
	for k := range deaths {
		n := m.Nodes[(k*nodes/deaths+7)%nodes]
		n.Kill()
		require.GreaterOrEqual(t, m.RunUntil(6*second, m.Agreed), int64(0), "a death is known to all")
		n.Start()
		require.GreaterOrEqual(t, m.RunUntil(10*second, m.Agreed), int64(0), "and a return")
	}
	m.Run(m.Now + 5*second)
	s.killed = (m.bytes() - start - s.still*float64(m.Now-at)/1e9) / deaths
	t.Logf("%d nodes (simulated): one view after %.2f s, %.0f bytes a node until then, %.0f in the worst second; idle %.0f a second; %.0f a death and return",
		nodes, s.joined, s.herd, s.worst, s.still, s.killed)
	return s
}

// What a node sends while nothing changes, and for one change, does not grow with the fleet; for a herd it grows with it.
func TestTrafficOfANodeDoesNotGrowWithTheFleet(t *testing.T) {
	small, large := shapeOf(t, 40), shapeOf(t, 120)
	assert.InEpsilon(t, small.still, large.still, 0.03, "idle")
	assert.InEpsilon(t, small.killed, large.killed, 0.2, "for each death and return")
	assert.Less(t, large.herd/small.herd, 1.5*3, "a herd of three times as many")
}

// BenchmarkFleet plays 1,300 members, or as many as MESH_NODES says: a herd of joins, an idle time, a third killed for
// 10 s; 45 s in all.
func BenchmarkFleet(b *testing.B) {
	const second = 1_000 * ms
	nodes := 1_300
	if v := os.Getenv("MESH_NODES"); v != "" {
		nodes, _ = strconv.Atoi(v)
	}
	for b.Loop() {
		m := New(1, nodes, 3)
		for _, n := range m.Nodes {
			n.Start()
		}
		joined := m.RunUntil(20*second, m.Agreed)
		require.GreaterOrEqual(b, joined, int64(0), "one view within 20 s")
		m.Run(25 * second)
		for k := 0; k < nodes; k += 3 {
			m.Nodes[k].Kill()
		}
		known := m.RunUntil(10*second, m.Agreed)
		require.GreaterOrEqual(b, known, int64(0), "deaths known within 10 s")
		m.Run(35 * second)
		for _, n := range m.Nodes {
			if !n.Up {
				n.Start()
			}
		}
		back := m.RunUntil(10*second, m.Agreed)
		require.GreaterOrEqual(b, back, int64(0), "back within 10 s")
		m.Run(45 * second)
		var mem runtime.MemStats
		runtime.ReadMemStats(&mem)
		b.ReportMetric(float64(joined)/1e9, "sim-s-joined")
		b.ReportMetric(float64(known)/1e9, "sim-s-known")
		b.ReportMetric(float64(back)/1e9, "sim-s-back")
		b.ReportMetric(float64(mem.Sys>>20), "MB-sys")
	}
}
