package configsync

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// quarterContent is a content of a quarter of the largest size that is required.
func quarterContent(t *testing.T) *Content { return fullContent(t, 1_175, 32_500) }

const scatteredItems = 1_000

// scattered are changes of scatteredItems tenants of a content, no two of which are neighbours.
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
	g.newest = c
	g.all = c
	g.canary = c
	g.head = RolloutState{All: g.first, Canary: g.first, Newest: 1}
	for _, name := range []string{"a", "b"} {
		g.nodes[name] = NewReplicator(0, ReplicatorConfig{Name: name, Seed: 2}, InitialState{ContentRevision: g.first, Content: c})
	}
	return g
}

// put makes a further version, which the suppliers have.
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
	r.applied = g.first
	r.ready = g.first
	r.disk.revision = g.first
	r.appliedContent = g.base
	r.readyContent = g.base
	return r
}

// answer is a peer's answer to a fetch. Its rate limit is lifted.
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

// fetch has a node fetch until a version is ready; change can alter, drop and duplicate each answer. It returns the answers by peer and the bytes.
func (g *suppliers) fetch(t *testing.T, r *Replicator, goal Revision, change func(k int, from string, m *Message) []*Message) (from map[string]int, bytes int) {
	from = map[string]int{}
	in := []Input{confirmation(goal, goal), announcement("a", RolloutState{All: goal, Canary: goal}, goal), announcement("b", RolloutState{All: goal, Canary: goal}, goal)}
	k := 0
	most := g.head.Newest
	for now := r.refilledAt + 500*ms; r.ready != goal && g.head.Newest == most; now += 10 * ms {
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
