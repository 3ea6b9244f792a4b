package configsync

import (
	"bytes"
	"fmt"
	"math/bits"
	"testing"

	"github.com/stretchr/testify/require"
)

// One version changes 1,000 scattered items, so its record exceeds one answer. It must be in force on all nodes as soon as the rate limit
// allows.
func TestThousandItemsScatteredAreInForceAsTheRateAllows(t *testing.T) {
	nodes := *apartFleet
	replicas := max(3, *apartFleet/144)
	sim := newFleetSimulation(*apartSeed, nodes, replicas, 5, 2, 30*ms)
	c := quarterContent(t)
	revision := sim.putWhole(t, c)
	for i, n := range sim.nodes {
		n.disk = simDisk{revision, c}
		sim.crash(i)
		sim.restart(i)
	}
	sim.run(sim.now + 15_000*ms)
	require.Empty(t, sim.unsettled())
	a := sim.callers[0]
	a.base = sim.agreed.Head().Newest
	sim.put(a, scattered(c)...)
	for sim.agreed.Head().Newest == revision.Version {
		sim.run(sim.now + 10*ms)
	}
	begin := sim.now
	record := sim.agreed.log[0].wire()
	for sim.unsettled() != "" && sim.now < begin+300_000*ms && sim.failure == "" {
		sim.run(sim.now + 500*ms)
	}
	require.Empty(t, sim.failure)
	require.Empty(t, sim.unsettled())
	took, missing := sim.inForce(revision.Version+1, begin)
	require.Zero(t, missing)
	t.Logf("%d bytes of changes, %d nodes: half after %d ms, 99 in 100 %d ms, the last %d ms (simulated)", record.bytes(), len(sim.nodes),
		took[len(took)/2]/ms, took[len(took)*99/100]/ms, took[len(took)-1]/ms)
	all := int64(record.bytes() + Blocks*digestBytes) // bytes that one node receives
	doublings := int64(bits.Len(uint((nodes+replicas-1)/replicas - 1)))
	bound := canaryDuration + replicaFallbackDelay + doublings*all*1_000_000_000/bytesPerSecond
	t.Logf("the rate allows %d ms: %d doublings of the nodes with the version, each as long as a node takes to send %d bytes", bound/ms, doublings, all)
	require.LessOrEqual(t, took[len(took)-1], bound)
	sim.check()
	require.Empty(t, sim.failure)
}

// Some answers are lost and some duplicated. All blocks must arrive, from both peers, and the fetching node must be able to serve them.
func TestChangesOfBlocksComeFromAnyPeer(t *testing.T) {
	g := newSuppliers(t)
	two := g.put(t, scattered(g.base)...)
	record := g.log[0].wire()
	require.Greater(t, record.bytes(), 2*maxPieceBytes)
	r := g.fetcher()
	from, bytes := g.fetch(t, r, two, func(k int, _ string, m *Message) []*Message {
		require.LessOrEqual(t, m.size(), 180+maxPieceBytes, "an answer is limited to maxPieceBytes")
		return [][]*Message{{m}, nil, {m, m}}[k%3]
	})
	require.Equal(t, two, r.ready)
	require.Zero(t, r.Counters.InvalidResponses)
	require.Positive(t, from["a"])
	require.Positive(t, from["b"])
	require.Less(t, bytes, 2*(record.bytes()+2*Blocks*digestBytes), "duplicates count twice here")
	require.True(t, len(r.changesBetween(g.first, two)) == len(record.Changes), "this node can serve them")
	require.Empty(t, r.changesBetween(g.first, Revision{2, Digest{A: 1}}), "changes to another content are not served")
	require.Empty(t, r.changesBetween(Revision{1, Digest{A: 1}}, two), "changes from another content are not served")
	require.Len(t, r.log, 1)
	require.Equal(t, blockDeltas{}, r.assembly.deltas, "nothing is stored twice")
	g.nodes["a"], g.nodes["b"] = r, r
	again := g.fetcher()
	g.fetch(t, again, two, unchanged)
	require.Equal(t, two, again.ready)
	require.Equal(t, g.newest.Digest(), again.readyContent.Digest())
}

