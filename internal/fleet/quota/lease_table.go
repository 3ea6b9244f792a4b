// Package quota shares limits that hold for a whole fleet: the book of leases that its council agrees on, and the holder
// of a node, which says how much that node may use now. It does no I/O and reads no clock.
package quota

import (
	"cmp"
	"fmt"
	"maps"
	"math/bits"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
)

const (
	ms = int64(1_000_000) // ns in a millisecond

	rotationInterval = 5_000 * ms // ns after which units that can't be parted evenly go to others
	rotationBits     = 11         // of a name's hash that it is turned by then: no divisor of 64
	maxLimits        = 256        // limits of a fleet
	maxHolders       = 2_000      // holders of one limit: above any table of members
	maxUnits         = 1 << 30    // of one limit
)

// MaxTimeStep is the most that the table's time moves on at once, in ns. The first such step after a grant may count time from
// before it, later ones can't, so leases are longer by that much in the book than their holders use them.
const MaxTimeStep = 500 * ms

// Owner is one life of a node.
type Owner struct {
	Name        string `cbor:"1,keyasint" json:"Name"`
	Incarnation uint64 `cbor:"2,keyasint" json:"Life"`
}

// CompareOwners orders holders by name, then life.
func CompareOwners(a, b Owner) int {
	if n := strings.Compare(a.Name, b.Name); n != 0 {
		return n
	}
	return cmp.Compare(a.Incarnation, b.Incarnation)
}

// CommandKind names what a command does.
type CommandKind uint8

// The commands.
const (
	CommandDefineLimit  CommandKind = iota // a limit, if its Version is higher than the one that is known
	CommandRequestLease                    // a lease: gives back what is over Keep, asks for Want in all
	CommandKindCount                       // one past the last
)

// Command is one change of the book. Times are nanoseconds.
type Command struct {
	Kind          CommandKind `cbor:"1,keyasint"`
	Sender        Owner       `cbor:"2,keyasint"`
	Seq           uint64      `cbor:"3,keyasint,omitempty"` // of the holder's asks: an older one that comes late changes nothing
	Limit         string      `cbor:"4,keyasint"`
	UnitsInUse    int64       `cbor:"5,keyasint,omitempty"`  // Ask: units that the holder may still use
	WantedUnits   int64       `cbor:"6,keyasint,omitempty"`  // Ask
	LeaseDuration int64       `cbor:"7,keyasint,omitempty"`  // Ask: how long the lease is, in the table's time
	Units         int64       `cbor:"8,keyasint,omitempty"`  // Define
	Version       uint64      `cbor:"9,keyasint,omitempty"`  // Define
	StartDelay    int64       `cbor:"10,keyasint,omitempty"` // Define: since the founding, before the first grant: leases of an earlier council end
}

// Verdict answers an Ask.
type Verdict struct {
	Limit        string `cbor:"1,keyasint"`
	Seq          uint64 `cbor:"2,keyasint"`
	Units        int64  `cbor:"3,keyasint,omitempty"` // that the holder may use from now on
	FairShare    int64  `cbor:"4,keyasint,omitempty"` // its fair part: what it holds over it should be given back
	LimitDefined bool   `cbor:"5,keyasint,omitempty"` // the limit is defined
}

// Lease is what one holder has.
type Lease struct {
	Who   Owner  `cbor:"1,keyasint"`
	Units int64  `cbor:"2,keyasint,omitempty"`
	Want  int64  `cbor:"3,keyasint,omitempty"`
	Until int64  `cbor:"4,keyasint"` // in the table's time
	Seq   uint64 `cbor:"5,keyasint"`
}

// Limit is one limit with its leases, by holder.
type Limit struct {
	Name    string  `cbor:"1,keyasint"`
	Units   int64   `cbor:"2,keyasint"`
	Version uint64  `cbor:"3,keyasint"`
	Wait    int64   `cbor:"4,keyasint,omitempty"`
	Leases  []Lease `cbor:"5,keyasint,omitempty"`
}

// LeasedUnits is the sum of all leases.
func (l *Limit) LeasedUnits() (sum int64) {
	for i := range l.Leases {
		sum += l.Leases[i].Units
	}
	return sum
}

// LeaseTable is all limits and leases, the same on all that carry out the same commands in the same order.
type LeaseTable struct{ limits map[string]*Limit }

// NewLeaseTable is a book without limits.
func NewLeaseTable() *LeaseTable { return &LeaseTable{limits: map[string]*Limit{}} }

