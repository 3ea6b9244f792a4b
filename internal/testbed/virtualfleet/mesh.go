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

// Node is one member with its process.
type Node struct {
	Name, Address string
	Zone          string // a fact from the next start on
	*membership.Members
	Up, Paused  bool
	Started     int64
	Stopped     int64 // when it was last killed or paused
	Changes     []Change
	Sent, Bytes int

	PayloadSent, PayloadBytes int

	fleet          *Fleet
	index          int
	incarnations   int
	region         int
	wakeVersion    int // of its wake
	payload        Payload
	waiting        []func() // for the end of a pause
	queue          []membership.Input
	exchanges      map[int]pendingExchange
	skew           int64
	healthySince   int64 // since when it hears and is heard by most
	resumedAt      int64
	checkedChanges int // of its changes, by sound
}

type pendingExchange struct {
	from      *Node
	link      int
	startedAt int64
}

// Change is one of a node's view, with its time.
type Change struct {
	At int64
	membership.Change
}

// Fleet is a fleet.
type Fleet struct {
	*virtualtime.Simulator
	Nodes         []*Node
	LossRate      float64               // part of datagrams that are lost
	DuplicateRate float64               // that come twice
	LateRate      float64               // that come up to LateMost ns later
	NewPayload    func(n *Node) Payload // makes what a node carries beside its membership at each start; may be nil

	MaxLate       int64
	RegionLatency int64          // ns that a message takes more between regions
	MaxDatagram   map[[2]int]int // ordered pairs that carry datagrams up to a size
	Membership    membership.Config
	Seeds         []string

	byAddress  map[string]*Node
	cuts       []uint64 // a bit for each ordered pair that carries nothing
	cutAny     bool
	answers    int
	lossySince int64 // since when no more than a fifth is lost
	static     *staticView
}

// DefaultConfig is a configuration as nodes have it.
var DefaultConfig = membership.Config{ProbeInterval: 500 * ms, LinkTimeout: 3_500 * ms, SuspicionTimeout: 400 * ms, ForgetTimeout: 600_000 * ms, MaxMembers: 1_500} // as settings allow at the most

// New makes a fleet in which nobody is up yet; the first nodes are seeds.
func New(seed int64, nodes, seeds int) *Fleet {
	m := &Fleet{Simulator: virtualtime.New(seed, 1), MaxDatagram: map[[2]int]int{}, Membership: DefaultConfig, byAddress: map[string]*Node{},
		cuts: make([]uint64, (nodes*nodes+63)/64)}
	for i := range nodes {
		n := &Node{Name: fmt.Sprintf("n%d", i), Address: fmt.Sprintf("10.0.%d.%d:9", i/250, i%250+1), fleet: m, index: i}
		m.Nodes = append(m.Nodes, n)
		m.byAddress[n.Address] = n
		if i < seeds {
			m.Seeds = append(m.Seeds, n.Address)
		}
	}
	return m
}

func (n *Node) wall() int64 { return 1_764_576_000_000*ms + n.fleet.Now + n.skew }

// Start gives a node a new life.
func (n *Node) Start() {
	c := n.fleet.Membership
	c.Name, c.Address, c.Seeds = n.Name, n.Address, n.fleet.Seeds
	if n.Zone != "" {
		c.Zone = n.Zone
	}
	n.Up, n.Paused, n.Started = true, false, n.fleet.Now
	n.exchanges, n.queue, n.waiting, n.payload = map[int]pendingExchange{}, nil, nil, nil
	n.incarnations++
	if n.fleet.static != nil {
		n.startStatic()
		return
	}
	n.Members = membership.New(c, n.fleet.Now, n.wall(), 0, n.fleet.Rand.Int63())
	n.checkedChanges = len(n.Changes)
	if n.fleet.NewPayload != nil {
		n.payload = n.fleet.NewPayload(n)
	}
	n.step(nil)
}

// Kill ends a node's life.
func (n *Node) Kill() {
	n.Up, n.Paused, n.Stopped = false, false, n.fleet.Now
	n.wakeVersion++
	if n.fleet.static != nil {
		n.killStatic()
	}
}

// Pause stops a node's process for a while; what comes meanwhile waits.
func (n *Node) Pause(ns int64) {
	if !n.Up || n.Paused {
		return
	}
	n.Paused, n.Stopped = true, n.fleet.Now
	life := n.Started
	n.fleet.After(ns, func() {
		if n.Started == life {
			n.Resume()
		}
	})
}

// Resume ends a pause.
func (n *Node) Resume() {
	if n.Up && n.Paused {
		n.Paused, n.resumedAt = false, n.fleet.Now
		queue, waiting := n.queue, n.waiting
		n.queue, n.waiting = nil, nil
		n.step(queue)
		for _, do := range waiting {
			n.whenRunning(do)()
		}
	}
}

// Leave has a node say farewell, and ends its life.
func (n *Node) Leave() {
	if n.Up && !n.Paused {
		n.step([]membership.Input{{Kind: membership.Leaving}})
		n.Kill()
	}
}

// Skew sets a node's wall clock off.
func (n *Node) Skew(ns int64) { n.skew = ns }

func (n *Node) deliver(in membership.Input) {
	switch {
	case !n.Up:
	case n.Paused:
		if len(n.queue) < maxWaiting {
			n.queue = append(n.queue, in)
		}
	default:
		n.step([]membership.Input{in})
	}
}

