package integration

import (
	"fmt"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"

	"topazpost/internal/protocol/lineprotocol"
)

// executor is a stand-in for the executor of one node. The body of an invocation says how its run ends: "bad" fails, "call"
// makes a call and returns its reply, "hold" runs until the test ends it; any other body is the result at once.
type executor struct {
	t           testing.TB
	listener    net.Listener
	up          chan struct{} // closed once the executor accepts its node
	connections chan net.Conn // each after its JOIN
	commands    chan []string // words and body of each command, without METER and JOIN

	mu      sync.Mutex
	conn    net.Conn // where notices go, nil if they are only recorded
	notices []string // all since the node's start, the first is number 1
	state   string   // that WELCOME states
}

// newExecutor returns an executor that listens, but is not up yet.
func newExecutor(t testing.TB) *executor {
	t.Helper()
	e := &executor{
		t:           t,
		up:          make(chan struct{}),
		connections: make(chan net.Conn, 100),
		commands:    make(chan []string, 1_000),
		state:       "old",
	}
	e.listen()
	return e
}

// listen opens a new listener in place of the previous one, which stays open.
func (e *executor) listen() {
	e.t.Helper()
	e.listenAt("127.0.0.1:0")
}

// listenAt does so at an address.
func (e *executor) listenAt(address string) {
	e.t.Helper()
	e.listener = listenAt(e.t, address)
	go acceptConnections(e.listener, e.serve)
}

// reset has the executor forget the node's last incarnation: notices are numbered anew for each.
func (e *executor) reset(state string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.conn = nil
	e.notices = nil
	e.state = state
}

// detach has notices only recorded until the next JOIN.
func (e *executor) detach() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.conn = nil
}

// serve answers the commands of one connection.
func (e *executor) serve(conn net.Conn) {
	readLines(conn, []string{"EXEC", "RETURN"}, func(line lineprotocol.Line) {
		words := line.Words
		switch words[0] {
		case "JOIN":
			e.join(conn, words[1])
			return
		case "METER":
			fmt.Fprintf(conn, "METERS %s 0.1 1\r\n", words[1])
			return
		}
		e.commands <- append(slices.Clone(words), string(line.Body)) // before any notice that follows from it
		switch words[0] {
		case "EXEC":
			e.execute(words[1], string(line.Body))
		case "RETURN":
			e.notifyResult(words[1], string(line.Body))
		}
	})
}

// join answers a JOIN once the executor is up, with all notices after the last one that the node read.
func (e *executor) join(conn net.Conn, lastRead string) {
	<-e.up
	after, _ := strconv.Atoi(lastRead)
	e.mu.Lock()
	e.conn = conn
	fmt.Fprint(conn, "WELCOME "+e.state+" 5\r\n", strings.Join(e.notices[after:], ""))
	e.mu.Unlock()
	e.connections <- conn
}

// execute runs an invocation as its body says.
func (e *executor) execute(run, body string) {
	switch body {
	case "bad":
		e.notify("EXIT %d " + run + " bad 3 0\r\n\r\n")
	case "call":
		e.notify("CALLOUT %d " + run + " 3\r\nask\r\n")
	case "hold":
	default:
		e.notifyResult(run, body)
	}
}

// notifyResult ends a run with its result.
func (e *executor) notifyResult(run, result string) {
	e.notify("EXIT %d " + run + " good 3 " + strconv.Itoa(len(result)) + "\r\n" + result + "\r\n")
}

// notify records a notice under the next number, for which form has a verb, and sends it if a connection is attached.
func (e *executor) notify(form string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	notice := fmt.Sprintf(form, len(e.notices)+1)
	e.notices = append(e.notices, notice)
	if e.conn != nil {
		fmt.Fprint(e.conn, notice)
	}
}

// startedBodies returns the bodies of the runs whose commands have not been received from the channel yet.
func (e *executor) startedBodies() (bodies []string) {
	for len(e.commands) > 0 {
		if words := <-e.commands; words[0] == "EXEC" {
			bodies = append(bodies, words[len(words)-1])
		}
	}
	return bodies
}
