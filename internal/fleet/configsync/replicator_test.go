package configsync

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// chain is a table with some versions, all put at once.
func chain(versions int) *Table {
	x := NewTable()
	for k := range versions {
		x.Apply(1, putOn(uint64(k), uint64(k+1), tenant(k, "1")))
	}
	return x
}

func markOf(x *Table, version int) Revision {
	return Revision{uint64(version), x.log[version-1].Digest}
}

// vouchedFor is what a seat says, as an input.
func vouchedFor(all, first Revision) Input {
	return Input{Kind: Came, From: "s", Message: &Message{Kind: Vouch, Head: HeadRevision{All: all, First: first, Newest: first.Version}}}
}

func told(from string, head HeadRevision, has Revision, records ...Record) Input {
	return Input{Kind: Came, From: from, Message: &Message{Kind: Tell, Head: head, Has: has, Records: records}}
}

// holding is a holder with two neighbours and two seats; it isn't of any first stage.
func holding() *Replicator {
	h := NewReplicator(0, ReplicatorConfig{Name: "n", Seed: 1}, InitialState{})
	v := &View{Neighbours: []string{"a", "b"}, Seats: []string{"s", "t"}}
	for k := range 50 {
		v.Zone = append(v.Zone, fmt.Sprint("z", k))
	}
	h.Step(1, []Input{{Kind: Viewed, View: v}})
	return h
}

func pick(effects []Effect, kind EffectKind) (list []Effect) {
	for _, e := range effects {
		if e.Kind == kind {
			list = append(list, e)
		}
	}
	return list
}

func TestWhatIsInForceForAllIsTakenFirst(t *testing.T) {
	x, h := chain(2), holding()
	one, two := markOf(x, 1), markOf(x, 2)
	h.Step(ms, []Input{told("a", HeadRevision{}, one, x.log[0].wire()), vouchedFor(Revision{}, one)})
	require.Equal(t, one, h.ready)
	effects, _ := h.Step(2*ms, []Input{told("a", HeadRevision{}, two, x.log[1].wire()), vouchedFor(one, two)})
	require.Len(t, pick(effects, Take), 1)
	require.Equal(t, one, pick(effects, Take)[0].Mark)
	effects, _ = h.Step(3*ms, []Input{{Kind: Took, Mark: one}})
	require.Equal(t, one, h.Revision())
	require.Empty(t, pick(effects, Take), "the next one is for the first stage only")
	require.Equal(t, two, h.ready)
}

func TestOlderHeadsChangeNothing(t *testing.T) {
	x, h := chain(2), holding()
	one, two := markOf(x, 1), markOf(x, 2)
	h.Step(ms, []Input{vouchedFor(two, two)})
	h.Step(2*ms, []Input{vouchedFor(one, two), vouchedFor(one, one)})
	require.Equal(t, two, h.Status(3*ms).Head.All)
	effects, _ := h.Step(3*ms, []Input{vouchedFor(Revision{2, Digest{A: 1}}, Revision{2, Digest{A: 1}})})
	require.Len(t, pick(effects, Remark), 1, "a version has one digest")
	require.Equal(t, two, h.Status(3*ms).Head.All)
}

func TestSomeOfTheWayIsTakenFromWhoHasIt(t *testing.T) {
	x, h := chain(3), holding()
	two, three := markOf(x, 2), markOf(x, 3)
	h.Step(ms, []Input{vouchedFor(Revision{}, two)})
	effects, _ := h.Step(500*ms, []Input{vouchedFor(Revision{}, three), told("a", HeadRevision{}, two)})
	ask := pick(effects, Exchange)
	require.Len(t, ask, 1)
	require.Equal(t, "a", ask[0].To)
	piece := &Message{Kind: Piece, Has: two, Records: wireRecords(x.log[:2], maxPieceBytes, false)}
	h.Step(501*ms, []Input{{Kind: Answered, Link: ask[0].Link, Message: piece}})
	require.Equal(t, two, h.ready)
}

