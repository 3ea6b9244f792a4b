package degradationlog

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestPrintSortsChangesOfSeveralNodesByTime(t *testing.T) {
	var timeline Timeline
	require.NoError(t, timeline.AddLog("late.log", strings.NewReader(sampleLog)))
	early := strings.ReplaceAll(strings.ReplaceAll(sampleLog, "10:00:09", "09:59:59"), `"n7"`, `"n8"`)
	require.NoError(t, timeline.AddLog("early.log", strings.NewReader(early+"\n{\"time\":\"2026-12-01T11:00:00Z\",\"message\":\"drained, leaving\"}")))
	var b strings.Builder
	require.NoError(t, timeline.Print(&b))
	rows := strings.Split(b.String(), "\n")
	assert.Contains(t, rows[1], "n8")
	assert.Contains(t, rows[1], "entered: load 120 %, limit 100 %, for 0.5 s")
	assert.Contains(t, rows[2], "n7")
	assert.Contains(t, b.String(), "drained")
}
