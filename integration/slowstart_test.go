package integration

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"topazpost/internal/protocol/lineprotocol"
)

const (
	warmingCores         = 2
	initialCapacityShare = 0.1
	tipMultiple          = 8
	warmUpTime           = 600 * time.Second
)

// warmingExecutor is a stand-in for an executor whose runs all make one call, and which counts a run from its EXEC to the
// RETURN of its call. It reads an EXEC after the node has counted the run and counts an end before the node can read it: on a
// slow machine it counts fewer runs at a time than the node, never more.
type warmingExecutor struct {
	node *testNode

	mu         sync.Mutex
	nodeState  string
	startedAt  time.Time // not later than the node takes it to be
	maxRunning int       // at a time in this incarnation of the node
	completed  int
	overload   string // the first moment at which more ran than capacity allows
}

// startWarmingExecutor starts an executor and a node whose calls go to a catalogue.
func startWarmingExecutor(t *testing.T, catalogueAddress string) *warmingExecutor {
	t.Helper()
	e := new(warmingExecutor)
	listener := listen(t)
	go acceptConnections(listener, e.serve)
	e.reset("old")
	e.node = startNode(t, func(config nodeConfig) {
		config["executor"] = listener.Addr().String()
		config["catalog"] = catalogueAddress
		info := config.familyInfo()
		info["n_cores"] = warmingCores
		info["memory_kb"] = 90_000
		info["calls_out"] = 500
		config.settings()["guarantees"] = map[string]any{"tip_multiple": tipMultiple, "drain_grace": 2_000,
			"cold_from": initialCapacityShare, "warm_after": warmUpTime.Milliseconds(), "fall": 1_500}
	})
	e.node.config["listen"] = e.node.address
	return e
}

// capacity returns how many runs the cores bear now at the slowest warm-up that the settings allow.
func (e *warmingExecutor) capacity() float64 {
	warm := 1.0
	if e.nodeState == "new" {
		warm = min(1, initialCapacityShare+(1-initialCapacityShare)*time.Since(e.startedAt).Seconds()/warmUpTime.Seconds())
	}
	return warmingCores * (1 + (tipMultiple-1)*warm)
}

// reset begins a new incarnation of the node.
func (e *warmingExecutor) reset(nodeState string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.nodeState = nodeState
	e.startedAt = time.Now()
	e.maxRunning = 0
	e.completed = 0
}

// serve answers the commands of one connection.
func (e *warmingExecutor) serve(conn net.Conn) {
	running := 0
	notice := 0
	readLines(conn, []string{"EXEC", "RETURN"}, func(line lineprotocol.Line) {
		e.mu.Lock()
		defer e.mu.Unlock()
		switch words := line.Words; words[0] {
		case "JOIN":
			notice, _ = strconv.Atoi(words[1])
			fmt.Fprintf(conn, "WELCOME %s 0\r\n", e.nodeState)
		case "METER":
			fmt.Fprintf(conn, "METERS %s 0.1 1\r\n", words[1])
		case "EXEC":
			running++
			e.record(running)
			notice++
			fmt.Fprintf(conn, "CALLOUT %d %s 3\r\nask\r\n", notice, words[1])
		case "RETURN":
			running--
			e.completed++
			notice++
			fmt.Fprintf(conn, "EXIT %d %s good 3 %d\r\n%s\r\n", notice, words[1], len(line.Body), line.Body)
		}
	})
}

// record notes how many runs there are.
func (e *warmingExecutor) record(running int) {
	if float64(running) > e.capacity() && e.overload == "" {
		e.overload = fmt.Sprintf("%d runs on %s cores that bear %.1f", running, e.nodeState, e.capacity())
	}
	e.maxRunning = max(e.maxRunning, running)
}

// assertEach waits until a condition has held at each executor, which it reads under the executor's lock.
func assertEach(t *testing.T, executors []*warmingExecutor, condition string, holds func(e *warmingExecutor) bool) {
	t.Helper()
	for _, e := range executors {
		held := func() bool {
			e.mu.Lock()
			defer e.mu.Unlock()
			return holds(e)
		}
		if !assert.Eventually(t, held, testTimeout, 10*time.Millisecond, "never seen: "+condition) {
			return
		}
	}
}

// stallingCatalogue is a stand-in for a catalogue that replies to no call before it is released.
type stallingCatalogue struct {
	listener net.Listener
	released atomic.Pointer[chan struct{}]
}

// stall has calls wait from now on; release lets those that wait, and later ones until the next stall, be answered.
func (c *stallingCatalogue) stall() (release func()) {
	released := make(chan struct{})
	c.released.Store(&released)
	return sync.OnceFunc(func() { close(released) })
}

// serve replies to the calls of one connection.
func (c *stallingCatalogue) serve(conn net.Conn) {
	defer conn.Close()
	for in := bufio.NewScanner(conn); in.Scan(); {
		if words := strings.Fields(in.Text()); len(words) == 4 && words[0] == "FETCH" {
			<-*c.released.Load()
			fmt.Fprintf(conn, "%s DATA 2\r\nok\r\n", words[1])
		}
	}
}

// Thirty dispatchers press thirty processes whose calls all stall, so that every run may be back on the cores at once: warm
// nodes admit many, and the same nodes, killed and started again with cold cores, no more than these bear.
func TestSlowStartHoldsUnderThirtyDispatchers(t *testing.T) {
	const nodes, dispatchers = 30, 30
	catalogue := &stallingCatalogue{listener: listen(t)}
	releaseWarm := catalogue.stall()
	defer releaseWarm()
	var executors []*warmingExecutor
	for range nodes {
		executors = append(executors, startWarmingExecutor(t, catalogue.listener.Addr().String()))
	}
	go acceptConnections(catalogue.listener, catalogue.serve)
	// Nobody gives up waiting: a run whose caller disconnected would not end here.
	offered := newLoad(1, 2*testTimeout, 20*time.Millisecond)
	for _, e := range executors {
		for range dispatchers {
			offered.add(t, e.node.address)
		}
	}
	assertEach(t, executors, "a warm node admits more than cold cores bear", func(e *warmingExecutor) bool { return e.maxRunning > 6 })
	for _, e := range executors {
		e.node.signal(syscall.SIGKILL)
	}
	for _, e := range executors {
		_ = await(t, e.node.exited) // the error of the kill
	}
	releaseCold := catalogue.stall()
	defer releaseCold()
	releaseWarm()
	for _, e := range executors {
		e.reset("new")
		e.node.launch()
	}
	assertEach(t, executors, "a cold node uses its cores", func(e *warmingExecutor) bool { return e.maxRunning >= 2 })
	time.Sleep(time.Second) // time for a node to admit too many
	releaseCold()
	assertEach(t, executors, "runs end once calls are answered", func(e *warmingExecutor) bool { return e.completed >= 5 })
	offered.stop()
	maxRunning := 0
	for _, e := range executors {
		e.mu.Lock()
		assert.Empty(t, e.overload)
		maxRunning = max(maxRunning, e.maxRunning)
		e.mu.Unlock()
	}
	t.Logf("%d runs at a time on cold cores at most, which bear %.1f", maxRunning, executors[0].capacity())
}