// TestARefusalIsToldToOneSeatAfterAnother wants that a seat which dies after it heard of a refusal isn't the only one to know.
func TestARefusalIsToldToOneSeatAfterAnother(t *testing.T) {
	x, h := chain(1), holding()
	h.view.Zone, h.canary.version = nil, 0 // drawn: it is the only one
	one := markOf(x, 1)
	effects, wake := h.Step(ms, []Input{told("a", HeadRevision{}, one, x.log[0].wire()), vouchedFor(Revision{}, one)})
	require.True(t, pick(effects, Take)[0].First)
	in := []Input{{Kind: Took, Mark: one, Why: "no such effect"}}
	seats := map[string]int{}
	for now := 2 * ms; now < 3_000*ms; now = min(wake, now+50*ms) {
		effects, wake = h.Step(now, in)
		in = nil
		for _, e := range pick(effects, Send) {
			if e.Message.Kind == Report && e.Message.Refused == one {
				seats[e.To]++
				answer := vouchedFor(Revision{}, one)
				answer.From, answer.Message.Seq = e.To, e.Message.Seq
				in = append(in, answer)
			}
		}
	}
	require.Positive(t, seats["s"])
	require.Positive(t, seats["t"])
	require.Equal(t, Revision{}, h.Revision(), "the last good one stays in force")
}

// TestAHerdDoesntKeepASeatFromItsNeighbours has many strangers report and ask for content, and a neighbour between them.
func TestAHerdDoesntKeepASeatFromItsNeighbours(t *testing.T) {
	h, c := NewReplicator(0, ReplicatorConfig{Name: "s", Seed: 1}, InitialState{}), full(t, 100, 3_000)
	mark := Revision{1, c.Digest()}
	h.Step(1, []Input{{Kind: Viewed, View: &View{Neighbours: []string{"near"}}},
		{Kind: Ordered, Agreed: &Agreed{Head: HeadRevision{All: mark, First: mark, Newest: 1}, All: c, First: c, Newest: c}}})
	near, all := 0, 0
	const seconds = 20
	wanted := &Message{Kind: Fetch, Want: mark, Sums: (&Content{}).pageSums()}
	for now := 20 * ms; now < seconds*1_000*ms; now += 20 * ms {
		var in []Input
		for k := range 10 {
			from := fmt.Sprint("far", (int(now/(20*ms))*10+k)%500)
			in = append(in, Input{Kind: Came, From: from, Message: &Message{Kind: Report}}, Input{Kind: Asked, From: from, Link: k + 2, Message: wanted})
		}
		if now%(1_000*ms) == 500*ms {
			in = append(in, Input{Kind: Asked, From: "near", Link: 1, Message: wanted})
		}
		effects, _ := h.Step(now, in)
		for _, e := range pick(effects, Reply) {
			if size := e.Message.size(); e.Message.hasContent() {
				if all += size; e.Link == 1 {
					near++
				}
			}
		}
	}
	t.Logf("%d bytes of content in %d s; %d answers of 20 to the neighbour", all, seconds, near)
	require.GreaterOrEqual(t, near, 5, "a neighbour asks once a second, and what it gets is 16 kB")
	require.LessOrEqual(t, all, seconds*bytesPerSecond+burstBytes+maxBlockBytes)
	one := 0
	for now := seconds * 1_000 * ms; now < 2*seconds*1_000*ms; now += 10 * ms { // one that asks always, alone
		effects, _ := h.Step(now, []Input{{Kind: Asked, From: "greedy", Link: 1, Message: wanted}})
		if e := pick(effects, Reply); e[0].Message.hasContent() {
			one += e[0].Message.size()
		}
	}
	require.Positive(t, one)
	require.LessOrEqual(t, one, seconds*peerBytesPerSecond+burstBytes+maxBlockBytes)
}

// rumoured has neighbours tell of a version for some seconds, which seats don't know; it says how many reports were sent.
func rumoured(h *Replicator, head, rumour HeadRevision, seconds int64, current bool) (reports int) {
	var in []Input
	for now := ms; now < seconds*1_000*ms; now += 10 * ms {
		if now%(500*ms) == ms {
			in = append(in, told("a", rumour, rumour.First), told("b", rumour, rumour.First))
		}
		effects, _ := h.Step(now, in)
		in = nil
		for _, e := range pick(effects, Send) {
			if e.Message.Kind == Report {
				reports++
				answer := Input{Kind: Came, From: e.To, Message: &Message{Kind: Vouch, Seq: e.Message.Seq, Head: head, Current: current}}
				twice := *answer.Message
				in = append(in, answer, Input{Kind: Came, From: e.To, Message: &twice})
			}
		}
	}
	return reports
}

