package integration

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// commandTimeout ends a command that hangs; no verdict rests on it.
const commandTimeout = "60s"

// configFleet is three seats that serve nothing and three daemons, all of which take their configuration in service. Each daemon
// is a zone of its own, so that each is of the first stage; n3 has no catalogue.
type configFleet struct {
	*replicaProcesses
	nodes []*testNode
}

func startConfigFleet(t *testing.T) *configFleet {
	f := &configFleet{replicaProcesses: &replicaProcesses{t: t, folder: t.TempDir()}}
	seated := []string{"s1", "s2", "s3"}
	var binds []string
	for range 6 {
		_, bind := fleetFileWithReplicas(t, nil)
		binds = append(binds, bind)
	}
	f.binds = binds[:3]
	file := func(name, zone, bind string) string {
		text, err := json.Marshal(map[string]any{"fleet": "tests", "bind": bind, "zone": zone, "seeds": f.binds,
			"council":       map[string]any{"seats": seated, "folder": filepath.Join(f.folder, "{name}")},
			"configuration": map[string]any{"folder": filepath.Join(f.folder, "configuration-{name}")}})
		require.NoError(t, err)
		path := filepath.Join(f.folder, name+".jsonnet")
		require.NoError(t, os.WriteFile(path, text, 0o600))
		return path
	}
	for k, name := range seated {
		f.paths = append(f.paths, file(name, "z0", binds[k]))
	}
	t.Cleanup(func() { f.stop(syscall.SIGKILL) })
	f.launch()
	for k, name := range []string{"n1", "n2", "n3"} {
		f.nodes = append(f.nodes, startNodeWithFlags(t, false, func(config map[string]any) {
			config["name"] = name
			about := config["settings"].(map[string]any)["family_info"].(map[string]any)
			delete(about, "class_calls")
			if name == "n3" {
				config["catalog"], about["below"] = "", "off"
			}
		}, "--fleet", file(name, "z"+name, binds[3+k])))
	}
	return f
}

// runConfig runs a command; it says what was printed as an object, and the exit code.
func (f *configFleet) runConfig(words ...string) (out struct {
	Done    bool
	Version uint64
	Changes int
	Refused string
	Differ  []string
	InForce *bool  `json:"in_force"`
	Stopped string `json:"stopped_why"`
	ForAll  uint64 `json:"for_all"`
	By      string `json:"stopped_by"`
	Why     string
	Nodes   []struct{}
	Parts   map[string]map[string]json.RawMessage

	Versions []struct {
		Version uint64
		Names   []string
	}
	Refusals []struct {
		Node    string
		Version uint64
		Why     string
	}
}, code int) {
	command := exec.Command(program, append([]string{"config"}, words...)...)
	command.Args = append(command.Args, "--fleet", "tests", "--json")
	for _, bind := range f.binds {
		command.Args = append(command.Args, "--at", bind)
	}
	var stderr strings.Builder
	command.Stderr = &stderr
	text, _ := command.Output()
	require.NoError(f.t, json.Unmarshal(text, &out), "%v: %s%s", words, text, &stderr)
	return out, command.ProcessState.ExitCode()
}

