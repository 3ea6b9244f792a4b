package virtualfleet

import "topazpost/internal/fleet/membership"

// Node is one member with its process.
type Node struct {
	Name, Address string
	Zone          string // announced from the next start on
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
	wakeVersion    int // of the wake-up: a newer one voids older ones
	payload        Payload
	waiting        []func() // for the end of a pause
	queue          []membership.Input
	exchanges      map[int]pendingExchange
	skew           int64
	healthySince   int64 // since when it has links both ways to most
	resumedAt      int64
	checkedChanges int // how many of Changes the invariants were checked on
}

// pendingExchange is an exchange that a node has not replied to yet.
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

func (n *Node) wall() int64 { return 1_764_576_000_000*ms + n.fleet.Now + n.skew }

// Start starts a node in a new incarnation.
func (n *Node) Start() {
	c := n.fleet.Membership
	c.Name = n.Name
	c.Address = n.Address
	c.Seeds = n.fleet.Seeds
	if n.Zone != "" {
		c.Zone = n.Zone
	}
	n.Up = true
	n.Paused = false
	n.Started = n.fleet.Now
	n.exchanges = map[int]pendingExchange{}
	n.queue = nil
	n.waiting = nil
	n.payload = nil
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

// Kill ends a node's process at once.
func (n *Node) Kill() {
	n.Up = false
	n.Paused = false
	n.Stopped = n.fleet.Now
	n.wakeVersion++
	if n.fleet.static != nil {
		n.killStatic()
	}
}

// Pause stops a node's process for a while; what arrives meanwhile waits.
func (n *Node) Pause(ns int64) {
	if !n.Up || n.Paused {
		return
	}
	n.Paused = true
	n.Stopped = n.fleet.Now
	startedAt := n.Started
	n.fleet.After(ns, func() {
		if n.Started == startedAt {
			n.Resume()
		}
	})
}

// Resume ends a pause.
func (n *Node) Resume() {
	if !n.Up || !n.Paused {
		return
	}
	n.Paused = false
	n.resumedAt = n.fleet.Now
	queue := n.queue
	waiting := n.waiting
	n.queue = nil
	n.waiting = nil
	n.step(queue)
	for _, do := range waiting {
		n.whenRunning(do)()
	}
}

// Leave has a node announce that it leaves, and ends its process.
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
	switch e.Kind {
	case membership.Send:
		n.send(e.To, e.Message)
	case membership.Exchange:
		n.exchange(e.To, e.ExchangeID, e.Message)
	case membership.Reply:
		n.reply(e.ExchangeID, e.Message)
	case membership.ViewChanged:
		n.Changes = append(n.Changes, Change{n.fleet.Now, e.Change})
		if n.payload != nil {
			n.payload.ViewChanged(e.Change)
		}
	}
}

// send carries a datagram of the membership. It has a copy of the message: effects are valid only until the next step.
func (n *Node) send(address string, msg membership.Message) {
	f := n.fleet
	size := messageSize(&msg)
	n.Sent++
	n.Bytes += size
	to := f.byAddress[address]
	if to == nil || !f.delivers(n, to, size, true) {
		return
	}
	f.scheduleDatagram(n, to, func() {
		to.deliver(membership.Input{Kind: membership.DatagramReceived, Message: &msg})
	})
}

// exchange carries the request of an exchange of the membership.
func (n *Node) exchange(address string, link int, msg membership.Message) {
	f := n.fleet
	n.Bytes += messageSize(&msg)
	to := f.byAddress[address]
	startedAt := n.Started
	if to == nil || !to.Up || !f.delivers(n, to, 0, false) || !f.delivers(to, n, 0, false) {
		f.After(exchangeTimeout, func() {
			if n.Started == startedAt {
				n.deliver(membership.Input{Kind: membership.ExchangeFailed, ExchangeID: link})
			}
		})
		return
	}
	f.lastExchange++
	id := f.lastExchange
	f.After(3*(minLatency+f.regionLatency(n, to)), func() {
		if to.Up {
			to.exchanges[id] = pendingExchange{n, link, startedAt}
		}
		to.deliver(membership.Input{Kind: membership.ExchangeOpened, ExchangeID: id, Message: &msg})
	})
}

// reply carries the answer of an exchange of the membership.
func (n *Node) reply(link int, msg membership.Message) {
	f := n.fleet
	pending, known := n.exchanges[link]
	delete(n.exchanges, link)
	n.Bytes += messageSize(&msg)
	if !known || !f.delivers(n, pending.from, 0, false) {
		return
	}
	f.After(minLatency+f.regionLatency(n, pending.from), func() {
		if pending.from.Started == pending.startedAt {
			pending.from.deliver(membership.Input{Kind: membership.ExchangeAnswered, ExchangeID: pending.link, Message: &msg})
		}
	})
}
