package claims

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestTimeAdvancesOncePerMeasuredSpan(t *testing.T) {
	table := NewTable()
	table.Apply(claimCommand(nodeA, "t"))
	table.Apply(&Command{Kind: CommandAdvanceTime, MeasuredFrom: 0, Duration: 300 * ms})
	table.Apply(&Command{Kind: CommandAdvanceTime, MeasuredFrom: 0, Duration: 300 * ms})
	assert.Equal(t, 300*ms, table.Time(), "a span that two members measured counts once")
	table.Apply(&Command{Kind: CommandAdvanceTime, MeasuredFrom: 300 * ms, Duration: 3_000 * ms})
	assert.Equal(t, 300*ms+MaxTimeStep, table.Time(), "a longer span counts as MaxTimeStep")
	require.NotNil(t, table.Find(testKey("t")))
	advanceTime(table, 4_200*ms)
	assert.Nil(t, table.Find(testKey("t")), "a claim that was not started expires at its due time")
	table, _ = startedTable()
	advanceTime(table, 60_000*ms+MaxTimeStep-1)
	require.NotNil(t, table.Find(testKey("t")), "a started claim is kept for its window")
	advanceTime(table, ms)
	assert.Nil(t, table.Find(testKey("t")))
}

func TestFullTableAnswersWithTheTimeToItsFirstExpiry(t *testing.T) {
	table := NewTable()
	table.Apply(&Command{Kind: CommandAdvanceTime, Duration: 1, MaxTableBytes: 1_000})
	answers := map[Answer]int{}
	for i := range 6 {
		v := table.Apply(claimCommand(nodeA, fmt.Sprint(i)))
		answers[v.Answer]++
		if v.Answer == AnswerTableFull {
			assert.Equal(t, 5_000*ms, v.RetryAfter)
		}
	}
	assert.Equal(t, map[Answer]int{AnswerGranted: 3, AnswerTableFull: 3}, answers)
	_, bytes := table.Size()
	assert.LessOrEqual(t, bytes, int64(1_000))
}
