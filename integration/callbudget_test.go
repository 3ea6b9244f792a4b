package integration

import (
	"bufio"
	"fmt"
	"math"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// sharedDependency is one that all nodes of a fleet share. A call stays in its hands for a while, and so do those that are given up.
type sharedDependency struct {
	listener net.Listener
	mu       sync.Mutex
	inFlight int
	samples  []inFlightSample
}

type inFlightSample struct {
	at       time.Time
	inFlight int
}

func (d *sharedDependency) add(by int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.inFlight += by
	d.samples = append(d.samples, inFlightSample{time.Now(), d.inFlight})
}

func (d *sharedDependency) serve(conn net.Conn) {
	defer conn.Close()
	for in := bufio.NewScanner(conn); in.Scan(); {
		words := strings.Fields(in.Text())
		if len(words) != 4 || words[0] != "FETCH" {
			continue
		}
		d.add(1)
		time.Sleep(80 * time.Millisecond)
		d.add(-1)
		fmt.Fprintf(conn, "%s DATA 2\r\nok\r\n", words[1])
	}
}

// maxMeanInFlight is the highest mean of calls in hand over any span between two changes.
func (d *sharedDependency) maxMeanInFlight(span time.Duration) (maxMeanInFlight float64) {
	area, from := 0.0, 0
	at := func(k int) float64 {
		return float64(d.samples[k].inFlight) * d.samples[k+1].at.Sub(d.samples[k].at).Seconds()
	}
	for k := range len(d.samples) - 1 {
		area += at(k)
		for d.samples[k+1].at.Sub(d.samples[from].at) > span {
			area -= at(from)
			from++
		}
		maxMeanInFlight = max(maxMeanInFlight, area/span.Seconds())
	}
	return maxMeanInFlight
}

// Twenty processes that have more calls to make than they may, all killed and started again at once, keep to the budget of
// what they share: beyond N calls in the mean only 2 times the root of N and 2 are chance.
func TestCallBudgetOfTwentyProcessesHoldsThroughRestarts(t *testing.T) {
	const nodes, share, span = 20, 1.5, time.Second
	shared := &sharedDependency{listener: listen(t)}
	var fleet []*testNode
	for range nodes {
		node := startNode(t, false, func(c map[string]any) {
			c["catalog"] = shared.listener.Addr().String()
			info := c["settings"].(map[string]any)["family_info"].(map[string]any)
			info["calls_out"], info["calls_over"], info["memory_kb"], info["n_cores"] = share, span.Milliseconds(), 90_000, 8
		})
		node.config["listen"] = node.address
		fleet = append(fleet, node)
	}
	go fleet[0].acceptConnections(shared.listener, shared.serve)
	over := make(chan struct{})
	var load sync.WaitGroup
	for _, node := range fleet {
		address := node.address
		load.Go(func() {
			for {
				select {
				case <-over:
					return
				default:
					offerLoad(t, address, 16, time.Second, over)
					time.Sleep(5 * time.Millisecond)
				}
			}
		})
	}
	calls := func() int {
		shared.mu.Lock()
		defer shared.mu.Unlock()
		return len(shared.samples)
	}
	until := func(n int) { // a budget's worth of calls has been made
		for end := time.Now().Add(testTimeout); calls() < n && time.Now().Before(end); {
			time.Sleep(10 * time.Millisecond)
		}
	}
	until(2 * 2 * nodes * share * 10)
	for _, node := range fleet {
		node.signal(syscall.SIGKILL)
	}
	for _, node := range fleet {
		_ = await(t, node.exited) // the error of the kill
		node.resetExecutor("new")
		node.launch()
	}
	until(calls() + 2*2*nodes*share*10)
	close(over)
	load.Wait()
	shared.mu.Lock()
	defer shared.mu.Unlock()
	budget := float64(nodes) * share
	most := shared.maxMeanInFlight(span)
	t.Logf("%.1f calls in the mean at the most, the budget is %g", most, budget)
	assert.LessOrEqual(t, most, budget+2*math.Sqrt(budget)+2)
	assert.Greater(t, most, budget/3, "the budget is used")
}

// offerLoad has so many invocations that make a call open at a node until the connection or the test ends, or no answer comes
// for as long as it has patience.
func offerLoad(t *testing.T, address string, open int, answerTimeout time.Duration, stop chan struct{}) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return
	}
	defer conn.Close()
	ended := make(chan struct{})
	defer close(ended)
	go func() {
		select {
		case <-stop:
			conn.Close()
		case <-ended:
		}
	}()
	d := &dispatcher{t: t, conn: conn}
	stream := uint32(0)
	send := func() error {
		stream++
		_, err := conn.Write(invocation(fmt.Sprintf("%08x%08x", time.Now().UnixNano()&0xffffffff, stream), stream, "call"))
		return err
	}
	for range open {
		if send() != nil {
			return
		}
	}
	for {
		conn.SetReadDeadline(time.Now().Add(answerTimeout))
		if _, ok := d.next(); !ok || send() != nil {
			return
		}
		select {
		case <-stop:
			return
		default:
		}
	}
}
