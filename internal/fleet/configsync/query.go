package configsync

// What an operator's command asks a node for, and what it is told.

// QueryKind names what is asked.
type QueryKind uint8

// The questions.
const (
	ShowStanding QueryKind = iota + 1 // how the node stands; at a seat also how those do that reported to it
	ReadBlocks                        // blocks of a content
	Propose                           // a Put or a Rollback
)

// Which content a ReadBlocks is of.
const (
	InForce = iota // at the node
	ForAll         // at a seat: in force for all
	Newest         // at a seat: agreed on
)

// Query is one.
type Query struct {
	Kind    QueryKind `cbor:"1,keyasint"`
	Which   int       `cbor:"2,keyasint,omitempty"` // ReadBlocks
	From    int       `cbor:"3,keyasint,omitempty"` // ReadBlocks: the first block
	Command *Command  `cbor:"4,keyasint,omitempty"` // Propose
}

// Answer is what the node says.
type Answer struct {
	Node    string   `cbor:"1,keyasint"`
	Seats   []Place  `cbor:"2,keyasint,omitempty"`
	Status  *Status  `cbor:"3,keyasint,omitempty"`
	Seat    *AtSeat  `cbor:"4,keyasint,omitempty"` // of a node with a seat that knows what was agreed on
	Mark    Revision `cbor:"5,keyasint"`           // ReadBlocks: of the content
	Blocks  []Block  `cbor:"6,keyasint,omitempty"`
	Next    int      `cbor:"7,keyasint,omitempty"` // the first block that follows, 0 for none
	Verdict *Verdict `cbor:"8,keyasint,omitempty"` // Propose; nil where no answer came in time: ask the same again
	Why     string   `cbor:"9,keyasint,omitempty"` // why there is no answer
}

// Place is where a node hears its peers; without an address it isn't known there.
type Place struct {
	Name    string `cbor:"1,keyasint" json:"name"`
	Address string `cbor:"2,keyasint,omitempty" json:"address,omitempty"`
}

// AtSeat is what a seat knows beside.
type AtSeat struct {
	Head   HeadRevision `cbor:"1,keyasint"`
	Newest Revision     `cbor:"2,keyasint"`
	Good   []uint64     `cbor:"3,keyasint,omitempty"`
	Nodes  []NodeStatus `cbor:"4,keyasint,omitempty"` // At is ns since the report
	Alive  []string     `cbor:"5,keyasint,omitempty"` // members in this seat's view
}

// Blocks are those of a content from one on, as many as bytes allow and at least one, and the first that follows, 0 for none.
// Empty ones are left out.
func (c *Content) Blocks(from, bytes int) (list []Block, next int) {
	for n := max(0, from); n < Blocks; n++ {
		text, _ := c.Block(n)
		if len(text) == 0 {
			continue
		}
		if bytes -= len(text); bytes < 0 && len(list) > 0 {
			return list, n
		}
		list = append(list, Block{N: uint16(n), Text: text})
	}
	return list, 0
}

// FromBlocks is the content of blocks that were read, nil where it isn't of sound form or doesn't come to the digest.
func FromBlocks(list []Block, want Digest) *Content {
	c, own := &Content{}, [fanout]bool{}
	for _, b := range list {
		if _, ok := checkBlock(int(b.N), b.Text); !ok || int(b.N) >= Blocks {
			return nil
		}
		c.set(int(b.N), b.Text, &own)
	}
	if c.Digest() != want {
		return nil
	}
	return c
}
