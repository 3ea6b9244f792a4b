package configsync

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// tableWithVersions returns a table with some versions, all put at the same time.
func tableWithVersions(versions int) *Table {
	table := NewTable()
	for k := range versions {
		table.Apply(1, putOn(uint64(k), uint64(k+1), tenant(k, "1")))
	}
	return table
}

func revisionOf(table *Table, version int) Revision {
	return Revision{uint64(version), table.log[version-1].Digest}
}

// confirmation returns a replica's answer to a report, as an input.
func confirmation(all, canary Revision) Input {
	return Input{Kind: DatagramReceived, From: "s", Message: &Message{Kind: MessageConfirm, Head: RolloutState{All: all, Canary: canary, Newest: canary.Version}}}
}

func announcement(from string, head RolloutState, has Revision, records ...Record) Input {
	return Input{Kind: DatagramReceived, From: from, Message: &Message{Kind: MessageAnnounce, Head: head, Has: has, Records: records}}
}

// newTestReplicator returns a replicator with two neighbours and two replicas, whose node is no canary of the tested versions.
func newTestReplicator() *Replicator {
	r := NewReplicator(0, ReplicatorConfig{Name: "n", Seed: 1}, InitialState{})
	v := &View{Neighbours: []string{"a", "b"}, Replicas: []string{"s", "t"}}
	for k := range 50 {
		v.Zone = append(v.Zone, fmt.Sprint("z", k))
	}
	r.Step(1, []Input{{Kind: ViewChanged, View: v}})
	return r
}

func effectsOf(effects []Effect, kind EffectKind) (list []Effect) {
	for _, e := range effects {
		if e.Kind == kind {
			list = append(list, e)
		}
	}
	return list
}

func TestVersionForAllIsAppliedBeforeCanary(t *testing.T) {
	table := tableWithVersions(2)
	r := newTestReplicator()
	one := revisionOf(table, 1)
	two := revisionOf(table, 2)
	r.Step(ms, []Input{announcement("a", RolloutState{}, one, table.log[0].wire()), confirmation(Revision{}, one)})
	require.Equal(t, one, r.ready)
	effects, _ := r.Step(2*ms, []Input{announcement("a", RolloutState{}, two, table.log[1].wire()), confirmation(one, two)})
	require.Len(t, effectsOf(effects, ApplyVersion), 1)
	require.Equal(t, one, effectsOf(effects, ApplyVersion)[0].Revision)
	effects, _ = r.Step(3*ms, []Input{{Kind: VersionApplied, Revision: one}})
	require.Equal(t, one, r.Revision())
	require.Empty(t, effectsOf(effects, ApplyVersion), "the next version is at the canary stage, to which this node does not belong")
	require.Equal(t, two, r.ready)
}

func TestOlderHeadsAreIgnored(t *testing.T) {
	table := tableWithVersions(2)
	r := newTestReplicator()
	one := revisionOf(table, 1)
	two := revisionOf(table, 2)
	r.Step(ms, []Input{confirmation(two, two)})
	r.Step(2*ms, []Input{confirmation(one, two), confirmation(one, one)})
	require.Equal(t, two, r.Status(3*ms).Head.All)
	effects, _ := r.Step(3*ms, []Input{confirmation(Revision{2, Digest{A: 1}}, Revision{2, Digest{A: 1}})})
	require.Len(t, effectsOf(effects, WriteLog), 1, "a second digest for one version is logged")
	require.Equal(t, two, r.Status(3*ms).Head.All)
}

func TestRecordsTowardsTheGoalAreFetched(t *testing.T) {
	table := tableWithVersions(3)
	r := newTestReplicator()
	two := revisionOf(table, 2)
	three := revisionOf(table, 3)
	r.Step(ms, []Input{confirmation(Revision{}, two)})
	effects, _ := r.Step(500*ms, []Input{confirmation(Revision{}, three), announcement("a", RolloutState{}, two)})
	fetch := effectsOf(effects, Exchange)
	require.Len(t, fetch, 1)
	require.Equal(t, "a", fetch[0].To)
	piece := &Message{Kind: MessageContent, Has: two, Records: wireRecords(table.log[:2], maxPieceBytes, false)}
	r.Step(501*ms, []Input{{Kind: ExchangeAnswered, Link: fetch[0].Link, Message: piece}})
	require.Equal(t, two, r.ready)
}

