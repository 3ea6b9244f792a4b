package claims

import (
	"fmt"
	"testing"
)

func BenchmarkClaimStartEnd(b *testing.B) {
	table := NewTable()
	table.Apply(&Command{Kind: CommandAdvanceTime, Duration: 1, MaxTableBytes: 1 << 40})
	n := 0
	for b.Loop() {
		n++
		c := claimCommand(nodeA, fmt.Sprint(n))
		fence := table.Apply(c).Fence
		table.Apply(&Command{Kind: CommandStart, Sender: nodeA, Key: c.Key, Fence: fence})
		table.Apply(&Command{Kind: CommandEnd, Sender: nodeA, Key: c.Key, Fence: fence, Result: []byte("result")})
	}
	entries, bytes := table.Size()
	b.ReportMetric(float64(bytes)/float64(entries), "bytes/claim")
}

func BenchmarkClient(b *testing.B) {
	client := connectedClient()
	for b.Loop() {
		claim := sentCommands(stepAfter(client, 1, claimRequest("t"), Input{Kind: RequestStart, Key: testKey("t")}))
		start := sentCommands(stepAfter(client, 1, verdictInput(claim[0].Seq, AnswerGranted, 3)))
		stepAfter(client, 1, verdictInput(start[0].Seq, AnswerGranted, 3))
		end := sentCommands(stepAfter(client, 1, Input{Kind: ReportEnd, Key: testKey("t")}))
		stepAfter(client, 1, verdictInput(end[0].Seq, AnswerDone, 0))
		if len(client.order) > 1_000 {
			client.scan()
		}
	}
}
