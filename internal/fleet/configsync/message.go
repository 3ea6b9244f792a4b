package configsync

// MessageKind is the kind of a Message.
type MessageKind uint8

// The kinds of messages. Announce, Report and Confirm are sent as datagrams; a Fetch opens an exchange, and a Content answers it.
const (
	MessageAnnounce MessageKind = iota + 1 // tells a neighbour the head that the sender knows to be confirmed, and the newest version that it has
	MessageReport                          // tells a replica the version applied at the sender, and asks it to confirm the head
	MessageConfirm                         // a replica's answer to a Report: the head
	MessageFetch                           // requests records that lead on from Has, an index, or blocks
	MessageContent                         // records, the index, blocks, or nothing
)

// Message is a message between replicators. Comments name the kinds that have a field.
type Message struct {
	Kind    MessageKind  `cbor:"1,keyasint"`
	Seq     uint32       `cbor:"2,keyasint,omitempty"`  // Report: its number; Confirm: the number of the Report that it answers
	Head    RolloutState `cbor:"3,keyasint"`            // Announce, Confirm
	Has     Revision     `cbor:"4,keyasint"`            // Announce, Fetch, Content: the newest complete revision at the sender; Report: the revision in force there
	Refused Revision     `cbor:"5,keyasint"`            // Report: the newest revision that the sender can't apply
	Why     string       `cbor:"6,keyasint,omitempty"`  // Report: why Refused can't be applied
	Age     int64        `cbor:"7,keyasint,omitempty"`  // Report: ns since Has came into force
	Want    Revision     `cbor:"8,keyasint"`            // Fetch: the revision to which records, index or blocks lead
	Wanted  []uint16     `cbor:"9,keyasint,omitempty"`  // Fetch: numbers of requested blocks
	Sums    []byte       `cbor:"10,keyasint,omitempty"` // Fetch: concatenated digests of the Wanted blocks, or without Wanted of all pages of the sender's index
	Records []Record     `cbor:"11,keyasint,omitempty"` // Content; Announce, if small enough
	Pages   []uint8      `cbor:"15,keyasint,omitempty"` // Content: numbers of the index pages of Want that differ from Sums
	Index   []byte       `cbor:"12,keyasint,omitempty"` // Content: concatenated digests of the blocks of Pages
	Blocks  []Block      `cbor:"13,keyasint,omitempty"` // Content: requested blocks
	Busy    int64        `cbor:"14,keyasint,omitempty"` // Content: the fetch was deferred; ns after which to ask again
	Current bool         `cbor:"16,keyasint,omitempty"` // Confirm: the replica is in contact with the consensus group, so it lacks only entries that are still on their way to it
	Missing []byte       `cbor:"17,keyasint,omitempty"` // Fetch, with Wanted: a bit for each missing block, which may be answered with its changes from Has to Want; ignored by older builds
}

// Block is one block of a content, either whole or as the changes to it.
type Block struct {
	Number  uint16 `cbor:"1,keyasint"`
	Text    []byte `cbor:"2,keyasint,omitempty"`
	Changes []Item `cbor:"3,keyasint,omitempty"` // in place of Text, only if the Fetch has Missing
}

const (
	messageOverhead = 180 // approximate bytes of an encoded message without its lists, including its envelope
	blockOverhead   = 12  // approximate bytes of an encoded block without its content
	blockNumber     = 3   // bytes of an encoded block number
	pageNumber      = 2   // bytes of an encoded page number
)

// bytes returns the approximate encoded size of a block.
func (b *Block) bytes() int { return blockOverhead + len(b.Text) + sizeOf(b.Changes) }

// hasContent reports whether a message carries records, an index or blocks.
func (m *Message) hasContent() bool { return len(m.Records)+len(m.Index)+len(m.Blocks) > 0 }

// size returns the approximate encoded size of a message, including its envelope.
func (m *Message) size() int {
	size := messageOverhead + len(m.Why) + len(m.Head.StoppedBy) + len(m.Head.StopReason) + blockNumber*len(m.Wanted) + len(m.Missing) +
		pageNumber*len(m.Pages) + len(m.Sums) + len(m.Index)
	size += bytesOf(m.Records)
	for k := range m.Blocks {
		size += m.Blocks[k].bytes()
	}
	return size
}
