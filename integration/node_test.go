package integration

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// testNode is a process of the program with stand-ins for its executor, catalogue and control plane.
type testNode struct {
	t       testing.TB
	address string   // where dispatchers connect
	flags   []string // of the command serve

	config     nodeConfig
	configPath string

	executor     *executor
	catalogue    *catalogue
	controlPlane *controlPlane

	command  *exec.Cmd
	logLines chan string // each line of the log once
	logText  logBuffer   // the whole log
	exited   chan error  // result of the process
}

// startNode starts a node; edit, if any, changes its configuration.
func startNode(t testing.TB, edit func(config nodeConfig)) *testNode {
	t.Helper()
	return startNodeWithFlags(t, edit)
}

// startNodeWithFlags starts a node as startNode does, with flags of the command serve.
func startNodeWithFlags(t testing.TB, edit func(config nodeConfig), flags ...string) *testNode {
	t.Helper()
	executor := newExecutor(t)
	close(executor.up)
	return launchNode(t, executor, edit, flags)
}

// startNodeWithLateExecutor starts a node whose executor does not accept it before its channel up is closed.
func startNodeWithLateExecutor(t testing.TB) *testNode {
	t.Helper()
	return launchNode(t, newExecutor(t), nil, nil)
}

// launchNode starts a node beside its executor.
func launchNode(t testing.TB, executor *executor, edit func(config nodeConfig), flags []string) *testNode {
	t.Helper()
	n := &testNode{
		t:            t,
		flags:        flags,
		configPath:   filepath.Join(t.TempDir(), "config.json"),
		executor:     executor,
		catalogue:    startCatalogue(t),
		controlPlane: newControlPlane(),
		logLines:     make(chan string, 1_000),
		exited:       make(chan error, 1),
	}
	control := httptest.NewServer(n.controlPlane)
	t.Cleanup(control.Close)
	n.config = defaultConfig()
	n.config["executor"] = n.executor.listener.Addr().String()
	n.config["catalog"] = n.catalogue.listener.Addr().String()
	n.config["control"] = control.Listener.Addr().String()
	if edit != nil {
		edit(n.config)
	}
	n.launch()
	return n
}

// launch writes the configuration, starts the process and waits until it listens and, if the executor is up, has
// connected to it.
func (n *testNode) launch() {
	n.t.Helper()
	n.writeConfig()
	n.command = exec.Command(program, append([]string{"serve"}, n.flags...)...)
	n.command.Env = append(os.Environ(), "GW_CONFIG="+n.configPath)
	out, err := n.command.StderrPipe()
	require.NoError(n.t, err)
	require.NoError(n.t, n.command.Start())
	n.t.Cleanup(func() { n.command.Process.Kill() })
	command := n.command
	exited := n.exited // a later incarnation may have its own
	go func() {
		for in := bufio.NewScanner(out); in.Scan(); {
			fmt.Fprintln(&n.logText, in.Text())
			n.logLines <- in.Text()
		}
		exited <- command.Wait()
	}()
	var first struct{ Listen string }
	require.NoError(n.t, json.Unmarshal([]byte(n.awaitLog("listening")), &first))
	n.address = first.Listen
	select {
	case <-n.executor.up:
		n.awaitLog("executor is up")
	default:
	}
}

// writeConfig writes the configuration.
func (n *testNode) writeConfig() {
	n.t.Helper()
	require.NoError(n.t, os.WriteFile(n.configPath, n.encodeConfig(), 0o600))
}

// writeTruncatedConfig writes the first half of the configuration.
func (n *testNode) writeTruncatedConfig() {
	n.t.Helper()
	text := n.encodeConfig()
	require.NoError(n.t, os.WriteFile(n.configPath, text[:len(text)/2], 0o600))
}

func (n *testNode) encodeConfig() []byte {
	n.t.Helper()
	text, err := json.Marshal(n.config)
	require.NoError(n.t, err)
	return text
}

// movePeers gives the node's peers new addresses in the configuration, which is not written yet. The previous executor and
// catalogue listeners accept nothing more.
func (n *testNode) movePeers() {
	n.t.Helper()
	previous := []net.Listener{n.executor.listener, n.catalogue.listener}
	n.executor.listen()
	n.catalogue.listen()
	control := httptest.NewServer(n.controlPlane)
	n.t.Cleanup(control.Close)
	n.config["executor"] = n.executor.listener.Addr().String()
	n.config["catalog"] = n.catalogue.listener.Addr().String()
	n.config["control"] = control.Listener.Addr().String()
	for _, listener := range previous {
		listener.Close()
	}
}

// signal sends a signal to the process.
func (n *testNode) signal(signal syscall.Signal) { n.command.Process.Signal(signal) }

// awaitLog returns the next line of the log that contains text.
func (n *testNode) awaitLog(text string) string {
	n.t.Helper()
	for {
		if line := await(n.t, n.logLines); strings.Contains(line, text) {
			return line
		}
	}
}

// descriptors returns how many file descriptors the process has open.
func (n *testNode) descriptors() int {
	n.t.Helper()
	list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", n.command.Process.Pid))
	require.NoError(n.t, err)
	return len(list)
}

// logBuffer is a log that is read while a process writes it.
type logBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (l *logBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(b)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}