// TestSoundPeersAreNotSetAsideWhileSeatsLag has all seats back with what they knew before, and in touch with no majority.
func TestSoundPeersAreNotSetAsideWhileSeatsLag(t *testing.T) {
	x, h := chain(3), holding()
	one, three := markOf(x, 1), markOf(x, 3)
	h.Step(0, []Input{vouchedFor(one, one), told("a", HeadRevision{}, one, x.log[0].wire())})
	h.Step(1, []Input{{Kind: Took, Mark: one}})
	require.Equal(t, one, h.Revision())
	reports := rumoured(h, HeadRevision{All: one, First: one}, HeadRevision{All: one, First: three}, 60, false)
	require.Zero(t, h.Counters.InvalidResponses)
	require.Less(t, reports, 60, "seats are asked less and less often")
	effects, _ := h.Step(60_001*ms, []Input{vouchedFor(one, three), told("a", HeadRevision{All: one, First: three}, three, wireRecords(x.log[1:], maxEagerBytes, true)...)})
	require.Empty(t, pick(effects, Take))
	require.Equal(t, three, h.ready, "and neighbours are believed as soon as a seat vouches")
}

// TestARumourThatIsOnItsWayIsNoLie has seats that are in touch with the council learn of it some seconds later than neighbours.
func TestARumourThatIsOnItsWayIsNoLie(t *testing.T) {
	x, h := chain(2), holding()
	one, two := markOf(x, 1), markOf(x, 2)
	rumoured(h, HeadRevision{All: one, First: one}, HeadRevision{All: one, First: two}, unconfirmedGracePeriod/(1_000*ms), true)
	require.Zero(t, h.Counters.InvalidResponses)
}

// TestWhoTellsOfWhatNobodyAgreedOnIsSetAside has seats that know all deny it, and one with another content for a known version.
func TestWhoTellsOfWhatNobodyAgreedOnIsSetAside(t *testing.T) {
	x, h := chain(2), holding()
	one, two := markOf(x, 1), markOf(x, 2)
	rumoured(h, HeadRevision{All: one, First: one}, HeadRevision{All: one, First: Revision{9, Digest{A: 9}}}, 20, true)
	require.Equal(t, 2, h.Counters.InvalidResponses, "both neighbours told it")
	require.Equal(t, 1, h.peers["a"].invalidResponses)
	require.Equal(t, 1, h.peers["b"].invalidResponses)
	h = holding()
	h.Step(ms, []Input{vouchedFor(one, one), told("a", HeadRevision{All: one, First: Revision{2, Digest{A: 9}}}, one), told("b", HeadRevision{All: one, First: two}, two)})
	require.Zero(t, h.Counters.InvalidResponses, "nobody knows yet")
	h.Step(2*ms, []Input{vouchedFor(one, two)})
	require.Equal(t, 1, h.peers["a"].invalidResponses)
	require.Zero(t, h.peers["b"].invalidResponses)
	x, h = chain(9), holding()
	for k := 1; k <= 9; k++ {
		h.Step(int64(k)*ms, []Input{vouchedFor(markOf(x, k), markOf(x, k))})
	}
	h.Step(10*ms, []Input{told("a", HeadRevision{}, Revision{4, Digest{A: 4}}), told("b", HeadRevision{}, markOf(x, 4))})
	require.Equal(t, 1, h.peers["a"].invalidResponses, "what passed is known for a while")
	require.Zero(t, h.peers["b"].invalidResponses)
}

// asked is the exchange that a step opens, with the peer it goes to.
func asked(t *testing.T, h *Replicator, now int64, in ...Input) Effect {
	effects, _ := h.Step(now, in)
	list := pick(effects, Exchange)
	require.Len(t, list, 1)
	return list[0]
}

// TestRecordsGoOnWithAnyPeer has the peer that gave some of the records busy, while another one knows how they go on.
func TestRecordsGoOnWithAnyPeer(t *testing.T) {
	x, h := chain(3), holding()
	one, three := markOf(x, 1), markOf(x, 3)
	head := HeadRevision{All: three, First: three}
	ask := asked(t, h, 500*ms, vouchedFor(three, three), told("a", head, three), told("b", head, three))
	from, other := ask.To, map[string]string{"a": "b", "b": "a"}[ask.To]
	ask = asked(t, h, 501*ms, Input{Kind: Answered, Link: ask.Link, Message: &Message{Kind: Piece, Has: three, Records: wireRecords(x.log[:1], maxPieceBytes, false)}})
	for ask.To == other { // it has nothing at hand
		ask = asked(t, h, 502*ms, Input{Kind: Answered, Link: ask.Link, Message: &Message{Kind: Piece, Busy: ms}})
	}
	require.Equal(t, from, ask.To)
	effects, _ := h.Step(503*ms, []Input{{Kind: Answered, Link: ask.Link, Message: &Message{Kind: Piece, Busy: 30_000 * ms}}})
	for now := 504 * ms; len(pick(effects, Exchange)) == 0; now += 10 * ms {
		require.Less(t, now, 800*ms, "the other one is asked soon")
		effects, _ = h.Step(now, nil)
	}
	ask = pick(effects, Exchange)[0]
	require.Equal(t, other, ask.To)
	require.Equal(t, one, ask.Message.Has, "from where the first one left off")
	h.Step(801*ms, []Input{{Kind: Answered, Link: ask.Link, Message: &Message{Kind: Piece, Has: three, Records: wireRecords(x.log[1:], maxPieceBytes, false)}}})
	require.Equal(t, three, h.ready)
	require.Zero(t, h.Counters.InvalidResponses)
}

