package consensus

import (
	"slices"

	"topazpost/internal/fleet/claims"
	"topazpost/internal/fleet/quota"
)

// leaseCommandID identifies a lease request of a node.
type leaseCommandID struct {
	owner claims.Owner
	limit string
	seq   uint64
}

// leaseTable is the replicated table of limits and leases, with the lease requests that this replica has to answer, and the definitions
// of limits that it proposes while it leads.
type leaseTable struct {
	replica          *raftReplica
	limitDefinitions []quota.Command
	leases           *quota.LeaseTable
	queuedLeases     []quota.Command
	pendingLeases    map[leaseCommandID]int64 // when each request was received
	leaseVerdicts    map[claims.Owner][]quota.Verdict
}

func (t *leaseTable) reset() {
	t.leases = quota.NewLeaseTable()
	t.queuedLeases = nil
	t.pendingLeases = map[leaseCommandID]int64{}
	t.leaseVerdicts = map[claims.Owner][]quota.Verdict{}
}

func (t *leaseTable) becomeLeader() {}

// requestLeases queues lease requests to be proposed. It drops them if no leader is known or too many are pending; the node then retries.
func (t *leaseTable) requestLeases(list []quota.Command) {
	for i := range list {
		if t.replica.leadership.leaderID == 0 || len(t.pendingLeases) >= maxPendingCommands {
			return
		}
		t.pendingLeases[leaseCommandID{claims.Owner(list[i].Sender), list[i].Limit, list[i].Seq}] = t.replica.now
		t.queuedLeases = append(t.queuedLeases, list[i])
	}
}

func (t *leaseTable) expirePending() {
	for id, at := range t.pendingLeases {
		if t.replica.now-at >= pendingTimeout {
			delete(t.pendingLeases, id)
		}
	}
}

// leaderTick queues the definitions of limits that the table lacks or has in an earlier version.
func (t *leaseTable) leaderTick() {
	for _, limit := range t.limitDefinitions {
		known := t.leases.Find(limit.Limit)
		if known == nil || known.Version < limit.Version {
			t.queuedLeases = append(t.queuedLeases, limit)
		}
	}
}

func (t *leaseTable) storedSeparately() bool { return false }

func (t *leaseTable) nextProposal() (commands []byte) {
	commands, t.queuedLeases = encodeQueued(t.queuedLeases)
	return commands
}

// Apply applies the commands on limits and leases of an entry.
func (t *leaseTable) Apply(at int64, commands []byte) {
	var list []quota.Command
	if cborDecoding.Unmarshal(commands, &list) != nil {
		return
	}
	if slices.ContainsFunc(list, func(c quota.Command) bool { return c.Kind >= quota.CommandKindCount }) {
		panic(errNewerCommand)
	}
	for i := range list {
		t.applyCommand(at, &list[i])
	}
}

func (t *leaseTable) applyCommand(at int64, command *quota.Command) {
	t.replica.Counters.CommittedCommands++
	verdict := t.leases.Apply(at, command)
	id := leaseCommandID{claims.Owner(command.Sender), command.Limit, command.Seq}
	if _, waits := t.pendingLeases[id]; waits && command.Kind == quota.CommandRequestLease {
		delete(t.pendingLeases, id)
		t.leaseVerdicts[id.owner] = append(t.leaseVerdicts[id.owner], verdict)
	}
}

// Snapshot encodes the table of limits and leases.
func (t *leaseTable) Snapshot() ([]byte, error) { return t.leases.Snapshot() }

// Restore replaces the table of limits and leases.
func (t *leaseTable) Restore(encoded []byte) (err error) {
	t.leases = quota.NewLeaseTable()
	if len(encoded) > 0 {
		t.leases, err = quota.Restore(encoded)
	}
	return err
}
