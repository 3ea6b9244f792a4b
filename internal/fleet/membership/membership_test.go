package membership

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestViewIncludesMembersReachableOverMutualLinks(t *testing.T) {
	m := newLinkedMembers("b", "c")
	r := record("d", 100, "c") // c does not tell of a link to it
	m.applyRecord(&r, -1)
	assert.Empty(t, runBriefly(m))
	r = record("c", 101, "a", "b", "d")
	r.StartedAt = 100
	m.applyRecord(&r, -1)
	assert.Equal(t, []string{"d joined"}, runBriefly(m))
}

func TestUnreachableMemberLeavesViewAfterSuspicionTimeout(t *testing.T) {
	m := newLinkedMembers("b", "c", "d")
	for _, name := range []string{"b", "c"} { // they have no link to d any more; a has one of its own that is silent
		r := record(name, 101, "a", "b", "c")
		r.StartedAt = 100
		m.applyRecord(&r, -1)
	}
	m.links[m.members[m.byID[IDOf("d")]].linkIndex].confirmedAt = m.ownTime - 4*second
	assert.Empty(t, runUntil(m, m.wakeAt, m.wakeAt+testConfig.SuspicionTimeout-50*ms, false))
	assert.Equal(t, []string{"d lost"}, runUntil(m, m.wakeAt, m.wakeAt+500*ms, false))
}

func TestProcessPauseDoesNotMarkPeersLost(t *testing.T) {
	m := newLinkedMembers("b", "c", "d")
	last, pauses := m.wakeAt, m.Counters.Pauses
	var got []string
	effects, wake := m.Step(last+30*second, 100, nil) // it was stopped; the others answer once they are asked
	got = append(got, changeTexts(effects)...)
	assert.Equal(t, pauses+1, m.Counters.Pauses)
	pings := 0
	for _, e := range effects {
		if e.Kind == Send && e.Message.Kind == MessagePing {
			pings++
		}
	}
	assert.Equal(t, 3, pings, "all whom it watches are asked at once")
	got = append(got, runUntil(m, wake, wake+10*second, true)...)
	assert.Empty(t, got)
}

func TestNodeWithoutLinksKeepsView(t *testing.T) {
	m := newLinkedMembers("b", "c", "d")
	got := runUntil(m, m.wakeAt, m.wakeAt+20*second, false)
	assert.Equal(t, []string{"a cut off"}, got)
	v := m.View()
	assert.True(t, v.Isolated)
	assert.False(t, v.Majority)
	for _, seen := range v.Members[1:] {
		assert.Equal(t, Suspect, seen.Status)
		assert.Equal(t, Unreachable, seen.Reach)
	}
	assert.Equal(t, []string{"a restored"}, runUntil(m, m.wakeAt, m.wakeAt+5*second, true))
}

func TestDrainedMemberLeavesViewWithoutSuspicion(t *testing.T) {
	m := newLinkedMembers("b", "c")
	r := record("c", 101, "a", "b")
	r.StartedAt, r.Left = 100, true
	m.applyRecord(&r, -1)
	assert.Equal(t, []string{"c left"}, runBriefly(m))
	r = record("b", 101) // in beat 1, then silent
	r.StartedAt, r.Facts.DrainPhase = 100, 1
	m.applyRecord(&r, -1)
	assert.Equal(t, []string{"b left"}, runBriefly(m))
}

func TestRestartedMemberIsReplacedInView(t *testing.T) {
	m := newLinkedMembers("b", "c")
	r := record("b", 200)
	effects, _ := m.Step(m.wakeAt, 100, []Input{{Kind: DatagramReceived, Message: &Message{Kind: MessageGossip, From: IDOf("c"), Records: []Record{r}}}})
	assert.Equal(t, []string{"b replaced"}, changeTexts(effects))
	assert.Equal(t, 3, m.viewSize, "it has a silence's time to be reached")
}

func TestOwnRecordOfEarlierIncarnationIsSuperseded(t *testing.T) {
	m := newLinkedMembers("b", "c")
	r := record("a", 500) // a clock that was ahead in the last life
	r.Address = m.members[0].record.Address
	m.applyRecord(&r, -1)
	assert.Equal(t, uint64(501), m.Self().Incarnation)
	m.applyRecord(&r, -1)
	assert.Equal(t, uint64(501), m.Self().Incarnation)
}

