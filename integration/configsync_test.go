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

// commandTimeout ends a config command that hangs; no verdict rests on it.
const commandTimeout = "60s"

// configFleet is a consensus group of three replicas and three nodes that take their configuration from it. Each node is a
// zone of its own, so that each is of the first canary stage; n3 has no catalogue.
type configFleet struct {
	*replicaProcesses
	nodes []*testNode
}

// startConfigFleet starts the replicas and the nodes.
func startConfigFleet(t *testing.T) *configFleet {
	t.Helper()
	f := &configFleet{replicaProcesses: &replicaProcesses{t: t, folder: t.TempDir()}}
	replicas := []string{"s1", "s2", "s3"}
	for range replicas {
		_, bind := fleetFile(t)
		f.binds = append(f.binds, bind)
	}
	for k, name := range replicas {
		f.paths = append(f.paths, f.writeFleetFile(replicas, name, "z0", f.binds[k]))
	}
	t.Cleanup(func() { f.stop(syscall.SIGKILL) })
	f.launch()
	for _, name := range []string{"n1", "n2", "n3"} {
		f.join(name)
	}
	return f
}

// join starts a node and returns it.
func (f *configFleet) join(name string) *testNode {
	f.t.Helper()
	_, bind := fleetFile(f.t)
	path := f.writeFleetFile([]string{"s1", "s2", "s3"}, name, "z"+name, bind)
	node := startNodeWithFlags(f.t, func(config nodeConfig) {
		config["name"] = name
		info := config.familyInfo()
		delete(info, "class_calls")
		if name == "n3" {
			config["catalog"] = ""
			info["below"] = "off"
		}
	}, "--fleet", path)
	f.nodes = append(f.nodes, node)
	return node
}

// writeFleetFile writes the fleet file of one process and returns its path.
func (f *configFleet) writeFleetFile(replicas []string, name, zone, bind string) string {
	f.t.Helper()
	text, err := json.Marshal(map[string]any{"fleet": "tests", "bind": bind, "zone": zone, "seeds": f.binds,
		"council":       map[string]any{"seats": replicas, "folder": filepath.Join(f.folder, "{name}")},
		"configuration": map[string]any{"folder": filepath.Join(f.folder, "configuration-{name}")}})
	require.NoError(f.t, err)
	path := filepath.Join(f.folder, name+".jsonnet")
	require.NoError(f.t, os.WriteFile(path, text, 0o600))
	return path
}

// configOutput is what the config commands print with --json.
type configOutput struct {
	Done     bool
	Version  uint64
	Changes  int
	Refused  string
	Differ   []string
	InForce  *bool  `json:"in_force"`
	Stopped  string `json:"stopped_why"`
	ForAll   uint64 `json:"for_all"`
	By       string `json:"stopped_by"`
	Why      string
	Nodes    []struct{}
	Parts    map[string]map[string]json.RawMessage
	Versions []configVersion
	Refusals []configRefusal
}

// configVersion is a version with the names of the nodes in which it is in force.
type configVersion struct {
	Version uint64
	Names   []string
}

// configRefusal is a version that a node can't apply.
type configRefusal struct {
	Node    string
	Version uint64
	Why     string
}

// runConfig runs a config command and returns its output and exit code.
func (f *configFleet) runConfig(words ...string) (output configOutput, code int) {
	f.t.Helper()
	command := exec.Command(program, append([]string{"config"}, words...)...)
	command.Args = append(command.Args, "--fleet", "tests", "--json")
	for _, bind := range f.binds {
		command.Args = append(command.Args, "--at", bind)
	}
	var stderr strings.Builder
	command.Stderr = &stderr
	text, _ := command.Output() // the exit code says whether it failed
	require.NoError(f.t, json.Unmarshal(text, &output), "%v: %s%s", words, text, &stderr)
	return output, command.ProcessState.ExitCode()
}

// put runs config put.
func (f *configFleet) put(words ...string) (configOutput, int) {
	f.t.Helper()
	return f.runConfig(append([]string{"put", "--within", commandTimeout}, words...)...)
}