// One peer answers with invalid changes of several kinds. It must be penalized; the other peer must not be, and fetched blocks are kept.
func TestPeerWithInvalidChangesIsPenalized(t *testing.T) {
	for name, spoil := range map[string]func(list []Block){
		"a value differs":             func(list []Block) { list[0].Changes[0].Value = []byte(`{"quota_rps":1}`) },
		"an item is missing":          func(list []Block) { list[len(list)-1].Changes = list[len(list)-1].Changes[1:] },
		"a block is empty":            func(list []Block) { list[0].Changes = nil },
		"an item is of another block": func(list []Block) { list[0].Changes[0] = list[1].Changes[0] },
		"no such block":               func(list []Block) { list[0].Number = Blocks },
		"a block is repeated":         func(list []Block) { list[1] = list[0] },
		"no such part":                func(list []Block) { list[0].Changes[0].Part = "x" },
		"a name is too long":          func(list []Block) { list[0].Changes[0].Name = string(make([]byte, maxNameBytes+1)) },
		"an item is added":            func(list []Block) { list[0].Changes = append(list[0].Changes, Item{Tenants, "false", []byte("1")}) },
	} {
		g := newSuppliers(t)
		two := g.put(t, scattered(g.base)...)
		r := g.fetcher()
		kept := 0
		g.fetch(t, r, two, func(_ int, from string, m *Message) []*Message {
			require.GreaterOrEqual(t, len(r.assembly.deltas.blocks), kept, "%s: fetched blocks are retained", name)
			kept = len(r.assembly.deltas.blocks)
			if from == "b" && len(m.Blocks) > 1 {
				again := *m
				list := make([]Block, len(m.Blocks))
				for k, b := range m.Blocks {
					list[k] = Block{Number: b.Number, Text: b.Text, Changes: append([]Item(nil), b.Changes...)}
				}
				spoil(list)
				again.Blocks = list
				return []*Message{&again}
			}
			return []*Message{m}
		})
		require.Equal(t, two, r.ready, name)
		require.Equal(t, g.newest.Digest(), r.readyContent.Digest(), name)
		require.Zero(t, r.peers["a"].invalidResponses, name)
		require.Positive(t, r.Counters.InvalidResponses, name)
	}
}

// A further version is agreed on after some of the changes were fetched. They must not be fetched again.
func TestFetchedChangesAreKeptWhenTheVersionMovesOn(t *testing.T) {
	g := newSuppliers(t)
	list := scattered(g.base)
	two := g.put(t, list...)
	r := g.fetcher()
	part := 0
	three := Revision{}
	_, first := g.fetch(t, r, two, func(_ int, _ string, m *Message) []*Message {
		if len(m.Blocks) > 0 && part == 0 {
			part = len(m.Blocks)
			three = g.put(t, list[0], Item{Tenants, list[0].Name, []byte(`{"quota_rps":3}`)}, Item{Part: Tenants, Name: list[7].Name}, tenant(1, "1"))
		}
		return []*Message{m}
	})
	require.Equal(t, g.first, r.ready)
	_, second := g.fetch(t, r, three, unchanged)
	require.Equal(t, three, r.ready)
	require.Equal(t, g.newest.Digest(), r.readyContent.Digest())
	require.Zero(t, r.Counters.InvalidResponses)
	require.Less(t, first+second, g.log[0].bytes()+3*Blocks*digestBytes)
}

// A node that moved over two versions at once has no records of them. It must serve the changes of the blocks all the same.
func TestChangesOverSeveralVersionsAreServed(t *testing.T) {
	g := newSuppliers(t)
	list := scattered(g.base)
	g.put(t, list...)
	three := g.put(t, list[0], Item{Tenants, list[0].Name, []byte(`{"quota_rps":3}`)}, Item{Part: Tenants, Name: list[7].Name}, tenant(1, "1"))
	r := g.fetcher()
	g.fetch(t, r, three, unchanged)
	require.Equal(t, three, r.ready)
	require.Empty(t, r.log)
	g.nodes["a"], g.nodes["b"] = r, r
	four := g.put(t, tenant(2, "1"))
	again := g.fetcher()
	_, bytes := g.fetch(t, again, four, unchanged)
	require.Equal(t, four, again.ready)
	require.Equal(t, g.newest.Digest(), again.readyContent.Digest())
	require.Less(t, bytes, g.log[0].bytes()+3*Blocks*digestBytes)
}

