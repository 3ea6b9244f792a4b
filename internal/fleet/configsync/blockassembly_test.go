package configsync

import (
	"bytes"
	"fmt"
	"math/bits"
	"testing"

	"github.com/stretchr/testify/require"
)

// quarter is a content of a quarter of the wanted size.
func quarter(t *testing.T) *Content { return full(t, 1_175, 32_500) }

// apart are changes of tenants of a content that lie apart: no two of them are neighbours.
func apart(c *Content, n int) (list []Item) {
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
	w, c := spread(*apartSeed, nodes, seats, 5, 2, 30*ms), quarter(t)
	mark := w.putWhole(t, c)
	for i, n := range w.nodes {
		n.disk = disk{mark, c}
		w.crash(i)
		w.restart(i)
	}
	w.run(w.now + 15_000*ms)
	require.Empty(t, w.settled())
	a := w.callers[0]
	a.base = w.order.Head().Newest
	w.put(a, apart(c, 1_000)...)
	for w.order.Head().Newest == mark.Version {
		w.run(w.now + 10*ms)
	}
	begin, record := w.now, w.order.log[0].wire()
	for w.settled() != "" && w.now < begin+300_000*ms && w.wrong == "" {
		w.run(w.now + 500*ms)
	}
	require.Empty(t, w.wrong)
	require.Empty(t, w.settled())
	took, missing := w.inForce(mark.Version+1, begin)
	require.Zero(t, missing)
	t.Logf("%d bytes of changes, %d nodes: half after %d ms, 99 in 100 %d ms, the last %d ms (simulated)", record.bytes(), len(w.nodes),
		took[len(took)/2]/ms, took[len(took)*99/100]/ms, took[len(took)-1]/ms)
	all := int64(record.bytes() + Blocks*digestBytes) // that one node gets
	doublings := int64(bits.Len(uint((nodes+seats-1)/seats - 1)))
	bound := canaryDuration + replicaFallbackDelay + doublings*all*1_000_000_000/bytesPerSecond
	t.Logf("the pace allows %d ms: all have it once those that do doubled %d times, each as long as a node needs to give %d bytes", bound/ms, doublings, all)
	require.LessOrEqual(t, took[len(took)-1], bound)
	w.check()
	require.Empty(t, w.wrong)
}

// givers are peers that have a content and a further version of it, whose record is more than one answer.
type givers struct {
	*Table
	base  *Content
	one   Revision
	nodes map[string]*Replicator
}

func give(t *testing.T) *givers {
	c := full(t, 100, 3_000)
	g := &givers{Table: NewTable(), base: c, one: Revision{1, c.Digest()}, nodes: map[string]*Replicator{}}
	g.newest, g.all, g.canary = c, c, c
	g.head = HeadRevision{All: g.one, First: g.one, Newest: 1}
	for _, name := range []string{"a", "b"} {
		g.nodes[name] = NewReplicator(0, ReplicatorConfig{Name: name, Seed: 2}, InitialState{Mark: g.one, Content: c})
	}
	return g
}

// put makes a further version, which the givers have.
func (g *givers) put(t *testing.T, changes ...Item) Revision {
	v := g.Apply(1, putOn(g.head.Newest, g.head.Newest, changes...))
	require.True(t, v.Done, v.Refused)
	r := g.log[len(g.log)-1].wire()
	mark := Revision{r.Version, r.Digest}
	for _, n := range g.nodes {
		n.setReady(mark, g.newest, []*Record{&r})
	}
	return mark
}

// asker is a node that has the version before, and two neighbours.
func (g *givers) asker() *Replicator {
	h := holding()
	h.applied, h.ready, h.disk.revision, h.appliedContent, h.readyContent = g.one, g.one, g.one, g.base, g.base
	return h
}

// answer is what a peer says to an ask. It may give again at once.
func (g *givers) answer(now int64, e Effect) *Message {
	n := g.nodes[e.To]
	n.tokens, n.refilledAt = burstBytes, now
	for _, p := range n.peers {
		p.tokens = burstBytes
	}
	ask := *e.Message
	effects, _ := n.Step(now, []Input{{Kind: Asked, From: "n", Link: 1, Message: &ask}})
	return pick(effects, Reply)[0].Message
}

