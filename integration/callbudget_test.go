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

// callDuration is how long the shared dependency works on a call.
const callDuration = 80 * time.Millisecond

// sharedDependency is a stand-in for a catalogue that all nodes of a fleet share. It works on a call to its end even if the
// caller gives the call up.
type sharedDependency struct {
	listener net.Listener

	mu       sync.Mutex
	inFlight int
	samples  []inFlightSample // one for each change
}

// inFlightSample is the number of calls in flight from one moment on.
type inFlightSample struct {
	at       time.Time
	inFlight int
}

// serve replies to the calls of one connection.
func (d *sharedDependency) serve(conn net.Conn) {
	defer conn.Close()
	for in := bufio.NewScanner(conn); in.Scan(); {
		words := strings.Fields(in.Text())
		if len(words) != 4 || words[0] != "FETCH" {
			continue
		}
		d.add(1)
		time.Sleep(callDuration)
		d.add(-1)
		fmt.Fprintf(conn, "%s DATA 2\r\nok\r\n", words[1])
	}
}

// add changes the number of calls in flight.
func (d *sharedDependency) add(change int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.inFlight += change
	d.samples = append(d.samples, inFlightSample{time.Now(), d.inFlight})
}

// sampleCount returns how often the number of calls in flight has changed.
func (d *sharedDependency) sampleCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.samples)
}

// awaitSamples waits until the number of calls in flight has changed so often, or the time is up.
func (d *sharedDependency) awaitSamples(count int) {
	for end := time.Now().Add(testTimeout); d.sampleCount() < count && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
}

// maxMeanInFlight returns the highest mean of calls in flight over any span between two changes.
func (d *sharedDependency) maxMeanInFlight(span time.Duration) (highest float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	area := 0.0
	first := 0
	areaAt := func(k int) float64 {
		return float64(d.samples[k].inFlight) * d.samples[k+1].at.Sub(d.samples[k].at).Seconds()
	}
	for k := range len(d.samples) - 1 {
		area += areaAt(k)
		for d.samples[k+1].at.Sub(d.samples[first].at) > span {
			area -= areaAt(first)
			first++
		}
		highest = max(highest, area/span.Seconds())
	}
	return highest
}

// Twenty processes that have more calls to make than they may, all killed and started again at once, stay within the call
// budget of what they share: beyond a mean of N calls only 2 times the root of N and 2 are chance.
func TestCallBudgetOfTwentyProcessesHoldsThroughRestarts(t *testing.T) {
	const (
		nodes       = 20
		callsOfNode = 1.5
		span        = time.Second
		samples     = 2 * 2 * nodes * callsOfNode * 10 // a budget's worth of calls, several times over
	)
	shared := &sharedDependency{listener: listen(t)}
	var fleet []*testNode
	for range nodes {
		node := startNode(t, func(config nodeConfig) {
			config["catalog"] = shared.listener.Addr().String()
			info := config.familyInfo()
			info["calls_out"] = callsOfNode
			info["calls_over"] = span.Milliseconds()
			info["memory_kb"] = 90_000
			info["n_cores"] = 8
		})
		node.config["listen"] = node.address
		fleet = append(fleet, node)
	}
	go acceptConnections(shared.listener, shared.serve)
	offered := newLoad(16, time.Second, 5*time.Millisecond)
	for _, node := range fleet {
		offered.add(t, node.address)
	}
	shared.awaitSamples(samples)
	for _, node := range fleet {
		node.signal(syscall.SIGKILL)
	}
	for _, node := range fleet {
		_ = await(t, node.exited) // the error of the kill
		node.executor.reset("new")
		node.launch()
	}
	shared.awaitSamples(shared.sampleCount() + samples)
	offered.stop()
	budget := float64(nodes) * callsOfNode
	highest := shared.maxMeanInFlight(span)
	t.Logf("%.1f calls in flight in the mean at most, the budget is %g", highest, budget)
	assert.LessOrEqual(t, highest, budget+2*math.Sqrt(budget)+2)
	assert.Greater(t, highest, budget/3, "the budget is used")
}
