package capacity

import (
	"go/ast"
	"go/constant"
	"go/parser"
	"go/token"
	"go/types"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// The bounds that reach is reckoned with are those of the code.
func TestBoundsAreThoseOfTheCode(t *testing.T) {
	for _, b := range bounds {
		set := token.NewFileSet()
		file, err := parser.ParseFile(set, filepath.Join("..", "..", "..", b.file), nil, 0)
		require.NoError(t, err)
		found := false
		for _, decl := range file.Decls {
			g, is := decl.(*ast.GenDecl)
			if !is || g.Tok != token.CONST {
				continue
			}
			for _, s := range g.Specs {
				v := s.(*ast.ValueSpec)
				if v.Names[0].Name != b.name {
					continue
				}
				expression := strings.ReplaceAll(types.ExprString(v.Values[0]), "ms", "1000000")
				value, err := types.Eval(set, nil, token.NoPos, expression)
				require.NoError(t, err, b.name)
				f, _ := constant.Float64Val(constant.ToFloat(value.Value))
				assert.Equal(t, b.value, f, b.name)
				found = true
			}
		}
		assert.True(t, found, "%s has no constant %s", b.file, b.name)
	}
}

func TestRowsAreInTheOrderOfReach(t *testing.T) {
	d := &Document{Quantity: "nodes", Fits: map[string]Fit{"idle_bytes": {Base: 1_000, Slope: 100, Error: 10, Played: 100, Rungs: 3},
		"idle_cpu": {Base: 1, Slope: 0.001, Played: 100, Rungs: 3}}}
	list := documents{"/nodes": d}.rows()
	at := func(what string) int {
		return slices.IndexFunc(list, func(r row) bool { return strings.HasPrefix(r.what, what) })
	}
	changes, idle, cpu, missing := at("changes of configuration"), at("membership, idle traffic"), at("membership, idle processor"), at("requests: processor")
	assert.Zero(t, changes)
	assert.Less(t, changes, idle)
	assert.Less(t, idle, cpu)
	assert.InDelta(t, 200.0/WantedNodes, list[idle].reach, 1e-9)
	assert.InDelta(t, 20_000.0/110/WantedNodes, list[idle].low, 1e-9)
	assert.True(t, list[cpu].beyond, "a line is carried no further than four times what was played")
	assert.InDelta(t, 400.0/WantedNodes, list[cpu].reach, 1e-9)
	assert.True(t, list[missing].missing)
	assert.Greater(t, missing, cpu)
}

func TestReachOfALatencyIsTheLargestPartPlayedWithinIt(t *testing.T) {
	d := &Document{Rungs: []Rung{{10, map[string]float64{"added_p99_ms": 1}}, {50, map[string]float64{"added_p99_ms": 2.6}},
		{100, map[string]float64{"added_p99_ms": 2.8}}}}
	r := latency(d, "peak")
	assert.Equal(t, 0.5, r.reach)
	assert.False(t, r.beyond)
	d.Rungs[0].Measures["added_p99_ms"] = 3
	r = latency(d, "peak")
	assert.True(t, r.below)
	assert.Equal(t, 0.1, r.reach)
	d = &Document{Rungs: []Rung{{0, map[string]float64{}}, {80, map[string]float64{"force_s": 9}}, {325, map[string]float64{"force_s": 10.1}}}}
	r = force(d, "spread")
	assert.Equal(t, 80.0/WantedNodes, r.reach)
	assert.False(t, r.beyond || r.below)
	d.Rungs[2].Measures["force_s"] = 10
	r = force(d, "spread")
	assert.Equal(t, 0.25, r.reach)
	assert.True(t, r.beyond)
	d.Rungs[1].Measures["force_s"] = 11
	r = force(d, "spread")
	assert.True(t, r.below)
	assert.False(t, r.beyond)
	d = &Document{Rungs: []Rung{{10, map[string]float64{"added_p99_ms": 1}}, {50, map[string]float64{"added_p99_ms": 2.6}}, {100, map[string]float64{}}}}
	d.Rungs[2].Measures["added_p99_ms"] = 2.7
	assert.True(t, latency(d, "peak").beyond)
}