// Guards against a lost refusal: the only replica that received it could fail before it proposes the stop.
func TestRefusalIsReportedToSeveralReplicas(t *testing.T) {
	table := tableWithVersions(1)
	r := newTestReplicator()
	r.view.Zone = nil // a canary, as the node is alone in its zone
	r.canary.version = 0
	one := revisionOf(table, 1)
	effects, _ := r.Step(ms, []Input{announcement("a", RolloutState{}, one, table.log[0].wire()), confirmation(Revision{}, one)})
	require.True(t, effectsOf(effects, ApplyVersion)[0].Canary)
	var wake int64
	in := []Input{{Kind: VersionApplied, Revision: one, Why: "no such effect"}}
	replicas := map[string]int{}
	for now := 2 * ms; now < 3_000*ms; now = min(wake, now+50*ms) {
		effects, wake = r.Step(now, in)
		in = nil
		for _, e := range effectsOf(effects, Send) {
			if e.Message.Kind == MessageReport && e.Message.Refused == one {
				replicas[e.To]++
				answer := confirmation(Revision{}, one)
				answer.From = e.To
				answer.Message.Seq = e.Message.Seq
				in = append(in, answer)
			}
		}
	}
	require.Positive(t, replicas["s"])
	require.Positive(t, replicas["t"])
	require.Equal(t, Revision{}, r.Revision(), "the last valid version stays in force")
}

// Many nodes report and fetch content at once. The neighbour among them must still get content, and the sent bytes must stay within the
// rate limits of the node and of a single requester.
func TestThunderingHerdDoesNotStarveNeighbours(t *testing.T) {
	r := NewReplicator(0, ReplicatorConfig{Name: "s", Seed: 1}, InitialState{})
	c := fullContent(t, 100, 3_000)
	revision := Revision{1, c.Digest()}
	r.Step(1, []Input{{Kind: ViewChanged, View: &View{Neighbours: []string{"near"}}},
		{Kind: AgreementChanged, Agreed: &Agreed{Head: RolloutState{All: revision, Canary: revision, Newest: 1}, All: c, Canary: c, Newest: c}}})
	near := 0
	all := 0
	const seconds = 20
	wanted := &Message{Kind: MessageFetch, Want: revision, Sums: (&Content{}).pageDigests()}
	for now := 20 * ms; now < seconds*1_000*ms; now += 20 * ms {
		var in []Input
		for k := range 10 {
			from := fmt.Sprint("far", (int(now/(20*ms))*10+k)%500)
			in = append(in, Input{Kind: DatagramReceived, From: from, Message: &Message{Kind: MessageReport}}, Input{Kind: ExchangeOpened, From: from, Link: k + 2, Message: wanted})
		}
		if now%(1_000*ms) == 500*ms {
			in = append(in, Input{Kind: ExchangeOpened, From: "near", Link: 1, Message: wanted})
		}
		effects, _ := r.Step(now, in)
		for _, e := range effectsOf(effects, Reply) {
			if e.Message.hasContent() {
				all += e.Message.size()
				if e.Link == 1 {
					near++
				}
			}
		}
	}
	t.Logf("%d bytes of content in %d s; %d answers of 20 to the neighbour", all, seconds, near)
	require.GreaterOrEqual(t, near, 5, "a neighbour fetches once a second, 16 kB each time")
	require.LessOrEqual(t, all, seconds*bytesPerSecond+burstBytes+maxBlockBytes)
	one := 0
	for now := seconds * 1_000 * ms; now < 2*seconds*1_000*ms; now += 10 * ms { // one node alone fetches all the time
		effects, _ := r.Step(now, []Input{{Kind: ExchangeOpened, From: "greedy", Link: 1, Message: wanted}})
		if e := effectsOf(effects, Reply); e[0].Message.hasContent() {
			one += e[0].Message.size()
		}
	}
	require.Positive(t, one)
	require.LessOrEqual(t, one, seconds*peerBytesPerSecond+burstBytes+maxBlockBytes)
}

// announceUnconfirmed has both neighbours announce a head that replicas don't confirm, for some seconds, and answers each report twice.
// It returns the number of reports.
func announceUnconfirmed(r *Replicator, head, unconfirmed RolloutState, seconds int64, current bool) (reports int) {
	var in []Input
	for now := ms; now < seconds*1_000*ms; now += 10 * ms {
		if now%(500*ms) == ms {
			in = append(in, announcement("a", unconfirmed, unconfirmed.Canary), announcement("b", unconfirmed, unconfirmed.Canary))
		}
		effects, _ := r.Step(now, in)
		in = nil
		for _, e := range effectsOf(effects, Send) {
			if e.Message.Kind == MessageReport {
				reports++
				answer := Input{Kind: DatagramReceived, From: e.To, Message: &Message{Kind: MessageConfirm, Seq: e.Message.Seq, Head: head, Current: current}}
				twice := *answer.Message
				in = append(in, answer, Input{Kind: DatagramReceived, From: e.To, Message: &twice})
			}
		}
	}
	return reports
}

