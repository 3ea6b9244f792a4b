package integration

import (
	"fmt"
	"net"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"topazpost/internal/protocol/frame"
)

func TestDrainCompletesRunsInFlightAndExits(t *testing.T) {
	node := startNode(t, func(config nodeConfig) { config["stop_ms"] = 20_000 })
	d := node.dial()
	call := d.invoke(1, "hold")
	await(t, node.executor.commands)
	node.signal(syscall.SIGTERM)
	node.awaitLog("drain notice")
	d.invoke(2, "still open")
	assert.Equal(t, "20 on 2 still open", d.answer(), "the delay keeps intake open")
	assert.Equal(t, noMore, d.answer())
	node.awaitLog("no connection more") // from then on nobody can connect
	_, err := net.Dial("tcp", node.address)
	assert.Error(t, err)
	d.invoke(3, "too late")
	assert.Equal(t, "50 on 3 ", d.answer())
	node.executor.notify("EXIT %d " + call + " good 3 2\r\nok\r\n")
	assert.Equal(t, "20 on 1 ok", d.answer())
	node.awaitLog("drain: 1 in flight at the request, 3 ended since, 0 abandoned at the deadline")
	assert.NoError(t, await(t, node.exited))
}

func TestDrainAbortsRunsInFlightAtItsDeadline(t *testing.T) {
	node := startNode(t, func(config nodeConfig) { config["stop_ms"] = 800 })
	d := node.dial()
	d.invoke(1, "hold")
	await(t, node.executor.commands)
	node.signal(syscall.SIGTERM)
	assert.Equal(t, noMore, d.answer())
	assert.Equal(t, "51 on 1 ", d.answer())
	node.awaitLog(", 1 abandoned at the deadline")
	assert.NoError(t, await(t, node.exited))
}

// An invocation that crosses the drain notice on the wire was read, and must be answered.
func TestInvocationThatCrossesTheDrainNoticeIsAnswered(t *testing.T) {
	node := startNode(t, nil)
	var idle []*dispatcher
	for n := range 8 {
		d := node.dial()
		d.invoke(1, "fine")
		assert.Equal(t, "20 on 1 fine", d.answer(), n)
		idle = append(idle, d)
	}
	node.signal(syscall.SIGTERM)
	for _, d := range idle {
		d.awaitNoMore()
		d.invoke(2, "crosses")
	}
	for _, d := range idle {
		assert.Equal(t, "50 on 2 ", d.answer())
		d.assertClosed()
	}
	assert.NoError(t, await(t, node.exited))
	for len(node.executor.commands) > 0 {
		words := <-node.executor.commands
		assert.NotEqual(t, "crosses", words[len(words)-1], "it came after intake had stopped")
	}
}

// A node without an executor exits at once, and answers too.
func TestInvocationThatCrossesTheExitWithoutAnExecutorIsAnswered(t *testing.T) {
	node := startNodeWithLateExecutor(t)
	d := node.dial()
	d.write(healthCheck())
	d.next()
	node.signal(syscall.SIGTERM)
	d.awaitNoMore()
	d.invoke(1, "crosses")
	assert.Equal(t, "50 on 1 ", d.answer())
	d.assertClosed()
	assert.NoError(t, await(t, node.exited))
}

// Connections in the system's backlog, for which the table had no place, are accepted when intake stops, and their
// invocations are answered.
func TestConnectionsInTheBacklogWhenIntakeStopsAreAnswered(t *testing.T) {
	node := startNode(t, func(config nodeConfig) {
		config["stop_ms"] = 6_000
		config.limits()["sockets"] = 32
	})
	var first, waiting []*dispatcher
	for n := range 14 { // fills the table, each with an invocation in flight
		d := node.dial()
		d.invoke(1, "hold")
		d.write(healthCheck())
		f, _ := d.next()
		require.Equal(t, byte(frame.HealthStatus), f.Type, "%d: the invocation before it was read", n)
		first = append(first, d)
	}
	for range 3 {
		d := node.dial()
		d.invoke(1, "waits")
		waiting = append(waiting, d)
	}
	node.signal(syscall.SIGTERM)
	for _, d := range first { // each is closed once it is notified and answered
		got := []string{d.answer(), d.answer()}
		slices.Sort(got)
		assert.Regexp(t, `^5[01] on 1 $`, got[0])
		assert.Equal(t, noMore, got[1])
		d.conn.Close()
	}
	for _, d := range waiting {
		assert.Equal(t, noMore, d.answer())
		assert.Equal(t, "50 on 1 ", d.answer())
		d.assertClosed()
	}
	assert.NoError(t, await(t, node.exited))
}

