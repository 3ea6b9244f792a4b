package virtualfleet

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"topazpost/internal/fleet/membership"
)

// probe is a payload that notes what comes, and answers each question with its own node's name.
type probe struct {
	node   *Node
	came   []any
	viewed int
}

func (p *probe) DatagramReceived(_ *Node, body any) { p.came = append(p.came, body) }
func (p *probe) ExchangeOpened(_ *Node, body any, reply func(any, int)) {
	if body != "say nothing" {
		reply(p.node.Name, 10)
	}
}
func (p *probe) ViewChanged(membership.Change) { p.viewed++ }

func probes(nodes int) (*Fleet, []*probe) {
	m, all := New(1, nodes, 1), make([]*probe, nodes)
	m.NewPayload = func(n *Node) Payload {
		all[n.index] = &probe{node: n}
		return all[n.index]
	}
	for _, n := range m.Nodes {
		n.Start()
	}
	return m, all
}

func TestPayloadGoesOverTheSameLinks(t *testing.T) {
	m, p := probes(3)
	a, b, c := m.Nodes[0], m.Nodes[1], m.Nodes[2]
	require.GreaterOrEqual(t, m.RunUntil(10*s, m.Agreed), int64(0))
	assert.Equal(t, 2, p[0].viewed)
	m.Cut(0, 1)
	a.SendDatagram(b, "over a cut", 100)
	a.SendDatagram(c, "whole", 100)
	m.Run(m.Now + s)
	assert.Empty(t, p[1].came)
	assert.Equal(t, []any{"whole"}, p[2].came)
	assert.Equal(t, []int{2, 200}, []int{a.PayloadSent, a.PayloadBytes}, "counted where it is sent, whatever becomes of it")
	m.Heal()
	m.LossRate = 1
	a.SendDatagram(b, "lost", 1)
	m.Heal()
	m.DuplicateRate = 1
	a.SendDatagram(b, "twice", 1)
	m.Heal()
	m.LateRate, m.MaxLate = 1, 30*s
	a.SendDatagram(b, "late", 1)
	m.Run(m.Now + s)
	assert.Equal(t, []any{"twice", "twice"}, p[1].came)
	m.Run(m.Now + 30*s)
	assert.Equal(t, []any{"twice", "twice", "late"}, p[1].came)
}

func TestPayloadOfAPauseWaitsAndThatOfAnEndedLifeIsLost(t *testing.T) {
	m, p := probes(2)
	a, b := m.Nodes[0], m.Nodes[1]
	b.Pause(s)
	a.SendDatagram(b, "waits", 1)
	m.Run(m.Now + s/2)
	assert.Empty(t, p[1].came)
	m.Run(m.Now + s)
	assert.Equal(t, []any{"waits"}, p[1].came)
	old := p[1]
	b.Later(s, func() { t.Error("of an ended life") })
	b.Pause(s)
	a.SendDatagram(b, "before the kill", 1)
	m.Run(m.Now + 10*ms)
	b.Kill()
	b.Start()
	a.SendDatagram(b, "new", 1)
	m.Run(m.Now + 3*s)
	assert.Equal(t, []any{"waits"}, old.came)
	assert.Equal(t, []any{"new"}, p[1].came)
}

func TestExchangeOfAPayloadEndsOnce(t *testing.T) {
	m, _ := probes(2)
	a, b := m.Nodes[0], m.Nodes[1]
	var got []any
	done := func(body any, ok bool) { got = append(got, body, ok) }
	a.OpenExchange(b, "who", 5, done)
	m.Run(m.Now + 3*s)
	assert.Equal(t, []any{"n1", true}, got)
	assert.Equal(t, []int{5, 10}, []int{a.PayloadBytes, b.PayloadBytes})
	got = nil
	a.OpenExchange(b, "say nothing", 5, done)
	m.Run(m.Now + exchangeTimeout - s)
	assert.Empty(t, got)
	m.Run(m.Now + 2*s)
	assert.Equal(t, []any{nil, false}, got)
	got = nil
	b.Kill()
	a.OpenExchange(b, "who", 5, done)
	m.Run(m.Now + 3*s)
	assert.Equal(t, []any{nil, false}, got)
	a.OpenExchange(b, "who", 5, func(any, bool) { t.Error("told to an ended life") })
	a.Kill()
	a.Start()
	m.Run(m.Now + 3*s)
}

func TestZonesAreFactsAndPlacesOfFaults(t *testing.T) {
	m := New(1, 60, 3)
	m.AssignZones(7, 15)
	for _, n := range m.Nodes {
		n.Start()
	}
	require.GreaterOrEqual(t, m.RunUntil(20*s, m.Agreed), int64(0))
	m.Run(m.Now + s)
	regions := map[string]bool{}
	for _, seen := range m.Nodes[0].View().Members {
		assert.Regexp(t, `^r[0-6]/z\d+$`, seen.Facts.Zone)
		regions[seen.Facts.Zone[:2]] = true
	}
	assert.Len(t, regions, 7)
	assert.Len(t, m.Within("r1/z4"), 4)
	assert.Empty(t, m.Within("r"))
	in := m.Within("r2")
	m.CutOff("r2")
	m.Run(m.Now + 8*s)
	for _, n := range m.Nodes {
		_, size := n.ViewHash()
		want := len(m.Nodes) - len(in)
		if n.Zone[:2] == "r2" {
			want = len(in)
		}
		assert.Equal(t, want, size, n.Name)
	}
	m.RemoveCuts()
	require.GreaterOrEqual(t, m.RunUntil(20*s, m.Agreed), int64(0))
	lost := m.KillWithin("r1/z4")
	assert.Len(t, lost, 4)
	require.GreaterOrEqual(t, m.RunUntil(6*s, m.Agreed), int64(0))
	for _, n := range lost {
		n.Start()
	}
	require.GreaterOrEqual(t, m.RunUntil(10*s, m.Agreed), int64(0))
}
