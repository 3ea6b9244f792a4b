// Package virtualfleet plays the membership of many nodes in virtual time: datagrams and exchanges over ordered pairs of
// links that can lose, delay and cut, and nodes that pause, die and come back.
package virtualfleet

import (
	"fmt"

	"topazpost/internal/fleet/membership"
	"topazpost/internal/testbed/virtualtime"
)

const (
	ms              = int64(1_000_000)
	minLatency      = ms / 2 // ns that a message takes at the least
	latencySpread   = ms     // ns more that it may take
	exchangeTimeout = 2_000 * ms

	maxWaiting = 256 // things that wait for the end of a pause; more are lost, as in a socket's buffer
)

// Fleet is the nodes of a fleet and the links between them.
type Fleet struct {
	*virtualtime.Simulator
	Nodes         []*Node
	LossRate      float64               // part of datagrams that are lost
	DuplicateRate float64               // that come twice
	LateRate      float64               // that come up to MaxLate ns later
	NewPayload    func(n *Node) Payload // makes what a node carries beside its membership at each start; may be nil

	MaxLate       int64
	RegionLatency int64          // ns that a message takes more between regions
	MaxDatagram   map[[2]int]int // ordered pairs that carry datagrams up to a size
	Membership    membership.Config
	Seeds         []string

	byAddress    map[string]*Node
	cuts         []uint64 // a bit for each ordered pair that carries nothing
	cutAny       bool
	lastExchange int
	lossySince   int64 // since when no more than a fifth is lost
	static       *staticView
}

// DefaultConfig is a configuration as nodes have it, with the most members that settings allow.
var DefaultConfig = membership.Config{
	ProbeInterval:    500 * ms,
	LinkTimeout:      3_500 * ms,
	SuspicionTimeout: 400 * ms,
	ForgetTimeout:    600_000 * ms,
	MaxMembers:       1_500,
}

// New makes a fleet in which nobody is up yet; the first nodes are seeds.
func New(seed int64, nodes, seeds int) *Fleet {
	f := &Fleet{Simulator: virtualtime.New(seed, 1), MaxDatagram: map[[2]int]int{}, Membership: DefaultConfig, byAddress: map[string]*Node{},
		cuts: make([]uint64, (nodes*nodes+63)/64)}
	for i := range nodes {
		n := &Node{Name: fmt.Sprintf("n%d", i), Address: fmt.Sprintf("10.0.%d.%d:9", i/250, i%250+1), fleet: f, index: i}
		f.Nodes = append(f.Nodes, n)
		f.byAddress[n.Address] = n
		if i < seeds {
			f.Seeds = append(f.Seeds, n.Address)
		}
	}
	return f
}

// Agreed returns whether all that are up and run hold one view that names exactly them.
func (f *Fleet) Agreed() bool {
	first := uint64(0)
	up := 0
	for _, n := range f.Nodes {
		if n.Up && !n.Paused {
			up++
		}
	}
	for _, n := range f.Nodes {
		if !n.Up || n.Paused {
			continue
		}
		hash, size := n.ViewHash()
		if size != up || first != 0 && hash != first {
			return false
		}
		first = hash
	}
	return true
}

// RunUntil runs on until a condition holds, at the most for so long; it returns after how long it did, -1 if it never did.
func (f *Fleet) RunUntil(timeout int64, holds func() bool) int64 {
	for start := f.Now; f.Now-start < timeout; {
		if holds() {
			return f.Now - start
		}
		f.Run(f.Now + 20*ms)
	}
	return -1
}
