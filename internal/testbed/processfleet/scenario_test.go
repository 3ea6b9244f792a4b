package processfleet

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"topazpost/internal/fleet/membership"
	"topazpost/internal/invariant"
)

var program string

func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "rig")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(folder, "topazpost")
	tags := ""
	if invariant.Debug {
		tags = "debug"
	}
	if out, err := exec.Command("go", "build", "-tags", tags, "-o", program, "topazpost/cmd/topazpost").CombinedOutput(); err != nil {
		panic(string(out))
	}
	code := m.Run()
	os.RemoveAll(folder)
	os.Exit(code)
}

// play plays an experiment of the laboratory in a short form and wants all claims to hold.
func play(t *testing.T, experiment string, changed map[string]string) *Result {
	t.Parallel()
	n, is, err := Read(filepath.Join("..", "..", "..", "experiments", experiment+".jsonnet"), changed)
	require.NoError(t, err)
	require.True(t, is)
	r, err := n.Run([]int64{1}, program, t.TempDir())
	require.NoError(t, err)
	for _, v := range r.Verdicts {
		assert.True(t, v.Held, "%s: %g, bound %g", v.Name, v.Value, v.Bound)
	}
	if t.Failed() {
		r.Print(os.Stderr)
	}
	return r
}

func TestProcessesKilled(t *testing.T) {
	r := play(t, "members-kill", map[string]string{"nodes": "6", "seconds": "16", "calm": "10"})
	assert.Positive(t, r.Measures[0]["known_s"], "a death was seen")
}

func TestProcessesPausedWhileAFifthIsLost(t *testing.T) {
	play(t, "members-pause", map[string]string{"nodes": "6", "seconds": "24", "calm": "10"})
}

func TestProcessesCutOffFromOthers(t *testing.T) {
	for _, cut := range []string{`{"shape":"pair"}`, `{"shape":"from"}`, `{"shape":"to"}`, `{"shape":"halves","who":"half"}`, `{"shape":"half","who":"half"}`} {
		t.Run(cut, func(t *testing.T) {
			fault := `[{"kind":"cut","at":"1 s","for":"9 s",` + cut[1:] + `]`
			r := play(t, "members-cuts", map[string]string{"nodes": "6", "seconds": "11", "calm": "12", "faults": fault})
			assert.Equal(t, cut != `{"shape":"pair"}`, r.Measures[0]["cut_changes"] == 1, "a cut of one link changes no view, any other does")
		})
	}
}

func TestRetriesOnADaemonThatIsKilled(t *testing.T) {
	for _, durability := range []string{"batched", "each"} {
		t.Run(durability, func(t *testing.T) {
			r := play(t, "kept-storm", map[string]string{"seconds": "12", "kills": "6", "keep.durability": durability})
			assert.Positive(t, r.Measures[0]["tokens_run"])
		})
	}
}

// A storm that can't fail shows nothing: without a store, a daemon that is killed runs tokens again.
func TestRetryStormFindsRunsWithoutAResult(t *testing.T) {
	t.Parallel()
	n, _, err := Read("../../../experiments/kept-storm.jsonnet", map[string]string{"seconds": "8", "kills": "4", "keep.durability": "none"})
	require.NoError(t, err)
	r, err := n.Run([]int64{1}, program, "")
	require.NoError(t, err)
	assert.Positive(t, r.Measures[0]["twice"])
}

func TestScenariosInVirtualTime(t *testing.T) {
	for name, changed := range map[string]map[string]string{
		"members-kill": {}, "members-pause": {"seconds": "120"}, "members-cuts": {}, "members-scale": {"nodes": "40"},
	} {
		t.Run(name, func(t *testing.T) {
			changed["processes"] = "false"
			play(t, name, changed)
		})
	}
}

