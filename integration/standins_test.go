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

// bound ends a test that hangs; no verdict rests on it.
const bound = 30 * time.Second

var program string

func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "topazpost")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(folder, "topazpost")
	build := exec.Command("sh", "-c", buildLine(folder))
	build.Dir = ".."
	if out, err := build.CombinedOutput(); err != nil {
		panic(string(out))
	}
	code := m.Run()
	os.RemoveAll(folder)
	os.Exit(code)
}

// buildLine is the build of the deploy file, into another folder, with assertions where this test has them.
func buildLine(folder string) string {
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

// site is a node with its stand-ins.
type site struct {
	t        testing.TB
	address  string
	flags    []string // of serve
	command  *exec.Cmd
	log      chan string   // lines of the log
	heard    heardLog      // all of them
	ended    chan error    // of the process
	reports  chan string   // bodies of reports
	told     chan []string // commands that the executor read, but for those that ask for gauges
	asked    chan []string // what the catalogue read
	links    chan net.Conn // to the executor, each after its JOIN
	supplied chan net.Conn // to the catalogue, each as it is opened
	left     chan net.Conn // to the catalogue, each as it is closed
	up       chan struct{} // closed once the executor is up
	reply    func(call string) string

	executor, catalogue net.Listener
	control             http.Handler
	config              map[string]any
	path                string // of the configuration

	mu      sync.Mutex
	link    net.Conn
	notices []string
	state   string // of the executor in its welcome
}

func listen(t testing.TB) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	return l
}

// start starts a node; change edits its configuration.
func start(t testing.TB, late bool, change func(config map[string]any)) *site {
	return startWith(t, late, change)
}

// startWith does so with flags of serve.
func startWith(t testing.TB, late bool, change func(config map[string]any), flags ...string) *site {
	s := &site{t: t, flags: flags, log: make(chan string, 1_000), ended: make(chan error, 1), reports: make(chan string, 100),
		told: make(chan []string, 1_000), asked: make(chan []string, 1_000), links: make(chan net.Conn, 100),
		supplied: make(chan net.Conn, 100), left: make(chan net.Conn, 100), up: make(chan struct{}), state: "old", reply: func(call string) string { return call + " DATA 5\r\nreply\r\n" }}
	if !late {
		close(s.up)
	}
	executor, catalogue := listen(t), listen(t)
	s.executor, s.catalogue = executor, catalogue
	go s.accept(executor, s.execute)
	go s.accept(catalogue, s.supply)
	s.control = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var b bytes.Buffer
		b.ReadFrom(r.Body)
		s.reports <- r.Method + " " + r.URL.Path + " " + b.String()
		w.WriteHeader(http.StatusNoContent)
	})
	control := httptest.NewServer(s.control)
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
	s.config, s.path = config, filepath.Join(t.TempDir(), "config.json")
	s.run()
	return s
}

// configure writes the configuration, whole or half of it.
func (s *site) configure(half bool) {
	text, err := json.Marshal(s.config)
	require.NoError(s.t, err)
	if half {
		text = text[:len(text)/2]
	}
	require.NoError(s.t, os.WriteFile(s.path, text, 0o600))
}

// move gives the node's peers new addresses; those of before accept nothing more.
func (s *site) move() {
	old := []net.Listener{s.executor, s.catalogue}
	s.executor, s.catalogue = listen(s.t), listen(s.t)
	go s.accept(s.executor, s.execute)
	go s.accept(s.catalogue, s.supply)
	control := httptest.NewServer(s.control)
	s.t.Cleanup(control.Close)
	s.config["executor"], s.config["catalog"] = s.executor.Addr().String(), s.catalogue.Addr().String()
	s.config["control"] = control.Listener.Addr().String()
	for _, l := range old {
		l.Close()
	}
}

func (s *site) run() {
	s.configure(false)
	s.command = exec.Command(program, append([]string{"serve"}, s.flags...)...)
	s.command.Env = append(os.Environ(), "GW_CONFIG="+s.path)
	out, err := s.command.StderrPipe()
	require.NoError(s.t, err)
	require.NoError(s.t, s.command.Start())
	s.t.Cleanup(func() { s.command.Process.Kill() })
	command, ended := s.command, s.ended // a further life has its own
	go func() {
		for in := bufio.NewScanner(out); in.Scan(); {
			fmt.Fprintln(&s.heard, in.Text())
			s.log <- in.Text()
		}
		ended <- command.Wait()
	}()
	var first struct{ Listen string }
	require.NoError(s.t, json.Unmarshal([]byte(s.line("listening")), &first))
	s.address = first.Listen
	select {
	case <-s.up:
		s.line("executor is up")
	default:
	}
}

