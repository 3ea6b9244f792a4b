// Package quota divides fleet-wide limits among nodes by leases. LeaseTable is the replicated table of leases of a consensus group;
// LeaseHolder runs on each node and tracks how many units the node may use now. The package does no I/O and reads no clock.
package quota

import (
	"maps"
	"slices"
)

const (
	ms = int64(1_000_000) // ns in a millisecond

	maxLimits  = 256     // limits of a fleet
	maxHolders = 2_000   // holders of one limit: above the size of any fleet
	maxUnits   = 1 << 30 // units of one limit
)

// MaxTimeStep is the most by which the table's time, which the caller passes to Apply, advances at once, in ns. The first advance after a grant may include time that
// passed before the grant, later ones can't. The table therefore keeps a lease MaxTimeStep longer than its term.
const MaxTimeStep = 500 * ms

// Lease is a holder's lease of units of one limit.
type Lease struct {
	Owner       Owner  `cbor:"1,keyasint" json:"Who"`
	Units       int64  `cbor:"2,keyasint,omitempty"`
	WantedUnits int64  `cbor:"3,keyasint,omitempty" json:"Want"`
	ExpiresAt   int64  `cbor:"4,keyasint" json:"Until"` // in the table's time
	Seq         uint64 `cbor:"5,keyasint"`
}

// Limit is one limit with its leases, ordered by their owners.
type Limit struct {
	Name               string  `cbor:"1,keyasint"`
	Units              int64   `cbor:"2,keyasint"`
	Version            uint64  `cbor:"3,keyasint"`
	EarlierLeasesEndAt int64   `cbor:"4,keyasint,omitempty" json:"Wait"` // table time when leases of an earlier, lost table have ended; grants begin MaxTimeStep later
	Leases             []Lease `cbor:"5,keyasint,omitempty"`
}

// LeasedUnits returns the sum of the units of all leases.
func (l *Limit) LeasedUnits() (sum int64) {
	for i := range l.Leases {
		sum += l.Leases[i].Units
	}
	return sum
}

// LeaseTable is the replicated state: all limits and leases. It is the same on all replicas that apply the same commands at the same
// times in the same order.
type LeaseTable struct{ limits map[string]*Limit }

// NewLeaseTable returns a table without limits.
func NewLeaseTable() *LeaseTable { return &LeaseTable{limits: map[string]*Limit{}} }

// Apply applies one command at the given time of the table, in ns, which must not go back. It grants units only while the sum of a limit's leases stays within the limit.
// After a limit was lowered the sum may exceed it until holders have returned units.
func (t *LeaseTable) Apply(time int64, command *Command) Verdict {
	verdict := Verdict{Limit: command.Limit, Seq: command.Seq}
	limit := t.limits[command.Limit]
	switch {
	case command.Kind == CommandDefineLimit:
		t.define(command, limit)
	case limit != nil:
		verdict.LimitDefined = true
		limit.expireLeases(time)
		limit.request(time, command, &verdict)
	}
	return verdict
}

func (t *LeaseTable) define(command *Command, limit *Limit) {
	switch {
	case command.Units < 0 || command.Units > maxUnits:
	case limit == nil && len(t.limits) < maxLimits:
		t.limits[command.Limit] = &Limit{Name: command.Limit, Units: command.Units, Version: command.Version, EarlierLeasesEndAt: command.EarlierLeasesEndAt}
	case limit != nil && command.Version > limit.Version:
		limit.Units = command.Units
		limit.Version = command.Version
	}
}

// request renews a holder's lease: it takes back the units that the holder does not retain and grants free units up to its fair share.
func (l *Limit) request(time int64, command *Command, verdict *Verdict) {
	i, found := slices.BinarySearchFunc(l.Leases, command.Sender, func(lease Lease, holder Owner) int { return CompareOwners(lease.Owner, holder) })
	if !found {
		if command.WantedUnits <= 0 || len(l.Leases) >= maxHolders {
			return
		}
		l.Leases = slices.Insert(l.Leases, i, Lease{Owner: command.Sender})
	}
	lease := &l.Leases[i]
	if command.Seq < lease.Seq { // late: a newer request was applied before
		return
	}
	if command.Seq > lease.Seq {
		lease.Units = min(lease.Units, max(0, command.RetainedUnits))
		lease.WantedUnits = min(max(0, command.WantedUnits), maxUnits)
		lease.Seq = command.Seq
	}
	lease.ExpiresAt = max(lease.ExpiresAt, time+max(0, command.LeaseDuration)+MaxTimeStep)
	verdict.FairShare = l.fairShares(time)[i]
	if free := l.Units - l.LeasedUnits(); time >= l.EarlierLeasesEndAt+MaxTimeStep && free > 0 {
		lease.Units += min(free, max(0, verdict.FairShare-lease.Units))
	}
	verdict.Units = lease.Units
	if lease.Units == 0 && lease.WantedUnits == 0 {
		l.Leases = slices.Delete(l.Leases, i, i+1)
	}
}

func (l *Limit) expireLeases(time int64) {
	l.Leases = slices.DeleteFunc(l.Leases, func(lease Lease) bool { return lease.ExpiresAt <= time })
}

// Limits returns all limits, by name. The caller must not change them.
func (t *LeaseTable) Limits() (list []*Limit) {
	for _, name := range slices.Sorted(maps.Keys(t.limits)) {
		list = append(list, t.limits[name])
	}
	return list
}

// Find returns the limit of that name, or nil if there is none.
func (t *LeaseTable) Find(name string) *Limit { return t.limits[name] }