// All replicas restarted with an older state and have no contact with a majority, so their answers prove nothing against peers.
func TestPeersAreNotPenalizedWhileReplicasLag(t *testing.T) {
	table := tableWithVersions(3)
	r := newTestReplicator()
	one := revisionOf(table, 1)
	three := revisionOf(table, 3)
	r.Step(0, []Input{confirmation(one, one), announcement("a", RolloutState{}, one, table.log[0].wire())})
	r.Step(1, []Input{{Kind: VersionApplied, Revision: one}})
	require.Equal(t, one, r.Revision())
	reports := announceUnconfirmed(r, RolloutState{All: one, Canary: one}, RolloutState{All: one, Canary: three}, 60, false)
	require.Zero(t, r.Counters.InvalidResponses)
	require.Less(t, reports, 60, "the backoff between reports grows")
	effects, _ := r.Step(60_001*ms, []Input{confirmation(one, three), announcement("a", RolloutState{All: one, Canary: three}, three, wireRecords(table.log[1:], maxEagerBytes, true)...)})
	require.Empty(t, effectsOf(effects, ApplyVersion))
	require.Equal(t, three, r.ready, "announced records are used as soon as a replica confirms")
}

// Replicas in contact with the group may learn of a version up to unconfirmedGracePeriod later than neighbours.
func TestUnconfirmedVersionHasAGracePeriod(t *testing.T) {
	table := tableWithVersions(2)
	r := newTestReplicator()
	one := revisionOf(table, 1)
	two := revisionOf(table, 2)
	announceUnconfirmed(r, RolloutState{All: one, Canary: one}, RolloutState{All: one, Canary: two}, unconfirmedGracePeriod/(1_000*ms), true)
	require.Zero(t, r.Counters.InvalidResponses)
}

// Peers are penalized for a version that current replicas deny, and for announcing another digest for a confirmed version.
func TestPeerWithUnknownVersionsIsPenalized(t *testing.T) {
	table := tableWithVersions(2)
	r := newTestReplicator()
	one := revisionOf(table, 1)
	two := revisionOf(table, 2)
	announceUnconfirmed(r, RolloutState{All: one, Canary: one}, RolloutState{All: one, Canary: Revision{9, Digest{A: 9}}}, 20, true)
	require.Equal(t, 2, r.Counters.InvalidResponses, "both neighbours announced it")
	require.Equal(t, 1, r.peers["a"].invalidResponses)
	require.Equal(t, 1, r.peers["b"].invalidResponses)
	r = newTestReplicator()
	r.Step(ms, []Input{confirmation(one, one), announcement("a", RolloutState{All: one, Canary: Revision{2, Digest{A: 9}}}, one), announcement("b", RolloutState{All: one, Canary: two}, two)})
	require.Zero(t, r.Counters.InvalidResponses, "no replica confirmed it yet")
	r.Step(2*ms, []Input{confirmation(one, two)})
	require.Equal(t, 1, r.peers["a"].invalidResponses)
	require.Zero(t, r.peers["b"].invalidResponses)
	table = tableWithVersions(9)
	r = newTestReplicator()
	for k := 1; k <= 9; k++ {
		r.Step(int64(k)*ms, []Input{confirmation(revisionOf(table, k), revisionOf(table, k))})
	}
	r.Step(10*ms, []Input{announcement("a", RolloutState{}, Revision{4, Digest{A: 4}}), announcement("b", RolloutState{}, revisionOf(table, 4))})
	require.Equal(t, 1, r.peers["a"].invalidResponses, "past revisions are remembered for a while")
	require.Zero(t, r.peers["b"].invalidResponses)
}

// fetchOf returns the only fetch that a step starts.
func fetchOf(t *testing.T, r *Replicator, now int64, in ...Input) Effect {
	effects, _ := r.Step(now, in)
	list := effectsOf(effects, Exchange)
	require.Len(t, list, 1)
	return list[0]
}

