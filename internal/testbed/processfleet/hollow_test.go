package processfleet

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// buildLab puts the built topazlab beside the daemon.
func buildLab(t *testing.T) {
	out, err := exec.Command("go", "build", "-o", filepath.Join(filepath.Dir(program), "topazlab"), "topazpost/cmd/topazlab").CombinedOutput()
	require.NoError(t, err, string(out))
}

// read reads a scenario of a test.
func read(t *testing.T, text string) (*Scenario, error) {
	path := filepath.Join(t.TempDir(), "scenario.jsonnet")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	n, is, err := Read(path, nil)
	require.True(t, is)
	return n, err
}

const generous = 40 * second // for what takes two on a machine that is idle

func TestHollowAndWholeNodesAreOneFleetThatLosesARackAndIsCut(t *testing.T) {
	t.Parallel()
	buildLab(t)
	n, err := read(t, `{ name: 'mixed', processes: true, nodes: 14, hollow: 12, regions: 2, zones: 4, racks: 4, council: 3, tokens: 40, calls: 10, wanted: 20,
		fleet: { probe: '100 ms', silence: '1 s', settle: '200 ms' } }`)
	require.NoError(t, err)

	p, err := newProcesses(n, 1, program, t.TempDir())
	require.NoError(t, err)
	defer p.close()
	require.NoError(t, p.beginHollow())
	var all, rack, in, out []int
	up := make([]bool, n.Nodes)
	layout := n.layout()
	for i := range up {
		all, up[i] = append(all, i), true
		if layout.Rack(i) == 1 {
			rack = append(rack, i)
		}
		if layout.Region(i) == 0 {
			in = append(in, i)
		} else {
			out = append(out, i)
		}
	}
	whole, hollow := p.partition(rack)
	assert.Len(t, whole, 1, "a rack with both kinds of nodes")
	assert.Len(t, hollow, 3)
	agree := func(d fleetDriver, what string) {
		require.GreaterOrEqual(t, n.runUntilAgreed(d, generous, up), int64(0), "%s: %v", what, d.lastEvents())
	}
	require.NoError(t, startAll(p, all, 0))
	agree(p, "all join")
	p.loadHollow()
	endAll(p, rack, false, up)
	agree(p, "the lost rack is known to all others")
	for _, i := range rack {
		up[i] = true
	}
	require.NoError(t, startAll(p, rack, 0))
	agree(p, "it is back")
	cutAll(p, in, out)
	cutAll(p, out, in)
	apart := func(side []int) bool {
		here := make([]bool, n.Nodes)
		for _, i := range side {
			here[i] = true
		}
		return n.runUntilAgreed(p, generous, here) >= 0
	}
	assert.True(t, apart(in), "a cut region has a view of its own: %v", p.lastEvents())
	assert.True(t, apart(out), "and so have the others")
	p.heal()
	agree(p, "both come together")
	o := &Outcome{Measures: map[string]float64{}}
	for end := p.now() + generous; p.now() < end && (o.Measures["tokens_kept"] == 0 || o.Measures["hollow_calls_most"] == 0); p.run(p.now() + 10*pollInterval) {
		o.Measures = map[string]float64{}
		p.measureHollow(o)
	}
	assert.Empty(t, o.Failed)
	assert.Positive(t, o.Measures["tokens_kept"], "tokens are claimed, begun and ended: %v", o.Measures)
	assert.Positive(t, o.Measures["hollow_calls_most"], "calls are leased")
	assert.Positive(t, p.sent())
}

func TestPlacesAreLostAndAllAreRolled(t *testing.T) {
	t.Parallel()
	n, err := read(t, `{ name: 'places', nodes: 24, regions: 2, zones: 4, racks: 8, seconds: 80, calm: 20, faults: [
		{ kind: 'kill', who: 'rack', at: '2 s', 'for': '6 s' },
		{ kind: 'kill', who: 'zone', at: '20 s', 'for': '6 s' },
		{ kind: 'cut', shape: 'halves', who: 'region', at: '38 s', 'for': '8 s' },
		{ kind: 'roll', steps: 8, at: '60 s', 'for': '16 s' } ] }`)
	require.NoError(t, err)
	o, err := n.runSeed(1, "", "")
	require.NoError(t, err)
	require.Empty(t, o.Failed)
	m := o.Measures
	lost := float64(3*21 + 6*18 + 2*12*12 + 24*23 - 8*3*2) // by each that stands: a rack of 3, a zone of 6, both regions of 12, and 8 steps of 3
	assert.Equal(t, []float64{lost, 0, 0}, []float64{m["losses"], m["missed"], m["wrong"]}, "%v", o.Timeline)
	assert.Less(t, m["agree_s"], 20.0)
}

func TestInvalidScenariosAreRejected(t *testing.T) {
	for text, want := range map[string]string{
		`{ name: 'x', nodes: 3, hollow: 2 }`:                                            "set processes: true",
		`{ name: 'x', nodes: 3, hollow: 4, processes: true }`:                           "4 of 3 nodes can't be hollow",
		`{ name: 'x', nodes: 3, tokens: 4, processes: true }`:                           "there are none",
		`{ name: 'x', nodes: 3, hollow: 2, tokens: 4, processes: true }`:                "need a council",
		`{ name: 'x', nodes: 3, hollow: 2, wanted: 4, council: 1, processes: true }`:    "wanted needs calls",
		`{ name: 'x', nodes: 3, faults: [{ kind: 'roll', at: '1 s', 'for': '2 s' }] }`:  "a roll without them has no pace",
		`{ name: 'x', nodes: 3, faults: [{ kind: 'flood', at: '1 s', 'for': '2 s' }] }`: "leave, cut, loss or roll",
	} {
		_, err := read(t, text)
		assert.ErrorContains(t, err, want)
	}
}
