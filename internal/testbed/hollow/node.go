package hollow

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"topazpost/internal/fleet/fleetconfig"
	"topazpost/internal/fleet/membership"
	"topazpost/internal/node"
	"topazpost/server"
)

// hollowNode is a node of this process, with its life now.
type hollowNode struct {
	index  int
	counts trafficCounters
	claims node.HollowCounters

	mu           sync.Mutex
	up           bool
	incarnation  int
	server       *server.Server
	filter       *filter
	cancel       context.CancelFunc
	ended        chan struct{}
	size         int
	hash         uint64
	changes      int64
	last         Event
	lastReported bool     // last was reported
	earlierDrops [3]int64 // dropped, flooded and refused in earlier lives
}

// peerAddress is the address of a node that is announced to peers.
func (p *process) peerAddress(i int) string {
	if p.filters.whole[i] {
		return At(Relayed(p.spec.Block, i))
	}
	return At(Bind(p.spec.Block, i))
}

// nodeConfig is that of a life of a node.
func (p *process) nodeConfig(i int) (*server.Config, error) {
	fields := map[string]any{}
	if err := json.Unmarshal(p.spec.Config, &fields); err != nil {
		return nil, fmt.Errorf("hollow: configuration: %w", err)
	}
	fields["name"] = NodeName(i)
	text, err := json.Marshal(fields)
	if err != nil {
		return nil, err
	}
	n, err := server.ReadConfig(text)
	if err != nil {
		return nil, err
	}
	own := *p.fleet
	own.Bind = At(Bind(p.spec.Block, i))
	own.Membership.Name = n.Name
	own.Membership.Address = p.peerAddress(i)
	own.Membership.Zone = p.spec.Layout.Name(i)
	if c := own.ConfigSync; c != nil { // each has a folder of its own
		own.ConfigSync = &fleetconfig.ConfigSync{Folder: strings.ReplaceAll(c.Folder, anyNode, n.Name)}
	}
	n.Fleet = &own
	return n, nil
}

// start begins a life of a node, if none goes on.
func (p *process) start(ctx context.Context, n *hollowNode) {
	config, err := p.nodeConfig(n.index)
	if err != nil {
		p.report(&report{Failed: err.Error()})
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.up || ctx.Err() != nil {
		return
	}
	n.incarnation++
	if n.server != nil {
		c := n.server.Peered()
		n.earlierDrops[0], n.earlierDrops[1], n.earlierDrops[2] = n.earlierDrops[0]+c.Dropped.Load(), n.earlierDrops[1]+c.Flooded.Load(), n.earlierDrops[2]+c.Refused.Load()
	}
	seed := p.spec.Seed<<24 ^ int64(n.index)<<8 ^ int64(n.incarnation)
	config.Settings.Node.Seed = seed
	f := newFilter(p.filters, n.index, &n.counts, seed)
	config.Hollow = &server.Hollow{Wire: f, Counters: &n.claims, Changed: func(c *membership.Change) { p.viewChanged(n, c) }}
	ctx, end := context.WithCancel(ctx)
	n.up = true
	n.size = 1
	n.hash = 0
	n.filter = f
	n.cancel = end
	n.ended = make(chan struct{})
	n.server = server.New(config, p.log.With().Str("node", config.Name).Logger(), server.SystemClock())
	s, ended, life := n.server, n.ended, n.incarnation
	go func() {
		defer close(ended)
		err := s.Run(ctx)
		for try := 0; err != nil && errors.Is(err, syscall.EADDRINUSE) && try < maxBindAttempts && ctx.Err() == nil; try++ {
			time.Sleep(bindBackoff)
			err = s.Run(ctx)
		}
		if err != nil && ctx.Err() == nil {
			p.report(&report{Failed: fmt.Sprintf("%s: %s", NodeName(n.index), err)})
		}
		f.close()
		n.mu.Lock()
		if n.incarnation == life {
			n.up = false
		}
		n.mu.Unlock()
	}()
	p.mu.Lock()
	calls := p.calls
	p.mu.Unlock()
	if calls > 0 {
		s.WantCalls(p.callsOf(n, calls))
	}
}

// kill ends a life at once, without a word to anybody.
func (p *process) kill(n *hollowNode) {
	n.mu.Lock()
	up, end, ended, f := n.up, n.cancel, n.ended, n.filter
	n.mu.Unlock()
	if !up {
		return
	}
	end()
	f.close()
	<-ended
}

// leave ends a life as a drain does, and waits for that.
func (p *process) leave(n *hollowNode) {
	n.mu.Lock()
	up, s, ended := n.up, n.server, n.ended
	n.mu.Unlock()
	if !up {
		return
	}
	s.Drain()
	<-ended
}

// viewChanged takes a change of a node's view.
func (p *process) viewChanged(n *hollowNode, c *membership.Change) {
	who, _ := strconv.Atoi(strings.TrimPrefix(c.Member, "n"))
	e := Event{uint64(time.Now().UnixMilli()), uint64(n.index), uint64(c.Cause), uint64(who), uint64(c.Size), c.Hash}
	n.mu.Lock()
	n.size = c.Size
	n.hash = c.Hash
	n.last = e
	n.lastReported = false
	n.changes++
	n.mu.Unlock()
	p.mu.Lock()
	if p.allEvents {
		p.events = append(p.events, e)
	}
	p.mu.Unlock()
}
