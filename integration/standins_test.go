// Package integration starts the built program and speaks to it over sockets. The executor, the catalogue and
// the control plane are small stand-ins, each for one node.
package integration

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"topazpost/internal/invariant"
	"topazpost/internal/protocol/frame"
	"topazpost/internal/protocol/lineprotocol"
)

// testTimeout ends a test that hangs; no verdict rests on it.
const testTimeout = 30 * time.Second

var program string

func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "topazpost")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(folder, "topazpost")
	build := exec.Command("sh", "-c", buildCommand(folder))
	build.Dir = ".."
	if out, err := build.CombinedOutput(); err != nil {
		panic(string(out))
	}
	code := m.Run()
	os.RemoveAll(folder)
	os.Exit(code)
}

// buildCommand is the build of the deploy file, into another folder, with assertions where this test has them.
func buildCommand(folder string) string {
	build := ""
	text, err := os.ReadFile("../deploy/balancer.toml")
	if err != nil {
		panic(err)
	}
	for _, line := range strings.Split(string(text), "\n") {
		if value, found := strings.CutPrefix(line, `build = "`); found {
			build, _, _ = strings.Cut(value, `"`)
		}
	}
	line := strings.Replace(build, "-o bin/", "-o "+folder+"/", 1)
	if invariant.Debug {
		line = strings.Replace(line, "go build", "go build -tags debug", 1)
	}
	return line
}

// testNode is a node with its stand-ins.
type testNode struct {
	t               testing.TB
	address         string
	flags           []string // of serve
	command         *exec.Cmd
	logLines        chan string   // lines of the log
	logText         logBuffer     // all of them
	exited          chan error    // of the process
	reports         chan string   // bodies of reports
	executorLines   chan []string // commands that the executor read, but for those that ask for gauges
	catalogueLines  chan []string // what the catalogue read
	executorConns   chan net.Conn // to the executor, each after its JOIN
	catalogueConns  chan net.Conn // to the catalogue, each as it is opened
	catalogueClosed chan net.Conn // to the catalogue, each as it is closed
	executorUp      chan struct{} // closed once the executor is up
	catalogueReply  func(call string) string

	executor, catalogue net.Listener
	control             http.Handler
	config              map[string]any
	configPath          string // of the configuration

	mu            sync.Mutex
	executorConn  net.Conn
	notices       []string
	executorState string // of the executor in its welcome
}

func listen(t testing.TB) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	return l
}

// startNode starts a node; change edits its configuration.
func startNode(t testing.TB, executorLate bool, change func(config map[string]any)) *testNode {
	return startNodeWithFlags(t, executorLate, change)
}

// startNodeWithFlags does so with flags of serve.
func startNodeWithFlags(t testing.TB, executorLate bool, change func(config map[string]any), flags ...string) *testNode {
	n := &testNode{t: t, flags: flags, logLines: make(chan string, 1_000), exited: make(chan error, 1), reports: make(chan string, 100),
		executorLines: make(chan []string, 1_000), catalogueLines: make(chan []string, 1_000), executorConns: make(chan net.Conn, 100),
		catalogueConns: make(chan net.Conn, 100), catalogueClosed: make(chan net.Conn, 100), executorUp: make(chan struct{}), executorState: "old", catalogueReply: func(call string) string { return call + " DATA 5\r\nreply\r\n" }}
	if !executorLate {
		close(n.executorUp)
	}
	executor, catalogue := listen(t), listen(t)
	n.executor, n.catalogue = executor, catalogue
	go n.acceptConnections(executor, n.serveExecutor)
	go n.acceptConnections(catalogue, n.serveCatalogue)
	n.control = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var b bytes.Buffer
		_, _ = b.ReadFrom(r.Body) // a report cut short is seen by the test that reads it
		n.reports <- r.Method + " " + r.URL.Path + " " + b.String()
		w.WriteHeader(http.StatusNoContent)
	})
	control := httptest.NewServer(n.control)
	t.Cleanup(control.Close)
	config := map[string]any{"name": "n1", "listen": "127.0.0.1:0", "executor": executor.Addr().String(),
		"control": control.Listener.Addr().String(), "catalog": catalogue.Addr().String(),
		"seed": "8c1f30d27a5be964", "stop_ms": 3_000,
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 256},
		"settings": map[string]any{
			"grades": []any{map[string]any{"name": "catalogue", "aim": 5_000, "give_up": 9_000, "importance": 1, "effect": "idempotent"}},
			"family_info": map[string]any{"n_cores": 2, "memory_kb": 9_000, "blowup": 4, "class_calls": []bool{true},
				"below": "common", "calls_out": 50, "calls_over": 5_000, "linger": 100, "advert": "min_rank",
				"gauges": []string{"cpu_busy", "runnable"}},
			"guarantees": map[string]any{"tip_multiple": 8, "drain_grace": 2_000},
			"limits":     map[string]any{"retry_after": true, "max_retry_after": 1_000}}}
	if change != nil {
		change(config)
	}
	n.config, n.configPath = config, filepath.Join(t.TempDir(), "config.json")
	n.launch()
	return n
}

