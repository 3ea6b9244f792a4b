package claims

// State is how far a claim has come.
type State uint8

// The states. Released claims are gone from the table.
const (
	StateClaimed State = iota // its owner may start it; nothing ran
	StateStarted              // the owner's executor may have received it
	StateUnknown              // its owner is lost: it may have run
	StateEnded
)

// StateNames name the states.
var StateNames = [...]string{"claimed", "started", "unknown", "ended"}

const entryOverheadBytes = 300 // of one claim beside its key, work and result: its record, indices, and part of a snapshot

// Entry is one claim.
type Entry struct {
	Key            Key     `cbor:"1,keyasint"`
	Owner          Owner   `cbor:"2,keyasint"`
	Fence          uint64  `cbor:"3,keyasint"`
	State          State   `cbor:"4,keyasint,omitempty"`
	BodyHash       uint64  `cbor:"5,keyasint,omitempty"`
	ExpiresAt      int64   `cbor:"6,keyasint"` // in the table's time: due time while claimed, then the end of the window
	Window         int64   `cbor:"7,keyasint"`
	Work           []byte  `cbor:"8,keyasint,omitempty"`
	InvocationID   string  `cbor:"9,keyasint,omitempty"`
	Outcome        uint8   `cbor:"10,keyasint,omitempty"`
	Result         []byte  `cbor:"11,keyasint,omitempty"`
	Reassigned     bool    `cbor:"12,keyasint,omitempty"` // its owner has it from a lost one
	Waiters        []Owner `cbor:"13,keyasint,omitempty"` // to be notified of its end
	LastReturnedBy Owner   `cbor:"14,keyasint,omitempty"` // the new owner that returned it last
	ReturnCount    int     `cbor:"15,keyasint,omitempty"`
	heapIndex      int
}

// ExpiryTime is when the claim expires, in the table's time.
func (e *Entry) ExpiryTime() int64 { return e.ExpiresAt }

// HeapIndex is where the table's expiry heap keeps its index of the claim.
func (e *Entry) HeapIndex() *int { return &e.heapIndex }

// isOver says whether the claim can no longer be lost with its owner.
func (e *Entry) isOver() bool { return e.State > StateStarted }

func (e *Entry) sizeBytes() int64 {
	return entryOverheadBytes + int64(len(e.Key.Operation)+len(e.Key.Tenant)+len(e.Key.Token)+len(e.Work)+len(e.Result))
}