// fetch has an asker fetch until it has a version; each answer can be changed, nil for lost. It gives how often who answered and the bytes.
func (g *givers) fetch(t *testing.T, h *Replicator, goal Revision, change func(k int, from string, m *Message) []*Message) (from map[string]int, bytes int) {
	from = map[string]int{}
	in := []Input{vouchedFor(goal, goal), told("a", HeadRevision{All: goal, First: goal}, goal), told("b", HeadRevision{All: goal, First: goal}, goal)}
	k, most := 0, g.head.Newest
	for now := h.refilledAt + 500*ms; h.ready != goal && g.head.Newest == most; now += 10 * ms {
		require.Less(t, now, 900_000*ms)
		effects, _ := h.Step(now, in)
		in = nil
		for _, e := range pick(effects, Exchange) {
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
		if h.Counters.InvalidResponses > 0 { // a peer that is set aside tells again
			in = append(in, told("a", HeadRevision{All: goal, First: goal}, goal), told("b", HeadRevision{All: goal, First: goal}, goal))
		}
	}
	return from, bytes
}

func as(_ int, _ string, m *Message) []*Message { return []*Message{m} }

// TestChangesOfBlocksComeFromAnyPeer loses some answers, doubles some, and wants what came to go on to others.
func TestChangesOfBlocksComeFromAnyPeer(t *testing.T) {
	g := give(t)
	two := g.put(t, apart(g.base, 1_000)...)
	record := g.log[0].wire()
	require.Greater(t, record.bytes(), 2*maxPieceBytes)
	h := g.asker()
	from, bytes := g.fetch(t, h, two, func(k int, _ string, m *Message) []*Message {
		require.LessOrEqual(t, m.size(), 180+maxPieceBytes, "one answer's worth")
		return [][]*Message{{m}, nil, {m, m}}[k%3]
	})
	require.Equal(t, two, h.ready)
	require.Zero(t, h.Counters.InvalidResponses)
	require.Positive(t, from["a"])
	require.Positive(t, from["b"])
	require.Less(t, bytes, 2*(record.bytes()+2*Blocks*digestBytes), "doubled ones count twice here")
	require.True(t, len(h.changesBetween(g.one, two)) == len(record.Changes), "others can have them of this node")
	require.Empty(t, h.changesBetween(g.one, Revision{2, Digest{A: 1}}), "not those to another content")
	require.Empty(t, h.changesBetween(Revision{1, Digest{A: 1}}, two), "nor from one")
	require.Len(t, h.log, 1)
	require.Equal(t, blockDeltas{}, h.assembly.deltas, "nothing is kept twice")
	g.nodes["a"], g.nodes["b"] = h, h
	again := g.asker()
	g.fetch(t, again, two, as)
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
		g := give(t)
		two := g.put(t, apart(g.base, 1_000)...)
		h, kept := g.asker(), 0
		g.fetch(t, h, two, func(_ int, from string, m *Message) []*Message {
			require.GreaterOrEqual(t, len(h.assembly.deltas.blocks), kept, "%s: what came stays", name)
			if kept = len(h.assembly.deltas.blocks); from == "b" && len(m.Blocks) > 1 {
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
		require.Equal(t, two, h.ready, name)
		require.Equal(t, g.newest.Digest(), h.readyContent.Digest(), name)
		require.Zero(t, h.peers["a"].invalidResponses, name)
		require.Positive(t, h.Counters.InvalidResponses, name)
	}
}

// TestChangesOnTheirWayAreKeptWhenTheVersionMovesOn has a further version agreed on once half of the changes came.
func TestChangesOnTheirWayAreKeptWhenTheVersionMovesOn(t *testing.T) {
	g := give(t)
	list := apart(g.base, 1_000)
	two := g.put(t, list...)
	h, part, three := g.asker(), 0, Revision{}
	_, first := g.fetch(t, h, two, func(_ int, _ string, m *Message) []*Message {
		if len(m.Blocks) > 0 && part == 0 {
			part = len(m.Blocks)
			three = g.put(t, list[0], Item{Tenants, list[0].Name, []byte(`{"quota_rps":3}`)}, Item{Part: Tenants, Name: list[7].Name}, tenant(1, "1"))
		}
		return []*Message{m}
	})
	require.Equal(t, g.one, h.ready)
	_, second := g.fetch(t, h, three, as)
	require.Equal(t, three, h.ready)
	require.Equal(t, g.newest.Digest(), h.readyContent.Digest())
	require.Zero(t, h.Counters.InvalidResponses)
	require.Less(t, first+second, g.log[0].bytes()+3*Blocks*digestBytes)
}

// TestChangesOverSomeVersionsAreGivenOn has a node go over two versions at once, whose records it doesn't have then.
func TestChangesOverSomeVersionsAreGivenOn(t *testing.T) {
	g := give(t)
	list := apart(g.base, 1_000)
	g.put(t, list...)
	three := g.put(t, list[0], Item{Tenants, list[0].Name, []byte(`{"quota_rps":3}`)}, Item{Part: Tenants, Name: list[7].Name}, tenant(1, "1"))
	h := g.asker()
	g.fetch(t, h, three, as)
	require.Equal(t, three, h.ready)
	require.Empty(t, h.log)
	g.nodes["a"], g.nodes["b"] = h, h
	four := g.put(t, tenant(2, "1"))
	again := g.asker()
	_, bytes := g.fetch(t, again, four, as)
	require.Equal(t, four, again.ready)
	require.Equal(t, g.newest.Digest(), again.readyContent.Digest())
	require.Less(t, bytes, g.log[0].bytes()+3*Blocks*digestBytes)
}

// TestWhatCameSoFarIsGivenOn has a node with some of the blocks give them, and the index.
func TestWhatCameSoFarIsGivenOn(t *testing.T) {
	g := give(t)
	two := g.put(t, apart(g.base, 1_000)...)
	h, again := g.asker(), g.asker()
	h.assembly.index, h.assembly.revision = g.newest.index(), two
	ask, answer := &Message{Kind: Fetch, Has: g.one, Want: two}, &Message{Kind: Piece}
	h.requestMissing(ask)
	g.nodes["a"].serveBlocks(ask, answer)
	came := 100
	h.storeBlocks(1, h.peerFor(1, "a"), answer.Blocks[:came])

	ask, answer = &Message{Kind: Fetch, Has: g.one, Want: two, Sums: g.base.pageSums()}, &Message{Kind: Piece}
	h.serveFetch(2, "again", ask, answer)
	again.fetch.want, again.fetch.base = two, again.assemblyBase()
	require.True(t, again.applyIndex(answer))

	ask, answer = &Message{Kind: Fetch, Has: g.one, Want: two}, &Message{Kind: Piece}
	again.requestMissing(ask)
	h.serveBlocks(ask, answer)
	require.Len(t, answer.Blocks, came, "all of them")
	other, none := *ask, &Message{Kind: Piece}
	other.Has = Revision{1, Digest{A: 1}}
	h.serveDeltas(&other, none)
	require.Empty(t, none.Blocks, "it doesn't know what changed since another content")
	again.storeBlocks(3, again.peerFor(3, "n"), answer.Blocks)
	require.Zero(t, again.Counters.InvalidResponses)
	require.True(t, len(again.assembly.deltas.blocks) == came)

	three := g.put(t, answer.Blocks[0].Changes[0], Item{Tenants, answer.Blocks[0].Changes[0].Name, []byte("3")})
	h.assembly.index, h.assembly.revision = g.newest.index(), three // what came of one block is of the version before
	ask, answer = &Message{Kind: Fetch, Has: g.one, Want: three}, &Message{Kind: Piece}
	again.assembly.index, again.assembly.content = h.assembly.index, nil
	again.requestMissing(ask)
	h.serveBlocks(ask, answer)
	require.Len(t, answer.Blocks, came-1)
}

// TestPeersOfAnOlderBuildGiveAndGetWholeBlocks has an ask and an answer without what older builds don't know.
func TestPeersOfAnOlderBuildGiveAndGetWholeBlocks(t *testing.T) {
	g := give(t)
	two := g.put(t, apart(g.base, 1_000)...)
	h := g.asker()
	h.assembly.index = g.newest.index()
	ask := &Message{Kind: Fetch, Has: g.one, Want: two}
	h.requestMissing(ask)
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
	h = g.asker()
	for _, n := range g.nodes { // they know nothing of changes
		n.log, n.logSize = nil, 0
	}
	g.fetch(t, h, two, as)
	require.Equal(t, two, h.ready)
	require.Equal(t, g.newest.Digest(), h.readyContent.Digest())
	require.True(t, len(h.changesBetween(g.one, two)) == 1_000, "what differs is known all the same")
}

// TestBlocksThatAreLessThanTheirChangesComeWhole removes nearly all.
func TestBlocksThatAreLessThanTheirChangesComeWhole(t *testing.T) {
	g := give(t)
	var gone []Item
	for i := range g.base.All {
		if len(gone) < 2_900 {
			gone = append(gone, Item{Part: i.Part, Name: i.Name})
		}
	}
	two, whole, parted := g.put(t, gone...), 0, 0
	h := g.asker()
	g.fetch(t, h, two, func(_ int, _ string, m *Message) []*Message {
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
	require.Equal(t, two, h.ready)
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
	g := give(t)
	list := apart(g.base, 1_000)
	two := g.put(t, list...)
	h := g.asker()
	fill := func(index *Content, mark Revision, whole bool) {
		h.assembly.index, h.assembly.revision = index.index(), mark
		ask, answer := &Message{Kind: Fetch, Has: g.one, Want: mark}, &Message{Kind: Piece}
		if h.requestMissing(ask); whole {
			ask.Missing = nil
		}
		g.nodes["a"].serveBlocks(ask, answer)
		h.storeBlocks(1, h.peerFor(1, "a"), answer.Blocks)
	}
	fill(g.newest, two, false)
	came := len(h.assembly.deltas.blocks)
	require.Greater(t, came, maxWantedBlocks)
	var back []Item
	for _, i := range list {
		back = append(back, Item{i.Part, i.Name, g.base.Get(i.Part, i.Name)})
	}
	three := g.put(t, back...)
	fill(g.newest, three, true)
	require.Zero(t, h.Counters.InvalidResponses)
	ask, answer := &Message{Kind: Fetch, Has: g.one, Want: three, Missing: bytes.Repeat([]byte{255}, Blocks/8), Wanted: []uint16{0}}, &Message{Kind: Piece}
	h.serveDeltas(ask, answer)
	require.Empty(t, answer.Blocks, "nothing differs")
	taken := 0
	for _, changes := range h.assembly.deltas.blocks {
		if len(changes) == 0 {
			taken++
		}
	}
	require.Equal(t, maxWantedBlocks, taken)
}

// TestChangesAreCarriedOutOnWhatTheyAreFrom has a block come of a version whose change the next one takes back.
func TestChangesAreCarriedOutOnWhatTheyAreFrom(t *testing.T) {
	g := give(t)
	two := g.put(t, apart(g.base, 1_000)...)
	h := g.asker()
	h.assembly.index, h.assembly.revision = g.newest.index(), two
	ask, answer := &Message{Kind: Fetch, Has: g.one, Want: two}, &Message{Kind: Piece}
	h.requestMissing(ask)
	g.nodes["a"].serveBlocks(ask, answer)
	h.storeBlocks(1, h.peerFor(1, "a"), answer.Blocks)
	n, name := 0, ""
	for k := 0; n == 0; k++ { // one that falls there too
		if i := tenant(k, "1"); len(h.assembly.deltas.blocks[i.block()]) > 0 {
			n, name = i.block(), i.Name
		}
	}
	only := []Item{{Tenants, name, []byte("1")}}
	next, err := g.base.Apply(only)
	require.NoError(t, err)
	h.assembly.index, h.assembly.revision = next.index(), Revision{3, next.Digest()}
	h.requestMissing(&Message{})
	require.True(t, h.mergeDeltas([]Block{{N: uint16(n), Changes: only}}))
	require.True(t, len(h.assembly.deltas.blocks[n]) == 1)
}

// TestThosePutOffAskOneAfterAnother has a node that gave what its pace allows be asked by all at once.
func TestThosePutOffAskOneAfterAnother(t *testing.T) {
	g := give(t)
	two := g.put(t, apart(g.base, 1_000)...)
	h, now := g.nodes["a"], 1_000*ms
	names := []string{"n0", "n1", "n2", "n3"}
	h.Step(now, []Input{{Kind: Viewed, View: &View{Neighbours: names}}})
	for _, most := range []int64{maxFetchBackoff, maxNonNeighbourWait} {
		h.tokens, h.refilledAt = 0, now
		var busy []int64
		for k := range 12 {
			from, answer := fmt.Sprint("far", k), &Message{}
			if most == maxFetchBackoff {
				from = names[k%len(names)]
			}
			h.serveFetch(now, from, &Message{Kind: Fetch, Has: g.one, Want: two}, answer)
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
	g := give(t)
	g.put(t, apart(g.base, 1_000)...)
	h, item := g.asker(), g.log[0].Changes[0]
	h.storeBlocks(1, h.peerFor(1, "a"), []Block{{N: uint16(item.block()), Changes: []Item{item}}})
	require.Equal(t, 1, h.peers["a"].invalidResponses)
}