// The peer that sent some of the records is busy; another one must be asked for the rest.
func TestRecordsAreContinuedByAnyPeer(t *testing.T) {
	table := tableWithVersions(3)
	r := newTestReplicator()
	one := revisionOf(table, 1)
	three := revisionOf(table, 3)
	head := RolloutState{All: three, Canary: three}
	fetch := fetchOf(t, r, 500*ms, confirmation(three, three), announcement("a", head, three), announcement("b", head, three))
	from := fetch.To
	other := "a"
	if from == "a" {
		other = "b"
	}
	fetch = fetchOf(t, r, 501*ms, Input{Kind: ExchangeAnswered, Link: fetch.Link, Message: &Message{Kind: MessageContent, Has: three, Records: wireRecords(table.log[:1], maxPieceBytes, false)}})
	for fetch.To == other { // it is busy
		fetch = fetchOf(t, r, 502*ms, Input{Kind: ExchangeAnswered, Link: fetch.Link, Message: &Message{Kind: MessageContent, Busy: ms}})
	}
	require.Equal(t, from, fetch.To)
	effects, _ := r.Step(503*ms, []Input{{Kind: ExchangeAnswered, Link: fetch.Link, Message: &Message{Kind: MessageContent, Busy: 30_000 * ms}}})
	for now := 504 * ms; len(effectsOf(effects, Exchange)) == 0; now += 10 * ms {
		require.Less(t, now, 800*ms, "the other peer is asked soon")
		effects, _ = r.Step(now, nil)
	}
	fetch = effectsOf(effects, Exchange)[0]
	require.Equal(t, other, fetch.To)
	require.Equal(t, one, fetch.Message.Has, "the fetch continues after the records of the first peer")
	r.Step(801*ms, []Input{{Kind: ExchangeAnswered, Link: fetch.Link, Message: &Message{Kind: MessageContent, Has: three, Records: wireRecords(table.log[1:], maxPieceBytes, false)}}})
	require.Equal(t, three, r.ready)
	require.Zero(t, r.Counters.InvalidResponses)
}

// A peer sends consistent records that were never agreed on. As no other peer can continue them, they must be dropped.
func TestRecordsThatNobodyContinuesAreDropped(t *testing.T) {
	table := tableWithVersions(2)
	r := newTestReplicator()
	two := revisionOf(table, 2)
	head := RolloutState{All: two, Canary: two}
	invalid, err := (&Content{}).Apply([]Item{tenant(7, "7")})
	require.NoError(t, err)
	fetch := fetchOf(t, r, 500*ms, confirmation(two, two), announcement("a", head, two))
	r.Step(501*ms, []Input{{Kind: ExchangeAnswered, Link: fetch.Link, Message: &Message{Kind: MessageContent, Has: two,
		Records: []Record{{Version: 1, Digest: invalid.Digest(), Changes: []Item{tenant(7, "7")}}}}}, announcement("b", head, two)})
	for now := 510 * ms; r.ready != two; now += 10 * ms {
		require.Less(t, now, 30_000*ms)
		var in []Input
		if r.fetch.deadline > 0 {
			m := &Message{Kind: MessageContent, Busy: 4_000 * ms} // the faulty peer is busy
			if r.fetch.peer == "b" {
				m.Busy = 0
				m.Has = two
				m.Records = wireRecords(recordsBetween(table.log, r.fetch.from, 2), maxPieceBytes, false)
			}
			in = append(in, Input{Kind: ExchangeAnswered, Link: r.fetch.link, Message: m})
		}
		r.Step(now, append(in, announcement("b", head, two)))
	}
	require.Zero(t, r.peers["b"].invalidResponses)
}

// A further version is agreed on during each fetch of blocks. The blocks must be kept, and the index must not be fetched each time.
func TestFetchedBlocksAreKeptWhenTheVersionMovesOn(t *testing.T) {
	r := newTestReplicator()
	c := fullContent(t, 100, 3_000)
	n := NewReplicator(0, ReplicatorConfig{Name: "a"}, InitialState{Content: c, ContentRevision: Revision{1, c.Digest()}}) // the peer
	now := 500 * ms
	rounds := 0
	indices := 0
	for ; r.ready.Version == 0; rounds++ {
		require.Less(t, rounds, 200)
		revision := Revision{uint64(rounds + 1), c.Digest()}
		n.readyContent = c
		n.appliedContent = c
		n.ready = revision
		var fetch Effect
		for effects, _ := r.Step(now, []Input{confirmation(revision, revision), announcement("a", RolloutState{All: revision, Canary: revision}, revision)}); ; effects, _ = r.Step(now, nil) {
			if list := effectsOf(effects, Exchange); len(list) > 0 {
				fetch = list[0]
				break
			}
			now += 10 * ms
		}
		next, err := c.Apply([]Item{tenant(rounds, fmt.Sprint(rounds))})
		require.NoError(t, err)
		after := Revision{revision.Version + 1, next.Digest()}
		answer := &Message{Kind: MessageContent, Has: revision}
		if len(fetch.Message.Wanted) > 0 {
			n.serveBlocks(fetch.Message, answer)
		} else {
			appendDifferingPages(c.index(), fetch.Message.Sums, answer)
			indices++
		}
		r.Step(now+ms, []Input{confirmation(after, after)})
		r.Step(now+2*ms, []Input{{Kind: ExchangeAnswered, Link: fetch.Link, Message: answer}})
		now = now + 2_000*ms
		c = next
		if r.assemblyBase().Digest() == r.assembly.revision.Digest {
			break
		}
	}
	t.Logf("%d rounds, the index %d times", rounds, indices)
	require.Less(t, indices, rounds/4)
}
