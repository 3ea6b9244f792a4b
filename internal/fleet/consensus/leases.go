package consensus

import (
	"slices"

	"topazpost/internal/fleet/claims"
	"topazpost/internal/fleet/quota"
)

type leased struct {
	owner claims.Owner
	limit string
	seq   uint64
}

// leaseTable is the council's table of limits and leases: who waits here for a grant, and the limits that this seat defines while
// it leads.
type leaseTable struct {
	seat    *Replica
	limits  []quota.Command
	book    *quota.LeaseTable
	asks    []quota.Command
	leasing map[leased]int64 // when
	grants  map[claims.Owner][]quota.Verdict
}

func (x *leaseTable) forget() {
	x.book, x.asks = quota.NewLeaseTable(), nil
	x.leasing, x.grants = map[leased]int64{}, map[claims.Owner][]quota.Verdict{}
}

func (x *leaseTable) lead() {}

// lease takes asks for leases on; without a leader they are dropped, and asked again.
func (x *leaseTable) lease(list []quota.Command) {
	for i := range list {
		if x.seat.leader == 0 || len(x.leasing) >= pendingMost {
			return
		}
		x.leasing[leased{claims.Owner(list[i].Sender), list[i].Limit, list[i].Seq}] = x.seat.now
		x.asks = append(x.asks, list[i])
	}
}

func (x *leaseTable) sweep() {
	for key, at := range x.leasing {
		if x.seat.now-at >= pendingFor {
			delete(x.leasing, key)
		}
	}
}

// rule defines the limits that are not agreed on yet.
func (x *leaseTable) rule() {
	for _, l := range x.limits {
		if known := x.book.Find(l.Limit); known == nil || known.Version < l.Version {
			x.asks = append(x.asks, l)
		}
	}
}

func (x *leaseTable) apart() bool { return false }

func (x *leaseTable) next() (part []byte) {
	part, x.asks = nextPart(x.asks)
	return part
}

// Apply carries leases' part of an entry out.
func (x *leaseTable) Apply(at int64, part []byte) {
	var list []quota.Command
	if decode.Unmarshal(part, &list) != nil {
		return
	}
	if slices.ContainsFunc(list, func(q quota.Command) bool { return q.Kind >= quota.CommandKindCount }) {
		panic("a command of a newer version: the others' tables would not be this one's any more")
	}
	for i := range list {
		x.grant(at, &list[i])
	}
}

func (x *leaseTable) grant(at int64, command *quota.Command) {
	x.seat.Counters.Committed++
	v := x.book.Apply(at, command)
	key := leased{claims.Owner(command.Sender), command.Limit, command.Seq}
	if _, here := x.leasing[key]; here && command.Kind == quota.CommandRequestLease {
		delete(x.leasing, key)
		x.grants[key.owner] = append(x.grants[key.owner], v)
	}
}

// Snapshot is the book of limits.
func (x *leaseTable) Snapshot() ([]byte, error) { return x.book.Snapshot() }

// Restore takes the place of the book of limits.
func (x *leaseTable) Restore(text []byte) (err error) {
	if x.book = quota.NewLeaseTable(); len(text) > 0 {
		x.book, err = quota.Restore(text)
	}
	return err
}
