package configsync

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"topazpost/internal/fleet/envelope"
)

// TestMessagesFit seals and opens the largest messages. They must fit a datagram or an answer, and their estimated size must not be less
// than the encoded one.
func TestMessagesFit(t *testing.T) {
	most := Revision{1 << 60, Digest{A: 1<<64 - 1, B: 1<<64 - 1}}
	head := RolloutState{All: most, Canary: most, Newest: 1 << 60, Stopped: true, StoppedBy: strings.Repeat("w", maxCallerNameBytes), StopReason: strings.Repeat("y", maxReasonBytes)}
	table := NewTable()
	for k := range 200 {
		table.Apply(1, putOn(uint64(k), uint64(k+1), tenant(k, fmt.Sprintf(`{"rate":%d}`, k)), tenant(k+1, `{"burst":1}`)))
	}
	c := fullContent(t, 300, 10_000)
	piece := &Message{Kind: MessageContent, Has: most, Records: wireRecords(table.log, maxPieceBytes, false)}
	index := &Message{Kind: MessageContent, Has: most}
	appendDifferingPages(c.index(), nil, index)
	r := NewReplicator(0, ReplicatorConfig{Name: "n"}, InitialState{Content: c})
	r.assembly.index = (&Content{}).index()
	fetch := &Message{Kind: MessageFetch, Has: most, Want: most}
	r.requestMissing(fetch)
	blocks := &Message{Kind: MessageContent, Has: most}
	answerFrom := NewReplicator(0, ReplicatorConfig{Name: "m"}, InitialState{Content: c})
	r = NewReplicator(0, ReplicatorConfig{Name: "n"}, InitialState{Content: &Content{}})
	r.assembly.index = c.index()
	wanted := &Message{Kind: MessageFetch, Has: most, Want: most}
	r.requestMissing(wanted)
	answerFrom.serveBlocks(wanted, blocks)
	require.Len(t, wanted.Wanted, maxWantedBlocks)
	require.NotEmpty(t, blocks.Blocks)
	g := newSuppliers(t)
	two := g.put(t, scattered(g.base)...)
	r = g.fetcher()
	r.assembly.index = g.newest.index()
	parts := &Message{Kind: MessageFetch, Has: g.first, Want: two}
	asChanges := &Message{Kind: MessageContent, Has: most}
	r.requestMissing(parts)
	g.nodes["a"].serveBlocks(parts, asChanges)
	require.NotEmpty(t, asChanges.Blocks[0].Changes)
	for _, m := range []struct {
		*Message
		most int
	}{
		{&Message{Kind: MessageAnnounce, Head: head.announced(), Has: most, Records: wireRecords(table.log, maxEagerBytes, false)}, envelope.MaxDatagramBytes},
		{&Message{Kind: MessageReport, Seq: 1 << 31, Has: most, Refused: most, Why: strings.Repeat("y", maxReasonBytes), Age: 1 << 60}, envelope.MaxDatagramBytes},
		{&Message{Kind: MessageConfirm, Seq: 1 << 31, Head: head}, envelope.MaxDatagramBytes},
		{fetch, 64 << 10}, {wanted, 64 << 10}, {piece, 64 << 10}, {index, 64 << 10}, {blocks, 64 << 10},
		{parts, 64 << 10}, {asChanges, 64 << 10},
	} {
		text, err := envelope.Seal(nil, 1, m.Message)
		require.NoError(t, err)
		t.Logf("kind %d: %d bytes, estimated %d, at the most %d", m.Kind, len(text), m.size(), m.most)
		require.LessOrEqual(t, len(text), m.most)
		require.LessOrEqual(t, len(text)+28, m.size(), "the estimate covers the headers of IP and UDP")
		var again Message
		require.NoError(t, envelope.Open(text, 1, &again))
		require.Equal(t, m.Has, again.Has)
		require.Len(t, again.Records, len(m.Records))
		require.Len(t, again.Blocks, len(m.Blocks))
	}
}

// A peer floods a node with versions that no replica confirms. The node must still get the confirmed version, with few reports.
func TestInvalidAnnouncementsAreIgnored(t *testing.T) {
	r := NewReplicator(1, ReplicatorConfig{Name: "n", Seed: 1}, InitialState{Source: "file"})
	valid := &Content{}
	valid, err := valid.Apply([]Item{tenant(1, "1")})
	require.NoError(t, err)
	head := RolloutState{All: Revision{1, valid.Digest()}, Canary: Revision{1, valid.Digest()}, Newest: 1}
	reports := 0
	replicas := 0
	inputs := []Input{{Kind: ViewChanged, View: &View{Neighbours: []string{"faulty", "b"}, Replicas: []string{"s", "t"}}}}
	for now := int64(1); now < 20_000*ms; now += 10 * ms {
		effects, _ := r.Step(now, inputs)
		inputs = nil
		for _, e := range effects {
			switch {
			case e.Kind == Send && e.Message.Kind == MessageReport:
				reports++
				inputs = append(inputs, Input{Kind: DatagramReceived, From: e.To, Message: &Message{Kind: MessageConfirm, Seq: e.Message.Seq, Head: head}})
			case e.Kind == Exchange && e.To == "faulty":
				inputs = append(inputs, Input{Kind: ExchangeAnswered, Link: e.Link, Message: &Message{Kind: MessageContent, Records: []Record{
					{Version: 1, Digest: head.All.Digest, Changes: []Item{tenant(2, "1")}}}}})
			case e.Kind == Exchange:
				replicas++
				inputs = append(inputs, Input{Kind: ExchangeAnswered, Link: e.Link, Message: &Message{Kind: MessageContent, Records: []Record{
					{Version: 1, Digest: head.All.Digest, Changes: []Item{tenant(1, "1")}}}}})
			case e.Kind == ApplyVersion:
				require.Equal(t, valid.Digest(), e.New.Digest())
				inputs = append(inputs, Input{Kind: VersionApplied, Revision: e.Revision})
			}
		}
		for range 20 {
			invalid := Revision{uint64(2 + now/(10*ms)), Digest{A: uint64(now)}}
			inputs = append(inputs, Input{Kind: DatagramReceived, From: "faulty", Message: &Message{Kind: MessageAnnounce, Head: RolloutState{All: invalid, Canary: invalid}, Has: invalid}},
				Input{Kind: DatagramReceived, From: "faulty", Message: &Message{Kind: MessageConfirm, Head: RolloutState{All: invalid, Canary: invalid}}})
		}
	}
	require.Equal(t, head.All, r.Revision())
	require.Positive(t, replicas)
	require.Positive(t, r.Counters.InvalidResponses)
	require.Less(t, reports, 40, "a flood causes few reports: the backoff of the faulty peer grows")
}