// writeConfig writes the configuration, whole or half of it.
func (n *testNode) writeConfig(truncated bool) {
	text, err := json.Marshal(n.config)
	require.NoError(n.t, err)
	if truncated {
		text = text[:len(text)/2]
	}
	require.NoError(n.t, os.WriteFile(n.configPath, text, 0o600))
}

// movePeers gives the node's peers new addresses; those of before accept nothing more.
func (n *testNode) movePeers() {
	old := []net.Listener{n.executor, n.catalogue}
	n.executor, n.catalogue = listen(n.t), listen(n.t)
	go n.acceptConnections(n.executor, n.serveExecutor)
	go n.acceptConnections(n.catalogue, n.serveCatalogue)
	control := httptest.NewServer(n.control)
	n.t.Cleanup(control.Close)
	n.config["executor"], n.config["catalog"] = n.executor.Addr().String(), n.catalogue.Addr().String()
	n.config["control"] = control.Listener.Addr().String()
	for _, l := range old {
		l.Close()
	}
}

func (n *testNode) launch() {
	n.writeConfig(false)
	n.command = exec.Command(program, append([]string{"serve"}, n.flags...)...)
	n.command.Env = append(os.Environ(), "GW_CONFIG="+n.configPath)
	out, err := n.command.StderrPipe()
	require.NoError(n.t, err)
	require.NoError(n.t, n.command.Start())
	n.t.Cleanup(func() { n.command.Process.Kill() })
	command, ended := n.command, n.exited // a further life has its own
	go func() {
		for in := bufio.NewScanner(out); in.Scan(); {
			fmt.Fprintln(&n.logText, in.Text())
			n.logLines <- in.Text()
		}
		ended <- command.Wait()
	}()
	var first struct{ Listen string }
	require.NoError(n.t, json.Unmarshal([]byte(n.awaitLog("listening")), &first))
	n.address = first.Listen
	select {
	case <-n.executorUp:
		n.awaitLog("executor is up")
	default:
	}
}

// resetExecutor has the executor know nothing of the node's last life: it numbers anew for each start.
func (n *testNode) resetExecutor(state string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.executorConn, n.notices, n.executorState = nil, nil, state
}

// awaitLog waits for a awaitLog of the log.
func (n *testNode) awaitLog(text string) string {
	for {
		if l := await(n.t, n.logLines); strings.Contains(l, text) {
			return l
		}
	}
}

func await[T any](t testing.TB, c chan T) (v T) {
	t.Helper()
	select {
	case v = <-c:
	case <-time.After(testTimeout):
		require.Fail(t, "nothing came")
	}
	return v
}

func (s *testNode) acceptConnections(l net.Listener, serve func(conn net.Conn)) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go serve(conn)
	}
}

func (s *testNode) readLines(conn net.Conn, counted string, take func(l lineprotocol.Line)) {
	p := lineprotocol.Parser{Counted: func(words []string) bool { return strings.Contains(counted, words[0]) }}
	for {
		n, err := conn.Read(p.Space())
		if err != nil {
			return
		}
		p.Wrote(n)
		for {
			l, ok, err := p.Next()
			if err != nil || !ok {
				break
			}
			l.Body = bytes.Clone(l.Body)
			take(l)
		}
	}
}

