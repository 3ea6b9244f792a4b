package quota

import (
	"cmp"
	"strings"
)

// Owner is one incarnation of a node.
type Owner struct {
	Name        string `cbor:"1,keyasint" json:"Name"`
	Incarnation uint64 `cbor:"2,keyasint" json:"Life"`
}

// CompareOwners orders owners by name, then incarnation.
func CompareOwners(a, b Owner) int {
	return cmp.Or(strings.Compare(a.Name, b.Name), cmp.Compare(a.Incarnation, b.Incarnation))
}

// CommandKind is the kind of a Command.
type CommandKind uint8

// The kinds of commands.
const (
	CommandDefineLimit  CommandKind = iota // defines a limit, or changes its units if Version is higher than the limit's
	CommandRequestLease                    // renews a lease: returns the units above RetainedUnits and requests WantedUnits in total
	CommandKindCount                       // one past the last
)

// Command is one state transition of the lease table. Times are in nanoseconds.
type Command struct {
	Kind               CommandKind `cbor:"1,keyasint"`
	Sender             Owner       `cbor:"2,keyasint"`
	Seq                uint64      `cbor:"3,keyasint,omitempty"` // RequestLease: sequence number; a request older than the holder's last changes nothing
	Limit              string      `cbor:"4,keyasint"`
	RetainedUnits      int64       `cbor:"5,keyasint,omitempty"`  // RequestLease: units that the holder keeps of its lease
	WantedUnits        int64       `cbor:"6,keyasint,omitempty"`  // RequestLease: units that the holder wants in total, with those in use
	LeaseDuration      int64       `cbor:"7,keyasint,omitempty"`  // RequestLease: in the table's time
	Units              int64       `cbor:"8,keyasint,omitempty"`  // DefineLimit
	Version            uint64      `cbor:"9,keyasint,omitempty"`  // DefineLimit
	EarlierLeasesEndAt int64       `cbor:"10,keyasint,omitempty"` // DefineLimit: see Limit.EarlierLeasesEndAt
}

// Verdict is the table's reply to a request for a lease.
type Verdict struct {
	Limit        string `cbor:"1,keyasint"`
	Seq          uint64 `cbor:"2,keyasint"`
	Units        int64  `cbor:"3,keyasint,omitempty"` // the lease: units that the holder may use from now on
	FairShare    int64  `cbor:"4,keyasint,omitempty"` // the holder should return the units that it has above its fair share
	LimitDefined bool   `cbor:"5,keyasint,omitempty"` // false: the limit is not defined, and nothing was granted
}
