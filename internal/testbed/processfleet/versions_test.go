package processfleet

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"topazpost/internal/testbed/virtualfleet"
)

// short are the faults and changes of the experiment, closer together.
func short(changed map[string]string) map[string]string {
	all := map[string]string{"nodes": "48", "seconds": "64", "calm": "15", "versions.tenants": "300", "versions.old": "40 %",
		"faults": `[{"kind":"loss","at":"0 s","for":"64 s","part":"5 %"},{"kind":"kill","who":"one","at":"3 s","every":"2 s","for":"5 s"},
			{"kind":"kill","who":"one","shape":"forgets","at":"4 s","for":"5 s"},{"kind":"kill","who":"seat","at":"6 s","every":"17 s","for":"6 s"},
			{"kind":"kill","who":"zone","at":"8 s","for":"9 s"},{"kind":"cut","who":"region","at":"20 s","for":"20 s"},
			{"kind":"kill","who":"seats","at":"42 s","for":"4 s"}]`,
		"versions.changes": `[{"at":"1 s","for":"62 s","every":"2 s"},{"at":"8 s","for":"10 s","every":"60 ms"},{"at":"52 s","new":true}]`}
	for k, v := range changed {
		all[k] = v
	}
	return all
}

// All faults of the experiment, on a small fleet.
func TestVersionsSpreadThroughFaults(t *testing.T) {
	x := play(t, "config-scale", short(nil)).Measures[0]
	assert.Greater(t, x["pairs"], 1_000.0)
	assert.Positive(t, x["recoveries"], "a node began without its disk")
	assert.Positive(t, x["refusals"])
}

// Real membership below gives the same verdicts.
func TestVersionsSpreadOverRealMembership(t *testing.T) {
	play(t, "config-scale", short(map[string]string{"nodes": "30", "versions.membership": "true", "seconds": "34", "calm": "10",
		"faults": `[{"kind":"loss","at":"0 s","for":"34 s","part":"5 %"},{"kind":"kill","who":"seat","at":"3 s","for":"6 s"},
			{"kind":"kill","who":"zone","at":"4 s","for":"8 s"},{"kind":"cut","who":"region","at":"12 s","for":"10 s"}]`,
		"versions.changes": `[{"at":"1 s","for":"32 s","every":"1 s"},{"at":"25 s","new":true}]`}))
}

// The same on processes: five seats that serve nothing, and daemons.
func TestVersionsSpreadOverProcesses(t *testing.T) {
	play(t, "config-scale", map[string]string{"processes": "true", "nodes": "9", "seconds": "16", "versions.tenants": "50",
		"faults": `[{"kind":"loss","at":"0 s","for":"16 s","part":"5 %"},{"kind":"kill","who":"seat","at":"2 s","for":"3 s"},
			{"kind":"kill","who":"one","at":"3 s","for":"3 s"}]`,
		"versions.changes": `[{"at":"1 s","for":"14 s","every":"1 s"},{"at":"9 s","new":true}]`})
}

// A node is out of reach while it is down, without a majority of seats on its side, or still recovering from a lost disk; what
// is late without such an excuse is found. Plays in virtual time and on processes note it alike.
func TestALateVersionWithoutAnExcuseIsFound(t *testing.T) {
	t.Parallel()
	for name, x := range map[string]struct {
		down, apart, empty []int // members from 5 s until 8 s; the first three are seats
		late               int   // has the version of second 1 after 12 s
		found              bool
	}{
		"nothing else happens":             {late: 4, found: true},
		"another is down":                  {down: []int{3}, late: 4, found: true},
		"one seat is down":                 {down: []int{0}, late: 4, found: true},
		"one seat and others are cut off":  {apart: []int{0, 3}, late: 4, found: true},
		"another recovers":                 {empty: []int{3}, late: 4, found: true},
		"it is down":                       {down: []int{4}, late: 4},
		"it is cut off":                    {apart: []int{4}, late: 4},
		"it is cut off with one seat":      {apart: []int{0, 4}, late: 4},
		"most seats are cut off from it":   {apart: []int{0, 1}, late: 4},
		"it is with most seats, cut off":   {apart: []int{0, 1, 4}, late: 4, found: true},
		"most seats are down":              {down: []int{0, 1}, late: 4},
		"a seat is down, another cut off":  {down: []int{0}, apart: []int{1}, late: 4},
		"it recovers":                      {empty: []int{4}, late: 4},
		"a seat is late and others aren't": {down: []int{4}, late: 1, found: true},
	} {
		f := &virtualVersions{Fleet: virtualfleet.New(1, 5, 2), apart: map[*member]bool{}, agreedAt: map[uint64]int64{1: second}, changes: []*wantedChange{{version: 1}}}
		for k := range 5 {
			m := &member{Node: &virtualfleet.Node{Name: fmt.Sprint("n", k)}, index: k, seat: k < 3, held: []revisionTime{{0, 0}, {3 * second, 1}}}
			if k == x.late {
				m.held[1].at = 13 * second
			}
			f.members = append(f.members, m)
		}
		look := func(now int64, on bool) {
			for _, k := range x.apart {
				f.apart[f.members[k]] = on
			}
			f.recordReachability(now, func(m *member) bool { return !on || !slices.Contains(x.down, m.index) },
				func(m *member) bool { return on && slices.Contains(x.empty, m.index) })
		}
		for at := int64(0); at < 20*second; at += second {
			look(at, at >= 5*second && at < 8*second)
		}
		got := map[string]float64{}
		f.measureInForce(got)
		assert.Equal(t, x.found, got["in_force"] == 0, "%s: %v", name, got)
		f.members[x.late].held[1].at = 11 * second // 10 s after: in time
		f.measureInForce(got)
		assert.Equal(t, 1.0, got["in_force"], name)
	}
}

// A measure that can't fail is none: seats that all lose their disks have lost what they acknowledged.
func TestLostVersionsAreFound(t *testing.T) {
	t.Parallel()
	n, _, err := Read("../../../experiments/config-scale.jsonnet", map[string]string{"nodes": "30", "seconds": "20", "versions.tenants": "50",
		"faults":           `[{"kind":"kill","who":"seats","shape":"forgets","at":"10 s","for":"1 s"}]`,
		"versions.changes": `[{"at":"1 s","for":"15 s","every":"1 s"}]`})
	require.NoError(t, err)
	o := n.playVersionsInVirtualTime(1)
	assert.Positive(t, o.Measures["lost"])
	assert.Greater(t, o.Measures["digests"], 1.0)
}
