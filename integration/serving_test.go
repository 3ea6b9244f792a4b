package integration

import (
	"debug/elf"
	"fmt"
	"slices"
	"syscall"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"topazpost/internal/protocol/frame"
)

// The fleet simulations preload a library into the node, which takes a build that the C library's loader starts.
func TestDeployedBuildIsLinkedAgainstTheCLibrary(t *testing.T) {
	f, err := elf.Open(program)
	require.NoError(t, err)
	defer f.Close()
	assert.True(t, slices.ContainsFunc(f.Progs, func(p *elf.Prog) bool { return p.Type == elf.PT_INTERP }), "no interpreter")
	needed, err := f.ImportedLibraries()
	require.NoError(t, err)
	assert.Contains(t, needed, "libc.so.6")
}

func TestInvocationsSucceedFailAndAreReported(t *testing.T) {
	node := startNode(t, nil)
	d := node.dial()
	d.invoke(1, "any\r\n\x00bytes")
	assert.Equal(t, "20 on 1 any\r\n\x00bytes", d.answer())
	d.invoke(2, "bad")
	assert.Equal(t, "51 on 2 ", d.answer())
	report := await(t, node.controlPlane.reports)
	assert.Contains(t, report, "PUT /v2/endpoints/n1 {\"condition\":")
	for report != `PUT /v2/endpoints/n1 {"condition":"Ready"}` {
		report = await(t, node.controlPlane.reports)
	}
}

func TestInvocationsSplitAndJoinedAnywhereAreAnsweredInAnyOrder(t *testing.T) {
	node := startNode(t, nil)
	d := node.dial()
	for stream := range uint32(32) {
		d.invoke(stream+1, fmt.Sprint("body ", stream+1))
	}
	got := map[string]bool{}
	for range 32 {
		got[d.answer()] = true
	}
	for stream := range 32 {
		assert.Contains(t, got, fmt.Sprintf("20 on %d body %d", stream+1, stream+1))
	}
	check := healthCheck()
	for i := range check {
		d.write(check[i : i+1])
	}
	f, _ := d.next()
	assert.Equal(t, []byte{frame.HealthStatus, frame.Healthy}, []byte{f.Type, f.Payload[0]})
}

func TestCallOutcomesFollowTheCatalogueReplies(t *testing.T) {
	node := startNode(t, nil)
	d := node.dial()
	call := d.invoke(1, "call")
	assert.Equal(t, "20 on 1 reply", d.answer())
	assert.Equal(t, []string{"FETCH", call}, await(t, node.catalogue.requests)[:2])
	node.catalogue.setReply(func(call string) string { return call + " FAULT\r\n" })
	d.invoke(2, "call")
	assert.Equal(t, "51 on 2 ", d.answer())
	node.catalogue.setReply(func(string) string { return disconnectReply })
	d.invoke(3, "call")
	assert.Equal(t, "51 on 3 ", d.answer(), "after a disconnect an idempotent call is retried, once")
	for range 4 { // two of FAULT, two of the disconnect
		await(t, node.catalogue.requests)
	}
	assert.Empty(t, node.catalogue.requests)
	node.catalogue.setReply(func(call string) string { return "no such words at all\r\n" })
	d.invoke(4, "call")
	assert.Equal(t, "51 on 4 ", d.answer())
	node.catalogue.setReply(func(call string) string { return call + " DATA 1\r\nx\r\n" })
	d.invoke(5, "call")
	assert.Equal(t, "20 on 5 x", d.answer())
}

func TestCallsFailWhileTheCatalogueIsDownAndRecover(t *testing.T) {
	node := startNode(t, nil)
	d := node.dial()
	address := node.catalogue.listener.Addr().String()
	node.catalogue.listener.Close()
	d.invoke(1, "call")
	assert.Equal(t, "51 on 1 ", d.answer())
	assert.Empty(t, node.catalogue.requests)
	node.catalogue.listenAt(address)
	d.invoke(2, "call")
	assert.Equal(t, "20 on 2 reply", d.answer())
}

func TestAbandonedInvocationCancelsItsCallInFlight(t *testing.T) {
	node := startNode(t, nil)
	node.catalogue.setReply(func(string) string { return "" })
	d := node.dial()
	d.invoke(1, "call")
	await(t, node.catalogue.requests)
	d.write(frame.Append(nil, frame.Cancel, 1, nil))
	assert.Equal(t, await(t, node.catalogue.opened), await(t, node.catalogue.closed))
}

func TestExecutorConnectsLateAndReconnects(t *testing.T) {
	node := startNodeWithLateExecutor(t)
	d := node.dial()
	d.write(healthCheck())
	f, _ := d.next()
	assert.Equal(t, byte(frame.Unhealthy), f.Payload[0], "no executor yet")
	close(node.executor.up)
	executorConn := await(t, node.executor.connections)
	node.awaitLog("executor is up")
	call := d.invoke(1, "hold")
	await(t, node.executor.commands)
	node.executor.detach()
	executorConn.Close()
	node.executor.notify("EXIT %d " + call + " good 3 4\r\nlate\r\n")
	assert.Equal(t, "20 on 1 late", d.answer())
	fmt.Fprint(await(t, node.executor.connections), "what is this\r\n")
	await(t, node.executor.connections)
	d.invoke(2, "again")
	assert.Equal(t, "20 on 2 again", d.answer())
}

func TestExecutorConnectionIsRetriedAfterRefusal(t *testing.T) {
	node := startNode(t, nil)
	address := node.executor.listener.Addr().String()
	executorConn := await(t, node.executor.connections)
	node.executor.listener.Close()
	executorConn.Close()
	node.awaitLog("connection refused")
	node.executor.listenAt(address)
	await(t, node.executor.connections)
	d := node.dial()
	d.invoke(1, "fine")
	assert.Equal(t, "20 on 1 fine", d.answer())
}

func TestInvocationsAreRejectedWhenMemoryIsFull(t *testing.T) {
	node := startNode(t, func(config nodeConfig) {
		config.familyInfo()["memory_kb"] = 150
	})
	d := node.dial()
	for stream := range uint32(32) {
		d.invoke(stream+1, "hold")
	}
	assert.Regexp(t, `^50 on \d+ $`, d.answer())
}

func TestSuspendedProcessLosesNoResult(t *testing.T) {
	node := startNode(t, nil)
	node.catalogue.setReply(func(string) string { return "" })
	d := node.dial()
	run := d.invoke(1, "hold")
	call := d.invoke(2, "call")
	await(t, node.executor.commands)
	await(t, node.catalogue.requests)
	node.signal(syscall.SIGSTOP)
	node.executor.notify("EXIT %d " + run + " good 3 5\r\nstill\r\n")
	fmt.Fprint(await(t, node.catalogue.opened), call+" DATA 5\r\nreply\r\n")
	d.invoke(3, "meanwhile")
	node.signal(syscall.SIGCONT)
	got := []string{d.answer(), d.answer(), d.answer()}
	assert.ElementsMatch(t, []string{"20 on 1 still", "20 on 2 reply", "20 on 3 meanwhile"}, got)
}
