package integration

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"topazpost/internal/protocol/frame"
)

// A second signal aborts the runs in flight, and still answers them.
func TestSecondSignalAbortsAndAnswersRunsInFlight(t *testing.T) {
	node := startNode(t, func(config nodeConfig) { config["stop_ms"] = 120_000 })
	d, idle := node.dial(), node.dial()
	idle.invoke(1, "fine")
	assert.Equal(t, "20 on 1 fine", idle.answer())
	await(t, node.executor.commands)
	d.invoke(1, "hold")
	await(t, node.executor.commands)
	node.signal(syscall.SIGTERM)
	node.awaitLog("drain notice")
	node.signal(syscall.SIGTERM)
	node.awaitLog("aborting all pending invocations")
	assert.Equal(t, noMore, d.answer())
	assert.Equal(t, "51 on 1 ", d.answer())
	idle.awaitNoMore()
	idle.invoke(2, "crosses")
	assert.Equal(t, "50 on 2 ", idle.answer())
	d.assertClosed()
	idle.assertClosed()
	assert.NoError(t, await(t, node.exited))
}

func TestDrainWhileTheExecutorIsDisconnectedAnswersAll(t *testing.T) {
	node := startNode(t, func(config nodeConfig) { config["stop_ms"] = 1_500 })
	d := node.dial()
	d.invoke(1, "hold")
	await(t, node.executor.commands)
	executorConn := await(t, node.executor.connections)
	node.executor.listener.Close()
	executorConn.Close()
	node.awaitLog("executor link ended")
	node.signal(syscall.SIGTERM)
	node.awaitLog("drain notice")
	d.invoke(2, "never sent to the executor")
	got := []string{d.answer(), d.answer(), d.answer()}
	assert.Contains(t, got, noMore)
	assert.Contains(t, got, "51 on 1 ")
	assert.Regexp(t, `5[01] on 2 `, strings.Join(got, ","))
	d.assertClosed()
	assert.NoError(t, await(t, node.exited))
}

// A process that was suspended past its deadline aborts and exits in one step: it must flush the answers first.
func TestDrainWhoseDeadlinePassedDuringASuspensionAnswersAll(t *testing.T) {
	const stop = 800 * time.Millisecond
	node := startNode(t, func(config nodeConfig) { config["stop_ms"] = stop.Milliseconds() })
	var all []*dispatcher
	for range 8 {
		d := node.dial()
		d.invoke(1, "hold")
		await(t, node.executor.commands)
		all = append(all, d)
	}
	node.signal(syscall.SIGTERM)
	node.awaitLog("drain notice")
	node.signal(syscall.SIGSTOP)
	time.Sleep(stop)
	node.signal(syscall.SIGCONT)
	for _, d := range all {
		assert.Equal(t, noMore, d.answer())
		assert.Equal(t, "51 on 1 ", d.answer())
		d.assertClosed()
	}
	assert.NoError(t, await(t, node.exited))
}

func TestDrainDuringAReloadAnswersAll(t *testing.T) {
	node := startNode(t, func(config nodeConfig) { config["stop_ms"] = 1_500 })
	d := node.dial()
	d.invoke(1, "hold")
	await(t, node.executor.commands)
	node.movePeers()
	node.writeTruncatedConfig() // it is read again until it is valid
	node.signal(syscall.SIGHUP)
	node.awaitLog("the one of before stays")
	node.signal(syscall.SIGTERM)
	node.awaitLog("drain notice")
	node.writeConfig()
	assert.Equal(t, noMore, d.answer())
	assert.Equal(t, "51 on 1 ", d.answer())
	d.assertClosed()
	assert.NoError(t, await(t, node.exited))
}

