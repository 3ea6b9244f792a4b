package node

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestCommandsAreResentAfterTheNoticesOfANewLink(t *testing.T) {
	sm := up(t)
	const other = "00000000000000aa"
	step(sm, invoke(1), invoke(2, "call", other))
	rejoined(sm)
	assert.Equal(t, []string{"20 on 1"}, answers(t, told(sm, "EXIT 1 "+callID+" good 12 1|r")))
	assert.Equal(t, "EXEC "+other+" catalogue 4\r\nbody\r\n", text(told(sm, "METERS "+sm.executor.syncTag()+" 0 0 0 0"), SendToExecutor))
	told(sm, fmt.Sprintf("METERS m%d 0 0 0 0", sm.executor.commands.sequence))
	assert.Empty(t, sm.executor.commands.unacknowledged, "the gauges acknowledge all commands before them")
}