// A node that has fetched only some blocks serves these blocks and the index.
func TestPartialAssemblyIsServed(t *testing.T) {
	g := newSuppliers(t)
	two := g.put(t, scattered(g.base)...)
	r := g.fetcher()
	again := g.fetcher()
	r.assembly.index = g.newest.index()
	r.assembly.revision = two
	fetch := &Message{Kind: MessageFetch, Has: g.first, Want: two}
	answer := &Message{Kind: MessageContent}
	r.requestMissing(fetch)
	g.nodes["a"].serveBlocks(fetch, answer)
	fetched := 100
	r.storeBlocks(1, r.peerFor(1, "a"), answer.Blocks[:fetched])

	fetch = &Message{Kind: MessageFetch, Has: g.first, Want: two, Sums: g.base.pageDigests()}
	answer = &Message{Kind: MessageContent}
	r.serveFetch(2, "again", fetch, answer)
	again.fetch.want = two
	again.fetch.base = again.assemblyBase()
	require.True(t, again.applyIndex(answer))

	fetch = &Message{Kind: MessageFetch, Has: g.first, Want: two}
	answer = &Message{Kind: MessageContent}
	again.requestMissing(fetch)
	r.serveBlocks(fetch, answer)
	require.Len(t, answer.Blocks, fetched, "all fetched blocks are served")
	other := *fetch
	none := &Message{Kind: MessageContent}
	other.Has = Revision{1, Digest{A: 1}}
	r.serveDeltas(&other, none)
	require.Empty(t, none.Blocks, "the changes from another content are unknown")
	again.storeBlocks(3, again.peerFor(3, "n"), answer.Blocks)
	require.Zero(t, again.Counters.InvalidResponses)
	require.True(t, len(again.assembly.deltas.blocks) == fetched)

	three := g.put(t, answer.Blocks[0].Changes[0], Item{Tenants, answer.Blocks[0].Changes[0].Name, []byte("3")})
	r.assembly.index = g.newest.index() // the fetched changes of one block belong to the previous version
	r.assembly.revision = three
	fetch = &Message{Kind: MessageFetch, Has: g.first, Want: three}
	answer = &Message{Kind: MessageContent}
	again.assembly.index = r.assembly.index
	again.assembly.content = nil
	again.requestMissing(fetch)
	r.serveBlocks(fetch, answer)
	require.Len(t, answer.Blocks, fetched-1)
}

// A fetch of an older build has no Missing field, so it must be answered with whole blocks.
func TestPeersOfAnOlderBuildExchangeWholeBlocks(t *testing.T) {
	g := newSuppliers(t)
	two := g.put(t, scattered(g.base)...)
	r := g.fetcher()
	r.assembly.index = g.newest.index()
	fetch := &Message{Kind: MessageFetch, Has: g.first, Want: two}
	r.requestMissing(fetch)
	require.Len(t, fetch.Wanted, maxWantedBlocks)
	answer := &Message{Kind: MessageContent}
	g.nodes["a"].serveBlocks(fetch, answer)
	require.NotEmpty(t, answer.Blocks[0].Changes)
	fetch.Missing = nil
	answer = &Message{Kind: MessageContent}
	g.nodes["a"].serveBlocks(fetch, answer)
	require.NotEmpty(t, answer.Blocks)
	for _, b := range answer.Blocks {
		require.Empty(t, b.Changes)
		require.NotEmpty(t, b.Text)
	}
	r = g.fetcher()
	for _, n := range g.nodes { // without records, as on a peer that lacks them
		n.log = nil
		n.logSize = 0
	}
	g.fetch(t, r, two, unchanged)
	require.Equal(t, two, r.ready)
	require.Equal(t, g.newest.Digest(), r.readyContent.Digest())
	require.True(t, len(r.changesBetween(g.first, two)) == 1_000, "the changes are computed from whole blocks")
}

// Nearly all items are removed, so most blocks are smaller than their changes.
func TestBlocksSmallerThanTheirChangesAreSentWhole(t *testing.T) {
	g := newSuppliers(t)
	var gone []Item
	for i := range g.base.All {
		if len(gone) < 2_900 {
			gone = append(gone, Item{Part: i.Part, Name: i.Name})
		}
	}
	two := g.put(t, gone...)
	whole := 0
	asChanges := 0
	r := g.fetcher()
	g.fetch(t, r, two, func(_ int, _ string, m *Message) []*Message {
		for _, b := range m.Blocks {
			if len(b.Changes) > 0 {
				asChanges++
				text, _ := g.newest.Block(int(b.Number))
				require.Less(t, sizeOf(b.Changes), len(text))
			} else {
				whole++
			}
		}
		return []*Message{m}
	})
	require.Equal(t, two, r.ready)
	require.Greater(t, whole, asChanges)
}

func TestBlockDeltasAreBounded(t *testing.T) {
	var d blockDeltas
	big := []Item{{Tenants, "x", make([]byte, maxValueBytes)}}
	for n := range maxRetainedBytes/maxValueBytes - 10 {
		d.put(n, big)
		d.put(n, big) // replaces the first
	}
	require.NotEmpty(t, d.blocks)
	for n := range 20 {
		d.put(maxRetainedBytes/maxValueBytes+n, big)
	}
	require.True(t, d.overflowed)
	require.Empty(t, d.blocks)
	d.put(1, big)
	require.Empty(t, d.blocks, "no changes are stored after an overflow")
}