// TestFalseRecordsAreLeftOnceNobodyGoesOnWithThem has one give records that agree with each other and that nobody agreed on.
func TestFalseRecordsAreLeftOnceNobodyGoesOnWithThem(t *testing.T) {
	x, h := chain(2), holding()
	two := markOf(x, 2)
	head := HeadRevision{All: two, First: two}
	lie, err := (&Content{}).Apply([]Item{tenant(7, "7")})
	require.NoError(t, err)
	ask := asked(t, h, 500*ms, vouchedFor(two, two), told("a", head, two))
	h.Step(501*ms, []Input{{Kind: Answered, Link: ask.Link, Message: &Message{Kind: Piece, Has: two,
		Records: []Record{{Version: 1, Digest: lie.Digest(), Changes: []Item{tenant(7, "7")}}}}}, told("b", head, two)})
	for now := 510 * ms; h.ready != two; now += 10 * ms {
		require.Less(t, now, 30_000*ms)
		var in []Input
		if h.fetch.deadline > 0 {
			m := &Message{Kind: Piece, Busy: 4_000 * ms} // whoever lied isn't there for it any more
			if h.fetch.peer == "b" {
				m.Busy, m.Has = 0, two
				m.Records = wireRecords(recordsBetween(x.log, h.fetch.from, 2), maxPieceBytes, false)
			}
			in = append(in, Input{Kind: Answered, Link: h.fetch.link, Message: m})
		}
		h.Step(now, append(in, told("b", head, two)))
	}
	require.Zero(t, h.peers["b"].invalidResponses)
}

// TestBlocksOnTheirWayAreKeptWhenTheVersionMovesOn has a further version agreed on while blocks travel, and each time anew.
func TestBlocksOnTheirWayAreKeptWhenTheVersionMovesOn(t *testing.T) {
	h, c := holding(), full(t, 100, 3_000)
	n := NewReplicator(0, ReplicatorConfig{Name: "a"}, InitialState{Content: c, Mark: Revision{1, c.Digest()}}) // who gives
	now, rounds, indices := 500*ms, 0, 0
	for ; h.ready.Version == 0; rounds++ {
		require.Less(t, rounds, 200)
		mark := Revision{uint64(rounds + 1), c.Digest()}
		n.readyContent, n.appliedContent = c, c
		n.ready = mark
		var ask Effect
		for effects, _ := h.Step(now, []Input{vouchedFor(mark, mark), told("a", HeadRevision{All: mark, First: mark}, mark)}); ; effects, _ = h.Step(now, nil) {
			if list := pick(effects, Exchange); len(list) > 0 {
				ask = list[0]
				break
			}
			now += 10 * ms
		}
		next, err := c.Apply([]Item{tenant(rounds, fmt.Sprint(rounds))})
		require.NoError(t, err)
		after := Revision{mark.Version + 1, next.Digest()}
		answer := &Message{Kind: Piece, Has: mark}
		if len(ask.Message.Wanted) > 0 {
			n.serveBlocks(ask.Message, answer)
		} else {
			appendDifferingPages(c.index(), ask.Message.Sums, answer)
			indices++
		}
		h.Step(now+ms, []Input{vouchedFor(after, after)})
		h.Step(now+2*ms, []Input{{Kind: Answered, Link: ask.Link, Message: answer}})
		now, c = now+2_000*ms, next
		if h.assemblyBase().Digest() == h.assembly.revision.Digest {
			break
		}
	}
	t.Logf("%d rounds, the index %d times", rounds, indices)
	require.Less(t, indices, rounds/4)
}
