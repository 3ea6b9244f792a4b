package integration

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestInvalidConfigurationAndUsageErrorsHaveDifferentExitCodes(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	require.NoError(t, os.WriteFile(path, []byte(`{"name":"n1","listen":"nowhere"}`), 0o600))
	out, err := exec.Command(program, "check", path).CombinedOutput()
	var invalid *exec.ExitError
	require.ErrorAs(t, err, &invalid)
	assert.Contains(t, string(out), "configuration: listen")
	assert.NotContains(t, string(out), "goroutine")
	_, err = exec.Command(program, "--no-such-flag").CombinedOutput()
	var usage *exec.ExitError
	require.ErrorAs(t, err, &usage)
	assert.NotEqual(t, invalid.ExitCode(), usage.ExitCode())
	out, err = exec.Command(program, "version").CombinedOutput()
	assert.NoError(t, err)
	assert.Contains(t, string(out), "topazpost")
}

func TestReloadMovesAllPeersWhileRunsContinue(t *testing.T) {
	node := startNode(t, nil)
	d := node.dial()
	call := d.invoke(1, "hold")
	await(t, node.executor.commands)
	await(t, node.executor.connections)
	for range 3 {
		node.movePeers()
		node.writeConfig()
		node.signal(syscall.SIGHUP)
		await(t, node.executor.connections)
	}
	for len(node.controlPlane.reports) > 0 {
		<-node.controlPlane.reports
	}
	await(t, node.controlPlane.reports)
	d.invoke(2, "call")
	assert.Equal(t, "20 on 2 reply", d.answer())
	node.executor.notify("EXIT %d " + call + " good 3 4\r\nlate\r\n")
	assert.Equal(t, "20 on 1 late", d.answer())
}

func TestInvalidReloadIsReportedAndRetried(t *testing.T) {
	node := startNode(t, nil)
	d := node.dial()
	await(t, node.executor.connections)
	node.movePeers()
	node.writeTruncatedConfig()
	node.signal(syscall.SIGHUP)
	assert.Contains(t, node.awaitLog("the one of before stays"), "configuration")
	d.invoke(1, "still served")
	assert.Equal(t, "20 on 1 still served", d.answer())
	node.config["stop_ms"] = 4_000
	node.writeConfig()
	assert.Contains(t, node.awaitLog("takes a new start"), "stop_ms")
	await(t, node.executor.connections)
	d.invoke(2, "there")
	assert.Equal(t, "20 on 2 there", d.answer())
}

// rejectingPlan is a degradation plan that rejects the operation as soon as any memory is in use.
const rejectingPlan = `{ name: 'p', levels: [{ name: 'none', refuse: ['catalogue'], enter: [{ memory: '0.1 %', 'for': '1 ms' }],
	exit: { memory: '0.05 %', 'for': '1 s' } }], idle: { wait: '0 %' } }`

func TestDegradationPlanIsAppliedAndReloadedAndAnInvalidOneIgnored(t *testing.T) {
	path := filepath.Join(t.TempDir(), "plan.jsonnet")
	write := func(text string) { require.NoError(t, os.WriteFile(path, []byte(text), 0o600)) }
	write(rejectingPlan)
	t.Setenv("TOPAZPOST_PLAN", path)
	node := startNode(t, nil)
	d := node.dial()
	d.invoke(1, "hold") // it fills more of the memory than the plan allows
	assert.Contains(t, node.awaitLog("level changed"), `"to":"none","cause":"entered","signal":"memory"`)
	d.invoke(2, "refused")
	assert.Equal(t, "50 on 2 ", d.answer())
	write("{ levels: 3 }")
	node.signal(syscall.SIGHUP)
	assert.Contains(t, node.awaitLog("the one of before stays"), "plan.jsonnet:1: levels: is a number")
	d.invoke(3, "still refused")
	assert.Equal(t, "50 on 3 ", d.answer())
	write(strings.Replace(rejectingPlan, "0.1 %", "90 %", 1))
	assert.Contains(t, node.awaitLog("level changed"), `"cause":"plan"`)
	node.signal(syscall.SIGHUP)
	out, err := exec.Command(program, "check", "--plan", path, node.configPath).CombinedOutput()
	assert.NoError(t, err)
	assert.Contains(t, string(out), "plan p: 1 levels above full service")
	out, err = exec.Command(program, "plan", "show", path, node.configPath).CombinedOutput()
	assert.NoError(t, err)
	assert.Contains(t, string(out), "memory > 90 %")
}

func TestTemplateWithoutBoundIsStopped(t *testing.T) {
	path := filepath.Join(t.TempDir(), "plan.jsonnet")
	require.NoError(t, os.WriteFile(path, []byte("std.foldl(function(a, b) a + a, std.range(1, 60), 'x')"), 0o600))
	out, err := exec.Command(program, "plan", "render", path).CombinedOutput()
	require.Error(t, err)
	assert.Regexp(t, "takes more than|max stack", string(out))
}
