package claims

// State is the state of a claim in the table.
type State uint8

// The states of a claim, in order: isOver compares them. A released claim is removed from the table.
const (
	StateClaimed State = iota // its owner may start it; nothing has run
	StateStarted              // the owner's executor may have received it
	StateUnknown              // its owner was lost after the start: it may have run
	StateEnded                // its run ended, with Outcome and Result
)

// StateNames holds the name of each State.
var StateNames = [...]string{"claimed", "started", "unknown", "ended"}

const entryOverheadBytes = 300 // size of a claim without key, work and result: record, index entries, and its part of a snapshot

// Entry is the table's record of one claim.
type Entry struct {
	Key            Key     `cbor:"1,keyasint"`
	Owner          Owner   `cbor:"2,keyasint"`
	Fence          uint64  `cbor:"3,keyasint"`
	State          State   `cbor:"4,keyasint,omitempty"`
	BodyHash       uint64  `cbor:"5,keyasint,omitempty"`
	ExpiresAt      int64   `cbor:"6,keyasint"`           // in the table's time: the due time; after start and end, the end of the retention if that is later
	Retention      int64   `cbor:"7,keyasint"`           // how long the claim is kept after its start, and after its end
	Work           []byte  `cbor:"8,keyasint,omitempty"` // the data that a new owner needs to run the invocation; nil after the start
	InvocationID   string  `cbor:"9,keyasint,omitempty"`
	Outcome        uint8   `cbor:"10,keyasint,omitempty"`
	Result         []byte  `cbor:"11,keyasint,omitempty"`
	Reassigned     bool    `cbor:"12,keyasint,omitempty"` // the owner took it over from a lost one
	Waiters        []Owner `cbor:"13,keyasint,omitempty"` // nodes to notify of its end
	LastReturnedBy Owner   `cbor:"14,keyasint,omitempty"` // the last new owner that returned it for lack of capacity
	ReturnCount    int     `cbor:"15,keyasint,omitempty"`
	heapIndex      int     // in the table's expiry heap
}

// ExpiryTime returns when the claim expires, in the table's time.
func (e *Entry) ExpiryTime() int64 { return e.ExpiresAt }

// HeapIndex returns where the table's expiry heap stores the claim's position in the heap.
func (e *Entry) HeapIndex() *int { return &e.heapIndex }

// isOver reports whether the claim has ended or its outcome is unknown. The loss of its owner then no longer affects it.
func (e *Entry) isOver() bool { return e.State > StateStarted }

func (e *Entry) sizeBytes() int64 {
	return entryOverheadBytes + int64(len(e.Key.Operation)+len(e.Key.Tenant)+len(e.Key.Token)+len(e.Work)+len(e.Result))
}
