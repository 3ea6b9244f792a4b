package configsync

import (
	"bytes"
	"fmt"
	"math/bits"
	"testing"

	"github.com/stretchr/testify/require"
)

// quarterContent is a content of a quarterContent of the wanted size.
func quarterContent(t *testing.T) *Content { return fullContent(t, 1_175, 32_500) }

// scattered are changes of tenants of a content that lie scattered: no two of them are neighbours.
func scattered(c *Content, n int) (list []Item) {
	k, step := 0, c.Len(Tenants)/n
	for i := range c.All {
		if i.Part != Tenants {
			continue
		}
		if k++; k%step == 0 && len(list) < n {
			list = append(list, Item{Tenants, i.Name, []byte(fmt.Sprintf(`{"quota_rps":%d,"weight":7}`, 100_000+k))})
		}
	}
	return list
}

// TestAThousandItemsApartAreInForceAsThePaceAllows has one version of 1,000 items that lie apart, whose record is more than one answer.
func TestAThousandItemsApartAreInForceAsThePaceAllows(t *testing.T) {
	nodes, seats := *apartFleet, max(3, *apartFleet/144)
	sim, c := newFleetSimulation(*apartSeed, nodes, seats, 5, 2, 30*ms), quarterContent(t)
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
	sim.put(a, scattered(c, 1_000)...)
	for sim.agreed.Head().Newest == revision.Version {
		sim.run(sim.now + 10*ms)
	}
	begin, record := sim.now, sim.agreed.log[0].wire()
	for sim.unsettled() != "" && sim.now < begin+300_000*ms && sim.failure == "" {
		sim.run(sim.now + 500*ms)
	}
	require.Empty(t, sim.failure)
	require.Empty(t, sim.unsettled())
	took, missing := sim.inForce(revision.Version+1, begin)
	require.Zero(t, missing)
	t.Logf("%d bytes of changes, %d nodes: half after %d ms, 99 in 100 %d ms, the last %d ms (simulated)", record.bytes(), len(sim.nodes),
		took[len(took)/2]/ms, took[len(took)*99/100]/ms, took[len(took)-1]/ms)
	all := int64(record.bytes() + Blocks*digestBytes) // that one node gets
	doublings := int64(bits.Len(uint((nodes+seats-1)/seats - 1)))
	bound := canaryDuration + replicaFallbackDelay + doublings*all*1_000_000_000/bytesPerSecond
	t.Logf("the pace allows %d ms: all have it once those that do doubled %d times, each as long as a node needs to give %d bytes", bound/ms, doublings, all)
	require.LessOrEqual(t, took[len(took)-1], bound)
	sim.check()
	require.Empty(t, sim.failure)
}

// suppliers are peers that have a content and a further version of it, whose record is more than one answer.
type suppliers struct {
	*Table
	base  *Content
	first Revision
	nodes map[string]*Replicator
}

func newSuppliers(t *testing.T) *suppliers {
	c := fullContent(t, 100, 3_000)
	g := &suppliers{Table: NewTable(), base: c, first: Revision{1, c.Digest()}, nodes: map[string]*Replicator{}}
	g.newest, g.all, g.canary = c, c, c
	g.head = HeadRevision{All: g.first, First: g.first, Newest: 1}
	for _, name := range []string{"a", "b"} {
		g.nodes[name] = NewReplicator(0, ReplicatorConfig{Name: name, Seed: 2}, InitialState{Mark: g.first, Content: c})
	}
	return g
}

// put makes a further version, which the givers have.
func (g *suppliers) put(t *testing.T, changes ...Item) Revision {
	v := g.Apply(1, putOn(g.head.Newest, g.head.Newest, changes...))
	require.True(t, v.Done, v.Refused)
	r := g.log[len(g.log)-1].wire()
	revision := Revision{r.Version, r.Digest}
	for _, n := range g.nodes {
		n.setReady(revision, g.newest, []*Record{&r})
	}
	return revision
}