func (n *Node) step(inputs []membership.Input) {
	effects, wake := n.Step(n.fleet.Now, n.wall(), inputs)
	for k := range effects {
		n.apply(&effects[k])
	}
	n.wakeVersion++
	version := n.wakeVersion
	n.fleet.At(wake, func() {
		if n.Up && !n.Paused && n.wakeVersion == version {
			n.step(nil)
		}
	})
}

func (n *Node) apply(e *membership.Effect) {
	m := n.fleet
	switch e.Kind {
	case membership.Send:
		msg := e.Message // the effects are another step's by then
		size := messageSize(&msg)
		n.Sent++
		n.Bytes += size
		if to := m.byAddress[e.To]; to != nil && m.delivers(n, to, size, true) {
			arrive := func() { to.deliver(membership.Input{Kind: membership.DatagramReceived, Message: &msg}) }
			far := m.regionLatency(n, to)
			m.After(far+m.drawLatency(), arrive)
			if m.DuplicateRate > 0 && m.Rand.Float64() < m.DuplicateRate {
				m.After(far+m.drawLatency(), arrive)
			}
		}
	case membership.Exchange:
		msg := e.Message
		n.Bytes += messageSize(&msg)
		to, life, link := m.byAddress[e.To], n.Started, e.Link
		if to == nil || !to.Up || !m.delivers(n, to, 0, false) || !m.delivers(to, n, 0, false) {
			m.After(exchangeTimeout, func() {
				if n.Started == life {
					n.deliver(membership.Input{Kind: membership.ExchangeFailed, Link: link})
				}
			})
			return
		}
		m.answers++
		answer := m.answers
		m.After(3*(minLatency+m.regionLatency(n, to)), func() {
			if to.Up {
				to.exchanges[answer] = pendingExchange{n, link, life}
			}
			to.deliver(membership.Input{Kind: membership.ExchangeOpened, Link: answer, Message: &msg})
		})
	case membership.Reply:
		msg := e.Message
		a, known := n.exchanges[e.Link]
		delete(n.exchanges, e.Link)
		n.Bytes += messageSize(&msg)
		if known && m.delivers(n, a.from, 0, false) {
			m.After(minLatency+m.regionLatency(n, a.from), func() {
				if a.from.Started == a.startedAt {
					a.from.deliver(membership.Input{Kind: membership.ExchangeAnswered, Link: a.link, Message: &msg})
				}
			})
		}
	case membership.ViewChanged:
		n.Changes = append(n.Changes, Change{m.Now, e.Change})
		if n.payload != nil {
			n.payload.ViewChanged(e.Change)
		}
	}
}

// delivers says whether a message gets from one to the other.
func (m *Fleet) delivers(from, to *Node, size int, datagram bool) bool {
	if m.IsCut(from.index, to.index) {
		return false
	}
	if datagram && len(m.MaxDatagram) > 0 {
		if most := m.MaxDatagram[[2]int{from.index, to.index}]; most > 0 && size > most {
			return false
		}
	}
	return !datagram || m.LossRate == 0 || m.Rand.Float64() >= m.LossRate
}

// Cut has the link from one node to another carry nothing.
func (m *Fleet) Cut(from, to int) {
	at := from*len(m.Nodes) + to
	m.cuts[at/64] |= 1 << (at % 64)
	m.cutAny = true
}

// IsCut says whether it carries nothing.
func (m *Fleet) IsCut(from, to int) bool {
	at := from*len(m.Nodes) + to
	return m.cutAny && m.cuts[at/64]>>(at%64)&1 == 1
}

// RemoveCuts takes all cuts away.
func (m *Fleet) RemoveCuts() {
	clear(m.cuts)
	if m.cutAny = false; m.static != nil {
		m.partitionStatic(nil)
	}
}

// CutBetween cuts the links from each of some nodes to each of others; and back with both.
func (m *Fleet) CutBetween(from, to []*Node, both bool) {
	for _, a := range from {
		for _, b := range to {
			if a != b {
				m.Cut(a.index, b.index)
				if both {
					m.Cut(b.index, a.index)
				}
			}
		}
	}
}

// Heal takes all cuts, losses, delays and doubles away.
func (m *Fleet) Heal() {
	m.RemoveCuts()
	clear(m.MaxDatagram)
	m.LossRate, m.DuplicateRate, m.LateRate = 0, 0, 0
}

// Agreed says whether all that are up and run hold one view that names exactly them.
func (m *Fleet) Agreed() bool {
	first, up := uint64(0), 0
	for _, n := range m.Nodes {
		if n.Up && !n.Paused {
			up++
		}
	}
	for k, n := 0, (*Node)(nil); k < len(m.Nodes); k++ {
		if n = m.Nodes[k]; !n.Up || n.Paused {
			continue
		}
		hash, size := n.Hash()
		if size != up || first != 0 && hash != first {
			return false
		}
		first = hash
	}
	return true
}

// RunUntil runs on until something holds, at the most for so long; it says after how long it did, -1 if it never did.
func (m *Fleet) RunUntil(most int64, holds func() bool) int64 {
	for start := m.Now; m.Now-start < most; {
		if holds() {
			return m.Now - start
		}
		m.Run(m.Now + 20*ms)
	}
	return -1
}
