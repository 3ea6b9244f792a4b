// Package consensus implements the replicas of a consensus group. They agree on one order of commands by raft, and apply them to three
// replicated tables: claims, leases and versions of the configuration. The package does no I/O and reads no clock: Replica.Step takes
// the time, messages and the membership view, and returns effects for the caller to carry out.
package consensus

import (
	"slices"

	"topazpost/internal/fleet/claims"
	"topazpost/internal/fleet/quota"
	"topazpost/internal/fleet/takeover"
)

const (
	pendingTimeout     = 5_000 * ms // after which a command that was not committed is no longer answered; since it is also the interval of the check, it takes up to twice as long
	maxEntryCommands   = 512        // commands on one table in one entry
	maxPendingCommands = 100_000    // commands that this replica has yet to answer; more are dropped, and the node retries at another replica
)

// Replica is one replica of a group: a raft replica with the three tables that it applies commands to.
type Replica struct {
	*raftReplica
	*claimTable
	*leaseTable
	configs      *configTable
	nextExpiryAt int64 // when the pending commands are next checked for time-outs
}

// NewReplica returns a replica without state. Names are those of all members, including self; the incarnation differs at each start of
// the process.
func NewReplica(names []string, self string, incarnation uint64, now, seed int64) *Replica {
	r := &Replica{raftReplica: newRaftReplica(names, self, incarnation, now, seed)}
	r.claimTable = &claimTable{replica: r.raftReplica}
	r.leaseTable = &leaseTable{replica: r.raftReplica}
	r.configs = &configTable{replica: r.raftReplica}
	r.tables = []replicatedTable{r.claimTable, r.leaseTable, r.configs}
	r.agreedTime = func() int64 { return r.claims.Time() }
	r.initialize()
	return r
}

// SetMaxTableBytes sets the limit on the bytes of the claims table, in force while this replica leads; 0 stands for the default.
func (r *Replica) SetMaxTableBytes(bytes int64) { r.maxClaimBytes = bytes }

// SetLimits sets the commands by which this replica defines limits while it leads.
func (r *Replica) SetLimits(list []quota.Command) { r.limitDefinitions = list }

// LeaseTable returns the table of limits and leases, as of the last entry that this replica applied. Callers must not change it.
func (r *Replica) LeaseTable() *quota.LeaseTable { return r.leases }

// ClaimTable returns the table of claims, as of the last entry that this replica applied. Callers must not change it.
func (r *Replica) ClaimTable() *claims.Table { return r.claims }

// TakeoverCounters returns the counters of takeovers since this replica last became the leader.
func (r *Replica) TakeoverCounters() takeover.Counters {
	if r.planner == nil {
		return takeover.Counters{}
	}
	return r.planner.Counters
}

// Summarize fills in the fields of a summary that come from a replica, with at most maxClaims claims, without their work and waiters.
func (r *Replica) Summarize(p *Summary, maxClaims int) {
	takeovers := r.TakeoverCounters()
	p.Replica = &r.Counters
	p.Leader = r.Leader()
	p.Table = &r.claims.Counters
	p.Takeover = &takeovers
	p.Time = r.claims.Time()
	p.ClaimCount, p.Bytes = r.claims.Size()
	p.Limits = r.leases.Limits()
	for _, entry := range r.claims.List(maxClaims) {
		short := *entry
		short.Work = nil
		short.Waiters = nil
		p.Claims = append(p.Claims, &short)
	}
}

// Step handles the inputs and the timers that are due at now, by a monotonic clock. The effects are valid until the next step, which the
// caller must take at wake at the latest.
func (r *Replica) Step(now int64, inputs []Input) (effects []Effect, wake int64) {
	r.step(now, func() {
		for i := range inputs {
			r.handleInput(&inputs[i])
		}
		if r.now >= r.nextExpiryAt {
			r.nextExpiryAt = r.now + pendingTimeout
			r.claimTable.expirePending()
			r.leaseTable.expirePending()
			r.configs.expirePending()
		}
	})
	r.sendAnswers()
	r.wakeAt = max(now+1, r.nextDeadline())
	return r.effects, r.wakeAt
}

func (r *Replica) handleInput(in *Input) {
	if in.View != nil {
		r.membershipView = in.View
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

// handlePropose queues a node's commands. It ignores those that a node may not send, those of a kind that is not known here, and those sent on
// behalf of another node.
func (r *Replica) handlePropose(m *Message) {
	for i := range m.ClaimCommands {
		command := &m.ClaimCommands[i]
		if command.Sender == m.Owner && command.Kind != claims.CommandAdvanceTime && command.Kind < claims.CommandKindCount {
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

// sendAnswers sends the verdicts and the notifications of ended claims of this step, one message of each kind to each node.
func (r *Replica) sendAnswers() {
	addReceivers(r.claimVerdicts, r.leaseVerdicts)
	addReceivers(r.claimVerdicts, r.configs.verdicts)
	for _, owner := range sortedOwners(r.claimVerdicts) {
		r.send(owner.Name, Message{Kind: MessageVerdicts, Owner: owner, ClaimVerdicts: r.claimVerdicts[owner], LeaseVerdicts: r.leaseVerdicts[owner],
			ConfigVerdicts: r.configs.verdicts[owner]})
	}
	clear(r.claimVerdicts)
	clear(r.leaseVerdicts)
	clear(r.configs.verdicts)
	for _, owner := range sortedOwners(r.endedClaims) {
		r.send(owner.Name, Message{Kind: MessageClaimsEnded, Owner: owner, Keys: r.endedClaims[owner]})
	}
	clear(r.endedClaims)
}

// addReceivers adds the owners in from to verdicts, if necessary with no verdicts on claims, so that one message to an owner carries all
// its verdicts.
func addReceivers[T any](verdicts map[claims.Owner][]claims.Verdict, from map[claims.Owner]T) {
	for owner := range from {
		if _, known := verdicts[owner]; !known {
			verdicts[owner] = nil
		}
	}
}

func sortedOwners[T any](byOwner map[claims.Owner]T) (list []claims.Owner) {
	for owner := range byOwner {
		list = append(list, owner)
	}
	slices.SortFunc(list, claims.CompareOwners)
	return list
}
