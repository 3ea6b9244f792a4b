package node

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against commands that are lost with a broken link, sent again although the invocation has ended, or kept after the executor has
// acknowledged them.
func TestCommandsAreResentAfterTheNoticesOfANewLink(t *testing.T) {
	sm := newServingNode(t)
	const other = "00000000000000aa"
	step(sm, invocationInput(1), invocationInput(2, "call", other))
	reconnectExecutor(sm)
	assert.Equal(t, []string{"20 on 1"}, framesSent(t, executorSends(sm, "EXIT 1 "+testInvocationID+" good 12 1|r")))
	assert.Equal(t, "EXEC "+other+" catalogue 4\r\nbody\r\n", bytesSent(executorSends(sm, "METERS "+sm.executor.syncTag()+" 0 0 0 0"), SendToExecutor))
	executorSends(sm, fmt.Sprintf("METERS m%d 0 0 0 0", sm.executor.commands.sequence))
	assert.Empty(t, sm.executor.commands.unacknowledged, "the gauges acknowledge all commands before them")
}