// fetcher is a node that has the version before, and two neighbours.
func (g *suppliers) fetcher() *Replicator {
	r := newTestReplicator()
	r.applied, r.ready, r.disk.revision, r.appliedContent, r.readyContent = g.first, g.first, g.first, g.base, g.base
	return r
}

// answer is what a peer says to an ask. It may give again at once.
func (g *suppliers) answer(now int64, e Effect) *Message {
	n := g.nodes[e.To]
	n.tokens, n.refilledAt = burstBytes, now
	for _, p := range n.peers {
		p.tokens = burstBytes
	}
	ask := *e.Message
	effects, _ := n.Step(now, []Input{{Kind: Asked, From: "n", Link: 1, Message: &ask}})
	return effectsOf(effects, Reply)[0].Message
}

// fetch has an asker fetch until it has a version; each answer can be changed, nil for lost. It gives how often who answered and the bytes.
func (g *suppliers) fetch(t *testing.T, r *Replicator, goal Revision, change func(k int, from string, m *Message) []*Message) (from map[string]int, bytes int) {
	from = map[string]int{}
	in := []Input{confirmation(goal, goal), announcement("a", HeadRevision{All: goal, First: goal}, goal), announcement("b", HeadRevision{All: goal, First: goal}, goal)}
	k, most := 0, g.head.Newest
	for now := r.refilledAt + 500*ms; r.ready != goal && g.head.Newest == most; now += 10 * ms {
		require.Less(t, now, 900_000*ms)
		effects, _ := r.Step(now, in)
		in = nil
		for _, e := range effectsOf(effects, Exchange) {
			if g.nodes[e.To] == nil {
				in = append(in, Input{Kind: Missed, Link: e.Link})
				continue
			}
			for _, m := range change(k, e.To, g.answer(now, e)) {
				if m != nil {
					from[e.To]++
					bytes += m.size()
					in = append(in, Input{Kind: Answered, Link: e.Link, Message: m})
				}
			}
			k++
		}
		if r.Counters.InvalidResponses > 0 { // a peer that is set aside tells again
			in = append(in, announcement("a", HeadRevision{All: goal, First: goal}, goal), announcement("b", HeadRevision{All: goal, First: goal}, goal))
		}
	}
	return from, bytes
}

func unchanged(_ int, _ string, m *Message) []*Message { return []*Message{m} }

// TestChangesOfBlocksComeFromAnyPeer loses some answers, doubles some, and wants what came to go on to others.
func TestChangesOfBlocksComeFromAnyPeer(t *testing.T) {
	g := newSuppliers(t)
	two := g.put(t, scattered(g.base, 1_000)...)
	record := g.log[0].wire()
	require.Greater(t, record.bytes(), 2*maxPieceBytes)
	r := g.fetcher()
	from, bytes := g.fetch(t, r, two, func(k int, _ string, m *Message) []*Message {
		require.LessOrEqual(t, m.size(), 180+maxPieceBytes, "one answer's worth")
		return [][]*Message{{m}, nil, {m, m}}[k%3]
	})
	require.Equal(t, two, r.ready)
	require.Zero(t, r.Counters.InvalidResponses)
	require.Positive(t, from["a"])
	require.Positive(t, from["b"])
	require.Less(t, bytes, 2*(record.bytes()+2*Blocks*digestBytes), "doubled ones count twice here")
	require.True(t, len(r.changesBetween(g.first, two)) == len(record.Changes), "others can have them of this node")
	require.Empty(t, r.changesBetween(g.first, Revision{2, Digest{A: 1}}), "not those to another content")
	require.Empty(t, r.changesBetween(Revision{1, Digest{A: 1}}, two), "nor from one")
	require.Len(t, r.log, 1)
	require.Equal(t, blockDeltas{}, r.assembly.deltas, "nothing is kept twice")
	g.nodes["a"], g.nodes["b"] = r, r
	again := g.fetcher()
	g.fetch(t, again, two, unchanged)
	require.Equal(t, two, again.ready)
	require.Equal(t, g.newest.Digest(), again.readyContent.Digest())
}