// Idle clients that fill the table while the control plane is down leave descriptors for what the node itself opens, and
// capacity for active clients.
func TestIdleConnectionsLeaveDescriptorsForReportsTheExecutorAndCalls(t *testing.T) {
	const maxSockets = 32
	node := startNode(t, func(config nodeConfig) { config.limits()["sockets"] = maxSockets })
	control := listen(t) // never accepts, so no report is answered
	node.config["control"] = control.Addr().String()
	node.writeConfig()
	node.signal(syscall.SIGHUP)
	node.awaitLog("addresses are now")
	executorConn := await(t, node.executor.connections)
	for n := range 120 {
		conn, err := net.Dial("tcp", node.address)
		require.NoError(t, err)
		t.Cleanup(func() { conn.Close() })
		switch n % 3 {
		case 0:
			_, _ = conn.Write(healthCheck()) // the node may have closed it
		case 1:
			_, _ = conn.Write(healthCheck()[:7]) // likewise
		}
	}
	executorConn.Close()
	await(t, node.executor.connections)
	d := node.dial()
	d.invoke(1, "call")
	assert.Equal(t, "20 on 1 reply", d.answer())
	back := listen(t)
	go func() { _ = http.Serve(back, node.controlPlane) }() // it ends with the listener
	node.config["control"] = back.Addr().String()
	node.writeConfig()
	node.signal(syscall.SIGHUP)
	await(t, node.controlPlane.reports)
	assert.LessOrEqual(t, node.descriptors(), maxSockets)
}

// Many slow senders are evicted as well.
func TestPartialFramesLeaveCapacityForActiveClients(t *testing.T) {
	node := startNode(t, func(config nodeConfig) { config.limits()["sockets"] = 32 })
	for range 100 {
		conn, err := net.Dial("tcp", node.address)
		require.NoError(t, err)
		t.Cleanup(func() { conn.Close() })
		go func() {
			for _, b := range frame.Append(nil, frame.HealthCheck, 1, make([]byte, 200)) { // a byte at a time
				if _, err := conn.Write([]byte{b}); err != nil {
					return
				}
				time.Sleep(300 * time.Millisecond)
			}
		}()
	}
	d := node.dial()
	d.invoke(1, "fine")
	assert.Equal(t, "20 on 1 fine", d.answer())
}

// Whatever a catalogue replies, a call that may have run is not retried unless it is idempotent.
func TestCatalogueThatDisconnectsStallsOrFloods(t *testing.T) {
	for what, reply := range map[string]string{
		"half a line":              "DA",
		"half a body":              "%s DATA 100\r\nhalf",
		"another call":             "ffffffffffffffff DATA 2\r\nok\r\n",
		"a line without end":       strings.Repeat("x", 1<<20),
		"a flood":                  strings.Repeat("ffffffffffffffff LATER\r\n", 20_000),
		"no length":                "%s DATA many\r\n",
		"a negative length":        "%s DATA -4\r\n",
		"a length without a bound": "%s DATA 99999999999\r\n",
	} {
		for _, disconnects := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, disconnects %v", what, disconnects), func(t *testing.T) {
				assertNotRetried(t, reply, disconnects)
			})
		}
	}
}

// assertNotRetried checks that a call with such a reply fails, is sent once and blocks no other invocation.
func assertNotRetried(t *testing.T, reply string, disconnects bool) {
	t.Helper()
	node := startNode(t, func(config nodeConfig) {
		operation := config.operation()
		operation["effect"] = "at_most_once"
		operation["give_up"] = 900
		operation["aim"] = 800
	})
	node.catalogue.setReply(func(call string) string {
		if disconnects {
			time.AfterFunc(20*time.Millisecond, func() { (<-node.catalogue.opened).Close() })
		}
		return strings.Replace(reply, "%s", call, 1)
	})
	d := node.dial()
	d.invoke(1, "call")
	assert.Equal(t, "51 on 1 ", d.answer())
	d.invoke(2, "fine")
	assert.Equal(t, "20 on 2 fine", d.answer())
	await(t, node.catalogue.requests)
	for len(node.catalogue.requests) > 0 {
		assert.NotEqual(t, "FETCH", (<-node.catalogue.requests)[0], "it may have run")
	}
}

// An executor that stalls within a line or floods costs the node a connection and no run.
func TestExecutorThatStallsWithinALineOrFloods(t *testing.T) {
	node := startNode(t, nil)
	d := node.dial()
	call := d.invoke(1, "hold")
	await(t, node.executor.commands)
	executorConn := await(t, node.executor.connections)
	node.executor.detach() // later notices are sent on the next connection
	fmt.Fprint(executorConn, "EXIT 1 "+call+" go")
	node.executor.notify("EXIT %d " + call + " good 3 4\r\nlate\r\n")
	fmt.Fprint(executorConn, strings.Repeat("y", 1<<20)) // a line without end
	await(t, node.executor.connections)
	assert.Equal(t, "20 on 1 late", d.answer())
	for range 20_000 {
		node.executor.notify("LOG %d any words\r\n")
	}
	d.invoke(2, "fine")
	assert.Equal(t, "20 on 2 fine", d.answer())
}
