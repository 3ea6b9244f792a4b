// Package consensus is a group of replicas that agree on one order of commands, by raft, and apply them to replicated tables: claims,
// leases and versions of the configuration. It does no I/O and reads no clock: Replica.Step takes messages, the time and the membership
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

// Replica is one replica of a group, with its tables.
type Replica struct {
	*raftReplica
	*claimTable
	*leaseTable
	configs  *configTable
	expireAt int64 // when pending commands are looked through next
}

// NewReplica returns a replica that knows nothing yet. Names are all members, this one among them; the incarnation distinguishes this start
// of the process from others.
func NewReplica(names []string, self string, incarnation uint64, now, seed int64) *Replica {
	r := &Replica{raftReplica: newRaftReplica(names, self, incarnation, now, seed)}
	r.claimTable = &claimTable{replica: r.raftReplica}
	r.leaseTable = &leaseTable{replica: r.raftReplica}
	r.configs = &configTable{replica: r.raftReplica}
	r.tables = []replicatedTable{r.claimTable, r.leaseTable, r.configs}
	r.agreedTime = func() int64 { return r.table.Time() }
	r.initialize()
	return r
}

// SetMaxTableBytes sets the bytes that the table of claims may take while this replica leads, 0 for the default.
func (r *Replica) SetMaxTableBytes(bytes int64) { r.maxBytes = bytes }

// SetLimits sets the limits that this replica defines while it leads.
func (r *Replica) SetLimits(list []quota.Command) { r.limits = list }

// LeaseTable is the table of limits and leases as far as this replica has applied it. It must not be changed.
func (r *Replica) LeaseTable() *quota.LeaseTable { return r.leases }

// Table is the table of claims as far as this replica has applied it. It must not be changed.
func (r *Replica) Table() *claims.Table { return r.table }

// TakeoverCounters are the counters of takeovers since this replica last became the leader.
func (r *Replica) TakeoverCounters() takeover.Counters {
	if r.planner == nil {
		return takeover.Counters{}
	}
	return r.planner.Counters
}

// Summarize fills in what this replica knows, with at most so many claims, without their work and results.
func (r *Replica) Summarize(p *Summary, most int) {
	takeovers := r.TakeoverCounters()
	p.Replica = &r.Counters
	p.Leader = r.Leader()
	p.Table = &r.table.Counters
	p.Takeover = &takeovers
	p.Time = r.table.Time()
	p.Entries, p.Bytes = r.table.Size()
	p.Limits = r.leases.Limits()
	for _, entry := range r.table.List(most) {
		short := *entry
		short.Work = nil
		short.Waiters = nil
		p.Claims = append(p.Claims, &short)
	}
}

// Step takes what happened up to now, by a clock that only advances. The effects are valid until the next step; wake is the latest
// time of that.
func (r *Replica) Step(now int64, inputs []Input) (effects []Effect, wake int64) {
	r.step(now, func() {
		for i := range inputs {
			r.handleInput(&inputs[i])
		}
		if r.now >= r.expireAt {
			r.expireAt = r.now + pendingTimeout
			r.claimTable.expirePending()
			r.leaseTable.expirePending()
			r.configs.expirePending()
		}
	})
	r.flush()
	r.wakeAt = max(now+1, r.nextDeadline())
	return r.effects, r.wakeAt
}

func (r *Replica) handleInput(in *Input) {
	if in.View != nil {
		r.view = in.View
	}
	for i := range in.ClaimCommands {
		r.enqueueClaim(in.ClaimCommands[i])
	}
	r.requestLeases(in.LeaseCommands)
	r.configs.enqueue(in.Owner, in.ConfigCommands)
	if in.Persisted > 0 || in.DiskErr != nil {
		r.handlePersisted(in.Persisted, in.DiskErr)
	}
	if in.Message != nil {
		r.handleMessage(in.Message)
	}
}

func (r *Replica) handleMessage(m *Message) {
	switch m.Kind {
	case MessagePropose:
		r.handlePropose(m)
	case MessageDiscovery:
		r.handleDiscovery(m)
	case MessageRaft:
		r.handleRaft(m)
	case MessageRejoin:
		if slices.Contains(r.members, m.From) {
			r.answerRejoin(m.From, m.RaftID)
		}
	case MessageRejoinAnswer:
		r.handleRejoinAnswer(m)
	case MessagePartRequest:
		r.handlePartRequest(m)
	case MessagePart:
		r.handlePart(m)
	}
}

// handlePropose queues the commands that a node may give on its own behalf.
func (r *Replica) handlePropose(m *Message) {
	for i := range m.ClaimCommands {
		command := &m.ClaimCommands[i]
		if command.Sender == m.Owner && command.Kind != claims.CommandAdvanceTime {
			r.enqueueClaim(*command)
		}
	}
	r.requestLeases(slices.DeleteFunc(m.LeaseCommands, func(command quota.Command) bool {
		return command.Kind != quota.CommandRequestLease || command.Sender != quota.Owner(m.Owner)
	}))
	if m.Owner.Name != "" {
		r.configs.enqueue(m.Owner, m.ConfigCommands)
	}
}

// flush sends the answers of this step, one message of each kind for each node.
func (r *Replica) flush() {
	addReceivers(r.verdicts, r.grants)
	addReceivers(r.verdicts, r.configs.verdicts)
	for _, owner := range sortedOwners(r.verdicts) {
		r.send(owner.Name, Message{Kind: MessageVerdicts, Owner: owner, ClaimVerdicts: r.verdicts[owner], LeaseVerdicts: r.grants[owner],
			ConfigVerdicts: r.configs.verdicts[owner]})
	}
	clear(r.verdicts)
	clear(r.grants)
	clear(r.configs.verdicts)
	for _, owner := range sortedOwners(r.endedClaims) {
		r.send(owner.Name, Message{Kind: MessageClaimsEnded, Owner: owner, Keys: r.endedClaims[owner]})
	}
	clear(r.endedClaims)
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