// TestWhoGivesFalseChangesIsSetAside has one peer give changes that aren't so, in some ways; the other one never is, and what it gave stays.
func TestWhoGivesFalseChangesIsSetAside(t *testing.T) {
	for name, spoil := range map[string]func(list []Block){
		"a value":          func(list []Block) { list[0].Changes[0].Value = []byte(`{"quota_rps":1}`) },
		"an item less":     func(list []Block) { list[len(list)-1].Changes = list[len(list)-1].Changes[1:] },
		"nothing":          func(list []Block) { list[0].Changes = nil },
		"another block":    func(list []Block) { list[0].Changes[0] = list[1].Changes[0] },
		"no such block":    func(list []Block) { list[0].N = Blocks },
		"the same again":   func(list []Block) { list[1] = list[0] },
		"no such part":     func(list []Block) { list[0].Changes[0].Part = "x" },
		"a name too long":  func(list []Block) { list[0].Changes[0].Name = string(make([]byte, maxNameBytes+1)) },
		"one more of them": func(list []Block) { list[0].Changes = append(list[0].Changes, Item{Tenants, "false", []byte("1")}) },
	} {
		g := newSuppliers(t)
		two := g.put(t, scattered(g.base, 1_000)...)
		r, kept := g.fetcher(), 0
		g.fetch(t, r, two, func(_ int, from string, m *Message) []*Message {
			require.GreaterOrEqual(t, len(r.assembly.deltas.blocks), kept, "%s: what came stays", name)
			if kept = len(r.assembly.deltas.blocks); from == "b" && len(m.Blocks) > 1 {
				again, list := *m, make([]Block, len(m.Blocks))
				for k, b := range m.Blocks {
					list[k] = Block{N: b.N, Text: b.Text, Changes: append([]Item(nil), b.Changes...)}
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

// TestChangesOnTheirWayAreKeptWhenTheVersionMovesOn has a further version agreed on once half of the changes came.
func TestChangesOnTheirWayAreKeptWhenTheVersionMovesOn(t *testing.T) {
	g := newSuppliers(t)
	list := scattered(g.base, 1_000)
	two := g.put(t, list...)
	r, part, three := g.fetcher(), 0, Revision{}
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

// TestChangesOverSomeVersionsAreGivenOn has a node go over two versions at once, whose records it doesn't have then.
func TestChangesOverSomeVersionsAreGivenOn(t *testing.T) {
	g := newSuppliers(t)
	list := scattered(g.base, 1_000)
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

// TestWhatCameSoFarIsGivenOn has a node with some of the blocks give them, and the index.
func TestWhatCameSoFarIsGivenOn(t *testing.T) {
	g := newSuppliers(t)
	two := g.put(t, scattered(g.base, 1_000)...)
	r, again := g.fetcher(), g.fetcher()
	r.assembly.index, r.assembly.revision = g.newest.index(), two
	ask, answer := &Message{Kind: Fetch, Has: g.first, Want: two}, &Message{Kind: Piece}
	r.requestMissing(ask)
	g.nodes["a"].serveBlocks(ask, answer)
	came := 100
	r.storeBlocks(1, r.peerFor(1, "a"), answer.Blocks[:came])

	ask, answer = &Message{Kind: Fetch, Has: g.first, Want: two, Sums: g.base.pageSums()}, &Message{Kind: Piece}
	r.serveFetch(2, "again", ask, answer)
	again.fetch.want, again.fetch.base = two, again.assemblyBase()
	require.True(t, again.applyIndex(answer))

	ask, answer = &Message{Kind: Fetch, Has: g.first, Want: two}, &Message{Kind: Piece}
	again.requestMissing(ask)
	r.serveBlocks(ask, answer)
	require.Len(t, answer.Blocks, came, "all of them")
	other, none := *ask, &Message{Kind: Piece}
	other.Has = Revision{1, Digest{A: 1}}
	r.serveDeltas(&other, none)
	require.Empty(t, none.Blocks, "it doesn't know what changed since another content")
	again.storeBlocks(3, again.peerFor(3, "n"), answer.Blocks)
	require.Zero(t, again.Counters.InvalidResponses)
	require.True(t, len(again.assembly.deltas.blocks) == came)

	three := g.put(t, answer.Blocks[0].Changes[0], Item{Tenants, answer.Blocks[0].Changes[0].Name, []byte("3")})
	r.assembly.index, r.assembly.revision = g.newest.index(), three // what came of one block is of the version before
	ask, answer = &Message{Kind: Fetch, Has: g.first, Want: three}, &Message{Kind: Piece}
	again.assembly.index, again.assembly.content = r.assembly.index, nil
	again.requestMissing(ask)
	r.serveBlocks(ask, answer)
	require.Len(t, answer.Blocks, came-1)
}

// TestPeersOfAnOlderBuildGiveAndGetWholeBlocks has an ask and an answer without what older builds don't know.
func TestPeersOfAnOlderBuildGiveAndGetWholeBlocks(t *testing.T) {
	g := newSuppliers(t)
	two := g.put(t, scattered(g.base, 1_000)...)
	r := g.fetcher()
	r.assembly.index = g.newest.index()
	ask := &Message{Kind: Fetch, Has: g.first, Want: two}
	r.requestMissing(ask)
	require.Len(t, ask.Wanted, maxWantedBlocks)
	answer := &Message{Kind: Piece}
	g.nodes["a"].serveBlocks(ask, answer)
	require.NotEmpty(t, answer.Blocks[0].Changes)
	ask.Missing, answer = nil, &Message{Kind: Piece}
	g.nodes["a"].serveBlocks(ask, answer)
	require.NotEmpty(t, answer.Blocks)
	for _, b := range answer.Blocks {
		require.Empty(t, b.Changes)
		require.NotEmpty(t, b.Text)
	}
	r = g.fetcher()
	for _, n := range g.nodes { // they know nothing of changes
		n.log, n.logSize = nil, 0
	}
	g.fetch(t, r, two, unchanged)
	require.Equal(t, two, r.ready)
	require.Equal(t, g.newest.Digest(), r.readyContent.Digest())
	require.True(t, len(r.changesBetween(g.first, two)) == 1_000, "what differs is known all the same")
}

// TestBlocksThatAreLessThanTheirChangesComeWhole removes nearly all.
func TestBlocksThatAreLessThanTheirChangesComeWhole(t *testing.T) {
	g := newSuppliers(t)
	var gone []Item
	for i := range g.base.All {
		if len(gone) < 2_900 {
			gone = append(gone, Item{Part: i.Part, Name: i.Name})
		}
	}
	two, whole, parted := g.put(t, gone...), 0, 0
	r := g.fetcher()
	g.fetch(t, r, two, func(_ int, _ string, m *Message) []*Message {
		for _, b := range m.Blocks {
			if len(b.Changes) > 0 {
				parted++
				text, _ := g.newest.Block(int(b.N))
				require.Less(t, sizeOf(b.Changes), len(text))
			} else {
				whole++
			}
		}
		return []*Message{m}
	})
	require.Equal(t, two, r.ready)
	require.Greater(t, whole, parted)
}

func TestChangesOnTheirWayAreBounded(t *testing.T) {
	var d blockDeltas
	big := []Item{{Tenants, "x", make([]byte, maxValueBytes)}}
	for n := range maxRetainedBytes/maxValueBytes - 10 {
		d.put(n, big)
		d.put(n, big) // in the place of the first
	}
	require.NotEmpty(t, d.blocks)
	for n := range 20 {
		d.put(maxRetainedBytes/maxValueBytes+n, big)
	}
	require.True(t, d.overflowed)
	require.Empty(t, d.blocks)
	d.put(1, big)
	require.Empty(t, d.blocks, "nor afterwards")
}

// TestWhatWasTakenBackIsNoChange has a version whose changes came taken back while they travel.
func TestWhatWasTakenBackIsNoChange(t *testing.T) {
	g := newSuppliers(t)
	list := scattered(g.base, 1_000)
	two := g.put(t, list...)
	r := g.fetcher()
	fill := func(index *Content, revision Revision, whole bool) {
		r.assembly.index, r.assembly.revision = index.index(), revision
		ask, answer := &Message{Kind: Fetch, Has: g.first, Want: revision}, &Message{Kind: Piece}
		if r.requestMissing(ask); whole {
			ask.Missing = nil
		}
		g.nodes["a"].serveBlocks(ask, answer)
		r.storeBlocks(1, r.peerFor(1, "a"), answer.Blocks)
	}
	fill(g.newest, two, false)
	came := len(r.assembly.deltas.blocks)
	require.Greater(t, came, maxWantedBlocks)
	var back []Item
	for _, i := range list {
		back = append(back, Item{i.Part, i.Name, g.base.Get(i.Part, i.Name)})
	}
	three := g.put(t, back...)
	fill(g.newest, three, true)
	require.Zero(t, r.Counters.InvalidResponses)
	ask, answer := &Message{Kind: Fetch, Has: g.first, Want: three, Missing: bytes.Repeat([]byte{255}, Blocks/8), Wanted: []uint16{0}}, &Message{Kind: Piece}
	r.serveDeltas(ask, answer)
	require.Empty(t, answer.Blocks, "nothing differs")
	taken := 0
	for _, changes := range r.assembly.deltas.blocks {
		if len(changes) == 0 {
			taken++
		}
	}
	require.Equal(t, maxWantedBlocks, taken)
}

// TestChangesAreCarriedOutOnWhatTheyAreFrom has a block come of a version whose change the next one takes back.
func TestChangesAreCarriedOutOnWhatTheyAreFrom(t *testing.T) {
	g := newSuppliers(t)
	two := g.put(t, scattered(g.base, 1_000)...)
	r := g.fetcher()
	r.assembly.index, r.assembly.revision = g.newest.index(), two
	ask, answer := &Message{Kind: Fetch, Has: g.first, Want: two}, &Message{Kind: Piece}
	r.requestMissing(ask)
	g.nodes["a"].serveBlocks(ask, answer)
	r.storeBlocks(1, r.peerFor(1, "a"), answer.Blocks)
	n, name := 0, ""
	for k := 0; n == 0; k++ { // one that falls there too
		if i := tenant(k, "1"); len(r.assembly.deltas.blocks[i.block()]) > 0 {
			n, name = i.block(), i.Name
		}
	}
	only := []Item{{Tenants, name, []byte("1")}}
	next, err := g.base.Apply(only)
	require.NoError(t, err)
	r.assembly.index, r.assembly.revision = next.index(), Revision{3, next.Digest()}
	r.requestMissing(&Message{})
	require.True(t, r.mergeDeltas([]Block{{N: uint16(n), Changes: only}}))
	require.True(t, len(r.assembly.deltas.blocks[n]) == 1)
}

// TestThosePutOffAskOneAfterAnother has a node that gave what its pace allows be asked by all at once.
func TestThosePutOffAskOneAfterAnother(t *testing.T) {
	g := newSuppliers(t)
	two := g.put(t, scattered(g.base, 1_000)...)
	r, now := g.nodes["a"], 1_000*ms
	names := []string{"n0", "n1", "n2", "n3"}
	r.Step(now, []Input{{Kind: Viewed, View: &View{Neighbours: names}}})
	for _, most := range []int64{maxFetchBackoff, maxNonNeighbourWait} {
		r.tokens, r.refilledAt = 0, now
		var busy []int64
		for k := range 12 {
			from, answer := fmt.Sprint("far", k), &Message{}
			if most == maxFetchBackoff {
				from = names[k%len(names)]
			}
			r.serveFetch(now, from, &Message{Kind: Fetch, Has: g.first, Want: two}, answer)
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

// TestBlocksThatWereNotAskedForAreFalse has sound changes come as the answer to an ask for the index.
func TestBlocksThatWereNotAskedForAreFalse(t *testing.T) {
	g := newSuppliers(t)
	g.put(t, scattered(g.base, 1_000)...)
	r, item := g.fetcher(), g.log[0].Changes[0]
	r.storeBlocks(1, r.peerFor(1, "a"), []Block{{N: uint16(item.block()), Changes: []Item{item}}})
	require.Equal(t, 1, r.peers["a"].invalidResponses)
}