// renew has the executor know nothing of the node's last life: it numbers anew for each start.
func (s *site) renew(state string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.link, s.notices, s.state = nil, nil, state
}

// line waits for a line of the log.
func (s *site) line(text string) string {
	for {
		if l := await(s.t, s.log); strings.Contains(l, text) {
			return l
		}
	}
}

func await[T any](t testing.TB, c chan T) (v T) {
	t.Helper()
	select {
	case v = <-c:
	case <-time.After(bound):
		require.Fail(t, "nothing came")
	}
	return v
}

func (s *site) accept(l net.Listener, serve func(conn net.Conn)) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go serve(conn)
	}
}

func (s *site) read(conn net.Conn, counted string, take func(l lineprotocol.Line)) {
	p := lineprotocol.Parser{HasBody: func(words []string) bool { return strings.Contains(counted, words[0]) }}
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

// execute does what the body of an invocation says: "bad" fails, "call" makes a call, "hold" runs on; else the
// run is good.
func (s *site) execute(conn net.Conn) {
	s.read(conn, "EXEC RETURN", func(l lineprotocol.Line) {
		w := l.Words
		switch w[0] {
		case "JOIN":
			<-s.up
			after, _ := strconv.Atoi(w[1])
			s.mu.Lock()
			s.link = conn
			fmt.Fprint(conn, "WELCOME "+s.state+" 5\r\n", strings.Join(s.notices[after:], ""))
			s.mu.Unlock()
			s.links <- conn
			return
		case "METER":
			fmt.Fprintf(conn, "METERS %s 0.1 1\r\n", w[1])
			return
		}
		s.told <- append(slices.Clone(w), string(l.Body)) // before what follows from it
		switch w[0] {
		case "EXEC":
			switch body := string(l.Body); body {
			case "bad":
				s.notify("EXIT %d " + w[1] + " bad 3 0\r\n\r\n")
			case "call":
				s.notify("CALLOUT %d " + w[1] + " 3\r\nask\r\n")
			case "hold":
			default:
				s.notify("EXIT %d " + w[1] + " good 3 " + strconv.Itoa(len(body)) + "\r\n" + body + "\r\n")
			}
		case "RETURN":
			s.notify("EXIT %d " + w[1] + " good 3 " + strconv.Itoa(len(l.Body)) + "\r\n" + string(l.Body) + "\r\n")
		}
	})
}

// notify numbers a notice, keeps it, and writes it to the link of the moment, if there is one.
func (s *site) notify(form string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notices = append(s.notices, fmt.Sprintf(form, len(s.notices)+1))
	if s.link != nil {
		fmt.Fprint(s.link, s.notices[len(s.notices)-1])
	}
}

func (s *site) supply(conn net.Conn) {
	s.supplied <- conn
	defer func() { s.left <- conn }()
	s.read(conn, "FETCH", func(l lineprotocol.Line) {
		s.asked <- append(l.Words, string(l.Body))
		if l.Words[0] == "FETCH" {
			s.mu.Lock()
			reply := s.reply(l.Words[1])
			s.mu.Unlock()
			if reply == "break" {
				conn.Close()
			} else {
				fmt.Fprint(conn, reply)
			}
		}
	})
}

func (s *site) replyWith(reply func(call string) string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reply = reply
}

// dispatcher is a connection to the node.
type dispatcher struct {
	t     testing.TB
	conn  net.Conn
	p     frame.Parser
	calls int
}

func (s *site) dial() *dispatcher {
	conn, err := net.Dial("tcp", s.address)
	require.NoError(s.t, err)
	s.t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(bound))
	return &dispatcher{t: s.t, conn: conn}
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
		f, ok, err := d.p.Next()
		require.NoError(d.t, err)
		if ok {
			f.Payload = bytes.Clone(f.Payload)
			return f, true
		}
		n, err := d.conn.Read(d.p.Space())
		if err != nil {
			return f, false
		}
		d.p.Wrote(n)
	}
}

// answer is the code, stream and body of the next answer.
func (d *dispatcher) answer() string {
	f, ok := d.next()
	require.True(d.t, ok, "the connection ended")
	if f.Type == frame.GoAway {
		return "no more"
	}
	_, body, err := frame.Fields(f.Payload[1:])
	require.NoError(d.t, err)
	return fmt.Sprintf("%d on %d %s", f.Payload[0], f.Stream, body)
}

func (s *site) signal(which os.Signal) { s.command.Process.Signal(which) }

// containsInode looks for a socket in a table of /proc/net.
func containsInode(table string, inode int) bool {
	for _, line := range strings.Split(table, "\n") {
		if fields := strings.Fields(line); len(fields) > 9 && fields[9] == strconv.Itoa(inode) {
			return true
		}
	}
	return false
}
