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

// coldCores is an executor whose runs all make one call and count from the command that starts them to the reply to
// that call. It reads a start after the node has counted it and counts an end before the node can read it: on a slow
// machine it sees fewer at a time than the node holds, never more.
type coldCores struct {
	site  *site
	mu    sync.Mutex
	state string
	born  time.Time // not later than the node takes it to be
	reads *site     // for the lines that come to the cores, from before the node is there
	most  int       // runs at a time in this life of the node
	ended int
	fell  string // the first moment at which they were more than survive
}

const (
	coldOf      = 2 // cores
	coldFrom    = 0.1
	coldTip     = 8
	coldWarming = 600 * time.Second
)

// survived is how many runs the cores bear now at the slowest warm-up that the settings allow.
func (c *coldCores) survived() float64 {
	warm := 1.0
	if c.state == "new" {
		warm = min(1, coldFrom+(1-coldFrom)*time.Since(c.born).Seconds()/coldWarming.Seconds())
	}
	return coldOf * (1 + (coldTip-1)*warm)
}

func (c *coldCores) begin(state string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state, c.born, c.most, c.ended = state, time.Now(), 0, 0
}

func (c *coldCores) serve(conn net.Conn) {
	runs, notice := 0, 0
	c.reads.read(conn, "EXEC RETURN", func(l lineprotocol.Line) {
		c.mu.Lock()
		defer c.mu.Unlock()
		switch w := l.Words; w[0] {
		case "JOIN":
			notice, _ = strconv.Atoi(w[1])
			fmt.Fprintf(conn, "WELCOME %s 0\r\n", c.state)
		case "METER":
			fmt.Fprintf(conn, "METERS %s 0.1 1\r\n", w[1])
		case "EXEC":
			if runs++; float64(runs) > c.survived() && c.fell == "" {
				c.fell = fmt.Sprintf("%d runs on %s cores that bear %.1f", runs, c.state, c.survived())
			}
			c.most = max(c.most, runs)
			notice++
			fmt.Fprintf(conn, "CALLOUT %d %s 3\r\nask\r\n", notice, w[1])
		case "RETURN":
			runs, c.ended = runs-1, c.ended+1
			notice++
			fmt.Fprintf(conn, "EXIT %d %s good 3 %d\r\n%s\r\n", notice, w[1], len(l.Body), l.Body)
		}
	})
}

// Thirty dispatchers press thirty processes whose calls all hang, so that every run may be back on the cores at once: warm
// nodes take many, and the same nodes, killed and started again with cold cores, no more than these survive.
func TestColdProcessesSurviveWhatThirtyDispatchersSend(t *testing.T) {
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
	var fleet []*coldCores
	for range nodes {
		c := &coldCores{reads: &site{t: t}}
		executor := listen(t)
		go c.reads.accept(executor, c.serve)
		c.begin("old")
		c.site = start(t, false, func(config map[string]any) {
			config["executor"], config["catalog"] = executor.Addr().String(), below.Addr().String()
			settings := config["settings"].(map[string]any)
			info := settings["family_info"].(map[string]any)
			info["n_cores"], info["memory_kb"], info["calls_out"] = coldOf, 90_000, 500
			settings["guarantees"] = map[string]any{"tip_multiple": coldTip, "drain_grace": 2_000, "cold_from": coldFrom,
				"warm_after": coldWarming.Milliseconds(), "fall": 1_500}
		})
		c.site.config["listen"] = c.site.address
		fleet = append(fleet, c)
	}
	go fleet[0].site.accept(below, func(conn net.Conn) {
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
		address := c.site.address
		for range dispatchers {
			load.Go(func() {
				for {
					select {
					case <-over:
						return
					default:
						keepBusy(t, address, 1, 2*bound, over) // nobody leaves: a run whose caller left would not end here
						time.Sleep(20 * time.Millisecond)
					}
				}
			})
		}
	}
	each := func(what string, holds func(c *coldCores) bool) {
		for _, c := range fleet {
			end := time.Now().Add(bound)
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
	each("a warm node takes more than cold cores bear", func(c *coldCores) bool { return c.most > 6 })
	for _, c := range fleet {
		c.site.signal(syscall.SIGKILL)
	}
	before := answer
	for _, c := range fleet {
		_ = await(t, c.site.ended) // the error of the kill
	}
	answer = hang()
	before()
	for _, c := range fleet {
		c.begin("new")
		c.site.run()
	}
	each("a cold node uses its cores", func(c *coldCores) bool { return c.most >= 2 })
	time.Sleep(time.Second) // for a node that would take too many; nothing rests on it that must hold
	answer()
	each("runs end once calls are answered", func(c *coldCores) bool { return c.ended >= 5 })
	close(over)
	load.Wait()
	most := 0
	for _, c := range fleet {
		c.mu.Lock()
		assert.Empty(t, c.fell)
		most = max(most, c.most)
		c.mu.Unlock()
	}
	t.Logf("%d runs at a time on cold cores at the most, which bear %.1f", most, fleet[0].survived())
}
