package degradationlog

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const log = `[0.01] {"level":"info","name":"n7","time":"2026-12-01T10:00:00Z","message":"listening"}
{"level":"info","plan":"p","from":"full","to":"a","cause":"entered","signal":"load","value":1.2,"threshold":1,"for_s":0.5,"lasted_s":9,"before":{"whole":40,"throttled":3},"time":"2026-12-01T10:00:09Z","message":"level changed"}
panic: something that is no line of ours
{"level":"info","plan":"p","from":"b","to":"full","cause":"idle","time":"2026-12-01T10:00:20Z","message":"level changed"}
{"level":"info","plan":"p","from":"full","to":"a","cau`

func TestTimelineIsRebuiltFromACutLog(t *testing.T) {
	var all Timeline
	require.NoError(t, all.Read("logs/x.log", strings.NewReader(log)))
	assert.Equal(t, NodeLog{Node: "n7", Changes: 2, Unreadable: 2, LastAt: all.Logs[0].LastAt, Level: "full", Gaps: 1}, all.Logs[0])
	assert.Equal(t, "a", all.Changes[0].To)
	assert.Equal(t, 40, all.Changes[0].Before.Whole)
}

func TestLogsOfSeveralNodesAreToldInOrderOfTime(t *testing.T) {
	var all Timeline
	require.NoError(t, all.Read("late.log", strings.NewReader(log)))
	early := strings.ReplaceAll(strings.ReplaceAll(log, "10:00:09", "09:59:59"), `"n7"`, `"n8"`)
	require.NoError(t, all.Read("early.log", strings.NewReader(early+"\n{\"time\":\"2026-12-01T11:00:00Z\",\"message\":\"drained, leaving\"}")))
	var b strings.Builder
	require.NoError(t, all.Print(&b))
	rows := strings.Split(b.String(), "\n")
	assert.Contains(t, rows[1], "n8")
	assert.Contains(t, rows[1], "entered: load 120 % past 100 % for 0.5 s")
	assert.Contains(t, rows[2], "n7")
	assert.Contains(t, b.String(), "drained")
}

// Whatever a log is cut at, what stands before the cut is told.
func TestCutAtEveryByte(t *testing.T) {
	for n := range len(log) {
		var all Timeline
		require.NoError(t, all.Read("n.log", strings.NewReader(log[:n])))
		assert.Equal(t, strings.Count(log[:n], "level changed\"}"), len(all.Changes))
	}
}