// writeChange writes a change and returns its path.
func (f *configFleet) writeChange(text string) string {
	f.t.Helper()
	path := filepath.Join(f.folder, "change.jsonnet")
	require.NoError(f.t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// awaitInForce waits until a node logs that a version came into force, and from where.
func (f *configFleet) awaitInForce(node int, version uint64, source string) {
	f.t.Helper()
	versionField := fmt.Sprintf(`"version":%d,`, version)
	sourceField := fmt.Sprintf(`"source":"%s"`, source)
	log := &f.nodes[node].logText
	assert.Eventually(f.t, func() bool {
		for _, line := range strings.Split(log.String(), "\n") {
			if strings.Contains(line, "configuration in force") && strings.Contains(line, versionField) && strings.Contains(line, sourceField) {
				return true
			}
		}
		return false
	}, testTimeout, 20*time.Millisecond, "n%d has version %d from the %s: %s", node+1, version, source, log)
}

// awaitInForceEverywhere does so for all nodes.
func (f *configFleet) awaitInForceEverywhere(version uint64, source string) {
	f.t.Helper()
	for node := range f.nodes {
		f.awaitInForce(node, version, source)
	}
}

func TestConfigCommandReportsInvalidChanges(t *testing.T) {
	for text, want := range map[string]string{
		`{ routes: { a: {} } }`: "routes: no such part; write operations, tenants and limits",
		`{ operations: { a: { aim: 100, effect: 'idempotent' } } }`: "operations.a: name, aim and give_up must be set",
		`{ limits: { 'family_info.n_cores': 4 } }`:                  "limits.family_info.n_cores: takes a new start",
		`{ tenants: [1] }`: "tenants: it is an object of items by name",
		`{}`:               "names no item",
		`{ settings: { grades: [{ name: 'a', effect: 'idempotent' }] } }`: "configuration: name: missing",
	} {
		t.Run(want, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "change.jsonnet")
			require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
			out, err := runProgram("config", "put", "--fleet", "tests", "--at", "127.0.0.1:1", path)
			assert.Error(t, err)
			assert.Contains(t, out, want, text)
		})
	}
	command := exec.Command(program, "config", "put")
	assert.Error(t, command.Run())
	assert.Equal(t, 80, command.ProcessState.ExitCode())
}

func TestVersionsAreOrderedReplicatedAppliedAndPersisted(t *testing.T) {
	fleet := startConfigFleet(t)
	fleet.awaitInForceEverywhere(0, "file")

	out, code := fleet.put("--wait", fleet.nodes[0].configPath)
	require.Zero(t, code, out)
	assert.Equal(t, uint64(1), out.Version)
	fleet.awaitInForceEverywhere(1, "fleet")

	fleet.checkOrder(t)
	fleet.checkRefusal(t)

	out, code = fleet.runConfig("rollback", "2", "--wait", "--within", commandTimeout)
	require.Zero(t, code, out)
	require.Equal(t, uint64(4), out.Version)

	fleet.checkRestart(t)

	out, code = fleet.put("--wait", fleet.writeChange(`{ tenants: { a: { quota_rps: 5 } }, limits: { group_size: null } }`))
	require.Zero(t, code, out)
	assert.Equal(t, uint64(5), out.Version)
	out, _ = fleet.runConfig("show")
	assert.Contains(t, out.Parts["operations"], "more")
	assert.NotContains(t, out.Parts["operations"], "calls")
	assert.Equal(t, `{"quota_rps":5}`, string(out.Parts["tenants"]["a"]))
	assert.NotContains(t, out.Parts["limits"], "group_size")
}

// Guards against repeats that run again of an operation that a version brings, the first one that takes a token: at a node that serves when
// it comes, and after its restart.
func TestOperationPutInServiceWithTokensRunsOnce(t *testing.T) {
	fleet := startConfigFleet(t)
	fleet.awaitInForceEverywhere(0, "file")
	out, code := fleet.put("--wait", fleet.nodes[0].configPath)
	require.Zero(t, code, out)
	out, code = fleet.put("--wait", fleet.writeChange(`{ operations: { submit: { aim: 1000, give_up: 4000, effect: 'deduplicated', window: 60000 } } }`))
	require.Zero(t, code, out)
	node := fleet.nodes[0]
	invoke := func(body string) {
		t.Helper()
		d := node.dial()
		stream := uint32(0)
		assert.Eventually(t, func() bool { // a new client of the group throttles until the group has answered
			stream++
			d.invokeOperationWithToken("submit", stream, "a", body)
			return strings.HasPrefix(d.answer(), "20 on ")
		}, testTimeout, 20*time.Millisecond, "%s", &node.logText)
	}
	invoke("once")
	invoke("once")
	require.NoError(t, node.command.Process.Kill())
	_ = await(t, node.exited) // the error of the kill
	runs := node.executor.startedBodies()
	node.executor.reset("new")
	node.launch()
	fleet.awaitInForce(0, 2, "disk")
	invoke("once")
	assert.Len(t, append(runs, node.executor.startedBodies()...), 1, "the token ran once")

	node = fleet.join("n4")
	fleet.awaitInForce(3, 2, "fleet")
	invoke("once")
	assert.Empty(t, node.executor.startedBodies(), "a node that joins later gets the result from the group")
}

