// Package consensus has some seats of a fleet agree on one order of commands, by raft, and carries them out on tables: claims,
// leases and versions of the configuration. It does no I/O and reads no clock: messages, time and the view come in, messages and verdicts go out.
package consensus

import (
	"slices"

	"topazpost/internal/fleet/claims"
	"topazpost/internal/fleet/configsync"
	"topazpost/internal/fleet/quota"
	"topazpost/internal/fleet/takeover"
)

const (
	pendingTimeout     = 5_000 * ms // ns after which a command that was not agreed on is not answered from here any more
	maxEntryCommands   = 512        // commands of a kind in one entry
	maxPendingCommands = 100_000    // commands taken here and not answered yet; more are answered by whom they are sent to next
)

// MessageKind names what a message is for.
type MessageKind uint8

// The messages.
const (
	MessageRaft         MessageKind = iota + 1 // between seats
	MessageDiscovery                           // of a seat that belongs to no council, and the answer to it
	MessagePropose                             // commands of a node, to any seat
	MessageVerdicts                            // their answers
	MessageClaimsEnded                         // claims that the receiver waits for are over
	MessageReassignment                        // the receiver inherits a claim
	MessageRejoin                              // a seat that is back from its disk asks what was heard of it
	MessageRejoinAnswer                        // the answer
	MessagePartRequest                         // a seat asks for a piece of what a snapshot names
	MessagePart                                // the answer
)

// Message is what seats and nodes tell each other.
type Message struct {
	Kind        MessageKind          `cbor:"1,keyasint"`
	From        string               `cbor:"2,keyasint"`
	Raft        []byte               `cbor:"3,keyasint,omitempty"`
	ID          uint64               `cbor:"4,keyasint,omitempty"` // Hail
	Incarnation uint64               `cbor:"5,keyasint,omitempty"` // Hail
	BoundTo     uint64               `cbor:"6,keyasint,omitempty"` // Hail
	Unassigned  bool                 `cbor:"7,keyasint,omitempty"` // Hail: it belongs to no council
	Owner       claims.Owner         `cbor:"8,keyasint,omitempty"` // Propose; in the others to whom
	Commands    []claims.Command     `cbor:"9,keyasint,omitempty"`
	Verdicts    []claims.Verdict     `cbor:"10,keyasint,omitempty"`
	Keys        []claims.Key         `cbor:"11,keyasint,omitempty"` // Tells
	Entry       *claims.Entry        `cbor:"12,keyasint,omitempty"` // Gift
	Remaining   int64                `cbor:"13,keyasint,omitempty"` // Gift: ns to its due time
	Leases      []quota.Command      `cbor:"15,keyasint,omitempty"` // Propose
	Grants      []quota.Verdict      `cbor:"16,keyasint,omitempty"` // Verdicts
	Number      uint64               `cbor:"17,keyasint,omitempty"` // Raft: the last write that counts at the sender; Heard: the last that was heard
	Part        string               `cbor:"18,keyasint,omitempty"` // Want, Piece: its digest
	Offset      int                  `cbor:"19,keyasint,omitempty"` // in it
	Size        int                  `cbor:"20,keyasint,omitempty"` // of it
	Bytes       []byte               `cbor:"21,keyasint,omitempty"`
	Proposed    []configsync.Command `cbor:"22,keyasint,omitempty"` // Propose
	Decided     []configsync.Verdict `cbor:"23,keyasint,omitempty"` // Verdicts
	Leader      string               `cbor:"14,keyasint,omitempty"` // who leads the council, as far as the sender knows
}

// Input is one thing that happened: a message, commands of this node's own, or another view.
type Input struct {
	Message  *Message
	Claims   []claims.Command
	Leases   []quota.Command      // of this node's own
	View     []takeover.Member    // nil where it did not change
	Proposed []configsync.Command // of the configuration
	Owner    claims.Owner         // who is told of the verdicts on Proposed; none where this seat has them ordered of itself

	Persisted uint64 // writes up to this number count
	Err       error  // of the disk: that and all later ones can't be written
}

// EffectKind names what is to be done.
type EffectKind uint8

// The effects.
const (
	Send     EffectKind = iota // to the node To
	WriteLog                   // tell operators
	Persist                    // write to the disk, in order, then say so
)

// Effect is one thing to do. A message to this node's own name is one to itself.
type Effect struct {
	Kind    EffectKind
	To      string
	Message Message
	Text    string
	Warn    bool
	Write   *Write
}

// Summary is what a node shows of claims.
type Summary struct {
	Node           string                 `json:"node" cbor:"1,keyasint"`
	Client         *claims.ClientCounters `json:"desk,omitempty" cbor:"2,keyasint,omitempty"`
	ClaimsInFlight int                    `json:"in_hand" cbor:"3,keyasint,omitempty"`
	GroupReachable bool                   `json:"council_reached" cbor:"4,keyasint,omitempty"`
	Replica        *Counters              `json:"seat,omitempty" cbor:"5,keyasint,omitempty"`
	Leader         string                 `json:"leader,omitempty" cbor:"6,keyasint,omitempty"`
	Table          *claims.Counters       `json:"table,omitempty" cbor:"7,keyasint,omitempty"`
	Takeover       *takeover.Counters     `json:"handed,omitempty" cbor:"8,keyasint,omitempty"`
	Entries        int                    `json:"claims" cbor:"9,keyasint,omitempty"`
	Bytes          int64                  `json:"bytes" cbor:"10,keyasint,omitempty"`
	Time           int64                  `json:"time_ns" cbor:"11,keyasint,omitempty"`
	Limits         []*quota.Limit         `json:"limits,omitempty" cbor:"13,keyasint,omitempty"`
	Lease          *quota.Counters        `json:"lease,omitempty" cbor:"14,keyasint,omitempty"`
	Claims         []*claims.Entry        `json:"-" cbor:"12,keyasint,omitempty"`
}

