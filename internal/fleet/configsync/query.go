package configsync

// QueryKind names what an operator's command asks a node for.
type QueryKind uint8

// The kinds of queries.
const (
	QueryStatus  QueryKind = iota + 1 // the node's status; at a replica also those of the nodes that reported to it
	QueryBlocks                       // blocks of a content
	QueryPropose                      // a CommandPut or a CommandRollback
)

// The contents that a QueryBlocks can be of.
const (
	ContentInForce = iota // at the node
	ContentForAll         // at a replica: in force for all
	ContentNewest         // at a replica: the newest that was agreed on
)

// Query is what an operator's command asks a node.
type Query struct {
	Kind    QueryKind `cbor:"1,keyasint"`
	Which   int       `cbor:"2,keyasint,omitempty"` // QueryBlocks
	From    int       `cbor:"3,keyasint,omitempty"` // QueryBlocks: the first block
	Command *Command  `cbor:"4,keyasint,omitempty"` // QueryPropose
}

// Answer is a node's answer to a query.
type Answer struct {
	Node          string           `cbor:"1,keyasint"`
	Replicas      []ReplicaAddress `cbor:"2,keyasint,omitempty"`
	Status        *Status          `cbor:"3,keyasint,omitempty"`
	ReplicaStatus *ReplicaStatus   `cbor:"4,keyasint,omitempty"` // of a node with a replica that knows what was agreed on
	Revision      Revision         `cbor:"5,keyasint"`           // QueryBlocks: of the content
	Blocks        []Block          `cbor:"6,keyasint,omitempty"`
	Next          int              `cbor:"7,keyasint,omitempty"` // the first block that follows, 0 for none
	Verdict       *Verdict         `cbor:"8,keyasint,omitempty"` // QueryPropose; nil where no answer came in time: the same query may be repeated
	Why           string           `cbor:"9,keyasint,omitempty"` // why there is no answer
}

// ReplicaAddress is a replica's address for its peers; an empty one isn't known.
type ReplicaAddress struct {
	Name    string `cbor:"1,keyasint" json:"name"`
	Address string `cbor:"2,keyasint,omitempty" json:"address,omitempty"`
}

// ReplicaStatus is what a node with a replica knows beside its status.
type ReplicaStatus struct {
	Head             HeadRevision `cbor:"1,keyasint"`
	Newest           Revision     `cbor:"2,keyasint"`
	RollbackVersions []uint64     `cbor:"3,keyasint,omitempty"` // versions that can be rolled back to
	Nodes            []NodeStatus `cbor:"4,keyasint,omitempty"` // At is ns since the report
	Alive            []string     `cbor:"5,keyasint,omitempty"` // members in this node's view
}

// Blocks returns the blocks of a content from one on, as many as fit the bytes and at least one, and the first that follows, 0 for
// none. Empty blocks are left out.
func (c *Content) Blocks(from, maxBytes int) (list []Block, next int) {
	for n := max(0, from); n < Blocks; n++ {
		text, _ := c.Block(n)
		if len(text) == 0 {
			continue
		}
		maxBytes -= len(text)
		if maxBytes < 0 && len(list) > 0 {
			return list, n
		}
		list = append(list, Block{Number: uint16(n), Text: text})
	}
	return list, 0
}

// FromBlocks returns the content of blocks, nil where one is malformed or they don't match the digest.
func FromBlocks(list []Block, want Digest) *Content {
	content := &Content{}
	owned := [fanout]bool{}
	for _, block := range list {
		if !content.setCheckedBlock(block, &owned) {
			return nil
		}
	}
	if content.Digest() != want {
		return nil
	}
	return content
}

// setCheckedBlock puts a block in its place, false where it is malformed.
func (c *Content) setCheckedBlock(block Block, owned *[fanout]bool) bool {
	n := int(block.Number)
	if _, ok := checkBlock(n, block.Text); !ok || n >= Blocks {
		return false
	}
	c.setBlock(n, block.Text, owned)
	return true
}
