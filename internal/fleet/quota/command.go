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

// CommandKind names what a command does.
type CommandKind uint8

// The kinds of commands.
const (
	CommandDefineLimit  CommandKind = iota // sets a limit, if its Version is higher than the one that is known
	CommandRequestLease                    // renews a lease: returns the units above RetainedUnits and requests WantedUnits in total
	CommandKindCount                       // one past the last
)

// Command is one change of the lease table. Times are nanoseconds.
type Command struct {
	Kind          CommandKind `cbor:"1,keyasint"`
	Sender        Owner       `cbor:"2,keyasint"`
	Seq           uint64      `cbor:"3,keyasint,omitempty"` // of the holder's requests: an older one that comes late changes nothing
	Limit         string      `cbor:"4,keyasint"`
	RetainedUnits int64       `cbor:"5,keyasint,omitempty"`  // RequestLease: units of its lease that the holder keeps, those in use included
	WantedUnits   int64       `cbor:"6,keyasint,omitempty"`  // RequestLease
	LeaseDuration int64       `cbor:"7,keyasint,omitempty"`  // RequestLease: in the table's time
	Units         int64       `cbor:"8,keyasint,omitempty"`  // DefineLimit
	Version       uint64      `cbor:"9,keyasint,omitempty"`  // DefineLimit
	StartDelay    int64       `cbor:"10,keyasint,omitempty"` // DefineLimit: from the table's start to the first grant, by which leases of an earlier table have ended
}

// Verdict answers a request for a lease.
type Verdict struct {
	Limit        string `cbor:"1,keyasint"`
	Seq          uint64 `cbor:"2,keyasint"`
	Units        int64  `cbor:"3,keyasint,omitempty"` // that the holder may use from now on
	FairShare    int64  `cbor:"4,keyasint,omitempty"` // what it has over it should be given back
	LimitDefined bool   `cbor:"5,keyasint,omitempty"`
}