func (f *configFleet) writeChange(text string) string {
	path := filepath.Join(f.folder, "change.jsonnet")
	require.NoError(f.t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// awaitInForce waits until a node says that a version came into force, and from where.
func (f *configFleet) awaitInForce(node int, version uint64, source string) {
	said := fmt.Sprintf(`"version":%d,`, version)
	assert.Eventually(f.t, func() bool {
		for _, line := range strings.Split(f.nodes[node].logText.String(), "\n") {
			if strings.Contains(line, "configuration in force") && strings.Contains(line, said) && strings.Contains(line, `"source":"`+source+`"`) {
				return true
			}
		}
		return false
	}, testTimeout, 20*time.Millisecond, "n%d has version %d from the %s: %s", node+1, version, source, &f.nodes[node].logText)
}

func TestConfigCommandReportsInvalidChanges(t *testing.T) {
	file := filepath.Join(t.TempDir(), "change.jsonnet")
	for text, want := range map[string]string{
		`{ routes: { a: {} } }`: "routes: no such part; write operations, tenants and limits",
		`{ operations: { a: { aim: 100, effect: 'idempotent' } } }`: "operations.a: name, aim and give_up must be set",
		`{ limits: { 'family_info.n_cores': 4 } }`:                  "limits.family_info.n_cores: takes a new start",
		`{ tenants: [1] }`: "tenants: it is an object of items by name",
		`{}`:               "names no item",
		`{ settings: { grades: [{ name: 'a', effect: 'idempotent' }] } }`: "configuration: name: missing",
	} {
		require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
		out, err := exec.Command(program, "config", "put", "--fleet", "tests", "--at", "127.0.0.1:1", file).CombinedOutput()
		assert.Error(t, err)
		assert.Contains(t, string(out), want, text)
	}
	command := exec.Command(program, "config", "put")
	assert.Error(t, command.Run())
	assert.Equal(t, 80, command.ProcessState.ExitCode())
}

func TestVersionsAreOrderedReplicatedAppliedAndPersisted(t *testing.T) {
	fleet := startConfigFleet(t)
	put := func(words ...string) []string { return append([]string{"put", "--within", commandTimeout}, words...) }
	for k := range fleet.nodes {
		fleet.awaitInForce(k, 0, "file")
	}

	out, code := fleet.runConfig(put("--wait", fleet.nodes[0].configPath)...)
	require.Zero(t, code, out)
	assert.Equal(t, uint64(1), out.Version)
	for k := range fleet.nodes {
		fleet.awaitInForce(k, 1, "fleet")
	}

	change := fleet.writeChange(`{ operations: { more: { aim: 1000, give_up: 4000, importance: 2, effect: 'idempotent' } }, limits: { group_size: 4 } }`)
	out, code = fleet.runConfig(put("--request", "r1", change)...)
	require.Zero(t, code, out)
	assert.Equal(t, uint64(2), out.Version)
	again, code := fleet.runConfig(put("--request", "r1", "--base", "1", change)...)
	assert.Zero(t, code, "the same request counts once: %v", again)
	assert.Equal(t, uint64(2), again.Version)
	out, code = fleet.runConfig(put("--base", "1", fleet.writeChange(`{ tenants: { b: { quota_rps: 1 } } }`))...)
	assert.Equal(t, 1, code)
	assert.Contains(t, out.Refused, "made on version 1, the newest is 2")
	assert.ElementsMatch(t, []string{"operations.more", "limits.group_size"}, out.Differ)
	for k := range fleet.nodes {
		fleet.awaitInForce(k, 2, "fleet")
	}
	assert.Eventually(t, func() bool { out, _ := fleet.runConfig("status"); return out.ForAll == 2 }, testTimeout, 100*time.Millisecond)

	out, code = fleet.runConfig(put("--wait",
		fleet.writeChange(`{ operations: { calls: { aim: 1000, give_up: 4000, importance: 2, effect: 'idempotent', class_calls: true } } }`))...)
	assert.Equal(t, 1, code, "n3 can't take it: %v", out)
	assert.Contains(t, out.Stopped, "n3 can't take it")
	assert.Contains(t, out.Stopped, "names no catalogue")
	assert.Eventually(t, func() bool { // any seat may be asked, and one may know later than another
		out, _ = fleet.runConfig("status")
		return out.ForAll == 2 && out.By == "n3" && len(out.Refusals) > 0
	}, testTimeout, 100*time.Millisecond, "the seats know who can't take it")
	assert.Equal(t, []any{uint64(2), "n3"}, []any{out.ForAll, out.By})
	require.Len(t, out.Refusals, 1)
	assert.Equal(t, uint64(3), out.Refusals[0].Version)
	for _, v := range out.Versions {
		if v.Version == 2 {
			assert.Contains(t, v.Names, "n3", "it keeps the last good one")
			assert.Greater(t, len(v.Names), 1, "and who is not of the first stage waits")
		}
	}
	assert.Eventually(t, func() bool {
		return strings.Contains(fleet.nodes[2].logText.String(), "configuration 3 can't be taken, 2 stays in force")
	}, testTimeout, 20*time.Millisecond, "%s", &fleet.nodes[2].logText)

	out, code = fleet.runConfig("rollback", "2", "--wait", "--within", commandTimeout)
	require.Zero(t, code, out)
	require.Equal(t, uint64(4), out.Version)

	fleet.stop(syscall.SIGKILL) // all seats
	n1 := fleet.nodes[0]
	require.NoError(t, n1.command.Process.Kill())
	_ = <-n1.exited // the error of the kill
	n1.resetExecutor("new")
	n1.launch()
	fleet.awaitInForce(0, 4, "disk")
	d := n1.dial()
	d.write(invocationOf("more", "00000000000000ab", 1, "x"))
	assert.Equal(t, "20 on 1 x", d.answer(), "it serves what came as a version; %s", &n1.logText)
	fleet.launch()
	assert.Eventually(t, func() bool {
		text, err := exec.Command(program, "config", "status", "--fleet", "tests", "--json", "--at", fleet.binds[0]).Output()
		return err == nil && strings.Contains(string(text), `"for_all":4`)
	}, testTimeout, 100*time.Millisecond, "seats know what was agreed on")
	out, code = fleet.runConfig(put("--wait", fleet.writeChange(`{ tenants: { a: { quota_rps: 5 } }, limits: { group_size: null } }`))...)
	require.Zero(t, code, out)
	assert.Equal(t, uint64(5), out.Version)
	out, _ = fleet.runConfig("show")
	assert.Contains(t, out.Parts["operations"], "more")
	assert.NotContains(t, out.Parts["operations"], "calls")
	assert.Equal(t, `{"quota_rps":5}`, string(out.Parts["tenants"]["a"]))
	assert.NotContains(t, out.Parts["limits"], "group_size")
}