func TestLaterNodeYieldsSharedName(t *testing.T) {
	earlier, later := newLinkedMembers("b", "c"), newLinkedMembers("b", "c")
	r := record("a", 300)
	r.Address = "10.0.0.99:9"
	earlier.applyRecord(&r, -1) // of one that started later: outdone
	assert.Equal(t, uint64(301), earlier.Self().Incarnation)
	r.StartedAt = 50
	later.applyRecord(&r, -1) // of one that started before it and still speaks
	assert.Equal(t, 0, later.linksUp())
	assert.Equal(t, 1, later.Counters.NameConflicts)
	assert.Equal(t, 1, later.viewSize)
}

func TestNameInUseIsRejectedUntilHolderIsUnreachable(t *testing.T) {
	m := newLinkedMembers("b", "c")
	r := record("b", 300)
	r.Address = "10.0.0.99:9"
	asked := []Input{{Kind: ExchangeOpened, ExchangeID: 7, Message: &Message{Kind: MessageSyncRequest, From: IDOf("b"), Records: []Record{r}}}}
	effects, _ := m.Step(m.wakeAt, 100, asked)
	require.NotEmpty(t, effects)
	replies := func(effects []Effect) (kinds []MessageKind) {
		for _, e := range effects {
			if e.Kind == Reply {
				kinds = append(kinds, e.Message.Kind)
			}
		}
		return kinds
	}
	assert.Equal(t, []MessageKind{MessageReject}, replies(effects))
	m.members[m.byID[IDOf("b")]].reachable = false
	effects, _ = m.Step(m.wakeAt, 100, asked)
	assert.Equal(t, []MessageKind{MessageSyncAnswer}, replies(effects))
}

func TestTableIsBounded(t *testing.T) {
	c := testConfig
	c.MaxMembers = 10
	m := New(c, second, 100, 0, 1)
	for i := range 100 {
		r := record(fmt.Sprint(i), 100)
		m.applyRecord(&r, -1)
	}
	assert.Len(t, m.byID, 10)
	assert.LessOrEqual(t, len(m.members), 11)
	for i := 1; i < len(m.members); i++ { // all in the view: nobody makes room
		m.members[i].inView = true
	}
	r := record("x", 100)
	m.applyRecord(&r, -1)
	assert.Equal(t, 1, m.Counters.InvalidRecords)
}

func TestInvalidRecordsAreCounted(t *testing.T) {
	m := newLinkedMembers("b")
	long := record("c", 100)
	for i := range maxLinks + 1 {
		long.Links = append(long.Links, ID(i))
	}
	for _, r := range []Record{{}, {Name: "x"}, {Name: string(make([]byte, 65)), Address: "y"}, long, {Name: "x", Address: "y", Incarnation: 1 << 63}} {
		m.applyRecord(&r, -1)
	}
	assert.Equal(t, 5, m.Counters.InvalidRecords)
}

func TestUnexpectedAcksDoNotConfirmLink(t *testing.T) {
	m := newLinkedMembers("b", "c")
	l := &m.links[m.members[m.byID[IDOf("b")]].linkIndex]
	l.pingSeq, l.confirmedAt = 100, m.ownTime-2*second
	for _, seq := range []uint32{100 - pingHistory, 101, 1 << 31} {
		m.applyAck(m.byID[IDOf("b")], seq)
	}
	assert.Equal(t, m.ownTime-2*second, l.confirmedAt)
	assert.Equal(t, 3, m.Counters.UnmatchedMessages)
}

func TestTableDoesNotDependOnOrderOfRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all []Record
		for range rapid.IntRange(1, 20).Draw(t, "records") {
			r := record(rapid.SampledFrom([]string{"b", "c", "d"}).Draw(t, "name"), uint64(rapid.IntRange(1, 4).Draw(t, "inc")))
			r.RecordVersion = uint32(rapid.IntRange(0, 3).Draw(t, "ver"))
			all = append(all, r)
		}
		ordered, shuffled := New(testConfig, second, 100, 0, 1), New(testConfig, second, 100, 0, 1)
		for i := range all {
			ordered.applyRecord(&all[i], -1)
		}
		for _, i := range rapid.Permutation(all).Draw(t, "order") {
			shuffled.applyRecord(&i, -1)
			shuffled.applyRecord(&i, -1)
		}
		require.Equal(t, ordered.digest, shuffled.digest)
		for id, i := range ordered.byID {
			require.Equal(t, ordered.members[i].record.RecordVersion, shuffled.members[shuffled.byID[id]].record.RecordVersion)
		}
	})
}