// What the play on processes claims must not rest on which datagrams are lost: of the first 320 seeds, 116, 188
// and 317 failed where each ping was sent but once a probe, and 166, 257 and 317 where only that was mended and a link
// that was back was still told of too late.
func TestPausedNodesAreNotLostWhicheverFifthOfDatagramsIs(t *testing.T) {
	t.Parallel()
	n, _, err := Read("../../../experiments/members-pause.jsonnet", map[string]string{"processes": "false", "nodes": "6", "seconds": "24", "calm": "10"})
	require.NoError(t, err)
	for seed := int64(1); seed <= 320; seed++ {
		r, err := n.Run([]int64{seed}, "", "")
		require.NoError(t, err)
		assert.Zero(t, r.Measures[0]["wrong"], "seed %d", seed)
	}
}

// A measure that can't fail is none: a fleet whose silence is shorter than the pauses loses those that were paused.
func TestShortSilenceIsFound(t *testing.T) {
	n, _, err := Read("../../../experiments/members-pause.jsonnet", map[string]string{"processes": "false", "seconds": "60"})
	require.NoError(t, err)
	n.Fleet = map[string]string{"silence": "2 s"}
	r, err := n.Run([]int64{1}, "", "")
	require.NoError(t, err)
	assert.False(t, r.Held())
}

func TestOtherExperimentsAreNoScenario(t *testing.T) {
	_, is, err := Read("../../../experiments/levels-step.jsonnet", nil)
	require.NoError(t, err)
	assert.False(t, is)
	path := filepath.Join(t.TempDir(), "a.jsonnet")
	require.NoError(t, os.WriteFile(path, []byte("{ nodes: 3,\n faults: [{ kind: 'kil' }] }"), 0o600))
	_, _, err = Read(path, nil)
	assert.ErrorContains(t, err, fmt.Sprintf("%s:2: faults.0.kind: \"kil\" is no fault; choose kill", path))
}

// A return counts but for the time in which other faults or a member's own falls keep it out, and one that is slow is seen.
func TestReturnCountsWhereNothingKeepsAMemberOut(t *testing.T) {
	who := map[string]bool{"n1": true}
	kill := &faultSpan{kind: "kill", from: 10 * second, to: 11 * second, concerned: who}
	cut := &faultSpan{kind: "cut", from: 9 * second, to: 15 * second, concerned: who}
	assert.Zero(t, blockedTime(nil, []*faultSpan{kill}, kill, 0, "n1", 11*second, 17*second))
	assert.Equal(t, 4*second, blockedTime(nil, []*faultSpan{kill, cut}, kill, 0, "n1", 11*second, 17*second), "up to the healing")
	assert.Equal(t, 4*second, blockedTime(nil, []*faultSpan{kill, cut, {kind: "loss", from: 0, to: 99 * second, concerned: who}}, kill, 0, "n1", 11*second, 17*second))
	var events []Event
	for _, at := range []int64{2, 6, 10} {
		events = append(events, Event{At: at * second, Node: 0, Who: "n1", Cause: membership.Lost})
	}
	assert.Zero(t, blockedTime(events[2:], []*faultSpan{kill}, kill, 0, "n1", 11*second, 17*second), "fell once")
	assert.Equal(t, second, blockedTime(events, []*faultSpan{kill}, kill, 0, "n1", 11*second, 17*second), "the third time it is let in after 2 s")
	assert.Zero(t, blockedTime(events, []*faultSpan{kill}, kill, 2, "n1", 11*second, 17*second), "another node saw none of it")
	events = append(events[:2], Event{At: 7 * second, Node: 0, Who: "n1", Cause: membership.Joined}, events[2])
	assert.Zero(t, blockedTime(events, []*faultSpan{kill}, kill, 0, "n1", 11*second, 17*second), "another life of the one that looks")
}

func TestReturnsThroughOverlappingFaultsAreSeenInTime(t *testing.T) {
	n, _, err := Read("../../../experiments/quota-hard.jsonnet", map[string]string{"processes": "false"})
	require.NoError(t, err)
	n.Claims = nil
	r, err := n.Run([]int64{3, 4, 5, 8}, "", "")
	require.NoError(t, err)
	for _, o := range r.Outcomes {
		assert.Less(t, o.Measures["back_s"], 2.0, "seed %d", o.Seed)
		assert.Positive(t, o.Measures["back_s"])
	}
}
