package capacity

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"topazpost/internal/testbed/hollow"
)

func TestAFleetIsAtRestOnceItsTrafficIsLevelAndNoNews(t *testing.T) {
	second := func(bytes, messages int64) hollow.Second {
		return hollow.Second{Sent: map[string]hollow.Traffic{hollow.KindNames[hollow.Datagram]: {Bytes: bytes, Messages: messages}}}
	}
	level := func(s hollow.Second) []hollow.Second { return []hollow.Second{s, s, s, s} }
	idle, news := second(1_268, 32), second(36_300, 73) // of a node at 1,300 nodes, on a machine that can carry no more of a herd's news
	assert.True(t, atRest(level(idle)))
	assert.False(t, atRest(level(idle)[1:]), "too short")
	assert.False(t, atRest(level(news)), "level, but news")
	assert.False(t, atRest(append(level(idle)[1:], second(2_000, 50))), "not level")
	assert.True(t, atRest(append(level(news), level(idle)...)))
}