func TestIdleStepAllocatesNothing(t *testing.T) {
	m := newLargeFleet(300)
	now := m.wakeAt
	for range 200 {
		_, now = m.Step(now, now, ackPings(m))
	}
	inputs := ackPings(m)
	assert.Zero(t, testing.AllocsPerRun(200, func() {
		_, now = m.Step(now, now, nil)
		for k := range inputs {
			if i, known := m.byID[inputs[k].Message.From]; known && m.members[i].linkIndex >= 0 {
				inputs[k].Message.Seq = m.links[m.members[i].linkIndex].pingSeq
			}
		}
		m.Step(now-1, now-1, inputs)
	}))
	assert.Positive(t, m.Counters.Sent)
}

func BenchmarkStep300(b *testing.B) {
	m := newLargeFleet(300)
	now := m.wakeAt
	inputs := ackPings(m)
	b.ReportAllocs()
	for b.Loop() {
		_, now = m.Step(now, now, inputs)
	}
}

// What is kept as records change is held against all records, whatever peers tell: also links in no order, or twice.
func TestIncrementalStateMatchesRecords(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e", "f", "g"}
	rapid.Check(t, func(t *rapid.T) {
		c := testConfig
		c.MaxMembers = 5
		m := New(c, second, 100, 0, 1)
		now := second
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			r := record(rapid.SampledFrom(names[1:]).Draw(t, "name"), uint64(rapid.IntRange(1, 9).Draw(t, "inc")))
			r.RecordVersion, r.Left = uint32(rapid.IntRange(0, 9).Draw(t, "ver")), rapid.IntRange(0, 9).Draw(t, "left") == 0
			for range rapid.IntRange(0, maxLinks).Draw(t, "links") {
				r.Links = append(r.Links, IDOf(rapid.SampledFrom(names).Draw(t, "link")))
			}
			if rapid.Bool().Draw(t, "sorted") {
				slices.Sort(r.Links)
			}
			m.Step(now, 100, append(ackPings(m), Input{Kind: DatagramReceived, Message: &Message{Kind: MessageGossip, From: IDOf("b"), Records: []Record{r}}}))
			now += rapid.Int64Range(1, 5*second).Draw(t, "later")
			m.Step(now, 100, nil)
			m.traverse()
			m.checkAdjacency()
			m.checkQueues()
			hash, size := m.ViewHash()
			in := 0
			for i := range m.members {
				if m.members[i].inView {
					in++
				}
			}
			require.Equal(t, m.View().Hash, hash)
			require.Equal(t, in, size)
			m.updateRingOrders()
			for r, order := range m.ringOrder {
				var all []int32
				for i := range m.members {
					if b := &m.members[i]; i == 0 || b.record.Name != "" && !b.record.Left && (b.inView || m.ownTime < b.watchUntil) {
						all = append(all, int32(i))
					}
				}
				slices.SortFunc(all, func(a, b int32) int { return m.compareInRing(r, a, b) })
				require.Equal(t, all, order)
			}
			require.Empty(t, m.Invariants.All())
		}
	})
}

// pingsOn are when a link is pinged until a moment, in ms after the first of them.
func pingTimes(m *Members, id ID, to int64, answered func(seq uint32) bool) (at []int64) {
	first := int64(0)
	for now := m.wakeAt; now < to; now = max(m.wakeAt, now+1) {
		effects, _ := m.Step(now, now, nil)
		var answers []Input
		for _, e := range effects {
			if e.Kind != Send || e.Message.Kind != MessagePing {
				continue
			}
			to := m.idByAddress(e.To)
			if to == id {
				if len(at) == 0 {
					first = now
				}
				at = append(at, (now-first)/ms)
			}
			if to != id || answered(e.Message.Seq) {
				answers = append(answers, Input{Kind: DatagramReceived, Message: &Message{Kind: MessageAck, From: to, Seq: e.Message.Seq, Digest: m.digest}})
			}
		}
		m.Step(now, now, answers)
	}
	return at
}

func (m *Members) idByAddress(address string) ID {
	for i := range m.members {
		if m.members[i].record.Address == address {
			return m.members[i].id
		}
	}
	return 0
}

// A ping without an answer is sent again within its probe, so that a proof is seldom older than one; answered ones
// cost no more than before, and neither does a link that has long been silent.
func TestUnansweredPingsAreResent(t *testing.T) {
	b := IDOf("b")
	m := newLinkedMembers("b", "c")
	assert.Equal(t, []int64{0, 500, 1_000, 1_500}, pingTimes(m, b, m.wakeAt+1_990*ms, func(uint32) bool { return true }))
	m = newLinkedMembers("b", "c")
	got := pingTimes(m, b, m.wakeAt+1_990*ms, func(uint32) bool { return false })
	require.Greater(t, len(got), 8)
	assert.Equal(t, []int64{0, 125, 250, 375, 500, 625}, got[:6])
	l := &m.links[m.members[m.byID[b]].linkIndex]
	assert.True(t, l.up)
	got = pingTimes(m, b, m.wakeAt+1_400*ms, func(uint32) bool { return false })
	assert.LessOrEqual(t, len(got), 4, "a probe each once it is in doubt")
	m = newLinkedMembers("b", "c")
	m.links[m.members[m.byID[b]].linkIndex].roundTrip = 200 * ms
	got = pingTimes(m, b, m.wakeAt+1_500*ms, func(uint32) bool { return false })
	require.Greater(t, len(got), 4)
	assert.Equal(t, []int64{0, 400, 500, 900}, got[:4], "none before an answer from afar can be there")
}

