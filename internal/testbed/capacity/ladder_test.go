package capacity

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	maxWaitedMS  = 100.0 // ms a second that a node may have waited for a core: a tenth of the time, past which it is starved
	starvedAgain = 3     // times that a ladder is climbed anew for it
)

var built string // folder of topazpost and topazlab

func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "capacity")
	if err != nil {
		panic(err)
	}
	built = folder
	if out, err := exec.Command("go", "build", "-o", folder+string(filepath.Separator), "topazpost/cmd/topazpost", "topazpost/cmd/topazlab").CombinedOutput(); err != nil {
		panic(string(out))
	}
	code := m.Run()
	os.RemoveAll(folder)
	os.Exit(code)
}

// climb plays the short ladder of a quantity.
func climb(t *testing.T, name string) *Document {
	t.Helper()
	b := &Bench{Program: filepath.Join(built, "topazpost"), Lab: filepath.Join(built, "topazlab"), Seed: 1, Brief: true}
	d, err := b.Climb(quantity(name))
	require.NoError(t, err)
	t.Log(ladder(quantity(name), d))
	require.Len(t, d.Rungs, len(quantity(name).Short))
	return d
}

// atMostLinear wants the upper half of a ladder to be at most half as steep again as the lower one, but for slack.
func atMostLinear(t *testing.T, d *Document, measure string, slack float64) {
	t.Helper()
	x, y := d.Series(measure)
	require.Len(t, x, 3, measure)
	lower, upper := (y[1]-y[0])/(x[1]-x[0]), (y[2]-y[1])/(x[2]-x[1])
	assert.LessOrEqual(t, upper, 1.5*max(0, lower)+slack/(x[2]-x[1]), "%s: %v at %v is more than linear", measure, y, x)
}

// flat wants a measure not to grow with its quantity but for a part.
func flat(t *testing.T, d *Document, measure string, part float64) {
	t.Helper()
	_, y := d.Series(measure)
	assert.LessOrEqual(t, y[len(y)-1], y[0]*(1+part), "%s: %v is not flat", measure, y)
}

func TestConfigurationGrowsNoFasterThanItsSize(t *testing.T) {
	t.Parallel()
	d := climb(t, "configuration")
	for _, m := range []string{"rss_mb", "reload_mb", "reload_peak_mb"} {
		atMostLinear(t, d, m, 8)
	}
	atMostLinear(t, d, "file_kb", 0)
}

func TestConnectionsAreAllBorneAndGrowNoFasterThanTheirNumber(t *testing.T) {
	t.Parallel()
	d := climb(t, "callers")
	atMostLinear(t, d, "rss_mb", 8)
	for _, r := range d.Rungs {
		assert.Equal(t, r.Size, r.Measures["open"])
	}
}

func TestRequestsAreAllServedAndCostNoMoreEachWhenThereAreMore(t *testing.T) {
	t.Parallel()
	d := climb(t, "requests")
	starved := func(r Rung) bool { return r.Measures["waited"] > maxWaitedMS }
	for range starvedAgain { // of a node without its core nothing can be told: the ladder is climbed anew
		if !slices.ContainsFunc(d.Rungs, starved) {
			break
		}
		d = climb(t, "requests")
	}
	for _, r := range d.Rungs {
		assert.Equal(t, r.Size*shortLoadDuration.Seconds(), r.Measures["succeeded"]+r.Measures["refused"], "each has one answer")
		if starved(r) { // it may turn some away then, as it is made to; it still answers all, and none costs more
			t.Logf("at %g a second the node waited for a core for %.0f ms of each second: what it refused is the machine's", r.Size, r.Measures["waited"])
			continue
		}
		assert.Zero(t, r.Measures["refused"])
	}
	flat(t, d, "cpu_us", 0.5)
}

func TestTokensCostNoMoreEachWhenThereAreMore(t *testing.T) {
	t.Parallel()
	d := climb(t, "tokens")
	for _, r := range d.Rungs {
		assert.Zero(t, r.Measures["lost"])
	}
	atMostLinear(t, d, "leader_bytes", 20_000)
	assert.Positive(t, d.Rungs[2].Measures["claim_bytes"])
}

// Each change that was agreed on comes to be in force at each node, over sockets, however many they are.
func TestChangesInServiceComeToEachNode(t *testing.T) {
	t.Parallel()
	d := climb(t, "spread")
	for _, r := range d.Rungs {
		assert.Positive(t, r.Measures["done"])
		assert.Contains(t, r.Measures, "force_s")
		assert.Positive(t, r.Measures["idle_bytes"])
	}
}

func TestNodeWithConfigurationInServiceGrowsNoFasterThanItsSize(t *testing.T) {
	t.Parallel()
	d := climb(t, "service")
	for _, m := range []string{"rss_mb", "change_peak_mb", "reload_peak_mb", "seat_mb"} {
		atMostLinear(t, d, m, 8)
	}
}

// Nodes on sockets come to one view after a herd of joins, a death, a new start and a restart, at each size; what that
// costs is held to its shape in virtual time, where no other work on the machine is in the figures.
func TestNodesComeToOneViewAtEachSize(t *testing.T) {
	t.Parallel()
	d := climb(t, "nodes")
	for _, r := range d.Rungs {
		assert.Positive(t, r.Measures["idle_bytes"])
		assert.Positive(t, r.Measures["killed_s"])
	}
}

func TestTrafficOfNodesInVirtualTime(t *testing.T) {
	t.Parallel()
	out, err := exec.Command(filepath.Join(built, "topazlab"), "capacity", "--short", "--json", "--only", "virtual").Output() // not slowed by -race
	require.NoError(t, err)
	d := new(Document)
	lines := strings.Split(strings.TrimSpace(string(out)), "\n")
	require.NoError(t, json.Unmarshal([]byte(lines[len(lines)-1]), d))
	t.Log(ladder(quantity("virtual"), d))
	for _, m := range []string{"idle_bytes", "killed_bytes", "restarted_bytes"} {
		flat(t, d, m, 0.4)
	}
	for _, m := range []string{"herd_bytes", "zone_bytes", "zone_back_bytes"} {
		atMostLinear(t, d, m, 0)
	}
}

// A shape that can't fail shows nothing.
func TestSquareIsFound(t *testing.T) {
	inner := &testing.T{}
	d := &Document{}
	for _, x := range []float64{100, 200, 400} {
		d.Rungs = append(d.Rungs, Rung{x, map[string]float64{"square": x * x, "line": x}})
	}
	atMostLinear(inner, d, "line", 0)
	assert.False(t, inner.Failed())
	atMostLinear(inner, d, "square", 0)
	assert.True(t, inner.Failed())
	inner = &testing.T{}
	flat(inner, d, "line", 0.4)
	assert.True(t, inner.Failed())
}
