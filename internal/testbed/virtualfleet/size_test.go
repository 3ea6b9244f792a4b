package virtualfleet

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"topazpost/internal/fleet/envelope"
	"topazpost/internal/fleet/membership"
)

func TestMessageSizeIsThatOfTheEnvelope(t *testing.T) {
	number := rapid.OneOf(rapid.SampledFrom([]uint64{0, 1, 23, 24, 255, 256, 65_535, 65_536, 1<<32 - 1, 1 << 32, 1<<64 - 1}), rapid.Uint64())
	word := rapid.StringN(0, 40, 64)
	rapid.Check(t, func(t *rapid.T) {
		ids := func(most int) (list []membership.ID) {
			for range rapid.IntRange(0, most).Draw(t, "ids") {
				list = append(list, membership.ID(number.Draw(t, "id")))
			}
			return list
		}
		msg := membership.Message{Kind: membership.MessageKind(rapid.IntRange(1, 8).Draw(t, "kind")), From: membership.ID(number.Draw(t, "from")),
			Seq: uint32(number.Draw(t, "seq")), Digest: number.Draw(t, "digest"), LinkWanted: rapid.Bool().Draw(t, "neighbour"),
			Wanted: ids(30), Detail: word.Draw(t, "why")}
		for range rapid.IntRange(0, 30).Draw(t, "records") {
			r := membership.Record{Name: word.Draw(t, "name"), Address: word.Draw(t, "address"), StartedAt: int64(number.Draw(t, "born")),
				Incarnation: number.Draw(t, "inc"), RecordVersion: uint32(number.Draw(t, "ver")), Left: rapid.Bool().Draw(t, "left"), Links: ids(32)}
			r.Facts = membership.Facts{Version: word.Draw(t, "version"), Zone: word.Draw(t, "zone"), Level: uint8(number.Draw(t, "level")),
				DrainPhase: uint8(number.Draw(t, "beat")), NoExecutor: rapid.Bool().Draw(t, "use")}
			msg.Records = append(msg.Records, r)
		}
		for range rapid.IntRange(0, 30).Draw(t, "heads") {
			msg.Summaries = append(msg.Summaries, membership.RecordSummary{ID: membership.ID(number.Draw(t, "id")), Incarnation: number.Draw(t, "inc"), RecordVersion: uint32(number.Draw(t, "ver"))})
		}
		b, err := envelope.Seal(nil, 1, &msg)
		require.NoError(t, err)
		require.Equal(t, len(b), messageSize(&msg))
	})
}