// The settling bridges a link that was lost for a moment only if it is told of within it once it is back.
func TestRegainedLinkIsPublishedWithinSuspicionTimeout(t *testing.T) {
	m := newLinkedMembers("b", "c", "d", "e", "f")
	l := &m.links[m.members[m.byID[IDOf("b")]].linkIndex]
	l.confirmedAt = m.ownTime - testConfig.LinkTimeout - ms
	m.Step(m.wakeAt, m.wakeAt, nil)
	runUntil(m, m.wakeAt, m.wakeAt+250*ms, false)
	require.NotContains(t, m.Self().Links, IDOf("b"))
	told := m.publishedAt
	m.Step(m.wakeAt, m.wakeAt, ackPings(m))
	runUntil(m, m.wakeAt, told+regainedPublishInterval+20*ms, false)
	assert.Contains(t, m.Self().Links, IDOf("b"))
	assert.Less(t, regainedPublishInterval+gossipInterval+traversalInterval, testConfig.SuspicionTimeout)
}

func TestTableSyncWaitsForQuietGossip(t *testing.T) {
	m := newLinkedMembers("b", "c", "d")
	differs := func(at int64) (asked int) { // pings are answered by neighbours whose tables are others
		effects, _ := m.Step(at, at, nil)
		inputs := ackPings(m)
		for k := range inputs {
			inputs[k].Message.Digest++
		}
		for _, e := range append(slices.Clone(effects), func() []Effect { e, _ := m.Step(at, at, inputs); return e }()...) {
			if e.Kind == Exchange {
				asked++
			}
		}
		return asked
	}
	now, asked := m.wakeAt, 0
	for k := range 60 { // news come for 6 s
		now += 100 * ms
		r := record(fmt.Sprint("e", k), 100)
		m.applyRecord(&r, -1)
		asked += differs(now)
	}
	assert.Zero(t, asked, "while news come, a table would be old at once")
	for end := now + syncQuietTime + 100*ms; now < end; now += 100 * ms {
		asked += differs(now)
	}
	assert.Equal(t, 1, asked, "once they rest it is asked for")
	m.Step(now, now, []Input{{Kind: ExchangeFailed, ExchangeID: m.syncExchangeID}})
	asked = 0
	for k := range 150 { // 15 s
		now += 100 * ms
		r := record(fmt.Sprint("f", k), 100)
		m.applyRecord(&r, -1)
		asked += differs(now)
	}
	assert.Equal(t, 1, asked, "news don't put it off for ever")
}

func TestClosedLinksArePublishedTogether(t *testing.T) {
	m := newLinkedMembers("b", "c", "d", "e", "f")
	runUntil(m, m.wakeAt, m.wakeAt+gainedPublishInterval, true)
	var links []int8
	for k := range m.links {
		if m.links[k].member >= 0 {
			links = append(links, int8(k))
		}
	}
	ver, closed, proof := m.Self().RecordVersion, m.ownTime, m.links[links[1]].confirmedAt
	m.closeLink(links[0])
	runUntil(m, m.wakeAt, closed+gainedPublishInterval, true)
	m.closeLink(links[1])
	for m.wakeAt-m.pausedTime < closed+closedPublishInterval {
		assert.Equal(t, ver, m.Self().RecordVersion, "no version for each")
		m.Step(m.wakeAt, 100, nil)
	}
	for m.ownTime < closed+closedPublishInterval {
		m.Step(m.wakeAt, 100, nil)
	}
	assert.Equal(t, ver+1, m.Self().RecordVersion, "one for both")
	assert.Less(t, closed+closedPublishInterval, proof+testConfig.LinkTimeout, "before silence would have told it")
	m.closeLink(links[2])
	l := &m.links[links[3]]
	l.confirmedAt = m.ownTime - testConfig.LinkTimeout - 1
	m.probeLinks()
	assert.LessOrEqual(t, m.publishAt, m.ownTime+publishInterval, "a link that is lost is told at once, and those with it")
}
