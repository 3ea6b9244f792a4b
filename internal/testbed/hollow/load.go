package hollow

import (
	"context"
	"fmt"
	"slices"
	"time"
)

// generateLoad has nodes claim tokens, in turn.
func (p *process) generateLoad(ctx context.Context) {
	beat := time.NewTicker(loadInterval)
	defer beat.Stop()
	owed, last, wanted := 0.0, time.Now(), 0
	for {
		select {
		case <-ctx.Done():
			return
		case <-beat.C:
		}
		p.mu.Lock()
		rate, calls := p.tokens, p.calls
		p.mu.Unlock()
		now := time.Now()
		owed += rate * now.Sub(last).Seconds()
		last = now
		for ; owed >= 1; owed-- {
			p.wantToken()
		}
		if calls != wanted {
			wanted = calls
			for _, n := range p.nodes {
				p.setCalls(n, calls)
			}
		}
	}
}

func (p *process) wantToken() {
	for range p.nodes {
		n := p.nodes[p.nextNode%len(p.nodes)]
		p.nextNode++
		n.mu.Lock()
		up, s := n.up, n.server
		n.mu.Unlock()
		if up {
			p.lastToken++
			if !s.WantToken(fmt.Sprintf("%x-%x-%x", p.spec.Seed, p.spec.Nodes[0], p.lastToken)) {
				n.claims.TokensRejected.Add(1)
			}
			return
		}
	}
}

// setCalls parts the calls that are wanted of this process among its nodes.
func (p *process) setCalls(n *hollowNode, calls int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.up {
		n.server.WantCalls(p.callsOf(n, calls))
	}
}

// callsOf is a node's part of the calls of this process.
func (p *process) callsOf(n *hollowNode, calls int) int {
	k := slices.Index(p.nodes, n)
	return calls*(k+1)/len(p.nodes) - calls*k/len(p.nodes)
}
