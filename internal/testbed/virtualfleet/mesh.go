// Package virtualfleet plays the membership of many nodes in virtual time: datagrams and exchanges over ordered pairs of
// links that can lose, delay and cut, and nodes that pause, die and come back.
package virtualfleet

import (
	"fmt"

	"topazpost/internal/fleet/membership"
	"topazpost/internal/testbed/virtualtime"
)

const (
	ms        = int64(1_000_000)
	travel    = ms / 2 // ns that a message takes at the least
	spread    = ms     // ns more that it may take
	exchanged = 2_000 * ms

	waitingMost = 256 // things that wait for the end of a pause; more are lost, as in a socket's buffer
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

	m       *Mesh
	index   int
	lives   int
	region  int
	version int // of its wake
	payload Payload
	waiting []func() // for the end of a pause
	queue   []membership.Input
	links   map[int]ask
	skew    int64
	well    int64 // since when it hears and is heard by most
	resumed int64
	looked  int // of its changes, by sound
}

type ask struct {
	from *Node
	link int
	life int64
}

// Change is one of a node's view, with its time.
type Change struct {
	At int64
	membership.Change
}

// Mesh is a fleet.
type Mesh struct {
	*virtualtime.Simulator
	Nodes  []*Node
	Loss   float64               // part of datagrams that are lost
	Double float64               // that come twice
	Late   float64               // that come up to LateMost ns later
	Begin  func(n *Node) Payload // makes what a node carries beside its membership at each start; may be nil

	LateMost   int64
	Far        int64          // ns that a message takes more between regions
	Small      map[[2]int]int // ordered pairs that carry datagrams up to a size
	Membership membership.Config
	Seeds      []string

	byAddress map[string]*Node
	cuts      []uint64 // a bit for each ordered pair that carries nothing
	cutAny    bool
	answers   int
	quiet     int64 // since when no more than a fifth is lost
	standing  *standing
}

// Usual is a configuration as nodes have it.
var Usual = membership.Config{ProbeInterval: 500 * ms, LinkTimeout: 3_500 * ms, SuspicionTimeout: 400 * ms, ForgetTimeout: 600_000 * ms, MaxMembers: 1_500} // as settings allow at the most

// New makes a fleet in which nobody is up yet; the first nodes are seeds.
func New(seed int64, nodes, seeds int) *Mesh {
	m := &Mesh{Simulator: virtualtime.New(seed, 1), Small: map[[2]int]int{}, Membership: Usual, byAddress: map[string]*Node{},
		cuts: make([]uint64, (nodes*nodes+63)/64)}
	for i := range nodes {
		n := &Node{Name: fmt.Sprintf("n%d", i), Address: fmt.Sprintf("10.0.%d.%d:9", i/250, i%250+1), m: m, index: i}
		m.Nodes = append(m.Nodes, n)
		m.byAddress[n.Address] = n
		if i < seeds {
			m.Seeds = append(m.Seeds, n.Address)
		}
	}
	return m
}

func (n *Node) wall() int64 { return 1_764_576_000_000*ms + n.m.Now + n.skew }

// Start gives a node a new life.
func (n *Node) Start() {
	c := n.m.Membership
	c.Name, c.Address, c.Seeds = n.Name, n.Address, n.m.Seeds
	if n.Zone != "" {
		c.Zone = n.Zone
	}
	n.Up, n.Paused, n.Started = true, false, n.m.Now
	n.links, n.queue, n.waiting, n.payload = map[int]ask{}, nil, nil, nil
	n.lives++
	if n.m.standing != nil {
		n.stand()
		return
	}
	n.Members = membership.New(c, n.m.Now, n.wall(), 0, n.m.Rand.Int63())
	n.looked = len(n.Changes)
	if n.m.Begin != nil {
		n.payload = n.m.Begin(n)
	}
	n.step(nil)
}

// Kill ends a node's life.
func (n *Node) Kill() {
	n.Up, n.Paused, n.Stopped = false, false, n.m.Now
	n.version++
	if n.m.standing != nil {
		n.fall()
	}
}

// Pause stops a node's process for a while; what comes meanwhile waits.
func (n *Node) Pause(ns int64) {
	if !n.Up || n.Paused {
		return
	}
	n.Paused, n.Stopped = true, n.m.Now
	life := n.Started
	n.m.After(ns, func() {
		if n.Started == life {
			n.Resume()
		}
	})
}