// An idle connection is evicted as the protocol asks: notified, read once more, closed without a reset.
func TestIdleConnectionIsEvictedWithoutLoss(t *testing.T) {
	node := startNode(t, func(config nodeConfig) { config.limits()["sockets"] = 32 })
	var idle []*dispatcher
	for range 10 {
		d := node.dial()
		d.invoke(1, "fine")
		assert.Equal(t, "20 on 1 fine", d.answer())
		idle = append(idle, d)
	}
	next := node.dial()
	next.invoke(1, "fine")
	assert.Equal(t, "20 on 1 fine", next.answer())
	d := idle[0] // idle for longest
	assert.Equal(t, noMore, d.answer())
	d.invoke(2, "crosses")
	assert.Equal(t, "20 on 2 crosses", d.answer())
	d.assertClosed()
}

// reconnectUntil offers up to twenty invocations on each of many connections in a row, with a new stream number each.
func reconnectUntil(t *testing.T, address string, stopped <-chan struct{}) {
	const invocationsPerConnection = 20
	for stream := uint32(1); ; stream++ {
		select {
		case <-stopped:
			return
		default:
		}
		conn, err := net.Dial("tcp", address)
		if err != nil {
			time.Sleep(5 * time.Millisecond) // nobody listens
			continue
		}
		conn.SetDeadline(time.Now().Add(time.Second))
		d := &dispatcher{t: t, conn: conn}
		for range invocationsPerConnection {
			call := fmt.Sprintf("%016x", time.Now().UnixNano())
			if _, err := conn.Write(invocation("catalogue", call, stream, "fine")); err != nil {
				break
			}
			if _, ok := d.next(); !ok {
				break
			}
			stream++
		}
		conn.Close()
	}
}

// Under load, killed and drained in turn, and started again before the last incarnation has ended, nine in ten processes
// serve within ten seconds. The distribution is printed.
func TestRestartedProcessesAreReadySoon(t *testing.T) {
	const restarts, maxReadyAfter = 20, 10 * time.Second
	node := startNode(t, func(config nodeConfig) { config["stop_ms"] = 1_000 })
	address := node.address
	node.config["listen"] = address
	var load sync.WaitGroup
	stopped := make(chan struct{})
	for range 8 {
		load.Go(func() { reconnectUntil(t, address, stopped) })
	}
	var readyAfter []time.Duration
	for n := range restarts {
		previous := node.command
		exited := node.exited
		if n%2 == 0 {
			previous.Process.Signal(syscall.SIGKILL)
		} else {
			previous.Process.Signal(syscall.SIGTERM)
		}
		node.executor.reset("old")
		node.exited = make(chan error, 1)
		launchedAt := time.Now()
		node.launch()
		for !answersHealthCheck(address) {
			require.Less(t, time.Since(launchedAt), 30*time.Second)
			time.Sleep(time.Millisecond)
		}
		readyAfter = append(readyAfter, time.Since(launchedAt))
		_ = await(t, exited) // a killed process ends with an error, a drained one without
	}
	close(stopped)
	load.Wait()
	slices.Sort(readyAfter)
	ninetieth := readyAfter[len(readyAfter)*9/10-1]
	t.Logf("ready after: min %v, median %v, nine in ten %v, max %v", readyAfter[0], readyAfter[len(readyAfter)/2], ninetieth, readyAfter[len(readyAfter)-1])
	assert.LessOrEqual(t, ninetieth, maxReadyAfter)
}

// The node closes what it opens: it has no more descriptors than before once its peers have disconnected.
func TestDescriptorsAreReleasedAfterDisconnects(t *testing.T) {
	node := startNode(t, nil)
	d := node.dial()
	d.invoke(1, "call")
	assert.Equal(t, "20 on 1 reply", d.answer())
	d.conn.Close()
	before := node.descriptors()
	for n := range 60 {
		d := node.dial()
		switch n % 4 {
		case 0:
			d.invoke(1, "call")
			d.answer()
		case 1:
			d.write([]byte{9, 9, 9, 9, 9})
		case 2:
			d.write(healthCheck()[:7])
		}
		d.conn.Close()
	}
	require.Eventually(t, func() bool { return node.descriptors() <= before }, testTimeout, 10*time.Millisecond)
}
