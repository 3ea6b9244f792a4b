package consensus

import (
	"slices"

	"topazpost/internal/fleet/claims"
	"topazpost/internal/fleet/quota"
)

type leaseCommandID struct {
	owner claims.Owner
	limit string
	seq   uint64
}

// leaseTable is the council's table of limits and leases: who waits here for a grant, and the limits that this seat defines while
// it leads.
type leaseTable struct {
	replica       *Replica
	limits        []quota.Command
	leases        *quota.LeaseTable
	queuedLeases  []quota.Command
	pendingLeases map[leaseCommandID]int64 // when
	grants        map[claims.Owner][]quota.Verdict
}

func (t *leaseTable) reset() {
	t.leases, t.queuedLeases = quota.NewLeaseTable(), nil
	t.pendingLeases, t.grants = map[leaseCommandID]int64{}, map[claims.Owner][]quota.Verdict{}
}

func (t *leaseTable) becomeLeader() {}

// requestLeases takes asks for leases on; without a leader they are dropped, and asked again.
func (t *leaseTable) requestLeases(list []quota.Command) {
	for i := range list {
		if t.replica.leaderID == 0 || len(t.pendingLeases) >= maxPendingCommands {
			return
		}
		t.pendingLeases[leaseCommandID{claims.Owner(list[i].Sender), list[i].Limit, list[i].Seq}] = t.replica.now
		t.queuedLeases = append(t.queuedLeases, list[i])
	}
}

func (t *leaseTable) expirePending() {
	for key, at := range t.pendingLeases {
		if t.replica.now-at >= pendingTimeout {
			delete(t.pendingLeases, key)
		}
	}
}

// leaderTick defines the limits that are not agreed on yet.
func (t *leaseTable) leaderTick() {
	for _, l := range t.limits {
		if known := t.leases.Find(l.Limit); known == nil || known.Version < l.Version {
			t.queuedLeases = append(t.queuedLeases, l)
		}
	}
}

func (t *leaseTable) storedSeparately() bool { return false }

func (t *leaseTable) nextProposal() (part []byte) {
	part, t.queuedLeases = encodeQueued(t.queuedLeases)
	return part
}

// Apply carries leases' part of an entry out.
func (t *leaseTable) Apply(at int64, part []byte) {
	var list []quota.Command
	if cborDecoding.Unmarshal(part, &list) != nil {
		return
	}
	if slices.ContainsFunc(list, func(q quota.Command) bool { return q.Kind >= quota.CommandKindCount }) {
		panic("a command of a newer version: the others' tables would not be this one's any more")
	}
	for i := range list {
		t.applyCommand(at, &list[i])
	}
}

func (t *leaseTable) applyCommand(at int64, command *quota.Command) {
	t.replica.Counters.Committed++
	verdict := t.leases.Apply(at, command)
	key := leaseCommandID{claims.Owner(command.Sender), command.Limit, command.Seq}
	if _, here := t.pendingLeases[key]; here && command.Kind == quota.CommandRequestLease {
		delete(t.pendingLeases, key)
		t.grants[key.owner] = append(t.grants[key.owner], verdict)
	}
}

// Snapshot is the book of limits.
func (t *leaseTable) Snapshot() ([]byte, error) { return t.leases.Snapshot() }

// Restore takes the place of the book of limits.
func (t *leaseTable) Restore(text []byte) (err error) {
	if t.leases = quota.NewLeaseTable(); len(text) > 0 {
		t.leases, err = quota.Restore(text)
	}
	return err
}