// Resume ends a pause.
func (n *Node) Resume() {
	if n.Up && n.Paused {
		n.Paused, n.resumed = false, n.m.Now
		queue, waiting := n.queue, n.waiting
		n.queue, n.waiting = nil, nil
		n.step(queue)
		for _, do := range waiting {
			n.running(do)()
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

func (n *Node) give(in membership.Input) {
	switch {
	case !n.Up:
	case n.Paused:
		if len(n.queue) < waitingMost {
			n.queue = append(n.queue, in)
		}
	default:
		n.step([]membership.Input{in})
	}
}

func (n *Node) step(inputs []membership.Input) {
	effects, wake := n.Step(n.m.Now, n.wall(), inputs)
	for k := range effects {
		n.carry(&effects[k])
	}
	n.version++
	version := n.version
	n.m.At(wake, func() {
		if n.Up && !n.Paused && n.version == version {
			n.step(nil)
		}
	})
}

func (n *Node) carry(e *membership.Effect) {
	m := n.m
	switch e.Kind {
	case membership.Send:
		msg := e.Message // the effects are another step's by then
		size := sizeOf(&msg)
		n.Sent++
		n.Bytes += size
		if to := m.byAddress[e.To]; to != nil && m.passes(n, to, size, true) {
			arrive := func() { to.give(membership.Input{Kind: membership.DatagramReceived, Message: &msg}) }
			far := m.far(n, to)
			m.After(far+m.travels(), arrive)
			if m.Double > 0 && m.Rand.Float64() < m.Double {
				m.After(far+m.travels(), arrive)
			}
		}
	case membership.Exchange:
		msg := e.Message
		n.Bytes += sizeOf(&msg)
		to, life, link := m.byAddress[e.To], n.Started, e.Link
		if to == nil || !to.Up || !m.passes(n, to, 0, false) || !m.passes(to, n, 0, false) {
			m.After(exchanged, func() {
				if n.Started == life {
					n.give(membership.Input{Kind: membership.ExchangeFailed, Link: link})
				}
			})
			return
		}
		m.answers++
		answer := m.answers
		m.After(3*(travel+m.far(n, to)), func() {
			if to.Up {
				to.links[answer] = ask{n, link, life}
			}
			to.give(membership.Input{Kind: membership.ExchangeOpened, Link: answer, Message: &msg})
		})
	case membership.Reply:
		msg := e.Message
		a, known := n.links[e.Link]
		delete(n.links, e.Link)
		n.Bytes += sizeOf(&msg)
		if known && m.passes(n, a.from, 0, false) {
			m.After(travel+m.far(n, a.from), func() {
				if a.from.Started == a.life {
					a.from.give(membership.Input{Kind: membership.ExchangeAnswered, Link: a.link, Message: &msg})
				}
			})
		}
	case membership.ViewChanged:
		n.Changes = append(n.Changes, Change{m.Now, e.Change})
		if n.payload != nil {
			n.payload.Viewed(e.Change)
		}
	}
}

// passes says whether a message gets from one to the other.
func (m *Mesh) passes(from, to *Node, size int, datagram bool) bool {
	if m.IsCut(from.index, to.index) {
		return false
	}
	if datagram && len(m.Small) > 0 {
		if most := m.Small[[2]int{from.index, to.index}]; most > 0 && size > most {
			return false
		}
	}
	return !datagram || m.Loss == 0 || m.Rand.Float64() >= m.Loss
}

// Cut has the link from one node to another carry nothing.
func (m *Mesh) Cut(from, to int) {
	at := from*len(m.Nodes) + to
	m.cuts[at/64] |= 1 << (at % 64)
	m.cutAny = true
}

// IsCut says whether it carries nothing.
func (m *Mesh) IsCut(from, to int) bool {
	at := from*len(m.Nodes) + to
	return m.cutAny && m.cuts[at/64]>>(at%64)&1 == 1
}

// Mend takes all cuts away.
func (m *Mesh) Mend() {
	clear(m.cuts)
	if m.cutAny = false; m.standing != nil {
		m.parted(nil)
	}
}

// CutBetween cuts the links from each of some nodes to each of others; and back with both.
func (m *Mesh) CutBetween(from, to []*Node, both bool) {
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
func (m *Mesh) Heal() { m.Mend(); clear(m.Small); m.Loss, m.Double, m.Late = 0, 0, 0 }

// Agreed says whether all that are up and run hold one view that names exactly them.
func (m *Mesh) Agreed() bool {
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

// Until runs on until something holds, at the most for so long; it says after how long it did, -1 if it never did.
func (m *Mesh) Until(most int64, holds func() bool) int64 {
	for start := m.Now; m.Now-start < most; {
		if holds() {
			return m.Now - start
		}
		m.Run(m.Now + 20*ms)
	}
	return -1
}
