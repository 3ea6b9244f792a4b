package membership

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// ID is the hash of a member's name.
type ID uint64

// IDOf returns the ID of a name.
func IDOf(name string) ID { return ID(xxhash.Sum64String(name)) }

// Facts are properties that a member publishes about itself in its record.
type Facts struct {
	Version    string `cbor:"1,keyasint,omitempty"`
	Zone       string `cbor:"2,keyasint,omitempty"`
	Level      uint8  `cbor:"3,keyasint,omitempty"`              // degradation level
	DrainPhase uint8  `cbor:"4,keyasint,omitempty" json:"Beat"`  // phase of the drain; 0 if not draining
	NoExecutor bool   `cbor:"5,keyasint,omitempty" json:"NoUse"` // the node runs without an executor
}

// Record is a member's description of itself, which only that member writes. The record with the higher incarnation
// supersedes another; within an incarnation, the one with the higher version does. StartedAt identifies a run of the process:
// a node can raise its incarnation while it runs, so the view compares StartedAt to find out whether a member restarted.
type Record struct {
	Name          string `cbor:"1,keyasint"`
	Address       string `cbor:"2,keyasint"`
	StartedAt     int64  `cbor:"3,keyasint"`           // Unix ns
	Incarnation   uint64 `cbor:"4,keyasint"`           // StartedAt, or higher to supersede earlier records under the same name
	RecordVersion uint32 `cbor:"5,keyasint,omitempty"` // within the incarnation
	Left          bool   `cbor:"6,keyasint,omitempty"`
	Links         []ID   `cbor:"7,keyasint,omitempty"` // members whose link with this one is up, ascending
	Facts         Facts  `cbor:"8,keyasint,omitempty"`
}

// newer reports whether r supersedes another record of the same member.
func (r *Record) newer(other *Record) bool {
	if r.Incarnation != other.Incarnation {
		return r.Incarnation > other.Incarnation
	}
	return r.RecordVersion > other.RecordVersion
}

// valid reports whether a record from a peer has a name and an address and is within all bounds. The bound of the incarnation
// leaves room to exceed it.
func (r *Record) valid() bool {
	nameFits := r.Name != "" && len(r.Name) <= maxNameBytes
	addressFits := r.Address != "" && len(r.Address) <= maxAddressBytes
	factsFit := len(r.Facts.Version) <= maxFactBytes && len(r.Facts.Zone) <= maxFactBytes
	return nameFits && addressFits && factsFit && len(r.Links) <= maxLinks && r.Incarnation < math.MaxUint64/2
}

// size estimates the encoded size of a record in bytes: 9 for each link, 48 for all fields but the name, address and links.
func (r *Record) size() int { return 48 + len(r.Name) + len(r.Address) + 9*len(r.Links) }

// RecordSummary identifies a version of a record without its content.
type RecordSummary struct {
	ID            ID     `cbor:"1,keyasint"`
	Incarnation   uint64 `cbor:"2,keyasint"`
	RecordVersion uint32 `cbor:"3,keyasint,omitempty"`
}
