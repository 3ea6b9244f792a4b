package node

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestCommandsAreResentOnceTheNoticesOfANewLinkAreReceived(t *testing.T) {
	r := up(t)
	const other = "00000000000000aa"
	step(r, invoke(1), invoke(2, "call", other))
	rejoined(r)
	assert.Equal(t, []string{"20 on 1"}, answers(t, told(r, "EXIT 1 "+callID+" good 12 1|r")))
	assert.Equal(t, "EXEC "+other+" catalogue 4\r\nbody\r\n", text(told(r, "METERS "+r.executor.syncTag()+" 0 0 0 0"), SendToExecutor))
	told(r, fmt.Sprintf("METERS m%d 0 0 0 0", r.executor.commands.sequence))
	assert.Empty(t, r.executor.commands.unread, "the gauges acknowledge all commands before them")
}