// serveExecutor does what the body of an invocation says: "bad" fails, "call" makes a call, "hold" runs on; else the
// run is good.
func (n *testNode) serveExecutor(conn net.Conn) {
	n.readLines(conn, "EXEC RETURN", func(l lineprotocol.Line) {
		w := l.Words
		switch w[0] {
		case "JOIN":
			<-n.executorUp
			after, _ := strconv.Atoi(w[1])
			n.mu.Lock()
			n.executorConn = conn
			fmt.Fprint(conn, "WELCOME "+n.executorState+" 5\r\n", strings.Join(n.notices[after:], ""))
			n.mu.Unlock()
			n.executorConns <- conn
			return
		case "METER":
			fmt.Fprintf(conn, "METERS %s 0.1 1\r\n", w[1])
			return
		}
		n.executorLines <- append(slices.Clone(w), string(l.Body)) // before what follows from it
		switch w[0] {
		case "EXEC":
			switch body := string(l.Body); body {
			case "bad":
				n.notify("EXIT %d " + w[1] + " bad 3 0\r\n\r\n")
			case "call":
				n.notify("CALLOUT %d " + w[1] + " 3\r\nask\r\n")
			case "hold":
			default:
				n.notify("EXIT %d " + w[1] + " good 3 " + strconv.Itoa(len(body)) + "\r\n" + body + "\r\n")
			}
		case "RETURN":
			n.notify("EXIT %d " + w[1] + " good 3 " + strconv.Itoa(len(l.Body)) + "\r\n" + string(l.Body) + "\r\n")
		}
	})
}

// notify numbers a notice, keeps it, and writes it to the link of the moment, if there is one.
func (n *testNode) notify(form string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.notices = append(n.notices, fmt.Sprintf(form, len(n.notices)+1))
	if n.executorConn != nil {
		fmt.Fprint(n.executorConn, n.notices[len(n.notices)-1])
	}
}

func (n *testNode) serveCatalogue(conn net.Conn) {
	n.catalogueConns <- conn
	defer func() { n.catalogueClosed <- conn }()
	n.readLines(conn, "FETCH", func(l lineprotocol.Line) {
		n.catalogueLines <- append(l.Words, string(l.Body))
		if l.Words[0] == "FETCH" {
			n.mu.Lock()
			reply := n.catalogueReply(l.Words[1])
			n.mu.Unlock()
			if reply == "break" {
				conn.Close()
			} else {
				fmt.Fprint(conn, reply)
			}
		}
	})
}

func (n *testNode) setCatalogueReply(reply func(call string) string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.catalogueReply = reply
}

// dispatcher is a connection to the node.
type dispatcher struct {
	t      testing.TB
	conn   net.Conn
	parser frame.Parser
}

func (n *testNode) dial() *dispatcher {
	conn, err := net.Dial("tcp", n.address)
	require.NoError(n.t, err)
	n.t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(testTimeout))
	return &dispatcher{t: n.t, conn: conn}
}

// invoke sends an invocation; its id ends in the number of the stream.
func (d *dispatcher) invoke(stream uint32, body string) string {
	call := fmt.Sprintf("%08x%08x", time.Now().UnixNano()&0xffffffff, stream)
	d.write(invocation(call, stream, body))
	return call
}

func invocation(call string, stream uint32, body string) []byte {
	return invocationOf("catalogue", call, stream, body)
}

func invocationOf(operation, call string, stream uint32, body string) []byte {
	return frame.AppendInvocation(nil, stream, []frame.Field{{Name: "op", Value: operation},
		{Name: "call", Value: call}, {Name: "recv", Value: strconv.FormatInt(time.Now().UnixMilli(), 10)},
		{Name: "src", Value: "4"}, {Name: "work", Value: "12.5"}, {Name: "heap", Value: "24.5"},
		{Name: "crit", Value: "0.6"}}, []byte(body))
}

func (d *dispatcher) write(b []byte) {
	_, err := d.conn.Write(b)
	require.NoError(d.t, err)
}

// next is the next frame; ok is false at the end of the connection.
func (d *dispatcher) next() (f frame.Frame, ok bool) {
	for {
		f, ok, err := d.parser.Next()
		require.NoError(d.t, err)
		if ok {
			f.Payload = bytes.Clone(f.Payload)
			return f, true
		}
		n, err := d.conn.Read(d.parser.Space())
		if err != nil {
			return f, false
		}
		d.parser.Wrote(n)
	}
}

// answer is the code, stream and body of the next answer.
func (d *dispatcher) answer() string {
	f, ok := d.next()
	require.True(d.t, ok, "the connection ended")
	if f.Type == frame.NoMore {
		return "no more"
	}
	_, body, err := frame.Fields(f.Payload[1:])
	require.NoError(d.t, err)
	return fmt.Sprintf("%d on %d %s", f.Payload[0], f.Stream, body)
}

func (s *testNode) signal(which os.Signal) { s.command.Process.Signal(which) }

// containsInode looks for a socket in a table of /proc/net.
func containsInode(table string, inode int) bool {
	for _, line := range strings.Split(table, "\n") {
		if fields := strings.Fields(line); len(fields) > 9 && fields[9] == strconv.Itoa(inode) {
			return true
		}
	}
	return false
}