// Summarize fills in what this seat knows, with so many claims at the most, without their work and results.
func (g *Group) Summarize(p *Summary, most int) {
	handed := g.TakeoverCounters()
	p.Replica, p.Leader, p.Table, p.Takeover, p.Time = &g.Counters, g.Leader(), &g.table.Counters, &handed, g.table.Time()
	p.Entries, p.Bytes = g.table.Size()
	p.Limits = g.leases.Limits()
	for _, e := range g.table.List(most) {
		short := *e
		short.Work, short.Waiters = nil, nil
		p.Claims = append(p.Claims, &short)
	}
}

// Group is one seat with its tables.
type Group struct {
	*Replica
	*claimTable
	*leaseTable
	configs  *configTable
	expireAt int64
}

// NewGroup is a seat that knows nothing yet. Names are all seats, this node's among them; life tells this start from others.
func NewGroup(names []string, self string, life uint64, now, seed int64) *Group {
	c := &Group{Replica: newReplica(names, self, life, now, seed)}
	c.claimTable = &claimTable{replica: c.Replica}
	c.leaseTable = &leaseTable{replica: c.Replica}
	c.configs = &configTable{replica: c.Replica}
	c.tables = []replicatedTable{c.claimTable, c.leaseTable, c.configs}
	c.agreedTime = func() int64 { return c.table.Time() }
	c.initialize()
	return c
}

// SetMaxTableBytes sets the bytes that the table of claims may take while this seat leads, 0 for the usual.
func (g *Group) SetMaxTableBytes(bytes int64) { g.maxBytes = bytes }

// SetLimits sets the limits that this seat defines while it leads.
func (g *Group) SetLimits(list []quota.Command) { g.limits = list }

// LeaseTable is what was agreed on of limits. It must not be changed.
func (g *Group) LeaseTable() *quota.LeaseTable { return g.leases }

// Table is what was agreed on of claims, as far as this seat has heard. It must not be changed.
func (g *Group) Table() *claims.Table { return g.table }

// TakeoverCounters is what hand-overs came to while this seat led.
func (g *Group) TakeoverCounters() takeover.Counters {
	if g.planner == nil {
		return takeover.Counters{}
	}
	return g.planner.Counters
}

// Step takes what happened up to now, by a clock that only advances. The effects are valid until the next step; wake is
// when it is to step again at the latest.
func (g *Group) Step(now int64, inputs []Input) (effects []Effect, wake int64) {
	g.step(now, func() {
		for i := range inputs {
			g.handleInput(&inputs[i])
		}
		if g.now >= g.expireAt {
			g.expireAt = g.now + pendingTimeout
			g.claimTable.expirePending()
			g.leaseTable.expirePending()
			g.configs.expirePending()
		}
	})
	g.flush()
	g.wakeAt = max(now+1, g.nextDeadline())
	return g.effects, g.wakeAt
}

func (g *Group) handleInput(in *Input) {
	if in.View != nil {
		g.view = in.View
	}
	for i := range in.Claims {
		g.enqueue(in.Claims[i])
	}
	g.requestLeases(in.Leases)
	g.configs.enqueue(in.Owner, in.Proposed)
	if in.Persisted > 0 || in.Err != nil {
		g.handlePersisted(in.Persisted, in.Err)
	}
	m := in.Message
	if m == nil {
		return
	}
	switch m.Kind {
	case MessagePropose:
		for i := range m.Commands {
			if m.Commands[i].Sender == m.Owner && m.Commands[i].Kind != claims.CommandAdvanceTime {
				g.enqueue(m.Commands[i])
			}
		}
		g.requestLeases(slices.DeleteFunc(m.Leases, func(q quota.Command) bool {
			return q.Kind != quota.CommandRequestLease || q.Sender != quota.Owner(m.Owner)
		}))
		if m.Owner.Name != "" {
			g.configs.enqueue(m.Owner, m.Proposed)
		}
	case MessageDiscovery:
		g.handleDiscovery(m)
	case MessageRaft:
		g.handleRaft(m)
	case MessageRejoin:
		if slices.Contains(g.members, m.From) {
			g.answerRejoin(m.From, m.ID)
		}
	case MessageRejoinAnswer:
		g.handleRejoinAnswer(m)
	case MessagePartRequest:
		g.handlePartRequest(m)
	case MessagePart:
		g.handlePart(m)
	}
}

// flush sends what gathered in this step, one message for each node.
func (g *Group) flush() {
	for o := range g.grants {
		if _, known := g.verdicts[o]; !known {
			g.verdicts[o] = nil // one message brings both
		}
	}
	for o := range g.configs.verdicts {
		if _, known := g.verdicts[o]; !known {
			g.verdicts[o] = nil
		}
	}
	for _, o := range sortedOwners(g.verdicts) {
		g.send(o.Name, Message{Kind: MessageVerdicts, Owner: o, Verdicts: g.verdicts[o], Grants: g.grants[o], Decided: g.configs.verdicts[o]})
	}
	clear(g.grants)
	clear(g.configs.verdicts)
	for _, o := range sortedOwners(g.endedClaims) {
		g.send(o.Name, Message{Kind: MessageClaimsEnded, Owner: o, Keys: g.endedClaims[o]})
	}
	clear(g.verdicts)
	clear(g.endedClaims)
}

func sortedOwners[T any](of map[claims.Owner]T) (list []claims.Owner) {
	for o := range of {
		list = append(list, o)
	}
	slices.SortFunc(list, claims.CompareOwners)
	return list
}
