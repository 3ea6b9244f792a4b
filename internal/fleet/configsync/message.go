package configsync

// MessageKind names what a message is for.
type MessageKind uint8

// The kinds of messages. Announce, Report and Confirm are datagrams; Fetch opens an exchange, MessageContent answers it.
const (
	MessageAnnounce MessageKind = iota + 1 // announces to a neighbour what was confirmed to the sender, and what it has of it
	MessageReport                          // tells a replica what the sender has, and asks it to confirm the head
	MessageConfirm                         // a replica's confirmation of the head
	MessageFetch                           // requests records after Has, or blocks
	MessageContent                         // records, the index, blocks, or nothing
)

// Message is what replicators send each other.
type Message struct {
	Kind    MessageKind  `cbor:"1,keyasint"`
	Seq     uint32       `cbor:"2,keyasint,omitempty"`  // Report, and the Confirm that answers it
	Head    HeadRevision `cbor:"3,keyasint"`            // Announce, Confirm
	Has     Revision     `cbor:"4,keyasint"`            // Announce, Fetch, Content: ready at the sender; Report: in force there
	Refused Revision     `cbor:"5,keyasint"`            // Report: the newest that the sender can't apply
	Why     string       `cbor:"6,keyasint,omitempty"`  // Report
	Age     int64        `cbor:"7,keyasint,omitempty"`  // Report: ns since Has is in force
	Want    Revision     `cbor:"8,keyasint"`            // Fetch
	Wanted  []uint16     `cbor:"9,keyasint,omitempty"`  // Fetch: blocks
	Sums    []byte       `cbor:"10,keyasint,omitempty"` // Fetch: their digests in a row; without Wanted those of all pages of the sender
	Records []Record     `cbor:"11,keyasint,omitempty"` // Content; Announce, where they are small
	Pages   []uint8      `cbor:"15,keyasint,omitempty"` // Content: pages of Want that differ from Sums
	Index   []byte       `cbor:"12,keyasint,omitempty"` // Content: the digests of their blocks in a row
	Blocks  []Block      `cbor:"13,keyasint,omitempty"` // Content
	Busy    int64        `cbor:"14,keyasint,omitempty"` // Content: ns after which to ask again
	Current bool         `cbor:"16,keyasint,omitempty"` // Confirm: the replica is in contact with the group, so it knows all but what is on its way
	Missing []byte       `cbor:"17,keyasint,omitempty"` // Fetch, with Wanted: a bit for each missing block, which may be answered with its changes from Has to Want; older builds ignore it
}

// Block is one block of a content, or what changes in it.
type Block struct {
	Number  uint16 `cbor:"1,keyasint"`
	Text    []byte `cbor:"2,keyasint,omitempty"`
	Changes []Item `cbor:"3,keyasint,omitempty"` // in place of Text, only where the Fetch has Missing
}

const (
	messageOverhead = 180 // bytes of an encoded message beside its lists, its envelope included, about
	blockOverhead   = 12  // bytes of an encoded block beside its content, about
	blockNumber     = 3   // bytes of an encoded number of a block
	pageNumber      = 2   // bytes of an encoded number of a page
)

// bytes is about the encoded bytes of a block.
func (b *Block) bytes() int { return blockOverhead + len(b.Text) + sizeOf(b.Changes) }

// hasContent reports whether a message carries records, an index or blocks.
func (m *Message) hasContent() bool { return len(m.Records)+len(m.Index)+len(m.Blocks) > 0 }

// size is about the encoded bytes of a message, its envelope included.
func (m *Message) size() int {
	size := messageOverhead + len(m.Why) + len(m.Head.StoppedBy) + len(m.Head.StopReason) + blockNumber*len(m.Wanted) + len(m.Missing) +
		pageNumber*len(m.Pages) + len(m.Sums) + len(m.Index)
	size += bytesOf(m.Records)
	for k := range m.Blocks {
		size += m.Blocks[k].bytes()
	}
	return size
}
