package configsync

// MessageKind names what a message is for.
type MessageKind uint8

// The messages. Tell, Report and Vouch are datagrams; Fetch opens an exchange, Piece answers it.
const (
	Tell   MessageKind = iota + 1 // to a neighbour: what a seat vouched for to the sender, and what it has of it
	Report                        // to a seat: what the sender has; what do you vouch for?
	Vouch                         // of a seat
	Fetch                         // asks for records after Has, or for blocks
	Piece                         // records, the index, blocks, or nothing
)

// Message is what holders tell each other.
type Message struct {
	Kind    MessageKind  `cbor:"1,keyasint"`
	Seq     uint32       `cbor:"2,keyasint,omitempty"`  // Report, and the Vouch that answers it
	Head    HeadRevision `cbor:"3,keyasint"`            // Tell, Vouch
	Has     Revision     `cbor:"4,keyasint"`            // Tell, Fetch, Piece: ready at the sender; Report: in force there
	Refused Revision     `cbor:"5,keyasint"`            // Report: the newest that it can't take
	Why     string       `cbor:"6,keyasint,omitempty"`  // Report
	Age     int64        `cbor:"7,keyasint,omitempty"`  // Report: ns since what it has is in force
	Want    Revision     `cbor:"8,keyasint"`            // Fetch
	Wanted  []uint16     `cbor:"9,keyasint,omitempty"`  // Fetch: blocks
	Sums    []byte       `cbor:"10,keyasint,omitempty"` // Fetch: their digests in a row; without Wanted those of all pages that the sender has
	Records []Record     `cbor:"11,keyasint,omitempty"` // Piece; Tell, where they are small
	Pages   []uint8      `cbor:"15,keyasint,omitempty"` // Piece: pages of Want that differ from Sums
	Index   []byte       `cbor:"12,keyasint,omitempty"` // Piece: the digests of their blocks in a row
	Blocks  []Block      `cbor:"13,keyasint,omitempty"` // Piece
	Busy    int64        `cbor:"14,keyasint,omitempty"` // Piece: ns after which to ask again
	Current bool         `cbor:"16,keyasint,omitempty"` // Vouch: the seat is in touch with the council, so it knows all but what is on its way
	Missing []byte       `cbor:"17,keyasint,omitempty"` // Fetch, with Wanted: a bit for each block that is missing, of which changes from Has to Want may come; older builds pass it over
}

// Block is one range of a content, or what changes in it.
type Block struct {
	N       uint16 `cbor:"1,keyasint"`
	Text    []byte `cbor:"2,keyasint,omitempty"`
	Changes []Item `cbor:"3,keyasint,omitempty"` // in the place of Text, only where the ask has Missing
}

// bytes is about what a block takes.
func (b *Block) bytes() int { return 12 + len(b.Text) + sizeOf(b.Changes) }

// hasContent says whether a message carries records, an index or blocks.
func (m *Message) hasContent() bool { return len(m.Records)+len(m.Index)+len(m.Blocks) > 0 }

// size is about the bytes of a message, its envelope included.
func (m *Message) size() int {
	size := 180 + len(m.Why) + len(m.Head.Who) + len(m.Head.Why) + 3*len(m.Wanted) + len(m.Missing) + 2*len(m.Pages) + len(m.Sums) + len(m.Index)
	for k := range m.Records {
		size += m.Records[k].bytes()
	}
	for k := range m.Blocks {
		size += m.Blocks[k].bytes()
	}
	return size
}

// View is whom a node can reach, by name, itself left out.
type View struct {
	Neighbours []string // along membership's links
	Seats      []string
	Zone       []string // live members of its own zone, or of none where it knows none
}

// Agreed is what the table of a seat comes to, at its own node.
type Agreed struct {
	Head               HeadRevision
	All, First, Newest *Content
	Log                []*Record
}

// Agreed is what a seat's holder is told after each change.
func (t *Table) Agreed() *Agreed { return &Agreed{t.head, t.all, t.canary, t.newest, t.log} }

// InputKind names what happened.
type InputKind uint8

// The inputs.
const (
	Viewed   InputKind = iota // the view changed
	Came                      // a datagram of From
	Asked                     // From opened an exchange on Link
	Answered                  // an exchange of ours on Link
	Missed                    // an exchange of ours on Link came to nothing
	Took                      // Mark is in force at this node, or can't be: Why
	Checked                   // Mark could be taken, or can't be: Why
	Saved                     // the last Persist was carried out, or wasn't: Why
	Ordered                   // the table of this node's seat changed
	Stood                     // this node's seat is in touch with the council, or not any more: Current
)

// Input is one thing that happened. What it holds is the holder's afterwards.
type Input struct {
	Kind    InputKind
	From    string
	Link    int
	Message *Message
	View    *View
	Agreed  *Agreed
	Current bool
	Mark    Revision
	Why     string
}

// EffectKind names what is to be done.
type EffectKind uint8

// The effects.
const (
	Send     EffectKind = iota // a datagram to To
	Exchange                   // open Link to To, write Message, wait for the answer
	Reply                      // answer the exchange on Link
	Take                       // have Mark in force: Diff(Old, New) are the changes; answered by Took. It takes the place of a Check
	Check                      // see whether Mark could be taken, and change nothing; answered by Checked
	Persist                    // keep Mark: Records after what was kept before, or all of New where Full; answered by Saved
	Order                      // have the seat order Command
	Remark                     // tell operators
)

// Effect is one thing to do. What it points to must not be changed.
type Effect struct {
	Kind     EffectKind
	To       string
	Link     int
	Message  *Message
	Mark     Revision
	First    bool // Take, Check: for the first stage
	Old, New *Content
	Records  []*Record
	Full     bool
	Command  *Command
	Text     string
	Warn     bool
}
