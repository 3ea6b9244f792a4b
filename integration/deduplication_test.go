package integration

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// startDeduplicatingNode starts a node without a store, whose one operation is deduplicated for a window. The cached entry
// of one run takes so much of the executor's memory that a second run at a time would be rejected.
func startDeduplicatingNode(t *testing.T, window time.Duration) *testNode {
	t.Helper()
	return startNode(t, func(config nodeConfig) {
		operation := config.operation()
		operation["effect"] = "deduplicated"
		operation["window"] = window.Milliseconds()
		config.familyInfo()["entry_kb"] = 4_000
	})
}

func TestDuplicateWaitsForTheRunInFlightOrGetsItsCachedResult(t *testing.T) {
	node := startDeduplicatingNode(t, time.Minute)
	first, second := node.dial(), node.dial()
	first.invokeWithToken(1, "a", "hold")
	run := await(t, node.executor.commands)
	second.invokeWithToken(1, "a", "hold") // on another connection, while it runs
	second.invokeWithToken(2, "b", "other")
	assert.Equal(t, "20 on 2 other", second.answer(), "the duplicate before it was read")
	node.executor.notify("EXIT %d " + run[1] + " good 3 2\r\nok\r\n")
	assert.Equal(t, "20 on 1 ok", first.answer())
	assert.Equal(t, "20 on 1 ok", second.answer())
	third := node.dial()
	third.invokeWithToken(1, "a", "hold")
	assert.Equal(t, "20 on 1 ok", third.answer())
	first.invokeWithToken(2, "a", "another body")
	assert.Equal(t, "51 on 2 ", first.answer(), "a token of another body")
	assert.Equal(t, []string{"other"}, node.executor.startedBodies(), "beside the first run")
}

func TestDuplicateGetsTheResultAfterTheFirstCallerDisconnected(t *testing.T) {
	node := startDeduplicatingNode(t, time.Minute)
	first, second := node.dial(), node.dial()
	first.invokeWithToken(1, "a", "hold")
	run := await(t, node.executor.commands)
	first.conn.Close()
	second.invokeWithToken(1, "a", "hold")
	second.invokeWithToken(2, "b", "other")
	assert.Equal(t, "20 on 2 other", second.answer())
	node.executor.notify("EXIT %d " + run[1] + " good 3 2\r\nok\r\n")
	assert.Equal(t, "20 on 1 ok", second.answer())
	assert.Equal(t, []string{"other"}, node.executor.startedBodies())
}

func TestDuplicateRunsAgainOnlyAfterItsWindow(t *testing.T) {
	const window = 700 * time.Millisecond
	node := startDeduplicatingNode(t, window)
	operation := node.config.operation()
	operation["give_up"], operation["aim"] = 800, 600 // a result may be cached for so much longer than its window
	node.signal(syscall.SIGKILL)
	_ = await(t, node.exited) // the error of the kill
	node.launch()
	d := node.dial()
	firstSent := time.Now()
	d.invokeWithToken(1, "a", "result")
	assert.Equal(t, "20 on 1 result", d.answer())
	assert.Len(t, node.executor.startedBodies(), 1)
	for stream := uint32(2); ; stream++ {
		sent := time.Now()
		d.invokeWithToken(stream, "a", "result")
		assert.Equal(t, fmt.Sprintf("20 on %d result", stream), d.answer())
		if len(node.executor.startedBodies()) > 0 {
			assert.GreaterOrEqual(t, time.Since(firstSent), window)
			return
		}
		assert.Less(t, sent.Sub(firstSent), 10*window, "its result expires")
		time.Sleep(5 * time.Millisecond)
	}
}

// In a drain, and after intake has stopped, a duplicate of a completed run is never rejected as if it had not run.
func TestDuplicateOfACompletedRunIsNeverRejectedInADrain(t *testing.T) {
	node := startDeduplicatingNode(t, time.Minute)
	d, other := node.dial(), node.dial()
	d.invokeWithToken(1, "a", "result")
	assert.Equal(t, "20 on 1 result", d.answer())
	other.invokeWithToken(1, "c", "first")
	assert.Equal(t, "20 on 1 first", other.answer())
	node.signal(syscall.SIGTERM)
	node.awaitLog("drain notice")
	d.invokeWithToken(2, "a", "result")
	assert.Equal(t, "20 on 2 result", d.answer(), "intake is open still")
	d.awaitNoMore()
	d.invokeWithToken(3, "a", "result") // it crosses
	assert.Regexp(t, `^(20 on 3 result|51 on 3 )$`, d.answer())
	other.awaitNoMore()
	other.invokeWithToken(2, "b", "never ran")
	assert.Equal(t, "50 on 2 ", other.answer())
	d.assertClosed()
	other.assertClosed()
	assert.NoError(t, await(t, node.exited))
	assert.Equal(t, []string{"result", "first"}, node.executor.startedBodies())
}

// Without a store a new incarnation does not know the tokens of the last one: they run once in it too.
func TestDuplicateAfterARestartRunsOncePerIncarnation(t *testing.T) {
	node := startDeduplicatingNode(t, time.Minute)
	d := node.dial()
	d.invokeWithToken(1, "a", "result")
	assert.Equal(t, "20 on 1 result", d.answer())
	node.signal(syscall.SIGKILL)
	_ = await(t, node.exited) // the error of the kill
	node.executor.reset("old")
	node.launch()
	for range 2 {
		d = node.dial()
		d.invokeWithToken(1, "a", "result")
		assert.Equal(t, "20 on 1 result", d.answer())
	}
	assert.Equal(t, []string{"result", "result"}, node.executor.startedBodies(), "one run in each incarnation")
}

func TestUnknownEffectsAndMissingTokensAreReported(t *testing.T) {
	node := startDeduplicatingNode(t, time.Minute)
	d := node.dial()
	d.invoke(1, "without a token")
	assert.Equal(t, "51 on 1 ", d.answer())
	assert.Contains(t, node.awaitLog("can't be used"), "field dedupe")
	operation := node.config.operation()
	operation["effect"] = "once"
	node.writeConfig()
	out, err := runProgram("check", node.configPath)
	assert.Error(t, err)
	assert.Contains(t, out, `grades.0.effect: "once" is not known`)
}
