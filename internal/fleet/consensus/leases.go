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

func (x *leaseTable) reset() {
	x.leases, x.queuedLeases = quota.NewLeaseTable(), nil
	x.pendingLeases, x.grants = map[leaseCommandID]int64{}, map[claims.Owner][]quota.Verdict{}
}

func (x *leaseTable) becomeLeader() {}

// requestLeases takes asks for leases on; without a leader they are dropped, and asked again.
func (x *leaseTable) requestLeases(list []quota.Command) {
	for i := range list {
		if x.replica.leaderID == 0 || len(x.pendingLeases) >= maxPendingCommands {
			return
		}
		x.pendingLeases[leaseCommandID{claims.Owner(list[i].Sender), list[i].Limit, list[i].Seq}] = x.replica.now
		x.queuedLeases = append(x.queuedLeases, list[i])
	}
}

func (x *leaseTable) expirePending() {
	for key, at := range x.pendingLeases {
		if x.replica.now-at >= pendingTimeout {
			delete(x.pendingLeases, key)
		}
	}
}

// leaderTick defines the limits that are not agreed on yet.
func (x *leaseTable) leaderTick() {
	for _, l := range x.limits {
		if known := x.leases.Find(l.Limit); known == nil || known.Version < l.Version {
			x.queuedLeases = append(x.queuedLeases, l)
		}
	}
}

func (x *leaseTable) storedSeparately() bool { return false }

func (x *leaseTable) nextProposal() (part []byte) {
	part, x.queuedLeases = encodeQueued(x.queuedLeases)
	return part
}

// Apply carries leases' part of an entry out.
func (x *leaseTable) Apply(at int64, part []byte) {
	var list []quota.Command
	if cborDecoding.Unmarshal(part, &list) != nil {
		return
	}
	if slices.ContainsFunc(list, func(q quota.Command) bool { return q.Kind >= quota.CommandKindCount }) {
		panic("a command of a newer version: the others' tables would not be this one's any more")
	}
	for i := range list {
		x.applyCommand(at, &list[i])
	}
}

func (x *leaseTable) applyCommand(at int64, command *quota.Command) {
	x.replica.Counters.Committed++
	v := x.leases.Apply(at, command)
	key := leaseCommandID{claims.Owner(command.Sender), command.Limit, command.Seq}
	if _, here := x.pendingLeases[key]; here && command.Kind == quota.CommandRequestLease {
		delete(x.pendingLeases, key)
		x.grants[key.owner] = append(x.grants[key.owner], v)
	}
}

// Snapshot is the book of limits.
func (x *leaseTable) Snapshot() ([]byte, error) { return x.leases.Snapshot() }

// Restore takes the place of the book of limits.
func (x *leaseTable) Restore(text []byte) (err error) {
	if x.leases = quota.NewLeaseTable(); len(text) > 0 {
		x.leases, err = quota.Restore(text)
	}
	return err
}
