package membership

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// A member is in the view only if a path of links leads to it that both ends of each link publish.
func TestViewIncludesMembersReachableOverMutualLinks(t *testing.T) {
	m := newLinkedMembers("b", "c")
	r := record("d", 100, "c") // c does not publish a link to d
	m.applyRecord(&r, -1)
	assert.Empty(t, runBriefly(m))
	r = record("c", 101, "a", "b", "d")
	r.StartedAt = 100
	m.applyRecord(&r, -1)
	assert.Equal(t, []string{"d joined"}, runBriefly(m))
}

func TestUnreachableMemberLeavesViewAfterSuspicionTimeout(t *testing.T) {
	m := newLinkedMembers("b", "c", "d")
	for _, name := range []string{"b", "c"} { // they no longer publish a link to d; the link of a to d is silent
		r := record(name, 101, "a", "b", "c")
		r.StartedAt = 100
		m.applyRecord(&r, -1)
	}
	m.links[m.members[m.byID[IDOf("d")]].linkIndex].confirmedAt = m.unpausedTime - 4*second
	assert.Empty(t, runUntil(m, m.wakeAt, m.wakeAt+testConfig.SuspicionTimeout-50*ms, false))
	assert.Equal(t, []string{"d lost"}, runUntil(m, m.wakeAt, m.wakeAt+500*ms, false))
}

// Peers cannot answer while this process is paused, so their silence during a pause must not count.
func TestProcessPauseDoesNotMarkPeersLost(t *testing.T) {
	m := newLinkedMembers("b", "c", "d")
	last, pauses := m.wakeAt, m.Counters.Pauses
	var got []string
	effects, wake := m.Step(last+30*second, 100, nil) // the process was paused; the others answer its pings
	got = append(got, changeTexts(effects)...)
	assert.Equal(t, pauses+1, m.Counters.Pauses)
	pings := 0
	for _, e := range effects {
		if e.Kind == Send && e.Message.Kind == MessagePing {
			pings++
		}
	}
	assert.Equal(t, 3, pings, "all members with a link are pinged at once")
	got = append(got, runUntil(m, wake, wake+10*second, true)...)
	assert.Empty(t, got)
}

// A node that hears no peer must not report all others as lost, since the fault is more likely its own.
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

// Members leave the view at once after a drain, or if they become unreachable during one.
func TestDrainedMemberLeavesViewWithoutSuspicion(t *testing.T) {
	m := newLinkedMembers("b", "c")
	r := record("c", 101, "a", "b")
	r.StartedAt, r.Left = 100, true
	m.applyRecord(&r, -1)
	assert.Equal(t, []string{"c left"}, runBriefly(m))
	r = record("b", 101) // in drain phase 1, then unreachable
	r.StartedAt, r.Facts.DrainPhase = 100, 1
	m.applyRecord(&r, -1)
	assert.Equal(t, []string{"b left"}, runBriefly(m))
}

func TestRestartedMemberIsReplacedInView(t *testing.T) {
	m := newLinkedMembers("b", "c")
	r := record("b", 200)
	effects, _ := m.Step(m.wakeAt, 100, []Input{{Kind: DatagramReceived, Message: &Message{Kind: MessageGossip, From: IDOf("c"), Records: []Record{r}}}})
	assert.Equal(t, []string{"b replaced"}, changeTexts(effects))
	assert.Equal(t, 3, m.viewSize, "the new incarnation stays in the view until its grace period ends")
}

// Peers still hold the record of an earlier incarnation whose clock was ahead. They would ignore this node's own record
// unless its incarnation is higher.
func TestOwnRecordOfEarlierIncarnationIsSuperseded(t *testing.T) {
	m := newLinkedMembers("b", "c")
	r := record("a", 500) // the clock was ahead in the earlier incarnation
	r.Address = m.members[0].record.Address
	m.applyRecord(&r, -1)
	assert.Equal(t, uint64(501), m.Self().Incarnation)
	m.applyRecord(&r, -1)
	assert.Equal(t, uint64(501), m.Self().Incarnation)
}