// A version is reverted while its changes are fetched. Blocks that are equal to the original ones again must not count as changed.
func TestRevertedChangeIsNoChange(t *testing.T) {
	g := newSuppliers(t)
	list := scattered(g.base)
	two := g.put(t, list...)
	r := g.fetcher()
	fill := func(index *Content, revision Revision, whole bool) {
		r.assembly.index = index.index()
		r.assembly.revision = revision
		fetch := &Message{Kind: MessageFetch, Has: g.first, Want: revision}
		answer := &Message{Kind: MessageContent}
		r.requestMissing(fetch)
		if whole {
			fetch.Missing = nil
		}
		g.nodes["a"].serveBlocks(fetch, answer)
		r.storeBlocks(1, r.peerFor(1, "a"), answer.Blocks)
	}
	fill(g.newest, two, false)
	fetched := len(r.assembly.deltas.blocks)
	require.Greater(t, fetched, maxWantedBlocks)
	var back []Item
	for _, i := range list {
		back = append(back, Item{i.Part, i.Name, g.base.Get(i.Part, i.Name)})
	}
	three := g.put(t, back...)
	fill(g.newest, three, true)
	require.Zero(t, r.Counters.InvalidResponses)
	fetch := &Message{Kind: MessageFetch, Has: g.first, Want: three, Missing: bytes.Repeat([]byte{255}, Blocks/8), Wanted: []uint16{0}}
	answer := &Message{Kind: MessageContent}
	r.serveDeltas(fetch, answer)
	require.Empty(t, answer.Blocks, "nothing differs")
	unchangedBlocks := 0
	for _, changes := range r.assembly.deltas.blocks {
		if len(changes) == 0 {
			unchangedBlocks++
		}
	}
	require.Equal(t, maxWantedBlocks, unchangedBlocks)
}

// The next version reverts the change of a fetched block. Changes to that block must be applied to the ready version's block, from which
// they were requested, and not to the fetched one.
func TestChangesAreAppliedToTheirBase(t *testing.T) {
	g := newSuppliers(t)
	two := g.put(t, scattered(g.base)...)
	r := g.fetcher()
	r.assembly.index = g.newest.index()
	r.assembly.revision = two
	fetch := &Message{Kind: MessageFetch, Has: g.first, Want: two}
	answer := &Message{Kind: MessageContent}
	r.requestMissing(fetch)
	g.nodes["a"].serveBlocks(fetch, answer)
	r.storeBlocks(1, r.peerFor(1, "a"), answer.Blocks)
	n := 0
	name := ""
	for k := 0; n == 0; k++ { // an item in a fetched block
		if i := tenant(k, "1"); len(r.assembly.deltas.blocks[i.block()]) > 0 {
			n = i.block()
			name = i.Name
		}
	}
	only := []Item{{Tenants, name, []byte("1")}}
	next, err := g.base.Apply(only)
	require.NoError(t, err)
	r.assembly.index = next.index()
	r.assembly.revision = Revision{3, next.Digest()}
	r.requestMissing(&Message{})
	require.True(t, r.mergeDeltas([]Block{{Number: uint16(n), Changes: only}}))
	require.True(t, len(r.assembly.deltas.blocks[n]) == 1)
}

// A node that has used up its rate receives many fetches at once. The requesters must be deferred to successive times, so that they don't
// retry together.
func TestBusyAskersGetSuccessiveSlots(t *testing.T) {
	g := newSuppliers(t)
	two := g.put(t, scattered(g.base)...)
	r := g.nodes["a"]
	now := 1_000 * ms
	names := []string{"n0", "n1", "n2", "n3"}
	r.Step(now, []Input{{Kind: ViewChanged, View: &View{Neighbours: names}}})
	for _, most := range []int64{maxFetchBackoff, maxNonNeighbourWait} {
		r.tokens = 0
		r.refilledAt = now
		var busy []int64
		for k := range 12 {
			from := fmt.Sprint("far", k)
			answer := &Message{}
			if most == maxFetchBackoff {
				from = names[k%len(names)]
			}
			r.serveFetch(now, from, &Message{Kind: MessageFetch, Has: g.first, Want: two}, answer)
			busy = append(busy, answer.Busy)
		}
		require.Positive(t, busy[0])
		for k := 1; k < 3; k++ {
			require.GreaterOrEqual(t, busy[k], min(busy[k-1]+maxPieceBytes*1_000_000_000/bytesPerSecond, most))
		}
		require.LessOrEqual(t, busy[11], most)
		require.Greater(t, busy[11], most/2)
	}
}

// Blocks that were not requested are invalid, even if their changes are valid.
func TestUnrequestedBlocksAreInvalid(t *testing.T) {
	g := newSuppliers(t)
	g.put(t, scattered(g.base)...)
	r := g.fetcher()
	item := g.log[0].Changes[0]
	r.storeBlocks(1, r.peerFor(1, "a"), []Block{{Number: uint16(item.block()), Changes: []Item{item}}})
	require.Equal(t, 1, r.peers["a"].invalidResponses)
}