// checkOrder puts version 2, and checks that a repeated request counts once and that a change of an older version is
// refused.
func (f *configFleet) checkOrder(t *testing.T) {
	change := f.writeChange(`{ operations: { more: { aim: 1000, give_up: 4000, importance: 2, effect: 'idempotent' } }, limits: { group_size: 4 } }`)
	out, code := f.put("--request", "r1", change)
	require.Zero(t, code, out)
	assert.Equal(t, uint64(2), out.Version)
	again, code := f.put("--request", "r1", "--base", "1", change)
	assert.Zero(t, code, "the same request counts once: %v", again)
	assert.Equal(t, uint64(2), again.Version)
	out, code = f.put("--base", "1", f.writeChange(`{ tenants: { b: { quota_rps: 1 } } }`))
	assert.Equal(t, 1, code)
	assert.Contains(t, out.Refused, "made on version 1, the newest is 2")
	assert.ElementsMatch(t, []string{"operations.more", "limits.group_size"}, out.Differ)
	f.awaitInForceEverywhere(2, "fleet")
	assert.Eventually(t, func() bool {
		out, _ := f.runConfig("status")
		return out.ForAll == 2
	}, testTimeout, 100*time.Millisecond)
}

// checkRefusal puts version 3, which n3 can't apply, and checks that it is stopped at the first canary stage.
func (f *configFleet) checkRefusal(t *testing.T) {
	out, code := f.put("--wait",
		f.writeChange(`{ operations: { calls: { aim: 1000, give_up: 4000, importance: 2, effect: 'idempotent', class_calls: true } } }`))
	assert.Equal(t, 1, code, "n3 can't apply it: %v", out)
	assert.Contains(t, out.Stopped, "n3 can't take it")
	assert.Contains(t, out.Stopped, "names no catalogue")
	assert.Eventually(t, func() bool { // any replica may be asked, and one may learn it later than another
		out, _ = f.runConfig("status")
		return out.ForAll == 2 && out.By == "n3" && len(out.Refusals) > 0
	}, testTimeout, 100*time.Millisecond, "the replicas know which node can't apply it")
	assert.Equal(t, []any{uint64(2), "n3"}, []any{out.ForAll, out.By})
	require.Len(t, out.Refusals, 1)
	assert.Equal(t, uint64(3), out.Refusals[0].Version)
	for _, v := range out.Versions {
		if v.Version == 2 {
			assert.Contains(t, v.Names, "n3", "its last valid version stays in force")
			assert.Greater(t, len(v.Names), 1, "nodes beyond the first canary stage wait")
		}
	}
	log := &f.nodes[2].logText
	assert.Eventually(t, func() bool {
		return strings.Contains(log.String(), "configuration: version 3 can't be applied, version 2 stays in force")
	}, testTimeout, 20*time.Millisecond, "%s", log)
}

// checkRestart kills all replicas and n1 and checks that each has version 4 from its disk when it starts again: n1 without
// the replicas, and they after it.
func (f *configFleet) checkRestart(t *testing.T) {
	f.stop(syscall.SIGKILL)
	node := f.nodes[0]
	require.NoError(t, node.command.Process.Kill())
	_ = await(t, node.exited) // the error of the kill
	node.executor.reset("new")
	node.launch()
	f.awaitInForce(0, 4, "disk")
	d := node.dial()
	d.write(invocation("more", "00000000000000ab", 1, "x"))
	assert.Equal(t, "20 on 1 x", d.answer(), "it serves an operation of the replicated version; %s", &node.logText)
	f.launch()
	assert.Eventually(t, func() bool {
		text, err := exec.Command(program, "config", "status", "--fleet", "tests", "--json", "--at", f.binds[0]).Output()
		return err == nil && strings.Contains(string(text), `"for_all":4`)
	}, testTimeout, 100*time.Millisecond, "the replicas recover the agreed versions")
}