func TestLaterNodeYieldsSharedName(t *testing.T) {
	earlier, later := newLinkedMembers("b", "c"), newLinkedMembers("b", "c") // both started at 100; the records say when the other did
	r := record("a", 300)
	r.Address = "10.0.0.99:9"
	earlier.applyRecord(&r, -1) // from a node that started later: superseded
	assert.Equal(t, uint64(301), earlier.Self().Incarnation)
	r.StartedAt = 50
	later.applyRecord(&r, -1) // from a node that started earlier and is running
	assert.Equal(t, 0, later.linksUp())
	assert.Equal(t, 1, later.Counters.NameConflicts)
	assert.Equal(t, 1, later.viewSize)
}

func TestNameInUseIsRejectedUntilHolderIsUnreachable(t *testing.T) {
	m := newLinkedMembers("b", "c")
	r := record("b", 300)
	r.Address = "10.0.0.99:9"
	request := []Input{{Kind: ExchangeOpened, ExchangeID: 7, Message: &Message{Kind: MessageSyncRequest, From: IDOf("b"), Records: []Record{r}}}}
	effects, _ := m.Step(m.wakeAt, 100, request)
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
	effects, _ = m.Step(m.wakeAt, 100, request)
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
	for i := 1; i < len(m.members); i++ { // members of the view are never evicted
		m.members[i].inView = true
	}
	r := record("x", 100)
	m.applyRecord(&r, -1)
	assert.Equal(t, 1, m.Counters.UnusableRecords)
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
	assert.Equal(t, 5, m.Counters.UnusableRecords)
}

