package degradationlog

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const sampleLog = `[0.01] {"level":"info","name":"n7","time":"2026-12-01T10:00:00Z","message":"listening"}
{"level":"info","plan":"p","from":"full","to":"a","cause":"entered","signal":"load","value":1.2,"threshold":1,"for_s":0.5,"lasted_s":9,"before":{"whole":40,"throttled":3},"time":"2026-12-01T10:00:09Z","message":"level changed"}
panic: something that is no line of ours
{"level":"info","plan":"p","from":"b","to":"full","cause":"idle","time":"2026-12-01T10:00:20Z","message":"level changed"}
{"level":"info","plan":"p","from":"full","to":"a","cau`

func TestTimelineIsRebuiltFromATruncatedLog(t *testing.T) {
	var all Timeline
	require.NoError(t, all.AddLog("logs/x.log", strings.NewReader(sampleLog)))
	assert.Equal(t, NodeLog{Node: "n7", Changes: 2, Unreadable: 2, LastAt: all.Logs[0].LastAt, Level: "full", Gaps: 1}, all.Logs[0])
	assert.Equal(t, "a", all.Changes[0].To)
	assert.Equal(t, 40, all.Changes[0].Before.Whole)
}

// Wherever a log is cut, the changes before the cut are read.
func TestLogTruncatedAtAnyByteIsRead(t *testing.T) {
	for n := range len(sampleLog) {
		var all Timeline
		require.NoError(t, all.AddLog("n.log", strings.NewReader(sampleLog[:n])))
		assert.Equal(t, strings.Count(sampleLog[:n], "level changed\"}"), len(all.Changes))
	}
}

// A line that is too long is passed over as unreadable; the next one is read.
func TestLineThatIsTooLongIsPassedOver(t *testing.T) {
	var all Timeline
	text := `{"message":"listening","name":"` + strings.Repeat("x", 3*maxLineBytes) + "\"}\n" + sampleLog
	require.NoError(t, all.AddLog("n.log", strings.NewReader(text)))
	assert.Equal(t, "n7", all.Logs[0].Node)
	assert.Equal(t, 3, all.Logs[0].Unreadable)
	assert.Len(t, all.Changes, 2)
	assert.Equal(t, 3, all.Changes[0].Line)
}
