package degradationlog

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// sampleLog has a line that is not JSON, a change that does not start from the level before it, and a last line that is cut off.
const sampleLog = `[0.01] {"level":"info","name":"n7","time":"2026-12-01T10:00:00Z","message":"listening"}
{"level":"info","plan":"p","from":"full","to":"a","cause":"entered","signal":"load","value":1.2,"threshold":1,"for_s":0.5,"lasted_s":9,"before":{"whole":40,"throttled":3},"time":"2026-12-01T10:00:09Z","message":"level changed"}
panic: a line that is not JSON
{"level":"info","plan":"p","from":"b","to":"full","cause":"idle","time":"2026-12-01T10:00:20Z","message":"level changed"}
{"level":"info","plan":"p","from":"full","to":"a","cau`

// Invalid lines must be counted and must not hide the changes around them.
func TestAddLogAcceptsATruncatedLog(t *testing.T) {
	var timeline Timeline
	require.NoError(t, timeline.AddLog("logs/x.log", strings.NewReader(sampleLog)))
	assert.Equal(t, NodeLog{Node: "n7", Changes: 2, Unreadable: 2, LastAt: timeline.Logs[0].LastAt, Level: "full", MissingChanges: 1}, timeline.Logs[0])
	assert.Equal(t, "a", timeline.Changes[0].To)
	assert.Equal(t, 40, timeline.Changes[0].Before.Whole)
}

// A log that is cut off at any byte must yield all changes before the cut.
func TestAddLogReadsAllChangesBeforeTheCut(t *testing.T) {
	for n := range len(sampleLog) {
		var timeline Timeline
		require.NoError(t, timeline.AddLog("n.log", strings.NewReader(sampleLog[:n])))
		assert.Equal(t, strings.Count(sampleLog[:n], "level changed\"}"), len(timeline.Changes))
	}
}

// A line that is too long must count as unreadable, without the loss of the lines after it.
func TestAddLogSkipsTooLongLine(t *testing.T) {
	var timeline Timeline
	text := `{"message":"listening","name":"` + strings.Repeat("x", 3*maxLineBytes) + "\"}\n" + sampleLog
	require.NoError(t, timeline.AddLog("n.log", strings.NewReader(text)))
	assert.Equal(t, "n7", timeline.Logs[0].Node)
	assert.Equal(t, 3, timeline.Logs[0].Unreadable)
	assert.Len(t, timeline.Changes, 2)
	assert.Equal(t, 3, timeline.Changes[0].Line)
}
