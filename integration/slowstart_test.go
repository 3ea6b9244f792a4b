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

// warmingExecutor is an executor whose runs all make one call and count from the command that starts them to the reply to
// that call. It reads a start after the node has counted it and counts an end before the node can read it: on a slow
// machine it sees fewer at a time than the node holds, never more.
type warmingExecutor struct {
	node       *testNode
	mu         sync.Mutex
	nodeState  string
	startedAt  time.Time // not later than the node takes it to be
	reads      *testNode // for the lines that come to the cores, from before the node is there
	maxRunning int       // runs at a time in this life of the node
	completed  int
	overload   string // the first moment at which they were more than survive
}

const (
	warmingCores         = 2 // cores
	initialCapacityShare = 0.1
	tipMultiple          = 8
	warmUpTime           = 600 * time.Second
)

// capacity is how many runs the cores bear now at the slowest warm-up that the settings allow.
func (c *warmingExecutor) capacity() float64 {
	warm := 1.0
	if c.nodeState == "new" {
		warm = min(1, initialCapacityShare+(1-initialCapacityShare)*time.Since(c.startedAt).Seconds()/warmUpTime.Seconds())
	}
	return warmingCores * (1 + (tipMultiple-1)*warm)
}

func (c *warmingExecutor) reset(state string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nodeState, c.startedAt, c.maxRunning, c.completed = state, time.Now(), 0, 0
}

func (c *warmingExecutor) serve(conn net.Conn) {
	runs, notice := 0, 0
	c.reads.readLines(conn, "EXEC RETURN", func(l lineprotocol.Line) {
		c.mu.Lock()
		defer c.mu.Unlock()
		switch w := l.Words; w[0] {
		case "JOIN":
			notice, _ = strconv.Atoi(w[1])
			fmt.Fprintf(conn, "WELCOME %s 0\r\n", c.nodeState)
		case "METER":
			fmt.Fprintf(conn, "METERS %s 0.1 1\r\n", w[1])
		case "EXEC":
			if runs++; float64(runs) > c.capacity() && c.overload == "" {
				c.overload = fmt.Sprintf("%d runs on %s cores that bear %.1f", runs, c.nodeState, c.capacity())
			}
			c.maxRunning = max(c.maxRunning, runs)
			notice++
			fmt.Fprintf(conn, "CALLOUT %d %s 3\r\nask\r\n", notice, w[1])
		case "RETURN":
			runs, c.completed = runs-1, c.completed+1
			notice++
			fmt.Fprintf(conn, "EXIT %d %s good 3 %d\r\n%s\r\n", notice, w[1], len(l.Body), l.Body)
		}
	})
}

// Thirty dispatchers press thirty processes whose calls all hang, so that every run may be back on the cores at once: warm
// nodes take many, and the same nodes, killed and started again with cold cores, no more than these survive.
func TestSlowStartHoldsUnderThirtyDispatchers(t *testing.T) {
	const nodes, dispatchers = 30, 30
	var hangs atomic.Pointer[chan struct{}]
	hang := func() func() {
		c := make(chan struct{})
		hangs.Store(&c)
		return sync.OnceFunc(func() { close(c) })
	}
	answer := hang()
	defer func() { answer() }()
	below := listen(t)
	var fleet []*warmingExecutor
	for range nodes {
		c := &warmingExecutor{reads: &testNode{t: t}}
		executor := listen(t)
		go c.reads.acceptConnections(executor, c.serve)
		c.reset("old")
		c.node = startNode(t, false, func(config map[string]any) {
			config["executor"], config["catalog"] = executor.Addr().String(), below.Addr().String()
			settings := config["settings"].(map[string]any)
			info := settings["family_info"].(map[string]any)
			info["n_cores"], info["memory_kb"], info["calls_out"] = warmingCores, 90_000, 500
			settings["guarantees"] = map[string]any{"tip_multiple": tipMultiple, "drain_grace": 2_000, "cold_from": initialCapacityShare,
				"warm_after": warmUpTime.Milliseconds(), "fall": 1_500}
		})
		c.node.config["listen"] = c.node.address
		fleet = append(fleet, c)
	}
	go fleet[0].node.acceptConnections(below, func(conn net.Conn) {
		defer conn.Close()
		for in := bufio.NewScanner(conn); in.Scan(); {
			if words := strings.Fields(in.Text()); len(words) == 4 && words[0] == "FETCH" {
				<-*hangs.Load()
				fmt.Fprintf(conn, "%s DATA 2\r\nok\r\n", words[1])
			}
		}
	})
	over := make(chan struct{})
	var load sync.WaitGroup
	for _, c := range fleet {
		address := c.node.address
		for range dispatchers {
			load.Go(func() {
				for {
					select {
					case <-over:
						return
					default:
						offerLoad(t, address, 1, 2*testTimeout, over) // nobody leaves: a run whose caller left would not end here
						time.Sleep(20 * time.Millisecond)
					}
				}
			})
		}
	}
	each := func(what string, holds func(c *warmingExecutor) bool) {
		for _, c := range fleet {
			end := time.Now().Add(testTimeout)
			for held := false; !held; time.Sleep(10 * time.Millisecond) {
				c.mu.Lock()
				held = holds(c)
				c.mu.Unlock()
				if !held && time.Now().After(end) {
					assert.Fail(t, "never seen: "+what)
					return
				}
			}
		}
	}
	each("a warm node takes more than cold cores bear", func(c *warmingExecutor) bool { return c.maxRunning > 6 })
	for _, c := range fleet {
		c.node.signal(syscall.SIGKILL)
	}
	before := answer
	for _, c := range fleet {
		_ = await(t, c.node.exited) // the error of the kill
	}
	answer = hang()
	before()
	for _, c := range fleet {
		c.reset("new")
		c.node.launch()
	}
	each("a cold node uses its cores", func(c *warmingExecutor) bool { return c.maxRunning >= 2 })
	time.Sleep(time.Second) // for a node that would take too many; nothing rests on it that must hold
	answer()
	each("runs end once calls are answered", func(c *warmingExecutor) bool { return c.completed >= 5 })
	close(over)
	load.Wait()
	most := 0
	for _, c := range fleet {
		c.mu.Lock()
		assert.Empty(t, c.overload)
		most = max(most, c.maxRunning)
		c.mu.Unlock()
	}
	t.Logf("%d runs at a time on cold cores at the most, which bear %.1f", most, fleet[0].capacity())
}
