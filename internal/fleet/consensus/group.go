// Package consensus is a group of replicas that agree on one order of commands, by raft, and apply them to replicated tables: claims,
// leases and versions of the configuration. It does no I/O and reads no clock: Group.Step takes messages, the time and the membership
// view, and returns effects.
package consensus

import (
	"slices"

	"topazpost/internal/fleet/claims"
	"topazpost/internal/fleet/quota"
	"topazpost/internal/fleet/takeover"
)

const (
	pendingTimeout     = 5_000 * ms // ns after which this replica no longer answers a command that was not committed
	maxEntryCommands   = 512        // commands of a table in one entry
	maxPendingCommands = 100_000    // commands that this replica has to answer; more are dropped, and the caller asks another replica
)

// Group is one replica of a group, with its tables.
type Group struct {
	*Replica
	*claimTable
	*leaseTable
	configs  *configTable
	expireAt int64 // when pending commands are looked through next
}

// NewGroup returns a replica that knows nothing yet. Names are all members, this one among them; the incarnation distinguishes this start
// of the process from others.
func NewGroup(names []string, self string, incarnation uint64, now, seed int64) *Group {
	g := &Group{Replica: newReplica(names, self, incarnation, now, seed)}
	g.claimTable = &claimTable{replica: g.Replica}
	g.leaseTable = &leaseTable{replica: g.Replica}
	g.configs = &configTable{replica: g.Replica}
	g.tables = []replicatedTable{g.claimTable, g.leaseTable, g.configs}
	g.agreedTime = func() int64 { return g.table.Time() }
	g.initialize()
	return g
}

// SetMaxTableBytes sets the bytes that the table of claims may take while this replica leads, 0 for the default.
func (g *Group) SetMaxTableBytes(bytes int64) { g.maxBytes = bytes }

// SetLimits sets the limits that this replica defines while it leads.
func (g *Group) SetLimits(list []quota.Command) { g.limits = list }

// LeaseTable is the table of limits and leases as far as this replica has applied it. It must not be changed.
func (g *Group) LeaseTable() *quota.LeaseTable { return g.leases }

// Table is the table of claims as far as this replica has applied it. It must not be changed.
func (g *Group) Table() *claims.Table { return g.table }

// TakeoverCounters are the counters of takeovers since this replica last became the leader.
func (g *Group) TakeoverCounters() takeover.Counters {
	if g.planner == nil {
		return takeover.Counters{}
	}
	return g.planner.Counters
}

// Summarize fills in what this replica knows, with at most so many claims, without their work and results.
func (g *Group) Summarize(p *Summary, most int) {
	takeovers := g.TakeoverCounters()
	p.Replica = &g.Counters
	p.Leader = g.Leader()
	p.Table = &g.table.Counters
	p.Takeover = &takeovers
	p.Time = g.table.Time()
	p.Entries, p.Bytes = g.table.Size()
	p.Limits = g.leases.Limits()
	for _, entry := range g.table.List(most) {
		short := *entry
		short.Work = nil
		short.Waiters = nil
		p.Claims = append(p.Claims, &short)
	}
}

// Step takes what happened up to now, by a clock that only advances. The effects are valid until the next step; wake is the latest
// time of that.
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
		g.enqueueClaim(in.Claims[i])
	}
	g.requestLeases(in.Leases)
	g.configs.enqueue(in.Owner, in.Proposed)
	if in.Persisted > 0 || in.Err != nil {
		g.handlePersisted(in.Persisted, in.Err)
	}
	if in.Message != nil {
		g.handleMessage(in.Message)
	}
}

func (g *Group) handleMessage(m *Message) {
	switch m.Kind {
	case MessagePropose:
		g.handlePropose(m)
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

// handlePropose queues the commands that a node may give on its own behalf.
func (g *Group) handlePropose(m *Message) {
	for i := range m.Commands {
		command := &m.Commands[i]
		if command.Sender == m.Owner && command.Kind != claims.CommandAdvanceTime {
			g.enqueueClaim(*command)
		}
	}
	g.requestLeases(slices.DeleteFunc(m.Leases, func(command quota.Command) bool {
		return command.Kind != quota.CommandRequestLease || command.Sender != quota.Owner(m.Owner)
	}))
	if m.Owner.Name != "" {
		g.configs.enqueue(m.Owner, m.Proposed)
	}
}

// flush sends the answers of this step, one message of each kind for each node.
func (g *Group) flush() {
	addReceivers(g.verdicts, g.grants)
	addReceivers(g.verdicts, g.configs.verdicts)
	for _, owner := range sortedOwners(g.verdicts) {
		g.send(owner.Name, Message{Kind: MessageVerdicts, Owner: owner, Verdicts: g.verdicts[owner], Grants: g.grants[owner],
			Decided: g.configs.verdicts[owner]})
	}
	clear(g.verdicts)
	clear(g.grants)
	clear(g.configs.verdicts)
	for _, owner := range sortedOwners(g.endedClaims) {
		g.send(owner.Name, Message{Kind: MessageClaimsEnded, Owner: owner, Keys: g.endedClaims[owner]})
	}
	clear(g.endedClaims)
}

// addReceivers adds who is only in from to verdicts, without any, so that one message brings both.
func addReceivers[T any](verdicts map[claims.Owner][]claims.Verdict, from map[claims.Owner]T) {
	for owner := range from {
		if _, known := verdicts[owner]; !known {
			verdicts[owner] = nil
		}
	}
}

func sortedOwners[T any](of map[claims.Owner]T) (list []claims.Owner) {
	for owner := range of {
		list = append(list, owner)
	}
	slices.SortFunc(list, claims.CompareOwners)
	return list
}
