package configsync

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// quarterContent returns a content of a quarter of the largest supported size.
func quarterContent(t *testing.T) *Content { return fullContent(t, 1_175, 32_500) }

const scatteredItems = 1_000

// scattered returns changes of scatteredItems tenants, spread evenly over a content.
func scattered(c *Content) (list []Item) {
	k := 0
	step := c.Len(Tenants) / scatteredItems
	for i := range c.All {
		if i.Part != Tenants {
			continue
		}
		k++
		if k%step == 0 && len(list) < scatteredItems {
			list = append(list, Item{Tenants, i.Name, []byte(fmt.Sprintf(`{"quota_rps":%d,"weight":7}`, 100_000+k))})
		}
	}
	return list
}

// suppliers are two peers with the same content, and the table from which they get further versions.
type suppliers struct {
	*Table
	base  *Content
	first Revision
	nodes map[string]*Replicator
}

func newSuppliers(t *testing.T) *suppliers {
	c := fullContent(t, 100, 3_000)
	g := &suppliers{Table: NewTable(), base: c, first: Revision{1, c.Digest()}, nodes: map[string]*Replicator{}}
	g.newest = c
	g.all = c
	g.canary = c
	g.head = RolloutState{All: g.first, Canary: g.first, Newest: 1}
	for _, name := range []string{"a", "b"} {
		g.nodes[name] = NewReplicator(0, ReplicatorConfig{Name: name, Seed: 2}, InitialState{ContentRevision: g.first, Content: c})
	}
	return g
}

// put adds a version to the table and makes it ready on the suppliers.
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

// fetcher returns a replicator that has the first version, and the suppliers as neighbours.
func (g *suppliers) fetcher() *Replicator {
	r := newTestReplicator()
	r.applied = g.first
	r.ready = g.first
	r.disk.revision = g.first
	r.appliedContent = g.base
	r.readyContent = g.base
	return r
}

// answer returns a supplier's answer to a fetch, without regard to the supplier's rate limit.
func (g *suppliers) answer(now int64, e Effect) *Message {
	n := g.nodes[e.To]
	n.tokens = burstBytes
	n.refilledAt = now
	for _, p := range n.peers {
		p.tokens = burstBytes
	}
	fetch := *e.Message
	effects, _ := n.Step(now, []Input{{Kind: ExchangeOpened, From: "n", Link: 1, Message: &fetch}})
	return effectsOf(effects, Reply)[0].Message
}

// fetch steps a replicator until the goal is ready or the table has a newer version. The function change can alter, drop or duplicate
// each answer. It returns the number of answers by peer and their bytes.
func (g *suppliers) fetch(t *testing.T, r *Replicator, goal Revision, change func(k int, from string, m *Message) []*Message) (from map[string]int, bytes int) {
	from = map[string]int{}
	in := []Input{confirmation(goal, goal), announcement("a", RolloutState{All: goal, Canary: goal}, goal), announcement("b", RolloutState{All: goal, Canary: goal}, goal)}
	k := 0
	newest := g.head.Newest
	for now := r.refilledAt + 500*ms; r.ready != goal && g.head.Newest == newest; now += 10 * ms {
		require.Less(t, now, 900_000*ms)
		effects, _ := r.Step(now, in)
		in = nil
		for _, e := range effectsOf(effects, Exchange) {
			if g.nodes[e.To] == nil {
				in = append(in, Input{Kind: ExchangeFailed, Link: e.Link})
				continue
			}
			for _, m := range change(k, e.To, g.answer(now, e)) {
				if m != nil {
					from[e.To]++
					bytes += m.size()
					in = append(in, Input{Kind: ExchangeAnswered, Link: e.Link, Message: m})
				}
			}
			k++
		}
		if r.Counters.InvalidResponses > 0 { // a penalized peer announces again
			in = append(in, announcement("a", RolloutState{All: goal, Canary: goal}, goal), announcement("b", RolloutState{All: goal, Canary: goal}, goal))
		}
	}
	return from, bytes
}

func unchanged(_ int, _ string, m *Message) []*Message { return []*Message{m} }