func TestUnexpectedAcksDoNotConfirmLink(t *testing.T) {
	m := newLinkedMembers("b", "c")
	l := &m.links[m.members[m.byID[IDOf("b")]].linkIndex]
	l.pingSeq, l.confirmedAt = 100, m.unpausedTime-2*second
	for _, seq := range []uint32{100 - pingHistory, 101, 1 << 31} {
		m.applyAck(m.byID[IDOf("b")], seq)
	}
	assert.Equal(t, m.unpausedTime-2*second, l.confirmedAt)
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

// Adjacency, queues, view hash and ring orders are updated incrementally. After any sequence of records, also with unsorted or
// repeated links, they must equal the state derived from all records.
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
					if b := &m.members[i]; i == 0 || b.record.Name != "" && !b.record.Left && (b.inView || m.unpausedTime < b.onRingsUntil) {
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

// pingTimes returns the times at which a member is pinged before a given time, in ms after the first ping. Answered reports
// whether the member answers a ping; others answer always.
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

// A lost ping must not make a link look silent for a whole probe interval, so unanswered pings are resent within it. Answered
// pings and links that have been silent for long cause no additional pings.
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
	assert.LessOrEqual(t, len(got), 4, "one ping per probe interval on a suspect link")
	m = newLinkedMembers("b", "c")
	m.links[m.members[m.byID[b]].linkIndex].roundTrip = 200 * ms
	got = pingTimes(m, b, m.wakeAt+1_500*ms, func(uint32) bool { return false })
	require.Greater(t, len(got), 4)
	assert.Equal(t, []int64{0, 400, 500, 900}, got[:4], "no resend before the answer can arrive")
}

// A member whose link was down briefly must not leave the view, so a regained link is published within the suspicion timeout.
func TestRegainedLinkIsPublishedWithinSuspicionTimeout(t *testing.T) {
	m := newLinkedMembers("b", "c", "d", "e", "f")
	l := &m.links[m.members[m.byID[IDOf("b")]].linkIndex]
	l.confirmedAt = m.unpausedTime - testConfig.LinkTimeout - ms
	m.Step(m.wakeAt, m.wakeAt, nil)
	runUntil(m, m.wakeAt, m.wakeAt+250*ms, false)
	require.NotContains(t, m.Self().Links, IDOf("b"))
	lossPublishedAt := m.publishedAt
	m.Step(m.wakeAt, m.wakeAt, ackPings(m))
	runUntil(m, m.wakeAt, lossPublishedAt+regainedPublishInterval+20*ms, false)
	assert.Contains(t, m.Self().Links, IDOf("b"))
	assert.Less(t, regainedPublishInterval+gossipInterval+traversalInterval, testConfig.SuspicionTimeout)
}

// A table received during gossip would be outdated at once, so an exchange waits until gossip is quiet, but not forever.
func TestTableSyncWaitsForQuietGossip(t *testing.T) {
	m := newLinkedMembers("b", "c", "d")
	stepWithDifferingDigests := func(at int64) (exchanges int) { // counts exchanges; all neighbours answer pings with another digest
		effects, _ := m.Step(at, at, nil)
		inputs := ackPings(m)
		for k := range inputs {
			inputs[k].Message.Digest++
		}
		for _, e := range append(slices.Clone(effects), func() []Effect { e, _ := m.Step(at, at, inputs); return e }()...) {
			if e.Kind == Exchange {
				exchanges++
			}
		}
		return exchanges
	}
	now, exchanges := m.wakeAt, 0
	for k := range 60 { // new records come for 6 s
		now += 100 * ms
		r := record(fmt.Sprint("e", k), 100)
		m.applyRecord(&r, -1)
		exchanges += stepWithDifferingDigests(now)
	}
	assert.Zero(t, exchanges, "no exchange while new records come, since a table would be outdated at once")
	for end := now + syncQuietTime + 100*ms; now < end; now += 100 * ms {
		exchanges += stepWithDifferingDigests(now)
	}
	assert.Equal(t, 1, exchanges, "an exchange starts when gossip is quiet")
	m.Step(now, now, []Input{{Kind: ExchangeFailed, ExchangeID: m.syncExchangeID}})
	exchanges = 0
	for k := range 150 { // 15 s
		now += 100 * ms
		r := record(fmt.Sprint("f", k), 100)
		m.applyRecord(&r, -1)
		exchanges += stepWithDifferingDigests(now)
	}
	assert.Equal(t, 1, exchanges, "new records defer an exchange for a limited time")
}

// Each publication sends a record through the whole fleet, so links closed shortly after each other are published in one.
func TestClosedLinksArePublishedTogether(t *testing.T) {
	m := newLinkedMembers("b", "c", "d", "e", "f")
	runUntil(m, m.wakeAt, m.wakeAt+gainedPublishInterval, true)
	var links []int8
	for k := range m.links {
		if m.links[k].member >= 0 {
			links = append(links, int8(k))
		}
	}
	version, closed, confirmedAt := m.Self().RecordVersion, m.unpausedTime, m.links[links[1]].confirmedAt
	m.closeLink(links[0])
	runUntil(m, m.wakeAt, closed+gainedPublishInterval, true)
	m.closeLink(links[1])
	for m.wakeAt-m.pausedTime < closed+closedPublishDelay {
		assert.Equal(t, version, m.Self().RecordVersion, "no record version for each closed link")
		m.Step(m.wakeAt, 100, nil)
	}
	for m.unpausedTime < closed+closedPublishDelay {
		m.Step(m.wakeAt, 100, nil)
	}
	assert.Equal(t, version+1, m.Self().RecordVersion, "one record version for both closed links")
	assert.Less(t, closed+closedPublishDelay, confirmedAt+testConfig.LinkTimeout, "published before the peer detects silence")
	m.closeLink(links[2])
	l := &m.links[links[3]]
	l.confirmedAt = m.unpausedTime - testConfig.LinkTimeout - 1
	m.probeLinks()
	assert.LessOrEqual(t, m.publishAt, m.unpausedTime+publishInterval, "a lost link is published without closedPublishDelay, together with closed ones")
}