// Apply carries out one command at a time of the table. The sum of a limit's leases only grows where it stays within
// the limit; it may be over it after the limit was lowered, until holders gave back.
func (b *LeaseTable) Apply(time int64, c *Command) Verdict {
	v := Verdict{Limit: c.Limit, Seq: c.Seq}
	l := b.limits[c.Limit]
	if c.Kind == CommandDefineLimit {
		b.define(c, l)
		return v
	}
	if l == nil {
		return v
	}
	v.LimitDefined = true
	l.expireLeases(time)
	k, held := slices.BinarySearchFunc(l.Leases, c.Sender, func(x Lease, w Owner) int { return CompareOwners(x.Who, w) })
	if !held {
		if c.WantedUnits <= 0 || len(l.Leases) >= maxHolders {
			return v
		}
		l.Leases = slices.Insert(l.Leases, k, Lease{Who: c.Sender})
	}
	x := &l.Leases[k]
	if c.Seq < x.Seq { // late: what its holder may use was agreed on since
		return v
	}
	if c.Seq > x.Seq {
		x.Units, x.Want, x.Seq = min(x.Units, max(0, c.UnitsInUse)), min(max(0, c.WantedUnits), maxUnits), c.Seq
	}
	x.Until = max(x.Until, time+max(0, c.LeaseDuration)+MaxTimeStep)
	v.FairShare = l.fairShares(time)[k]
	if free := l.Units - l.LeasedUnits(); time >= l.Wait+MaxTimeStep && free > 0 {
		x.Units += min(free, max(0, v.FairShare-x.Units))
	}
	if v.Units = x.Units; x.Units == 0 && x.Want == 0 {
		l.Leases = slices.Delete(l.Leases, k, k+1)
	}
	return v
}

func (b *LeaseTable) define(c *Command, l *Limit) {
	switch {
	case c.Units < 0 || c.Units > maxUnits:
	case l == nil && len(b.limits) < maxLimits:
		b.limits[c.Limit] = &Limit{Name: c.Limit, Units: c.Units, Version: c.Version, Wait: c.StartDelay}
	case l != nil && c.Version > l.Version:
		l.Units, l.Version = c.Units, c.Version
	}
}

// ExpireLeases ends the leases whose time is over.
func (b *LeaseTable) ExpireLeases(time int64) {
	for _, l := range b.limits {
		l.expireLeases(time)
	}
}

func (l *Limit) expireLeases(time int64) {
	l.Leases = slices.DeleteFunc(l.Leases, func(x Lease) bool { return x.Until <= time })
}

// fairShares is each holder's part, in the order of the leases: no more than it wants, and what some do not want goes to the
// others alike. What can't be parted evenly goes round.
func (l *Limit) fairShares(time int64) []int64 {
	parts := make([]int64, len(l.Leases))
	left, open := l.Units, make([]int, 0, len(parts))
	for i := range l.Leases {
		if l.Leases[i].Want > 0 {
			open = append(open, i)
		}
	}
	for len(open) > 0 && left >= int64(len(open)) {
		each, rest := left/int64(len(open)), open[:0]
		for _, i := range open {
			more := min(each, l.Leases[i].Want-parts[i])
			parts[i] += more
			left -= more
			if parts[i] < l.Leases[i].Want {
				rest = append(rest, i)
			}
		}
		open = rest
	}
	if left == 0 {
		return parts
	}
	turns := make([]turn, len(open))
	for k, i := range open { // another order each time
		turns[k] = turn{bits.RotateLeft64(xxhash.Sum64String(l.Leases[i].Who.Name), int(time/rotationInterval*rotationBits)), i}
	}
	slices.SortFunc(turns, func(a, b turn) int { return cmp.Compare(a.key, b.key) })
	for _, t := range turns[:min(int64(len(turns)), left)] {
		parts[t.lease]++
	}
	return parts
}

// turn is when a lease gets one of the units that can't be parted evenly.
type turn struct {
	key   uint64
	lease int
}

// Limits are all of them, by name; they must not be changed.
func (b *LeaseTable) Limits() (list []*Limit) {
	for _, name := range slices.Sorted(maps.Keys(b.limits)) {
		list = append(list, b.limits[name])
	}
	return list
}

// Find is a limit by its name, nil where there is none.
func (b *LeaseTable) Find(name string) *Limit { return b.limits[name] }

// Snapshot writes the book; two that are equal are written alike.
func (b *LeaseTable) Snapshot() ([]byte, error) { return cbor.Marshal(b.Limits()) }

var decodeMode = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: maxLimits * maxHolders, MaxNestedLevels: 8, IndefLength: cbor.IndefLengthForbidden}.DecMode()
	if err != nil {
		panic(err) // of constants
	}
	return mode
}()

// Restore reads a book.
func Restore(text []byte) (*LeaseTable, error) {
	var list []*Limit
	if err := decodeMode.Unmarshal(text, &list); err != nil {
		return nil, fmt.Errorf("quota: a snapshot can't be read: %w", err)
	}
	b := NewLeaseTable()
	for _, l := range list {
		if l == nil || b.limits[l.Name] != nil {
			return nil, fmt.Errorf("quota: a snapshot holds a limit twice or an empty one")
		}
		b.limits[l.Name] = l
	}
	return b, nil
}
